"""Tests real processes against clients that stay outside the limits.

The limits of the machine are lowered, so that small crowds exceed them. Only
memory, descriptors and whether an ordinary request is answered are checked.
"""

import asyncio
from collections.abc import Iterator
import fcntl
import functools
import os

import crowd
import orjson
import pytest

_SENT_BYTES = 3 << 20
_PIECE_BYTES = 65_536
_LIMITS = crowd.Limits()
_JOB_ID = "5c0e7a21d94b36f8"
_PATH = f"/jobs/{_JOB_ID}"
_TAKE_UP_S = 3.0


def _repeat(first: bytes, piece: bytes, size: int = _SENT_BYTES):
    yield first
    for _ in range(size // len(piece)):
        yield piece


def _endless_fields() -> Iterator[bytes]:
    line = f"GET /jobs/ HTTP/1.1\r\nHost: {crowd.HOSTNAME}\r\n".encode()
    yield line
    for number in range(_SENT_BYTES // 8_000):
        yield f"X-{number}: ".encode().ljust(7_998, b"v") + b"\r\n"


def _endless_line() -> Iterator[bytes]:
    return _repeat(b"GET /jobs/", b"a" * _PIECE_BYTES)


def _empty_lines() -> Iterator[bytes]:
    return _repeat(b"", b"\r\n" * (_PIECE_BYTES // 2))


def _short_body() -> Iterator[bytes]:
    length = f"Content-Length: {crowd.MAX_BODY_BYTES}"
    yield crowd.head("POST", _PATH, length)
    yield crowd.job_body(crowd.MAX_BODY_BYTES)[:-1]


def _whole_body() -> Iterator[bytes]:
    yield from _short_body()
    yield b" "


def _chunked_head(*fields: str) -> bytes:
    return crowd.head("POST", _PATH, "Transfer-Encoding: chunked", *fields)


@functools.cache
def _chunks(body: bytes, size: int) -> tuple[bytes, ...]:
    parts = (body[i : i + size] for i in range(0, len(body), size))
    return tuple(
        f"{len(part):x}\r\n".encode() + part + b"\r\n" for part in parts
    )


def _short_chunked_body(size: int) -> Iterator[bytes]:
    yield _chunked_head()
    body = crowd.job_body(crowd.MAX_BODY_BYTES)[:-1]
    chunks = _chunks(body, size)
    for start in range(0, len(chunks), 4_096):
        yield b"".join(chunks[start : start + 4_096])


def _large_chunks() -> Iterator[bytes]:
    return _short_chunked_body(8_192)


def _tiny_chunks() -> Iterator[bytes]:
    return _short_chunked_body(1)


def _endless_trailers() -> Iterator[bytes]:
    first = _chunked_head() + _chunks(crowd.job_body(), 64)[0] + b"0\r\n"
    return _repeat(first, b"X-Trailer: " + b"v" * 8_000 + b"\r\n")


def _endless_extension() -> Iterator[bytes]:
    return _repeat(_chunked_head() + b"1;", b"e" * _PIECE_BYTES)


def _pipelined_requests() -> Iterator[bytes]:
    request = crowd.head("GET", "/jobs/")
    return _repeat(b"", request * (_PIECE_BYTES // len(request)))


def _refused_requests() -> Iterator[bytes]:
    request = crowd.head("GET", "/other/" + "p" * 7_000, key="none")
    return _repeat(b"", request * 8)


def _pipelined_metrics() -> Iterator[bytes]:
    return _repeat(b"", crowd.head("GET", "/metrics") * 100)


def _nothing() -> Iterator[bytes]:
    return iter(())


_CROWDS = {
    "endless fields": crowd.Crowd(100, _endless_fields),
    "endless line": crowd.Crowd(100, _endless_line),
    "empty lines": crowd.Crowd(100, _empty_lines),
    "bodies one byte short": crowd.Crowd(380, _short_body),
    "chunked bodies one byte short": crowd.Crowd(380, _large_chunks),
    "whole large bodies": crowd.Crowd(380, _whole_body),
    "chunks of one byte": crowd.Crowd(160, _tiny_chunks),
    "endless trailers": crowd.Crowd(100, _endless_trailers),
    "endless chunk extension": crowd.Crowd(100, _endless_extension),
    "pipelined requests, responses not read": crowd.Crowd(
        100, _pipelined_requests
    ),
    "silent connections": crowd.Crowd(700, _nothing),
    "readiness port, endless fields": crowd.Crowd(
        100, _endless_fields, crowd.READY_PORT
    ),
    "readiness port, silent connections": crowd.Crowd(
        700, _nothing, crowd.READY_PORT
    ),
    "metrics port, endless line": crowd.Crowd(
        100, _endless_line, crowd.METRICS_PORT
    ),
    "metrics port, responses not read": crowd.Crowd(
        100, _pipelined_metrics, crowd.METRICS_PORT
    ),
}


@pytest.mark.parametrize("name", _CROWDS)
def test_the_process_survives(name, tmp_path):
    """Guards against clients that exhaust the memory or the descriptors.

    Such clients ended a process, or kept ordinary callers out, as nothing
    limited what all connections held together.
    """

    async def play():
        async with crowd.running(tmp_path, _LIMITS) as process:
            await process.meet(_CROWDS[name])
            served = await process.is_served()
            ready = await process.ask(
                crowd.head("GET", "/-/readyz", "Connection: close"),
                port=crowd.READY_PORT,
            )
            return served, ready[:12], crowd.problems(process)

    served, ready, problems = asyncio.run(play())
    assert not problems
    assert served
    assert ready == b"HTTP/1.1 200"


_STEP = {"count": 1, "cpu": 100, "mem_mb": 1}
_LARGE_JOBS = {
    "many tasks": {"steps": [_STEP | {"count": 20_000}]},
    "many steps": {"steps": [{"count": 1, "cpu": 1}] * 9_300},
    "many occurrences": {
        "steps": [_STEP],
        "repeat_count": 10_000,
        "start_at_ms": 1,
        "interval_ms": 1,
    },
}


@pytest.mark.parametrize("name", _LARGE_JOBS)
def test_accepted_jobs_fit_into_the_memory(name, tmp_path):
    """Guards against jobs with short bodies that exhaust the memory.

    Accepted jobs were not limited: 60 of 20,000 tasks, with bodies of 51 bytes,
    took 559 MB.
    """
    body = orjson.dumps({"task_spec": "text", **_LARGE_JOBS[name]})

    def submission(number):
        return crowd.head(
            "POST",
            f"/jobs/{number:016x}",
            f"Content-Length: {len(body)}",
            "Connection: close",
        )

    async def play():
        async with crowd.running(tmp_path, _LIMITS) as process:
            await asyncio.gather(
                *(process.ask(submission(n), body) for n in range(60))
            )
            # The leader takes up accepted jobs after their callers are told.
            await asyncio.sleep(_TAKE_UP_S)
            served = await process.is_served()
            return served, crowd.problems(process)

    served, problems = asyncio.run(play())
    assert not problems
    assert served


_OWN_LIMITS = crowd.Limits(memory_mb=256, max_fds=4_096)
_OWN_BODY_BYTES = 262_144


def _own_head(*fields: str) -> bytes:
    return crowd.head("POST", "/v1/requests", *fields)


def _own_short_body() -> Iterator[bytes]:
    yield _own_head(f"Content-Length: {_OWN_BODY_BYTES}")
    yield b"x" * (_OWN_BODY_BYTES - 1)


def _own_tiny_chunks() -> Iterator[bytes]:
    yield _own_head("Transfer-Encoding: chunked")
    chunks = _chunks(b"x" * (_OWN_BODY_BYTES - 1), 1)
    for start in range(0, len(chunks), 4_096):
        yield b"".join(chunks[start : start + 4_096])


_OWN_CROWDS = {
    "bodies one byte short": crowd.Crowd(1_200, _own_short_body),
    "chunks of one byte": crowd.Crowd(60, _own_tiny_chunks),
    "empty lines": crowd.Crowd(200, _empty_lines),
    "endless line": crowd.Crowd(200, _endless_line),
    "silent connections": crowd.Crowd(4_500, _nothing),
}


@pytest.mark.parametrize("name", _OWN_CROWDS)
def test_the_own_interface_survives(name, tmp_path):
    """Guards against the same crowds at `laburnumgate_host`.

    Its limits are the defaults, for 256 MB at the target size.
    """

    async def play():
        async with crowd.running(
            tmp_path, _OWN_LIMITS, kind=crowd.OwnInterfaceProcess
        ) as process:
            await process.meet(_OWN_CROWDS[name])
            served = await process.is_served(attempts=20)
            return served, crowd.problems(process)

    served, problems = asyncio.run(play())
    assert not problems
    assert served


@pytest.mark.parametrize("name", ["bodies one byte short", "endless fields"])
def test_a_crowd_does_not_prevent_the_exit(name, tmp_path):
    """Guards against a shutdown that waits for stalled clients."""

    async def play():
        async with crowd.running(tmp_path, _LIMITS) as process:
            await process.meet(_CROWDS[name])
            alive = process.alive
            return alive, await process.terminate()

    alive, exit_code = asyncio.run(play())
    assert alive
    assert exit_code == 0


def test_refused_requests_do_not_fill_the_log(tmp_path):
    """Guards against log lines as long as the requests that caused them.

    Lines wait in memory while nobody reads standard output.
    """
    read_end, write_end = os.pipe()
    fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, 65_536)

    async def play():
        async with crowd.running(tmp_path, _LIMITS, write_end) as process:
            await process.meet(crowd.Crowd(60, _refused_requests))
            served = await process.is_served()
            return served, crowd.problems(process)

    try:
        served, problems = asyncio.run(play())
    finally:
        os.close(read_end)
        os.close(write_end)
    assert not problems
    assert served


@pytest.mark.parametrize(
    "pieces",
    [
        [
            _chunked_head("Connection: close"),
            b"".join(_chunks(crowd.job_body(crowd.MAX_BODY_BYTES), 1)),
            b"0\r\n\r\n",
        ],
        [
            crowd.head(
                "POST", _PATH, "Content-Length: 4096", "Connection: close"
            ),
            *(bytes([b]) for b in crowd.job_body(4_096)),
        ],
        [
            crowd.head(
                "POST",
                _PATH,
                f"Content-Length: {crowd.MAX_BODY_BYTES}",
                "Connection: close",
            ),
            crowd.job_body(crowd.MAX_BODY_BYTES),
        ],
    ],
    ids=["chunks of one byte", "byte by byte", "largest body"],
)
def test_a_single_request_inside_the_limits_is_served(pieces, tmp_path):
    """Guards against limits that an ordinary client meets."""

    async def play():
        async with crowd.running(tmp_path, _LIMITS) as process:
            answer = await process.ask(*pieces)
            return answer.partition(b"\r\n")[0], crowd.problems(process)

    answer, problems = asyncio.run(play())
    assert answer == b"HTTP/1.1 200 OK"
    assert not problems
