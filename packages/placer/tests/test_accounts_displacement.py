"""Tests of urgent work that stops other work of its own account."""

import builders
from hypothesis import given
from hypothesis import strategies as st
from laburnumgate_placer import lifecycle
from laburnumgate_placer import model
from laburnumgate_placer import ordering
from laburnumgate_placer import policy
from laburnumgate_placer import progress
from laburnumgate_placer import scheduling
from laburnumgate_placer.accounts import displacement
from laburnumgate_placer.accounts import holds
import pytest

_URGENT = model.Queue(
    "urgent", "h.example", "/urgent/", "pool", priority=0, stretch=2.0
)
_BATCH = model.Queue(
    "batch", "h.example", "/batch/", "pool", priority=2, stretch=30.0
)
_LENA = model.Account("lena", frozenset())
_COST_ORDER = policy.Policy(delay_cost_order=True)


def _account(gpu, name="mina", **fields):
    return model.Account(
        name, frozenset(), limit=model.Resources(gpu=gpu), **fields
    )


def _tables(*accounts, endpoints=4, **fields):
    tables = builders.tables(_URGENT, _BATCH, accounts=accounts, **fields)
    for number in range(endpoints):
        builders.add_endpoint(tables, f"e{number}")
    return tables


def _open(tables, job_id, *steps, queue=_BATCH, **fields):
    job = builders.job(job_id, *steps, queue=queue, **fields)
    return lifecycle.open_job(tables, job)


def _batch(tables, job_id, count=1, **fields):
    step = builders.step(count=count, estimate_ms=9_000, **fields)
    return _open(tables, job_id, step)


def _run_and_start(scheduler, tables):
    scheduler.run()
    runs, tables.assigned_runs = tables.assigned_runs, []
    for run in runs:
        builders.start(tables, run)
    return runs


def _end_stops(tables):
    stops, tables.pending_stops = tables.pending_stops, []
    for member in stops:
        lifecycle.mark_terminated(tables, member, builders.PROOF)
    return stops


def _stopped(tables):
    return sorted({m.task.job_id for m in tables.pending_stops})


def test_lacking_ignores_what_is_not_limited_or_not_needed():
    """Guards against stops that free a resource that nobody lacks."""
    found = displacement.lacking(
        model.Resources(0, 500, 4),
        model.Resources(9_000, 400, 3),
        model.Resources(1_000, 0, 2),
    )
    assert found == model.Resources(0, 0, 1)


def test_cheapest_sufficient_runs_are_selected():
    """Guards against stops of more or of dearer work than necessary."""

    def candidate(gpu, cost):
        return displacement.Candidate(model.Resources(1_000, 0, gpu), cost)

    lacks = model.Resources(gpu=4)
    dear = [candidate(4, 10.0), candidate(2, 1.0), candidate(2, 2.0)]
    assert displacement.select(dear, lacks) == [1, 2]
    # The small one is cheapest for what it frees, but not sufficient.
    large = [candidate(1, 0.1), candidate(8, 5.0)]
    assert displacement.select(large, lacks) == [1]
    assert displacement.select([candidate(3, 1.0)], lacks) is None
    assert displacement.select([candidate(0, 0.0)], lacks) is None
    assert displacement.select(dear, model.Resources()) == []


@given(
    st.lists(
        st.tuples(st.integers(0, 4), st.integers(0, 8), st.integers(0, 50)),
        max_size=9,
    ),
    st.integers(0, 6),
    st.integers(0, 12),
)
def test_selection_is_sufficient_and_minimal(drawn, cpu, gpu):
    """Guards against stops that do not help, or that are not needed."""
    candidates = [
        displacement.Candidate(model.Resources(cpu=c, gpu=g), float(cost))
        for c, g, cost in drawn
    ]
    lacks = model.Resources(cpu=cpu, gpu=gpu)

    def freed(numbers):
        return (
            sum(candidates[n].frees.cpu for n in numbers) >= cpu
            and sum(candidates[n].frees.gpu for n in numbers) >= gpu
        )

    chosen = displacement.select(candidates, lacks)
    if chosen is None:
        assert not freed(range(len(candidates)))
        return
    assert freed(chosen)
    assert len(set(chosen)) == len(chosen)
    for number in chosen:
        assert not freed([n for n in chosen if n != number])


@pytest.mark.parametrize("settings", [None, _COST_ORDER])
def test_urgent_work_stops_patient_work_of_its_account(settings, caplog):
    """Guards against urgent work that waits behind its own batch work.

    The pool has free endpoints; only the limit binds.
    """
    caplog.set_level("INFO")
    tables = _tables(_account(8), _LENA, policy=settings)
    scheduler = scheduling.Scheduler(tables)
    batch = _batch(tables, "b1", 8)
    _run_and_start(scheduler, tables)
    urgent = _open(
        tables,
        "u1",
        builders.step(count=2, gpu=2, gang=True, estimate_ms=2_000),
        queue=_URGENT,
    )
    scheduler.run()
    assert len(tables.pending_stops) == 4
    assert _stopped(tables) == ["b1"]
    assert {
        record.reason for record in caplog.records if hasattr(record, "percent")
    } == {"preempted for job u1"}
    # Usage counts until the ends are certain.
    assert tables.usage.usage("mina").gpu == 8
    scheduler.run()
    assert not urgent.runs()
    _end_stops(tables)
    scheduler.run()
    assert len(urgent.runs()) == 1
    assert tables.usage.usage("mina").gpu == 8
    assert sum(run.unit.preempted for run in batch.runs()) == 0
    assert sum(unit.preempted for unit in batch.units_by_key.values()) == 4


def test_other_accounts_are_not_stopped_for_a_unit_at_its_limit():
    """Guards against runs of others that a limit cannot make up for."""
    tables = _tables(_account(4), _LENA, endpoints=1)
    scheduler = scheduling.Scheduler(tables)
    _batch(tables, "b1", 4)
    step = builders.step(count=4, estimate_ms=9_000)
    _open(tables, "l1", step, account="lena")
    _run_and_start(scheduler, tables)
    _open(tables, "u1", builders.step(gpu=2), queue=_URGENT)
    scheduler.run()
    assert _stopped(tables) == ["b1"]
    assert len(tables.pending_stops) == 2


def test_freed_endpoints_are_held_where_the_pool_is_full():
    """Guards against work that is stopped in favour of another account."""
    tables = _tables(_account(8), _LENA, endpoints=2)
    scheduler = scheduling.Scheduler(tables)
    _batch(tables, "b1", gpu=8)
    step = builders.step(gpu=8, estimate_ms=9_000)
    _open(tables, "l1", step, account="lena")
    _run_and_start(scheduler, tables)
    urgent = _open(tables, "u1", builders.step(gpu=8), queue=_URGENT)
    scheduler.run()
    assert _stopped(tables) == ["b1"]
    other = _open(tables, "l2", step, account="lena", queue=_URGENT)
    other.arrived_ms -= 500
    _end_stops(tables)
    scheduler.run()
    assert len(urgent.runs()) == 1
    assert not other.runs()


def test_freed_amount_is_kept_for_the_unit_that_it_was_freed_for():
    """Guards against other units of the account that take what was freed."""
    tables = _tables(_account(8), _LENA)
    scheduler = scheduling.Scheduler(tables)
    _batch(tables, "b1", 8)
    _run_and_start(scheduler, tables)
    urgent = _open(
        tables, "u1", builders.step(gpu=4, estimate_ms=2_000), queue=_URGENT
    )
    scheduler.run()
    assert len(tables.pending_stops) == 4
    # A part has ended; smaller work of the account and of the same queue waits.
    _, *left = tables.pending_stops
    lifecycle.mark_terminated(tables, tables.pending_stops[0], builders.PROOF)
    tables.pending_stops = left
    small = _open(tables, "u0", builders.step(gpu=1), queue=_URGENT)
    small.arrived_ms -= 900
    batch = _batch(tables, "b2", 3)
    tables.monotonic.advance(lifecycle.RETRY_PAUSE_MS)
    scheduler.run()
    assert not batch.runs()
    _end_stops(tables)
    scheduler.run()
    assert len(urgent.runs()) == 1
    assert tables.usage.usage("mina").gpu <= 8


def test_claim_ends_if_the_unit_does_not_start():
    """Guards against an account that is held back by a claim for ever."""
    tables = _tables(_account(8), _LENA)
    scheduler = scheduling.Scheduler(tables)
    _batch(tables, "b1", 8)
    _run_and_start(scheduler, tables)
    urgent = _open(
        tables, "u1", builders.step(gpu=4, estimate_ms=2_000), queue=_URGENT
    )
    scheduler.run()
    _end_stops(tables)
    for unit in urgent.units_by_key.values():
        unit.backoff_until_ms = tables.monotonic.now_ms() + 60_000
    tables.monotonic.advance(lifecycle.RETRY_PAUSE_MS)
    scheduler.run()
    assert tables.usage.usage("mina").gpu == 4
    tables.monotonic.advance(holds.CLAIM_KEPT_MS)
    scheduler.run()
    assert tables.usage.usage("mina").gpu == 8


@pytest.mark.parametrize("settings", [None, _COST_ORDER])
def test_stops_that_cost_more_than_the_unit_needs_are_not_made(settings):
    """Guards against long work that is thrown away for a short task."""
    tables = _tables(_account(8), _LENA, policy=settings)
    scheduler = scheduling.Scheduler(tables)
    _batch(tables, "b1", gpu=8)
    _run_and_start(scheduler, tables)
    tables.monotonic.advance(4_000)
    _open(tables, "u1", builders.step(gpu=1), queue=_URGENT)
    scheduler.run()
    assert not tables.pending_stops


def test_equal_priority_and_long_running_work_is_not_stopped():
    """Guards against urgent work that stops other urgent work."""
    tables = _tables(_account(8), _LENA)
    scheduler = scheduling.Scheduler(tables)
    _open(
        tables,
        "u0",
        builders.step(count=4, estimate_ms=9_000),
        queue=_URGENT,
    )
    _batch(tables, "b1", 4, long_running=True)
    _run_and_start(scheduler, tables)
    _open(tables, "u1", builders.step(), queue=_URGENT)
    scheduler.run()
    assert not tables.pending_stops


def test_unit_that_gave_way_itself_stops_nothing():
    """Guards against stops that cause further stops."""
    tables = _tables(_account(8), _LENA)
    scheduler = scheduling.Scheduler(tables)
    _batch(tables, "b1", 8)
    _run_and_start(scheduler, tables)
    urgent = _open(tables, "u1", builders.step(), queue=_URGENT)
    for unit in urgent.units_by_key.values():
        unit.preempted = 1
    scheduler.run()
    assert not tables.pending_stops


def test_due_guarantee_stops_unprotected_work_of_its_account():
    """Guards against a guarantee that is missed behind the account's limit."""
    tables = _tables(_account(8, guaranteed_gpu=8), _LENA)
    scheduler = scheduling.Scheduler(tables)
    _batch(tables, "b1", gpu=8)
    _run_and_start(scheduler, tables)
    tables.monotonic.advance(60_000)
    urgent = _open(tables, "u1", builders.step(gpu=8), queue=_URGENT)
    # The stop costs more than the unit's work, but the guarantee is due.
    scheduler.run()
    assert not tables.pending_stops
    tables.monotonic.advance(tables.bounds.reclaim_ms - 1_400)
    scheduler.run()
    assert _stopped(tables) == ["b1"]
    _end_stops(tables)
    scheduler.run()
    assert len(urgent.runs()) == 1


def test_stops_in_progress_are_waited_for():
    """Guards against more stops while the first ones are enough."""
    tables = _tables(_account(8), _LENA)
    scheduler = scheduling.Scheduler(tables)
    batch = _batch(tables, "b1", 8)
    _run_and_start(scheduler, tables)
    for run in batch.runs()[:4]:
        lifecycle.stop_run(tables, run, "test")
    urgent = _open(tables, "u1", builders.step(gpu=4), queue=_URGENT)
    scheduler.run()
    assert len(tables.pending_stops) == 4
    _batch(tables, "b2", 4)
    _end_stops(tables)
    scheduler.run()
    assert len(urgent.runs()) == 1


def test_runs_on_a_silent_endpoint_are_not_stopped():
    """Guards against stops that cannot free anything in time."""
    tables = _tables(_account(8), _LENA)
    scheduler = scheduling.Scheduler(tables)
    batch = _batch(tables, "b1", 8)
    _run_and_start(scheduler, tables)
    (used,) = {m.endpoint_id for run in batch.runs() for m in run.members}
    tables.endpoints.by_id[used].answering = False
    _open(tables, "u1", builders.step(), queue=_URGENT)
    scheduler.run()
    assert not tables.pending_stops


def test_search_is_not_repeated_while_nothing_changes(monkeypatch):
    """Guards against a search in each pass for a unit that cannot start."""
    tables = _tables(_account(8), _LENA)
    scheduler = scheduling.Scheduler(tables)
    _batch(tables, "b1", 8, long_running=True)
    _run_and_start(scheduler, tables)
    for number in range(5):
        _open(tables, f"u{number}", builders.step(), queue=_URGENT)
    searches = []
    plan = displacement.plan

    def counted(*args):
        searches.append(args)
        return plan(*args)

    monkeypatch.setattr(displacement, "plan", counted)
    for _ in range(20):
        scheduler.run()
        tables.monotonic.advance(10)
    assert len(searches) == 5


def test_an_error_of_displacement_does_not_end_the_pass(monkeypatch):
    """Guards against a pass that ends at an error of a new decision."""
    tables = _tables(_account(8), _LENA)
    scheduler = scheduling.Scheduler(tables)
    _batch(tables, "b1", 8)
    _run_and_start(scheduler, tables)
    _open(tables, "u1", builders.step(), queue=_URGENT)
    other = _open(tables, "l1", builders.step(), account="lena")
    monkeypatch.setattr(displacement, "plan", None)
    scheduler.run()
    assert len(other.runs()) == 1


def test_overdue_gang_is_not_overtaken_by_small_work_of_its_account(
    monkeypatch,
):
    """Guards against a gang that never finds its account's limit free."""
    tables = _tables(_account(8), _LENA)
    scheduler = scheduling.Scheduler(tables)
    first = _batch(tables, "b1", 6)
    _run_and_start(scheduler, tables)
    gang = _open(tables, "g1", builders.step(count=4, gang=True))
    small = _batch(tables, "s1", 2)
    rank = ordering.rank

    def overdue(found, unit, *args):
        result = rank(found, unit, *args)
        if unit.entry is not gang:
            return result
        return builders.replace(result, work=_Overdue(), due_ms=-1.0)

    monkeypatch.setattr(ordering, "rank", overdue)
    scheduler.run()
    assert not gang.runs()
    assert not small.runs()
    for run in first.runs()[:2]:
        run.unit.state = progress.UnitState.DONE
        lifecycle.mark_terminated(tables, run.members[0], builders.PROOF)
    scheduler.run()
    assert len(gang.runs()) == 1
    assert tables.usage.usage("mina").gpu == 8


def test_gang_that_exceeds_a_lowered_limit_keeps_nothing_for_itself(
    monkeypatch,
):
    """Guards against an account that stops working for a gang that waits."""
    tables = _tables(_account(8), _LENA)
    scheduler = scheduling.Scheduler(tables)
    _open(tables, "g1", builders.step(count=9, gang=True))
    small = _batch(tables, "s1", 2)
    rank = ordering.rank

    def overdue(found, unit, *args):
        result = rank(found, unit, *args)
        if unit.size == 1:
            return result
        return builders.replace(result, work=_Overdue(), due_ms=-1.0)

    monkeypatch.setattr(ordering, "rank", overdue)
    scheduler.run()
    assert len(small.runs()) == 2


class _Overdue:
    overdue = True
