"""Limits on the work that preemption may throw away.

Load pattern: a burst of urgent jobs or of large gangs meets a pool that is full
of later work. Each stop is cheap by itself, but the stopped work waits, becomes
urgent, and stops other work in turn, until the pool spends its time on work
that is thrown away again.
"""

import collections
import dataclasses
import math

from laburnumgate_placer import model
from laburnumgate_placer.overload import delay_cost

# Number of cores that an accelerator counts as when work is compared. The
# platform's price of wasted work uses the same weight.
CORES_PER_GPU = 8
# Work may be stopped for a unit that needs at least this multiple of what the
# stops cost. The stopped jobs are delayed as well.
MIN_GAIN_RATIO = 1.0
# Period over which the loss is limited, and the share of the pool's capacity
# in that period that may be lost.
WINDOW_MS = 10_000
MAX_LOSS_SHARE = 0.03


@dataclasses.dataclass(frozen=True, slots=True)
class Victim:
    """A run that may be stopped.

    Attributes:
      cores: cores that it uses, with accelerators converted to cores.
      ran_ms: time since its start.
      resumes: whether it resumes from a checkpoint.
      stopped_before: how often runs of its unit were stopped for other work.
      spent: core-seconds that were thrown away so that it could start.
      overdue: whether it was started before other work because it was overdue.
        Its loss is 0, so that each unit that does not fit would stop it. It is
        stopped once at most, or it would never end.
    """

    cores: float
    ran_ms: int
    resumes: bool
    stopped_before: int = 0
    spent: float = 0.0
    overdue: bool = False


def cores(resources: model.Resources) -> float:
    """Returns the cores, with accelerators converted to cores."""
    return resources.cpu / 1000 + CORES_PER_GPU * resources.gpu


def declared_core_s(job: model.Job) -> float:
    """Returns the declared work of one occurrence of a job."""
    total = 0.0
    for step in job.steps:
        total += step.count * cores(step.room) * step.estimate_ms / 1000
    return total


def stop_loss(victim: Victim, stop_ms: int, restore_ms: int) -> float:
    """Returns the core-seconds that stopping a run throws away.

    This is the work that is lost, plus the capacity that is unusable until the
    stop has ended.
    """
    ran_ms = victim.ran_ms
    if victim.resumes:
        ran_ms = min(ran_ms, restore_ms)
    return victim.cores * (ran_ms + stop_ms) / 1000


def stop_cost(victim: Victim, stop_ms: int, restore_ms: int) -> float:
    """Returns the loss, weighted by what the unit has already lost.

    What was thrown away for the start of a run is lost with it. Otherwise a run
    that has just displaced others would be the cheapest one to displace.
    """
    loss = stop_loss(victim, stop_ms, restore_ms) + victim.spent
    return loss * (1 + victim.stopped_before)


@dataclasses.dataclass(frozen=True, slots=True)
class ValueLoss:
    """Value that the stop of a run costs its caller.

    Attributes:
      delayed: cost of the delay of the job. Several stops of the same job delay
        it once.
      wasted: share of the job's value that the work thrown away stands for,
        which takes capacity again.
    """

    delayed: float
    wasted: float


def stop_value_loss(
    victim: Victim,
    work: delay_cost.Work,
    job_core_s: float,
    delay_ms: float,
    stop_ms: int,
    restore_ms: int,
) -> ValueLoss:
    """Returns the value that a stop costs the caller of a run.

    Args:
      victim: the run.
      work: what the unit and the steps after it still need.
      job_core_s: work of the whole job.
      delay_ms: how long the run waits for capacity after the stop.
      stop_ms: maximum time to stop a task.
      restore_ms: time that a task needs to resume from a checkpoint.
    """
    if victim.overdue and victim.stopped_before:
        return ValueLoss(math.inf, 0.0)
    again_ms = victim.ran_ms
    if victim.resumes:
        again_ms = min(again_ms, restore_ms)
    delayed = delay_cost.added_loss(work, delay_ms + stop_ms + again_ms)
    thrown_away = stop_cost(victim, stop_ms, restore_ms)
    wasted = work.value * thrown_away / max(0.001, job_core_s)
    return ValueLoss(delayed * (1 + victim.stopped_before), wasted)


def weighted_core_s(core_s: float, levels_below: int) -> float:
    """Returns lost core-seconds, weighted by the priority of the lost work.

    A core-second of the next lower priority is worth `PRIORITY_RATIO` times
    less to callers.

    Args:
      core_s: core-seconds that a stop throws away.
      levels_below: by how many levels the priority of the stopped work is
        below that of the work that it is stopped for.
    """
    return core_s / delay_cost.PRIORITY_RATIO ** max(0, levels_below)


def may_preempt(*, guaranteed: bool, stopped_before: int) -> bool:
    """Whether work may be stopped for a unit.

    A unit that gave way itself waits for capacity: if its restart stopped other
    runs, each stop would cause the next one.
    """
    return guaranteed or stopped_before == 0


class LossWindow:
    """Core-seconds thrown away by preemption within `WINDOW_MS`."""

    def __init__(self):
        self._losses: collections.deque[tuple[int, float]] = collections.deque()
        self._sum = 0.0

    def record(self, now_ms: int, core_s: float) -> None:
        """Adds a loss."""
        self._losses.append((now_ms, core_s))
        self._sum += core_s

    def exhausted(self, now_ms: int, pool_cores: float) -> bool:
        """Whether no more work may be thrown away for now.

        Args:
          now_ms: monotonic time.
          pool_cores: cores of the pool, with accelerators converted to cores.
        """
        while self._losses and self._losses[0][0] <= now_ms - WINDOW_MS:
            self._sum -= self._losses.popleft()[1]
        return self._sum > MAX_LOSS_SHARE * pool_cores * WINDOW_MS / 1000
