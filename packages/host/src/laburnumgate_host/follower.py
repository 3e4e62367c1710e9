"""Follows the log's streams and applies their entries to the tables."""

import asyncio
from collections.abc import Callable
import logging

from laburnumgate_core import records

from laburnumgate_host import events
from laburnumgate_host import platform

_LOGGER = logging.getLogger(__name__)
RETRY_PAUSE_MS = 500


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
    ):
        """Prepares to follow `stream`.

        Args:
          stream: name of the stream.
          client: the log's client.
          next_offset: tells the first offset that is still wanted.
          apply: takes one entry; offsets never go back.
          on_answer: told after each read whether the log answered.
          wait_ms: how long one read waits for a new entry.
        """
        self.caught_up = False
        self._stream = stream
        self._client = client
        self._next_offset = next_offset
        self._apply = apply
        self._on_answer = on_answer
        self._wait_ms = wait_ms

    async def run(self) -> None:
        """Follows the stream until cancelled."""
        while True:
            wait_ms = self._wait_ms if self.caught_up else 0
            start = self._next_offset()
            page = await self._client.read(self._stream, start, wait_ms)
            self._on_answer(not isinstance(page, platform.Unavailable))
            if isinstance(page, platform.Unavailable):
                await asyncio.sleep(RETRY_PAUSE_MS / 1000)
                continue
            if page.first_offset > start:
                events.emit(
                    _LOGGER,
                    events.Event.LOG_GAP,
                    logging.ERROR,
                    stream=self._stream,
                    wanted=start,
                    first=page.first_offset,
                )
            for entry in page.entries:
                self._apply(entry)
            self.caught_up = self._next_offset() >= page.next_offset
