"""Follows the log's streams and applies their entries to the tables."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging
import random

from laburnumgate_core import limits
from laburnumgate_core import records

from laburnumgate_host import events
from laburnumgate_host import platform

_LOGGER = logging.getLogger(__name__)
RETRY_FIRST_MS = 200
# Bounds how late a host notices that the log is back.
RETRY_LAST_MS = 2_000


class Follower:
    """Reads one stream from an offset on, for as long as it runs."""

    def __init__(
        self,
        stream: str,
        client: platform.Platform,
        next_offset: Callable[[], int],
        apply: Callable[[records.Entry], None],
        on_answer: Callable[[bool], None],
        wait_ms: int,
        recover: Callable[[str, int], Awaitable[bool]] | None = None,
    ):
        """Prepares to follow `stream`.

        Args:
          stream: name of the stream.
          client: the log's client.
          next_offset: tells the first offset that is still wanted.
          apply: takes one entry; offsets never go back.
          on_answer: told after each read whether the log answered.
          wait_ms: how long one read waits for a new entry.
          recover: brings the table forward to an offset without the stream's
            entries, and tells whether it did.
        """
        self.caught_up = False
        self._stream = stream
        self._client = client
        self._next_offset = next_offset
        self._apply = apply
        self._on_answer = on_answer
        self._wait_ms = wait_ms
        self._recover = recover
        self._backoff = limits.Backoff(
            RETRY_FIRST_MS, RETRY_LAST_MS, random.Random()
        )

    async def run(self) -> None:
        """Follows the stream until cancelled."""
        if self._next_offset() == 1:
            await self._recovered(1)
        while True:
            wait_ms = self._wait_ms if self.caught_up else 0
            start = self._next_offset()
            page = await self._client.read(self._stream, start, wait_ms)
            self._on_answer(not isinstance(page, platform.Unavailable))
            if isinstance(page, platform.Unavailable):
                # A host that starts in an outage serves with a peer's state.
                if not self.caught_up:
                    self.caught_up = await self._recovered(0)
                await self._pause()
                continue
            if page.first_offset > start:
                await self._cross_gap(start, page.first_offset)
                continue
            self._backoff.reset()
            for entry in page.entries:
                self._apply(entry)
            self.caught_up = self._next_offset() >= page.next_offset

    async def _cross_gap(self, start: int, first: int) -> None:
        """Recovers without the entries that have expired.

        Entries behind a gap are not applied: a fold that misses records would
        differ from that of every other host. Until the table was brought
        forward the host is not caught up, and so serves nobody.
        """
        self.caught_up = False
        events.emit(
            _LOGGER,
            events.Event.LOG_GAP,
            logging.ERROR,
            stream=self._stream,
            wanted=start,
            first=first,
        )
        if not await self._recovered(first):
            await self._pause()

    async def _recovered(self, wanted: int) -> bool:
        if self._recover is None:
            return False
        return await self._recover(self._stream, wanted)

    async def _pause(self) -> None:
        await asyncio.sleep(self._backoff.next_ms() / 1000)
