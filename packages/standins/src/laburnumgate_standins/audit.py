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
        found: dict[str, None] = {}
        for _, parts in sorted(self.endpoints_by_run.get(job_id, {}).items()):
            found.update(
                dict.fromkeys(sampling.zone_of(e) for e in parts.values())
            )
        return tuple(found)

    def runs(self, job_id: str) -> int:
        """Returns the number of runs of which at least one part started."""
        return len(self.endpoints_by_run.get(job_id, {}))

    def beginnings(self, job_id: str) -> int:
        """Returns the number of runs that started a part from scratch.

        A run that resumes from the previous run's checkpoint repeats no work,
        so it counts as part of the same execution.
        """
        found = 0
        for run, parts in self.endpoints_by_run.get(job_id, {}).items():
            task_ids = {model.task_id(job_id, run, part) for part in parts}
            found += not task_ids <= self.continued
        return found


async def read_history(
    session: aiohttp.ClientSession, urls_by_endpoint: dict[str, str]
) -> History:
    """Fetches and merges the histories of all endpoints."""

    async def one(url: str) -> dict[str, list[str]]:
        async with session.get(f"{url}/history") as response:
            return await response.json()

    lists = await asyncio.gather(*map(one, urls_by_endpoint.values()))
    runs: dict = collections.defaultdict(lambda: collections.defaultdict(dict))
    by_zone = collections.defaultdict(set)
    continued: set[str] = set()
    for endpoint_id, told in zip(urls_by_endpoint, lists, strict=True):
        task_ids = told["resumed"]
        continued.update(told["continued"])
        by_zone[sampling.zone_of(endpoint_id)].update(task_ids)
        for task_id in task_ids:
            job_id, run, part = model.parse_task_id(task_id)
            runs[job_id][run][part] = endpoint_id
    zones = {zone: frozenset(tasks) for zone, tasks in by_zone.items()}
    return History(runs, zones, frozenset(continued))


def faults(
    calls: list[traffic.Call],
    history: History,
    layout: layout_module.Layout,
    told_later: dict[str, str],
    host_killed: bool,
) -> list[str]:
    """Returns one message for each contradiction of a verdict.

    Args:
      calls: the callers' requests with the verdicts they received.
      history: the task starts recorded by the endpoints.
      layout: the layout, which lists the request kinds that never repeat.
      told_later: kind of the verdict that another host returned after the
        load, by job id.
      host_killed: whether a host was killed. After that it can be impossible
        to determine whether a request that must not repeat has run, so
        `may_have_run` is allowed for such requests.
    """
    found = []
    for made in calls:
        once = traffic.at_most_once(made.order, layout)
        reasons = [
            _verdict_fault(made, history, once and host_killed),
            _once_fault(made, history, once),
            _later_fault(made, told_later),
        ]
        for reason in filter(None, reasons):
            found.append(f"{made.order.job_id}: {reason}")
    return found


def _verdict_fault(
    made: traffic.Call, history: History, may_be_undecided: bool
) -> str:
    runs = history.runs(made.order.job_id)
    intent = made.order.intent
    match made.kind:
        case "ran":
            if intent is traffic.Intent.IMPOSSIBLE:
                return "ran although it can never run"
            return _answer_fault(made, history)
        case "not_run":
            if runs:
                return f"told not run, and {runs} runs were started"
            if intent is traffic.Intent.RUN:
                return f"refused: {made.verdict['reason']}"
            return ""
        case "ran_failed" if intent is traffic.Intent.CANCEL:
            return "" if runs else "told that it ran, and no run was started"
        case "may_have_run" if intent is traffic.Intent.CANCEL:
            return ""
        case "may_have_run" if may_be_undecided:
            return ""
    told = made.verdict or {}
    detail = told.get("reason") or told.get("state", "")
    return f"ended as {made.kind} {detail}".rstrip()


def _answer_fault(made: traffic.Call, history: History) -> str:
    answer = made.verdict["answer"]
    parts = made.order.body["parts"]
    if len(answer) != parts:
        return f"{len(answer)} of {parts} parts were answered"
    wanted = json.loads(made.order.body["payload"])["echo"]
    if any(json.loads(text)["echo"] != wanted for text in answer):
        return "got the answer of another request"
    runs = history.endpoints_by_run.get(made.order.job_id, {})
    if not any(len(started) == parts for started in runs.values()):
        return "told that it ran, and no run started every part"
    return ""


def _once_fault(made: traffic.Call, history: History, once: bool) -> str:
    job_id = made.order.job_id
    begun = history.beginnings(job_id)
    if once and begun > 1:
        return (
            f"must not repeat and was started {begun} times; runs "
            f"{history.endpoints_by_run[job_id]}"
        )
    return ""


def _later_fault(made: traffic.Call, told_later: dict[str, str]) -> str:
    later = told_later.get(made.order.job_id, made.kind)
    if made.kind in traffic.FINAL_KINDS and later != made.kind:
        return f"told {made.kind}, and another host says {later}"
    return ""
