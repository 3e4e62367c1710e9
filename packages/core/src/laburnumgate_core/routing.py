"""Chooses a job's availability zone at submission and when it is moved."""

from collections.abc import Iterable
import dataclasses

from laburnumgate_core import model
from laburnumgate_core import ownership
from laburnumgate_core import requests

# Time until a zone that returned to service receives its full share of jobs, so
# that the queues of all other zones are not sent there at once.
RAMP_MS = 60_000
# The own zone is preferred until its queue exceeds twice the shortest queue by
# more than this many jobs.
SPILLOVER_JOBS = 16
# An older summary is not used for free capacity.
SUMMARY_MAX_AGE_MS = 30_000


@dataclasses.dataclass(frozen=True)
class ZoneView:
    """The current state of a zone as known to one host.

    The three free amounts are None if no recent summary is known.
    `returned_for_ms` is the time since the zone returned to service, None if
    this host has not seen it return. `sent_jobs` and `sent_accelerators` count
    the jobs that this host has sent to the zone since the other figures were
    determined.
    """

    zone: model.Zone
    in_service: bool
    reachable: bool
    waiting_jobs: int
    free_accelerators: int | None = None
    largest_free_rack: int | None = None
    largest_free_endpoint: int | None = None
    returned_for_ms: int | None = None
    sent_jobs: int = 0
    sent_accelerators: int = 0

    @property
    def queue(self) -> int:
        """Waiting jobs, including those that `sent_jobs` counts."""
        return self.waiting_jobs + self.sent_jobs


@dataclasses.dataclass(frozen=True)
class NoZone:
    """No zone accepts the job now; `full` if only full queues prevent it."""

    reason: str
    full: bool = False


def choose(
    job_id: str,
    spec: model.JobSpec,
    allowed: tuple[str, ...],
    views: Iterable[ZoneView],
    own_zone: str,
    max_waiting: int,
) -> str | NoZone:
    """Returns the zone that should place a job.

    Args:
      job_id: breaks ties between zones, so that jobs spread over them.
      spec: what the job needs.
      allowed: zones of the account's promise; empty allows all.
      views: every declared zone.
      own_zone: the calling host's zone, preferred unless its queue is much
        longer.
      max_waiting: queue length at which a zone accepts no more jobs.
    """
    fitting = [view for view in views if _can_fit(view, spec, allowed)]
    if not fitting:
        return NoZone("no zone can ever hold the job")
    usable = [view for view in fitting if view.in_service and view.reachable]
    if not usable:
        return NoZone("no zone that can hold the job is in service")
    open_views = [view for view in usable if view.queue < max_waiting]
    if not open_views:
        return NoZone(
            f"{max_waiting} jobs wait in each zone that can hold the job",
            full=True,
        )
    admitted = [view for view in open_views if _ramp_admits(view, job_id)]
    candidates = admitted or open_views
    return _best(job_id, spec, candidates, own_zone).zone.name


def moving_host(zone: str, ready_ids: Iterable[str]) -> str | None:
    """Returns the host of another zone that moves a zone's queued jobs.

    The choice only avoids duplicate work. If two hosts move the same job, the
    log's order decides.
    """
    return ownership.placing_host(f"move/{zone}", ready_ids)


def _best(
    job_id: str,
    spec: model.JobSpec,
    candidates: list[ZoneView],
    own_zone: str,
) -> ZoneView:
    startable = [view for view in candidates if _can_start(view, spec)]
    pool = startable or candidates
    shortest = min(view.queue for view in pool)
    limit = 2 * shortest + SPILLOVER_JOBS
    within_limit = [view for view in pool if view.queue <= limit]
    for view in within_limit:
        if view.zone.name == own_zone:
            return view
    return max(
        within_limit, key=lambda view: ownership.weight(job_id, view.zone.name)
    )


def _can_fit(
    view: ZoneView, spec: model.JobSpec, allowed: tuple[str, ...]
) -> bool:
    if allowed and view.zone.name not in allowed:
        return False
    return requests.fits_zone(spec, view.zone)


def _can_start(view: ZoneView, spec: model.JobSpec) -> bool:
    """Whether the newest summary has free capacity and no waiting jobs."""
    if view.free_accelerators is None or view.waiting_jobs:
        return False
    if view.largest_free_endpoint < spec.accelerators_per_part:
        return False
    needed = spec.accelerators + view.sent_accelerators
    if spec.adjacency is model.Adjacency.RACK:
        return view.largest_free_rack >= needed
    return view.free_accelerators >= needed


def _ramp_admits(view: ZoneView, job_id: str) -> bool:
    """Admits a growing share of jobs to a zone that returned to service."""
    if view.returned_for_ms is None or view.returned_for_ms >= RAMP_MS:
        return True
    key = f"ramp/{view.zone.name}"
    share = ownership.weight(key, job_id) % RAMP_MS
    return share < view.returned_for_ms
