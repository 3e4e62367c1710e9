"""The entry host: creates its components, runs and connects them."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import functools
import logging
import random

import aiohttp
from laburnumgate_core import appender
from laburnumgate_core import clock
from laburnumgate_core import config
from laburnumgate_core import gang
from laburnumgate_core import limits as core_limits
from laburnumgate_core import membership
from laburnumgate_core import ownership
from laburnumgate_core import records
from laburnumgate_core import scheduler
from laburnumgate_core import snapshot
from laburnumgate_core import stops
from laburnumgate_rpc import peer_pb2

from laburnumgate_host import endpoints
from laburnumgate_host import events
from laburnumgate_host import execution
from laburnumgate_host import follower
from laburnumgate_host import heartbeats
from laburnumgate_host import journal
from laburnumgate_host import metrics
from laburnumgate_host import peers
from laburnumgate_host import platform
from laburnumgate_host import routing
from laburnumgate_host import settings
from laburnumgate_host import sharing
from laburnumgate_host import snapshots
from laburnumgate_host import watching

_LOGGER = logging.getLogger(__name__)
RESTART_BACKOFF_MS = 1_000
SHARED_APPEND_INTERVAL_MS = 1_000
# Two streams are read; a single failed read is not treated as an outage.
UNREACHABLE_AFTER_FAILED_READS = 2
SUMMARY_INTERVAL_MS = 1_000
_LAUNCH_PHASES = (
    gang.Phase.LEASING,
    gang.Phase.RECORDING,
    gang.Phase.HOLDING,
    gang.Phase.RESUMING,
)


class Host:
    """State of one daemon; all of it runs on one event loop in one thread."""

    def __init__(
        self,
        host_settings: settings.Settings,
        session: aiohttp.ClientSession,
        time: clock.Clock,
    ):
        self.settings = host_settings
        self.clock = time
        self.metrics = metrics.Metrics()
        self.leaving = False
        # Whether launches were finished or undone, or their grace time is over.
        self.launches_finished = False
        per_s = host_settings.limits.fences_per_s
        self.refusal_bucket = core_limits.TokenBucket(per_s, per_s, time)
        self.open_requests = 0
        self.open_polls = 0
        self.started_ms = time.now_ms()
        host_id, zone = host_settings.host.host_id, host_settings.host.zone
        self.platform = platform.Platform(
            session,
            str(host_settings.platform.log_url),
            str(host_settings.platform.live_list_url),
            host_id,
            host_settings.timing.log_timeout_ms,
        )
        self.retries = core_limits.RetryBudget(time)
        self.jobs = sharing.SharedJobTable()
        self.config = config.ConfigTable()
        self.members = membership.MemberTable(host_id, zone)
        self.stops = stops.StopTable()
        self.scheduler = scheduler.Scheduler(
            zone,
            self.jobs,
            self.config,
            time,
            random.Random(f"{host_id}-{self.started_ms}"),
        )
        self.journal = journal.Journal(
            f"{host_id}-{self.started_ms}",
            self.platform,
            self.jobs,
            time,
            host_settings.timing.log_timeout_ms,
            host_settings.limits.appends_per_s,
            self.retries,
        )
        self.endpoints = endpoints.EndpointClient(
            session, host_id, host_settings.timing.endpoint_timeout_ms, time
        )
        self.peers = peers.Peers(self.metrics)
        self.router = routing.Router(
            zone,
            host_id,
            host_settings.limits.waiting_jobs,
            self.jobs,
            self.config,
            self.members,
            self.stops,
            time,
        )
        self.heartbeats = heartbeats.Heartbeats(
            host_settings,
            self.members,
            self.stops,
            time,
            lambda: (
                self._advertised_state(),
                self.config.offset,
                self.jobs.offset,
            ),
            self.apply_stops,
            self._on_pause,
        )
        self.sharing = sharing.Sharing(
            host_id,
            zone,
            self.jobs,
            self.heartbeats,
            self.peers,
            time,
            self._is_alive,
        )
        self._executor = execution.ActionExecutor(
            self.endpoints,
            self.journal,
            self.jobs,
            self.scheduler,
            self.metrics,
            self.spawn,
            self.process_job_changes,
            self._append_held_records_of,
        )
        self.endpoint_watcher = watching.EndpointWatcher(
            self.endpoints,
            host_settings.timing,
            time,
            self._executor.on_result,
            self._update_endpoints,
        )
        self._config_follower = self._create_follower(
            records.CONFIG_STREAM,
            lambda: self.config.offset + 1,
            self._apply_config,
        )
        self._jobs_follower = self._create_follower(
            records.JOBS_STREAM,
            lambda: self.jobs.offset + 1,
            self._apply_jobs,
        )
        self.snapshots = snapshots.Snapshots(
            self.platform,
            self.config,
            self.jobs,
            time,
            host_settings.timing.snapshot_every_ms,
            self._is_snapshot_writer,
            self._peer_state_fetchers,
            self._on_state_adopted,
            self.retries,
        )
        self._last_log_answer_ms = self.started_ms
        self._failed_reads = 0
        self._isolated = False
        self._was_ready = False
        self._last_summary_ms = 0
        self._change_events_by_id: dict[str, asyncio.Event] = {}
        self._tasks: set[asyncio.Task] = set()
        # Peers may call before the loops start.
        self.heartbeats.advance_heartbeat()

    @property
    def ready(self) -> bool:
        """Whether this host's view is current enough to serve callers."""
        caught_up = self._config_follower.caught_up and (
            self._jobs_follower.caught_up
        )
        return caught_up and self.heartbeats.settled

    @property
    def state(self) -> str:
        """State shown to callers and operators."""
        if self.leaving:
            return "leaving"
        return "ready" if self.ready else "joining"

    @property
    def launching(self) -> bool:
        """Whether a gang is between its first lease and its last resume."""
        return any(
            run.phase in _LAUNCH_PHASES
            for run in self.scheduler.runs.runs_by_id.values()
        )

    @property
    def starts_stopped(self) -> str:
        """Why this host starts nothing in its zone, or an empty string."""
        if self.leaving:
            return "the host is leaving"
        if self.stops.is_stopped(self.settings.host.zone):
            return "an operator stopped the zone directly"
        if self._isolated:
            return "nothing was heard from outside the zone"
        return ""

    def start(self) -> None:
        """Starts every loop."""
        loops = (
            self._config_follower.run,
            self._jobs_follower.run,
            self.journal.run,
            self.snapshots.run,
            self.sharing.run,
            self._append_shared_loop,
            self._poll_live_list_loop,
            lambda: self.heartbeats.run(self.peers),
            lambda: self.router.run(self._append_move),
            self._tick_loop,
        )
        for loop in loops:
            self.spawn(self._restart_on_failure_loop(loop))

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Runs a coroutine in the background and logs if it fails."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    async def stop(self) -> None:
        """Cancels every loop and closes the connections."""
        self.endpoint_watcher.update(set())
        for task in self._tasks:
            task.cancel()
        self.peers.close()

    async def wait_for_job(self, job_id: str, wait_ms: int) -> None:
        """Waits until the job changes, at most `wait_ms`."""
        change_event = self._change_events_by_id.setdefault(
            job_id, asyncio.Event()
        )
        try:
            await asyncio.wait_for(change_event.wait(), wait_ms / 1000)
        except TimeoutError:
            return

    def wake_waiters(self) -> None:
        """Wakes all waiting callers so that they are answered immediately."""
        for change_event in self._change_events_by_id.values():
            change_event.set()
        self._change_events_by_id.clear()

    def process_job_changes(self) -> None:
        """Passes changed jobs to the scheduler and wakes waiting callers."""
        changed_ids = self.jobs.take_changes()
        self.scheduler.note_changes(changed_ids)
        for job_id in changed_ids:
            self._log_job_end(job_id)
            change_event = self._change_events_by_id.pop(job_id, None)
            if change_event is not None:
                change_event.set()

    def _log_job_end(self, job_id: str) -> None:
        """Logs the outcome of a job; only the zone's placing host does so."""
        job = self.jobs.committed(job_id)
        if not self.scheduler.active or job is None or job.outcome is None:
            return
        if job.zone == self.scheduler.zone:
            kind = job.outcome.kind
            event = events.Event.JOB_ENDED
            events.emit(_LOGGER, event, job=job_id, verdict=kind)

    def apply_stops(self) -> None:
        """Passes the current stop state to the scheduler."""
        self.scheduler.stopped_by_operator = bool(self.starts_stopped)

    def on_heartbeat(
        self, request: peer_pb2.HeartbeatRequest
    ) -> peer_pb2.HeartbeatReply:
        """Processes a peer's heartbeat."""
        return self.heartbeats.on_request(request)

    def on_records(
        self, request: peer_pb2.ShareRecordsRequest
    ) -> peer_pb2.ShareRecordsReply:
        """Stores a peer's provisional records."""
        reply = self.sharing.on_records(request)
        self.process_job_changes()
        return reply

    def on_zone_stop(
        self, request: peer_pb2.StopZoneRequest
    ) -> peer_pb2.StopZoneReply:
        """Applies a direct stop; replies with this host's id if in force."""
        stop = peers.decode_stop(request.stop)
        self.record_stop(stop)
        held = self.stops.is_stopped(stop.zone) == stop.stopped
        own = [self.settings.host.host_id] if held else []
        return peer_pb2.StopZoneReply(host_ids=own)

    def on_fetch_state(
        self, request: peer_pb2.FetchStateRequest
    ) -> AsyncIterator[snapshot.Chunk]:
        """Yields the state of the tables that are ahead of the sender's."""
        return self.snapshots.serve(request.config_offset, request.jobs_offset)

    def _is_snapshot_writer(self, stream: str) -> bool:
        ready = [
            member.host_id
            for member in self.members.alive(self.clock.now_ms())
            if member.state == "ready"
        ]
        chosen = ownership.placing_host(f"snapshot/{stream}", ready)
        return chosen == self.settings.host.host_id

    def _peer_state_fetchers(self) -> list[snapshots.StateFetcher]:
        """Returns a function per ready peer that fetches the peer's state."""
        fetchers = []
        for member in self.members.alive(self.clock.now_ms()):
            own = member.host_id == self.settings.host.host_id
            if own or member.state != "ready":
                continue
            address = peers.Address(
                member.host_id, member.zone, member.rpc_ip, member.rpc_port
            )
            fetchers.append(functools.partial(self.peers.fetch_state, address))
        random.shuffle(fetchers)
        return fetchers

    def _on_state_adopted(self, stream: str) -> None:
        """Updates dependents after a table adopted a snapshot or peer state."""
        if stream == records.JOBS_STREAM:
            self.journal.on_state_adopted()
            self.process_job_changes()
            return
        self.metrics.config_offset.set({}, self.config.offset)
        self.apply_stops()

    def record_stop(self, stop: stops.ZoneStop) -> None:
        """Stores a direct stop and applies it to the scheduler."""
        if not self.stops.update(stop):
            return
        self.apply_stops()
        events.emit(
            _LOGGER,
            events.Event.ZONE_STOP_TAKEN,
            zone=stop.zone,
            stopped=stop.stopped,
            operation=stop.operation_id,
        )

    async def _restart_on_failure_loop(
        self, loop: Callable[[], Coroutine[None, None, None]]
    ) -> None:
        """Restarts a loop after a failure, so that no error ends it."""
        while True:
            try:
                await loop()
            except Exception:
                _LOGGER.exception(
                    events.Event.TASK_CRASHED.text,
                    extra={"event": events.Event.TASK_CRASHED.number},
                )
            await asyncio.sleep(RESTART_BACKOFF_MS / 1000)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        _LOGGER.error(
            events.Event.TASK_CRASHED.text,
            exc_info=task.exception(),
            extra={"event": events.Event.TASK_CRASHED.number},
        )

    def _advertised_state(self) -> str:
        """Returns the state advertised to other hosts.

        A leaving host advertises it only after its launches have finished:
        the next placing host would stop a partially launched gang.
        """
        if self.leaving and not self.launches_finished:
            return "ready" if self.ready else "joining"
        return self.state

    def _is_alive(self, host_id: str) -> bool:
        alive = self.members.alive(self.clock.now_ms())
        return any(member.host_id == host_id for member in alive)

    def _on_pause(self) -> None:
        """Stops placing, because another host has taken over meanwhile."""
        events.emit(_LOGGER, events.Event.HOST_PAUSED, logging.WARNING)
        self._stop_placing()
        if self.journal.reachable:
            self._config_follower.caught_up = False
            self._jobs_follower.caught_up = False

    def _create_follower(
        self,
        stream: str,
        next_offset: Callable[[], int],
        apply: Callable[[records.Entry], None],
    ) -> follower.Follower:
        return follower.Follower(
            stream,
            self.platform,
            next_offset,
            apply,
            self._on_log_read,
            self.settings.timing.log_poll_wait_ms,
            lambda stream, first: self.snapshots.recover(stream, first),
        )

    def _on_log_read(self, answered: bool) -> None:
        if not answered:
            self._on_log_read_failed()
            return
        self._failed_reads = 0
        if not self.journal.reachable:
            self.sharing.restart_append_delay()
        self._last_log_answer_ms = self.clock.now_ms()
        self.journal.on_log_read()

    def _on_log_read_failed(self) -> None:
        """Detects an outage of the log before an append times out."""
        self.metrics.log_failures.inc({})
        self._failed_reads += 1
        if self._failed_reads < UNREACHABLE_AFTER_FAILED_READS or (
            not self.journal.reachable
        ):
            return
        self.journal.reachable = False
        events.emit(
            _LOGGER,
            events.Event.LOG_UNREACHABLE,
            logging.WARNING,
            reason="the log does not answer reads",
        )

    def _apply_config(self, entry: records.Entry) -> None:
        match self.config.apply_entry(entry):
            case config.Accepted():
                event = events.Event.CONFIG_APPLIED
                self._record_zone_states(entry)
            case config.Rejected():
                event = events.Event.CONFIG_REJECTED
            case None:
                event = events.Event.ENTRY_SKIPPED
        events.emit(_LOGGER, event, offset=entry.offset)
        self.metrics.config_offset.set({}, self.config.offset)

    def _record_zone_states(self, entry: records.Entry) -> None:
        publication = records.decode_publication(entry.data)
        for change in publication.changes:
            family, _, zone = change.key.partition("/")
            if family == "zone-state":
                self.stops.note_recorded(zone, publication.at_ms)
        self.apply_stops()

    def _apply_jobs(self, entry: records.Entry) -> None:
        applied = self.jobs.apply_entry(entry)
        self.journal.on_entry(entry, applied)
        self.process_job_changes()

    async def _append_shared_loop(self) -> None:
        """Appends peers' records that are still missing from the log."""
        while True:
            if self.journal.reachable:
                for key, record in self.sharing.take_overdue():
                    self.spawn(self._append_held_record(key, record))
            await asyncio.sleep(SHARED_APPEND_INTERVAL_MS / 1000)

    async def _append_held_record(
        self, key: appender.RecordKey, record: records.JobRecord
    ) -> None:
        answer = await self.journal.append(record, provisional=False)
        if not isinstance(answer, journal.Unconfirmed):
            self.sharing.drop(key)
        self.process_job_changes()

    def _append_held_records_of(self, job_id: str) -> None:
        for key, record in self.sharing.take_for_job(job_id):
            self.spawn(self._append_held_record(key, record))

    def _append_move(self, record: records.Moved) -> None:
        if self.journal.reachable:
            self.spawn(self.journal.append(record, provisional=False))

    async def _poll_live_list_loop(self) -> None:
        while True:
            live = await self.platform.read_live_list()
            if isinstance(live, platform.LiveList):
                self._apply_live_list(live)
            await asyncio.sleep(self.settings.timing.live_list_poll_ms / 1000)

    def _apply_live_list(self, live: platform.LiveList) -> None:
        self.heartbeats.update_hints(
            [
                peers.Address(
                    entry.host_id, entry.zone, entry.rpc_ip, entry.rpc_port
                )
                for entry in live.hosts
            ]
        )
        zone = self.settings.host.zone
        own = [e for e in live.endpoints if e.zone == zone]
        self.endpoints.endpoints_by_id = {e.endpoint_id: e for e in own}
        self._update_endpoints()
        self._update_watched_endpoints()

    def _update_endpoints(self) -> None:
        """Passes the zone's endpoints to the scheduler.

        An unresponsive endpoint is marked as leaving, so it gets no new work.
        """
        rows = []
        for endpoint_id, endpoint in self.endpoints.endpoints_by_id.items():
            lost = endpoint_id in self.endpoint_watcher.lost_ids
            rows.append(
                dataclasses.replace(endpoint, leaving=endpoint.leaving or lost)
            )
        self.scheduler.update_endpoints(rows)

    async def _tick_loop(self) -> None:
        while True:
            self.heartbeats.check_pause()
            self._log_readiness()
            self._check_isolation()
            self._choose_placing_host()
            self._executor.execute(self.scheduler.tick())
            self._publish_summary()
            await asyncio.sleep(self.settings.timing.tick_ms / 1000)

    def _log_readiness(self) -> None:
        if self.ready and not self._was_ready:
            self._was_ready = True
            events.emit(_LOGGER, events.Event.HOST_READY)

    def _check_isolation(self) -> None:
        limit_ms = self.settings.timing.stop_starts_after_isolation_ms
        if not limit_ms:
            return
        last_contact_ms = max(
            self._last_log_answer_ms, self.heartbeats.last_other_zone_contact_ms
        )
        isolated = self.clock.now_ms() - last_contact_ms > limit_ms
        if isolated and not self._isolated:
            events.emit(_LOGGER, events.Event.ZONE_ISOLATED, logging.WARNING)
        self._isolated = isolated
        self.apply_stops()

    def _choose_placing_host(self) -> None:
        own = self.settings.host
        ready = self.members.ready_ids(self.clock.now_ms(), own.zone)
        chosen = ownership.placing_host(own.zone, ready)
        if chosen != own.host_id:
            self._stop_placing()
            return
        if self.scheduler.active:
            return
        events.emit(_LOGGER, events.Event.PLACING_STARTED, zone=own.zone)
        self.scheduler.activate()
        self._update_watched_endpoints()

    def _stop_placing(self) -> None:
        if not self.scheduler.active:
            return
        zone = self.settings.host.zone
        events.emit(_LOGGER, events.Event.PLACING_STOPPED, zone=zone)
        self.scheduler.deactivate()
        self._update_watched_endpoints()

    def _update_watched_endpoints(self) -> None:
        """Polls the zone's endpoints only while this host places."""
        wanted = set()
        if self.scheduler.active:
            wanted = set(self.scheduler.endpoints_by_id)
        self.endpoint_watcher.update(wanted)

    def _publish_summary(self) -> None:
        now_ms = self.clock.now_ms()
        if not self.scheduler.active or (
            now_ms - self._last_summary_ms < SUMMARY_INTERVAL_MS
        ):
            return
        self._last_summary_ms = now_ms
        summary = self.scheduler.summary()
        self.members.update_summary(
            membership.ZoneSummary(
                zone=self.settings.host.zone,
                as_of_ms=now_ms,
                free_accelerators=max(0, summary.free_accelerators),
                largest_free_rack=max(0, summary.largest_free_rack),
                waiting_jobs=summary.waiting_jobs,
                largest_free_endpoint=max(0, summary.largest_free_endpoint),
                waiting_accelerators=summary.waiting_accelerators,
                accelerators=summary.accelerators,
                largest_unreserved=max(0, summary.largest_unreserved),
                speed=summary.speed,
            )
        )
        # While the log is unreachable, another zone would not receive a job
        # moved to it.
        reachable = self.journal.reachable
        peers_now = self.router.capacities() if reachable else {}
        self.scheduler.update_peers(peers_now)
        self.metrics.waiting_jobs.set({}, summary.waiting_jobs)
        self.metrics.running_runs.set({}, len(self.scheduler.runs.runs_by_id))
        self.metrics.free_accelerators.set({}, summary.free_accelerators)
