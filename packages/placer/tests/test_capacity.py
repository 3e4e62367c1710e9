"""Tests of endpoints whose capacity shrinks and grows while they run."""

import asyncio

import builders
import fakeworkers
from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from laburnumgate_placer import call_gate
from laburnumgate_placer import events
from laburnumgate_placer import launcher
from laburnumgate_placer import lifecycle
from laburnumgate_placer import live_list
from laburnumgate_placer import load_reports
from laburnumgate_placer import model
from laburnumgate_placer import ports
from laburnumgate_placer import progress
from laburnumgate_placer import reports
from laburnumgate_placer import scheduling
from laburnumgate_placer.overload import admission
import pytest

_FULL = model.Resources(32_000, 64_000, 8)
_HALF = model.Resources(16_000, 32_000, 4)


def _listed(tables, *endpoints):
    """Returns a live list with an `apply(endpoint)` for each new entry."""
    newest = {}
    tracked = live_list.LiveList(
        tables, lambda entry: newest[entry.key], lambda state: None, 0
    )

    def apply(endpoint):
        newest[endpoint.endpoint_id] = endpoint
        tracked.apply(ports.Entry(1, endpoint.endpoint_id, b"1"))

    for endpoint in endpoints:
        apply(endpoint)
    return apply


def _assign(tables, job_id, *endpoint_ids, **fields) -> progress.Run:
    step = builders.step(len(endpoint_ids), gang=True, **fields)
    entry = lifecycle.open_job(tables, builders.job(job_id * 16, step))
    unit = next(iter(entry.units_by_key.values()))
    return lifecycle.assign(tables, unit, list(endpoint_ids))


def _changes(caplog) -> list:
    number = events.Event.ENDPOINT_CHANGED.number
    return [r for r in caplog.records if getattr(r, "event", 0) == number]


def test_a_changed_capacity_is_logged_with_what_is_in_use(caplog):
    """Guards against a shrink that on-call cannot find in the log."""
    caplog.set_level("INFO")
    tables = builders.tables()
    apply = _listed(tables, builders.endpoint())
    _assign(tables, "a", "e1", gpu=6)
    apply(builders.endpoint())
    assert not _changes(caplog)
    apply(builders.endpoint(capacity=_HALF))
    (found,) = _changes(caplog)
    assert found.endpoint == "e1"
    assert found.reason == "its capacity changed"
    assert found.capacity_before == [32_000, 64_000, 8]
    assert found.capacity == [16_000, 32_000, 4]
    assert found.used == [1_000, 1_000, 6]
    tables.wake.clear()
    apply(builders.endpoint(capacity=_FULL))
    assert len(_changes(caplog)) == 2
    assert tables.wake.is_set()


def _launcher(tables, *workers) -> launcher.Launcher:
    return launcher.Launcher(
        fakeworkers.FakeEndpoints(*workers),
        tables,
        call_gate.CallGate(tables.monotonic),
        lambda: True,
        lambda reason: None,
    )


def _shrink(tables, capacity, endpoint_id="e1"):
    state = tables.endpoints.by_id[endpoint_id]
    state.info = builders.replace(state.info, capacity=capacity)


def test_a_run_assigned_before_a_shrink_does_not_start_after_it():
    """Guards against a start that exceeds a capacity that shrank meanwhile."""
    tables = builders.tables()
    builders.add_endpoint(tables)
    builders.start(tables, _assign(tables, "a", "e1", gpu=2))
    large = _assign(tables, "b", "e1", gpu=5)
    small = _assign(tables, "c", "e1", gpu=1)
    worker = fakeworkers.FakeWorker("e1")
    starter = _launcher(tables, worker)
    _shrink(tables, _HALF)
    builders.run(starter.launch(large))
    builders.run(starter.launch(small))
    assert [order.task.job_id for order in worker.starts] == ["c" * 16]
    assert large.unit.state == progress.UnitState.WAITING
    assert not large.unit.failures
    assert small.phase == progress.Phase.RUNNING


def test_an_unanswered_start_is_not_repeated_after_a_shrink():
    """Guards against a repeated order that starts a run beyond the capacity."""
    tables = builders.tables()
    state = builders.add_endpoint(tables)
    run = _assign(tables, "a", "e1", gpu=5)
    worker = fakeworkers.FakeWorker("e1", partitioned=True)

    async def work():
        launching = asyncio.create_task(_launcher(tables, worker).launch(run))
        await asyncio.sleep(0.1)
        _shrink(tables, _HALF)
        worker.partitioned = False
        await asyncio.sleep(0.4)
        # An order is repeated only once it is recorded, and after a report.
        builders.record_starts(tables)
        state.reported_ms = tables.monotonic.now_ms() + 1
        await launching

    builders.run(work())
    assert not worker.starts
    assert run.phase == progress.Phase.STOPPING
    # The first order may still be carried out.
    assert tables.endpoints.by_id["e1"].used.gpu == 5
    assert tables.pending_stops == run.members


def test_a_gang_does_not_start_if_one_of_its_endpoints_shrank():
    """Guards against a gang that is started in part."""
    tables = builders.tables()
    builders.add_endpoint(tables)
    builders.add_endpoint(tables, "e2")
    run = _assign(tables, "a", "e1", "e2", gpu=5)
    workers = [fakeworkers.FakeWorker("e1"), fakeworkers.FakeWorker("e2")]
    _shrink(tables, _HALF, "e2")
    builders.run(_launcher(tables, *workers).launch(run))
    assert not workers[0].starts and not workers[1].starts
    assert run.unit.state == progress.UnitState.WAITING


@pytest.mark.parametrize(
    "room",
    [model.Resources(1_000, 1_000, 0), model.Resources(0, 1_000, 0)],
    ids=["no accelerator", "memory only"],
)
def test_an_endpoint_beyond_one_amount_gets_no_task_that_needs_others(room):
    """Guards against a start beside runs that exceed another amount."""
    tables = builders.tables()
    state = builders.add_endpoint(tables)
    builders.start(tables, _assign(tables, "a", "e1", gpu=8))
    _shrink(tables, model.Resources(32_000, 64_000, 4))
    step = model.Step(1, room, estimate_ms=1_000)
    lifecycle.open_job(tables, builders.job("b" * 16, step))
    scheduling.Scheduler(tables).run()
    assert len(state.members) == 1
    _shrink(tables, _FULL)
    scheduling.Scheduler(tables).run()
    assert len(state.members) == 2


def test_a_filler_waits_while_the_cpu_of_its_endpoint_is_exceeded():
    """Guards against a filler that is started beside runs that exceed it."""
    tables = builders.tables()
    state = builders.add_endpoint(tables)
    builders.start(tables, _assign(tables, "a", "e1", gpu=0))
    _shrink(tables, model.Resources(500, 64_000, 8))
    step = builders.step(gpu=0, fills=True)
    lifecycle.open_job(tables, builders.job("b" * 16, step))
    scheduling.Scheduler(tables).run()
    assert len(state.members) == 1


def test_a_run_does_not_start_beside_an_unknown_one():
    """Guards against a start beside a run whose size is not known."""
    tables = builders.tables()
    state = builders.add_endpoint(tables)
    run = _assign(tables, "a", "e1", gpu=8)
    worker = fakeworkers.FakeWorker("e1")
    unknown = model.ReportedRun(model.TaskKey("f" * 16, 0, 0, 0), 1, "", 10, 0)
    now_ms = tables.monotonic.now_ms()
    reports.apply(tables, state, builders.report(state, unknown), now_ms)
    builders.run(_launcher(tables, worker).launch(run))
    assert not worker.starts
    assert run.unit.state == progress.UnitState.WAITING


def test_a_run_does_not_start_in_an_incarnation_of_another_size():
    """Guards against an order that reaches a restarted, smaller endpoint.

    An order is addressed to the id alone, which a restart may keep.
    """
    tables = builders.tables()
    apply = _listed(tables, builders.endpoint())
    state = tables.endpoints.by_id["e1"]
    state.contacted = True
    builders.start(tables, _assign(tables, "a", "e1", gpu=2))
    run = _assign(tables, "b", "e1", gpu=5)
    worker = fakeworkers.FakeWorker("e1")
    apply(builders.endpoint(born_ms=2, capacity=_HALF))
    lifecycle.open_job(tables, builders.job("c" * 16, builders.step(gpu=1)))
    scheduling.Scheduler(tables).run()
    assert len(state.members) == 2
    builders.run(_launcher(tables, worker).launch(run))
    assert not worker.starts
    assert run.unit.state == progress.UnitState.WAITING


def test_a_smaller_incarnation_is_used_once_the_old_runs_are_gone():
    """Guards against an endpoint that stays unused after a restart."""
    tables = builders.tables()
    newest = {"e1": builders.endpoint()}
    tracked = live_list.LiveList(
        tables, lambda entry: newest[entry.key], lambda state: None, 0
    )
    tracked.apply(ports.Entry(1, "e1", b"1"))
    run = _assign(tables, "a", "e1", gpu=2)
    builders.start(tables, run)
    newest["e1"] = builders.endpoint(born_ms=2, capacity=_HALF)
    tracked.apply(ports.Entry(2, "e1", b"1"))
    assert tables.endpoints.by_id["e1"].info.born_ms == 1
    # The leases are over, and the endpoint was not reached meanwhile.
    lifecycle.mark_terminated(tables, run.members[0], builders.PROOF)
    tracked.add_restarted()
    state = tables.endpoints.by_id["e1"]
    assert state.info.born_ms == 2
    assert state.info.capacity == _HALF
    assert state.listed


def test_an_assigned_run_does_not_start_on_an_old_live_list():
    """Guards against a start that was held up while the list became old."""
    tables = builders.tables()
    builders.add_endpoint(tables)
    run = _assign(tables, "a", "e1")
    worker = fakeworkers.FakeWorker("e1")
    age_ms = tables.bounds.max_list_age_ms + 1
    tables.endpoints.list_age_ms = lambda: age_ms
    builders.run(_launcher(tables, worker).launch(run))
    assert not worker.starts
    assert run.unit.state == progress.UnitState.WAITING


def test_a_new_leader_refuses_no_job_for_a_capacity_that_shrank():
    """Guards against jobs that are refused for good while endpoints are small.

    The earlier leader had seen a larger size, which the endpoint may regain.
    """
    tables = builders.tables()
    builders.add_endpoint(tables)
    first = load_reports.collect(tables, {})
    _shrink(tables, _HALF)
    report = load_reports.encode(first)
    seen = load_reports.largest_by_service(report)
    known = load_reports.collect(tables, seen)["pool"]
    job = builders.job("a" * 16, builders.step(gpu=8))
    assert admission.decide(job, 0, known) is None


def test_a_malformed_report_of_an_earlier_leader_names_no_sizes():
    """Guards against a term that ends for a record of another version."""
    assert load_reports.largest_by_service({"pool": 1}) == {}
    assert load_reports.largest_by_service({}) == {}


_CHANGES = st.lists(
    st.tuples(
        st.sampled_from(["resize", "submit", "stop", "end"]),
        st.integers(0, 2),
        st.integers(0, 8),
    ),
    max_size=30,
)


@given(_CHANGES)
@example([("submit", 0, 8), ("resize", 0, 1), ("submit", 0, 0)])
# On a busy machine an example takes longer than the default of 200 ms.
@settings(deadline=None)
def test_no_start_exceeds_a_capacity_that_changes(changes):
    """Guards against starts beyond the capacity in any order of changes."""
    tables = builders.tables()
    states = [builders.add_endpoint(tables, f"e{n}") for n in range(3)]
    workers = [fakeworkers.FakeWorker(s.info.endpoint_id) for s in states]
    scheduler = scheduling.Scheduler(tables)

    async def work():
        starter = _launcher(tables, *workers)
        for number, (kind, index, amount) in enumerate(changes):
            tables.monotonic.advance(200)
            if kind == "submit":
                step = builders.step(1 + index, amount, gang=amount % 2 == 0)
                job = builders.job(f"{number:016x}", step)
                lifecycle.open_job(tables, job)
            elif kind == "resize":
                size = model.Resources(4_000 * amount, 64_000, amount)
                _shrink(tables, size, f"e{index}")
            elif states[index].members:
                member = next(iter(states[index].members.values()))
                lifecycle.stop_run(tables, member.run, "test")
                if kind == "end":
                    for each in member.run.members:
                        lifecycle.mark_terminated(tables, each, builders.PROOF)
            scheduler.run()
            runs, tables.assigned_runs = tables.assigned_runs, []
            for run in runs:
                ids = {member.endpoint_id for member in run.members}
                placed = [s for s in states if s.info.endpoint_id in ids]
                assert not any(state.overcommitted() for state in placed)
                await starter.launch(run)

    builders.run(work())


def test_a_job_that_fits_nowhere_waits_until_an_endpoint_grows_again():
    """Guards against a hold or a failure that outlasts the shrink."""
    tables = builders.tables()
    state = builders.add_endpoint(tables)
    scheduler = scheduling.Scheduler(tables)
    _shrink(tables, _HALF)
    step = builders.step(2, 4, gang=True, same_rack=True)
    entry = lifecycle.open_job(tables, builders.job("a" * 16, step))
    for _ in range(100):
        tables.monotonic.advance(200)
        scheduler.run()
    assert entry.state == model.JobState.QUEUED
    assert not state.members
    _shrink(tables, _FULL)
    scheduler.run()
    assert len(state.members) == 2
