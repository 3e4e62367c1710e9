"""Limits job starts in a zone that has just returned to service."""

RAMP_MS = 10_000
# Share of the zone's accelerators that may be used immediately on its return.
INITIAL_SHARE = 0.1


class Ramp:
    """Raises the limit on starts linearly to the zone's full capacity."""

    def __init__(self):
        self._started_ms = -RAMP_MS
        self._started_accelerators = 0

    def restart(self, now_ms: int) -> None:
        """Restarts the ramp when the zone returns to service."""
        self._started_ms = now_ms
        self._started_accelerators = 0

    def note_start(self, accelerators: int) -> None:
        """Adds the accelerators of a started job."""
        self._started_accelerators += accelerators

    def allows(self, total: int, now_ms: int) -> bool:
        """Whether a zone of `total` accelerators may start one more job."""
        elapsed_ms = now_ms - self._started_ms
        if elapsed_ms >= RAMP_MS:
            return True
        share = INITIAL_SHARE + elapsed_ms / RAMP_MS
        return self._started_accelerators < share * total
