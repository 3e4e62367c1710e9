"""Reads a topic of the log and applies its records in order."""

import asyncio
from collections.abc import Callable
import dataclasses
import logging

from laburnumgate_core import clock

from laburnumgate_placer import events
from laburnumgate_placer import pauses
from laburnumgate_placer import ports

_LOGGER = logging.getLogger(__name__)

# A read times out this long after the log should have answered. A slow log
# takes up to 0.25 s; an unresponsive one must not delay a reconnect for long.
ANSWER_MARGIN_MS = 1_000
RETRY_MS = 100


@dataclasses.dataclass(slots=True)
class _Load:
    """A load of the latest record of each key that is under way.

    Attributes:
      sent_ms: monotonic time at which the first page was requested.
      missing: keys that were known before and are on no page so far.
      after: last key of the latest page.
      end_offset: end of the topic at the first page, None before it.
    """

    sent_ms: int
    missing: set[str]
    after: str = ""
    end_offset: int | None = None


class Feed:
    """Follows one topic: the latest record of each key, then all new ones.

    Attributes:
      topic: name of the topic.
      next_offset: offset of the next record to read.
      fresh_ms: latest monotonic time at which all records are known to be
        applied; 0 if not loaded yet.
      loaded: set once the latest record of each key was read for the first
        time.
      complete: whether no record is known to have expired unread.
      down: whether the last call was not answered.
      min_interval_ms: minimum time between reads, which limits their rate.
    """

    def __init__(
        self,
        log: ports.Log,
        monotonic: clock.MonotonicClock,
        topic: str,
        apply: Callable[[ports.Entry], None],
        *,
        wait_ms: int,
        keyed: bool = True,
        min_interval_ms: int = 0,
        newest_only: bool = False,
        on_expired: Callable[[], None] | None = None,
    ):
        """Prepares a feed.

        Args:
          log: the log service.
          monotonic: clock of `fresh_ms`.
          topic: name of the topic.
          apply: called with each entry, in order.
          wait_ms: how long a read waits for a new record (long polling).
          keyed: whether the topic retains the latest record of each key.
          min_interval_ms: minimum time between reads, which limits their
            rate.
          newest_only: whether records that are superseded before they are
            read may be skipped. Saves transfers if the topic has few keys and
            large records.
          on_expired: called when records are known to have expired unread.
        """
        self.topic = topic
        self.next_offset = 0
        self.fresh_ms = 0
        self.loaded = asyncio.Event()
        self.complete = False
        self._log = log
        self._monotonic = monotonic
        self._apply = apply
        self._wait_ms = wait_ms
        self._keyed = keyed
        self.min_interval_ms = min_interval_ms
        self.down = False
        # Offset of the latest record of each key.
        self._offset_by_key: dict[str, int] = {}
        self._newest_only = newest_only
        self._on_expired = on_expired
        # Set while records are skipped or none was read yet.
        self._load_due = True
        self._load: _Load | None = None
        self._advanced = asyncio.Condition()
        # Set to end the pause between two reads early.
        self._hurry = asyncio.Event()
        self._pausing = False

    async def run(self) -> None:
        """Follows the topic until cancelled."""
        while True:
            if self._load_due:
                if await self._load_newest():
                    self._load_due = False
                    self.complete = True
                    self.loaded.set()
                else:
                    # Reading may work although loading does not.
                    self._load_due = not self.loaded.is_set()
                    await asyncio.sleep(RETRY_MS / 1000)
                    continue
            if not await self._read():
                await asyncio.sleep(RETRY_MS / 1000)
            elif self.min_interval_ms:
                await self._pause()

    async def catch_up(self, timeout_ms: int) -> None:
        """Reads now what was written during the pause between two reads.

        Returns at once if a read is open, as it returns new records without
        delay. Gives up after the timeout.
        """
        if not self._pausing:
            return
        asked_ms = self._monotonic.now_ms()
        self._hurry.set()
        try:
            async with asyncio.timeout(timeout_ms / 1000), self._advanced:
                await self._advanced.wait_for(lambda: self.fresh_ms >= asked_ms)
        except TimeoutError:
            return

    async def _pause(self) -> None:
        self._pausing = True
        try:
            async with asyncio.timeout(self.min_interval_ms / 1000):
                await self._hurry.wait()
        except TimeoutError:
            pass
        finally:
            self._pausing = False

    async def wait_for_offset(self, offset: int, timeout_ms: int) -> bool:
        """Waits until all records before `offset` are applied.

        Returns:
          Whether that happened before the timeout.
        """
        if self._pausing:
            self._hurry.set()
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                async with self._advanced:
                    await self._advanced.wait_for(
                        lambda: self.next_offset >= offset
                    )
        except TimeoutError:
            return False
        return True

    async def confirm(self, timeout_ms: int) -> bool:
        """Applies all records that were stored before the call.

        Returns:
          Whether that is certain; not if the log does not answer in time.
        """
        if not self.complete:
            return False
        until_ms = self._monotonic.now_ms() + timeout_ms
        answer = await self._log.read(
            self.topic, self.next_offset, wait_ms=0, timeout_ms=timeout_ms
        )
        if not isinstance(answer, ports.Batch):
            return False
        left_ms = max(0, until_ms - self._monotonic.now_ms())
        return await self.wait_for_offset(answer.end_offset, left_ms)

    def age_ms(self) -> int:
        """Returns the time since all records were known to be applied."""
        return self._monotonic.now_ms() - self.fresh_ms

    async def _load_newest(self) -> bool:
        if not self._keyed:
            return await self._load_retained()
        if self._load is None:
            self._load = _Load(
                self._monotonic.now_ms(), missing=set(self._offset_by_key)
            )
        load = self._load
        while True:
            page = await self._log.newest(
                self.topic, load.after, timeout_ms=2 * ANSWER_MARGIN_MS
            )
            if isinstance(page, ports.Unknown):
                # The next attempt continues with the same page.
                return self._mark_down(page)
            if load.end_offset is None:
                load.end_offset = page.end_offset
            await self._apply_all(page.entries)
            load.missing.difference_update(entry.key for entry in page.entries)
            if not page.more:
                break
            keys = [entry.key for entry in page.entries if entry.key]
            if not keys:
                return self._mark_down(ports.Unknown("a page has no keys"))
            load.after = keys[-1]
        # Keys that were removed, but whose tombstones have expired unread.
        await self._apply_all(
            tuple(
                ports.Entry(load.end_offset, key, None) for key in load.missing
            )
        )
        self._load = None
        # The pages are not a consistent snapshot, so records written since the
        # first page are read again from its end offset.
        await self._advance(load.end_offset)
        self.fresh_ms = max(self.fresh_ms, load.sent_ms)
        return True

    async def _load_retained(self) -> bool:
        """Reads the records that a topic without keys still holds."""
        answer = await self._log.read(
            self.topic, 0, wait_ms=0, timeout_ms=ANSWER_MARGIN_MS
        )
        match answer:
            case ports.Batch(entries, end_offset):
                await self._apply_all(entries)
                # The answer may hold only the oldest of the records.
                await self._advance(
                    entries[-1].offset + 1 if entries else end_offset
                )
                return True
            case ports.Expired(first_offset):
                await self._advance(first_offset)
                return True
        return self._mark_down(answer)

    async def _read(self) -> bool:
        sent_ms = self._monotonic.now_ms()
        wait_ms = self._wait_ms
        if self._hurry.is_set() or self.age_ms() > 2 * self._wait_ms:
            # After a long transfer or an outage it has to be confirmed soon
            # that no record is missing.
            wait_ms = 0
        self._hurry.clear()
        answer = await self._log.read(
            self.topic,
            self.next_offset,
            wait_ms=wait_ms,
            timeout_ms=wait_ms + ANSWER_MARGIN_MS,
        )
        match answer:
            case ports.Batch(entries, end_offset):
                await self._apply_all(entries)
                if entries or self.next_offset >= end_offset:
                    self._mark_up()
                if entries:
                    self.next_offset = max(
                        self.next_offset, entries[-1].offset + 1
                    )
                if self.next_offset >= end_offset:
                    self.fresh_ms = sent_ms
                await self._advance(self.next_offset)
                unread = end_offset - self.next_offset
                if unread and not entries:
                    return self._mark_down(
                        ports.Unknown("a read returned none of its records")
                    )
                self._load_due = self._newest_only and unread > 1
                return True
            case ports.Expired(first_offset):
                events.emit(
                    _LOGGER,
                    events.Event.HISTORY_GONE,
                    topic=self.topic,
                    wanted=self.next_offset,
                    first=first_offset,
                )
                self._load_due = True
                self.complete = False
                if self._on_expired is not None:
                    self._on_expired()
                return True
        return self._mark_down(answer)

    async def _apply_all(self, entries: tuple[ports.Entry, ...]) -> None:
        """Applies records in order, with pauses while there are many."""
        pause = pauses.Pauses(self._monotonic)
        for entry in entries:
            await pause.take()
            if entry.error:
                self._log_skipped(entry, entry.error)
                continue
            if self._keyed:
                # Pages may hold records that are newer than the offset from
                # which the topic is read afterwards.
                if entry.offset <= self._offset_by_key.get(entry.key, -1):
                    continue
                if entry.value is None:
                    self._offset_by_key.pop(entry.key, None)
                else:
                    self._offset_by_key[entry.key] = entry.offset
            try:
                self._apply(entry)
            except Exception as error:  # A bad record must not stop the feed.
                self._log_skipped(entry, str(error))

    def _log_skipped(self, entry: ports.Entry, reason: str) -> None:
        events.emit(
            _LOGGER,
            events.Event.RECORD_SKIPPED,
            topic=self.topic,
            offset=entry.offset,
            key=entry.key,
            reason=reason,
        )

    async def _advance(self, offset: int) -> None:
        async with self._advanced:
            self.next_offset = max(self.next_offset, offset)
            self._advanced.notify_all()

    def _mark_down(self, answer: ports.Unknown) -> bool:
        if not self.down:
            self.down = True
            events.emit(
                _LOGGER,
                events.Event.FEED_LOST,
                topic=self.topic,
                reason=answer.reason,
                age_ms=self.age_ms() if self.fresh_ms else None,
            )
        return False

    def _mark_up(self) -> None:
        if self.down:
            self.down = False
            events.emit(_LOGGER, events.Event.FEED_REGAINED, topic=self.topic)
