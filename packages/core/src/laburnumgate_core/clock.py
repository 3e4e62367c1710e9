"""Clocks that return whole milliseconds."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of the current time."""

    def now_ms(self) -> int:
        """Returns the time in ms since the Unix epoch."""
        ...


class SystemClock:
    """Wall clock that never goes backwards within a process.

    It reads the system time once at the start and advances monotonically.
    """

    def __init__(self):
        self._offset_ms = time.time_ns() // 1_000_000 - _monotonic_ms()

    def now_ms(self) -> int:
        """Returns the time in ms since the Unix epoch."""
        return _monotonic_ms() + self._offset_ms


class ManualClock:
    """A clock for tests that moves only through `advance`."""

    def __init__(self, start_ms: int = 0):
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Returns the time that was set, in ms."""
        return self._now_ms

    def advance(self, by_ms: int) -> None:
        """Moves the clock forward by `by_ms` milliseconds.

        Raises:
          ValueError: if `by_ms` is negative.
        """
        if by_ms < 0:
            raise ValueError(f"cannot move the clock back by {-by_ms} ms")
        self._now_ms += by_ms


def _monotonic_ms() -> int:
    return time.monotonic_ns() // 1_000_000


def suspended_ms() -> int:
    """Returns how long the machine has been suspended since its boot, in ms.

    It is the part of `MonotonicClock` in which nothing ran on this machine.
    Clocks of other machines may have stood still as well in that time.
    """
    # The two clocks are read one after the other; the least difference is the
    # one that was least delayed.
    return min(_suspended_ns() for _ in range(2)) // 1_000_000


def _suspended_ns() -> int:
    steady_ns = time.clock_gettime_ns(time.CLOCK_MONOTONIC)
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) - steady_ns


class MonotonicClock:
    """Time since boot, which also advances while the machine is suspended.

    Leases and the age of cached state are measured with it, so that a process
    that was suspended detects on resuming that its leases have expired.
    """

    def now_ms(self) -> int:
        """Returns the time in ms since the machine was booted."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class WallClock:
    """Wall-clock time at process start, advanced by `MonotonicClock`.

    Later adjustments of the system clock have no effect on it.
    """

    def __init__(self):
        self._monotonic = MonotonicClock()
        self._offset_ms = time.time_ns() // 1_000_000 - self._monotonic.now_ms()

    def now_ms(self) -> int:
        """Returns the time in ms since the Unix epoch."""
        return self._monotonic.now_ms() + self._offset_ms
