"""Tests of throttling filler tasks in favour of serving tasks."""

import builders
from laburnumgate_placer import lifecycle
from laburnumgate_placer import pacing


def _sharing(load):
    tables = builders.tables()
    state = builders.add_endpoint(tables)
    serving = builders.step(long_running=True, target_ms=100)
    filling = builders.step(long_running=True, fills=True)
    members = []
    for job_id, step in (("a" * 16, serving), ("b" * 16, filling)):
        entry = lifecycle.open_job(tables, builders.job(job_id, step))
        unit = next(iter(entry.units_by_key.values()))
        run = lifecycle.assign(tables, unit, ["e1"])
        builders.start(tables, run)
        members.extend(run.members)
    members[0].load = load
    return tables, state, members


def test_a_disturbed_task_is_relieved_within_its_bound():
    """Guards against a serving task that stays above its latency target."""
    tables, state, (serving, filling) = _sharing(140.0)
    elapsed_ms = 0
    while filling.pace_percent:
        for change in pacing.adjust(state, tables.monotonic.now_ms()):
            assert change.member is filling
            filling.pace_percent = change.percent
        tables.monotonic.advance(100)
        elapsed_ms += 100
    assert elapsed_ms < tables.bounds.interference_ms


def test_pace_is_raised_while_no_task_is_disturbed():
    """Guards against filler tasks that stay throttled without need."""
    tables, state, (serving, filling) = _sharing(20.0)
    filling.pace_percent = 0
    for _ in range(100):
        for change in pacing.adjust(state, tables.monotonic.now_ms()):
            filling.pace_percent = change.percent
        tables.monotonic.advance(100)
    assert filling.pace_percent == 100


def test_a_step_that_fills_takes_no_cpu_of_the_capacity():
    """Guards against filler tasks that take CPU capacity from other work."""
    _, state, _ = _sharing(20.0)
    assert state.used.cpu == 1_000
