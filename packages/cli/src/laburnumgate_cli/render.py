"""Formats results as text for the terminal."""

import json
from typing import Any

from laburnumgate_core import declarations

from laburnumgate_cli import operations

_SIGN_BY_ACTION = {"add": "+", "change": "~", "remove": "-"}


def plan(value: declarations.Plan) -> str:
    """Formats a plan field by field, with the revisions it replaces."""
    lines = []
    for change in value.changes:
        sign = _SIGN_BY_ACTION[change.action]
        lines.append(f"{sign} {change.key} (replaces {_at(change.replaces)})")
        for field in change.fields:
            lines.append(f"    {field.field}: {_change(field)}")
    for key in value.undeclared:
        if any(change.key == key for change in value.changes):
            continue
        lines.append(f"  {key} is in force and not declared (left as it is)")
    counts = f"{len(value.changes)} to publish, {len(value.unchanged)} equal"
    lines.append(f"{counts}, compared at offset {value.offset}")
    return "\n".join(lines)


def progress(value: operations.Progress) -> str:
    """Formats how many hosts have a publication in force."""
    total = len(value.in_force) + len(value.not_reached)
    text = (
        f"offset {value.offset} is in force on {len(value.in_force)} of "
        f"{total} hosts"
    )
    if value.not_reached:
        text += f"; not reached: {', '.join(value.not_reached)}"
    return text


def configuration(
    value: operations.Configuration, reached: operations.Progress
) -> str:
    """Formats every key in force with its revision and value."""
    lines = [progress(reached)]
    for key, versioned in sorted(value.values_by_key.items()):
        lines.append(f"{key} (revision {versioned.revision})")
        lines.append(f"    {json.dumps(versioned.value, sort_keys=True)}")
    return "\n".join(lines)


def answer(body: dict[str, Any]) -> str:
    """Formats the verdict on a request."""
    told = body["verdict"]
    name = f"{body.get('account', '')}/{body.get('request_id', '')}"
    kind = told["kind"].replace("_", " ")
    parts = [f"{name}: {kind}"]
    if told["kind"] == "pending":
        parts.append(f"({told['state']})")
    if told.get("reason"):
        parts.append(f"- {told['reason']}")
    if "durability" in body:
        parts.append(f"[recorded: {body['durability']}]")
    lines = [" ".join(parts)]
    for number, text in enumerate(told.get("answer", ())):
        lines.append(f"  part {number}: {text}")
    return "\n".join(lines)


def states(dumps_by_url: dict[str, Any]) -> str:
    """Formats one line for each host and one for each of its runs."""
    lines = []
    for url, dump in dumps_by_url.items():
        if "error" in dump:
            lines.append(f"{url}: {dump['error']}")
            continue
        places = "places for its zone" if dump.get("places") else "follows"
        lines.append(
            f"{dump.get('host_id')} ({dump.get('zone')}): {dump.get('state')},"
            f" {places}, config {dump.get('config_offset')},"
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


def _at(revision: int) -> str:
    return f"revision {revision}" if revision else "nothing"


def _change(field: declarations.FieldChange) -> str:
    if field.old is None:
        return _text(field.new)
    if field.new is None:
        return f"{_text(field.old)} is removed"
    return f"{_text(field.old)} -> {_text(field.new)}"


def _text(value: Any) -> str:
    return json.dumps(value, sort_keys=True, ensure_ascii=False)
