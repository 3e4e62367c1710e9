"""Bounds on what a host takes: queues, fences and waiting for the log."""

import asyncio

from laburnumgate_core import actions
from laburnumgate_core import records

from laburnumgate_host import host as host_module
from laburnumgate_host import journal

RETRY_AFTER_S = 1


def overload(host: host_module.Host, account: str) -> str:
    """Returns why the account's next request is too many, or nothing."""
    limits = host.settings.limits
    waiting = host.router.load.waiting_by_account.get(account, 0)
    if waiting >= limits.waiting_jobs_per_account:
        return f"{waiting} requests of {account!r} wait already"
    return ""


async def append_durably(
    host: host_module.Host, record: records.JobRecord
) -> actions.Appended | journal.Unsent:
    """Appends a record that must not be used before the log has it.

    A record whose read-back takes longer than the log's timeout may still be
    taken later; `Unsent` says so.
    """
    timeout_s = 2 * host.settings.timing.log_timeout_ms / 1000
    append = host.journal.append(record, provisional=False)
    try:
        return await asyncio.wait_for(append, timeout_s)
    except TimeoutError:
        return journal.Unsent("the log has not confirmed the record")
