"""Finds the backfill reservation of a gang: when and where it will fit."""

from collections.abc import Iterable
import dataclasses

from laburnumgate_core import model
from laburnumgate_core import placement


@dataclasses.dataclass(frozen=True)
class Shadow:
    """Backfill reservation: endpoints kept for a waiting gang.

    Other jobs may use them only if they are expected to end by `at_ms`, the
    shadow time.
    """

    at_ms: int
    endpoint_ids: frozenset[str]


def find(
    spec: model.JobSpec,
    rows: Iterable[placement.Row],
    ends_by_job: dict[str, int],
    now_ms: int,
) -> Shadow | None:
    """Returns the earliest reservation for a gang, None if there is none.

    Args:
      spec: the gang, which does not fit now.
      rows: the zone's endpoints.
      ends_by_job: expected end of each running job in ms.
      now_ms: the current time.
    """
    size = max(1, spec.accelerators_per_part)
    groups: dict[str, list[placement.Row]] = {}
    for row in rows:
        if not row.enabled:
            continue
        name = row.endpoint.rack
        if spec.adjacency is model.Adjacency.ZONE:
            name = ""
        groups.setdefault(name, []).append(row)
    best: Shadow | None = None
    for group in groups.values():
        found = _find_in_group(spec.parts, size, group, ends_by_job, now_ms)
        if found is None:
            continue
        if best is None or found.at_ms < best.at_ms:
            best = found
    return best


def _find_in_group(
    parts: int,
    size: int,
    rows: list[placement.Row],
    ends_by_job: dict[str, int],
    now_ms: int,
) -> Shadow | None:
    """Chooses the endpoints that are expected to be free earliest."""
    availability: list[tuple[int, str, int]] = []
    for row in rows:
        limit = row.endpoint.accelerators
        availability.extend(
            _availability(row, limit, size, ends_by_job, now_ms)
        )
    availability.sort()
    chosen: set[str] = set()
    left = parts
    for at_ms, endpoint_id, count in availability:
        chosen.add(endpoint_id)
        left -= count
        if left <= 0:
            return Shadow(at_ms, frozenset(chosen))
    return None


def _availability(
    row: placement.Row,
    limit: int,
    size: int,
    ends_by_job: dict[str, int],
    now_ms: int,
) -> list[tuple[int, str, int]]:
    """Returns the times at which more parts fit on a row, and how many more."""
    endpoint_id = row.endpoint.endpoint_id
    availability = []
    free = row.accelerators
    counted = max(0, free) // size
    if counted:
        availability.append((now_ms, endpoint_id, counted))
    ends = sorted(
        (ends_by_job.get(job_id, now_ms), job_id) for job_id in row.parts_by_job
    )
    for end_ms, job_id in ends:
        free += row.accelerators_by_job.get(job_id, 0)
        fitting = max(0, min(free, limit)) // size
        if fitting > counted:
            availability.append((end_ms, endpoint_id, fitting - counted))
            counted = fitting
    return availability
