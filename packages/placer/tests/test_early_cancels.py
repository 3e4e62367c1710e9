"""Tests of the cancellation of jobs that are not known yet."""

import asyncio
import itertools

import builders
import fakelog
import fakeworkers
from laburnumgate_placer import early_cancels
from laburnumgate_placer import host as host_module
from laburnumgate_placer import intake
from laburnumgate_placer import job_table
from laburnumgate_placer import leader as leader_module
from laburnumgate_placer import limits
from laburnumgate_placer import model
from laburnumgate_placer import ports
from laburnumgate_placer import records
from laburnumgate_placer import services
from laburnumgate_placer import topics

_BOUNDS = limits.Bounds(max_lease_ms=600, gang_ms=1_000)
_OPERATORS = "keyed.test-operators"
_LIST = "keyed.test-list"
_ID = "a" * 16
_MINA = early_cancels.digest("mina")
_LENA = early_cancels.digest("lena")


class _Link:
    """The log as one host reaches it; a cut holds its appends up."""

    def __init__(self, log):
        self._log = log
        self._whole = asyncio.Event()
        self._whole.set()
        self.held = 0
        self.jobs_appends = 0

    def cut(self):
        self._whole.clear()

    def heal(self):
        self._whole.set()

    async def append(self, topic, encoded, *, timeout_ms, **fields):
        if topic == topics.JOBS and encoded:
            self.jobs_appends += 1
        if self._whole.is_set():
            return await self._log.append(
                topic, encoded, timeout_ms=timeout_ms, **fields
            )
        self.held += 1
        asyncio.create_task(self._append_late(topic, encoded, fields))
        await asyncio.sleep(timeout_ms / 1000)
        return ports.Unknown("cut")

    async def _append_late(self, topic, encoded, fields):
        await self._whole.wait()
        await self._log.append(topic, encoded, timeout_ms=100, **fields)

    async def read(self, topic, from_offset, *, wait_ms, timeout_ms):
        if not self._whole.is_set():
            await asyncio.sleep(timeout_ms / 1000)
            return ports.Unknown("cut")
        return await self._log.read(
            topic, from_offset, wait_ms=wait_ms, timeout_ms=timeout_ms
        )

    async def newest(self, topic, after, *, timeout_ms):
        return await self._log.newest(topic, after, timeout_ms=timeout_ms)


class _System:
    """Hosts with a link each, one log and one endpoint."""

    def __init__(self):
        self.log = fakelog.FakeLog()
        self.worker = fakeworkers.FakeWorker("e1")
        self.endpoints = fakeworkers.FakeEndpoints(self.worker)
        self.log.put(_OPERATORS, records.encode_keyed("config", b"1"))
        self.log.put(_LIST, records.encode_keyed("e1", b"1"))
        self.links = {}
        self.tasks = {}

    def add_host(self, name, first_start=False) -> host_module.Host:
        self.links[name] = _Link(self.log)
        host = host_module.Host(
            name,
            services.Services(
                log=self.links[name],
                endpoints=self.endpoints,
                advisor=None,
                machines=None,
                decode_endpoint=lambda entry: builders.endpoint(entry.key),
                apply_operator_entry=lambda table, entry: table.publish(
                    entry.offset, builders.config()
                ),
                encode_wave_state=lambda wave, done: ("", b""),
                operator_topic=_OPERATORS,
                list_topic=_LIST,
                status_topic="keyed.test-status",
            ),
            _BOUNDS,
            claim_delay_ms=0 if first_start else 100,
            first_start=first_start,
        )
        self.tasks[name] = asyncio.create_task(host.run())
        return host

    def kill(self, name):
        self.tasks.pop(name).cancel()


async def _start(*names):
    """Returns a system and its hosts, of which the first one leads."""
    system = _System()
    hosts = [system.add_host("h0", first_start=True)]
    await _until(lambda: hosts[0].leader and hosts[0].leader.recovered)
    hosts.extend(system.add_host(name) for name in names)
    await _until(lambda: all(host.ready() for host in hosts))
    return system, *hosts


async def _until(condition):
    while not condition():
        await asyncio.sleep(0.005)


async def _submit_in_doubt(system, host, name):
    """Submits the job at a host that is then cut off."""
    system.links[name].cut()
    verdict = await host.intake.submit(builders.job(_ID), 900)
    assert isinstance(verdict, intake.MayHaveRun)


def _states(system):
    """Returns the recorded state of the job, None if there is none."""
    newest = {e.key: e.value for e in system.log._entries(topics.JOBS, 0)}
    value = newest.get(f"e/{_ID}")
    return records.decode(f"e/{_ID}", value).state if value else None


def test_a_job_that_is_stored_after_its_cancellation_does_not_run():
    """Guards against a job that runs after its DELETE was answered 410.

    Its submission was in doubt at a host that the log did not answer.
    """

    async def work():
        system, leader, taker, other = await _start("h1", "h2")
        await _submit_in_doubt(system, taker, "h1")
        verdict = await other.intake.cancel(_ID, "mina", 3_000)
        assert verdict == intake.NoSuchJob()
        system.links["h1"].heal()
        await _until(lambda: _ID in leader.jobs.jobs_by_id)
        await _until(lambda: _states(system) == model.JobState.CANCELLED)
        await asyncio.sleep(0.3)
        assert not system.worker.starts
        assert leader.jobs.pending("reviews") == 0
        assert await other.intake.state(_ID, "mina") == intake.Found(
            model.JobState.CANCELLED
        )

    builders.run(work())


def test_the_host_with_the_submission_in_doubt_can_cancel_it():
    """Guards against a caller that can't cancel where it submitted."""

    async def work():
        system, _, taker = await _start("h1")
        await _submit_in_doubt(system, taker, "h1")
        answer = await taker.intake.cancel(_ID, "mina", 1_000)
        assert isinstance(answer, intake.MayHaveRun)
        system.links["h1"].heal()
        await _until(lambda: _ID in taker.jobs.jobs_by_id)
        # The call with the submission is still waited for.
        while isinstance(answer, intake.MayHaveRun):
            answer = await taker.intake.cancel(_ID, "mina", 3_000)
        assert answer == intake.Accepted()
        await _until(lambda: _states(system) == model.JobState.CANCELLED)

    builders.run(work())


def test_a_leader_that_joins_in_between_does_not_start_the_job():
    """Guards against a cancellation that a later leader does not find.

    It reads the newest record of each key, among them that of the cancelling.
    """

    async def work():
        system, _, taker, other = await _start("h1", "h2")
        await _submit_in_doubt(system, taker, "h1")
        verdict = await other.intake.cancel(_ID, "mina", 3_000)
        assert verdict == intake.NoSuchJob()
        for name in ("h0", "h2"):
            system.kill(name)
        joined = system.add_host("h3")
        await _until(lambda: joined.leader and joined.leader.recovered)
        system.links["h1"].heal()
        await _until(lambda: _states(system) == model.JobState.CANCELLED)
        system.kill("h3")
        last = system.add_host("h4")
        await _until(lambda: last.leader and last.leader.recovered)
        await asyncio.sleep(0.3)
        assert not system.worker.starts

    builders.run(work())


def test_another_account_cannot_cancel_a_job_that_it_does_not_see():
    """Guards against an account that cancels the jobs of others."""

    async def work():
        system, _, taker, other = await _start("h1", "h2")
        await _submit_in_doubt(system, taker, "h1")
        verdict = await other.intake.cancel(_ID, "lena", 3_000)
        assert verdict == intake.NoSuchJob()
        system.links["h1"].heal()
        await _until(lambda: system.worker.starts)
        verdict = await other.intake.cancel(_ID, "lena", 3_000)
        assert verdict == intake.NoSuchJob()
        system.worker.end_all()
        await _until(lambda: _states(system) == model.JobState.COMPLETED)

    builders.run(work())


def test_a_submission_that_is_repeated_after_the_cancellation_does_not_run():
    """Guards against a repeated call that undoes a cancellation."""

    async def work():
        system, leader, taker, other = await _start("h1", "h2")
        await _submit_in_doubt(system, taker, "h1")
        await other.intake.cancel(_ID, "mina", 3_000)
        verdict = await leader.intake.submit(builders.job(_ID), 3_000)
        assert verdict == intake.Accepted()
        system.links["h1"].heal()
        await _until(lambda: _states(system) == model.JobState.CANCELLED)
        await asyncio.sleep(0.3)
        assert not system.worker.starts

    builders.run(work())


def test_a_cancellation_that_is_not_stored_is_not_acknowledged():
    """Guards against a 410 without anything that keeps the job out."""

    async def work():
        system, _, _, other = await _start("h1", "h2")
        system.links["h2"].cut()
        verdict = await other.intake.cancel(_ID, "mina", 900)
        assert isinstance(verdict, intake.NotRun | intake.MayHaveRun)
        system.links["h2"].heal()
        system.log.append_s_by_topic[topics.JOBS] = 2.0
        verdict = await other.intake.cancel(_ID, "mina", 900)
        assert isinstance(verdict, intake.NotRun | intake.MayHaveRun)

    builders.run(work())


def test_a_crowd_of_cancellations_costs_few_appends(monkeypatch):
    """Guards against callers that use up the rate of writes of all hosts."""
    monkeypatch.setattr(early_cancels, "MAX_COUNT_PER_ACCOUNT", 60)

    async def work():
        system, leader, other = await _start("h1")
        ids = [f"{number:016x}" for number in range(400)]
        began = asyncio.get_running_loop().time()
        verdicts = await asyncio.gather(
            *(other.intake.cancel(each, "mina", 2_000) for each in ids)
        )
        took_s = asyncio.get_running_loop().time() - began
        interval_s = host_module.EARLY_CANCEL_INTERVAL_MS / 1000
        appends = system.links["h1"].jobs_appends
        assert appends <= took_s / interval_s + 1
        stored = verdicts.count(intake.NoSuchJob())
        await asyncio.sleep(0.1)
        assert stored <= len(leader.jobs.early_cancels)
        assert len(leader.jobs.early_cancels) <= (
            appends * host_module.EARLY_CANCEL_BATCH
        )
        # Beyond its bound, the account is told when to come back.
        verdict = await other.intake.cancel("f" * 16, "mina", 2_000)
        assert isinstance(verdict, intake.NotRun)
        assert verdict.retry_after_ms >= early_cancels.MIN_RETRY_AFTER_MS
        verdict = await other.intake.cancel("f" * 16, "lena", 2_000)
        assert verdict == intake.NoSuchJob()

    builders.run(work())


def test_a_repeated_cancellation_costs_no_append():
    """Guards against a write for each of the calls of a patient caller."""

    async def work():
        system, _, other = await _start("h1")
        await other.intake.cancel(_ID, "mina", 2_000)
        await _until(lambda: len(other.jobs.early_cancels))
        appends = system.links["h1"].jobs_appends
        for _ in range(3):
            verdict = await other.intake.cancel(_ID, "mina", 2_000)
            assert verdict == intake.NoSuchJob()
        assert system.links["h1"].jobs_appends == appends

    builders.run(work())


def test_expired_cancellations_are_removed_from_the_log(monkeypatch):
    """Guards against keys that the log keeps for good."""
    monkeypatch.setattr(early_cancels, "LIFETIME_MS", 300)
    monkeypatch.setattr(leader_module, "CLEAN_UP_INTERVAL_MS", 200)

    async def work():
        system, leader, other = await _start("h1")
        await other.intake.cancel(_ID, "mina", 2_000)
        await _until(lambda: len(leader.jobs.early_cancels))
        await _until(lambda: not len(leader.jobs.early_cancels))
        page = await system.log.newest(topics.JOBS, "", timeout_ms=100)
        assert not page.entries

    builders.run(work())


def test_the_order_of_the_records_does_not_matter():
    """Guards against a snapshot, which is sorted by key, that reads otherwise.

    A cancellation by another account changes nothing in any order.
    """
    submitted = records.Submitted(builders.job(_ID))
    own = records.CancelledEarly(_ID, _MINA, 1)
    other = records.CancelledEarly(_ID, _LENA, 1)
    for order in itertools.permutations((submitted, own, other)):
        table = job_table.JobTable()
        for record in order:
            table.apply(record)
        assert table.state(_ID) == model.JobState.CANCELLED
        assert table.pending("reviews") == 0
    for order in itertools.permutations((submitted, other)):
        table = job_table.JobTable()
        for record in order:
            table.apply(record)
        assert table.state(_ID) == model.JobState.QUEUED
        assert table.pending("reviews") == 1


def test_a_cancellation_is_kept_until_the_end_of_its_job_is_recorded():
    """Guards against a job that starts once its cancellation has expired."""
    table = job_table.JobTable()
    table.apply(records.CancelledEarly(_ID, _MINA, 0))
    table.apply(records.Submitted(builders.job(_ID)))
    later_ms = 2 * early_cancels.LIFETIME_MS
    assert not table.expired_early_cancels(later_ms)
    table.apply(records.StateChanged(_ID, model.JobState.CANCELLED, 1))
    assert table.expired_early_cancels(later_ms) == [(_ID, _MINA)]
    table.apply(records.EarlyCancelDropped(_ID, _MINA))
    assert table.state(_ID) == model.JobState.CANCELLED
    assert not len(table.early_cancels)


def test_cancellations_are_bounded_in_number_and_age():
    """Guards against callers that fill the memory of all hosts."""
    cancels = early_cancels.EarlyCancels()
    for number in range(early_cancels.MAX_COUNT_PER_ACCOUNT):
        assert cancels.retry_after_ms("mina", 0) is None
        cancels.add(f"{number:016x}", _MINA, 0)
    assert cancels.retry_after_ms("mina", 0) == (
        early_cancels.MAX_RETRY_AFTER_MS
    )
    assert cancels.retry_after_ms("lena", 0) is None
    assert cancels.lasting(f"{0:016x}", "mina", early_cancels.REFRESH_MS - 1)
    assert not cancels.lasting(f"{0:016x}", "mina", early_cancels.REFRESH_MS)
    assert not cancels.expired(early_cancels.LIFETIME_MS)
    # A clock that was far ahead does not make them last.
    for now_ms in (early_cancels.LIFETIME_MS + 1, -2 * 10**9):
        expired = cancels.expired(now_ms)
        assert len(expired) == early_cancels.MAX_COUNT_PER_ACCOUNT
    for each in expired:
        cancels.remove(*each)
    assert not len(cancels)


def test_records_of_cancellations_are_read_as_written():
    """Guards against a record that one host writes and another skips."""
    for record in (
        records.CancelledEarly(_ID, _MINA, 7),
        records.EarlyCancelDropped(_ID, _MINA),
    ):
        encoded = records.encode(record)
        end = 1 + encoded[0]
        key, value = encoded[1:end].decode(), encoded[end:] or None
        assert records.decode(key, value) == record
