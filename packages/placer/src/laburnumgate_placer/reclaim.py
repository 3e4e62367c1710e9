"""Selects runs to stop so that a more urgent unit can start."""

from collections.abc import Callable
import dataclasses

from laburnumgate_placer import endpoint_table
from laburnumgate_placer import model
from laburnumgate_placer import ordering
from laburnumgate_placer import placement
from laburnumgate_placer import progress
from laburnumgate_placer import speeds
from laburnumgate_placer import tables as tables_module
from laburnumgate_placer.overload import preemption

# Minimum time that a resumable run is left running after its start, so that
# it makes progress between two preemptions.
MIN_RUN_MS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Runs to stop for a unit.

    Attributes:
      victims: the runs to stop.
      endpoint_ids: endpoints to hold for the unit.
      cost: what the stops cost: core-seconds, weighted by what the victims have
        lost before, or the value that their callers lose.
    """

    victims: tuple[progress.Run, ...]
    endpoint_ids: frozenset[str]
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Scope:
    """Limits on the runs that may be stopped.

    Attributes:
      protected: ids of jobs whose capacity is guaranteed too.
      below_priority: if set, only runs of queues with a lower priority than
        this one may be stopped.
      resumable: with `below_priority`, only runs that resume from a checkpoint
        may be stopped.
      max_cost: with `below_priority`, core-seconds that the stops may cost.
      guaranteed: whether the unit is guaranteed, in which case stops of runs
        that resume do not count towards `max_cost` and `max_loss`.
      max_loss: with `below_priority`, value that the stops may cost callers;
        None if stops are not chosen by cost of delay.
      delay_ms: how long the freed capacity is used by the unit, and thus not
        available to the stopped runs.
    """

    protected: set[str]
    below_priority: int | None = None
    resumable: bool = False
    max_cost: float = 0.0
    guaranteed: bool = False
    max_loss: float | None = None
    delay_ms: float = 0.0


class _Costs:
    """Costs of stops during one search."""

    def __init__(self, tables: tables_module.Tables, scope: Scope, now_ms: int):
        self._tables = tables
        self._scope = scope
        self._now_ms = now_ms
        self._means: dict[str, float] | None = None
        self._loss_by_run: dict[int, preemption.ValueLoss] = {}

    def core_s(self, run: progress.Run) -> float:
        """Returns the weighted core-seconds that a stop costs."""
        return _stop_cost(self._tables, run, self._now_ms)

    def loss(self, run: progress.Run) -> preemption.ValueLoss:
        """Returns the value that a stop costs the caller of the run."""
        known = self._loss_by_run.get(id(run))
        if known is not None:
            return known
        if self._means is None:
            self._means = ordering.mean_core_s_by_queue(self._tables)
        bounds = self._tables.bounds
        found = preemption.stop_value_loss(
            _victim(run, self._now_ms),
            ordering.running_work(self._tables, run, self._means, self._now_ms),
            ordering.declared_core_s(run.unit.entry),
            self._scope.delay_ms,
            bounds.stop_ms,
            bounds.restore_ms,
        )
        self._loss_by_run[id(run)] = found
        return found

    def total_loss(self, victims: list[progress.Run]) -> float:
        """Returns the value that the stops of several runs cost callers."""
        delayed_by_job: dict[str, float] = {}
        wasted = 0.0
        for run in victims:
            loss = self.loss(run)
            job_id = run.unit.key.job_id
            delayed_by_job[job_id] = max(
                loss.delayed, delayed_by_job.get(job_id, 0.0)
            )
            wasted += loss.wasted
        return wasted + sum(delayed_by_job.values())

    def total(self, victims: list[progress.Run]) -> float:
        """Returns the cost by which stops are compared."""
        if self._scope.max_loss is not None:
            return self.total_loss(victims)
        return sum(self.core_s(run) for run in victims)

    def orders(
        self, free_by_id: dict[str, model.Resources]
    ) -> list[Callable[[progress.Run], float]]:
        """Returns the keys by which runs are tried, the cheapest first.

        The stops are limited by the core-seconds that they throw away as well.
        The runs whose callers lose least may have run for long, so that only
        others are within that limit.
        """

        def by_cost(run: progress.Run) -> float:
            return self.total([run]) / _freed(run, free_by_id)

        def by_core_s(run: progress.Run) -> float:
            return self.core_s(run) / _freed(run, free_by_id)

        if self._scope.max_loss is None:
            return [by_cost]
        return [by_cost, by_core_s]


def plan(
    tables: tables_module.Tables,
    unit: progress.Unit,
    endpoints: list[endpoint_table.EndpointState],
    scope: Scope,
    requirement: placement.Requirement,
    now_ms: int,
) -> Plan | None:
    """Finds the runs whose stops lose the least work.

    Args:
      tables: the leader's tables.
      unit: the unit to start.
      endpoints: endpoints that may run work of its queue.
      scope: limits on the runs that may be stopped.
      requirement: the requirements on the endpoints.
      now_ms: monotonic time.

    Returns:
      A plan, without victims if the stops in progress are sufficient, or None
      if the unit does not fit after any permitted stops.
    """
    best: Plan | None = None
    costs = _Costs(tables, scope, now_ms)
    for group in _candidate_groups(unit, endpoints):
        found = _plan_group(
            tables, unit, group, scope, costs, requirement, now_ms
        )
        if found is None:
            continue
        if best is None or found.cost < best.cost:
            best = found
    return best


def stop_loss(
    tables: tables_module.Tables, run: progress.Run, now_ms: int
) -> float:
    """Returns the core-seconds that stopping a run throws away."""
    bounds = tables.bounds
    return preemption.stop_loss(
        _victim(run, now_ms), bounds.stop_ms, bounds.restore_ms
    )


def task_cores(step: model.Step) -> float:
    """Returns a task's cores, with accelerators converted to cores."""
    return resource_cores(step.room)


def resource_cores(resources: model.Resources) -> float:
    """Returns the cores, with accelerators converted to cores."""
    return preemption.cores(resources)


def _stop_cost(
    tables: tables_module.Tables, run: progress.Run, now_ms: int
) -> float:
    bounds = tables.bounds
    return preemption.stop_cost(
        _victim(run, now_ms), bounds.stop_ms, bounds.restore_ms
    )


def _victim(run: progress.Run, now_ms: int) -> preemption.Victim:
    step = run.unit.step
    return preemption.Victim(
        cores=len(run.members) * task_cores(step),
        ran_ms=max(0, now_ms - (run.started_ms or now_ms)),
        resumes=step.checkpointing,
        stopped_before=run.unit.preempted,
        spent=run.unit.spent_core_s,
        overdue=run.overdue,
    )


def _candidate_groups(
    unit: progress.Unit, endpoints: list[endpoint_table.EndpointState]
) -> list[list[endpoint_table.EndpointState]]:
    if not unit.step.same_rack:
        return [endpoints]
    by_rack: dict[str, list[endpoint_table.EndpointState]] = {}
    for state in endpoints:
        by_rack.setdefault(state.info.rack, []).append(state)
    return list(by_rack.values())


def _plan_group(
    tables: tables_module.Tables,
    unit: progress.Unit,
    group: list[endpoint_table.EndpointState],
    scope: Scope,
    costs: _Costs,
    requirement: placement.Requirement,
    now_ms: int,
) -> Plan | None:
    speed_table = tables.durations.speeds
    free_by_id = {s.info.endpoint_id: s.free() for s in group}
    stopping: dict[int, progress.Run] = {}
    runs: dict[int, progress.Run] = {}
    for state in group:
        for member in state.members.values():
            run = member.run
            if run.phase == progress.Phase.STOPPING:
                stopping[id(run)] = run
            elif _may_stop(tables, run, scope, now_ms):
                runs[id(run)] = run
    for run in stopping.values():
        _add_free(free_by_id, run)
    for key in costs.orders(free_by_id):
        candidates = sorted(runs.values(), key=key)
        count = _necessary_count(
            unit, group, free_by_id, candidates, requirement
        )
        if count is None:
            return None
        found = _plan_stops(
            unit,
            group,
            dict(free_by_id),
            candidates[:count],
            scope,
            costs,
            requirement,
            speed_table,
        )
        if found is not None:
            return found
    return None


def _plan_stops(
    unit: progress.Unit,
    group: list[endpoint_table.EndpointState],
    free_by_id: dict[str, model.Resources],
    victims: list[progress.Run],
    scope: Scope,
    costs: _Costs,
    requirement: placement.Requirement,
    speed_table: speeds.SpeedTable,
) -> Plan | None:
    """Plans to stop those of the victims that are necessary, if it pays."""
    for run in victims:
        _add_free(free_by_id, run)
    chosen = placement.choose(unit, group, free_by_id, speed_table, requirement)
    if chosen is None:
        return None
    chosen_ids = frozenset(chosen)
    victims = _necessary_victims(unit, group, victims, free_by_id, chosen_ids)
    if scope.below_priority is not None and not _worthwhile(
        victims, scope, costs
    ):
        return None
    return Plan(tuple(victims), chosen_ids, costs.total(victims))


def _worthwhile(
    victims: list[progress.Run], scope: Scope, costs: _Costs
) -> bool:
    """Whether stopping the runs costs less than is permitted."""
    counted = [
        run
        for run in victims
        if not (scope.guaranteed and run.unit.step.checkpointing)
    ]
    if sum(costs.core_s(run) for run in counted) > scope.max_cost:
        return False
    if not counted or scope.max_loss is None:
        return True
    return costs.total_loss(counted) < scope.max_loss


def _necessary_count(
    unit: progress.Unit,
    group: list[endpoint_table.EndpointState],
    free_by_id: dict[str, model.Resources],
    candidates: list[progress.Run],
    requirement: placement.Requirement,
) -> int | None:
    """Returns how many of the first candidates have to be stopped.

    Returns None if the unit does not fit even if all are stopped.
    """
    if placement.fits(unit, group, free_by_id, requirement):
        return 0
    low, high = 0, len(candidates)
    free_low = dict(free_by_id)
    free_high = dict(free_by_id)
    for run in candidates:
        _add_free(free_high, run)
    if not placement.fits(unit, group, free_high, requirement):
        return None
    while high - low > 1:
        middle = (low + high) // 2
        free = dict(free_low)
        for run in candidates[low:middle]:
            _add_free(free, run)
        if placement.fits(unit, group, free, requirement):
            high = middle
        else:
            low, free_low = middle, free
    return high


def _necessary_victims(
    unit: progress.Unit,
    group: list[endpoint_table.EndpointState],
    victims: list[progress.Run],
    free_by_id: dict[str, model.Resources],
    chosen_ids: frozenset[str],
) -> list[progress.Run]:
    """Returns the victims that have to be stopped for the unit to fit.

    Victims are tried in reverse order, so that the most expensive ones are
    dropped first.
    """
    endpoints = [s for s in group if s.info.endpoint_id in chosen_ids]
    needed = []
    for run in reversed(victims):
        if not any(m.endpoint_id in chosen_ids for m in run.members):
            continue
        free_without = dict(free_by_id)
        _add_free(free_without, run, -1)
        requirement = placement.Requirement()
        if placement.fits(unit, endpoints, free_without, requirement):
            free_by_id = free_without
            continue
        needed.append(run)
    return needed


def _may_stop(
    tables: tables_module.Tables,
    run: progress.Run,
    scope: Scope,
    now_ms: int,
) -> bool:
    if run.phase != progress.Phase.RUNNING or run.unit.step.long_running:
        return False
    job = run.unit.entry.job
    if job.job_id in scope.protected:
        return False
    if scope.below_priority is None:
        return True
    if tables.queue_of(job).priority <= scope.below_priority:
        return False
    if run.unit.step.checkpointing:
        return now_ms - run.started_ms >= MIN_RUN_MS
    return not scope.resumable


def _add_free(
    free_by_id: dict[str, model.Resources],
    run: progress.Run,
    sign: int = 1,
) -> None:
    """Adds a run's capacity to the free one, or deducts it if sign is -1."""
    resources = run.unit.step.charged
    for member in run.members:
        free = free_by_id.get(member.endpoint_id)
        if free is not None and not member.terminated:
            free_by_id[member.endpoint_id] = free.plus(resources, sign)


def _freed(run: progress.Run, free_by_id: dict[str, model.Resources]) -> int:
    """Returns the accelerators that a stop frees in the group."""
    freed = sum(
        max(1, run.unit.step.room.gpu)
        for member in run.members
        if member.endpoint_id in free_by_id and not member.terminated
    )
    return max(1, freed)
