"""Endpoint capacity of one service during a placement pass."""

import dataclasses

from laburnumgate_placer import durations
from laburnumgate_placer import endpoint_table
from laburnumgate_placer import model
from laburnumgate_placer import progress
from laburnumgate_placer import reclaim
from laburnumgate_placer import reservation

# Maximum number of gangs with a reservation at the same time. More would leave
# too little capacity for units that fit now.
MAX_RESERVATIONS = 2


@dataclasses.dataclass(slots=True)
class Pool:
    """Endpoints that may run work, and their remaining capacity.

    Attributes:
      endpoints: the endpoints.
      free_by_id: remaining capacity by endpoint id.
      failed_fit_keys: fit keys of units that did not fit in this pass.
      lookaheads: searches among running work made in this pass.
      displacements: searches among running work of accounts at their limits.
      holders_by_id: units for which runs were stopped, by the ids of the
        endpoints that are held for them.
      reservations_by_unit: reservations of higher-ranked units.
      headroom_ids: ids of the endpoints that patient units leave free for
        urgent gangs.
      urgent_speed: lowest endpoint speed at which most of them are on time; 0
        if none is expected.
    """

    endpoints: list[endpoint_table.EndpointState]
    free_by_id: dict[str, model.Resources]
    failed_fit_keys: set[tuple] = dataclasses.field(default_factory=set)
    lookaheads: int = 0
    displacements: int = 0
    holders_by_id: dict[str, model.UnitKey] = dataclasses.field(
        default_factory=dict
    )
    reservations_by_unit: dict[model.UnitKey, reservation.Reservation] = (
        dataclasses.field(default_factory=dict)
    )
    headroom_ids: frozenset[str] = frozenset()
    urgent_speed: float = 0.0

    def allocate(self, resources: model.Resources, chosen: list[str]) -> None:
        """Deducts a task's capacity from each of the chosen endpoints."""
        for endpoint_id in chosen:
            free = self.free_by_id[endpoint_id]
            self.free_by_id[endpoint_id] = free.plus(resources, -1)

    def reserve(
        self, key: model.UnitKey, reserved: reservation.Reservation
    ) -> None:
        """Reserves endpoints for a unit, for up to `MAX_RESERVATIONS` gangs."""
        has_reservation = key in self.reservations_by_unit
        if has_reservation or len(self.reservations_by_unit) < MAX_RESERVATIONS:
            self.reservations_by_unit[key] = reserved

    def hold(self, key: model.UnitKey, endpoint_ids: frozenset[str]) -> None:
        """Holds endpoints for a unit, unless they are held for another."""
        for endpoint_id in endpoint_ids:
            self.holders_by_id.setdefault(endpoint_id, key)

    def release(self, key: model.UnitKey) -> None:
        """Ends the hold of a unit."""
        for endpoint_id, holder in list(self.holders_by_id.items()):
            if holder == key:
                del self.holders_by_id[endpoint_id]

    def open_to(
        self, key: model.UnitKey, protected: set[str]
    ) -> list[endpoint_table.EndpointState]:
        """Returns the endpoints not held for other guaranteed units.

        Args:
          key: the unit that may use them.
          protected: ids of the jobs that are covered by guarantees.
        """
        found = []
        for state in self.endpoints:
            holder = self.holders_by_id.get(state.info.endpoint_id, key)
            if holder == key or holder.job_id not in protected:
                found.append(state)
        return found

    def available_to(
        self,
        unit: progress.Unit,
        table: durations.DurationTable,
        now_ms: int,
    ) -> list[endpoint_table.EndpointState]:
        """Returns the endpoints neither held nor reserved for other units.

        A reserved endpoint is available to work that is expected to end before
        the reservation begins, and to a unit for which runs were stopped there.
        """
        unavailable = set()
        work_ms = table.expected_ms(unit.entry.job, unit.key.step)
        for reserved in self.reservations_by_unit.values():
            for endpoint_id in reserved.endpoint_ids:
                speed = table.speeds.speed(endpoint_id)
                if now_ms + work_ms / speed > reserved.start_ms:
                    unavailable.add(endpoint_id)
        found = []
        for state in self.endpoints:
            endpoint_id = state.info.endpoint_id
            holder = self.holders_by_id.get(endpoint_id)
            if holder == unit.key or (
                holder is None and endpoint_id not in unavailable
            ):
                found.append(state)
        return found

    def outside_headroom(
        self, endpoints: list[endpoint_table.EndpointState]
    ) -> list[endpoint_table.EndpointState]:
        """Returns those of the endpoints that are not kept for urgent gangs."""
        headroom_ids = self.headroom_ids
        return [s for s in endpoints if s.info.endpoint_id not in headroom_ids]

    def cores(self) -> float:
        """Returns the total cores, with accelerators converted to cores."""
        return sum(
            reclaim.resource_cores(state.info.capacity)
            for state in self.endpoints
        )

    def is_half_idle(self) -> bool:
        """Whether at least half of the total capacity is free."""
        total = model.Resources()
        free = model.Resources()
        for state in self.endpoints:
            total = total.plus(state.info.capacity)
            free = free.plus(self.free_by_id[state.info.endpoint_id])
        return (
            2 * free.cpu >= total.cpu
            and 2 * free.mem_mb >= total.mem_mb
            and 2 * free.gpu >= total.gpu
        )

    def has_stopping_run(self, endpoint_ids: frozenset[str]) -> bool:
        """Whether a run is being stopped on one of the given endpoints."""
        for state in self.endpoints:
            if state.info.endpoint_id not in endpoint_ids:
                continue
            for member in state.members.values():
                if member.run.phase == progress.Phase.STOPPING:
                    return True
        return False
