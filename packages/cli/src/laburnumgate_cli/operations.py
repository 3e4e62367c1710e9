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

PROGRESS_PAUSE_MS = 200


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
    answer = await client.call("GET", "/v1/operator/config")
    body = _expect(answer)
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
    answer = await client.call("POST", "/v1/operator/publications", body)
    if answer.status == 200 and answer.body.get("accepted"):
        return _progress(answer.body)
    if answer.status in (400, 409, 422):
        return await _explain_refusal(client, changes, answer)
    reason = _reason(answer)
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
    present = current.values_by_key.get(key)
    if present is not None and present.value == {"state": state}:
        return await progress(client, present.revision)
    replaces = present.revision if present is not None else 0
    change = {"key": key, "value": {"state": state}, "replaces": replaces}
    return await publish(client, [change], operator)


async def progress(client: client_module.Client, offset: int) -> Progress:
    """Fetches which hosts have the publication at `offset` in force."""
    answer = await client.call("GET", f"/v1/operator/progress/{offset}")
    return _progress(_expect(answer))


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
    until_s = time.monotonic() + timeout_ms / 1000
    shown = None
    while True:
        current = await progress(client, offset)
        if current != shown:
            report(current)
            shown = current
        if not current.not_reached or time.monotonic() >= until_s:
            return current
        await asyncio.sleep(PROGRESS_PAUSE_MS / 1000)


async def stop_zone_directly(
    client: client_module.Client, url: str, zone: str, operator: str, out: bool
) -> dict[str, Any]:
    """Stops or allows starts through one host of a zone cut off from the log.

    The host forwards the order to its peers in the zone. The order is not
    written to the log and is not part of the configuration.
    """
    path = f"/v1/operator/zones/{client_module.quote(zone)}/stop"
    body = {"operator": operator, "stopped": out}
    return _expect(await client.call("POST", path, body, urls=(url,)))


async def states(client: client_module.Client) -> dict[str, Any]:
    """Returns the state dump of every host by URL.

    A host that does not respond has an object with the key `error`.
    """

    async def one(url: str) -> dict[str, Any]:
        try:
            answer = await client.call("GET", "/v1/operator/state", urls=(url,))
            return _expect(answer)
        except errors.ClientError as error:
            return {"error": str(error)}

    dumps = await asyncio.gather(*(one(url) for url in client.urls))
    return dict(zip(client.urls, dumps, strict=True))


async def metrics(client: client_module.Client) -> str:
    """Fetches a host's metrics in the Prometheus text format."""
    answer = await client.call("GET", "/metrics")
    if answer.status != 200:
        raise errors.ClientError(f"{answer.url} answered {answer.status}")
    return str(answer.body)


def publishable(plan: declarations.Plan) -> list[dict[str, Any]]:
    """Converts a plan to the list of changes of a publication request."""
    return [dataclasses.asdict(item) for item in declarations.changes(plan)]


async def _explain_refusal(
    client: client_module.Client,
    changes: list[dict[str, Any]],
    answer: client_module.Answer,
) -> Progress:
    current = await configuration(client)
    revisions = _revisions(current, changes)
    moved = [
        change
        for change in changes
        if revisions[change["key"]] != change["replaces"]
    ]
    if not moved:
        raise errors.ClientError(
            f"the publication was refused: {_reason(answer)}",
            errors.Exit.REFUSED,
        )
    if answer.attempts > 1 and _already_ours(current, changes):
        # An earlier host published the changes before its connection failed,
        # so the conflict is with this publication itself.
        return await progress(client, max(revisions.values()))
    lines = [
        f"{change['key']} is at revision {revisions[change['key']]}, the "
        f"publication replaces {change['replaces']}"
        for change in moved
    ]
    raise errors.ClientError(
        "another operator published first and nothing was changed:\n"
        + "\n".join(lines)
        + "\nrun 'laburnumgate plan' again and review the difference",
        errors.Exit.CONFLICT,
    )


def _already_ours(
    current: Configuration, changes: list[dict[str, Any]]
) -> bool:
    for change in changes:
        present = current.values_by_key.get(change["key"])
        value = present.value if present is not None else None
        if value != change["value"]:
            return False
    return True


def _revisions(
    current: Configuration, changes: list[dict[str, Any]]
) -> dict[str, int]:
    revisions = {}
    for change in changes:
        present = current.values_by_key.get(change["key"])
        revisions[change["key"]] = present.revision if present else 0
    return revisions


def _progress(body: dict[str, Any]) -> Progress:
    return Progress(
        body["offset"], tuple(body["in_force"]), tuple(body["not_reached"])
    )


def _expect(answer: client_module.Answer) -> dict[str, Any]:
    if answer.status in (200, 202) and isinstance(answer.body, dict):
        return answer.body
    raise errors.ClientError(
        f"{answer.url} answered {answer.status}: {_reason(answer)}"
    )


def _reason(answer: client_module.Answer) -> str:
    body = answer.body
    if not isinstance(body, dict):
        return str(body)[:200]
    if "reason" in body:
        return str(body["reason"])
    verdict = body.get("verdict")
    if isinstance(verdict, dict):
        return str(verdict.get("reason", ""))
    return f"status {answer.status}"
