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


@contextlib.asynccontextmanager
async def limit(timeout_ms: float) -> AsyncIterator[None]:
    """Cancels the enclosed call after a timeout.

    Args:
      timeout_ms: time that the other side has to answer.

    Raises:
      TimeoutError: There was no answer in time.
    """
    loop = asyncio.get_running_loop()
    due = loop.time() + timeout_ms / 1000
    async with asyncio.timeout(None) as timeout:

        def expire() -> None:
            now = loop.time()
            late = now - due > LATE_TIMER_MS / 1000
            timeout.reschedule(now + (CATCH_UP_MS / 1000 if late else 0))

        timer = loop.call_at(due, expire)
        try:
            yield
        finally:
            timer.cancel()
