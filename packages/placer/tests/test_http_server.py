"""Tests the HTTP server with clients that behave and others."""

import asyncio
import socket
import struct

import builders
from laburnumgate_core import clock
from laburnumgate_core import connections
from laburnumgate_placer import http_connection
from laburnumgate_placer import http_messages
from laburnumgate_placer import http_server
import pytest

_KIB = 1 << 10
_MIB = 1 << 20
_LIMITS = connections.ConnectionLimits(
    connections=20, min_bytes=_MIB, max_bytes=_MIB, head_bytes=4_096
)
_MAX_BODY_BYTES = 10_000


class _Application:
    """Echoes methods, paths and lengths of bodies.

    Attributes:
      refusal: response before the body is read, None to admit requests.
      body_limit: maximum length of a body.
      released: set to let requests end.
      requests: the requests that were handled.
      gone: paths of the requests whose client had gone.
    """

    def __init__(self):
        self.refusal = None
        self.body_limit = _MAX_BODY_BYTES
        self.released = asyncio.Event()
        self.released.set()
        self.requests = []
        self.gone = []

    def admit(self, request):
        return self.refusal or self.body_limit

    def refuse(self, request, status, reason):
        return http_messages.error_response(status, reason)

    async def refuse_unread(self, request, reason):
        await asyncio.sleep(0)
        return http_messages.error_response(503, reason)

    async def respond(self, request, body):
        self.requests.append((request.method, request.path, len(body)))
        await self.released.wait()
        text = f"{request.method} {request.path} {len(body)};"
        return http_messages.Response(200, text.encode())

    def interrupted(self, request):
        return http_messages.error_response(504, "stopping")

    def unsent(self, request, response):
        self.gone.append(request.path)


class _Setting:
    """A server with a manual clock, and its clients."""

    def __init__(self, limits):
        self.clock = clock.ManualClock()
        self.application = _Application()
        self.table = connections.ConnectionTable(limits, self.clock)
        self.server = http_server.Server("test", self.application, self.table)

    async def connect(self, *pieces):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.server.port
        )
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
        return reader, writer

    async def ask(self, *pieces):
        """Returns all that is answered until the connection is closed."""
        reader, writer = await self.connect(*pieces)
        answer = await reader.read()
        writer.close()
        return answer

    async def until(self, condition):
        while not condition():
            await asyncio.sleep(0.001)


def _play(scenario, limits=_LIMITS):
    async def play():
        setting = _Setting(limits)
        await setting.server.start("127.0.0.1", 0)
        try:
            return await scenario(setting)
        finally:
            setting.application.released.set()
            setting.server.close()
            await setting.server.stop(0.1)

    return builders.run(play())


def _ask(*pieces, limits=_LIMITS):
    return _play(lambda setting: setting.ask(*pieces), limits)


def _head(method="GET", path="/a", *fields, last=False):
    lines = [f"{method} {path} HTTP/1.1", "Host: h", *fields]
    if last:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode()


def _statuses(answer):
    return [
        int(part[:3]) for part in answer.decode().split("HTTP/1.1 ")[1:] if part
    ]


def _without_dates(answer):
    lines = answer.split(b"\r\n")
    return [line for line in lines if not line.startswith(b"Date: ")]


def test_pipelined_requests_are_answered_in_order():
    """Guards against responses that answer another request."""
    body = b"x" * 50
    pieces = (
        _head("GET", "/1")
        + _head("POST", "/2", "Content-Length: 50")
        + body
        + _head("POST", "/3", "Transfer-Encoding: chunked")
        + b"5;a=b\r\nhello\r\n0\r\nT: x\r\n\r\n"
        + b"\r\n"
        + _head("DELETE", "/4%20x?q=1", last=True)
    )
    answer = _ask(pieces)
    bodies = ("GET /1 0;", "POST /2 50;", "POST /3 5;", "DELETE /4 x 0;")
    positions = [answer.decode().index(text) for text in bodies]
    assert positions == sorted(positions)
    assert _statuses(answer) == [200] * 4
    byte_by_byte = _ask(*(bytes([byte]) for byte in pieces))
    assert _without_dates(byte_by_byte) == _without_dates(answer)


@pytest.mark.parametrize(
    ("version", "field", "closes"),
    [
        ("1.1", "", False),
        ("1.1", "Connection: close", True),
        ("1.0", "", True),
        ("1.0", "Connection: keep-alive", False),
    ],
)
def test_connections_stay_open_as_the_client_asks(version, field, closes):
    """Guards against clients that wait for a close, or lose a connection."""

    async def scenario(setting):
        request = f"GET / HTTP/{version}\r\n{field}\r\n\r\n".encode()
        request = request.replace(b"\r\n\r\n\r\n", b"\r\n\r\n")
        reader, writer = await setting.connect(request)
        await reader.readuntil(b";")
        writer.write(request)
        rest = await reader.read() if closes else await reader.readuntil(b";")
        writer.close()
        return bool(rest)

    assert _play(scenario) is not closes


@pytest.mark.parametrize(
    "request_bytes",
    [
        _head("POST", "/a", "Content-Length: x"),
        _head("POST", "/a", "Content-Length: -1"),
        _head("POST", "/a", "Content-Length: 5", "Content-Length: 6"),
        _head("POST", "/a", "Content-Length: 5", "Transfer-Encoding: chunked"),
        _head("POST", "/a", "Transfer-Encoding: gzip"),
        _head("POST", "/a", "Transfer-Encoding: chunked, gzip"),
        _head("POST", "/a", "Content-Length: 99999999999999999999"),
        _head("NOSUCH"),
        _head("GET", "not a path"),
        _head("GET", "/a", "no field"),
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
        _head("POST", "/a", "Transfer-Encoding: chunked") + b"zz\r\n",
    ],
)
def test_malformed_requests_are_rejected(request_bytes):
    """Guards against requests whose end is read in two ways."""
    answer = _ask(request_bytes)
    assert _statuses(answer) == [400]
    assert b"Connection: close" in answer


@pytest.mark.parametrize(
    ("pieces", "status"),
    [
        ([b"GET /", b"a" * 5_000], 431),
        ([b"\r\n" * 2_500], 431),
        ([b"GET / HTTP/1.1\r\n", b"A: b\r\n" * 1_000], 431),
        ([_head("GET", "/", "A: " + "b" * 4_500)], 431),
        ([_head("POST", "/", f"Content-Length: {_MAX_BODY_BYTES + 1}")], 413),
        ([_head("POST", "/", "Content-Length: 9999999999")], 413),
        (
            [
                _head("POST", "/", "Transfer-Encoding: chunked"),
                b"1000\r\n" + b"x" * 4_096 + b"\r\n",
                b"1000\r\n" + b"x" * 4_096 + b"\r\n",
                b"1000\r\n" + b"x" * 4_096 + b"\r\n",
            ],
            413,
        ),
        (
            [
                _head("POST", "/", "Transfer-Encoding: chunked"),
                b"1;" + b"e" * 20_000,
            ],
            413,
        ),
        (
            [
                _head("POST", "/", "Transfer-Encoding: chunked"),
                b"0\r\n" + b"T: t\r\n" * 5_000,
            ],
            413,
        ),
    ],
)
def test_requests_that_are_too_long_are_refused(pieces, status):
    """Guards against requests that are kept without a limit."""

    async def scenario(setting):
        answer = await setting.ask(*pieces)
        return answer, setting.application.requests

    answer, handled = _play(scenario)
    assert _statuses(answer) == [status]
    assert not handled


def test_a_refusal_before_the_body_leaves_the_connection_usable():
    """Guards against clients that reconnect after each refusal."""

    async def scenario(setting):
        setting.application.refusal = http_messages.error_response(401, "key")
        reader, writer = await setting.connect(
            _head("POST", "/1", "Content-Length: 5000")
        )
        first = await reader.readuntil(b"}")
        setting.application.refusal = None
        writer.write(b"x" * 5_000 + _head("GET", "/2", last=True))
        return first, await reader.read(), setting.application.requests

    first, second, handled = _play(scenario)
    assert _statuses(first) == [401]
    assert _statuses(second) == [200]
    assert handled == [("GET", "/2", 0)]


def test_a_client_that_waits_is_asked_for_its_body():
    """Guards against clients that wait for the interim response."""

    async def scenario(setting):
        reader, writer = await setting.connect(
            _head("POST", "/1", "Content-Length: 3", "Expect: 100-continue")
        )
        first = await reader.readuntil(b"\r\n\r\n")
        writer.write(b"abc")
        return first, await reader.readuntil(b";")

    first, second = _play(scenario)
    assert first == b"HTTP/1.1 100 Continue\r\n\r\n"
    assert second.endswith(b"POST /1 3;")


def test_a_response_to_head_has_no_body():
    """Guards against a body that is taken for the next response."""
    answer = _ask(_head("HEAD", "/") + _head("GET", "/", last=True))
    assert _statuses(answer) == [200, 200]
    assert b"HEAD /" not in answer


def test_a_body_without_room_is_refused_and_never_handled():
    """Guards against bodies in flight that exceed the memory."""

    async def scenario(setting):
        setting.application.body_limit = 2 * _MIB
        stalled = [
            await setting.connect(
                _head("POST", f"/{number}", "Content-Length: 100000"),
                b"x" * 99_999,
            )
            for number in range(4)
        ]
        await setting.until(lambda: setting.table.held_bytes > 600 * _KIB)
        refused = await setting.ask(
            _head("POST", "/late", "Content-Length: 200000", last=True),
            b"x" * 200_000,
        )
        served = await setting.ask(_head("POST", "/a", last=True))
        for _, writer in stalled:
            writer.close()
        return refused, served, setting.application.requests

    refused, served, handled = _play(scenario)
    assert _statuses(refused) == [503]
    assert _statuses(served) == [200]
    assert handled == [("POST", "/a", 0)]


def test_a_stalled_body_yields_to_another_request():
    """Guards against stalled clients that keep ordinary callers out."""

    async def scenario(setting):
        setting.application.body_limit = 2 * _MIB
        reader, writer = await setting.connect(
            _head("POST", "/stalled", "Content-Length: 400001"), b"x" * 400_000
        )
        all_bytes = connections.CONNECTION_BYTES + (
            400_000 * connections.BODY_FACTOR
        )
        await setting.until(lambda: setting.table.held_bytes == all_bytes)
        setting.clock.advance(connections.STALL_MS)
        served = await setting.ask(
            _head("POST", "/a", "Content-Length: 20000", last=True),
            b"x" * 20_000,
        )
        stalled = await reader.read()
        writer.close()
        return served, stalled

    served, stalled = _play(scenario)
    assert _statuses(served) == [200]
    assert _statuses(stalled) == [408]


@pytest.mark.parametrize(
    ("piece", "limit_ms", "statuses"),
    [
        (b"", _LIMITS.idle_ms, []),
        (b"GET / HT", _LIMITS.head_ms, [408]),
        (b"\r\n", _LIMITS.head_ms, [408]),
        (
            _head("POST", "/", "Content-Length: 5") + b"abc",
            _LIMITS.body_stall_ms,
            [408],
        ),
    ],
)
def test_clients_that_are_too_slow_are_closed(piece, limit_ms, statuses):
    """Guards against connections that stay for ever."""

    async def scenario(setting):
        reader, writer = await setting.connect(piece)
        await setting.until(lambda: len(setting.table) == 1)
        if piece:
            idle = connections.Phase.IDLE
            await setting.until(lambda: not setting.table.count(idle))
        setting.clock.advance(limit_ms)
        setting.server.tick()
        answer = await reader.read()
        writer.close()
        return answer

    assert _statuses(_play(scenario)) == statuses


def test_a_body_over_a_slow_link_is_served():
    """Guards against timeouts that a legal body meets on a slow link."""

    async def scenario(setting):
        reader, writer = await setting.connect(
            _head("POST", "/slow", "Content-Length: 10000", last=True)
        )
        body = connections.Phase.BODY
        await setting.until(lambda: setting.table.count(body))
        for _ in range(10):
            before = setting.table.held_bytes
            writer.write(b"x" * 1_000)
            await setting.until(lambda b=before: setting.table.held_bytes != b)
            setting.clock.advance(4_000)
            setting.server.tick()
        answer = await reader.read()
        writer.close()
        return answer

    assert _statuses(_play(scenario)) == [200]


def test_responses_that_are_not_read_stop_the_requests():
    """Guards against a queue of responses for a client that reads none."""

    async def scenario(setting):
        sending = connections.Phase.SENDING
        request = _head("GET", "/" + "p" * 1_000)
        _, writer = await setting.connect()
        writer.write(request * 5_000)
        handled = -1
        while handled < len(setting.application.requests):
            handled = len(setting.application.requests)
            await asyncio.sleep(0.1)
        assert setting.table.count(sending) == 1
        assert handled < 5_000
        assert setting.table.held_bytes < 200 * _KIB
        setting.clock.advance(_LIMITS.unread_ms)
        setting.server.tick()
        await setting.until(lambda: not len(setting.table))
        writer.transport.abort()

    _play(scenario)


def test_tiny_chunks_leave_turns_to_other_tasks():
    """Guards against clients that stop leases and leadership."""

    async def scenario(setting):
        setting.application.body_limit = _MIB
        chunks = b"1\r\nx\r\n" * 100_000
        turns = 0

        async def count():
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        clients = [
            asyncio.create_task(
                setting.ask(
                    _head("POST", "/", "Transfer-Encoding: chunked", last=True),
                    chunks + b"0\r\n\r\n",
                )
            )
            for _ in range(4)
        ]
        counter = asyncio.create_task(count())
        answers = await asyncio.gather(*clients)
        counter.cancel()
        return [_statuses(answer) for answer in answers], turns

    limits = connections.ConnectionLimits()
    statuses, turns = _play(scenario, limits)
    assert statuses == [[200]] * 4
    assert turns > 400_000 / 2_000


def test_the_budget_follows_the_process_without_connections():
    """Guards against a budget from the memory that a process began with."""

    async def scenario(setting):
        setting.server.tick()
        before = setting.table.budget_bytes
        block = bytearray(b"x" * (64 * _MIB))
        setting.server.tick()
        return before - setting.table.budget_bytes, len(block)

    limits = connections.ConnectionLimits(
        process_bytes=1 << 40, max_bytes=1 << 40
    )
    shrunk, _ = _play(scenario, limits)
    assert shrunk > 32 * _MIB


def test_clients_that_send_much_take_turns(monkeypatch):
    """Guards against short requests that wait for all that others have sent."""
    done = []
    advance = http_connection.Connection.advance

    def note_work(connection, max_work):
        work, unfinished = advance(connection, max_work)
        done.append((id(connection), work))
        return work, unfinished

    monkeypatch.setattr(http_connection.Connection, "advance", note_work)

    async def scenario(setting):
        setting.application.body_limit = _MIB
        head = _head("POST", "/", "Transfer-Encoding: chunked", last=True)
        chunks = b"1\r\nx\r\n" * 10_000 + b"0\r\n\r\n"
        await asyncio.gather(*(setting.ask(head, chunks) for _ in range(4)))
        return len(setting.application.requests)

    assert _play(scenario, connections.ConnectionLimits()) == 4
    # The largest step beyond a slice is a head.
    assert max(work for _, work in done) <= 300
    middle = [key for key, _ in done[len(done) // 4 : len(done) // 2]]
    repeated = sum(a == b for a, b in zip(middle, middle[1:], strict=False))
    assert repeated < len(middle) // 2


def test_a_client_that_leaves_gives_its_memory_back():
    """Guards against a budget that shrinks with each client that leaves."""

    async def scenario(setting):
        for piece in (
            b"",
            b"GET / H",
            _head("POST", "/", "Content-Length: 10") + b"abc",
            _head("GET", "/"),
        ):
            setting.application.released.clear()
            _, writer = await setting.connect(piece)
            await setting.until(lambda: len(setting.table) == 1)
            await asyncio.sleep(0.01)
            client = writer.get_extra_info("socket")
            # Closing the socket then resets the connection.
            client.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()
            await asyncio.sleep(0.01)
            setting.application.released.set()
            await setting.until(lambda: not len(setting.table))
        return setting.table.held_bytes, setting.application.gone

    held, gone = _play(scenario)
    assert held == 0
    assert gone == ["/"]


def test_a_client_that_closes_its_side_is_answered():
    """Guards against clients that send all and then end their side."""

    async def scenario(setting):
        reader, writer = await setting.connect(_head("GET", "/"))
        writer.write_eof()
        return await reader.read()

    assert _statuses(_play(scenario)) == [200]
