"""Limits the calls that watch endpoints for orders in doubt.

Load: after the loss of a zone or a change of the leader, orders to many
endpoints are in doubt at once. A leader with a small processor cannot call all
of them several times a second beside its other work.
"""

# Maximum rate of these calls, to all endpoints together.
MAX_CALLS_PER_S = 50
# Maximum number of calls that may follow an idle time at once.
MAX_BURST = 10


class Budget:
    """Token bucket of the calls to all endpoints."""

    def __init__(self):
        self._tokens = float(MAX_BURST)
        self._filled_ms: int | None = None

    def take(self, now_ms: int) -> bool:
        """Counts a call at `now_ms`, monotonic time, if it may be made."""
        if self._filled_ms is not None:
            passed_ms = max(0, now_ms - self._filled_ms)
            added = passed_ms * MAX_CALLS_PER_S / 1000
            self._tokens = min(MAX_BURST, self._tokens + added)
        self._filled_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
