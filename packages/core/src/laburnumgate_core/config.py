"""The fold of the `config` stream.

The log's order decides between operators, and the decision depends on the
records alone, so every host comes to the same configuration.
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
# Outcomes are kept for operators who ask late: more than one day's changes.
MAX_OUTCOMES = 40_000


@dataclasses.dataclass(frozen=True)
class Versioned:
    """A value in force and its revision: the offset that set it."""

    revision: int
    value: dict[str, Any]


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The publication is in force from `offset` on."""

    offset: int


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The publication was ignored; `conflict` marks a lost race."""

    offset: int
    reason: str
    conflict: bool = False


Outcome = Accepted | Rejected


class ConfigTable:
    """Configuration by key, with what follows from it."""

    def __init__(self):
        self.offset = 0
        self.skipped_entries = 0
        self.values_by_key: dict[str, Versioned] = {}
        self.promises_by_account: dict[str, model.Promise] = {}
        self.zones_by_name: dict[str, model.Zone] = {}
        self.outcomes_by_change_id: collections.OrderedDict[str, Outcome] = (
            collections.OrderedDict()
        )

    def apply_entry(self, entry: records.Entry) -> Outcome | None:
        """Applies one append; returns None if it is old or malformed."""
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

    def zone_in_service(self, zone: str) -> bool:
        """Whether operators have the zone in service."""
        return self._state(f"zone-state/{zone}", "in") == "in"

    def endpoint_active(self, endpoint_id: str) -> bool:
        """Whether operators allow new work on the endpoint."""
        key = f"endpoint-state/{endpoint_id}"
        return self._state(key, "active") == "active"

    def revision(self, key: str) -> int:
        """Returns the revision of a key in force, 0 if it has none."""
        current = self.values_by_key.get(key)
        return current.revision if current is not None else 0

    def check(self, changes: tuple[records.Change, ...]) -> str:
        """Returns why `changes` would be refused now, or an empty string."""
        conflict = self._conflict(changes)
        if conflict:
            return conflict
        try:
            self._derive(self._with(changes, self.offset + 1), changes)
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
        values = self._with(publication.changes, offset)
        try:
            promises, zones = self._derive(values, publication.changes)
        except template.DeclarationError as error:
            return Rejected(offset, str(error))
        self.values_by_key = values
        self.promises_by_account = promises
        self.zones_by_name = zones
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

    def _with(
        self, changes: tuple[records.Change, ...], offset: int
    ) -> dict[str, Versioned]:
        values = dict(self.values_by_key)
        for change in changes:
            if change.value is None:
                values.pop(change.key, None)
                continue
            values[change.key] = Versioned(offset, change.value)
        return values

    def _derive(
        self,
        values: dict[str, Versioned],
        changes: tuple[records.Change, ...],
    ) -> tuple[dict[str, model.Promise], dict[str, model.Zone]]:
        """Checks the values and returns the promises and zones in them.

        Raises:
          DeclarationError: if a value is wrong or the guarantees cannot all
            be met together.
        """
        declared = False
        for change in changes:
            family, _, name = change.key.partition("/")
            if not name:
                raise template.DeclarationError(
                    f"{change.key}: a key is FAMILY/NAME"
                )
            declared |= family in ("template", "account", "zone")
            if change.value is not None:
                _check_value(family, name, change.value)
        if not declared:
            return self.promises_by_account, self.zones_by_name
        zones = {}
        for key, versioned in values.items():
            family, _, name = key.partition("/")
            if family == "zone":
                zones[name] = template.parse_zone(name, versioned.value)
        promises = _render_accounts(values)
        unmet = reservation.unmet_declared(promises, zones)
        if unmet:
            raise template.DeclarationError(unmet)
        return promises, zones

    def _remember(self, change_id: str, outcome: Outcome) -> None:
        self.outcomes_by_change_id[change_id] = outcome
        while len(self.outcomes_by_change_id) > MAX_OUTCOMES:
            self.outcomes_by_change_id.popitem(last=False)


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


def _render_accounts(
    values: dict[str, Versioned],
) -> dict[str, model.Promise]:
    promises = {}
    for key, versioned in values.items():
        family, _, name = key.partition("/")
        if family != "account":
            continue
        account = template.parse_account(versioned.value)
        source = values.get(f"template/{account.template}")
        if source is None:
            raise template.DeclarationError(
                f"{key}: template {account.template!r} does not exist"
            )
        try:
            promises[name] = template.render(
                name, template.parse_template(source.value), account
            )
        except template.DeclarationError as error:
            raise template.DeclarationError(f"{key}: {error}") from None
    return promises
