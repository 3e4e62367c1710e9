"""Computes the order in which waiting units are placed.

While there is too little room, the shares of accounts decide between units
without a guarantee of the same stage and priority; jobs beyond the rate of
their account come last there, and units of accounts with the same share stay in
order of their due time.

If the order is by cost of delay, there are no stages, and the costs of any two
units differ. A share then decides between units of the same priority whose
costs are about the same (`shares.Standing.coarse_cost`). It does not change a
cost: a unit that loses twice as much by waiting still precedes one of an
account that uses less, so that shares waste no more value than the estimates
are off by. An excess job ranks no higher than the cheapest other unit of its
priority that loses anything by waiting, and after it. Units that lose nothing
by waiting are left out of this; otherwise one patient unit would rank all
excess jobs of its priority after all other work. Overdue work precedes all of
these, because the bound on its wait holds for every account.
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
      standing: position among the jobs of other accounts; None for all units
        of a pass unless shares apply.
    """

    guaranteed: bool
    stage: Stage
    priority: int
    due_ms: float
    min_speed: float = 0.0
    preference: placement.Preference = placement.Preference.SLOWEST
    work: delay_cost.Work | None = None
    standing: shares.Standing | None = None

    @property
    def overdue(self) -> bool:
        """Whether it has waited for so long that it precedes other work."""
        return self.work is not None and self.work.overdue

    def requirement(self) -> placement.Requirement:
        """Returns the placement requirement that follows from the rank."""
        return placement.Requirement(self.min_speed, preference=self.preference)

    def sort_key(self) -> tuple:
        """Returns the sort key; the lowest is placed first.

        Guaranteed units, and all units unless the order is by cost of delay,
        are ordered by stage, priority and due time. Shares of accounts come
        before the due time, except among guaranteed units.
        """
        standing = self.standing
        if self.guaranteed or (self.work is None and standing is None):
            return (not self.guaranteed, self.stage, self.priority, self.due_ms)
        if self.work is None:
            return (
                True,
                self.stage,
                self.priority,
                standing.excess,
                standing.share,
                self.due_ms,
            )
        if self.work.overdue:
            return (True, 0, 0.0, 0, self.due_ms)
        cost = delay_cost.loss_per_core_s(self.work)
        if standing is None:
            return (True, 1, -cost, self.priority, self.due_ms)
        return (
            True,
            1,
            -standing.coarse_cost(cost),
            self.priority,
            standing.excess,
            standing.share,
            -cost,
            self.due_ms,
        )


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
    """
    if not _counts_waves(tables):
        return None
    job = entry.job
    limit = tables.config.limit(job.account)
    if not tables.policy.delay_cost_order and limit == limits.NO_LIMIT:
        return None
    computed_for = (tables.capacity.changes, limit)
    if entry.waves[0] != computed_for:
        service = tables.queue_of(job).service
        waves = tuple(
            limits.waves(
                step, limit, tables.capacity.slots(service, step.charged)
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
    standing: shares.Standing | None = None,
) -> Rank:
    """Returns the unit's scheduling rank by stage, priority and due time.

    Args:
      tables: the leader's tables.
      unit: the unit.
      guaranteed: ids of the jobs that are covered by guarantees.
      now_ms: monotonic time.
      waiting: how many units of its step wait, including this one.
      standing: its position among the jobs of other accounts.
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
        standing=standing,
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
    of_pass = None
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
            if not found:
                of_pass = _standings(tables, now_ms)
            standing = None
            if of_pass is not None:
                standing = _standing(tables, of_pass, entry.job, now_ms)
            step_rank = rank(
                tables, units[0], guaranteed, now_ms, len(units), standing
            )
            if means is not None:
                work = _waiting_work(tables, units, means, now_ms)
                step_rank = dataclasses.replace(step_rank, work=work)
            found.append(WaitingStep(step_rank, units))
    if of_pass is not None and means is not None:
        _limit_excess_costs(tables, found)
    found.sort(key=lambda step: (step.rank.sort_key(), step.units[0].key))
    return found


def _standings(
    tables: tables_module.Tables, now_ms: int
) -> standings.Standings | None:
    """Returns the standings of this pass, None if shares do not apply."""
    if now_ms < tables.shares_paused_until_ms or not standings.in_use(tables):
        return None
    try:
        return standings.of_pass(tables, now_ms)
    except Exception as error:  # The order without shares is a valid one.
        _pause_shares(tables, error, now_ms)
        return None


def _standing(
    tables: tables_module.Tables,
    of_pass: standings.Standings,
    job: model.Job,
    now_ms: int,
) -> shares.Standing:
    try:
        return of_pass.of(job)
    except Exception as error:  # The rest of the order is a valid one.
        _pause_shares(tables, error, now_ms)
        return shares.NEUTRAL


def _pause_shares(
    tables: tables_module.Tables, error: Exception, now_ms: int
) -> None:
    if now_ms < tables.shares_paused_until_ms:
        return
    tables.shares_paused_until_ms = now_ms + standings.ERROR_PAUSE_MS
    events.emit(
        _LOGGER,
        events.Event.TASK_FAILED,
        task="ordering.waiting_steps",
        reason=repr(error),
    )


def _limit_excess_costs(
    tables: tables_module.Tables, found: list[WaitingStep]
) -> None:
    """Limits the costs by which excess jobs rank in the order by cost.

    An excess job ranks no higher than the cheapest other unit of its service
    and priority that loses anything by waiting.
    """
    excess = [
        index
        for index, step in enumerate(found)
        if step.rank.standing.excess and not step.rank.guaranteed
    ]
    if not excess:
        return
    lowest: dict[tuple[str, int], float] = {}
    for step in found:
        standing = step.rank.standing
        if standing.excess or step.rank.guaranteed:
            continue
        cost = delay_cost.loss_per_core_s(step.rank.work)
        if cost <= 0:
            continue
        key = _cost_class(tables, step)
        cost = standing.coarse_cost(cost)
        lowest[key] = min(cost, lowest.get(key, cost))
    for index in excess:
        step = found[index]
        max_cost = lowest.get(_cost_class(tables, step))
        if max_cost is None:
            continue
        standing = dataclasses.replace(step.rank.standing, max_cost=max_cost)
        ranked = dataclasses.replace(step.rank, standing=standing)
        found[index] = WaitingStep(ranked, step.units)


def _cost_class(
    tables: tables_module.Tables, step: WaitingStep
) -> tuple[str, int]:
    """Returns the service and the priority of a step."""
    service = tables.queue_of(step.units[0].entry.job).service
    return (service, step.rank.priority)


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
