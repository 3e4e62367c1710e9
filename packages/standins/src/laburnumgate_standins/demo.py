"""Runs a mixed load on real processes and checks the callers' verdicts."""

import asyncio
import dataclasses
import signal
import sys
import time

import aiohttp
import click
from laburnumgate_cli import client as client_module
from laburnumgate_cli import operations
from laburnumgate_core import declarations

from laburnumgate_standins import audit
from laburnumgate_standins import cluster as cluster_module
from laburnumgate_standins import layout as layout_module
from laburnumgate_standins import processes
from laburnumgate_standins import report
from laburnumgate_standins import sampling
from laburnumgate_standins import traffic

# Keeps the whole demo under 40 s: startup takes up to 8 s, and stopping the
# processes takes time after the load.
LOAD_LIMIT_S = 20.0
ZONE_OUT_AT_S = 2.0
# Tasks that start in the zone later than this after it was taken out of
# service are reported as faults.
START_GRACE_S = 5.0
ZONE_OUT_FOR_S = 7.0
ZONE_BACK_S = 2.0
KILL_AT_S = 4.0
IN_FORCE_TIMEOUT_MS = 5_000
OPERATOR = "demo"


@dataclasses.dataclass
class ZoneChange:
    """Times of a zone's outage in s, and tasks that started in it too late."""

    zone: str
    left_s: float = 0.0
    back_s: float = 0.0
    late_tasks: frozenset[str] = frozenset()


async def publish(
    session: aiohttp.ClientSession,
    url: str,
    values: dict[str, dict],
    hosts: int = 1,
) -> dict:
    """Publishes values against the revisions in force.

    Waits until at least `hosts` hosts have applied them: a host that has just
    started has an incomplete member list, so its progress answer alone does
    not show that all hosts were reached.
    """
    client = client_module.Client(session, (url,), IN_FORCE_TIMEOUT_MS)
    current = await operations.configuration(client)
    declared = {
        key: declarations.Declared(key, value, OPERATOR)
        for key, value in values.items()
    }
    plan = declarations.compare(
        declarations.Declarations(declared, ()),
        current.values_by_key,
        current.offset,
    )
    if not plan.changes:
        return dataclasses.asdict(
            await operations.progress(client, current.offset)
        )
    changes = operations.publishable(plan)
    published = await operations.publish(client, changes, OPERATOR)
    until_s = time.monotonic() + IN_FORCE_TIMEOUT_MS / 1000
    while True:
        reached = await operations.progress(client, published.offset)
        everywhere = len(reached.in_force) >= hosts
        if everywhere and not reached.not_reached:
            break
        if time.monotonic() > until_s:
            break
        await asyncio.sleep(operations.PROGRESS_PAUSE_MS / 1000)
    return dataclasses.asdict(reached)


async def run(name: str, seed: int, count: int, kill_host: bool = False) -> int:
    """Runs the demo and returns the process's exit code."""
    layout = layout_module.BY_NAME[name]
    cluster = cluster_module.Cluster(layout)
    try:
        await cluster.start()
        click.echo(
            f"{len(cluster.hosts_by_id)} hosts in {len(layout.zones)} zones "
            f"and {len(cluster.endpoint_urls_by_id)} endpoints are ready"
        )
        async with aiohttp.ClientSession() as session:
            demo = _Demo(cluster, layout, session)
            return await demo.run(seed, count, kill_host)
    finally:
        cluster.stop()


class _Demo:
    """Runs the demo once on a started cluster."""

    def __init__(
        self,
        cluster: cluster_module.Cluster,
        layout: layout_module.Layout,
        session: aiohttp.ClientSession,
    ):
        self.cluster = cluster
        self.layout = layout
        self.session = session
        self.urls = [host.url for host in cluster.hosts_by_id.values()]
        self.sampler = sampling.Sampler(
            session, cluster.endpoint_urls_by_id, layout
        )
        self.zone_change = ZoneChange(layout.zones[1])
        self.killed = ""

    async def run(self, seed: int, count: int, kill_host: bool) -> int:
        declared = layout_module.declarations(self.layout)
        reached = await publish(
            self.session, self.urls[0], declared, len(self.urls)
        )
        click.echo(
            f"{len(declared)} declarations are in force on "
            f"{len(reached['in_force'])} hosts"
        )
        sampling_task = asyncio.create_task(self.sampler.run())
        started_s = time.monotonic()
        orders = traffic.orders(self.layout, seed, count)
        work = [self._call_all(orders, started_s), self._move_zone()]
        if kill_host:
            work.append(self._kill_host())
        calls, *_ = await asyncio.gather(*work)
        ended_s = max(made.ended_s for made in calls)
        sampling_task.cancel()
        history = await audit.read_history(
            self.session, self.cluster.endpoint_urls_by_id
        )
        told_later = await self._ask_others(orders)
        faults = audit.faults(
            calls, history, self.layout, told_later, bool(self.killed)
        )
        faults += self._zone_faults()
        self._print(calls, history, started_s, ended_s)
        faults += self._print_processes()
        return _conclude(calls, faults)

    async def _call_all(
        self, orders: tuple[traffic.Order, ...], started_s: float
    ) -> list[traffic.Call]:
        until_s = started_s + LOAD_LIMIT_S
        calls = []
        for number, order in enumerate(orders):
            first = number % len(self.urls)
            urls = (*self.urls[first:], *self.urls[:first])
            calls.append(traffic.carry_out(self.session, urls, order, until_s))
        return await asyncio.gather(*calls)

    async def _move_zone(self) -> None:
        change = self.zone_change
        key = f"zone-state/{change.zone}"
        await asyncio.sleep(ZONE_OUT_AT_S)
        change.left_s = time.monotonic()
        reached = await publish(self.session, self.urls[0], {key: _OUT})
        click.echo(
            f"zone {change.zone} is out on {len(reached['in_force'])} hosts "
            f"after {time.monotonic() - change.left_s:.2f} s"
        )
        await asyncio.sleep(change.left_s + START_GRACE_S - time.monotonic())
        before = await self._tasks_of(change.zone)
        await asyncio.sleep(change.left_s + ZONE_OUT_FOR_S - time.monotonic())
        change.late_tasks = await self._tasks_of(change.zone) - before
        ordered_s = time.monotonic()
        reached = await publish(self.session, self.urls[0], {key: _IN})
        click.echo(
            f"zone {change.zone} is back on {len(reached['in_force'])} hosts "
            f"after {time.monotonic() - ordered_s:.2f} s"
        )
        change.back_s = time.monotonic() + ZONE_BACK_S
        await asyncio.sleep(ZONE_BACK_S)

    async def _tasks_of(self, zone: str) -> frozenset[str]:
        history = await audit.read_history(
            self.session, self.cluster.endpoint_urls_by_id
        )
        return history.tasks_by_zone.get(zone, frozenset())

    async def _kill_host(self) -> None:
        await asyncio.sleep(KILL_AT_S)
        # The last host is in a zone that stays in service, unlike zones[1].
        self.killed = list(self.cluster.hosts_by_id)[-1]
        self.cluster.signal(self.killed, signal.SIGKILL)
        click.echo(f"host {self.killed} was killed")

    async def _ask_others(
        self, orders: tuple[traffic.Order, ...]
    ) -> dict[str, str]:
        """Fetches each request's verdict from a different host."""
        hosts = self.cluster.hosts_by_id
        alive = [h.url for name, h in hosts.items() if name != self.killed]
        kinds = await asyncio.gather(
            *(
                traffic.ask_again(
                    self.session, alive[(number + 3) % len(alive)], order
                )
                for number, order in enumerate(orders)
            )
        )
        return {
            order.job_id: kind
            for order, kind in zip(orders, kinds, strict=True)
        }

    def _zone_faults(self) -> list[str]:
        change = self.zone_change
        return [
            f"{task_id} started in {change.zone} more than "
            f"{START_GRACE_S:.0f} s after it was taken out"
            for task_id in sorted(change.late_tasks)
        ]

    def _print(
        self,
        calls: list[traffic.Call],
        history: audit.History,
        started_s: float,
        ended_s: float,
    ) -> None:
        names = {h.url: h.host_id for h in self.cluster.hosts_by_id.values()}
        click.echo()
        click.echo(report.requests(calls, history, self.layout, names))
        change = self.zone_change
        click.echo()
        click.echo(
            report.measures(
                calls,
                self.sampler.fragmentation(started_s, ended_s),
                self.sampler.work(change.left_s, change.back_s),
                change.back_s - change.left_s,
                self.layout,
            )
        )

    def _print_processes(self) -> list[str]:
        """Prints the process table and returns the faults of processes."""
        found = []
        faults = []
        for name, handle in self.cluster.processes_by_name.items():
            process = processes.read(name, handle.pid)
            if process is None:
                if name != self.killed:
                    faults.append(f"process {name} has ended")
                continue
            found.append(process)
            if process.children:
                faults.append(f"process {name} has started other processes")
        click.echo()
        click.echo(report.process_table(found))
        return faults


_OUT = {"state": "out"}
_IN = {"state": "in"}


def _conclude(calls: list[traffic.Call], faults: list[str]) -> int:
    counts: dict[str, int] = {}
    for made in calls:
        counts[made.kind] = counts.get(made.kind, 0) + 1
    told = ", ".join(f"{n} {kind}" for kind, n in sorted(counts.items()))
    click.echo()
    click.echo(f"{len(calls)} requests: {told}")
    if not faults:
        click.echo("every request ended as its caller was told")
        return 0
    for text in faults:
        click.echo(f"fault: {text}", err=True)
    return 1


@click.command()
@click.option(
    "--layout",
    "name",
    type=click.Choice(sorted(layout_module.BY_NAME)),
    default="testigo-andino",
    show_default=True,
)
@click.option("--seed", default=1, show_default=True)
@click.option("--count", default=50, show_default=True)
@click.option(
    "--kill-host", is_flag=True, help="Kill one entry host during the load."
)
def main(name: str, seed: int, count: int, kill_host: bool) -> None:
    """Runs the demo on loopback addresses."""
    sys.exit(asyncio.run(run(name, seed, count, kill_host)))


if __name__ == "__main__":
    main()
