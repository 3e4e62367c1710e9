"""Tests of following a topic."""

import asyncio

import builders
import fakelog
from laburnumgate_core import clock
from laburnumgate_placer import feed
from laburnumgate_placer import records

_TOPIC = "keyed.test"


def _follower(log, apply, wait_ms, min_interval_ms):
    return feed.Feed(
        log,
        clock.MonotonicClock(),
        _TOPIC,
        apply,
        wait_ms=wait_ms,
        min_interval_ms=min_interval_ms,
    )


def test_a_pause_lets_one_read_take_in_several_records():
    """Guards against one read per record on every host."""

    async def work():
        log = fakelog.FakeLog()
        seen = []
        follower = _follower(
            log, lambda entry: seen.append(entry.key), 500, 100
        )
        task = asyncio.create_task(follower.run())
        await follower.loaded.wait()
        before = log.reads
        for number in range(20):
            log.put(_TOPIC, records.encode_keyed(f"k{number}", b"1"))
            await asyncio.sleep(0.01)
        assert await follower.wait_for_offset(20, 2_000)
        assert len(seen) == 20
        assert log.reads - before < 10
        task.cancel()

    builders.run(work())


def test_a_caller_does_not_wait_for_the_pause_between_reads():
    """Guards against stale answers from a host that reads rarely."""

    async def work():
        log = fakelog.FakeLog()
        seen = []
        follower = _follower(
            log, lambda entry: seen.append(entry.key), 500, 5_000
        )
        task = asyncio.create_task(follower.run())
        await follower.loaded.wait()
        log.put(_TOPIC, records.encode_keyed("first", b"1"))
        assert await follower.wait_for_offset(1, 1_000)
        await asyncio.sleep(0.01)
        log.put(_TOPIC, records.encode_keyed("second", b"1"))
        async with asyncio.timeout(1):
            await follower.catch_up(900)
        assert seen == ["first", "second"]
        task.cancel()

    builders.run(work())


def test_catching_up_is_given_up_when_the_log_is_silent():
    """Guards against callers that wait for a log that does not answer."""

    async def work():
        log = fakelog.FakeLog()
        follower = _follower(log, lambda entry: None, 20, 5_000)
        task = asyncio.create_task(follower.run())
        await follower.loaded.wait()
        await asyncio.sleep(0.1)
        log.silent = True
        async with asyncio.timeout(1):
            await follower.catch_up(50)
        task.cancel()

    builders.run(work())
