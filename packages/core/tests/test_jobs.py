"""Tests of the job table built from the jobs stream."""

import dataclasses

from laburnumgate_core import jobs
from laburnumgate_core import model
from laburnumgate_core import records
from laburnumgate_core import verdict

SPEC = model.JobSpec(kind="k", parts=2, accelerators_per_part=4, run_ms=100)


def submitted(account: str = "a") -> records.Submitted:
    return records.Submitted("r1", account, SPEC, "z", "h", 1, 1, 0)


def entry(offset: int, *batch: records.JobRecord) -> records.Entry:
    return records.Entry(offset, f"a-{offset}", records.encode_jobs(batch))


def test_first_record_of_an_id_wins():
    """Guards against a second submission replacing the first."""
    table = jobs.JobTable()
    assert table.apply_entry(entry(1, submitted("a"))) == (True,)
    assert table.apply_entry(entry(2, submitted("b"))) == (False,)
    assert table.get("r1").account == "a"


def test_a_refusal_fences_a_later_submission():
    """Guards against reporting `NotRun` for a request that is then started."""
    table = jobs.JobTable()
    table.apply_entry(entry(1, records.Refused("r1", "h", "no", 1)))
    table.apply_entry(entry(2, submitted()))
    assert table.get("r1").outcome == verdict.NotRun("no")


def test_provisional_record_gives_way_to_the_log():
    """Guards against a provisional record that overrides a committed one."""
    table = jobs.JobTable()
    table.add_provisional("p-0", 0, submitted("mine"))
    assert table.get("r1").account == "mine"
    table.apply_entry(entry(1, submitted("theirs")))
    assert table.get("r1").account == "theirs"


def test_malformed_entry_does_not_stop_later_ones():
    """Guards against a malformed entry that blocks the stream."""
    table = jobs.JobTable()
    table.apply_entry(records.Entry(1, "x", "not json"))
    table.apply_entry(entry(2, submitted()))
    assert table.skipped_entries == 1
    assert table.get("r1") is not None


def test_a_resumed_run_without_checkpoint_is_not_queued_again():
    """Guards against a second run of a non-idempotent request.

    Its resumed run may only be followed by another one if it left a checkpoint.
    """
    spec = dataclasses.replace(SPEC, idempotent=False, checkpointable=True)
    job = jobs.apply(None, dataclasses.replace(submitted(), spec=spec))
    for run, checkpoint in ((1, "c"), (2, "")):
        job = jobs.apply(
            job, records.Starting("r1", run, "z", ("e",), ("b",), 2)
        )
        job = jobs.apply(
            job, records.Requeued("r1", run, "lost", True, 3, checkpoint)
        )
        assert (job.outcome is None) == bool(checkpoint)
    assert job.outcome == verdict.MayHaveRun("lost")


def test_not_run_is_told_only_if_the_log_proves_it():
    """Guards G5 against `NotRun` for a job that may have been started.

    A host without access to the log may have started an idempotent job, and a
    `Starting` record in the log contradicts a later `NotRun`.
    """
    cancelled = records.Cancelled("r1", 2)
    once = dataclasses.replace(SPEC, idempotent=False)
    waiting = jobs.apply(None, dataclasses.replace(submitted(), spec=once))
    assert isinstance(jobs.apply(waiting, cancelled).outcome, verdict.NotRun)
    repeatable = jobs.apply(jobs.apply(None, submitted()), cancelled)
    assert isinstance(repeatable.outcome, verdict.MayHaveRun)
    started = jobs.apply(
        waiting, records.Starting("r1", 1, "z", ("e",), ("b",), 2)
    )
    claimed = records.Ended("r1", 1, verdict.NotRun("late"), 3)
    assert isinstance(jobs.apply(started, claimed).outcome, verdict.MayHaveRun)


def test_a_provisional_cancellation_tells_no_outcome():
    """Guards against `NotRun` for a job whose start precedes the cancellation.

    The log may order a `Starting` record before the provisional cancellation.
    """
    table = jobs.JobTable()
    spec = dataclasses.replace(SPEC, idempotent=False)
    table.apply_entry(entry(1, dataclasses.replace(submitted(), spec=spec)))
    table.add_provisional("p-0", 0, records.Cancelled("r1", 2))
    assert table.get("r1").outcome is None
    assert table.open_ids("z") == []
    start = records.Starting("r1", 1, "z", ("e",), ("b",), 2)
    assert table.apply_entry(entry(2, start)) == (True,)
    assert table.get("r1").state is jobs.JobState.ACTIVE


def test_a_forgotten_id_is_not_accepted_again():
    """Guards against running a request again after its id has expired."""
    table = jobs.JobTable(retention_ms=100_000)
    table.apply_entry(entry(1, submitted()))
    ended = records.Ended("r1", 0, verdict.Ran(("x",)), 50_000)
    table.apply_entry(entry(2, ended))
    for offset in range(3, 8):
        later = dataclasses.replace(
            submitted(), job_id=f"o{offset}", at_ms=10**9, issued_at_ms=10**9
        )
        table.apply_entry(entry(offset, later))
    assert table.get("r1") is None
    assert table.apply_entry(entry(8, submitted())) == (False,)
    fence = records.Refused("r1", "h", "no", 10**9, issued_at_ms=1)
    assert table.apply_entry(entry(9, fence)) == (False,)


def test_an_id_issued_ahead_of_time_is_remembered_until_then():
    """Guards against expiring an id whose copy would still be accepted."""
    table = jobs.JobTable(retention_ms=100_000)
    ahead = dataclasses.replace(submitted(), issued_at_ms=250_000)
    table.apply_entry(entry(1, ahead))
    table.apply_entry(entry(2, records.Ended("r1", 0, verdict.Ran(()), 2)))
    for offset in range(3, 8):
        other = dataclasses.replace(
            submitted(), job_id=f"o{offset}", at_ms=200_000
        )
        table.apply_entry(entry(offset, other))
    assert table.time_ms == 200_000
    assert table.apply_entry(entry(8, ahead)) == (False,)


def test_a_shared_record_that_was_read_back_already_is_no_overlay():
    """Guards against a provisional record that no log entry ever clears."""
    table = jobs.JobTable()
    table.apply_entry(entry(1, submitted()))
    assert not table.add_provisional("a-1", 0, submitted("late"))
    assert table.pending == 0


def test_a_table_from_a_snapshot_forgets_at_the_same_offset():
    """Guards against a restarted host that expires ids at another offset."""
    table = jobs.JobTable(retention_ms=100_000)
    table.apply_entry(entry(1, submitted()))
    table.apply_entry(entry(2, records.Ended("r1", 0, verdict.Ran(()), 2)))
    restarted = jobs.JobTable(retention_ms=100_000)
    assert restarted.adopt(table.state())
    for offset in range(3, 8):
        other = dataclasses.replace(
            submitted(), job_id=f"o{offset}", at_ms=200_000
        )
        table.apply_entry(entry(offset, other))
        restarted.apply_entry(entry(offset, other))
        assert restarted.get("r1") == table.get("r1")
    assert table.get("r1") is None


def test_an_older_snapshot_is_not_adopted():
    """Guards against a table that reverts to an earlier state."""
    table = jobs.JobTable()
    old = table.state()
    table.apply_entry(entry(1, submitted()))
    assert not table.adopt(old)
    assert not table.adopt(dataclasses.replace(old, offset=1))
    assert table.get("r1") is not None


def test_a_dropped_provisional_record_leaves_the_logs_view():
    """Guards against a provisional record that remains after it was dropped.

    Dropping it a second time must have no effect.
    """
    table = jobs.JobTable()
    table.add_provisional("p-0", 0, submitted("mine"))
    assert table.is_pending("p-0", 0)
    table.drop_provisional("p-0", 0)
    table.drop_provisional("p-0", 0)
    assert not table.is_pending("p-0", 0)
    assert table.get("r1") is None
