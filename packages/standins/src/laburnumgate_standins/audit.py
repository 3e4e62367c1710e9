"""Checks the verdicts sent to callers against the endpoints' run history."""

import asyncio
import collections
import dataclasses
import json

import aiohttp
from laburnumgate_core import model

from laburnumgate_standins import layout as layout_module
from laburnumgate_standins import sampling
from laburnumgate_standins import traffic


@dataclasses.dataclass(frozen=True)
class History:
    """Every task start, as recorded by the endpoints.

    `endpoints_by_run` maps job id, run and part to the endpoint that started
    the part. `continued` holds the ids of tasks that resumed from a checkpoint.
    """

    endpoints_by_run: dict[str, dict[int, dict[int, str]]]
    tasks_by_zone: dict[str, frozenset[str]]
    continued: frozenset[str] = frozenset()

    def zones(self, job_id: str) -> tuple[str, ...]:
        """Returns the zones in which parts of the job have run, in order."""
        zones: dict[str, None] = {}
        for _, parts in sorted(self.endpoints_by_run.get(job_id, {}).items()):
            zones.update(
                dict.fromkeys(sampling.zone_of(e) for e in parts.values())
            )
        return tuple(zones)

    def runs(self, job_id: str) -> int:
        """Returns the number of runs of which at least one part started."""
        return len(self.endpoints_by_run.get(job_id, {}))

    def executions(self, job_id: str) -> int:
        """Returns the number of runs that started a part from scratch.

        A run that resumes from the previous run's checkpoint repeats no work,
        so it counts as part of the same execution.
        """
        count = 0
        for run, parts in self.endpoints_by_run.get(job_id, {}).items():
            task_ids = {model.task_id(job_id, run, part) for part in parts}
            count += not task_ids <= self.continued
        return count


async def read_history(
    session: aiohttp.ClientSession, urls_by_endpoint: dict[str, str]
) -> History:
    """Fetches and merges the histories of all endpoints."""

    async def fetch(url: str) -> dict[str, list[str]]:
        async with session.get(f"{url}/history") as response:
            return await response.json()

    histories = await asyncio.gather(*map(fetch, urls_by_endpoint.values()))
    endpoints_by_run: dict = collections.defaultdict(
        lambda: collections.defaultdict(dict)
    )
    tasks_by_zone = collections.defaultdict(set)
    continued: set[str] = set()
    for endpoint_id, recorded in zip(urls_by_endpoint, histories, strict=True):
        task_ids = recorded["resumed"]
        continued.update(recorded["continued"])
        tasks_by_zone[sampling.zone_of(endpoint_id)].update(task_ids)
        for task_id in task_ids:
            job_id, run, part = model.parse_task_id(task_id)
            endpoints_by_run[job_id][run][part] = endpoint_id
    zones = {zone: frozenset(tasks) for zone, tasks in tasks_by_zone.items()}
    return History(endpoints_by_run, zones, frozenset(continued))


def faults(
    calls: list[traffic.Call],
    history: History,
    layout: layout_module.Layout,
    rechecked_kinds: dict[str, str],
    host_killed: bool,
) -> list[str]:
    """Returns one message for each contradiction of a verdict.

    Args:
      calls: the callers' requests with the verdicts they received.
      history: the task starts recorded by the endpoints.
      layout: the layout, which lists the request kinds that never repeat.
      rechecked_kinds: kind of the verdict that another host returned after the
        load, by job id.
      host_killed: whether a host was killed. After that it can be impossible
        to determine whether a request that must not repeat has run, so
        `may_have_run` is allowed for such requests.
    """
    messages = []
    for call in calls:
        at_most_once = traffic.at_most_once(call.request, layout)
        reasons = [
            _verdict_fault(call, history, at_most_once and host_killed),
            _at_most_once_fault(call, history, at_most_once),
            _recheck_fault(call, rechecked_kinds),
        ]
        for reason in filter(None, reasons):
            messages.append(f"{call.request.job_id}: {reason}")
    return messages


def _verdict_fault(
    call: traffic.Call, history: History, may_be_undecided: bool
) -> str:
    runs = history.runs(call.request.job_id)
    intent = call.request.intent
    match call.kind:
        case "ran":
            if intent is traffic.Intent.IMPOSSIBLE:
                return "ran although no endpoint has enough accelerators"
            return _answer_fault(call, history)
        case "not_run":
            if runs:
                return f"reported as not run, but {runs} runs were started"
            if intent is traffic.Intent.RUN:
                return f"refused: {call.verdict['reason']}"
            return ""
        case "ran_failed" if intent is traffic.Intent.CANCEL:
            return (
                "" if runs else "reported as having run, but no run was started"
            )
        case "may_have_run" if intent is traffic.Intent.CANCEL:
            return ""
        case "may_have_run" if may_be_undecided:
            return ""
    verdict = call.verdict or {}
    detail = verdict.get("reason") or verdict.get("state", "")
    return f"ended as {call.kind} {detail}".rstrip()


def _answer_fault(call: traffic.Call, history: History) -> str:
    answer = call.verdict["answer"]
    parts = call.request.body["parts"]
    if len(answer) != parts:
        return f"{len(answer)} of {parts} parts were answered"
    expected = json.loads(call.request.body["payload"])["echo"]
    if any(json.loads(text)["echo"] != expected for text in answer):
        return "received the answer of another request"
    runs = history.endpoints_by_run.get(call.request.job_id, {})
    if not any(len(started) == parts for started in runs.values()):
        return "reported as having run, but no run started every part"
    return ""


def _at_most_once_fault(
    call: traffic.Call, history: History, at_most_once: bool
) -> str:
    job_id = call.request.job_id
    executions = history.executions(job_id)
    if at_most_once and executions > 1:
        return (
            f"must not repeat but was started {executions} times; runs "
            f"{history.endpoints_by_run[job_id]}"
        )
    return ""


def _recheck_fault(call: traffic.Call, rechecked_kinds: dict[str, str]) -> str:
    rechecked_kind = rechecked_kinds.get(call.request.job_id, call.kind)
    if call.kind in traffic.FINAL_KINDS and rechecked_kind != call.kind:
        return (
            f"reported as {call.kind}, but as {rechecked_kind} by another host"
        )
    return ""
