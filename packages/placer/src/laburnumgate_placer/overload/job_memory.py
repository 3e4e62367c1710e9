"""Turns jobs away that would not fit into the memory of a leader.

Answers load from callers who submit more work than the pool can take for long:
a body of 51 bytes may ask for 20,000 tasks, one of 100 bytes for 10,000
occurrences. Every host knows all jobs, and any of them may lead.
"""

import collections
from collections.abc import Container
import dataclasses

from laburnumgate_placer import model
from laburnumgate_placer import progress
from laburnumgate_placer.overload import admission

# Memory of a job on a leader.
_JOB_BYTES = 2_000
_STEP_BYTES = 1_000
_TASK_BYTES = 800
_OCCURRENCE_BYTES = 400
# Occurrences count if they are due in this time after the submission. Earlier
# ones of a job that is served have ended when later ones are due.
_DUE_SOON_MS = 60_000
# Parts of the limit that larger jobs, and the jobs of one account, may use, so
# that they do not keep others out.
_LARGE_JOB_BYTES = 256 << 10
_LARGE_JOBS_SHARE = 0.5
_ACCOUNT_SHARE = 0.5
_RETRY_MS = 10_000


def estimate_bytes(job: model.Job) -> int:
    """Returns the memory that a leader needs for a job, in bytes."""
    tasks = sum(step.count for step in job.steps)
    opened_bytes = _TASK_BYTES * tasks
    if job.scheduled:
        opened_bytes += _OCCURRENCE_BYTES
    return (
        _JOB_BYTES
        + len(job.payload)
        + _STEP_BYTES * len(job.steps)
        + opened_bytes * _open_occurrences(job, tasks)
    )


def _open_occurrences(job: model.Job, tasks: int) -> int:
    """Returns how many occurrences may be open at the same time."""
    most = max(1, progress.MAX_OPEN_TASKS // max(1, tasks))
    most = min(most, job.occurrences)
    if job.interval_ms <= 0:
        return most
    due_ms = job.accepted_ms + _DUE_SOON_MS - job.first_start_ms
    return min(most, max(1, due_ms // job.interval_ms + 1))


class Held:
    """Estimates for jobs, by account and in all."""

    def __init__(self):
        self.total_bytes = 0
        self._bytes_by_account: collections.Counter[str] = collections.Counter()

    def add(self, account: str, size: int) -> None:
        """Adds a job, or removes one with a negative size."""
        self.total_bytes += size
        self._bytes_by_account[account] += size
        if not self._bytes_by_account[account]:
            del self._bytes_by_account[account]

    def account_bytes(self, account: str) -> int:
        """Returns the estimate for the jobs of an account."""
        return self._bytes_by_account[account]


def decide(
    job: model.Job, known: Held, submitting: Held, max_bytes: int
) -> admission.Refusal | None:
    """Decides whether a job is turned away for want of memory.

    Args:
      job: the job.
      known: estimates for the jobs that are known.
      submitting: estimates for those that may be stored and are not known.
      max_bytes: memory limit for jobs.
    """
    job_bytes = estimate_bytes(job)
    held = known.total_bytes + submitting.total_bytes
    limit = max_bytes
    if job_bytes > _LARGE_JOB_BYTES:
        limit = int(max_bytes * _LARGE_JOBS_SHARE)
    if held + job_bytes > limit:
        return _refuse(job_bytes, "all jobs", held, limit)
    held = known.account_bytes(job.account)
    held += submitting.account_bytes(job.account)
    limit = int(max_bytes * _ACCOUNT_SHARE)
    if held + job_bytes > limit:
        return _refuse(job_bytes, f"jobs of {job.account}", held, limit)
    return None


def _refuse(
    job_bytes: int, holders: str, held: int, limit: int
) -> admission.Refusal:
    return admission.Refusal(
        admission.Cause.MEMORY,
        f"it needs {job_bytes >> 10} KiB of memory; {holders} hold"
        f" {held >> 10} of {limit >> 10} KiB",
        _RETRY_MS,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Submission:
    account: str
    size: int
    until_ms: int


class Submissions:
    """Jobs that are being stored, or may have been, and are not known yet."""

    def __init__(self):
        self._by_id: dict[str, _Submission] = {}

    def add(self, job: model.Job, until_ms: int) -> None:
        """Counts a job until it is known or the time is over."""
        self._by_id[job.job_id] = _Submission(
            job.account, estimate_bytes(job), until_ms
        )

    def remove(self, job_id: str) -> None:
        """Forgets a job that was not stored."""
        self._by_id.pop(job_id, None)

    def held(self, known: Container[str], now_ms: int, but: str = "") -> Held:
        """Returns the estimates for those that are not known, but for one."""
        held = Held()
        for job_id, submission in list(self._by_id.items()):
            if job_id in known or submission.until_ms <= now_ms:
                del self._by_id[job_id]
                continue
            if job_id != but:
                held.add(submission.account, submission.size)
        return held
