"""Tests the fault injection of the endpoint stand-in."""

import asyncio

import aiohttp
from laburnumgate_standins import endpoint


def serve(check):
    """Runs `check(session, url, endpoint)` against one endpoint over HTTP."""

    async def run():
        worker = endpoint.Endpoint("e-1", 8, 1.0)
        app = endpoint.build({"e-1": worker})
        server = await app.create_server(
            host="127.0.0.1",
            port=0,
            return_asyncio_server=True,
            access_log=False,
        )
        await server.startup()
        await server.start_serving()
        port = server.server.sockets[0].getsockname()[1]
        async with aiohttp.ClientSession() as session:
            url = f"http://127.0.0.1:{port}/e-1"
            await check(session, url, worker)
        server.close()
        await server.wait_closed()

    asyncio.run(run())


def test_lost_answer_of_one_kind_takes_effect_and_others_answer():
    """Guards against dropping the call instead of its answer.

    Fault tests rely on the call taking effect although no answer arrives.
    """

    async def check(session, url, worker):
        worker.lose_answers_by_kind = {"lease": 1}
        body = {"holder": "h", "ttl_ms": 5_000}
        async with session.post(f"{url}/lease", json=body) as response:
            assert response.status == 504
        assert worker.lease is not None
        async with session.post(f"{url}/lease", json=body) as response:
            assert response.status == 409

    serve(check)
