"""Spreads the decoding of bodies over turns of the event loop.

Answers load from many large bodies that are complete at the same time. Each is
decoded without a pause, for up to 0.3 s, and all in one turn of the event loop
would delay leases, leadership and other callers for seconds.
"""

import asyncio
import collections

# Bytes of small bodies that are decoded in one turn.
SMALL_BODIES_BYTES = 16_384


class BodyTurns:
    """Decides when a body is decoded.

    In one turn small bodies of `SMALL_BODIES_BYTES` together are decoded, and
    one larger body. Small ones do not wait for larger ones.
    """

    def __init__(self):
        self._small = _Lane(SMALL_BODIES_BYTES)
        self._large = _Lane(1)

    async def wait(self, size: int) -> bool:
        """Waits until a body may be decoded.

        Args:
          size: its length in bytes.

        Returns:
          Whether other tasks ran meanwhile.
        """
        lane = self._small if size <= SMALL_BODIES_BYTES else self._large
        return await lane.wait(size)


class _Lane:
    """Bodies that wait for each other, served in order."""

    def __init__(self, bytes_per_turn: int):
        self._bytes_per_turn = bytes_per_turn
        self._left_bytes = bytes_per_turn
        self._waiting: collections.deque[tuple[int, asyncio.Future]] = (
            collections.deque()
        )
        self._turn_scheduled = False

    async def wait(self, size: int) -> bool:
        if not self._waiting and self._take(size):
            return False
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append((size, turn))
        await turn
        return True

    def _take(self, size: int) -> bool:
        """Takes a part of this turn; a whole one is enough for any body."""
        if size > self._left_bytes < self._bytes_per_turn:
            return False
        self._left_bytes -= size
        if not self._turn_scheduled:
            self._turn_scheduled = True
            asyncio.get_running_loop().call_soon(self._begin_turn)
        return True

    def _begin_turn(self) -> None:
        self._turn_scheduled = False
        self._left_bytes = self._bytes_per_turn
        while self._waiting:
            size, turn = self._waiting[0]
            # One whose request was interrupted needs no time.
            if not turn.done() and not self._take(size):
                return
            self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
