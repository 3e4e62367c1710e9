"""Measures how the leader's work grows with the size of jobs.

Run as `python -m laburnumgate_bench.growth`. Each shape is a set of jobs that
grows in one dimension: steps, dependencies, tasks, occurrences or jobs. The
leader's operations are timed one by one, without the log and the network. Of an
operation with pauses, the longest time between two of them counts: the event
loop stands still for so long, and heartbeats are late by as much.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import json
import time

import click
from laburnumgate_placer import config_table
from laburnumgate_placer import endpoint_table
from laburnumgate_placer import job_table
from laburnumgate_placer import lifecycle
from laburnumgate_placer import limits
from laburnumgate_placer import load_reports
from laburnumgate_placer import model
from laburnumgate_placer import policy as policy_module
from laburnumgate_placer import progress
from laburnumgate_placer import scheduling
from laburnumgate_placer import tables as tables_module

# Advance of the clocks between two passes.
TICK_MS = 100
# Passes after the first one; the longest of them counts.
PASSES = 6
_QUEUE = model.Queue(
    "growth", "growth.example", "/", "pool", stretch=3.0, objective_ms=1_000
)
_ROOM = model.Resources(cpu=4_000, mem_mb=256)
_STEP = model.Step(count=1, room=_ROOM, estimate_ms=900)


@dataclasses.dataclass(frozen=True, slots=True)
class Timings:
    """Durations of the leader's operations, in ms.

    Attributes:
      shape: name of the shape.
      size: its number of steps, dependencies, tasks, occurrences or jobs.
      open_ms: opening all jobs.
      first_pass_ms: the first placement pass.
      pass_ms: the longest of the next passes.
      encode_ms: encoding the progress of all jobs.
      report_ms: estimating the backlog.
      end_ms: handling the end of one run, mean of all running ones.
    """

    shape: str
    size: int
    open_ms: float
    first_pass_ms: float
    pass_ms: float
    encode_ms: float
    report_ms: float
    end_ms: float

    def longest_ms(self) -> float:
        """Returns the duration of the longest operation."""
        return max(
            self.open_ms,
            self.first_pass_ms,
            self.pass_ms,
            self.encode_ms,
            self.report_ms,
            self.end_ms,
        )


def _one(number: int, steps: tuple[model.Step, ...], **fields) -> model.Job:
    return model.Job(
        job_id=f"{number:016x}",
        queue=_QUEUE,
        account="",
        payload="",
        steps=steps,
        accepted_ms=0,
        **fields,
    )


def _steps(size: int) -> list[model.Job]:
    return [_one(0, (_STEP,) * size)]


def _distinct(size: int) -> list[model.Job]:
    steps = [
        dataclasses.replace(
            _STEP, room=model.Resources(cpu=4_000 + number, mem_mb=256)
        )
        for number in range(size)
    ]
    return [_one(0, tuple(steps))]


def _chain(size: int) -> list[model.Job]:
    steps = [_STEP]
    for number in range(1, size):
        steps.append(dataclasses.replace(_STEP, after=(number - 1,)))
    return [_one(0, tuple(steps))]


def _dependencies(size: int) -> list[model.Job]:
    """Returns a job of two layers, each step of one after all of the other."""
    width = max(1, int(size**0.5))
    after = tuple(range(width))
    last = dataclasses.replace(_STEP, after=after)
    return [_one(0, (_STEP,) * width + (last,) * width)]


def _tasks(size: int) -> list[model.Job]:
    return [_one(0, (dataclasses.replace(_STEP, count=size),))]


def _occurrences(size: int) -> list[model.Job]:
    steps = (_STEP, dataclasses.replace(_STEP, after=(0,)))
    return [_one(0, steps, occurrences=size, interval_ms=1, scheduled=True)]


def _jobs(size: int) -> list[model.Job]:
    return [_one(number, (_STEP,) * 3) for number in range(size)]


SHAPES: dict[str, Callable[[int], list[model.Job]]] = {
    "steps": _steps,
    "distinct": _distinct,
    "chain": _chain,
    "dependencies": _dependencies,
    "tasks": _tasks,
    "occurrences": _occurrences,
    "jobs": _jobs,
}


def measure(shape: str, size: int, endpoints: int) -> Timings:
    """Times the operations of a leader that has the jobs of one shape.

    Args:
      shape: name of the shape.
      size: its size.
      endpoints: number of endpoints, each with room for eight tasks.
    """
    jobs = SHAPES[shape](size)
    tables = _tables(endpoints)
    scheduler = scheduling.Scheduler(tables)
    open_ms = _time(lambda: _open(tables, jobs))
    first_pass_ms = _longest_stretch(_pass(scheduler))
    pass_ms = 0.0
    for _ in range(PASSES):
        _start_assigned(tables)
        tables.monotonic.advance(TICK_MS)
        tables.wall.advance(TICK_MS)
        pass_ms = max(pass_ms, _longest_stretch(_pass(scheduler)))
    entries = list(tables.entries_by_id.values())
    encode_ms = _time(lambda: [progress.encode(entry) for entry in entries])
    report_ms = _longest_stretch(_report(tables))
    runs = [run for entry in entries for run in entry.runs()]
    ends_ms = _time(lambda: _end(tables, runs))
    return Timings(
        shape,
        size,
        round(open_ms, 2),
        round(first_pass_ms, 2),
        round(pass_ms, 2),
        round(encode_ms, 2),
        round(report_ms, 2),
        round(ends_ms / max(1, len(runs)), 3),
    )


def _tables(endpoints: int) -> tables_module.Tables:
    config = config_table.ConfigTable()
    config.publish(1, model.Configuration(1, {"growth": _QUEUE}, {}, {}, 1))
    tables = tables_module.Tables(
        1,
        _Clock(),
        _Clock(),
        config,
        job_table.JobTable(),
        limits.Bounds(),
        policy_module.Policy(
            delay_cost_order=True, urgent_headroom=True, urgent_on_fastest=True
        ),
    )
    for number in range(endpoints):
        info = model.Endpoint(
            endpoint_id=f"e{number:04}",
            born_ms=1,
            service="pool",
            address="",
            zone=f"z{number % 3}",
            rack=f"r{number // 8}",
            labels=frozenset(),
            capacity=model.Resources(32_000, 64_000, 8),
        )
        state = endpoint_table.EndpointState(info)
        state.contacted = True
        tables.endpoints.by_id[info.endpoint_id] = state
    return tables


class _Clock:
    """A clock that runs on and can be set ahead."""

    def __init__(self):
        self._ahead_ms = 1_000_000

    def now_ms(self) -> int:
        """Returns the time in ms."""
        return self._ahead_ms + time.monotonic_ns() // 1_000_000

    def advance(self, ms: int) -> None:
        """Sets the clock ahead."""
        self._ahead_ms += ms


async def _pass(scheduler: scheduling.Scheduler) -> None:
    await scheduler.prepare()
    scheduler.run()


async def _report(tables: tables_module.Tables) -> None:
    ranking = load_reports.rank_waiting(tables)
    for _ in ranking.chunks():
        await asyncio.sleep(0)
    load_reports.collect(tables, {}, ranking)


def _open(tables: tables_module.Tables, jobs: list[model.Job]) -> None:
    for job in jobs:
        lifecycle.open_job(tables, job)


def _start_assigned(tables: tables_module.Tables) -> None:
    runs, tables.assigned_runs = tables.assigned_runs, []
    for run in runs:
        run.phase = progress.Phase.RUNNING
        run.started_ms = tables.monotonic.now_ms()
        for member in run.members:
            member.start_sent = member.present = True


def _end(tables: tables_module.Tables, runs: list[progress.Run]) -> None:
    for number, run in enumerate(runs):
        for member in list(run.members):
            lifecycle.apply_end(
                tables,
                tables.endpoints.by_id[member.endpoint_id],
                model.ReportedEnd(
                    number, member.task, run.number, model.EndKind.DONE, ""
                ),
            )


def _time(work: Callable[[], object]) -> float:
    """Returns how long a call takes, in ms."""
    began = time.perf_counter()
    work()
    return 1000 * (time.perf_counter() - began)


def _longest_stretch(work: Coroutine) -> float:
    """Returns the longest time between two pauses of a coroutine, in ms."""
    longest_ms = 0.0
    ended = False
    while not ended:
        began = time.perf_counter()
        try:
            work.send(None)
        except StopIteration:
            ended = True
        longest_ms = max(longest_ms, 1000 * (time.perf_counter() - began))
    return longest_ms


@click.command()
@click.option("--shape", "shapes", multiple=True, help="Repeatable; all.")
@click.option("--first", default=150, help="The smallest size.")
@click.option("--last", default=9_600, help="The largest size.")
@click.option("--endpoints", default=24)
@click.option(
    "--stop-ms",
    default=3_000.0,
    help="Leave out larger sizes once an operation took longer.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON lines.")
def main(
    shapes: tuple[str, ...],
    first: int,
    last: int,
    endpoints: int,
    stop_ms: float,
    as_json: bool,
) -> None:
    """Measures how the leader's work grows with the size of jobs."""
    for shape in shapes or SHAPES:
        if shape not in SHAPES:
            raise click.BadParameter(f"there is no shape {shape!r}")
        size = first
        while size <= last:
            found = measure(shape, size, endpoints)
            click.echo(_line(found, as_json))
            if found.longest_ms() > stop_ms:
                break
            size *= 2


def _line(found: Timings, as_json: bool) -> str:
    if as_json:
        return json.dumps(dataclasses.asdict(found))
    return (
        f"{found.shape:13}{found.size:7}"
        f"  open {found.open_ms:9.2f}"
        f"  first pass {found.first_pass_ms:9.2f}"
        f"  pass {found.pass_ms:9.2f}"
        f"  encode {found.encode_ms:8.2f}"
        f"  report {found.report_ms:9.2f}"
        f"  end {found.end_ms:8.3f} ms"
    )


if __name__ == "__main__":
    main()
