"""Tests which connections of callers the guard closes."""

import asyncio

from laburnumgate_core import clock
from laburnumgate_core import connections
from laburnumgate_host import guard
from laburnumgate_host import sockets
import sanic

_POST = b"POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"


async def _start(time, limits):
    app = sanic.Sanic(f"guard-{id(time)}", configure_logging=False)
    # Its rewriting of the library works once in a process.
    app.config.TOUCHUP = False
    guard.track_requests(app)
    released = asyncio.Event()

    @app.post("/echo")
    async def echo(request):
        return sanic.text(str(len(request.body)))

    @app.get("/wait")
    async def wait(request):
        await released.wait()
        return sanic.text("done")

    guard.GuardedProtocol.table = connections.ConnectionTable(limits, time)
    socket = sockets.bind("127.0.0.1", 0, connections.RECEIVE_BUFFER_BYTES)
    server = await app.create_server(
        sock=socket, protocol=guard.GuardedProtocol, access_log=False
    )
    await server.startup()
    await server.start_serving()
    return server, socket.getsockname()[1], released


def test_a_request_that_waits_for_a_change_is_not_stalled():
    """Guards against closing callers that wait for the end of their job."""

    async def play():
        time = clock.ManualClock()
        limits = connections.ConnectionLimits()
        server, port, released = await _start(time, limits)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
        table = guard.GuardedProtocol.table
        while not table.count(connections.Phase.HANDLING):
            await asyncio.sleep(0.01)
        time.advance(limits.body_ms)
        assert not table.expired()
        released.set()
        status = await reader.readuntil(b"\r\n")
        writer.close()
        server.close()
        return status

    assert asyncio.run(play()) == b"HTTP/1.1 200 OK\r\n"


def test_stalled_bodies_yield_to_other_requests():
    """Guards against stalled callers that keep others out."""

    async def play():
        time = clock.ManualClock()
        limits = connections.ConnectionLimits(
            min_bytes=1 << 20, max_bytes=1 << 20
        )
        server, port, _ = await _start(time, limits)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(_POST % 100_000 + b"x" * 99_999)
        table = guard.GuardedProtocol.table
        while table.held_bytes < 99_999 * 8:
            await asyncio.sleep(0.01)
        time.advance(connections.STALL_MS)
        other_reader, other_writer = await asyncio.open_connection(
            "127.0.0.1", port
        )
        other_writer.write(_POST % 20_000 + b"x" * 20_000)
        status = await other_reader.readuntil(b"\r\n")
        try:
            rest = await reader.read()
        except ConnectionResetError:
            rest = b""
        writer.close()
        other_writer.close()
        server.close()
        return status, rest

    assert asyncio.run(play()) == (b"HTTP/1.1 200 OK\r\n", b"")
