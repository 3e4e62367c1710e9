"""Chooses a request's zone from the capacity summaries of the zones."""

from collections.abc import Collection
import dataclasses

from laburnumgate_core import model


@dataclasses.dataclass(frozen=True)
class FreeGuarantee:
    """Capacity of one guaranteed gang that no job occupies."""

    account: str
    parts: int
    accelerators_per_part: int


@dataclasses.dataclass(frozen=True)
class Summary:
    """Free capacity of a zone, as published to other hosts."""

    free_accelerators: int
    largest_free_rack: int
    waiting_jobs: int
    largest_free_endpoint: int = 0
    waiting_accelerators: int = 0
    accelerators: int = 0
    # Accelerators of the rack with the most capacity outside all guarantees.
    largest_unreserved: int = 0
    speed: float = 1.0
    in_service: bool = True
    free_guarantees: tuple[FreeGuarantee, ...] = ()


def choose_zone(
    account: str,
    spec: model.JobSpec,
    zones: Collection[str],
    summaries_by_zone: dict[str, Summary],
) -> str:
    """Returns the zone that should place a request, empty if there is none.

    A zone that can start the job immediately is preferred, then one that can
    ever hold it, then the smallest backlog relative to capacity and speed.

    Args:
      account: the client account.
      spec: the job.
      zones: zones that the account's promise allows, all if empty.
      summaries_by_zone: the zones' newest summaries.
    """
    startable = choose_startable_zone(account, spec, zones, summaries_by_zone)
    if startable:
        return startable
    best = ""
    best_key = None
    for zone, summary in sorted(summaries_by_zone.items()):
        if not summary.in_service or (zones and zone not in zones):
            continue
        capacity = max(1, summary.accelerators) * summary.speed
        backlog = summary.waiting_accelerators - summary.free_accelerators
        key = (
            not _can_ever_fit(spec, summary),
            backlog / capacity,
            -summary.speed,
        )
        if best_key is None or key < best_key:
            best = zone
            best_key = key
    return best


def choose_startable_zone(
    account: str,
    spec: model.JobSpec,
    zones: Collection[str],
    summaries_by_zone: dict[str, Summary],
) -> str:
    """Returns the best zone that can start the job now, empty if none can.

    A zone can start the job if a guaranteed gang of the account is free there,
    or if no jobs wait there and the gang fits.
    """
    best = ""
    best_key = None
    for zone, summary in sorted(summaries_by_zone.items()):
        if not summary.in_service or (zones and zone not in zones):
            continue
        guaranteed = any(
            guarantee.account == account and _fits_guarantee(spec, guarantee)
            for guarantee in summary.free_guarantees
        )
        free = (
            summary.largest_free_rack
            if spec.adjacency is model.Adjacency.RACK
            else summary.free_accelerators
        )
        fits = (
            not summary.waiting_jobs
            and free >= spec.accelerators
            and summary.largest_free_endpoint >= spec.accelerators_per_part
            and _can_ever_fit(spec, summary)
        )
        if not guaranteed and not fits:
            continue
        # A job without checkpoints loses its work in a reclaim, so zones that
        # can hold it on unreserved capacity come first.
        at_risk = (
            not spec.checkpointable
            and not guaranteed
            and summary.largest_unreserved < spec.accelerators
        )
        key = (not fits, not guaranteed, at_risk, -summary.speed, -free)
        if best_key is None or key < best_key:
            best = zone
            best_key = key
    return best


def after_placement(
    summary: Summary, account: str, accelerators: int
) -> Summary:
    """Returns the zone's summary after it has accepted a job."""
    guarantees = list(summary.free_guarantees)
    for guarantee in guarantees:
        if guarantee.account == account:
            guarantees.remove(guarantee)
            break
    return dataclasses.replace(
        summary,
        free_accelerators=summary.free_accelerators - accelerators,
        largest_free_rack=summary.largest_free_rack - accelerators,
        free_guarantees=tuple(guarantees),
    )


def _can_ever_fit(spec: model.JobSpec, summary: Summary) -> bool:
    if spec.preemptible:
        return summary.accelerators >= spec.accelerators
    return summary.largest_unreserved >= spec.accelerators


def _fits_guarantee(spec: model.JobSpec, guarantee: FreeGuarantee) -> bool:
    if not spec.accelerators_per_part:
        return False
    per_part = guarantee.accelerators_per_part // spec.accelerators_per_part
    return per_part * guarantee.parts >= spec.parts
