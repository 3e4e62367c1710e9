"""Appends job records to the log and waits until they are read back."""

import asyncio
import dataclasses
import logging
import random

from laburnumgate_core import actions
from laburnumgate_core import appender
from laburnumgate_core import clock
from laburnumgate_core import jobs
from laburnumgate_core import limits
from laburnumgate_core import records

from laburnumgate_host import events
from laburnumgate_host import platform

_LOGGER = logging.getLogger(__name__)
PROBE_EVERY_MS = 500
# How long a provisional record waits for a log known to be unreachable.
OUTAGE_WAIT_MS = 50
# Spreads the first appends of all hosts after an outage of the log.
MAX_FLUSH_DELAY_MS = 2_000
BACKOFF_FIRST_MS = 200
BACKOFF_LAST_MS = 5_000
APPENDS_PER_S = 20


@dataclasses.dataclass(frozen=True)
class Unsent:
    """The record was not confirmed in the log or applied provisionally."""

    reason: str


class Journal:
    """Appends job records in batches and tracks them until read back.

    `reachable` is False while appends fail and while they are slow: a log that
    takes longer than `timeout_ms` to answer delays idempotent work as much as
    one that is down.
    """

    def __init__(
        self,
        name: str,
        client: platform.Platform,
        table: jobs.JobTable,
        time: clock.Clock,
        timeout_ms: int,
        appends_per_s: int = APPENDS_PER_S,
        retries: limits.RetryBudget | None = None,
    ):
        """Initialises the journal; `run` starts sending batches.

        Args:
          name: unique to this process's start.
          client: the log's client.
          table: the table built from the stream `jobs`.
          time: the clock of rates and durations.
          timeout_ms: how long a provisional record waits to be read back.
          appends_per_s: this host's share of the log's append rate.
          retries: the host's budget of retries.
        """
        self.reachable = True
        self._client = client
        self._table = table
        self._clock = time
        self._timeout_ms = timeout_ms
        self._random = random.Random(name)
        self._rate = limits.TokenBucket(appends_per_s, appends_per_s, time)
        self._retries = retries or limits.RetryBudget(time)
        self._backoff = limits.Backoff(
            BACKOFF_FIRST_MS, BACKOFF_LAST_MS, self._random
        )
        self._appender = appender.Appender(name)
        self._waiting_by_key: dict[appender.RecordKey, asyncio.Future] = {}
        self._work = asyncio.Event()
        self._progress = asyncio.Event()

    def __len__(self) -> int:
        return len(self._appender)

    async def append(
        self, record: records.JobRecord, provisional: bool
    ) -> actions.Appended | Unsent:
        """Appends a record and waits until the table has processed it.

        Args:
          record: the record to append.
          provisional: whether it may be applied before it is in the log. If
            not, the call waits until the log is reachable again.

        Returns:
          Whether the table applied the record, or `Unsent` for a new request
          while the queue is full. Other records wait for space in the queue,
          since the state of a run that they report would be lost.
        """
        key = self._appender.add(record)
        while isinstance(key, appender.QueueFull):
            if isinstance(record, records.Submitted | records.Refused):
                return Unsent(key.reason)
            await self._wait_for(self._progress, PROBE_EVERY_MS)
            key = self._appender.add(record)
        future = asyncio.get_running_loop().create_future()
        self._waiting_by_key[key] = future
        self._work.set()
        if not provisional:
            return actions.Appended(record, await future)
        wait_ms = self._timeout_ms if self.reachable else OUTAGE_WAIT_MS
        try:
            taken = await asyncio.wait_for(future, wait_ms / 1000)
        except TimeoutError:
            self._waiting_by_key.pop(key, None)
            self._note_unreachable(f"not read back within {wait_ms} ms")
            taken = self._table.add_provisional(
                key.append_id, key.index, record
            )
            return actions.Appended(record, taken, durable=False)
        return actions.Appended(record, taken)

    def on_entry(self, entry: records.Entry, taken: tuple[bool, ...]) -> None:
        """Resolves the batch whose entry the table has just applied."""
        batch = self._appender.on_entry(entry.append_id)
        if batch is not None:
            self._settle(batch, taken)
        self._wake()

    def on_state(self) -> None:
        """Resolves batches that an adopted snapshot skipped.

        A batch that is in the log at an offset below the table's will not be
        read back, so the table shows whether its records took effect. A batch
        whose append went unanswered is sent again and then read back.
        """
        for batch in self._appender.unread_batches(self._table.offset):
            self._appender.on_entry(batch.append_id)
            self._settle(batch, (False,) * len(batch.records))
        self._wake()

    async def run(self) -> None:
        """Sends batches until cancelled."""
        while True:
            if self._appender.unanswered:
                await self._settle_unanswered()
                continue
            batch = self._appender.next_batch()
            if batch is None:
                self._work.clear()
                await self._wait_for(self._work, PROBE_EVERY_MS)
                await self._probe()
                continue
            self._retries.note_call()
            await self._send(batch)

    def note_reachable(self) -> None:
        """Triggers a probe after the log answered a read.

        A log may answer reads while it rejects appends, so an answered read
        does not end an outage while records are waiting.
        """
        if not len(self._appender):
            self._work.set()

    async def _send(self, batch: appender.Batch) -> None:
        while not self._rate.take():
            await asyncio.sleep(self._rate.wait_ms() / 1000)
        sent_ms = self._clock.now_ms()
        answer = await self._client.append(
            records.JOBS_STREAM,
            batch.append_id,
            records.encode_jobs(batch.records),
        )
        if isinstance(answer, platform.Unavailable):
            self._note_unreachable(answer.reason)
            return
        self._appender.on_answer(answer)
        self._note_append(self._clock.now_ms() - sent_ms)

    async def _settle_unanswered(self) -> None:
        """Checks whether an unanswered append is in the log; resends if not.

        The head is read after the append timed out. The append is sent again
        only when the stream has been read up to that head without finding it.
        """
        await asyncio.sleep(self._backoff.next_ms() / 1000)
        while not self._retries.take():
            await asyncio.sleep(self._retries.wait_ms() / 1000)
        head = await self._client.head(records.JOBS_STREAM)
        if isinstance(head, platform.Unavailable):
            self._note_unreachable(head.reason)
            return
        if not self.reachable:
            delay_ms = self._random.randint(0, MAX_FLUSH_DELAY_MS)
            await asyncio.sleep(delay_ms / 1000)
        self._appender.on_head(head)
        while self._appender.unanswered:
            batch = self._appender.batch_to_resend(self._table.offset)
            if batch is not None:
                await self._send(batch)
                return
            await self._wait_for(self._progress, PROBE_EVERY_MS)

    async def _probe(self) -> None:
        """Checks without an append whether an unreachable log answers again."""
        if self.reachable or len(self._appender):
            return
        sent_ms = self._clock.now_ms()
        head = await self._client.head(records.JOBS_STREAM)
        if not isinstance(head, platform.Unavailable):
            self._note_append(self._clock.now_ms() - sent_ms)

    def _settle(self, batch: appender.Batch, taken: tuple[bool, ...]) -> None:
        # An entry that could not be decoded has no flags: nothing was applied.
        flags = taken or (False,) * len(batch.records)
        for key, record, flag in zip(
            batch.keys, batch.records, flags, strict=True
        ):
            future = self._waiting_by_key.pop(key, None)
            if future is None or future.done():
                continue
            if not flag:
                # An earlier copy of the append may have been applied.
                job = self._table.committed(record.job_id)
                flag = jobs.reflects(job, record)
            future.set_result(flag)

    def _note_append(self, took_ms: int) -> None:
        if took_ms > self._timeout_ms // 2:
            self._note_unreachable(f"an answer took {took_ms} ms")
            return
        self._backoff.reset()
        if not self.reachable:
            events.emit(_LOGGER, events.Event.LOG_REACHABLE)
        self.reachable = True

    def _note_unreachable(self, reason: str) -> None:
        if self.reachable:
            events.emit(
                _LOGGER,
                events.Event.LOG_UNREACHABLE,
                logging.WARNING,
                reason=reason,
            )
        self.reachable = False

    def _wake(self) -> None:
        self._progress.set()
        self._progress.clear()

    async def _wait_for(self, event: asyncio.Event, wait_ms: int) -> None:
        try:
            await asyncio.wait_for(event.wait(), wait_ms / 1000)
        except TimeoutError:
            return
