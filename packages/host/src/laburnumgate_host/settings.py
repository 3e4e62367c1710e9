"""Checked settings of one host: its TOML file over `defaults.toml`."""

from importlib import resources
import ipaddress
import tomllib
from typing import Annotated
from typing import Any

import pydantic


class SettingsError(Exception):
    """Settings that cannot be used; the text names every error."""


def _check_ip(value: str) -> str:
    ipaddress.ip_address(value)
    return value


Ip = Annotated[str, pydantic.AfterValidator(_check_ip)]
Port = Annotated[int, pydantic.Field(ge=1, le=65535)]
PositiveMs = Annotated[int, pydantic.Field(ge=1)]


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Host(_Section):
    """Who this host is and where it listens."""

    host_id: str = pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]*$")
    zone: str = pydantic.Field(min_length=1)
    region: str = pydantic.Field(min_length=1)
    ip: Ip
    http_port: Port
    rpc_port: Port
    state_dump: bool


class Platform(_Section):
    """Where the platform's services answer."""

    log_url: pydantic.HttpUrl
    live_list_url: pydantic.HttpUrl


class Timing(_Section):
    """Periods and timeouts in ms."""

    tick_ms: PositiveMs
    heartbeat_ms: PositiveMs
    live_list_poll_ms: PositiveMs
    log_poll_wait_ms: PositiveMs
    log_timeout_ms: PositiveMs
    endpoint_timeout_ms: PositiveMs
    report_wait_ms: PositiveMs
    endpoint_lost_after_ms: PositiveMs
    shutdown_grace_ms: PositiveMs
    stop_starts_after_isolation_ms: int = pydantic.Field(ge=0)


class Limits(_Section):
    """Bounds on queues and rates."""

    waiting_jobs: int = pydantic.Field(ge=1)
    waiting_jobs_per_account: int = pydantic.Field(ge=1)
    appends_per_s: int = pydantic.Field(ge=1)
    fences_per_s: int = pydantic.Field(ge=1)
    open_polls: int = pydantic.Field(ge=1)


class Settings(_Section):
    """All settings of a host."""

    host: Host
    platform: Platform
    timing: Timing
    limits: Limits


def load(text: str) -> Settings:
    """Parses a host's TOML text over the shipped defaults.

    Raises:
      SettingsError: with one line for each error.
    """
    try:
        own = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"the file is not TOML: {error}") from None
    shipped = resources.files(__package__).joinpath("defaults.toml")
    merged = _merge(tomllib.loads(shipped.read_text()), own)
    try:
        return Settings.model_validate(merged)
    except pydantic.ValidationError as error:
        lines = []
        for item in error.errors():
            path = ".".join(str(part) for part in item["loc"])
            lines.append(f"{path}: {item['msg']}")
        raise SettingsError("\n".join(lines)) from None


def _merge(base: dict[str, Any], own: dict[str, Any]) -> dict[str, Any]:
    merged = dict(base)
    for key, value in own.items():
        if isinstance(value, dict) and isinstance(merged.get(key), dict):
            merged[key] = _merge(merged[key], value)
            continue
        merged[key] = value
    return merged
