"""Tests the start limit of a zone that returned to service."""

from laburnumgate_core import ramp


def test_a_returned_zone_grows_to_its_full_size():
    """Not all waiting jobs may start at the moment of the zone's return."""
    limit = ramp.Ramp()
    assert limit.allows(100, 0)
    limit.restart(1_000)
    limit.note_start(10)
    assert not limit.allows(100, 1_000)
    assert limit.allows(100, 1_000 + ramp.RAMP_MS // 2)
    limit.note_start(1_000)
    assert not limit.allows(100, 1_000 + ramp.RAMP_MS - 1)
    assert limit.allows(100, 1_000 + ramp.RAMP_MS)
