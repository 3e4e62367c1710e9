"""Quarantines endpoints on which runs of several jobs fail in a row.

Failures of a single job do not count as a fault of the endpoint.
"""

import dataclasses

FAILURES_TO_QUARANTINE = 3
JOBS_TO_QUARANTINE = 2
PAUSE_MIN_MS = 30_000
PAUSE_MAX_MS = 600_000


@dataclasses.dataclass(frozen=True)
class _Health:
    failures: int = 0
    job_ids: frozenset[str] = frozenset()
    pause_ms: int = 0
    until_ms: int = 0


_SOUND = _Health()


class QuarantineTable:
    """Consecutive failures by endpoint; healthy endpoints have no entry."""

    def __init__(self):
        self._health_by_id: dict[str, _Health] = {}

    def failed(self, endpoint_id: str, job_id: str, now_ms: int) -> bool:
        """Records a failed run; returns whether the endpoint is quarantined."""
        old = self._health_by_id.get(endpoint_id, _SOUND)
        job_ids = old.job_ids | {job_id}
        if len(old.job_ids) >= JOBS_TO_QUARANTINE:
            job_ids = old.job_ids
        new = _Health(old.failures + 1, job_ids, old.pause_ms, old.until_ms)
        bad = (
            new.failures >= FAILURES_TO_QUARANTINE
            and len(job_ids) >= JOBS_TO_QUARANTINE
        )
        if bad and now_ms >= old.until_ms:
            pause_ms = min(PAUSE_MAX_MS, max(PAUSE_MIN_MS, old.pause_ms * 2))
            new = dataclasses.replace(
                new, pause_ms=pause_ms, until_ms=now_ms + pause_ms
            )
        self._health_by_id[endpoint_id] = new
        return bad

    def succeeded(self, endpoint_id: str) -> None:
        """Records a successful run, which ends a quarantine."""
        self._health_by_id.pop(endpoint_id, None)

    def until_ms(self, endpoint_id: str) -> int:
        """Returns when the endpoint may be probed, 0 without quarantine."""
        return self._health_by_id.get(endpoint_id, _SOUND).until_ms

    def suspect(self, endpoint_id: str) -> bool:
        """Whether the most recent run on the endpoint failed there."""
        return endpoint_id in self._health_by_id

    def forget(self, endpoint_id: str) -> None:
        """Removes an endpoint that left the live list."""
        self._health_by_id.pop(endpoint_id, None)
