"""Validated settings of a host: its TOML file merged over defaults.toml."""

import dataclasses
from importlib import resources
import ipaddress
import tomllib
from typing import Annotated
from typing import Any

import pydantic
from pydantic import fields
import pydantic_core


class SettingsError(Exception):
    """Raised for invalid settings; the message lists every error."""


def _check_ip(value: str) -> str:
    ipaddress.ip_address(value)
    return value


Ip = Annotated[str, pydantic.AfterValidator(_check_ip)]
Port = Annotated[int, pydantic.Field(ge=1, le=65535)]
PositiveMs = Annotated[int, pydantic.Field(ge=1)]


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


def _field(meaning: str, **bounds) -> Any:
    return pydantic.Field(description=meaning, **bounds)


class Host(_Section):
    """Identity and listening addresses of the host."""

    host_id: str = _field(
        "Name of the host, unique in the installation.",
        pattern=r"^[a-z0-9][a-z0-9-]*$",
    )
    zone: str = _field("Availability zone of the host.", min_length=1)
    region: str = _field("Region of the zone.", min_length=1)
    ip: Ip = _field("IP address on which the host listens.")
    http_port: Port = _field("Port for callers and operators.")
    rpc_port: Port = _field(
        "gRPC port for other hosts; must differ from `http_port`."
    )

    @pydantic.model_validator(mode="after")
    def _check_ports(self) -> "Host":
        if self.http_port == self.rpc_port:
            raise ValueError("http_port and rpc_port must differ")
        return self


class Platform(_Section):
    """URLs of the platform's services."""

    log_url: pydantic.HttpUrl = _field("Base URL of the log.")
    live_list_url: pydantic.HttpUrl = _field("Base URL of the live list.")


class Timing(_Section):
    """Intervals and timeouts in ms."""

    tick_ms: PositiveMs = _field("Interval between scheduler passes.")
    heartbeat_ms: PositiveMs = _field(
        "Interval between heartbeats to other hosts."
    )
    live_list_poll_ms: PositiveMs = _field(
        "Interval between reads of the live list."
    )
    log_poll_wait_ms: PositiveMs = _field(
        "How long a read of the log waits for new records."
    )
    log_timeout_ms: PositiveMs = _field(
        "Time without progress after which an append or a read of the log "
        "counts as lost."
    )
    endpoint_timeout_ms: PositiveMs = _field(
        "Time after which a call to an endpoint counts as lost."
    )
    report_wait_ms: PositiveMs = _field(
        "How long a report request to an endpoint waits for a task to change."
    )
    endpoint_lost_after_ms: PositiveMs = _field(
        "An endpoint that has not answered for this long is lost and its "
        "gangs are stopped."
    )
    shutdown_grace_ms: PositiveMs = _field(
        "How long a leaving host may take to finish or undo launches and to "
        "answer open requests."
    )
    snapshot_every_ms: PositiveMs = _field(
        "Interval between snapshots; keep it below a quarter of the "
        "log's retention."
    )
    stop_starts_after_isolation_ms: int = _field(
        "A zone that has received nothing from the log or another zone for "
        "this long starts no more jobs; 0 disables this limit.",
        ge=0,
    )


class Limits(_Section):
    """Limits on queues and rates."""

    waiting_jobs: int = _field(
        "Maximum number of waiting jobs in the zone.", ge=1
    )
    waiting_jobs_per_account: int = _field(
        "Maximum number of waiting jobs of one client account; must not exceed "
        "`waiting_jobs`.",
        ge=1,
    )
    appends_per_s: int = _field(
        "Maximum appends of this host per second.", ge=1
    )
    fences_per_s: int = _field(
        "Maximum refusals per second that are recorded in the log, so that "
        "they can return the verdict `not_run`.",
        ge=1,
    )
    open_polls: int = _field(
        "Maximum number of callers that wait on this host.", ge=1
    )
    memory_mb: int = _field(
        "Memory limit of the process; requests being received may use a third "
        "of it.",
        ge=64,
    )
    descriptors: int = _field(
        "Maximum number of open descriptors of the process; callers may use "
        "half of them, without 200 for files.",
        ge=256,
    )

    @pydantic.model_validator(mode="after")
    def _check_shares(self) -> "Limits":
        if self.waiting_jobs_per_account > self.waiting_jobs:
            raise ValueError(
                "waiting_jobs_per_account must not exceed waiting_jobs"
            )
        return self


class Settings(_Section):
    """All settings of a host."""

    host: Host
    platform: Platform
    timing: Timing
    limits: Limits


@dataclasses.dataclass(frozen=True)
class SettingDescription:
    """A setting as shown in the documentation."""

    name: str
    kind: str
    default: str
    meaning: str


def describe() -> tuple[SettingDescription, ...]:
    """Returns all settings with their full names, in model order.

    The default of a required setting is an empty string.
    """
    defaults = _load_defaults()
    found = []
    for section_name, section in Settings.model_fields.items():
        for name, field in section.annotation.model_fields.items():
            default = defaults.get(section_name, {}).get(name, "")
            found.append(
                SettingDescription(
                    f"{section_name}.{name}",
                    _type_name(field),
                    str(default).lower(),
                    field.description or "",
                )
            )
    return tuple(found)


def load(text: str) -> Settings:
    """Parses a host's TOML text and merges it over the defaults.

    Raises:
      SettingsError: with one line for each error.
    """
    try:
        overrides = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"the file is not valid TOML: {error}") from None
    merged = _merge(_load_defaults(), overrides)
    try:
        return Settings.model_validate(merged)
    except pydantic.ValidationError as error:
        lines = []
        for item in error.errors():
            lines.append(_format_error(item))
        raise SettingsError("\n".join(lines)) from None


def _format_error(error: pydantic_core.ErrorDetails) -> str:
    path = ".".join(str(part) for part in error["loc"])
    match error["type"]:
        case "missing":
            return f"{path}: must be set"
        case "extra_forbidden":
            return f"{path}: no such setting"
    return f"{path}: {error['msg']}"


def _load_defaults() -> dict[str, Any]:
    path = resources.files(__package__).joinpath("defaults.toml")
    return tomllib.loads(path.read_text())


def _type_name(field: fields.FieldInfo) -> str:
    if field.annotation is pydantic.HttpUrl:
        return "URL"
    if field.annotation is not int:
        return "text"
    bounds = []
    for bound in field.metadata:
        if hasattr(bound, "ge"):
            bounds.append(f"at least {bound.ge}")
        if hasattr(bound, "le"):
            bounds.append(f"at most {bound.le}")
    return ", ".join(["integer", *bounds])


def _merge(base: dict[str, Any], overrides: dict[str, Any]) -> dict[str, Any]:
    merged = dict(base)
    for key, value in overrides.items():
        if isinstance(value, dict) and isinstance(merged.get(key), dict):
            merged[key] = _merge(merged[key], value)
            continue
        merged[key] = value
    return merged
