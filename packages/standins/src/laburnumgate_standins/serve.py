"""Serves a `sanic` application on one event loop in one thread."""

import asyncio
from collections.abc import Coroutine
import signal
import socket

import sanic
import uvloop


def run(
    app: sanic.Sanic,
    ip: str,
    port: int,
    background: Coroutine | None = None,
) -> None:
    """Serves `app` on `ip:port`, with `background`, until SIGTERM or SIGINT."""
    uvloop.run(_serve(app, ip, port, background))


def _bind(ip: str, port: int) -> socket.socket:
    """Binds a socket.

    A server created from a host and a port would make uvloop start resolver
    threads.
    """
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((ip, port))
    return listener


async def _serve(
    app: sanic.Sanic, ip: str, port: int, background: Coroutine | None
) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    server = await app.create_server(
        sock=_bind(ip, port), return_asyncio_server=True, access_log=False
    )
    await server.startup()
    await server.start_serving()
    print(f"serving on {ip}:{port}", flush=True)
    background_task = (
        loop.create_task(background) if background is not None else None
    )
    await stop_requested.wait()
    if background_task is not None:
        background_task.cancel()
    server.close()
    await server.wait_closed()
