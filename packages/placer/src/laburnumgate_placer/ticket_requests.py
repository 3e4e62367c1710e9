"""Asks the advice service for tickets, one question at a time."""

import asyncio
import logging

from laburnumgate_placer import events
from laburnumgate_placer import ports
from laburnumgate_placer import tables as tables_module

_LOGGER = logging.getLogger(__name__)

# The service takes some ms for each endpoint named, and calls queue there.
TIMEOUT_MS = 3_000
RETRY_MS = 200
IDLE_MS = 10


async def run(advisor: ports.Advisor, tables: tables_module.Tables) -> None:
    """Answers the questions of the placement passes until cancelled."""
    requests = tables.advice.requests
    while True:
        if not requests:
            await asyncio.sleep(IDLE_MS / 1000)
            continue
        step = next(iter(requests))
        endpoint_ids = requests.pop(step)
        sent_ms = tables.steady.now_ms()
        answer = await advisor.ask(
            step.job_id,
            step.occurrence,
            step.step,
            endpoint_ids,
            timeout_ms=TIMEOUT_MS,
        )
        match answer:
            case ports.Advice(tickets, valid_ms):
                # Tickets hold from some moment between call and answer.
                tables.advice.add_tickets(
                    step, endpoint_ids, tickets, sent_ms + valid_ms
                )
                tables.wake.set()
            case ports.Unknown(reason):
                events.emit(
                    _LOGGER,
                    events.Event.ADVICE_MISSING,
                    job=step.job_id,
                    occurrence=step.occurrence,
                    step=step.step,
                    endpoints=len(endpoint_ids),
                    reason=reason,
                )
                await asyncio.sleep(RETRY_MS / 1000)
                tables.wake.set()
