"""Tests of the cost of a delay and of the order that follows from it."""

import random

import builders
from hypothesis import given
from hypothesis import strategies as st
from laburnumgate_placer import lifecycle
from laburnumgate_placer import ordering
from laburnumgate_placer import policy
from laburnumgate_placer import scheduling
from laburnumgate_placer.overload import delay_cost
import pytest

_ON = policy.Policy(delay_cost_order=True)
_URGENT = builders.URGENT
_NORMAL = builders.NORMAL
_BATCH = builders.BATCH


def _tables(setting=_ON, endpoints=0, accounts=()):
    tables = builders.tables(
        _URGENT, _NORMAL, _BATCH, accounts=accounts, policy=setting
    )
    for number in range(endpoints):
        builders.add_endpoint(tables, f"e{number}")
    return tables


def _open(tables, job_id, queue, step):
    job = builders.job(
        job_id * 16, step, queue=queue, accepted_ms=tables.wall.now_ms()
    )
    return lifecycle.open_job(tables, job)


def _urgent(tables, job_id, gpu=4):
    step = builders.step(count=5, gpu=gpu, gang=True, estimate_ms=2_000)
    return _open(tables, job_id, _URGENT, step)


def _batch(tables, job_id, count=39):
    step = builders.step(count=count, estimate_ms=8_000)
    return _open(tables, job_id, _BATCH, step)


def _advance(tables, duration_ms):
    tables.monotonic.advance(duration_ms)
    tables.wall.advance(duration_ms)


def _order(tables, guaranteed=frozenset()):
    ranked = ordering.waiting_steps(
        tables, set(guaranteed), tables.monotonic.now_ms()
    )
    return "".join(step.units[0].key.job_id[0] for step in ranked)


def _work(slack_ms, late_slack_ms=None, core_s=100.0, value=1.0):
    if late_slack_ms is None:
        late_slack_ms = slack_ms + 10_000
    return delay_cost.Work(value, core_s, 2_000, slack_ms, late_slack_ms)


def test_waiting_with_a_distant_deadline_costs_nothing_yet():
    """Guards against patient work that displaces work which is in a hurry."""
    assert delay_cost.loss(_work(60_000)) == 0
    assert 0 < delay_cost.loss(_work(10_000)) < delay_cost.loss(_work(1_000))


def test_a_missed_deadline_costs_nothing_more():
    """Guards against delaying work of use for work whose value is lost."""
    assert delay_cost.loss(_work(-1, -1)) == 0
    assert 0 < delay_cost.loss(_work(-1, 2_000)) < delay_cost.loss(_work(0))


@given(
    st.floats(-20_000, 60_000),
    st.floats(0, 30_000),
    st.floats(0, 30_000),
    st.floats(0.1, 1e5),
)
def test_a_longer_delay_never_costs_less(slack_ms, delay_ms, more_ms, core_s):
    """Guards against stops and refusals that seem to gain by a delay."""
    work = _work(slack_ms, core_s=core_s)
    first = delay_cost.loss(work, delay_ms)
    assert 0 <= first <= delay_cost.loss(work, delay_ms + more_ms) <= work.value


def test_large_jobs_do_not_starve():
    """Guards against an order in which small jobs always overtake."""
    per_core_s = [
        delay_cost.value(1, core_s, 100.0) / core_s
        for core_s in (100.0, 1e3, 1e5)
    ]
    # Half of the value per core-second of a mean job is kept at any size.
    assert min(per_core_s) >= 0.5 * per_core_s[0]


def test_late_urgent_work_precedes_patient_work():
    """Guards against one burst after which all urgent work is late.

    Load pattern: an urgent gang has 1.3 s of slack and is held up for 2 s
    beside batch work that can wait for 19 s.
    """
    orders = {}
    for setting in (policy.Policy(), _ON):
        tables = _tables(setting)
        _batch(tables, "b")
        _urgent(tables, "a")
        _advance(tables, 2_000)
        orders[setting.delay_cost_order] = _order(tables)
    assert orders == {False: "ba", True: "ab"}


def test_work_that_can_be_on_time_precedes_equal_work_that_is_late():
    """Guards against a queue in which each job waits until it is late."""
    tables = _tables()
    _urgent(tables, "a")
    _advance(tables, 2_000)
    _urgent(tables, "b")
    assert _order(tables) == "ba"


def test_guaranteed_work_stays_first():
    """Guards against a guarantee that is missed for more valuable work."""
    tables = _tables()
    _urgent(tables, "c")
    guaranteed = _urgent(tables, "d", gpu=8)
    _advance(tables, 30_000)
    _urgent(tables, "a", gpu=1)
    order = _order(tables, {guaranteed.job.job_id})
    assert order[0] == "d"


@pytest.mark.parametrize(("count", "waves"), [(2, 1), (8, 4)])
def test_the_cheapest_job_starts_within_the_bound(count, waves):
    """Guards against starving work whose value is lost.

    Load pattern: urgent work arrives for as long as the batch job waits, and
    takes all of the pool. The wide job may use a quarter of the pool at once,
    which its objective allows for.
    """
    tables = _tables(endpoints=1)
    batch = _batch(tables, "b", count=count)
    objective_ms = 3 * waves * 8_000 + 3_000
    bound_ms = 3 * objective_ms + delay_cost.MAX_OVERDUE_MS
    started_ms = None
    for number in range(400):
        waited_ms = number * 1_000
        job = builders.job(
            f"{number:016x}",
            builders.step(gpu=8, estimate_ms=900),
            queue=_URGENT,
            accepted_ms=tables.wall.now_ms(),
        )
        entry = lifecycle.open_job(tables, job)
        scheduling.Scheduler(tables).run()
        if batch.runs():
            started_ms = waited_ms
            break
        for run in entry.runs():
            lifecycle.stop_run(tables, run, "the test ends it")
            for member in list(run.members):
                lifecycle.mark_terminated(tables, member, builders.PROOF)
        tables.entries_by_id.pop(job.job_id, None)
        _advance(tables, 1_000)
    assert started_ms is not None
    # It was overtaken until it was overdue, and started in the next pass.
    earliest_ms = bound_ms - waves * 8_000 - 1_000
    assert earliest_ms < started_ms <= bound_ms + 1_000


def test_the_default_policy_orders_as_before():
    """Guards against a changed order where the setting is off."""
    rng = random.Random(5)
    for _ in range(20):
        tables = _tables(policy.Policy())
        for name in "abcdef0123456789":
            queue = rng.choice((_URGENT, _NORMAL, _BATCH))
            step = builders.step(
                count=rng.randint(1, 9),
                gang=rng.random() < 0.5,
                estimate_ms=rng.randint(500, 9_000),
            )
            _open(tables, name, queue, step)
            _advance(tables, rng.randint(0, 6_000))
        guaranteed = {name * 16 for name in "a3"}
        now_ms = tables.monotonic.now_ms()
        ranked = ordering.waiting_steps(tables, guaranteed, now_ms)
        keys = [(step.rank.sort_key(), step.units[0].key) for step in ranked]
        assert keys == sorted(
            (
                (
                    step.rank.guaranteed is False,
                    step.rank.stage,
                    step.rank.priority,
                    step.rank.due_ms,
                ),
                step.units[0].key,
            )
            for step in ranked
        )
        assert all(step.rank.work is None for step in ranked)


def test_a_deadline_missed_by_a_delay_costs_its_whole_part():
    """Guards against a stop that seems free because its job just fits."""
    just_fits = _work(0, 60_000)
    assert delay_cost.added_loss(just_fits, 1) >= delay_cost.ON_TIME_PART
    assert delay_cost.added_loss(just_fits, 0) == 0
    assert delay_cost.added_loss(_work(-1, 60_000), 1_000) == 0


def test_a_start_that_is_no_earlier_saves_nothing():
    """Guards against stops for a unit that fits as soon without them."""
    work = _work(1_300)
    assert delay_cost.saved_by_start(work, 200, 150) == 0
    soon = delay_cost.saved_by_start(work, 200, 1_000)
    late = delay_cost.saved_by_start(work, 200, 5_000)
    assert 0 < soon < late < delay_cost.saved_by_start(work, 200, None)


def _started(tables, scheduler, entry):
    scheduler.run()
    for run in entry.runs():
        builders.start(tables, run)
    assert entry.runs()


def _stopped_of_seven(setting, queue, waited_ms):
    """Runs seven jobs of 1 accelerator, and then adds an urgent one of 8.

    Returns:
      How many of the seven were stopped.
    """
    tables = _tables(setting, endpoints=1)
    scheduler = scheduling.Scheduler(tables)
    others = []
    for name in "0123456":
        entry = _open(tables, name, queue, builders.step(estimate_ms=2_400))
        entry.arrived_ms -= waited_ms
        _started(tables, scheduler, entry)
        others.append(entry)
    _advance(tables, 1_000)
    step = builders.step(gpu=8, estimate_ms=2_000)
    _open(tables, "a", _URGENT, step)
    scheduler.run()
    return sum(run.unit.preempted for each in others for run in each.runs())


def test_patient_work_gives_way_to_urgent_work():
    """Guards against urgent work that waits for work which has slack."""
    assert _stopped_of_seven(_ON, _BATCH, 0) == 7


def test_nothing_is_stopped_that_costs_callers_more_than_it_saves():
    """Guards against seven late jobs in order that one is on time.

    Load pattern: an urgent unit arrives while jobs run that just meet their
    objectives. By core-seconds alone, the stops pay.
    """
    assert _stopped_of_seven(policy.Policy(), _NORMAL, 5_500) == 7
    assert _stopped_of_seven(_ON, _NORMAL, 5_500) == 0


def test_the_run_whose_caller_loses_least_gives_way():
    """Guards against stops that make another job late.

    Load pattern: a normal job that has to end soon started just now, and a
    batch job with slack started earlier. By core-seconds lost, the normal job
    is the cheapest one to stop.
    """
    stopped = {}
    for setting in (policy.Policy(), _ON):
        tables = _tables(setting, endpoints=1)
        scheduler = scheduling.Scheduler(tables)
        batch = _batch(tables, "b", count=4)
        _started(tables, scheduler, batch)
        _advance(tables, 300)
        step = builders.step(count=4, estimate_ms=4_000)
        normal = _open(tables, "c", _NORMAL, step)
        normal.arrived_ms -= 8_500
        _started(tables, scheduler, normal)
        _advance(tables, 100)
        step = builders.step(gpu=4, estimate_ms=2_000)
        _open(tables, "a", _URGENT, step)
        scheduler.run()
        stopped[setting.delay_cost_order] = {
            entry.job.queue.name
            for entry in (batch, normal)
            if any(run.unit.preempted for run in entry.runs())
        }
    assert stopped == {False: {"normal"}, True: {"batch"}}


def test_urgent_work_stops_more_than_its_own_work_of_a_low_priority():
    """Guards against urgent work that is late although batch work could wait.

    Load pattern: an urgent unit needs a whole endpoint. Batch tasks have run
    there for long, so that more core-seconds are lost than it needs itself.
    """
    stopped = {}
    for setting in (policy.Policy(), _ON):
        tables = _tables(setting, endpoints=1)
        scheduler = scheduling.Scheduler(tables)
        batch = _batch(tables, "b", count=8)
        _started(tables, scheduler, batch)
        _advance(tables, 5_000)
        step = builders.step(gpu=8, estimate_ms=2_000)
        _open(tables, "a", _URGENT, step)
        scheduler.run()
        stopped[setting.delay_cost_order] = sum(
            run.unit.preempted for run in batch.runs()
        )
    assert stopped == {False: 0, True: 8}


def test_work_of_the_next_priority_gives_way_for_a_limited_loss():
    """Guards against a large gang that is thrown away for a small urgent job.

    Load pattern: a normal gang has run for long when an urgent job arrives
    that needs a small part of its endpoint. By value alone, the stop pays,
    but the capacity that it wastes would have served several urgent jobs.
    """
    tables = _tables(_ON, endpoints=1)
    scheduler = scheduling.Scheduler(tables)
    step = builders.step(count=8, gang=True, estimate_ms=60_000)
    gang = _open(tables, "c", _NORMAL, step)
    _started(tables, scheduler, gang)
    _advance(tables, 20_000)
    _open(tables, "a", _URGENT, builders.step(gpu=1, estimate_ms=2_000))
    scheduler.run()
    assert not any(run.unit.preempted for run in gang.runs())


def test_runs_within_the_limit_of_lost_work_give_way():
    """Guards against an urgent unit that is late beside runs that just started.

    Load pattern: the runs whose callers lose least have run for long, so that
    their stops would throw away more work than the urgent unit needs.
    """
    tables = _tables(endpoints=1)
    scheduler = scheduling.Scheduler(tables)
    step = builders.step(count=4, estimate_ms=90_000)
    batch = _open(tables, "b", _BATCH, step)
    _started(tables, scheduler, batch)
    _advance(tables, 60_000)
    normal = _open(tables, "c", _NORMAL, step)
    normal.arrived_ms -= 180_000
    _started(tables, scheduler, normal)
    _advance(tables, 300)
    _open(tables, "a", _URGENT, builders.step(gpu=4, estimate_ms=2_000))
    scheduler.run()
    stopped = {
        entry.job.queue.name
        for entry in (batch, normal)
        if any(run.unit.preempted for run in entry.runs())
    }
    assert stopped == {"normal"}
