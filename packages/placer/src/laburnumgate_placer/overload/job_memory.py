"""Turns jobs away that would not fit into the memory of a leader.

Answers load from callers who submit more work than the pool can take for long:
a body of 51 bytes may ask for 20,000 tasks, one of 100 bytes for 10,000
occurrences. Every host knows all jobs, and any of them may lead.
"""

from collections.abc import Container

from laburnumgate_placer import model
from laburnumgate_placer import progress
from laburnumgate_placer.overload import admission

# Memory of a job on a leader.
_JOB_BYTES = 2_000
_STEP_BYTES = 1_000
_TASK_BYTES = 800
_OCCURRENCE_BYTES = 400
# Occurrences count if they are due in this time after the submission.
_DUE_SOON_MS = 600_000
# Larger jobs may use a part of the limit, so that they do not keep others out.
_LARGE_JOB_BYTES = 256 << 10
_LARGE_JOBS_SHARE = 0.5
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


def decide(
    job_bytes: int, held_bytes: int, max_bytes: int
) -> admission.Refusal | None:
    """Decides whether a job is turned away for want of memory.

    Args:
      job_bytes: estimate for the job.
      held_bytes: estimate for all jobs that are known or may be.
      max_bytes: memory limit for jobs.
    """
    limit = max_bytes
    if job_bytes > _LARGE_JOB_BYTES:
        limit = int(max_bytes * _LARGE_JOBS_SHARE)
    if held_bytes + job_bytes <= limit:
        return None
    return admission.Refusal(
        admission.Cause.MEMORY,
        f"it needs {job_bytes >> 10} KiB of memory; other jobs hold"
        f" {held_bytes >> 10} of {limit >> 10} KiB",
        _RETRY_MS,
    )


class Submissions:
    """Jobs that are being stored, or may have been, and are not known yet."""

    def __init__(self):
        self._size_and_until_ms_by_id: dict[str, tuple[int, int]] = {}

    def add(self, job_id: str, size: int, until_ms: int) -> None:
        """Counts a job until it is known or the time is over."""
        self._size_and_until_ms_by_id[job_id] = (size, until_ms)

    def remove(self, job_id: str) -> None:
        """Forgets a job that was not stored."""
        self._size_and_until_ms_by_id.pop(job_id, None)

    def held_bytes(
        self, known: Container[str], now_ms: int, but: str = ""
    ) -> int:
        """Returns the estimate for those that are not known, but for one."""
        total = 0
        for job_id, (size, until_ms) in list(
            self._size_and_until_ms_by_id.items()
        ):
            if job_id in known or until_ms <= now_ms:
                del self._size_and_until_ms_by_id[job_id]
                continue
            if job_id != but:
                total += size
        return total
