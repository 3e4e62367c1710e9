"""Measures the bytes of single calls to an endpoint and to the log.

Run as `python -m laburnumgate_bench.wire`. A server on a loopback address
counts the requests of the daemon's own clients and its responses, with HTTP
headers but without TCP framing.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json

import aiohttp
import click
from laburnumgate_core import actions
from laburnumgate_core import clock
from laburnumgate_core import model
from laburnumgate_host import endpoints
from laburnumgate_host import platform

TIMEOUT_MS = 2_000
# Running tasks of an endpoint at the target size: 5,700 on 1,000 endpoints.
TASKS_PER_ENDPOINT = 6


class _CountingServer:
    """HTTP server that returns a fixed body and counts bytes."""

    def __init__(self):
        self.body = b"{}"
        self.received_bytes = 0
        self.sent_bytes = 0

    async def serve(self, reader, writer) -> None:
        """Serves one connection until the client closes it."""
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                writer.close()
                return
            length = 0
            for line in head.split(b"\r\n"):
                if line.lower().startswith(b"content-length:"):
                    length = int(line.split(b":")[1])
            await reader.readexactly(length)
            self.received_bytes += len(head) + length
            answer = (
                b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
                b"connection: keep-alive\r\ncontent-length: "
                + str(len(self.body)).encode()
                + b"\r\n\r\n"
                + self.body
            )
            self.sent_bytes += len(answer)
            writer.write(answer)
            await writer.drain()


async def measure() -> dict[str, int]:
    """Returns the bytes of each call, request and response together."""
    counter = _CountingServer()
    server = await asyncio.start_server(counter.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    url = f"http://127.0.0.1:{port}"
    bytes_by_call: dict[str, int] = {}

    async def measure_call(
        name: str, body: object, call: Callable[[], Awaitable[object]]
    ) -> None:
        counter.body = json.dumps(body).encode()
        counter.received_bytes = counter.sent_bytes = 0
        await call()
        bytes_by_call[name] = counter.received_bytes + counter.sent_bytes

    async with aiohttp.ClientSession() as session:
        client = endpoints.EndpointClient(
            session, "zone-01-host-1", TIMEOUT_MS, clock.SystemClock()
        )
        client.endpoints_by_id = {"e": _endpoint(f"{url}/zone-01-rack-01-1")}
        ids = tuple(
            f"account-{n}/request-{n:08d}/1/{n}"
            for n in range(TASKS_PER_ENDPOINT)
        )
        renew = actions.RenewTasks("e", ids, 60_000)
        await measure_call(
            "renewal of an endpoint's tasks",
            {"task_ids": ids},
            lambda: client.execute(renew),
        )
        report = {"boot_id": "0" * 32, "rev": 1, "tasks": [], "usage": {}}
        await measure_call(
            "report without a change",
            report,
            lambda: client.report("e", 1, 0),
        )
        log = platform.Platform(session, url, url, "zone-01-host-1", TIMEOUT_MS)
        empty_page = {"records": [], "first_offset": 1, "next_offset": 1}
        await measure_call(
            "read of the log without an entry",
            empty_page,
            lambda: log.read("jobs", 1, 0),
        )
    server.close()
    return bytes_by_call


def _endpoint(url: str) -> model.Endpoint:
    return model.Endpoint(
        endpoint_id="e",
        zone="zone-01",
        rack="zone-01-rack-01",
        url=url,
        accelerators=8,
        cpus=32,
        memory_mb=65_536,
    )


@click.command()
def main() -> None:
    """Prints the bytes of each call."""
    for name, size in asyncio.run(measure()).items():
        click.echo(f"{name}: {size} bytes")


if __name__ == "__main__":
    main()
