"""Chooses endpoints for a unit: racks, data, labels, speed, tight packing."""

import collections

from laburnumgate_placer import endpoint_table
from laburnumgate_placer import model
from laburnumgate_placer import progress

# Endpoints whose speeds differ by less than this factor count as equal.
SPEED_GRAIN = 1.25


def choose(
    unit: progress.Unit,
    endpoints: list[endpoint_table.EndpointState],
    free_by_id: dict[str, model.Room],
) -> list[str] | None:
    """Chooses an endpoint for each task of the unit.

    Args:
      unit: what is to be started.
      endpoints: endpoints that may be given work of its queue.
      free_by_id: their free capacity by endpoint id.

    Returns:
      Endpoint ids, one a task, or None if the unit does not fit.
    """
    step = unit.step
    slots_by_id = _slots(unit, endpoints, free_by_id)
    if not slots_by_id:
        return None
    allowed = [e for e in endpoints if e.info.endpoint_id in slots_by_id]
    if step.same_rack or (step.data_rack and unit.size > 1):
        return _choose_rack(unit, allowed, slots_by_id, endpoints)
    return _fill(unit, allowed, slots_by_id)


def _slots(
    unit: progress.Unit,
    endpoints: list[endpoint_table.EndpointState],
    free_by_id: dict[str, model.Room],
) -> dict[str, int]:
    step = unit.step
    taken = _taken(unit) if step.max_per_endpoint else {}
    slots_by_id = {}
    for state in endpoints:
        endpoint_id = state.info.endpoint_id
        if step.label and step.label not in state.info.labels:
            continue
        slots = free_by_id[endpoint_id].fits(step.charged)
        if step.max_per_endpoint:
            left = step.max_per_endpoint - taken.get(endpoint_id, 0)
            slots = min(slots, left)
        if slots > 0:
            slots_by_id[endpoint_id] = slots
    return slots_by_id


def _taken(unit: progress.Unit) -> dict[str, int]:
    """Counts tasks of the same step and occurrence by endpoint."""
    taken: collections.Counter[str] = collections.Counter()
    place = (unit.key.occurrence, unit.key.step)
    for other in unit.entry.step_units(place):
        if other.run is None:
            continue
        for member in other.run.members:
            if not member.gone:
                taken[member.endpoint_id] += 1
    return taken


def _choose_rack(
    unit: progress.Unit,
    allowed: list[endpoint_table.EndpointState],
    slots_by_id: dict[str, int],
    endpoints: list[endpoint_table.EndpointState],
) -> list[str] | None:
    by_rack: dict[str, list[endpoint_table.EndpointState]] = {}
    for state in allowed:
        by_rack.setdefault(state.info.rack, []).append(state)
    best: tuple | None = None
    for rack, states in by_rack.items():
        chosen = _fill(unit, states, slots_by_id)
        if chosen is None:
            continue
        near = rack == unit.step.data_rack
        speed = min(
            s.speed for s in states if s.info.endpoint_id in set(chosen)
        )
        left = sum(slots_by_id[s.info.endpoint_id] for s in states)
        rank = (not near, -_grain(speed), left)
        if best is None or rank < best[0]:
            best = (rank, chosen)
    if best is not None:
        return best[1]
    if _could_fit_rack(unit, endpoints):
        return None
    return _fill(unit, allowed, slots_by_id)


def _could_fit_rack(
    unit: progress.Unit, endpoints: list[endpoint_table.EndpointState]
) -> bool:
    """Whether some rack would hold the unit if nothing else ran there."""
    room_by_rack: collections.Counter[str] = collections.Counter()
    for state in endpoints:
        slots = state.info.capacity.fits(unit.step.charged)
        if unit.step.max_per_endpoint:
            slots = min(slots, unit.step.max_per_endpoint)
        room_by_rack[state.info.rack] += slots
    return any(room >= unit.size for room in room_by_rack.values())


def _fill(
    unit: progress.Unit,
    states: list[endpoint_table.EndpointState],
    slots_by_id: dict[str, int],
) -> list[str] | None:
    """Takes fast endpoints first, among equal ones the fullest."""
    total = sum(slots_by_id[s.info.endpoint_id] for s in states)
    if total < unit.size:
        return None
    near = unit.step.data_rack
    ordered = sorted(
        states,
        key=lambda s: (
            s.info.endpoint_id in unit.avoid,
            bool(near) and s.info.rack != near,
            -_grain(s.speed),
            bool(s.failing_jobs),
            slots_by_id[s.info.endpoint_id],
            s.info.endpoint_id,
        ),
    )
    chosen: list[str] = []
    for state in ordered:
        endpoint_id = state.info.endpoint_id
        wanted = unit.size - len(chosen)
        chosen.extend([endpoint_id] * min(wanted, slots_by_id[endpoint_id]))
        if len(chosen) == unit.size:
            return chosen
    return None


def _grain(speed: float) -> int:
    """Returns a step on a logarithmic scale of speeds."""
    grain = 0
    while speed >= SPEED_GRAIN:
        speed /= SPEED_GRAIN
        grain += 1
    while speed < 1 / SPEED_GRAIN:
        speed *= SPEED_GRAIN
        grain -= 1
    return grain
