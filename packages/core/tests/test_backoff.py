"""Tests the backoff between attempts to start a job."""

import random

from laburnumgate_core import backoff


def test_backoff_doubles_up_to_its_limit_and_resets():
    """Two placing hosts must not revoke each other's leases indefinitely.

    Both retry the same job; growing pauses with jitter let one of them finish.
    """
    table = backoff.BackoffTable(random.Random(1))
    now_ms = 0
    for expected_ms in (200, 400, 800, 1_600, 3_200, 3_200):
        until_ms = table.record_failure("a/r", now_ms)
        assert expected_ms <= until_ms - now_ms < 2 * expected_ms
        assert table.is_paused("a/r", until_ms - 1)
        assert not table.is_paused("a/r", until_ms)
        now_ms = until_ms
    table.reset("a/r")
    assert table.record_failure("a/r", now_ms) - now_ms < 400
