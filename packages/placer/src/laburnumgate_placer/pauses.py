"""Pauses in long work, so that heartbeats and answers are in time."""

import asyncio

from laburnumgate_core import clock

# Longest time for which work that can be interrupted occupies the event loop.
MAX_BUSY_MS = 50


class Pauses:
    """Lets other tasks run while a task works for long without waiting."""

    def __init__(self, monotonic: clock.Clock):
        """Begins the first stretch of work."""
        self._monotonic = monotonic
        self._since_ms = monotonic.now_ms()

    def due(self) -> bool:
        """Whether the task has worked for `MAX_BUSY_MS` without a pause."""
        return self._monotonic.now_ms() - self._since_ms >= MAX_BUSY_MS

    async def take(self) -> None:
        """Lets other tasks run, if a pause is due."""
        if self.due():
            await asyncio.sleep(0)
            self._since_ms = self._monotonic.now_ms()
