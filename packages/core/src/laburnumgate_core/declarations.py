"""Declaration files: parsing, comparison with what is in force, changes.

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
    """One thing wrong in a file. `field` is a dotted name or empty."""

    source: str
    field: str
    text: str

    def __str__(self) -> str:
        """Returns one line that names file, field and fault."""
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
    """What a change does to a key."""

    ADD = "add"
    CHANGE = "change"
    REMOVE = "remove"


@dataclasses.dataclass(frozen=True)
class FieldChange:
    """One differing field; None stands for a field that is absent."""

    field: str
    old: Any
    new: Any


@dataclasses.dataclass(frozen=True)
class PlannedChange:
    """A change of one key against the revision it was compared with."""

    key: str
    action: Action
    replaces: int
    value: dict[str, Any] | None
    fields: tuple[FieldChange, ...]


@dataclasses.dataclass(frozen=True)
class Plan:
    """The difference between declarations and the values in force.

    `undeclared` are keys in force that no file declares; a plan removes them
    only if it was made with `prune`.
    """

    offset: int
    changes: tuple[PlannedChange, ...]
    unchanged: tuple[str, ...]
    undeclared: tuple[str, ...]


def parse(texts_by_source: Mapping[str, str]) -> Declarations:
    """Parses declaration files and collects every problem in them.

    Args:
      texts_by_source: the text of each file by the name shown to people.
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
    """Returns every problem, including what only shows all values together.

    The values are checked as if nothing else was in force, so the files have
    to declare every template and zone that their accounts rely on.
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
    """Returns the changes that make the declared values take effect.

    Args:
      declarations: what the files say.
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
    """Returns the changes of a plan as a publication carries them."""
    return tuple(
        records.Change(change.key, change.value, change.replaces)
        for change in plan.changes
    )


def moved_keys(
    planned: Iterable[PlannedChange], in_force: Mapping[str, config.Versioned]
) -> dict[str, int]:
    """Returns the keys that another publication changed since the plan.

    The value of each key is its revision now, 0 if the key is gone.
    """
    moved = {}
    for change in planned:
        current = in_force.get(change.key)
        revision = current.revision if current is not None else 0
        if revision != change.replaces:
            moved[change.key] = revision
    return moved


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
