"""The endpoints of one service during a placement pass."""

import dataclasses

from laburnumgate_placer import durations
from laburnumgate_placer import endpoint_table
from laburnumgate_placer import model
from laburnumgate_placer import progress
from laburnumgate_placer import reservation

# Gangs for which endpoints are kept at the same time. More would leave too
# little for the work that fits.
MAX_RESERVATIONS = 2


@dataclasses.dataclass(slots=True)
class Pool:
    """Endpoints that may be given work, and what they have left.

    Attributes:
      endpoints: the endpoints.
      free_by_id: capacity that is left, by endpoint id.
      failed_shapes: shapes of units that did not fit in this pass.
      held_ids: endpoints on which work was stopped for a unit before.
      reservations_by_unit: endpoints that units before are waiting for.
    """

    endpoints: list[endpoint_table.EndpointState]
    free_by_id: dict[str, model.Resources]
    failed_shapes: set[tuple] = dataclasses.field(default_factory=set)
    held_ids: set[str] = dataclasses.field(default_factory=set)
    reservations_by_unit: dict[model.UnitKey, reservation.Reservation] = (
        dataclasses.field(default_factory=dict)
    )

    def take(self, room: model.Resources, chosen: list[str]) -> None:
        """Counts a task's room as taken on each of the endpoints named."""
        for endpoint_id in chosen:
            free = self.free_by_id[endpoint_id]
            self.free_by_id[endpoint_id] = free.plus(room, -1)

    def reserve(
        self, key: model.UnitKey, kept: reservation.Reservation
    ) -> None:
        """Keeps endpoints for a unit unless enough are kept for others."""
        known = key in self.reservations_by_unit
        if known or len(self.reservations_by_unit) < MAX_RESERVATIONS:
            self.reservations_by_unit[key] = kept

    def not_held(self) -> list[endpoint_table.EndpointState]:
        """Returns the endpoints on which no work was stopped for others."""
        return [
            state
            for state in self.endpoints
            if state.info.endpoint_id not in self.held_ids
        ]

    def open_to(
        self,
        unit: progress.Unit,
        table: durations.DurationTable,
        now_ms: int,
    ) -> list[endpoint_table.EndpointState]:
        """Returns the endpoints that are kept for no unit before this one.

        A reserved endpoint is open to work that is expected to end before the
        reservation begins.
        """
        closed = set()
        work_ms = table.expected_ms(unit.entry.job, unit.key.step)
        for kept in self.reservations_by_unit.values():
            for endpoint_id in kept.endpoint_ids:
                speed = table.speeds.speed(endpoint_id)
                if now_ms + work_ms / speed > kept.start_ms:
                    closed.add(endpoint_id)
        return [
            state
            for state in self.not_held()
            if state.info.endpoint_id not in closed
        ]

    def half_idle(self) -> bool:
        """Whether at least half of all capacity is left."""
        whole = model.Resources()
        left = model.Resources()
        for state in self.endpoints:
            whole = whole.plus(state.info.capacity)
            left = left.plus(self.free_by_id[state.info.endpoint_id])
        return (
            2 * left.cpu >= whole.cpu
            and 2 * left.mem_mb >= whole.mem_mb
            and 2 * left.gpu >= whole.gpu
        )

    def stopping_on(self, endpoint_ids: frozenset[str]) -> bool:
        """Whether a run is being stopped on one of the endpoints named."""
        for state in self.endpoints:
            if state.info.endpoint_id not in endpoint_ids:
                continue
            for member in state.members.values():
                if member.run.phase == progress.Phase.STOPPING:
                    return True
        return False
