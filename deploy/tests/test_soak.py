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
        seed, _SECONDS, hosts=3, workers=4, crashing_share=0.0, shrinks=False
    )
    assert not violations


def test_guarantees_hold_beside_odd_entries():
    """Guards against entries of another writer that stop the hosts."""
    violations = soak.run_seed(
        1,
        _SECONDS,
        hosts=3,
        workers=4,
        crashing_share=0.0,
        shrinks=False,
        odd_entries=True,
    )
    assert not violations


def test_late_order_reaches_a_new_life_under_the_same_id():
    """Guards against an order that reaches a later incarnation.

    A start order without a response is executed by the endpoint's next
    incarnation under the same id, after the task has ended as done.
    """
    violations = soak.run_seed(
        1003, 10.0, hosts=4, workers=6, crashing_share=0.0, shrinks=False
    )
    assert not violations


@pytest.mark.parametrize("seed", [22000, 22001])
def test_crashing_task_crashes_one_worker_after_another(seed):
    """Guards against starting a task again and again that crashes workers."""
    violations = soak.run_seed(
        seed, _SECONDS, crashing_share=0.15, shrinks=False
    )
    assert not violations


def test_capacity_that_shrinks_is_not_exceeded():
    """Guards against starts on a worker whose capacity has shrunk."""
    assert not soak.run_seed(22200, _SECONDS, crashing_share=0.0)


def test_limits_of_accounts_are_not_exceeded():
    """Guards against starts above an account's limit under faults."""
    assert not soak.run_seed(
        22300, _SECONDS, hosts=3, crashing_share=0.0, shrinks=False, limits=True
    )


def test_guarantees_hold_with_all_optional_parts_of_the_policy():
    """Guards against violated guarantees by moves, headroom and refusals."""
    assert not soak.run_seed(
        22400,
        _SECONDS,
        hosts=3,
        crashing_share=0.0,
        shrinks=False,
        limits=True,
        policies=True,
    )


@pytest.mark.parametrize(
    ("seed", "seconds", "hosts", "workers", "crashing_share"),
    [
        # The cursor of an ended incarnation acknowledged an end of the next.
        (7, 8.0, 3, 4, 0.06),
        # Starts outran the proofs of the crashes before them.
        (9, 8.0, 3, 4, 0.06),
        # A new leader adopted runs on an endpoint that had ended.
        (22020, 12.0, 4, 6, 0.3),
    ],
)
def test_crashes_and_changes_of_the_leader_together(
    seed, seconds, hosts, workers, crashing_share
):
    """Guards against faults that crashes of workers brought to light."""
    violations = soak.run_seed(
        seed, seconds, hosts, workers, crashing_share=crashing_share
    )
    assert not violations


def test_a_run_in_the_next_life_does_not_overlap_its_successor():
    """Guards against two runs of a task after quick restarts of idle workers.

    The next life of a worker gets starts before the leader knows of it. Their
    tasks were started elsewhere while these runs were still being stopped.
    """
    violations = soak.run_seed(
        4202,
        _SECONDS,
        hosts=3,
        workers=24,
        crashing_share=0.0,
        shrinks=False,
        outages=("restart_idle", "restart_group"),
    )
    assert not violations


def test_late_starts_are_kept_out_of_later_lives_under_changing_leaders():
    """Guards against late orders to a worker that restarts twice in a row.

    The orders were voided in the first of its new lives. The second one was
    not watched until it was listed.
    """
    violations = soak.run_seed(
        5103,
        10.0,
        hosts=4,
        workers=6,
        crashing_share=0.0,
        shrinks=False,
        outages=("late_starts", "late_starts", "kill_leader", "term_leader"),
    )
    assert not violations
