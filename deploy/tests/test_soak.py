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


def test_late_order_reaches_a_new_life_under_the_same_id():
    """Guards against an order that outlives the life it was meant for.

    A start that was not answered is carried out by the endpoint's next life
    under the same id, after the task has ended as done.
    """
    assert not soak.run_seed(1003, 10.0, hosts=4, workers=6)
