"""Tests of the records of a leader: their sizes, and what waits for them."""

import asyncio

import builders
import fakelog
from laburnumgate_placer import lifecycle
from laburnumgate_placer import progress
from laburnumgate_placer import recorder as recorder_module
from laburnumgate_placer import records
from laburnumgate_placer import topics

# Limits of the platform's log.
_MAX_RECORD_BYTES = 262_144
_MAX_CALL_BYTES = 2_097_152
_ENDPOINT = "5c0e7a21d94b36f8-5c0e7a21d94b36f8"


def _assign_jobs(tables, jobs, tasks) -> None:
    """Assigns all tasks of new jobs to one endpoint."""
    builders.add_endpoint(tables, _ENDPOINT)
    for number in range(jobs):
        job = builders.job(f"{number:016x}", builders.step(tasks))
        entry = lifecycle.open_job(tables, job)
        for unit in entry.units_by_key.values():
            lifecycle.assign(tables, unit, [_ENDPOINT])


async def _with_recorder(log, tables, work):
    recorder = recorder_module.Recorder(log, tables, "keyed.status")
    task = asyncio.create_task(recorder.run_writers())
    try:
        return await work(recorder)
    finally:
        task.cancel()


def test_a_flush_larger_than_a_call_to_the_log_is_stored():
    """Guards against a flush that is refused for its size without end."""
    tables = builders.tables()
    log = fakelog.FakeLog()
    log.max_call_bytes = _MAX_CALL_BYTES
    _assign_jobs(tables, jobs=300, tasks=150)
    runs = builders.run(
        _with_recorder(log, tables, lambda recorder: recorder.flush())
    )
    assert len(runs) == 300 * 150
    assert sum(size for _, size in log.sizes) > _MAX_CALL_BYTES
    assert len(log.records_by_topic[topics.PROGRESS]) == 300


def test_a_flush_uploads_little_in_one_call():
    """Guards against calls that time out over a slow link."""
    tables = builders.tables()
    log = fakelog.FakeLog()
    _assign_jobs(tables, jobs=50, tasks=150)
    builders.run(_with_recorder(log, tables, lambda recorder: recorder.flush()))
    assert sum(size for _, size in log.sizes) > 300_000
    assert all(size <= 250_000 for _, size in log.sizes)


def test_nothing_starts_while_a_part_of_the_flush_is_not_stored():
    """Guards against runs and acknowledgements ahead of their records."""
    tables = builders.tables()
    log = fakelog.FakeLog()
    _assign_jobs(tables, jobs=50, tasks=150)
    state = tables.endpoints.by_id[_ENDPOINT]
    state.handled_end = 3

    async def work(recorder):
        flush = asyncio.create_task(recorder.flush())
        while not log.records_by_topic.get(topics.PROGRESS):
            await asyncio.sleep(0)
        log.refuse = 1_000
        await asyncio.sleep(0.15)
        stored = len(log.records_by_topic[topics.PROGRESS])
        assert 0 < stored < 50
        assert not flush.done()
        assert state.acked_end == 0
        log.refuse = 0
        runs = await flush
        assert len(log.records_by_topic[topics.PROGRESS]) == 50
        return runs

    runs = builders.run(_with_recorder(log, tables, work))
    assert len(runs) == 50 * 150
    assert state.acked_end == 3


def test_no_end_of_the_next_life_is_acknowledged_by_an_earlier_record():
    """Guards against a done task that runs again after a restart.

    The endpoint restarts under its id while the ends of its earlier life are
    being recorded.
    """
    tables = builders.tables()
    log = fakelog.FakeLog()
    _assign_jobs(tables, jobs=1, tasks=1)
    before = tables.endpoints.by_id[_ENDPOINT]
    before.handled_end = 3

    async def restart(recorder):
        flush = asyncio.create_task(recorder.flush())
        await asyncio.sleep(0)
        lifecycle.end_incarnation(tables, before, "test")
        after = builders.add_endpoint(tables, _ENDPOINT, born_ms=2)
        after.handled_end = 4
        await flush
        return after

    after = builders.run(_with_recorder(log, tables, restart))
    assert before.acked_end == 3
    assert after.acked_end == 0


def test_the_records_of_an_expired_job_are_dropped_together():
    """Guards against a job that runs again because only its state is gone."""
    tables = builders.tables()
    log = fakelog.FakeLog()
    job_ids = [f"{number:016x}" for number in range(10_000)]

    async def work(recorder):
        await recorder.drop(job_ids)

    builders.run(_with_recorder(log, tables, work))
    assert all(size <= 250_000 for _, size in log.sizes)
    assert all(answer.end_offset % 3 == 0 for answer in log.answers())
    assert len(log.records_by_topic[topics.JOBS]) == 30_000


def _set_limits(log) -> None:
    log.max_call_bytes = _MAX_CALL_BYTES
    log.max_record_bytes = _MAX_RECORD_BYTES


def test_a_job_with_thousands_of_running_tasks_is_stored():
    """Guards against one large job whose record blocks all others."""
    tables = builders.tables()
    log = fakelog.FakeLog()
    _set_limits(log)
    _assign_jobs(tables, jobs=1, tasks=6_000)
    runs = builders.run(
        _with_recorder(log, tables, lambda recorder: recorder.flush())
    )
    assert len(runs) == 6_000


def test_a_job_with_thousands_of_done_tasks_is_stored():
    """Guards against a step that blocks the log before its last task ends."""
    tables = builders.tables()
    log = fakelog.FakeLog()
    _set_limits(log)
    _assign_jobs(tables, jobs=1, tasks=20_000)
    (entry,) = tables.entries_by_id.values()
    *done, _ = entry.units_by_key.values()
    for unit in done:
        unit.run = None
        unit.state = progress.UnitState.DONE
    runs = builders.run(
        _with_recorder(log, tables, lambda recorder: recorder.flush())
    )
    assert runs is not None


def test_a_large_gang_is_stored():
    """Guards against a gang whose members exceed the size of a record."""
    tables = builders.tables()
    log = fakelog.FakeLog()
    _set_limits(log)
    builders.add_endpoint(tables, _ENDPOINT)
    job = builders.job("a" * 16, builders.step(8_000, gang=True))
    (unit,) = lifecycle.open_job(tables, job).units_by_key.values()
    lifecycle.assign(tables, unit, [_ENDPOINT] * 8_000)
    runs = builders.run(
        _with_recorder(log, tables, lambda recorder: recorder.flush())
    )
    assert len(runs) == 1


def test_a_change_of_one_task_stores_one_part():
    """Guards against uploads that grow with the size of a job."""
    tables = builders.tables()
    log = fakelog.FakeLog()
    _assign_jobs(tables, jobs=1, tasks=2_000)
    (entry,) = tables.entries_by_id.values()

    async def work(recorder):
        await recorder.flush()
        run = entry.runs()[1_000]
        lifecycle.stop_run(tables, run, "test")
        stored = log.end(topics.PROGRESS)
        assert await recorder.flush() is not None
        return log.records_by_topic[topics.PROGRESS][stored:]

    (record,) = builders.run(_with_recorder(log, tables, work))
    assert record[1:].startswith(entry.job.job_id.encode() + b"/5")


def test_all_parts_of_an_ended_job_are_dropped():
    """Guards against a topic that grows with each large job."""
    tables = builders.tables()
    log = fakelog.FakeLog()
    _assign_jobs(tables, jobs=1, tasks=450)
    (job_id,) = tables.entries_by_id

    async def work(recorder):
        await recorder.flush()
        lifecycle.cancel_job(tables, job_id)
        await recorder.flush()
        assert log.end(topics.PROGRESS) == 6
        await recorder.flush()
        return log.records_by_topic[topics.PROGRESS][6:]

    dropped = builders.run(_with_recorder(log, tables, work))
    assert sorted(record[1:].decode() for record in dropped) == [
        job_id,
        f"{job_id}/1",
        f"{job_id}/2",
    ]
    assert not tables.entries_by_id


def test_the_speeds_of_a_large_pool_are_stored():
    """Guards against a pool whose size blocks the records of all jobs."""
    tables = builders.tables()
    log = fakelog.FakeLog()
    _set_limits(log)
    speeds = {f"{number:016x}": 0.25 for number in range(11_000)}
    tables.durations.speeds.restore(speeds)

    async def work(recorder):
        await recorder.save_speeds()
        large = _values(log, topics.SPEEDS_KEY)
        for endpoint_id in list(speeds)[100:]:
            tables.durations.speeds.discard(endpoint_id)
        await recorder.save_speeds()
        return large, _values(log, topics.SPEEDS_KEY)

    large, small = builders.run(_with_recorder(log, tables, work))
    assert records.decode_parts(large) == speeds
    assert list(small) == [0]
    assert len(records.decode_parts(small)) == 100


def test_the_waves_of_a_large_pool_are_stored():
    """Guards against waves of upkeep that block the records of all jobs."""
    tables = builders.tables()
    log = fakelog.FakeLog()
    _set_limits(log)
    waves = {
        str(wave): [f"{number:016x}" for number in range(wave * 7_000)]
        for wave in (1, 2)
    }

    async def work(recorder):
        await recorder.save_waves(waves)
        return _values(log, topics.WAVES_KEY)

    value_by_part = builders.run(_with_recorder(log, tables, work))
    assert records.decode_parts(value_by_part) == waves


def _values(log, key) -> dict[int, bytes]:
    """Returns the stored parts of a record."""
    value_by_part = {}
    for entry in log._entries(topics.PROGRESS, 0):
        found, part = records.decode_progress_key(entry.key)
        if found == key:
            value_by_part[part] = entry.value
    return {p: v for p, v in value_by_part.items() if v is not None}
