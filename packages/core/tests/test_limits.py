"""Tests the rate limits."""

import random

from laburnumgate_core import clock
from laburnumgate_core import limits


def test_a_bucket_allows_its_burst_and_then_its_rate():
    """Appends must stay within the rate when the log becomes reachable."""
    time = clock.ManualClock(1)
    bucket = limits.TokenBucket(20, 5, time)
    assert [bucket.take() for _ in range(6)] == [True] * 5 + [False]
    assert bucket.wait_ms() == 51
    time.advance(bucket.wait_ms())
    assert bucket.take()
    time.advance(60_000)
    assert [bucket.take() for _ in range(6)] == [True] * 5 + [False]


def test_retries_stay_at_a_tenth_of_the_calls_and_the_floor():
    """Retries must not multiply the load during an outage."""
    time = clock.ManualClock(1)
    budget = limits.RetryBudget(time)
    for _ in range(100):
        budget.note_call()
    sent = sum(budget.take() for _ in range(100))
    assert sent == 10 + limits.RETRY_FLOOR_PER_S
    time.advance(10_000)
    assert sum(budget.take() for _ in range(100)) == limits.RETRY_FLOOR_PER_S


def test_backoff_doubles_up_to_its_limit_and_resets():
    """Hosts must not retry in lockstep or at a constant rate."""
    pauses = limits.Backoff(200, 1_000, random.Random(1))
    for bound_ms in (200, 400, 800, 1_000, 1_000):
        assert bound_ms // 2 <= pauses.next_ms() <= bound_ms
    pauses.reset()
    assert pauses.next_ms() <= 200
