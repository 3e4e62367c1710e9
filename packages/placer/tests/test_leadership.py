"""Tests of leader election and fencing tokens."""

import asyncio

import builders
import fakelog
from laburnumgate_core import clock
from laburnumgate_placer import leadership
from laburnumgate_placer import ports
from laburnumgate_placer import topics
from laburnumgate_placer.overload import election
import orjson


class _Candidate:
    def __init__(self, log, host, delay_ms=0, first_start=False, reserve=False):
        self.leadership = leadership.Leadership(
            log,
            clock.MonotonicClock(),
            host,
            delay_ms,
            first_start,
            reserve=reserve,
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
        await asyncio.sleep(election.MIN_TIMEOUT_MS * 1.2 / 1000)
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
        async with asyncio.timeout(election.MIN_TIMEOUT_MS / 2 / 1000):
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


def test_a_claim_that_was_given_up_is_not_taken_again_when_it_is_read():
    """Guards against two terms that share a fencing token and an epoch."""

    async def work():
        log = fakelog.FakeLog()
        log.read_s = 0.15
        host = _Candidate(log, "h1", first_start=True)
        await _wait_until(lambda: host.leadership.own_claim)
        assert host.leadership.feed.next_offset == 0
        host.leadership.step_down("test")
        await _wait_until(lambda: host.leadership.feed.next_offset == 1)
        assert host.leadership.own_claim is None
        # It leads again, under a new claim.
        await _wait_until(lambda: host.leadership.own_claim)
        assert host.leadership.own_claim.token > 1
        host.kill()

    builders.run(work())


def test_a_claim_that_was_given_up_is_not_taken_again_when_it_is_answered():
    """Guards against an answer that arrives after its term has ended."""

    async def work():
        log = fakelog.FakeLog()
        log.append_s_by_topic[topics.LEADER] = 0.2
        host = _Candidate(log, "h1", first_start=True)
        await _wait_until(lambda: host.leadership.own_claim)
        host.leadership.step_down("test")
        await asyncio.sleep(0.3)
        assert host.leadership.own_claim is None
        host.kill()

    builders.run(work())


def test_claims_that_are_read_again_change_nothing():
    """Guards against a return to an earlier claim of the same host."""

    def read(host, offset, name):
        value = orjson.dumps(["claim", name, 0])
        host._apply(ports.Entry(offset, "", value))

    host = leadership.Leadership(None, clock.ManualClock(1), "h1", 0, True)
    read(host, 0, "h1")
    read(host, 1, "h2")
    read(host, 2, "h1")
    own = leadership.Claim("h1", 3)
    assert host.own_claim == host.current == own
    for offset, name in enumerate(("h1", "h2", "h1")):
        read(host, offset, name)
        assert host.own_claim == host.current == own
    host.step_down("test")
    for offset, name in enumerate(("h1", "h2", "h1")):
        read(host, offset, name)
        assert host.own_claim is None


def test_a_heartbeat_confirms_no_more_than_what_was_read():
    """Guards against a leader that is replaced while it cannot read the log."""

    async def work():
        log = fakelog.FakeLog()
        host = _Candidate(log, "h1", first_start=True)
        await _wait_until(lambda: host.leadership.own_claim)
        monotonic = clock.MonotonicClock()
        await asyncio.sleep(0.5)
        assert monotonic.now_ms() - host.leadership.confirmed_ms() < 500
        log.silent_reads.add(topics.LEADER)
        await asyncio.sleep(0.35)
        replaced_ms = monotonic.now_ms()
        log.put(topics.LEADER, orjson.dumps(["claim", "h2", 0]))
        await asyncio.sleep(0.6)
        assert orjson.loads(log.records_by_topic[topics.LEADER][-1])[0] == (
            "beat"
        )
        assert host.leadership.own_claim is not None
        assert host.leadership.confirmed_ms() < replaced_ms
        host.kill()

    builders.run(work())


def test_a_claim_is_confirmed_before_the_log_is_read_again():
    """Guards against a new leader that may order nothing for a while."""

    async def work():
        log = fakelog.FakeLog()
        log.read_s = 0.3
        host = _Candidate(log, "h1", first_start=True)
        before_ms = clock.MonotonicClock().now_ms()
        await _wait_until(lambda: host.leadership.own_claim)
        assert host.leadership.confirmed_ms() >= before_ms
        host.kill()

    builders.run(work())


def test_a_claim_that_is_read_late_is_not_confirmed_by_reading_it():
    """Guards against a leader that leads by a claim that was replaced.

    The claim was stored long before it is read, and the records after it are
    not read yet.
    """
    monotonic = clock.ManualClock(50_000)
    host = leadership.Leadership(None, monotonic, "h1", 0, True)
    host.feed.fresh_ms = 50_000
    monotonic.advance(9_000)
    record = orjson.dumps(["claim", "h1", 0])
    host._apply(ports.Entry(0, "", record))
    assert host.own_claim is not None
    assert host.confirmed_ms() <= 50_000


def test_a_leader_steps_down_when_it_reads_records_of_a_later_term():
    """Guards against a leader whose successor's claim has expired unread.

    It was suspended for longer than the log keeps records, and reads on from
    the oldest one that is left.
    """

    async def work(kind):
        log = fakelog.FakeLog()
        host = _Candidate(log, "h1", first_start=True)
        await _wait_until(lambda: host.leadership.own_claim)
        log.silent_reads.add(topics.LEADER)
        await asyncio.sleep(0.35)
        log.put(topics.LEADER, orjson.dumps(["claim", "h2", 0]))
        token = log.end(topics.LEADER)
        await asyncio.sleep(0.1)
        log.first_by_topic[topics.LEADER] = log.end(topics.LEADER)
        record = [kind, "h2", token]
        if kind == "load":
            record.append({})
        log.put(topics.LEADER, orjson.dumps(record))
        log.silent_reads.clear()
        await _wait_until(
            lambda: host.leadership.current == leadership.Claim("h2", token)
        )
        assert host.leadership.own_claim is None
        host.kill()

    for kind in ("beat", "load", "resign"):
        builders.run(work(kind), seconds=4)


def test_a_host_that_stops_while_it_claims_does_not_keep_the_lead():
    """Guards against a leader that is killed without having resigned."""

    async def work():
        log = fakelog.FakeLog()
        log.append_s_by_topic[topics.LEADER] = 0.1
        log.read_s = 0.2
        host = _Candidate(log, "h1", first_start=True)
        await _wait_until(lambda: log.end(topics.LEADER))
        assert host.leadership.own_claim is None
        await host.leadership.resign()
        await asyncio.sleep(0.5)
        assert host.leadership.own_claim is None
        records = map(orjson.loads, log.records_by_topic[topics.LEADER])
        assert ["resign", "h1", 1] in records
        host.kill()

    builders.run(work())


class _SlowHeartbeats:
    """Log of a host that needs a while for each heartbeat."""

    def __init__(self, log, delay_s):
        self._log = log
        self._delay_s = delay_s

    async def append(self, topic, records, **options):
        if orjson.loads(records[0])[0] == "beat":
            await asyncio.sleep(self._delay_s)
        return await self._log.append(topic, records, **options)

    async def read(self, topic, from_offset, **options):
        return await self._log.read(topic, from_offset, **options)


def test_slow_leaders_do_not_replace_each_other_forever():
    """Guards against a storm of leaders.

    In a simulated day with 40 hosts and 176 endpoints each new leader needed
    longer for its first work than the others waited for a heartbeat: leadership
    changed 19 times in 17 s, and nothing was started.
    """

    async def work():
        log = fakelog.FakeLog()
        hosts = [
            _Candidate(
                _SlowHeartbeats(log, 1.3), f"h{n}", 20 * n, first_start=True
            )
            for n in range(4)
        ]
        await asyncio.sleep(8)
        before = _tokens(log)
        await asyncio.sleep(3)
        assert _tokens(log) == before
        assert len(before) <= 4
        assert sum(h.leadership.own_claim is not None for h in hosts) == 1

    builders.run(work())


def test_a_host_that_is_too_slow_hands_over(monkeypatch):
    """Guards against a leader that keeps the lead without doing its work.

    In a simulated day with hosts of 0.12 cores such a leader went on sending
    heartbeats for 36 s while it started less than one task a second.
    """

    async def work():
        log = fakelog.FakeLog()
        slow = _Candidate(log, "slow", first_start=True)
        await _wait_until(lambda: slow.leadership.own_claim)
        # The sleeps of the slow host return late, as behind other work.
        sleep = asyncio.sleep

        async def late_sleep(seconds):
            late = asyncio.current_task() in slow.tasks
            await sleep(seconds + (0.5 if late else 0))

        monkeypatch.setattr(asyncio, "sleep", late_sleep)
        able = _Candidate(log, "able", delay_ms=50)
        await _wait_until(lambda: able.leadership.own_claim)
        await sleep(1.5)
        assert able.leadership.own_claim is not None
        assert slow.leadership.own_claim is None

    builders.run(work())


def test_an_abler_host_leads_before_a_reserve_host():
    """Guards against weak hosts that take over the work of a lost leader."""

    async def work():
        log = fakelog.FakeLog()
        first = _Candidate(log, "h1", first_start=True)
        await _wait_until(lambda: first.leadership.own_claim)
        reserve = _Candidate(log, "weak", reserve=True)
        able = _Candidate(log, "able", delay_ms=50)
        await asyncio.sleep(1)
        reads = log.reads
        await asyncio.sleep(1)
        # The leader and the able host read each heartbeat.
        assert log.reads - reads <= 14
        first.kill()
        await _wait_until(lambda: able.leadership.own_claim)
        able.kill()
        await _wait_until(lambda: reserve.leadership.own_claim)

    builders.run(work())


def test_reports_of_both_builds_are_read():
    """Guards against a report that hosts of another build cannot use.

    A leader of the earlier build sends no delays by cost. Nothing is decided
    by those of the leader before it.
    """

    async def work():
        log = fakelog.FakeLog()
        host = _Candidate(log, "h1", delay_ms=60_000)
        await _wait_until(host.leadership.feed.loaded.is_set)
        assert host.leadership.load_report(3_000) is None

        def read():
            report = host.leadership.load_report(3_000)
            return report and (report.load, report.ranked)

        both = ["load", "h2", 1, {"pool": []}, {"at_ms": 5}]
        log.put(topics.LEADER, orjson.dumps(both))
        await _wait_until(lambda: read() == ({"pool": []}, {"at_ms": 5}))
        assert 0 <= host.leadership.load_report(3_000).age_ms < 3_000
        log.put(topics.LEADER, orjson.dumps(["load", "h3", 2, {"pool": [1]}]))
        await _wait_until(lambda: read() == ({"pool": [1]}, None))
        await asyncio.sleep(0.05)
        assert host.leadership.load_report(10) is None
        host.kill()

    builders.run(work())


def test_the_report_without_delays_by_cost_is_sent_as_before():
    """Guards against a record that hosts of the earlier build skip."""

    async def work():
        log = fakelog.FakeLog()
        host = _Candidate(log, "h1", first_start=True)
        await _wait_until(lambda: host.leadership.own_claim)
        token = host.leadership.own_claim.token

        def sent():
            records = map(orjson.loads, log.records_by_topic[topics.LEADER])
            return [record for record in records if record[0] == "load"]

        host.leadership.report_load({"pool": []})
        await _wait_until(
            lambda: sent() == [["load", "h1", token, {"pool": []}]]
        )
        host.leadership.report_load({}, {"at_ms": 5})
        await _wait_until(lambda: len(sent()) == 2)
        assert sent()[1] == ["load", "h1", token, {}, {"at_ms": 5}]
        host.kill()

    builders.run(work())
