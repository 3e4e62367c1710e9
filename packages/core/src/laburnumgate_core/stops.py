"""Direct orders that stop a zone's starts, gossiped without the log."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ZoneStop:
    """An operator's direct order; the newest by `at_ms` is in force."""

    zone: str
    operation_id: str
    at_ms: int
    stopped: bool

    @property
    def version(self) -> tuple[int, str]:
        """Sort key of a zone's orders, the same on every host."""
        return (self.at_ms, self.operation_id)


class StopTable:
    """The newest direct order for each zone.

    An order is superseded once a zone state with the same or a later time is
    in force, because the log then holds the operators' decision.
    """

    def __init__(self):
        self._stops_by_zone: dict[str, ZoneStop] = {}
        self._recorded_ms_by_zone: dict[str, int] = {}

    def update(self, stop: ZoneStop) -> bool:
        """Stores an order; returns whether it is new and in force."""
        if stop.at_ms <= self._recorded_ms_by_zone.get(stop.zone, 0):
            return False
        known = self._stops_by_zone.get(stop.zone)
        if known is not None and stop.version <= known.version:
            return False
        self._stops_by_zone[stop.zone] = stop
        return True

    def next_timestamp_ms(self, zone: str, now_ms: int) -> int:
        """Returns a timestamp for a new order or zone state of this host.

        It is later than every timestamp known for the zone. Otherwise an order
        from a host whose clock is behind would be ignored.
        """
        known = self._stops_by_zone.get(zone)
        known_ms = known.at_ms if known is not None else 0
        recorded_ms = self._recorded_ms_by_zone.get(zone, 0)
        return max(now_ms, known_ms + 1, recorded_ms + 1)

    def note_recorded(self, zone: str, at_ms: int) -> None:
        """Records that a zone state published at `at_ms` is in force."""
        latest_ms = max(at_ms, self._recorded_ms_by_zone.get(zone, 0))
        self._recorded_ms_by_zone[zone] = latest_ms
        known = self._stops_by_zone.get(zone)
        if known is not None and known.at_ms <= latest_ms:
            del self._stops_by_zone[zone]

    def is_stopped(self, zone: str) -> bool:
        """Whether a direct order forbids starts in the zone."""
        stop = self._stops_by_zone.get(zone)
        return stop is not None and stop.stopped

    def all(self) -> list[ZoneStop]:
        """Returns the orders in force, for gossip to other hosts."""
        return list(self._stops_by_zone.values())
