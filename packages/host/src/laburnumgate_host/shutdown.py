"""Graceful shutdown: hands over without aborting requests."""

import asyncio
from collections.abc import Callable
import logging

import sanic

from laburnumgate_host import events
from laburnumgate_host import host as host_module

_LOGGER = logging.getLogger(__name__)
POLL_INTERVAL_MS = 20
# Time during which new connections are still accepted, for callers that were
# connecting when the shutdown began.
ACCEPT_GRACE_MS = 500
# Launches finish within the endpoints' exclusive leases of 5 s.
LAUNCH_GRACE_FRACTION = 0.5


def track_requests(app: sanic.Sanic, host: host_module.Host) -> None:
    """Counts open requests; disables keep-alive when the host is leaving."""

    @app.middleware("request")
    async def count_opened(request: sanic.Request):
        host.open_requests += 1

    @app.middleware("response")
    async def count_closed(
        request: sanic.Request, response: sanic.HTTPResponse
    ):
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
        launch_ms = int(grace_ms * LAUNCH_GRACE_FRACTION)
        await self._wait_until(
            lambda: not host.launching, self._until_ms - grace_ms + launch_ms
        )
        host.launches_finished = True
        await host.heartbeats.announce(host.peers)
        host.wake_waiters()
        records_safe = await self._wait_until(
            self._records_are_safe, self._until_ms
        )
        await asyncio.sleep(ACCEPT_GRACE_MS / 1000)
        stop_listening()
        served = await self._wait_until(
            lambda: host.open_requests == 0, self._until_ms
        )
        # Leaves time to write the last response to the socket.
        await asyncio.sleep(POLL_INTERVAL_MS / 1000)
        if not (records_safe and served):
            events.emit(
                _LOGGER,
                events.Event.SHUTDOWN_CUT,
                logging.WARNING,
                unsent_records=len(host.journal),
                open_requests=host.open_requests,
            )
        return records_safe and served

    def _records_are_safe(self) -> bool:
        """Whether every record is in the log or was sent to the peers."""
        host = self._host
        if len(host.journal) == 0:
            return True
        return not host.journal.reachable and host.sharing.unshared_count == 0

    async def _wait_until(
        self, is_done: Callable[[], bool], until_ms: int
    ) -> bool:
        while not is_done():
            if self._host.clock.now_ms() >= until_ms:
                return False
            await asyncio.sleep(POLL_INTERVAL_MS / 1000)
        return True
