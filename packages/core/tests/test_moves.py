"""Tests of the moves of waiting jobs between zones."""

from laburnumgate_core import capacity
from laburnumgate_core import jobs
from laburnumgate_core import model
from laburnumgate_core import moves

FREE = capacity.Summary(
    free_accelerators=16,
    largest_free_rack=16,
    waiting_jobs=0,
    largest_free_endpoint=8,
    accelerators=16,
    largest_unreserved=16,
)


def _job(name: str) -> jobs.Job:
    spec = model.JobSpec("k", 1, 8, 1_000)
    return jobs.Job(f"a/{name}", "a", spec, "zone-a", "h", 0, 0, 0)


def _table() -> moves.MoveTable:
    table = moves.MoveTable("zone-a")
    table.update_peers({"zone-a": FREE, "zone-b": FREE})
    return table


def test_one_summary_is_not_used_for_more_jobs_than_fit():
    """Guards against a whole queue moving to a zone that fits two jobs."""
    table = _table()
    moved = [
        table.move_to_free_capacity(_job(f"r{number}"), (), 0)
        for number in range(4)
    ]
    assert [record is not None for record in moved] == [
        True,
        True,
        False,
        False,
    ]
    assert moved[0].to_zone == "zone-b"


def test_a_moved_job_stays_for_a_while():
    """Guards against two zones that move a job back and forth."""
    table = _table()
    job = _job("r")
    assert table.move_to_free_capacity(job, (), 0) is not None
    assert not table.may_move(job, moves.MIN_STAY_MS - 1)
    assert table.may_move(job, moves.MIN_STAY_MS)


def test_a_job_moves_to_allowed_zones_only():
    """Guards against moving a job outside the zones of its promise."""
    assert _table().move_to_free_capacity(_job("r"), ("zone-c",), 0) is None
    assert _table().move_out(_job("r"), ("zone-c",), 0) is None
