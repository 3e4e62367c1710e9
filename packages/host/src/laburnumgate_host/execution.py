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
MAX_CALLS_PER_ENDPOINT = 32


class ActionExecutor:
    """Executes each action in a background task."""

    def __init__(
        self,
        client: endpoints.EndpointClient,
        record_journal: journal.Journal,
        table: jobs.JobTable,
        job_scheduler: scheduler.Scheduler,
        host_metrics: metrics.Metrics,
        spawn: Callable[[Coroutine], asyncio.Task],
        process_job_changes: Callable[[], None],
        append_held_records: Callable[[str], None],
    ):
        self._client = client
        self._journal = record_journal
        self._jobs = table
        self._scheduler = job_scheduler
        self._metrics = host_metrics
        self._spawn = spawn
        self._process_job_changes = process_job_changes
        self._append_held_records = append_held_records
        self._semaphores_by_endpoint: dict[str, asyncio.Semaphore] = {}

    def execute(self, new_actions: list[actions.Action]) -> None:
        """Starts a background task for each action."""
        for action in new_actions:
            self._spawn(self._execute_one(action))

    def on_result(self, result: actions.Result) -> None:
        """Passes a result to the scheduler and executes its new actions."""
        if self._scheduler.active:
            self.execute(self._scheduler.on(result))

    async def _execute_one(self, action: actions.Action) -> None:
        match action:
            case actions.Append(record):
                result = await self._append(record)
            case actions.RenewTasks():
                result = await self._call(action)
            case _:
                semaphore = self._semaphores_by_endpoint.setdefault(
                    action.endpoint_id,
                    asyncio.Semaphore(MAX_CALLS_PER_ENDPOINT),
                )
                async with semaphore:
                    result = await self._call(action)
        if result is not None:
            self.on_result(result)

    async def _call(self, action: actions.Action) -> actions.Result | None:
        kind = type(action).__name__
        self._metrics.endpoint_calls.inc({"action": kind})
        return await self._client.execute(action)

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
            self._append_held_records(record.job_id)
            # Yields so that those records enter the journal's queue first.
            await asyncio.sleep(0)
        answer = await self._journal.append(record, provisional)
        self._process_job_changes()
        if isinstance(answer, journal.Unconfirmed):
            return actions.Appended(record, applied=False, durable=False)
        return answer
