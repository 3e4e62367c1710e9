"""Parses and validates a caller's request before it is recorded."""

import dataclasses
from typing import Any

import pydantic
import xxhash

from laburnumgate_core import jobs
from laburnumgate_core import model

MAX_BODY_BYTES = 64 * 1024
MAX_PARTS = 512
MISSING_ISSUE_TIME = (
    "issued_at_ms: a request that must not be repeated has to say when it was "
    "first issued"
)


class Request(pydantic.BaseModel):
    """The body of a submission. Times are in ms since the epoch."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    request_id: str = pydantic.Field(
        min_length=1, max_length=128, pattern=r"^[A-Za-z0-9._:-]+$"
    )
    account: str = pydantic.Field(
        min_length=1, max_length=128, pattern=r"^[A-Za-z0-9._-]+$"
    )
    kind: str = pydantic.Field(default="", max_length=128)
    parts: int = pydantic.Field(default=1, ge=1, le=MAX_PARTS)
    accelerators_per_part: int = pydantic.Field(default=1, ge=0, le=64)
    cpus_per_part: int = pydantic.Field(default=1, ge=0, le=1024)
    memory_mb_per_part: int = pydantic.Field(default=1024, ge=0)
    adjacency: model.Adjacency = model.Adjacency.RACK
    urgency: model.Urgency | None = None
    run_ms: int = pydantic.Field(default=60_000, ge=1)
    idempotent: bool = True
    checkpointable: bool = False
    payload: str = pydantic.Field(default="", max_length=48 * 1024)
    issued_at_ms: int = pydantic.Field(default=0, ge=0)
    deadline_ms: int = pydantic.Field(default=0, ge=0)

    @property
    def job_id(self) -> str:
        """Id of the job; request ids are unique within a client account."""
        return job_id(self.account, self.request_id)


def job_id(account: str, request_id: str) -> str:
    """Returns the id of a job from its client account and request id."""
    return f"{account}/{request_id}"


@dataclasses.dataclass(frozen=True)
class Malformed:
    """A body that is invalid under every configuration."""

    reason: str


_URGENCY_RANK = {
    model.Urgency.BATCH: 0,
    model.Urgency.NORMAL: 1,
    model.Urgency.URGENT: 2,
}


def parse(body: bytes) -> Request | Malformed:
    """Parses a submission; `Malformed` names the invalid field."""
    if len(body) > MAX_BODY_BYTES:
        return Malformed(
            f"the body has {len(body)} bytes, more than {MAX_BODY_BYTES}"
        )
    try:
        request = Request.model_validate_json(body)
    except pydantic.ValidationError as error:
        first: Any = error.errors()[0]
        field = ".".join(str(part) for part in first["loc"]) or "body"
        return Malformed(f"{field}: {first['msg']}")
    if not request.idempotent and not request.issued_at_ms:
        return Malformed(MISSING_ISSUE_TIME)
    return request


def window_violation(
    request: Request, forgotten_until_ms: int, now_ms: int
) -> str:
    """Returns why an unknown id cannot be accepted, or an empty string.

    The id may have been used before if the request was issued before the
    period that the job table covers. A request issued too far in the future is
    refused as well.

    Args:
      request: the request, with an id that is not in the job table.
      forgotten_until_ms: `JobTable.expired_until_ms`.
      now_ms: the host's time, in ms since the epoch.
    """
    issued_ms = request.issued_at_ms
    if not issued_ms:
        return ""
    if issued_ms <= forgotten_until_ms:
        return (
            "issued_at_ms: the request was issued before the remembered "
            "window, so its id may have been used and forgotten"
        )
    if issued_ms > now_ms + jobs.MAX_ISSUED_AHEAD_MS:
        return (
            f"issued_at_ms: the request was issued "
            f"{issued_ms - now_ms} ms ahead of this host's clock"
        )
    return ""


def body_hash(request: Request) -> str:
    """Returns a hash that detects different bodies with one request id."""
    return xxhash.xxh3_128_hexdigest(request.model_dump_json().encode())


def spec_for(request: Request, promise: model.Promise) -> model.JobSpec:
    """Returns the job specification under the account's promise.

    A request may lower the urgency of the promise but not raise it, and cannot
    make a kind idempotent that the promise lists in `never_repeat`.
    """
    urgency = request.urgency or promise.urgency
    if _URGENCY_RANK[urgency] > _URGENCY_RANK[promise.urgency]:
        urgency = promise.urgency
    repeatable = request.kind not in promise.never_repeat
    return model.JobSpec(
        kind=request.kind,
        parts=request.parts,
        accelerators_per_part=request.accelerators_per_part,
        run_ms=request.run_ms,
        cpus_per_part=request.cpus_per_part,
        memory_mb_per_part=request.memory_mb_per_part,
        adjacency=request.adjacency,
        urgency=urgency,
        idempotent=request.idempotent and repeatable,
        checkpointable=request.checkpointable,
        payload=request.payload,
    )


def infeasibility(
    spec: model.JobSpec,
    promise: model.Promise,
    zones: dict[str, model.Zone],
) -> str:
    """Returns why the job can never run, or an empty string."""
    if spec.accelerators > promise.quota_accelerators:
        return (
            f"the job needs {spec.accelerators} accelerators and the quota of "
            f"{promise.account!r} is {promise.quota_accelerators}"
        )
    for zone in zones.values():
        if promise.zones and zone.name not in promise.zones:
            continue
        if fits_zone(spec, zone):
            return ""
    return (
        f"no zone has room for {spec.parts} parts of "
        f"{spec.accelerators_per_part} accelerators"
    )


def fits_zone(spec: model.JobSpec, zone: model.Zone) -> bool:
    """Returns whether the zone's racks could hold the job when empty."""
    total = 0
    for rack in zone.racks:
        per_endpoint = rack.accelerators_per_endpoint
        if spec.accelerators_per_part:
            slots = per_endpoint // spec.accelerators_per_part
            slots *= rack.endpoints
        else:
            slots = spec.parts
        if slots >= spec.parts:
            return True
        total += slots
    return spec.adjacency is model.Adjacency.ZONE and total >= spec.parts
