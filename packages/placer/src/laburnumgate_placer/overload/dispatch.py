"""How many orders are under way at the same time.

Load pattern: a job of a hundred tasks, or the first contact of a new leader
with all endpoints, starts as many calls at once. If the processor or the link
of the host cannot carry them, all of them are answered late, time out, and are
repeated. The number of calls therefore follows the latency of the answers.
Calls without an answer do not count, since lost endpoints cause them as well.
"""

import dataclasses

INITIAL_CALLS = 64
MIN_CALLS = 12
MAX_CALLS = 256
# Answers that take longer show that calls queue up on this host.
SLOW_ANSWER_MS = 150
GROWTH_PER_ANSWER = 0.5
SLOW_FACTOR = 0.7
# Answers of calls that were sent before a reduction do not reduce it again.
REDUCTION_INTERVAL_MS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """Number of calls that may be under way.

    Attributes:
      calls: the number; fractions add up with each answer.
      reduced_ms: monotonic time of the latest reduction.
    """

    calls: float = INITIAL_CALLS
    reduced_ms: int = 0

    def after_answer(self, latency_ms: int, now_ms: int) -> "Window":
        """Returns the window after an answered call."""
        if latency_ms < SLOW_ANSWER_MS:
            calls = min(MAX_CALLS, self.calls + GROWTH_PER_ANSWER)
            return dataclasses.replace(self, calls=calls)
        if now_ms - self.reduced_ms < REDUCTION_INTERVAL_MS:
            return self
        return Window(max(MIN_CALLS, self.calls * SLOW_FACTOR), now_ms)
