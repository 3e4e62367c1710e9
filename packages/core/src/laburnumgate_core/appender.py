"""Batches records for the log and tracks unacknowledged appends."""

import collections
import dataclasses

from laburnumgate_core import records

MAX_BATCH_RECORDS = 64
MAX_BATCH_BYTES = 256 * 1024
MAX_PENDING_RECORDS = 2_000
# Capacity that new requests may not use, so that outcomes of running jobs can
# still be queued during a log outage.
RESERVED_RECORDS = 500


@dataclasses.dataclass(frozen=True)
class QueueFull:
    """The record was not queued because the queue is full."""

    reason: str


@dataclasses.dataclass(frozen=True)
class RecordKey:
    """Identifies a record in the log by append id and index in its batch."""

    append_id: str
    index: int


@dataclasses.dataclass(frozen=True)
class Batch:
    """The records of one append."""

    append_id: str
    records: tuple[records.JobRecord, ...]

    @property
    def keys(self) -> tuple[RecordKey, ...]:
        """The key of each record, in order."""
        return tuple(
            RecordKey(self.append_id, i) for i in range(len(self.records))
        )


class Appender:
    """Queue of records to be appended to the `jobs` stream.

    A record gets its key when it is queued, so that the key is the same in
    every retry and in the overlays of peers. At most one batch is
    unacknowledged at a time, because a later batch may refer to records of an
    earlier one and the fold would ignore it if it arrived first.
    """

    def __init__(self, name: str):
        """Creates a queue; `name` must be unique to this process start."""
        self._name = name
        self._sequence = 0
        self._open: list[records.JobRecord] = []
        self._open_bytes = 0
        self._queued: collections.deque[Batch] = collections.deque()
        self._in_flight: Batch | None = None
        self._resend_from: int | None = None
        self._unread_by_id: dict[str, Batch] = {}
        self._offsets_by_id: dict[str, int] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def unanswered(self) -> bool:
        """Whether a batch was sent but neither acknowledged nor read back."""
        return self._in_flight is not None

    def add(self, record: records.JobRecord) -> RecordKey | QueueFull:
        """Queues a record; `RESERVED_RECORDS` are not open to new requests."""
        limit = MAX_PENDING_RECORDS
        if isinstance(record, records.Submitted | records.Refused):
            limit -= RESERVED_RECORDS
        if self._size >= limit:
            return QueueFull(
                f"{self._size} records wait for the log; the same id may be "
                f"sent again"
            )
        size = len(records.encode_job(record)) + 1
        # One more byte for the brackets of the JSON array; `size` includes the
        # separator.
        if self._open and self._open_bytes + size + 1 > MAX_BATCH_BYTES:
            self._seal()
        self._open.append(record)
        self._open_bytes += size
        self._size += 1
        key = RecordKey(self._append_id(), len(self._open) - 1)
        if len(self._open) >= MAX_BATCH_RECORDS:
            self._seal()
        return key

    def next_batch(self) -> Batch | None:
        """Returns the batch to send now, None if there is none.

        Returns None while a batch is unacknowledged. If its answer was lost,
        `batch_to_resend` decides whether it is sent again.
        """
        if self._in_flight is not None:
            return None
        if not self._queued:
            self._seal()
        if not self._queued:
            return None
        self._in_flight = self._queued.popleft()
        self._resend_from = None
        return self._in_flight

    def on_answer(self, offset: int) -> None:
        """Records that the log stored the batch in flight at `offset`."""
        if self._in_flight is not None:
            append_id = self._in_flight.append_id
            self._unread_by_id[append_id] = self._in_flight
            self._offsets_by_id[append_id] = offset
        self._in_flight = None

    def on_head(self, offset: int) -> None:
        """Records the stream's head, read after an append was not answered.

        Args:
          offset: the last offset of the stream at that time.
        """
        self._resend_from = offset

    def batch_to_resend(self, offset: int) -> Batch | None:
        """Returns the unacknowledged batch if it has to be sent again.

        Args:
          offset: the last offset that was read and applied.
        """
        if self._in_flight is None or self._resend_from is None:
            return None
        if offset < self._resend_from:
            return None
        self._resend_from = None
        return self._in_flight

    def on_entry(self, append_id: str) -> Batch | None:
        """Handles an entry read back; returns its batch if it is ours."""
        batch = self._unread_by_id.pop(append_id, None)
        self._offsets_by_id.pop(append_id, None)
        if (
            self._in_flight is not None
            and self._in_flight.append_id == append_id
        ):
            batch = self._in_flight
            self._in_flight = None
        if batch is not None:
            self._size -= len(batch.records)
        return batch

    def unread_batches(self, offset: int) -> list[Batch]:
        """Returns acknowledged, unread batches at or below `offset`."""
        return [
            batch
            for append_id, batch in self._unread_by_id.items()
            if self._offsets_by_id[append_id] <= offset
        ]

    def _append_id(self) -> str:
        return f"{self._name}-{self._sequence}"

    def _seal(self) -> None:
        if not self._open:
            return
        self._queued.append(Batch(self._append_id(), tuple(self._open)))
        self._sequence += 1
        self._open = []
        self._open_bytes = 0
