"""Tests of throttling filler tasks in favour of serving tasks."""

import builders
from laburnumgate_placer import lifecycle
from laburnumgate_placer import pacing
from laburnumgate_placer import pending_starts


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


def _settle(tables, state, seconds):
    """Lets orders be answered for some time; returns the paces that are sent.

    They are pairs of monotonic time in ms and percent.
    """
    sent = []
    for _ in range(seconds * 10):
        now_ms = tables.monotonic.now_ms()
        for change in pacing.adjust(state, now_ms):
            sent.append((now_ms, change.percent))
            pacing.record_answer(change, answered=True, now_ms=now_ms)
        tables.monotonic.advance(100)
    return sent


def _start_unanswered(load):
    """Returns a system whose first order on pace is not answered."""
    tables, state, members = _sharing(load)
    now_ms = tables.monotonic.now_ms()
    (change,) = pacing.adjust(state, now_ms)
    pacing.record_answer(change, answered=False, now_ms=now_ms)
    return tables, state, members


def test_a_late_order_on_pace_does_not_stay_in_force():
    """Guards against a serving task that is slow for as long as it lasts.

    The pace is 0 when an earlier order, which had no answer, is carried out.
    """
    tables, state, (serving, filling) = _start_unanswered(140.0)
    _settle(tables, state, 5)
    assert filling.pace_percent == 0
    began_ms = tables.monotonic.now_ms()
    repeated_ms, percent = _settle(tables, state, 2)[0]
    assert percent == 0
    assert repeated_ms - began_ms <= pacing.ADJUST_INTERVAL_MS


def test_a_pace_without_doubt_is_not_sent_again():
    """Guards against orders that change nothing."""
    tables, state, _ = _start_unanswered(140.0)
    _settle(tables, state, 20)
    assert not _settle(tables, state, 5)
    tables, state, _ = _sharing(140.0)
    _settle(tables, state, 5)
    assert not _settle(tables, state, 5)


def test_a_late_order_on_pace_does_not_slow_a_filler_down_for_good():
    """Guards against a filler task that is throttled beside an idle one."""
    tables, state, (serving, filling) = _start_unanswered(140.0)
    serving.load = 20.0
    began_ms = tables.monotonic.now_ms()
    ((repeated_ms, percent),) = _settle(tables, state, 20)
    assert percent == 100
    assert repeated_ms > began_ms + pending_starts.MAX_ORDER_DELAY_MS
    assert not _settle(tables, state, 5)
