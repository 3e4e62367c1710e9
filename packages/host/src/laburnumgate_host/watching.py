"""Watches the reports of a zone's endpoints while this host places."""

import asyncio
from collections.abc import Callable
import logging

from laburnumgate_core import actions
from laburnumgate_core import clock

from laburnumgate_host import endpoints
from laburnumgate_host import events
from laburnumgate_host import settings

_LOGGER = logging.getLogger(__name__)
RETRY_PAUSE_MS = 500


class Watch:
    """One long poll for each watched endpoint."""

    def __init__(
        self,
        client: endpoints.EndpointClient,
        timing: settings.Timing,
        time: clock.Clock,
        on_result: Callable[[actions.Result], None],
    ):
        self._client = client
        self._timing = timing
        self._clock = time
        self._on_result = on_result
        self._tasks_by_id: dict[str, asyncio.Task] = {}

    def update(self, wanted: set[str]) -> None:
        """Watches exactly the wanted endpoints from now on."""
        for endpoint_id in wanted - self._tasks_by_id.keys():
            self._tasks_by_id[endpoint_id] = (
                asyncio.get_running_loop().create_task(self._watch(endpoint_id))
            )
        for endpoint_id in self._tasks_by_id.keys() - wanted:
            self._tasks_by_id.pop(endpoint_id).cancel()

    async def _watch(self, endpoint_id: str) -> None:
        while True:
            try:
                await self._follow(endpoint_id)
            except Exception:
                _LOGGER.exception(
                    events.Event.TASK_CRASHED.text,
                    extra={"event": events.Event.TASK_CRASHED.number},
                )
            await asyncio.sleep(RETRY_PAUSE_MS / 1000)

    async def _follow(self, endpoint_id: str) -> None:
        since = 0
        heard_ms = self._clock.now_ms()
        lost = False
        while True:
            page = await self._client.report(
                endpoint_id, since, self._timing.report_wait_ms if since else 0
            )
            now_ms = self._clock.now_ms()
            if page is not None:
                heard_ms = now_ms
                lost = False
                if page.rev < since:
                    # The endpoint restarted: ask for everything again.
                    since = 0
                    continue
                since = page.rev
                self._on_result(page.report)
                continue
            silent_ms = now_ms - heard_ms
            if not lost and silent_ms > self._timing.endpoint_lost_after_ms:
                lost = True
                events.emit(
                    _LOGGER,
                    events.Event.ENDPOINT_LOST,
                    logging.WARNING,
                    endpoint=endpoint_id,
                )
                self._on_result(actions.EndpointLost(endpoint_id))
            await asyncio.sleep(RETRY_PAUSE_MS / 1000)
