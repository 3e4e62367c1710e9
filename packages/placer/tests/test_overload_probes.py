"""Tests of the limit on calls that watch endpoints."""

from laburnumgate_placer.overload import probes


def test_a_zone_of_silent_endpoints_does_not_occupy_a_small_leader():
    """Guards against calls that take the processor of a slow leader.

    Orders to 60 endpoints are in doubt, and each asks for a call every 200 ms
    during 15 s.
    """
    budget = probes.Budget()
    taken = 0
    for now_ms in range(1_000, 16_000, 200):
        taken += sum(budget.take(now_ms) for _ in range(60))
    assert taken <= probes.MAX_BURST + 15 * probes.MAX_CALLS_PER_S


def test_a_few_silent_endpoints_are_called_without_limit():
    """Guards against a restart that is found late without need."""
    budget = probes.Budget()
    for now_ms in range(1_000, 60_000, 200):
        assert all(budget.take(now_ms) for _ in range(8))
