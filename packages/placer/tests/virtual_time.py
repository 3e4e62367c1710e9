"""An event loop whose time moves only when nothing is left to do.

Timers fire in order and without waiting, so that seconds of a test take
milliseconds and each play of a schedule is the same.
"""

import asyncio
import selectors


class _Selector(selectors.SelectSelector):
    """Moves the time of its loop instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise AssertionError("all tasks wait for each other")
        self.now_s += max(0.0, timeout)
        return []


class Loop(asyncio.SelectorEventLoop):
    """An event loop in virtual time; it does no I/O."""

    def __init__(self):
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self):
        return self._virtual.now_s

    def skip(self, by_s):
        """Lets time pass in which no timer fires."""
        self._virtual.now_s += by_s


class Clock:
    """Clock of a loop in whole ms, as `laburnumgate_core.clock.Clock`."""

    def __init__(self, loop, start_ms):
        self._loop = loop
        self._start_ms = start_ms

    def now_ms(self) -> int:
        return self._start_ms + int(self._loop.time() * 1000 + 1e-6)


def run(coroutine_function):
    """Runs a coroutine function with a loop of its own as argument."""
    loop = Loop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(coroutine_function(loop))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0.001))
        asyncio.set_event_loop(None)
        loop.close()
