"""Handles caller requests: submit, state, cancel and pending count."""

import asyncio
from collections.abc import Callable
import dataclasses
import logging

from laburnumgate_core import clock

from laburnumgate_placer import config_table
from laburnumgate_placer import early_cancels as early_cancels_module
from laburnumgate_placer import events
from laburnumgate_placer import feed
from laburnumgate_placer import job_table
from laburnumgate_placer import leadership
from laburnumgate_placer import limits
from laburnumgate_placer import load_reports
from laburnumgate_placer import metrics
from laburnumgate_placer import model
from laburnumgate_placer import policy as policy_module
from laburnumgate_placer import ports
from laburnumgate_placer import records
from laburnumgate_placer import topics
from laburnumgate_placer import writer
from laburnumgate_placer.overload import admission
from laburnumgate_placer.overload import job_memory

_LOGGER = logging.getLogger(__name__)

# Retry-After sent to callers while the log is unreachable. Outages end, or
# another host answers, within a second or two.
RETRY_AFTER_MS = 1_000
# A host whose configuration is unconfirmed for this share of the key revocation
# time rejects all requests, because it might accept a revoked key.
CONFIG_STALE_FRACTION = 0.55
# Part of a caller's timeout that is reserved for the response to arrive,
# limited to a share of that timeout.
ANSWER_MARGIN_MS = 150
ANSWER_MARGIN_FRACTION = 0.2
# A host whose configuration is older than this (three failed reads) reports not
# ready. It still handles the requests that it receives.
READY_AGE_MS = 1_500
# After this time a caller receives the response that its record is unconfirmed,
# while it can still ask another host. Resubmitting the same id does not create
# a second job.
CONFIRM_TIMEOUT_MS = 1_000
# How long a request for an unknown job waits for its record to be read.
UNKNOWN_WAIT_MS = 200
UNKNOWN_POLL_MS = 20
# How long a cancellation of an unknown job waits until it is certain that the
# job does not exist.
CONFIRM_UNKNOWN_MS = 400
# Maximum time after which an append without an answer may still be stored.
DOUBT_MS = 20_000
# How long a request for the state of a job waits for the latest records.
CATCH_UP_TIMEOUT_MS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The submission or cancellation is stored."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request had no effect and never will.

    Attributes:
      reason: reason of the refusal.
      retry_after_ms: delay before the caller should retry.
    """

    reason: str
    retry_after_ms: int = RETRY_AFTER_MS


@dataclasses.dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The request may have taken effect; it can be retried safely."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class TooLarge:
    """The job is larger than a record of the log, so it can never be stored."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoSuchJob:
    """The account has no job with this id."""


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """The job exists and has this state."""

    state: model.JobState


SubmitVerdict = Accepted | NotRun | MayHaveRun | TooLarge
CancelVerdict = Accepted | NotRun | MayHaveRun | NoSuchJob
StateVerdict = Found | NotRun | NoSuchJob


class Intake:
    """Handles caller requests with the tables of this host."""

    def __init__(
        self,
        config: config_table.ConfigTable,
        config_feed: feed.Feed,
        jobs: job_table.JobTable,
        jobs_feed: feed.Feed,
        submissions: writer.Writer,
        cancellations: writer.Writer,
        wall: clock.Clock,
        bounds: limits.Bounds,
        load: Callable[
            [int], leadership.LoadReport | None
        ] = lambda max_age_ms: None,
        policy: policy_module.Policy | None = None,
    ):
        """Prepares the request handling of one host.

        Args:
          config: configuration in force.
          config_feed: its feed.
          jobs: known jobs.
          jobs_feed: their feed.
          submissions: appends to the jobs topic.
          cancellations: appends cancellations of unknown jobs to it, at a
            limited rate.
          wall: wall clock.
          bounds: time bounds of the deployment.
          load: returns the leader's report of its backlog, None if there is
            none of the given maximum age in ms.
          policy: scheduling policy, the default one if None.
        """
        self._config = config
        self._config_feed = config_feed
        self._jobs = jobs
        self._jobs_feed = jobs_feed
        self._submissions = submissions
        self._cancellations = cancellations
        self._wall = wall
        self._bounds = bounds
        self._load = load
        self._policy = policy or policy_module.Policy()
        self._returns = admission.Returns()
        self._submitting = job_memory.Submissions()
        # Submissions that may be stored, by job id, with the wall time until
        # which that is open.
        self._doubt_until_ms_by_id: dict[str, int] = {}

    def ready(self) -> bool:
        """Whether this host should receive new callers (readiness)."""
        return (
            self._config.current is not None
            and self._jobs_feed.complete
            and self._config_feed.loaded.is_set()
            and self._config_feed.age_ms() <= READY_AGE_MS
        )

    def config_stale(self) -> bool:
        """Whether the configuration is too old to detect revoked keys."""
        limit_ms = self._bounds.revoke_ms * CONFIG_STALE_FRACTION
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
        """Finds the queue of a request if the configuration is not stale."""
        if self._config.current is None:
            return NotRun("this host has no configuration yet")
        admitted = self._config.admit(hostname, path, key)
        if self.config_stale():
            age_ms = self._config_feed.age_ms()
            return NotRun(f"the configuration is {age_ms} ms old")
        return admitted

    async def submit(self, job: model.Job, wait_ms: int) -> SubmitVerdict:
        """Stores a job; returns `Accepted` only after it is stored.

        Args:
          job: the job to submit.
          wait_ms: how long the caller waits for a response.
        """
        if job.job_id in self._jobs.jobs_by_id:
            return self._repeated(job)
        job = dataclasses.replace(job, accepted_ms=self._wall.now_ms())
        record = records.encode(records.Submitted(job))
        if len(record) > self._bounds.max_record_bytes:
            return self._too_large(job, len(record))
        if not self._jobs_feed.complete:
            return self.not_run(job.job_id, "this host reads the jobs first")
        if self._submissions.stalled():
            return self._refuse(job.job_id, "the log does not answer")
        limit = self._config.limit(job.account)
        refusal = admission.beyond_limit(job, limit)
        if refusal is None:
            refusal = self._beyond_memory(job)
        report_age_ms = None
        cancelled = self._jobs.early_cancels.cover(job.job_id, job.account)
        # A job that was cancelled before needs no capacity.
        if refusal is None and not cancelled:
            known, report_age_ms = self._backlog(job)
            refusal = admission.decide(
                job,
                self._guaranteed_gpu(job.account),
                known,
                by_cost=self._policy.delay_cost_order,
            )
        if refusal is not None:
            # An earlier attempt may have been accepted by another host.
            await self._jobs_feed.catch_up(CATCH_UP_TIMEOUT_MS)
            if job.job_id in self._jobs.jobs_by_id:
                return self._repeated(job)
            return self._turn_away(job, refusal, report_age_ms)
        until_ms = self._wall.now_ms() + DOUBT_MS
        self._submitting.add(job, until_ms)
        outcome = await self._submissions.append([record], _confirm_ms(wait_ms))
        if isinstance(outcome, ports.NotAppended):
            self._submitting.remove(job.job_id)
        return self._verdict(job, outcome)

    async def cancel(
        self, job_id: str, account: str, wait_ms: int
    ) -> CancelVerdict:
        """Cancels a job; returns `Accepted` only after that is stored.

        The same holds for `NoSuchJob`: a submission of the job that is stored
        later does not run.
        """
        began_ms = self._wall.now_ms()
        job = await self._find(job_id, account)
        if job is None:
            refusal = await self._unconfirmed(job_id, wait_ms)
            if refusal is not None:
                return refusal
            job = self._visible(job_id, account)
        if job is None:
            return await self._cancel_early(job_id, account, began_ms, wait_ms)
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

    async def _cancel_early(
        self, job_id: str, account: str, began_ms: int, wait_ms: int
    ) -> CancelVerdict:
        """Cancels a job that is not known, as it may be stored later.

        Args:
          job_id: id of the job.
          account: account of the caller. Jobs of others are not affected.
          began_ms: Unix ms at which the request arrived.
          wait_ms: how long the caller waits for a response.
        """
        now_ms = self._wall.now_ms()
        early_cancels = self._jobs.early_cancels
        if early_cancels.lasting(job_id, account, now_ms):
            return NoSuchJob()
        retry_after_ms = early_cancels.retry_after_ms(account, now_ms)
        if retry_after_ms is not None:
            reason = "too many cancellations of unknown jobs"
            verdict = self._refuse(job_id, reason)
            if isinstance(verdict, NotRun):
                return NotRun(reason, retry_after_ms)
            return verdict
        if self._cancellations.stalled():
            return self._refuse(job_id, "the log does not answer")
        record = records.CancelledEarly(
            job_id, early_cancels_module.digest(account), now_ms
        )
        left_ms = max(1, wait_ms - (now_ms - began_ms))
        outcome = await self._cancellations.append(
            [records.encode(record)], _confirm_ms(left_ms)
        )
        match outcome:
            case ports.Appended():
                events.emit(
                    _LOGGER,
                    events.Event.CANCELLED_EARLY,
                    job=job_id,
                    account=account,
                    offset=outcome.offset,
                )
                # A process that was frozen may answer when it has expired.
                if self._wall.now_ms() - began_ms <= wait_ms:
                    return NoSuchJob()
                return self._in_doubt(job_id, "cancel", "the answer is late")
            case ports.NotAppended(reason):
                return self._refuse(job_id, reason)
        return self._in_doubt(job_id, "cancel", outcome.reason)

    async def state(self, job_id: str, account: str) -> StateVerdict:
        """Returns the state of a job if the account may access it."""
        job = await self._find(job_id, account)
        if job is None:
            return self._unknown()
        return Found(self._jobs.state(job.job_id))

    def not_run(self, job_id: str, reason: str) -> NotRun | MayHaveRun:
        """Returns the verdict on a submission that this host does not store.

        An earlier attempt with the same id may be stored: then nothing is said
        about whether the job runs.
        """
        until_ms = self._doubt_until_ms_by_id.get(job_id)
        if until_ms is not None and self._wall.now_ms() < until_ms:
            return MayHaveRun(reason)
        return NotRun(reason)

    async def not_read(self, job_id: str, reason: str) -> NotRun | MayHaveRun:
        """Returns the verdict on a submission whose body was not read.

        An earlier attempt may have been accepted, also by another host.
        """
        await self._jobs_feed.catch_up(CATCH_UP_TIMEOUT_MS)
        if job_id in self._jobs.jobs_by_id:
            return MayHaveRun(reason)
        return self.not_run(job_id, reason)

    def pending(self, queue: str) -> int:
        """Returns the number of queued jobs of a queue."""
        return self._jobs.pending(queue)

    async def _find(self, job_id: str, account: str) -> model.Job | None:
        changed = self._jobs.recorded(job_id)
        if changed is None or not changed.state.final:
            await self._jobs_feed.catch_up(CATCH_UP_TIMEOUT_MS)
        waited_ms = 0
        while job_id not in self._jobs.jobs_by_id:
            if waited_ms >= UNKNOWN_WAIT_MS:
                return None
            await asyncio.sleep(UNKNOWN_POLL_MS / 1000)
            waited_ms += UNKNOWN_POLL_MS
        return self._visible(job_id, account)

    def _visible(self, job_id: str, account: str) -> model.Job | None:
        """Returns a known job if the account may access it."""
        job = self._jobs.jobs_by_id.get(job_id)
        if job is None or (job.account and job.account != account):
            return None
        return job

    async def _unconfirmed(
        self, job_id: str, wait_ms: int
    ) -> NotRun | MayHaveRun | None:
        """Returns why a job may be stored of which this host does not know.

        Returns None if no such job was stored before the call, or if it is
        known by now.
        """
        if job_id in self._jobs.jobs_by_id:
            return None
        timeout_ms = min(CONFIRM_UNKNOWN_MS, _confirm_ms(wait_ms))
        if not await self._jobs_feed.confirm(timeout_ms):
            return self._refuse(
                job_id, "this host's view of the jobs is out of date"
            )
        return None

    def _unknown(self) -> NotRun | NoSuchJob:
        complete = self._jobs_feed.complete
        if complete and self._jobs_feed.age_ms() < self._bounds.visible_ms / 2:
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

    def _repeated(self, job: model.Job) -> Accepted | NotRun:
        """Returns the verdict on a job whose id is known."""
        events.emit(_LOGGER, events.Event.REPEATED, job=job.job_id)
        if self._jobs.jobs_by_id[job.job_id].account != job.account:
            return NotRun("the id belongs to another job")
        return Accepted()

    def _beyond_memory(self, job: model.Job) -> admission.Refusal | None:
        # An earlier attempt at this submission may count already.
        submitting = self._submitting.held(
            self._jobs.jobs_by_id, self._wall.now_ms(), but=job.job_id
        )
        return job_memory.decide(
            job, self._jobs.held, submitting, self._bounds.max_jobs_bytes
        )

    def _guaranteed_gpu(self, account: str) -> int:
        found = self._config.current.accounts_by_name.get(account)
        return found.guaranteed_gpu if found is not None else 0

    def _backlog(
        self, job: model.Job
    ) -> tuple[admission.Backlog | None, int | None]:
        """Returns what is known of the job's service, and how old that is."""
        report = self._load(admission.MAX_AGE_MS)
        if report is None:
            return None, None
        try:
            known = load_reports.decode(report.load).get(job.queue.service)
            if known is None or not self._policy.delay_cost_order:
                return known, report.age_ms
            if report.ranked is None:
                return known, report.age_ms
            at_ms, ranked = load_reports.decode_ranked(report.ranked)
        except (ValueError, TypeError, AttributeError, KeyError) as error:
            events.emit(
                _LOGGER,
                events.Event.RECORD_SKIPPED,
                topic=topics.LEADER,
                key="load",
                reason=str(error),
            )
            return None, None
        # A host that was cut off from the log reads reports late.
        age_ms = max(report.age_ms, self._wall.now_ms() - at_ms)
        if age_ms > admission.MAX_AGE_MS:
            return None, None
        found = ranked.get(job.queue.service)
        return dataclasses.replace(known, ranked=found), age_ms

    def _turn_away(
        self,
        job: model.Job,
        refusal: admission.Refusal,
        report_age_ms: int | None,
    ) -> NotRun | MayHaveRun:
        verdict = self.not_run(job.job_id, refusal.reason)
        if isinstance(verdict, MayHaveRun):
            return self._in_doubt(job.job_id, "resubmit", refusal.reason)
        retry_after_ms = refusal.retry_after_ms
        # A job that its account's limit or the size of the endpoints excludes
        # does not compete with others for the time of its return.
        if refusal.cause == admission.Cause.BACKLOG:
            now_ms = self._wall.now_ms()
            self._returns = self._returns.next(now_ms, retry_after_ms)
            retry_after_ms = self._returns.latest_ms - now_ms
        metrics.REJECTED_JOBS.inc({"reason": refusal.cause.value})
        inputs = {
            "delay_ms": refusal.delay_ms,
            "loss": refusal.loss,
            "report_age_ms": report_age_ms,
        }
        events.emit(
            _LOGGER,
            events.Event.REFUSED,
            job=job.job_id,
            account=job.account,
            queue=job.queue.name,
            cause=refusal.cause.value,
            reason=refusal.reason,
            retry_after_ms=retry_after_ms,
            log_age_ms=self._jobs_feed.age_ms(),
            **{name: v for name, v in inputs.items() if v is not None},
        )
        return NotRun(refusal.reason, retry_after_ms)

    def _refuse(self, job_id: str, reason: str) -> NotRun | MayHaveRun:
        verdict = self.not_run(job_id, reason)
        if isinstance(verdict, MayHaveRun):
            return self._in_doubt(job_id, "resubmit", reason)
        events.emit(
            _LOGGER,
            events.Event.REFUSED,
            job=job_id,
            reason=reason,
            log_age_ms=self._jobs_feed.age_ms(),
        )
        return verdict

    def _too_large(self, job: model.Job, size: int) -> TooLarge:
        reason = (
            f"the job takes {size} bytes to store, more than"
            f" {self._bounds.max_record_bytes} bytes"
        )
        events.emit(
            _LOGGER,
            events.Event.REFUSED,
            job=job.job_id,
            account=job.account,
            queue=job.queue.name,
            steps=len(job.steps),
            reason=reason,
        )
        return TooLarge(reason)

    def _in_doubt(self, job_id: str, call: str, reason: str) -> MayHaveRun:
        now_ms = self._wall.now_ms()
        for known, until_ms in list(self._doubt_until_ms_by_id.items()):
            if until_ms <= now_ms:
                del self._doubt_until_ms_by_id[known]
        if call == "submit":
            self._doubt_until_ms_by_id[job_id] = now_ms + DOUBT_MS
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
    """Returns the append timeout for a caller that waits `wait_ms`."""
    margin_ms = min(ANSWER_MARGIN_MS, int(wait_ms * ANSWER_MARGIN_FRACTION))
    return max(1, min(CONFIRM_TIMEOUT_MS, wait_ms - margin_ms))
