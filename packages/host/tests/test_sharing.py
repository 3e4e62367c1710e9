"""Tests of sharing records with the zone's peers while the log is out."""

import asyncio

from laburnumgate_core import clock
from laburnumgate_core import membership
from laburnumgate_core import model
from laburnumgate_core import records
from laburnumgate_host import peers
from laburnumgate_host import sharing
from laburnumgate_rpc import peer_pb2

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
