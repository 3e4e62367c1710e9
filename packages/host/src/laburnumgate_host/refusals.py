"""Admission limits of a host, and appends with a bounded wait."""

import asyncio

from laburnumgate_core import actions
from laburnumgate_core import records

from laburnumgate_host import host as host_module
from laburnumgate_host import journal

RETRY_AFTER_S = 1


def overload_reason(host: host_module.Host, account: str) -> str:
    """Returns why the account is over its queue limit, or an empty string."""
    limits = host.settings.limits
    waiting = host.router.load.waiting_by_account.get(account, 0)
    if waiting >= limits.waiting_jobs_per_account:
        return f"{waiting} requests of {account!r} wait already"
    return ""


async def append_durably(
    host: host_module.Host, record: records.JobRecord
) -> actions.Appended | journal.Unconfirmed:
    """Appends a record that must not be applied before it is in the log.

    `Unconfirmed` is returned if the record was not read back within twice the
    log timeout; the log may still accept such a record later.
    """
    timeout_s = 2 * host.settings.timing.log_timeout_ms / 1000
    append = host.journal.append(record, provisional=False)
    try:
        return await asyncio.wait_for(append, timeout_s)
    except TimeoutError:
        return journal.Unconfirmed("the log has not confirmed the record")
