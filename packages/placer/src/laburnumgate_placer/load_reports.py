"""The leader's report of its backlog, which hosts need to turn work away."""

import logging

from laburnumgate_placer import events
from laburnumgate_placer import model
from laburnumgate_placer import ordering
from laburnumgate_placer import reclaim
from laburnumgate_placer import tables as tables_module
from laburnumgate_placer import topics
from laburnumgate_placer.overload import admission

_LOGGER = logging.getLogger(__name__)

# Interval at which the backlog is estimated and reported.
INTERVAL_MS = 1_000


def collect(
    tables: tables_module.Tables, largest_by_service: dict[str, model.Resources]
) -> dict[str, admission.Backlog]:
    """Estimates the backlog of each service that has endpoints.

    Args:
      tables: the leader's tables.
      largest_by_service: the largest amount of each resource on any endpoint
        that was seen so far; updated. An endpoint that is not listed for a
        while may come back.
    """
    now_ms = tables.monotonic.now_ms()
    guaranteed = ordering.guaranteed_jobs(tables)
    demands_by_service: dict[str, list[admission.Demand]] = {}
    for waiting in ordering.waiting_steps(tables, guaranteed, now_ms):
        if waiting.rank.stage == ordering.Stage.TOO_LATE:
            continue
        unit = waiting.units[0]
        work_ms = tables.durations.expected_ms(unit.entry.job, unit.key.step)
        tasks = sum(each.size for each in waiting.units)
        core_s = tasks * reclaim.task_cores(unit.step) * work_ms / 1000
        queue = tables.queue_of(unit.entry.job)
        demands_by_service.setdefault(queue.service, []).append(
            admission.Demand(waiting.rank.priority, core_s)
        )
    found = {}
    for service, pool in _pools(tables, largest_by_service).items():
        demands = demands_by_service.get(service, [])
        found[service] = admission.backlog(demands, pool)
    return found


def encode(backlogs: dict[str, admission.Backlog]) -> dict:
    """Encodes backlogs for a record of the leader."""
    return {
        service: [
            sorted(known.delay_ms_by_priority.items()),
            [known.largest.cpu, known.largest.mem_mb, known.largest.gpu],
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
