"""Computes the order in which waiting units are placed.

While there is too little room, the shares of accounts decide between units
without a guarantee of the same stage and priority: jobs beyond the rate of
their account come last, and then the lower share first. Units of accounts with
the same share stay in order of their due time.

In the order by cost of delay, there are no stages, and the costs of any two
units differ. Shares then decide between all units of a priority that lose
anything by waiting. The order gives each priority certain places among the
others, by the costs of its units; shares only decide which unit of the priority
takes which of them, so that a low share never lifts patient work above urgent
work. Shares that decide only between units of about the same cost are not
enough: the work of a large account that has waited for long costs more than the
new work of small accounts, which is late by the time that it costs as much.
Overdue work keeps its place, because the bound on its wait holds for every
account.
"""

import dataclasses
import enum
import logging

from laburnumgate_placer import events
from laburnumgate_placer import model
from laburnumgate_placer import placement
from laburnumgate_placer import progress
from laburnumgate_placer import tables as tables_module
from laburnumgate_placer.accounts import limits
from laburnumgate_placer.accounts import shares
from laburnumgate_placer.accounts import standings
from laburnumgate_placer.overload import admission
from laburnumgate_placer.overload import delay_cost
from laburnumgate_placer.overload import preemption

_LOGGER = logging.getLogger(__name__)


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
      work: the work that waits; None unless the order is by cost of delay.
      deferred: whether other overdue work takes all of the capacity on which
        overdue work may precede other work.
    """

    guaranteed: bool
    stage: Stage
    priority: int
    due_ms: float
    min_speed: float = 0.0
    preference: placement.Preference = placement.Preference.SLOWEST
    work: delay_cost.Work | None = None
    deferred: bool = False

    @property
    def overdue(self) -> bool:
        """Whether it has waited for so long that it precedes other work."""
        return self.work is not None and self.work.overdue and not self.deferred

    def requirement(self) -> placement.Requirement:
        """Returns the placement requirement that follows from the rank."""
        return placement.Requirement(self.min_speed, preference=self.preference)

    def sort_key(self) -> tuple:
        """Returns the sort key; the lowest is placed first.

        Guaranteed units, and all units unless the order is by cost of delay,
        are ordered by stage, priority and due time.
        """
        if self.guaranteed or self.work is None:
            return (not self.guaranteed, self.stage, self.priority, self.due_ms)
        if self.overdue:
            return (True, 0, 0.0, 0, self.due_ms)
        cost = delay_cost.loss_per_core_s(self.work)
        return (True, 1, -cost, self.priority, self.due_ms)

    def share_class(self) -> tuple | None:
        """Returns what units have in common between which shares decide.

        Returns None if the unit keeps its place.
        """
        if self.guaranteed:
            return None
        if self.work is None:
            return (self.stage, self.priority)
        if self.work.overdue:
            return None
        return (delay_cost.loss(self.work) > 0, self.priority)


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
    """Returns the longest duration with which the job is on time.

    A step that is too wide to run at once counts once for each of its waves.
    """
    return _allowed_ms(tables, entry, _waves(tables, entry))


def _allowed_ms(
    tables: tables_module.Tables,
    entry: progress.JobEntry,
    waves: tuple[int, ...] | None,
) -> float:
    queue = tables.queue_of(entry.job)
    critical_path_ms = tables.durations.critical_path_ms(entry.job, waves)
    return queue.stretch * critical_path_ms + queue.objective_ms


def _counts_waves(tables: tables_module.Tables) -> bool:
    return tables.policy.delay_cost_order or tables.config.has_limits()


def _waves(
    tables: tables_module.Tables, entry: progress.JobEntry
) -> tuple[int, ...] | None:
    """Returns in how many waves each step has to run, None if all in one.

    Waves count for accounts with a limit, and in the order by cost of delay.
    Without that order, only the limit counts, so that one that is never reached
    changes nothing.
    """
    if not _counts_waves(tables):
        return None
    if entry.waves_failed:
        return None
    try:
        return _count_waves(tables, entry)
    except Exception as error:  # The job is ranked as if it ran at once.
        entry.waves_failed = True
        events.emit(
            _LOGGER,
            events.Event.TASK_FAILED,
            task="ordering.objective_ms",
            job=entry.job.job_id,
            reason=repr(error),
        )
        return None


def _count_waves(
    tables: tables_module.Tables, entry: progress.JobEntry
) -> tuple[int, ...] | None:
    job = entry.job
    limit = tables.config.limit(job.account)
    by_cost = tables.policy.delay_cost_order
    if not by_cost and limit == limits.NO_LIMIT:
        return None
    computed_for = (tables.capacity.changes, limit)
    if entry.waves[0] != computed_for:
        service = tables.queue_of(job).service
        waves = tuple(
            limits.waves(
                step,
                limit,
                tables.capacity.slots(service, step.charged) if by_cost else 0,
            )
            for step in job.steps
        )
        found = waves if max(waves) > 1 else None
        entry.waves = (computed_for, found)
    return entry.waves[1]


def rank(
    tables: tables_module.Tables,
    unit: progress.Unit,
    guaranteed: set[str],
    now_ms: int,
    waiting: int = 1,
) -> Rank:
    """Returns the unit's scheduling rank by stage, priority and due time.

    Args:
      tables: the leader's tables.
      unit: the unit.
      guaranteed: ids of the jobs that are covered by guarantees.
      now_ms: monotonic time.
      waiting: how many units of its step wait, including this one.
    """
    entry = unit.entry
    queue = tables.queue_of(entry.job)
    clock_start_ms = _clock_start_ms(tables, unit, now_ms)
    waves = _waves(tables, entry)
    allowed_ms = _allowed_ms(tables, entry, waves)
    remaining_ms = _remaining_work_ms(tables, unit, waves, waiting)
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
    if queue.priority == 0 and tables.policy.urgent_on_fastest:
        return placement.Preference.FASTEST
    if queue.priority > 0 and tables.policy.urgent_headroom:
        return placement.Preference.PACKED
    return placement.Preference.SLOWEST


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
    tables: tables_module.Tables,
    unit: progress.Unit,
    waves: tuple[int, ...] | None,
    waiting: int,
) -> float:
    """Returns the expected duration of the longest path from this step.

    Args:
      tables: the leader's tables.
      unit: the unit that is next.
      waves: in how many waves each step has to run, None if all in one.
      waiting: how many units of its step, including this one, have to run.
    """
    job = unit.entry.job
    ends: dict[int, float] = {}
    for number in range(len(job.steps) - 1, unit.key.step - 1, -1):
        later = [
            ends[n]
            for n in range(number + 1, len(job.steps))
            if number in job.steps[n].after
        ]
        own = tables.durations.expected_ms(job, number)
        if waves is not None:
            own *= _waves_left(job, number, waves, unit, waiting)
        ends[number] = own + max(later, default=0.0)
    return ends[unit.key.step]


def _waves_left(
    job: model.Job,
    number: int,
    waves: tuple[int, ...],
    unit: progress.Unit,
    waiting: int,
) -> int:
    """Returns how many waves of a step have not started yet."""
    if number != unit.key.step:
        return waves[number]
    # Proportional to the tasks that are left.
    return -(-waves[number] * waiting // job.steps[number].count)


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
    means = None
    if standings.in_use(tables) or _counts_waves(tables):
        tables.capacity.refresh(tables.endpoints, now_ms)
    if tables.policy.delay_cost_order:
        means = mean_core_s_by_queue(tables)
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
            if not units:
                continue
            step_rank = rank(tables, units[0], guaranteed, now_ms, len(units))
            if means is not None:
                work = _waiting_work(tables, units, means, now_ms)
                step_rank = dataclasses.replace(step_rank, work=work)
            found.append(WaitingStep(step_rank, units))
    found.sort(key=lambda step: (step.rank.sort_key(), step.units[0].key))
    return _by_shares(tables, found, now_ms)


def _by_shares(
    tables: tables_module.Tables, found: list[WaitingStep], now_ms: int
) -> list[WaitingStep]:
    """Returns the steps in the order that follows from the accounts' shares.

    Returns them as they are without contention, and after an error, for
    `standings.ERROR_PAUSE_MS`.
    """
    if not found or not standings.in_use(tables):
        return found
    if now_ms < tables.shares_paused_until_ms:
        return found
    try:
        of_pass = standings.of_pass(tables, now_ms)
        if of_pass is None:
            return found
        ordered = shares.order(
            [_standing(tables, of_pass, step) for step in found]
        )
        return [found[position] for position in ordered]
    except Exception as error:  # The order without shares is a valid one.
        tables.shares_paused_until_ms = now_ms + standings.ERROR_PAUSE_MS
        events.emit(
            _LOGGER,
            events.Event.TASK_FAILED,
            task="ordering.waiting_steps",
            reason=repr(error),
        )
        return found


def _standing(
    tables: tables_module.Tables,
    of_pass: standings.Standings,
    step: WaitingStep,
) -> shares.Standing | None:
    """Returns the standing of a step, None if it keeps its place."""
    share_class = step.rank.share_class()
    if share_class is None:
        return None
    job = step.units[0].entry.job
    return of_pass.of(job, tables.queue_of(job).service, share_class)


def mean_core_s_by_queue(tables: tables_module.Tables) -> dict[str, float]:
    """Returns the mean work of the open jobs of each queue."""
    sums: dict[str, tuple[float, int]] = {}
    for entry in tables.entries_by_id.values():
        if entry.state.final:
            continue
        name = entry.job.queue.name
        total, count = sums.get(name, (0.0, 0))
        sums[name] = (total + declared_core_s(entry), count + 1)
    return {name: total / count for name, (total, count) in sums.items()}


def declared_core_s(entry: progress.JobEntry) -> float:
    """Returns the declared work of one occurrence of a job."""
    if entry.declared_core_s is None:
        entry.declared_core_s = preemption.declared_core_s(entry.job)
    return entry.declared_core_s


def running_work(
    tables: tables_module.Tables,
    run: progress.Run,
    means: dict[str, float],
    now_ms: int,
) -> delay_cost.Work:
    """Returns the work that a running unit and the steps after it need."""
    unit = run.unit
    own_ms = tables.durations.expected_ms(unit.entry.job, unit.key.step)
    left_ms = tables.durations.remaining_ms(run, now_ms)
    waves = _waves(tables, unit.entry)
    remaining_ms = _remaining_work_ms(tables, unit, waves, 1) - own_ms + left_ms
    core_s = unit.size * preemption.cores(unit.step.room) * left_ms / 1000
    return _work(tables, unit, means, core_s, remaining_ms, waves, now_ms)


def _waiting_work(
    tables: tables_module.Tables,
    units: tuple[progress.Unit, ...],
    means: dict[str, float],
    now_ms: int,
) -> delay_cost.Work:
    """Returns the work of units of a step and of the steps after it.

    Running units are left out: their capacity is in use already, and the value
    of the job depends on the units that wait.
    """
    unit = units[0]
    job = unit.entry.job
    core_s = 0.0
    for number in range(unit.key.step, len(job.steps)):
        if (unit.key.occurrence, number) in unit.entry.done_steps:
            continue
        step = job.steps[number]
        tasks = step.count
        if number == unit.key.step:
            tasks = sum(each.size for each in units)
        work_ms = tables.durations.expected_ms(job, number)
        core_s += tasks * preemption.cores(step.room) * work_ms / 1000
    waves = _waves(tables, unit.entry)
    remaining_ms = _remaining_work_ms(tables, unit, waves, len(units))
    return _work(tables, unit, means, core_s, remaining_ms, waves, now_ms)


def _work(
    tables: tables_module.Tables,
    unit: progress.Unit,
    means: dict[str, float],
    core_s: float,
    remaining_ms: float,
    waves: tuple[int, ...] | None,
    now_ms: int,
) -> delay_cost.Work:
    entry = unit.entry
    job_core_s = declared_core_s(entry)
    mean_core_s = means.get(entry.job.queue.name, job_core_s)
    allowed_ms = _allowed_ms(tables, entry, waves)
    end_ms = now_ms + remaining_ms - _clock_start_ms(tables, unit, now_ms)
    return delay_cost.Work(
        delay_cost.value(
            tables.queue_of(entry.job).priority, job_core_s, mean_core_s
        ),
        core_s,
        remaining_ms,
        allowed_ms - end_ms,
        admission.LATE_RATIO * allowed_ms - end_ms,
    )
