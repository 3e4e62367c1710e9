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
PROBE_INTERVAL_MS = 500
# How long a provisional record waits for a log known to be unreachable.
OUTAGE_WAIT_MS = 50
# Spreads the first appends of all hosts after an outage of the log.
MAX_FLUSH_DELAY_MS = 2_000
BACKOFF_MIN_MS = 200
BACKOFF_MAX_MS = 5_000
APPENDS_PER_S = 20


@dataclasses.dataclass(frozen=True)
class Unconfirmed:
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
            BACKOFF_MIN_MS, BACKOFF_MAX_MS, self._random
        )
        self._appender = appender.Appender(name)
        self._waiting_by_key: dict[appender.RecordKey, asyncio.Future] = {}
        self._work_available = asyncio.Event()
        self._progress_made = asyncio.Event()

    def __len__(self) -> int:
        return len(self._appender)

    async def append(
        self, record: records.JobRecord, provisional: bool
    ) -> actions.Appended | Unconfirmed:
        """Appends a record and waits until the table has processed it.

        Args:
          record: the record to append.
          provisional: whether it may be applied before it is in the log. If
            not, the call waits until the log is reachable again.

        Returns:
          Whether the table applied the record, or `Unconfirmed` for a new
          request while the queue is full. Other records wait for space in the
          queue, since the state of a run that they report would be lost.
        """
        key = self._appender.add(record)
        while isinstance(key, appender.QueueFull):
            if isinstance(record, records.Submitted | records.Refused):
                return Unconfirmed(key.reason)
            await self._wait_for(self._progress_made, PROBE_INTERVAL_MS)
            key = self._appender.add(record)
        future = asyncio.get_running_loop().create_future()
        self._waiting_by_key[key] = future
        self._work_available.set()
        if not provisional:
            return actions.Appended(record, await future)
        wait_ms = self._timeout_ms if self.reachable else OUTAGE_WAIT_MS
        try:
            applied = await asyncio.wait_for(future, wait_ms / 1000)
        except TimeoutError:
            self._waiting_by_key.pop(key, None)
            self._mark_unreachable(f"record not read back within {wait_ms} ms")
            applied = self._table.add_provisional(
                key.append_id, key.index, record
            )
            return actions.Appended(record, applied, durable=False)
        return actions.Appended(record, applied)

    def on_entry(self, entry: records.Entry, applied: tuple[bool, ...]) -> None:
        """Resolves the batch whose entry the table has just applied."""
        batch = self._appender.on_entry(entry.append_id)
        if batch is not None:
            self._resolve(batch, applied)
        self._signal_progress()

    def on_state_adopted(self) -> None:
        """Resolves batches that an adopted snapshot skipped.

        A batch that is in the log at an offset below the table's will not be
        read back, so the table shows whether its records took effect. A batch
        whose append went unanswered is sent again and then read back.
        """
        for batch in self._appender.unread_batches(self._table.offset):
            self._appender.on_entry(batch.append_id)
            self._resolve(batch, (False,) * len(batch.records))
        self._signal_progress()

    async def run(self) -> None:
        """Sends batches until cancelled."""
        while True:
            if self._appender.unanswered:
                await self._resolve_unanswered()
                continue
            batch = self._appender.next_batch()
            if batch is None:
                self._work_available.clear()
                await self._wait_for(self._work_available, PROBE_INTERVAL_MS)
                await self._probe()
                continue
            self._retries.note_call()
            await self._send(batch)

    def on_log_read(self) -> None:
        """Triggers a probe after the log answered a read.

        A log may answer reads while it rejects appends, so an answered read
        does not end an outage while records are waiting.
        """
        if not len(self._appender):
            self._work_available.set()

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
            self._mark_unreachable(answer.reason)
            return
        self._appender.on_answer(answer)
        self._record_latency(self._clock.now_ms() - sent_ms)

    async def _resolve_unanswered(self) -> None:
        """Checks whether an unanswered append is in the log; resends if not.

        The head is read after the append timed out. The append is sent again
        only when the stream has been read up to that head without finding it.
        """
        await asyncio.sleep(self._backoff.next_ms() / 1000)
        while not self._retries.take():
            await asyncio.sleep(self._retries.wait_ms() / 1000)
        head = await self._client.head(records.JOBS_STREAM)
        if isinstance(head, platform.Unavailable):
            self._mark_unreachable(head.reason)
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
            await self._wait_for(self._progress_made, PROBE_INTERVAL_MS)

    async def _probe(self) -> None:
        """Checks without an append whether an unreachable log answers again."""
        if self.reachable or len(self._appender):
            return
        sent_ms = self._clock.now_ms()
        head = await self._client.head(records.JOBS_STREAM)
        if not isinstance(head, platform.Unavailable):
            self._record_latency(self._clock.now_ms() - sent_ms)

    def _resolve(
        self, batch: appender.Batch, applied: tuple[bool, ...]
    ) -> None:
        # An entry that could not be decoded has no flags: nothing was applied.
        flags = applied or (False,) * len(batch.records)
        for key, record, was_applied in zip(
            batch.keys, batch.records, flags, strict=True
        ):
            future = self._waiting_by_key.pop(key, None)
            if future is None or future.done():
                continue
            if not was_applied:
                # An earlier copy of the append may have been applied.
                job = self._table.committed(record.job_id)
                was_applied = jobs.reflects(job, record)
            future.set_result(was_applied)

    def _record_latency(self, latency_ms: int) -> None:
        if latency_ms > self._timeout_ms // 2:
            self._mark_unreachable(f"the log took {latency_ms} ms to answer")
            return
        self._backoff.reset()
        if not self.reachable:
            events.emit(_LOGGER, events.Event.LOG_REACHABLE)
        self.reachable = True

    def _mark_unreachable(self, reason: str) -> None:
        if self.reachable:
            events.emit(
                _LOGGER,
                events.Event.LOG_UNREACHABLE,
                logging.WARNING,
                reason=reason,
            )
        self.reachable = False

    def _signal_progress(self) -> None:
        self._progress_made.set()
        self._progress_made.clear()

    async def _wait_for(self, event: asyncio.Event, wait_ms: int) -> None:
        try:
            await asyncio.wait_for(event.wait(), wait_ms / 1000)
        except TimeoutError:
            return
