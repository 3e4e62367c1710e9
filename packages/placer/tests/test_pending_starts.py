"""Tests of the start orders that may still be carried out."""

from laburnumgate_placer import model
from laburnumgate_placer import pending_starts

_KEY = (model.TaskKey("a" * 16, 0, 0, 0), 1)
_DELAY_MS = pending_starts.MAX_ORDER_DELAY_MS


def test_an_answered_order_leaves_its_unanswered_copy_pending():
    """Guards against an answer that settles an earlier copy as well."""
    pending = pending_starts.PendingStarts()
    pending.send(_KEY, 0)
    pending.time_out(_KEY, 400)
    pending.send(_KEY, 500)
    pending.answer(_KEY)
    assert pending.keys(500 + _DELAY_MS) == {_KEY}
    assert not pending.keys(500 + _DELAY_MS + 1)


def test_a_report_settles_only_what_was_sent_once():
    """Guards against a copy that is forgotten as another one was executed."""
    pending = pending_starts.PendingStarts()
    pending.send(_KEY, 0)
    pending.time_out(_KEY, 400)
    pending.observe(_KEY)
    assert pending.keys(500) == {_KEY}
    later = pending_starts.PendingStarts()
    later.adopt(_KEY, 1_000)
    later.observe(_KEY)
    assert not later.keys(500)
    later.restore(_KEY, 1_000)
    later.adopt(_KEY, 1_000)
    later.observe(_KEY)
    assert later.keys(500) == {_KEY}


def test_what_the_progress_of_jobs_tells_is_not_recorded_again():
    """Guards against a record for each start, and against a missing one."""
    pending = pending_starts.PendingStarts()
    pending.send(_KEY, 0)
    assert pending.keys_to_record({_KEY}, 100) == []
    assert pending.keys_to_record((), 100) == [_KEY]
    pending.time_out(_KEY, 400)
    assert pending.keys_to_record({_KEY}, 500) == [_KEY]
    assert pending.keys_to_record((), 500 + _DELAY_MS) == []
