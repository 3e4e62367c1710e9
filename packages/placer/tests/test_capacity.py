"""Tests of endpoints whose capacity shrinks and grows while they run."""

import builders
from laburnumgate_placer import events
from laburnumgate_placer import lifecycle
from laburnumgate_placer import live_list
from laburnumgate_placer import model
from laburnumgate_placer import ports
from laburnumgate_placer import progress

_FULL = model.Resources(32_000, 64_000, 8)
_HALF = model.Resources(16_000, 32_000, 4)


def _listed(tables, *endpoints):
    """Returns a live list with an `apply(endpoint)` for each new entry."""
    newest = {}
    tracked = live_list.LiveList(
        tables, lambda entry: newest[entry.key], lambda state: None, 0
    )

    def apply(endpoint):
        newest[endpoint.endpoint_id] = endpoint
        tracked.apply(ports.Entry(1, endpoint.endpoint_id, b"1"))

    for endpoint in endpoints:
        apply(endpoint)
    return apply


def _assign(tables, job_id, *endpoint_ids, **fields) -> progress.Run:
    step = builders.step(len(endpoint_ids), gang=True, **fields)
    entry = lifecycle.open_job(tables, builders.job(job_id * 16, step))
    unit = next(iter(entry.units_by_key.values()))
    return lifecycle.assign(tables, unit, list(endpoint_ids))


def _changes(caplog) -> list:
    number = events.Event.ENDPOINT_CHANGED.number
    return [r for r in caplog.records if getattr(r, "event", 0) == number]


def test_a_changed_capacity_is_logged_with_what_is_in_use(caplog):
    """Guards against a shrink that on-call cannot find in the log."""
    caplog.set_level("INFO")
    tables = builders.tables()
    apply = _listed(tables, builders.endpoint())
    _assign(tables, "a", "e1", gpu=6)
    apply(builders.endpoint())
    assert not _changes(caplog)
    apply(builders.endpoint(capacity=_HALF))
    (found,) = _changes(caplog)
    assert found.endpoint == "e1"
    assert found.reason == "its capacity changed"
    assert found.capacity_before == [32_000, 64_000, 8]
    assert found.capacity == [16_000, 32_000, 4]
    assert found.used == [1_000, 1_000, 6]
    tables.wake.clear()
    apply(builders.endpoint(capacity=_FULL))
    assert len(_changes(caplog)) == 2
    assert tables.wake.is_set()
