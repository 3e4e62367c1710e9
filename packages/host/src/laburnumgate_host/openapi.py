"""Builds the OpenAPI document of the HTTP API.

`python -m laburnumgate_host.openapi FILE` writes docs/openapi.json; a test
checks that the file matches this module and the daemon's routes.
"""

import json
import pathlib
from typing import Any

import click
from laburnumgate_core import requests
from laburnumgate_core import verdict
import pydantic

_SCHEMAS = "#/components/schemas/"
_VERDICT_SCHEMA: dict[str, Any] = {"$ref": f"{_SCHEMAS}Verdict"}
_STRING = {"type": "string"}
_NON_NEGATIVE_INTEGER = {"type": "integer", "minimum": 0}
_STRING_ARRAY = {"type": "array", "items": _STRING}
_STATUS_DESCRIPTIONS = {
    200: "The verdict of a known request, or the operation succeeded.",
    202: "Accepted; for a publication: appended, not decided here yet.",
    400: "A field is invalid; the reason names it. Nothing ran.",
    404: "This host knows no such request; another host may.",
    409: "The id was used for a different body, or a revision has changed.",
    413: "The body is over 64 KB. Nothing ran.",
    422: "The request can never run.",
    429: "Over a limit; the same id may be sent again.",
    503: "No decision is possible now; the same id may be sent again.",
}


def build() -> dict[str, Any]:
    """Returns the OpenAPI document."""
    return {
        "openapi": "3.1.0",
        "info": {
            "title": "laburnumgate",
            "version": "1",
            "description": (
                "HTTP API of an entry host for callers and operators. Times "
                "and durations are in ms, times since the Unix epoch."
            ),
        },
        "paths": _paths(),
        "components": {"schemas": _schemas()},
    }


def _paths() -> dict[str, Any]:
    return {
        "/v1/requests": {
            "post": _operation(
                "Submit a request",
                _caller_responses(200, 202, 400, 409, 413, 422, 429, 503),
                body="Request",
            ),
        },
        "/v1/requests/{account}/{request_id}": {
            "get": _operation(
                "Read the verdict of a request or wait for its outcome",
                _caller_responses(200, 404, 429),
                path_parameters=("account", "request_id"),
                query={
                    "wait_ms": "How long to wait for the outcome, at most "
                    "30000. The answer is pending if it does not come."
                },
            ),
            "delete": _operation(
                "Cancel a request",
                _caller_responses(200, 404, 503),
                path_parameters=("account", "request_id"),
            ),
        },
        "/v1/operator/publications": {
            "post": _operation(
                "Publish changes, all or none",
                _responses("Published", 200, 202, 400, 409, 503),
                body="Publication",
            ),
        },
        "/v1/operator/zones/{zone}/state": {
            "post": _operation(
                "Take a zone out of service or return it (out, in)",
                _responses("Published", 200, 202, 400, 409, 503),
                body="StateChange",
                path_parameters=("zone",),
            ),
        },
        "/v1/operator/endpoints/{endpoint_id}/state": {
            "post": _operation(
                "Drain an endpoint or use it again (draining, active)",
                _responses("Published", 200, 202, 400, 409, 503),
                body="StateChange",
                path_parameters=("endpoint_id",),
            ),
        },
        "/v1/operator/zones/{zone}/stop": {
            "post": _operation(
                "Stop or allow a zone's starts without the log",
                _responses("Stopped", 200, 400),
                body="Stop",
                path_parameters=("zone",),
            ),
        },
        "/v1/operator/config": {
            "get": _operation(
                "Read the configuration with revisions",
                _responses("Configuration", 200),
            ),
        },
        "/v1/operator/progress/{offset}": {
            "get": _operation(
                "Read which hosts have applied an offset",
                _responses("Progress", 200),
                path_parameters=("offset",),
            ),
        },
        "/v1/operator/state": {
            "get": _operation("Dump a host's state", _responses("State", 200)),
        },
        "/v1/ready": {
            "get": _operation(
                "Whether the host takes requests",
                _responses("Ready", 200, 503),
            ),
        },
        "/metrics": {
            "get": _operation(
                "Metrics in the Prometheus text format",
                {
                    "200": {
                        "description": "Every metric of the host.",
                        "content": {"text/plain": {"schema": _STRING}},
                    }
                },
            ),
        },
    }


def _operation(
    summary: str,
    responses: dict[str, Any],
    body: str = "",
    path_parameters: tuple[str, ...] = (),
    query: dict[str, str] | None = None,
) -> dict[str, Any]:
    parameters = [
        {
            "name": name,
            "in": "path",
            "required": True,
            "schema": _NON_NEGATIVE_INTEGER if name == "offset" else _STRING,
        }
        for name in path_parameters
    ]
    for name, meaning in (query or {}).items():
        parameters.append(
            {
                "name": name,
                "in": "query",
                "description": meaning,
                "schema": _NON_NEGATIVE_INTEGER,
            }
        )
    operation: dict[str, Any] = {"summary": summary, "responses": responses}
    if parameters:
        operation["parameters"] = parameters
    if body:
        operation["requestBody"] = {
            "required": True,
            "content": _json_content(body),
        }
    return operation


def _caller_responses(*statuses: int) -> dict[str, Any]:
    return _responses("Answer", *statuses)


def _responses(schema: str, *statuses: int) -> dict[str, Any]:
    return {
        str(status): {
            "description": _STATUS_DESCRIPTIONS[status],
            "content": _json_content(schema),
        }
        for status in statuses
    }


def _json_content(schema: str) -> dict[str, Any]:
    return {"application/json": {"schema": {"$ref": f"{_SCHEMAS}{schema}"}}}


def _schemas() -> dict[str, Any]:
    template = f"{_SCHEMAS}{{model}}"
    verdicts = pydantic.TypeAdapter(verdict.Verdict).json_schema(
        ref_template=template
    )
    request = requests.Request.model_json_schema(ref_template=template)
    schemas = {**verdicts.pop("$defs"), **request.pop("$defs", {})}
    schemas.update(Request=request, Verdict=verdicts)
    schemas["Answer"] = _object(
        {
            "account": _STRING,
            "request_id": _STRING,
            "verdict": _VERDICT_SCHEMA,
            "durability": {"enum": ["log", "zone-peers", "host-only"]},
            "use_another_host": {"type": "boolean"},
        },
        required=("account", "request_id", "verdict"),
    )
    schemas["Change"] = _object(
        {"key": _STRING, "value": {"type": ["object", "null"]}}
        | {"replaces": _NON_NEGATIVE_INTEGER},
        required=("key", "replaces"),
    )
    schemas["Publication"] = _object(
        {
            "change_id": _STRING,
            "operator": _STRING,
            "changes": {
                "type": "array",
                "items": {"$ref": f"{_SCHEMAS}Change"},
            },
            "wait_ms": _NON_NEGATIVE_INTEGER,
        },
        required=("operator", "changes"),
    )
    schemas["StateChange"] = _object(
        {
            "operator": _STRING,
            "state": _STRING,
            "replaces": _NON_NEGATIVE_INTEGER,
            "wait_ms": _NON_NEGATIVE_INTEGER,
        },
        required=("operator", "state"),
    )
    schemas["Stop"] = _object(
        {
            "operator": _STRING,
            "stopped": {"type": "boolean", "default": True},
            "wait_ms": _NON_NEGATIVE_INTEGER,
        },
        required=("operator",),
    )
    schemas["Stopped"] = _object(
        {
            "operation_id": _STRING,
            "stopped": {"type": "boolean"},
            "in_force": _STRING_ARRAY,
            "not_reached": _STRING_ARRAY,
            "summary": _STRING,
        },
        required=("operation_id", "stopped", "in_force", "not_reached"),
    )
    progress = {
        "offset": _NON_NEGATIVE_INTEGER,
        "in_force": _STRING_ARRAY,
        "not_reached": _STRING_ARRAY,
        "summary": _STRING,
    }
    schemas["Progress"] = _object(progress, required=tuple(progress))
    schemas["Published"] = _object(
        {
            "accepted": {"type": ["boolean", "null"]},
            "reason": _STRING,
            "change_id": _STRING,
            **progress,
        },
        required=(),
    )
    schemas["Configuration"] = _object(
        {"offset": _NON_NEGATIVE_INTEGER, "values": {"type": "object"}},
        required=("offset", "values"),
    )
    schemas["Ready"] = _object({"state": _STRING}, required=("state",))
    schemas["State"] = {"type": "object"}
    return schemas


def _object(
    properties: dict[str, Any], required: tuple[str, ...]
) -> dict[str, Any]:
    return {
        "type": "object",
        "properties": properties,
        "required": list(required),
    }


@click.command()
@click.argument("path", type=click.Path(path_type=pathlib.Path))
def main(path: pathlib.Path) -> None:
    """Writes the OpenAPI document to PATH."""
    path.write_text(json.dumps(build(), indent=2) + "\n")


if __name__ == "__main__":
    main()
