"""Tests of sharing records with the zone's peers while the log is out."""

import asyncio
import contextlib

from laburnumgate_core import clock
from laburnumgate_core import membership
from laburnumgate_core import model
from laburnumgate_core import records
from laburnumgate_host import peers
from laburnumgate_host import sharing
from laburnumgate_rpc import peer_pb2

SPEC = model.JobSpec("k", 1, 1, 1)
PEER = peers.Address("h2", "z", "127.0.0.1", 1)
LINK_BYTES_PER_MS = 625  # 5 Mbit/s


class Zone:
    """The addresses of the zone's peers."""

    def __init__(self, host_ids: list[str]):
        self._addresses = {
            host_id: peers.Address(host_id, "z", "127.0.0.1", 1)
            for host_id in host_ids
        }

    def addresses(self, zone: str) -> dict[str, peers.Address]:
        return self._addresses


class SlowLink:
    """Calls of one host to all peers at once over its link.

    Attributes:
      silent: peers that never answer.
      longest_ms: the longest time that a call was given.
    """

    def __init__(self, peer_count: int, silent: frozenset[str] = frozenset()):
        self.silent = silent
        self.longest_ms = 0
        self._peer_count = peer_count

    async def share_records(
        self,
        address: peers.Address,
        request: peer_pb2.ShareRecordsRequest,
        timeout_ms: int,
    ) -> peer_pb2.ShareRecordsReply | None:
        await asyncio.sleep(0)
        self.longest_ms = max(self.longest_ms, timeout_ms)
        sent_bytes = request.ByteSize() * self._peer_count
        if sent_bytes / LINK_BYTES_PER_MS > timeout_ms:
            return None
        if address.host_id in self.silent:
            return None
        return peer_pb2.ShareRecordsReply(held=len(request.records))


async def share(
    host_ids: list[str], link: SlowLink, count: int, payload_bytes: int
) -> list[int]:
    """Shares records; returns for each how many peers hold it."""
    table = sharing.SharedJobTable()
    made = sharing.Sharing(
        "h", "z", table, Zone(host_ids), link, clock.ManualClock(1), bool
    )
    spec = model.JobSpec("k", 1, 1, 1, payload="x" * payload_bytes)
    task = asyncio.create_task(made.run())
    waiting = []
    for number in range(count):
        job_id = f"a/{number}"
        record = records.Submitted(job_id, "a", spec, "z", "h", 1, 1, 0)
        table.add_provisional("h-1", number, record)
        waiting.append(asyncio.create_task(made.wait_for_holders(job_id)))
    async with asyncio.timeout(10):
        held = await asyncio.gather(*waiting)
    task.cancel()
    return held


def test_many_records_reach_the_peers_over_a_slow_link():
    """Guards against records of a log outage that only their host holds."""

    async def script():
        held = await share(["p1", "p2"], SlowLink(2), 256, 1_000)
        assert held == [2] * 256

    asyncio.run(script())


def test_a_large_record_reaches_many_peers_over_a_slow_link():
    """Guards against a limit below the time that the upload takes."""

    async def script():
        host_ids = [f"p{number}" for number in range(8)]
        assert await share(host_ids, SlowLink(8), 1, 60_000) == [8]

    asyncio.run(script())


def test_a_silent_peer_delays_the_other_records_by_a_bounded_time():
    """Guards against callers that wait for a peer that is about to be lost."""

    async def script():
        link = SlowLink(2, frozenset({"p1"}))
        held = await share(["p1", "p2"], link, 256, 1_000)
        assert held == [1] * 256
        assert link.longest_ms < membership.SUSPECT_AFTER_MS

    asyncio.run(script())


class FakePeer:
    """A peer that does not answer its first calls.

    It is the client and the heartbeats of `Sharing` as well.
    """

    def __init__(self, lost_calls: int):
        self.alive = True
        self.calls = 0
        self.held: list[str] = []
        self._lost_calls = lost_calls

    def addresses(self, zone: str) -> dict[str, peers.Address]:
        return {PEER.host_id: PEER}

    def is_alive(self, host_id: str) -> bool:
        return self.alive

    async def share_records(
        self,
        address: peers.Address,
        request: peer_pb2.ShareRecordsRequest,
        timeout_ms: int,
    ) -> peer_pb2.ShareRecordsReply | None:
        self.calls += 1
        if self.calls <= self._lost_calls:
            return None
        self.held += [message.append_id for message in request.records]
        return peer_pb2.ShareRecordsReply(held=len(request.records))


async def _share(peer: FakePeer, numbers: range, die_after_s: float = 60):
    """Shares records.

    Returns:
      The number of holders that a caller of the last one's job is told, and
      how many records were not shared then.
    """
    table = sharing.SharedJobTable()
    time = clock.SystemClock()
    own = sharing.Sharing("h1", "z", table, peer, peer, time, peer.is_alive)
    asyncio.get_running_loop().call_later(
        die_after_s, lambda: setattr(peer, "alive", False)
    )
    task = asyncio.create_task(own.run())
    for number in numbers:
        record = records.Submitted(f"a/{number}", "a", SPEC, "z", "h", 1, 1, 0)
        table.add_provisional(f"h1-{number}", 0, record)
    async with asyncio.timeout(10):
        held = await own.wait_for_holders(f"a/{numbers[-1]}")
        unshared = own.unshared_count
        while own.unshared_count:
            await asyncio.sleep(0.01)
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
    return held, unshared


def test_a_record_is_sent_again_until_a_peer_holds_it():
    """Guards against losing work with a host that stops during an outage.

    A peer that was too busy for one call used to be passed over for good.
    """
    peer = FakePeer(lost_calls=2)
    assert asyncio.run(_share(peer, range(1, 4))) == (1, 0)
    assert peer.held == ["h1-1", "h1-2", "h1-3"]


def test_a_peer_that_is_gone_does_not_block_the_host():
    """Guards against records that wait for a dead peer without end."""
    peer = FakePeer(lost_calls=1_000)
    assert asyncio.run(_share(peer, range(1, 2), die_after_s=0.5)) == (0, 0)


def test_a_caller_does_not_wait_for_a_silent_peer_without_end():
    """Guards against submissions that time out while a peer is silent."""
    peer = FakePeer(lost_calls=1_000)
    assert asyncio.run(_share(peer, range(1, 2), die_after_s=4)) == (0, 1)
