"""Assigns the shapes owed to client accounts to racks and endpoints."""

import dataclasses

from laburnumgate_core import model


@dataclasses.dataclass(frozen=True)
class _Gang:
    account: str
    zones: tuple[str, ...]
    parts: int
    accelerators_per_part: int
    adjacency: model.Adjacency


class _FreeRack:
    """Free accelerators per endpoint of one rack, as counts by amount."""

    def __init__(self, zone: str, free: list[int]):
        self.zone = zone
        self.free = free

    def slots(self, accelerators: int) -> int:
        return sum(amount // accelerators for amount in self.free)

    def take(self, accelerators: int, parts: int) -> int:
        """Takes up to `parts` parts and returns how many were placed."""
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
    racks = [
        _FreeRack(zone.name, [rack.accelerators_per_endpoint] * rack.endpoints)
        for zone in zones.values()
        for rack in zone.racks
    ]
    for gang in _gangs(promises):
        if not _place(gang, racks):
            return (
                f"the guarantee of {gang.account!r} for {gang.parts} parts of "
                f"{gang.accelerators_per_part} accelerators cannot be met "
                f"together with the other guarantees"
            )
    return ""


def _gangs(promises: dict[str, model.Promise]) -> list[_Gang]:
    gangs = []
    for promise in promises.values():
        for shape in promise.shapes:
            gang = _Gang(
                promise.account,
                promise.zones,
                shape.parts,
                shape.accelerators_per_part,
                shape.adjacency,
            )
            gangs.extend([gang] * shape.count)
    gangs.sort(
        key=lambda gang: (
            -gang.accelerators_per_part,
            -gang.parts * gang.accelerators_per_part,
            gang.account,
        )
    )
    return gangs


def _place(gang: _Gang, racks: list[_FreeRack]) -> bool:
    allowed = [
        rack for rack in racks if not gang.zones or rack.zone in gang.zones
    ]
    if gang.adjacency is model.Adjacency.RACK:
        return _place_in_rack(gang, allowed)
    by_zone: dict[str, list[_FreeRack]] = {}
    for rack in allowed:
        by_zone.setdefault(rack.zone, []).append(rack)
    for zone_racks in by_zone.values():
        slots = sum(r.slots(gang.accelerators_per_part) for r in zone_racks)
        if slots < gang.parts:
            continue
        left = gang.parts
        for rack in zone_racks:
            left -= rack.take(gang.accelerators_per_part, left)
        return True
    return False


def _place_in_rack(gang: _Gang, racks: list[_FreeRack]) -> bool:
    best = None
    for rack in racks:
        slots = rack.slots(gang.accelerators_per_part)
        if slots < gang.parts:
            continue
        if best is None or sum(rack.free) < sum(best.free):
            best = rack
    if best is None:
        return False
    best.take(gang.accelerators_per_part, gang.parts)
    return True
