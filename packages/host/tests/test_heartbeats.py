"""Tests of heartbeats between many hosts over an in-memory network."""

import dataclasses

from laburnumgate_core import clock
from laburnumgate_core import membership
from laburnumgate_core import stops
from laburnumgate_host import heartbeats
from laburnumgate_host import peers
from laburnumgate_host import settings

ZONES = 11
HOSTS_PER_ZONE = 3
MAX_BYTES_PER_S = 6_000
# Bytes of HTTP/2 and gRPC frames and compressed headers per message.
FRAMING_BYTES = 100
_TOML = """
[host]
host_id = "{host_id}"
zone = "{zone}"
region = "r"
ip = "127.0.0.1"
http_port = 2
rpc_port = {port}
[platform]
log_url = "http://127.0.0.1:1"
live_list_url = "http://127.0.0.1:1"
"""


@dataclasses.dataclass
class _Node:
    beats: heartbeats.Heartbeats
    table: membership.MemberTable
    stop_table: stops.StopTable
    state: str = "ready"
    up: bool = True
    bytes: int = 0
    pauses: int = 0


class _Network:
    """Hosts that send heartbeats in turn each second of a manual clock."""

    def __init__(self, zones: int, hosts: int):
        self.clock = clock.ManualClock(1_000_000)
        self.nodes: dict[str, _Node] = {}
        self._settings: dict[str, settings.Host] = {}
        for zone in range(zones):
            for host in range(hosts):
                self.add(f"hosting-zone-{zone}", f"host-{zone}-{host}")
        hints = [
            peers.Address(host_id, node.zone, "127.0.0.1", 1)
            for host_id, node in self._settings.items()
        ]
        for node in self.nodes.values():
            node.beats.update_hints(hints)

    def add(self, zone: str, host_id: str) -> None:
        text = _TOML.format(zone=zone, host_id=host_id, port=1)
        own = settings.load(text)
        self._settings[host_id] = own.host
        table = membership.MemberTable(host_id, zone)
        stop_table = stops.StopTable()

        def pause() -> None:
            node.pauses += 1

        beats = heartbeats.Heartbeats(
            own,
            table,
            stop_table,
            self.clock,
            lambda: (node.state, 1_000_000, 8_000_000),
            lambda: None,
            pause,
        )
        node = _Node(beats, table, stop_table)
        self.nodes[host_id] = node
        beats.advance_heartbeat()

    def run(self, seconds: int) -> None:
        for _ in range(seconds):
            for node in self.nodes.values():
                if not node.up:
                    continue
                node.beats.advance_heartbeat()
                for address in node.beats.targets():
                    self._exchange(node, address)
            self.clock.advance(1_000)

    def _exchange(self, node: _Node, address: peers.Address) -> None:
        other = self.nodes[address.host_id]
        request = node.beats.request_for(address)
        sent = request.ByteSize() + FRAMING_BYTES
        node.bytes += sent
        if not other.up:
            return
        other.bytes += sent
        reply = other.beats.on_request(request)
        received = reply.ByteSize() + FRAMING_BYTES
        node.bytes += received
        other.bytes += received
        node.beats.on_reply(reply)

    def alive(self, host_id: str) -> set[str]:
        node = self.nodes[host_id]
        now_ms = self.clock.now_ms()
        return {member.host_id for member in node.table.alive(now_ms)}


def test_33_hosts_know_each_other_within_the_bound_on_traffic():
    """Bounds traffic to 6 KB/s per host without false suspicions."""
    network = _Network(ZONES, HOSTS_PER_ZONE)
    network.run(25)
    for node in network.nodes.values():
        node.bytes = 0
    for second in range(30):
        for zone in range(ZONES):
            summary = membership.ZoneSummary(
                f"hosting-zone-{zone}",
                network.clock.now_ms(),
                2_000 - second,
                64,
                9_000 + second,
                8,
                50_000,
                2_100,
                64,
                1.0,
            )
            network.nodes[f"host-{zone}-0"].table.update_summary(summary)
        network.run(1)
        for host_id in network.nodes:
            assert network.alive(host_id) == set(network.nodes)
    worst = max(node.bytes for node in network.nodes.values()) / 30
    assert worst <= MAX_BYTES_PER_S
    for node in network.nodes.values():
        assert len(node.table.summaries_by_zone) == ZONES


def test_silent_peer_is_suspected_and_heard_again():
    """A silent host is suspected after 3 s, when the next host places."""
    network = _Network(2, 3)
    network.run(10)
    network.nodes["host-0-0"].up = False
    network.run(2)
    assert "host-0-0" in network.alive("host-0-1")
    network.run(1)
    assert "host-0-0" not in network.alive("host-0-1")
    network.nodes["host-0-0"].up = True
    network.run(2)
    assert "host-0-0" in network.alive("host-0-1")
    assert network.nodes["host-0-0"].pauses == 1


def test_paused_host_is_not_settled_until_it_heard_its_peers():
    """A resumed host must not act on its stale view."""
    network = _Network(2, 3)
    network.run(10)
    node = network.nodes["host-0-0"]
    before = node.table.get("host-0-0").incarnation
    network.clock.advance(5_000)
    node.beats.check_pause()
    assert not node.beats.settled
    assert node.table.get("host-0-0").incarnation > before
    network.run(heartbeats.SETTLING_HEARTBEATS)
    assert node.beats.settled


def test_restarted_host_with_a_slow_clock_is_heard():
    """A clock set back must not make a new process's heartbeats look old."""
    network = _Network(2, 2)
    network.run(5)
    node = network.nodes["host-0-0"]
    network.nodes.pop("host-0-0")
    behind = network.clock
    network.clock = clock.ManualClock(behind.now_ms() - 60_000)
    network.add("hosting-zone-0", "host-0-0")
    network.nodes["host-0-0"].state = "joining"
    network.nodes["host-0-0"].beats.update_hints(
        list(node.beats.addresses().values())
    )
    for _ in range(3):
        network.run(1)
        behind.advance(1_000)
    seen = network.nodes["host-0-1"].table.get("host-0-0")
    assert seen.state == "joining"


def test_direct_stop_travels_with_heartbeats():
    """Hosts not reached directly receive the stop through heartbeats."""
    network = _Network(3, 3)
    network.run(10)
    stop = stops.ZoneStop("hosting-zone-0", "op", 5, stopped=True)
    network.nodes["host-1-1"].stop_table.update(stop)
    network.run(12)
    for node in network.nodes.values():
        assert node.stop_table.is_stopped("hosting-zone-0")
