"""Tests of what a host answers, logs and counts when it turns a job away."""

import asyncio
import logging

import builders
import fakelog
from laburnumgate_core import clock
from laburnumgate_placer import config_table
from laburnumgate_placer import events
from laburnumgate_placer import feed
from laburnumgate_placer import intake
from laburnumgate_placer import job_table
from laburnumgate_placer import leadership
from laburnumgate_placer import limits
from laburnumgate_placer import metrics
from laburnumgate_placer import model
from laburnumgate_placer import policy
from laburnumgate_placer import ports
from laburnumgate_placer import records
from laburnumgate_placer import topics
from laburnumgate_placer import writer
from laburnumgate_placer.overload import admission
import pytest

_BATCH = builders.replace(
    builders.QUEUE, priority=2, stretch=3.0, objective_ms=3_000
)
_LIMITED = model.Account(
    "mina", frozenset({"key-1"}), limit=model.Resources(0, 0, 4)
)
_LOAD = {"pool": [[], [32_000, 64_000, 8]]}


def _ranked(at_ms):
    part = {
        "steps": [[1e9, 500_000]],
        "queues": {"reviews": [9.0, 1.0]},
        "free": [0, 0, 0],
    }
    return {"at_ms": at_ms, "services": {"pool": part}}


class _Host:
    """The intake of one host, its log, and the report that it has read."""

    def __init__(self, *, setting=True, accounts=(), bounds=None):
        self.log = fakelog.FakeLog()
        monotonic = clock.MonotonicClock()
        self.wall = clock.ManualClock(1_000_000)
        self.report = leadership.LoadReport(_LOAD, _ranked(1_000_000), 400)
        self.config = config_table.ConfigTable()
        self.config.publish(1, builders.config(_BATCH, accounts=accounts))
        self.jobs = job_table.JobTable()
        self.jobs_feed = feed.Feed(
            self.log, monotonic, topics.JOBS, self._apply, wait_ms=50
        )
        self.submissions = writer.Writer(
            self.log, monotonic, topics.JOBS, "host-h1", 1
        )
        self.cancellations = writer.Writer(
            self.log, monotonic, topics.JOBS, "host-h1-cancel", 1
        )
        self.intake = intake.Intake(
            self.config,
            self.jobs_feed,
            self.jobs,
            self.jobs_feed,
            self.submissions,
            self.cancellations,
            self.wall,
            bounds or limits.Bounds(),
            lambda max_age_ms: self.report,
            policy.Policy(delay_cost_order=setting),
        )

    def _apply(self, entry: ports.Entry) -> None:
        self.jobs.apply(records.decode(entry.key, entry.value))

    async def submit(self, *jobs, wait_ms=900):
        """Submits jobs one after the other; returns the verdicts."""
        tasks = [
            asyncio.create_task(self.jobs_feed.run()),
            asyncio.create_task(self.submissions.run()),
        ]
        try:
            await self.jobs_feed.loaded.wait()
            return [await self.intake.submit(job, wait_ms) for job in jobs]
        finally:
            for task in tasks:
                task.cancel()


def _job(name="a", gpu=1):
    return builders.job(name * 16, builders.step(gpu=gpu), queue=_BATCH)


def _rejected():
    """Returns how many jobs were turned away so far, by reason."""
    return {
        labels["reason"]: value
        for labels, value in metrics.REJECTED_JOBS.get_all()
    }


def _rejections(caplog):
    number = events.Event.REFUSED.number
    return [r for r in caplog.records if getattr(r, "event", 0) == number]


def test_a_rejection_names_its_inputs_and_is_counted(caplog):
    """Guards against a rejection that nobody can explain."""
    caplog.set_level(logging.INFO)
    host = _Host()
    before = _rejected().get("backlog", 0)
    (verdict,) = builders.run(host.submit(_job()))
    assert verdict == intake.NotRun(
        "the work ahead of it takes 500000 ms", 30_000
    )
    (record,) = _rejections(caplog)
    assert record.cause == "backlog"
    assert record.delay_ms == 500_000
    assert record.loss > 0
    assert record.report_age_ms == 400
    assert record.retry_after_ms == 30_000
    assert _rejected()["backlog"] == before + 1
    assert not host.jobs.jobs_by_id


def test_a_unit_beyond_the_limit_is_rejected_without_a_report(caplog):
    """Guards against a job that is stored and never starts."""
    caplog.set_level(logging.INFO)
    host = _Host(setting=False, accounts=(_LIMITED,))
    host.report = None
    before = _rejected().get("account_limit", 0)
    first, second, third = builders.run(
        host.submit(_job(gpu=5), _job("b", gpu=5), _job("c", gpu=4))
    )
    # Other callers do not change the time to return.
    assert first.retry_after_ms == second.retry_after_ms == 30_000
    assert "gpu" in first.reason
    assert "account mina" in first.reason
    assert third == intake.Accepted()
    assert [r.cause for r in _rejections(caplog)] == ["account_limit"] * 2
    assert _rejected()["account_limit"] == before + 2


def test_a_job_too_large_to_be_stored_turns_no_other_away(caplog):
    """Guards against a record that is refused with those of all callers."""
    caplog.set_level(logging.INFO)
    host = _Host()
    host.report = None
    host.log.max_record_bytes = 262_144
    tiny = model.Step(1, model.Resources(0, 0, 0), estimate_ms=0)
    large = builders.job("a" * 16, *[tiny] * 20_000, queue=_BATCH)

    async def work():
        follow = asyncio.create_task(host.jobs_feed.run())
        send = asyncio.create_task(host.submissions.run())
        await host.jobs_feed.loaded.wait()
        verdicts = await asyncio.gather(
            host.intake.submit(large, 3_000),
            host.intake.submit(_job("b"), 600),
        )
        follow.cancel()
        send.cancel()
        return verdicts

    first, second = builders.run(work())
    assert second == intake.Accepted()
    assert isinstance(first, intake.TooLarge)
    assert "262144 bytes" in first.reason
    assert [r.job for r in _rejections(caplog)] == ["a" * 16]
    assert host.log.end(topics.JOBS) == 1


@pytest.mark.parametrize("at_once", [False, True])
def test_jobs_without_room_in_memory_are_turned_away(at_once, caplog):
    """Guards against jobs of many tasks that exhaust a leader's memory.

    60 jobs of 20,000 tasks, with bodies of 51 bytes, took 559 MB.
    """
    caplog.set_level(logging.INFO)
    bounds = limits.Bounds(max_jobs_bytes=80 << 20)
    host = _Host(setting=False, bounds=bounds)
    host.report = None
    jobs = [
        builders.job(f"{number:016x}", builders.step(count=20_000))
        for number in range(6)
    ]
    before = _rejected().get("memory", 0)
    if at_once:
        groups = [(job,) for job in jobs]
    else:
        groups = [jobs]

    async def submit():
        return await asyncio.gather(*(host.submit(*jobs) for jobs in groups))

    verdicts = [each for group in builders.run(submit()) for each in group]
    assert verdicts.count(intake.Accepted()) == 2
    refused = [v for v in verdicts if isinstance(v, intake.NotRun)]
    assert len(refused) == 4
    assert all(v.retry_after_ms > 0 for v in refused)
    assert {r.cause for r in _rejections(caplog)} == {"memory"}
    assert _rejected()["memory"] == before + 4
    (small,) = builders.run(host.submit(_job("b")))
    assert small == intake.Accepted()


def test_an_account_with_many_jobs_keeps_no_other_out():
    """Guards against one account that fills the memory for all jobs."""
    bounds = limits.Bounds(max_jobs_bytes=4 << 20)
    host = _Host(setting=False, bounds=bounds)
    host.report = None
    step = builders.step(count=300)
    jobs = [builders.job(f"{number:016x}", step) for number in range(30)]
    other = builders.job("b" * 16, step, account="other")
    *verdicts, last = builders.run(host.submit(*jobs, other))
    assert intake.Accepted() in verdicts
    assert any(isinstance(v, intake.NotRun) for v in verdicts)
    assert last == intake.Accepted()


def test_a_job_without_an_endpoint_delays_no_other_return():
    """Guards against 30 s for each caller after one impossible job.

    Callers that are turned away for the backlog return one after the other.
    """
    host = _Host()
    steps = [[1e9, 40_000]]
    host.report.ranked["services"]["pool"]["steps"] = steps
    before, impossible, after = builders.run(
        host.submit(_job(), _job("b", gpu=9), _job("c"))
    )
    assert impossible.retry_after_ms == admission.MAX_RETRY_MS
    assert before.retry_after_ms < admission.MAX_RETRY_MS
    assert after.retry_after_ms < admission.MAX_RETRY_MS


@pytest.mark.parametrize("job", [_job(), _job(gpu=5)])
def test_a_job_that_may_be_stored_is_not_answered_as_not_run(job):
    """Guards against "not run" for a job whose first attempt may run.

    The answer to the first attempt was lost. When it is repeated, the host
    would turn it away, for the backlog or for a limit set meanwhile.
    """
    host = _Host(accounts=())
    report, host.report = host.report, None

    async def work():
        host.log.silent_appends.add(topics.JOBS)
        (first,) = await host.submit(job, wait_ms=300)
        host.report = report
        host.config.publish(
            2, builders.config(_BATCH, accounts=(_LIMITED,), version=2)
        )
        before = _rejected()
        # A writer that has not met the silent log: the first attempt is open.
        host.intake._submissions = writer.Writer(
            host.log, clock.MonotonicClock(), topics.JOBS, "host-h2", 1
        )
        (second,) = await host.submit(job, wait_ms=300)
        assert _rejected() == before
        return first, second

    first, second = builders.run(work())
    assert isinstance(first, intake.MayHaveRun)
    assert isinstance(second, intake.MayHaveRun)
    # It was the decision that was answered, not the state of the log.
    assert "work ahead" in second.reason or "limit" in second.reason


@pytest.mark.parametrize("job", [_job(), _job(gpu=5)])
def test_a_job_that_another_host_stored_is_accepted(job):
    """Guards against "not run" for a job that another host accepted."""
    host = _Host(accounts=(_LIMITED,))

    async def work():
        host.log.put(topics.JOBS, records.encode(records.Submitted(job)))
        return await host.submit(job)

    assert builders.run(work()) == [intake.Accepted()]


def test_no_job_is_rejected_by_an_old_or_unreadable_report():
    """Guards against rejections for a backlog that is gone.

    A host that was cut off from the log reads old reports as if they were new.
    """
    host = _Host()
    host.wall.advance(admission.MAX_AGE_MS + 1)
    assert builders.run(host.submit(_job())) == [intake.Accepted()]
    for ranked in (None, {}, {"at_ms": 0, "services": {"pool": 1}}):
        host = _Host()
        host.report = leadership.LoadReport(_LOAD, ranked, 0)
        assert builders.run(host.submit(_job())) == [intake.Accepted()]


def test_without_the_setting_the_delay_by_cost_is_not_used():
    """Guards against changed decisions where the setting is off."""
    host = _Host(setting=False)
    assert builders.run(host.submit(_job())) == [intake.Accepted()]


async def _cancel(host, job_id, disturb):
    """Cancels a job after a disturbance; returns the verdict."""
    follow = asyncio.create_task(host.jobs_feed.run())
    send = asyncio.create_task(host.submissions.run())
    cancel = asyncio.create_task(host.cancellations.run())
    await host.jobs_feed.loaded.wait()
    disturb()
    verdict = await host.intake.cancel(job_id, "mina", 900)
    follow.cancel()
    send.cancel()
    cancel.cancel()
    return verdict


def test_a_cancellation_that_cannot_be_checked_is_not_answered_as_unknown():
    """Guards against a job that runs on after its caller was told it is gone.

    The log turned one host away, and another host had just accepted the job.
    """
    host = _Host()

    def turn_away():
        host.log.silent = True
        record = records.encode(records.Submitted(_job()))
        host.log.put(topics.JOBS, record)

    verdict = builders.run(_cancel(host, "a" * 16, turn_away))
    assert isinstance(verdict, intake.NotRun)


def test_the_cancellation_of_a_job_in_doubt_is_not_answered_as_unknown():
    """Guards against a submission that is stored after its cancellation."""
    host = _Host()
    host.report = None

    async def work():
        host.log.silent_appends.add(topics.JOBS)
        (verdict,) = await host.submit(_job(), wait_ms=300)
        assert isinstance(verdict, intake.MayHaveRun)
        return await _cancel(host, "a" * 16, lambda: None)

    assert isinstance(builders.run(work()), intake.MayHaveRun)


def test_the_cancellation_of_a_job_that_does_not_exist_is_answered_so():
    """Guards against callers that cancel an unknown job again and again."""
    host = _Host()
    verdict = builders.run(_cancel(host, "a" * 16, lambda: None))
    assert verdict == intake.NoSuchJob()


def test_a_job_that_was_accepted_is_never_said_not_to_run():
    """Guards against "not run" for a repeated submission that is not read."""

    async def play():
        host = _Host()
        job = builders.job()
        before = await host.intake.not_read(job.job_id, "no memory")
        host.jobs.apply(records.Submitted(job))
        return before, await host.intake.not_read(job.job_id, "no memory")

    before, after = builders.run(play())
    assert isinstance(before, intake.NotRun)
    assert isinstance(after, intake.MayHaveRun)
