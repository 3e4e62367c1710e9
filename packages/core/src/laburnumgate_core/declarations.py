"""Parses declaration files and plans changes to the active configuration.

A declaration file is TOML. Its tables are named FAMILY.NAME, for example
`[template.gang]`, `[account.mina-alta]` or `[zone.calama-b]`, and become the
configuration keys FAMILY/NAME. Zone and endpoint states are not declared in
files; operators set them with commands.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum
import tomllib
from typing import Any

from laburnumgate_core import config
from laburnumgate_core import records
from laburnumgate_core import template

FAMILIES = ("template", "account", "zone")


@dataclasses.dataclass(frozen=True)
class Problem:
    """An error in a declaration file; `field` is a dotted name or empty."""

    source: str
    field: str
    text: str

    def __str__(self) -> str:
        """Returns the error in one line, prefixed with source and field."""
        if not self.field:
            return f"{self.source}: {self.text}"
        return f"{self.source}: {self.field}: {self.text}"


@dataclasses.dataclass(frozen=True)
class Declared:
    """The value that a file declares for a key."""

    key: str
    value: dict[str, Any]
    source: str


@dataclasses.dataclass(frozen=True)
class Declarations:
    """All declared values by key, and every problem found."""

    declared_by_key: dict[str, Declared]
    problems: tuple[Problem, ...]


class Action(enum.StrEnum):
    """Effect of a change on a key."""

    ADD = "add"
    CHANGE = "change"
    REMOVE = "remove"


@dataclasses.dataclass(frozen=True)
class FieldChange:
    """A field that differs; None stands for an absent field."""

    field: str
    old: Any
    new: Any


@dataclasses.dataclass(frozen=True)
class PlannedChange:
    """A change of one key, relative to revision `replaces`."""

    key: str
    action: Action
    replaces: int
    value: dict[str, Any] | None
    fields: tuple[FieldChange, ...]


@dataclasses.dataclass(frozen=True)
class Plan:
    """The difference between declarations and the values in force.

    `undeclared` lists keys in force that no file declares. They are removed
    only by a plan made with `prune`.
    """

    offset: int
    changes: tuple[PlannedChange, ...]
    unchanged: tuple[str, ...]
    undeclared: tuple[str, ...]


def parse(texts_by_source: Mapping[str, str]) -> Declarations:
    """Parses declaration files and collects every problem in them.

    Args:
      texts_by_source: the text of each file by its name in error messages.
    """
    declared_by_key: dict[str, Declared] = {}
    problems: list[Problem] = []
    for source, text in texts_by_source.items():
        try:
            document = tomllib.loads(text)
        except tomllib.TOMLDecodeError as error:
            problems.append(Problem(source, "", f"not TOML: {error}"))
            continue
        for declared in _tables(source, document, problems):
            first = declared_by_key.get(declared.key)
            if first is not None:
                problems.append(
                    Problem(
                        source,
                        declared.key,
                        f"is declared in {first.source} as well",
                    )
                )
                continue
            declared_by_key[declared.key] = declared
    for declared in declared_by_key.values():
        problems.extend(_value_problems(declared))
    return Declarations(declared_by_key, tuple(problems))


def check(declarations: Declarations) -> tuple[Problem, ...]:
    """Returns every problem, including conflicts between declarations.

    The values are checked against an empty configuration, so the files have
    to declare every template and zone that their accounts refer to.
    """
    if declarations.problems:
        return declarations.problems
    plan = compare(declarations, {}, 0)
    reason = config.ConfigTable().check(changes(plan))
    if not reason:
        return ()
    return (Problem("declarations", "", reason),)


def compare(
    declarations: Declarations,
    in_force: Mapping[str, config.Versioned],
    offset: int,
    prune: bool = False,
) -> Plan:
    """Returns the changes that put the declared values in force.

    Args:
      declarations: the parsed declaration files.
      in_force: the values in force by key, as read at `offset`.
      offset: offset of the configuration that `in_force` was read at.
      prune: also remove keys of the declared families that no file declares.
    """
    planned: list[PlannedChange] = []
    unchanged: list[str] = []
    for key, declared in sorted(declarations.declared_by_key.items()):
        current = in_force.get(key)
        if current is None:
            fields = _differences({}, declared.value)
            planned.append(
                PlannedChange(key, Action.ADD, 0, declared.value, fields)
            )
            continue
        if current.value == declared.value:
            unchanged.append(key)
            continue
        fields = _differences(current.value, declared.value)
        planned.append(
            PlannedChange(
                key, Action.CHANGE, current.revision, declared.value, fields
            )
        )
    undeclared = [
        key
        for key in sorted(in_force)
        if key.partition("/")[0] in FAMILIES
        and key not in declarations.declared_by_key
    ]
    if prune:
        for key in undeclared:
            current = in_force[key]
            fields = _differences(current.value, {})
            planned.append(
                PlannedChange(
                    key, Action.REMOVE, current.revision, None, fields
                )
            )
    return Plan(offset, tuple(planned), tuple(unchanged), tuple(undeclared))


def changes(plan: Plan) -> tuple[records.Change, ...]:
    """Returns the changes of a plan in the form used by a publication."""
    return tuple(
        records.Change(change.key, change.value, change.replaces)
        for change in plan.changes
    )


def conflicting_keys(
    planned: Iterable[PlannedChange], in_force: Mapping[str, config.Versioned]
) -> dict[str, int]:
    """Returns the keys that another publication changed since the plan.

    Each key maps to its current revision, 0 if the key was removed.
    """
    conflicts = {}
    for change in planned:
        current = in_force.get(change.key)
        revision = current.revision if current is not None else 0
        if revision != change.replaces:
            conflicts[change.key] = revision
    return conflicts


def _tables(
    source: str, document: dict[str, Any], problems: list[Problem]
) -> list[Declared]:
    found = []
    for family, tables in document.items():
        if family not in FAMILIES:
            allowed = ", ".join(FAMILIES)
            text = f"unknown table; a declaration is one of {allowed}"
            problems.append(Problem(source, family, text))
            continue
        if not isinstance(tables, dict):
            text = f"must be a table such as [{family}.NAME]"
            problems.append(Problem(source, family, text))
            continue
        for name, value in tables.items():
            if not isinstance(value, dict):
                text = f"must be a table such as [{family}.NAME]"
                problems.append(Problem(source, f"{family}.{name}", text))
                continue
            found.append(Declared(f"{family}/{name}", value, source))
    return found


def _value_problems(declared: Declared) -> list[Problem]:
    family, _, name = declared.key.partition("/")
    try:
        match family:
            case "template":
                template.parse_template(declared.value)
            case "account":
                template.parse_account(declared.value)
            case "zone":
                template.parse_zone(name, declared.value)
    except template.DeclarationError as error:
        return [Problem(declared.source, f"{family}.{name}", str(error))]
    return []


def _differences(
    old: dict[str, Any], new: dict[str, Any], prefix: str = ""
) -> tuple[FieldChange, ...]:
    found: list[FieldChange] = []
    for name in sorted({*old, *new}):
        path = f"{prefix}{name}"
        before, after = old.get(name), new.get(name)
        if before == after:
            continue
        if isinstance(before, dict) and isinstance(after, dict):
            found.extend(_differences(before, after, f"{path}."))
            continue
        found.append(FieldChange(path, before, after))
    return tuple(found)
