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
CONFIRM_MS = 2_000


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
class _Offer:
    """Parts that one endpoint can provide, and the runs to stop for them."""

    row: placement.Row
    parts: int
    cost: float
    victims: tuple[Victim, ...]


def plan(
    slot: reservation.Slot,
    spec: model.JobSpec,
    rows: Iterable[placement.Row],
    victims_on: Callable[[placement.Row], list[Victim]],
    freeing_on: Callable[[placement.Row], int],
    avoid: Collection[str],
    borrow: bool = False,
) -> Plan | None:
    """Returns the plan with the least lost work, None if there is none.

    Args:
      slot: the guarantee; its own reservation counts as available.
      spec: a job that fits the guaranteed shape.
      rows: endpoints that may be used.
      victims_on: returns the runs on a row that may be stopped.
      freeing_on: returns the accelerators of a row that pending stops will
        free.
      avoid: ids of endpoints that must not be used.
      borrow: whether the job may use what is reserved for others.
    """
    groups: dict[str, list[_Offer]] = {}
    for row in rows:
        if not row.enabled or row.endpoint.endpoint_id in avoid:
            continue
        available = row.endpoint.accelerators
        if not borrow:
            endpoint_id = row.endpoint.endpoint_id
            own = slot.parts_by_endpoint.get(endpoint_id, 0)
            available = row.unreserved() + own * slot.accelerators_per_part
        offer = _offer(
            slot, spec, row, available, victims_on(row), freeing_on(row)
        )
        if offer is None:
            continue
        name = row.endpoint.rack
        if slot.adjacency is model.Adjacency.ZONE:
            name = ""
        groups.setdefault(name, []).append(offer)
    best: Plan | None = None
    for offers in groups.values():
        found = _plan_in(slot, spec, offers)
        if found is not None and (
            best is None or found.lost_work < best.lost_work
        ):
            best = found
    return best


def _offer(
    slot: reservation.Slot,
    spec: model.JobSpec,
    row: placement.Row,
    available: int,
    victims: list[Victim],
    freeing: int,
) -> _Offer | None:
    size = slot.accelerators_per_part
    parts = min(slot.parts, available // size)
    if parts <= 0:
        return None
    wanted = min(parts, slot.needed(spec)) * size
    free = row.accelerators + freeing
    chosen = []
    cost = 0.0
    slots = row.slots
    for victim in sorted(victims, key=lambda v: (v.lost_work, v.job_id)):
        if free >= wanted and slots >= wanted // spec.accelerators_per_part:
            break
        chosen.append(victim)
        free += victim.accelerators
        slots += row.parts_by_job.get(victim.job_id, 0)
        cost += victim.lost_work
    if free < wanted:
        parts = free // size
    if parts <= 0:
        return None
    return _Offer(row, parts, cost, tuple(chosen))


def _plan_in(
    slot: reservation.Slot, spec: model.JobSpec, offers: list[_Offer]
) -> Plan | None:
    offers.sort(
        key=lambda offer: (
            offer.row.suspect,
            offer.cost / offer.parts,
            offer.row.accelerators,
            -offer.row.endpoint.speed,
            -slot.parts_by_endpoint.get(offer.row.endpoint.endpoint_id, 0),
            offer.row.endpoint.endpoint_id,
        )
    )
    parts_by_endpoint: dict[str, int] = {}
    endpoint_ids: list[str] = []
    victims: dict[str, Victim] = {}
    left = slot.parts
    per_part = slot.accelerators_per_part // spec.accelerators_per_part
    for offer in offers:
        count = min(left, offer.parts)
        endpoint_id = offer.row.endpoint.endpoint_id
        parts_by_endpoint[endpoint_id] = count
        left -= count
        job_parts = min(count * per_part, spec.parts - len(endpoint_ids))
        if job_parts:
            endpoint_ids.extend([endpoint_id] * job_parts)
            victims.update({v.job_id: v for v in offer.victims})
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
