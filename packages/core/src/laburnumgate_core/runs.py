"""The runs that a placing host manages in its zone.

The table dispatches results to the affected runs, adopts runs of an earlier
placing host, stops tasks that no run owns, and renews task leases. Runs are
indexed by endpoint and by due time, so that the cost of a step depends on the
number of affected runs and not on the size of the zone.
"""

from collections.abc import Callable
from collections.abc import Iterable
import heapq

from laburnumgate_core import actions
from laburnumgate_core import gang
from laburnumgate_core import jobs
from laburnumgate_core import model
from laburnumgate_core import renewal

# Finds changes of jobs that were not passed to `reconcile_job`, such as a run
# that the earlier placing host recorded after this host took over.
SCAN_INTERVAL_MS = 1_000


class RunTable:
    """Runs by job id."""

    def __init__(
        self,
        zone: str,
        job_table: jobs.JobTable,
        may_start: Callable[[str], bool],
        has_room: Callable[[str], bool] | None = None,
    ):
        """Creates an empty table.

        Args:
          zone: availability zone of the runs.
          job_table: jobs as recorded in the log.
          may_start: returns whether an endpoint may get new work now.
          has_room: returns whether the runs on an endpoint fit its capacity;
            None if all do.
        """
        self.runs_by_id: dict[str, gang.Run] = {}
        self._zone = zone
        self._jobs = job_table
        self._may_start = may_start
        self._has_room = has_room
        self._unreported: set[str] = set()
        self._job_ids_by_endpoint: dict[str, dict[str, None]] = {}
        self._reconciled_by_id: dict[
            str, tuple[jobs.Job | None, jobs.Job | None]
        ] = {}
        # Endpoint and last known state by job and task id, for tasks that no
        # run of this table owns.
        self._unknown_runs_by_id: dict[str, dict[str, tuple[str, str]]] = {}
        self._due_by_id: dict[str, int] = {}
        self._due_heap: list[tuple[int, str]] = []
        self._done_ids: dict[str, None] = {}
        self._renewals = renewal.RenewalSchedule()
        self._attempt = 0
        self._scan_at_ms = 0
        self._now_ms = 0

    @property
    def recovering(self) -> bool:
        """Whether the first report of any endpoint is missing."""
        return bool(self._unreported)

    def adopt(self, endpoint_ids: Iterable[str], now_ms: int) -> None:
        """Takes over the zone's recorded runs when the placing host changes.

        No run may be started until each endpoint has reported or is lost.
        """
        self.clear()
        self._now_ms = now_ms
        self._unreported = set(endpoint_ids)
        for job_id in self._jobs.open_ids(self._zone):
            # Endpoints usually send their first report before this time.
            self._adopt_job(
                job_id, now_ms, now_ms + gang.ADOPT_READ_INTERVAL_MS
            )

    def clear(self) -> None:
        """Removes every run from the table; their tasks keep running."""
        self.runs_by_id.clear()
        self._unreported.clear()
        self._job_ids_by_endpoint.clear()
        self._unknown_runs_by_id.clear()
        self._due_by_id.clear()
        self._reconciled_by_id.clear()
        self._due_heap.clear()
        self._done_ids.clear()
        self._renewals.clear()

    def expect_report(self, endpoint_id: str) -> None:
        """Blocks new starts until the endpoint has reported or is lost."""
        self._unreported.add(endpoint_id)

    def forget_endpoint(self, endpoint_id: str) -> None:
        """Stops waiting for an endpoint that left the live list."""
        self._unreported.discard(endpoint_id)

    def start(
        self, job: jobs.Job, endpoint_ids: tuple[str, ...]
    ) -> list[actions.Action]:
        """Starts the job's next run on `endpoint_ids`, one for each part.

        The launch window begins at the time of the last `tick` or `on`.
        """
        run = self._create_run(job, job.run + 1, endpoint_ids)
        wanted = run.start(self._now_ms)
        self._update_due(run)
        return wanted

    def on(self, result: actions.Result, now_ms: int) -> list[actions.Action]:
        """Dispatches a result to the affected run or runs."""
        self._now_ms = now_ms
        match result:
            case actions.Report():
                return self._on_report(result, now_ms)
            case actions.EndpointLost():
                self._unreported.discard(result.endpoint_id)
                return self._dispatch_to_endpoint(result, now_ms)
            case actions.Appended():
                return self._dispatch_to_run(
                    result.record.job_id, result, now_ms
                )
            case actions.PartAnswer():
                job_id, _, _ = model.parse_task_id(result.task_id)
                return self._dispatch_to_run(job_id, result, now_ms)
            case actions.LeaseGranted():
                if result.job_id not in self.runs_by_id:
                    return [
                        actions.ReleaseLease(result.endpoint_id, result.token)
                    ]
                return self._dispatch_to_run(result.job_id, result, now_ms)
            case actions.LeaseRefused() | actions.TasksRead():
                return self._dispatch_to_run(result.job_id, result, now_ms)
            case actions.Renewed():
                self._on_renewed(result)
        return []

    def reconcile_job(self, job_id: str, now_ms: int) -> list[actions.Action]:
        """Updates a job's run and unknown tasks after a change of the job."""
        self._now_ms = now_ms
        run = self.runs_by_id.get(job_id)
        if run is None:
            wanted = self._clear_unknown_runs(job_id)
            run = self._adopt_job(job_id, now_ms, now_ms)
            if run is not None:
                wanted.extend(run.tick(now_ms))
                self._update_due(run)
            return wanted
        latest = self._jobs.get(job_id)
        committed = self._jobs.committed(job_id)
        self._reconciled_by_id[job_id] = (latest, committed)
        wanted = run.reconcile(latest, committed, now_ms)
        self._update_due(run)
        return [*wanted, *self._clear_unknown_runs(job_id)]

    def tick(self, now_ms: int) -> list[actions.Action]:
        """Advances the runs that are due, then renews leases that are due.

        The order matters for a host that was paused: runs whose leases
        have expired are stopped before anything is renewed.
        """
        self._now_ms = now_ms
        wanted: list[actions.Action] = []
        if now_ms >= self._scan_at_ms:
            self._scan_at_ms = now_ms + SCAN_INTERVAL_MS
            wanted.extend(self._reconcile_changed(now_ms))
        for run in self._take_due(now_ms):
            wanted.extend(run.tick(now_ms))
            self._update_due(run)
        for endpoint_id in self._renewals.take_due(now_ms):
            wanted.extend(self._renew_leases(endpoint_id, now_ms))
        return wanted

    def take_done(self) -> list[gang.Run]:
        """Removes and returns the runs that have ended."""
        done = []
        for job_id in self._done_ids:
            run = self.runs_by_id.pop(job_id)
            self._due_by_id.pop(job_id, None)
            self._reconciled_by_id.pop(job_id, None)
            for endpoint_id in run.distinct_endpoint_ids:
                job_ids = self._job_ids_by_endpoint[endpoint_id]
                job_ids.pop(job_id, None)
                if not job_ids:
                    del self._job_ids_by_endpoint[endpoint_id]
            self._keep_unacknowledged(run)
            done.append(run)
        self._done_ids.clear()
        return done

    def _create_run(
        self, job: jobs.Job, number: int, endpoint_ids: tuple[str, ...]
    ) -> gang.Run:
        self._attempt += 1
        run = gang.Run(
            job,
            number,
            self._zone,
            endpoint_ids,
            self._may_start,
            self._attempt,
            self._has_room,
        )
        self.runs_by_id[job.job_id] = run
        for endpoint_id in run.distinct_endpoint_ids:
            job_ids = self._job_ids_by_endpoint.setdefault(endpoint_id, {})
            job_ids[job.job_id] = None
        return run

    def _adopt_job(
        self, job_id: str, now_ms: int, read_at_ms: int
    ) -> gang.Run | None:
        job = self._jobs.get(job_id)
        if job is None or job.state is not jobs.JobState.ACTIVE:
            return None
        if job.zone != self._zone:
            return None
        run = self._create_run(job, job.run, job.endpoints)
        run.adopt(job.boot_ids, now_ms, read_at_ms)
        self._update_due(run)
        return run

    def _update_due(self, run: gang.Run) -> None:
        """Updates the due time of the run, or marks the run as done."""
        job_id = run.job.job_id
        if self.runs_by_id.get(job_id) is not run:
            return
        if run.phase is gang.Phase.DONE:
            self._done_ids[job_id] = None
            return
        if run.phase is gang.Phase.RUNNING:
            for endpoint_id in run.distinct_endpoint_ids:
                due_ms = self._now_ms + renewal.RENEW_EVERY_MS
                self._renewals.add(endpoint_id, due_ms)
        due_ms = run.due_ms
        if self._due_by_id.get(job_id) != due_ms:
            self._due_by_id[job_id] = due_ms
            heapq.heappush(self._due_heap, (due_ms, job_id))

    def _take_due(self, now_ms: int) -> list[gang.Run]:
        due = []
        while self._due_heap and self._due_heap[0][0] <= now_ms:
            due_ms, job_id = heapq.heappop(self._due_heap)
            if self._due_by_id.get(job_id) != due_ms:
                continue
            del self._due_by_id[job_id]
            due.append(self.runs_by_id[job_id])
        return due

    def _reconcile_changed(self, now_ms: int) -> list[actions.Action]:
        changed = dict.fromkeys(self._unknown_runs_by_id)
        for job_id in self._jobs.open_ids(self._zone):
            if job_id in self.runs_by_id:
                continue
            if self._jobs.get(job_id).state is jobs.JobState.ACTIVE:
                changed[job_id] = None
        for job_id in self.runs_by_id:
            if self._needs_reconcile(job_id):
                changed[job_id] = None
        wanted: list[actions.Action] = []
        for job_id in changed:
            wanted.extend(self.reconcile_job(job_id, now_ms))
        return wanted

    def _needs_reconcile(self, job_id: str) -> bool:
        """Whether the job has changed since its run was last reconciled."""
        reconciled = self._reconciled_by_id.get(job_id)
        if reconciled is None:
            return True
        # Jobs are immutable, so a changed job is another object.
        latest, committed = reconciled
        if latest is not self._jobs.get(job_id):
            return True
        return committed is not self._jobs.committed(job_id)

    def _dispatch_to_run(
        self, job_id: str, result: actions.Result, now_ms: int
    ) -> list[actions.Action]:
        run = self.runs_by_id.get(job_id)
        if run is None:
            return []
        wanted = run.on(result, now_ms)
        self._update_due(run)
        return wanted

    def _dispatch_to_endpoint(
        self, result: actions.Report | actions.EndpointLost, now_ms: int
    ) -> list[actions.Action]:
        wanted: list[actions.Action] = []
        for job_id in self._job_ids_by_endpoint.get(result.endpoint_id, ()):
            wanted.extend(self._dispatch_to_run(job_id, result, now_ms))
        return wanted

    def _on_report(
        self, report: actions.Report, now_ms: int
    ) -> list[actions.Action]:
        self._unreported.discard(report.endpoint_id)
        wanted = self._dispatch_to_endpoint(report, now_ms)
        unknown_job_ids: dict[str, None] = {}
        for view in report.tasks:
            job_id, number, _ = model.parse_task_id(view.task_id)
            run = self.runs_by_id.get(job_id)
            if run is not None and run.run == number:
                continue
            unknown_runs = self._unknown_runs_by_id.setdefault(job_id, {})
            unknown_runs[view.task_id] = (report.endpoint_id, view.state)
            unknown_job_ids[job_id] = None
        for job_id in unknown_job_ids:
            wanted.extend(self._clear_unknown_runs(job_id))
        return wanted

    def _keep_unacknowledged(self, run: gang.Run) -> None:
        """Keeps the tasks of a run whose end is not in the log yet."""
        if not run.unacknowledged:
            return
        unknown_runs = self._unknown_runs_by_id.setdefault(run.job.job_id, {})
        for part in run.parts:
            if part.ended:
                unknown_runs[part.task_id] = (part.endpoint_id, part.state)

    def _clear_unknown_runs(self, job_id: str) -> list[actions.Action]:
        """Stops or acknowledges tasks whose run has ended in the log.

        A task whose run is not in the log yet is kept, because the run may be
        recorded later. Its lease expires unless a host renews it.
        """
        unknown_runs = self._unknown_runs_by_id.get(job_id)
        job = self._jobs.committed(job_id)
        if not unknown_runs or job is None:
            return []
        wanted: list[actions.Action] = []
        for task_id, (endpoint_id, state) in list(unknown_runs.items()):
            _, number, _ = model.parse_task_id(task_id)
            match job.state:
                case jobs.JobState.QUEUED if number > job.run:
                    continue
                case jobs.JobState.ACTIVE if number >= job.run:
                    continue
            del unknown_runs[task_id]
            if state in ("held", "running"):
                # The next report lists the task as ended, and the task is
                # acknowledged then.
                wanted.append(actions.StopPart(endpoint_id, task_id))
            else:
                wanted.append(actions.Acknowledge(endpoint_id, (task_id,)))
        if not unknown_runs:
            del self._unknown_runs_by_id[job_id]
        return wanted

    def _renew_leases(
        self, endpoint_id: str, now_ms: int
    ) -> list[actions.Action]:
        """Renews the task leases of one endpoint in one call."""
        task_ids: list[str] = []
        for job_id in self._job_ids_by_endpoint.get(endpoint_id, ()):
            run = self.runs_by_id[job_id]
            task_ids.extend(run.tasks_to_renew(endpoint_id, now_ms))
        if not task_ids:
            return []
        self._renewals.add(endpoint_id, now_ms + renewal.RENEW_RETRY_MS)
        return [
            actions.RenewTasks(endpoint_id, tuple(task_ids), gang.TASK_LEASE_MS)
        ]

    def _on_renewed(self, result: actions.Renewed) -> None:
        job_ids: dict[str, None] = {}
        for task_id in result.task_ids:
            job_id, _, _ = model.parse_task_id(task_id)
            job_ids[job_id] = None
        for job_id in job_ids:
            run = self.runs_by_id.get(job_id)
            if run is not None:
                run.confirm_renewal(result)
                self._update_due(run)
        due_ms = result.asked_ms + renewal.RENEW_EVERY_MS
        self._renewals.postpone(result.endpoint_id, due_ms)
