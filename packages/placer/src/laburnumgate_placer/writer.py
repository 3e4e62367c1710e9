"""Appends records to the log in batches, exactly once."""

import asyncio
import dataclasses
import logging

from laburnumgate_core import clock

from laburnumgate_placer import ports

_LOGGER = logging.getLogger(__name__)

# A healthy log answers an append within about 10 ms. A call times out after a
# multiple of the average latency; the timeout doubles with each retry.
FIRST_TIMEOUT_MS = 250
LAST_TIMEOUT_MS = 2_000
LATENCY_FACTOR = 5
LATENCY_WEIGHT = 0.2
RETRY_MS = 50
# A batch in flight for longer than this is unlikely to be answered soon; new
# records are rejected until it is.
STALLED_MS = 600
# How long the submissions of callers are sent. Those of a host that was cut off
# or frozen for longer are dropped unless they are stored by then.
SUBMISSION_LIFETIME_MS = 20_000
# Maximum number of items in a batch.
MAX_BATCH = 200
# Maximum size of a batch in bytes, so that a call over a slow link takes less
# than a second.
MAX_BATCH_BYTES = 250_000


@dataclasses.dataclass(eq=False, slots=True)
class _PendingAppend:
    records: list[bytes]
    until_ms: int
    done: asyncio.Future
    sent: bool = False


class Writer:
    """Appends to one topic as one producer with a fixed epoch.

    Every batch has a sequence number, so a batch without a response is retried
    until its outcome is known, or until its lifetime is over. Records whose
    caller has timed out are dropped if they were never sent.
    """

    def __init__(
        self,
        log: ports.Log,
        monotonic: clock.MonotonicClock,
        topic: str,
        producer: str,
        epoch: int,
        *,
        lifetime_ms: int | None = None,
        interval_ms: int = 0,
        max_batch: int = MAX_BATCH,
    ):
        """Prepares a writer; `run` sends the records that `append` queues.

        Args:
          log: the log service.
          monotonic: clock that goes on while the machine is suspended.
          topic: topic of the records.
          producer: name of the producer, which no other writer uses.
          epoch: epoch of its appends.
          lifetime_ms: how long a batch without a response is sent. The epoch
            is raised then, so that copies in flight are not stored any more.
            None for no limit.
          interval_ms: minimum time between two appends.
          max_batch: maximum number of items in an append.
        """
        self._log = log
        self._monotonic = monotonic
        self._topic = topic
        self._producer = producer
        self._epoch = epoch
        self._lifetime_ms = lifetime_ms
        self._interval_ms = interval_ms
        self._max_batch = max_batch
        self._number = 0
        self._waiting: list[_PendingAppend] = []
        self._sending_since_ms: int | None = None
        self._latency_ms = 0.0
        self._wake = asyncio.Event()

    async def append(
        self, records: list[bytes], timeout_ms: int
    ) -> ports.AppendOutcome:
        """Appends the records and returns the outcome.

        Returns:
          `Appended`, `NotAppended` if the records were not stored and will not
          be (`permanent` if the log does not accept their content), `Fenced`,
          or `Unknown` if a call was in flight at the timeout.
        """
        loop = asyncio.get_running_loop()
        until_ms = self._monotonic.now_ms() + timeout_ms
        item = _PendingAppend(records, until_ms, loop.create_future())
        self._waiting.append(item)
        self._wake.set()
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await asyncio.shield(item.done)
        except TimeoutError:
            if item.sent:
                return ports.Unknown("the log did not answer in time")
            if item in self._waiting:
                self._waiting.remove(item)
            return ports.NotAppended("the log did not take records in time")

    async def append_all(
        self, records: list[bytes], timeout_ms: int
    ) -> ports.AppendOutcome:
        """Appends the records in order, in batches of `MAX_BATCH_BYTES` bytes.

        Each batch is stored atomically, and before the next one is sent.

        Args:
          records: at least one record.
          timeout_ms: timeout of each batch.

        Returns:
          `Appended` if all records are stored; otherwise the outcome of the
          first batch that may not be stored. Records after it are not sent.
        """
        first_offset = None
        for batch in _split(records):
            outcome = await self.append(batch, timeout_ms)
            if not isinstance(outcome, ports.Appended):
                return outcome
            if first_offset is None:
                first_offset = outcome.offset
        return ports.Appended(first_offset, outcome.end_offset)

    def stalled(self) -> bool:
        """Whether the batch in flight is overdue (see `STALLED_MS`)."""
        since_ms = self._sending_since_ms
        if since_ms is None:
            return False
        return self._monotonic.now_ms() - since_ms > STALLED_MS

    async def run(self) -> None:
        """Sends queued records, one batch at a time."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._waiting:
                batch = self._take_batch()
                if batch:
                    self._sending_since_ms = self._monotonic.now_ms()
                    await self._send(batch)
                if self._interval_ms:
                    self._sending_since_ms = None
                    await asyncio.sleep(self._interval_ms / 1000)
            self._sending_since_ms = None

    def _take_batch(self) -> list[_PendingAppend]:
        batch = []
        size = 0
        # A process that was frozen finds records whose callers are gone.
        self._waiting = self._expire_items(
            self._waiting,
            self._monotonic.now_ms() - RETRY_MS,
            ports.NotAppended("the log did not take records in time"),
        )
        while self._waiting and len(batch) < self._max_batch:
            size += sum(len(record) for record in self._waiting[0].records)
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append(self._waiting.pop(0))
        return batch

    async def _send(self, batch: list[_PendingAppend]) -> None:
        records = [record for item in batch for record in item.records]
        in_doubt = False
        began_ms = self._monotonic.now_ms()
        timeout_ms = max(
            FIRST_TIMEOUT_MS, int(LATENCY_FACTOR * self._latency_ms)
        )
        while True:
            if in_doubt and self._lifetime_over(began_ms):
                await self._abandon()
                outcome = ports.Unknown("the log did not answer in time")
                break
            for item in batch:
                item.sent = True
            sent_ms = self._monotonic.now_ms()
            outcome = await self._log.append(
                self._topic,
                records,
                timeout_ms=min(timeout_ms, LAST_TIMEOUT_MS),
                sequence=ports.Sequence(
                    self._producer, self._epoch, self._number
                ),
            )
            match outcome:
                case ports.Appended():
                    self._number += 1
                    took_ms = self._monotonic.now_ms() - sent_ms
                    change_ms = took_ms - self._latency_ms
                    self._latency_ms += LATENCY_WEIGHT * change_ms
                    break
                case ports.Fenced():
                    break
                case ports.NotAppended(permanent=True):
                    # The log refuses the content, also of an earlier attempt
                    # without a response.
                    await self._give_up(batch, outcome)
                    return
                case ports.NotAppended() if not in_doubt:
                    # Nothing was stored: retries the records of callers that
                    # still have time and reports the outcome to the others.
                    now_ms = self._monotonic.now_ms()
                    for item in batch:
                        item.sent = False
                    batch = self._expire_items(batch, now_ms, outcome)
                    if not batch:
                        return
                    records = [r for item in batch for r in item.records]
                case _:
                    in_doubt = True
                    timeout_ms *= 2
            await asyncio.sleep(max(RETRY_MS, self._interval_ms) / 1000)
        for item in batch:
            if not item.done.done():
                item.done.set_result(outcome)

    def _lifetime_over(self, began_ms: int) -> bool:
        if self._lifetime_ms is None:
            return False
        return self._monotonic.now_ms() - began_ms > self._lifetime_ms

    async def _abandon(self) -> None:
        """Makes sure that no append of the current epoch is stored any more."""
        self._epoch += 1
        self._number = 0
        timeout_ms = FIRST_TIMEOUT_MS
        while True:
            outcome = await self._log.append(
                self._topic,
                [],
                timeout_ms=min(timeout_ms, LAST_TIMEOUT_MS),
                sequence=ports.Sequence(self._producer, self._epoch, 0),
            )
            if isinstance(outcome, ports.Appended | ports.Fenced):
                return
            timeout_ms *= 2
            await asyncio.sleep(max(RETRY_MS, self._interval_ms) / 1000)

    async def _give_up(
        self, batch: list[_PendingAppend], outcome: ports.NotAppended
    ) -> None:
        """Rejects a refused item; sends those of a batch one by one."""
        if len(batch) > 1:
            for item in batch:
                await self._send([item])
            return
        for item in batch:
            if not item.done.done():
                item.done.set_result(outcome)

    def _expire_items(
        self,
        batch: list[_PendingAppend],
        now_ms: int,
        outcome: ports.NotAppended,
    ) -> list[_PendingAppend]:
        left = []
        for item in batch:
            if now_ms + RETRY_MS < item.until_ms:
                left.append(item)
                continue
            if not item.done.done():
                item.done.set_result(outcome)
        return left


def _split(records: list[bytes]) -> list[list[bytes]]:
    """Splits records into batches; only a single record may be larger."""
    batches = []
    size = 0
    for record in records:
        size += len(record)
        if not batches or size > MAX_BATCH_BYTES:
            batches.append([])
            size = len(record)
        batches[-1].append(record)
    return batches
