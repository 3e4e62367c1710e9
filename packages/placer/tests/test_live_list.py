"""Tests of tracking the live list of endpoints."""

import asyncio
import logging

import builders
import fakelog
from laburnumgate_core import clock
from laburnumgate_placer import endpoint_table
from laburnumgate_placer import events
from laburnumgate_placer import feed
from laburnumgate_placer import lifecycle
from laburnumgate_placer import limits
from laburnumgate_placer import live_list
from laburnumgate_placer import model
from laburnumgate_placer import ports
from laburnumgate_placer import records
from laburnumgate_placer import reports
from laburnumgate_placer import watcher
import pytest

_TOPIC = "keyed.list"


def _decode(entry):
    """Decodes as a platform does; raises for a value that names an error."""
    match entry.value:
        case b"deep":
            raise RecursionError("nested too deeply")
        case b"large":
            raise OverflowError("a number is too large")
        case b"odd":
            return None
    return builders.endpoint(entry.key)


def _skipped(caplog):
    number = events.Event.RECORD_SKIPPED.number
    return [r for r in caplog.records if getattr(r, "event", 0) == number]


def _live_list(tables):
    return live_list.LiveList(
        tables, _decode, lambda state: None, tables.monotonic.now_ms()
    )


@pytest.mark.parametrize("value", [b"deep", b"large", b"odd"])
@pytest.mark.parametrize("loaded_before", [False, True])
def test_an_odd_entry_hides_no_other_entry(value, loaded_before, caplog):
    """Guards against one odd entry that ends the following of the list."""

    async def work():
        caplog.set_level(logging.WARNING)
        tables = builders.tables()
        log = fakelog.FakeLog()
        follower = feed.Feed(
            log,
            clock.MonotonicClock(),
            _TOPIC,
            _live_list(tables).apply,
            wait_ms=200,
        )
        task = asyncio.create_task(follower.run())
        if loaded_before:
            await follower.loaded.wait()
        for key, content in (("e1", b"1"), ("e2", value), ("e3", b"1")):
            log.put(_TOPIC, records.encode_keyed(key, content))
        assert await follower.wait_for_offset(3, 2_000)
        log.put(_TOPIC, records.encode_keyed("e4", b"1"))
        assert await follower.wait_for_offset(4, 2_000)
        assert set(tables.endpoints.by_id) == {"e1", "e3", "e4"}
        assert [r.key for r in _skipped(caplog)] == ["e2"]
        assert not task.done()
        task.cancel()

    builders.run(work())


@pytest.mark.parametrize("value", [b"deep", b"large", b"odd"])
def test_an_entry_replaced_by_an_odd_one_names_no_endpoint(value):
    """Guards against orders by an entry that is no longer there."""
    tables = builders.tables()
    listed = _live_list(tables)
    listed.apply(ports.Entry(1, "e1", b"1"))
    tables.endpoints.by_id["e1"].contacted = True
    now_ms = tables.monotonic.now_ms()
    assert tables.endpoints.usable("pool", set(), now_ms)
    listed.apply(ports.Entry(2, "e1", value))
    assert not tables.endpoints.usable("pool", set(), now_ms)
    listed.add_restarted()
    assert not tables.endpoints.usable("pool", set(), now_ms)
    listed.apply(ports.Entry(3, "e1", b"1"))
    assert tables.endpoints.usable("pool", set(), now_ms)


@pytest.mark.parametrize("max_lease_ms", [6_000, 10_000])
def test_unknown_leases_are_over_after_a_renewal_and_a_lease(max_lease_ms):
    """Guards against waiting longer for leases than any leader grants them.

    In a simulated day with random faults a task of a removed endpoint waited
    20 s after a change of the leader, although leases last 7 s, and did not run
    again.
    """
    tables = builders.tables(bounds=limits.Bounds(max_lease_ms=max_lease_ms))
    claimed_ms = tables.monotonic.now_ms()
    listed = live_list.LiveList(
        tables,
        lambda entry: builders.endpoint(entry.key),
        lambda state: None,
        claimed_ms,
    )
    listed.apply(ports.Entry(1, "e1", b"1"))
    given_ms = tables.bounds.lease_ms
    assert given_ms <= min(max_lease_ms, 7_000)
    waits_ms = tables.endpoints.by_id["e1"].leases_expire_ms() - claimed_ms
    assert given_ms + given_ms / 0.98 - 1 <= waits_ms <= 14_200


def _list_two_of_a_machine():
    """Returns tables, the list, and an older and a newer endpoint."""
    tables = builders.tables()
    born_by_id = {"e1": 5, "e2": 9}
    listed = live_list.LiveList(
        tables,
        lambda entry: builders.endpoint(
            entry.key, born_ms=born_by_id[entry.key], machine="m"
        ),
        lambda state: None,
        tables.monotonic.now_ms(),
    )
    listed.apply(ports.Entry(1, "e1", b"1"))
    older = tables.endpoints.by_id["e1"]
    older.contacted = True
    listed.apply(ports.Entry(2, "e2", b"1"))
    return tables, listed, older, tables.endpoints.by_id["e2"]


def _report_from(tables, state):
    now_ms = tables.monotonic.now_ms()
    reports.apply(tables, state, builders.report(state), now_ms)


def test_an_endpoint_ends_only_when_it_is_silent_and_a_later_one_answers():
    """Guards against a life that ends by a comparison of times of day."""
    tables, listed, older, newer = _list_two_of_a_machine()
    listed.add_restarted()
    assert not older.ended
    older.mark_unreachable(tables.monotonic.now_ms(), "test")
    listed.add_restarted()
    assert not older.ended
    tables.monotonic.advance(10)
    _report_from(tables, newer)
    listed.add_restarted()
    assert older.ended
    assert not newer.ended


def _needs_renewal(tables, state):
    reader = watcher.Watcher(
        None, tables, state, None, lambda: True, lambda reason: None
    )
    return reader._needs_renewal()


@pytest.mark.parametrize("gap_ms", [0, 10])
def test_a_later_endpoint_is_asked_again_when_the_earlier_one_is_silent(gap_ms):
    """Guards against a replaced endpoint that counts as silent for ever.

    Both had answered within the same millisecond, and the later one was idle.
    """
    tables, listed, older, newer = _list_two_of_a_machine()
    _report_from(tables, newer)
    tables.monotonic.advance(gap_ms)
    _report_from(tables, older)
    older.mark_unreachable(tables.monotonic.now_ms(), "test")
    assert not _needs_renewal(tables, newer)
    listed.add_restarted()
    assert not older.ended
    assert _needs_renewal(tables, newer)
    tables.monotonic.advance(1)
    _report_from(tables, newer)
    listed.add_restarted()
    assert older.ended
    assert not newer.ended
    assert not _needs_renewal(tables, newer)


def test_an_endpoint_that_answered_after_a_later_one_goes_on():
    """Guards against the end of a life that followed the one listed later."""
    tables, listed, older, newer = _list_two_of_a_machine()
    _report_from(tables, newer)
    tables.monotonic.advance(10)
    _report_from(tables, older)
    older.mark_unreachable(tables.monotonic.now_ms(), "test")
    listed.add_restarted()
    assert not older.ended


def test_an_endpoint_of_a_machine_with_a_later_one_has_to_answer_first():
    """Guards against starts on an endpoint that has probably been replaced."""
    tables, _, older, _ = _list_two_of_a_machine()
    now_ms = tables.monotonic.now_ms()
    assert not tables.endpoints.usable("pool", set(), now_ms)
    _report_from(tables, older)
    assert tables.endpoints.usable("pool", set(), now_ms) == [older]


def test_an_entry_with_an_earlier_start_does_not_end_an_endpoint():
    """Guards against an entry that its endpoint wrote before it restarted."""
    tables = builders.tables()
    listed = live_list.LiveList(
        tables,
        lambda entry: builders.endpoint(entry.key, born_ms=int(entry.value)),
        lambda state: None,
        tables.monotonic.now_ms(),
    )
    listed.apply(ports.Entry(1, "e1", b"9"))
    state = tables.endpoints.by_id["e1"]
    now_ms = tables.monotonic.now_ms()
    _report_from(tables, state)
    listed.apply(ports.Entry(2, "e1", b"5"))
    assert not tables.endpoints.usable("pool", set(), now_ms)
    _report_from(tables, state)
    listed.add_restarted()
    assert tables.endpoints.usable("pool", set(), now_ms) == [state]
    lifecycle.end_incarnation(tables, state, "test")
    listed.add_restarted()
    assert tables.endpoints.by_id["e1"].info.born_ms == 5


def test_a_life_that_left_the_list_is_asked_when_its_machine_is_back():
    """Guards against a life that counts as present long after its end."""
    tables = builders.tables()
    born_ms_by_id = {"e1": 5, "e2": 9}
    listed = live_list.LiveList(
        tables,
        lambda entry: builders.endpoint(
            entry.key, born_ms=born_ms_by_id[entry.key], machine="m1"
        ),
        lambda state: None,
        tables.monotonic.now_ms(),
    )
    listed.apply(ports.Entry(1, "e1", b"1"))
    before = tables.endpoints.by_id["e1"]
    now_ms = tables.monotonic.now_ms()
    reports.apply(tables, before, builders.report(before), now_ms)
    listed.apply(ports.Entry(2, "e1", None))
    assert not _needs_renewal(tables, before)
    listed.apply(ports.Entry(3, "e2", b"1"))
    assert _needs_renewal(tables, before)


@pytest.mark.parametrize("listed_first", [True, False])
def test_a_restarted_endpoint_is_listed_although_orders_are_pending(
    listed_first,
):
    """Guards against an endpoint that is left out until its next heartbeat.

    Its entry was read before the restart was found by a report, or after.
    """
    tables = builders.tables()
    live = live_list.LiveList(
        tables,
        lambda entry: builders.endpoint(entry.key, born_ms=int(entry.value)),
        lambda state: None,
        tables.monotonic.now_ms(),
    )
    live.apply(ports.Entry(0, "e1", b"1"))
    before = tables.endpoints.by_id["e1"]
    key = (model.TaskKey("a" * 16, 0, 0, 0), 1)
    before.pending_starts.send(key, tables.monotonic.now_ms())
    entry = ports.Entry(1, "e1", b"2")
    if listed_first:
        live.apply(entry)
    before.restart = endpoint_table.Restart(2, tables.monotonic.now_ms())
    lifecycle.end_incarnation(tables, before, "restarted")
    live.add_restarted()
    state = tables.endpoints.by_id["e1"]
    assert state is not before
    assert state.info.born_ms == 2
    assert state.listed == listed_first
    if not listed_first:
        live.apply(entry)
    assert state is tables.endpoints.by_id["e1"]
    assert state.listed
    assert state.info.capacity == builders.endpoint().capacity
