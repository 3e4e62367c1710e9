"""One entry host: its tables, loops and servers."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import logging
import random

import aiohttp
from laburnumgate_core import actions
from laburnumgate_core import clock
from laburnumgate_core import config
from laburnumgate_core import jobs
from laburnumgate_core import limits
from laburnumgate_core import membership
from laburnumgate_core import ownership
from laburnumgate_core import records
from laburnumgate_core import scheduler

from laburnumgate_host import endpoints
from laburnumgate_host import events
from laburnumgate_host import follower
from laburnumgate_host import journal
from laburnumgate_host import metrics
from laburnumgate_host import peers
from laburnumgate_host import platform
from laburnumgate_host import settings

_LOGGER = logging.getLogger(__name__)
RESTART_PAUSE_MS = 1_000


class Host:
    """State of one daemon. Everything runs on one loop in one thread."""

    def __init__(
        self,
        own: settings.Settings,
        session: aiohttp.ClientSession,
        time: clock.Clock,
    ):
        self.settings = own
        self.clock = time
        self.metrics = metrics.Metrics()
        self.leaving = False
        self.started_ms = time.now_ms()
        self.platform = platform.Platform(
            session,
            str(own.platform.log_url),
            str(own.platform.live_list_url),
            own.host.host_id,
            own.timing.log_timeout_ms,
        )
        self.retries = limits.RetryBudget(time)
        self.jobs = jobs.JobTable()
        self.config = config.ConfigTable()
        self.members = membership.MemberTable(own.host.host_id)
        self.scheduler = scheduler.Scheduler(
            own.host.zone,
            self.jobs,
            self.config,
            time,
            random.Random(f"{own.host.host_id}-{self.started_ms}"),
        )
        self.journal = journal.Journal(
            f"{own.host.host_id}-{self.started_ms}",
            self.platform,
            self.jobs,
            time,
            own.timing.log_timeout_ms,
            own.limits.appends_per_s,
            self.retries,
        )
        self.endpoints = endpoints.EndpointClient(
            session, own.host.host_id, own.timing.endpoint_timeout_ms, time
        )
        self.peers = peers.Peers(self.members, own.host.host_id, time)
        self.hosts_by_id: dict[str, platform.HostEntry] = {}
        self._heartbeat = 0
        self._config_follower = self._follow_config()
        self._jobs_follower = self._follow_jobs()
        self._changed_by_id: dict[str, asyncio.Event] = {}
        self._report_tasks_by_id: dict[str, asyncio.Task] = {}
        self._tasks: set[asyncio.Task] = set()

    @property
    def ready(self) -> bool:
        """Whether both streams were read to their head once."""
        return self._config_follower.caught_up and (
            self._jobs_follower.caught_up
        )

    @property
    def state(self) -> str:
        """State shown to other hosts."""
        if self.leaving:
            return "leaving"
        return "ready" if self.ready else "joining"

    def start(self) -> None:
        """Starts every loop."""
        self._beat()
        loops = (
            self._config_follower.run,
            self._jobs_follower.run,
            self.journal.run,
            self._poll_live_list,
            self._send_heartbeats,
            self._run_ticks,
        )
        for loop in loops:
            self.spawn(self._keep_running(loop))

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Runs a coroutine in the background and logs if it fails."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    async def _keep_running(
        self, loop: Callable[[], Coroutine[None, None, None]]
    ) -> None:
        """Restarts a loop that failed, so that one fault stops no other."""
        while True:
            try:
                await loop()
            except Exception:
                _LOGGER.exception(
                    events.Event.TASK_CRASHED.text,
                    extra={"event": events.Event.TASK_CRASHED.number},
                )
            await asyncio.sleep(RESTART_PAUSE_MS / 1000)

    async def stop(self) -> None:
        """Cancels every loop and closes the connections."""
        for task in (*self._tasks, *self._report_tasks_by_id.values()):
            task.cancel()
        self.peers.close()

    async def wait_for_job(self, job_id: str, wait_ms: int) -> None:
        """Waits until the job changes, at most `wait_ms`."""
        changed = self._changed_by_id.setdefault(job_id, asyncio.Event())
        try:
            await asyncio.wait_for(changed.wait(), wait_ms / 1000)
        except TimeoutError:
            return

    def wake_waiters(self) -> None:
        """Wakes every waiting caller, so that it is answered now."""
        for changed in self._changed_by_id.values():
            changed.set()
        self._changed_by_id.clear()

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        _LOGGER.error(
            events.Event.TASK_CRASHED.text,
            exc_info=task.exception(),
            extra={"event": events.Event.TASK_CRASHED.number},
        )

    def _follow_config(self) -> follower.Follower:
        return follower.Follower(
            records.CONFIG_STREAM,
            self.platform,
            lambda: self.config.offset + 1,
            self._apply_config,
            self._on_log_answer,
            self.settings.timing.log_poll_wait_ms,
        )

    def _follow_jobs(self) -> follower.Follower:
        return follower.Follower(
            records.JOBS_STREAM,
            self.platform,
            lambda: self.jobs.offset + 1,
            self._apply_jobs,
            self._on_log_answer,
            self.settings.timing.log_poll_wait_ms,
        )

    def _on_log_answer(self, answered: bool) -> None:
        if answered:
            self.journal.note_reachable()
            return
        self.metrics.log_failures.inc({})

    def _apply_config(self, entry: records.Entry) -> None:
        match self.config.apply_entry(entry):
            case config.Accepted():
                event = events.Event.CONFIG_APPLIED
            case config.Rejected():
                event = events.Event.CONFIG_REJECTED
            case None:
                event = events.Event.ENTRY_SKIPPED
        events.emit(_LOGGER, event, offset=entry.offset)
        self.metrics.config_offset.set({}, self.config.offset)

    def _apply_jobs(self, entry: records.Entry) -> None:
        taken = self.jobs.apply_entry(entry)
        self.journal.on_entry(entry, taken)
        self.note_job_changes()

    def note_job_changes(self) -> None:
        """Wakes the callers that wait for jobs that changed."""
        for job_id in self.jobs.take_changes():
            changed = self._changed_by_id.pop(job_id, None)
            if changed is not None:
                changed.set()

    async def _poll_live_list(self) -> None:
        while True:
            live = await self.platform.live()
            if isinstance(live, platform.LiveList):
                self._apply_live_list(live)
            await asyncio.sleep(self.settings.timing.live_list_poll_ms / 1000)

    def _apply_live_list(self, live: platform.LiveList) -> None:
        self.hosts_by_id = {entry.host_id: entry for entry in live.hosts}
        zone = self.settings.host.zone
        own = [e for e in live.endpoints if e.zone == zone]
        self.endpoints.endpoints_by_id = {e.endpoint_id: e for e in own}
        self.scheduler.update_endpoints(own)
        self._update_report_tasks()

    async def _send_heartbeats(self) -> None:
        timing = self.settings.timing
        while True:
            self._beat()
            targets = [
                entry
                for entry in self.hosts_by_id.values()
                if entry.host_id != self.settings.host.host_id
            ]
            for entry in targets:
                self.spawn(
                    self.peers.heartbeat(
                        entry.rpc_ip, entry.rpc_port, timing.heartbeat_ms
                    )
                )
            await asyncio.sleep(timing.heartbeat_ms / 1000)

    def _beat(self) -> None:
        self._heartbeat += 1
        own = self.settings.host
        self.members.update(
            membership.Member(
                host_id=own.host_id,
                zone=own.zone,
                rpc_ip=own.ip,
                rpc_port=own.rpc_port,
                incarnation=self.started_ms,
                heartbeat=self._heartbeat,
                state=self.state,
                config_offset=self.config.offset,
                jobs_offset=self.jobs.offset,
            ),
            self.clock.now_ms(),
        )

    async def _run_ticks(self) -> None:
        while True:
            self._choose_placing_host()
            self.carry_out(self.scheduler.tick())
            self._set_gauges()
            await asyncio.sleep(self.settings.timing.tick_ms / 1000)

    def _choose_placing_host(self) -> None:
        own = self.settings.host
        ready = self.members.ready_ids(self.clock.now_ms(), own.zone)
        chosen = ownership.placing_host(own.zone, ready)
        if chosen == own.host_id and not self.scheduler.active:
            events.emit(_LOGGER, events.Event.PLACING_STARTED, zone=own.zone)
            self.scheduler.activate()
            self._update_report_tasks()
        elif chosen != own.host_id and self.scheduler.active:
            events.emit(_LOGGER, events.Event.PLACING_STOPPED, zone=own.zone)
            self.scheduler.deactivate()
            self._update_report_tasks()

    def _set_gauges(self) -> None:
        if not self.scheduler.active:
            return
        summary = self.scheduler.summary()
        self.metrics.waiting_jobs.set({}, summary.waiting_jobs)
        self.metrics.running_runs.set({}, len(self.scheduler.runs.runs_by_id))
        self.metrics.free_accelerators.set({}, summary.free_accelerators)

    def carry_out(self, wanted: list[actions.Action]) -> None:
        """Starts each action in the background."""
        for action in wanted:
            self.spawn(self._carry_out_one(action))

    async def _carry_out_one(self, action: actions.Action) -> None:
        match action:
            case actions.Append(record):
                result = await self._append(record)
            case _:
                kind = type(action).__name__
                self.metrics.endpoint_calls.inc({"action": kind})
                result = await self.endpoints.carry_out(action)
        if result is not None and self.scheduler.active:
            self.carry_out(self.scheduler.on(result))

    async def _append(
        self, record: records.JobRecord
    ) -> actions.Appended | None:
        job = self.jobs.get(record.job_id)
        provisional = job is None or job.spec.idempotent
        answer = await self.journal.append(record, provisional)
        self.note_job_changes()
        if isinstance(answer, journal.Unsent):
            return actions.Appended(record, taken=False, durable=False)
        return answer

    def _update_report_tasks(self) -> None:
        """Watches the zone's endpoints while this host places."""
        wanted = set()
        if self.scheduler.active:
            wanted = set(self.scheduler.endpoints_by_id)
        for endpoint_id in wanted - self._report_tasks_by_id.keys():
            task = asyncio.get_running_loop().create_task(
                self._watch(endpoint_id)
            )
            self._report_tasks_by_id[endpoint_id] = task
        for endpoint_id in self._report_tasks_by_id.keys() - wanted:
            self._report_tasks_by_id.pop(endpoint_id).cancel()

    async def _watch(self, endpoint_id: str) -> None:
        timing = self.settings.timing
        since = 0
        heard_ms = self.clock.now_ms()
        lost = False
        while True:
            page = await self.endpoints.report(
                endpoint_id, since, timing.report_wait_ms if since else 0
            )
            now_ms = self.clock.now_ms()
            if page is not None:
                heard_ms = now_ms
                lost = False
                if page.rev < since:
                    # The endpoint restarted: ask for everything again.
                    since = 0
                    continue
                since = page.rev
                self.carry_out(self.scheduler.on(page.report))
                continue
            if not lost and now_ms - heard_ms > timing.endpoint_lost_after_ms:
                lost = True
                events.emit(
                    _LOGGER,
                    events.Event.ENDPOINT_LOST,
                    logging.WARNING,
                    endpoint=endpoint_id,
                )
                gone = actions.EndpointLost(endpoint_id)
                self.carry_out(self.scheduler.on(gone))
            await asyncio.sleep(0.5)


@dataclasses.dataclass(frozen=True)
class Dump:
    """State of a process, for operators."""

    host_id: str
    zone: str
    state: str
    places: bool
    recovering: bool
    config_offset: int
    jobs_offset: int
    log_reachable: bool
    unsent_records: int
    members: tuple[membership.Member, ...]
    runs: tuple[dict, ...]


def dump(host: Host) -> Dump:
    """Returns the state of a host."""
    runs = []
    for job_id, run in host.scheduler.runs.runs_by_id.items():
        runs.append(
            {
                "job_id": job_id,
                "run": run.run,
                "phase": run.phase,
                "parts": {p.task_id: p.state for p in run.parts},
                "endpoints": run.endpoint_ids,
            }
        )
    return Dump(
        host_id=host.settings.host.host_id,
        zone=host.settings.host.zone,
        state=host.state,
        places=host.scheduler.active,
        recovering=host.scheduler.recovering,
        config_offset=host.config.offset,
        jobs_offset=host.jobs.offset,
        log_reachable=host.journal.reachable,
        unsent_records=len(host.journal),
        members=tuple(host.members.all()),
        runs=tuple(runs),
    )
