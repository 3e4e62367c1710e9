"""Tests of the outcomes of calls to the machine and advice services."""

import asyncio
import contextlib

import advisor
import aiohttp
from aiohttp import web
import builders
from laburnumgate_placer import ports
import laburnumgated
import machines
import orjson
import pytest
import settings
import store

_TIMEOUT_MS = 1_000
_NESTED = b"[" * 1_000 + b"]" * 1_000


@contextlib.asynccontextmanager
async def _service(status, body):
    async def handle(request):
        return web.Response(status=status, body=body)

    loop = asyncio.get_running_loop()
    server = web.Server(handle)
    listener = await loop.create_server(server, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    async with aiohttp.ClientSession() as session:
        yield session, f"http://127.0.0.1:{port}"
    listener.close()
    # No time limit would apply with 0.
    await server.shutdown(0.1)


def _list(body):
    async def work():
        async with _service(200, body) as (session, url):
            client = machines.Machines(session, url, "host")
            return await client.list(timeout_ms=_TIMEOUT_MS)

    return builders.run(work())


def _upkeep(status, body, wave=1):
    async def work():
        async with _service(status, body) as (session, url):
            client = machines.Machines(session, url, "host")
            return await client.upkeep("m1", wave, 7, timeout_ms=_TIMEOUT_MS)

    return builders.run(work())


def _ask(body):
    async def work():
        async with _service(200, body) as (session, url):
            client = advisor.Advisor(session, url)
            return await client.ask(
                "a" * 16, 0, 0, ("e1", "e2"), timeout_ms=_TIMEOUT_MS
            )

    return builders.run(work())


@pytest.mark.parametrize(
    "row",
    [
        *(None, 5, "m2", [], {}, {"machine": "m2"}, {"state": "up"}),
        *({"machine": 5, "state": "up"}, {"machine": ["m2"], "state": "up"}),
        *({"machine": None, "state": "up"}, {"machine": "m2", "state": ["up"]}),
    ],
)
def test_an_odd_machine_hides_no_other_machine(row):
    """Guards against a wave, or a term, that ends at one odd machine."""
    rows = [{"machine": "m1", "state": "up"}, row]
    rows.append({"machine": "m3", "state": "moving"})
    found = _list(orjson.dumps({"machines": rows}))
    up_by_machine = {status.machine: status.up for status in found}
    assert up_by_machine.pop("m2", False) is False
    assert up_by_machine == {"m1": True, "m3": False}


@pytest.mark.parametrize(
    "body",
    [
        *(b"[]", b"5", b"null", b'"text"', b'{"machines":5}'),
        *(b'{"machines":null}', b'{"machines":{"a":1}}', _NESTED, b"[" * 9_999),
        *(
            b'{"machines":[],"next_token":5}',
            b'{"machines":[],"next_token":[1]}',
        ),
    ],
)
def test_an_answer_without_machines_is_an_unknown_outcome(body):
    """Guards against machines that count as gone by an answer that is odd."""
    assert isinstance(_list(body), ports.Unknown)


@pytest.mark.parametrize(
    "body", [b"[]", b"5", b'{"reason":[]}', b'{"reason":{}}', _NESTED, b"x"]
)
@pytest.mark.parametrize("status", [409, 500])
def test_an_odd_refusal_of_an_upkeep_is_an_unknown_outcome(status, body):
    """Guards against a term that ends at an answer that is odd."""
    assert isinstance(_upkeep(status, body), ports.Unknown)


def test_an_upkeep_that_cannot_be_encoded_is_an_unknown_outcome():
    """Guards against a term that ends at a number that is too large."""
    assert isinstance(_upkeep(200, b"{}", wave=10**30), ports.Unknown)


@pytest.mark.parametrize(
    "content",
    [
        *(b"[]", b"5", b"null", _NESTED, b"[" * 9_999, b"{}"),
        *(b'{"allowed":5,"validity_ms":1}', b'{"allowed":{},"validity_ms":1}'),
        *(b'{"allowed":[[]],"validity_ms":1}', b'{"allowed":[["e1"]]}'),
        *(b'{"allowed":[["e1"]],"validity_ms":1}', b'{"allowed":[]}'),
        *(b'{"allowed":["e1"],"validity_ms":1}', b'{"allowed":[null]}'),
        *(b'{"allowed":[["e1",null]],"validity_ms":1}',),
        *(b'{"allowed":[["e1",' + _NESTED + b']],"validity_ms":1}',),
        *(b'{"allowed":[["e1","t"]],"validity_ms":1e300}',),
        *(b'{"allowed":[["e1","t"]],"validity_ms":"1"}',),
        *(b'{"allowed":[["e1","t"]],"validity_ms":1e400}',),
    ],
)
def test_odd_advice_is_an_unknown_outcome(content):
    """Guards against a term that ends, or tickets that no start accepts."""
    assert isinstance(_ask(content), ports.Unknown)


def test_advice_is_read_with_its_tickets():
    """Guards against a check of advice that refuses usable answers."""
    body = b'{"allowed":[["e1","t"]],"validity_ms":100}'
    assert _ask(body) == ports.Advice({"e1": "t"}, 100)


def test_calls_go_to_the_addresses_of_the_latest_settings(tmp_path):
    """Guards against jobs that never start after a service has moved."""
    text = """
node_name = "h1"
zone = "z1"
ip = "127.0.0.1"
port_range = [7000, 7000]
advice = "127.0.0.1:{port}"
[listen_addrs]
front = "127.0.0.1:1"
ready_addr = "127.0.0.1:2"
[platform]
address = "127.0.0.1:{port}"
[cloud_api]
address = "127.0.0.1:{port}"
"""

    def load(port):
        path = tmp_path / "node.toml"
        path.write_text(text.format(port=port))
        return settings.load(path)

    external = laburnumgated._services(load(7), None, store.StoreLog(None, ""))
    laburnumgated.set_addresses(external, load(8))
    for client in (external.log, external.advisor, external.machines):
        assert client.root_url == "http://127.0.0.1:8"
