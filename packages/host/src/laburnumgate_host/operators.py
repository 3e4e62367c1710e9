"""HTTP for operators: configuration, state dump, metrics."""

import asyncio
import dataclasses
import uuid

import aioprometheus
from laburnumgate_core import config
from laburnumgate_core import records
import sanic

from laburnumgate_host import host as host_module
from laburnumgate_host import platform

PUBLISH_WAIT_MS = 5_000


def add_routes(app: sanic.Sanic, host: host_module.Host) -> None:
    """Adds the operators' routes."""

    @app.post("/v1/operator/publications")
    async def publish(request: sanic.Request):
        return await _publish(host, request.json)

    @app.get("/v1/operator/config")
    async def show_config(request: sanic.Request):
        values = {
            key: dataclasses.asdict(value)
            for key, value in host.config.values_by_key.items()
        }
        return sanic.json({"offset": host.config.offset, "values": values})

    @app.get("/v1/operator/progress/<offset:int>")
    async def progress(request: sanic.Request, offset: int):
        return sanic.json(_progress(host, offset))

    @app.get("/v1/operator/state")
    async def state(request: sanic.Request):
        return sanic.json(dataclasses.asdict(host_module.dump(host)))

    @app.get("/v1/ready")
    async def ready(request: sanic.Request):
        status = 200 if host.state == "ready" else 503
        return sanic.json({"state": host.state}, status=status)

    @app.get("/metrics")
    async def metrics(request: sanic.Request):
        content, headers = aioprometheus.render(
            host.metrics.registry, [request.headers.get("accept", "*/*")]
        )
        return sanic.raw(content, headers=headers)


async def _publish(host: host_module.Host, body: dict) -> sanic.HTTPResponse:
    publication = records.Publication(
        change_id=body.get("change_id") or uuid.uuid4().hex,
        operator=body["operator"],
        at_ms=host.clock.now_ms(),
        changes=tuple(
            records.Change(c["key"], c.get("value"), c["replaces"])
            for c in body["changes"]
        ),
    )
    reason = host.config.check(publication.changes)
    if reason:
        return sanic.json({"accepted": False, "reason": reason}, status=409)
    appended = await host.platform.append(
        records.CONFIG_STREAM,
        publication.change_id,
        records.encode_publication(publication),
    )
    if isinstance(appended, platform.Unavailable):
        body = {
            "accepted": None,
            "change_id": publication.change_id,
            "reason": f"the log did not answer: {appended.reason}",
        }
        return sanic.json(body, status=503)
    for _ in range(PUBLISH_WAIT_MS // 20):
        if host.config.offset >= appended:
            break
        await asyncio.sleep(0.02)
    outcome = host.config.outcomes_by_change_id.get(publication.change_id)
    match outcome:
        case config.Accepted():
            answer = {"accepted": True, **_progress(host, outcome.offset)}
            return sanic.json(answer)
        case config.Rejected():
            answer = {"accepted": False, "reason": outcome.reason}
            return sanic.json(answer, status=409)
    return sanic.json({"accepted": None, "offset": appended}, status=202)


def _progress(host: host_module.Host, offset: int) -> dict:
    reached = []
    missing = []
    alive = {m.host_id for m in host.members.alive(host.clock.now_ms())}
    for member in host.members.all():
        if member.host_id in alive and member.config_offset >= offset:
            reached.append(member.host_id)
            continue
        missing.append(member.host_id)
    if host.config.offset >= offset:
        own = host.settings.host.host_id
        missing = [host_id for host_id in missing if host_id != own]
        reached = sorted({*reached, own})
    return {"offset": offset, "in_force": reached, "not_reached": missing}
