"""Chooses endpoints for a unit by rack, data, label, speed and packing."""

import collections
import dataclasses
import enum
import functools

from laburnumgate_placer import endpoint_table
from laburnumgate_placer import model
from laburnumgate_placer import progress
from laburnumgate_placer import speeds

# Estimated speeds are accurate to about this factor. Slow endpoints are
# overestimated until several steps have run on them.
SPEED_MARGIN_RATIO = 1.2
# Ratio between the bounds of a speed bucket. Endpoints of one bucket count as
# equally fast.
SPEED_BUCKET_RATIO = 1.2


class Preference(enum.Enum):
    """Which of the endpoints that a unit could run on it prefers.

    Data, label, avoided endpoints and, except for `FASTEST`, the speed that the
    unit needs take precedence.
    """

    # The slowest that is fast enough; faster ones are left to units that need
    # them.
    SLOWEST = "slowest"
    # The fastest. Declared durations are off by half, so that an endpoint that
    # seems just fast enough is often too slow.
    FASTEST = "fastest"
    # One that is in use already, in the fullest rack, so that whole endpoints
    # and racks stay free. Speed only decides between endpoints that are equal
    # in this: a gang that needs a whole rack cannot use fast endpoints that
    # stay free in different racks.
    PACKED = "packed"


@dataclasses.dataclass(frozen=True, slots=True)
class Requirement:
    """Requirements of a unit on the endpoints that it runs on.

    Attributes:
      min_speed: endpoint speed below which the job ends late.
      spread: whether a same-rack gang may run on several racks, where it is
        slower.
      preference: which of several possible endpoints it prefers.
      spare_speed: endpoints known to be at least this fast are left to
        urgent work if `PACKED`; 0 for none.
      keep_racks: whether, of endpoints that are equal otherwise, those in
        racks with the fewest whole endpoints are preferred.
    """

    min_speed: float = 0.0
    spread: bool = False
    preference: Preference = Preference.SLOWEST
    spare_speed: float = 0.0
    keep_racks: bool = False

    def spares(self, speed_table: speeds.SpeedTable, endpoint_id: str) -> bool:
        """Whether an endpoint is left to urgent work if possible.

        Urgent gangs are late on slower endpoints. Endpoints of unknown speed
        are not spared: patient work there shows how fast they are.
        """
        return (
            self.spare_speed > 0
            and speed_table.is_known(endpoint_id)
            and speed_table.speed(endpoint_id) >= self.spare_speed
        )

    def is_met_by(self, speed: float) -> bool:
        """Whether work at this estimated speed is expected to end in time."""
        return speed >= self.min_speed * SPEED_MARGIN_RATIO


def choose(
    unit: progress.Unit,
    endpoints: list[endpoint_table.EndpointState],
    free_by_id: dict[str, model.Resources],
    speed_table: speeds.SpeedTable,
    requirement: Requirement,
    rack_endpoints: list[endpoint_table.EndpointState] | None = None,
) -> list[str] | None:
    """Chooses an endpoint for each task of the unit.

    Args:
      unit: the unit to place.
      endpoints: endpoints that may run work of its queue.
      free_by_id: free capacity by endpoint id.
      speed_table: their speeds.
      requirement: the requirements on the endpoints.
      rack_endpoints: all endpoints that count towards how full a rack is;
        `endpoints` if not given.

    Returns:
      One endpoint id for each task, or None if the unit does not fit.
    """
    step = unit.step
    slots_by_id = _free_slots(unit, endpoints, free_by_id)
    if sum(slots_by_id.values()) < unit.size:
        return None
    idle = _idle(requirement, rack_endpoints or endpoints, free_by_id)
    ordered = _ordered(
        unit,
        endpoints,
        slots_by_id,
        free_by_id,
        speed_table,
        requirement,
        idle,
    )
    if not step.same_rack and not (step.data_rack and unit.size > 1):
        return _fill(unit.size, ordered, slots_by_id)
    chosen = _choose_in_rack(
        unit, ordered, slots_by_id, speed_table, requirement, idle
    )
    if chosen is not None:
        return chosen
    if not requirement.spread and fits_in_empty_rack(unit, endpoints):
        return None
    return _fill(unit.size, ordered, slots_by_id)


def fits(
    unit: progress.Unit,
    endpoints: list[endpoint_table.EndpointState],
    free_by_id: dict[str, model.Resources],
    requirement: Requirement,
) -> bool:
    """Whether `choose` would find endpoints for the unit."""
    step = unit.step
    slots_by_id = _free_slots(unit, endpoints, free_by_id)
    if sum(slots_by_id.values()) < unit.size:
        return False
    if not step.same_rack and not (step.data_rack and unit.size > 1):
        return True
    slots_by_rack: collections.Counter[str] = collections.Counter()
    for state in endpoints:
        slots = slots_by_id.get(state.info.endpoint_id, 0)
        slots_by_rack[state.info.rack] += slots
    if max(slots_by_rack.values()) >= unit.size:
        return True
    return requirement.spread or not fits_in_empty_rack(unit, endpoints)


def choose_some(
    unit: progress.Unit,
    most: int,
    endpoints: list[endpoint_table.EndpointState],
    free_by_id: dict[str, model.Resources],
    speed_table: speeds.SpeedTable,
    requirement: Requirement,
    rack_endpoints: list[endpoint_table.EndpointState] | None = None,
) -> list[str]:
    """Chooses endpoints for tasks that run independently of each other.

    Args:
      unit: one of several equal units of one task each.
      most: number of these units.
      endpoints: endpoints that may run work of their queue.
      free_by_id: free capacity by endpoint id.
      speed_table: their speeds.
      requirement: the requirements on the endpoints.
      rack_endpoints: all endpoints that count towards how full a rack is;
        `endpoints` if not given.

    Returns:
      An endpoint id for each of the first units, as many as fit.
    """
    slots_by_id = _free_slots(unit, endpoints, free_by_id)
    idle = _idle(requirement, rack_endpoints or endpoints, free_by_id)
    ordered = _ordered(
        unit,
        endpoints,
        slots_by_id,
        free_by_id,
        speed_table,
        requirement,
        idle,
    )
    chosen: list[str] = []
    for state in ordered:
        endpoint_id = state.info.endpoint_id
        missing = most - len(chosen)
        if missing <= 0:
            break
        chosen.extend([endpoint_id] * min(missing, slots_by_id[endpoint_id]))
    return chosen


def _free_slots(
    unit: progress.Unit,
    endpoints: list[endpoint_table.EndpointState],
    free_by_id: dict[str, model.Resources],
) -> dict[str, int]:
    step = unit.step
    count_by_endpoint = (
        _count_by_endpoint(unit) if step.max_per_endpoint else {}
    )
    slots_by_id = {}
    for state in endpoints:
        endpoint_id = state.info.endpoint_id
        if step.label and step.label not in state.info.labels:
            continue
        slots = free_by_id[endpoint_id].count_fitting(step.charged)
        if step.max_per_endpoint:
            left = step.max_per_endpoint - count_by_endpoint.get(endpoint_id, 0)
            slots = min(slots, left)
        if slots > 0:
            slots_by_id[endpoint_id] = slots
    return slots_by_id


def _count_by_endpoint(unit: progress.Unit) -> dict[str, int]:
    """Counts placed tasks of the unit's step and occurrence by endpoint."""
    count_by_endpoint: collections.Counter[str] = collections.Counter()
    step_key = (unit.key.occurrence, unit.key.step)
    for other in unit.entry.step_units(step_key):
        if other.run is None:
            continue
        for member in other.run.members:
            if not member.terminated:
                count_by_endpoint[member.endpoint_id] += 1
    return count_by_endpoint


@dataclasses.dataclass(frozen=True, slots=True)
class _Idle:
    """Endpoints of which no accelerator is in use.

    Attributes:
      endpoint_ids: their ids.
      count_by_rack: their number by rack.
    """

    endpoint_ids: frozenset[str] = frozenset()
    count_by_rack: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


def is_whole(
    state: endpoint_table.EndpointState, free: model.Resources
) -> bool:
    """Whether no accelerator of an endpoint is in use.

    Without accelerators, all of its resources have to be free.
    """
    capacity = state.info.capacity
    if capacity.gpu:
        return free.gpu >= capacity.gpu
    return free == capacity


def _idle(
    requirement: Requirement,
    endpoints: list[endpoint_table.EndpointState],
    free_by_id: dict[str, model.Resources],
) -> _Idle:
    """Finds the endpoints that a unit should leave whole if possible."""
    packed = requirement.preference == Preference.PACKED
    if not (packed or requirement.keep_racks):
        return _Idle()
    endpoint_ids = set()
    count_by_rack: collections.Counter[str] = collections.Counter()
    for state in endpoints:
        endpoint_id = state.info.endpoint_id
        if is_whole(state, free_by_id[endpoint_id]):
            endpoint_ids.add(endpoint_id)
            count_by_rack[state.info.rack] += 1
    return _Idle(frozenset(endpoint_ids), count_by_rack)


def _ordered(
    unit: progress.Unit,
    endpoints: list[endpoint_table.EndpointState],
    slots_by_id: dict[str, int],
    free_by_id: dict[str, model.Resources],
    speed_table: speeds.SpeedTable,
    requirement: Requirement,
    idle: _Idle,
) -> list[endpoint_table.EndpointState]:
    """Returns the endpoints with free slots in order of preference."""
    allowed = [e for e in endpoints if e.info.endpoint_id in slots_by_id]
    if requirement.preference == Preference.PACKED and not unit.suspected:
        allowed.sort(
            key=lambda s: _packed_key(
                unit, s, free_by_id, speed_table, requirement, idle
            )
        )
        return allowed
    allowed.sort(
        key=lambda s: _sort_key(
            unit, s, slots_by_id, speed_table, requirement, idle
        )
    )
    return allowed


def _packed_key(
    unit: progress.Unit,
    state: endpoint_table.EndpointState,
    free_by_id: dict[str, model.Resources],
    speed_table: speeds.SpeedTable,
    requirement: Requirement,
    idle: _Idle,
) -> tuple:
    info = state.info
    endpoint_id = info.endpoint_id
    data_rack = unit.step.data_rack
    speed = speed_table.speed(endpoint_id)
    fast_enough = requirement.is_met_by(speed)
    bucket = _speed_bucket(speed)
    whole = endpoint_id in idle.endpoint_ids
    return (
        endpoint_id in unit.avoided_endpoints,
        bool(data_rack) and info.rack != data_rack,
        not fast_enough,
        0 if fast_enough else -bucket,
        bool(state.failing_jobs or state.suspects),
        requirement.spares(speed_table, endpoint_id),
        whole,
        idle.count_by_rack[info.rack],
        # Whole endpoints are taken from one rack after the other.
        info.rack if whole else "",
        free_by_id[endpoint_id].gpu,
        bucket,
        endpoint_id,
    )


def _sort_key(
    unit: progress.Unit,
    state: endpoint_table.EndpointState,
    slots_by_id: dict[str, int],
    speed_table: speeds.SpeedTable,
    requirement: Requirement,
    idle: _Idle,
) -> tuple:
    endpoint_id = state.info.endpoint_id
    data_rack = unit.step.data_rack
    speed = speed_table.speed(endpoint_id)
    fast_enough = requirement.is_met_by(speed)
    bucket = _speed_bucket(speed)
    if unit.suspected:
        # A crash then tells which task causes it, and takes little with it.
        shared = _most_shared_losses(unit, state)
        return (
            # Tasks lost together twice are given up for each other's crashes
            # if they stay together. An endpoint that crashed under the unit is
            # better than that.
            max(0, shared - 1),
            endpoint_id in unit.avoided_endpoints,
            shared,
            len(state.suspects),
            bool(data_rack) and state.info.rack != data_rack,
            not fast_enough,
            len(state.members),
            bucket if fast_enough else -bucket,
            slots_by_id[endpoint_id],
            endpoint_id,
        )
    fastest = requirement.preference == Preference.FASTEST
    return (
        endpoint_id in unit.avoided_endpoints,
        bool(data_rack) and state.info.rack != data_rack,
        not fast_enough,
        bucket if fast_enough and not fastest else -bucket,
        bool(state.failing_jobs or state.suspects),
        slots_by_id[endpoint_id],
        idle.count_by_rack[state.info.rack],
        endpoint_id,
    )


def _most_shared_losses(
    unit: progress.Unit, state: endpoint_table.EndpointState
) -> int:
    """Returns how often the unit was lost together with a unit placed there.

    The same units side by side in the next crash would not tell them apart.
    """
    own = {loss.incarnation for loss in unit.losses}
    most = 0
    for key in state.suspects:
        other = state.members[key].run.unit
        if other.key.job_id == unit.key.job_id:
            continue
        shared = own & {loss.incarnation for loss in other.losses}
        most = max(most, len(shared))
    return most


def _choose_in_rack(
    unit: progress.Unit,
    ordered: list[endpoint_table.EndpointState],
    slots_by_id: dict[str, int],
    speed_table: speeds.SpeedTable,
    requirement: Requirement,
    idle: _Idle,
) -> list[str] | None:
    fastest = requirement.preference == Preference.FASTEST
    by_rack: dict[str, list[endpoint_table.EndpointState]] = {}
    for state in ordered:
        by_rack.setdefault(state.info.rack, []).append(state)
    best: tuple | None = None
    for rack, states in by_rack.items():
        chosen = _fill(unit.size, states, slots_by_id)
        if chosen is None:
            continue
        slowest = min(speed_table.speed(endpoint_id) for endpoint_id in chosen)
        fast_enough = requirement.is_met_by(slowest)
        bucket = _speed_bucket(slowest)
        left = sum(slots_by_id[s.info.endpoint_id] for s in states)
        whole = len(idle.endpoint_ids.intersection(chosen))
        if requirement.spare_speed:
            # Whole endpoints that urgent gangs are late on need no sparing.
            whole = sum(
                1
                for endpoint_id in set(chosen)
                if endpoint_id in idle.endpoint_ids
                and requirement.spares(speed_table, endpoint_id)
            )
        sort_key = (
            rack != unit.step.data_rack,
            not fast_enough,
            0 if fast_enough and not fastest else -bucket,
            whole,
            idle.count_by_rack[rack] - whole,
            left,
            rack,
        )
        if best is None or sort_key < best[0]:
            best = (sort_key, chosen)
    return best[1] if best is not None else None


def fits_in_empty_rack(
    unit: progress.Unit, endpoints: list[endpoint_table.EndpointState]
) -> bool:
    """Whether the unit would fit in at least one rack if it were empty."""
    slots_by_rack: collections.Counter[str] = collections.Counter()
    for state in endpoints:
        slots = state.info.capacity.count_fitting(unit.step.charged)
        if unit.step.max_per_endpoint:
            slots = min(slots, unit.step.max_per_endpoint)
        slots_by_rack[state.info.rack] += slots
    return any(slots >= unit.size for slots in slots_by_rack.values())


def _fill(
    size: int,
    ordered: list[endpoint_table.EndpointState],
    slots_by_id: dict[str, int],
) -> list[str] | None:
    """Fills endpoints in order until every task is placed."""
    chosen: list[str] = []
    for state in ordered:
        endpoint_id = state.info.endpoint_id
        missing = size - len(chosen)
        chosen.extend([endpoint_id] * min(missing, slots_by_id[endpoint_id]))
        if len(chosen) == size:
            return chosen
    return None


@functools.lru_cache(maxsize=4_096)
def _speed_bucket(speed: float) -> int:
    """Returns the number of the logarithmic bucket of a speed."""
    bucket = 0
    while speed >= SPEED_BUCKET_RATIO:
        speed /= SPEED_BUCKET_RATIO
        bucket += 1
    while speed < 1 / SPEED_BUCKET_RATIO:
        speed *= SPEED_BUCKET_RATIO
        bucket -= 1
    return bucket
