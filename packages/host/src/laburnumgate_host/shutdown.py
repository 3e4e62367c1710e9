"""Graceful shutdown: hands over without aborting requests."""

import asyncio
from collections.abc import Callable
import logging

import sanic

from laburnumgate_host import events
from laburnumgate_host import host as host_module

_LOGGER = logging.getLogger(__name__)
POLL_MS = 20
# Time during which new connections are still accepted, for callers that were
# connecting when the shutdown began.
LINGER_MS = 500
# Launches finish within the endpoints' exclusive leases of 5 s.
LAUNCH_SHARE = 0.5


def track_requests(app: sanic.Sanic, host: host_module.Host) -> None:
    """Counts open requests; disables keep-alive when the host is leaving."""

    @app.middleware("request")
    async def opened(request: sanic.Request):
        host.open_requests += 1

    @app.middleware("response")
    async def closed(request: sanic.Request, response: sanic.HTTPResponse):
        host.open_requests -= 1
        if host.leaving:
            request.stream.keep_alive = False


class Shutdown:
    """Takes a host out of service within the grace period."""

    def __init__(self, host: host_module.Host):
        self._host = host
        self._until_ms = 0

    async def run(self, stop_listening: Callable[[], None]) -> bool:
        """Takes the host out of service.

        Args:
          stop_listening: closes the HTTP server's listening socket.

        Returns:
          Whether all records and requests completed within the grace period.
        """
        host = self._host
        grace_ms = host.settings.timing.shutdown_grace_ms
        self._until_ms = host.clock.now_ms() + grace_ms
        host.leaving = True
        host.apply_stops()
        host.wake_waiters()
        launch_ms = int(grace_ms * LAUNCH_SHARE)
        await self._wait(
            lambda: not host.launching, self._until_ms - grace_ms + launch_ms
        )
        host.launches_over = True
        await host.heartbeats.announce(host.peers)
        host.wake_waiters()
        kept = await self._wait(self._records_kept, self._until_ms)
        await asyncio.sleep(LINGER_MS / 1000)
        stop_listening()
        served = await self._wait(
            lambda: host.open_requests == 0, self._until_ms
        )
        # Leaves time to write the last response to the socket.
        await asyncio.sleep(POLL_MS / 1000)
        if not (kept and served):
            events.emit(
                _LOGGER,
                events.Event.SHUTDOWN_CUT,
                logging.WARNING,
                unsent_records=len(host.journal),
                open_requests=host.open_requests,
            )
        return kept and served

    def _records_kept(self) -> bool:
        """Whether every record is in the log or was sent to the peers."""
        host = self._host
        if len(host.journal) == 0:
            return True
        return not host.journal.reachable and host.sharing.unshared == 0

    async def _wait(self, is_done: Callable[[], bool], until_ms: int) -> bool:
        while not is_done():
            if self._host.clock.now_ms() >= until_ms:
                return False
            await asyncio.sleep(POLL_MS / 1000)
        return True
