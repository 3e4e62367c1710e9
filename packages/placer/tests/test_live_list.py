"""Tests of tracking the live list of endpoints."""

import builders
from laburnumgate_placer import limits
from laburnumgate_placer import live_list
from laburnumgate_placer import ports
import pytest


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
