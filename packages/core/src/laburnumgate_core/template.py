"""Templates of promises and their parameters.

A template refers to a parameter by a value that is exactly `${name}`.
"""

import dataclasses
from typing import Any
from typing import Literal

import pydantic

from laburnumgate_core import model


class DeclarationError(Exception):
    """An invalid declaration; the message is one sentence."""


class _Strict(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Parameter(_Strict):
    """Type and bounds of one parameter of a template."""

    type: Literal["integer", "string", "list"]
    minimum: int | None = None
    maximum: int | None = None
    choices: tuple[str, ...] = ()
    default: int | str | list[str] | None = None


class Template(_Strict):
    """A promise whose values may refer to the parameters."""

    description: str = ""
    parameters: dict[str, Parameter] = {}
    promise: dict[str, Any]


class Account(_Strict):
    """The parameters of one client account."""

    template: str
    parameters: dict[str, int | str | list[str]] = {}


class _Shape(_Strict):
    parts: int = pydantic.Field(ge=1, le=512)
    accelerators_per_part: int = pydantic.Field(ge=1, le=64)
    adjacency: model.Adjacency = model.Adjacency.RACK
    count: int = pydantic.Field(default=1, ge=1, le=1000)


class _Promise(_Strict):
    urgency: model.Urgency = model.Urgency.NORMAL
    quota_accelerators: int = pydantic.Field(ge=0)
    never_repeat: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    shapes: tuple[_Shape, ...] = ()


class _Rack(_Strict):
    name: str = pydantic.Field(min_length=1)
    endpoints: int = pydantic.Field(ge=1, le=4096)
    accelerators_per_endpoint: int = pydantic.Field(ge=0, le=64)


class _Zone(_Strict):
    region: str
    racks: tuple[_Rack, ...]


def parse_template(value: Any) -> Template:
    """Validates a template's value.

    Raises:
      DeclarationError: naming the first invalid field.
    """
    return _check(Template, value)


def parse_account(value: Any) -> Account:
    """Validates a client account's value.

    Raises:
      DeclarationError: naming the first invalid field.
    """
    return _check(Account, value)


def parse_zone(name: str, value: Any) -> model.Zone:
    """Validates a zone's value and returns the zone.

    Raises:
      DeclarationError: naming the first invalid field.
    """
    zone = _check(_Zone, value)
    racks = tuple(model.Rack(**rack.model_dump()) for rack in zone.racks)
    return model.Zone(name=name, region=zone.region, racks=racks)


def render(name: str, template: Template, account: Account) -> model.Promise:
    """Substitutes the parameters of the account `name` into `template`.

    Raises:
      DeclarationError: if a parameter is missing, unknown or out of bounds, or
        the resulting promise is invalid.
    """
    values = _parameter_values(template, account)
    promise = _check(_Promise, _substitute(template.promise, values))
    shapes = tuple(
        model.Shape(**dataclass_fields(shape)) for shape in promise.shapes
    )
    return model.Promise(
        account=name,
        urgency=promise.urgency,
        quota_accelerators=promise.quota_accelerators,
        shapes=shapes,
        never_repeat=frozenset(promise.never_repeat),
        zones=promise.zones,
    )


def dataclass_fields(value: pydantic.BaseModel) -> dict[str, Any]:
    """Returns the fields of a validated model for a data class."""
    return {name: getattr(value, name) for name in type(value).model_fields}


def _parameter_values(template: Template, account: Account) -> dict[str, Any]:
    for name in account.parameters:
        if name not in template.parameters:
            raise DeclarationError(f"parameter {name!r} is not in the template")
    values = {}
    for name, parameter in template.parameters.items():
        value = account.parameters.get(name, parameter.default)
        if value is None:
            raise DeclarationError(f"parameter {name!r} has no value")
        _check_parameter(name, parameter, value)
        values[name] = value
    return values


def _check_parameter(name: str, parameter: Parameter, value: Any) -> None:
    expected = {"integer": int, "string": str, "list": list}[parameter.type]
    if not isinstance(value, expected) or isinstance(value, bool):
        raise DeclarationError(
            f"parameter {name!r} must be of type {parameter.type}"
        )
    if parameter.type != "integer":
        _check_choice(name, parameter, value)
        return
    if parameter.minimum is not None and value < parameter.minimum:
        raise DeclarationError(
            f"parameter {name!r} is {value}, below {parameter.minimum}"
        )
    if parameter.maximum is not None and value > parameter.maximum:
        raise DeclarationError(
            f"parameter {name!r} is {value}, above {parameter.maximum}"
        )
    _check_choice(name, parameter, value)


def _check_choice(name: str, parameter: Parameter, value: Any) -> None:
    if parameter.choices and value not in parameter.choices:
        raise DeclarationError(
            f"parameter {name!r} is {value!r}, not one of "
            f"{', '.join(parameter.choices)}"
        )


def _substitute(value: Any, values: dict[str, Any]) -> Any:
    if isinstance(value, dict):
        return {key: _substitute(item, values) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [_substitute(item, values) for item in value]
    if not isinstance(value, str) or not value.startswith("${"):
        return value
    name = value.removeprefix("${").removesuffix("}")
    if name not in values:
        raise DeclarationError(f"the promise refers to no parameter {name!r}")
    return values[name]


def _check(kind, value: Any):
    try:
        return kind.model_validate(value)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        path = ".".join(str(part) for part in first["loc"]) or "value"
        raise DeclarationError(f"{path}: {first['msg']}") from None


@dataclasses.dataclass(frozen=True)
class StateValue:
    """A state that operators set on a zone or an endpoint."""

    state: str


def parse_state(value: Any, allowed: tuple[str, ...]) -> StateValue:
    """Validates the value of a `zone-state` or `endpoint-state` key.

    Raises:
      DeclarationError: if the state is not one of `allowed`.
    """
    if not isinstance(value, dict) or value.get("state") not in allowed:
        raise DeclarationError(f"state must be one of {', '.join(allowed)}")
    if len(value) != 1:
        raise DeclarationError("only the field 'state' is allowed")
    return StateValue(value["state"])
