"""Tests of exactly-once appends and of their reported outcomes."""

import asyncio

import builders
import fakelog
from laburnumgate_core import clock
from laburnumgate_placer import ports
from laburnumgate_placer import writer


async def _with_writer(log, work, epoch=1):
    own = writer.Writer(log, clock.MonotonicClock(), "t", "p", epoch)
    task = asyncio.create_task(own.run())
    try:
        return await work(own)
    finally:
        task.cancel()


def test_a_record_whose_answer_was_lost_is_stored_once():
    """Guards against a job that is stored twice by a retried append."""
    log = fakelog.FakeLog()
    log.lose_answers = 2

    async def work(own):
        return await own.append([b"one"], 2_000)

    outcome = builders.run(_with_writer(log, work))
    assert outcome == ports.Appended(0, 1)
    assert log.records_by_topic["t"] == [b"one"]


def test_a_refused_record_is_tried_again_within_its_time():
    """Guards against giving up on a log that is temporarily busy."""
    log = fakelog.FakeLog()
    log.refuse = 3

    async def work(own):
        return await own.append([b"one"], 2_000)

    assert isinstance(builders.run(_with_writer(log, work)), ports.Appended)


def test_not_appended_is_said_only_if_no_call_may_take_effect():
    """Guards against rejecting a job that the log stores later."""
    log = fakelog.FakeLog()

    async def work(own):
        log.silent = True
        first = asyncio.create_task(own.append([b"one"], 100))
        await asyncio.sleep(0.02)
        second = asyncio.create_task(own.append([b"two"], 100))
        return await first, await second

    first, second = builders.run(_with_writer(log, work))
    assert isinstance(first, ports.Unknown)
    assert isinstance(second, ports.NotAppended)


def test_dropped_records_are_not_sent_later():
    """Guards against a job that runs although its caller was rejected."""
    log = fakelog.FakeLog()

    async def work(own):
        log.silent = True
        first = asyncio.create_task(own.append([b"one"], 3_000))
        await asyncio.sleep(0.02)
        second = await own.append([b"two"], 50)
        log.silent = False
        await first
        third = await own.append([b"three"], 2_000)
        return second, third

    second, third = builders.run(_with_writer(log, work))
    assert isinstance(second, ports.NotAppended)
    assert isinstance(third, ports.Appended)
    assert log.records_by_topic["t"] == [b"one", b"three"]


def test_an_older_epoch_is_fenced():
    """Guards against records written by a replaced leader."""
    log = fakelog.FakeLog()

    async def work(own):
        return await own.append([b"one"], 1_000)

    builders.run(_with_writer(log, work, epoch=5))
    outcome = builders.run(_with_writer(log, work, epoch=4))
    assert isinstance(outcome, ports.Fenced)
    assert log.records_by_topic["t"] == [b"one"]


def test_a_record_that_the_log_refuses_for_good_spoils_no_other():
    """Guards against a batch that is repeated because of one record."""
    log = fakelog.FakeLog()
    log.max_record_bytes = 10

    async def work(own):
        return await asyncio.gather(
            *(
                own.append([record], 2_000)
                for record in (b"one", b"2" * 11, b"three")
            )
        )

    first, second, third = builders.run(_with_writer(log, work))
    assert first == ports.Appended(0, 1)
    assert isinstance(second, ports.NotAppended)
    assert second.permanent
    assert third == ports.Appended(1, 2)
    assert len(log.appends) == 4


def test_a_record_refused_for_good_after_a_lost_answer_is_given_up():
    """Guards against a record that is sent without end."""
    log = fakelog.FakeLog()
    log.max_record_bytes = 10

    async def work(own):
        log.silent = True
        refused = asyncio.create_task(own.append([b"2" * 11], 10_000))
        await asyncio.sleep(0.05)
        log.silent = False
        outcome = await refused
        return outcome, await own.append([b"one"], 2_000)

    refused, stored = builders.run(_with_writer(log, work))
    assert isinstance(refused, ports.NotAppended)
    assert stored == ports.Appended(0, 1)


def test_a_record_is_not_stored_after_its_lifetime():
    """Guards against a submission that is stored after its job was cancelled.

    Its copies are in flight while the host is cut off, and are delivered
    afterwards. The host has raised its epoch by then, or does so now.
    """

    class Link(fakelog.FakeLog):
        async def append(self, topic, encoded, **fields):
            if self.silent:
                held.append((topic, encoded, fields))
            return await super().append(topic, encoded, **fields)

    log = Link()
    held = []

    async def work():
        own = writer.Writer(
            log, clock.MonotonicClock(), "t", "p", 1, lifetime_ms=600
        )
        task = asyncio.create_task(own.run())
        log.silent = True
        outcome = await own.append([b"one"], 200)
        assert isinstance(outcome, ports.Unknown)
        await asyncio.sleep(1.2)
        log.silent = False
        later = await own.append([b"two"], 3_000)
        assert isinstance(later, ports.Appended)
        for topic, encoded, fields in held:
            await log.append(topic, encoded, **fields)
        task.cancel()

    builders.run(work())
    assert log.records_by_topic["t"] == [b"two"]


def test_a_record_whose_caller_is_gone_is_not_sent_after_a_freeze():
    """Guards against a process that wakes up and stores old submissions."""
    log = fakelog.FakeLog()
    now = clock.ManualClock(1_000)

    async def work():
        own = writer.Writer(log, now, "t", "p", 1)
        waiting = asyncio.create_task(own.append([b"one"], 200))
        await asyncio.sleep(0)
        now.advance(60_000)
        task = asyncio.create_task(own.run())
        outcome = await waiting
        task.cancel()
        return outcome

    assert isinstance(builders.run(work()), ports.NotAppended)
    assert "t" not in log.records_by_topic
