"""Priority queue of the waiting jobs of one zone."""

from collections.abc import Iterator

import sortedcontainers

from laburnumgate_core import jobs
from laburnumgate_core import model

# Waiting time that raises a job by one priority class.
AGE_MS = 600_000

_PRIORITY_CLASS = {
    model.Urgency.URGENT: 0,
    model.Urgency.NORMAL: 1,
    model.Urgency.BATCH: 1,
}

_Key = tuple[int, int, str]


class Queue:
    """Waiting jobs in priority order, including those within guarantees.

    Ageing is continuous: one priority class equals `age_ms` of waiting. The
    sort key of a job is therefore constant, and the queue is never re-sorted as
    time passes.
    """

    def __init__(self, age_ms: int = AGE_MS):
        """Creates an empty queue.

        Args:
          age_ms: waiting time in ms that raises a job by one priority class.
        """
        self._age_ms = age_ms
        self._jobs_by_id: dict[str, jobs.Job] = {}
        self._keys = sortedcontainers.SortedList()
        self._keys_by_account: dict[str, sortedcontainers.SortedList] = {}
        self.accelerators = 0

    def __len__(self) -> int:
        return len(self._jobs_by_id)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._jobs_by_id

    def get(self, job_id: str) -> jobs.Job | None:
        """Returns a waiting job, None if it is not in the queue."""
        return self._jobs_by_id.get(job_id)

    def put(self, job: jobs.Job) -> None:
        """Adds a job or replaces the stored one."""
        self.discard(job.job_id)
        self._jobs_by_id[job.job_id] = job
        key = self._key(job)
        self._keys.add(key)
        keys = self._keys_by_account.setdefault(
            job.account, sortedcontainers.SortedList()
        )
        keys.add(key)
        self.accelerators += job.spec.accelerators

    def discard(self, job_id: str) -> None:
        """Removes a job if it is in the queue."""
        job = self._jobs_by_id.pop(job_id, None)
        if job is None:
            return
        key = self._key(job)
        self._keys.remove(key)
        keys = self._keys_by_account[job.account]
        keys.remove(key)
        if not keys:
            del self._keys_by_account[job.account]
        self.accelerators -= job.spec.accelerators

    def clear(self) -> None:
        """Removes every job."""
        self._jobs_by_id.clear()
        self._keys.clear()
        self._keys_by_account.clear()
        self.accelerators = 0

    def in_order(self) -> Iterator[jobs.Job]:
        """Yields the jobs in order; the queue must not change meanwhile."""
        for _, _, job_id in self._keys:
            yield self._jobs_by_id[job_id]

    def of_account(self, account: str) -> Iterator[jobs.Job]:
        """Yields an account's jobs in order."""
        for _, _, job_id in self._keys_by_account.get(account, ()):
            yield self._jobs_by_id[job_id]

    def accounts(self) -> list[str]:
        """Returns the accounts with waiting jobs, sorted."""
        return sorted(self._keys_by_account)

    def _key(self, job: jobs.Job) -> _Key:
        rank = _PRIORITY_CLASS[job.spec.urgency]
        return (
            job.submitted_at_ms + rank * self._age_ms,
            job.submitted_at_ms,
            job.job_id,
        )
