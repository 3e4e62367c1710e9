"""Crashing tasks, which crash each worker that starts them, and their rules."""

import collections
import random
from typing import Any

# Number of `failed` runs after which a task or gang is given up.
ATTEMPTS = 4
# Number of crashed workers under a task after which its job may be given up.
MIN_CRASHES_TO_GIVE_UP = 2
# Number of crashed workers after which the starts of a task are limited.
CRASH_BUDGET = 3
MAX_STARTS_OVER_BUDGET = 2
MAX_CRASH_DELAY_S = 0.4
MIN_DOWN_S = 1.0
MAX_DOWN_S = 6.0
_IMMEDIATE_CRASH_SHARE = 0.25
_SAME_ID_SHARE = 0.5


def draw_crashing(
    rng: random.Random, share: float, counts: list[int]
) -> list[str]:
    """Returns the crashing tasks of a job as `step.index`.

    Args:
      rng: source of randomness.
      share: fraction of the jobs with crashing tasks.
      counts: number of tasks in each step.
    """
    is_crashing = rng.random() < share
    tasks = [
        f"{step}.{index}"
        for step, count in enumerate(counts)
        for index in range(count)
    ]
    one = rng.choice(tasks)
    all_tasks = rng.random() < 0.3
    if not is_crashing:
        return []
    return tasks if all_tasks else [one]


def draw_crash_delay_s(rng: random.Random) -> float:
    """Returns the time from a start to the crash; 0 is before the response."""
    if rng.random() < _IMMEDIATE_CRASH_SHARE:
        return 0.0
    return rng.uniform(0.0, MAX_CRASH_DELAY_S)


def draw_down_s(rng: random.Random) -> float:
    """Returns the time from a crash until the worker is back."""
    return rng.uniform(MIN_DOWN_S, MAX_DOWN_S)


def draw_same_id(rng: random.Random) -> bool:
    """Returns whether the worker comes back under the id that it had."""
    return rng.random() < _SAME_ID_SHARE


class CrashLog:
    """Counts the crashes and failed runs of each task.

    Attributes:
      crashes_by_task: number of workers that crashed while a run of the task
        was present there, whatever the cause.
      starts_over_budget_by_task: number of starts after `CRASH_BUDGET` workers
        crashed under the task.
    """

    def __init__(self):
        self.crashes_by_task: collections.Counter[str] = collections.Counter()
        self.starts_over_budget_by_task: collections.Counter[str] = (
            collections.Counter()
        )
        self._failed_runs_by_unit: dict[str, set[int]] = {}

    def record_crash(self, tasks) -> None:
        """Records the crash of a worker on which the tasks were running."""
        self.crashes_by_task.update(set(tasks))

    def record_failed(self, task: str, run_number: int, gang: bool) -> None:
        """Records that a run of a task, or of its gang, ended as failed."""
        unit = task.rpartition(".")[0] if gang else task
        self._failed_runs_by_unit.setdefault(unit, set()).add(run_number)

    def check_start(self, task: str) -> str | None:
        """Counts a start and returns the violation if it exceeds the budget.

        Later starts of the same task are not reported again.
        """
        crashes = self.crashes_by_task[task]
        if crashes < CRASH_BUDGET:
            return None
        self.starts_over_budget_by_task[task] += 1
        starts = self.starts_over_budget_by_task[task]
        if starts != MAX_STARTS_OVER_BUDGET + 1:
            return None
        return (
            f"BUDGET: started {starts} times after {CRASH_BUDGET} workers"
            f" crashed under it, {crashes} crashed so far"
        )

    def may_fail(self, job_id: str) -> bool:
        """Returns whether there is a cause to show the job as failed."""
        prefix = f"{job_id}."
        for unit, runs in self._failed_runs_by_unit.items():
            if unit.startswith(prefix) and len(runs) >= ATTEMPTS:
                return True
        for task, crashes in self.crashes_by_task.items():
            if task.startswith(prefix) and crashes >= MIN_CRASHES_TO_GIVE_UP:
                return True
        return False

    def check_state(
        self, job_id: str, state: Any, crashing: bool
    ) -> str | None:
        """Returns the violation in a job's final state, if any.

        Args:
          job_id: id of the job.
          state: the state that callers are shown.
          crashing: whether the job has crashing tasks.
        """
        match state:
            case "failed" if not self.may_fail(job_id):
                return f"{job_id} is shown as failed without cause"
            case "completed" if crashing:
                return f"{job_id} is shown as completed, with a crashing task"
        return None
