"""Chooses endpoints for a unit: racks, data, labels, speed, tight packing."""

import collections
import dataclasses

from laburnumgate_placer import endpoint_table
from laburnumgate_placer import model
from laburnumgate_placer import progress
from laburnumgate_placer import speeds

# Speeds are known to about this factor; those of slow endpoints are taken for
# higher than they are until several steps have run there.
SPEED_MARGIN = 1.2
# Endpoints whose speeds differ by less than this factor count as equal.
SPEED_GRAIN = 1.2


@dataclasses.dataclass(frozen=True, slots=True)
class Wish:
    """What a unit should run on.

    Attributes:
      least_speed: below this speed the job will be late.
      spread: a gang of one rack may run on several, where it is slower.
    """

    least_speed: float = 0.0
    spread: bool = False

    def met_by(self, speed: float) -> bool:
        """Whether work at this speed is done in time."""
        return speed >= self.least_speed * SPEED_MARGIN


def choose(
    unit: progress.Unit,
    endpoints: list[endpoint_table.EndpointState],
    free_by_id: dict[str, model.Resources],
    speed_table: speeds.SpeedTable,
    wish: Wish,
) -> list[str] | None:
    """Chooses an endpoint for each task of the unit.

    Among the endpoints that are fast enough the slowest are taken first, so
    that fast ones stay free for work that needs them.

    Args:
      unit: what is to be started.
      endpoints: endpoints that may be given work of its queue.
      free_by_id: their free capacity by endpoint id.
      speed_table: their speeds.
      wish: what the unit should run on.

    Returns:
      Endpoint ids, one a task, or None if the unit does not fit.
    """
    step = unit.step
    slots_by_id = _slots(unit, endpoints, free_by_id)
    if sum(slots_by_id.values()) < unit.size:
        return None
    allowed = [e for e in endpoints if e.info.endpoint_id in slots_by_id]
    ordered = sorted(
        allowed,
        key=lambda s: _preference(unit, s, slots_by_id, speed_table, wish),
    )
    if not step.same_rack and not (step.data_rack and unit.size > 1):
        return _fill(unit.size, ordered, slots_by_id)
    chosen = _choose_rack(unit, ordered, slots_by_id, speed_table, wish)
    if chosen is not None:
        return chosen
    if not wish.spread and _could_fit_rack(unit, endpoints):
        return None
    return _fill(unit.size, ordered, slots_by_id)


def _slots(
    unit: progress.Unit,
    endpoints: list[endpoint_table.EndpointState],
    free_by_id: dict[str, model.Resources],
) -> dict[str, int]:
    step = unit.step
    taken = _taken(unit) if step.max_per_endpoint else {}
    slots_by_id = {}
    for state in endpoints:
        endpoint_id = state.info.endpoint_id
        if step.label and step.label not in state.info.labels:
            continue
        slots = free_by_id[endpoint_id].count_fitting(step.charged)
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
            if not member.terminated:
                taken[member.endpoint_id] += 1
    return taken


def _preference(
    unit: progress.Unit,
    state: endpoint_table.EndpointState,
    slots_by_id: dict[str, int],
    speed_table: speeds.SpeedTable,
    wish: Wish,
) -> tuple:
    endpoint_id = state.info.endpoint_id
    near = unit.step.data_rack
    speed = speed_table.speed(endpoint_id)
    enough = wish.met_by(speed)
    grain = _grain(speed)
    return (
        endpoint_id in unit.avoided_endpoints,
        bool(near) and state.info.rack != near,
        not enough,
        grain if enough else -grain,
        bool(state.failing_jobs),
        slots_by_id[endpoint_id],
        endpoint_id,
    )


def _choose_rack(
    unit: progress.Unit,
    ordered: list[endpoint_table.EndpointState],
    slots_by_id: dict[str, int],
    speed_table: speeds.SpeedTable,
    wish: Wish,
) -> list[str] | None:
    by_rack: dict[str, list[endpoint_table.EndpointState]] = {}
    for state in ordered:
        by_rack.setdefault(state.info.rack, []).append(state)
    best: tuple | None = None
    for rack, states in by_rack.items():
        chosen = _fill(unit.size, states, slots_by_id)
        if chosen is None:
            continue
        slowest = min(speed_table.speed(endpoint_id) for endpoint_id in chosen)
        enough = wish.met_by(slowest)
        grain = _grain(slowest)
        left = sum(slots_by_id[s.info.endpoint_id] for s in states)
        rank = (
            rack != unit.step.data_rack,
            not enough,
            0 if enough else -grain,
            left,
            rack,
        )
        if best is None or rank < best[0]:
            best = (rank, chosen)
    return best[1] if best is not None else None


def _could_fit_rack(
    unit: progress.Unit, endpoints: list[endpoint_table.EndpointState]
) -> bool:
    """Whether some rack would hold the unit if nothing else ran there."""
    room_by_rack: collections.Counter[str] = collections.Counter()
    for state in endpoints:
        slots = state.info.capacity.count_fitting(unit.step.charged)
        if unit.step.max_per_endpoint:
            slots = min(slots, unit.step.max_per_endpoint)
        room_by_rack[state.info.rack] += slots
    return any(room >= unit.size for room in room_by_rack.values())


def _fill(
    size: int,
    ordered: list[endpoint_table.EndpointState],
    slots_by_id: dict[str, int],
) -> list[str] | None:
    """Takes endpoints in order until all tasks have a place."""
    chosen: list[str] = []
    for state in ordered:
        endpoint_id = state.info.endpoint_id
        wanted = size - len(chosen)
        chosen.extend([endpoint_id] * min(wanted, slots_by_id[endpoint_id]))
        if len(chosen) == size:
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
