"""Requests tickets from the advice service, one request at a time."""

import asyncio
import logging

from laburnumgate_placer import events
from laburnumgate_placer import ports
from laburnumgate_placer import tables as tables_module

_LOGGER = logging.getLogger(__name__)

# The service takes time for each endpoint in a request, and it queues requests.
# The timeout doubles with each request without an answer.
FIRST_TIMEOUT_MS = 3_000
LAST_TIMEOUT_MS = 24_000
# A healthy service answers within this multiple of its latest latency.
LATENCY_FACTOR = 3
BACKOFF_MS = 200
IDLE_INTERVAL_MS = 10


async def run(advisor: ports.Advisor, tables: tables_module.Tables) -> None:
    """Sends the requests of the placement passes until cancelled."""
    requests = tables.advice.requests
    timeout_ms = FIRST_TIMEOUT_MS
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
            timeout_ms=timeout_ms,
        )
        match answer:
            case ports.Advice(tickets, valid_ms):
                took_ms = tables.monotonic.now_ms() - sent_ms
                timeout_ms = max(FIRST_TIMEOUT_MS, LATENCY_FACTOR * took_ms)
                # The validity begins at some time between request and answer.
                tables.advice.add_tickets(
                    step, endpoint_ids, tickets, sent_ms + valid_ms
                )
                tables.wake.set()
            case ports.Unknown(reason):
                timeout_ms = min(2 * timeout_ms, LAST_TIMEOUT_MS)
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
