"""Tests of calls to the log over slow and broken connections."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json

import aiohttp
from aiohttp import test_utils
from aiohttp import web
from laburnumgate_host import platform

TIMEOUT_MS = 300
PIECES = 10
PIECE_BYTES = 1_100
PAGE = json.dumps(
    {
        "records": [{"offset": 1, "append_id": "a", "data": "x" * 10_000}],
        "first_offset": 1,
        "next_offset": 2,
    }
).encode()


@contextlib.asynccontextmanager
async def client_of(
    handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
):
    """Yields a client of a log whose requests are handled by `handle`."""
    async with (
        test_utils.RawTestServer(handle) as server,
        aiohttp.ClientSession() as session,
    ):
        url = str(server.make_url("/"))
        yield platform.Platform(session, url, url, "h", TIMEOUT_MS)


async def send(
    request: web.BaseRequest, pieces: int, interval_s: float
) -> web.StreamResponse:
    """Answers with the first pieces of a page, slowly."""
    response = web.StreamResponse()
    response.content_length = len(PAGE)
    await response.prepare(request)
    for index in range(pieces):
        start = index * PIECE_BYTES
        await response.write(PAGE[start : start + PIECE_BYTES])
        await asyncio.sleep(interval_s)
    return response


def test_a_page_is_read_over_a_slow_link():
    """Guards against giving up a page that is still arriving."""

    async def script():
        async with client_of(lambda r: send(r, PIECES, 0.1)) as log:
            page = await log.read("config", 1, wait_ms=0)
        assert isinstance(page, platform.Page), page
        assert len(page.entries[0].data) == 10_000

    asyncio.run(script())


def test_a_page_that_stops_arriving_is_given_up():
    """Guards against a follower that hangs in the middle of a page.

    The wait for new entries does not prolong the limit once the answer began.
    """

    async def script():
        async def stop_after_one_piece(request):
            response = await send(request, 1, 0)
            await asyncio.sleep(60)
            return response

        async with client_of(stop_after_one_piece) as log:
            async with asyncio.timeout(10):
                page = await log.read("config", 1, wait_ms=30_000)
        assert page == platform.Unavailable(
            "the answer stopped for 300 ms after 1100 bytes"
        )

    asyncio.run(script())


def test_a_silent_log_is_given_up():
    """Guards against a call that waits for a log that does not answer."""

    async def script():
        async def stay_silent(request):
            await asyncio.sleep(60)

        async with client_of(stay_silent) as log:
            async with asyncio.timeout(10):
                page = await log.read("config", 1, wait_ms=100)
        assert page == platform.Unavailable("no answer within 400 ms")

    asyncio.run(script())


def test_an_unreadable_answer_counts_as_unavailable():
    """Guards against a follower that fails on the page of a proxy."""

    async def script():
        async def answer_html(request):
            return web.Response(text="<html>", content_type="text/html")

        async with client_of(answer_html) as log:
            page = await log.read("config", 1, wait_ms=0)
        assert isinstance(page, platform.Unavailable)

    asyncio.run(script())


def test_a_large_append_is_stored_over_a_slow_link():
    """Guards against an upload that is given up and repeated for ever."""

    async def script():
        async def receive_slowly(request):
            body = await request.read()
            await asyncio.sleep(len(body) / 250_000)
            return web.json_response({"offset": 7})

        async with client_of(receive_slowly) as log:
            assert await log.append("jobs", "a", "x" * 200_000) == 7

    asyncio.run(script())


def test_a_log_that_takes_no_append_is_given_up():
    """Guards against an append that waits for a silent log."""

    async def script():
        async def stay_silent(request):
            await asyncio.sleep(60)

        async with client_of(stay_silent) as log:
            async with asyncio.timeout(10):
                answer = await log.append("jobs", "a", "x" * 6_200)
        assert answer == platform.Unavailable("no answer within 400 ms")

    asyncio.run(script())
