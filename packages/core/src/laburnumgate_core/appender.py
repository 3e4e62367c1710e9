"""Batches records for the log and tracks appends without an answer."""

import collections
import dataclasses

from laburnumgate_core import records

MAX_BATCH_RECORDS = 64
MAX_BATCH_BYTES = 256 * 1024
MAX_PENDING_RECORDS = 2_000


@dataclasses.dataclass(frozen=True)
class Full:
    """The record was not queued: too many wait for the log."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Key:
    """Where a record stands in the log: append id and index in the batch."""

    append_id: str
    index: int


@dataclasses.dataclass(frozen=True)
class Batch:
    """One append."""

    append_id: str
    batch: tuple[records.JobRecord, ...]


class Appender:
    """Queue of records on their way to the `jobs` stream.

    A record gets its key when it is queued, so that it is the same in every
    try and in the overlays of peers.
    """

    def __init__(self, name: str):
        """Starts a queue; `name` must be unique to this process's start."""
        self._name = name
        self._sequence = 0
        self._open: list[records.JobRecord] = []
        self._open_bytes = 0
        self._queued: collections.deque[Batch] = collections.deque()
        self._unread_by_id: dict[str, Batch] = {}

    def __len__(self) -> int:
        waiting = sum(len(batch.batch) for batch in self._queued)
        unread = sum(len(b.batch) for b in self._unread_by_id.values())
        return len(self._open) + waiting + unread

    def add(self, record: records.JobRecord) -> Key | Full:
        """Queues a record."""
        if len(self) >= MAX_PENDING_RECORDS:
            return Full(f"{MAX_PENDING_RECORDS} records wait for the log")
        size = len(records.encode_job(record))
        if self._open and self._open_bytes + size > MAX_BATCH_BYTES:
            self._seal()
        self._open.append(record)
        self._open_bytes += size
        key = Key(self._append_id(), len(self._open) - 1)
        if len(self._open) >= MAX_BATCH_RECORDS:
            self._seal()
        return key

    def next_batch(self) -> Batch | None:
        """Returns the batch to send now; it stays unread until `on_entry`."""
        if not self._queued:
            self._seal()
        if not self._queued:
            return None
        batch = self._queued.popleft()
        self._unread_by_id[batch.append_id] = batch
        return batch

    def retry(self, append_id: str) -> None:
        """Sends a batch again that the log's head has passed without."""
        batch = self._unread_by_id.pop(append_id, None)
        if batch is not None:
            self._queued.appendleft(batch)

    def on_entry(self, append_id: str) -> bool:
        """Notes that a batch was read back; returns whether it was ours."""
        return self._unread_by_id.pop(append_id, None) is not None

    def unread(self) -> list[Batch]:
        """Returns batches that were sent and not read back."""
        return list(self._unread_by_id.values())

    def _append_id(self) -> str:
        return f"{self._name}-{self._sequence}"

    def _seal(self) -> None:
        if not self._open:
            return
        self._queued.append(Batch(self._append_id(), tuple(self._open)))
        self._sequence += 1
        self._open = []
        self._open_bytes = 0
