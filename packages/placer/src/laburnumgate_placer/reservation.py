"""Reserves endpoints for a unit that does not fit yet, with backfilling.

Without a reservation small units take all capacity that becomes free, and a
large gang starves because its endpoints are never free at the same time. Other
units may use a reserved endpoint for work that is expected to end before the
reservation begins.
"""

import dataclasses

from laburnumgate_placer import endpoint_table
from laburnumgate_placer import model
from laburnumgate_placer import placement
from laburnumgate_placer import progress
from laburnumgate_placer import tables as tables_module

# How long the expected ends of running work are used before they are computed
# again from the latest reports.
FORECAST_VALID_MS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Endpoints reserved for a unit from its expected start.

    Attributes:
      start_ms: monotonic time at which the unit is expected to start.
      endpoint_ids: endpoints on which it is expected to run.
    """

    start_ms: float
    endpoint_ids: frozenset[str]


class Forecast:
    """Expected ends of all running work, in order of time."""

    def __init__(self, tables: tables_module.Tables):
        self._tables = tables
        self._computed_ms: int | None = None
        self._ends: list[tuple[float, progress.Member]] = []
        self._added = False

    def ends(self, now_ms: int) -> list[tuple[float, progress.Member]]:
        """Returns the expected end and the member of all running work.

        Members that have terminated since are included.
        """
        computed_ms = self._computed_ms
        if computed_ms is None or now_ms - computed_ms > FORECAST_VALID_MS:
            self._compute(now_ms)
        if self._added:
            self._ends.sort(key=_end_ms)
            self._added = False
        return self._ends

    def add(self, run: progress.Run, now_ms: int) -> None:
        """Adds a run that was assigned since the ends were computed."""
        self._append(run, now_ms)
        self._added = True

    def _compute(self, now_ms: int) -> None:
        self._computed_ms = now_ms
        self._ends = []
        seen: set[int] = set()
        for state in self._tables.endpoints.by_id.values():
            for member in state.members.values():
                if id(member.run) in seen:
                    continue
                seen.add(id(member.run))
                self._append(member.run, now_ms)
        self._added = True

    def _append(self, run: progress.Run, now_ms: int) -> None:
        end_ms = now_ms + _remaining_ms(self._tables, run, now_ms)
        for member in run.members:
            if not member.terminated:
                self._ends.append((end_ms, member))


def _end_ms(end: tuple[float, progress.Member]) -> float:
    return end[0]


def plan(
    tables: tables_module.Tables,
    forecast: Forecast,
    unit: progress.Unit,
    endpoints: list[endpoint_table.EndpointState],
    requirement: placement.Requirement,
    now_ms: int,
) -> Reservation | None:
    """Finds the earliest time at which the unit is expected to fit.

    Searches the expected ends of running work for the first one after which
    the unit fits. Returns None if it does not fit even after the last one.
    """
    free_by_id = {s.info.endpoint_id: s.free() for s in endpoints}
    ends = [
        (end_ms, member)
        for end_ms, member in forecast.ends(now_ms)
        if member.endpoint_id in free_by_id and not member.terminated
    ]
    low, high = 0, len(ends)
    if not ends or not placement.fits(
        unit, endpoints, _released(free_by_id, ends), requirement
    ):
        return None
    # Invariant: the unit does not fit after the first `low` ends, or `low` is
    # 0, and it fits after the first `high` ends.
    while high - low > 1:
        middle = (low + high) // 2
        released = _released(free_by_id, ends[low:middle])
        if placement.fits(unit, endpoints, released, requirement):
            high = middle
        else:
            low, free_by_id = middle, released
    released = _released(free_by_id, ends[low:high])
    chosen = placement.choose(
        unit, endpoints, released, tables.durations.speeds, requirement
    )
    if chosen is None:
        return None
    start_ms = max(ends[high - 1][0], float(now_ms))
    return Reservation(start_ms, frozenset(chosen))


def _released(
    free_by_id: dict[str, model.Resources],
    ends: list[tuple[float, progress.Member]],
) -> dict[str, model.Resources]:
    """Returns the free capacity after the given ends."""
    released = dict(free_by_id)
    for _, member in ends:
        endpoint_id = member.endpoint_id
        resources = member.run.unit.step.charged
        released[endpoint_id] = released[endpoint_id].plus(resources)
    return released


def _remaining_ms(
    tables: tables_module.Tables, run: progress.Run, now_ms: int
) -> float:
    if run.phase == progress.Phase.STOPPING:
        return float(tables.bounds.stop_ms)
    if run.unit.step.long_running:
        return float("inf")
    return tables.durations.remaining_ms(run, now_ms)
