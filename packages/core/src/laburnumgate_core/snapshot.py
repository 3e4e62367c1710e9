"""Snapshots of both folds: encoding, chunks, and their verification.

A snapshot is the fold of one stream up to an offset, as compressed lines of
JSON cut into chunks. Each chunk carries a digest of itself and of the whole,
so that chunks of different snapshots are never put together.
"""

import collections
from collections.abc import Iterator
import dataclasses
import zlib

import pydantic
import xxhash

from laburnumgate_core import config
from laburnumgate_core import jobs
from laburnumgate_core import records

# In base64 within JSON a chunk stays below the 256 KB of an append.
MAX_CHUNK_BYTES = 160 * 1024
# Entities in one line; encoding a line takes a few ms.
LINE_ENTITIES = 200
# Guards the memory of a host against a body that is not a snapshot: 40,000
# jobs with a full answer of 32 KB each would not fit into a host either.
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_TEXT_BYTES = 512 * 1024 * 1024
MAX_CHUNKS = MAX_BODY_BYTES // MAX_CHUNK_BYTES
# Snapshots that may be incomplete at the same time, one for each writer.
MAX_OPEN_SNAPSHOTS = 4
_WHOLE_DIGEST_BYTES = 16
_CHUNK_DIGEST_BYTES = 8

State = config.ConfigState | jobs.JobsState


@dataclasses.dataclass(frozen=True)
class Chunk:
    """One piece of a snapshot; `data` starts with two digests."""

    stream: str
    offset: int
    index: int
    count: int
    data: pydantic.Base64UrlBytes


@dataclasses.dataclass(frozen=True)
class Stored:
    """A chunk in the log's stream `snapshots`, written at `at_ms`."""

    chunk: Chunk
    at_ms: int


@dataclasses.dataclass(frozen=True)
class Body:
    """A complete and verified snapshot, still encoded."""

    stream: str
    offset: int
    data: bytes


_ADAPTERS = {
    records.CONFIG_STREAM: pydantic.TypeAdapter(config.ConfigState),
    records.JOBS_STREAM: pydantic.TypeAdapter(jobs.JobsState),
}
_STORED = pydantic.TypeAdapter(Stored)


def stream_of(state: State) -> str:
    """Returns the stream whose fold `state` is."""
    if isinstance(state, config.ConfigState):
        return records.CONFIG_STREAM
    return records.JOBS_STREAM


def body_steps(state: State) -> Iterator[bytes]:
    """Yields the pieces of the encoded state, each a few ms of work."""
    adapter = _ADAPTERS[stream_of(state)]
    packer = zlib.compressobj(level=1)
    for part in _parts(state):
        yield packer.compress(adapter.dump_json(part) + b"\n")
    yield packer.flush()


def cut(stream: str, offset: int, body: bytes) -> tuple[Chunk, ...]:
    """Cuts an encoded state into chunks.

    Raises:
      ValueError: if the body is larger than `MAX_BODY_BYTES`.
    """
    if len(body) > MAX_BODY_BYTES:
        raise ValueError(f"a snapshot of {len(body)} bytes is too large")
    count = max(1, -(-len(body) // MAX_CHUNK_BYTES))
    whole = _whole_digest(stream, offset, count, body)
    chunks = []
    for index in range(count):
        start = index * MAX_CHUNK_BYTES
        piece = body[start : start + MAX_CHUNK_BYTES]
        own = _chunk_digest(stream, offset, index, count, whole + piece)
        chunks.append(Chunk(stream, offset, index, count, own + whole + piece))
    return tuple(chunks)


def encode(state: State) -> tuple[Chunk, ...]:
    """Encodes a state at once; see `body_steps` for doing so in steps."""
    return cut(stream_of(state), state.offset, b"".join(body_steps(state)))


def decode(body: Body) -> State:
    """Decodes a complete snapshot.

    Raises:
      ValueError: if it is not the state of one fold at one offset.
    """
    adapter = _ADAPTERS[body.stream]
    unpacker = zlib.decompressobj()
    try:
        text = unpacker.decompress(body.data, MAX_TEXT_BYTES)
    except zlib.error as error:
        raise ValueError(f"the snapshot cannot be unpacked: {error}") from None
    if not unpacker.eof:
        raise ValueError("the snapshot is truncated or too large")
    parts = [adapter.validate_json(line) for line in text.splitlines()]
    if not parts or any(part.offset != body.offset for part in parts):
        raise ValueError("the snapshot holds states of different offsets")
    return _joined(parts)


def encode_stored(chunk: Chunk, at_ms: int) -> str:
    """Encodes a chunk for the log."""
    return _STORED.dump_json(Stored(chunk, at_ms)).decode()


def decode_stored(data: str) -> Stored:
    """Decodes a chunk from the log.

    Raises:
      ValueError: if `data` is not a chunk.
    """
    return _STORED.validate_json(data)


class Assembler:
    """Puts chunks together; wrong, foreign or missing ones yield nothing."""

    def __init__(self):
        self._pieces_by_whole: collections.OrderedDict[
            tuple[str, int, int, bytes], dict[int, bytes]
        ] = collections.OrderedDict()

    def add(self, chunk: Chunk) -> Body | None:
        """Adds a chunk, in any order and any number of times.

        Returns:
          The snapshot if this chunk completes it.
        """
        if chunk.stream not in _ADAPTERS:
            return None
        if not 0 <= chunk.index < chunk.count <= MAX_CHUNKS:
            return None
        own = chunk.data[:_CHUNK_DIGEST_BYTES]
        rest = chunk.data[_CHUNK_DIGEST_BYTES:]
        if own != _chunk_digest(
            chunk.stream, chunk.offset, chunk.index, chunk.count, rest
        ):
            return None
        whole = rest[:_WHOLE_DIGEST_BYTES]
        key = (chunk.stream, chunk.offset, chunk.count, whole)
        pieces = self._pieces_by_whole.setdefault(key, {})
        pieces[chunk.index] = rest[_WHOLE_DIGEST_BYTES:]
        if len(pieces) < chunk.count:
            while len(self._pieces_by_whole) > MAX_OPEN_SNAPSHOTS:
                self._pieces_by_whole.popitem(last=False)
            return None
        del self._pieces_by_whole[key]
        data = b"".join(pieces[index] for index in range(chunk.count))
        if whole != _whole_digest(
            chunk.stream, chunk.offset, chunk.count, data
        ):
            return None
        return Body(chunk.stream, chunk.offset, data)


def _parts(state: State) -> Iterator[State]:
    """Splits a state into states of a bounded number of entities."""
    match state:
        case config.ConfigState(offset, values, outcomes):
            yield config.ConfigState(offset, (), ())
            for group in _groups(values):
                yield config.ConfigState(offset, group, ())
            for group in _groups(outcomes):
                yield config.ConfigState(offset, (), group)
        case jobs.JobsState(offset, time_ms, every):
            yield jobs.JobsState(offset, time_ms, ())
            for group in _groups(every):
                yield jobs.JobsState(offset, time_ms, group)


def _groups(entities: tuple) -> Iterator[tuple]:
    for start in range(0, len(entities), LINE_ENTITIES):
        yield entities[start : start + LINE_ENTITIES]


def _joined(parts: list) -> State:
    first = parts[0]
    if isinstance(first, config.ConfigState):
        return config.ConfigState(
            first.offset,
            tuple(value for part in parts for value in part.values),
            tuple(outcome for part in parts for outcome in part.outcomes),
        )
    every = tuple(job for part in parts for job in part.jobs)
    return jobs.JobsState(first.offset, first.time_ms, every)


def _whole_digest(stream: str, offset: int, count: int, body: bytes) -> bytes:
    head = f"{stream}\0{offset}\0{count}\0".encode()
    return xxhash.xxh3_128_digest(head + body)


def _chunk_digest(
    stream: str, offset: int, index: int, count: int, rest: bytes
) -> bytes:
    head = f"{stream}\0{offset}\0{index}\0{count}\0".encode()
    return xxhash.xxh3_64_digest(head + rest)
