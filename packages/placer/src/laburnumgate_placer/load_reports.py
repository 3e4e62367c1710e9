"""The leader's report of its backlog, which hosts need to turn work away."""

import dataclasses
import logging

from laburnumgate_placer import events
from laburnumgate_placer import model
from laburnumgate_placer import ordering
from laburnumgate_placer import reclaim
from laburnumgate_placer import tables as tables_module
from laburnumgate_placer import topics
from laburnumgate_placer.accounts import limits
from laburnumgate_placer.overload import admission
from laburnumgate_placer.overload import delay_cost
from laburnumgate_placer.overload import passes
from laburnumgate_placer.overload import ranked_backlog

_LOGGER = logging.getLogger(__name__)

# Interval at which the backlog is estimated and reported.
INTERVAL_MS = 1_000


def collect(
    tables: tables_module.Tables,
    largest_by_service: dict[str, model.Resources],
    ranking: ordering.Ranking | None = None,
) -> dict[str, admission.Backlog]:
    """Estimates the backlog of each service that has endpoints.

    Args:
      tables: the leader's tables.
      largest_by_service: the largest amount of each resource on any endpoint
        that was seen so far; updated. An endpoint that is not listed for a
        while may come back.
      ranking: a complete ranking of the waiting steps; made here if None.
    """
    now_ms = tables.monotonic.now_ms()
    if ranking is None:
        ranking = rank_waiting(tables)
        for _ in ranking.chunks():
            pass
    waiting = ranking.ordered(now_ms)
    waiting = _within_limits(tables, waiting)
    ranked_parts = _ranked_parts(tables, waiting)
    demands_by_service: dict[str, list[admission.Demand]] = {}
    ranked_by_service: dict[str, list[ranked_backlog.Demand]] = {}
    for step in waiting:
        unit = step.units[0]
        work_ms = tables.durations.expected_ms(unit.entry.job, unit.key.step)
        tasks = sum(each.size for each in step.units)
        tasks = round(tasks / ranked_parts.get(unit.key.job_id, 1.0))
        core_s = tasks * reclaim.task_cores(unit.step) * work_ms / 1000
        service = tables.queue_of(unit.entry.job).service
        loss = _loss(step.rank)
        if loss > 0:
            room = model.Resources().plus(unit.step.charged, tasks)
            ranked_by_service.setdefault(service, []).append(
                ranked_backlog.Demand(room, work_ms, loss)
            )
        if step.rank.stage == ordering.Stage.TOO_LATE:
            continue
        demands_by_service.setdefault(service, []).append(
            admission.Demand(step.rank.priority, core_s)
        )
    found = {}
    for service, pool in _pools(tables, largest_by_service).items():
        demands = demands_by_service.get(service, [])
        found[service] = admission.backlog(demands, pool)
        if tables.policy.delay_cost_order:
            ranked = _ranked(
                tables, service, ranked_by_service.get(service, [])
            )
            found[service] = dataclasses.replace(found[service], ranked=ranked)
    return found


def rank_waiting(tables: tables_module.Tables) -> ordering.Ranking:
    """Returns a ranking of the waiting steps that has not begun."""
    return ordering.Ranking(
        tables, ordering.guaranteed_jobs(tables), tables.monotonic.now_ms()
    )


def _ranked_parts(
    tables: tables_module.Tables, waiting: list[ordering.WaitingStep]
) -> dict[str, float]:
    """Returns which part of the waiting steps of each large job was ranked.

    The steps of such a job that were left out count as equal to the others,
    unless a limit of its account holds them back.
    """
    ranked: dict[str, list[ordering.WaitingStep]] = {}
    for step in waiting:
        ranked.setdefault(step.key[0], []).append(step)
    found = {}
    for job_id, steps in ranked.items():
        entry = steps[0].units[0].entry
        if len(entry.waiting_steps) <= passes.MAX_STEPS_PER_JOB:
            continue
        if tables.config.limit(entry.job.account) == limits.NO_LIMIT:
            found[job_id] = min(1.0, len(steps) / len(entry.waiting_steps))
    return found


def _within_limits(
    tables: tables_module.Tables, waiting: list[ordering.WaitingStep]
) -> list[ordering.WaitingStep]:
    """Leaves out the units that the limits of their accounts hold back.

    They use no capacity that other accounts' work could use, however many they
    are.
    """
    if not tables.config.has_limits():
        return waiting
    usage_by_account: dict[str, model.Resources] = {}
    found = []
    for step in waiting:
        unit = step.units[0]
        account = unit.entry.job.account
        limit = tables.config.limit(account)
        usage = usage_by_account.get(account, tables.usage.usage(account))
        room = unit.step.room
        tasks = limits.count_allowed(limit, usage, room)
        units = step.units[: tasks // unit.size]
        if not units:
            continue
        usage_by_account[account] = usage.plus(room, len(units) * unit.size)
        found.append(dataclasses.replace(step, units=units))
    return found


def _loss(rank: ordering.Rank) -> float:
    """Returns the loss by which waiting work is compared with new work."""
    if rank.work is None:
        return 0.0
    if rank.guaranteed:
        return ranked_backlog.GUARANTEED_LOSS
    return delay_cost.loss_at_deadline(rank.work)


def _ranked(
    tables: tables_module.Tables,
    service: str,
    demands: list[ranked_backlog.Demand],
) -> ranked_backlog.RankedBacklog:
    """Returns the expected delay of new work by what a delay costs."""
    now_ms = tables.monotonic.now_ms()
    queues = tables.config.current.queues_by_name
    queues_by_name = {
        name: ranked_backlog.QueueWork(mean, tables.durations.ratio(name))
        for name, mean in ordering.mean_core_s_by_queue(tables).items()
        if name in queues and queues[name].service == service
    }
    usable = tables.endpoints.usable(service, tables.config.zones_out, now_ms)
    total_gpu = 0
    free = model.Resources()
    for state in usable:
        left = state.free()
        free = free.plus(
            model.Resources(
                max(0, left.cpu), max(0, left.mem_mb), max(0, left.gpu)
            )
        )
        total_gpu += state.info.capacity.gpu
    steps = ()
    if usable and free.gpu <= admission.IDLE_SHARE * total_gpu:
        steps = ranked_backlog.delay_steps(demands, _capacity(tables, service))
    return ranked_backlog.RankedBacklog(steps, queues_by_name, free)


def _capacity(tables: tables_module.Tables, service: str) -> model.Resources:
    """Returns the capacity that becomes free again.

    Endpoints that are cut off for a while count, since they come back within
    the delays of interest. What long-running work uses does not.
    """
    capacity = model.Resources()
    for state in tables.endpoints.by_id.values():
        if state.info.service != service or state.ended or not state.listed:
            continue
        capacity = capacity.plus(state.info.capacity)
        for member in state.members.values():
            step = member.run.unit.step
            if step.long_running:
                capacity = capacity.plus(step.charged, -1)
    return capacity


def encode(backlogs: dict[str, admission.Backlog]) -> dict:
    """Encodes backlogs for a record of the leader."""
    return {
        service: [
            sorted(known.delay_ms_by_priority.items()),
            _amounts(known.largest),
        ]
        for service, known in backlogs.items()
    }


def decode(content: dict) -> dict[str, admission.Backlog]:
    """Decodes backlogs.

    Raises:
      ValueError, TypeError, AttributeError: The record is malformed.
    """
    found = {}
    for service, (delays, largest) in content.items():
        found[service] = admission.Backlog(
            {int(priority): int(delay) for priority, delay in delays},
            model.Resources(*(int(amount) for amount in largest)),
        )
    return found


def encode_ranked(
    backlogs: dict[str, admission.Backlog], unix_ms: int
) -> dict | None:
    """Encodes the delays by cost; None if work is not ordered by cost.

    They are a part of the record of their own, because hosts of earlier builds
    read the other part to its end.
    """
    services = {
        service: {
            "steps": known.ranked.steps,
            "queues": {
                name: [work.mean_core_s, work.duration_ratio]
                for name, work in known.ranked.queues_by_name.items()
            },
            "free": _amounts(known.ranked.free),
        }
        for service, known in backlogs.items()
        if known.ranked is not None
    }
    if not services:
        return None
    return {"at_ms": unix_ms, "services": services}


def decode_ranked(
    content: dict,
) -> tuple[int, dict[str, ranked_backlog.RankedBacklog]]:
    """Decodes the delays by cost.

    Returns:
      The Unix ms at which they were estimated, and the delays by service.

    Raises:
      ValueError, TypeError, AttributeError, KeyError: The record is malformed.
    """
    found = {}
    for service, part in content["services"].items():
        found[service] = ranked_backlog.RankedBacklog(
            tuple((float(loss), int(delay)) for loss, delay in part["steps"]),
            {
                name: ranked_backlog.QueueWork(float(mean), float(ratio))
                for name, (mean, ratio) in part["queues"].items()
            },
            model.Resources(*(int(amount) for amount in part["free"])),
        )
    return int(content["at_ms"]), found


def largest_by_service(content: dict) -> dict[str, model.Resources]:
    """Returns the largest amounts in an earlier leader's encoded report.

    Returns none if the report is malformed.
    """
    try:
        backlogs = decode(content)
    except (ValueError, TypeError, AttributeError) as error:
        events.emit(
            _LOGGER,
            events.Event.RECORD_SKIPPED,
            topic=topics.LEADER,
            key="load",
            reason=str(error),
        )
        return {}
    return {service: known.largest for service, known in backlogs.items()}


def _amounts(resources: model.Resources) -> list[int]:
    return [resources.cpu, resources.mem_mb, resources.gpu]


def _pools(
    tables: tables_module.Tables, largest_by_service: dict[str, model.Resources]
) -> dict[str, admission.Pool]:
    states_by_service: dict[str, list] = {}
    for state in tables.endpoints.by_id.values():
        if state.listed and not state.ended:
            service = state.info.service
            states_by_service.setdefault(service, []).append(state)
    pools = {}
    for service, states in states_by_service.items():
        capacities = [state.info.capacity for state in states]
        seen = largest_by_service.get(service, model.Resources())
        largest = model.Resources(
            max(seen.cpu, *(c.cpu for c in capacities)),
            max(seen.mem_mb, *(c.mem_mb for c in capacities)),
            max(seen.gpu, *(c.gpu for c in capacities)),
        )
        largest_by_service[service] = largest
        pools[service] = admission.Pool(
            cores=sum(map(reclaim.resource_cores, capacities)),
            gpu=sum(c.gpu for c in capacities),
            free_gpu=sum(max(0, state.free().gpu) for state in states),
            largest=largest,
        )
    return pools
