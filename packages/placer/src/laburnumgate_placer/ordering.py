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

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
import dataclasses
import enum
import logging

from laburnumgate_placer import events
from laburnumgate_placer import job_paths
from laburnumgate_placer import model
from laburnumgate_placer import placement
from laburnumgate_placer import progress
from laburnumgate_placer import tables as tables_module
from laburnumgate_placer.accounts import limits
from laburnumgate_placer.accounts import shares
from laburnumgate_placer.accounts import standings
from laburnumgate_placer.overload import admission
from laburnumgate_placer.overload import delay_cost
from laburnumgate_placer.overload import passes
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
    return _job_times(tables, entry, tables.monotonic.now_ms()).allowed_ms


@dataclasses.dataclass(frozen=True, slots=True)
class _JobTimes:
    """What the ranks of all units of a job depend on.

    Attributes:
      queue: current configuration of its queue.
      paths: work of its steps.
      allowed_ms: longest duration with which the job is on time.
    """

    queue: model.Queue
    paths: job_paths.Paths
    allowed_ms: float


def _job_times(
    tables: tables_module.Tables, entry: progress.JobEntry, now_ms: int
) -> _JobTimes:
    queue = tables.queue_of(entry.job)
    waves = _waves(tables, entry)
    paths = entry.paths
    if paths is None or paths.waves != waves or now_ms >= paths.until_ms:
        work_ms = tables.durations.all_expected_ms(entry.job)
        paths = job_paths.compute(entry.job, work_ms, waves, now_ms)
        entry.paths = paths
    allowed_ms = queue.stretch * paths.critical_path_ms + queue.objective_ms
    return _JobTimes(queue, paths, allowed_ms)


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
    times: _JobTimes | None = None,
) -> Rank:
    """Returns the unit's scheduling rank by stage, priority and due time.

    Args:
      tables: the leader's tables.
      unit: the unit.
      guaranteed: ids of the jobs that are covered by guarantees.
      now_ms: monotonic time.
      waiting: how many units of its step wait, including this one.
      times: the times of its job, if they are known already.
    """
    if times is None:
        times = _job_times(tables, unit.entry, now_ms)
    clock_start_ms = _clock_start_ms(tables, unit, now_ms)
    allowed_ms = times.allowed_ms
    remaining_ms = _remaining_work_ms(tables, unit, times.paths, waiting)
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
        unit.entry.job.job_id in guaranteed,
        stage,
        times.queue.priority,
        due_ms,
        remaining_ms / max(1.0, due_ms + remaining_ms - now_ms),
        _preference(tables, times.queue),
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
    paths: job_paths.Paths,
    waiting: int,
) -> float:
    """Returns the expected duration of the longest path from this step.

    Args:
      tables: the leader's tables.
      unit: the unit that is next.
      paths: the work of its job.
      waiting: how many units of its step, including this one, have to run.
    """
    number = unit.key.step
    own_ms = tables.durations.expected_ms(unit.entry.job, number)
    if paths.waves is not None:
        own_ms *= _waves_left(unit, paths.waves, waiting)
    return own_ms + paths.later_ms[number]


def _waves_left(
    unit: progress.Unit, waves: tuple[int, ...], waiting: int
) -> int:
    """Returns how many waves of a unit's step have not started yet."""
    # Proportional to the tasks that are left.
    return -(-waves[unit.key.step] * waiting // unit.step.count)


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingStep:
    """Units of one step that may start now; they share a rank.

    Attributes:
      rank: their scheduling rank.
      units: the units, in order of their keys.
    """

    rank: Rank
    units: tuple[progress.Unit, ...]

    @property
    def key(self) -> tuple[str, int, int]:
        """Job, occurrence and number of the step."""
        key = self.units[0].key
        return (key.job_id, key.occurrence, key.step)


def waiting_steps(
    tables: tables_module.Tables, guaranteed: set[str], now_ms: int
) -> list[WaitingStep]:
    """Returns the steps with units that may start now, in rank order."""
    ranking = Ranking(tables, guaranteed, now_ms)
    for _ in ranking.chunks():
        pass
    return ranking.ordered(now_ms)


class Ranking:
    """Ranks the steps with units that may start now, a few at a time.

    Of a job with very many such steps, only some are ranked; see
    `passes.MAX_STEPS_PER_JOB`.

    Attributes:
      guaranteed: ids of the jobs that are covered by guarantees.
      began_ms: monotonic time for which the steps are ranked.
    """

    def __init__(
        self,
        tables: tables_module.Tables,
        guaranteed: set[str],
        now_ms: int,
        kept: Collection[tuple[str, int, int]] = (),
    ):
        """Prepares a ranking.

        Args:
          tables: the leader's tables.
          guaranteed: ids of the jobs that are covered by guarantees.
          now_ms: monotonic time.
          kept: job, occurrence and number of steps that are not left out.
        """
        self.guaranteed = guaranteed
        self._tables = tables
        self.began_ms = now_ms
        self._kept_by_job: dict[str, list[tuple[int, int]]] = {}
        for job_id, occurrence, number in kept:
            steps = self._kept_by_job.setdefault(job_id, [])
            steps.append((occurrence, number))
        self._found: list[tuple[tuple, WaitingStep]] = []
        self._paused = False

    def chunks(self) -> Iterator[None]:
        """Ranks the steps; other work may be done after each chunk."""
        tables = self._tables
        means = None
        if standings.in_use(tables) or _counts_waves(tables):
            tables.capacity.refresh(tables.endpoints, self.began_ms)
        if tables.policy.delay_cost_order:
            means = mean_core_s_by_queue(tables)
        ranked = 0
        for entry in list(tables.entries_by_id.values()):
            if entry.state.final or not entry.waiting_steps:
                continue
            self._rank_job(entry, means)
            if len(self._found) - ranked >= passes.STEPS_PER_CHUNK:
                ranked = len(self._found)
                self._paused = True
                yield

    def ordered(self, now_ms: int) -> list[WaitingStep]:
        """Returns the ranked steps in rank order.

        Units that were started or cancelled since they were ranked are left
        out, and those of which an unknown run may still go on.
        """
        self._found.sort(key=lambda found: found[0])
        steps = [step for _, step in self._found]
        if self._paused:
            steps = _still_waiting(steps)
        unknown = self._tables.endpoints.tasks_of_unknown_runs()
        if unknown:
            steps = _without_unknown_runs(self._tables, steps, unknown)
        return _by_shares(self._tables, steps, now_ms)

    def _rank_job(
        self, entry: progress.JobEntry, means: dict[str, float] | None
    ) -> None:
        tables = self._tables
        now_ms = self.began_ms
        times = None
        for step_key in entry.waiting_window(
            passes.MAX_STEPS_PER_JOB,
            self._kept_by_job.get(entry.job.job_id, ()),
        ):
            units = _waiting_units(entry, step_key, now_ms)
            if not units:
                continue
            if times is None:
                times = _job_times(tables, entry, now_ms)
            step_rank = rank(
                tables, units[0], self.guaranteed, now_ms, len(units), times
            )
            if means is not None:
                work = _waiting_work(tables, units, times, means, now_ms)
                step_rank = dataclasses.replace(step_rank, work=work)
            sort_key = (step_rank.sort_key(), units[0].key)
            self._found.append((sort_key, WaitingStep(step_rank, units)))


def _still_waiting(steps: list[WaitingStep]) -> list[WaitingStep]:
    """Leaves out units that no longer wait."""
    steps = [s for s in steps if not s.units[0].entry.state.final]
    return _select(steps, lambda u: u.state == progress.UnitState.WAITING)


def _without_unknown_runs(
    tables: tables_module.Tables,
    steps: list[WaitingStep],
    tasks: set[model.TaskKey],
) -> list[WaitingStep]:
    """Leaves out the units of tasks of which an unknown run may go on."""
    blocked = set()
    for task in tasks:
        entry = tables.entries_by_id.get(task.job_id)
        unit = entry.unit_of(task) if entry else None
        if unit is not None:
            blocked.add(unit.key)
    return _select(steps, lambda u: u.key not in blocked) if blocked else steps


def _select(
    steps: list[WaitingStep], may_start: Callable[[progress.Unit], bool]
) -> list[WaitingStep]:
    """Returns the steps with those of their units that may start."""
    found = []
    for step in steps:
        units = tuple(unit for unit in step.units if may_start(unit))
        if not units:
            continue
        if len(units) < len(step.units):
            step = dataclasses.replace(step, units=units)
        found.append(step)
    return found


def _waiting_units(
    entry: progress.JobEntry, step_key: tuple[int, int], now_ms: int
) -> tuple[progress.Unit, ...]:
    """Returns the units of a step that may start now.

    A step of which none is waiting is no longer listed as such.
    """
    waiting = [
        unit
        for unit in entry.step_units(step_key)
        if unit.state == progress.UnitState.WAITING
    ]
    if not waiting:
        del entry.waiting_steps[step_key]
    return tuple(unit for unit in waiting if unit.backoff_until_ms <= now_ms)


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
    times = _job_times(tables, unit.entry, now_ms)
    remaining_ms = (
        _remaining_work_ms(tables, unit, times.paths, 1) - own_ms + left_ms
    )
    core_s = unit.size * preemption.cores(unit.step.room) * left_ms / 1000
    return _work(tables, unit, times, means, core_s, remaining_ms, now_ms)


def _waiting_work(
    tables: tables_module.Tables,
    units: tuple[progress.Unit, ...],
    times: _JobTimes,
    means: dict[str, float],
    now_ms: int,
) -> delay_cost.Work:
    """Returns the work of units of a step and of the steps after it.

    Running units are left out: their capacity is in use already, and the value
    of the job depends on the units that wait.
    """
    unit = units[0]
    key = unit.key
    paths = times.paths
    tasks = sum(each.size for each in units)
    core_s = tasks * paths.core_s[key.step] / unit.step.count
    core_s += paths.later_core_s[key.step]
    for number in unit.entry.done_after(key.occurrence, key.step):
        core_s -= paths.core_s[number]
    remaining_ms = _remaining_work_ms(tables, unit, paths, len(units))
    return _work(
        tables, unit, times, means, max(0.0, core_s), remaining_ms, now_ms
    )


def _work(
    tables: tables_module.Tables,
    unit: progress.Unit,
    times: _JobTimes,
    means: dict[str, float],
    core_s: float,
    remaining_ms: float,
    now_ms: int,
) -> delay_cost.Work:
    entry = unit.entry
    job_core_s = declared_core_s(entry)
    mean_core_s = means.get(entry.job.queue.name, job_core_s)
    allowed_ms = times.allowed_ms
    end_ms = now_ms + remaining_ms - _clock_start_ms(tables, unit, now_ms)
    return delay_cost.Work(
        delay_cost.value(times.queue.priority, job_core_s, mean_core_s),
        core_s,
        remaining_ms,
        allowed_ms - end_ms,
        admission.LATE_RATIO * allowed_ms - end_ms,
    )
