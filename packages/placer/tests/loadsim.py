"""Plays a load on a manual clock against the placer's own decisions.

Endpoints, orders and their answers are simulated without a network. What is
turned away, placed, stopped and reserved is decided by the code under test.
"""

import builders
from laburnumgate_placer import lifecycle
from laburnumgate_placer import load_reports
from laburnumgate_placer import model
from laburnumgate_placer import progress
from laburnumgate_placer import scheduling
from laburnumgate_placer.overload import admission
import orjson

TICK_MS = 100


class LoadSimulation:
    """A leader, its endpoints, and a host that decides on submissions.

    Attributes:
      tables: the leader's tables.
      refusals_by_id: jobs that were turned away.
      known_by_id: the report by which a job was turned away or accepted.
      started_ms_by_id: time from its submission to the first start of a job.
      ended_ms_by_id: time from its submission to the end of a job.
      stopped_by_id: how often runs of a job were stopped for other work.
    """

    def __init__(
        self, tables, *, by_cost=True, accept_all=False, work_ratio=1.0
    ):
        """Creates a simulation.

        Args:
          tables: tables with endpoints.
          by_cost: whether the host decides by cost of delay.
          accept_all: whether no job is turned away.
          work_ratio: true duration of work in declared durations.
        """
        self.tables = tables
        self.refusals_by_id = {}
        self.known_by_id = {}
        self.started_ms_by_id = {}
        self.ended_ms_by_id = {}
        self.stopped_by_id = {}
        self._by_cost = by_cost
        self._accept_all = accept_all
        self._work_ratio = work_ratio
        self._scheduler = scheduling.Scheduler(tables)
        self._report = None
        self._reported_ms = None
        self._submitted_ms_by_id = {}
        self._running = []
        self._stopping = []
        self._ends = 0

    @property
    def now_ms(self) -> int:
        """Monotonic time."""
        return self.tables.monotonic.now_ms()

    def known(self, service="pool") -> admission.Backlog | None:
        """Returns the leader's latest report, as other hosts decode it."""
        if self._report is None:
            return None
        load, ranked = orjson.loads(self._report)
        found = load_reports.decode(load).get(service)
        if found is None or ranked is None:
            return found
        _, ranked_by_service = load_reports.decode_ranked(ranked)
        return builders.replace(found, ranked=ranked_by_service.get(service))

    def submit(self, job: model.Job) -> progress.JobEntry | None:
        """Submits a job; returns its entry unless it is turned away."""
        known = None if self._accept_all else self.known()
        self.known_by_id[job.job_id] = known
        refusal = admission.decide(job, 0, known, by_cost=self._by_cost)
        if refusal is not None:
            self.refusals_by_id[job.job_id] = refusal
            return None
        self._submitted_ms_by_id[job.job_id] = self.now_ms
        job = builders.replace(job, accepted_ms=self.tables.wall.now_ms())
        return lifecycle.open_job(self.tables, job)

    def tick(self) -> None:
        """Plays the next `TICK_MS`."""
        self._report_load()
        self._finish_stops()
        self._finish_work()
        self._scheduler.run()
        self._send_orders()
        self.tables.dirty.clear()
        self.tables.monotonic.advance(TICK_MS)
        self.tables.wall.advance(TICK_MS)

    def _report_load(self) -> None:
        reported_ms = self._reported_ms
        if reported_ms is not None and (
            self.now_ms - reported_ms < load_reports.INTERVAL_MS
        ):
            return
        self._reported_ms = self.now_ms
        for run, _ in self._running:
            self._report_progress(run)
        backlogs = load_reports.collect(self.tables, {})
        unix_ms = self.tables.wall.now_ms()
        self._report = orjson.dumps(
            [
                load_reports.encode(backlogs),
                load_reports.encode_ranked(backlogs, unix_ms),
            ]
        )

    def _report_progress(self, run) -> None:
        if run.phase != progress.Phase.RUNNING:
            return
        done = (self.now_ms - run.started_ms) / self._work_ms(run)
        for member in run.members:
            member.percent = min(99, int(100 * done))
            member.percent_at_ms = self.now_ms
            self.tables.durations.observe(member)

    def _work_ms(self, run) -> float:
        return self._work_ratio * run.unit.step.estimate_ms

    def _finish_stops(self) -> None:
        due = [m for at_ms, m in self._stopping if at_ms <= self.now_ms]
        self._stopping = [s for s in self._stopping if s[0] > self.now_ms]
        for member in due:
            self._end(member, model.EndKind.STOPPED)

    def _finish_work(self) -> None:
        left = []
        for run, end_ms in self._running:
            if run.phase != progress.Phase.RUNNING:
                continue
            if end_ms > self.now_ms:
                left.append((run, end_ms))
                continue
            for member in list(run.members):
                self._end(member, model.EndKind.DONE)
            job_id = run.unit.key.job_id
            if run.unit.entry.state == model.JobState.COMPLETED:
                took_ms = self.now_ms - self._submitted_ms_by_id[job_id]
                self.ended_ms_by_id[job_id] = took_ms
                lifecycle.close_job(self.tables, job_id)
        self._running = left

    def _send_orders(self) -> None:
        tables = self.tables
        stops, tables.pending_stops = tables.pending_stops, []
        for member in stops:
            job_id = member.task.job_id
            self.stopped_by_id[job_id] = self.stopped_by_id.get(job_id, 0) + 1
            due_ms = self.now_ms + tables.bounds.stop_ms
            self._stopping.append((due_ms, member))
        runs, tables.assigned_runs = tables.assigned_runs, []
        for run in runs:
            builders.start(tables, run)
            for member in run.members:
                member.base_ms = member.percent_at_ms = self.now_ms
            job_id = run.unit.key.job_id
            waited_ms = self.now_ms - self._submitted_ms_by_id[job_id]
            self.started_ms_by_id.setdefault(job_id, waited_ms)
            self._running.append((run, self.now_ms + self._work_ms(run)))

    def _end(self, member, kind) -> None:
        if member.terminated:
            return
        self._ends += 1
        lifecycle.apply_end(
            self.tables,
            self.tables.endpoints.by_id[member.endpoint_id],
            builders.end(member, self._ends, kind),
        )
