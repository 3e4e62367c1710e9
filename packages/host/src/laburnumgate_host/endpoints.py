"""HTTP client of the endpoints; executes the scheduler's actions."""

import asyncio
import dataclasses
import logging
from typing import Any

import aiohttp
from laburnumgate_core import actions
from laburnumgate_core import clock
from laburnumgate_core import model

_LOGGER = logging.getLogger(__name__)
# Limit on concurrent calls that start work, over all endpoints. Without it a
# gang of 512 parts would open 512 connections at once.
MAX_LAUNCH_CALLS = 64
MAX_ATTEMPTS = 2
RETRIES_PER_CALL = 0.1
# Limit on retries that accumulate while no calls fail.
MAX_SAVED_RETRIES = 10.0
# A call that would get a shorter lease is not sent.
MIN_LEASE_MS = 100


class RetryBudget:
    """Limits retries to a fraction of the calls to avoid retry storms."""

    def __init__(self):
        self._tokens = MAX_SAVED_RETRIES

    def note_call(self) -> None:
        """Counts a first attempt."""
        self._tokens = min(MAX_SAVED_RETRIES, self._tokens + RETRIES_PER_CALL)

    def take(self) -> bool:
        """Consumes one retry; returns False if none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclasses.dataclass(frozen=True)
class Response:
    """Status and body of a call; status 0 means that no response arrived."""

    status: int
    body: Any
    reason: str = ""

    @property
    def outcome_unknown(self) -> bool:
        """Whether it is unknown if the call took effect."""
        return self.status == 0 or (self.status >= 500 and self.status != 507)


@dataclasses.dataclass(frozen=True)
class ReportPage:
    """A report and the revision from which to request the next one."""

    report: actions.Report
    rev: int


class EndpointClient:
    """Calls endpoints at their URLs from the live list."""

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
        self._retries = RetryBudget()
        self._launch_semaphore = asyncio.Semaphore(MAX_LAUNCH_CALLS)

    async def execute(self, action: actions.Action) -> actions.Result | None:
        """Executes one action on an endpoint and returns its result."""
        match action:
            case actions.TakeLease():
                return await self._take_lease(action)
            case actions.ReleaseLease():
                path = f"/lease/{action.token}"
                await self._call("DELETE", action.endpoint_id, path, {})
            case actions.HoldPart():
                return await self._hold(action)
            case actions.ResumePart():
                return await self._resume(action)
            case actions.ReadTasks():
                return await self._read(action)
            case actions.StopPart():
                return await self._modify_task(action, "stop", "stop", {})
            case actions.CheckpointPart():
                body = {"stop": True}
                return await self._modify_task(
                    action, "checkpoint", "checkpoint", body
                )
            case actions.RenewTasks():
                return await self._renew(action)
            case actions.Acknowledge():
                body = {"task_ids": action.task_ids}
                await self._call_with_retries(
                    "POST", action.endpoint_id, "/ack", body
                )
        return None

    async def report(
        self, endpoint_id: str, since: int, wait_ms: int
    ) -> ReportPage | None:
        """Long-polls for tasks changed since a revision; None on failure."""
        path = f"/report?since={since}&wait_ms={wait_ms}"
        answer = await self._call(
            "GET", endpoint_id, path, None, extra_timeout_ms=wait_ms
        )
        if answer.status != 200:
            return None
        tasks = tuple(actions.TaskView(**task) for task in answer.body["tasks"])
        report = actions.Report(
            endpoint_id, answer.body["boot_id"], tasks, full=since == 0
        )
        return ReportPage(report, answer.body["rev"])

    async def _take_lease(self, action: actions.TakeLease) -> actions.Result:
        # Not retried: if the response was lost, the lease that the first call
        # was granted would make the endpoint refuse the second call.
        async with self._launch_semaphore:
            answer = await self._call(
                "POST",
                action.endpoint_id,
                "/lease",
                {"holder": self._holder, "ttl_ms": action.ttl_ms},
            )
        if answer.status != 200:
            return actions.LeaseRefused(
                action.job_id,
                action.endpoint_id,
                answer.reason,
                action.attempt,
            )
        return actions.LeaseGranted(
            action.job_id,
            action.endpoint_id,
            answer.body["token"],
            answer.body["boot_id"],
            answer.body["free_accelerators"],
            action.attempt,
        )

    async def _hold(self, action: actions.HoldPart) -> actions.PartAnswer:
        body = dataclasses.asdict(action)
        del body["endpoint_id"]
        del body["send_before_ms"]
        body.update(throttle_percent=0, holder=self._holder)
        async with self._launch_semaphore:
            if self._is_too_late(action):
                return _part_answer(action, "hold", _NOT_SENT)
            answer = await self._call_with_retries(
                "POST",
                action.endpoint_id,
                "/tasks",
                body,
                action.send_before_ms,
            )
        return _part_answer(action, "hold", answer)

    async def _resume(self, action: actions.ResumePart) -> actions.PartAnswer:
        """Resumes a part without retrying; the run retries a lost resume.

        A retry must request a shorter lease, which the run computes.
        """
        async with self._launch_semaphore:
            lease_ms = action.lease_ms
            if action.until_ms:
                left_ms = action.until_ms - self._clock.now_ms()
                lease_ms = min(lease_ms, left_ms)
            if self._is_too_late(action) or lease_ms < MIN_LEASE_MS:
                return _part_answer(action, "resume", _NOT_SENT)
            answer = await self._call(
                "POST",
                action.endpoint_id,
                f"/tasks/{action.task_id}/throttle",
                {"percent": 100, "lease_ms": lease_ms},
            )
        return _part_answer(action, "resume", answer)

    def _is_too_late(
        self, action: actions.HoldPart | actions.ResumePart
    ) -> bool:
        """Whether the leases that permit the call may have expired."""
        if not action.send_before_ms:
            return False
        return self._clock.now_ms() >= action.send_before_ms

    async def _read(self, action: actions.ReadTasks) -> actions.Result | None:
        page = await self.report(action.endpoint_id, 0, 0)
        if page is None:
            return None
        return actions.TasksRead(
            action.job_id,
            action.endpoint_id,
            action.serial,
            page.report.boot_id,
            page.report.tasks,
        )

    async def _modify_task(
        self,
        action: actions.StopPart | actions.CheckpointPart,
        call: str,
        path: str,
        body: dict[str, Any],
    ) -> actions.PartAnswer:
        answer = await self._call_with_retries(
            "POST", action.endpoint_id, f"/tasks/{action.task_id}/{path}", body
        )
        return _part_answer(action, call, answer)

    async def _renew(
        self, action: actions.RenewTasks
    ) -> actions.Renewed | None:
        requested_ms = self._clock.now_ms()
        body = {"task_ids": action.task_ids, "lease_ms": action.lease_ms}
        answer = await self._call("POST", action.endpoint_id, "/renew", body)
        if answer.status != 200:
            return None
        return actions.Renewed(
            action.endpoint_id,
            tuple(answer.body["task_ids"]),
            requested_ms,
            action.lease_ms,
        )

    async def _call_with_retries(
        self,
        method: str,
        endpoint_id: str,
        path: str,
        body: dict[str, Any],
        send_before_ms: int = 0,
    ) -> Response:
        """Makes an idempotent call, with retries, within one deadline.

        The remaining time is divided by the number of attempts left, so the
        last attempt ends at the deadline.
        """
        deadline_ms = self._clock.now_ms() + self._timeout_ms
        self._retries.note_call()
        for attempts_left in range(MAX_ATTEMPTS, 0, -1):
            left_ms = deadline_ms - self._clock.now_ms()
            answer = await self._call(
                method,
                endpoint_id,
                path,
                body,
                timeout_ms=max(1, left_ms // attempts_left),
            )
            now_ms = self._clock.now_ms()
            if (
                not answer.outcome_unknown
                or attempts_left == 1
                or now_ms >= deadline_ms
            ):
                return answer
            if send_before_ms and now_ms >= send_before_ms:
                return answer
            if not self._retries.take():
                return answer
        return answer

    async def _call(
        self,
        method: str,
        endpoint_id: str,
        path: str,
        body: dict[str, Any] | None,
        extra_timeout_ms: int = 0,
        timeout_ms: int = 0,
    ) -> Response:
        endpoint = self.endpoints_by_id.get(endpoint_id)
        if endpoint is None:
            return Response(0, None, "endpoint is not in the live list")
        timeout = aiohttp.ClientTimeout(
            total=(timeout_ms or self._timeout_ms + extra_timeout_ms) / 1000
        )
        try:
            async with self._session.request(
                method, endpoint.url + path, json=body, timeout=timeout
            ) as response:
                parsed = await response.json()
                return Response(response.status, parsed, str(response.status))
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return Response(0, None, f"{type(error).__name__}: {error}")


# Stands for a call that was not sent and so has no effect.
_NOT_SENT = Response(409, None, "its lease is past")


def _part_answer(action, call: str, answer: Response) -> actions.PartAnswer:
    checkpoint = ""
    result = None
    match answer.status:
        case 200 | 201:
            state = answer.body["state"]
            checkpoint = answer.body["checkpoint"]
            result = answer.body.get("result")
        case 404:
            state = "absent"
        case _:
            state = "unknown" if answer.outcome_unknown else "refused"
    return actions.PartAnswer(
        action.endpoint_id,
        action.task_id,
        call,
        state,
        answer.reason,
        checkpoint,
        getattr(action, "until_ms", 0),
        result,
    )
