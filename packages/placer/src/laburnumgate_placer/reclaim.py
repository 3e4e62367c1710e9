"""Selects runs to stop so that a more urgent unit can start."""

import dataclasses

from laburnumgate_placer import endpoint_table
from laburnumgate_placer import model
from laburnumgate_placer import placement
from laburnumgate_placer import progress
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
      cost: core-seconds that the stops cost, weighted by what the victims have
        lost before.
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
        that resume do not count towards `max_cost`.
    """

    protected: set[str]
    below_priority: int | None = None
    resumable: bool = False
    max_cost: float = 0.0
    guaranteed: bool = False


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
    for group in _candidate_groups(unit, endpoints):
        found = _plan_group(tables, unit, group, scope, requirement, now_ms)
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
    candidates = sorted(
        runs.values(),
        key=lambda r: _cost_per_accelerator(tables, r, free_by_id, now_ms),
    )
    count = _necessary_count(unit, group, free_by_id, candidates, requirement)
    if count is None:
        return None
    victims = candidates[:count]
    for run in victims:
        _add_free(free_by_id, run)
    chosen = placement.choose(unit, group, free_by_id, speed_table, requirement)
    if chosen is None:
        return None
    chosen_ids = frozenset(chosen)
    victims = _necessary_victims(unit, group, victims, free_by_id, chosen_ids)
    cost_by_run = {id(r): _stop_cost(tables, r, now_ms) for r in victims}
    counted = sum(
        cost_by_run[id(run)]
        for run in victims
        if not (scope.guaranteed and run.unit.step.checkpointing)
    )
    if scope.below_priority is not None and counted > scope.max_cost:
        return None
    return Plan(tuple(victims), chosen_ids, sum(cost_by_run.values()))


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


def _cost_per_accelerator(
    tables: tables_module.Tables,
    run: progress.Run,
    free_by_id: dict[str, model.Resources],
    now_ms: int,
) -> float:
    """Returns the cost per accelerator that a stop frees in the group."""
    freed = sum(
        max(1, run.unit.step.room.gpu)
        for member in run.members
        if member.endpoint_id in free_by_id and not member.terminated
    )
    return _stop_cost(tables, run, now_ms) / max(1, freed)
