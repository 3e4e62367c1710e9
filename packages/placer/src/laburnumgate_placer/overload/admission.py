"""Which jobs are turned away, and when their callers should return.

Load pattern: callers submit more work than the pool can do, and repeat what was
refused at the same moment. A job that would start only when its result is worth
nothing any more is refused at once, before it is stored, so that its caller can
act. The time to return follows from the backlog; callers that are refused one
after the other are told to return one after the other. Guaranteed work and work
that may still be useful is never refused.
"""

import dataclasses

from laburnumgate_placer import model

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
    """

    delay_ms_by_priority: dict[int, int]
    largest: model.Resources


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A job that is turned away.

    Attributes:
      reason: reason for the caller.
      retry_after_ms: delay after which the caller should return.
    """

    reason: str
    retry_after_ms: int


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


def decide(
    job: model.Job, guaranteed_gpu: int, known: Backlog | None
) -> Refusal | None:
    """Decides whether a job is turned away.

    Args:
      job: the job.
      guaranteed_gpu: accelerators that are guaranteed to its account.
      known: state of the service, None if it is unknown or too old.

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
                "no endpoint can hold one of its tasks", MAX_RETRY_MS
            )
    if job.queue.priority == 0 and guaranteed_gpu > 0:
        return None
    if job.scheduled or any(step.long_running for step in job.steps):
        return None
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
    retry_ms = int(min(MAX_RETRY_MS, max(MIN_RETRY_MS, delay_ms - useful_ms)))
    return Refusal(f"the work ahead of it takes {delay_ms} ms", retry_ms)


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
