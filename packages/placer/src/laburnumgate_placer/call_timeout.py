"""Timeout of a call that does not blame the other side for a late event loop.

After a stall (a suspended process, a long computation) timers run before the
sockets are read, so an answer that arrived in time would be discarded.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib

# A timer that fires this late shows that the event loop was stalled.
LATE_TIMER_MS = 20
# Time to handle answers that arrived during a stall.
CATCH_UP_MS = 60


class Limit:
    """Time limit of a call that is under way."""

    def __init__(self, timeout: asyncio.Timeout, timeout_ms: float):
        self._loop = asyncio.get_running_loop()
        self._timeout = timeout
        self._timeout_s = timeout_ms / 1000
        self._due = self._loop.time() + self._timeout_s
        self._timer = self._loop.call_at(self._due, self._expire)

    def restart(self) -> None:
        """Starts the period anew, after the other side made progress."""
        if self._timeout.expired():
            return
        self._due = self._loop.time() + self._timeout_s
        if self._timeout.when() is not None:
            # The timer has fired late, and the answer arrived after all.
            self._timeout.reschedule(None)
            self._timer = self._loop.call_at(self._due, self._expire)

    def cancel(self) -> None:
        """Removes the limit."""
        self._timer.cancel()

    def _expire(self) -> None:
        now = self._loop.time()
        if now < self._due:
            self._timer = self._loop.call_at(self._due, self._expire)
            return
        late = now - self._due > LATE_TIMER_MS / 1000
        self._timeout.reschedule(now + (CATCH_UP_MS / 1000 if late else 0))


@contextlib.asynccontextmanager
async def limit(timeout_ms: float) -> AsyncIterator[Limit]:
    """Cancels the enclosed call after a period without progress.

    Args:
      timeout_ms: time that the other side has to answer, and to continue its
        answer each time that `Limit.restart` was called.

    Raises:
      TimeoutError: There was no answer, or no progress, in time.
    """
    async with asyncio.timeout(None) as timeout:
        current = Limit(timeout, timeout_ms)
        try:
            yield current
        finally:
            current.cancel()
