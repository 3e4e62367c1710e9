"""Tests the choice of a zone for a job."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from laburnumgate_core import model
from laburnumgate_core import requests
from laburnumgate_core import routing

MAX_WAITING = 100
NAMES = ("a", "b", "c", "d")


@st.composite
def _views(draw):
    views = []
    for name in NAMES:
        racks = tuple(
            model.Rack(f"{name}-{index}", draw(st.integers(0, 4)), 8)
            for index in range(draw(st.integers(1, 2)))
        )
        views.append(
            routing.ZoneView(
                zone=model.Zone(name, "r", racks),
                in_service=draw(st.booleans()),
                reachable=draw(st.booleans()),
                waiting_jobs=draw(st.integers(0, MAX_WAITING + 20)),
                free_accelerators=draw(st.integers(0, 64)),
                largest_free_rack=draw(st.integers(0, 32)),
                largest_free_endpoint=draw(st.integers(0, 8)),
                returned_for_ms=draw(
                    st.none() | st.integers(0, 2 * routing.RAMP_MS)
                ),
            )
        )
    return views


def _spec(parts: int, accelerators: int) -> model.JobSpec:
    return model.JobSpec("k", parts, accelerators, 1000)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    _views(),
    st.integers(1, 8),
    st.integers(0, 8),
    st.sets(st.sampled_from(NAMES)),
    st.sampled_from(NAMES),
    st.text(min_size=1, max_size=8),
)
def test_only_a_zone_that_can_take_the_job_is_chosen(
    views, parts, accelerators, allowed, own, job_id
):
    """A job must not be sent to a zone that cannot or may not start it."""
    spec = _spec(parts, accelerators)
    chosen = routing.choose(
        job_id, spec, tuple(allowed), views, own, MAX_WAITING
    )
    usable = {
        view.zone.name: view
        for view in views
        if view.in_service
        and view.reachable
        and view.waiting_jobs < MAX_WAITING
        and requests.fits_zone(spec, view.zone)
        and (not allowed or view.zone.name in allowed)
    }
    if isinstance(chosen, routing.NoZone):
        assert not usable
    else:
        assert chosen in usable


def _view(name: str, waiting: int = 0, **changes) -> routing.ZoneView:
    zone = model.Zone(name, "r", (model.Rack(f"{name}-1", 8, 8),))
    free = {
        "free_accelerators": 64,
        "largest_free_rack": 64,
        "largest_free_endpoint": 8,
    }
    return routing.ZoneView(zone, True, True, waiting, **(free | changes))


def _choose(views: list[routing.ZoneView], job_id: str = "j"):
    return routing.choose(job_id, _spec(1, 8), (), views, "a", MAX_WAITING)


def test_own_zone_is_preferred_until_its_queue_is_much_longer():
    """Avoids needless calls between zones, and overload of a single zone."""
    assert _choose([_view("a", 20), _view("b", 10)]) == "a"
    assert _choose([_view("a", 60), _view("b", 10)]) == "b"


def test_zone_with_free_capacity_is_preferred_to_a_queue():
    """A job must not wait while another zone has free capacity."""
    assert _choose([_view("a", 1), _view("b", 0)]) == "b"


def test_fragmented_capacity_does_not_count_as_free():
    """A job must not wait for a zone whose free accelerators are fragmented.

    Found under load: jobs queued at a zone with 31 of 64 accelerators free on
    each endpoint while other zones had entire endpoints free.
    """
    fragmented = _view("a", largest_free_endpoint=7)
    assert _choose([fragmented, _view("b")]) == "b"


def test_full_queues_are_told_from_zones_out_of_service():
    """A caller must be told to retry only if all queues are full."""
    full = _choose([_view("a", MAX_WAITING)])
    assert isinstance(full, routing.NoZone)
    assert full.full


def test_returning_zone_gets_a_growing_share():
    """A zone that returned must not receive all waiting jobs immediately."""
    counts = []
    for returned_ms in (0, routing.RAMP_MS // 4, routing.RAMP_MS):
        views = [
            _view("b", returned_for_ms=returned_ms),
            _view("c"),
            _view("d"),
        ]
        jobs = [f"j{number}" for number in range(600)]
        counts.append(sum(_choose(views, job) == "b" for job in jobs))
    assert counts[0] == 0
    assert 0 < counts[1] < counts[2]
