"""Decides callers' requests: submissions, states, cancellations, counts."""

import asyncio
import dataclasses
import logging

from laburnumgate_core import clock

from laburnumgate_placer import config_table
from laburnumgate_placer import events
from laburnumgate_placer import feed
from laburnumgate_placer import job_table
from laburnumgate_placer import limits
from laburnumgate_placer import model
from laburnumgate_placer import ports
from laburnumgate_placer import records
from laburnumgate_placer import writer

_LOGGER = logging.getLogger(__name__)

# Callers are told to come back after this long while the log is out of reach;
# outages are over, or another host answers, within a second or two.
RETRY_AFTER_MS = 1_000
# Share of the time within which a removed key must be refused, after which a
# host that has not heard of the configuration refuses all keys.
CONFIG_STALE_SHARE = 0.55
# Kept of a caller's time so that an answer still reaches it: this long, but no
# more than a share of the time that it has.
ANSWER_MARGIN_MS = 150
ANSWER_MARGIN_SHARE = 0.2
# A host whose configuration is older than this asks for no new callers: three
# reads of it have failed. What it is asked meanwhile is still decided.
READY_AGE_MS = 1_500
# A caller whose record is not confirmed by then is told so, while it still has
# time to ask another host; the same id stays one job.
CONFIRM_TIMEOUT_MS = 1_000
# How long a call for an unknown job waits for its record.
UNKNOWN_WAIT_MS = 200
UNKNOWN_POLL_MS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The job is stored."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request had no effect and never will.

    Attributes:
      reason: why.
      retry_after_ms: when to try again.
    """

    reason: str
    retry_after_ms: int = RETRY_AFTER_MS


@dataclasses.dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The request may have taken effect; repeating it is safe."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoSuchJob:
    """No job has this id."""


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """The state of a job."""

    state: model.JobState


SubmitVerdict = Accepted | NotRun | MayHaveRun
CancelVerdict = Accepted | NotRun | MayHaveRun | NoSuchJob
StateVerdict = Found | NotRun | NoSuchJob


class Intake:
    """Answers callers from the folds of this host."""

    def __init__(
        self,
        config: config_table.ConfigTable,
        config_feed: feed.Feed,
        jobs: job_table.JobTable,
        jobs_feed: feed.Feed,
        submissions: writer.Writer,
        wall: clock.Clock,
        bounds: limits.Bounds,
    ):
        """Prepares the answers of one host."""
        self._config = config
        self._config_feed = config_feed
        self._jobs = jobs
        self._jobs_feed = jobs_feed
        self._submissions = submissions
        self._wall = wall
        self._bounds = bounds

    def ready(self) -> bool:
        """Whether new callers should be sent to this host."""
        return (
            self._config.current is not None
            and self._jobs_feed.loaded.is_set()
            and self._config_feed.loaded.is_set()
            and self._config_feed.age_ms() <= READY_AGE_MS
        )

    def config_stale(self) -> bool:
        """Whether a removed key might still be taken for a good one."""
        limit_ms = self._bounds.revoke_ms * CONFIG_STALE_SHARE
        return (
            not self._config_feed.loaded.is_set()
            or self._config_feed.age_ms() > limit_ms
        )

    def admit(
        self, hostname: str, path: str, key: str | None
    ) -> (
        config_table.Admitted
        | config_table.NoQueue
        | config_table.UnknownKey
        | NotRun
    ):
        """Finds the queue of a call, if the configuration is fresh."""
        if self._config.current is None:
            return NotRun("this host has no configuration yet")
        admitted = self._config.admit(hostname, path, key)
        if self.config_stale():
            age_ms = self._config_feed.age_ms()
            return NotRun(f"the configuration is {age_ms} ms old")
        return admitted

    async def submit(self, job: model.Job, wait_ms: int) -> SubmitVerdict:
        """Stores a job; says so only once it is stored.

        Args:
          job: the job.
          wait_ms: how long the caller waits for an answer.
        """
        known = self._jobs.jobs_by_id.get(job.job_id)
        if known is not None:
            events.emit(_LOGGER, events.Event.REPEATED, job=job.job_id)
            if known.account != job.account:
                return NotRun("the id belongs to another job")
            return Accepted()
        if not self._jobs_feed.loaded.is_set():
            return NotRun("this host has not read the jobs yet")
        if self._submissions.stalled():
            return self._refuse(job.job_id, "the log does not answer")
        job = dataclasses.replace(job, accepted_ms=self._wall.now_ms())
        record = records.encode(records.Submitted(job))
        outcome = await self._submissions.append([record], _confirm_ms(wait_ms))
        return self._verdict(job, outcome)

    async def cancel(
        self, job_id: str, account: str, wait_ms: int
    ) -> CancelVerdict:
        """Cancels a job; says so only once that is stored."""
        job = await self._find(job_id, account)
        if job is None:
            return self._unknown()
        if self._jobs.state(job_id).final:
            return Accepted()
        if self._submissions.stalled():
            return self._refuse(job_id, "the log does not answer")
        outcome = await self._submissions.append(
            [records.encode(records.Cancelled(job_id))],
            _confirm_ms(wait_ms),
        )
        match outcome:
            case ports.Appended():
                events.emit(
                    _LOGGER,
                    events.Event.CANCELLED,
                    job=job_id,
                    offset=outcome.offset,
                )
                return Accepted()
            case ports.NotAppended(reason):
                return self._refuse(job_id, reason)
        return self._in_doubt(job_id, "cancel", outcome.reason)

    async def state(self, job_id: str, account: str) -> StateVerdict:
        """Returns the state of a job of the account."""
        job = await self._find(job_id, account)
        if job is None:
            return self._unknown()
        return Found(self._jobs.state(job.job_id))

    def pending(self, queue: str) -> int:
        """Returns how many jobs of the queue have not begun."""
        return self._jobs.pending(queue)

    async def _find(self, job_id: str, account: str) -> model.Job | None:
        waited_ms = 0
        while job_id not in self._jobs.jobs_by_id:
            if waited_ms >= UNKNOWN_WAIT_MS:
                return None
            await asyncio.sleep(UNKNOWN_POLL_MS / 1000)
            waited_ms += UNKNOWN_POLL_MS
        job = self._jobs.jobs_by_id[job_id]
        if job.account and job.account != account:
            return None
        return job

    def _unknown(self) -> NotRun | NoSuchJob:
        fresh = self._jobs_feed.loaded.is_set()
        if fresh and self._jobs_feed.age_ms() < self._bounds.visible_ms / 2:
            return NoSuchJob()
        return NotRun("this host's view of the jobs is out of date")

    def _verdict(
        self, job: model.Job, outcome: ports.AppendOutcome
    ) -> SubmitVerdict:
        match outcome:
            case ports.Appended(offset):
                events.emit(
                    _LOGGER,
                    events.Event.ACCEPTED,
                    job=job.job_id,
                    account=job.account,
                    queue=job.queue.name,
                    steps=len(job.steps),
                    tasks=sum(step.count for step in job.steps),
                    offset=offset,
                    config_version=self._config.current.version,
                    config_age_ms=self._config_feed.age_ms(),
                )
                return Accepted()
            case ports.NotAppended(reason):
                return self._refuse(job.job_id, reason)
        return self._in_doubt(job.job_id, "submit", outcome.reason)

    def _refuse(self, job_id: str, reason: str) -> NotRun:
        events.emit(
            _LOGGER,
            events.Event.REFUSED,
            job=job_id,
            reason=reason,
            log_age_ms=self._jobs_feed.age_ms(),
        )
        return NotRun(reason)

    def _in_doubt(self, job_id: str, call: str, reason: str) -> MayHaveRun:
        events.emit(
            _LOGGER,
            events.Event.IN_DOUBT,
            job=job_id,
            call=call,
            reason=reason,
            log_age_ms=self._jobs_feed.age_ms(),
        )
        return MayHaveRun(reason)


def _confirm_ms(wait_ms: int) -> int:
    """Returns how long a record may take when its caller waits `wait_ms`."""
    margin_ms = min(ANSWER_MARGIN_MS, int(wait_ms * ANSWER_MARGIN_SHARE))
    return max(1, min(CONFIRM_TIMEOUT_MS, wait_ms - margin_ms))
