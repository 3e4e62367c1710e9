"""Tests of the limits of accounts: what starts and what is held back."""

import logging

import builders
from laburnumgate_placer import endpoint_table
from laburnumgate_placer import events
from laburnumgate_placer import lifecycle
from laburnumgate_placer import model
from laburnumgate_placer import progress
from laburnumgate_placer import scheduling
from laburnumgate_placer.accounts import holds
from laburnumgate_placer.accounts import limits


def _account(gpu, name="mina", **fields):
    return model.Account(
        name, frozenset(), limit=model.Resources(gpu=gpu), **fields
    )


def _tables(*accounts, endpoints=4):
    tables = builders.tables(accounts=accounts)
    for number in range(endpoints):
        builders.add_endpoint(tables, f"e{number}")
    return tables


def _publish(tables, *accounts, version=2):
    config = builders.config(accounts=accounts, version=version)
    tables.config.publish(version, config)


def _active(entry):
    return len(entry.runs())


def test_smallest_limit_of_each_resource():
    """Guards against an amount of 0 taken for the smallest limit."""
    found = limits.strictest(
        [model.Resources(0, 5, 3), model.Resources(7, 0, 4)]
    )
    assert found == model.Resources(7, 5, 3)
    assert limits.strictest([]) == limits.NO_LIMIT


def test_count_ignores_resources_that_a_task_does_not_need():
    """Guards against CPU work held back by an exceeded accelerator limit."""
    limit = model.Resources(4_000, 0, 2)
    usage = model.Resources(1_000, 9_000, 3)
    assert limits.count_allowed(limit, usage, model.Resources(1_500, 1)) == 2
    task = model.Resources(1_000, 1, 1)
    assert limits.count_allowed(limit, usage, task) == 0
    assert limits.exceeded(limit, usage, task) == "gpu"
    assert limits.exceeded(limit, usage, model.Resources(1)) is None


def test_as_many_independent_tasks_start_as_fit():
    """Guards against a step that exceeds the limit or starts nothing."""
    tables = _tables(_account(3))
    entry = lifecycle.open_job(
        tables, builders.job("a1", builders.step(count=8))
    )
    scheduling.Scheduler(tables).run()
    assert _active(entry) == 3
    assert tables.usage.usage("mina").gpu == 3


def test_gang_starts_as_a_whole_or_not_at_all():
    """Guards against a gang that starts up to its account's limit."""
    tables = _tables(_account(5))
    first = lifecycle.open_job(
        tables, builders.job("a1", builders.step(count=4, gang=True))
    )
    second = lifecycle.open_job(
        tables, builders.job("a2", builders.step(count=4, gang=True))
    )
    other = lifecycle.open_job(
        tables,
        builders.job("a3", builders.step(count=4, gang=True), account="lena"),
    )
    scheduling.Scheduler(tables).run()
    assert (_active(first), _active(second), _active(other)) == (1, 0, 1)


def test_task_counts_with_its_whole_room_even_if_it_fills():
    """Guards against idle CPU work that is not counted."""
    account = model.Account(
        "mina", frozenset(), limit=model.Resources(cpu=2_500)
    )
    tables = _tables(account)
    entry = lifecycle.open_job(
        tables, builders.job("a1", builders.step(count=5, gpu=0, fills=True))
    )
    scheduling.Scheduler(tables).run()
    assert _active(entry) == 2


def test_raised_limit_applies_after_the_apply_time():
    """Guards against starts above a limit that other hosts still apply."""
    tables = _tables(_account(2))
    entry = lifecycle.open_job(
        tables, builders.job("a1", builders.step(count=8))
    )
    scheduler = scheduling.Scheduler(tables)
    _publish(tables, _account(6))
    scheduler.run()
    assert _active(entry) == 2
    tables.monotonic.advance(tables.bounds.config_apply_ms - 1)
    scheduler.run()
    assert _active(entry) == 2
    tables.monotonic.advance(1)
    scheduler.run()
    assert _active(entry) == 6


def test_removed_limit_applies_until_the_apply_time():
    """Guards against a removed limit that is dropped too early."""
    tables = _tables(_account(2))
    _publish(tables, model.Account("mina", frozenset()))
    assert tables.config.limit("mina").gpu == 2
    tables.monotonic.advance(tables.bounds.config_apply_ms)
    assert tables.config.limit("mina") == limits.NO_LIMIT
    assert not tables.config.has_limits()


def test_lowered_limit_stops_nothing_and_starts_nothing():
    """Guards against running work that is stopped for a lowered limit."""
    tables = _tables(_account(4))
    entry = lifecycle.open_job(
        tables, builders.job("a1", builders.step(count=8))
    )
    scheduler = scheduling.Scheduler(tables)
    scheduler.run()
    runs = entry.runs()
    for run in runs:
        builders.start(tables, run)
    _publish(tables, _account(2))
    scheduler.run()
    assert entry.runs() == runs
    for run in runs[:2]:
        lifecycle.mark_terminated(tables, run.members[0], builders.PROOF)
    scheduler.run()
    assert _active(entry) == 2


def test_run_is_checked_again_before_its_orders():
    """Guards against orders of runs assigned before a limit was lowered."""
    tables = _tables(_account(4))
    entry = lifecycle.open_job(
        tables, builders.job("a1", builders.step(count=4))
    )
    scheduling.Scheduler(tables).run()
    runs = entry.runs()
    assert holds.run_obstacle(tables, runs[0]) is None
    _publish(tables, _account(3))
    assert "gpu" in holds.run_obstacle(tables, runs[0])
    lifecycle.stop_run(tables, runs[0], "test")
    # One run less is enough: the others may start.
    assert holds.run_obstacle(tables, runs[1]) is None


def test_member_leaves_once_if_its_endpoint_has_a_newer_incarnation():
    """Guards against usage that stays after an endpoint has restarted."""
    tables = _tables(_account(4), endpoints=1)
    entry = lifecycle.open_job(tables, builders.job("a1"))
    scheduling.Scheduler(tables).run()
    (run,) = entry.runs()
    builders.start(tables, run)
    tables.endpoints.by_id["e0"] = endpoint_table.EndpointState(
        builders.endpoint("e0", born_ms=2)
    )
    lifecycle.mark_terminated(tables, run.members[0], builders.PROOF)
    lifecycle.mark_terminated(tables, run.members[0], builders.PROOF)
    assert tables.usage.usage("mina") == model.Resources()
    assert tables.usage.changes("mina") == 2


def test_lost_recorded_member_is_never_counted():
    """Guards against a negative usage after a change of the leader."""
    tables = _tables(_account(4), endpoints=1)
    entry = lifecycle.open_job(tables, builders.job("a1"))
    scheduling.Scheduler(tables).run()
    value = progress.encode(entry)
    after = _tables(_account(4), endpoints=1)
    restored = progress.JobEntry(entry.job, 0)
    progress.restore(restored, value, 0, 0)
    (member,) = restored.runs()[0].members
    lifecycle.lose_recorded(after, after.endpoints.by_id["e0"], member)
    after.usage.add(member)
    assert after.usage.usage("mina") == model.Resources()


def test_events_are_limited_to_one_pair_a_second(caplog):
    """Guards against a flood of log lines while an account is at its limit."""
    caplog.set_level(logging.INFO)
    tables = _tables(_account(1))
    entry = lifecycle.open_job(
        tables, builders.job("a1", builders.step(count=30))
    )
    scheduler = scheduling.Scheduler(tables)
    for _ in range(20):
        scheduler.run()
        for run in entry.runs():
            for member in run.members:
                lifecycle.mark_terminated(tables, member, builders.PROOF)
        for unit in entry.units_by_key.values():
            unit.backoff_until_ms = tables.monotonic.now_ms() + 30
        scheduler.run()
        tables.monotonic.advance(100)
    numbers = [getattr(record, "event", 0) for record in caplog.records]
    assert numbers.count(events.Event.ACCOUNT_HELD.number) == 2
    assert numbers.count(events.Event.ACCOUNT_RELEASED.number) == 2
    held = next(
        record
        for record in caplog.records
        if getattr(record, "event", 0) == events.Event.ACCOUNT_HELD.number
    )
    assert (held.account, held.resource) == ("mina", "gpu")
    assert (held.usage, held.limit, held.need) == (1, 1, 1)
    assert (held.job, held.step) == ("a1", 0)


def test_dump_lists_usage_and_limit():
    """Guards against a state page that omits what an account uses."""
    tables = _tables(_account(4), model.Account("lena", frozenset()))
    lifecycle.open_job(tables, builders.job("a1", builders.step(count=2)))
    scheduling.Scheduler(tables).run()
    assert holds.dump(tables) == {
        "lena": {
            "usage": [0, 0, 0],
            "limit": [0, 0, 0],
            "share": [0.0, 0.0, 0.0],
            "excess": 0,
        },
        # Of four endpoints.
        "mina": {
            "usage": [2_000, 2_000, 2],
            "limit": [0, 0, 4],
            "share": [0.016, 0.008, 0.062],
            "excess": 0,
        },
    }
    holds.set_metrics(tables)
