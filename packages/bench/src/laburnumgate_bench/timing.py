"""Benchmarks the scheduler of one zone at three sizes.

Times depend on the machine, so they are printed and never asserted.
"""

import dataclasses
import gc
import random
import time

from laburnumgate_core import actions
from laburnumgate_core import clock
from laburnumgate_core import config
from laburnumgate_core import jobs
from laburnumgate_core import model
from laburnumgate_core import records
from laburnumgate_core import scheduler

ZONE = "z"
ENDPOINTS_PER_RACK = 50
REPEATS = 15
GANG_PARTS = 512


@dataclasses.dataclass(frozen=True)
class Size:
    """Size of the zone; accelerators in use are included."""

    endpoints: int
    accelerators: int
    tasks: int


# The last size is one zone of the target system; slopes are taken over all.
SIZES = (
    Size(250, 525, 1_425),
    Size(500, 1_050, 2_850),
    Size(1_000, 2_100, 5_700),
)


@dataclasses.dataclass(frozen=True)
class TickTimes:
    """Median times in ms at one size."""

    size: Size
    idle_tick_ms: float
    changed_tick_ms: float
    gang_ms: float
    rebuild_ms: float


def measure() -> list[TickTimes]:
    """Measures every size."""
    return [_measure(size) for size in SIZES]


class _BenchmarkZone:
    """Zone whose running tasks use no accelerators, so that a gang fits."""

    def __init__(self, size: Size):
        self.clock = clock.ManualClock(1_000_000)
        self.jobs = jobs.JobTable()
        self.config = config.ConfigTable()
        self._publish(size)
        self.endpoints = [
            model.Endpoint(
                endpoint_id=f"e{number:04}",
                zone=ZONE,
                rack=f"r{number // ENDPOINTS_PER_RACK}",
                url="",
                accelerators=2 + (number % 10 == 0),
                cpus=64,
                memory_mb=65_536,
                slots=16,
            )
            for number in range(size.endpoints)
        ]
        for number in range(size.tasks // 2):
            pair = (2 * number, 2 * number + 1)
            ids = tuple(f"e{i % size.endpoints:04}" for i in pair)
            job_id = f"a/j{number}"
            self.submit(job_id, 2, 0)
            self.append(
                records.Starting(job_id, 1, ZONE, ids, ("b", "b"), 1_000_000)
            )
        self.scheduler = self.new_scheduler()

    def append(self, record: records.JobRecord) -> list[str]:
        offset = self.jobs.offset + 1
        entry = records.Entry(
            offset, f"a{offset}", records.encode_jobs((record,))
        )
        self.jobs.apply_entry(entry)
        return self.jobs.take_changes()

    def submit(self, job_id: str, parts: int, accelerators: int) -> list[str]:
        spec = model.JobSpec(
            kind="k",
            parts=parts,
            accelerators_per_part=accelerators,
            run_ms=3_600_000,
            adjacency=model.Adjacency.ZONE,
        )
        now_ms = self.clock.now_ms()
        return self.append(
            records.Submitted(job_id, "a", spec, ZONE, "h", now_ms, now_ms, 0)
        )

    def new_scheduler(self) -> scheduler.Scheduler:
        created = scheduler.Scheduler(
            ZONE, self.jobs, self.config, self.clock, random.Random(1)
        )
        created.update_endpoints(self.endpoints)
        created.activate()
        views_by_endpoint: dict[str, list[actions.TaskView]] = {}
        for run in created.runs.runs_by_id.values():
            for part in run.parts:
                view = actions.TaskView(part.task_id, "running")
                views_by_endpoint.setdefault(part.endpoint_id, []).append(view)
        for endpoint in self.endpoints:
            tasks = tuple(views_by_endpoint.get(endpoint.endpoint_id, ()))
            created.on(actions.Report(endpoint.endpoint_id, "b", tasks, True))
        created.tick()
        return created

    def _publish(self, size: Size) -> None:
        racks = size.endpoints // ENDPOINTS_PER_RACK
        values = {
            "template/t": {"promise": {"quota_accelerators": 1_000_000}},
            "account/a": {"template": "t"},
            f"zone/{ZONE}": {
                "region": "r",
                "racks": [
                    {
                        "name": f"r{number}",
                        "endpoints": ENDPOINTS_PER_RACK,
                        "accelerators_per_endpoint": 2,
                    }
                    for number in range(racks)
                ],
            },
        }
        changes = tuple(records.Change(k, v, 0) for k, v in values.items())
        publication = records.Publication("c1", "bench", 0, changes)
        data = records.encode_publication(publication)
        outcome = self.config.apply_entry(records.Entry(1, "c1", data))
        if isinstance(outcome, config.Rejected):
            raise ValueError(outcome.reason)


def _measure(size: Size) -> TickTimes:
    zone = _BenchmarkZone(size)
    idle_ms, changed_ms, gang_ms, rebuild_ms = [], [], [], []
    for number in range(REPEATS):
        idle_ms.append(_elapsed_ms(zone.scheduler.tick))
        ids = zone.submit(f"a/one{number}", 1, 1)
        zone.scheduler.note_changes(ids)
        changed_ms.append(_elapsed_ms(zone.scheduler.tick))
        gc.collect()
    for number in range(3):
        # A new scheduler, so that the tick only places the gang.
        new_zone = _BenchmarkZone(size)
        parts = min(GANG_PARTS, size.endpoints)
        new_zone.scheduler.note_changes(
            new_zone.submit(f"a/g{number}", parts, 1)
        )
        gang_ms.append(_elapsed_ms(new_zone.scheduler.tick))
        rebuild_ms.append(_elapsed_ms(new_zone.new_scheduler))
    return TickTimes(
        size,
        _median(idle_ms),
        _median(changed_ms),
        _median(gang_ms),
        _median(rebuild_ms),
    )


def _elapsed_ms(call) -> float:
    started = time.perf_counter()
    call()
    return (time.perf_counter() - started) * 1_000


def _median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]
