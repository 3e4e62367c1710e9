"""Executes the scheduler's actions and returns their results to it."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine

from laburnumgate_core import actions
from laburnumgate_core import jobs
from laburnumgate_core import records
from laburnumgate_core import scheduler

from laburnumgate_host import endpoints
from laburnumgate_host import journal
from laburnumgate_host import metrics

# Limit on concurrent calls to one endpoint. Endpoints allow 64 connections; the
# rest is reserved for the report poll and lease renewals, which bypass this
# limit.
CALLS_PER_ENDPOINT = 32


class Execution:
    """Executes each action in a background task."""

    def __init__(
        self,
        client: endpoints.EndpointClient,
        log: journal.Journal,
        table: jobs.JobTable,
        placing: scheduler.Scheduler,
        counts: metrics.Metrics,
        spawn: Callable[[Coroutine], asyncio.Task],
        note_job_changes: Callable[[], None],
        append_held: Callable[[str], None],
    ):
        self._client = client
        self._journal = log
        self._jobs = table
        self._scheduler = placing
        self._metrics = counts
        self._spawn = spawn
        self._note_job_changes = note_job_changes
        self._append_held = append_held
        self._turns_by_endpoint: dict[str, asyncio.Semaphore] = {}

    def carry_out(self, wanted: list[actions.Action]) -> None:
        """Starts a background task for each action."""
        for action in wanted:
            self._spawn(self._carry_out_one(action))

    def on_result(self, result: actions.Result) -> None:
        """Passes a result to the scheduler and executes its new actions."""
        if self._scheduler.active:
            self.carry_out(self._scheduler.on(result))

    async def _carry_out_one(self, action: actions.Action) -> None:
        match action:
            case actions.Append(record):
                result = await self._append(record)
            case actions.RenewTasks():
                result = await self._call(action)
            case _:
                turns = self._turns_by_endpoint.setdefault(
                    action.endpoint_id, asyncio.Semaphore(CALLS_PER_ENDPOINT)
                )
                async with turns:
                    result = await self._call(action)
        if result is not None:
            self.on_result(result)

    async def _call(self, action: actions.Action) -> actions.Result | None:
        kind = type(action).__name__
        self._metrics.endpoint_calls.inc({"action": kind})
        return await self._client.carry_out(action)

    async def _append(
        self, record: records.JobRecord
    ) -> actions.Appended | None:
        job = self._jobs.get(record.job_id)
        provisional = job is None or job.spec.idempotent
        if isinstance(record, records.Moved):
            # The other zone receives the job only through the log.
            provisional = False
            if not self._journal.reachable:
                return actions.Appended(record, applied=False, durable=False)
        if self._jobs.committed(record.job_id) is None:
            self._append_held(record.job_id)
            # Yields so that those records enter the journal's queue first.
            await asyncio.sleep(0)
        answer = await self._journal.append(record, provisional)
        self._note_job_changes()
        if isinstance(answer, journal.Unsent):
            return actions.Appended(record, applied=False, durable=False)
        return answer
