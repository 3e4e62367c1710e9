"""Client of the endpoints: carries out the scheduler's actions."""

import dataclasses
import logging
from typing import Any

import aiohttp
from laburnumgate_core import actions
from laburnumgate_core import clock
from laburnumgate_core import model

_LOGGER = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class Answer:
    """Status and body of a call; status 0 means that no answer came."""

    status: int
    body: Any
    reason: str = ""


@dataclasses.dataclass(frozen=True)
class ReportPage:
    """A report and the revision to ask from next time."""

    report: actions.Report
    rev: int


class EndpointClient:
    """Calls endpoints below their URLs from the live list."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        holder: str,
        timeout_ms: int,
        time: clock.Clock,
    ):
        self.endpoints_by_id: dict[str, model.Endpoint] = {}
        self._session = session
        self._holder = holder
        self._timeout_ms = timeout_ms
        self._clock = time

    async def carry_out(self, action: actions.Action) -> actions.Result | None:
        """Carries out one action on an endpoint and returns its result."""
        match action:
            case actions.TakeLease():
                return await self._take_lease(action)
            case actions.ReleaseLease():
                path = f"/lease/{action.token}"
                await self._call("DELETE", action.endpoint_id, path, {})
            case actions.HoldPart():
                return await self._hold(action)
            case actions.ResumePart():
                body = {"percent": 100, "lease_ms": action.lease_ms}
                return await self._change(action, "resume", "throttle", body)
            case actions.StopPart():
                return await self._change(action, "stop", "stop", {})
            case actions.CheckpointPart():
                body = {"stop": True}
                return await self._change(
                    action, "checkpoint", "checkpoint", body
                )
            case actions.RenewTasks():
                return await self._renew(action)
            case actions.Acknowledge():
                body = {"task_ids": action.task_ids}
                await self._call("POST", action.endpoint_id, "/ack", body)
        return None

    async def report(
        self, endpoint_id: str, since: int, wait_ms: int
    ) -> ReportPage | None:
        """Waits for tasks changed since a revision; None if no answer."""
        path = f"/report?since={since}&wait_ms={wait_ms}"
        answer = await self._call(
            "GET", endpoint_id, path, None, extra_ms=wait_ms
        )
        if answer.status != 200:
            return None
        tasks = tuple(actions.TaskView(**task) for task in answer.body["tasks"])
        report = actions.Report(
            endpoint_id, answer.body["boot_id"], tasks, full=since == 0
        )
        return ReportPage(report, answer.body["rev"])

    async def _take_lease(self, action: actions.TakeLease) -> actions.Result:
        answer = await self._call(
            "POST",
            action.endpoint_id,
            "/lease",
            {"holder": self._holder, "ttl_ms": action.ttl_ms},
        )
        if answer.status != 200:
            return actions.LeaseRefused(
                action.job_id, action.endpoint_id, answer.reason
            )
        return actions.LeaseGranted(
            action.job_id,
            action.endpoint_id,
            answer.body["token"],
            answer.body["boot_id"],
            answer.body["free_accelerators"],
        )

    async def _hold(self, action: actions.HoldPart) -> actions.PartAnswer:
        body = dataclasses.asdict(action)
        del body["endpoint_id"]
        body.update(throttle_percent=0, holder=self._holder)
        answer = await self._call("POST", action.endpoint_id, "/tasks", body)
        return _part_answer(action, "hold", answer)

    async def _change(
        self,
        action: actions.ResumePart | actions.StopPart | actions.CheckpointPart,
        call: str,
        path: str,
        body: dict[str, Any],
    ) -> actions.PartAnswer:
        answer = await self._call(
            "POST", action.endpoint_id, f"/tasks/{action.task_id}/{path}", body
        )
        return _part_answer(action, call, answer)

    async def _renew(
        self, action: actions.RenewTasks
    ) -> actions.Renewed | None:
        asked_ms = self._clock.now_ms()
        body = {"task_ids": action.task_ids, "lease_ms": action.lease_ms}
        answer = await self._call("POST", action.endpoint_id, "/renew", body)
        if answer.status != 200:
            return None
        return actions.Renewed(
            action.endpoint_id,
            tuple(answer.body["task_ids"]),
            asked_ms,
            action.lease_ms,
        )

    async def _call(
        self,
        method: str,
        endpoint_id: str,
        path: str,
        body: dict[str, Any] | None,
        extra_ms: int = 0,
    ) -> Answer:
        endpoint = self.endpoints_by_id.get(endpoint_id)
        if endpoint is None:
            return Answer(0, None, "endpoint is not in the live list")
        timeout = aiohttp.ClientTimeout(
            total=(self._timeout_ms + extra_ms) / 1000
        )
        try:
            async with self._session.request(
                method, endpoint.url + path, json=body, timeout=timeout
            ) as response:
                parsed = await response.json()
                return Answer(response.status, parsed, str(response.status))
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return Answer(0, None, f"{type(error).__name__}: {error}")


def _part_answer(action, call: str, answer: Answer) -> actions.PartAnswer:
    match answer.status:
        case 200 | 201:
            state = answer.body["state"]
        case 404:
            state = "absent"
        case 409 | 507:
            state = "refused"
        case _:
            state = "unknown"
    checkpoint = ""
    if answer.status in (200, 201):
        checkpoint = answer.body["checkpoint"]
    return actions.PartAnswer(
        action.endpoint_id,
        action.task_id,
        call,
        state,
        answer.reason,
        checkpoint,
    )
