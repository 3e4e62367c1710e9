"""Tests of the choice of runs to stop on a draining endpoint."""

import builders
from laburnumgate_placer import lifecycle
from laburnumgate_placer import live_list
from laburnumgate_placer import policy
from laburnumgate_placer import ports
from laburnumgate_placer import progress
from laburnumgate_placer.overload import draining
import pytest


@pytest.mark.parametrize(
    ("remaining_ms", "resumes", "move_all", "stopped"),
    [
        (2_500, True, False, True),
        (2_000, True, False, False),
        (9_000, False, False, False),
        (9_000, False, True, True),
        # May still end in time, as durations are off by half.
        (3_000, False, True, False),
        (1_000, False, True, False),
    ],
)
def test_only_runs_that_cannot_end_in_time_are_stopped(
    remaining_ms, resumes, move_all, stopped
):
    """Guards against stopping work that ends before its endpoint leaves."""
    assert stopped == draining.should_stop(
        remaining_ms, 2_100, resumes=resumes, move_all=move_all
    )


@pytest.mark.parametrize("drain_moves", [False, True])
def test_a_long_run_is_moved_when_its_endpoint_drains(drain_moves):
    """Guards against tasks that are lost with an endpoint that leaves.

    On a played day all tasks that an endpoint still ran 2.1 s after it began to
    drain were lost, and were started again 9 s later, when the lease was over.
    """
    tables = builders.tables(policy=policy.Policy(drain_moves=drain_moves))
    listed = live_list.LiveList(
        tables, lambda entry: entry.value, lambda state: None, 0
    )
    endpoint = builders.endpoint("e1")
    builders.add_endpoint(tables, "e1")
    runs = []
    for number, estimate_ms in enumerate((20_000, 1_000)):
        job = builders.job(
            f"{number:016x}", builders.step(estimate_ms=estimate_ms)
        )
        entry = lifecycle.open_job(tables, job)
        (unit,) = entry.units_by_key.values()
        runs.append(lifecycle.assign(tables, unit, ["e1"]))
        builders.start(tables, runs[-1])
    leaving = builders.replace(endpoint, draining=True, remaining_ms=2_100)
    listed.apply(ports.Entry(1, "e1", leaving))
    expected = (
        progress.Phase.STOPPING if drain_moves else progress.Phase.RUNNING
    )
    assert [run.phase for run in runs] == [expected, progress.Phase.RUNNING]
