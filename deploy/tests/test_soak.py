"""Runs short soaks of real processes, with seeds of past failures."""

import pytest
import soak

_SECONDS = 8.0


@pytest.mark.parametrize(
    "seed",
    [
        # The deletion of an ended job's progress was stored before its end, so
        # the next leader started the job again.
        1,
        7,
    ],
)
def test_guarantees_hold_under_faults(seed):
    """Guards against violated guarantees under overlapping faults."""
    violations = soak.run_seed(
        seed, _SECONDS, hosts=3, workers=4, deadly_share=0.0, shrinks=False
    )
    assert not violations


def test_late_order_reaches_a_new_life_under_the_same_id():
    """Guards against an order that reaches a later incarnation.

    A start order without a response is executed by the endpoint's next
    incarnation under the same id, after the task has ended as done.
    """
    violations = soak.run_seed(
        1003, 10.0, hosts=4, workers=6, deadly_share=0.0, shrinks=False
    )
    assert not violations


@pytest.mark.parametrize("seed", [22000, 22001])
def test_deadly_task_crashes_one_worker_after_another(seed):
    """Guards against starting a task again and again that crashes workers."""
    violations = soak.run_seed(seed, _SECONDS, deadly_share=0.15, shrinks=False)
    assert not violations


def test_capacity_that_shrinks_is_not_exceeded():
    """Guards against starts on a worker whose capacity has shrunk."""
    assert not soak.run_seed(22200, _SECONDS, deadly_share=0.0)
