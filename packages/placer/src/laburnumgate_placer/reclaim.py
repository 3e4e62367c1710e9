"""Selects runs to stop so that a more urgent unit can start."""

import dataclasses

from laburnumgate_placer import endpoint_table
from laburnumgate_placer import model
from laburnumgate_placer import placement
from laburnumgate_placer import progress
from laburnumgate_placer import tables as tables_module

# Number of cores that an accelerator counts as when lost work is compared. The
# platform's price of wasted work uses the same weight.
CORES_PER_GPU = 8
# Minimum time that a resumable run is left running after its start, so that
# it makes progress between two preemptions.
MIN_RUN_MS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Runs to stop for a unit.

    Attributes:
      victims: the runs to stop.
      endpoint_ids: endpoints to hold for the unit.
      loss: core-seconds that the stops cost.
    """

    victims: tuple[progress.Run, ...]
    endpoint_ids: frozenset[str]
    loss: float


@dataclasses.dataclass(frozen=True, slots=True)
class Scope:
    """Limits on the runs that may be stopped.

    Attributes:
      protected: ids of jobs whose capacity is guaranteed too.
      below_priority: if set, only runs of queues with a lower priority than
        this one may be stopped.
      resumable: with `below_priority`, only runs that resume from a checkpoint
        may be stopped.
      max_loss: with `below_priority`, core-seconds that the stops may cost.
      guaranteed: whether the unit is guaranteed, in which case stops of runs
        that resume do not count towards `max_loss`.
    """

    protected: set[str]
    below_priority: int | None = None
    resumable: bool = False
    max_loss: float = 0.0
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
        if best is None or found.loss < best.loss:
            best = found
    return best


def preemption_loss(
    tables: tables_module.Tables, run: progress.Run, now_ms: int
) -> float:
    """Returns the core-seconds that stopping a run costs.

    This is the work that is lost, plus the capacity that is unusable until the
    stop has ended.
    """
    step = run.unit.step
    ran_ms = max(0, now_ms - (run.started_ms or now_ms))
    if step.checkpointing:
        ran_ms = min(ran_ms, tables.bounds.restore_ms)
    cost_ms = ran_ms + tables.bounds.stop_ms
    return len(run.members) * task_cores(step) * cost_ms / 1000


def task_cores(step: model.Step) -> float:
    """Returns a task's cores, with accelerators converted to cores."""
    return step.room.cpu / 1000 + CORES_PER_GPU * step.room.gpu


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
    chosen = placement.choose(unit, group, free_by_id, speed_table, requirement)
    victims: list[progress.Run] = []
    candidates = sorted(
        runs.values(),
        key=lambda r: _loss_per_accelerator(tables, r, free_by_id, now_ms),
    )
    for run in candidates:
        if chosen is not None:
            break
        _add_free(free_by_id, run)
        victims.append(run)
        chosen = placement.choose(
            unit, group, free_by_id, speed_table, requirement
        )
    if chosen is None:
        return None
    chosen_ids = frozenset(chosen)
    victims = _necessary_victims(
        tables, unit, group, victims, free_by_id, chosen_ids
    )
    loss = sum(preemption_loss(tables, run, now_ms) for run in victims)
    counted = sum(
        preemption_loss(tables, run, now_ms)
        for run in victims
        if not (scope.guaranteed and run.unit.step.checkpointing)
    )
    if scope.below_priority is not None and counted > scope.max_loss:
        return None
    return Plan(tuple(victims), chosen_ids, loss)


def _necessary_victims(
    tables: tables_module.Tables,
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
        speed_table = tables.durations.speeds
        requirement = placement.Requirement()
        if placement.choose(
            unit, endpoints, free_without, speed_table, requirement
        ):
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


def _loss_per_accelerator(
    tables: tables_module.Tables,
    run: progress.Run,
    free_by_id: dict[str, model.Resources],
    now_ms: int,
) -> float:
    """Returns the loss per accelerator that a stop frees in the group."""
    freed = sum(
        max(1, run.unit.step.room.gpu)
        for member in run.members
        if member.endpoint_id in free_by_id and not member.terminated
    )
    return preemption_loss(tables, run, now_ms) / max(1, freed)
