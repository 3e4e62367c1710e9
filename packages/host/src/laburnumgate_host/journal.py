"""Appends job records and waits until they are read back from the log."""

import asyncio
import dataclasses
import logging

from laburnumgate_core import actions
from laburnumgate_core import appender
from laburnumgate_core import clock
from laburnumgate_core import jobs
from laburnumgate_core import records

from laburnumgate_host import events
from laburnumgate_host import platform

_LOGGER = logging.getLogger(__name__)
# A sent batch that was not read back for this long is sent again.
RESEND_AFTER_MS = 3_000
SEND_PAUSE_MS = 20
RETRY_PAUSE_MS = 500


@dataclasses.dataclass(frozen=True)
class Unsent:
    """The record is not in the log and will not be used provisionally."""

    reason: str


class Journal:
    """The way of job records to the log and back."""

    def __init__(
        self,
        name: str,
        client: platform.Platform,
        table: jobs.JobTable,
        time: clock.Clock,
        timeout_ms: int,
    ):
        self.reachable = True
        self._client = client
        self._table = table
        self._clock = time
        self._timeout_ms = timeout_ms
        self._appender = appender.Appender(name)
        self._waiting_by_key: dict[appender.Key, asyncio.Future] = {}
        self._sent_ms_by_id: dict[str, int] = {}
        self._work = asyncio.Event()

    def __len__(self) -> int:
        return len(self._appender)

    async def append(
        self, record: records.JobRecord, provisional: bool
    ) -> actions.Appended | Unsent:
        """Appends a record and waits until the table has it.

        Args:
          record: the record to append.
          provisional: whether it may be used before the log has it. If not,
            the call waits for as long as the log is out.
        """
        key = self._appender.add(record)
        if isinstance(key, appender.Full):
            return Unsent(key.reason)
        future = asyncio.get_running_loop().create_future()
        self._waiting_by_key[key] = future
        self._work.set()
        if not provisional:
            taken = await future
            return actions.Appended(record, taken)
        timeout_s = self._timeout_ms / 1000 if self.reachable else 0.05
        try:
            taken = await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            self._waiting_by_key.pop(key, None)
            taken = self._table.add_provisional(
                key.append_id, key.index, record
            )
            return actions.Appended(record, taken, durable=False)
        return actions.Appended(record, taken)

    def on_entry(self, entry: records.Entry, taken: tuple[bool, ...]) -> None:
        """Notes an entry that the table has just applied."""
        if not self._appender.on_entry(entry.append_id):
            return
        self._sent_ms_by_id.pop(entry.append_id, None)
        for index, flag in enumerate(taken):
            key = appender.Key(entry.append_id, index)
            future = self._waiting_by_key.pop(key, None)
            if future is not None and not future.done():
                future.set_result(flag)

    async def run(self) -> None:
        """Sends batches until cancelled."""
        while True:
            self._resend_lost()
            batch = self._appender.next_batch()
            if batch is None:
                self._work.clear()
                await self._wait_for_work()
                continue
            self._sent_ms_by_id[batch.append_id] = self._clock.now_ms()
            answer = await self._client.append(
                records.JOBS_STREAM,
                batch.append_id,
                records.encode_jobs(batch.batch),
            )
            if isinstance(answer, platform.Unavailable):
                self._note_unreachable(answer.reason)
                await asyncio.sleep(RETRY_PAUSE_MS / 1000)
                continue
            await asyncio.sleep(SEND_PAUSE_MS / 1000)

    def note_reachable(self) -> None:
        """Notes that the log has answered."""
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

    async def _wait_for_work(self) -> None:
        try:
            await asyncio.wait_for(self._work.wait(), RETRY_PAUSE_MS / 1000)
        except TimeoutError:
            return

    def _resend_lost(self) -> None:
        now_ms = self._clock.now_ms()
        for batch in self._appender.unread():
            sent_ms = self._sent_ms_by_id.get(batch.append_id, 0)
            if now_ms - sent_ms > RESEND_AFTER_MS:
                self._appender.retry(batch.append_id)
