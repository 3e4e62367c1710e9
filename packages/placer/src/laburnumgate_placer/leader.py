"""One leadership term: recovers the state of all jobs, then places jobs."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import functools
import logging

from laburnumgate_core import clock

from laburnumgate_placer import advice_client
from laburnumgate_placer import call_gate
from laburnumgate_placer import config_table
from laburnumgate_placer import endpoint_table
from laburnumgate_placer import events
from laburnumgate_placer import feed
from laburnumgate_placer import job_table
from laburnumgate_placer import launcher
from laburnumgate_placer import leadership
from laburnumgate_placer import lifecycle
from laburnumgate_placer import limits
from laburnumgate_placer import live_list
from laburnumgate_placer import load_reports
from laburnumgate_placer import maintainer
from laburnumgate_placer import metrics
from laburnumgate_placer import model
from laburnumgate_placer import pauses
from laburnumgate_placer import pending_starts
from laburnumgate_placer import policy as policy_module
from laburnumgate_placer import ports
from laburnumgate_placer import progress
from laburnumgate_placer import recorder
from laburnumgate_placer import records
from laburnumgate_placer import scheduling
from laburnumgate_placer import services as services_module
from laburnumgate_placer import tables as tables_module
from laburnumgate_placer import topics
from laburnumgate_placer import watcher
from laburnumgate_placer.accounts import holds
from laburnumgate_placer.overload import passes

_LOGGER = logging.getLogger(__name__)

# Maximum interval between placement passes, and interval at which occurrences
# that have become due are opened. Occurrences become due and jobs become late
# without any event.
MAX_PASS_INTERVAL_MS = 100
RETRY_MS = 100
# Endpoints write to the live list every 1.5 s, so more frequent reads only cost
# calls.
LIST_WAIT_MS = 1_000
LIST_MIN_INTERVAL_MS = 150
# The timeout of a fencing append doubles with each attempt, as appends of other
# hosts may be queued before it.
FIRST_FENCE_TIMEOUT_MS = 800
LAST_FENCE_TIMEOUT_MS = 6_400
# Maximum wait for the first report of each endpoint before the first placement
# pass. A healthy endpoint answers within about 10 ms, a lost one never does.
FIRST_REPORTS_TIMEOUT_MS = 150
# Maximum wait while less than this share of the endpoints has reported. A slow
# host needs longer for the first reports of hundreds of endpoints.
FIRST_REPORTS_SHARE = 0.6
FEW_REPORTS_TIMEOUT_MS = 1_000
FIRST_REPORTS_POLL_MS = 5
# Maximum number of jobs that a new leader restores between two turns of the
# event loop.
RESTORE_CHUNK = 20
# Passes that take longer are logged, at most one in each interval.
LONG_PASS_MS = 200
LONG_PASS_LOG_INTERVAL_MS = 5_000
# A leader that stores heartbeats but reads nothing for longer than this makes
# room for another one, before its right to renew leases is over.
MAX_UNREAD_MS = 3_000
# Interval at which expired jobs are removed from the log.
CLEAN_UP_INTERVAL_MS = 20_000
# Interval at which endpoint speeds are recorded if they have changed.
SAVE_SPEEDS_INTERVAL_MS = 2_000


class LeadershipLostError(Exception):
    """This host is no longer the leader."""


class Leader:
    """Places jobs while this host is the leader."""

    def __init__(
        self,
        services: services_module.Services,
        leadership_state: leadership.Leadership,
        monotonic: clock.Clock,
        wall: clock.Clock,
        config: config_table.ConfigTable,
        jobs: job_table.JobTable,
        jobs_feed: feed.Feed,
        bounds: limits.Bounds,
        policy: policy_module.Policy | None = None,
    ):
        """Prepares a term under the current claim of `leadership_state`."""
        self._services = services
        self._log = services.log
        self._endpoints = services.endpoints
        self._leadership = leadership_state
        self._claim = leadership_state.own_claim
        self._jobs_feed = jobs_feed
        # Read before the time of the claim, so that a suspension between the
        # two counts.
        self._suspended_ms = clock.suspended_ms()
        self._claimed_ms = monotonic.now_ms()
        self.tables = tables_module.Tables(
            self._claim.token, monotonic, wall, config, jobs, bounds, policy
        )
        self._recorder = recorder.Recorder(
            services.log, self.tables, services.status_topic
        )
        self._scheduler = scheduling.Scheduler(self.tables)
        self._gate = call_gate.CallGate(monotonic)
        self._launcher = launcher.Launcher(
            services.endpoints,
            self.tables,
            self._gate,
            self._may_renew,
            leadership_state.step_down,
        )
        self._live_list = live_list.LiveList(
            self.tables,
            services.decode_endpoint,
            self._watch_endpoint,
            self._claimed_ms,
        )
        self._list_feed = feed.Feed(
            services.log,
            monotonic,
            services.list_topic,
            self._live_list.apply,
            wait_ms=LIST_WAIT_MS,
            min_interval_ms=LIST_MIN_INTERVAL_MS,
        )
        self.tables.endpoints.list_age_ms = self._list_feed.age_ms
        # An earlier leader may send orders while its right to them lasts.
        self._pending_until_ms = (
            self._claimed_ms
            + bounds.lease_ms
            + pending_starts.MAX_ORDER_DELAY_MS
        )
        self._tasks: set[asyncio.Task] = set()
        self._flush_due = asyncio.Event()
        self._recorded_waves: dict[str, list[str]] = {}
        # Endpoints that were found before all jobs were restored.
        self._unwatched: list[endpoint_table.EndpointState] = []
        self._long_pass_logged_ms = 0
        self.recovered = False

    async def run(self) -> None:
        """Recovers the state and places jobs until leadership is lost."""
        metrics.LEADING.set({}, 1)
        try:
            progress_by_id = await self._recover_log()
            self._spawn(self._list_feed.run())
            await self._list_feed.loaded.wait()
            await self._restore(progress_by_id)
            self._spawn(self._recorder.run_writers())
            self.recovered = True
            for state in self._unwatched:
                self._watch_endpoint(state)
            self._unwatched.clear()
            took_ms = self.tables.monotonic.now_ms() - self._claimed_ms
            metrics.RECOVERY_SECONDS.observe(took_ms / 1000)
            events.emit(
                _LOGGER,
                events.Event.LEAD_RECOVERED,
                token=self._claim.token,
                jobs=len(self.tables.entries_by_id),
                endpoints=len(self.tables.endpoints.by_id),
                took_ms=took_ms,
            )
            self._spawn(self._record_loop())
            self._spawn(self._clean_up_loop())
            self._spawn(self._save_speeds_loop())
            self._spawn(self._load_loop())
            if self._services.advisor is not None:
                self._spawn(
                    advice_client.run(self._services.advisor, self.tables)
                )
            if self._services.machines is not None:
                upkeep = maintainer.Maintainer(
                    self._services,
                    self.tables,
                    self._recorder,
                    self._may_renew,
                    self._leadership.step_down,
                    self._recorded_waves,
                )
                self._spawn(upkeep.run())
            await self._wait_for_first_reports()
            await self._placement_loop()
        finally:
            metrics.LEADING.set({}, 0)
            self._scheduler.end_term()
            for task in self._tasks:
                task.cancel()

    def job_changed(self, record: records.JobRecord) -> None:
        """Handles a record of the jobs topic that changed the job table."""
        match record:
            case records.Submitted(job):
                recorded = self.tables.jobs.recorded(job.job_id)
                ended = recorded is not None and recorded.state.final
                # The recovery restores jobs that arrive in the meantime.
                if self.recovered and not ended:
                    lifecycle.open_job(self.tables, job)
            case records.Cancelled(job_id) | records.CancelledEarly(job_id):
                lifecycle.cancel_job(self.tables, job_id)

    def _may_renew(self) -> bool:
        """Whether this term goes on and was confirmed recently enough.

        A later leader waits for this period before it gives up runs on
        unreachable endpoints.
        """
        # The tasks of a term are cancelled some time after its claim is lost.
        if self._leadership.own_claim != self._claim:
            return False
        age_ms = (
            self.tables.monotonic.now_ms() - self._leadership.confirmed_ms()
        )
        return age_ms < self.tables.bounds.lease_ms

    async def _recover_log(self) -> dict[str, dict[int, bytes]]:
        """Fences earlier leaders and reads the progress that they recorded.

        Returns:
          The value of each part, by the id of its job or the key of a record
          that is not of a job.
        """
        ends = {}
        # In this order: after the first fence, the earlier leader can assign no
        # job that is submitted after the second.
        for topic in (topics.PROGRESS, topics.JOBS):
            ends[topic] = await self._fence(topic)
        progress_by_id: dict[str, dict[int, bytes]] = {}

        def keep(entry: ports.Entry) -> None:
            job_id, part = records.decode_progress_key(entry.key)
            value_by_part = progress_by_id.setdefault(job_id, {})
            if entry.value:
                value_by_part[part] = entry.value
            else:
                value_by_part.pop(part, None)

        reader = feed.Feed(
            self._log, self.tables.monotonic, topics.PROGRESS, keep, wait_ms=0
        )
        task = self._spawn(reader.run())
        while not await reader.wait_for_offset(ends[topics.PROGRESS], RETRY_MS):
            self._check_leadership()
        task.cancel()
        while not await self._jobs_feed.wait_for_offset(
            ends[topics.JOBS], RETRY_MS
        ):
            self._check_leadership()
        return progress_by_id

    async def _fence(self, topic: str) -> int:
        sequence = ports.Sequence(recorder.PRODUCER, self._claim.token, 0)
        timeout_ms = FIRST_FENCE_TIMEOUT_MS
        while True:
            self._check_leadership()
            outcome = await self._log.append(
                topic, [], timeout_ms=timeout_ms, sequence=sequence
            )
            timeout_ms = min(2 * timeout_ms, LAST_FENCE_TIMEOUT_MS)
            match outcome:
                case ports.Appended(_, end_offset):
                    return end_offset
                case ports.Fenced(reason):
                    self._leadership.step_down(reason)
                    raise LeadershipLostError(reason)
            await asyncio.sleep(RETRY_MS / 1000)

    def _check_leadership(self) -> None:
        if self._leadership.own_claim != self._claim:
            raise LeadershipLostError("another host leads")
        if self._leadership.unread_ms() > MAX_UNREAD_MS:
            raise LeadershipLostError("the log takes heartbeats unread")

    async def _restore(
        self, progress_by_id: dict[str, dict[int, bytes]]
    ) -> None:
        """Restores all jobs, with pauses in which heartbeats are sent."""
        tables = self.tables
        speeds = self._pop_content(topics.SPEEDS_KEY, progress_by_id)
        tables.durations.speeds.restore(speeds)
        self._recorded_waves = self._pop_content(
            topics.WAVES_KEY, progress_by_id
        )
        address_by_endpoint = self._restore_starts(
            self._pop_content(topics.STARTS_KEY, progress_by_id)
        )
        restored: set[str] = set()
        while True:
            # Callers go on submitting jobs during the pauses.
            missing = [i for i in tables.jobs.jobs_by_id if i not in restored]
            if not missing:
                break
            pause = pauses.Pauses(tables.monotonic)
            for job_id in missing[:RESTORE_CHUNK]:
                restored.add(job_id)
                self._restore_job(job_id, progress_by_id.get(job_id, {}))
                if pause.due():
                    break
            await asyncio.sleep(0)
            self._check_leadership()
        for endpoint_id, address in address_by_endpoint.items():
            self._live_list.watch_unlisted(endpoint_id, address)

    def _pop_content(
        self, key: str, progress_by_id: dict[str, dict[int, bytes]]
    ) -> dict:
        """Removes the parts that are not of a job and returns their content."""
        value_by_part = progress_by_id.pop(key, {})
        self._recorder.set_recorded_progress(key, value_by_part)
        try:
            return records.decode_parts(value_by_part)
        except records.RecordError as error:
            events.emit(
                _LOGGER,
                events.Event.RECORD_SKIPPED,
                topic=topics.PROGRESS,
                key=key,
                reason=str(error),
            )
            return {}

    def _restore_starts(
        self, rows_by_endpoint: dict[str, list]
    ) -> dict[str, str]:
        """Restores the start orders that earlier leaders knew as pending.

        Returns:
          The addresses that they were sent to, by the id of the endpoint.
        """
        pending_by_id = self.tables.endpoints.pending_starts_by_id
        address_by_endpoint = {}
        for endpoint_id, rows in rows_by_endpoint.items():
            for row in rows:
                try:
                    task, run, address = records.read_start_row(row)
                except records.RecordError as error:
                    events.emit(
                        _LOGGER,
                        events.Event.RECORD_SKIPPED,
                        topic=topics.PROGRESS,
                        key=topics.STARTS_KEY,
                        reason=str(error),
                    )
                    continue
                pending_by_id[endpoint_id].restore(
                    (task, run), self._pending_until_ms
                )
                if address:
                    address_by_endpoint[endpoint_id] = address
        return address_by_endpoint

    def _restore_job(
        self, job_id: str, value_by_part: dict[int, bytes]
    ) -> None:
        tables = self.tables
        job = tables.jobs.jobs_by_id[job_id]
        recorded = tables.jobs.recorded(job_id)
        if recorded is not None:
            self._recorder.set_recorded_state(job_id, recorded.state)
        if recorded is not None and recorded.state.final and not value_by_part:
            return
        self._recorder.set_recorded_progress(job_id, value_by_part)
        now_ms = tables.monotonic.now_ms()
        entry = progress.JobEntry(job, now_ms)
        waited_ms = max(0, tables.wall.now_ms() - job.accepted_ms)
        entry.arrived_ms = now_ms - waited_ms
        self._restore_entry(entry, value_by_part, now_ms)
        tables.crashes.restore(entry.units_by_key.values())
        if recorded is not None and recorded.state.final:
            entry.state = recorded.state
        tables.entries_by_id[job_id] = entry
        self._adopt(entry)
        if tables.jobs.cancelled(job_id):
            lifecycle.cancel_job(tables, job_id)
        if entry.state.final:
            for run in entry.runs():
                lifecycle.stop_run(tables, run, "the job has ended")
            tables.mark_dirty(job_id)
        elif entry.finished():
            lifecycle.set_state(tables, entry, model.JobState.COMPLETED)

    def _restore_entry(
        self,
        entry: progress.JobEntry,
        value_by_part: dict[int, bytes],
        now_ms: int,
    ) -> None:
        unix_ms = self.tables.wall.now_ms()
        if value_by_part:
            try:
                progress.restore(entry, value_by_part, unix_ms, now_ms)
            except (ValueError, KeyError, TypeError) as error:
                events.emit(
                    _LOGGER,
                    events.Event.RECORD_SKIPPED,
                    topic=topics.PROGRESS,
                    key=entry.job.job_id,
                    reason=str(error),
                )
        entry.open_due_steps(unix_ms, now_ms)

    def _adopt(self, entry: progress.JobEntry) -> None:
        """Adopts recorded runs; endpoint reports decide if they still run."""
        for run in entry.runs():
            lifecycle.adopt(
                self.tables,
                run,
                self._live_list.state_for,
                self._pending_until_ms,
            )
            events.emit(
                _LOGGER,
                events.Event.RUN_ADOPTED,
                job=run.unit.key.job_id,
                step=run.unit.key.step,
                index=run.unit.key.index,
                run=run.number,
                endpoints=sorted({m.endpoint_id for m in run.members}),
            )

    def _watch_endpoint(self, state: endpoint_table.EndpointState) -> None:
        # The leases of earlier leaders are counted from the claim on.
        state.prior_suspended_ms = self._suspended_ms
        if not self.recovered:
            # A report would list runs of jobs that are not restored yet.
            self._unwatched.append(state)
            return
        loop = watcher.Watcher(
            self._endpoints,
            self.tables,
            state,
            self._gate,
            self._may_renew,
            self._leadership.step_down,
        )
        self._spawn(loop.run())

    async def _wait_for_first_reports(self) -> None:
        """Waits for the first report of every listed endpoint.

        A pass that sees only the endpoints that answered first would preempt
        work there for jobs that fit elsewhere.
        """
        tables = self.tables
        began_ms = tables.monotonic.now_ms()
        while True:
            self._check_leadership()
            listed = [s for s in tables.endpoints.by_id.values() if s.listed]
            contacted = sum(1 for state in listed if state.contacted)
            waited_ms = tables.monotonic.now_ms() - began_ms
            if contacted == len(listed) or waited_ms >= FEW_REPORTS_TIMEOUT_MS:
                return
            enough = contacted >= FIRST_REPORTS_SHARE * len(listed)
            if enough and waited_ms >= FIRST_REPORTS_TIMEOUT_MS:
                return
            await asyncio.sleep(FIRST_REPORTS_POLL_MS / 1000)

    async def _placement_loop(self) -> None:
        tables = self.tables
        opened_ms = 0
        while True:
            try:
                async with asyncio.timeout(MAX_PASS_INTERVAL_MS / 1000):
                    await tables.wake.wait()
            except TimeoutError:
                pass
            tables.wake.clear()
            self._check_leadership()
            began_ms = tables.monotonic.now_ms()
            if began_ms - opened_ms >= MAX_PASS_INTERVAL_MS:
                opened_ms = began_ms
                self._open_due_steps()
            self._live_list.add_restarted()
            lifecycle.give_up_crashing(tables)
            await self._scheduler.prepare()
            self._check_leadership()
            self._scheduler.run()
            metrics.OPEN_JOBS.set({}, len(tables.entries_by_id))
            self._send_stops()
            if tables.dirty or self._has_unacknowledged_ends():
                self._flush_due.set()
            took_ms = tables.monotonic.now_ms() - began_ms
            metrics.PASS_SECONDS.observe(took_ms / 1000)
            self._log_long_pass(began_ms, took_ms)
            await asyncio.sleep(passes.pause_ms(took_ms) / 1000)

    def _log_long_pass(self, began_ms: int, took_ms: int) -> None:
        """Logs what a long pass was busy with, once in a while."""
        if took_ms < LONG_PASS_MS or began_ms < self._long_pass_logged_ms:
            return
        self._long_pass_logged_ms = began_ms + LONG_PASS_LOG_INTERVAL_MS
        times = self._scheduler.pass_times
        events.emit(
            _LOGGER,
            events.Event.PASS_LONG,
            took_ms=took_ms,
            ranking_ms=times.ranking_ms,
            placing_ms=times.placing_ms,
            jobs=len(self.tables.entries_by_id),
            steps=times.steps,
        )

    def _has_unacknowledged_ends(self) -> bool:
        return any(
            state.handled_end > state.acked_end
            for state in self.tables.endpoints.by_id.values()
        )

    def _open_due_steps(self) -> None:
        unix_ms = self.tables.wall.now_ms()
        now_ms = self.tables.monotonic.now_ms()
        for entry in self.tables.entries_by_id.values():
            if entry.job.scheduled and not entry.state.final:
                entry.open_due_steps(unix_ms, now_ms)

    def _send_stops(self) -> None:
        tables = self.tables
        stops = tables.pending_stops[: passes.MAX_STOPS]
        tables.pending_stops = tables.pending_stops[passes.MAX_STOPS :]
        if tables.pending_stops:
            tables.wake.set()
        for member in stops:
            self._spawn_isolated(
                self._launcher.stop(member),
                functools.partial(self._stop_again, member),
            )

    def _stop_again(self, member: progress.Member) -> None:
        self.tables.pending_stops.append(member)

    async def _record_loop(self) -> None:
        while True:
            await self._flush_due.wait()
            self._flush_due.clear()
            runs = await self._recorder.flush()
            if runs is None:
                self._leadership.step_down("its records were refused")
                self.tables.wake.set()
                return
            pause = pauses.Pauses(self.tables.monotonic)
            for run in runs:
                await pause.take()
                self._spawn_isolated(
                    self._launch(run),
                    functools.partial(
                        lifecycle.stop_run,
                        self.tables,
                        run,
                        "its launch failed unexpectedly",
                    ),
                )

    async def _launch(self, run: progress.Run) -> None:
        try:
            await self._launcher.launch(run)
        finally:
            self.tables.end_launch(run)

    async def _save_speeds_loop(self) -> None:
        saved: dict[str, float] = {}
        while True:
            await asyncio.sleep(SAVE_SPEEDS_INTERVAL_MS / 1000)
            if self.tables.recorded_starts:
                # Removes those that have expired.
                self._flush_due.set()
            speeds = self.tables.durations.speeds.dump()
            if speeds != saved:
                await self._recorder.save_speeds()
                saved = speeds

    async def _load_loop(self) -> None:
        # Endpoints that have shrunk under an earlier leader may grow again.
        largest_by_service = load_reports.largest_by_service(
            self._leadership.load(self.tables.bounds.keep_state_ms) or {}
        )
        while True:
            await asyncio.sleep(load_reports.INTERVAL_MS / 1000)
            try:
                holds.set_metrics(self.tables)
                ranking = load_reports.rank_waiting(self.tables)
                for _ in ranking.chunks():
                    await asyncio.sleep(0)
                backlogs = load_reports.collect(
                    self.tables, largest_by_service, ranking
                )
                load = load_reports.encode(backlogs)
                ranked = load_reports.encode_ranked(
                    backlogs, self.tables.wall.now_ms()
                )
            except Exception as error:  # Hosts then turn nothing away.
                events.emit(
                    _LOGGER,
                    events.Event.TASK_FAILED,
                    task="load_reports.collect",
                    reason=repr(error),
                )
                continue
            self._leadership.report_load(load, ranked)

    async def _clean_up_loop(self) -> None:
        while True:
            await asyncio.sleep(CLEAN_UP_INTERVAL_MS / 1000)
            tables = self.tables
            limit_ms = tables.wall.now_ms() - 2 * tables.bounds.keep_state_ms
            old = []
            for job_id in tables.jobs.jobs_by_id:
                changed = tables.jobs.recorded(job_id)
                if changed is None or not changed.state.final:
                    continue
                if changed.at_ms < limit_ms:
                    old.append(job_id)
            if old:
                await self._recorder.drop(old)
            expired = tables.jobs.expired_early_cancels(tables.wall.now_ms())
            if expired:
                await self._recorder.drop_early_cancels(expired)

    def _spawn(self, work: Coroutine) -> asyncio.Task:
        """Starts a task that the term cannot continue without."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _spawn_isolated(
        self, work: Coroutine, on_failed: Callable[[], None]
    ) -> None:
        """Starts a task whose failure concerns one run only."""
        task = asyncio.create_task(work)
        self._tasks.add(task)

        def finish(done: asyncio.Task) -> None:
            self._tasks.discard(done)
            if _log_failure(done):
                on_failed()

        task.add_done_callback(finish)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if _log_failure(task):
            # The other tasks must not continue without the failed one. The
            # next term recovers from the log.
            self._leadership.step_down("a task of the leader failed")


def _log_failure(task: asyncio.Task) -> bool:
    """Logs the exception of a finished task; returns whether it had one."""
    if task.cancelled() or task.exception() is None:
        return False
    events.emit(
        _LOGGER,
        events.Event.TASK_FAILED,
        task=task.get_coro().__qualname__,
        reason=repr(task.exception()),
    )
    return True
