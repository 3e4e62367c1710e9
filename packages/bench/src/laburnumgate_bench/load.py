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
TASKS = (0, 300, 600)
SERIES = ("hosts", "endpoints", "running", "waiting")
SETTLE_S = 4.0
IDLE_S = 8.0
CALLS_LIMIT_S = 3.0
SUBMISSIONS = 200
# A host records at most `limits.fences_per_s` refusals per second.
RECORDED_REFUSALS = 20
DRAIN_S = 20.0
# Run time of the tasks that fill the system; longer than any measurement.
LONG_MS = 3_600_000
OCCUPY_ROUNDS = 10
OCCUPY_TRIES = 10
ACCELERATORS = 64
_PEER_BYTES = re.compile(
    r"^laburnumgate_peer_bytes_total\{.*\} ([0-9.e+]+)$", re.MULTILINE
)


@dataclasses.dataclass(frozen=True)
class Idle:
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
    idle: Idle
    task_memory_kib: float
    submit: loadcalls.Rate
    status: loadcalls.Rate
    refusal: loadcalls.Rate
    recorded_refusal: loadcalls.Rate


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
        accelerators=ACCELERATORS,
        cpus=1024,
        memory_mb=1024 * 1024,
        slots=ACCELERATORS,
    )


def declarations(used: layout_module.Layout) -> dict[str, dict]:
    """Returns the layout's zones and one account without a guarantee."""
    values = {
        key: value
        for key, value in layout_module.declarations(used).items()
        if key.startswith("zone/")
    }
    values["template/open"] = {"promise": {"quota_accelerators": 1_000_000}}
    values[f"account/{loadcalls.ACCOUNT}"] = {"template": "open"}
    return values


@dataclasses.dataclass(frozen=True)
class Occupied:
    """Numbers of running and waiting tasks that keep every endpoint in use."""

    running: int
    waiting: int


class Site:
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
        found = [processes.read("host", pid) for pid in self.pids]
        return sum(process.resident_kb for process in found) / len(found)

    async def idle(self) -> Idle:
        """Measures the resource usage of the hosts without requests."""
        await asyncio.sleep(SETTLE_S)
        before = sum(map(processes.cpu_seconds, self.pids))
        bytes_before = await self._peer_bytes()
        started_s = time.monotonic()
        await asyncio.sleep(IDLE_S)
        elapsed_s = time.monotonic() - started_s
        used = sum(map(processes.cpu_seconds, self.pids)) - before
        bytes_after = await self._peer_bytes()
        rate = None
        if bytes_before is not None and bytes_after is not None:
            moved = bytes_after - bytes_before
            rate = round(moved / elapsed_s / len(self.pids), 1)
        return Idle(
            cpu_percent=round(100 * used / elapsed_s / len(self.pids), 2),
            resident_mib=round(self.resident_kib() / 1024, 1),
            peer_bytes_per_s=rate,
        )

    async def point(
        self, label: str, waiting: int, running: int, task_memory_kib: float
    ) -> Point:
        """Measures idle usage, then the rate and latency of each call."""
        idle = await self.idle()
        url = self.urls[0]
        submit = await self._measure_submit(url, label)
        status = await loadcalls.measure(
            self.session,
            "GET",
            lambda _: (f"{url}{_path(f'{label}-0')}", None),
            10_000,
            CALLS_LIMIT_S,
        )
        refusal = await loadcalls.measure(
            self.session,
            "POST",
            lambda _: (f"{url}/v1/requests", {"unknown_field": 1}),
            10_000,
            CALLS_LIMIT_S,
        )
        recorded_refusal = await loadcalls.measure(
            self.session,
            "POST",
            lambda number: (
                f"{url}/v1/requests",
                _impossible(f"{label}-refused-{number}"),
            ),
            RECORDED_REFUSALS,
            CALLS_LIMIT_S,
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

    async def _measure_submit(self, url: str, label: str) -> loadcalls.Rate:
        rate = await loadcalls.measure(
            self.session,
            "POST",
            lambda number: (
                f"{url}/v1/requests",
                loadcalls.body(f"{label}-{number}", 1, 10, 10),
            ),
            SUBMISSIONS,
            CALLS_LIMIT_S,
        )
        until_s = time.monotonic() + DRAIN_S
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
            loadcalls.body(f"{label}-{n}", accelerators, LONG_MS, LONG_MS)
            for n in range(count)
        ]
        await loadcalls.submit_all(self.session, self.urls[0], bodies)

    async def wait_for_tasks(
        self, state: str, wanted: int, tries: int = 100
    ) -> int:
        """Waits until `wanted` tasks are in `state`.

        Returns how many the last attempt found; they may be fewer.
        """
        found = 0
        for _ in range(tries):
            found = 0
            for url in self.cluster.endpoint_urls_by_id.values():
                async with self.session.get(f"{url}/report?since=0") as answer:
                    tasks = (await answer.json())["tasks"]
                found += sum(task["state"] == state for task in tasks)
            if found >= wanted:
                break
            await asyncio.sleep(0.3)
        return found

    async def _peer_bytes(self) -> float | None:
        total = 0.0
        for url in self.urls:
            async with self.session.get(f"{url}/metrics") as response:
                found = _PEER_BYTES.findall(await response.text())
            if not found:
                return None
            total += sum(map(float, found))
        return total


def _path(name: str) -> str:
    return f"/v1/requests/{loadcalls.ACCOUNT}/{name}"


def _impossible(name: str) -> dict[str, Any]:
    # No endpoint has 64 accelerators for each of 512 parts.
    return dict(loadcalls.body(name, ACCELERATORS, 10, 10), parts=512)


async def _start(
    cluster: cluster_module.Cluster, session: aiohttp.ClientSession
) -> Site:
    await cluster.start()
    site = Site(cluster, session)
    await demo.publish(
        session,
        site.urls[0],
        declarations(cluster.layout),
        len(site.urls),
    )
    return site


async def measure_size(hosts_per_zone: int, endpoints: int) -> Point:
    """Measures a cluster of the given size per zone without tasks."""
    cluster = cluster_module.Cluster(layout(hosts_per_zone, endpoints))
    try:
        async with aiohttp.ClientSession() as session:
            site = await _start(cluster, session)
            label = f"s{hosts_per_zone}-{endpoints}"
            point = await site.point(label, 0, 0, 0.0)
    finally:
        cluster.stop()
    _show(point)
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
            site = await _start(cluster, session)
            occupied = Occupied(0, 0)
            if not running:
                occupied = await _occupy_every_endpoint(site)
            grown = 0.0
            present = 0
            for wanted in TASKS:
                added = wanted - present
                accelerators = 1 if running else ACCELERATORS
                label = f"{kind}-{wanted}"
                before = site.resident_kib()
                await site.add_tasks(label, added, accelerators)
                if running:
                    present = await site.wait_for_tasks("running", wanted)
                else:
                    await asyncio.sleep(SETTLE_S)
                    present = wanted
                grown += site.resident_kib() - before
                point = await site.point(
                    f"p-{kind}-{wanted}",
                    occupied.waiting + (0 if running else present),
                    present if running else occupied.running,
                    grown,
                )
                _show(point)
                points.append(point)
    finally:
        cluster.stop()
    return points


async def _occupy_every_endpoint(site: Site) -> Occupied:
    """Submits long tasks until every endpoint runs one.

    Each task needs more than half of an endpoint, so that no two share one. A
    zone may receive more tasks than it has endpoints; the excess waits, and
    further tasks are submitted for the other zones.

    Raises:
      RuntimeError: if some endpoints remain without a task.
    """
    count = len(site.cluster.endpoint_urls_by_id)
    submitted = running = 0
    for number in range(OCCUPY_ROUNDS):
        missing = count - running
        label = f"blocker-{number}"
        await site.add_tasks(label, missing, ACCELERATORS // 2 + 1)
        submitted += missing
        running = await site.wait_for_tasks("running", count, OCCUPY_TRIES)
        if running == count:
            return Occupied(running, submitted - running)
    raise RuntimeError(f"{running} of {count} endpoints are in use")


def fits(points_by_size: dict[str, list[Point]]) -> list[Fit]:
    """Fits each measure over the size that its series varies.

    Skips series of fewer than three sizes and measures without a value.
    """
    found = []
    for size, points in points_by_size.items():
        sizes = [getattr(point, size) for point in points]
        for measure, read in _MEASURES.items():
            values = [read(point) for point in points]
            if len(set(sizes)) < 3 or None in values:
                continue
            slope, at_zero = numpy.polyfit(sizes, values, 1)
            found.append(Fit(measure, size, float(slope), float(at_zero)))
    return found


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


def _show(point: Point) -> None:
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
