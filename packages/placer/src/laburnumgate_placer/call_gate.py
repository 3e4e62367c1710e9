"""Limits the calls to endpoints that are under way at the same time."""

import asyncio
import collections
from collections.abc import AsyncIterator
import contextlib

from laburnumgate_core import clock

from laburnumgate_placer.overload import dispatch


class CallGate:
    """Lets calls through in order of arrival, up to a limit.

    The limit follows the latency of the answers; see `overload.dispatch`.
    """

    def __init__(self, monotonic: clock.Clock):
        self._monotonic = monotonic
        self._window = dispatch.Window()
        self._under_way = 0
        self._waiting: collections.deque[asyncio.Future] = collections.deque()

    async def wait(self) -> None:
        """Waits until a call may be sent, after those that waited before."""
        async with self.call():
            pass

    @contextlib.asynccontextmanager
    async def call(self) -> AsyncIterator[None]:
        """Waits for a turn and counts the enclosed call as under way."""
        if self._waiting or self._under_way >= self._window.calls:
            turn = asyncio.get_running_loop().create_future()
            self._waiting.append(turn)
            try:
                await turn
            except asyncio.CancelledError:
                if turn in self._waiting:
                    self._waiting.remove(turn)
                else:
                    self._release()
                raise
        else:
            self._under_way += 1
        try:
            yield
        finally:
            self._release()

    def record_answer(self, sent_ms: int) -> None:
        """Adapts the limit to a call that was sent at `sent_ms`."""
        now_ms = self._monotonic.now_ms()
        self._window = self._window.after_answer(now_ms - sent_ms, now_ms)

    def _release(self) -> None:
        self._under_way -= 1
        while self._waiting and self._under_way < self._window.calls:
            turn = self._waiting.popleft()
            if turn.done():
                continue
            self._under_way += 1
            turn.set_result(None)
