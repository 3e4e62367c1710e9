"""Tests of the state transitions of jobs, units and runs."""

import builders
from laburnumgate_placer import lifecycle
from laburnumgate_placer import model
from laburnumgate_placer import ordering
from laburnumgate_placer import progress
from laburnumgate_placer import reports
import pytest

_DONE = model.EndKind.DONE
_FAILED = model.EndKind.FAILED


def _started(tables, *steps, endpoints=None):
    entry = lifecycle.open_job(tables, builders.job("a" * 16, *steps))
    unit = next(iter(entry.units_by_key.values()))
    run = lifecycle.assign(tables, unit, endpoints or ["e1"] * unit.size)
    builders.start(tables, run)
    return entry, unit, run


def test_a_step_waits_for_all_tasks_of_the_steps_before_it():
    """Guards against a task that starts before its input is available."""
    tables = builders.tables()
    state = builders.add_endpoint(tables)
    first = builders.step(count=2)
    entry, _, run = _started(tables, first, builders.step(after=(0,)))
    assert entry.open_steps == {(0, 0)}
    lifecycle.apply_end(tables, state, builders.end(run.members[0], 1, _DONE))
    assert entry.open_steps == {(0, 0)}
    other = entry.units_by_key[model.UnitKey("a" * 16, 0, 0, 1)]
    second = lifecycle.assign(tables, other, ["e1"])
    builders.start(tables, second)
    lifecycle.apply_end(
        tables, state, builders.end(second.members[0], 2, _DONE)
    )
    assert entry.open_steps == {(0, 1)}
    assert not entry.state.final


@pytest.mark.parametrize("done", [False, True])
def test_a_unit_that_does_not_wait_is_not_assigned(done):
    """Guards against a run that is forgotten while it goes on."""
    tables = builders.tables()
    state = builders.add_endpoint(tables)
    other = builders.add_endpoint(tables, "e2")
    entry, unit, run = _started(tables, builders.step(count=2, gang=True))
    if done:
        end = builders.end(run.members[0], 1, _DONE)
        lifecycle.apply_end(tables, state, end)
    with pytest.raises(ValueError):
        lifecycle.assign(tables, unit, ["e2", "e2"])
    assert unit.run is run
    assert unit.last_run == run.number
    assert not other.members


def test_one_end_of_a_gang_stands_for_all_its_tasks():
    """Guards against a completed gang that is started again."""
    tables = builders.tables()
    state = builders.add_endpoint(tables)
    other = builders.add_endpoint(tables, "e2")
    entry, unit, run = _started(
        tables, builders.step(count=2, gang=True), endpoints=["e1", "e2"]
    )
    lifecycle.apply_end(tables, state, builders.end(run.members[0], 1, _DONE))
    assert entry.state == model.JobState.COMPLETED
    assert not tables.pending_stops
    assert other.used.gpu == 1
    lifecycle.apply_end(tables, other, builders.end(run.members[1], 1, _DONE))
    assert other.used.gpu == 0
    assert unit.run is None


def test_a_failed_gang_counts_one_failure_and_stops_the_rest():
    """Guards against one failure of a gang that counts as several attempts."""
    tables = builders.tables()
    state = builders.add_endpoint(tables)
    _, unit, run = _started(tables, builders.step(count=3, gang=True))
    broken = model.EndKind.BROKEN
    lifecycle.apply_end(tables, state, builders.end(run.members[0], 1, broken))
    assert [m.task.index for m in tables.pending_stops] == [1, 2]
    lifecycle.apply_end(tables, state, builders.end(run.members[1], 2, _FAILED))
    lifecycle.apply_end(tables, state, builders.end(run.members[2], 3, broken))
    assert unit.failures == 1
    assert unit.state == progress.UnitState.WAITING


def test_a_job_fails_after_its_last_attempt_and_not_before():
    """Guards against more runs than the queue's number of attempts."""
    tables = builders.tables()
    state = builders.add_endpoint(tables)
    entry, unit, run = _started(tables, builders.step())
    for number in range(1, 4):
        assert not entry.state.final
        end = builders.end(run.members[0], number, _FAILED)
        lifecycle.apply_end(tables, state, end)
        if number < 3:
            run = lifecycle.assign(tables, unit, ["e1"])
            builders.start(tables, run)
    assert entry.state == model.JobState.FAILED


def test_a_lapsed_run_uses_up_no_attempt():
    """Guards against a job that fails because its endpoints were lost."""
    tables = builders.tables()
    state = builders.add_endpoint(tables)
    _, unit, run = _started(tables, builders.step())
    lapsed = model.EndKind.LAPSED
    lifecycle.apply_end(tables, state, builders.end(run.members[0], 1, lapsed))
    assert unit.failures == 0
    assert unit.state == progress.UnitState.WAITING


def test_a_lasting_task_is_started_again_however_it_ends():
    """Guards against a long-running task that is marked as completed."""
    tables = builders.tables()
    state = builders.add_endpoint(tables)
    for kind in (_DONE, _FAILED, _FAILED, _FAILED, _FAILED):
        if not tables.entries_by_id:
            entry, unit, run = _started(
                tables, builders.step(long_running=True)
            )
        else:
            run = lifecycle.assign(tables, unit, ["e1"])
            builders.start(tables, run)
        end = builders.end(run.members[0], state.handled_end + 1, kind)
        lifecycle.apply_end(tables, state, end)
        assert unit.state == progress.UnitState.WAITING
        assert not entry.state.final


def test_room_is_free_only_when_a_stopped_run_is_gone():
    """Guards against overcommitting an endpoint."""
    tables = builders.tables()
    state = builders.add_endpoint(tables)
    _, _, run = _started(tables, builders.step(gpu=8))
    member = run.members[0]
    lifecycle.stop_run(tables, run, "test")
    assert state.free().gpu == 0
    report = builders.report(state, builders.row(member))
    reports.apply(tables, state, report, tables.monotonic.now_ms())
    assert state.free().gpu == 0
    ended = builders.end(member, 1, model.EndKind.STOPPED, "saved")
    report = builders.report(state, ended=[ended])
    reports.apply(tables, state, report, tables.monotonic.now_ms())
    assert state.free().gpu == 8
    assert run.unit.checkpoint == "saved"


def test_a_report_asked_for_before_an_order_was_answered_decides_nothing():
    """Guards against a run that is started twice.

    The report may have been generated before the start order arrived.
    """
    tables = builders.tables()
    state = builders.add_endpoint(tables)
    _, unit, run = _started(tables, builders.step())
    sent_ms = tables.monotonic.now_ms()
    run.members[0].report_valid_from_ms = sent_ms
    reports.apply(tables, state, builders.report(state), sent_ms)
    assert unit.run is run
    reports.apply(tables, state, builders.report(state), sent_ms + 1)
    assert unit.run is None


def test_a_run_whose_end_is_not_listed_yet_is_not_taken_for_absent():
    """Guards against a task that runs again though it was done.

    An endpoint lists 500 ends at a time, the lowest numbers first.
    """
    tables = builders.tables()
    state = builders.add_endpoint(
        tables, capacity=model.Resources(10**6, 10**6)
    )
    step = builders.step(count=501, gpu=0)
    entry = lifecycle.open_job(tables, builders.job("a" * 16, step))
    runs = []
    for unit in list(entry.units_by_key.values()):
        runs.append(lifecycle.assign(tables, unit, ["e1"]))
        builders.start(tables, runs[-1])
    ends = [
        builders.end(run.members[0], number, _DONE)
        for number, run in enumerate(runs, 1)
    ]
    sent_ms = tables.monotonic.now_ms() + 1
    first = builders.report(state, ended=ends[:500])
    reports.apply(tables, state, first, sent_ms)
    assert runs[500].unit.run is runs[500]
    reports.apply(tables, state, first, sent_ms)
    assert runs[500].unit.run is runs[500]
    last = builders.report(state, ended=ends[500:])
    reports.apply(tables, state, last, sent_ms)
    assert entry.state == model.JobState.COMPLETED


def test_an_unanswered_start_is_never_taken_for_absent():
    """Guards against a delayed start that is executed beside a new run."""
    tables = builders.tables()
    state = builders.add_endpoint(tables)
    _, unit, run = _started(tables, builders.step())
    run.members[0].report_valid_from_ms = 0
    run.members[0].present = False
    sent_ms = tables.monotonic.now_ms() + 10_000
    reports.apply(tables, state, builders.report(state), sent_ms)
    assert unit.run is run


def test_an_unknown_run_is_stopped_and_blocks_its_endpoint():
    """Guards against an unknown run that uses resources unnoticed."""
    tables = builders.tables()
    state = builders.add_endpoint(tables)
    _, _, run = _started(tables, builders.step())
    task = model.TaskKey("b" * 16, 0, 0, 0)
    stray = model.ReportedRun(task, 4, "", 0, 0.0)
    report = builders.report(state, stray, builders.row(run.members[0]))
    found = reports.apply(tables, state, report, tables.monotonic.now_ms())
    assert [row.task for row in found] == [task]
    assert tables.endpoints.usable("pool", set(), 200_000) == []


def test_a_task_that_was_taken_for_over_and_is_listed_is_stopped():
    """Guards against a task of a gang that goes on though it counts as over."""
    tables = builders.tables()
    state = builders.add_endpoint(tables)
    builders.add_endpoint(tables, "e2")
    _, unit, run = _started(
        tables, builders.step(count=2, gang=True), endpoints=["e1", "e2"]
    )
    builders.expire_leases(tables, state)
    assert unit.run is run
    report = builders.report(state, builders.row(run.members[0]))
    found = reports.apply(tables, state, report, tables.monotonic.now_ms())
    assert [row.task for row in found] == [run.members[0].task]


def test_an_assigned_run_gives_way_to_a_stray_of_its_task():
    """Guards against a start beside a run found since the assignment."""
    tables = builders.tables()
    builders.add_endpoint(tables)
    other = builders.add_endpoint(tables, "e2")
    entry = lifecycle.open_job(tables, builders.job("a" * 16))
    unit = next(iter(entry.units_by_key.values()))
    run = lifecycle.assign(tables, unit, ["e1"])
    now_ms = tables.monotonic.now_ms()
    stray = model.ReportedRun(run.members[0].task, 9, "", 0, 0.0)
    reports.apply(tables, other, builders.report(other, stray), now_ms)
    assert run.all_terminated()
    assert not ordering.waiting_steps(tables, set(), now_ms + 1_000)
    reports.apply(tables, other, builders.report(other), now_ms)
    assert ordering.waiting_steps(tables, set(), now_ms + 1_000)


@pytest.mark.parametrize("ended", [True, False])
def test_a_stray_on_an_endpoint_that_is_over_holds_no_task(ended):
    """Guards against a task that waits for a run that is gone."""
    tables = builders.tables()
    state = builders.add_endpoint(tables)
    entry = lifecycle.open_job(tables, builders.job("a" * 16))
    now_ms = tables.monotonic.now_ms()
    task = next(iter(entry.units_by_key.values())).tasks()[0]
    stray = model.ReportedRun(task, 9, "", 0, 0.0)
    reports.apply(tables, state, builders.report(state, stray), now_ms)
    assert not ordering.waiting_steps(tables, set(), now_ms)
    if ended:
        lifecycle.end_incarnation(tables, state, "test")
    else:
        lifecycle.forget_unknown_runs(tables, state)
    assert ordering.waiting_steps(tables, set(), now_ms)


def test_a_run_that_was_done_before_its_lease_expired_counts():
    """Guards against work that is repeated after a network partition."""
    tables = builders.tables()
    state = builders.add_endpoint(tables)
    other = builders.add_endpoint(tables, "e2")
    entry, unit, run = _started(tables, builders.step())
    late = builders.end(run.members[0], 1, _DONE)
    lifecycle.end_incarnation(tables, state, "test")
    again = lifecycle.assign(tables, unit, ["e2"])
    builders.start(tables, again)
    lifecycle.apply_end(tables, state, late)
    assert entry.state == model.JobState.COMPLETED
    assert [m.endpoint_id for m in tables.pending_stops] == ["e2"]
    assert other.used.gpu == 1


def test_occurrences_open_when_they_are_due():
    """Guards against a repeated job that starts before its time."""
    tables = builders.tables()
    unix_ms = tables.wall.now_ms()
    job = builders.job(
        first_start_ms=unix_ms + 500,
        interval_ms=1_000,
        occurrences=2,
        scheduled=True,
    )
    entry = lifecycle.open_job(tables, job)
    assert not entry.open_steps
    assert not entry.open_due_steps(unix_ms + 499, 0)
    assert entry.open_due_steps(unix_ms + 500, 0)
    assert entry.open_steps == {(0, 0)}
    assert entry.open_due_steps(unix_ms + 1_500, 0)
    assert entry.open_steps == {(0, 0), (1, 0)}


def test_progress_is_restored_from_its_record():
    """Guards against a new leader that loses runs, ends or failures."""
    tables = builders.tables()
    state = builders.add_endpoint(tables)
    entry, unit, run = _started(
        tables, builders.step(), builders.step(after=(0,))
    )
    lifecycle.apply_end(tables, state, builders.end(run.members[0], 1, _FAILED))
    run = lifecycle.assign(tables, unit, ["e1"])
    builders.start(tables, run)
    unit.checkpoint = "saved"
    restored = progress.JobEntry(entry.job, 0)
    progress.restore(restored, progress.encode(entry), 1_000_000, 0)
    copy = restored.units_by_key[unit.key]
    assert (copy.failures, copy.last_run, copy.checkpoint) == (1, 2, "saved")
    assert [m.endpoint_id for m in copy.run.members] == ["e1"]
    lifecycle.apply_end(tables, state, builders.end(run.members[0], 2, _DONE))
    restored = progress.JobEntry(entry.job, 0)
    progress.restore(restored, progress.encode(entry), 1_000_000, 0)
    assert restored.done_steps == {(0, 0)}
    assert restored.open_steps == {(0, 1)}


def _restored(tables, entry):
    copy = progress.JobEntry(entry.job, tables.monotonic.now_ms())
    progress.restore(copy, progress.encode(entry), 0, 0)
    tables.entries_by_id[entry.job.job_id] = copy
    return copy


@pytest.mark.parametrize("kind", [_FAILED, model.EndKind.BROKEN])
def test_a_failed_gang_counts_once_across_a_change_of_the_leader(kind):
    """Guards against one start too many after the leader changes.

    The end of the failed task is recorded and acknowledged, and the leader
    ends before the other tasks of the gang do.
    """
    tables = builders.tables()
    state = builders.add_endpoint(tables)
    other = builders.add_endpoint(tables, "e2")
    entry, unit, run = _started(
        tables, builders.step(count=3, gang=True), endpoints=["e1", "e2", "e2"]
    )
    lifecycle.apply_end(tables, state, builders.end(run.members[0], 1, _FAILED))
    unit = next(iter(_restored(tables, entry).units_by_key.values()))
    left = unit.run.members
    broken = model.EndKind.BROKEN
    lifecycle.apply_end(tables, other, builders.end(left[0], 1, kind))
    lifecycle.apply_end(tables, other, builders.end(left[1], 2, broken))
    assert unit.run is None
    assert unit.failures == 1


def test_a_failure_that_is_reported_late_counts():
    """Guards against one start too many after a run was given up.

    The lease of the first run expires while its endpoint is cut off. It turns
    out later that the run had failed.
    """
    queue = builders.replace(builders.QUEUE, attempts=2)
    tables = builders.tables(queue)
    state = builders.add_endpoint(tables)
    builders.add_endpoint(tables, "e2")
    entry, unit, first = _started(tables, builders.step())
    builders.expire_leases(tables, state)
    second = lifecycle.assign(tables, unit, ["e2"])
    builders.start(tables, second)
    late = builders.end(first.members[0], 1, _FAILED)
    lifecycle.apply_end(tables, state, late)
    assert not entry.state.final, "the second run may still complete the job"
    end = builders.end(second.members[0], 1, _FAILED)
    lifecycle.apply_end(tables, tables.endpoints.by_id["e2"], end)
    assert entry.state == model.JobState.FAILED


def test_a_late_failure_ends_a_job_that_waits_for_its_next_run():
    """Guards against a start after the last attempt has failed."""
    queue = builders.replace(builders.QUEUE, attempts=1)
    tables = builders.tables(queue)
    state = builders.add_endpoint(tables)
    entry, unit, run = _started(tables, builders.step())
    builders.expire_leases(tables, state)
    assert unit.run is None
    late = builders.end(run.members[0], 1, _FAILED)
    lifecycle.apply_end(tables, state, late)
    assert entry.state == model.JobState.FAILED
