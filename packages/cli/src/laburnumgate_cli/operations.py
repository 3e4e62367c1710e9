"""Operator API calls: configuration, publications, zones, state, metrics."""

import asyncio
from collections.abc import Callable
import dataclasses
import time
from typing import Any
import uuid

from laburnumgate_core import config
from laburnumgate_core import declarations

from laburnumgate_cli import client as client_module
from laburnumgate_cli import errors

PROGRESS_POLL_INTERVAL_MS = 200


@dataclasses.dataclass(frozen=True)
class Configuration:
    """Configuration in force on one host, by key."""

    offset: int
    values_by_key: dict[str, config.Versioned]


@dataclasses.dataclass(frozen=True)
class Progress:
    """Hosts that have a publication in force, and hosts that do not yet."""

    offset: int
    in_force: tuple[str, ...]
    not_reached: tuple[str, ...]


async def configuration(client: client_module.Client) -> Configuration:
    """Fetches the configuration in force, with revisions."""
    response = await client.call("GET", "/v1/operator/config")
    body = _require_success(response)
    values = {
        key: config.Versioned(item["revision"], item["value"])
        for key, item in body["values"].items()
    }
    return Configuration(body["offset"], values)


async def publish(
    client: client_module.Client,
    changes: list[dict[str, Any]],
    operator: str,
) -> Progress:
    """Publishes changes atomically if their `replaces` revisions match.

    Args:
      client: client of the hosts.
      changes: each with `key`, `value` (None removes) and `replaces`.
      operator: name recorded with the publication.

    Raises:
      ClientError: CONFLICT if another publication came first, REFUSED if the
        values are not valid, UNDECIDED if the outcome is unknown.
    """
    body = {
        "change_id": uuid.uuid4().hex,
        "operator": operator,
        "changes": changes,
    }
    response = await client.call("POST", "/v1/operator/publications", body)
    if response.status == 200 and response.body.get("accepted"):
        return _parse_progress(response.body)
    if response.status in (400, 409, 422):
        return await _handle_refusal(client, changes, response)
    reason = _reason(response)
    raise errors.ClientError(
        f"it is not known whether the publication took effect ({reason}); "
        f"run 'laburnumgate show' before publishing again",
        errors.Exit.UNDECIDED,
    )


async def set_state(
    client: client_module.Client, key: str, state: str, operator: str
) -> Progress:
    """Publishes the state of a zone or endpoint.

    If that state is already in force, returns the progress of its revision.
    """
    current = await configuration(client)
    existing = current.values_by_key.get(key)
    if existing is not None and existing.value == {"state": state}:
        return await progress(client, existing.revision)
    replaces = existing.revision if existing is not None else 0
    change = {"key": key, "value": {"state": state}, "replaces": replaces}
    return await publish(client, [change], operator)


async def progress(client: client_module.Client, offset: int) -> Progress:
    """Fetches which hosts have the publication at `offset` in force."""
    response = await client.call("GET", f"/v1/operator/progress/{offset}")
    return _parse_progress(_require_success(response))


async def wait_in_force(
    client: client_module.Client,
    offset: int,
    timeout_ms: int,
    report: Callable[[Progress], None],
) -> Progress:
    """Polls until every host has a publication in force.

    Calls `report` whenever the progress changes. Returns the last progress,
    also if hosts are still missing after `timeout_ms`.
    """
    deadline_s = time.monotonic() + timeout_ms / 1000
    last_reported = None
    while True:
        current = await progress(client, offset)
        if current != last_reported:
            report(current)
            last_reported = current
        if not current.not_reached or time.monotonic() >= deadline_s:
            return current
        await asyncio.sleep(PROGRESS_POLL_INTERVAL_MS / 1000)


async def stop_zone_directly(
    client: client_module.Client,
    url: str,
    zone: str,
    operator: str,
    stopped: bool,
) -> dict[str, Any]:
    """Stops or allows starts through one host of a zone cut off from the log.

    The host forwards the order to its peers in the zone. The order is not
    written to the log and is not part of the configuration.
    """
    path = f"/v1/operator/zones/{client_module.quote(zone)}/stop"
    body = {"operator": operator, "stopped": stopped}
    return _require_success(await client.call("POST", path, body, urls=(url,)))


async def states(client: client_module.Client) -> dict[str, Any]:
    """Returns the state dump of every host by URL.

    A host that does not respond has an object with the key `error`.
    """

    async def fetch(url: str) -> dict[str, Any]:
        try:
            response = await client.call(
                "GET", "/v1/operator/state", urls=(url,)
            )
            return _require_success(response)
        except errors.ClientError as error:
            return {"error": str(error)}

    dumps = await asyncio.gather(*(fetch(url) for url in client.urls))
    return dict(zip(client.urls, dumps, strict=True))


async def metrics(client: client_module.Client) -> str:
    """Fetches a host's metrics in the Prometheus text format."""
    response = await client.call("GET", "/metrics")
    if response.status != 200:
        raise errors.ClientError(f"{response.url} answered {response.status}")
    return str(response.body)


def publication_changes(plan: declarations.Plan) -> list[dict[str, Any]]:
    """Converts a plan to the list of changes of a publication request."""
    return [dataclasses.asdict(item) for item in declarations.changes(plan)]


async def _handle_refusal(
    client: client_module.Client,
    changes: list[dict[str, Any]],
    response: client_module.Response,
) -> Progress:
    current = await configuration(client)
    revisions = _current_revisions(current, changes)
    conflicting = [
        change
        for change in changes
        if revisions[change["key"]] != change["replaces"]
    ]
    if not conflicting:
        raise errors.ClientError(
            f"the publication was refused: {_reason(response)}",
            errors.Exit.REFUSED,
        )
    if response.attempts > 1 and _already_applied(current, changes):
        # An earlier host published the changes before its connection failed,
        # so the conflict is with this publication itself.
        return await progress(client, max(revisions.values()))
    lines = [
        f"{change['key']} is at revision {revisions[change['key']]}, but the "
        f"publication replaces revision {change['replaces']}"
        for change in conflicting
    ]
    raise errors.ClientError(
        "another operator published first and nothing was changed:\n"
        + "\n".join(lines)
        + "\nrun 'laburnumgate plan' again and review the difference",
        errors.Exit.CONFLICT,
    )


def _already_applied(
    current: Configuration, changes: list[dict[str, Any]]
) -> bool:
    for change in changes:
        existing = current.values_by_key.get(change["key"])
        value = existing.value if existing is not None else None
        if value != change["value"]:
            return False
    return True


def _current_revisions(
    current: Configuration, changes: list[dict[str, Any]]
) -> dict[str, int]:
    revisions = {}
    for change in changes:
        existing = current.values_by_key.get(change["key"])
        revisions[change["key"]] = existing.revision if existing else 0
    return revisions


def _parse_progress(body: dict[str, Any]) -> Progress:
    return Progress(
        body["offset"], tuple(body["in_force"]), tuple(body["not_reached"])
    )


def _require_success(response: client_module.Response) -> dict[str, Any]:
    if response.status in (200, 202) and isinstance(response.body, dict):
        return response.body
    raise errors.ClientError(
        f"{response.url} answered {response.status}: {_reason(response)}"
    )


def _reason(response: client_module.Response) -> str:
    body = response.body
    if not isinstance(body, dict):
        return str(body)[:200]
    if "reason" in body:
        return str(body["reason"])
    verdict = body.get("verdict")
    if isinstance(verdict, dict):
        return str(verdict.get("reason", ""))
    return f"status {response.status}"
