"""Requests tickets from the advice service, one request at a time."""

import asyncio
import logging

from laburnumgate_placer import events
from laburnumgate_placer import ports
from laburnumgate_placer import tables as tables_module

_LOGGER = logging.getLogger(__name__)

# The service takes a few ms for each endpoint in a request, and it queues
# requests.
TIMEOUT_MS = 3_000
BACKOFF_MS = 200
IDLE_INTERVAL_MS = 10


async def run(advisor: ports.Advisor, tables: tables_module.Tables) -> None:
    """Sends the requests of the placement passes until cancelled."""
    requests = tables.advice.requests
    while True:
        if not requests:
            await asyncio.sleep(IDLE_INTERVAL_MS / 1000)
            continue
        step = next(iter(requests))
        endpoint_ids = requests.pop(step)
        sent_ms = tables.monotonic.now_ms()
        answer = await advisor.ask(
            step.job_id,
            step.occurrence,
            step.step,
            endpoint_ids,
            timeout_ms=TIMEOUT_MS,
        )
        match answer:
            case ports.Advice(tickets, valid_ms):
                # The validity begins at some time between request and answer.
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
                await asyncio.sleep(BACKOFF_MS / 1000)
                tables.wake.set()
