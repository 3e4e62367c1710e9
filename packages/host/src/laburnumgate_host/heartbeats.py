"""Heartbeats: exchanges membership and zone state with other hosts."""

import asyncio
from collections.abc import Callable

from laburnumgate_core import clock
from laburnumgate_core import digest
from laburnumgate_core import membership
from laburnumgate_core import stops
from laburnumgate_rpc import peer_pb2

from laburnumgate_host import peers
from laburnumgate_host import settings

# A longer gap between two heartbeats means that the process was paused: its
# peers suspect it, and its view of them is stale.
PAUSE_THRESHOLD_MS = membership.SUSPECT_AFTER_MS
# Heartbeats to send after a start or a pause before the view of the peers is
# considered current.
SETTLING_HEARTBEATS = 2


class Heartbeats:
    """Builds, sends and processes heartbeats."""

    def __init__(
        self,
        host_settings: settings.Settings,
        table: membership.MemberTable,
        stop_table: stops.StopTable,
        time: clock.Clock,
        describe: Callable[[], tuple[str, int, int]],
        on_stop: Callable[[], None],
        on_pause: Callable[[], None],
    ):
        """Initialises the state; `run` starts sending.

        Args:
          host_settings: settings of this host.
          table: the membership table.
          stop_table: direct stops to propagate.
          time: source of the current time.
          describe: returns the host's state and its applied offsets of
            streams `config` and `jobs`.
          on_stop: called after a new direct stop was stored.
          on_pause: called when a pause of the process was detected.
        """
        self.last_other_zone_contact_ms = time.now_ms()
        self._host = host_settings.host
        self._timing = host_settings.timing
        self._table = table
        self._stops = stop_table
        self._clock = time
        self._describe = describe
        self._on_stop = on_stop
        self._on_pause = on_pause
        self._digest = digest.Digest(
            table, host_settings.host.host_id, host_settings.host.zone
        )
        self._incarnation = time.now_ms()
        self._heartbeat_count = 0
        self._last_heartbeat_ms = self._incarnation
        self._settled_at_count = SETTLING_HEARTBEATS
        self._round = 0
        self._hints_by_id: dict[str, peers.Address] = {}

    @property
    def settled(self) -> bool:
        """Whether the view of the peers is current after a start or pause."""
        return self._heartbeat_count >= self._settled_at_count

    def update_hints(self, hints: list[peers.Address]) -> None:
        """Replaces the addresses from the live list, which may be outdated."""
        self._hints_by_id = {
            hint.host_id: hint
            for hint in hints
            if hint.host_id != self._host.host_id
        }

    def advance_heartbeat(self) -> None:
        """Increments the heartbeat counter and refreshes this host's entry."""
        self.check_pause()
        now_ms = self._clock.now_ms()
        if self._table.seen_incarnation > self._incarnation:
            # An earlier process of this host ran with a clock that was ahead.
            self._incarnation = self._table.seen_incarnation + 1
        self._heartbeat_count += 1
        self._last_heartbeat_ms = now_ms
        self.refresh()
        self._table.remove_expired(now_ms)

    def check_pause(self) -> None:
        """Starts a new incarnation if the process was paused.

        Must be called before decisions that rely on the membership view.
        """
        now_ms = self._clock.now_ms()
        if (
            not self._heartbeat_count
            or now_ms - self._last_heartbeat_ms <= PAUSE_THRESHOLD_MS
        ):
            return
        self._incarnation = now_ms
        self._last_heartbeat_ms = now_ms
        self._settled_at_count = self._heartbeat_count + SETTLING_HEARTBEATS
        self._on_pause()
        self.refresh()

    def refresh(self) -> None:
        """Updates this host's entry, also for a change between heartbeats."""
        state, config_offset, jobs_offset = self._describe()
        self._table.update_self(
            membership.Member(
                host_id=self._host.host_id,
                zone=self._host.zone,
                rpc_ip=self._host.ip,
                rpc_port=self._host.rpc_port,
                incarnation=self._incarnation,
                heartbeat=self._heartbeat_count,
                state=state,
                config_offset=config_offset,
                jobs_offset=jobs_offset,
            ),
            self._clock.now_ms(),
        )

    async def run(self, client: peers.Peers) -> None:
        """Sends heartbeats at a fixed interval until cancelled."""
        loop = asyncio.get_running_loop()
        calls: set[asyncio.Task] = set()
        while True:
            self.advance_heartbeat()
            for address in self.targets():
                call = loop.create_task(self.exchange(client, address))
                calls.add(call)
                call.add_done_callback(calls.discard)
            await asyncio.sleep(self._timing.heartbeat_ms / 1000)

    async def announce(self, client: peers.Peers) -> None:
        """Sends one heartbeat to every known host concurrently."""
        self.advance_heartbeat()
        addresses = self.addresses().values()
        await asyncio.gather(*(self.exchange(client, a) for a in addresses))

    def addresses(self, zone: str | None = None) -> dict[str, peers.Address]:
        """Returns the other known hosts by id, optionally of one zone only.

        A host's own entry in the membership table overrides the live list.
        """
        known = dict(self._hints_by_id)
        for member in self._table.all():
            if member.host_id == self._host.host_id:
                continue
            known[member.host_id] = peers.Address(
                member.host_id, member.zone, member.rpc_ip, member.rpc_port
            )
        return {
            host_id: address
            for host_id, address in known.items()
            if zone is None or address.zone == zone
        }

    def targets(self) -> list[peers.Address]:
        """Returns this round's hosts: the zone's and one of another zone."""
        zone_peers = []
        others_by_zone: dict[str, list[peers.Address]] = {}
        for address in self.addresses().values():
            if address.zone == self._host.zone:
                zone_peers.append(address)
                continue
            others_by_zone.setdefault(address.zone, []).append(address)
        self._round += 1
        if others_by_zone:
            zones = sorted(others_by_zone)
            rounds, index = divmod(
                self._round + self._round_offset(), len(zones)
            )
            hosts = others_by_zone[zones[index]]
            hosts.sort(key=lambda address: address.host_id)
            zone_peers.append(hosts[rounds % len(hosts)])
        return zone_peers

    async def exchange(
        self, client: peers.Peers, address: peers.Address
    ) -> bool:
        """Exchanges heartbeats with a host; returns whether it answered."""
        reply = await client.heartbeat(
            address, self.request_for(address), self._timing.heartbeat_ms
        )
        if reply is None:
            self._digest.forget(address.host_id)
            return False
        self.on_reply(reply)
        return True

    def request_for(self, address: peers.Address) -> peer_pb2.HeartbeatRequest:
        """Builds the heartbeat for a host."""
        content = self._digest.content_for(
            address.host_id, address.zone, self._clock.now_ms()
        )
        return peer_pb2.HeartbeatRequest(
            sender=peers.encode_member(self._table.get(self._host.host_id)),
            members=[peers.encode_member(m) for m in content.members],
            zones=[peers.encode_summary(s) for s in content.summaries],
            stops=[peers.encode_stop(s) for s in self._stops.all()],
        )

    def on_request(
        self, request: peer_pb2.HeartbeatRequest
    ) -> peer_pb2.HeartbeatReply:
        """Processes a heartbeat and returns this host's view."""
        self._merge(request.sender, request)
        content = self._digest.content_for(
            request.sender.host_id, request.sender.zone, self._clock.now_ms()
        )
        members = [peers.encode_member(m) for m in content.members]
        known = self._table.get(request.sender.host_id)
        if known is not None and (
            known.incarnation > request.sender.incarnation
        ):
            # Sends a restarted host the incarnation that it must exceed.
            members.append(peers.encode_member(known))
        return peer_pb2.HeartbeatReply(
            responder=peers.encode_member(self._table.get(self._host.host_id)),
            members=members,
            zones=[peers.encode_summary(s) for s in content.summaries],
            stops=[peers.encode_stop(s) for s in self._stops.all()],
        )

    def on_reply(self, reply: peer_pb2.HeartbeatReply) -> None:
        """Merges the view of a host that answered."""
        self._merge(reply.responder, reply)

    def _merge(
        self,
        sender: peer_pb2.Member,
        message: peer_pb2.HeartbeatRequest | peer_pb2.HeartbeatReply,
    ) -> None:
        now_ms = self._clock.now_ms()
        known = self._table.get(sender.host_id)
        if known is not None and known.incarnation != sender.incarnation:
            self._digest.forget(sender.host_id)
        if sender.zone != self._host.zone:
            self.last_other_zone_contact_ms = now_ms
        self._table.update(peers.decode_member(sender), now_ms)
        members = [peers.decode_member(m) for m in message.members]
        summaries = [peers.decode_summary(s) for s in message.zones]
        for member in members:
            self._table.update(member, now_ms)
        for summary in summaries:
            self._table.update_summary(summary)
        self._digest.record_known(sender.host_id, members, summaries, now_ms)
        changed = [
            self._stops.update(peers.decode_stop(s)) for s in message.stops
        ]
        if any(changed):
            self._on_stop()

    def _round_offset(self) -> int:
        """Returns this host's rank, which staggers the zones it contacts."""
        zone_peers = self._table.alive(self._clock.now_ms(), self._host.zone)
        ids = sorted(member.host_id for member in zone_peers)
        return ids.index(self._host.host_id)
