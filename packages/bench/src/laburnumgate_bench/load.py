"""Load test of real host processes on loopback addresses.

Run with `scripts/load`. New processes are started for each number of hosts or
endpoints and for each series of tasks; the slopes are least-squares fits over
three sizes.
"""

import asyncio
import dataclasses
import json
import pathlib
import re
import time
from typing import Any

import aiohttp
import click
from laburnumgate_standins import cluster as cluster_module
from laburnumgate_standins import demo
from laburnumgate_standins import layout as layout_module
from laburnumgate_standins import processes
import numpy

from laburnumgate_bench import loadcalls

HOSTS_PER_ZONE = (1, 2, 3)
ENDPOINTS_PER_ZONE = (8, 16, 32)
TASK_COUNTS = (0, 300, 600)
SERIES = ("hosts", "endpoints", "running", "waiting")
SETTLE_TIME_S = 4.0
IDLE_SAMPLE_S = 8.0
CALL_TIME_LIMIT_S = 3.0
SUBMISSIONS = 200
# A host records at most `limits.fences_per_s` refusals per second.
RECORDED_REFUSALS = 20
DRAIN_TIMEOUT_S = 20.0
# Run time of the tasks that fill the system; longer than any measurement.
LONG_TASK_MS = 3_600_000
OCCUPY_ROUNDS = 10
OCCUPY_ATTEMPTS = 10
ACCELERATORS_PER_ENDPOINT = 64
_PEER_BYTES = re.compile(
    r"^laburnumgate_peer_bytes_total\{.*\} ([0-9.e+]+)$", re.MULTILINE
)


@dataclasses.dataclass(frozen=True)
class IdleUsage:
    """Mean resource usage per host while no requests arrive.

    `peer_bytes_per_s` counts peer messages in both directions without framing;
    it is None if the hosts do not export the metric.
    """

    cpu_percent: float
    resident_mib: float
    peer_bytes_per_s: float | None


@dataclasses.dataclass(frozen=True)
class Point:
    """Results at one size.

    `task_memory_kib` is the growth of resident memory per host caused by the
    tasks.
    """

    hosts: int
    endpoints: int
    waiting: int
    running: int
    idle: IdleUsage
    task_memory_kib: float
    submit: loadcalls.CallStats
    status: loadcalls.CallStats
    refusal: loadcalls.CallStats
    recorded_refusal: loadcalls.CallStats


@dataclasses.dataclass(frozen=True)
class Fit:
    """Least-squares line of one measure over one varied size."""

    measure: str
    size: str
    slope: float
    at_zero: float


def layout(hosts_per_zone: int, endpoints: int) -> layout_module.Layout:
    """Returns a layout of three zones with endpoints of 64 accelerators."""
    base = layout_module.TESTIGO_ANDINO
    return dataclasses.replace(
        base,
        hosts_by_zone=dict.fromkeys(base.zones, hosts_per_zone),
        endpoints_per_rack=endpoints,
        accelerators=ACCELERATORS_PER_ENDPOINT,
        cpus=1024,
        memory_mb=1024 * 1024,
        slots=ACCELERATORS_PER_ENDPOINT,
    )


def declarations(cluster_layout: layout_module.Layout) -> dict[str, dict]:
    """Returns the layout's zones and one account without a guarantee."""
    values = {
        key: value
        for key, value in layout_module.declarations(cluster_layout).items()
        if key.startswith("zone/")
    }
    values["template/open"] = {"promise": {"quota_accelerators": 1_000_000}}
    values[f"account/{loadcalls.ACCOUNT}"] = {"template": "open"}
    return values


@dataclasses.dataclass(frozen=True)
class Occupancy:
    """Numbers of running and waiting tasks that keep every endpoint in use."""

    running: int
    waiting: int


class RunningCluster:
    """A started cluster and the HTTP session to its hosts."""

    def __init__(
        self,
        cluster: cluster_module.Cluster,
        session: aiohttp.ClientSession,
    ):
        self.cluster = cluster
        self.session = session
        self.urls = [host.url for host in cluster.hosts_by_id.values()]
        self.pids = [
            cluster.processes_by_name[name].pid for name in cluster.hosts_by_id
        ]

    def resident_kib(self) -> float:
        """Returns the mean resident memory per host."""
        hosts = [processes.read("host", pid) for pid in self.pids]
        return sum(process.resident_kb for process in hosts) / len(hosts)

    async def measure_idle(self) -> IdleUsage:
        """Measures the resource usage of the hosts without requests."""
        await asyncio.sleep(SETTLE_TIME_S)
        before = sum(map(processes.cpu_seconds, self.pids))
        bytes_before = await self._peer_bytes()
        started_s = time.monotonic()
        await asyncio.sleep(IDLE_SAMPLE_S)
        elapsed_s = time.monotonic() - started_s
        used = sum(map(processes.cpu_seconds, self.pids)) - before
        bytes_after = await self._peer_bytes()
        rate = None
        if bytes_before is not None and bytes_after is not None:
            moved = bytes_after - bytes_before
            rate = round(moved / elapsed_s / len(self.pids), 1)
        return IdleUsage(
            cpu_percent=round(100 * used / elapsed_s / len(self.pids), 2),
            resident_mib=round(self.resident_kib() / 1024, 1),
            peer_bytes_per_s=rate,
        )

    async def measure_point(
        self, label: str, waiting: int, running: int, task_memory_kib: float
    ) -> Point:
        """Measures idle usage, then the rate and latency of each call."""
        idle = await self.measure_idle()
        url = self.urls[0]
        submit = await self._measure_submit(url, label)
        status = await loadcalls.measure(
            self.session,
            "GET",
            lambda _: (f"{url}{_path(f'{label}-0')}", None),
            10_000,
            CALL_TIME_LIMIT_S,
        )
        refusal = await loadcalls.measure(
            self.session,
            "POST",
            lambda _: (f"{url}/v1/requests", {"unknown_field": 1}),
            10_000,
            CALL_TIME_LIMIT_S,
        )
        recorded_refusal = await loadcalls.measure(
            self.session,
            "POST",
            lambda number: (
                f"{url}/v1/requests",
                _unplaceable_request(f"{label}-refused-{number}"),
            ),
            RECORDED_REFUSALS,
            CALL_TIME_LIMIT_S,
        )
        return Point(
            hosts=len(self.pids),
            endpoints=len(self.cluster.endpoint_urls_by_id),
            waiting=waiting,
            running=running,
            idle=idle,
            task_memory_kib=round(task_memory_kib, 1),
            submit=submit,
            status=status,
            refusal=refusal,
            recorded_refusal=recorded_refusal,
        )

    async def _measure_submit(
        self, url: str, label: str
    ) -> loadcalls.CallStats:
        rate = await loadcalls.measure(
            self.session,
            "POST",
            lambda number: (
                f"{url}/v1/requests",
                loadcalls.request_body(f"{label}-{number}", 1, 10, 10),
            ),
            SUBMISSIONS,
            CALL_TIME_LIMIT_S,
        )
        until_s = time.monotonic() + DRAIN_TIMEOUT_S
        for number in range(rate.calls):
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            path = f"{_path(f'{label}-{number}')}?wait_ms={int(left_s * 1000)}"
            async with self.session.get(f"{url}{path}") as response:
                await response.read()
        return rate

    async def add_tasks(
        self, label: str, count: int, accelerators: int
    ) -> None:
        """Submits `count` long-running requests of one part each."""
        bodies = [
            loadcalls.request_body(
                f"{label}-{n}", accelerators, LONG_TASK_MS, LONG_TASK_MS
            )
            for n in range(count)
        ]
        await loadcalls.submit_all(self.session, self.urls[0], bodies)

    async def wait_for_tasks(
        self, state: str, target_count: int, attempts: int = 100
    ) -> int:
        """Waits until `target_count` tasks are in `state`.

        Returns how many the last attempt found; they may be fewer.
        """
        count = 0
        for _ in range(attempts):
            count = 0
            for url in self.cluster.endpoint_urls_by_id.values():
                async with self.session.get(f"{url}/report?since=0") as answer:
                    tasks = (await answer.json())["tasks"]
                count += sum(task["state"] == state for task in tasks)
            if count >= target_count:
                break
            await asyncio.sleep(0.3)
        return count

    async def _peer_bytes(self) -> float | None:
        total = 0.0
        for url in self.urls:
            async with self.session.get(f"{url}/metrics") as response:
                samples = _PEER_BYTES.findall(await response.text())
            if not samples:
                return None
            total += sum(map(float, samples))
        return total


def _path(name: str) -> str:
    return f"/v1/requests/{loadcalls.ACCOUNT}/{name}"


def _unplaceable_request(name: str) -> dict[str, Any]:
    # No endpoint has 64 accelerators for each of 512 parts.
    return dict(
        loadcalls.request_body(name, ACCELERATORS_PER_ENDPOINT, 10, 10),
        parts=512,
    )


async def _start(
    cluster: cluster_module.Cluster, session: aiohttp.ClientSession
) -> RunningCluster:
    await cluster.start()
    running_cluster = RunningCluster(cluster, session)
    await demo.publish(
        session,
        running_cluster.urls[0],
        declarations(cluster.layout),
        len(running_cluster.urls),
    )
    return running_cluster


async def measure_size(hosts_per_zone: int, endpoints: int) -> Point:
    """Measures a cluster of the given size per zone without tasks."""
    cluster = cluster_module.Cluster(layout(hosts_per_zone, endpoints))
    try:
        async with aiohttp.ClientSession() as session:
            running_cluster = await _start(cluster, session)
            label = f"s{hosts_per_zone}-{endpoints}"
            point = await running_cluster.measure_point(label, 0, 0, 0.0)
    finally:
        cluster.stop()
    _print_point(point)
    return point


async def measure_tasks(running: bool) -> list[Point]:
    """Measures increasing numbers of running or of waiting tasks."""
    cluster = cluster_module.Cluster(
        layout(HOSTS_PER_ZONE[0], ENDPOINTS_PER_ZONE[0])
    )
    kind = "running" if running else "waiting"
    points = []
    try:
        async with aiohttp.ClientSession() as session:
            running_cluster = await _start(cluster, session)
            occupancy = Occupancy(0, 0)
            if not running:
                occupancy = await _occupy_every_endpoint(running_cluster)
            task_memory_kib = 0.0
            task_count = 0
            for target_count in TASK_COUNTS:
                added = target_count - task_count
                accelerators = 1 if running else ACCELERATORS_PER_ENDPOINT
                label = f"{kind}-{target_count}"
                before_kib = running_cluster.resident_kib()
                await running_cluster.add_tasks(label, added, accelerators)
                if running:
                    task_count = await running_cluster.wait_for_tasks(
                        "running", target_count
                    )
                else:
                    await asyncio.sleep(SETTLE_TIME_S)
                    task_count = target_count
                task_memory_kib += running_cluster.resident_kib() - before_kib
                point = await running_cluster.measure_point(
                    f"p-{kind}-{target_count}",
                    occupancy.waiting + (0 if running else task_count),
                    task_count if running else occupancy.running,
                    task_memory_kib,
                )
                _print_point(point)
                points.append(point)
    finally:
        cluster.stop()
    return points


async def _occupy_every_endpoint(running_cluster: RunningCluster) -> Occupancy:
    """Submits long tasks until every endpoint runs one.

    Each task needs more than half of an endpoint, so that no two share one. A
    zone may receive more tasks than it has endpoints; the excess waits, and
    further tasks are submitted for the other zones.

    Raises:
      RuntimeError: if some endpoints remain without a task.
    """
    count = len(running_cluster.cluster.endpoint_urls_by_id)
    submitted = running = 0
    for number in range(OCCUPY_ROUNDS):
        missing = count - running
        label = f"blocker-{number}"
        await running_cluster.add_tasks(
            label, missing, ACCELERATORS_PER_ENDPOINT // 2 + 1
        )
        submitted += missing
        running = await running_cluster.wait_for_tasks(
            "running", count, OCCUPY_ATTEMPTS
        )
        if running == count:
            return Occupancy(running, submitted - running)
    raise RuntimeError(
        f"only {running} of {count} endpoints run a task after "
        f"{OCCUPY_ROUNDS} rounds"
    )


def fits(points_by_size: dict[str, list[Point]]) -> list[Fit]:
    """Fits each measure over the size that its series varies.

    Skips series of fewer than three sizes and measures without a value.
    """
    results = []
    for size, points in points_by_size.items():
        sizes = [getattr(point, size) for point in points]
        for measure, read_value in _MEASURES.items():
            values = [read_value(point) for point in points]
            if len(set(sizes)) < 3 or None in values:
                continue
            slope, at_zero = numpy.polyfit(sizes, values, 1)
            results.append(Fit(measure, size, float(slope), float(at_zero)))
    return results


_MEASURES = {
    "idle processor time, % of a core per host": (
        lambda point: point.idle.cpu_percent
    ),
    "resident memory, MiB per host": lambda point: point.idle.resident_mib,
    "growth of memory by tasks, KiB per host": (
        lambda point: point.task_memory_kib
    ),
    "message bytes between hosts, bytes/s per host": (
        lambda point: point.idle.peer_bytes_per_s
    ),
    "submissions per s": lambda point: point.submit.per_s,
    "median submission, ms": lambda point: point.submit.p50_ms,
    "median status, ms": lambda point: point.status.p50_ms,
    "median refusal, ms": lambda point: point.refusal.p50_ms,
    "median recorded refusal, ms": (
        lambda point: point.recorded_refusal.p50_ms
    ),
}


def _print_point(point: Point) -> None:
    idle = point.idle
    click.echo(
        f"hosts {point.hosts}, endpoints {point.endpoints}, waiting "
        f"{point.waiting}, running {point.running}: idle {idle.cpu_percent} % "
        f"of a core, {idle.resident_mib} MiB, {idle.peer_bytes_per_s} bytes/s "
        f"per host; tasks {point.task_memory_kib} KiB per host"
    )
    for name in ("submit", "status", "refusal", "recorded_refusal"):
        rate = getattr(point, name)
        click.echo(
            f"    {name}: {rate.per_s}/s, p50 {rate.p50_ms} p90 {rate.p90_ms} "
            f"p99 {rate.p99_ms} max {rate.max_ms} ms, "
            f"statuses {rate.calls_by_status}"
        )


async def _measure(series: str) -> list[Point]:
    """Measures one series; its name is the size that it varies."""
    match series:
        case "hosts":
            sizes = [(n, ENDPOINTS_PER_ZONE[0]) for n in HOSTS_PER_ZONE]
        case "endpoints":
            sizes = [(HOSTS_PER_ZONE[0], n) for n in ENDPOINTS_PER_ZONE]
        case _:
            return await measure_tasks(running=series == "running")
    return [await measure_size(*size) for size in sizes]


@click.command()
@click.option(
    "--series",
    "chosen",
    type=click.Choice(SERIES),
    multiple=True,
    default=SERIES,
    help="Sizes to vary; can be repeated. Default: all.",
)
@click.option(
    "--out",
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    default="load.json",
    show_default=True,
    help="JSON file for the results, written after each series.",
)
def main(chosen: tuple[str, ...], out: pathlib.Path) -> None:
    """Measures hosts, endpoints and tasks at three sizes each."""
    points_by_size = {}
    for series in chosen:
        points_by_size[series] = asyncio.run(_measure(series))
        lines = fits(points_by_size)
        document = {
            "points": {
                size: [dataclasses.asdict(point) for point in points]
                for size, points in points_by_size.items()
            },
            "fits": [dataclasses.asdict(line) for line in lines],
        }
        out.write_text(json.dumps(document, indent=2) + "\n")
    for line in lines:
        click.echo(
            f"{line.measure}: {line.at_zero:.3f} + {line.slope:.5f} "
            f"per {line.size}"
        )


if __name__ == "__main__":
    main()
