"""Structured logging to a descriptor without blocking the event loop."""

import asyncio
import collections
import logging
import os
import time

from pythonjsonlogger import json as jsonlogger

from laburnumgate_placer import events

_LOGGER = logging.getLogger(__name__)

# Maximum number and length of the lines that are queued while standard output
# is not read. Further lines are dropped and counted.
MAX_QUEUED_LINES = 4_000
MAX_QUEUED_BYTES = 1 << 20
FLUSH_INTERVAL_MS = 100
# Writes of up to this many bytes to a pipe are atomic (PIPE_BUF on Linux).
CHUNK_BYTES = 4_096


class LineQueue(logging.Handler):
    """Queues formatted lines until the descriptor accepts them."""

    def __init__(self, descriptor: int):
        """Initialises the queue and makes the descriptor non-blocking."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._unwritten = b""

    def emit(self, record: logging.LogRecord) -> None:
        """Queues a record, or counts it as dropped if the queue is full."""
        if (
            len(self._lines) >= MAX_QUEUED_LINES
            or self._queued_bytes >= MAX_QUEUED_BYTES
        ):
            self.dropped += 1
            return
        # Paths may hold characters that cannot be encoded.
        line = self.format(record).encode(errors="backslashreplace") + b"\n"
        self._lines.append(line)
        self._queued_bytes += len(line)

    def write(self) -> None:
        """Writes as many lines as the descriptor accepts without blocking."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._chunk()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            self._unwritten = self._unwritten[written:]
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            events.emit(_LOGGER, events.Event.LINES_DROPPED, count=dropped)

    def _chunk(self) -> bytes:
        chunk = self._lines.popleft()
        while self._lines:
            if len(chunk) + len(self._lines[0]) > CHUNK_BYTES:
                break
            chunk += self._lines.popleft()
        self._queued_bytes -= len(chunk)
        return chunk


def set_up(descriptor: int, host_id: str, level: str) -> LineQueue:
    """Configures logging of all records as JSON lines to a descriptor."""
    queue = LineQueue(descriptor)
    formatter = jsonlogger.JsonFormatter(
        "%(levelname)s %(message)s",
        rename_fields={"levelname": "level"},
        timestamp="time",
        static_fields={"host": host_id},
    )
    formatter.converter = time.gmtime
    queue.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [queue]
    root.setLevel(level)
    logging.getLogger("aiohttp").setLevel(logging.ERROR)
    return queue


async def flush_loop(queue: LineQueue) -> None:
    """Writes queued lines at a fixed interval until cancelled."""
    while True:
        queue.write()
        await asyncio.sleep(FLUSH_INTERVAL_MS / 1000)
