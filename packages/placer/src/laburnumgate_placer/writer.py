"""Appends records in batches, each exactly once."""

import asyncio
import dataclasses
import logging

from laburnumgate_core import clock

from laburnumgate_placer import ports

_LOGGER = logging.getLogger(__name__)

# A sound log answers an append within some 10 ms; a call is given up after
# several times the usual latency, and each repeat waits twice as long.
FIRST_TIMEOUT_MS = 250
LAST_TIMEOUT_MS = 2_000
LATENCY_FACTOR = 5
LATENCY_WEIGHT = 0.2
RETRY_MS = 50
# A batch that has been under way for longer than this will not be answered
# soon; new records are refused meanwhile.
STALLED_MS = 600
# Records of one call; far below the log's limit on the bytes of a call.
MAX_BATCH = 200
MAX_BATCH_BYTES = 1_000_000


@dataclasses.dataclass(eq=False, slots=True)
class _PendingAppend:
    records: list[bytes]
    until_ms: int
    done: asyncio.Future
    sent: bool = False


class Writer:
    """Appends to one topic under one producer's name and epoch.

    Every batch carries a sequence number, so that a batch whose answer was
    lost is sent again until its fate is known. Records whose caller no longer
    waits are dropped if no call ever carried them.
    """

    def __init__(
        self,
        log: ports.Log,
        steady: clock.SteadyClock,
        topic: str,
        producer: str,
        epoch: int,
    ):
        """Prepares a writer; `run` sends what `append` queues."""
        self._log = log
        self._steady = steady
        self._topic = topic
        self._producer = producer
        self._epoch = epoch
        self._number = 0
        self._waiting: list[_PendingAppend] = []
        self._sending_since_ms: int | None = None
        self._latency_ms = 0.0
        self._wake = asyncio.Event()

    async def append(
        self, records: list[bytes], timeout_ms: int
    ) -> ports.AppendOutcome:
        """Appends the records and says what became of them.

        Returns:
          `Appended`, `NotAppended` if no call ever carried them, `Fenced`, or
          `Unknown` if the time ran out while a call was under way.
        """
        loop = asyncio.get_running_loop()
        until_ms = self._steady.now_ms() + timeout_ms
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

    def stalled(self) -> bool:
        """Whether the log has not answered a batch for a long time."""
        since_ms = self._sending_since_ms
        if since_ms is None:
            return False
        return self._steady.now_ms() - since_ms > STALLED_MS

    async def run(self) -> None:
        """Sends queued records, one batch after the other."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._waiting:
                self._sending_since_ms = self._steady.now_ms()
                await self._send(self._take_batch())
            self._sending_since_ms = None

    def _take_batch(self) -> list[_PendingAppend]:
        batch = []
        size = 0
        while self._waiting and len(batch) < MAX_BATCH:
            size += sum(len(record) for record in self._waiting[0].records)
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append(self._waiting.pop(0))
        return batch

    async def _send(self, batch: list[_PendingAppend]) -> None:
        records = [record for item in batch for record in item.records]
        in_doubt = False
        timeout_ms = max(
            FIRST_TIMEOUT_MS, int(LATENCY_FACTOR * self._latency_ms)
        )
        while True:
            for item in batch:
                item.sent = True
            sent_ms = self._steady.now_ms()
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
                    took_ms = self._steady.now_ms() - sent_ms
                    change_ms = took_ms - self._latency_ms
                    self._latency_ms += LATENCY_WEIGHT * change_ms
                    break
                case ports.Fenced():
                    break
                case ports.NotAppended() if not in_doubt:
                    # Nothing was done: each caller is told, or waits for
                    # another try while its time lasts.
                    now_ms = self._steady.now_ms()
                    for item in batch:
                        item.sent = False
                    batch = self._expire_items(batch, now_ms, outcome)
                    if not batch:
                        return
                    records = [r for item in batch for r in item.records]
                case _:
                    in_doubt = True
                    timeout_ms *= 2
            await asyncio.sleep(RETRY_MS / 1000)
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
