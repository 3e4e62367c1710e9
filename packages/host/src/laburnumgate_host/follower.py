"""Reads the log's streams and applies their entries to the tables."""

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
BACKOFF_MIN_MS = 200
# Limits how late a host detects that the log answers again.
BACKOFF_MAX_MS = 2_000
# After a failed read, pages are halved down to the minimum, and then grow by
# the step with each page that arrives.
MIN_ENTRIES_PER_PAGE = 16
ENTRIES_PER_PAGE_STEP = 32


class Follower:
    """Tails one stream of the log and recovers from gaps in it."""

    def __init__(
        self,
        stream: str,
        client: platform.Platform,
        next_offset: Callable[[], int],
        apply: Callable[[records.Entry], None],
        on_read: Callable[[bool], None],
        wait_ms: int,
        recover: Callable[[str, int], Awaitable[bool]] | None = None,
    ):
        """Initialises the follower; `run` starts reading.

        Args:
          stream: name of the stream.
          client: the log's client.
          next_offset: returns the offset of the next entry to read.
          apply: applies one entry; offsets never decrease.
          on_read: called after each read with whether the log answered.
          wait_ms: how long one read waits for a new entry.
          recover: advances the table to an offset without reading the
            stream's entries; returns whether it succeeded.
        """
        self.caught_up = False
        self._stream = stream
        self._client = client
        self._next_offset = next_offset
        self._apply = apply
        self._on_read = on_read
        self._wait_ms = wait_ms
        self._recover = recover
        self._page_limit = platform.MAX_ENTRIES_PER_PAGE
        self._backoff = limits.Backoff(
            BACKOFF_MIN_MS, BACKOFF_MAX_MS, random.Random()
        )

    async def run(self) -> None:
        """Follows the stream until cancelled."""
        if self._next_offset() == 1:
            await self._try_recover(1)
        while True:
            wait_ms = self._wait_ms if self.caught_up else 0
            start = self._next_offset()
            page = await self._client.read(
                self._stream, start, wait_ms, self._page_limit
            )
            self._on_read(not isinstance(page, platform.Unavailable))
            if isinstance(page, platform.Unavailable):
                # A connection that breaks often may carry a smaller page.
                self._page_limit = max(
                    MIN_ENTRIES_PER_PAGE, self._page_limit // 2
                )
                # A host that starts during an outage uses a peer's state.
                if not self.caught_up:
                    self.caught_up = await self._try_recover(0)
                await self._back_off()
                continue
            self._page_limit = min(
                platform.MAX_ENTRIES_PER_PAGE,
                self._page_limit + ENTRIES_PER_PAGE_STEP,
            )
            if page.first_offset > start:
                await self._recover_from_gap(start, page.first_offset)
                continue
            self._backoff.reset()
            for entry in page.entries:
                self._apply(entry)
            self.caught_up = self._next_offset() >= page.next_offset

    async def _recover_from_gap(self, start: int, first: int) -> None:
        """Recovers the table when entries that it needs have expired.

        Entries after a gap are not applied: a table that misses records would
        differ from the tables of all other hosts. Until the table has been
        recovered, the host is not caught up and serves no requests.
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
        if not await self._try_recover(first):
            await self._back_off()

    async def _try_recover(self, first_offset: int) -> bool:
        if self._recover is None:
            return False
        return await self._recover(self._stream, first_offset)

    async def _back_off(self) -> None:
        await asyncio.sleep(self._backoff.next_ms() / 1000)
