"""The fold of the `jobs` stream: every host holds the same table.

Records that the log has not taken yet form an overlay over the committed
table, so a host that is cut off from the log can go on with idempotent work.
"""

import dataclasses
import enum

from laburnumgate_core import model
from laburnumgate_core import records
from laburnumgate_core import verdict


class JobState(enum.StrEnum):
    """Where a job stands."""

    QUEUED = "queued"
    ACTIVE = "active"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True)
class Job:
    """One request as the log tells it. Times are in ms since the epoch."""

    job_id: str
    account: str
    spec: model.JobSpec
    zone: str
    body_hash: str
    submitted_at_ms: int
    issued_at_ms: int
    deadline_ms: int
    state: JobState = JobState.QUEUED
    run: int = 0
    endpoints: tuple[str, ...] = ()
    boot_ids: tuple[str, ...] = ()
    started_at_ms: int = 0
    checkpoint: str = ""
    failed_endpoints: tuple[str, ...] = ()
    may_have_run: bool = False
    cancelled: bool = False
    outcome: verdict.Verdict | None = None
    ended_at_ms: int = 0


_NO_SPEC = model.JobSpec(kind="", parts=0, accelerators_per_part=0, run_ms=0)


def apply(job: Job | None, record: records.JobRecord) -> Job | None:
    """Returns the job after `record`, or `job` itself if it is not taken.

    The result depends on the arguments alone, so that all hosts agree.
    """
    match record:
        case records.Submitted():
            return job if job is not None else _submit(record)
        case records.Refused():
            return job if job is not None else _refuse(record)
    if job is None or job.state is JobState.ENDED:
        return job
    match record:
        case records.Starting():
            return _start(job, record)
        case records.Requeued():
            return _requeue(job, record)
        case records.Moved():
            return _move(job, record)
        case records.Cancelled():
            return _cancel(job, record)
        case records.Ended():
            return _end(job, record)
    return job


def _submit(record: records.Submitted) -> Job:
    return Job(
        job_id=record.job_id,
        account=record.account,
        spec=record.spec,
        zone=record.zone,
        body_hash=record.body_hash,
        submitted_at_ms=record.at_ms,
        issued_at_ms=record.issued_at_ms,
        deadline_ms=record.deadline_ms,
    )


def _refuse(record: records.Refused) -> Job:
    return Job(
        job_id=record.job_id,
        account="",
        spec=_NO_SPEC,
        zone="",
        body_hash=record.body_hash,
        submitted_at_ms=record.at_ms,
        issued_at_ms=record.at_ms,
        deadline_ms=0,
        state=JobState.ENDED,
        outcome=verdict.NotRun(record.reason),
        ended_at_ms=record.at_ms,
    )


def _start(job: Job, record: records.Starting) -> Job:
    if job.state is not JobState.QUEUED or job.cancelled:
        return job
    if record.zone != job.zone or record.run != job.run + 1:
        return job
    return dataclasses.replace(
        job,
        state=JobState.ACTIVE,
        run=record.run,
        endpoints=record.endpoints,
        boot_ids=record.boot_ids,
        started_at_ms=record.at_ms,
    )


def _requeue(job: Job, record: records.Requeued) -> Job:
    if job.state is not JobState.ACTIVE or record.run != job.run:
        return job
    failed = job.failed_endpoints
    if record.failed_endpoint:
        failed = (*failed, record.failed_endpoint)
    job = dataclasses.replace(
        job,
        state=JobState.QUEUED,
        endpoints=(),
        boot_ids=(),
        checkpoint=record.checkpoint or job.checkpoint,
        failed_endpoints=failed,
        may_have_run=job.may_have_run or record.may_have_run,
    )
    if job.cancelled:
        return _finish(job, _cancel_outcome(job), record.at_ms)
    return job


def _move(job: Job, record: records.Moved) -> Job:
    if job.state is not JobState.QUEUED or record.from_zone != job.zone:
        return job
    return dataclasses.replace(job, zone=record.to_zone)


def _cancel(job: Job, record: records.Cancelled) -> Job:
    if job.state is not JobState.QUEUED:
        return dataclasses.replace(job, cancelled=True)
    job = dataclasses.replace(job, cancelled=True)
    return _finish(job, _cancel_outcome(job), record.at_ms)


def _cancel_outcome(job: Job) -> verdict.Verdict:
    if job.may_have_run:
        return verdict.RanFailed("cancelled after it had started")
    return verdict.NotRun("cancelled before it started")


def _end(job: Job, record: records.Ended) -> Job:
    late_answer = job.spec.idempotent and isinstance(
        record.verdict, verdict.Ran
    )
    if record.run != job.run and not late_answer:
        return job
    return _finish(job, record.verdict, record.at_ms)


def _finish(job: Job, outcome: verdict.Verdict, at_ms: int) -> Job:
    return dataclasses.replace(
        job, state=JobState.ENDED, outcome=outcome, ended_at_ms=at_ms
    )


class JobTable:
    """Jobs by request id: committed state with a provisional overlay."""

    def __init__(self):
        self.offset = 0
        self.skipped_entries = 0
        self._committed_by_id: dict[str, Job] = {}
        self._overlay_by_id: dict[str, Job] = {}
        self._pending_by_key: dict[tuple[str, int], records.JobRecord] = {}
        self._pending_keys_by_id: dict[str, dict[tuple[str, int], None]] = {}
        self._open_ids_by_zone: dict[str, dict[str, None]] = {}
        self._changed_ids: dict[str, None] = {}

    def __len__(self) -> int:
        return len(self._committed_by_id)

    def get(self, job_id: str) -> Job | None:
        """Returns the job with the overlay applied, or None if unknown."""
        overlaid = self._overlay_by_id.get(job_id)
        if overlaid is not None:
            return overlaid
        return self._committed_by_id.get(job_id)

    def committed(self, job_id: str) -> Job | None:
        """Returns the job as the log alone tells it, or None if unknown."""
        return self._committed_by_id.get(job_id)

    def open_ids(self, zone: str) -> list[str]:
        """Returns the ids of the zone's jobs that have not ended."""
        return list(self._open_ids_by_zone.get(zone, ()))

    def take_changes(self) -> list[str]:
        """Returns the ids of jobs changed since the last call."""
        changed = list(self._changed_ids)
        self._changed_ids.clear()
        return changed

    @property
    def pending(self) -> int:
        """Number of provisional records in the overlay."""
        return len(self._pending_by_key)

    def apply_entry(self, entry: records.Entry) -> tuple[bool, ...]:
        """Applies one append of the log; a malformed one is skipped.

        Returns:
          For each record of the batch, whether it was taken.
        """
        if entry.offset <= self.offset:
            return ()
        self.offset = entry.offset
        try:
            batch = records.decode_jobs(entry.data)
        except ValueError:
            self.skipped_entries += 1
            return ()
        return tuple(
            self._commit((entry.append_id, index), record)
            for index, record in enumerate(batch)
        )

    def add_provisional(
        self, append_id: str, index: int, record: records.JobRecord
    ) -> bool:
        """Adds a record that the log has not taken yet.

        Returns:
          Whether the record changed the job.
        """
        key = (append_id, index)
        if key in self._pending_by_key:
            return False
        self._pending_by_key[key] = record
        job_id = record.job_id
        self._pending_keys_by_id.setdefault(job_id, {})[key] = None
        before = self.get(job_id)
        after = apply(before, record)
        if after is before:
            return False
        self._overlay_by_id[job_id] = after
        self._note_change(before, after)
        return True

    def _commit(self, key: tuple[str, int], record: records.JobRecord) -> bool:
        job_id = record.job_id
        shown_before = self.get(job_id)
        before = self._committed_by_id.get(job_id)
        after = apply(before, record)
        if after is not None:
            self._committed_by_id[job_id] = after
        if self._pending_by_key.pop(key, None) is not None:
            self._pending_keys_by_id[job_id].pop(key, None)
        self._rebuild_overlay(job_id)
        shown_after = self.get(job_id)
        if shown_after is not shown_before:
            self._note_change(shown_before, shown_after)
        return after is not before

    def _rebuild_overlay(self, job_id: str) -> None:
        self._overlay_by_id.pop(job_id, None)
        keys = self._pending_keys_by_id.get(job_id)
        if not keys:
            self._pending_keys_by_id.pop(job_id, None)
            return
        committed = self._committed_by_id.get(job_id)
        job = committed
        for key in keys:
            job = apply(job, self._pending_by_key[key])
        if job is not committed and job is not None:
            self._overlay_by_id[job_id] = job

    def _note_change(self, before: Job | None, after: Job | None) -> None:
        if before is not None and before.state is not JobState.ENDED:
            self._open_ids_by_zone[before.zone].pop(before.job_id, None)
        if after is None:
            return
        if after.state is not JobState.ENDED:
            open_ids = self._open_ids_by_zone.setdefault(after.zone, {})
            open_ids[after.job_id] = None
        self._changed_ids[after.job_id] = None
