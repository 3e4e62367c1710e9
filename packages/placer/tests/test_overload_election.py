"""Tests of how long hosts wait for a silent leader."""

from laburnumgate_placer.overload import election


def test_a_leader_without_gaps_is_replaced_after_the_minimum():
    """Guards against slow detection of a leader that died."""
    assert election.timeout_ms([250, 260], 0) == election.MIN_TIMEOUT_MS


def test_each_replacement_makes_hosts_more_patient():
    """Guards against a storm of leaders that need long for their first work."""
    first_work_ms = 3_500
    replacements = 0
    while election.timeout_ms([], replacements) < first_work_ms:
        replacements += 1
    assert replacements <= 3


def test_patience_is_bounded():
    """Guards against a system that has no leader for long."""
    assert election.timeout_ms([60_000], 50) == election.MAX_TIMEOUT_MS


def test_only_repeated_lag_counts_as_overload():
    """Guards against a leader that hands over because it was suspended once."""
    lag = election.Lag().after(5_000)
    assert not lag.overloaded
    for _ in range(election.OVERLOAD_HEARTBEATS - 1):
        lag = lag.after(election.OVERLOAD_LAG_MS)
    assert lag.overloaded
    assert not lag.after(0).overloaded
