"""Chooses endpoints for a guaranteed gang and the runs to stop for it."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses

from laburnumgate_core import model
from laburnumgate_core import placement
from laburnumgate_core import reservation

# Grace period in which runs that would lose work may end by themselves. 2 s
# leaves time for three attempts of 2 s within 9.2 s.
GRACE_MS = 2_000
# Timeout for the confirmation of a stop, after which the plan is dropped and
# other endpoints are chosen.
CONFIRM_TIMEOUT_MS = 2_000


@dataclasses.dataclass(frozen=True)
class Victim:
    """A run that may be stopped; `lost_work` is in accelerator-milliseconds."""

    job_id: str
    accelerators: int
    lost_work: float


@dataclasses.dataclass(frozen=True)
class Plan:
    """Endpoints for the guarantee and for the job, and the runs to stop."""

    parts_by_endpoint: dict[str, int]
    endpoint_ids: tuple[str, ...]
    victim_ids: tuple[str, ...]
    lost_work: float


@dataclasses.dataclass(frozen=True)
class _Candidate:
    """Parts that one endpoint can provide, and the runs to stop for them."""

    row: placement.Row
    parts: int
    cost: float
    victims: tuple[Victim, ...]


def plan(
    guarantee: reservation.Guarantee,
    spec: model.JobSpec,
    rows: Iterable[placement.Row],
    victims_on: Callable[[placement.Row], list[Victim]],
    freeing_on: Callable[[placement.Row], int],
    avoid: Collection[str],
    borrow: bool = False,
) -> Plan | None:
    """Returns the plan with the least lost work, None if there is none.

    Args:
      guarantee: the guarantee; its own reservation counts as available.
      spec: a job that fits the guaranteed shape.
      rows: endpoints that may be used.
      victims_on: returns the runs on a row that may be stopped.
      freeing_on: returns the accelerators of a row that pending stops will
        free.
      avoid: ids of endpoints that must not be used.
      borrow: whether the job may use what is reserved for others.
    """
    groups: dict[str, list[_Candidate]] = {}
    for row in rows:
        if not row.enabled or row.endpoint.endpoint_id in avoid:
            continue
        available = row.endpoint.accelerators
        if not borrow:
            endpoint_id = row.endpoint.endpoint_id
            own = guarantee.parts_by_endpoint.get(endpoint_id, 0)
            available = row.unreserved() + own * guarantee.accelerators_per_part
        candidate = _candidate(
            guarantee, spec, row, available, victims_on(row), freeing_on(row)
        )
        if candidate is None:
            continue
        name = row.endpoint.rack
        if guarantee.adjacency is model.Adjacency.ZONE:
            name = ""
        groups.setdefault(name, []).append(candidate)
    best: Plan | None = None
    for candidates in groups.values():
        found = _plan_in_group(guarantee, spec, candidates)
        if found is not None and (
            best is None or found.lost_work < best.lost_work
        ):
            best = found
    return best


def _candidate(
    guarantee: reservation.Guarantee,
    spec: model.JobSpec,
    row: placement.Row,
    available: int,
    victims: list[Victim],
    freeing: int,
) -> _Candidate | None:
    size = guarantee.accelerators_per_part
    parts = min(guarantee.parts, available // size)
    if parts <= 0:
        return None
    needed = min(parts, guarantee.needed(spec)) * size
    free = row.accelerators + freeing
    chosen = []
    cost = 0.0
    slots = row.slots
    for victim in sorted(victims, key=lambda v: (v.lost_work, v.job_id)):
        if free >= needed and slots >= needed // spec.accelerators_per_part:
            break
        chosen.append(victim)
        free += victim.accelerators
        slots += row.parts_by_job.get(victim.job_id, 0)
        cost += victim.lost_work
    if free < needed:
        parts = free // size
    if parts <= 0:
        return None
    return _Candidate(row, parts, cost, tuple(chosen))


def _plan_in_group(
    guarantee: reservation.Guarantee,
    spec: model.JobSpec,
    candidates: list[_Candidate],
) -> Plan | None:
    candidates.sort(
        key=lambda candidate: (
            candidate.row.suspect,
            candidate.cost / candidate.parts,
            candidate.row.accelerators,
            -candidate.row.endpoint.speed,
            -guarantee.parts_by_endpoint.get(
                candidate.row.endpoint.endpoint_id, 0
            ),
            candidate.row.endpoint.endpoint_id,
        )
    )
    parts_by_endpoint: dict[str, int] = {}
    endpoint_ids: list[str] = []
    victims: dict[str, Victim] = {}
    left = guarantee.parts
    per_part = guarantee.accelerators_per_part // spec.accelerators_per_part
    for candidate in candidates:
        count = min(left, candidate.parts)
        endpoint_id = candidate.row.endpoint.endpoint_id
        parts_by_endpoint[endpoint_id] = count
        left -= count
        job_parts = min(count * per_part, spec.parts - len(endpoint_ids))
        if job_parts:
            endpoint_ids.extend([endpoint_id] * job_parts)
            victims.update({v.job_id: v for v in candidate.victims})
        if not left:
            break
    if left:
        return None
    return Plan(
        parts_by_endpoint,
        tuple(endpoint_ids),
        tuple(victims),
        sum(victim.lost_work for victim in victims.values()),
    )
