"""Tests of the report polls of endpoints."""

import asyncio

from laburnumgate_core import actions
from laburnumgate_core import clock
from laburnumgate_host import settings
from laburnumgate_host import watching

OWN = """
[host]
host_id = "h1"
zone = "calama-b"
region = "norte-grande"
ip = "127.0.2.1"
http_port = 8080
rpc_port = 8081
[platform]
log_url = "http://127.0.0.1:9000"
live_list_url = "http://127.0.0.1:9001"
"""


class SilentClient:
    """Stands for endpoints that do not answer; each poll takes 1 s."""

    def __init__(self, time: clock.ManualClock):
        self._clock = time

    async def report(self, endpoint_id: str, since: int, wait_ms: int):
        self._clock.advance(1_000)
        await asyncio.sleep(0)


def test_a_loss_is_told_while_the_endpoint_is_not_marked_as_leaving(
    monkeypatch,
):
    """Guards against taking each crashed endpoint for a draining one."""
    monkeypatch.setattr(watching, "RETRY_BACKOFF_MS", 0)
    time = clock.ManualClock()
    told = []

    async def watch() -> None:
        watcher = watching.EndpointWatcher(
            SilentClient(time),
            settings.load(OWN).timing,
            time,
            told.append,
            lambda: told.append("changed"),
        )
        watcher.update({"e"})
        while len(told) < 2:
            await asyncio.sleep(0)
        watcher.update(set())

    asyncio.run(watch())
    assert told == [actions.EndpointLost("e"), "changed"]
