"""End-to-end test from callers to endpoints and back on real processes."""

import asyncio

from laburnumgate_standins import demo


def test_every_request_of_a_mixed_load_is_answered():
    """Guards against lost requests and answers to another request."""
    assert asyncio.run(demo.run("testigo-andino", seed=1, count=20)) == 0
