"""Accelerators in use per client account over all zones."""

from laburnumgate_core import jobs


class UsageTable:
    """Usage by account, kept as jobs change."""

    def __init__(self):
        self._used_by_account: dict[str, int] = {}
        self._counted_by_id: dict[str, tuple[str, int]] = {}

    def used(self, account: str) -> int:
        """Returns the accelerators of an account's running jobs."""
        return self._used_by_account.get(account, 0)

    def update(self, job: jobs.Job, launching: bool) -> None:
        """Takes a job's newest state.

        Args:
          job: the job.
          launching: whether this host has a run of it under way.
        """
        counted = self._counted_by_id.get(job.job_id)
        runs = launching or job.state is jobs.JobState.ACTIVE
        if runs == (counted is not None):
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
        """Forgets everything."""
        self._used_by_account.clear()
        self._counted_by_id.clear()
