"""Tests that limits which do not bind change no decision on a replayed load."""

from laburnumgate_bench import load_patterns
from laburnumgate_bench import replay
from laburnumgate_placer import lifecycle
from laburnumgate_placer import model
from laburnumgate_placer.accounts import holds
import pytest

_ENDPOINTS = 40
_SECONDS = 15
_LARGE = model.Resources(10**9, 10**9, 10**9)


class _PassThrough:
    """Permits everything, like a release without limits."""

    def __init__(self, tables):
        pass

    def begin_pass(self, waiting, reclaims_for, now_ms):
        return waiting

    def admit(self, waiting, now_ms):
        return list(waiting.units)

    def has_claim(self, units):
        return False

    def may_look_ahead(self, unit, guaranteed):
        return True

    def expect(self, unit, reclaims, guaranteed, now_ms):
        pass

    def end_pass(self, now_ms):
        pass


def _decisions(monkeypatch, pattern, holds_type=None, limit=None):
    """Plays a pattern and returns all assignments and stops in order."""
    found = []
    assign = lifecycle.assign
    stop_run = lifecycle.stop_run

    def recorded_assign(tables, unit, endpoint_ids, tickets=None):
        found.append((tables.monotonic.now_ms(), unit.key, *endpoint_ids))
        return assign(tables, unit, endpoint_ids, tickets)

    def recorded_stop(tables, run, reason):
        found.append((tables.monotonic.now_ms(), run.unit.key, reason))
        stop_run(tables, run, reason)

    with monkeypatch.context() as patched:
        patched.setattr(lifecycle, "assign", recorded_assign)
        patched.setattr(lifecycle, "stop_run", recorded_stop)
        if holds_type is not None:
            patched.setattr(holds, "AccountHolds", holds_type)
        if limit is not None:
            account = model.Account

            def limited(name, keys, guaranteed_gpu):
                return account(name, keys, guaranteed_gpu, limit)

            patched.setattr(model, "Account", limited)
        replay.Replay(pattern, _ENDPOINTS, 3).run(_SECONDS)
    return found


@pytest.mark.parametrize("name", ["urgent-burst", "lost-racks", "overload"])
def test_tables_without_limits_take_the_same_decisions(name, monkeypatch):
    """Guards against a deployment without limits that is served differently.

    The same holds for limits that are never reached.
    """
    pattern = next(p for p in load_patterns.PATTERNS if p.name == name)
    decisions = _decisions(monkeypatch, pattern)
    assert len(decisions) > 50
    assert decisions == _decisions(monkeypatch, pattern, _PassThrough)
    assert decisions == _decisions(monkeypatch, pattern, limit=_LARGE)


def test_limits_that_bind_change_decisions(monkeypatch):
    """Guards against a comparison that cannot fail."""
    pattern = next(p for p in load_patterns.PATTERNS if p.name == "overload")
    decisions = _decisions(monkeypatch, pattern)
    limit = model.Resources(gpu=24)
    assert decisions != _decisions(monkeypatch, pattern, limit=limit)
