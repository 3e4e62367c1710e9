"""Job table built from the `jobs` stream; identical on every host.

Records that the log has not accepted yet form an overlay over the committed
table, so that a host without access to the log can continue idempotent work.
"""

import collections
import dataclasses
import enum
import heapq

from laburnumgate_core import model
from laburnumgate_core import records
from laburnumgate_core import verdict

RETENTION_MS = 24 * 3_600_000
# Maximum lead of a caller's clock over the host that accepts the request.
MAX_ISSUED_AHEAD_MS = 5 * 60_000
# Maximum advance of the table's time per append, so that a host whose clock is
# days ahead does not expire the ids on every host at once.
MAX_TIME_STEP_MS = 60_000
# Maximum lag of the table's time after hours without records. Bounds how long
# a job is kept if the host that recorded its end has a clock that is ahead.
MAX_TIME_LAG_MS = 7 * 24 * 3_600_000
# Number of recent append ids kept, so that a peer's copy of a record that was
# already read back is not added as provisional. Four times the bound on a
# host's own records.
MAX_RECENT_APPENDS = 8_000


class JobState(enum.StrEnum):
    """Lifecycle state of a job.

    `ENDING` occurs in the overlay only: a record that ends the job is not in
    the log yet, and its outcome must not be reported before it is.
    """

    QUEUED = "queued"
    ACTIVE = "active"
    ENDING = "ending"
    ENDED = "ended"


OPEN_STATES = (JobState.QUEUED, JobState.ACTIVE)


@dataclasses.dataclass(frozen=True)
class Job:
    """State of a request according to the log. Times are in epoch ms."""

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
    crashes: tuple[records.Crash, ...] = ()
    may_have_run: bool = False
    cancelled: bool = False
    outcome: verdict.Verdict | None = None
    ended_at_ms: int = 0
    # Table time from which the id is retained for `RETENTION_MS`.
    remembered_from_ms: int = 0


_NO_SPEC = model.JobSpec(kind="", parts=0, accelerators_per_part=0, run_ms=0)


def apply(job: Job | None, record: records.JobRecord) -> Job | None:
    """Returns the job after `record`, or `job` itself if it has no effect.

    The result depends on the arguments alone, so that all hosts agree. The
    caller checks whether an unknown id is within the retention window.
    """
    match record:
        case records.Submitted():
            return job if job is not None else _submit(record)
        case records.Refused():
            return job if job is not None else _refuse(record)
    if job is None or job.state not in OPEN_STATES:
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
        issued_at_ms=record.issued_at_ms or record.at_ms,
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
        crashes=(*job.crashes, *record.crashes),
        may_have_run=job.may_have_run or record.may_have_run,
    )
    if job.cancelled:
        return _finish(job, _cancel_outcome(job), record.at_ms)
    if record.may_have_run and not _is_rerun_safe(job.spec, record):
        outcome = verdict.MayHaveRun(record.reason)
        return _finish(job, outcome, record.at_ms)
    return job


def _is_rerun_safe(spec: model.JobSpec, record: records.Requeued) -> bool:
    """Whether a new run after a resumed one repeats no work.

    Only a checkpoint of this run counts: with an older one, the new run would
    repeat what this run did after it.
    """
    if spec.idempotent:
        return True
    return spec.checkpointable and bool(record.checkpoint)


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
    if job.checkpoint:
        return verdict.RanFailed("cancelled after it had started")
    if job.may_have_run:
        return verdict.MayHaveRun("cancelled after it may have started")
    return _not_run(job, "cancelled before it started")


def _not_run(job: Job, reason: str) -> verdict.Verdict:
    """Returns `NotRun` if the log proves it, else `MayHaveRun`.

    A host without access to the log may start an idempotent job without a
    record, so the log alone cannot prove that such a job did not run.
    """
    if job.state is JobState.ACTIVE or job.may_have_run:
        return verdict.MayHaveRun(f"{reason}; a run had been recorded")
    if job.spec.idempotent:
        return verdict.MayHaveRun(
            f"{reason}; a host that is cut off from the log may have run it"
        )
    return verdict.NotRun(reason)


def _end(job: Job, record: records.Ended) -> Job:
    outcome = record.verdict
    ran = isinstance(outcome, verdict.Ran)
    if isinstance(outcome, verdict.Pending):
        return job
    if record.run != job.run and not (ran and job.spec.idempotent):
        return job
    if isinstance(outcome, verdict.NotRun):
        outcome = _not_run(job, outcome.reason)
    return _finish(job, outcome, record.at_ms)


def _finish(job: Job, outcome: verdict.Verdict, at_ms: int) -> Job:
    # The payload is no longer needed and would take most of the memory.
    return dataclasses.replace(
        job,
        spec=dataclasses.replace(job.spec, payload=""),
        state=JobState.ENDED,
        outcome=outcome,
        ended_at_ms=at_ms,
    )


def reflects(job: Job | None, record: records.JobRecord) -> bool:
    """Whether the job's state results from `record` or an equal one.

    Determines whether a record took effect that was appended twice or whose
    append was skipped by adopting a snapshot.
    """
    if job is None:
        return False
    match record:
        case records.Submitted() | records.Refused():
            refused = isinstance(record, records.Refused)
            return (
                job.submitted_at_ms == record.at_ms
                and job.body_hash == record.body_hash
                and (job.account == "") == refused
            )
        case records.Starting():
            return (
                job.state is JobState.ACTIVE
                and job.run == record.run
                and job.started_at_ms == record.at_ms
                and job.endpoints == record.endpoints
                and job.boot_ids == record.boot_ids
            )
        case records.Ended():
            ended = job.state is JobState.ENDED
            return ended and job.ended_at_ms == record.at_ms
        case records.Cancelled():
            return job.cancelled
        case records.Moved():
            return job.zone == record.to_zone
        case records.Requeued():
            return job.run > record.run or job.state is not JobState.ACTIVE
    return False


@dataclasses.dataclass(frozen=True)
class JobsState:
    """Committed jobs up to `offset`; `time_ms` is the table's time."""

    offset: int
    time_ms: int
    jobs: tuple[Job, ...]


class JobTable:
    """Jobs by request id: committed state with a provisional overlay.

    The table's time follows the latest record time and advances by at most
    `MAX_TIME_STEP_MS` per append. It depends on the log alone, so every host
    expires an id at the same offset.
    """

    def __init__(self, retention_ms: int = RETENTION_MS):
        self.offset = 0
        self.time_ms = 0
        self.skipped_entries = 0
        self._retention_ms = retention_ms
        self._committed_by_id: dict[str, Job] = {}
        self._ended: list[tuple[int, str]] = []
        self._overlay_by_id: dict[str, Job] = {}
        self._pending_by_key: dict[tuple[str, int], records.JobRecord] = {}
        self._pending_keys_by_id: dict[str, dict[tuple[str, int], None]] = {}
        self._recent_append_ids: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._open_ids_by_zone: dict[str, dict[str, None]] = {}
        self._changed_ids: dict[str, None] = {}

    def __len__(self) -> int:
        return len(self._committed_by_id)

    @property
    def expired_until_ms(self) -> int:
        """Issue time up to which an unknown id may be one that has expired."""
        return self.time_ms - self._retention_ms

    def get(self, job_id: str) -> Job | None:
        """Returns the job with the overlay applied, or None if unknown."""
        overlaid = self._overlay_by_id.get(job_id)
        if overlaid is not None:
            return overlaid
        return self._committed_by_id.get(job_id)

    def committed(self, job_id: str) -> Job | None:
        """Returns the job without the overlay, or None if unknown."""
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
        """Applies one append of the log; skips a malformed one.

        Returns:
          For each record of the batch, whether it took effect.
        """
        if entry.offset <= self.offset:
            return ()
        self.offset = entry.offset
        self._recent_append_ids[entry.append_id] = None
        while len(self._recent_append_ids) > MAX_RECENT_APPENDS:
            self._recent_append_ids.popitem(last=False)
        try:
            batch = records.decode_jobs(entry.data)
        except ValueError:
            self.skipped_entries += 1
            return ()
        applied = tuple(
            self._commit((entry.append_id, index), record)
            for index, record in enumerate(batch)
        )
        newest_ms = max((record.at_ms for record in batch), default=0)
        if newest_ms > self.time_ms:
            self._advance_time(newest_ms)
        return applied

    def _advance_time(self, newest_ms: int) -> None:
        step_ms = MAX_TIME_STEP_MS if self.time_ms else newest_ms
        self.time_ms = min(newest_ms, self.time_ms + step_ms)
        while self._ended and self._ended[0][0] <= self.expired_until_ms:
            _, job_id = heapq.heappop(self._ended)
            del self._committed_by_id[job_id]

    def state(self) -> JobsState:
        """Returns the committed state, without the overlay."""
        return JobsState(
            self.offset, self.time_ms, tuple(self._committed_by_id.values())
        )

    def adopt(self, state: JobsState) -> bool:
        """Replaces the committed state with a newer one.

        Returns:
          False, without any change, if the table is at `state` or beyond.
        """
        if state.offset <= self.offset:
            return False
        self.offset = state.offset
        self.time_ms = state.time_ms
        visible_ids = {*self._committed_by_id, *self._overlay_by_id}
        self._committed_by_id = {job.job_id: job for job in state.jobs}
        self._ended = [
            (job.remembered_from_ms, job.job_id)
            for job in state.jobs
            if job.state is JobState.ENDED
        ]
        heapq.heapify(self._ended)
        self._open_ids_by_zone.clear()
        for job_id in list(self._pending_keys_by_id):
            self._rebuild_overlay(job_id)
        for job_id in {*visible_ids, *self._committed_by_id}:
            self._note_change(None, self.get(job_id))
            self._changed_ids[job_id] = None
        return True

    def add_provisional(
        self, append_id: str, index: int, record: records.JobRecord
    ) -> bool:
        """Adds a record that the log has not accepted yet.

        Returns:
          Whether the record changed the job.
        """
        key = (append_id, index)
        known = append_id in self._recent_append_ids
        if known or key in self._pending_by_key:
            return False
        self._pending_by_key[key] = record
        job_id = record.job_id
        self._pending_keys_by_id.setdefault(job_id, {})[key] = None
        before = self.get(job_id)
        after = self._apply_provisional(before, record)
        if after is before:
            return False
        self._overlay_by_id[job_id] = after
        self._note_change(before, after)
        return True

    def is_pending(self, append_id: str, index: int) -> bool:
        """Whether a provisional record has not been read back from the log."""
        return (append_id, index) in self._pending_by_key

    def drop_provisional(self, append_id: str, index: int) -> None:
        """Removes a record that is in the log under another key."""
        key = (append_id, index)
        record = self._pending_by_key.pop(key, None)
        if record is None:
            return
        before = self.get(record.job_id)
        self._pending_keys_by_id[record.job_id].pop(key, None)
        self._rebuild_overlay(record.job_id)
        after = self.get(record.job_id)
        if after is not before:
            self._note_change(before, after)

    def _commit(self, key: tuple[str, int], record: records.JobRecord) -> bool:
        job_id = record.job_id
        visible_before = self.get(job_id)
        before = self._committed_by_id.get(job_id)
        after = self._apply_in_window(before, record)
        if after is not before:
            after = self._set_retention_start(after)
            self._committed_by_id[job_id] = after
        if self._pending_by_key.pop(key, None) is not None:
            self._pending_keys_by_id[job_id].pop(key, None)
        self._rebuild_overlay(job_id)
        visible_after = self.get(job_id)
        if visible_after is not visible_before:
            self._note_change(visible_before, visible_after)
        return after is not before

    def _set_retention_start(self, job: Job) -> Job:
        """Sets the start of the retention period of an ended job's id.

        An id must not expire before its own issue time has left the window, or
        a late copy of the request would be accepted as a new one.
        """
        if job.state is not JobState.ENDED:
            return job
        ended_ms = min(job.ended_at_ms, self.time_ms + MAX_TIME_LAG_MS)
        from_ms = max(self.time_ms, ended_ms, job.issued_at_ms)
        heapq.heappush(self._ended, (from_ms, job.job_id))
        return dataclasses.replace(job, remembered_from_ms=from_ms)

    def _apply_in_window(
        self, job: Job | None, record: records.JobRecord
    ) -> Job | None:
        """Applies a record unless it may re-create a job with an expired id."""
        if job is not None:
            return apply(job, record)
        match record:
            case records.Submitted() | records.Refused():
                issued_ms = record.issued_at_ms or record.at_ms
                if issued_ms <= self.expired_until_ms:
                    return None
                if issued_ms > record.at_ms + MAX_ISSUED_AHEAD_MS:
                    return None
        return apply(job, record)

    def _apply_provisional(
        self, job: Job | None, record: records.JobRecord
    ) -> Job | None:
        """Applies a record that the log may still override.

        `Ran` is the only outcome that may be reported before it is in the log,
        since it holds for any order of the records.
        """
        after = self._apply_in_window(job, record)
        if after is job or after is None or after.outcome is None:
            return after
        if isinstance(after.outcome, verdict.Ran):
            return after
        return dataclasses.replace(after, state=JobState.ENDING, outcome=None)

    def _rebuild_overlay(self, job_id: str) -> None:
        self._overlay_by_id.pop(job_id, None)
        keys = self._pending_keys_by_id.get(job_id, {})
        committed = self._committed_by_id.get(job_id)
        job = committed
        for key in list(keys):
            after = self._apply_provisional(job, self._pending_by_key[key])
            if after is job:
                # It has no effect and would use memory until it is read back.
                del keys[key]
                del self._pending_by_key[key]
            job = after
        if not keys:
            self._pending_keys_by_id.pop(job_id, None)
        if job is not committed and job is not None:
            self._overlay_by_id[job_id] = job

    def _note_change(self, before: Job | None, after: Job | None) -> None:
        if before is not None and before.state in OPEN_STATES:
            self._open_ids_by_zone[before.zone].pop(before.job_id, None)
        if after is None:
            return
        if after.state in OPEN_STATES:
            open_ids = self._open_ids_by_zone.setdefault(after.zone, {})
            open_ids[after.job_id] = None
        self._changed_ids[after.job_id] = None
