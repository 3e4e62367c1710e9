"""Tests of following a topic."""

import asyncio

import builders
import fakelog
from laburnumgate_core import clock
from laburnumgate_placer import feed
from laburnumgate_placer import ports
from laburnumgate_placer import records
import pytest

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


def test_loading_goes_on_with_the_page_that_was_lost():
    """Guards against a load that never ends over a link that breaks often."""

    async def work():
        log = fakelog.FakeLog()
        log.page_size = 2
        log.lose_pages = {"k1", "k3"}
        for number in range(6):
            log.put(_TOPIC, records.encode_keyed(f"k{number}", b"1"))
        seen = []
        follower = _follower(log, lambda entry: seen.append(entry.key), 20, 0)
        task = asyncio.create_task(follower.run())
        await follower.loaded.wait()
        assert log.pages == ["", "k1", "k1", "k3", "k3"]
        assert seen == [f"k{number}" for number in range(6)]
        task.cancel()

    builders.run(work())


def test_a_load_that_was_interrupted_misses_no_later_record():
    """Guards against records that are written between two pages."""

    async def work():
        log = fakelog.FakeLog()
        log.page_size = 2
        log.lose_pages = {"k1"}
        for number in range(4):
            log.put(_TOPIC, records.encode_keyed(f"k{number}", b"1"))
        value_by_key = {}
        follower = _follower(
            log,
            lambda entry: value_by_key.update({entry.key: entry.value}),
            20,
            0,
        )
        task = asyncio.create_task(follower.run())
        while len(log.pages) < 2:
            await asyncio.sleep(0.005)
        log.put(_TOPIC, records.encode_keyed("k0", b"2"))
        assert await follower.wait_for_offset(5, 1_000)
        assert value_by_key == {"k0": b"2", "k1": b"1", "k2": b"1", "k3": b"1"}
        task.cancel()

    builders.run(work())


def test_superseded_records_are_not_read():
    """Guards against a slow link that reads each of many configurations."""

    async def work():
        log = fakelog.FakeLog()
        log.put(_TOPIC, records.encode_keyed("config", b"0"))
        values = []
        follower = feed.Feed(
            log,
            clock.MonotonicClock(),
            _TOPIC,
            lambda entry: values.append(entry.value),
            wait_ms=200,
            newest_only=True,
        )
        task = asyncio.create_task(follower.run())
        await follower.loaded.wait()
        await asyncio.sleep(0.02)
        log.batch_size = 1
        for number in range(1, 10):
            log.put(_TOPIC, records.encode_keyed("config", b"%d" % number))
        assert await follower.wait_for_offset(10, 1_000)
        assert values == [b"0", b"1", b"9"]
        assert follower.loaded.is_set()
        task.cancel()

    builders.run(work())


def test_a_read_that_took_long_is_confirmed_at_once():
    """Guards against a host that rejects callers while it waits for records.

    After a long transfer the records are known to be current as of its start.
    """

    async def work():
        log = fakelog.FakeLog()
        follower = _follower(log, lambda entry: None, 300, 0)
        task = asyncio.create_task(follower.run())
        await follower.loaded.wait()
        await asyncio.sleep(0.05)
        log.read_s = 1.0
        log.put(_TOPIC, records.encode_keyed("first", b"1"))
        assert await follower.wait_for_offset(1, 2_000)
        log.read_s = 0.0
        await asyncio.sleep(0.1)
        assert follower.age_ms() < 300
        task.cancel()

    builders.run(work())


def test_an_empty_page_does_not_end_a_load():
    """Guards against dropping each key that was not on the pages so far."""

    async def work():
        log = fakelog.FakeLog()
        log.page_size = 1
        for key in ("config", "evacuate"):
            log.put(_TOPIC, records.encode_keyed(key, b"1"))
        value_by_key = {}
        follower = _follower(
            log,
            lambda entry: value_by_key.update({entry.key: entry.value}),
            20,
            0,
        )
        task = asyncio.create_task(follower.run())
        await follower.loaded.wait()
        log.empty_pages = {""}
        log.put(_TOPIC, records.encode_keyed("config", b"2"))
        log.first_by_topic[_TOPIC] = 3
        assert await follower.wait_for_offset(3, 1_000)
        assert value_by_key == {"config": b"2", "evacuate": b"1"}
        task.cancel()

    builders.run(work())


def test_a_later_record_is_not_replaced_by_an_earlier_one():
    """Guards against undoing a change while a topic is read after a load.

    A page may hold records that are newer than the offset from which the topic
    is read afterwards.
    """

    async def work():
        log = fakelog.FakeLog()
        log.page_size = 1
        log.lose_pages = {"a"}
        log.put(_TOPIC, records.encode_keyed("a", b"1"))
        log.put(_TOPIC, records.encode_keyed("z", b"1"))
        values = []

        def apply(entry):
            if entry.key == "z":
                values.append(entry.value)

        follower = _follower(log, apply, 20, 0)
        task = asyncio.create_task(follower.run())
        while len(log.pages) < 2:
            await asyncio.sleep(0.005)
        for number in (b"2", b"3", b"4"):
            log.put(_TOPIC, records.encode_keyed("z", number))
        assert await follower.wait_for_offset(5, 1_000)
        assert values == [b"4"]
        task.cancel()

    builders.run(work())


def test_a_topic_is_read_on_while_its_newest_records_cannot_be_loaded():
    """Guards against a feed that stops when one of two calls fails."""

    async def work():
        log = fakelog.FakeLog()
        log.put(_TOPIC, records.encode_keyed("config", b"0"))
        values = []
        follower = feed.Feed(
            log,
            clock.MonotonicClock(),
            _TOPIC,
            lambda entry: values.append(entry.value),
            wait_ms=200,
            newest_only=True,
        )
        task = asyncio.create_task(follower.run())
        await follower.loaded.wait()
        await asyncio.sleep(0.02)
        log.batch_size = 1
        log.lose_all_pages = True
        for number in range(1, 4):
            log.put(_TOPIC, records.encode_keyed("config", b"%d" % number))
        assert await follower.wait_for_offset(4, 3_000)
        assert values == [b"0", b"1", b"2", b"3"]
        task.cancel()

    builders.run(work())


def test_a_read_without_the_records_it_asked_for_is_not_repeated_at_once():
    """Guards against a busy loop when the log answers without any record."""

    async def work():
        log = fakelog.FakeLog()
        follower = _follower(log, lambda entry: None, 20, 0)
        task = asyncio.create_task(follower.run())
        await follower.loaded.wait()
        log.batch_size = 0
        log.put(_TOPIC, records.encode_keyed("first", b"1"))
        before = log.reads
        await asyncio.sleep(0.5)
        assert log.reads - before < 10
        task.cancel()

    builders.run(work())


def test_expired_history_leaves_what_is_known_in_use():
    """Guards against rejecting all callers while a topic is loaded again."""

    async def work():
        log = fakelog.FakeLog()
        log.put(_TOPIC, records.encode_keyed("config", b"1"))
        follower = _follower(log, lambda entry: None, 20, 0)
        task = asyncio.create_task(follower.run())
        await follower.loaded.wait()
        log.put(_TOPIC, records.encode_keyed("config", b"2"))
        log.lose_all_pages = True
        log.first_by_topic[_TOPIC] = 2
        await asyncio.sleep(0.3)
        assert follower.loaded.is_set()
        assert not follower.complete
        task.cancel()

    builders.run(work())


def test_all_retained_records_of_a_topic_without_keys_are_read():
    """Guards against skipping the newest records of a long history."""

    async def work():
        log = fakelog.FakeLog()
        log.batch_size = 3
        for number in range(7):
            log.put("plain", b"%d" % number)
        seen = []
        follower = feed.Feed(
            log,
            clock.MonotonicClock(),
            "plain",
            lambda entry: seen.append(entry.value),
            wait_ms=20,
            keyed=False,
        )
        task = asyncio.create_task(follower.run())
        assert await follower.wait_for_offset(7, 1_000)
        assert seen == [b"%d" % number for number in range(7)]
        task.cancel()

    builders.run(work())


class _OddLog:
    """Answers with pages by the key before them, and with one batch."""

    def __init__(self, pages, batch=()):
        self._pages = pages
        self._batch = batch

    async def newest(self, topic, after, *, timeout_ms):
        await asyncio.sleep(0)
        more = after != list(self._pages)[-1]
        return ports.Page(tuple(self._pages[after]), more, 3)

    async def read(self, topic, from_offset, *, wait_ms, timeout_ms):
        await asyncio.sleep(0.01)
        entries = tuple(e for e in self._batch if e.offset >= from_offset)
        return ports.Batch(entries, 6)


@pytest.mark.parametrize("odd", [3, 4, 5])
def test_a_record_that_cannot_be_read_is_passed_over(odd):
    """Guards against a feed that reads the same record over and over."""

    async def work():
        page = [ports.Entry(0, "k0", b"1")]
        batch = [ports.Entry(n, f"k{n}", b"1") for n in (3, 4, 5)]
        batch[odd - 3] = ports.Entry(odd, "k0", None, error="cut off")
        seen = []
        follower = _follower(
            _OddLog({"": page}, batch),
            lambda entry: seen.append(entry.key),
            50,
            0,
        )
        task = asyncio.create_task(follower.run())
        assert await follower.wait_for_offset(6, 2_000)
        assert seen == ["k0"] + [f"k{n}" for n in (3, 4, 5) if n != odd]
        assert follower.age_ms() < 1_000
        assert not task.done()
        task.cancel()

    builders.run(work())


def test_a_load_goes_on_after_an_item_without_a_key():
    """Guards against a load that begins with the first page again."""

    async def work():
        odd = ports.Entry(3, "", None, error="no key")
        pages = {
            "": [ports.Entry(0, "k0", b"1"), odd],
            "k0": [odd, ports.Entry(1, "k1", b"1")],
            "k1": [odd],
        }
        seen = []
        follower = _follower(
            _OddLog(pages), lambda entry: seen.append(entry.key), 50, 0
        )
        task = asyncio.create_task(follower.run())
        async with asyncio.timeout(2):
            await follower.loaded.wait()
        assert seen == ["k0", "k1"]
        task.cancel()

    builders.run(work())
