"""What one host knows of the others, from heartbeats and the live list."""

from collections.abc import Iterable
import dataclasses

SUSPECT_AFTER_MS = 3_000
FORGET_AFTER_MS = 60_000


@dataclasses.dataclass(frozen=True)
class Member:
    """A host as it described itself in its newest heartbeat."""

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
        """Orders two descriptions of one host; the higher is newer."""
        return (self.incarnation, self.heartbeat)


@dataclasses.dataclass(frozen=True)
class _Row:
    member: Member
    heard_ms: int


class MemberTable:
    """Members by host id, with the time a newer heartbeat last came."""

    def __init__(self, self_id: str):
        self._self_id = self_id
        self._rows_by_id: dict[str, _Row] = {}

    def update(self, member: Member, now_ms: int) -> bool:
        """Takes a description if it is newer than the known one."""
        row = self._rows_by_id.get(member.host_id)
        if row is not None and member.version <= row.member.version:
            return False
        self._rows_by_id[member.host_id] = _Row(member, now_ms)
        return True

    def get(self, host_id: str) -> Member | None:
        """Returns the newest description of a host, None if unknown."""
        row = self._rows_by_id.get(host_id)
        return row.member if row is not None else None

    def all(self) -> list[Member]:
        """Returns every known member, this host included."""
        return [row.member for row in self._rows_by_id.values()]

    def alive(self, now_ms: int, zone: str | None = None) -> list[Member]:
        """Returns members heard of lately, of one zone if it is given."""
        members = []
        for row in self._rows_by_id.values():
            if zone is not None and row.member.zone != zone:
                continue
            if not self._is_alive(row, now_ms):
                continue
            members.append(row.member)
        return members

    def ready_ids(self, now_ms: int, zone: str) -> Iterable[str]:
        """Returns the ids of the zone's hosts that may place work."""
        return [
            member.host_id
            for member in self.alive(now_ms, zone)
            if member.state == "ready"
        ]

    def forget_dead(self, now_ms: int) -> None:
        """Removes members that were not heard of for a long time."""
        for host_id, row in list(self._rows_by_id.items()):
            if host_id == self._self_id:
                continue
            if now_ms - row.heard_ms > FORGET_AFTER_MS:
                del self._rows_by_id[host_id]

    def _is_alive(self, row: _Row, now_ms: int) -> bool:
        if row.member.host_id == self._self_id:
            return True
        return now_ms - row.heard_ms <= SUSPECT_AFTER_MS
