"""Encodes, splits, verifies and decodes snapshots of both folds.

A snapshot is the state of one stream's fold at an offset: compressed JSON
lines, split into chunks. Each chunk carries a digest of itself and of the
complete body, so that chunks of different snapshots are never combined.
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

# Encoded as base64 in JSON, a chunk stays below the append limit of 256 KB.
MAX_CHUNK_BYTES = 160 * 1024
# Entities per JSON line; encoding one line takes a few ms.
LINE_ENTITIES = 200
# Limits the memory used for a body that is not a valid snapshot. 40,000 jobs
# with a full answer of 32 KB each would not fit into a host's memory either.
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_TEXT_BYTES = 512 * 1024 * 1024
MAX_CHUNKS = MAX_BODY_BYTES // MAX_CHUNK_BYTES
# Snapshots that may be assembled at the same time, one for each writer.
MAX_OPEN_SNAPSHOTS = 4
_BODY_DIGEST_BYTES = 16
_CHUNK_DIGEST_BYTES = 8

State = config.ConfigState | jobs.JobsState


@dataclasses.dataclass(frozen=True)
class Chunk:
    """One chunk of a snapshot; `data` starts with two digests."""

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


def encode_steps(state: State) -> Iterator[bytes]:
    """Yields the encoded state in pieces that take a few ms each."""
    adapter = _ADAPTERS[stream_of(state)]
    compressor = zlib.compressobj(level=1)
    for part in _parts(state):
        yield compressor.compress(adapter.dump_json(part) + b"\n")
    yield compressor.flush()


def split(stream: str, offset: int, body: bytes) -> tuple[Chunk, ...]:
    """Splits an encoded state into chunks.

    Raises:
      ValueError: if the body is larger than `MAX_BODY_BYTES`.
    """
    if len(body) > MAX_BODY_BYTES:
        raise ValueError(
            f"a snapshot of {len(body)} bytes exceeds {MAX_BODY_BYTES} bytes"
        )
    count = max(1, -(-len(body) // MAX_CHUNK_BYTES))
    body_digest = _body_digest(stream, offset, count, body)
    chunks = []
    for index in range(count):
        start = index * MAX_CHUNK_BYTES
        piece = body[start : start + MAX_CHUNK_BYTES]
        chunk_digest = _chunk_digest(
            stream, offset, index, count, body_digest + piece
        )
        chunks.append(
            Chunk(
                stream, offset, index, count, chunk_digest + body_digest + piece
            )
        )
    return tuple(chunks)


def encode(state: State) -> tuple[Chunk, ...]:
    """Encodes a state in one call; `encode_steps` does so incrementally."""
    return split(stream_of(state), state.offset, b"".join(encode_steps(state)))


def decode(body: Body) -> State:
    """Decodes a complete snapshot.

    Raises:
      ValueError: if it is not the complete state of a fold at its offset.
    """
    adapter = _ADAPTERS[body.stream]
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(body.data, MAX_TEXT_BYTES)
    except zlib.error as error:
        raise ValueError(
            f"the snapshot cannot be decompressed: {error}"
        ) from None
    if not decompressor.eof:
        raise ValueError("the snapshot is truncated or exceeds its size limit")
    parts = [adapter.validate_json(line) for line in text.splitlines()]
    if not parts or any(part.offset != body.offset for part in parts):
        raise ValueError("the snapshot contains states of different offsets")
    return _join_states(parts)


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
    """Assembles chunks into snapshots.

    Damaged chunks are ignored, and a snapshot is returned only if it is
    complete and verified.
    """

    def __init__(self):
        self._pieces_by_snapshot: collections.OrderedDict[
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
        chunk_digest = chunk.data[:_CHUNK_DIGEST_BYTES]
        rest = chunk.data[_CHUNK_DIGEST_BYTES:]
        if chunk_digest != _chunk_digest(
            chunk.stream, chunk.offset, chunk.index, chunk.count, rest
        ):
            return None
        body_digest = rest[:_BODY_DIGEST_BYTES]
        key = (chunk.stream, chunk.offset, chunk.count, body_digest)
        pieces = self._pieces_by_snapshot.setdefault(key, {})
        pieces[chunk.index] = rest[_BODY_DIGEST_BYTES:]
        if len(pieces) < chunk.count:
            while len(self._pieces_by_snapshot) > MAX_OPEN_SNAPSHOTS:
                self._pieces_by_snapshot.popitem(last=False)
            return None
        del self._pieces_by_snapshot[key]
        data = b"".join(pieces[index] for index in range(chunk.count))
        if body_digest != _body_digest(
            chunk.stream, chunk.offset, chunk.count, data
        ):
            return None
        return Body(chunk.stream, chunk.offset, data)


def _parts(state: State) -> Iterator[State]:
    """Splits a state into states of at most `LINE_ENTITIES` entities."""
    match state:
        case config.ConfigState(offset, values, outcomes):
            yield config.ConfigState(offset, (), ())
            for group in _groups(values):
                yield config.ConfigState(offset, group, ())
            for group in _groups(outcomes):
                yield config.ConfigState(offset, (), group)
        case jobs.JobsState(offset, time_ms, all_jobs):
            yield jobs.JobsState(offset, time_ms, ())
            for group in _groups(all_jobs):
                yield jobs.JobsState(offset, time_ms, group)


def _groups(entities: tuple) -> Iterator[tuple]:
    for start in range(0, len(entities), LINE_ENTITIES):
        yield entities[start : start + LINE_ENTITIES]


def _join_states(parts: list) -> State:
    first = parts[0]
    if isinstance(first, config.ConfigState):
        return config.ConfigState(
            first.offset,
            tuple(value for part in parts for value in part.values),
            tuple(outcome for part in parts for outcome in part.outcomes),
        )
    all_jobs = tuple(job for part in parts for job in part.jobs)
    return jobs.JobsState(first.offset, first.time_ms, all_jobs)


def _body_digest(stream: str, offset: int, count: int, body: bytes) -> bytes:
    header = f"{stream}\0{offset}\0{count}\0".encode()
    return xxhash.xxh3_128_digest(header + body)


def _chunk_digest(
    stream: str, offset: int, index: int, count: int, rest: bytes
) -> bytes:
    header = f"{stream}\0{offset}\0{index}\0{count}\0".encode()
    return xxhash.xxh3_64_digest(header + rest)
