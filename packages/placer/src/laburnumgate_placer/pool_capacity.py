"""Capacity of the listed endpoints, by service."""

import collections
from collections.abc import Iterable

from laburnumgate_placer import endpoint_table
from laburnumgate_placer import model

# How long the capacity is used before it is computed again. The live list
# changes at most once in 1.5 s for each endpoint.
VALID_MS = 1_000

_NONE = model.Resources()


class PoolCapacity:
    """Capacity of the pool, in use or not.

    Attributes:
      changes: how often the capacity has changed.
    """

    def __init__(self):
        self.changes = 0
        self._computed_ms: int | None = None
        self._endpoints = 0
        # Few endpoints differ in capacity from all others.
        self._count_by_capacity: dict[str, dict[model.Resources, int]] = {}
        self._by_service: dict[str, model.Resources] = {}
        self._total = _NONE
        self._slots_by_task: dict[tuple[str, model.Resources], int] = {}

    def refresh(
        self, endpoints: endpoint_table.EndpointTable, now_ms: int
    ) -> None:
        """Computes the capacity again if it is old or endpoints were added."""
        count = len(endpoints.by_id)
        if (
            self._computed_ms is not None
            and now_ms - self._computed_ms < VALID_MS
            and count == self._endpoints
        ):
            return
        self._computed_ms = now_ms
        self._endpoints = count
        self._update(endpoints.by_id.values())

    def total(self) -> model.Resources:
        """Returns the capacity of all services together."""
        return self._total

    def services(self) -> list[str]:
        """Returns the services that have endpoints."""
        return list(self._by_service)

    def of(self, service: str) -> model.Resources:
        """Returns the capacity of a service."""
        return self._by_service.get(service, _NONE)

    def slots(self, service: str, task: model.Resources) -> int:
        """Returns how many tasks of a size a service could run at once."""
        key = (service, task)
        found = self._slots_by_task.get(key)
        if found is None:
            counts = self._count_by_capacity.get(service, {})
            found = sum(
                count * capacity.count_fitting(task)
                for capacity, count in counts.items()
            )
            self._slots_by_task[key] = found
        return found

    def _update(self, states: Iterable[endpoint_table.EndpointState]) -> None:
        counts: dict[str, dict[model.Resources, int]] = {}
        for state in states:
            if not state.listed or state.ended:
                continue
            of_service = counts.setdefault(
                state.info.service, collections.Counter()
            )
            of_service[state.info.capacity] += 1
        if counts == self._count_by_capacity:
            return
        self.changes += 1
        self._count_by_capacity = counts
        self._slots_by_task.clear()
        self._by_service = {}
        self._total = _NONE
        for service, of_service in counts.items():
            found = _NONE
            for capacity, count in of_service.items():
                found = found.plus(capacity, count)
            self._by_service[service] = found
            self._total = self._total.plus(found)
