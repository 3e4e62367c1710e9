"""Client settings from a TOML file, overridden by options."""

import pathlib
import tomllib

import pydantic

from laburnumgate_cli import errors


class ClientSettings(pydantic.BaseModel):
    """Hosts in order of preference, operator name and request timeout."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    hosts: tuple[pydantic.HttpUrl, ...] = ()
    operator: str = ""
    timeout_ms: int = pydantic.Field(default=10_000, ge=1)

    @property
    def urls(self) -> tuple[str, ...]:
        """Base URLs of the hosts, without a trailing slash."""
        return tuple(str(host).rstrip("/") for host in self.hosts)


def load(
    path: pathlib.Path | None, hosts: tuple[str, ...], operator: str
) -> ClientSettings:
    """Reads the settings file, if given, and applies the options.

    Raises:
      ClientError: if settings are invalid; the message lists the fields.
    """
    values = {}
    if path is not None:
        try:
            values = tomllib.loads(path.read_text())
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
            raise errors.ClientError(
                f"{path.name}: invalid TOML: {error}", errors.Exit.USAGE
            ) from None
    if hosts:
        values["hosts"] = list(hosts)
    if operator:
        values["operator"] = operator
    try:
        return ClientSettings.model_validate(values)
    except pydantic.ValidationError as error:
        lines = []
        for item in error.errors():
            field = ".".join(str(part) for part in item["loc"])
            lines.append(f"{field}: {item['msg']}")
        raise errors.ClientError("\n".join(lines), errors.Exit.USAGE) from None
