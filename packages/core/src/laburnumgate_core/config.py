"""The fold of the `config` stream.

The log's order resolves conflicts between operators. The result depends on the
records alone, so every host derives the same configuration.
"""

import collections
import dataclasses
from typing import Any

from laburnumgate_core import model
from laburnumgate_core import records
from laburnumgate_core import reservation
from laburnumgate_core import template

ZONE_STATES = ("in", "out")
ENDPOINT_STATES = ("active", "draining")
# Outcomes are kept so that operators can query them later. The limit exceeds
# the number of changes in one day.
MAX_OUTCOMES = 40_000
MAX_REASON_LENGTH = 500


@dataclasses.dataclass(frozen=True)
class Versioned:
    """A value in force and its revision: the offset that set it."""

    revision: int
    value: dict[str, Any]


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The publication took effect at `offset`."""

    offset: int


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The publication had no effect.

    `conflict` is True if a key was no longer at the expected revision.
    """

    offset: int
    reason: str
    conflict: bool = False


Outcome = Accepted | Rejected


@dataclasses.dataclass(frozen=True)
class ConfigValue:
    """One key of a `ConfigState`."""

    key: str
    versioned: Versioned


@dataclasses.dataclass(frozen=True)
class ChangeOutcome:
    """One publication's outcome in a `ConfigState`, oldest first."""

    change_id: str
    outcome: Outcome


@dataclasses.dataclass(frozen=True)
class ConfigState:
    """The state of the fold at `offset`, with one value for each key."""

    offset: int
    values: tuple[ConfigValue, ...]
    outcomes: tuple[ChangeOutcome, ...]


@dataclasses.dataclass(frozen=True)
class _Effect:
    """Entries that a publication replaces; None removes an entry."""

    values: dict[str, Versioned | None]
    promises: dict[str, model.Promise | None]
    zones: dict[str, model.Zone | None]


class ConfigTable:
    """Configuration by key, with the promises and zones derived from it.

    The cost of a publication depends only on the keys that it changes: a zone
    or endpoint state validates one value, an account renders one promise, and
    a template renders the promises of its accounts. All guarantees are checked
    together only if a shape or a zone's declaration changes.
    """

    def __init__(self):
        self.offset = 0
        self.skipped_entries = 0
        self.values_by_key: dict[str, Versioned] = {}
        self.promises_by_account: dict[str, model.Promise] = {}
        self.zones_by_name: dict[str, model.Zone] = {}
        self.outcomes_by_change_id: collections.OrderedDict[str, Outcome] = (
            collections.OrderedDict()
        )
        self._accounts_by_template: dict[str, set[str]] = {}

    def apply_entry(self, entry: records.Entry) -> Outcome | None:
        """Applies one entry; returns None if it is old or malformed."""
        if entry.offset <= self.offset:
            return None
        self.offset = entry.offset
        try:
            publication = records.decode_publication(entry.data)
        except ValueError:
            self.skipped_entries += 1
            return None
        known = self.outcomes_by_change_id.get(publication.change_id)
        if known is not None:
            return known
        outcome = self._decide(entry.offset, publication)
        self._remember(publication.change_id, outcome)
        return outcome

    def state(self) -> ConfigState:
        """Returns the state of the fold for a snapshot."""
        return ConfigState(
            offset=self.offset,
            values=tuple(
                ConfigValue(key, versioned)
                for key, versioned in self.values_by_key.items()
            ),
            outcomes=tuple(
                ChangeOutcome(change_id, outcome)
                for change_id, outcome in self.outcomes_by_change_id.items()
            ),
        )

    def adopt(self, state: ConfigState) -> bool:
        """Replaces the state of the fold by a newer one.

        Returns:
          False, without a change, if the table is at the offset of `state` or
          beyond, or if `state` contains an invalid value.
        """
        if state.offset <= self.offset:
            return False
        restored = ConfigTable()
        values = {item.key: item.versioned for item in state.values}
        try:
            restored._apply_effect(restored._effect(values))
        except template.DeclarationError:
            return False
        self.offset = state.offset
        self.values_by_key = restored.values_by_key
        self.promises_by_account = restored.promises_by_account
        self.zones_by_name = restored.zones_by_name
        self._accounts_by_template = restored._accounts_by_template
        self.outcomes_by_change_id = collections.OrderedDict(
            (item.change_id, item.outcome) for item in state.outcomes
        )
        return True

    def zone_in_service(self, zone: str) -> bool:
        """Whether the zone is in service by its configured state."""
        return self._state(f"zone-state/{zone}", "in") == "in"

    def endpoint_active(self, endpoint_id: str) -> bool:
        """Whether the configured state allows new work on the endpoint."""
        key = f"endpoint-state/{endpoint_id}"
        return self._state(key, "active") == "active"

    def revision(self, key: str) -> int:
        """Returns the revision of a key, 0 if the key has no value."""
        current = self.values_by_key.get(key)
        return current.revision if current is not None else 0

    def check(self, changes: tuple[records.Change, ...]) -> str:
        """Returns why `changes` would be rejected now, or an empty string."""
        conflict = self._conflict(changes)
        if conflict:
            return conflict
        try:
            self._plan(changes, self.offset + 1)
        except template.DeclarationError as error:
            return str(error)
        return ""

    def _state(self, key: str, default: str) -> str:
        current = self.values_by_key.get(key)
        return current.value["state"] if current is not None else default

    def _decide(self, offset: int, publication: records.Publication) -> Outcome:
        conflict = self._conflict(publication.changes)
        if conflict:
            return Rejected(offset, conflict, conflict=True)
        try:
            effect = self._plan(publication.changes, offset)
        except template.DeclarationError as error:
            return Rejected(offset, str(error)[:MAX_REASON_LENGTH])
        self._apply_effect(effect)
        return Accepted(offset)

    def _conflict(self, changes: tuple[records.Change, ...]) -> str:
        for change in changes:
            current = self.revision(change.key)
            if change.replaces != current:
                return (
                    f"{change.key} is at revision {current}, "
                    f"not {change.replaces}"
                )
        return ""

    def _plan(
        self, changes: tuple[records.Change, ...], offset: int
    ) -> _Effect:
        """Checks the changes and returns their effect without applying it.

        Raises:
          DeclarationError: if a value is invalid or the guarantees cannot all
            be met together.
        """
        values: dict[str, Versioned | None] = {}
        for change in changes:
            if change.key in values:
                raise template.DeclarationError(
                    f"{change.key}: a key may be changed once"
                )
            values[change.key] = None
            if change.value is not None:
                values[change.key] = Versioned(offset, change.value)
        effect = self._effect(values)
        if self._guarantees_change(effect):
            unmet = reservation.find_unmet_guarantee(
                _merged(self.promises_by_account, effect.promises),
                _merged(self.zones_by_name, effect.zones),
            )
            if unmet:
                raise template.DeclarationError(unmet)
        return effect

    def _effect(self, values: dict[str, Versioned | None]) -> _Effect:
        """Derives the promises and zones that the values replace.

        Raises:
          DeclarationError: if a value is invalid.
        """
        zones: dict[str, model.Zone | None] = {}
        account_names: dict[str, None] = {}
        for key, versioned in values.items():
            family, _, name = key.partition("/")
            if not name:
                raise template.DeclarationError(f"{key}: a key is FAMILY/NAME")
            if versioned is not None:
                _check_value(family, name, versioned.value)
            match family:
                case "zone":
                    zones[name] = None
                    if versioned is not None:
                        zones[name] = template.parse_zone(name, versioned.value)
                case "account":
                    account_names[name] = None
                case "template":
                    for account in sorted(
                        self._accounts_by_template.get(name, ())
                    ):
                        account_names[account] = None
        promises = {name: self._render(name, values) for name in account_names}
        return _Effect(values, promises, zones)

    def _render(
        self, name: str, values: dict[str, Versioned | None]
    ) -> model.Promise | None:
        account_key = f"account/{name}"
        versioned = self._value_with(account_key, values)
        if versioned is None:
            return None
        account = template.parse_account(versioned.value)
        source = self._value_with(f"template/{account.template}", values)
        if source is None:
            raise template.DeclarationError(
                f"{account_key}: template {account.template!r} does not exist"
            )
        try:
            return template.render(
                name, template.parse_template(source.value), account
            )
        except template.DeclarationError as error:
            raise template.DeclarationError(f"{account_key}: {error}") from None

    def _value_with(
        self, key: str, values: dict[str, Versioned | None]
    ) -> Versioned | None:
        return values[key] if key in values else self.values_by_key.get(key)

    def _guarantees_change(self, effect: _Effect) -> bool:
        if effect.zones:
            return True
        for name, promise in effect.promises.items():
            before = self.promises_by_account.get(name)
            if promise is None or not promise.shapes:
                continue
            if before is None or before.shapes != promise.shapes:
                return True
            if before.zones != promise.zones:
                return True
        return False

    def _apply_effect(self, effect: _Effect) -> None:
        for key, versioned in effect.values.items():
            self._index_account(key, versioned)
            _set_or_remove(self.values_by_key, key, versioned)
        for name, promise in effect.promises.items():
            _set_or_remove(self.promises_by_account, name, promise)
        for name, zone in effect.zones.items():
            _set_or_remove(self.zones_by_name, name, zone)

    def _index_account(self, key: str, versioned: Versioned | None) -> None:
        family, _, name = key.partition("/")
        if family != "account":
            return
        before = self.values_by_key.get(key)
        if before is not None:
            template_name = before.value["template"]
            self._accounts_by_template[template_name].discard(name)
            if not self._accounts_by_template[template_name]:
                del self._accounts_by_template[template_name]
        if versioned is not None:
            template_name = versioned.value["template"]
            self._accounts_by_template.setdefault(template_name, set()).add(
                name
            )

    def _remember(self, change_id: str, outcome: Outcome) -> None:
        self.outcomes_by_change_id[change_id] = outcome
        while len(self.outcomes_by_change_id) > MAX_OUTCOMES:
            self.outcomes_by_change_id.popitem(last=False)


def _set_or_remove(target: dict, name: str, value) -> None:
    if value is None:
        target.pop(name, None)
    else:
        target[name] = value


def _merged(current: dict, replaced: dict) -> dict:
    """Returns the entries after a replacement, sorted by name.

    The order breaks ties between equally good placements of a guaranteed
    shape. It must not depend on the order of past changes, which a host that
    restored a snapshot does not know.
    """
    merged = {**current, **replaced}
    return {
        name: merged[name]
        for name in sorted(merged)
        if merged[name] is not None
    }


def _check_value(family: str, name: str, value: dict[str, Any]) -> None:
    try:
        match family:
            case "template":
                template.parse_template(value)
            case "account":
                template.parse_account(value)
            case "zone":
                template.parse_zone(name, value)
            case "zone-state":
                template.parse_state(value, ZONE_STATES)
            case "endpoint-state":
                template.parse_state(value, ENDPOINT_STATES)
            case _:
                raise template.DeclarationError("unknown family of keys")
    except template.DeclarationError as error:
        raise template.DeclarationError(f"{family}/{name}: {error}") from None
