"""The `laburnumgated` command: runs one entry host."""

import asyncio
import logging
import pathlib
import signal
import sys

import aiohttp
import click
from laburnumgate_core import clock
from laburnumgate_core import connections
from laburnumgate_core import requests
import sanic
import uvloop

from laburnumgate_host import callers
from laburnumgate_host import events
from laburnumgate_host import guard
from laburnumgate_host import host as host_module
from laburnumgate_host import logs
from laburnumgate_host import operators
from laburnumgate_host import settings
from laburnumgate_host import shutdown
from laburnumgate_host import sockets

_LOGGER = logging.getLogger(__name__)


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    required=True,
    help="TOML settings of this host.",
)
@click.option("--log-level", default="INFO", show_default=True)
def main(path: pathlib.Path, log_level: str) -> None:
    """Runs one entry host until SIGTERM or SIGINT."""
    try:
        host_settings = settings.load(path.read_text())
    except settings.SettingsError as error:
        click.echo(f"{path.name}: {error}", err=True)
        sys.exit(2)
    logs.set_up(host_settings.host.host_id, log_level)
    uvloop.run(_run(host_settings))


async def _run(host_settings: settings.Settings) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stopping.set)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        host = host_module.Host(host_settings, session, clock.SystemClock())
        rpc_server = await host.peers.serve(
            host, host_settings.host.ip, host_settings.host.rpc_port
        )
        http_server = await _serve_http(host_settings, host)
        host.start()
        events.emit(_LOGGER, events.Event.HOST_STARTED)
        await stopping.wait()
        events.emit(_LOGGER, events.Event.HOST_LEAVING)
        await shutdown.Shutdown(host).run(http_server.close)
        await http_server.wait_closed()
        rpc_server.close()
        await host.stop()
    events.emit(_LOGGER, events.Event.HOST_STOPPED)


async def _serve_http(host_settings: settings.Settings, host: host_module.Host):
    app = sanic.Sanic("laburnumgated", configure_logging=False)
    app.config.REQUEST_MAX_SIZE = 4 * requests.MAX_BODY_BYTES
    shutdown.track_requests(app, host)
    guard.track_requests(app)
    callers.add_routes(app, host)
    operators.add_routes(app, host)
    table = connections.ConnectionTable(
        connections.callers_limits(
            host_settings.limits.memory_mb, host_settings.limits.descriptors
        ),
        host.clock,
    )
    guard.GuardedProtocol.table = table
    host.spawn(guard.tick_loop(table))
    server = await app.create_server(
        sock=sockets.bind(
            host_settings.host.ip,
            host_settings.host.http_port,
            connections.RECEIVE_BUFFER_BYTES,
        ),
        protocol=guard.GuardedProtocol,
        return_asyncio_server=True,
        access_log=False,
    )
    await server.startup()
    await server.start_serving()
    return server


if __name__ == "__main__":
    main()
