"""Computes the order in which waiting units are placed."""

import dataclasses
import enum

from laburnumgate_placer import model
from laburnumgate_placer import placement
from laburnumgate_placer import progress
from laburnumgate_placer import tables as tables_module
from laburnumgate_placer.overload import admission


class Stage(enum.IntEnum):
    """Whether a job can still meet its objective if it starts now."""

    ON_TIME = 0
    LATE = 1
    TOO_LATE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Rank:
    """Scheduling rank of a unit.

    Attributes:
      guaranteed: whether the capacity guarantee of its account covers it.
      stage: whether its job can still be on time.
      priority: priority of its queue; 0 is the highest.
      due_ms: monotonic time by which it should start.
      min_speed: lowest endpoint speed at which it ends in time.
      preference: which of several possible endpoints it prefers.
    """

    guaranteed: bool
    stage: Stage
    priority: int
    due_ms: float
    min_speed: float = 0.0
    preference: placement.Preference = placement.Preference.SLOWEST

    def requirement(self) -> placement.Requirement:
        """Returns the placement requirement that follows from the rank."""
        return placement.Requirement(self.min_speed, preference=self.preference)

    def sort_key(self) -> tuple:
        """Returns the sort key; the lowest is placed first."""
        return (not self.guaranteed, self.stage, self.priority, self.due_ms)


def guaranteed_jobs(tables: tables_module.Tables) -> set[str]:
    """Returns the ids of open jobs covered by their accounts' guarantees.

    Jobs of priority 0 are counted in order of arrival, each with the
    accelerators of the largest of its open steps. Occurrences that are not due
    yet use up no guarantee.
    """
    config = tables.config.current
    if config is None:
        return set()
    left_by_account = {
        name: account.guaranteed_gpu
        for name, account in config.accounts_by_name.items()
    }
    covered = set()
    for entry in sorted(
        tables.entries_by_id.values(), key=lambda e: e.job.accepted_ms
    ):
        if entry.state.final:
            continue
        if tables.queue_of(entry.job).priority != 0:
            continue
        if not entry.open_steps:
            continue
        need = _open_gpu(entry)
        left = left_by_account.get(entry.job.account, 0)
        if need > left:
            continue
        left_by_account[entry.job.account] = left - need
        covered.add(entry.job.job_id)
    return covered


def _open_gpu(entry: progress.JobEntry) -> int:
    """Returns the accelerators of the open step that needs the most."""
    steps = [entry.job.steps[number] for _, number in entry.open_steps]
    return max(step.count * step.room.gpu for step in steps)


def objective_ms(
    tables: tables_module.Tables, entry: progress.JobEntry
) -> float:
    """Returns the longest duration with which the job is on time."""
    queue = tables.queue_of(entry.job)
    critical_path_ms = tables.durations.critical_path_ms(entry.job)
    return queue.stretch * critical_path_ms + queue.objective_ms


def rank(
    tables: tables_module.Tables,
    unit: progress.Unit,
    guaranteed: set[str],
    now_ms: int,
) -> Rank:
    """Returns the unit's scheduling rank."""
    entry = unit.entry
    queue = tables.queue_of(entry.job)
    clock_start_ms = _clock_start_ms(tables, unit, now_ms)
    allowed_ms = objective_ms(tables, entry)
    remaining_ms = _remaining_work_ms(tables, unit)
    due_ms = clock_start_ms + allowed_ms - remaining_ms
    stage = Stage.ON_TIME
    if now_ms > due_ms:
        stage = Stage.LATE
        due_ms = (
            clock_start_ms + admission.LATE_RATIO * allowed_ms - remaining_ms
        )
        if now_ms > due_ms:
            stage = Stage.TOO_LATE
    return Rank(
        entry.job.job_id in guaranteed,
        stage,
        queue.priority,
        due_ms,
        remaining_ms / max(1.0, due_ms + remaining_ms - now_ms),
        _preference(tables, queue),
    )


def _preference(
    tables: tables_module.Tables, queue: model.Queue
) -> placement.Preference:
    if not tables.policy.urgent_headroom:
        return placement.Preference.SLOWEST
    if queue.priority == 0:
        return placement.Preference.FASTEST
    return placement.Preference.PACKED


def _clock_start_ms(
    tables: tables_module.Tables, unit: progress.Unit, now_ms: int
) -> int:
    """Returns the monotonic time from which the job's duration is measured.

    This is the due time of the occurrence for scheduled jobs, and the time of
    arrival for others.
    """
    job = unit.entry.job
    if not job.scheduled:
        return unit.entry.arrived_ms
    late_ms = tables.wall.now_ms() - job.due_ms(unit.key.occurrence)
    return now_ms - late_ms


def _remaining_work_ms(
    tables: tables_module.Tables, unit: progress.Unit
) -> float:
    """Returns the expected duration of the longest path from this step."""
    job = unit.entry.job
    ends: dict[int, float] = {}
    for number in range(len(job.steps) - 1, unit.key.step - 1, -1):
        later = [
            ends[n]
            for n in range(number + 1, len(job.steps))
            if number in job.steps[n].after
        ]
        own = tables.durations.expected_ms(job, number)
        ends[number] = own + max(later, default=0.0)
    return ends[unit.key.step]


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingStep:
    """Units of one step that may start now; they share a rank.

    Attributes:
      rank: their scheduling rank.
      units: the units, in order of their keys.
    """

    rank: Rank
    units: tuple[progress.Unit, ...]


def waiting_steps(
    tables: tables_module.Tables, guaranteed: set[str], now_ms: int
) -> list[WaitingStep]:
    """Returns the steps with units that may start now, in rank order."""
    found = []
    for entry in tables.entries_by_id.values():
        if entry.state.final:
            continue
        for step_key in entry.open_steps:
            units = tuple(
                unit
                for unit in entry.step_units(step_key)
                if unit.state == progress.UnitState.WAITING
                and unit.backoff_until_ms <= now_ms
            )
            if units:
                step_rank = rank(tables, units[0], guaranteed, now_ms)
                found.append(WaitingStep(step_rank, units))
    found.sort(key=lambda step: (step.rank.sort_key(), step.units[0].key))
    return found
