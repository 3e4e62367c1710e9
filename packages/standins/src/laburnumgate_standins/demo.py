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
LOAD_TIMEOUT_S = 20.0
ZONE_OUT_AT_S = 2.0
# Tasks that start in the zone later than this after it was taken out of
# service are reported as faults.
START_GRACE_S = 5.0
ZONE_OUT_FOR_S = 7.0
POST_RETURN_WINDOW_S = 2.0
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
    changes = operations.publication_changes(plan)
    published = await operations.publish(client, changes, OPERATOR)
    until_s = time.monotonic() + IN_FORCE_TIMEOUT_MS / 1000
    while True:
        progress = await operations.progress(client, published.offset)
        enough_hosts = len(progress.in_force) >= hosts
        if enough_hosts and not progress.not_reached:
            break
        if time.monotonic() > until_s:
            break
        await asyncio.sleep(operations.PROGRESS_POLL_INTERVAL_MS / 1000)
    return dataclasses.asdict(progress)


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
        progress = await publish(
            self.session, self.urls[0], declared, len(self.urls)
        )
        click.echo(
            f"{len(declared)} declarations are in force on "
            f"{len(progress['in_force'])} hosts"
        )
        sampling_task = asyncio.create_task(self.sampler.run())
        started_s = time.monotonic()
        requests = traffic.generate_requests(self.layout, seed, count)
        coroutines = [
            self._submit_all(requests, started_s),
            self._change_zone(),
        ]
        if kill_host:
            coroutines.append(self._kill_host())
        calls, *_ = await asyncio.gather(*coroutines)
        ended_s = max(call.ended_s for call in calls)
        sampling_task.cancel()
        history = await audit.read_history(
            self.session, self.cluster.endpoint_urls_by_id
        )
        rechecked_kinds = await self._recheck_verdicts(requests)
        faults = audit.faults(
            calls, history, self.layout, rechecked_kinds, bool(self.killed)
        )
        faults += self._zone_faults()
        self._print(calls, history, started_s, ended_s)
        faults += self._print_processes()
        return _print_summary(calls, faults)

    async def _submit_all(
        self, requests: tuple[traffic.PlannedRequest, ...], started_s: float
    ) -> list[traffic.Call]:
        until_s = started_s + LOAD_TIMEOUT_S
        calls = []
        for number, request in enumerate(requests):
            first = number % len(self.urls)
            urls = (*self.urls[first:], *self.urls[:first])
            calls.append(
                traffic.submit_and_follow(self.session, urls, request, until_s)
            )
        return await asyncio.gather(*calls)

    async def _change_zone(self) -> None:
        change = self.zone_change
        key = f"zone-state/{change.zone}"
        await asyncio.sleep(ZONE_OUT_AT_S)
        change.left_s = time.monotonic()
        progress = await publish(
            self.session, self.urls[0], {key: _OUT_OF_SERVICE}
        )
        click.echo(
            f"zone {change.zone} is out of service on "
            f"{len(progress['in_force'])} hosts after "
            f"{time.monotonic() - change.left_s:.2f} s"
        )
        await asyncio.sleep(change.left_s + START_GRACE_S - time.monotonic())
        before = await self._tasks_in_zone(change.zone)
        await asyncio.sleep(change.left_s + ZONE_OUT_FOR_S - time.monotonic())
        change.late_tasks = await self._tasks_in_zone(change.zone) - before
        requested_s = time.monotonic()
        progress = await publish(self.session, self.urls[0], {key: _IN_SERVICE})
        click.echo(
            f"zone {change.zone} is back in service on "
            f"{len(progress['in_force'])} hosts after "
            f"{time.monotonic() - requested_s:.2f} s"
        )
        change.back_s = time.monotonic() + POST_RETURN_WINDOW_S
        await asyncio.sleep(POST_RETURN_WINDOW_S)

    async def _tasks_in_zone(self, zone: str) -> frozenset[str]:
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

    async def _recheck_verdicts(
        self, requests: tuple[traffic.PlannedRequest, ...]
    ) -> dict[str, str]:
        """Fetches each request's verdict from a different host."""
        hosts = self.cluster.hosts_by_id
        alive = [h.url for name, h in hosts.items() if name != self.killed]
        kinds = await asyncio.gather(
            *(
                traffic.fetch_verdict_kind(
                    self.session, alive[(number + 3) % len(alive)], request
                )
                for number, request in enumerate(requests)
            )
        )
        return {
            request.job_id: kind
            for request, kind in zip(requests, kinds, strict=True)
        }

    def _zone_faults(self) -> list[str]:
        change = self.zone_change
        return [
            f"{task_id} started in {change.zone} more than "
            f"{START_GRACE_S:.0f} s after it was taken out of service"
            for task_id in sorted(change.late_tasks)
        ]

    def _print(
        self,
        calls: list[traffic.Call],
        history: audit.History,
        started_s: float,
        ended_s: float,
    ) -> None:
        host_ids_by_url = {
            h.url: h.host_id for h in self.cluster.hosts_by_id.values()
        }
        click.echo()
        click.echo(
            report.request_table(calls, history, self.layout, host_ids_by_url)
        )
        change = self.zone_change
        click.echo()
        click.echo(
            report.measures(
                calls,
                self.sampler.fragmentation(started_s, ended_s),
                self.sampler.used_accelerator_seconds(
                    change.left_s, change.back_s
                ),
                change.back_s - change.left_s,
                self.layout,
            )
        )

    def _print_processes(self) -> list[str]:
        """Prints the process table and returns the faults of processes."""
        running = []
        faults = []
        for name, popen in self.cluster.processes_by_name.items():
            process = processes.read(name, popen.pid)
            if process is None:
                if name != self.killed:
                    faults.append(f"process {name} has exited")
                continue
            running.append(process)
            if process.children:
                faults.append(f"process {name} has child processes")
        click.echo()
        click.echo(report.process_table(running))
        return faults


_OUT_OF_SERVICE = {"state": "out"}
_IN_SERVICE = {"state": "in"}


def _print_summary(calls: list[traffic.Call], faults: list[str]) -> int:
    counts: dict[str, int] = {}
    for call in calls:
        counts[call.kind] = counts.get(call.kind, 0) + 1
    summary = ", ".join(f"{n} {kind}" for kind, n in sorted(counts.items()))
    click.echo()
    click.echo(f"{len(calls)} requests: {summary}")
    if not faults:
        click.echo("all verdicts match the runs on the endpoints")
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
