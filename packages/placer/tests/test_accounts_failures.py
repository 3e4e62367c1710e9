"""Tests of failures that concern the limits of accounts.

Each test brings about one failure with small fakes.
"""

import asyncio

import builders
import fakeworkers
from laburnumgate_placer import call_gate
from laburnumgate_placer import config_table
from laburnumgate_placer import launcher
from laburnumgate_placer import lifecycle
from laburnumgate_placer import live_list
from laburnumgate_placer import model
from laburnumgate_placer import ports
from laburnumgate_placer import progress
from laburnumgate_placer import reports
from laburnumgate_placer import scheduling

_URGENT = model.Queue(
    "urgent", "h.example", "/urgent/", "pool", priority=0, stretch=3.0
)
_BATCH = model.Queue(
    "batch", "h.example", "/batch/", "pool", priority=2, stretch=30.0
)


def _account(gpu, name="mina", **fields):
    return model.Account(
        name, frozenset(), limit=model.Resources(gpu=gpu), **fields
    )


def _tables(*accounts, endpoints=4, **fields):
    tables = builders.tables(_URGENT, _BATCH, accounts=accounts)
    for number in range(endpoints):
        builders.add_endpoint(tables, f"e{number}", **fields)
    return tables


def _publish(tables, *accounts, version=2):
    config = builders.config(
        _URGENT, _BATCH, accounts=accounts, version=version
    )
    tables.config.publish(version, config)


def _open(tables, job_id, *steps, queue=_BATCH, **fields):
    job = builders.job(job_id, *steps, queue=queue, **fields)
    job = builders.replace(job, accepted_ms=tables.wall.now_ms())
    return lifecycle.open_job(tables, job)


def _start_all(tables):
    runs, tables.assigned_runs = tables.assigned_runs, []
    for run in runs:
        builders.start(tables, run)
    return runs


def _launcher(tables, *workers):
    return launcher.Launcher(
        fakeworkers.FakeEndpoints(*workers),
        tables,
        call_gate.CallGate(tables.monotonic),
        lambda: True,
        lambda reason: None,
    )


def _restored(entry, tables):
    """Returns what a new leader restores from the record of a job."""
    restored = progress.JobEntry(entry.job, 0)
    progress.restore(restored, progress.encode(entry), 0, 0)
    tables.entries_by_id[entry.job.job_id] = restored
    return restored


def _live_list(tables):
    return live_list.LiveList(tables, lambda entry: None, lambda state: None, 0)


def _used_gpu(tables, account="mina"):
    return tables.usage.usage(account).gpu


def test_leader_dies_between_storing_an_assignment_and_its_order():
    """Guards against a new leader that starts work beside a recorded run.

    The recorded run counts until its endpoint reports that it is not there.
    """
    before = _tables(_account(2))
    entry = _open(before, "a1", builders.step(count=3))
    scheduling.Scheduler(before).run()
    assert len(before.assigned_runs) == 2
    after = _tables(_account(2))
    restored = _restored(entry, after)
    live = _live_list(after)
    for run in restored.runs():
        lifecycle.adopt(after, run, live.state_for, 0)
    scheduler = scheduling.Scheduler(after)
    scheduler.run()
    assert _used_gpu(after) == 2
    assert not after.assigned_runs
    after.monotonic.advance(10)
    for state in after.endpoints.by_id.values():
        now_ms = after.monotonic.now_ms()
        reports.apply(after, state, builders.report(state), now_ms)
    assert _used_gpu(after) == 0
    after.monotonic.advance(lifecycle.RETRY_PAUSE_MS)
    scheduler.run()
    assert len(after.assigned_runs) == 2


def test_recorded_run_on_an_unknown_endpoint_counts_until_its_lease_ends():
    """Guards against runs that no list names and that are not counted."""
    before = _tables(_account(2))
    entry = _open(before, "a1", builders.step(count=2))
    scheduling.Scheduler(before).run()
    after = _tables(_account(2), endpoints=0)
    restored = _restored(entry, after)
    live = _live_list(after)
    for run in restored.runs():
        lifecycle.adopt(after, run, live.state_for, 0)
    assert _used_gpu(after) == 2
    (state,) = after.endpoints.by_id.values()
    builders.expire_leases(after, state)
    assert _used_gpu(after) == 0


def test_newer_recorded_incarnation_of_an_unlisted_endpoint_is_not_lost():
    """Guards against a run that is given up because of an older record.

    A record may still name a member on an ended incarnation. The newer
    incarnation of the same id may be running what another record names.
    """
    after = _tables(_account(4), endpoints=0)
    live = _live_list(after)
    for job_id, born_ms in (("a1", 1), ("a2", 2)):
        before = _tables(_account(4), endpoints=1, born_ms=born_ms)
        entry = _open(before, job_id, builders.step())
        scheduling.Scheduler(before).run()
        restored = _restored(entry, after)
        for run in restored.runs():
            lifecycle.adopt(after, run, live.state_for, 0)
    assert not after.entries_by_id["a1"].runs()
    assert len(after.entries_by_id["a2"].runs()) == 1
    assert after.endpoints.by_id["e0"].info.born_ms == 2
    assert _used_gpu(after) == 1


def test_lost_answer_and_late_order_count_until_a_report_decides():
    """Guards against a late order that runs although it is not counted."""
    tables = _tables(_account(1), endpoints=1)
    state = tables.endpoints.by_id["e0"]
    entry = _open(tables, "a1", builders.step(count=2))
    scheduler = scheduling.Scheduler(tables)
    scheduler.run()
    (run,) = entry.runs()
    worker = fakeworkers.FakeWorker("e0", partitioned=True)
    starter = _launcher(tables, worker)

    async def launch():
        launching = asyncio.create_task(starter.launch(run))
        await asyncio.sleep(0.6)
        tables.monotonic.advance(tables.bounds.gang_ms)
        await launching

    builders.run(launch())
    assert run.phase == progress.Phase.STOPPING
    report = builders.report(state)
    reports.apply(tables, state, report, tables.monotonic.now_ms())
    scheduler.run()
    assert _used_gpu(tables) == 1
    # The order is executed now.
    member = run.members[0]
    report = builders.report(state, builders.row(member))
    reports.apply(tables, state, report, tables.monotonic.now_ms())
    tables.monotonic.advance(lifecycle.RETRY_PAUSE_MS)
    scheduler.run()
    assert _used_gpu(tables) == 1
    worker.partitioned = False
    builders.run(starter.stop(member))
    tables.monotonic.advance(10)
    report = builders.report(state)
    reports.apply(tables, state, report, tables.monotonic.now_ms())
    assert _used_gpu(tables) == 0
    state.answering = True
    tables.monotonic.advance(lifecycle.RETRY_PAUSE_MS)
    scheduler.run()
    assert _used_gpu(tables) == 1


def test_lowered_limit_ends_runs_without_a_sent_order():
    """Guards against orders that are sent after their limit was lowered."""
    tables = _tables(_account(4), endpoints=1)
    entry = _open(tables, "a1", builders.step(count=4))
    scheduling.Scheduler(tables).run()
    worker = fakeworkers.FakeWorker("e0")
    starter = _launcher(tables, worker)
    first, *others = entry.runs()
    builders.run(starter.launch(first))
    _publish(tables, _account(2))
    for run in others:
        builders.run(starter.launch(run))
    assert first.phase == progress.Phase.RUNNING
    assert len(worker.starts) == 2
    assert _used_gpu(tables) == 2
    assert not tables.pending_stops


def test_run_with_a_sent_order_continues_after_its_limit_was_lowered():
    """Guards against a lowered limit that stops what may be running."""
    tables = _tables(_account(2), endpoints=2)
    step = builders.step(count=2, gang=True, max_per_endpoint=1)
    entry = _open(tables, "a1", step)
    scheduling.Scheduler(tables).run()
    (run,) = entry.runs()
    workers = [
        fakeworkers.FakeWorker("e0"),
        fakeworkers.FakeWorker("e1", partitioned=True),
    ]
    starter = _launcher(tables, *workers)

    async def launch():
        launching = asyncio.create_task(starter.launch(run))
        await asyncio.sleep(0.1)
        _publish(tables, _account(1))
        workers[1].partitioned = False
        await asyncio.sleep(0.5)
        tables.monotonic.advance(10)
        state = tables.endpoints.by_id["e1"]
        sent_ms = tables.monotonic.now_ms()
        reports.apply(tables, state, builders.report(state), sent_ms)
        builders.record_starts(tables)
        await launching

    builders.run(launch())
    assert run.phase == progress.Phase.RUNNING
    assert [len(worker.starts) for worker in workers] == [1, 1]


def test_eight_times_the_usual_work_does_not_hold_up_other_accounts():
    """Guards against an account that reserves what its limit forbids.

    Its gangs fit its limit one at a time. Only one of them may reserve
    endpoints, so that the work of others starts.
    """
    tables = _tables(_account(16), model.Account("lena", frozenset()))
    gang = builders.step(count=2, gpu=8, gang=True)
    for number in range(3):
        # Leaves one endpoint free.
        _open(
            tables,
            f"f{number}",
            builders.step(gpu=8, estimate_ms=9_000),
            account="lena",
        )
    scheduler = scheduling.Scheduler(tables)
    scheduler.run()
    _start_all(tables)
    for number in range(16):
        _open(tables, f"a{number:02}", gang, queue=_URGENT)
    scheduler.run()
    stopped = tables.pending_stops
    # One gang needs one more endpoint; the others must not stop anything.
    assert len({m.endpoint_id for m in stopped}) <= 1
    assert _used_gpu(tables) <= 16


def test_account_over_its_limit_leaves_the_rest_to_others():
    """Guards against work of other accounts that waits behind held work."""
    tables = _tables(_account(4), model.Account("lena", frozenset()))
    for number in range(8):
        _open(
            tables, f"a{number}", builders.step(count=13, gpu=1), queue=_URGENT
        )
    other = _open(tables, "b1", builders.step(count=28), account="lena")
    scheduling.Scheduler(tables).run()
    assert _used_gpu(tables) == 4
    assert len(other.runs()) == 28
    assert not tables.pending_stops


def test_last_configuration_stays_in_force_without_the_store():
    """Guards against a limit that is forgotten while no new one is read."""
    tables = _tables(_account(2))
    _open(tables, "a1", builders.step(count=8))
    scheduler = scheduling.Scheduler(tables)
    for _ in range(4):
        scheduler.run()
        assert _used_gpu(tables) == 2
        tables.monotonic.advance(tables.bounds.config_apply_ms)
    # The store is back, and with it two configurations at once.
    _publish(tables, _account(8), version=3)
    _publish(tables, _account(6), version=4)
    scheduler.run()
    assert _used_gpu(tables) == 2
    tables.monotonic.advance(tables.bounds.config_apply_ms)
    scheduler.run()
    assert _used_gpu(tables) == 6


def test_units_of_one_account_stop_no_more_work_than_its_limit_permits():
    """Guards against runs of others that are stopped for units held back."""
    tables = _tables(
        _account(8), model.Account("lena", frozenset()), endpoints=2
    )
    for number in range(2):
        _open(
            tables,
            f"f{number}",
            builders.step(gpu=8, estimate_ms=9_000),
            account="lena",
        )
    scheduler = scheduling.Scheduler(tables)
    scheduler.run()
    _start_all(tables)
    for number in range(2):
        _open(tables, f"a{number}", builders.step(gpu=8), queue=_URGENT)
    scheduler.run()
    scheduler.run()
    assert len(tables.pending_stops) == 1


def test_held_unit_gives_its_endpoints_up_in_the_same_pass():
    """Guards against endpoints that are held for a unit that cannot start."""
    tables = _tables(
        _account(8), model.Account("lena", frozenset()), endpoints=2
    )
    _open(tables, "f0", builders.step(gpu=8, estimate_ms=9_000), account="lena")
    _open(tables, "f1", builders.step(gpu=8, estimate_ms=9_000), account="lena")
    scheduler = scheduling.Scheduler(tables)
    scheduler.run()
    first, second = _start_all(tables)
    urgent = _open(tables, "a0", builders.step(gpu=8), queue=_URGENT)
    scheduler.run()
    assert len(tables.pending_stops) == 1
    stopped = tables.pending_stops[0]
    # A guaranteed job of the account starts on the other endpoint first.
    rest = second if stopped.run is first else first
    lifecycle.mark_terminated(tables, rest.members[0], builders.PROOF)
    rest.unit.backoff_until_ms = tables.monotonic.now_ms() + 60_000
    _publish(tables, _account(8, guaranteed_gpu=8), version=2)
    urgent.job = builders.replace(urgent.job, accepted_ms=2_000_000)
    other = _open(tables, "a1", builders.step(gpu=8), queue=_URGENT)
    scheduler.run()
    assert len(other.runs()) == 1
    lifecycle.mark_terminated(tables, stopped, builders.PROOF)
    stopped.run.unit.backoff_until_ms = 0
    scheduler.run()
    assert not urgent.runs()
    assert len(stopped.run.unit.entry.runs()) == 1


def test_unexpected_error_in_the_limit_check_delays_only_the_step(monkeypatch):
    """Guards against a pass that ends at an error of a new decision."""
    tables = _tables(_account(4), model.Account("lena", frozenset()))
    _open(tables, "a1", builders.step())
    other = _open(tables, "b1", builders.step(), account="lena")
    limit = tables.config.limit

    def broken(account):
        if account == "mina":
            raise ArithmeticError("test")
        return limit(account)

    monkeypatch.setattr(tables.config, "limit", broken)
    scheduling.Scheduler(tables).run()
    assert len(other.runs()) == 1
    assert _used_gpu(tables) == 0


def test_older_limits_stay_in_force_for_the_time_of_the_platform():
    """Guards against an older limit that is dropped before it is replaced."""
    assert builders.tables().bounds.config_apply_ms == 3_000


def test_removed_configuration_table_clock_is_not_needed_without_apply_time():
    """Guards against tools that read a configuration without a clock."""
    table = config_table.ConfigTable()
    table.publish(1, builders.config(accounts=(_account(2),)))
    table.publish(2, builders.config(accounts=(_account(4),), version=2))
    assert table.limit("mina").gpu == 4


def test_restarted_endpoint_under_its_id_releases_its_members_once():
    """Guards against usage that a restart removes twice or never."""
    tables = _tables(_account(4), endpoints=1)
    _open(tables, "a1", builders.step(count=2))
    scheduling.Scheduler(tables).run()
    _start_all(tables)
    newer = builders.endpoint("e0", born_ms=2)
    live = live_list.LiveList(
        tables, lambda entry: newer, lambda state: None, 0
    )
    live.apply(ports.Entry(1, "e0", b"1"))
    assert _used_gpu(tables) == 2
    state = tables.endpoints.by_id["e0"]
    lifecycle.end_incarnation(tables, state, "test")
    live.add_restarted()
    assert tables.endpoints.by_id["e0"].info.born_ms == 2
    lifecycle.end_incarnation(tables, state, "test")
    assert _used_gpu(tables) == 0
    assert tables.endpoints.by_id["e0"].used == model.Resources()


def test_order_of_an_earlier_leader_may_reach_the_next_incarnation():
    """Guards against a late order that runs beside the next run of its task.

    The earlier leader's order is on its way while the endpoint restarts under
    its id. Only the first report of the new incarnation fences it.
    """
    before = _tables(_account(1), endpoints=1)
    entry = _open(before, "a1", builders.step())
    scheduling.Scheduler(before).run()
    after = _tables(_account(1), endpoints=0)
    builders.add_endpoint(after, "e1")
    state = builders.add_endpoint(after, "e0", born_ms=2)
    state.contacted = False
    restored = _restored(entry, after)
    (run,) = restored.runs()
    lifecycle.adopt(after, run, _live_list(after).state_for, 0)
    scheduler = scheduling.Scheduler(after)
    scheduler.run()
    assert _used_gpu(after) == 1
    assert not after.assigned_runs
    after.monotonic.advance(10)
    now_ms = after.monotonic.now_ms()
    reports.apply(after, state, builders.report(state), now_ms)
    assert _used_gpu(after) == 0
    scheduler.run()
    assert len(after.assigned_runs) == 1
