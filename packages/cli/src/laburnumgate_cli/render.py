"""Formats results as text for the terminal."""

import json
from typing import Any

from laburnumgate_core import declarations

from laburnumgate_cli import operations

_SIGN_BY_ACTION = {"add": "+", "change": "~", "remove": "-"}


def plan(planned: declarations.Plan) -> str:
    """Formats a plan field by field, with the revisions it replaces."""
    lines = []
    for change in planned.changes:
        sign = _SIGN_BY_ACTION[change.action]
        lines.append(
            f"{sign} {change.key} (replaces {_revision_text(change.replaces)})"
        )
        for field in change.fields:
            lines.append(f"    {field.field}: {_field_change_text(field)}")
    for key in planned.undeclared:
        if any(change.key == key for change in planned.changes):
            continue
        lines.append(f"  {key} is in force and not declared (unchanged)")
    counts = (
        f"{len(planned.changes)} to publish, {len(planned.unchanged)} unchanged"
    )
    lines.append(f"{counts}, compared at offset {planned.offset}")
    return "\n".join(lines)


def progress(current: operations.Progress) -> str:
    """Formats how many hosts have a publication in force."""
    total = len(current.in_force) + len(current.not_reached)
    text = (
        f"offset {current.offset} is in force on {len(current.in_force)} of "
        f"{total} hosts"
    )
    if current.not_reached:
        text += f"; not reached: {', '.join(current.not_reached)}"
    return text


def configuration(
    config: operations.Configuration, current: operations.Progress
) -> str:
    """Formats every key in force with its revision and value."""
    lines = [progress(current)]
    for key, versioned in sorted(config.values_by_key.items()):
        lines.append(f"{key} (revision {versioned.revision})")
        lines.append(f"    {json.dumps(versioned.value, sort_keys=True)}")
    return "\n".join(lines)


def request_status(body: dict[str, Any]) -> str:
    """Formats the verdict on a request."""
    verdict = body["verdict"]
    name = f"{body.get('account', '')}/{body.get('request_id', '')}"
    kind = verdict["kind"].replace("_", " ")
    parts = [f"{name}: {kind}"]
    if verdict["kind"] == "pending":
        parts.append(f"({verdict['state']})")
    if verdict.get("reason"):
        parts.append(f"- {verdict['reason']}")
    if "durability" in body:
        parts.append(f"[recorded: {body['durability']}]")
    lines = [" ".join(parts)]
    for number, text in enumerate(verdict.get("answer", ())):
        lines.append(f"  part {number}: {text}")
    return "\n".join(lines)


def states(dumps_by_url: dict[str, Any]) -> str:
    """Formats one line for each host and one for each of its runs."""
    lines = []
    for url, dump in dumps_by_url.items():
        if "error" in dump:
            lines.append(f"{url}: {dump['error']}")
            continue
        role = "places for its zone" if dump.get("places") else "follows"
        lines.append(
            f"{dump.get('host_id')} ({dump.get('zone')}): {dump.get('state')},"
            f" {role}, config {dump.get('config_offset')},"
            f" jobs {dump.get('jobs_offset')},"
            f" log {'reachable' if dump.get('log_reachable') else 'out'},"
            f" {dump.get('unsent_records')} records not in the log"
        )
        for run in dump.get("runs", ()):
            lines.append(
                f"    {run.get('job_id')} run {run.get('run')}:"
                f" {run.get('phase')}"
            )
    return "\n".join(lines)


def _revision_text(revision: int) -> str:
    return f"revision {revision}" if revision else "nothing"


def _field_change_text(field: declarations.FieldChange) -> str:
    if field.old is None:
        return _json_text(field.new)
    if field.new is None:
        return f"{_json_text(field.old)} is removed"
    return f"{_json_text(field.old)} -> {_json_text(field.new)}"


def _json_text(value: Any) -> str:
    return json.dumps(value, sort_keys=True, ensure_ascii=False)
