"""Tests which jobs are turned away for want of memory."""

import builders
from laburnumgate_placer import job_table
from laburnumgate_placer import limits
from laburnumgate_placer import records
from laburnumgate_placer.overload import admission
from laburnumgate_placer.overload import job_memory
import pytest

_MIB = 1 << 20
# A third of the memory of the smallest machine.
_SMALL_MACHINE_BYTES = 160 * _MIB // 3


def _job(name="a", count=1, steps=1, **fields):
    return builders.job(
        name * 16, *(builders.step(count=count) for _ in range(steps)), **fields
    )


@pytest.mark.parametrize(
    ("job", "least_bytes", "most_bytes"),
    [
        (_job(count=94, steps=3), 200_000, 250_000),
        (_job(count=20_000), 15 * _MIB, 16 * _MIB),
        (_job(steps=9_300), 13 * _MIB, 17 * _MIB),
        (
            _job(occurrences=10_000, scheduled=True, interval_ms=1),
            11 * _MIB,
            13 * _MIB,
        ),
        (
            _job(occurrences=10_000, scheduled=True, interval_ms=60_000),
            5_000,
            10_000,
        ),
        (
            _job(count=9_000, occurrences=9, scheduled=True),
            13 * _MIB,
            15 * _MIB,
        ),
    ],
)
def test_the_estimate_counts_what_a_leader_holds(job, least_bytes, most_bytes):
    """Guards against short bodies whose jobs need megabytes.

    On a leader a task took 430 to 800 bytes, a step 980 and an occurrence of
    one task 1,200.
    """
    size = job_memory.estimate_bytes(job)
    assert least_bytes <= size <= most_bytes


def test_a_stored_job_without_tasks_has_an_estimate():
    """Guards against a host that stops to read the log at such a record."""
    assert job_memory.estimate_bytes(_job(count=0, scheduled=True)) > 0


def _held(*jobs):
    held = job_memory.Held()
    for job in jobs:
        held.add(job.account, job_memory.estimate_bytes(job))
    return held


def _fill(held, job):
    """Adds jobs like one while they fit; returns their number."""
    number = 0
    while job_memory.decide(job, held, _held(), _SMALL_MACHINE_BYTES) is None:
        held.add(job.account, job_memory.estimate_bytes(job))
        number += 1
    return number


@pytest.mark.parametrize(
    "job",
    [
        _job(count=20_000),
        _job(steps=9_700),
        _job(),
        _job(count=94, occurrences=10_000, scheduled=True, interval_ms=1_000),
    ],
)
def test_every_single_job_fits_into_the_smallest_machine(job):
    """Guards against a limit that an ordinary caller meets."""
    empty = _held()
    refusal = job_memory.decide(job, empty, empty, _SMALL_MACHINE_BYTES)
    assert refusal is None


def test_large_jobs_leave_room_for_others():
    """Guards against huge jobs that keep all other callers out."""
    held = _held()
    large = _job(count=4_000)
    assert _fill(held, large) > 1
    refusal = job_memory.decide(large, held, _held(), _SMALL_MACHINE_BYTES)
    assert refusal.cause is admission.Cause.MEMORY
    assert refusal.retry_after_ms > 0
    assert _fill(held, _job(count=94, steps=3, account="other")) > 100
    assert held.total_bytes <= _SMALL_MACHINE_BYTES


def test_an_account_leaves_room_for_others():
    """Guards against many small jobs of one account that keep others out."""
    held = _held()
    assert _fill(held, _job(count=100)) > 100
    refusal = job_memory.decide(
        _job(count=100), held, _held(), _SMALL_MACHINE_BYTES
    )
    assert "mina" in refusal.reason
    assert _fill(held, _job(count=100, account="other")) > 100
    assert held.total_bytes <= _SMALL_MACHINE_BYTES


def test_a_table_holds_what_its_jobs_hold():
    """Guards against an estimate that drifts, so that all is refused."""
    table = job_table.JobTable()
    jobs = [_job("a", count=94), _job("b", steps=5, account="other")]
    for job in jobs * 2:
        table.apply(records.Submitted(job))
    sizes = [job_memory.estimate_bytes(job) for job in jobs]
    assert table.held.total_bytes == sum(sizes)
    table.apply(records.Cancelled(jobs[0].job_id))
    assert table.held.account_bytes(jobs[0].account) == sizes[0]
    for _ in range(2):
        table.apply(records.Dropped(jobs[0].job_id))
    assert table.held.total_bytes == sizes[1]
    assert table.held.account_bytes(jobs[0].account) == 0


def test_submissions_count_until_their_jobs_are_known():
    """Guards against jobs that are all accepted before one is known."""
    jobs = [_job(name, count=10) for name in "abcd"]
    size = job_memory.estimate_bytes(jobs[0])
    submissions = job_memory.Submissions()
    for job, until_ms in zip(jobs, (100, 100, 200, 200), strict=True):
        submissions.add(job, until_ms)

    def held(known=(), now_ms=0, but=""):
        found = submissions.held(known, now_ms, but)
        assert found.account_bytes(jobs[0].account) == found.total_bytes
        return found.total_bytes / size

    assert held() == 4
    # An attempt that is repeated after its outcome was in doubt.
    assert held(but=jobs[1].job_id) == 3
    submissions.remove(jobs[3].job_id)
    assert held(known={jobs[0].job_id}) == 2
    assert held(now_ms=100) == 1
    assert held(now_ms=200) == 0


def test_the_default_holds_the_target_size():
    """Guards against a default that a deployment of the target size meets."""
    jobs = 63_000 // 12
    size = job_memory.estimate_bytes(_job(count=4, steps=3))
    assert jobs * size < limits.Bounds().max_jobs_bytes
