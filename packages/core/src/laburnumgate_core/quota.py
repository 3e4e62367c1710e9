"""Accelerators in use by each client account across all zones."""

from laburnumgate_core import jobs


class UsageTable:
    """Accelerator usage by account, updated as jobs change state."""

    def __init__(self):
        self._used_by_account: dict[str, int] = {}
        self._counted_by_id: dict[str, tuple[str, int]] = {}

    def used(self, account: str) -> int:
        """Returns the accelerators of an account's running jobs."""
        return self._used_by_account.get(account, 0)

    def update(self, job: jobs.Job, launching: bool) -> None:
        """Updates the usage from a job's newest state.

        Args:
          job: the job.
          launching: whether this host is launching a run of it.
        """
        counted = self._counted_by_id.get(job.job_id)
        in_use = launching or job.state is jobs.JobState.ACTIVE
        if in_use == (counted is not None):
            return
        if counted is not None:
            account, accelerators = self._counted_by_id.pop(job.job_id)
            self._used_by_account[account] -= accelerators
            return
        accelerators = job.spec.accelerators
        self._counted_by_id[job.job_id] = (job.account, accelerators)
        used = self._used_by_account.get(job.account, 0)
        self._used_by_account[job.account] = used + accelerators

    def clear(self) -> None:
        """Removes all jobs from the usage."""
        self._used_by_account.clear()
        self._counted_by_id.clear()
