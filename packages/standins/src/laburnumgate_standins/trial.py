"""Test driver for an installation of real processes.

It sends the requests of callers and operators and injects faults.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import json
import time
from typing import Any

import aiohttp

from laburnumgate_standins import cluster as cluster_module
from laburnumgate_standins import layout as layout_module

MAX_ATTEMPTS = 200
POLL_INTERVAL_S = 0.1
POLL_WAIT_MS = 1_000
# Statuses after which a caller resubmits with the same id to another host.
_RETRY_STATUSES = (404, 429, 503)


@dataclasses.dataclass(frozen=True)
class Response:
    """Status and body of an HTTP response; status 0 if there was none."""

    status: int
    body: Any


@dataclasses.dataclass(frozen=True)
class Outcome:
    """A request and the final verdict that its caller received."""

    request: dict
    verdict: dict


class Trial:
    """Calls the hosts and the stand-ins of a cluster."""

    def __init__(
        self, cluster: cluster_module.Cluster, session: aiohttp.ClientSession
    ):
        self.cluster = cluster
        self._session = session
        self._count = 0

    async def call(self, method: str, url: str, body: Any = None) -> Response:
        """Sends one HTTP request; connection errors give status 0."""
        try:
            async with self._session.request(
                method, url, json=body
            ) as response:
                return Response(response.status, await response.json())
        except (aiohttp.ClientError, TimeoutError):
            return Response(0, None)

    async def wait_until(
        self, description: str, is_done: Callable[[], Awaitable[bool]]
    ) -> None:
        """Polls a condition until it holds, for a bounded number of attempts.

        Raises:
          TimeoutError: if the condition never held.
        """
        for _ in range(MAX_ATTEMPTS):
            if await is_done():
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise TimeoutError(f"condition not met in time: {description}")

    def request(self, work_ms: int = 100, **fields) -> dict:
        """Returns a request body with a unique request id and echo."""
        self._count += 1
        name = f"request-{self._count}"
        payload = json.dumps({"work_ms": work_ms, "echo": name})
        return {
            "request_id": name,
            "account": "surveys",
            "accelerators_per_part": 2,
            "run_ms": work_ms,
            "issued_at_ms": time.time_ns() // 1_000_000,
            "payload": payload,
            **fields,
        }

    def host_urls(self, zone: str = "") -> list[str]:
        """Returns the URLs of all hosts, or of the hosts of `zone`."""
        return [
            host.url
            for host in self.cluster.hosts_by_id.values()
            if not zone or host.zone == zone
        ]

    async def submit(self, body: dict, urls: list[str]) -> Response:
        """Submits to the hosts in turn until one accepts or rejects."""
        answer = Response(0, None)
        for attempt in range(MAX_ATTEMPTS):
            url = urls[attempt % len(urls)]
            answer = await self.call("POST", f"{url}/v1/requests", body)
            if answer.status not in (0, *_RETRY_STATUSES):
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        return answer

    async def outcome(self, body: dict, urls: list[str]) -> Outcome:
        """Submits a request and polls it until its verdict is final.

        Raises:
          TimeoutError: if it is still pending after a bounded number of polls.
        """
        answer = await self.submit(body, urls)
        path = f"/v1/requests/{body['account']}/{body['request_id']}"
        for attempt in range(MAX_ATTEMPTS):
            if answer.status in (0, *_RETRY_STATUSES):
                answer = await self.submit(body, urls)
            verdict = answer.body["verdict"]
            if verdict["kind"] != "pending":
                return Outcome(body, verdict)
            url = urls[attempt % len(urls)]
            answer = await self.call(
                "GET", f"{url}{path}?wait_ms={POLL_WAIT_MS}"
            )
            if answer.status in (0, *_RETRY_STATUSES):
                await asyncio.sleep(POLL_INTERVAL_S)
        raise TimeoutError(
            f"request {body['request_id']} is still pending: {answer}"
        )

    async def outcomes(
        self, bodies: list[dict], urls: list[str]
    ) -> list[Outcome]:
        """Submits and follows requests concurrently, spread over the hosts."""
        return await asyncio.gather(
            *(
                self.outcome(body, urls[index % len(urls) :] + urls)
                for index, body in enumerate(bodies)
            )
        )

    async def publish(self, url: str, values: dict[str, dict]) -> Response:
        """Publishes values against the revisions in force at one host."""
        current = await self.call("GET", f"{url}/v1/operator/config")
        known = current.body["values"]
        changes = [
            {
                "key": key,
                "value": value,
                "replaces": known.get(key, {}).get("revision", 0),
            }
            for key, value in values.items()
        ]
        body = {"operator": "trial", "changes": changes, "wait_ms": 20_000}
        return await self.call("POST", f"{url}/v1/operator/publications", body)

    async def state(self, host_id: str) -> dict:
        """Returns a host's state dump, or an empty dict without an answer."""
        url = self.cluster.hosts_by_id[host_id].url
        answer = await self.call("GET", f"{url}/v1/operator/state")
        return answer.body if answer.status == 200 else {}

    async def find_placing_host(self, zone: str, exclude: str = "") -> str:
        """Waits until exactly one host but `exclude` places for a zone."""
        found: list[str] = []

        async def has_one_placing_host() -> bool:
            found.clear()
            for host in self.cluster.hosts_by_id.values():
                if host.zone != zone or host.host_id == exclude:
                    continue
                state = await self.state(host.host_id)
                if state.get("places") and not state["recovering"]:
                    found.append(host.host_id)
            return len(found) == 1

        await self.wait_until(
            f"exactly one host places for {zone}", has_one_placing_host
        )
        return found[0]

    async def wait_until_all_ready(self) -> None:
        """Waits until every host lists all hosts as ready."""

        async def all_ready() -> bool:
            for host_id in self.cluster.hosts_by_id:
                members = (await self.state(host_id)).get("members", ())
                ready = [m for m in members if m["state"] == "ready"]
                if len(ready) < len(self.cluster.hosts_by_id):
                    return False
            return True

        await self.wait_until("every host lists all hosts as ready", all_ready)

    async def set_log_faults(self, **faults) -> None:
        """Injects faults into the log stand-in."""
        await self.call("POST", f"{self.cluster.log_url}/faults", faults)

    async def set_endpoint_faults(self, endpoint_id: str, **faults) -> None:
        """Injects faults into an endpoint stand-in."""
        url = self.cluster.endpoint_urls_by_id[endpoint_id]
        await self.call("POST", f"{url}/faults", faults)

    async def started_tasks(self, zone: str = "") -> list[str]:
        """Returns the ids of started tasks, of endpoints with prefix `zone`."""
        tasks = []
        for endpoint_id, url in self.cluster.endpoint_urls_by_id.items():
            if not endpoint_id.startswith(zone):
                continue
            answer = await self.call("GET", f"{url}/history")
            tasks += answer.body["resumed"]
        return tasks

    async def contradictions(self, outcomes: list[Outcome]) -> list[str]:
        """Returns contradictions between verdicts and task starts."""
        started_tasks = await self.started_tasks()
        lines = []
        for outcome in outcomes:
            body = outcome.request
            job_id = f"{body['account']}/{body['request_id']}/"
            starts = [task for task in started_tasks if task.startswith(job_id)]
            lines += _contradictions_of(outcome, starts)
        return lines


def _contradictions_of(outcome: Outcome, starts: list[str]) -> list[str]:
    body, verdict = outcome.request, outcome.verdict
    name, kind = body["request_id"], verdict["kind"]
    parts = body.get("parts", 1)
    lines = []
    if kind == "not_run" and starts:
        lines.append(f"{name}: reported as not run, but started {starts}")
    if not body.get("idempotent", True) and len(starts) > parts:
        lines.append(f"{name}: not idempotent, but started {starts}")
    if kind != "ran":
        return lines
    echoes = [json.loads(text)["echo"] for text in verdict["answer"]]
    if echoes != [name] * parts:
        lines.append(f"{name}: answered {echoes}")
    return lines


SMALL_LAYOUT = layout_module.Layout(
    name="small",
    region="region",
    zones=("zone-a", "zone-b"),
    hosts_by_zone={"zone-a": 2, "zone-b": 2},
    endpoints_per_rack=2,
    accelerators=8,
    cpus=32,
    memory_mb=64 * 1024,
    slots=8,
    connections=64,
    speed_by_zone={"zone-a": 1.0, "zone-b": 1.0},
    accounts=(layout_module.Account("surveys", "normal", 64, 1, 2, 1, ()),),
)


@contextlib.asynccontextmanager
async def running_installation(
    timing: dict[str, int] | None = None,
    limits: dict[str, int] | None = None,
) -> AsyncIterator[Trial]:
    """Runs a new small installation with its accounts declared."""
    cluster = cluster_module.Cluster(SMALL_LAYOUT, timing, limits=limits)
    try:
        await cluster.start()
        timeout = aiohttp.ClientTimeout(total=40)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            trial = Trial(cluster, session)
            declared = layout_module.declarations(SMALL_LAYOUT)
            answer = await trial.publish(trial.host_urls()[0], declared)
            if answer.status != 200 or answer.body["not_reached"]:
                raise RuntimeError(
                    f"declarations were not applied by all hosts: {answer}"
                )
            await trial.wait_until_all_ready()
            yield trial
    finally:
        cluster.stop()
