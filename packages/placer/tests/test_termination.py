"""Tests of the proofs that a task is over."""

import builders
from laburnumgate_placer import endpoint_table
from laburnumgate_placer import lifecycle
from laburnumgate_placer import model
from laburnumgate_placer import termination

_MAX_LEASE_MS = 10_000
_LEASE_MS = 7_000


def _start():
    """Returns tables, an endpoint in contact and a member ordered there."""
    tables = builders.tables()
    state = builders.add_endpoint(tables)
    now_ms = tables.monotonic.now_ms()
    state.set_clock(300_000, now_ms)
    entry = lifecycle.open_job(tables, builders.job())
    unit = next(iter(entry.units_by_key.values()))
    member = lifecycle.assign(tables, unit, ["e1"]).members[0]
    member.start_sent = True
    member.ordered_ms = now_ms
    state.pending_starts.send((member.task, member.run.number), now_ms)
    state.extend_lease(_LEASE_MS, now_ms)
    return tables, state, member


def _proof(state, member, now_ms):
    return termination.from_leases(state, member, now_ms, _MAX_LEASE_MS)


def test_an_order_to_an_unseen_next_life_outlasts_the_lease_that_it_names():
    """Guards against a second run beside one whose order was not answered.

    The endpoint has restarted unseen: the deadline is far away on its new
    clock, so that it grants the longest lease.
    """
    tables, state, member = _start()
    ordered_ms = tables.monotonic.now_ms()
    left_ms = int(_MAX_LEASE_MS / endpoint_table.MIN_CLOCK_RATE)
    assert _proof(state, member, ordered_ms + left_ms) is None
    assert _proof(state, member, ordered_ms + left_ms + 1) is not None


def test_a_member_that_was_reported_is_given_up_with_its_lease():
    """Guards against waiting for the longest lease without need."""
    tables, state, member = _start()
    member.present = True
    expired_ms = state.leases_expire_ms()
    assert _proof(state, member, expired_ms) is None
    assert _proof(state, member, expired_ms + 1) == (
        termination.LeasesExpired(expired_ms)
    )


def test_a_restart_is_over_only_without_its_runs():
    """Guards against a report that is older than the stop, or lists the run."""
    tables, state, member = _start()
    now_ms = tables.monotonic.now_ms()
    key = (member.task, member.run.number)
    state.restart = endpoint_table.Restart(2, now_ms)
    row = model.ReportedRun(*key, "", 10, 0.0)
    empty = model.Report(5, 2, (), ())
    present = model.Report(5, 2, (row,), ())

    def proof(report, requested_ms):
        return termination.from_restart(state, report, requested_ms, now_ms)

    assert proof(empty, now_ms) is None
    state.restart.voided_ms_by_order[key] = now_ms
    assert proof(empty, now_ms) is None
    assert proof(present, now_ms + 1) is None
    assert proof(empty, now_ms + 1) is not None


def test_an_end_in_the_next_life_voids_its_order():
    """Guards against a task that waits while its stop is refused."""
    tables, state, member = _start()
    now_ms = tables.monotonic.now_ms()
    key = (member.task, member.run.number)
    state.restart = endpoint_table.Restart(2, now_ms)
    row = model.ReportedEnd(1, *key, model.EndKind.LAPSED, "")
    report = model.Report(5, 2, (), (row,))
    assert termination.from_restart(state, report, now_ms, now_ms) is not None


def test_the_lease_of_an_unknown_run_counts_from_its_last_report():
    """Guards against a start beside an unknown run that is out of reach."""
    _, state, member = _start()
    state.reported_ms = member.ordered_ms
    left_ms = int(_MAX_LEASE_MS / endpoint_table.MIN_CLOCK_RATE)
    until_ms = state.reported_ms + left_ms

    def expired(now_ms):
        return termination.unknown_runs_expired(state, now_ms, _MAX_LEASE_MS)

    assert not expired(until_ms)
    assert expired(until_ms + 1)
