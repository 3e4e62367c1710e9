"""Assigns guaranteed shapes of client accounts to zones and endpoints."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from laburnumgate_core import model
from laburnumgate_core import placement


@dataclasses.dataclass(frozen=True)
class _Gang:
    account: str
    zones: tuple[str, ...]
    parts: int
    accelerators_per_part: int
    adjacency: model.Adjacency
    number: int


class _FreeRack:
    """Free accelerators of each endpoint of one rack."""

    def __init__(self, zone: str, free: list[int]):
        self.zone = zone
        self.free = free

    def slots(self, accelerators: int) -> int:
        return sum(amount // accelerators for amount in self.free)

    def take(self, accelerators: int, parts: int) -> int:
        """Allocates up to `parts` parts and returns how many were placed."""
        placed = 0
        order = sorted(range(len(self.free)), key=lambda i: self.free[i])
        for index in order:
            while self.free[index] >= accelerators and placed < parts:
                self.free[index] -= accelerators
                placed += 1
        return placed


def unmet_declared(
    promises: dict[str, model.Promise], zones: dict[str, model.Zone]
) -> str:
    """Returns why the promises cannot all be met, or an empty string.

    Places every guaranteed gang on the declared racks, largest first.
    """
    racks = _free_racks(zones.values())
    for gang in _gangs(promises):
        if not _place(gang, racks):
            return (
                f"the guarantee of {gang.account!r} for {gang.parts} parts of "
                f"{gang.accelerators_per_part} accelerators cannot be met "
                f"together with the other guarantees"
            )
    return ""


class Slot:
    """A guaranteed gang, its reserved endpoints and the job that uses it."""

    def __init__(self, gang: _Gang):
        self.account = gang.account
        self.number = gang.number
        self.parts = gang.parts
        self.accelerators_per_part = gang.accelerators_per_part
        self.adjacency = gang.adjacency
        # Reserved parts by endpoint id; empty while nothing can be reserved.
        self.parts_by_endpoint: dict[str, int] = {}
        self.job_id = ""

    @property
    def key(self) -> tuple[str, int]:
        """The account and the number of the gang within it."""
        return (self.account, self.number)

    def fits(self, spec: model.JobSpec) -> bool:
        """Whether a job fits within the guaranteed shape."""
        return (
            spec.accelerators_per_part > 0 and self.needed(spec) <= self.parts
        )

    def needed(self, spec: model.JobSpec) -> int:
        """Returns how many parts of the guaranteed shape the job needs."""
        per_part = self.accelerators_per_part // spec.accelerators_per_part
        return -(-spec.parts // per_part) if per_part else self.parts + 1


def unowed(account: str, spec: model.JobSpec) -> Slot:
    """Returns an unguaranteed placeholder with the job's own shape."""
    return Slot(
        _Gang(
            account,
            (),
            spec.parts,
            spec.accelerators_per_part,
            spec.adjacency,
            0,
        )
    )


def assign(
    promises: dict[str, model.Promise], zones: Iterable[model.Zone]
) -> dict[str, list[Slot]]:
    """Assigns guaranteed gangs to the given zones, largest first.

    The result depends on the arguments alone, so that all hosts agree. Gangs
    that do not fit are left out; the others remain guaranteed.

    Args:
      promises: promises by client account.
      zones: the zones in service.
    """
    ordered = sorted(zones, key=lambda zone: zone.name)
    gangs = _gangs(promises)
    spread, spread_left = _assign(gangs, ordered, _place_spread)
    if not spread_left:
        return spread
    packed, packed_left = _assign(gangs, ordered, _place)
    return packed if packed_left < spread_left else spread


def _assign(
    gangs: list[_Gang],
    zones: list[model.Zone],
    place: Callable[[_Gang, list[_FreeRack]], str],
) -> tuple[dict[str, list[Slot]], int]:
    """Returns the guarantees by zone and how many gangs were left out."""
    racks = _free_racks(zones)
    slots_by_zone: dict[str, list[Slot]] = {}
    left_out = 0
    for gang in gangs:
        zone = place(gang, racks)
        if zone:
            slots_by_zone.setdefault(zone, []).append(Slot(gang))
        else:
            left_out += 1
    return slots_by_zone, left_out


def _place_spread(gang: _Gang, racks: list[_FreeRack]) -> str:
    """Places in the zone with the most unreserved capacity.

    Each zone then keeps free capacity for work that cannot be stopped, and a
    gang that must avoid an endpoint can use another one.
    """
    left_by_zone: dict[str, int] = {}
    for rack in racks:
        left = left_by_zone.get(rack.zone, 0) + sum(rack.free)
        left_by_zone[rack.zone] = left
    order = sorted(left_by_zone, key=lambda zone: (-left_by_zone[zone], zone))
    for zone in order:
        found = _place(gang, [rack for rack in racks if rack.zone == zone])
        if found:
            return found
    return ""


class SlotTable:
    """Guarantees of one zone and their reservations on its endpoints."""

    def __init__(self, table: placement.FreeTable):
        """Creates an empty table over the zone's free capacity."""
        self._table = table
        self.slots_by_account: dict[str, list[Slot]] = {}
        self._slots_by_job: dict[str, Slot] = {}

    def __iter__(self):
        for slots in self.slots_by_account.values():
            yield from slots

    def replace(self, slots: list[Slot]) -> None:
        """Replaces the assignment; the caller then locates the guarantees.

        A guarantee in use keeps its endpoints. A job whose guarantee no longer
        exists continues without one.
        """
        old = {slot.key: slot for slot in self}
        for slot in old.values():
            self._unreserve(slot)
        self.slots_by_account = {}
        self._slots_by_job = {}
        for slot in slots:
            kept = old.get(slot.key)
            if kept is not None and _same_shape(kept, slot):
                slot.parts_by_endpoint = kept.parts_by_endpoint
                slot.job_id = kept.job_id
                self._reserve(slot)
                if slot.job_id:
                    self._slots_by_job[slot.job_id] = slot
            self.slots_by_account.setdefault(slot.account, []).append(slot)

    def adopt(self, slots: list[Slot]) -> None:
        """Adds the guarantees of another table unchanged."""
        for slot in slots:
            self.slots_by_account.setdefault(slot.account, []).append(slot)
            self._reserve(slot)
            if slot.job_id:
                self._slots_by_job[slot.job_id] = slot

    def of_job(self, job_id: str) -> Slot | None:
        """Returns the guarantee that a job uses, None if it uses none."""
        return self._slots_by_job.get(job_id)

    def occupy(self, slot: Slot, job_id: str) -> None:
        """Assigns a guarantee to a job."""
        slot.job_id = job_id
        self._slots_by_job[job_id] = slot

    def release(self, job_id: str) -> Slot | None:
        """Releases the guarantee that a job used and returns it."""
        slot = self._slots_by_job.pop(job_id, None)
        if slot is not None:
            slot.job_id = ""
        return slot

    def move(self, slot: Slot, parts_by_endpoint: dict[str, int]) -> None:
        """Moves the reservation of a guarantee to other endpoints."""
        self._unreserve(slot)
        slot.parts_by_endpoint = parts_by_endpoint
        self._reserve(slot)

    def locate(self, slot: Slot) -> bool:
        """Reserves endpoints for an unused guarantee (best fit).

        Keeps the current endpoints if all of them accept work. Otherwise
        chooses the rack with the least unreserved capacity.
        """
        rows = self._table.rows_by_id
        whole = sum(slot.parts_by_endpoint.values()) == slot.parts
        if whole and all(
            endpoint_id in rows and rows[endpoint_id].enabled
            for endpoint_id in slot.parts_by_endpoint
        ):
            return True
        self._unreserve(slot)
        slot.parts_by_endpoint = {}
        groups: dict[str, list[placement.Row]] = {}
        for row in rows.values():
            if row.enabled and row.unreserved() >= slot.accelerators_per_part:
                name = row.endpoint.rack
                if slot.adjacency is model.Adjacency.ZONE:
                    name = ""
                groups.setdefault(name, []).append(row)
        best = None
        best_left = 0
        for group in groups.values():
            found = _fill(slot, group)
            left = sum(row.unreserved() for row in group)
            if found is not None and (best is None or left < best_left):
                best = found
                best_left = left
        if best is None:
            return False
        slot.parts_by_endpoint = best
        self._reserve(slot)
        return True

    def _reserve(self, slot: Slot, sign: int = 1) -> None:
        for endpoint_id, parts in slot.parts_by_endpoint.items():
            row = self._table.rows_by_id.get(endpoint_id)
            if row is not None:
                row.reserved += sign * parts * slot.accelerators_per_part

    def _unreserve(self, slot: Slot) -> None:
        self._reserve(slot, -1)


def _same_shape(one: Slot, other: Slot) -> bool:
    return (one.parts, one.accelerators_per_part, one.adjacency) == (
        other.parts,
        other.accelerators_per_part,
        other.adjacency,
    )


def _fill(slot: Slot, rows: list[placement.Row]) -> dict[str, int] | None:
    found: dict[str, int] = {}
    left = slot.parts
    order = sorted(
        rows, key=lambda row: (row.unreserved(), row.endpoint.endpoint_id)
    )
    for row in order:
        count = min(left, row.unreserved() // slot.accelerators_per_part)
        found[row.endpoint.endpoint_id] = count
        left -= count
        if not left:
            return found
    return None


def _free_racks(zones: Iterable[model.Zone]) -> list[_FreeRack]:
    return [
        _FreeRack(zone.name, [rack.accelerators_per_endpoint] * rack.endpoints)
        for zone in zones
        for rack in zone.racks
    ]


def _gangs(promises: dict[str, model.Promise]) -> list[_Gang]:
    gangs = []
    for promise in promises.values():
        number = 0
        for shape in promise.shapes:
            for _ in range(shape.count):
                number += 1
                gang = _Gang(
                    promise.account,
                    promise.zones,
                    shape.parts,
                    shape.accelerators_per_part,
                    shape.adjacency,
                    number,
                )
                gangs.append(gang)
    gangs.sort(
        key=lambda gang: (
            -gang.accelerators_per_part,
            -gang.parts * gang.accelerators_per_part,
            gang.account,
            gang.number,
        )
    )
    return gangs


def _place(gang: _Gang, racks: list[_FreeRack]) -> str:
    """Places the gang and returns the zone, or an empty string if none fits."""
    allowed = [
        rack for rack in racks if not gang.zones or rack.zone in gang.zones
    ]
    if gang.adjacency is model.Adjacency.RACK:
        return _place_in_rack(gang, allowed)
    by_zone: dict[str, list[_FreeRack]] = {}
    for rack in allowed:
        by_zone.setdefault(rack.zone, []).append(rack)
    for zone, zone_racks in by_zone.items():
        slots = sum(r.slots(gang.accelerators_per_part) for r in zone_racks)
        if slots < gang.parts:
            continue
        left = gang.parts
        for rack in zone_racks:
            left -= rack.take(gang.accelerators_per_part, left)
        return zone
    return ""


def _place_in_rack(gang: _Gang, racks: list[_FreeRack]) -> str:
    best = None
    for rack in racks:
        slots = rack.slots(gang.accelerators_per_part)
        if slots < gang.parts:
            continue
        if best is None or sum(rack.free) < sum(best.free):
            best = rack
    if best is None:
        return ""
    best.take(gang.accelerators_per_part, gang.parts)
    return best.zone
