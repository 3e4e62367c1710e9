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

    def allocate(self, accelerators: int, parts: int) -> int:
        """Allocates up to `parts` parts and returns how many were placed."""
        placed = 0
        order = sorted(range(len(self.free)), key=lambda i: self.free[i])
        for index in order:
            while self.free[index] >= accelerators and placed < parts:
                self.free[index] -= accelerators
                placed += 1
        return placed


def find_unmet_guarantee(
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


class Guarantee:
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


def unguaranteed(account: str, spec: model.JobSpec) -> Guarantee:
    """Returns an unguaranteed placeholder with the job's own shape."""
    return Guarantee(
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
) -> dict[str, list[Guarantee]]:
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
) -> tuple[dict[str, list[Guarantee]], int]:
    """Returns the guarantees by zone and how many gangs were left out."""
    racks = _free_racks(zones)
    guarantees_by_zone: dict[str, list[Guarantee]] = {}
    left_out = 0
    for gang in gangs:
        zone = place(gang, racks)
        if zone:
            guarantees_by_zone.setdefault(zone, []).append(Guarantee(gang))
        else:
            left_out += 1
    return guarantees_by_zone, left_out


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


class GuaranteeTable:
    """Guarantees of one zone and their reservations on its endpoints."""

    def __init__(self, table: placement.FreeTable):
        """Creates an empty table over the zone's free capacity."""
        self._table = table
        self.guarantees_by_account: dict[str, list[Guarantee]] = {}
        self._guarantees_by_job: dict[str, Guarantee] = {}

    def __iter__(self):
        for guarantees in self.guarantees_by_account.values():
            yield from guarantees

    def replace(self, guarantees: list[Guarantee]) -> None:
        """Replaces the assignment; the caller then locates the guarantees.

        A guarantee in use keeps its endpoints. A job whose guarantee no longer
        exists continues without one.
        """
        old = {guarantee.key: guarantee for guarantee in self}
        for guarantee in old.values():
            self._unreserve(guarantee)
        self.guarantees_by_account = {}
        self._guarantees_by_job = {}
        for guarantee in guarantees:
            kept = old.get(guarantee.key)
            if kept is not None and _same_shape(kept, guarantee):
                guarantee.parts_by_endpoint = kept.parts_by_endpoint
                guarantee.job_id = kept.job_id
                self._reserve(guarantee)
                if guarantee.job_id:
                    self._guarantees_by_job[guarantee.job_id] = guarantee
            self.guarantees_by_account.setdefault(guarantee.account, []).append(
                guarantee
            )

    def adopt(self, guarantees: list[Guarantee]) -> None:
        """Adds the guarantees of another table unchanged."""
        for guarantee in guarantees:
            self.guarantees_by_account.setdefault(guarantee.account, []).append(
                guarantee
            )
            self._reserve(guarantee)
            if guarantee.job_id:
                self._guarantees_by_job[guarantee.job_id] = guarantee

    def of_job(self, job_id: str) -> Guarantee | None:
        """Returns the guarantee that a job uses, None if it uses none."""
        return self._guarantees_by_job.get(job_id)

    def occupy(self, guarantee: Guarantee, job_id: str) -> None:
        """Assigns a guarantee to a job."""
        guarantee.job_id = job_id
        self._guarantees_by_job[job_id] = guarantee

    def release(self, job_id: str) -> Guarantee | None:
        """Releases the guarantee that a job used and returns it."""
        guarantee = self._guarantees_by_job.pop(job_id, None)
        if guarantee is not None:
            guarantee.job_id = ""
        return guarantee

    def move(
        self, guarantee: Guarantee, parts_by_endpoint: dict[str, int]
    ) -> None:
        """Moves the reservation of a guarantee to other endpoints."""
        self._unreserve(guarantee)
        guarantee.parts_by_endpoint = parts_by_endpoint
        self._reserve(guarantee)

    def locate(self, guarantee: Guarantee) -> bool:
        """Reserves endpoints for an unused guarantee (best fit).

        Keeps the current endpoints if all of them accept work. Otherwise
        chooses the rack with the least unreserved capacity.
        """
        rows = self._table.rows_by_id
        whole = sum(guarantee.parts_by_endpoint.values()) == guarantee.parts
        if whole and all(
            endpoint_id in rows and rows[endpoint_id].enabled
            for endpoint_id in guarantee.parts_by_endpoint
        ):
            return True
        self._unreserve(guarantee)
        guarantee.parts_by_endpoint = {}
        groups: dict[str, list[placement.Row]] = {}
        for row in rows.values():
            if (
                row.enabled
                and row.unreserved() >= guarantee.accelerators_per_part
            ):
                name = row.endpoint.rack
                if guarantee.adjacency is model.Adjacency.ZONE:
                    name = ""
                groups.setdefault(name, []).append(row)
        best = None
        best_left = 0
        for group in groups.values():
            found = _fill(guarantee, group)
            left = sum(row.unreserved() for row in group)
            if found is not None and (best is None or left < best_left):
                best = found
                best_left = left
        if best is None:
            return False
        guarantee.parts_by_endpoint = best
        self._reserve(guarantee)
        return True

    def _reserve(self, guarantee: Guarantee, sign: int = 1) -> None:
        for endpoint_id, parts in guarantee.parts_by_endpoint.items():
            row = self._table.rows_by_id.get(endpoint_id)
            if row is not None:
                row.reserved += sign * parts * guarantee.accelerators_per_part

    def _unreserve(self, guarantee: Guarantee) -> None:
        self._reserve(guarantee, -1)


def _same_shape(one: Guarantee, other: Guarantee) -> bool:
    return (one.parts, one.accelerators_per_part, one.adjacency) == (
        other.parts,
        other.accelerators_per_part,
        other.adjacency,
    )


def _fill(
    guarantee: Guarantee, rows: list[placement.Row]
) -> dict[str, int] | None:
    found: dict[str, int] = {}
    left = guarantee.parts
    order = sorted(
        rows, key=lambda row: (row.unreserved(), row.endpoint.endpoint_id)
    )
    for row in order:
        count = min(left, row.unreserved() // guarantee.accelerators_per_part)
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
            left -= rack.allocate(gang.accelerators_per_part, left)
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
    best.allocate(gang.accelerators_per_part, gang.parts)
    return best.zone
