"""Tests of waves of upkeep: concurrency limit, emptying, completion."""

import builders
from laburnumgate_placer import lifecycle
from laburnumgate_placer import model
from laburnumgate_placer import upkeep


def _waves(most=1, duration_ms=20_000, machines=("m1", "m2", "m3")):
    wave = model.Wave(1, tuple(machines), duration_ms, most)
    return {1: wave}


def _orders(actions):
    return [a for a in actions if isinstance(a, upkeep.OrderUpkeep)]


def test_no_more_machines_go_down_than_the_wave_allows():
    """Guards against a wave that takes too many machines down at once."""
    tables = builders.tables()
    for number in (1, 2, 3):
        builders.add_endpoint(tables, f"e{number}", machine=f"m{number}")
    table = upkeep.UpkeepTable(tables)
    waves = _waves(most=2)
    orders = _orders(table.plan(waves))
    assert len(orders) == 2
    for order in orders:
        table.mark_ordered(1, order.machine)
    assert not _orders(table.plan(waves))
    table.mark_done(1, orders[0].machine)
    assert len(_orders(table.plan(waves))) == 1


def test_a_wave_is_completed_when_every_machine_had_its_upkeep():
    """Guards against a wave that is published as completed too early."""
    tables = builders.tables()
    table = upkeep.UpkeepTable(tables)
    waves = _waves(machines=("m1",))
    actions = table.plan(waves)
    assert upkeep.PublishState(1, False) in actions
    table.mark_published(1, False)
    table.mark_ordered(1, "m1")
    assert not table.plan(waves)
    table.mark_done(1, "m1")
    assert table.plan(waves) == [upkeep.PublishState(1, True)]
    table.mark_published(1, True)
    assert not table.plan(waves)


def test_a_machine_is_emptied_before_it_goes_down():
    """Guards against losing resumable work by not stopping it in time."""
    tables = builders.tables()
    builders.add_endpoint(tables, "e1", machine="m1")
    step = builders.step(checkpointing=True)
    entry = lifecycle.open_job(tables, builders.job("a" * 16, step))
    unit = next(iter(entry.units_by_key.values()))
    run = lifecycle.assign(tables, unit, ["e1"])
    builders.start(tables, run)
    table = upkeep.UpkeepTable(tables)
    waves = _waves(machines=("m1",))
    assert not _orders(table.plan(waves))
    assert table.emptying_machines() == {"m1"}
    tables.monotonic.advance(4_000)
    assert upkeep.StopRun(run) in table.plan(waves)
    lifecycle.mark_terminated(tables, run.members[0], builders.PROOF)
    assert _orders(table.plan(waves))


def test_a_long_running_task_is_stopped_only_within_may_miss():
    """Guards against stopping more tasks of a service than `may_miss`."""
    tables = builders.tables()
    builders.add_endpoint(tables, "e1", machine="m1")
    step = builders.step(count=2, long_running=True, may_miss=1)
    entry = lifecycle.open_job(tables, builders.job("a" * 16, step))
    units = list(entry.units_by_key.values())
    for unit in units:
        builders.start(tables, lifecycle.assign(tables, unit, ["e1"]))
        unit.run.members[0].percent = 100
    assert upkeep.may_interrupt(units[0])
    units[1].run.members[0].percent = 40
    assert not upkeep.may_interrupt(units[0])


def test_a_past_life_of_a_machine_does_not_hide_what_runs_on_it():
    """Guards against upkeep of a machine in use that seems to be empty."""
    tables = builders.tables()
    builders.add_endpoint(tables, "e1", machine="m1")
    builders.add_endpoint(tables, "e2", machine="m1", born_ms=2)
    step = builders.step(long_running=True)
    entry = lifecycle.open_job(tables, builders.job("a" * 16, step))
    unit = next(iter(entry.units_by_key.values()))
    builders.start(tables, lifecycle.assign(tables, unit, ["e2"]))
    table = upkeep.UpkeepTable(tables)
    waves = _waves(machines=("m1",))
    table.plan(waves)
    assert not _orders(table.plan(waves))
