"""Stand-in for the platform's live list, which shows changes with a delay.

Run as `python -m laburnumgate_standins.livelist --port N --lag-ms L`.
`PUT /live` replaces the whole list, `POST /live/ID` updates one entry.
"""

import asyncio
import copy
import time

import click
import sanic

from laburnumgate_standins import serve


def build(lag_ms: int) -> sanic.Sanic:
    """Builds the HTTP application, which publishes changes after `lag_ms`."""
    app = sanic.Sanic("standin-livelist", configure_logging=False)
    current: dict = {"hosts": [], "endpoints": []}
    published = {"list": copy.deepcopy(current), "as_of_ms": 0}

    def publish() -> None:
        snapshot = copy.deepcopy(current)
        as_of_ms = time.time_ns() // 1_000_000

        def make_visible() -> None:
            published.update(list=snapshot, as_of_ms=as_of_ms)

        asyncio.get_running_loop().call_later(lag_ms / 1000, make_visible)

    @app.get("/live")
    async def live(request: sanic.Request):
        return sanic.json(
            {**published["list"], "as_of_ms": published["as_of_ms"]}
        )

    @app.put("/live")
    async def replace(request: sanic.Request):
        current.update(request.json)
        publish()
        return sanic.json({})

    @app.post("/live/<name>")
    async def change(request: sanic.Request, name: str):
        for entry in (*current["hosts"], *current["endpoints"]):
            if entry["id"] == name:
                entry.update(request.json)
        publish()
        return sanic.json({})

    return app


@click.command()
@click.option("--ip", default="127.0.0.1")
@click.option("--port", type=int, required=True)
@click.option("--lag-ms", type=int, default=500)
def main(ip: str, port: int, lag_ms: int) -> None:
    """Runs the live list stand-in."""
    serve.run(build(lag_ms), ip, port)


if __name__ == "__main__":
    main()
