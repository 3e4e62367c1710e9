"""In-memory log service with fault injection."""

import asyncio
import math

from laburnumgate_placer import ports


class FakeLog:
    """Log of topics with one partition each.

    Attributes:
      lose_answers: number of next appends that succeed without a response.
      refuse: number of next appends that are rejected without effect.
      silent: whether calls are neither executed nor answered.
      append_s: latency of each append.
      append_s_by_topic: additional latency of the appends to a topic; one that
        exceeds its timeout is stored and not answered.
      read_s: time that the answer to a read takes to arrive.
      reads: number of reads so far.
      silent_appends: topics whose appends are neither executed nor answered.
      silent_reads: topics whose reads are not answered.
      batch_size: maximum number of records in the answer to a read.
      page_size: maximum number of records in a page of the newest ones.
      lose_pages: keys after which the next page is lost once.
      lose_all_pages: whether each page is lost.
      empty_pages: keys after which the next page is empty once.
      pages: the keys after which pages were requested.
      max_record_bytes: appends of larger records are rejected.
      max_call_bytes: appends of more bytes are rejected.
      sizes: topic and number of bytes of each append so far.
    """

    def __init__(self):
        self.records_by_topic: dict[str, list[bytes]] = {}
        self.lose_answers = 0
        self.refuse = 0
        self.silent = False
        self.append_s = 0.0
        self.append_s_by_topic: dict[str, float] = {}
        self.read_s = 0.0
        self.silent_appends: set[str] = set()
        self.silent_reads: set[str] = set()
        self.reads = 0
        self.batch_size = 1_000
        self.page_size = 1_000
        self.lose_pages: set[str] = set()
        self.lose_all_pages = False
        self.empty_pages: set[str] = set()
        self.pages: list[str] = []
        self.max_record_bytes = math.inf
        self.max_call_bytes = math.inf
        self.sizes: list[tuple[str, int]] = []
        self.appends: list[tuple[str, ports.Sequence | None]] = []
        self.first_by_topic: dict[str, int] = {}
        self._epochs: dict[tuple[str, str], int] = {}
        self._answers: dict[tuple, ports.Appended] = {}
        self._record_added = asyncio.Event()

    def answers(self) -> list[ports.Appended]:
        """Returns the outcomes of the appends with a sequence number."""
        return list(self._answers.values())

    def end(self, topic: str) -> int:
        return len(self.records_by_topic.get(topic, []))

    def put(self, topic: str, record: bytes) -> None:
        self.records_by_topic.setdefault(topic, []).append(record)
        self._record_added.set()
        self._record_added = asyncio.Event()

    async def append(
        self, topic, records, *, timeout_ms, sequence=None, at_offset=None
    ):
        self.appends.append((topic, sequence))
        self.sizes.append((topic, sum(map(len, records))))
        if self.silent or (topic in self.silent_appends and records):
            await asyncio.sleep(timeout_ms / 1000)
            return ports.Unknown("silent")
        await asyncio.sleep(self.append_s)
        if self.refuse:
            self.refuse -= 1
            return ports.NotAppended("refused")
        if self._too_large(records):
            return ports.NotAppended("too large", permanent=True)
        outcome = self._append(topic, records, sequence, at_offset)
        latency_s = self.append_s_by_topic.get(topic, 0.0)
        await asyncio.sleep(min(latency_s, timeout_ms / 1000))
        if latency_s * 1000 > timeout_ms:
            return ports.Unknown("the answer came too late")
        if self.lose_answers and isinstance(outcome, ports.Appended):
            self.lose_answers -= 1
            return ports.Unknown("the answer was lost")
        return outcome

    def _too_large(self, records):
        sizes = [len(record) for record in records]
        return (
            max(sizes, default=0) > self.max_record_bytes
            or sum(sizes) > self.max_call_bytes
        )

    def _append(self, topic, records, sequence, at_offset):
        end = self.end(topic)
        if at_offset is not None and at_offset != end:
            return ports.Conflict(end)
        if sequence is not None:
            producer_key = (topic, sequence.producer)
            if sequence.epoch < self._epochs.get(producer_key, 0):
                return ports.Fenced("a higher epoch was seen")
            self._epochs[producer_key] = sequence.epoch
            known = self._answers.get(
                (*producer_key, sequence.epoch, sequence.number)
            )
            if known is not None and records:
                return known
        for record in records:
            self.put(topic, record)
        outcome = ports.Appended(end, self.end(topic))
        if sequence is not None and records:
            key = (topic, sequence.producer, sequence.epoch, sequence.number)
            self._answers[key] = outcome
        return outcome

    async def read(self, topic, from_offset, *, wait_ms, timeout_ms):
        self.reads += 1
        if self.silent or topic in self.silent_reads:
            await asyncio.sleep(timeout_ms / 1000)
            return ports.Unknown("silent")
        first = self.first_by_topic.get(topic, 0)
        if from_offset < first:
            return ports.Expired(first)
        if self.end(topic) <= from_offset:
            record_added = self._record_added
            try:
                async with asyncio.timeout(wait_ms / 1000 + 0.001):
                    await record_added.wait()
            except TimeoutError:
                pass
        if self.silent:
            return ports.Unknown("silent")
        first = self.first_by_topic.get(topic, 0)
        if from_offset < first:
            return ports.Expired(first)
        await asyncio.sleep(self.read_s)
        entries = self._entries(topic, from_offset)[: self.batch_size]
        return ports.Batch(entries, self.end(topic))

    async def newest(self, topic, after, *, timeout_ms):
        if self.silent:
            await asyncio.sleep(timeout_ms / 1000)
            return ports.Unknown("silent")
        self.pages.append(after)
        await asyncio.sleep(0)
        if after in self.lose_pages or self.lose_all_pages:
            self.lose_pages.discard(after)
            return ports.Unknown("the answer was lost")
        if after in self.empty_pages:
            self.empty_pages.remove(after)
            return ports.Page((), True, self.end(topic))
        newest = {e.key: e for e in self._entries(topic, 0)}
        entries = [
            newest[key]
            for key in sorted(newest)
            if key > after and newest[key].value is not None
        ]
        more = len(entries) > self.page_size
        return ports.Page(
            tuple(entries[: self.page_size]), more, self.end(topic)
        )

    def _entries(self, topic, from_offset):
        entries = []
        records = self.records_by_topic.get(topic, [])
        for offset in range(from_offset, len(records)):
            record = records[offset]
            if not topic.startswith("keyed."):
                entries.append(ports.Entry(offset, "", record))
                continue
            end = 1 + record[0]
            entries.append(
                ports.Entry(
                    offset, record[1:end].decode(), record[end:] or None
                )
            )
        return tuple(entries)
