"""Tests direct orders that stop a zone's starts."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from laburnumgate_core import stops

_ORDERS = st.lists(
    st.builds(
        stops.ZoneStop,
        zone=st.sampled_from(("a", "b")),
        operation_id=st.sampled_from(("x", "y", "z")),
        at_ms=st.integers(1, 6),
        stopped=st.booleans(),
    ),
    max_size=8,
    unique_by=lambda order: (order.zone, order.version),
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(_ORDERS, st.integers(0, 7), st.randoms(use_true_random=False))
def test_order_of_arrival_does_not_matter(orders, recorded_ms, rng):
    """Hosts must agree even if heartbeats deliver orders out of order."""
    tables = []
    for _ in range(2):
        table = stops.StopTable()
        steps = [*orders, recorded_ms]
        rng.shuffle(steps)
        for step in steps:
            if isinstance(step, int):
                table.note_recorded("a", step)
            else:
                table.update(step)
        tables.append(table)
    for zone in ("a", "b"):
        assert tables[0].is_stopped(zone) == tables[1].is_stopped(zone)


def test_later_zone_state_ends_a_stop_for_good():
    """An old heartbeat must not restore a superseded stop."""
    table = stops.StopTable()
    stop = stops.ZoneStop("a", "op", 10, stopped=True)
    assert table.update(stop)
    assert table.is_stopped("a")
    table.note_recorded("a", table.next_timestamp_ms("a", 5))
    assert not table.is_stopped("a")
    assert not table.update(stop)
    assert not table.is_stopped("a")
