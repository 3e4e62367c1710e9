"""Writes snapshots of both tables to the log and recovers from them."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import dataclasses
import logging
import random

from laburnumgate_core import clock
from laburnumgate_core import config
from laburnumgate_core import jobs
from laburnumgate_core import limits
from laburnumgate_core import records
from laburnumgate_core import snapshot

from laburnumgate_host import events
from laburnumgate_host import peers
from laburnumgate_host import platform

_LOGGER = logging.getLogger(__name__)
# Chunks take up to 256 KB in the log, so this keeps a page below 4 MB.
MAX_CHUNKS_PER_PAGE = 16
PAGE_RETRY_MS = 1_000
MAX_PAGE_RETRIES = 3
# Pause between chunks; leaves most of the log's rate to job records.
CHUNK_INTERVAL_MS = 100
# Checks per snapshot interval. With 4, a snapshot is at most a quarter of the
# interval late when its writer was replaced.
CHECKS_PER_INTERVAL = 4
# Pause before a snapshot continues after the log refused one of its chunks.
CONTINUE_AFTER_MS = 10_000
# Time that a peer has for its first chunk, which includes encoding the state,
# and for each further one.
FETCH_TIMEOUT_MS = 30_000

StateFetcher = Callable[[int, int], AsyncIterator[snapshot.Chunk]]


@dataclasses.dataclass(frozen=True)
class _Unfinished:
    """Chunks of a snapshot begun at `begun_ms` that are not in the log yet."""

    chunks: tuple[snapshot.Chunk, ...]
    begun_ms: int


class Snapshots:
    """Keeps a recent snapshot of each table in the log.

    The caller selects a single writer only to save work. Several writers are
    harmless, since a reader adopts any complete snapshot above its own offset.
    """

    def __init__(
        self,
        client: platform.Platform,
        config_table: config.ConfigTable,
        job_table: jobs.JobTable,
        time: clock.Clock,
        interval_ms: int,
        is_writer: Callable[[str], bool],
        fetchers: Callable[[], list[StateFetcher]],
        on_state_adopted: Callable[[str], None],
        retries: limits.RetryBudget,
    ):
        """Initialises the state; `run` starts writing.

        Args:
          client: the log's client.
          config_table: the table built from the stream `config`.
          job_table: the table built from the stream `jobs`.
          time: the clock for snapshot timestamps.
          interval_ms: the interval between snapshots. It must be well below the
            log's retention, so that a complete snapshot always exists.
          is_writer: returns whether this host writes a stream's snapshots.
          fetchers: returns a function per ready peer that fetches its state.
          on_state_adopted: called with the stream after its table adopted a
            state.
          retries: the host's budget of retries.
        """
        self._client = client
        self._tables = {
            records.CONFIG_STREAM: config_table,
            records.JOBS_STREAM: job_table,
        }
        self._clock = time
        self._interval_ms = interval_ms
        self._is_writer = is_writer
        self._fetchers = fetchers
        self._on_state_adopted = on_state_adopted
        self._retries = retries
        self._serve_lock = asyncio.Lock()
        self._write_lock = asyncio.Lock()
        self._unfinished_by_stream: dict[str, _Unfinished] = {}

    async def run(self) -> None:
        """Writes snapshots when they are due, until cancelled."""
        async with asyncio.TaskGroup() as group:
            for stream in self._tables:
                group.create_task(self._write_loop(stream))

    async def write_if_due(self, stream: str) -> bool:
        """Writes a snapshot unless the log holds a recent one.

        It is written again even if the table has not changed, since the
        previous snapshot expires. If the log refuses a chunk, the next call
        continues with it; after the interval between snapshots, it begins anew
        instead, as the log may no longer hold the first chunks.

        Returns:
          Whether a complete snapshot was written.
        """
        due_ms = self._clock.now_ms() - self._interval_ms
        unfinished = self._unfinished_by_stream.pop(stream, None)
        if unfinished is None or unfinished.begun_ms < due_ms:
            newest = await self._read_newest_body(stream, due_ms)
            if newest is not None:
                return False
            begun_ms = self._clock.now_ms()
            unfinished = _Unfinished(await self._chunks(stream), begun_ms)
        for position, chunk in enumerate(unfinished.chunks):
            if not await self._append(chunk):
                self._unfinished_by_stream[stream] = _Unfinished(
                    unfinished.chunks[position:], unfinished.begun_ms
                )
                return False
            await asyncio.sleep(CHUNK_INTERVAL_MS / 1000)
        last = unfinished.chunks[-1]
        events.emit(
            _LOGGER,
            events.Event.SNAPSHOT_WRITTEN,
            stream=stream,
            offset=last.offset,
            chunks=last.count,
        )
        return True

    async def recover(self, stream: str, first_offset: int) -> bool:
        """Advances a table from a snapshot, or else from peers.

        Args:
          stream: the stream whose table is behind.
          first_offset: the first offset that the log still holds, 0 if the log
            does not answer.

        Returns:
          Whether reading the log can continue at `first_offset`; if it is 0,
          whether the table is as recent as that of a ready peer.
        """
        table = self._tables[stream]
        before = table.offset
        body = await self._read_newest_body(stream, 0)
        if body is not None:
            self._adopt(body, "log")
        if (
            first_offset
            and table.offset > before
            and table.offset + 1 >= first_offset
        ):
            return True
        for fetch in self._fetchers():
            answered = await self._adopt_from_peer(fetch)
            if answered and table.offset + 1 >= first_offset:
                return True
        return False

    async def serve(
        self, config_offset: int, jobs_offset: int
    ) -> AsyncIterator[snapshot.Chunk]:
        """Yields the chunks of each table that is ahead of the given offset."""
        offsets = {
            records.CONFIG_STREAM: config_offset,
            records.JOBS_STREAM: jobs_offset,
        }
        # One request at a time, since an encoded state takes tens of MB.
        async with self._serve_lock:
            for stream, offset in offsets.items():
                if self._tables[stream].offset <= offset:
                    continue
                for chunk in await self._chunks(stream):
                    yield chunk

    async def _write_loop(self, stream: str) -> None:
        check_interval_ms = self._interval_ms // CHECKS_PER_INTERVAL
        while True:
            pause_ms = check_interval_ms
            if stream in self._unfinished_by_stream:
                pause_ms = min(CONTINUE_AFTER_MS, check_interval_ms)
            # Jitter, so that hosts started together do not check together.
            await asyncio.sleep(random.uniform(0.5, 1) * pause_ms / 1000)
            if not self._tables[stream].offset or not self._is_writer(stream):
                self._unfinished_by_stream.pop(stream, None)
                continue
            # One at a time, since chunks share the log's rate with job records.
            async with self._write_lock:
                await self.write_if_due(stream)

    async def _chunks(self, stream: str) -> tuple[snapshot.Chunk, ...]:
        state = self._tables[stream].state()
        pieces = []
        for piece in snapshot.encode_steps(state):
            pieces.append(piece)
            # Yields to request handlers and the scheduler between pieces.
            await asyncio.sleep(0)
        return snapshot.split(stream, state.offset, b"".join(pieces))

    async def _append(self, chunk: snapshot.Chunk) -> bool:
        """Appends a chunk with retries; a duplicate chunk is harmless."""
        append_id = f"{chunk.stream}-{chunk.offset}-{chunk.index}"
        data = snapshot.encode_stored(chunk, self._clock.now_ms())
        self._retries.note_call()
        while True:
            answer = await self._client.append(
                records.SNAPSHOT_STREAM, append_id, data
            )
            if not isinstance(answer, platform.Unavailable):
                return True
            if not self._retries.take():
                return False

    async def _read_newest_body(
        self, stream: str, since_ms: int
    ) -> snapshot.Body | None:
        """Reads the stream backwards until a complete snapshot is found.

        Args:
          stream: the stream whose snapshot is needed.
          since_ms: chunks written before this time are ignored.
        """
        head = await self._client.head(records.SNAPSHOT_STREAM)
        if isinstance(head, platform.Unavailable):
            return None
        assembler = snapshot.Assembler()
        end = head + 1
        while end > 1:
            start = max(1, end - MAX_CHUNKS_PER_PAGE)
            page = await self._read_page(start, end - start)
            if isinstance(page, platform.Unavailable):
                return None
            for entry in reversed(page.entries):
                stored = _decode_stored(entry)
                if stored is None or stored.chunk.stream != stream:
                    continue
                if stored.at_ms < since_ms:
                    return None
                body = assembler.add(stored.chunk)
                if body is not None:
                    return body
            if page.first_offset >= start:
                return None
            end = start
        return None

    async def _read_page(
        self, start: int, limit: int
    ) -> platform.Page | platform.Unavailable:
        """Reads chunks from offset `start`, again if the answer was lost."""
        self._retries.note_call()
        retries = 0
        while True:
            page = await self._client.read(
                records.SNAPSHOT_STREAM, start, 0, limit=limit
            )
            if not isinstance(page, platform.Unavailable):
                return page
            if retries == MAX_PAGE_RETRIES:
                return page
            retries += 1
            await asyncio.sleep(PAGE_RETRY_MS / 1000)
            if not self._retries.take():
                return page

    async def _adopt_from_peer(self, fetch: StateFetcher) -> bool:
        """Adopts one peer's state; returns whether the stream was complete.

        An interrupted stream leaves a state incomplete, and an incomplete
        state is never adopted.
        """
        assembler = snapshot.Assembler()
        offsets = [table.offset for table in self._tables.values()]
        loop = asyncio.get_running_loop()
        timeout_s = FETCH_TIMEOUT_MS / 1000
        try:
            async with asyncio.timeout(timeout_s) as limit:
                async for chunk in fetch(*offsets):
                    body = assembler.add(chunk)
                    if body is not None:
                        self._adopt(body, "peer")
                    limit.reschedule(loop.time() + timeout_s)
        except (*peers.CALL_ERRORS, TimeoutError):
            return False
        return True

    def _adopt(self, body: snapshot.Body, source: str) -> None:
        try:
            state = snapshot.decode(body)
        except ValueError as error:
            events.emit(
                _LOGGER,
                events.Event.STATE_UNUSABLE,
                stream=body.stream,
                source=source,
                reason=str(error),
            )
            return
        if not self._tables[body.stream].adopt(state):
            return
        self._on_state_adopted(body.stream)
        events.emit(
            _LOGGER,
            events.Event.STATE_ADOPTED,
            stream=body.stream,
            source=source,
            offset=state.offset,
        )


def _decode_stored(entry: records.Entry) -> snapshot.Stored | None:
    try:
        return snapshot.decode_stored(entry.data)
    except ValueError:
        return None
