"""Tests of the bounded, non-blocking log queue."""

import logging
import os

from laburnumgate_placer import events
from laburnumgate_placer import telemetry


def _queue():
    reader, writer = os.pipe()
    queue = telemetry.LineQueue(writer)
    queue.setFormatter(logging.Formatter("%(message)s"))
    return reader, queue


def _record(text):
    return logging.LogRecord("n", logging.INFO, "p", 1, text, None, None)


def test_an_unread_pipe_does_not_block_the_queue():
    """Guards against a host that blocks because its log is not read."""
    reader, queue = _queue()
    for number in range(3 * telemetry.MAX_QUEUED_LINES):
        queue.emit(_record(f"{number} " + "x" * 100))
        if number % 100 == 0:
            queue.write()
    assert queue.dropped > 0
    os.close(reader)


def test_lines_come_out_whole_and_in_order():
    """Guards against lines that are truncated by partial writes."""
    reader, queue = _queue()
    lines = [f"{number} " + "x" * (number % 300) for number in range(300)]
    for line in lines:
        queue.emit(_record(line))
    read = b""
    while len(read) < sum(len(line) + 1 for line in lines):
        queue.write()
        read += os.read(reader, 10_000)
    assert read.decode().splitlines() == lines


def test_no_write_is_longer_than_a_pipe_keeps_together():
    """Guards against interleaved lines of two processes on one pipe."""
    reader, queue = _queue()
    for _ in range(200):
        queue.emit(_record("x" * 90))
    sizes = []
    while queue._lines:
        sizes.append(len(queue._chunk()))
    assert max(sizes) <= telemetry.CHUNK_BYTES
    os.close(reader)


def test_long_lines_do_not_fill_the_memory():
    """Guards against a limit on lines that long lines pass by."""
    reader, queue = _queue()
    text = "x" * 100_000
    for _ in range(1_000):
        queue.emit(_record(text))
    queued = sum(len(line) for line in queue._lines)
    assert queued <= telemetry.MAX_QUEUED_BYTES + len(text) + 1
    assert queue.dropped > 900
    while queue._lines:
        queue._chunk()
    queue.emit(_record("again"))
    assert len(queue._lines) == 1
    os.close(reader)


def test_texts_of_callers_are_cut(caplog):
    """Guards against log lines as long as the path of a request."""
    caplog.set_level(logging.INFO)
    logger = logging.getLogger("test")
    events.emit(logger, events.Event.REFUSED, path="p" * 10_000, status=404)
    assert len(caplog.records[0].path) == events.MAX_TEXT_CHARS + len("...")
    assert caplog.records[0].status == 404
