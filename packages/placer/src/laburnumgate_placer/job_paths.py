"""Dependencies between the steps of a job, and the work that follows each step.

Both are computed for all steps at once, in time that is linear in the number of
steps and dependencies. Doing so for each step by itself takes quadratic time.
"""

import dataclasses
import itertools

from laburnumgate_placer import model
from laburnumgate_placer.overload import preemption

# Number of steps and dependencies for which the paths of a job are kept for
# 1 ms. Those of larger jobs are kept for longer, so that a job of any size
# takes about the same small part of the leader's time.
KEPT_PER_MS = 10


class Graph:
    """Dependencies between the steps of a job.

    Attributes:
      tasks: number of tasks of all steps.
      counts: for each step, the number of steps that must complete first.
      dependents: for each step, the steps that wait for it.
      longest_ms: for each step, the declared duration of the longest path that
        begins with it.
    """

    def __init__(self, job: model.Job):
        self.tasks = sum(step.count for step in job.steps)
        self.counts: list[int] = []
        self.dependents: list[list[int]] = [[] for _ in job.steps]
        for number, step in enumerate(job.steps):
            before = set(step.after)
            self.counts.append(len(before))
            for each in before:
                self.dependents[each].append(number)
        later_ms = _later_ms(job, [step.estimate_ms for step in job.steps])
        self.longest_ms = [
            step.estimate_ms + later
            for step, later in zip(job.steps, later_ms, strict=True)
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class Paths:
    """Expected work of a job, by the number of its steps.

    Attributes:
      waves: in how many waves each step was assumed to run, None for one.
      until_ms: monotonic time until which it is used.
      critical_path_ms: duration of the longest path.
      later_ms: for each step, the duration of the longest path that begins
        after it.
      core_s: for each step, the work of all its tasks.
      later_core_s: for each step, the work of all steps with higher numbers.
    """

    waves: tuple[int, ...] | None
    until_ms: float
    critical_path_ms: float
    later_ms: list[float]
    core_s: list[float]
    later_core_s: list[float]


def compute(
    job: model.Job,
    step_work_ms: list[float],
    waves: tuple[int, ...] | None,
    now_ms: int,
) -> Paths:
    """Computes the paths of a job.

    Args:
      job: the job.
      step_work_ms: expected duration of a task of each step.
      waves: in how many waves each step has to run; None for one.
      now_ms: monotonic time.
    """
    steps = job.steps
    core_s = [
        step.count * preemption.cores(step.room) * own_ms / 1000
        for step, own_ms in zip(steps, step_work_ms, strict=True)
    ]
    work_ms = step_work_ms
    if waves is not None:
        work_ms = [
            own_ms * count for own_ms, count in zip(work_ms, waves, strict=True)
        ]
    later_ms = _later_ms(job, work_ms)
    dependencies = sum(len(step.after) for step in steps)
    kept_ms = (len(steps) + dependencies) // KEPT_PER_MS
    return Paths(
        waves,
        now_ms + kept_ms,
        max(map(sum, zip(work_ms, later_ms, strict=True))),
        later_ms,
        core_s,
        _later_sums(core_s),
    )


def _later_ms(job: model.Job, work_ms: list[float]) -> list[float]:
    """Returns the longest path after each step; dependencies come first."""
    later_ms = [0.0] * len(work_ms)
    for number in range(len(work_ms) - 1, -1, -1):
        through_ms = work_ms[number] + later_ms[number]
        for before in job.steps[number].after:
            if later_ms[before] < through_ms:
                later_ms[before] = through_ms
    return later_ms


def _later_sums(values: list[float]) -> list[float]:
    """Returns for each value the sum of those after it."""
    sums = list(itertools.accumulate(reversed(values), initial=0.0))
    return sums[-2::-1]
