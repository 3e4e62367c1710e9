"""Closed-loop load generator with call rates and latencies."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import itertools
import json
import time
from typing import Any

import aiohttp
from hdrh import histogram

ACCOUNT = "load"
CONCURRENT_CALLERS = 8
# Upper bound of the latency histogram.
_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 3
_TIMEOUT = aiohttp.ClientTimeout(total=30)


@dataclasses.dataclass(frozen=True)
class CallStats:
    """Calls per second and latency percentiles in ms."""

    calls: int
    per_s: float
    p50_ms: float
    p90_ms: float
    p99_ms: float
    max_ms: float
    calls_by_status: dict[int, int]


def request_body(
    name: str, accelerators: int, work_ms: int, run_ms: int
) -> dict[str, Any]:
    """Returns the JSON body of a request with one part."""
    return {
        "request_id": name,
        "account": ACCOUNT,
        "kind": "load",
        "accelerators_per_part": accelerators,
        "run_ms": run_ms,
        "memory_mb_per_part": 16,
        "payload": json.dumps({"work_ms": work_ms, "echo": name}),
    }


async def measure(
    session: aiohttp.ClientSession,
    method: str,
    make_call: Callable[[int], tuple[str, dict[str, Any] | None]],
    count: int,
    limit_s: float,
) -> CallStats:
    """Sends calls from `CONCURRENT_CALLERS` callers (closed loop).

    Each caller waits for the response before its next call.

    Args:
      session: the client session.
      method: HTTP method.
      make_call: returns URL and JSON body of the call with the given number.
      count: maximum number of calls.
      limit_s: seconds after which no further call is started.
    """
    latencies = histogram.HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
    statuses: collections.Counter[int] = collections.Counter()
    numbers = itertools.count()
    started_s = time.perf_counter()

    async def caller() -> None:
        while time.perf_counter() - started_s < limit_s:
            number = next(numbers)
            if number >= count:
                return
            url, json_body = make_call(number)
            before_s = time.perf_counter()
            async with session.request(
                method, url, json=json_body, timeout=_TIMEOUT
            ) as response:
                await response.read()
            elapsed_us = int((time.perf_counter() - before_s) * 1_000_000)
            latencies.record_value(max(1, elapsed_us))
            statuses[response.status] += 1

    await asyncio.gather(*(caller() for _ in range(CONCURRENT_CALLERS)))
    elapsed_s = time.perf_counter() - started_s
    calls = latencies.get_total_count()
    return CallStats(
        calls=calls,
        per_s=round(calls / elapsed_s, 1),
        p50_ms=_ms(latencies, 50),
        p90_ms=_ms(latencies, 90),
        p99_ms=_ms(latencies, 99),
        max_ms=_ms(latencies, 100),
        calls_by_status=dict(sorted(statuses.items())),
    )


async def submit_all(
    session: aiohttp.ClientSession, url: str, bodies: list[dict[str, Any]]
) -> None:
    """Submits requests, at most 32 concurrently.

    Raises:
      RuntimeError: if the host rejects a request.
    """
    semaphore = asyncio.Semaphore(32)

    async def submit(json_body: dict[str, Any]) -> None:
        async with (
            semaphore,
            session.post(
                f"{url}/v1/requests", json=json_body, timeout=_TIMEOUT
            ) as response,
        ):
            text = await response.text()
        if response.status not in (200, 202):
            raise RuntimeError(
                f"request was not accepted: status {response.status}: {text}"
            )

    await asyncio.gather(*map(submit, bodies))


def _ms(latencies: histogram.HdrHistogram, percentile: float) -> float:
    return round(latencies.get_value_at_percentile(percentile) / 1000, 2)
