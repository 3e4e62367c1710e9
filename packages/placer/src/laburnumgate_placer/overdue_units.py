"""Limits the overdue units of a pass to their part of the pool.

See `overload.overdue` for the reason.
"""

import collections
import dataclasses
import math

from laburnumgate_placer import ordering
from laburnumgate_placer import progress
from laburnumgate_placer import tables as tables_module
from laburnumgate_placer.overload import overdue
from laburnumgate_placer.overload import preemption


def limit(
    tables: tables_module.Tables, waiting: list[ordering.WaitingStep]
) -> list[ordering.WaitingStep]:
    """Defers overdue units beyond the capacity that they may take.

    Returns the steps with the deferred ones last, as they are worth nothing to
    their callers any more. A step of which only some units are deferred is
    returned as two.
    """
    total_by_service, used_by_service = _cores(tables)
    kept = []
    deferred = []
    for step in waiting:
        if step.rank.guaranteed or not step.rank.overdue:
            kept.append(step)
            continue
        unit = step.units[0]
        service = tables.queue_of(unit.entry.job).service
        cores = unit.size * preemption.cores(unit.step.room)
        used = used_by_service[service]
        count = overdue.count_preceding(
            len(step.units), cores, used, total_by_service[service]
        )
        if count:
            kept.append(dataclasses.replace(step, units=step.units[:count]))
        if count == len(step.units):
            used_by_service[service] = used + count * cores
            continue
        # Smaller units must not pass one that is too large for what is left,
        # or it would never start.
        used_by_service[service] = math.inf
        rank = dataclasses.replace(step.rank, deferred=True)
        deferred.append(
            dataclasses.replace(step, rank=rank, units=step.units[count:])
        )
    return kept + deferred


def mark(units: tuple[progress.Unit, ...]) -> None:
    """Marks the runs that were assigned before work that is worth more."""
    for unit in units:
        if unit.run is not None:
            unit.run.overdue = True


def _cores(
    tables: tables_module.Tables,
) -> tuple[dict[str, float], dict[str, float]]:
    """Returns the cores of each service, and those that overdue runs use.

    Accelerators are converted to cores.
    """
    total_by_service: dict[str, float] = collections.defaultdict(float)
    used_by_service: dict[str, float] = collections.defaultdict(float)
    counted: set[int] = set()
    for state in tables.endpoints.by_id.values():
        if state.ended or not state.listed:
            continue
        service = state.info.service
        total_by_service[service] += preemption.cores(state.info.capacity)
        for member in state.members.values():
            run = member.run
            if not run.overdue or id(run) in counted:
                continue
            counted.add(id(run))
            cores = run.unit.size * preemption.cores(run.unit.step.room)
            used_by_service[service] += cores
    return total_by_service, used_by_service
