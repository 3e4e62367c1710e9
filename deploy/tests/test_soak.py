"""Short seeded soaks of real processes, and seeds that once failed."""

import pytest
import soak

_SECONDS = 8.0


@pytest.mark.parametrize(
    "seed",
    [
        # The drop of an ended job's progress was stored before its end, and
        # the next leader started the job again.
        1,
        7,
    ],
)
def test_promises_hold_under_faults(seed):
    """Guards against promises that break under overlapping faults."""
    assert not soak.run_seed(seed, _SECONDS, hosts=3, workers=4)
