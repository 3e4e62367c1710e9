"""The runs that a placing host watches in its zone.

The table passes results on to the runs they concern, takes over runs of an
earlier placing host, stops tasks that no run owns, and renews task leases.
"""

from collections.abc import Callable
from collections.abc import Iterable

from laburnumgate_core import actions
from laburnumgate_core import gang
from laburnumgate_core import jobs
from laburnumgate_core import model

RENEW_EVERY_MS = gang.TASK_LEASE_MS // 3


class RunTable:
    """Runs by job id."""

    def __init__(
        self,
        zone: str,
        job_table: jobs.JobTable,
        may_start: Callable[[str], bool],
    ):
        """Creates an empty table.

        Args:
          zone: availability zone of the runs.
          job_table: jobs as the log tells them.
          may_start: tells whether an endpoint may get new work now.
        """
        self.runs_by_id: dict[str, gang.Run] = {}
        self._zone = zone
        self._jobs = job_table
        self._may_start = may_start
        self._unreported: set[str] = set()
        self._adopted_ids: set[str] = set()
        self._renew_at_ms = 0

    @property
    def recovering(self) -> bool:
        """Whether reports that adopted runs depend on are missing."""
        return bool(self._unreported)

    def adopt(self, endpoint_ids: Iterable[str], now_ms: int) -> None:
        """Takes over the zone's recorded runs after a change of host.

        Nothing may be started until each endpoint has reported or is lost.
        """
        self.clear()
        self._unreported = set(endpoint_ids)
        for job_id in self._jobs.open_ids(self._zone):
            job = self._jobs.get(job_id)
            if job.state is not jobs.JobState.ACTIVE:
                continue
            run = gang.Run(
                job, job.run, self._zone, job.endpoints, self._may_start
            )
            run.adopt(job.boot_ids, now_ms)
            self.runs_by_id[job_id] = run
            self._adopted_ids.add(job_id)

    def clear(self) -> None:
        """Forgets every run; their tasks go on."""
        self.runs_by_id.clear()
        self._unreported.clear()
        self._adopted_ids.clear()

    def expect_report(self, endpoint_id: str) -> None:
        """Waits for a first report of an endpoint before new starts."""
        self._unreported.add(endpoint_id)

    def forget_endpoint(self, endpoint_id: str) -> None:
        """Stops waiting for an endpoint that left the live list."""
        self._unreported.discard(endpoint_id)

    def start(
        self, job: jobs.Job, endpoint_ids: tuple[str, ...]
    ) -> list[actions.Action]:
        """Starts the job's next run on `endpoint_ids`, one for each part."""
        run = gang.Run(
            job, job.run + 1, self._zone, endpoint_ids, self._may_start
        )
        self.runs_by_id[job.job_id] = run
        return run.start()

    def on(self, result: actions.Result, now_ms: int) -> list[actions.Action]:
        """Passes a result on to the run or the runs it concerns."""
        match result:
            case actions.Report():
                return self._on_report(result, now_ms)
            case actions.EndpointLost():
                self._unreported.discard(result.endpoint_id)
                return self._to_endpoint(result, now_ms)
            case actions.Appended():
                return self._to_run(result.record.job_id, result, now_ms)
            case actions.PartAnswer():
                job_id, _, _ = model.parse_task_id(result.task_id)
                return self._to_run(job_id, result, now_ms)
            case actions.LeaseGranted():
                if result.job_id not in self.runs_by_id:
                    return [
                        actions.ReleaseLease(result.endpoint_id, result.token)
                    ]
                return self._to_run(result.job_id, result, now_ms)
            case actions.LeaseRefused():
                return self._to_run(result.job_id, result, now_ms)
            case actions.Renewed():
                self._on_renewed(result)
        return []

    def tick(self, now_ms: int) -> list[actions.Action]:
        """Steps every run, settles adopted ones and renews leases."""
        wanted: list[actions.Action] = []
        for job_id, run in self.runs_by_id.items():
            wanted.extend(run.tick(now_ms))
            job = self._jobs.get(job_id)
            if job is None or job.run > run.run:
                wanted.extend(run.stop("another run was recorded", now_ms))
            elif job.cancelled:
                wanted.extend(run.stop("cancelled", now_ms))
        if not self.recovering:
            wanted.extend(self._settle_adopted(now_ms))
        wanted.extend(self._renew(now_ms))
        return wanted

    def take_done(self) -> list[gang.Run]:
        """Removes and returns the runs that are over."""
        done = []
        for job_id, run in list(self.runs_by_id.items()):
            if run.phase is gang.Phase.DONE:
                del self.runs_by_id[job_id]
                done.append(run)
        return done

    def _to_run(
        self, job_id: str, result: actions.Result, now_ms: int
    ) -> list[actions.Action]:
        run = self.runs_by_id.get(job_id)
        if run is None:
            return []
        return run.on(result, now_ms)

    def _to_endpoint(
        self, result: actions.Report | actions.EndpointLost, now_ms: int
    ) -> list[actions.Action]:
        wanted: list[actions.Action] = []
        for run in self.runs_by_id.values():
            if result.endpoint_id in run.endpoint_ids:
                wanted.extend(run.on(result, now_ms))
        return wanted

    def _on_report(
        self, report: actions.Report, now_ms: int
    ) -> list[actions.Action]:
        self._unreported.discard(report.endpoint_id)
        wanted = self._to_endpoint(report, now_ms)
        for view in report.tasks:
            wanted.extend(self._stop_stray(report.endpoint_id, view))
        return wanted

    def _stop_stray(
        self, endpoint_id: str, view: actions.TaskView
    ) -> list[actions.Action]:
        """Stops or acknowledges a task whose run the log knows to be over."""
        job_id, number, _ = model.parse_task_id(view.task_id)
        job = self._jobs.get(job_id)
        if job is None or number > job.run:
            return []
        over = job.state is not jobs.JobState.ACTIVE or number < job.run
        if not over:
            return []
        if view.state in ("held", "running"):
            return [actions.StopPart(endpoint_id, view.task_id)]
        return [actions.Acknowledge(endpoint_id, (view.task_id,))]

    def _settle_adopted(self, now_ms: int) -> list[actions.Action]:
        wanted: list[actions.Action] = []
        for job_id in self._adopted_ids:
            run = self.runs_by_id.get(job_id)
            if run is not None:
                wanted.extend(run.settle(now_ms))
        self._adopted_ids.clear()
        return wanted

    def _renew(self, now_ms: int) -> list[actions.Action]:
        """Renews task leases, one call for each endpoint with tasks."""
        if now_ms < self._renew_at_ms:
            return []
        self._renew_at_ms = now_ms + RENEW_EVERY_MS
        task_ids_by_endpoint: dict[str, list[str]] = {}
        for run in self.runs_by_id.values():
            if run.phase is not gang.Phase.RUNNING:
                continue
            for part in run.parts:
                if part.state != "running":
                    continue
                task_ids_by_endpoint.setdefault(part.endpoint_id, []).append(
                    part.task_id
                )
        return [
            actions.RenewTasks(endpoint_id, tuple(ids), gang.TASK_LEASE_MS)
            for endpoint_id, ids in task_ids_by_endpoint.items()
        ]

    def _on_renewed(self, result: actions.Renewed) -> None:
        for task_id in result.task_ids:
            job_id, _, _ = model.parse_task_id(task_id)
            run = self.runs_by_id.get(job_id)
            if run is not None:
                run.renewed(result)
