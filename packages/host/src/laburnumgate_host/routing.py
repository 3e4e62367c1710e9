"""Routes submissions to zones and moves jobs out of unavailable zones."""

import asyncio
from collections.abc import Callable
import logging

from laburnumgate_core import capacity
from laburnumgate_core import clock
from laburnumgate_core import config
from laburnumgate_core import jobs
from laburnumgate_core import membership
from laburnumgate_core import model
from laburnumgate_core import records
from laburnumgate_core import routing
from laburnumgate_core import stops

from laburnumgate_host import events

_LOGGER = logging.getLogger(__name__)
COUNT_INTERVAL_MS = 1_000
# Limit on moves per pass; a full queue of a zone is moved in under a minute.
MAX_MOVES_PER_PASS = 200
# How long all hosts of a zone must be unreachable before its queued jobs are
# moved. Longer than the suspicion timeout of a host, since a move is not undone
# when the hosts are reachable again.
ZONE_LOST_AFTER_MS = 10_000


class Load:
    """Waiting jobs by zone and by client account, recounted each second."""

    def __init__(self, table: jobs.JobTable):
        self.waiting_by_zone: dict[str, int] = {}
        self.waiting_by_account: dict[str, int] = {}
        self.sent_by_zone: dict[str, list[model.JobSpec]] = {}
        self._jobs = table

    def count(self, zones: list[str]) -> None:
        """Recounts the queued jobs of the zones."""
        by_zone: dict[str, int] = {}
        by_account: dict[str, int] = {}
        for zone in zones:
            for job_id in self._jobs.open_ids(zone):
                job = self._jobs.get(job_id)
                if job is None or job.state is not jobs.JobState.QUEUED:
                    continue
                by_zone[zone] = by_zone.get(zone, 0) + 1
                by_account[job.account] = by_account.get(job.account, 0) + 1
        self.waiting_by_zone = by_zone
        self.waiting_by_account = by_account
        self.sent_by_zone = {}

    def add(self, zone: str, account: str, spec: model.JobSpec) -> None:
        """Adds a job that was submitted here since the last count."""
        self.sent_by_zone.setdefault(zone, []).append(spec)
        waiting = self.waiting_by_account.get(account, 0)
        self.waiting_by_account[account] = waiting + 1


class Router:
    """Applies `core.routing` to this host's view of the zones."""

    def __init__(
        self,
        own_zone: str,
        host_id: str,
        max_waiting: int,
        table: jobs.JobTable,
        config_table: config.ConfigTable,
        members: membership.MemberTable,
        stop_table: stops.StopTable,
        time: clock.Clock,
    ):
        self.load = Load(table)
        self._own_zone = own_zone
        self._host_id = host_id
        self._max_waiting = max_waiting
        self._jobs = table
        self._config = config_table
        self._members = members
        self._stops = stop_table
        self._clock = time
        self._out_of_service_zones: set[str] = set()
        self._returned_ms_by_zone: dict[str, int] = {}
        self._unreachable_since_ms: dict[str, int] = {}

    def choose(
        self, job_id: str, spec: model.JobSpec, promise: model.Promise
    ) -> str | routing.NoZone:
        """Returns the zone for a new job, or why there is none."""
        return routing.choose(
            job_id,
            spec,
            promise.zones,
            self.views(),
            self._own_zone,
            self._max_waiting,
        )

    def views(self) -> list[routing.ZoneView]:
        """Returns this host's view of every declared zone."""
        return [self._view(z) for z in self._config.zones_by_name.values()]

    def capacities(self) -> dict[str, capacity.Summary]:
        """Returns the capacity of the other zones that are reachable now."""
        now_ms = self._clock.now_ms()
        summaries = {}
        for zone, summary in self._members.summaries_by_zone.items():
            if zone == self._own_zone or not self._reachable(zone):
                continue
            if now_ms - summary.as_of_ms > routing.SUMMARY_MAX_AGE_MS:
                continue
            summaries[zone] = capacity.Summary(
                free_accelerators=summary.free_accelerators,
                largest_free_rack=summary.largest_free_rack,
                waiting_jobs=summary.waiting_jobs,
                largest_free_endpoint=summary.largest_free_endpoint,
                waiting_accelerators=summary.waiting_accelerators,
                accelerators=summary.accelerators,
                largest_unreserved=summary.largest_unreserved,
                speed=summary.speed,
                in_service=self.in_service(zone),
            )
        return summaries

    def in_service(self, zone: str) -> bool:
        """Whether neither the configuration nor a direct stop excludes it."""
        if self._stops.is_stopped(zone):
            return False
        return self._config.zone_in_service(zone)

    async def run(self, append: Callable[[records.JobRecord], None]) -> None:
        """Recounts waiting jobs and moves jobs until cancelled."""
        while True:
            zones = list(self._config.zones_by_name)
            self.load.count(zones)
            self.update_zone_states()
            for record in self.moves():
                append(record)
            await asyncio.sleep(COUNT_INTERVAL_MS / 1000)

    def update_zone_states(self) -> None:
        """Records which zones returned to service or became unreachable."""
        now_ms = self._clock.now_ms()
        for zone in self._config.zones_by_name:
            if not self.in_service(zone):
                self._out_of_service_zones.add(zone)
            elif zone in self._out_of_service_zones:
                self._out_of_service_zones.discard(zone)
                self._returned_ms_by_zone[zone] = now_ms
            if self._reachable(zone):
                self._unreachable_since_ms.pop(zone, None)
            else:
                self._unreachable_since_ms.setdefault(zone, now_ms)

    def moves(self) -> list[records.Moved]:
        """Returns the moves that this host is responsible for now."""
        wanted: list[records.Moved] = []
        for zone in self._config.zones_by_name:
            if zone == self._own_zone or not self._needs_evacuation(zone):
                continue
            if self._moving_host(zone) != self._host_id:
                continue
            wanted.extend(
                self._moves_from(zone, MAX_MOVES_PER_PASS - len(wanted))
            )
        if wanted:
            events.emit(_LOGGER, events.Event.JOBS_MOVED, count=len(wanted))
        return wanted

    def _moves_from(self, zone: str, limit: int) -> list[records.Moved]:
        wanted: list[records.Moved] = []
        views = self.views()
        now_ms = self._clock.now_ms()
        for job_id in self._jobs.open_ids(zone):
            if len(wanted) >= limit:
                break
            # The move of a job that is not committed would precede the job's
            # submission in the log.
            job = self._jobs.committed(job_id)
            if job is None or job.state is not jobs.JobState.QUEUED:
                continue
            promise = self._config.promises_by_account.get(job.account)
            allowed = promise.zones if promise is not None else ()
            chosen = routing.choose(
                job_id,
                job.spec,
                allowed,
                views,
                self._own_zone,
                self._max_waiting,
            )
            if isinstance(chosen, routing.NoZone) or chosen == zone:
                continue
            wanted.append(records.Moved(job_id, zone, chosen, now_ms))
        return wanted

    def _needs_evacuation(self, zone: str) -> bool:
        if not self.in_service(zone):
            return True
        unreachable_since_ms = self._unreachable_since_ms.get(zone)
        if unreachable_since_ms is None:
            return False
        return self._clock.now_ms() - unreachable_since_ms > ZONE_LOST_AFTER_MS

    def _moving_host(self, zone: str) -> str | None:
        now_ms = self._clock.now_ms()
        ready = [
            member.host_id
            for member in self._members.alive(now_ms)
            if member.state == "ready" and member.zone != zone
        ]
        return routing.moving_host(zone, ready)

    def _reachable(self, zone: str) -> bool:
        if zone == self._own_zone:
            return True
        return bool(self._members.ready_ids(self._clock.now_ms(), zone))

    def _view(self, zone: model.Zone) -> routing.ZoneView:
        now_ms = self._clock.now_ms()
        summary = self._members.summaries_by_zone.get(zone.name)
        waiting = self.load.waiting_by_zone.get(zone.name, 0)
        free = None
        largest = None
        endpoint = None
        if summary is not None:
            waiting = max(waiting, summary.waiting_jobs)
            if now_ms - summary.as_of_ms <= routing.SUMMARY_MAX_AGE_MS:
                free = summary.free_accelerators
                largest = summary.largest_free_rack
                endpoint = summary.largest_free_endpoint
        sent = self.load.sent_by_zone.get(zone.name, ())
        returned_ms = self._returned_ms_by_zone.get(zone.name)
        return routing.ZoneView(
            zone=zone,
            in_service=self.in_service(zone.name),
            reachable=self._reachable(zone.name),
            waiting_jobs=waiting,
            free_accelerators=free,
            largest_free_rack=largest,
            largest_free_endpoint=endpoint,
            returned_for_ms=(
                None if returned_ms is None else now_ms - returned_ms
            ),
            sent_jobs=len(sent),
            sent_accelerators=sum(spec.accelerators for spec in sent),
        )
