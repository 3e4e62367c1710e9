"""Limits the time in which a placement pass goes through the waiting steps."""

from collections.abc import Iterator

from laburnumgate_core import clock

from laburnumgate_placer import ordering
from laburnumgate_placer.overload import passes


class Turns:
    """Decides which of the waiting steps a pass tries to place.

    A pass that takes too long tries the steps that come first in rank order,
    then some of the others. These go on in the next pass where this one ended,
    so that every step is tried after some passes.
    """

    def __init__(self, monotonic: clock.Clock):
        self._monotonic = monotonic
        self._until_ms = 0
        # Keys of the steps that were tried out of order since all of them were.
        self._tried: set[tuple[str, int, int]] = set()

    def over(self) -> bool:
        """Whether the time for the steps that are tried now is over."""
        return self._monotonic.now_ms() >= self._until_ms

    def take(
        self, waiting: list[ordering.WaitingStep]
    ) -> Iterator[ordering.WaitingStep]:
        """Yields the steps that are tried in this pass.

        Args:
          waiting: all steps with units that may start, in rank order.
        """
        self._until_ms = self._monotonic.now_ms() + passes.RANKED_MS
        for position, step in enumerate(waiting):
            if position and self.over():
                yield from self._others(waiting[position:])
                return
            yield step
        self._tried.clear()

    def _others(
        self, waiting: list[ordering.WaitingStep]
    ) -> Iterator[ordering.WaitingStep]:
        """Yields some of the steps that there was no time for."""
        self._until_ms = self._monotonic.now_ms() + passes.OTHERS_MS
        left = [step for step in waiting if step.key not in self._tried]
        if not left:
            self._tried.clear()
            left = waiting
        for step in left:
            if self.over():
                return
            self._tried.add(step.key)
            yield step
