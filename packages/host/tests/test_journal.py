"""Tests of appending records and reading them back during log faults."""

import asyncio
import contextlib
import dataclasses

from laburnumgate_core import clock
from laburnumgate_core import jobs
from laburnumgate_core import model
from laburnumgate_core import records
from laburnumgate_host import journal
from laburnumgate_host import platform
import pytest

SPEC = model.JobSpec("k", 1, 1, 1)


def submitted(number: int = 1) -> records.Submitted:
    return records.Submitted(f"a/{number}", "a", SPEC, "z", "h", 1, 1, 0)


class FakeLog:
    """An in-memory log that can be down, slow, or lose responses."""

    def __init__(self):
        self.entries: list[records.Entry] = []
        self.down = False
        self.lose_answers = 0
        self.slow_s = 0.0

    async def append(self, stream: str, append_id: str, data: str):
        await asyncio.sleep(self.slow_s)
        if self.down:
            return platform.Unavailable("down")
        offset = len(self.entries) + 1
        self.entries.append(records.Entry(offset, append_id, data))
        if self.lose_answers:
            self.lose_answers -= 1
            return platform.Unavailable("answer lost")
        return offset

    async def head(self, stream: str):
        await asyncio.sleep(self.slow_s)
        if self.down:
            return platform.Unavailable("down")
        return len(self.entries)


@dataclasses.dataclass
class Parts:
    log: FakeLog
    table: jobs.JobTable
    journal: journal.Journal
    following: bool = True

    async def follow(self) -> None:
        while True:
            await asyncio.sleep(0.005)
            if not self.following or self.log.down:
                continue
            for entry in self.log.entries[self.table.offset :]:
                taken = self.table.apply_entry(entry)
                self.journal.on_entry(entry, taken)


@contextlib.asynccontextmanager
async def running(timeout_ms: int = 400, time=None, appends_per_s: int = 20):
    log = FakeLog()
    table = jobs.JobTable()
    time = time or clock.SystemClock()
    made = journal.Journal("h", log, table, time, timeout_ms, appends_per_s)
    parts = Parts(log, table, made)
    tasks = [
        asyncio.create_task(parts.follow()),
        asyncio.create_task(made.run()),
    ]
    try:
        yield parts
    finally:
        for task in tasks:
            task.cancel()


@pytest.fixture(autouse=True)
def short_delays(monkeypatch):
    monkeypatch.setattr(journal, "MAX_FLUSH_DELAY_MS", 10)
    monkeypatch.setattr(journal, "BACKOFF_MIN_MS", 20)
    monkeypatch.setattr(journal, "BACKOFF_MAX_MS", 40)
    monkeypatch.setattr(journal, "PROBE_INTERVAL_MS", 20)


def test_a_lost_answer_leads_to_one_entry():
    """An append that took effect must not be sent a second time."""

    async def script():
        async with running() as parts:
            parts.log.lose_answers = 1
            answer = await parts.journal.append(submitted(), False)
            assert answer.applied
            answer = await parts.journal.append(submitted(2), False)
            assert answer.applied
            assert len(parts.log.entries) == 2

    asyncio.run(script())


def test_an_append_that_got_lost_is_sent_again_when_the_log_returns():
    """A record that was not appended must be written after an outage."""

    async def script():
        async with running() as parts:
            parts.log.down = True
            answer = await parts.journal.append(submitted(), True)
            assert answer.applied and not answer.durable
            assert not parts.journal.reachable
            waiting = asyncio.create_task(
                parts.journal.append(submitted(2), False)
            )
            await asyncio.sleep(0.1)
            assert not waiting.done()
            parts.log.down = False
            assert (await waiting).applied
            assert parts.table.committed("a/1") is not None
            assert parts.journal.reachable

    asyncio.run(script())


def test_a_slow_log_counts_as_out_until_it_is_fast_again():
    """Requests must not each wait the full timeout for a slow log."""

    async def script():
        async with running(timeout_ms=100) as parts:
            parts.log.slow_s = 0.09
            await parts.journal.append(submitted(), False)
            assert not parts.journal.reachable
            parts.log.slow_s = 0.0
            for _ in range(300):
                if parts.journal.reachable:
                    return
                await asyncio.sleep(0.01)
            raise AssertionError("the journal did not notice the fast log")

    asyncio.run(script())


def test_a_record_behind_a_snapshot_is_settled_from_the_table():
    """A record that a snapshot skipped must still be reported as applied.

    Otherwise a start would be recorded but never executed.
    """

    async def script():
        async with running() as parts:
            parts.following = False
            waiting = asyncio.create_task(
                parts.journal.append(submitted(), False)
            )
            while not parts.log.entries:
                await asyncio.sleep(0.005)
            other = jobs.JobTable()
            for entry in parts.log.entries:
                other.apply_entry(entry)
            await asyncio.sleep(0.05)
            assert parts.table.adopt(other.state())
            parts.journal.on_state_adopted()
            assert (await waiting).applied

    asyncio.run(script())


def test_a_second_copy_of_a_start_counts_as_taken():
    """A duplicate append must not make a host abandon its own run."""

    async def script():
        async with running() as parts:
            parts.following = False
            waiting = asyncio.create_task(
                parts.journal.append(submitted(), False)
            )
            while not parts.log.entries:
                await asyncio.sleep(0.005)
            first = parts.log.entries[0]
            parts.log.entries.append(dataclasses.replace(first, offset=2))
            parts.table.apply_entry(first)
            parts.following = True
            assert (await waiting).applied

    asyncio.run(script())


def test_appends_keep_to_their_share_of_the_logs_rate():
    """Hosts must not overload a log that has just become reachable."""

    async def script():
        time = clock.ManualClock(1)
        async with running(time=time, appends_per_s=1) as parts:
            await parts.journal.append(submitted(), False)
            waiting = asyncio.create_task(
                parts.journal.append(submitted(2), False)
            )
            await asyncio.sleep(0.05)
            assert len(parts.log.entries) == 1
            time.advance(1_001)
            assert (await waiting).applied

    asyncio.run(script())
