"""Batches records for the log and tracks appends without an answer."""

import collections
import dataclasses

from laburnumgate_core import records

MAX_BATCH_RECORDS = 64
MAX_BATCH_BYTES = 256 * 1024
MAX_PENDING_RECORDS = 2_000
# Kept free of new requests, so that the ends of running work find room.
RESERVED_RECORDS = 500


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

    @property
    def keys(self) -> tuple[Key, ...]:
        """The key of each record, in order."""
        return tuple(Key(self.append_id, i) for i in range(len(self.batch)))


class Appender:
    """Queue of records on their way to the `jobs` stream.

    A record gets its key when it is queued, so that it is the same in every
    try and in the overlays of peers. At most one batch is without an answer:
    a later batch may refer to the records of an earlier one, and the fold
    would ignore it if it came first.
    """

    def __init__(self, name: str):
        """Starts a queue; `name` must be unique to this process's start."""
        self._name = name
        self._sequence = 0
        self._open: list[records.JobRecord] = []
        self._open_bytes = 0
        self._queued: collections.deque[Batch] = collections.deque()
        self._sending: Batch | None = None
        self._resend_from: int | None = None
        self._unread_by_id: dict[str, Batch] = {}
        self._offsets_by_id: dict[str, int] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def unanswered(self) -> bool:
        """Whether a batch was sent and neither answered nor read back."""
        return self._sending is not None

    def add(self, record: records.JobRecord) -> Key | Full:
        """Queues a record; new requests find less room than the rest."""
        room = MAX_PENDING_RECORDS
        if isinstance(record, records.Submitted | records.Refused):
            room -= RESERVED_RECORDS
        if self._size >= room:
            return Full(
                f"{self._size} records wait for the log; the same id may be "
                f"sent again"
            )
        size = len(records.encode_job(record)) + 1
        # The brackets of the JSON array count as well.
        if self._open and self._open_bytes + size + 1 > MAX_BATCH_BYTES:
            self._seal()
        self._open.append(record)
        self._open_bytes += size
        self._size += 1
        key = Key(self._append_id(), len(self._open) - 1)
        if len(self._open) >= MAX_BATCH_RECORDS:
            self._seal()
        return key

    def next_batch(self) -> Batch | None:
        """Returns the batch to send now, None if there is none.

        A batch whose answer was lost is returned again only after
        `head_reached`; until then there is nothing to send.
        """
        if self._sending is not None:
            return None
        if not self._queued:
            self._seal()
        if not self._queued:
            return None
        self._sending = self._queued.popleft()
        self._resend_from = None
        return self._sending

    def on_answer(self, offset: int) -> None:
        """Notes that the log took the batch being sent, at `offset`."""
        if self._sending is not None:
            append_id = self._sending.append_id
            self._unread_by_id[append_id] = self._sending
            self._offsets_by_id[append_id] = offset
        self._sending = None

    def on_head(self, offset: int) -> None:
        """Notes the stream's head, read after an append went unanswered.

        Args:
          offset: the last offset of the stream at that time.
        """
        self._resend_from = offset

    def head_reached(self, offset: int) -> Batch | None:
        """Returns the unanswered batch if it has to be sent again.

        Args:
          offset: the last offset that was followed and applied.
        """
        if self._sending is None or self._resend_from is None:
            return None
        if offset < self._resend_from:
            return None
        self._resend_from = None
        return self._sending

    def on_entry(self, append_id: str) -> Batch | None:
        """Notes an entry that was read back; returns the batch if ours."""
        batch = self._unread_by_id.pop(append_id, None)
        self._offsets_by_id.pop(append_id, None)
        if self._sending is not None and self._sending.append_id == append_id:
            batch = self._sending
            self._sending = None
        if batch is not None:
            self._size -= len(batch.batch)
        return batch

    def passed(self, offset: int) -> list[Batch]:
        """Returns batches that stand at `offset` or before and are unread."""
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
