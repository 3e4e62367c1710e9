"""Fake host for tests: a real configuration table and fixed responses."""

import asyncio
import dataclasses
import json
import threading

from aiohttp import web
from laburnumgate_core import config
from laburnumgate_core import records


class FakeHost:
    """Serves the operator API from a ConfigTable, and fixed request verdicts.

    Each progress call reduces `lagging_hosts`, the hosts reported as not
    reached, by one.
    """

    def __init__(self):
        self.table = config.ConfigTable()
        self.verdict = {"kind": "pending", "state": "queued", "reason": ""}
        self.submit_status = 202
        self.submitted_bodies: list[dict] = []
        self.stop_orders: list[dict] = []
        # Published by another operator just before the next publication.
        self.competing_change: records.Change | None = None
        self.close_after_publication = False
        self.lagging_hosts = 0
        self.url = ""
        self._loop = asyncio.new_event_loop()
        started = threading.Event()
        self._thread = threading.Thread(target=self._run, args=(started,))
        self._thread.start()
        started.wait()

    def close(self) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def apply_publication(
        self, operator: str, *changes: records.Change
    ) -> config.Outcome:
        offset = self.table.offset + 1
        change_id = f"{operator}-{offset}"
        data = records.encode_publication(
            records.Publication(change_id, operator, 1, changes)
        )
        return self.table.apply_entry(records.Entry(offset, change_id, data))

    def _run(self, started: threading.Event) -> None:
        asyncio.set_event_loop(self._loop)
        app = web.Application()
        app.router.add_post("/v1/requests", self._submit)
        app.router.add_get("/v1/requests/{account}/{id}", self._status)
        app.router.add_delete("/v1/requests/{account}/{id}", self._status)
        app.router.add_get("/v1/operator/config", self._config)
        app.router.add_post("/v1/operator/publications", self._publish)
        app.router.add_get("/v1/operator/progress/{offset}", self._progress)
        app.router.add_get("/v1/operator/state", self._state)
        app.router.add_post("/v1/operator/zones/{name}/stop", self._stop)
        app.router.add_get("/metrics", self._metrics)
        runner = web.AppRunner(app)
        self._loop.run_until_complete(runner.setup())
        site = web.TCPSite(runner, "127.0.0.1", 0)
        self._loop.run_until_complete(site.start())
        port = runner.addresses[0][1]
        self.url = f"http://127.0.0.1:{port}"
        started.set()
        self._loop.run_forever()
        self._loop.run_until_complete(runner.cleanup())
        self._loop.close()

    async def _submit(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.submitted_bodies.append(body)
        return self._answer(
            body["account"], body["request_id"], self.submit_status
        )

    async def _status(self, request: web.Request) -> web.Response:
        names = request.match_info
        return self._answer(names["account"], names["id"], 200)

    def _answer(self, account: str, name: str, status: int) -> web.Response:
        body = {"account": account, "request_id": name}
        body["verdict"] = self.verdict
        return web.json_response(body, status=status)

    async def _config(self, request: web.Request) -> web.Response:
        values = {
            key: dataclasses.asdict(value)
            for key, value in self.table.values_by_key.items()
        }
        body = {"offset": self.table.offset, "values": values}
        return web.json_response(body)

    async def _publish(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self.competing_change is not None:
            self.apply_publication("rival", self.competing_change)
            self.competing_change = None
        changes = tuple(records.Change(**item) for item in body["changes"])
        outcome = self.apply_publication(body["operator"], *changes)
        if self.close_after_publication:
            request.transport.close()
        if isinstance(outcome, config.Rejected):
            reason = {"accepted": False, "reason": outcome.reason}
            return web.json_response(reason, status=409)
        answer = {"accepted": True, **self._progress_body(outcome.offset)}
        return web.json_response(answer)

    async def _progress(self, request: web.Request) -> web.Response:
        if self.lagging_hosts:
            self.lagging_hosts -= 1
        offset = int(request.match_info["offset"])
        return web.json_response(self._progress_body(offset))

    def _progress_body(self, offset: int) -> dict:
        not_reached = [
            f"late-{number}" for number in range(1, self.lagging_hosts + 1)
        ]
        return {
            "offset": offset,
            "in_force": ["h1"],
            "not_reached": not_reached,
        }

    async def _state(self, request: web.Request) -> web.Response:
        return web.json_response({"host_id": "h1", "zone": "z", "runs": []})

    async def _stop(self, request: web.Request) -> web.Response:
        self.stop_orders.append(json.loads(await request.text()))
        return web.json_response({})

    async def _metrics(self, request: web.Request) -> web.Response:
        return web.Response(text="laburnumgate_runs 0\n")
