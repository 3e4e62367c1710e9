"""Replays load patterns against the placer's decisions, without I/O.

Run as `python -m laburnumgate_bench.replay`. Endpoints, orders and reports are
simulated on a manual clock; what is placed, stopped and reserved is decided by
the placer's own scheduler. The same seed gives the same figures, except for the
times of a pass. Kept out: the log, the network, and failures of hosts.
"""

import dataclasses
import json
import time

import click
from laburnumgate_core import clock
from laburnumgate_placer import config_table
from laburnumgate_placer import endpoint_table
from laburnumgate_placer import job_table
from laburnumgate_placer import lifecycle
from laburnumgate_placer import limits
from laburnumgate_placer import model
from laburnumgate_placer import policy as policy_module
from laburnumgate_placer import progress
from laburnumgate_placer import reclaim
from laburnumgate_placer import scheduling
from laburnumgate_placer import tables as tables_module
from laburnumgate_placer.overload import admission
import numpy as np

from laburnumgate_bench import load_patterns

TICK_MS = 20
START_MS = 30
REPORT_MS = 740
SLOW_FACTOR = 5.0
ACCOUNTS = 24
SPEEDS = (0.55, 1.2, 1.2, 1.2)


@dataclasses.dataclass(frozen=True, slots=True)
class Measures:
    """Result of a replay.

    Attributes:
      pattern: name of the pattern.
      policy: policy settings that were on.
      on_time: share of the jobs on time, by priority, of those whose time was
        over by the end of the replay.
      late: share of these jobs that ended late, but were still of some use.
      stopped_runs: runs that were stopped for other work.
      lost_core_s: core-seconds that this threw away.
      pass_mean_ms: mean duration of a placement pass.
      pass_max_ms: the longest one.
      free_gpu: mean share of the accelerators that is free.
    """

    pattern: str
    policy: tuple[str, ...]
    on_time: dict[int, float]
    late: dict[int, float]
    stopped_runs: int
    lost_core_s: float
    pass_mean_ms: float
    pass_max_ms: float
    free_gpu: float


@dataclasses.dataclass(slots=True)
class _Work:
    """True work of a run and when it ends."""

    run: progress.Run
    started_ms: int
    end_ms: float


class Replay:
    """One replay of a pattern."""

    def __init__(
        self,
        pattern: load_patterns.Pattern,
        endpoints: int,
        seed: int,
        policy: policy_module.Policy | None = None,
    ):
        """Prepares endpoints, accounts and queues."""
        self._pattern = pattern
        self._policy = policy or policy_module.Policy()
        self._rng = np.random.default_rng(seed)
        self._monotonic = clock.ManualClock(1_000_000)
        self._wall = clock.ManualClock(1_000_000)
        self._tables = self._make_tables()
        self._scheduler = scheduling.Scheduler(self._tables)
        self._speed_by_id: dict[str, float] = {}
        self._end_by_id: dict[str, int] = {}
        self._arrivals_by_job: dict[str, load_patterns.Arrival] = {}
        self._finished_ms_by_job: dict[str, int] = {}
        self._cancelled: set[str] = set()
        self._work: list[_Work] = []
        self._stops: list[tuple[int, progress.Member]] = []
        self._passes_ms: list[float] = []
        self._free_shares: list[float] = []
        self._lost_core_s = 0.0
        self._stopped_runs = 0
        for number in range(endpoints):
            self._add_endpoint(number)

    def run(self, seconds: float) -> Measures:
        """Plays the pattern and returns its measures."""
        start_ms = self._monotonic.now_ms()
        pending = list(
            load_patterns.arrivals(
                self._pattern, len(self._speed_by_id), seconds, self._rng
            )
        )
        pending.reverse()
        reported_ms = start_ms
        while (now_ms := self._monotonic.now_ms()) < start_ms + 1000 * seconds:
            since_ms = now_ms - start_ms
            self._disturb(since_ms)
            while pending and pending[-1].at_ms <= since_ms:
                self._open(pending.pop())
            if now_ms - reported_ms >= REPORT_MS:
                reported_ms = now_ms
                self._report(now_ms)
                self._free_shares.append(self._free_share())
            self._finish_stops(now_ms)
            self._finish_work(now_ms)
            self._place(now_ms)
            self._monotonic.advance(TICK_MS)
            self._wall.advance(TICK_MS)
        return self._measures(start_ms)

    def _make_tables(self) -> tables_module.Tables:
        queues = [
            model.Queue(
                f"q{kind.priority}",
                "replay.example",
                f"/{kind.priority}/",
                "pool",
                priority=kind.priority,
                attempts=3,
                stretch=kind.stretch,
                objective_ms=kind.objective_ms,
            )
            for kind in self._pattern.kinds
        ]
        accounts = [
            model.Account(f"a{n}", frozenset(), self._pattern.guaranteed_gpu)
            for n in range(ACCOUNTS)
        ]
        config = config_table.ConfigTable()
        config.publish(
            1,
            model.Configuration(
                1,
                {queue.name: queue for queue in queues},
                {account.name: account for account in accounts},
                {},
                100_000,
            ),
        )
        return tables_module.Tables(
            1,
            self._monotonic,
            self._wall,
            config,
            job_table.JobTable(),
            limits.Bounds(stop_ms=self._pattern.stop_ms),
            self._policy,
        )

    def _add_endpoint(self, number: int) -> None:
        endpoint_id = f"e{number:04}"
        rack = number // self._pattern.rack_size
        info = model.Endpoint(
            endpoint_id=endpoint_id,
            born_ms=1,
            service="pool",
            address="",
            zone=f"z{rack % 5}",
            rack=f"r{rack}",
            labels=frozenset(),
            capacity=model.Resources(32_000, 64_000, 8),
        )
        state = endpoint_table.EndpointState(info)
        state.contacted = True
        self._tables.endpoints.by_id[endpoint_id] = state
        self._speed_by_id[endpoint_id] = float(self._rng.choice(SPEEDS))
        self._end_by_id[endpoint_id] = 0

    def _open(self, arrival: load_patterns.Arrival) -> None:
        queues = self._tables.config.current.queues_by_name
        job = model.Job(
            job_id=f"{len(self._arrivals_by_job):016x}",
            queue=queues[f"q{arrival.kind.priority}"],
            account=f"a{self._rng.integers(ACCOUNTS)}",
            payload="",
            steps=(arrival.step,),
            accepted_ms=self._wall.now_ms(),
        )
        self._arrivals_by_job[job.job_id] = arrival
        lifecycle.open_job(self._tables, job)

    def _disturb(self, since_ms: int) -> None:
        pattern = self._pattern
        if since_ms == 8_000:
            for endpoint_id in self._speed_by_id:
                if self._rng.random() < pattern.slow_share:
                    self._speed_by_id[endpoint_id] /= SLOW_FACTOR
            for state in list(self._tables.endpoints.by_id.values()):
                if int(state.info.rack[1:]) < pattern.lost_racks:
                    lifecycle.end_incarnation(self._tables, state, "lost")
        if since_ms == 14_000 and pattern.cancel_share:
            for job_id in list(self._tables.entries_by_id):
                if self._rng.random() < pattern.cancel_share:
                    self._cancelled.add(job_id)
                    lifecycle.cancel_job(self._tables, job_id)

    def _place(self, now_ms: int) -> None:
        tables = self._tables
        began = time.perf_counter()
        self._scheduler.run()
        self._passes_ms.append(1000 * (time.perf_counter() - began))
        stops, tables.pending_stops = tables.pending_stops, []
        for run in {id(m.run): m.run for m in stops}.values():
            if run.unit.entry.state.final:
                continue
            self._stopped_runs += 1
            self._lost_core_s += reclaim.stop_loss(tables, run, now_ms)
        for member in stops:
            self._stops.append((now_ms + tables.bounds.stop_ms, member))
        runs, tables.assigned_runs = tables.assigned_runs, []
        for run in runs:
            self._start(run, now_ms)
        tables.dirty.clear()

    def _start(self, run: progress.Run, now_ms: int) -> None:
        run.phase = progress.Phase.RUNNING
        run.started_ms = now_ms + START_MS
        slowest = min(self._speed_by_id[m.endpoint_id] for m in run.members)
        arrival = self._arrivals_by_job[run.unit.key.job_id]
        done = float(run.unit.checkpoint or 0)
        left_ms = arrival.work_ms * (1 - done / 100) / slowest
        for member in run.members:
            member.start_sent = member.present = True
            member.base_ms = member.percent_at_ms = run.started_ms
            member.base_percent = member.percent = int(done)
        self._work.append(_Work(run, run.started_ms, run.started_ms + left_ms))

    def _free_share(self) -> float:
        """Returns the share of the accelerators that is free."""
        states = self._tables.endpoints.by_id.values()
        total = sum(state.info.capacity.gpu for state in states)
        return sum(state.free().gpu for state in states) / total

    def _report(self, now_ms: int) -> None:
        for work in self._work:
            if now_ms <= work.started_ms:
                continue
            done = (now_ms - work.started_ms) / (work.end_ms - work.started_ms)
            for member in work.run.members:
                left = 100 - member.base_percent
                percent = member.base_percent + int(min(1.0, done) * left)
                member.percent = min(99, percent)
                member.percent_at_ms = now_ms
                self._tables.durations.observe(member)

    def _finish_stops(self, now_ms: int) -> None:
        due = [member for at_ms, member in self._stops if at_ms <= now_ms]
        self._stops = [stop for stop in self._stops if stop[0] > now_ms]
        for member in due:
            self._end(member, model.EndKind.STOPPED)

    def _finish_work(self, now_ms: int) -> None:
        left = []
        for work in self._work:
            run = work.run
            if run.all_terminated() or run.phase == progress.Phase.STOPPING:
                continue
            if work.end_ms > now_ms:
                left.append(work)
                continue
            for member in list(run.members):
                self._end(member, model.EndKind.DONE)
            entry = run.unit.entry
            if entry.state == model.JobState.COMPLETED:
                self._finished_ms_by_job[entry.job.job_id] = now_ms
                lifecycle.close_job(self._tables, entry.job.job_id)
        self._work = left

    def _end(self, member: progress.Member, kind: model.EndKind) -> None:
        if member.terminated:
            return
        self._end_by_id[member.endpoint_id] += 1
        saved = ""
        if member.run.unit.step.checkpointing:
            saved = str(member.percent)
        lifecycle.apply_end(
            self._tables,
            self._tables.endpoints.by_id[member.endpoint_id],
            model.ReportedEnd(
                self._end_by_id[member.endpoint_id],
                member.task,
                member.run.number,
                kind,
                saved,
            ),
        )

    def _measures(self, start_ms: int) -> Measures:
        counts = {kind.priority: [0, 0, 0] for kind in self._pattern.kinds}
        end_ms = self._monotonic.now_ms()
        for job_id, arrival in self._arrivals_by_job.items():
            kind = arrival.kind
            allowed_ms = kind.stretch * arrival.work_ms + kind.objective_ms
            decided = arrival.at_ms + allowed_ms <= end_ms - start_ms
            if job_id in self._cancelled or not decided:
                continue
            count = counts[kind.priority]
            count[0] += 1
            finished_ms = self._finished_ms_by_job.get(job_id)
            if finished_ms is None:
                continue
            took_ms = finished_ms - start_ms - arrival.at_ms
            if took_ms <= allowed_ms:
                count[1] += 1
            elif took_ms <= admission.LATE_RATIO * allowed_ms:
                count[2] += 1
        return Measures(
            self._pattern.name,
            _names(self._policy),
            {p: round(c[1] / max(1, c[0]), 3) for p, c in counts.items()},
            {p: round(c[2] / max(1, c[0]), 3) for p, c in counts.items()},
            self._stopped_runs,
            round(self._lost_core_s),
            round(float(np.mean(self._passes_ms)), 2),
            round(float(np.max(self._passes_ms)), 1),
            round(float(np.mean(self._free_shares or [1.0])), 3),
        )


def _names(policy: policy_module.Policy) -> tuple[str, ...]:
    """Returns the names of the settings that are on."""
    settings = dataclasses.asdict(policy)
    return tuple(name for name, value in settings.items() if value)


def _policies(names: tuple[str, ...]) -> list[policy_module.Policy]:
    """Returns the policies that are compared on the same load."""
    default = policy_module.Policy()
    known = dataclasses.asdict(default)
    for name in names:
        if name not in known:
            raise click.BadParameter(f"there is no setting {name!r}")
    if not names:
        return [default]
    return [default, policy_module.Policy(**dict.fromkeys(names, True))]


@click.command()
@click.option("--pattern", default="all", help="Name of a pattern, or all.")
@click.option("--seed", default=1)
@click.option("--endpoints", default=270)
@click.option("--seconds", default=30.0)
@click.option(
    "--policy",
    "settings",
    multiple=True,
    help="Policy setting that is switched on; may be repeated. Each pattern is"
    " replayed without and with the settings, on the same load.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON lines.")
def main(
    pattern: str,
    seed: int,
    endpoints: int,
    seconds: float,
    settings: tuple[str, ...],
    as_json: bool,
) -> None:
    """Replays load patterns against the placer's decisions."""
    known = {each.name: each for each in load_patterns.PATTERNS}
    names = list(known) if pattern == "all" else [pattern]
    policies = _policies(settings)
    for name in names:
        if name not in known:
            raise click.BadParameter(f"there is no pattern {name!r}")
        for policy in policies:
            found = Replay(known[name], endpoints, seed, policy).run(seconds)
            click.echo(_line(found, as_json, len(policies) > 1))


def _line(found: Measures, as_json: bool, compared: bool) -> str:
    if as_json:
        return json.dumps(dataclasses.asdict(found))
    policy = ""
    if compared:
        policy = f" policy {'+'.join(found.policy) or 'default'}:"
    return (
        f"{found.pattern:15}{policy} on time {found.on_time} late {found.late}"
        f" stopped {found.stopped_runs} lost {found.lost_core_s} core-s"
        f" free {found.free_gpu}"
        f" pass {found.pass_mean_ms} ms, most {found.pass_max_ms} ms"
    )


if __name__ == "__main__":
    main()
