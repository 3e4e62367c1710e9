"""Runs a mixed load on real processes and checks what callers were told."""

import asyncio
import dataclasses
import json
import random
import sys
import time

import aiohttp
import click

from laburnumgate_standins import cluster as cluster_module
from laburnumgate_standins import layout as layout_module

POLL_WAIT_MS = 5_000
MAX_POLLS = 12


@dataclasses.dataclass
class Call:
    """One request of the demo and what its caller was told."""

    request_id: str
    body: dict
    submitted_s: float
    ended_s: float = 0.0
    verdict: dict | None = None


def workload(layout: layout_module.Layout, seed: int, count: int) -> list[dict]:
    """Returns request bodies; the same seed gives the same bodies."""
    rng = random.Random(seed)
    bodies = []
    for number in range(count):
        account = rng.choice(layout.accounts)
        kind = rng.choice((*account.never_repeat, "review", "batch"))
        work_ms = rng.choice((200, 400, 800, 2000))
        bodies.append(
            {
                "request_id": f"demo-{seed}-{number}",
                "account": account.name,
                "kind": kind,
                "parts": rng.choice((1, 1, 2, account.parts)),
                "accelerators_per_part": rng.choice((1, 2, 4, 8)),
                "run_ms": work_ms * rng.choice((1, 1, 2, 5)),
                "checkpointable": rng.random() < 0.3,
                "payload": json.dumps(
                    {"work_ms": work_ms, "echo": f"answer-{number}"}
                ),
            }
        )
    return bodies


async def publish(
    session: aiohttp.ClientSession, url: str, values: dict[str, dict]
) -> dict:
    """Publishes values against the revisions in force."""
    async with session.get(f"{url}/v1/operator/config") as response:
        current = (await response.json())["values"]
    changes = [
        {
            "key": key,
            "value": value,
            "replaces": current.get(key, {}).get("revision", 0),
        }
        for key, value in values.items()
    ]
    body = {"operator": "demo", "changes": changes}
    async with session.post(
        f"{url}/v1/operator/publications", json=body
    ) as response:
        return await response.json()


async def call(
    session: aiohttp.ClientSession, urls: list[str], body: dict
) -> Call:
    """Submits a request and waits for its outcome, host after host."""
    # The same in every try, so that a late copy is known to be one.
    body = {**body, "issued_at_ms": time.time_ns() // 1_000_000}
    made = Call(body["request_id"], body, time.monotonic())
    for attempt in range(MAX_POLLS):
        url = urls[(hash(body["payload"]) + attempt) % len(urls)]
        try:
            async with session.post(
                f"{url}/v1/requests", json=body
            ) as response:
                answer = await response.json()
            if response.status in (200, 202):
                path = f"/v1/requests/{body['account']}/{made.request_id}"
                async with session.get(
                    f"{url}{path}?wait_ms={POLL_WAIT_MS}"
                ) as response:
                    answer = await response.json()
        except aiohttp.ClientError:
            await asyncio.sleep(0.2)
            continue
        made.verdict = answer["verdict"]
        if made.verdict["kind"] in ("ran", "ran_failed", "not_run"):
            break
        await asyncio.sleep(0.1)
    made.ended_s = time.monotonic()
    return made


def wrong_answer(made: Call) -> str:
    """Returns what is wrong with the outcome of a call, or nothing."""
    if made.verdict is None or made.verdict["kind"] != "ran":
        return f"{made.request_id}: {made.verdict}"
    answer = made.verdict["answer"]
    if len(answer) != made.body["parts"]:
        return f"{made.request_id}: {len(answer)} parts answered"
    wanted = json.loads(made.body["payload"])["echo"]
    for text in answer:
        if json.loads(text)["echo"] != wanted:
            return f"{made.request_id}: answer of another request"
    return ""


async def run(name: str, seed: int, count: int) -> int:
    """Runs the demo; returns the process's exit code."""
    layout = layout_module.BY_NAME[name]
    cluster = cluster_module.Cluster(layout)
    try:
        await cluster.start()
        click.echo(
            f"{len(cluster.hosts_by_id)} hosts and "
            f"{len(cluster.endpoint_urls_by_id)} endpoints are ready"
        )
        return await _drive(cluster, layout, seed, count)
    finally:
        cluster.stop()


async def _drive(
    cluster: cluster_module.Cluster,
    layout: layout_module.Layout,
    seed: int,
    count: int,
) -> int:
    urls = [host.url for host in cluster.hosts_by_id.values()]
    async with aiohttp.ClientSession() as session:
        declared = layout_module.declarations(layout)
        answer = await publish(session, urls[0], declared)
        click.echo(f"configuration: {answer}")
        await asyncio.sleep(1)
        bodies = workload(layout, seed, count)
        calls = await asyncio.gather(
            *(call(session, urls, body) for body in bodies)
        )
    errors = [text for text in map(wrong_answer, calls) if text]
    times = sorted(made.ended_s - made.submitted_s for made in calls)
    click.echo(
        f"{len(calls)} requests, completion p50 {times[len(times) // 2]:.2f} s"
        f", max {times[-1]:.2f} s, wrong {len(errors)}"
    )
    for text in errors:
        click.echo(text, err=True)
    return 1 if errors else 0


@click.command()
@click.option(
    "--layout",
    "name",
    type=click.Choice(sorted(layout_module.BY_NAME)),
    default="testigo-andino",
    show_default=True,
)
@click.option("--seed", default=1, show_default=True)
@click.option("--count", default=40, show_default=True)
def main(name: str, seed: int, count: int) -> None:
    """Runs the demo on loopback addresses."""
    sys.exit(asyncio.run(run(name, seed, count)))


if __name__ == "__main__":
    main()
