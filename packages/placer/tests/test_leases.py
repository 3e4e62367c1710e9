"""Tests of when the leases of an endpoint are known to have expired."""

import builders
import fakelog
from laburnumgate_core import clock
from laburnumgate_placer import endpoint_table
from laburnumgate_placer import leader
from laburnumgate_placer import leadership
from laburnumgate_placer import model
from laburnumgate_placer import progress
from laburnumgate_placer import services
from laburnumgate_placer import termination
import pytest

_LEASE_MS = 7_000


class _Machine:
    """Clocks of a leader's machine, which can be suspended."""

    def __init__(self):
        self.monotonic = clock.ManualClock(100_000)
        self.suspended_ms = 5_000

    def run(self, by_ms):
        self.monotonic.advance(by_ms)

    def suspend(self, by_ms):
        self.monotonic.advance(by_ms)
        self.suspended_ms += by_ms


def _endpoint(machine) -> endpoint_table.EndpointState:
    state = endpoint_table.EndpointState(
        builders.endpoint("e1"), read_suspended_ms=lambda: machine.suspended_ms
    )
    state.contacted = True
    state.set_clock(50_000, machine.monotonic.now_ms())
    return state


def _expired(machine, state) -> bool:
    task = model.TaskKey("a" * 16, 0, 0, 0)
    member = progress.Member(task, "e1", 1, None, present=True)
    now_ms = machine.monotonic.now_ms()
    proof = termination.from_leases(state, member, now_ms, _LEASE_MS)
    return proof is not None


def test_a_suspension_of_the_leader_expires_no_leases():
    """Guards against a second run while the first one's machine sleeps too.

    All machines are suspended together, and the endpoint's steady clock stands
    still with them.
    """
    machine = _Machine()
    state = _endpoint(machine)
    state.extend_lease(_LEASE_MS, machine.monotonic.now_ms())
    machine.suspend(60_000)
    assert not _expired(machine, state)
    machine.run(_LEASE_MS - 1)
    assert not _expired(machine, state)
    machine.run(int(_LEASE_MS / 0.98) - _LEASE_MS + 3)
    assert _expired(machine, state)


def test_a_suspension_of_the_leader_expires_no_leases_of_earlier_leaders():
    """Guards against a new leader that is suspended before it waits."""
    machine = _Machine()
    state = _endpoint(machine)
    state.contacted = False
    state.prior_leases_expire_ms = machine.monotonic.now_ms() + 2 * _LEASE_MS
    machine.suspend(60_000)
    machine.run(2 * _LEASE_MS)
    assert not _expired(machine, state)
    machine.run(1)
    assert _expired(machine, state)


def test_a_suspension_during_the_recovery_expires_no_leases(monkeypatch):
    """Guards against endpoints that are found only after a suspension."""
    machine = _Machine()
    monkeypatch.setattr(clock, "suspended_ms", lambda: machine.suspended_ms)
    held = leadership.Leadership(
        fakelog.FakeLog(), machine.monotonic, "h1", 0, True
    )
    held._take_leadership(leadership.Claim("h1", 1), 0)
    tables = builders.tables()
    term = leader.Leader(
        services.Services(
            log=fakelog.FakeLog(),
            endpoints=None,
            advisor=None,
            machines=None,
            decode_endpoint=None,
            apply_operator_entry=None,
            encode_wave_state=None,
            operator_topic="keyed.test-operators",
            list_topic="keyed.test-list",
            status_topic="keyed.test-status",
        ),
        held,
        machine.monotonic,
        tables.wall,
        tables.config,
        tables.jobs,
        None,
        tables.bounds,
    )
    machine.suspend(60_000)
    term._live_list._apply_listed(builders.endpoint("e1"))
    state = term.tables.endpoints.by_id["e1"]
    assert not _expired(machine, state)
    machine.run(3 * _LEASE_MS)
    assert _expired(machine, state)


def test_suspended_time_is_the_same_in_each_reading():
    """Guards against leases that never expire where no machine sleeps."""
    readings = [clock.suspended_ms() for _ in range(2_000)]
    assert max(readings) - min(readings) <= 1


@pytest.mark.parametrize("clock_rate", [0.98, 1.0, 1.02])
def test_a_lease_after_a_pause_lasts_no_longer_than_others(clock_rate):
    """Guards against a lease that outlasts the wait of a later leader.

    An endpoint without work is not asked for reports, so that the reading of
    its clock is old when it is given work.
    """
    machine = _Machine()
    state = _endpoint(machine)
    idle_ms = 150_000
    machine.run(idle_ms)
    deadline_ms = state.extend_lease(_LEASE_MS, machine.monotonic.now_ms())
    endpoint_now_ms = 50_000 + clock_rate * idle_ms
    assert deadline_ms - endpoint_now_ms <= _LEASE_MS


def test_a_lease_after_a_suspension_lasts_no_longer_than_others():
    """Guards against a lease that is longer by the time all machines slept."""
    machine = _Machine()
    state = _endpoint(machine)
    machine.suspend(60_000)
    deadline_ms = state.extend_lease(_LEASE_MS, machine.monotonic.now_ms())
    assert deadline_ms <= 50_000 + _LEASE_MS


def test_a_lease_of_a_busy_endpoint_is_given_in_full():
    """Guards against leases that are shortened where nothing is uncertain."""
    machine = _Machine()
    state = _endpoint(machine)
    machine.run(1_000)
    deadline_ms = state.extend_lease(_LEASE_MS, machine.monotonic.now_ms())
    assert deadline_ms >= 50_000 + 1_000 + _LEASE_MS - 20
