"""Guards the path from a caller to endpoints and back, on real processes."""

import asyncio

from laburnumgate_standins import demo


def test_every_request_of_a_mixed_load_is_answered():
    """Guards against a request that is lost or gets a foreign answer."""
    assert asyncio.run(demo.run("testigo-andino", seed=1, count=20)) == 0
