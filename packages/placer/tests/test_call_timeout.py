"""Tests of timeouts after the event loop was stalled."""

import asyncio
import time

import builders
from laburnumgate_placer import call_timeout
import pytest


def test_a_call_without_an_answer_times_out():
    """Guards against calls that are never given up."""

    async def work():
        with pytest.raises(TimeoutError):
            async with call_timeout.limit(20):
                await asyncio.sleep(5)

    builders.run(work())


def test_an_answer_that_arrived_during_a_stall_is_used():
    """Guards against taking an own stall for the silence of the other side.

    The answer is in the socket's buffer when the timer of the call fires. With
    `asyncio.timeout` the call was cancelled before the socket was read.
    """

    async def serve(reader, writer):
        await reader.readexactly(1)
        writer.write(b"answer")
        await writer.drain()
        writer.close()

    async def work():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        async with call_timeout.limit(50):
            writer.write(b"?")
            asyncio.get_running_loop().call_soon(time.sleep, 0.2)
            assert await reader.read() == b"answer"
        writer.close()
        server.close()

    builders.run(work())


def test_progress_extends_the_limit_of_a_call():
    """Guards against giving up an answer that is still arriving."""

    async def work():
        async with call_timeout.limit(100) as limit:
            for _ in range(6):
                await asyncio.sleep(0.05)
                limit.restart()

    builders.run(work())


def test_a_call_that_stops_after_progress_times_out():
    """Guards against calls that hang in the middle of an answer."""

    async def work():
        with pytest.raises(TimeoutError):
            async with call_timeout.limit(50) as limit:
                await asyncio.sleep(0.03)
                limit.restart()
                await asyncio.sleep(5)

    builders.run(work())


def test_progress_after_a_stall_extends_the_limit():
    """Guards against giving up a call whose timer fired late."""

    async def work():
        async with call_timeout.limit(50) as limit:
            time.sleep(0.2)
            # Lets the late timer fire.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            limit.restart()
            await asyncio.sleep(0.03)
            limit.restart()
            await asyncio.sleep(0.04)

    builders.run(work())


def test_an_enclosing_cancellation_is_passed_on():
    """Guards against a task that cannot be cancelled during a call."""

    async def call():
        async with call_timeout.limit(5_000):
            await asyncio.sleep(5)

    async def work():
        task = asyncio.create_task(call())
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    builders.run(work())
