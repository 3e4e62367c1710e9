"""Selects the gossip content of a heartbeat to one peer.

The sender's own description is not part of it. A host description or zone
summary is sent only if the peer is not known to have it, and either it differs
in a relevant field or its relay interval has passed. With 33 hosts in 11 zones
and 100 bytes of framing per message, a host sends and receives 4.0 KB/s this
way, and 29 KB/s if each message carries everything. The limit for control
traffic is 6 KB/s.
"""

import dataclasses

from laburnumgate_core import membership

# Hosts of the same zone elect the placing host from these descriptions, so they
# get every update.
RELAY_OWN_ZONE_MS = 0
RELAY_OTHER_ZONES_MS = 4_000


@dataclasses.dataclass(frozen=True)
class Content:
    """Host descriptions and zone summaries for one message."""

    members: tuple[membership.Member, ...]
    summaries: tuple[membership.ZoneSummary, ...]


@dataclasses.dataclass(frozen=True)
class _Known:
    """The newest version of a host or zone that a peer is known to have."""

    version: tuple[int, ...]
    fingerprint: tuple
    at_ms: int


class Digest:
    """Tracks what was sent to and received from each peer."""

    def __init__(
        self, table: membership.MemberTable, self_id: str, own_zone: str
    ):
        self._table = table
        self._self_id = self_id
        self._own_zone = own_zone
        self._known_by_peer: dict[str, dict[str, _Known]] = {}

    def content_for(self, peer_id: str, zone: str, now_ms: int) -> Content:
        """Returns the content to send to a peer and records it as known there.

        Args:
          peer_id: id of the receiving host.
          zone: availability zone of the receiving host. Hosts of another
            zone receive information on this host's zone only.
          now_ms: the current time in ms.
        """
        only = None if zone == self._own_zone else self._own_zone
        members = []
        for member in self._table.alive(now_ms, only):
            if member.host_id in (peer_id, self._self_id):
                continue
            if self._is_due(peer_id, member, now_ms):
                members.append(member)
        summaries = []
        for summary in self._table.summaries_by_zone.values():
            if only is not None and summary.zone != only:
                continue
            if self._is_summary_due(peer_id, summary, now_ms):
                summaries.append(summary)
        self.record_known(peer_id, members, summaries, now_ms)
        return Content(tuple(members), tuple(summaries))

    def record_known(
        self,
        peer_id: str,
        members: list[membership.Member],
        summaries: list[membership.ZoneSummary],
        now_ms: int,
    ) -> None:
        """Records what was sent to or received from a peer."""
        known = self._known_by_peer.setdefault(peer_id, {})
        for member in members:
            key = f"host/{member.host_id}"
            _keep_newer(
                known,
                key,
                _Known(member.version, _member_fingerprint(member), now_ms),
            )
        for summary in summaries:
            key = f"zone/{summary.zone}"
            version = (summary.as_of_ms,)
            _keep_newer(
                known,
                key,
                _Known(version, _summary_fingerprint(summary), now_ms),
            )

    def forget(self, peer_id: str) -> None:
        """Discards the record of a peer that did not answer or restarted."""
        self._known_by_peer.pop(peer_id, None)

    def _is_due(
        self, peer_id: str, member: membership.Member, now_ms: int
    ) -> bool:
        known = self._known(peer_id, f"host/{member.host_id}")
        if known is None:
            return True
        if member.version <= known.version:
            return False
        relay_ms = RELAY_OTHER_ZONES_MS
        if member.zone == self._own_zone:
            relay_ms = RELAY_OWN_ZONE_MS
        return (
            _member_fingerprint(member) != known.fingerprint
            or now_ms - known.at_ms >= relay_ms
        )

    def _is_summary_due(
        self, peer_id: str, summary: membership.ZoneSummary, now_ms: int
    ) -> bool:
        known = self._known(peer_id, f"zone/{summary.zone}")
        if known is None:
            return True
        if (summary.as_of_ms,) <= known.version:
            return False
        due = now_ms - known.at_ms >= RELAY_OTHER_ZONES_MS
        return due or _summary_fingerprint(summary) != known.fingerprint

    def _known(self, peer_id: str, key: str) -> _Known | None:
        return self._known_by_peer.get(peer_id, {}).get(key)


def _keep_newer(known: dict[str, _Known], key: str, new: _Known) -> None:
    old = known.get(key)
    if old is None or new.version > old.version:
        known[key] = new


def _member_fingerprint(member: membership.Member) -> tuple:
    return (member.incarnation, member.state)


def _summary_fingerprint(summary: membership.ZoneSummary) -> tuple:
    return (
        summary.free_accelerators,
        summary.largest_free_rack,
        summary.largest_free_endpoint,
        summary.waiting_jobs,
    )
