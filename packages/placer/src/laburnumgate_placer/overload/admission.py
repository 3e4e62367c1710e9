"""Which jobs are turned away, and when their callers should return.

Load pattern: callers submit more work than the pool can do, and repeat what was
refused at the same moment. A job that would start only when its result is worth
nothing any more is refused at once, before it is stored, so that its caller can
act. The time to return follows from the backlog; callers that are refused one
after the other are told to return one after the other. Guaranteed work and work
that may still be useful is never refused.

With the policy setting `delay_cost_order`, the work ahead of a job is the work
whose delay costs more, as in the order of waiting units; see `ranked_backlog`.
"""

import dataclasses
import enum

from laburnumgate_placer import model
from laburnumgate_placer.accounts import limits
from laburnumgate_placer.overload import delay_cost
from laburnumgate_placer.overload import preemption
from laburnumgate_placer.overload import ranked_backlog

# A job that takes up to this many times its objective counts as late, which is
# still of some use; beyond that it is too late.
LATE_RATIO = 3.0
# Declared durations are off by half, and running work may end early.
DOUBT_FACTOR = 2.0
# A pool with more free accelerators than this share can start work at once.
IDLE_SHARE = 0.1
# Older estimates are not used.
MAX_AGE_MS = 3_000
MIN_RETRY_MS = 1_000
MAX_RETRY_MS = 30_000
# Interval between the returns of callers that one host refused.
RETURN_INTERVAL_MS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Waiting work of one step.

    Attributes:
      priority: priority of its queue; 0 is the highest.
      core_s: expected work, with accelerators converted to cores.
    """

    priority: int
    core_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Capacity of the endpoints of a service.

    Attributes:
      cores: total cores, with accelerators converted to cores.
      gpu: total accelerators.
      free_gpu: accelerators that are not in use.
      largest: the largest amount of each resource on any endpoint.
    """

    cores: float
    gpu: int
    free_gpu: int
    largest: model.Resources


@dataclasses.dataclass(frozen=True, slots=True)
class Backlog:
    """What a host has to know of a service to turn work away.

    Attributes:
      delay_ms_by_priority: time until work of a priority that arrives now is
        expected to start.
      largest: the largest amount of each resource on any endpoint.
      ranked: the delay depending on what it costs; None if the leader does not
        order work by cost of delay.
    """

    delay_ms_by_priority: dict[int, int]
    largest: model.Resources
    ranked: ranked_backlog.RankedBacklog | None = None


class Cause(enum.Enum):
    """Why a job is turned away; the value is a label of a metric."""

    BACKLOG = "backlog"
    NO_ENDPOINT = "no_endpoint"
    ACCOUNT_LIMIT = "account_limit"
    MEMORY = "memory"


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A job that is turned away.

    Attributes:
      cause: cause of the refusal.
      reason: reason for the caller.
      retry_after_ms: delay after which the caller should return.
      delay_ms: expected delay that decided, if one did.
      loss: loss per core-second that decided, if one did.
    """

    cause: Cause
    reason: str
    retry_after_ms: int
    delay_ms: int | None = None
    loss: float | None = None


def backlog(demands: list[Demand], pool: Pool) -> Backlog:
    """Estimates how long work of each priority waits.

    Args:
      demands: waiting work that ranks before work which is too late.
      pool: capacity of the endpoints.
    """
    delay_ms_by_priority: dict[int, int] = {}
    idle = pool.free_gpu > IDLE_SHARE * pool.gpu
    if not idle and pool.cores > 0:
        ahead = 0.0
        for priority in sorted({demand.priority for demand in demands}):
            ahead += sum(d.core_s for d in demands if d.priority == priority)
            delay_ms_by_priority[priority] = int(1000 * ahead / pool.cores)
    return Backlog(delay_ms_by_priority, pool.largest)


def beyond_limit(
    job: model.Job, account_limit: model.Resources
) -> Refusal | None:
    """Turns a job away of which a single unit exceeds its account's limit.

    Such a job could not start before the limit is raised.
    """
    for step in job.steps:
        size = step.count if step.gang else 1
        need = model.Resources().plus(step.room, size)
        resource = limits.exceeded(account_limit, need, step.room)
        if resource is None:
            continue
        unit = "a gang" if step.gang else "a task"
        return Refusal(
            Cause.ACCOUNT_LIMIT,
            f"{unit} of it needs {getattr(need, resource)} {resource}, and the"
            f" limit of account {job.account} is"
            f" {getattr(account_limit, resource)}",
            MAX_RETRY_MS,
        )
    return None


def decide(
    job: model.Job,
    guaranteed_gpu: int,
    known: Backlog | None,
    *,
    by_cost: bool = False,
) -> Refusal | None:
    """Decides whether a job is turned away.

    Args:
      job: the job.
      guaranteed_gpu: accelerators that are guaranteed to its account.
      known: state of the service, None if it is unknown or too old.
      by_cost: whether the work ahead of the job is the work whose delay costs
        more, rather than that of the same and higher priorities.

    Returns:
      The refusal, or None if the job is accepted.
    """
    if known is None:
        return None
    for step in job.steps:
        if known.largest != model.Resources() and not (
            known.largest.count_fitting(step.charged)
        ):
            return Refusal(
                Cause.NO_ENDPOINT,
                "no endpoint can hold one of its tasks",
                MAX_RETRY_MS,
            )
    if job.queue.priority == 0 and guaranteed_gpu > 0:
        return None
    if job.scheduled or any(step.long_running for step in job.steps):
        return None
    if by_cost:
        return _decide_by_cost(job, known.ranked)
    # Work of a lower priority waits at least as long as that of the next
    # higher one that is known.
    delay_ms = max(
        (
            delay_ms
            for priority, delay_ms in known.delay_ms_by_priority.items()
            if priority <= job.queue.priority
        ),
        default=0,
    )
    chain_ms = _chain_ms(job)
    objective_ms = job.queue.stretch * chain_ms + job.queue.objective_ms
    useful_ms = DOUBT_FACTOR * (LATE_RATIO * objective_ms - chain_ms)
    if delay_ms <= useful_ms:
        return None
    return _too_late(delay_ms, useful_ms)


def _decide_by_cost(
    job: model.Job, ranked: ranked_backlog.RankedBacklog | None
) -> Refusal | None:
    """Decides by the work whose delay costs at least as much.

    The loss of a waiting job rises until its objective is missed, falls to the
    part that depends on its last deadline, and rises again until that is
    missed. So the job starts in time for a deadline if the work ahead of it,
    by the loss just before that deadline, takes no longer than until then. Its
    present loss would not do: a job that has just arrived has all of its slack.
    """
    if ranked is None or job.queue.priority == 0:
        return None
    if _fits_now(job, ranked.free):
        return None
    work = _new_work(job, ranked)
    # Nothing can be said of undeclared work, and no backlog makes a job too
    # late that could not be in time on an empty pool.
    if work is None or work.late_slack_ms < 0:
        return None
    for slack_ms in (work.slack_ms, work.late_slack_ms):
        if slack_ms < 0:
            continue
        loss = delay_cost.loss_per_core_s(work.later(slack_ms))
        delay_ms = ranked.delay_ms(loss)
        useful_ms = DOUBT_FACTOR * slack_ms
        if delay_ms <= useful_ms:
            return None
    return _too_late(delay_ms, useful_ms, loss)


def _fits_now(job: model.Job, free: model.Resources) -> bool:
    """Whether the free capacity is enough for the steps that start first."""
    need = model.Resources()
    for step in job.steps:
        if not step.after:
            need = need.plus(step.charged, step.count)
    return free.count_fitting(need) > 0


def _new_work(
    job: model.Job, ranked: ranked_backlog.RankedBacklog
) -> delay_cost.Work | None:
    """Returns the work of a job that arrives now, None if it is undeclared."""
    declared_core_s = preemption.declared_core_s(job)
    queue_work = ranked.queues_by_name.get(job.queue.name)
    if queue_work is None:
        queue_work = ranked_backlog.QueueWork(declared_core_s)
    chain_ms = queue_work.duration_ratio * _chain_ms(job)
    if chain_ms <= 0:
        return None
    objective_ms = job.queue.stretch * chain_ms + job.queue.objective_ms
    return delay_cost.Work(
        delay_cost.value(
            job.queue.priority, declared_core_s, queue_work.mean_core_s
        ),
        queue_work.duration_ratio * declared_core_s,
        chain_ms,
        objective_ms - chain_ms,
        LATE_RATIO * objective_ms - chain_ms,
    )


def _too_late(
    delay_ms: int, useful_ms: float, loss: float | None = None
) -> Refusal:
    """Returns the refusal of a job that may start up to `useful_ms` from now.

    The caller should return when the work ahead is expected to have become
    short enough.
    """
    retry_ms = int(min(MAX_RETRY_MS, max(MIN_RETRY_MS, delay_ms - useful_ms)))
    return Refusal(
        Cause.BACKLOG,
        f"the work ahead of it takes {delay_ms} ms",
        retry_ms,
        delay_ms,
        loss,
    )


def _chain_ms(job: model.Job) -> float:
    """Returns the declared duration of the longest chain of steps."""
    ends: list[float] = []
    for step in job.steps:
        before = max((ends[n] for n in step.after), default=0.0)
        ends.append(before + step.estimate_ms)
    return max(ends)


@dataclasses.dataclass(frozen=True, slots=True)
class Returns:
    """Order in which refused callers are told to return.

    Attributes:
      latest_ms: monotonic time of the latest return that was given out.
    """

    latest_ms: int = 0

    def next(self, now_ms: int, retry_after_ms: int) -> "Returns":
        """Returns the state after one more refusal at `now_ms`.

        The caller returns at `latest_ms` of that state.
        """
        earliest_ms = max(
            now_ms + retry_after_ms, self.latest_ms + RETURN_INTERVAL_MS
        )
        return Returns(min(earliest_ms, now_ms + MAX_RETRY_MS))
