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
      failed_fit_keys: fit keys of units that did not fit in this pass.
      held_ids: endpoints on which work was stopped for a unit before.
      reservations_by_unit: endpoints that units before are waiting for.
    """

    endpoints: list[endpoint_table.EndpointState]
    free_by_id: dict[str, model.Room]
    failed_fit_keys: set[tuple] = dataclasses.field(default_factory=set)
    held_ids: set[str] = dataclasses.field(default_factory=set)
    reservations_by_unit: dict[model.UnitKey, reservation.Reservation] = (
        dataclasses.field(default_factory=dict)
    )

    def allocate(self, room: model.Room, chosen: list[str]) -> None:
        """Counts a task's room as taken on each of the endpoints named."""
        for endpoint_id in chosen:
            free = self.free_by_id[endpoint_id]
            self.free_by_id[endpoint_id] = free.plus(room, -1)

    def reserve(
        self, key: model.UnitKey, kept: reservation.Reservation
    ) -> None:
        """Keeps endpoints for a unit unless enough are kept for others."""
        reserved = key in self.reservations_by_unit
        if reserved or len(self.reservations_by_unit) < MAX_RESERVATIONS:
            self.reservations_by_unit[key] = kept

    def unheld(self) -> list[endpoint_table.EndpointState]:
        """Returns the endpoints on which no work was stopped for others."""
        return [
            state
            for state in self.endpoints
            if state.info.endpoint_id not in self.held_ids
        ]

    def available_to(
        self,
        unit: progress.Unit,
        table: durations.DurationTable,
        now_ms: int,
    ) -> list[endpoint_table.EndpointState]:
        """Returns the endpoints that are kept for no unit before this one.

        A reserved endpoint is open to work that is expected to end before the
        reservation begins.
        """
        unavailable = set()
        work_ms = table.expected_ms(unit.entry.job, unit.key.step)
        for kept in self.reservations_by_unit.values():
            for endpoint_id in kept.endpoint_ids:
                speed = table.speeds.speed(endpoint_id)
                if now_ms + work_ms / speed > kept.start_ms:
                    unavailable.add(endpoint_id)
        return [
            state
            for state in self.unheld()
            if state.info.endpoint_id not in unavailable
        ]

    def is_half_idle(self) -> bool:
        """Whether at least half of all capacity is left."""
        total = model.Room()
        free = model.Room()
        for state in self.endpoints:
            total = total.plus(state.info.capacity)
            free = free.plus(self.free_by_id[state.info.endpoint_id])
        return (
            2 * free.cpu >= total.cpu
            and 2 * free.mem_mb >= total.mem_mb
            and 2 * free.gpu >= total.gpu
        )

    def has_stopping_run(self, endpoint_ids: frozenset[str]) -> bool:
        """Whether a run is being stopped on one of the endpoints named."""
        for state in self.endpoints:
            if state.info.endpoint_id not in endpoint_ids:
                continue
            for member in state.members.values():
                if member.run.phase == progress.Phase.STOPPING:
                    return True
        return False
