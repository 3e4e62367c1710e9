"""Quarantines endpoints on which runs of several jobs fail in a row.

Failures of a single job do not count as a fault of the endpoint.
"""

import dataclasses

FAILURES_TO_QUARANTINE = 3
JOBS_TO_QUARANTINE = 2
QUARANTINE_MIN_MS = 30_000
QUARANTINE_MAX_MS = 600_000


@dataclasses.dataclass(frozen=True)
class _Health:
    failures: int = 0
    job_ids: frozenset[str] = frozenset()
    quarantine_ms: int = 0
    until_ms: int = 0


_HEALTHY = _Health()


class QuarantineTable:
    """Consecutive failures by endpoint; healthy endpoints have no entry."""

    def __init__(self):
        self._health_by_id: dict[str, _Health] = {}

    def record_failure(
        self, endpoint_id: str, job_id: str, now_ms: int
    ) -> bool:
        """Records a failed run; returns whether the endpoint is quarantined."""
        old = self._health_by_id.get(endpoint_id, _HEALTHY)
        job_ids = old.job_ids | {job_id}
        if len(old.job_ids) >= JOBS_TO_QUARANTINE:
            job_ids = old.job_ids
        new = _Health(
            old.failures + 1, job_ids, old.quarantine_ms, old.until_ms
        )
        quarantined = (
            new.failures >= FAILURES_TO_QUARANTINE
            and len(job_ids) >= JOBS_TO_QUARANTINE
        )
        if quarantined and now_ms >= old.until_ms:
            quarantine_ms = min(
                QUARANTINE_MAX_MS, max(QUARANTINE_MIN_MS, old.quarantine_ms * 2)
            )
            new = dataclasses.replace(
                new,
                quarantine_ms=quarantine_ms,
                until_ms=now_ms + quarantine_ms,
            )
        self._health_by_id[endpoint_id] = new
        return quarantined

    def record_success(self, endpoint_id: str) -> None:
        """Records a successful run, which ends a quarantine."""
        self._health_by_id.pop(endpoint_id, None)

    def until_ms(self, endpoint_id: str) -> int:
        """Returns when the endpoint may be probed, 0 without quarantine."""
        return self._health_by_id.get(endpoint_id, _HEALTHY).until_ms

    def is_suspect(self, endpoint_id: str) -> bool:
        """Whether the most recent run on the endpoint failed there."""
        return endpoint_id in self._health_by_id

    def forget(self, endpoint_id: str) -> None:
        """Removes an endpoint that left the live list."""
        self._health_by_id.pop(endpoint_id, None)
