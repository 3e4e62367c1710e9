"""Tests of the outcomes of calls to workers."""

import asyncio
import contextlib

import aiohttp
from aiohttp import web
import builders
from laburnumgate_placer import model
from laburnumgate_placer import ports
import pytest
import workers

_TASK = model.TaskKey("00000000000000a1", 0, 0, 0)
_TIMEOUT_MS = 1_000


class _Worker:
    """Answers each call in the same way and counts the calls."""

    def __init__(self, status=200, body=b'{"clock_ms":5}', headers=None):
        self.calls = 0
        self._status = status
        self._body = body
        self._headers = headers

    async def handle(self, request: web.BaseRequest) -> web.Response:
        self.calls += 1
        return web.Response(
            status=self._status, body=self._body, headers=self._headers
        )


@contextlib.asynccontextmanager
async def _client(worker):
    loop = asyncio.get_running_loop()
    server = web.Server(worker.handle)
    listener = await loop.create_server(server, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    async with aiohttp.ClientSession() as session:
        yield workers.Workers(session), f"127.0.0.1:{port}"
    listener.close()
    # No time limit would apply with 0.
    await server.shutdown(0.1)


async def _call(client, call, endpoint, token=7):
    match call:
        case "start":
            order = ports.StartOrder(_TASK, 1, "text", 5_000, token)
            return await client.start(endpoint, order, timeout_ms=_TIMEOUT_MS)
        case "stop":
            return await client.stop(
                endpoint, _TASK, 1, token, timeout_ms=_TIMEOUT_MS
            )
        case "pace":
            return await client.pace(
                endpoint, _TASK, 1, 50, token, timeout_ms=_TIMEOUT_MS
            )
    return await client.renew(
        endpoint,
        deadline_ms=5_000,
        fencing_token=token,
        acknowledged=0,
        wait_ms=0,
        timeout_ms=_TIMEOUT_MS,
    )


def _outcome(worker, call, token=7, **fields):
    async def work():
        async with _client(worker) as (client, address):
            endpoint = builders.endpoint(**({"address": address} | fields))
            return await _call(client, call, endpoint, token)

    return builders.run(work())


_CALLS = ["start", "stop", "pace", "renew"]


@pytest.mark.parametrize("call", _CALLS)
@pytest.mark.parametrize(
    "address",
    [
        *("127.0.0.1:0", "127.0.0.1:99999", "127.0.0.1:²", "127.0.0.1:-1"),
        *("300.1.1.1:80", "a..b:80", "x" * 300 + ":80", "[:80", ":80", ""),
        *("\ud800:80", "127.0.0.1:" + "9" * 5_000),
    ],
)
def test_a_call_to_an_address_that_is_none_was_not_delivered(call, address):
    """Guards against a task that waits for a call that was never sent."""
    outcome = _outcome(_Worker(), call, address=address)
    assert isinstance(outcome, ports.Undelivered)


@pytest.mark.parametrize("call", _CALLS)
@pytest.mark.parametrize("endpoint_id", ["e1\r\nX-Other: 1", "e\n", "e\0"])
def test_a_call_that_no_header_can_express_was_not_delivered(call, endpoint_id):
    """Guards against an error that ends a launch, or another header."""
    worker = _Worker()
    outcome = _outcome(worker, call, endpoint_id=endpoint_id)
    assert isinstance(outcome, ports.Undelivered)
    assert not worker.calls


@pytest.mark.parametrize("call", _CALLS)
def test_a_call_that_cannot_be_encoded_was_not_delivered(call):
    """Guards against an error for a number that the body cannot hold."""
    worker = _Worker()
    outcome = _outcome(worker, call, token=2**70)
    assert isinstance(outcome, ports.Undelivered)
    assert not worker.calls


@pytest.mark.parametrize("call", _CALLS)
@pytest.mark.parametrize(
    "location", ["http://127.0.0.1:1/", "http://127.0.0.1:99999/", "http://:/"]
)
def test_an_answer_that_redirects_is_an_unknown_outcome(call, location):
    """Guards against taking a delivered call for one that was not sent.

    The worker had the call; the connection to the other address failed.
    """
    worker = _Worker(307, b"", {"Location": location})
    outcome = _outcome(worker, call)
    assert isinstance(outcome, ports.Unknown)
    assert worker.calls == 1


@pytest.mark.parametrize("call", _CALLS)
@pytest.mark.parametrize(
    "clock", ['"x"', "null", "1e300", "[1]", "-1e300", "true", '"5"']
)
def test_an_answer_with_an_odd_clock_is_an_unknown_outcome(call, clock):
    """Guards against an error, or a deadline that no order can carry."""
    worker = _Worker(200, f'{{"clock_ms":{clock}}}'.encode())
    assert isinstance(_outcome(worker, call), ports.Unknown)
    refusal = f'{{"clock_ms":{clock},"reason":"late"}}'.encode()
    worker = _Worker(409, refusal)
    assert isinstance(_outcome(worker, call), ports.Unknown)


@pytest.mark.parametrize("call", _CALLS)
@pytest.mark.parametrize("reason", ["[]", "{}", "1", "null", '"other"'])
def test_an_odd_reason_of_a_refusal_is_an_invalid_order(call, reason):
    """Guards against an error for a refusal that names no known reason."""
    worker = _Worker(409, f'{{"clock_ms":1,"reason":{reason}}}'.encode())
    outcome = _outcome(worker, call)
    assert outcome == ports.Refused(ports.Refusal.INVALID)


@pytest.mark.parametrize(
    "body",
    [
        b"[" * 1_020 + b"]" * 1_020,
        b"[" * 100_000,
        b'{"clock_ms":1e400}',
        b'{"clock_ms":1,"running":[["00000000000000a1.0.0.0",1,2]]}',
        b'{"clock_ms":1,"running":[[5,1,"",3]]}',
        b'{"clock_ms":1,"running":[5]}',
        b'{"clock_ms":1,"running":5}',
        b'{"clock_ms":1,"ended":[[1,"00000000000000a1.0.0.0",1,[],""]]}',
        b'{"clock_ms":' + b"[" * 1_020 + b"]" * 1_020 + b"}",
        b'{"clock_ms":1,"ended":[[1,"00000000000000a1.0.0.0",1,'
        + b"[" * 1_000
        + b"]" * 1_000
        + b',""]]}',
    ],
)
def test_an_odd_report_is_an_unknown_outcome(body):
    """Guards against an unexpected error for a report of a worker."""
    assert isinstance(_outcome(_Worker(200, body), "renew"), ports.Unknown)


@pytest.mark.parametrize("error", [OverflowError, RuntimeError, RecursionError])
def test_an_unexpected_error_of_the_client_is_an_unknown_outcome(error):
    """Guards against an error that may come after the call was sent."""

    class Session:
        def post(self, *args, **options):
            raise error("unexpected")

    async def work():
        client = workers.Workers(Session())
        return await _call(
            client, "start", builders.endpoint(address="1.1.1.1:1")
        )

    assert isinstance(builders.run(work()), ports.Unknown)
