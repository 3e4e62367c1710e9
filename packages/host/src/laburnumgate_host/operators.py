"""HTTP routes for operators: configuration, zones, state, metrics."""

import asyncio
from collections.abc import Callable
import dataclasses
import logging
import uuid

import aioprometheus
from laburnumgate_core import config
from laburnumgate_core import records
from laburnumgate_core import stops
from laburnumgate_rpc import peer_pb2
import pydantic
import sanic

from laburnumgate_host import dump
from laburnumgate_host import events
from laburnumgate_host import host as host_module
from laburnumgate_host import peers
from laburnumgate_host import platform

_LOGGER = logging.getLogger(__name__)
PUBLISH_WAIT_MS = 5_000
MAX_WAIT_MS = 30_000
POLL_INTERVAL_MS = 20
STOP_CALL_TIMEOUT_MS = 1_000


class _Body(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class _Change(_Body):
    key: str = pydantic.Field(min_length=1)
    value: dict | None = None
    replaces: int = pydantic.Field(ge=0)


class _Publication(_Body):
    change_id: str = ""
    operator: str = pydantic.Field(min_length=1)
    changes: tuple[_Change, ...] = pydantic.Field(min_length=1)
    wait_ms: int = pydantic.Field(default=0, ge=0, le=MAX_WAIT_MS)


class _State(_Body):
    operator: str = pydantic.Field(min_length=1)
    state: str
    replaces: int | None = pydantic.Field(default=None, ge=0)
    wait_ms: int = pydantic.Field(default=0, ge=0, le=MAX_WAIT_MS)


class _Stop(_Body):
    operator: str = pydantic.Field(min_length=1)
    stopped: bool = True
    wait_ms: int = pydantic.Field(default=0, ge=0, le=MAX_WAIT_MS)


@dataclasses.dataclass(frozen=True)
class ChangeStatus:
    """Hosts that have applied a change, and hosts not known to have it."""

    in_force: tuple[str, ...]
    not_reached: tuple[str, ...]

    def summary(self, recorded: str) -> str:
        """Summarises how many hosts have applied the change."""
        return (
            f"{recorded}; in force at {len(self.in_force)} hosts; "
            f"{len(self.not_reached)} hosts not reached"
        )


def add_routes(app: sanic.Sanic, host: host_module.Host) -> None:
    """Registers the routes for operators."""
    _add_changes(app, host)
    _add_views(app, host)


def _add_changes(app: sanic.Sanic, host: host_module.Host) -> None:
    @app.post("/v1/operator/publications")
    async def publish(request: sanic.Request):
        body = _parse(_Publication, request.body)
        if isinstance(body, str):
            return sanic.json({"accepted": False, "reason": body}, status=400)
        return await _publish(host, body)

    @app.post("/v1/operator/zones/<zone>/state")
    async def zone_state(request: sanic.Request, zone: str):
        return await _set_state(host, f"zone-state/{zone}", request.body)

    @app.post("/v1/operator/endpoints/<endpoint_id>/state")
    async def endpoint_state(request: sanic.Request, endpoint_id: str):
        key = f"endpoint-state/{endpoint_id}"
        return await _set_state(host, key, request.body)

    @app.post("/v1/operator/zones/<zone>/stop")
    async def stop(request: sanic.Request, zone: str):
        body = _parse(_Stop, request.body)
        if isinstance(body, str):
            return sanic.json({"reason": body}, status=400)
        return await _stop(host, zone, body)


def _add_views(app: sanic.Sanic, host: host_module.Host) -> None:
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
        return sanic.json(dataclasses.asdict(dump.dump(host)))

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


def _parse(kind: type[pydantic.BaseModel], body: bytes):
    """Returns the validated body, or an error that names the invalid field."""
    try:
        return kind.model_validate_json(body)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        field = ".".join(str(part) for part in first["loc"]) or "body"
        return f"{field}: {first['msg']}"


async def _set_state(
    host: host_module.Host, key: str, body: bytes
) -> sanic.HTTPResponse:
    """Publishes a new state of a zone or an endpoint."""
    requested = _parse(_State, body)
    if isinstance(requested, str):
        return sanic.json({"accepted": False, "reason": requested}, status=400)
    replaces = requested.replaces
    if replaces is None:
        replaces = host.config.revision(key)
    change = _Change(
        key=key, value={"state": requested.state}, replaces=replaces
    )
    return await _publish(
        host,
        _Publication(
            operator=requested.operator,
            changes=(change,),
            wait_ms=requested.wait_ms,
        ),
    )


async def _publish(
    host: host_module.Host, body: _Publication
) -> sanic.HTTPResponse:
    publication = records.Publication(
        change_id=body.change_id or uuid.uuid4().hex,
        operator=body.operator,
        at_ms=_publication_timestamp_ms(host, body),
        changes=tuple(
            records.Change(c.key, c.value, c.replaces) for c in body.changes
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
        answer = {
            "accepted": None,
            "change_id": publication.change_id,
            "reason": f"the log did not answer: {appended.reason}",
        }
        return sanic.json(answer, status=503)
    await _wait_until(lambda: host.config.offset >= appended, PUBLISH_WAIT_MS)
    outcome = host.config.outcomes_by_change_id.get(publication.change_id)
    match outcome:
        case config.Accepted():
            await _wait_until(
                lambda: not _change_status(host, outcome.offset).not_reached,
                body.wait_ms,
            )
            return sanic.json(
                {"accepted": True, **_progress(host, outcome.offset)}
            )
        case config.Rejected():
            answer = {"accepted": False, "reason": outcome.reason}
            return sanic.json(answer, status=409)
    return sanic.json({"accepted": None, "offset": appended}, status=202)


def _publication_timestamp_ms(
    host: host_module.Host, body: _Publication
) -> int:
    """Returns a timestamp later than every direct stop that it overrides."""
    at_ms = host.clock.now_ms()
    for change in body.changes:
        family, _, zone = change.key.partition("/")
        if family == "zone-state":
            at_ms = max(at_ms, host.stops.next_timestamp_ms(zone, at_ms))
    return at_ms


async def _stop(
    host: host_module.Host, zone: str, body: _Stop
) -> sanic.HTTPResponse:
    """Stops or allows a zone's starts directly, bypassing the log."""
    zone_stop = stops.ZoneStop(
        zone=zone,
        operation_id=f"{body.operator}-{uuid.uuid4().hex}",
        at_ms=host.stops.next_timestamp_ms(zone, host.clock.now_ms()),
        stopped=body.stopped,
    )
    own = host.settings.host
    host.record_stop(zone_stop)
    in_force = {own.host_id} if own.zone == zone else set()
    targets = host.heartbeats.addresses(zone)
    await _send_stop(host, zone_stop, targets, in_force)
    missing = targets.keys() - in_force
    until_ms = host.clock.now_ms() + body.wait_ms
    while missing and host.clock.now_ms() < until_ms:
        await asyncio.sleep(POLL_INTERVAL_MS / 1000)
        left = {host_id: targets[host_id] for host_id in missing}
        await _send_stop(host, zone_stop, left, in_force)
        missing = targets.keys() - in_force
    status = ChangeStatus(tuple(sorted(in_force)), tuple(sorted(missing)))
    recorded = "not recorded in the log, passed on directly"
    return sanic.json(
        {
            "operation_id": zone_stop.operation_id,
            "stopped": zone_stop.stopped,
            "in_force": status.in_force,
            "not_reached": status.not_reached,
            "summary": status.summary(recorded),
        }
    )


async def _send_stop(
    host: host_module.Host,
    zone_stop: stops.ZoneStop,
    targets: dict[str, peers.Address],
    in_force: set[str],
) -> None:
    """Sends a stop to the targets; adds those that applied it to in_force."""
    request = peer_pb2.StopZoneRequest(stop=peers.encode_stop(zone_stop))
    replies = await asyncio.gather(
        *(
            host.peers.stop_zone(address, request, STOP_CALL_TIMEOUT_MS)
            for address in targets.values()
        )
    )
    for reply in replies:
        if reply is not None:
            in_force.update(reply.host_ids)
    events.emit(
        _LOGGER,
        events.Event.ZONE_STOP_TAKEN,
        zone=zone_stop.zone,
        stopped=zone_stop.stopped,
        in_force=sorted(in_force),
    )


async def _wait_until(is_done: Callable[[], bool], wait_ms: int) -> None:
    """Polls until a condition holds, for at most `wait_ms`."""
    for _ in range(wait_ms // POLL_INTERVAL_MS):
        if is_done():
            return
        await asyncio.sleep(POLL_INTERVAL_MS / 1000)


def _change_status(host: host_module.Host, offset: int) -> ChangeStatus:
    """Returns the hosts that have applied the configuration's offset.

    Hosts known only from the live list count as not reached.
    """
    now_ms = host.clock.now_ms()
    own = host.settings.host.host_id
    alive = {member.host_id for member in host.members.alive(now_ms)}
    reached = set()
    for member in host.members.all():
        if member.host_id in alive and member.config_offset >= offset:
            reached.add(member.host_id)
    reached.discard(own)
    if host.config.offset >= offset:
        reached.add(own)
    known = {own, *host.heartbeats.addresses()}
    missing = known - reached
    return ChangeStatus(tuple(sorted(reached)), tuple(sorted(missing)))


def _progress(host: host_module.Host, offset: int) -> dict:
    status = _change_status(host, offset)
    return {
        "offset": offset,
        "in_force": status.in_force,
        "not_reached": status.not_reached,
        "summary": status.summary(f"recorded at offset {offset}"),
    }
