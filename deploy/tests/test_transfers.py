"""Tests of answers that take long to arrive."""

import asyncio
import contextlib
import random

import aiohttp
from aiohttp import web
import builders
from laburnumgate_core import clock
from laburnumgate_placer import feed
from laburnumgate_placer import ports
import standin_store
import store

_TOPIC = "keyed.op"
_TIMEOUT_MS = 200


@contextlib.asynccontextmanager
async def _client(service: standin_store.Store):
    loop = asyncio.get_running_loop()
    server = web.Server(service.handle)
    listener = await loop.create_server(server, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    async with aiohttp.ClientSession() as session:
        yield store.StoreLog(session, f"http://127.0.0.1:{port}")
    listener.close()
    # No time limit would apply with 0.
    await server.shutdown(0.1)


def _store(value: bytes) -> standin_store.Store:
    service = standin_store.Store(random.Random(1))
    service.put(_TOPIC, "config", value)
    return service


def test_a_timeout_tells_how_much_of_the_answer_arrived():
    """Guards against taking a slow transfer for a log that is silent."""

    async def work():
        service = _store(b"x" * 100_000)
        service.stall_after_bytes = 40_000
        async with _client(service) as log:
            answer = await log.read(
                _TOPIC, 0, wait_ms=0, timeout_ms=_TIMEOUT_MS
            )
        assert isinstance(answer, ports.Unknown)
        assert "after 40000 of 1000" in answer.reason

    builders.run(work())


def test_a_silent_log_is_told_from_a_slow_transfer():
    """Guards against a log that is silent being taken for a slow one."""

    async def work():
        service = _store(b"x")
        service.delay_s = 5.0
        async with _client(service) as log:
            answer = await log.read(
                _TOPIC, 0, wait_ms=0, timeout_ms=_TIMEOUT_MS
            )
        assert answer == ports.Unknown(f"no answer within {_TIMEOUT_MS} ms")

    builders.run(work())


def test_a_configuration_is_followed_over_a_slow_link():
    """Guards against hosts that never read a configuration to its end.

    The transfer takes longer than a read waits for its first byte. Hosts gave
    it up each time and began again with its first byte.
    """

    async def work():
        service = _store(b"1")
        seen = []
        async with _client(service) as log:
            follower = feed.Feed(
                log,
                clock.MonotonicClock(),
                _TOPIC,
                seen.append,
                wait_ms=100,
            )
            task = asyncio.create_task(follower.run())
            await follower.loaded.wait()
            service.bytes_per_s = 100_000
            service.put(_TOPIC, "config", b"x" * 250_000)
            followed = await follower.wait_for_offset(2, 10_000)
            task.cancel()
        assert followed
        assert [len(entry.value) for entry in seen] == [1, 250_000]

    builders.run(work())


def test_a_large_append_is_stored_over_a_slow_link():
    """Guards against an upload that is given up and repeated for ever."""

    async def work():
        service = standin_store.Store(random.Random(1))
        service.upload_bytes_per_s = 200_000
        async with _client(service) as log:
            outcome = await log.append(
                "jobs", [b"x" * 50_000] * 4, timeout_ms=_TIMEOUT_MS
            )
        assert outcome == ports.Appended(0, 4)

    builders.run(work())


def test_a_log_that_takes_no_append_is_given_up():
    """Guards against an append that waits for a silent log."""

    async def work():
        service = standin_store.Store(random.Random(1))
        service.delay_s = 5.0
        async with _client(service) as log:
            outcome = await log.append(
                "jobs", [b"x" * 1_000], timeout_ms=_TIMEOUT_MS
            )
        assert outcome == ports.Unknown("no answer within 216 ms")

    builders.run(work())


def test_an_answer_that_trickles_is_given_up():
    """Guards against a connection that carries next to nothing for ever."""

    async def work():
        service = _store(b"x" * 200)
        service.bytes_per_s = 40
        async with _client(service) as log:
            answer = await log.read(
                _TOPIC, 0, wait_ms=0, timeout_ms=_TIMEOUT_MS
            )
        assert isinstance(answer, ports.Unknown)

    builders.run(work())
