"""Polls the reports of a zone's endpoints while this host places."""

import asyncio
from collections.abc import Callable
import logging

from laburnumgate_core import actions
from laburnumgate_core import clock

from laburnumgate_host import endpoints
from laburnumgate_host import events
from laburnumgate_host import settings

_LOGGER = logging.getLogger(__name__)
RETRY_BACKOFF_MS = 500


class EndpointWatcher:
    """Runs one long-poll loop for each watched endpoint."""

    def __init__(
        self,
        client: endpoints.EndpointClient,
        timing: settings.Timing,
        time: clock.Clock,
        on_result: Callable[[actions.Result], None],
        on_change: Callable[[], None],
    ):
        """Initialises the watcher without any endpoints.

        Args:
          client: calls the endpoints.
          timing: intervals and timeouts in ms.
          time: source of the current time.
          on_result: called with each report and each `EndpointLost`.
          on_change: called after `lost_ids` has changed.
        """
        # Endpoints that have not answered for `endpoint_lost_after_ms`.
        self.lost_ids: set[str] = set()
        self._client = client
        self._timing = timing
        self._clock = time
        self._on_result = on_result
        self._on_change = on_change
        self._tasks_by_id: dict[str, asyncio.Task] = {}

    def update(self, wanted: set[str]) -> None:
        """Starts and stops polls so that exactly `wanted` is watched."""
        for endpoint_id in wanted - self._tasks_by_id.keys():
            self._tasks_by_id[endpoint_id] = (
                asyncio.get_running_loop().create_task(
                    self._watch_loop(endpoint_id)
                )
            )
        for endpoint_id in self._tasks_by_id.keys() - wanted:
            self._tasks_by_id.pop(endpoint_id).cancel()
            self.lost_ids.discard(endpoint_id)

    async def _watch_loop(self, endpoint_id: str) -> None:
        while True:
            try:
                await self._poll_reports_loop(endpoint_id)
            except Exception:
                _LOGGER.exception(
                    events.Event.TASK_CRASHED.text,
                    extra={"event": events.Event.TASK_CRASHED.number},
                )
            await asyncio.sleep(RETRY_BACKOFF_MS / 1000)

    async def _poll_reports_loop(self, endpoint_id: str) -> None:
        since = 0
        last_answer_ms = self._clock.now_ms()
        answers = True
        while True:
            # After a failed poll the next one returns without waiting.
            wait_ms = self._timing.report_wait_ms if since and answers else 0
            page = await self._client.report(endpoint_id, since, wait_ms)
            now_ms = self._clock.now_ms()
            answers = page is not None
            if page is None:
                if (
                    now_ms - last_answer_ms
                    > self._timing.endpoint_lost_after_ms
                ):
                    self._mark_lost(endpoint_id)
                await asyncio.sleep(RETRY_BACKOFF_MS / 1000)
                continue
            last_answer_ms = now_ms
            self._mark_answered(endpoint_id)
            if page.rev < since:
                # The endpoint restarted: request a full report.
                since = 0
                continue
            since = page.rev
            self._on_result(page.report)

    def _mark_lost(self, endpoint_id: str) -> None:
        if endpoint_id in self.lost_ids:
            return
        self.lost_ids.add(endpoint_id)
        events.emit(
            _LOGGER,
            events.Event.ENDPOINT_LOST,
            logging.WARNING,
            endpoint=endpoint_id,
        )
        # Told before the change, which marks the endpoint as leaving: the loss
        # of an endpoint that was leaving already is not a crash.
        self._on_result(actions.EndpointLost(endpoint_id))
        self._on_change()

    def _mark_answered(self, endpoint_id: str) -> None:
        if endpoint_id in self.lost_ids:
            self.lost_ids.discard(endpoint_id)
            self._on_change()
