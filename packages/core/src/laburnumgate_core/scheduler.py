"""The placing host's tables for one zone and the systems that run over them.

The scheduler does no I/O: `tick` and `on` return actions, see `actions`.
"""

import dataclasses
import random

from laburnumgate_core import actions
from laburnumgate_core import clock
from laburnumgate_core import config
from laburnumgate_core import gang
from laburnumgate_core import jobs
from laburnumgate_core import model
from laburnumgate_core import placement
from laburnumgate_core import records
from laburnumgate_core import verdict

BACKOFF_MIN_MS = 200
BACKOFF_MAX_MS = 3_200
# Waiting jobs that one tick tries to place.
PLACEMENTS_PER_TICK = 64

_URGENCY_ORDER = {
    model.Urgency.URGENT: 0,
    model.Urgency.NORMAL: 1,
    model.Urgency.BATCH: 2,
}


@dataclasses.dataclass(frozen=True)
class _Backoff:
    """When a job may be tried again, and the pause that led to it."""

    until_ms: int
    pause_ms: int


@dataclasses.dataclass(frozen=True)
class Summary:
    """Free capacity of the zone, for other hosts."""

    free_accelerators: int
    largest_free_rack: int
    waiting_jobs: int


class Scheduler:
    """Places the jobs of one zone."""

    def __init__(
        self,
        zone: str,
        job_table: jobs.JobTable,
        config_table: config.ConfigTable,
        time: clock.Clock,
        rng: random.Random,
    ):
        self.zone = zone
        self.active = False
        self.endpoints_by_id: dict[str, model.Endpoint] = {}
        self.runs_by_id: dict[str, gang.Run] = {}
        self.stopped_by_operator = False
        self._jobs = job_table
        self._config = config_table
        self._clock = time
        self._rng = rng
        self._backoff_by_id: dict[str, _Backoff] = {}
        self._unreported: set[str] = set()
        self._renew_at_ms = 0

    def activate(self) -> None:
        """Becomes the placing host: starts nothing until all reported."""
        self.active = True
        self.runs_by_id.clear()
        self._backoff_by_id.clear()
        self._unreported = set(self.endpoints_by_id)
        now_ms = self._clock.now_ms()
        for request_id in self._jobs.open_ids(self.zone):
            job = self._jobs.get(request_id)
            if job.state is jobs.JobState.ACTIVE:
                self._adopt(job, now_ms)

    def deactivate(self) -> None:
        """Stops placing; running tasks go on under the next host."""
        self.active = False
        self.runs_by_id.clear()

    @property
    def recovering(self) -> bool:
        """Whether reports of endpoints are still missing."""
        return bool(self._unreported)

    def update_endpoints(self, endpoints: list[model.Endpoint]) -> None:
        """Takes the zone's endpoints from the live list."""
        by_id = {e.endpoint_id: e for e in endpoints if e.zone == self.zone}
        if self.active:
            self._unreported |= by_id.keys() - self.endpoints_by_id.keys()
        self.endpoints_by_id = by_id
        self._unreported &= by_id.keys()

    def may_start(self, endpoint_id: str) -> bool:
        """Whether the endpoint may get new work at this moment."""
        endpoint = self.endpoints_by_id.get(endpoint_id)
        if endpoint is None or endpoint.leaving or self.stopped_by_operator:
            return False
        if not self._config.zone_in_service(self.zone):
            return False
        return self._config.endpoint_active(endpoint_id)

    def on(self, result: actions.Result) -> list[actions.Action]:
        """Takes one result and returns what follows from it."""
        now_ms = self._clock.now_ms()
        wanted: list[actions.Action] = []
        match result:
            case actions.Report() | actions.EndpointLost():
                self._unreported.discard(result.endpoint_id)
                for run in list(self.runs_by_id.values()):
                    if result.endpoint_id in run.endpoint_ids:
                        wanted.extend(run.on(result, now_ms))
                if isinstance(result, actions.Report):
                    wanted.extend(self._stop_strays(result))
            case actions.Appended():
                wanted.extend(self._to_run(result.record.request_id, result))
            case actions.PartAnswer():
                request_id, _, _ = model.parse_task_id(result.task_id)
                wanted.extend(self._to_run(request_id, result))
            case actions.LeaseGranted():
                if result.request_id not in self.runs_by_id:
                    return [
                        actions.ReleaseLease(result.endpoint_id, result.token)
                    ]
                wanted.extend(self._to_run(result.request_id, result))
            case actions.LeaseRefused():
                wanted.extend(self._to_run(result.request_id, result))
            case actions.Renewed():
                self._on_renewed(result)
        self._remove_done()
        return wanted

    def tick(self) -> list[actions.Action]:
        """Runs every system once."""
        if not self.active:
            return []
        now_ms = self._clock.now_ms()
        wanted = self._step_runs(now_ms)
        if not self.recovering:
            wanted.extend(self._settle_adopted(now_ms))
            wanted.extend(self._expire(now_ms))
            wanted.extend(self._place(now_ms))
        wanted.extend(self._renew(now_ms))
        self._remove_done()
        return wanted

    def summary(self) -> Summary:
        """Returns the zone's free capacity."""
        racks = [
            sum(row.accelerators for row in rows)
            for rows in self._free_by_rack().values()
        ]
        waiting = sum(
            1
            for request_id in self._jobs.open_ids(self.zone)
            if self._jobs.get(request_id).state is jobs.JobState.QUEUED
        )
        return Summary(sum(racks), max(racks, default=0), waiting)

    def _to_run(
        self, request_id: str, result: actions.Result
    ) -> list[actions.Action]:
        run = self.runs_by_id.get(request_id)
        if run is None:
            return []
        return run.on(result, self._clock.now_ms())

    def _adopt(self, job: jobs.Job, now_ms: int) -> None:
        run = gang.Run(job, job.run, self.zone, job.endpoints, self.may_start)
        run.adopt(job.boot_ids, now_ms)
        self.runs_by_id[job.request_id] = run

    def _settle_adopted(self, now_ms: int) -> list[actions.Action]:
        wanted = []
        for run in self.runs_by_id.values():
            if any(part.state == "unknown" for part in run.parts):
                wanted.extend(run.settle(now_ms))
        return wanted

    def _stop_strays(self, report: actions.Report) -> list[actions.Action]:
        """Stops tasks of runs that the log knows to be over."""
        wanted: list[actions.Action] = []
        for view in report.tasks:
            request_id, number, _ = model.parse_task_id(view.task_id)
            job = self._jobs.get(request_id)
            over = job is not None and (
                job.state is jobs.JobState.ENDED
                or number < job.run
                or (number == job.run and job.state is jobs.JobState.QUEUED)
            )
            if not over:
                continue
            if view.state in ("held", "running"):
                wanted.append(
                    actions.StopPart(report.endpoint_id, view.task_id)
                )
            else:
                wanted.append(
                    actions.Acknowledge(report.endpoint_id, (view.task_id,))
                )
        return wanted

    def _step_runs(self, now_ms: int) -> list[actions.Action]:
        wanted = []
        for request_id, run in self.runs_by_id.items():
            wanted.extend(run.tick(now_ms))
            job = self._jobs.get(request_id)
            if job is None or job.run > run.run:
                wanted.extend(run.stop("another run was recorded", now_ms))
            elif job.cancelled:
                wanted.extend(run.stop("cancelled", now_ms))
        return wanted

    def _expire(self, now_ms: int) -> list[actions.Action]:
        wanted = []
        for job in self._waiting():
            if job.deadline_ms and now_ms > job.deadline_ms:
                outcome = verdict.NotRun("the deadline passed while it waited")
                if job.may_have_run:
                    outcome = verdict.RanFailed("the deadline passed")
                wanted.append(
                    actions.Append(
                        records.Ended(job.request_id, job.run, outcome, now_ms)
                    )
                )
        return wanted

    def _place(self, now_ms: int) -> list[actions.Action]:
        wanted: list[actions.Action] = []
        free_by_rack = None
        tries = 0
        for job in sorted(self._waiting(), key=_order):
            backoff = self._backoff_by_id.get(job.request_id)
            if backoff is not None and now_ms < backoff.until_ms:
                continue
            if tries >= PLACEMENTS_PER_TICK:
                break
            tries += 1
            if free_by_rack is None:
                free_by_rack = self._free_by_rack()
            chosen = placement.choose(job.spec, free_by_rack)
            if chosen is None:
                continue
            run = gang.Run(job, job.run + 1, self.zone, chosen, self.may_start)
            self.runs_by_id[job.request_id] = run
            wanted.extend(run.start())
            free_by_rack = None
        return wanted

    def _renew(self, now_ms: int) -> list[actions.Action]:
        """Renews task leases, one call for each endpoint with tasks."""
        if now_ms < self._renew_at_ms:
            return []
        self._renew_at_ms = now_ms + gang.TASK_LEASE_MS // 3
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
            request_id, _, _ = model.parse_task_id(task_id)
            run = self.runs_by_id.get(request_id)
            if run is not None:
                run.renewed(result)

    def _waiting(self) -> list[jobs.Job]:
        waiting = []
        for request_id in self._jobs.open_ids(self.zone):
            if request_id in self.runs_by_id:
                continue
            job = self._jobs.get(request_id)
            if job.state is jobs.JobState.QUEUED:
                waiting.append(job)
        return waiting

    def _free_by_rack(self) -> dict[str, list[placement.Free]]:
        used_by_id: dict[str, list[model.JobSpec]] = {}
        for run in self.runs_by_id.values():
            for part in run.parts:
                used_by_id.setdefault(part.endpoint_id, []).append(run.job.spec)
        free_by_rack: dict[str, list[placement.Free]] = {}
        for endpoint_id, endpoint in self.endpoints_by_id.items():
            if not self.may_start(endpoint_id):
                continue
            used = used_by_id.get(endpoint_id, ())
            free_by_rack.setdefault(endpoint.rack, []).append(
                placement.Free(
                    endpoint=endpoint,
                    accelerators=endpoint.accelerators
                    - sum(spec.accelerators_per_part for spec in used),
                    cpus=endpoint.cpus
                    - sum(spec.cpus_per_part for spec in used),
                    memory_mb=endpoint.memory_mb
                    - sum(spec.memory_mb_per_part for spec in used),
                    slots=endpoint.slots - len(used),
                )
            )
        return free_by_rack

    def _remove_done(self) -> None:
        now_ms = self._clock.now_ms()
        for request_id, run in list(self.runs_by_id.items()):
            if run.phase is not gang.Phase.DONE:
                continue
            del self.runs_by_id[request_id]
            if run.outcome is None:
                self._back_off(request_id, now_ms)
            else:
                self._backoff_by_id.pop(request_id, None)

    def _back_off(self, request_id: str, now_ms: int) -> None:
        last = self._backoff_by_id.get(request_id)
        pause_ms = BACKOFF_MIN_MS
        if last is not None:
            pause_ms = min(BACKOFF_MAX_MS, last.pause_ms * 2)
        jitter_ms = self._rng.randrange(pause_ms)
        self._backoff_by_id[request_id] = _Backoff(
            now_ms + pause_ms + jitter_ms, pause_ms
        )


def _order(job: jobs.Job) -> tuple[int, int, str]:
    return (
        _URGENCY_ORDER[job.spec.urgency],
        job.submitted_at_ms,
        job.request_id,
    )
