"""Capacity of stand-in workers that shrinks and grows while they run."""

import random
import time

HEARTBEAT_S = 1.5
# Time after the heartbeat at which all hosts must have seen a change.
CONTACT_S = 3.0
MIN_SHRUNK_GPU = 2
MAX_SHRUNK_GPU = 6
MIN_SHRUNK_S = 2.0
MAX_SHRUNK_S = 10.0


class Capacity:
    """The accelerators of a worker over time.

    Attributes:
      full: number of accelerators while the capacity is not shrunk.
      gpu: current number of accelerators.
    """

    def __init__(self, full: int):
        self.full = full
        self.gpu = full
        # Start of each period, in monotonic seconds, and its accelerators.
        self._periods: list[tuple[float, int]] = [(float("-inf"), full)]

    def set(self, gpu: int, now: float | None = None) -> None:
        """Changes the capacity at a monotonic time in seconds."""
        if gpu == self.gpu:
            return
        self.gpu = gpu
        self._periods.append((time.monotonic() if now is None else now, gpu))

    def limit_at(self, at: float) -> int:
        """Returns the accelerators that starts may use in total.

        A shrunk capacity counts after a heartbeat and `CONTACT_S`, a larger one
        at once.

        Args:
          at: monotonic time of the start order in seconds.
        """
        earliest = at - HEARTBEAT_S - CONTACT_S
        limit = 0
        ends = [start for start, _ in self._periods[1:]] + [float("inf")]
        for (start, gpu), end in zip(self._periods, ends, strict=True):
            if start <= at and end > earliest:
                limit = max(limit, gpu)
        return limit


def draw_shrunk(rng: random.Random) -> tuple[int, float]:
    """Returns the accelerators left and the duration in seconds."""
    gpu = rng.randint(MIN_SHRUNK_GPU, MAX_SHRUNK_GPU)
    return gpu, rng.uniform(MIN_SHRUNK_S, MAX_SHRUNK_S)
