"""Tests the batching and resending of log records."""

from laburnumgate_core import appender
from laburnumgate_core import model
from laburnumgate_core import records


def submitted(number: int, payload: str = "") -> records.Submitted:
    spec = model.JobSpec("k", 1, 1, 1, payload=payload)
    return records.Submitted(f"a/{number}", "a", spec, "z", "h", 1, 1, 0)


def ended(number: int) -> records.Cancelled:
    return records.Cancelled(f"a/{number}", 1)


def test_batches_stay_within_both_bounds():
    """A batch must not become so large that the log refuses it."""
    queue = appender.Appender("h")
    for number in range(70):
        queue.add(submitted(number))
    for number in range(10):
        queue.add(submitted(number, "x" * 40_000))
    batches = []
    while (batch := queue.next_batch()) is not None:
        batches.append(batch)
        queue.on_answer(len(batches))
    assert sum(len(batch.records) for batch in batches) == 80
    for batch in batches:
        assert len(batch.records) <= appender.MAX_BATCH_RECORDS
        size = len(records.encode_jobs(batch.records))
        assert size <= appender.MAX_BATCH_BYTES


def test_unanswered_append_is_resent_only_after_reading_to_the_head():
    """A batch must not be resent while its first copy may still be read.

    The answer to an append can be lost although the log stored the batch. Only
    after reading up to the head is it known that the batch is not there.
    """
    queue = appender.Appender("h")
    queue.add(submitted(1))
    batch = queue.next_batch()
    queue.add(submitted(2))
    assert queue.batch_to_resend(100) is None
    assert queue.next_batch() is None
    queue.on_head(7)
    assert queue.batch_to_resend(6) is None
    assert queue.batch_to_resend(7) == batch
    assert queue.batch_to_resend(7) is None
    queue.on_head(8)
    assert queue.on_entry(batch.append_id) == batch
    assert queue.batch_to_resend(9) is None
    assert queue.next_batch().append_id != batch.append_id


def test_capacity_is_reserved_for_outcomes_of_running_jobs():
    """New requests must not use up the capacity needed for outcomes.

    During a log outage the queue fills up while running jobs still end.
    """
    queue = appender.Appender("h")
    new = 0
    while not isinstance(queue.add(submitted(new)), appender.QueueFull):
        new += 1
    assert new == appender.MAX_PENDING_RECORDS - appender.RESERVED_RECORDS
    more = 0
    while not isinstance(queue.add(ended(more)), appender.QueueFull):
        more += 1
    assert len(queue) == appender.MAX_PENDING_RECORDS
    batch = queue.next_batch()
    queue.on_entry(batch.append_id)
    assert len(queue) == appender.MAX_PENDING_RECORDS - len(batch.records)
