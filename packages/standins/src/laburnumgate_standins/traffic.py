"""Generates the demo's requests and submits and follows them as callers."""

import asyncio
import dataclasses
import enum
import json
import random
import time
from typing import Any

import aiohttp
from laburnumgate_cli import client as client_module
from laburnumgate_cli import errors
from laburnumgate_cli import requests

from laburnumgate_standins import layout as layout_module

CALL_TIMEOUT_MS = 3_000
POLL_WAIT_MS = 5_000
RETRY_BACKOFF_S = 0.2
# Number of "may have run" answers to an accepted request after which that is
# taken as its outcome. Fewer can come from hosts that have not read the log.
MAX_UNDECIDED_ANSWERS = 5
CANCEL_AFTER_S = 0.4
# Requests are spread evenly over this time, so that some arrive before, during
# and after the time in which a zone is out of service.
ARRIVAL_WINDOW_S = 9.0
_WORK_MS = (200, 400, 800, 1_600)
FINAL_KINDS = ("ran", "ran_failed", "not_run")


class Intent(enum.StrEnum):
    """How a caller handles its request.

    IMPOSSIBLE requests need more accelerators than any endpoint has.
    """

    RUN = "run"
    CANCEL = "cancel"
    IMPOSSIBLE = "impossible"


@dataclasses.dataclass(frozen=True)
class PlannedRequest:
    """A request body, its caller's intent, and the time of submission in s.

    The time counts from the start of the load.
    """

    body: dict[str, Any]
    intent: Intent
    submit_at_s: float

    @property
    def job_id(self) -> str:
        """Job id, which prefixes the task ids in the endpoints' histories."""
        return f"{self.body['account']}/{self.body['request_id']}"


@dataclasses.dataclass
class Call:
    """A submitted request, the first host called and the last verdict.

    Times are in s of the monotonic clock. `verdict` is None if no host
    answered.
    """

    request: PlannedRequest
    host_url: str
    submitted_s: float = 0.0
    ended_s: float = 0.0
    verdict: dict[str, Any] | None = None

    @property
    def kind(self) -> str:
        """Kind of the last verdict received, or "no answer"."""
        return self.verdict["kind"] if self.verdict else "no answer"

    @property
    def seconds(self) -> float:
        """Completion time in s."""
        return self.ended_s - self.submitted_s


def generate_requests(
    layout: layout_module.Layout, seed: int, count: int
) -> tuple[PlannedRequest, ...]:
    """Generates the demo's requests, deterministically for each seed."""
    rng = random.Random(seed)
    planned = []
    for number in range(count):
        account = rng.choice(layout.accounts)
        kind = rng.choice((*account.never_repeat, "review", "batch"))
        work_ms = rng.choice(_WORK_MS)
        body = {
            "request_id": f"demo-{seed}-{number}",
            "account": account.name,
            "kind": kind,
            "parts": rng.choice((1, 1, 2, account.parts)),
            "accelerators_per_part": rng.choice((1, 2, 4, 8)),
            # Some declared run times are too long by a factor of up to 5.
            "run_ms": work_ms * rng.choice((1, 1, 2, 5)),
            "idempotent": rng.random() < 0.8,
            "checkpointable": rng.random() < 0.3,
            "payload": json.dumps(
                {"work_ms": work_ms, "echo": f"answer-{number}"}
            ),
        }
        intent = Intent.RUN
        if number % 10 == 6:
            intent = Intent.CANCEL
        if number % 10 == 9:
            intent = Intent.IMPOSSIBLE
            # No endpoint of the layouts has this many accelerators.
            body["accelerators_per_part"] = 2 * layout.accelerators
        submit_at_s = ARRIVAL_WINDOW_S * number / count
        planned.append(PlannedRequest(body, intent, submit_at_s))
    return tuple(planned)


def at_most_once(request: PlannedRequest, layout: layout_module.Layout) -> bool:
    """Returns whether the request must not run twice."""
    never_repeat_by_account = {
        account.name: account.never_repeat for account in layout.accounts
    }
    body = request.body
    return (
        not body["idempotent"]
        or body["kind"] in never_repeat_by_account[body["account"]]
    )


async def submit_and_follow(
    session: aiohttp.ClientSession,
    urls: tuple[str, ...],
    request: PlannedRequest,
    until_s: float,
) -> Call:
    """Submits one request and polls it until its outcome or `until_s`.

    The caller tries `urls` in order and fails over to the next host, with the
    same request id, when one does not answer.
    """
    client = client_module.Client(session, urls, CALL_TIMEOUT_MS)
    await asyncio.sleep(request.submit_at_s)
    call = Call(request, urls[0], submitted_s=time.monotonic())
    body = dict(request.body, issued_at_ms=time.time_ns() // 1_000_000)
    accepted = False
    undecided = 0
    while time.monotonic() < until_s and call.kind not in FINAL_KINDS:
        try:
            if not accepted:
                answer = await requests.submit(client, body)
                accepted = answer["verdict"]["kind"] != "may_have_run"
                if accepted and request.intent is Intent.CANCEL:
                    answer = await _cancel(client, body)
            else:
                remaining_ms = int((until_s - time.monotonic()) * 1000)
                answer = await requests.status(
                    client,
                    body["account"],
                    body["request_id"],
                    max(0, min(POLL_WAIT_MS, remaining_ms)),
                )
        except errors.ClientError:
            await asyncio.sleep(RETRY_BACKOFF_S)
            continue
        call.verdict = answer["verdict"]
        call.ended_s = time.monotonic()
        if call.kind == "may_have_run":
            undecided += accepted
            if undecided == MAX_UNDECIDED_ANSWERS:
                break
            await asyncio.sleep(RETRY_BACKOFF_S)
    return call


async def fetch_verdict_kind(
    session: aiohttp.ClientSession, url: str, request: PlannedRequest
) -> str:
    """Fetches the kind of a request's verdict from one host at once."""
    client = client_module.Client(session, (url,), CALL_TIMEOUT_MS)
    body = request.body
    try:
        answer = await requests.status(
            client, body["account"], body["request_id"], 0
        )
    except errors.ClientError:
        return "no answer"
    return answer["verdict"]["kind"]


async def _cancel(
    client: client_module.Client, body: dict[str, Any]
) -> dict[str, Any]:
    await asyncio.sleep(CANCEL_AFTER_S)
    return await requests.cancel(client, body["account"], body["request_id"])
