"""State dump of a host for operators."""

import dataclasses

from laburnumgate_core import membership
from laburnumgate_core import stops

from laburnumgate_host import host as host_module


@dataclasses.dataclass(frozen=True)
class RunDump:
    """A run that this host schedules or monitors."""

    job_id: str
    run: int
    phase: str
    parts: dict[str, str]
    endpoints: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Dump:
    """State of the daemon, its peers, zones and runs."""

    host_id: str
    zone: str
    state: str
    places: bool
    recovering: bool
    starts_stopped: str
    config_offset: int
    jobs_offset: int
    log_reachable: bool
    unsent_records: int
    open_requests: int
    members: tuple[membership.Member, ...]
    alive: tuple[str, ...]
    lost_endpoints: tuple[str, ...]
    zones: tuple[membership.ZoneSummary, ...]
    stops: tuple[stops.ZoneStop, ...]
    runs: tuple[RunDump, ...]


def dump(host: host_module.Host) -> Dump:
    """Builds the state dump of a host."""
    runs = tuple(
        RunDump(
            job_id=job_id,
            run=run.run,
            phase=run.phase,
            parts={part.task_id: part.state for part in run.parts},
            endpoints=run.endpoint_ids,
        )
        for job_id, run in host.scheduler.runs.runs_by_id.items()
    )
    alive = host.members.alive(host.clock.now_ms())
    return Dump(
        host_id=host.settings.host.host_id,
        zone=host.settings.host.zone,
        state=host.state,
        places=host.scheduler.active,
        recovering=host.scheduler.recovering,
        starts_stopped=host.starts_stopped,
        config_offset=host.config.offset,
        jobs_offset=host.jobs.offset,
        log_reachable=host.journal.reachable,
        unsent_records=len(host.journal),
        open_requests=host.open_requests,
        members=tuple(host.members.all()),
        alive=tuple(sorted(member.host_id for member in alive)),
        lost_endpoints=tuple(sorted(host.endpoint_watcher.lost_ids)),
        zones=tuple(host.members.summaries_by_zone.values()),
        stops=tuple(host.stops.all()),
        runs=runs,
    )
