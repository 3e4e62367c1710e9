"""Reserves endpoints for a unit that does not fit yet, with backfilling.

Without a reservation small units take all capacity that becomes free, and a
large gang starves because its endpoints are never free at the same time. Other
units may use a reserved endpoint for work that is expected to end before the
reservation begins.
"""

import dataclasses

from laburnumgate_placer import endpoint_table
from laburnumgate_placer import model
from laburnumgate_placer import placement
from laburnumgate_placer import progress
from laburnumgate_placer import tables as tables_module


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Endpoints reserved for a unit from its expected start.

    Attributes:
      start_ms: monotonic time at which the unit is expected to start.
      endpoint_ids: endpoints on which it is expected to run.
    """

    start_ms: float
    endpoint_ids: frozenset[str]


def plan(
    tables: tables_module.Tables,
    unit: progress.Unit,
    endpoints: list[endpoint_table.EndpointState],
    requirement: placement.Requirement,
    now_ms: int,
) -> Reservation | None:
    """Finds the earliest time at which the unit is expected to fit.

    Simulates the ends of running work in order of their expected times and
    tries to place the unit after each. Returns None if the unit does not fit
    even after the last one.
    """
    free_by_id = {s.info.endpoint_id: s.free() for s in endpoints}
    ends: list[tuple[float, str, model.Resources]] = []
    remaining_by_run: dict[int, float] = {}
    for state in endpoints:
        for member in state.members.values():
            run = member.run
            remaining_ms = remaining_by_run.get(id(run))
            if remaining_ms is None:
                remaining_ms = _remaining_ms(tables, run, now_ms)
                remaining_by_run[id(run)] = remaining_ms
            ends.append(
                (remaining_ms, state.info.endpoint_id, run.unit.step.charged)
            )
    ends.sort(key=lambda end: end[:2])
    index = 0
    while index < len(ends):
        remaining_ms = ends[index][0]
        while index < len(ends) and ends[index][0] <= remaining_ms:
            _, endpoint_id, resources = ends[index]
            free_by_id[endpoint_id] = free_by_id[endpoint_id].plus(resources)
            index += 1
        chosen = placement.choose(
            unit, endpoints, free_by_id, tables.durations.speeds, requirement
        )
        if chosen is not None:
            return Reservation(now_ms + remaining_ms, frozenset(chosen))
    return None


def _remaining_ms(
    tables: tables_module.Tables, run: progress.Run, now_ms: int
) -> float:
    if run.phase == progress.Phase.STOPPING:
        return float(tables.bounds.stop_ms)
    if run.unit.step.long_running:
        return float("inf")
    return tables.durations.remaining_ms(run, now_ms)
