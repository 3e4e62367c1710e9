"""Materialized view of the jobs topic, kept by every host."""

import collections
import logging

from laburnumgate_placer import early_cancels
from laburnumgate_placer import model
from laburnumgate_placer import records
from laburnumgate_placer.accounts import shares
from laburnumgate_placer.overload import job_memory

_LOGGER = logging.getLogger(__name__)


class JobTable:
    """Jobs and their states, built from the records applied so far.

    Attributes:
      jobs_by_id: the jobs.
      held: estimates of the memory that they need on a leader.
      early_cancels: cancellations of jobs that were not known at the time.
    """

    def __init__(self):
        self.jobs_by_id: dict[str, model.Job] = {}
        self.held = job_memory.Held()
        self.early_cancels = early_cancels.EarlyCancels()
        self._states_by_id: dict[str, records.StateChanged] = {}
        self._cancelled_ids: set[str] = set()
        self._pending_by_queue: collections.Counter[str] = collections.Counter()
        # None until they are asked for: few hosts need them.
        self._submissions: shares.Submissions | None = None

    def apply(self, record: records.JobRecord) -> bool:
        """Applies a record; returns whether it had an effect."""
        match record:
            case records.Submitted(job):
                return self._submit(job)
            case records.Cancelled(job_id):
                if job_id in self._cancelled_ids:
                    return False
                self._change(job_id, lambda: self._cancelled_ids.add(job_id))
                return True
            case records.CancelledEarly():
                return self._cancel_early(record)
            case records.EarlyCancelDropped(job_id, account_digest):
                self.early_cancels.remove(job_id, account_digest)
                return False
            case records.StateChanged(job_id):
                old = self._states_by_id.get(job_id)
                if old is not None and old.state.final:
                    return False
                self._change(job_id, lambda: self._set_state(record))
                return True
            case records.Dropped(job_id):
                self._change(job_id, lambda: self._drop(job_id))
                return True

    def state(self, job_id: str) -> model.JobState | None:
        """Returns the job's state, None if it is unknown."""
        if job_id not in self.jobs_by_id:
            return None
        changed = self._states_by_id.get(job_id)
        if changed is not None and changed.state.final:
            return changed.state
        if job_id in self._cancelled_ids:
            return model.JobState.CANCELLED
        return changed.state if changed else model.JobState.QUEUED

    def cancelled(self, job_id: str) -> bool:
        """Whether a caller cancelled the job."""
        return job_id in self._cancelled_ids

    def recorded(self, job_id: str) -> records.StateChanged | None:
        """Returns the latest state recorded by a leader, None if none is."""
        return self._states_by_id.get(job_id)

    def pending(self, queue: str) -> int:
        """Returns the number of queued jobs of a queue."""
        return self._pending_by_queue[queue]

    def submissions(self) -> shares.Submissions:
        """Returns when the known jobs of each account were accepted."""
        if self._submissions is None:
            self._submissions = shares.Submissions()
            for job in self.jobs_by_id.values():
                self._submissions.add(job)
        return self._submissions

    def _submit(self, job: model.Job) -> bool:
        if job.job_id in self.jobs_by_id:
            return False
        self.jobs_by_id[job.job_id] = job
        if self.early_cancels.cover(job.job_id, job.account):
            self._cancelled_ids.add(job.job_id)
        self.held.add(job.account, job_memory.estimate_bytes(job))
        if self._submissions is not None:
            self._submissions.add(job)
        if self.state(job.job_id) == model.JobState.QUEUED:
            self._pending_by_queue[job.queue.name] += 1
        return True

    def _cancel_early(self, record: records.CancelledEarly) -> bool:
        """Applies a cancellation, also to a job that was stored before it."""
        job_id = record.job_id
        self.early_cancels.add(job_id, record.account_digest, record.at_ms)
        job = self.jobs_by_id.get(job_id)
        if job is None or job_id in self._cancelled_ids:
            return False
        if not self.early_cancels.cover(job_id, job.account):
            return False
        self._change(job_id, lambda: self._cancelled_ids.add(job_id))
        return True

    def expired_early_cancels(self, now_ms: int) -> list[tuple[str, str]]:
        """Returns job id and account digest of the cancellations to drop.

        Those of jobs whose end is not recorded are kept.

        Args:
          now_ms: Unix time.
        """
        return [
            (job_id, account_digest)
            for job_id, account_digest in self.early_cancels.expired(now_ms)
            if job_id not in self._cancelled_ids or self._ended(job_id)
        ]

    def _ended(self, job_id: str) -> bool:
        changed = self._states_by_id.get(job_id)
        return changed is not None and changed.state.final

    def _set_state(self, record: records.StateChanged) -> None:
        self._states_by_id[record.job_id] = record

    def _drop(self, job_id: str) -> None:
        job = self.jobs_by_id.pop(job_id, None)
        if job is not None:
            self.held.add(job.account, -job_memory.estimate_bytes(job))
            if self._submissions is not None:
                self._submissions.remove(job)
        self._states_by_id.pop(job_id, None)
        self._cancelled_ids.discard(job_id)

    def _change(self, job_id: str, change) -> None:
        # Updates the count of pending jobs along with the state.
        job = self.jobs_by_id.get(job_id)
        before = self.state(job_id) == model.JobState.QUEUED
        change()
        after = self.state(job_id) == model.JobState.QUEUED
        if job is not None:
            self._pending_by_queue[job.queue.name] += after - before
