"""Tests of recovery when the log entries that a host needs have expired."""

import asyncio
import contextlib
import dataclasses
import functools
import socket

from laburnumgate_core import clock
from laburnumgate_core import config
from laburnumgate_core import jobs
from laburnumgate_core import limits
from laburnumgate_core import model
from laburnumgate_core import records
from laburnumgate_core import snapshot
from laburnumgate_host import follower
from laburnumgate_host import metrics
from laburnumgate_host import peers
from laburnumgate_host import platform
from laburnumgate_host import snapshots
import pytest

EVERY_MS = 1_000
SPEC = model.JobSpec("k", 1, 1, 1, payload="x" * 100)


class FakeLog:
    """In-memory streams whose entries can be expired.

    Attributes:
      down: whether all calls fail.
      appends_left: number of appends that succeed, None for no limit.
      lose_reads: number of failing reads by the offset at which they start.
      reads: the offsets at which reads started.
      max_entries: number of entries above which an answer is lost, None for
        no limit.
    """

    def __init__(self):
        self.entries_by_stream: dict[str, list[records.Entry]] = {}
        self.first_by_stream: dict[str, int] = {}
        self.down = False
        self.appends_left: int | None = None
        self.lose_reads: dict[int, int] = {}
        self.reads: list[int] = []
        self.max_entries: int | None = None

    def append_ids(self, stream: str) -> list[str]:
        return [e.append_id for e in self.entries_by_stream.get(stream, [])]

    def put(self, stream: str, append_id: str, data: str) -> int:
        entries = self.entries_by_stream.setdefault(stream, [])
        entries.append(records.Entry(len(entries) + 1, append_id, data))
        return len(entries)

    def expire(self, stream: str) -> None:
        entries = self.entries_by_stream.get(stream, [])
        self.first_by_stream[stream] = len(entries) + 1

    async def append(self, stream: str, append_id: str, data: str):
        if self.down or self.appends_left == 0:
            return platform.Unavailable("down")
        if self.appends_left is not None:
            self.appends_left -= 1
        return self.put(stream, append_id, data)

    async def head(self, stream: str):
        if self.down:
            return platform.Unavailable("down")
        return len(self.entries_by_stream.get(stream, []))

    async def read(self, stream: str, start: int, wait_ms: int, limit=500):
        await asyncio.sleep(0.002)
        self.reads.append(start)
        if self.down:
            return platform.Unavailable("down")
        if self.lose_reads.get(start):
            self.lose_reads[start] -= 1
            return platform.Unavailable("answer lost")
        entries = self.entries_by_stream.get(stream, [])
        first = self.first_by_stream.get(stream, 1)
        page = entries[max(start, first) - 1 :][:limit]
        if self.max_entries is not None and len(page) > self.max_entries:
            return platform.Unavailable("answer lost")
        return platform.Page(tuple(page), first, len(entries) + 1)


class Host:
    """The tables of one host with their follower and snapshots."""

    def __init__(self, log: FakeLog, time: clock.Clock, fetchers=()):
        self.jobs = jobs.JobTable()
        self.config = config.ConfigTable()
        self.adopted: list[str] = []
        self.snapshots = snapshots.Snapshots(
            log,
            self.config,
            self.jobs,
            time,
            EVERY_MS,
            lambda stream: True,
            lambda: list(fetchers),
            self.adopted.append,
            limits.RetryBudget(time),
        )
        self.follower = follower.Follower(
            records.JOBS_STREAM,
            log,
            lambda: self.jobs.offset + 1,
            self.jobs.apply_entry,
            lambda answered: None,
            0,
            self.snapshots.recover,
        )

    def on_fetch_state(self, request):
        return self.snapshots.serve(request.config_offset, request.jobs_offset)


@contextlib.asynccontextmanager
async def following(host: Host):
    task = asyncio.create_task(host.follower.run())
    try:
        yield
    finally:
        task.cancel()


async def until(condition) -> None:
    for _ in range(1_000):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("the condition did not come true")


def submit(log: FakeLog, count: int) -> None:
    for number in range(count):
        record = records.Submitted(f"a/{number}", "a", SPEC, "z", "h", 1, 1, 0)
        data = records.encode_jobs((record,))
        log.put(records.JOBS_STREAM, f"s{number}", data)


def large_state() -> jobs.JobsState:
    """Returns a state of several chunks."""
    log = FakeLog()
    submit(log, 100)
    table = jobs.JobTable()
    for entry in log.entries_by_stream[records.JOBS_STREAM]:
        table.apply_entry(entry)
    return table.state()


@pytest.fixture(autouse=True)
def short_delays(monkeypatch):
    monkeypatch.setattr(snapshot, "MAX_CHUNK_BYTES", 200)
    monkeypatch.setattr(snapshots, "CHUNK_INTERVAL_MS", 1)
    monkeypatch.setattr(snapshots, "PAGE_RETRY_MS", 1)
    monkeypatch.setattr(follower, "BACKOFF_MIN_MS", 10)
    monkeypatch.setattr(follower, "BACKOFF_MAX_MS", 20)


def test_a_starting_host_continues_from_the_newest_snapshot():
    """A host must be able to start after old entries have expired."""

    async def script():
        log, time = FakeLog(), clock.ManualClock(1_000_000)
        submit(log, 30)
        first = Host(log, time)
        async with following(first):
            await until(lambda: first.follower.caught_up)
            assert await first.snapshots.write_if_due(records.JOBS_STREAM)
            log.expire(records.JOBS_STREAM)
            submit(log, 40)
            await until(lambda: first.jobs.offset == 70)
        second = Host(log, time)
        async with following(second):
            await until(lambda: second.follower.caught_up)
        assert second.jobs.state() == first.jobs.state()
        assert second.adopted == [records.JOBS_STREAM]

    asyncio.run(script())


def test_a_snapshot_is_written_again_before_the_last_one_expires():
    """The log must never hold neither the entries nor a snapshot."""

    async def script():
        log, time = FakeLog(), clock.ManualClock(1_000_000)
        submit(log, 3)
        host = Host(log, time)
        async with following(host):
            await until(lambda: host.follower.caught_up)
        write = host.snapshots.write_if_due
        assert await write(records.JOBS_STREAM)
        assert not await write(records.JOBS_STREAM)
        time.advance(EVERY_MS + 1)
        assert await write(records.JOBS_STREAM)
        # An incomplete snapshot does not count as a recent one.
        time.advance(EVERY_MS + 1)
        chunks = snapshot.encode(host.jobs.state())
        stored = snapshot.encode_stored(chunks[-1], time.now_ms())
        log.put(records.SNAPSHOT_STREAM, "half", stored)
        assert await write(records.JOBS_STREAM)

    asyncio.run(script())


async def interrupted_writer(log: FakeLog, time: clock.Clock) -> Host:
    """Returns a host whose snapshot was interrupted after two chunks."""
    host = Host(log, time)
    assert host.jobs.adopt(large_state())
    log.appends_left = 2
    assert not await host.snapshots.write_if_due(records.JOBS_STREAM)
    assert len(log.append_ids(records.SNAPSHOT_STREAM)) == 2
    log.appends_left = None
    return host


def test_an_interrupted_snapshot_continues_with_the_chunk_that_was_refused():
    """Guards against a large snapshot that never ends while the log is busy.

    It also holds if the table has changed since.
    """

    async def script():
        log, time = FakeLog(), clock.ManualClock(1_000_000)
        host = await interrupted_writer(log, time)
        offset = host.jobs.offset
        record = records.Submitted("a/x", "a", SPEC, "z", "h", 1, 1, 0)
        data = records.encode_jobs((record,))
        host.jobs.apply_entry(records.Entry(offset + 1, "x", data))
        assert await host.snapshots.write_if_due(records.JOBS_STREAM)
        count = len(snapshot.encode(large_state()))
        assert log.append_ids(records.SNAPSHOT_STREAM) == [
            f"{records.JOBS_STREAM}-{offset}-{index}" for index in range(count)
        ]
        second = Host(log, time)
        assert await second.snapshots.recover(records.JOBS_STREAM, offset)
        assert second.jobs.state() == large_state()

    asyncio.run(script())


def test_an_interrupted_snapshot_continues_before_the_next_one_is_due(
    monkeypatch,
):
    """Guards against a log without a snapshot after a short interruption."""
    monkeypatch.setattr(snapshots, "CONTINUE_AFTER_MS", 10)

    async def script():
        log, time = FakeLog(), clock.ManualClock(1_000_000)
        host = await interrupted_writer(log, time)
        count = len(snapshot.encode(large_state()))
        task = asyncio.create_task(host.snapshots.run())
        await until(
            lambda: len(log.append_ids(records.SNAPSHOT_STREAM)) == count
        )
        task.cancel()

    monkeypatch.setattr(f"{__name__}.EVERY_MS", 3_600_000)
    asyncio.run(script())


def test_an_interrupted_snapshot_that_is_old_is_written_anew():
    """The log must not expire the first chunks before the last is written."""

    async def script():
        log, time = FakeLog(), clock.ManualClock(1_000_000)
        host = await interrupted_writer(log, time)
        time.advance(EVERY_MS + 1)
        assert await host.snapshots.write_if_due(records.JOBS_STREAM)
        count = len(snapshot.encode(large_state()))
        assert len(log.append_ids(records.SNAPSHOT_STREAM)) == 2 + count

    asyncio.run(script())


def test_a_host_behind_a_gap_stays_joining_and_applies_nothing():
    """A table that skipped entries would differ from all other hosts'."""

    async def script():
        log, time = FakeLog(), clock.ManualClock(1_000_000)
        submit(log, 30)
        log.expire(records.JOBS_STREAM)
        submit(log, 5)
        log.put(records.SNAPSHOT_STREAM, "x", "not a chunk")
        old = snapshot.encode(jobs.JobsState(20, 1, ()))
        for chunk in (*old, dataclasses.replace(old[0], offset=34)):
            data = snapshot.encode_stored(chunk, 1)
            log.put(records.SNAPSHOT_STREAM, "old", data)
        host = Host(log, time)
        async with following(host):
            await asyncio.sleep(0.2)
            assert not host.follower.caught_up
            assert host.jobs.offset == 20
            complete = snapshot.encode(jobs.JobsState(30, 1, ()))
            for chunk in complete:
                data = snapshot.encode_stored(chunk, 1)
                log.put(records.SNAPSHOT_STREAM, "new", data)
            await until(lambda: host.follower.caught_up)
            assert host.jobs.offset == 35

    asyncio.run(script())


def test_a_stream_is_followed_over_a_link_that_breaks_during_large_pages():
    """Guards against a page that is read from its start for ever."""

    async def script():
        log, time = FakeLog(), clock.ManualClock(1_000_000)
        submit(log, 1_000)
        log.max_entries = 100
        host = Host(log, time)
        async with following(host):
            await until(lambda: host.follower.caught_up)
        assert host.jobs.offset == 1_000

    asyncio.run(script())


def put_snapshot(log: FakeLog, state: jobs.JobsState) -> None:
    for chunk in snapshot.encode(state):
        data = snapshot.encode_stored(chunk, 1)
        log.put(records.SNAPSHOT_STREAM, "c", data)


def test_reading_a_snapshot_goes_on_with_the_page_that_was_lost(monkeypatch):
    """Guards against a large snapshot that is never read to its end."""
    monkeypatch.setattr(snapshots, "MAX_CHUNKS_PER_PAGE", 1)

    async def script():
        log, time = FakeLog(), clock.ManualClock(1_000_000)
        state = large_state()
        put_snapshot(log, state)
        count = len(log.append_ids(records.SNAPSHOT_STREAM))
        assert count >= 4
        log.lose_reads = {count - 1: 1}
        host = Host(log, time)
        assert await host.snapshots.recover(records.JOBS_STREAM, state.offset)
        assert host.jobs.state() == state
        assert log.reads == [count, count - 1, *range(count - 1, 0, -1)]

    asyncio.run(script())


def test_a_snapshot_whose_page_stays_lost_is_given_up_for_a_peer(monkeypatch):
    """Guards against a host that waits for a log that has gone silent."""
    monkeypatch.setattr(snapshots, "MAX_CHUNKS_PER_PAGE", 1)

    async def script():
        log, time = FakeLog(), clock.ManualClock(1_000_000)
        state = large_state()
        put_snapshot(log, state)
        count = len(log.append_ids(records.SNAPSHOT_STREAM))
        log.lose_reads = {count - 1: 1_000}

        async def peer(config_offset, jobs_offset):
            for chunk in snapshot.encode(state):
                yield chunk

        host = Host(log, time, [peer])
        async with asyncio.timeout(10):
            assert await host.snapshots.recover(records.JOBS_STREAM, 0)
        assert host.jobs.state() == state

    asyncio.run(script())


@contextlib.asynccontextmanager
async def served(host: Host):
    """Serves a host's state over gRPC and yields a function to fetch it."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    client = peers.Peers(metrics.Metrics())
    server = await client.serve(host, "127.0.0.1", port)
    address = peers.Address("p", "z", "127.0.0.1", port)
    try:
        yield functools.partial(client.fetch_state, address)
    finally:
        client.close()
        server.close()
        await server.wait_closed()


@pytest.mark.parametrize("down", [False, True])
def test_a_host_recovers_from_a_peer_without_snapshots(down):
    """Peers must suffice if an outage outlasts the log's retention."""

    async def script():
        log, time = FakeLog(), clock.ManualClock(1_000_000)
        submit(log, 30)
        first = Host(log, time)
        async with following(first):
            await until(lambda: first.follower.caught_up)
        log.expire(records.JOBS_STREAM)
        log.down = down
        async with served(first) as fetch:
            second = Host(log, time, [fetch])
            async with following(second):
                await until(lambda: second.follower.caught_up)
            assert second.jobs.state() == first.jobs.state()
            # A peer with an older state sends nothing.
            behind = Host(log, time)
            async with served(behind) as stale:
                assert [c async for c in stale(0, 0)] == []

    asyncio.run(script())


def test_a_peer_that_breaks_off_leaves_no_state():
    """A table must not adopt a partial state of a peer."""

    async def script():
        log, time = FakeLog(), clock.ManualClock(1_000_000)
        log.down = True
        chunks = snapshot.encode(jobs.JobsState(30, 1, ()))

        async def broken(config_offset, jobs_offset):
            for chunk in chunks[:-1]:
                yield chunk
            raise OSError("connection lost")

        host = Host(log, time, [broken])
        assert not await host.snapshots.recover(records.JOBS_STREAM, 0)
        assert host.jobs.offset == 0

    asyncio.run(script())


def test_a_state_is_taken_from_a_peer_over_a_slow_link(monkeypatch):
    """Guards against giving up a state that is still arriving."""
    monkeypatch.setattr(snapshots, "FETCH_TIMEOUT_MS", 300)

    async def script():
        log, time = FakeLog(), clock.ManualClock(1_000_000)
        log.down = True
        chunks = snapshot.encode(large_state())
        assert len(chunks) >= 4

        async def slow(config_offset, jobs_offset):
            for chunk in chunks:
                await asyncio.sleep(0.1)
                yield chunk

        host = Host(log, time, [slow])
        assert await host.snapshots.recover(records.JOBS_STREAM, 0)
        assert host.jobs.state() == large_state()

    asyncio.run(script())


def test_a_peer_that_stops_sending_its_state_is_given_up(monkeypatch):
    """Guards against a host that waits for a hung peer for ever."""
    monkeypatch.setattr(snapshots, "FETCH_TIMEOUT_MS", 100)

    async def script():
        log, time = FakeLog(), clock.ManualClock(1_000_000)
        log.down = True
        chunks = snapshot.encode(large_state())

        async def hung(config_offset, jobs_offset):
            yield chunks[0]
            await asyncio.sleep(60)

        async def complete(config_offset, jobs_offset):
            for chunk in chunks:
                yield chunk

        host = Host(log, time, [hung, complete])
        async with asyncio.timeout(10):
            assert await host.snapshots.recover(records.JOBS_STREAM, 0)
        assert host.jobs.state() == large_state()

    asyncio.run(script())


def test_a_state_that_does_not_reach_the_gap_is_no_recovery():
    """Otherwise the host would request expired entries in a busy loop."""

    async def script():
        log, time = FakeLog(), clock.ManualClock(1_000_000)

        async def behind(config_offset, jobs_offset):
            for chunk in snapshot.encode(jobs.JobsState(25, 1, ())):
                yield chunk

        for chunk in snapshot.encode(jobs.JobsState(20, 1, ())):
            data = snapshot.encode_stored(chunk, 1)
            log.put(records.SNAPSHOT_STREAM, "old", data)
        alone = Host(log, time)
        assert not await alone.snapshots.recover(records.JOBS_STREAM, 31)
        host = Host(log, time, [behind])
        assert not await host.snapshots.recover(records.JOBS_STREAM, 31)
        assert host.jobs.offset == 25
        assert await Host(log, time).snapshots.recover(records.JOBS_STREAM, 21)

    asyncio.run(script())
