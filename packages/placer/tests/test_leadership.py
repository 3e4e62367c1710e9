"""Tests of leader election and fencing tokens."""

import asyncio

import builders
import fakelog
from laburnumgate_core import clock
from laburnumgate_placer import leadership
from laburnumgate_placer import topics
import orjson


class _Candidate:
    def __init__(self, log, host, delay_ms=0, first_start=False):
        self.leadership = leadership.Leadership(
            log, clock.MonotonicClock(), host, delay_ms, first_start
        )
        self.tasks = [
            asyncio.create_task(self.leadership.feed.run()),
            asyncio.create_task(self.leadership.run()),
        ]

    def kill(self):
        for task in self.tasks:
            task.cancel()


async def _wait_until(condition):
    while not condition():
        await asyncio.sleep(0.01)


def _tokens(log):
    found = []
    for offset, record in enumerate(log.records_by_topic[topics.LEADER]):
        if orjson.loads(record)[0] == "claim":
            found.append(offset + 1)
    return found


def test_of_several_candidates_one_leads():
    """Guards against two hosts that both consider themselves leader."""

    async def work():
        log = fakelog.FakeLog()
        hosts = [_Candidate(log, f"h{n}", first_start=True) for n in range(4)]
        await _wait_until(lambda: any(h.leadership.own_claim for h in hosts))
        await asyncio.sleep(0.3)
        assert sum(h.leadership.own_claim is not None for h in hosts) == 1
        assert len(_tokens(log)) == 1

    builders.run(work())


def test_a_silent_leader_is_replaced_under_a_higher_token():
    """Guards against a system without a leader and a reused fencing token."""

    async def work():
        log = fakelog.FakeLog()
        first = _Candidate(log, "h1", first_start=True)
        await _wait_until(lambda: first.leadership.own_claim)
        second = _Candidate(log, "h2")
        await asyncio.sleep(leadership.ELECTION_TIMEOUT_MS * 1.2 / 1000)
        assert second.leadership.own_claim is None
        first.kill()
        await _wait_until(lambda: second.leadership.own_claim)
        assert (
            second.leadership.own_claim.token > first.leadership.own_claim.token
        )

    builders.run(work())


def test_a_leader_that_stops_is_replaced_at_once():
    """Guards against a planned stop that costs a full election timeout."""

    async def work():
        log = fakelog.FakeLog()
        first = _Candidate(log, "h1", first_start=True)
        await _wait_until(lambda: first.leadership.own_claim)
        second = _Candidate(log, "h2", delay_ms=20)
        await asyncio.sleep(0.2)
        await first.leadership.resign()
        async with asyncio.timeout(leadership.ELECTION_TIMEOUT_MS / 2 / 1000):
            await _wait_until(lambda: second.leadership.own_claim)
        assert first.leadership.own_claim is None

    builders.run(work())


def test_a_claim_whose_answer_was_lost_is_found_by_reading():
    """Guards against a stored claim that its host does not act on."""

    async def work():
        log = fakelog.FakeLog()
        log.lose_answers = 1
        first = _Candidate(log, "h1", first_start=True)
        await _wait_until(lambda: first.leadership.own_claim)
        assert first.leadership.own_claim.token == 1

    builders.run(work())


def test_a_leader_steps_down_when_it_reads_a_later_claim():
    """Guards against a leader that continues after it was replaced."""

    async def work():
        log = fakelog.FakeLog()
        first = _Candidate(log, "h1", first_start=True)
        await _wait_until(lambda: first.leadership.own_claim)
        log.put(topics.LEADER, orjson.dumps(["claim", "h2", 0]))
        await _wait_until(lambda: first.leadership.own_claim is None)
        assert first.leadership.current.host == "h2"

    builders.run(work())
