"""Membership table of the hosts, from heartbeats and the live list."""

from collections.abc import Iterable
import dataclasses

SUSPECT_AFTER_MS = 3_000
# A host contacts one host of another zone each second, in round-robin order of
# the zones. Members of other zones are suspected only after two more rounds.
ROUND_MS_PER_ZONE = 2_000
EXPIRE_AFTER_MS = 60_000


@dataclasses.dataclass(frozen=True)
class Member:
    """A host's description of itself in its newest heartbeat."""

    host_id: str
    zone: str
    rpc_ip: str
    rpc_port: int
    incarnation: int
    heartbeat: int
    state: str
    config_offset: int = 0
    jobs_offset: int = 0

    @property
    def version(self) -> tuple[int, int]:
        """Sort key of a host's descriptions; the newest has the highest."""
        return (self.incarnation, self.heartbeat)


@dataclasses.dataclass(frozen=True)
class ZoneSummary:
    """Free capacity of a zone as its placing host saw it at `as_of_ms`."""

    zone: str
    as_of_ms: int
    free_accelerators: int
    largest_free_rack: int
    waiting_jobs: int
    largest_free_endpoint: int
    waiting_accelerators: int
    accelerators: int
    largest_unreserved: int
    speed: float


@dataclasses.dataclass(frozen=True)
class _Entry:
    member: Member
    last_heartbeat_ms: int


class MemberTable:
    """Members by host id, with the arrival time of the newest heartbeat."""

    def __init__(self, self_id: str, own_zone: str):
        self.summaries_by_zone: dict[str, ZoneSummary] = {}
        # Highest incarnation of this host's id that other hosts have reported.
        self.seen_incarnation = 0
        self._self_id = self_id
        self._own_zone = own_zone
        self._entries_by_id: dict[str, _Entry] = {}

    def update(self, member: Member, now_ms: int) -> bool:
        """Stores a description if it is newer than the known one.

        Descriptions of this host from others are not stored. Only their
        incarnation is recorded, so that a restarted host can choose a higher
        incarnation than its previous one.
        """
        if member.host_id == self._self_id:
            self.seen_incarnation = max(
                self.seen_incarnation, member.incarnation
            )
            return False
        return self._put(member, now_ms)

    def update_self(self, member: Member, now_ms: int) -> None:
        """Stores this host's own description."""
        self._put(member, now_ms)

    def update_summary(self, summary: ZoneSummary) -> bool:
        """Stores a zone's summary if it is newer than the known one."""
        known = self.summaries_by_zone.get(summary.zone)
        if known is not None and summary.as_of_ms <= known.as_of_ms:
            return False
        self.summaries_by_zone[summary.zone] = summary
        return True

    def get(self, host_id: str) -> Member | None:
        """Returns the newest description of a host, None if unknown."""
        entry = self._entries_by_id.get(host_id)
        return entry.member if entry is not None else None

    def all(self) -> list[Member]:
        """Returns every known member, this host included."""
        return [entry.member for entry in self._entries_by_id.values()]

    def alive(self, now_ms: int, zone: str | None = None) -> list[Member]:
        """Returns members not yet suspected, optionally of one zone only."""
        members = []
        for entry in self._entries_by_id.values():
            if zone is not None and entry.member.zone != zone:
                continue
            if not self._is_alive(entry, now_ms):
                continue
            members.append(entry.member)
        return members

    def ready_ids(self, now_ms: int, zone: str) -> list[str]:
        """Returns the ids of the zone's hosts that may place work."""
        return [
            member.host_id
            for member in self.alive(now_ms, zone)
            if member.state == "ready"
        ]

    def zones(self) -> Iterable[str]:
        """Returns the zones of the known members."""
        return {entry.member.zone for entry in self._entries_by_id.values()}

    def suspect_after_ms(self, zone: str) -> int:
        """Returns the time in ms without heartbeats until suspicion."""
        if zone == self._own_zone:
            return SUSPECT_AFTER_MS
        others = len(set(self.zones()) - {self._own_zone})
        return SUSPECT_AFTER_MS + ROUND_MS_PER_ZONE * others

    def remove_expired(self, now_ms: int) -> None:
        """Removes members without a heartbeat for `EXPIRE_AFTER_MS`."""
        for host_id, entry in list(self._entries_by_id.items()):
            if host_id == self._self_id:
                continue
            if now_ms - entry.last_heartbeat_ms > EXPIRE_AFTER_MS:
                del self._entries_by_id[host_id]

    def _put(self, member: Member, now_ms: int) -> bool:
        entry = self._entries_by_id.get(member.host_id)
        if entry is not None and member.version <= entry.member.version:
            return False
        self._entries_by_id[member.host_id] = _Entry(member, now_ms)
        return True

    def _is_alive(self, entry: _Entry, now_ms: int) -> bool:
        if entry.member.host_id == self._self_id:
            return True
        limit_ms = self.suspect_after_ms(entry.member.zone)
        return now_ms - entry.last_heartbeat_ms <= limit_ms
