"""Holds waiting units back that would take their account above its limit."""

import dataclasses
import logging

from laburnumgate_placer import events
from laburnumgate_placer import metrics
from laburnumgate_placer import model
from laburnumgate_placer import ordering
from laburnumgate_placer import progress
from laburnumgate_placer import tables as tables_module
from laburnumgate_placer.accounts import limits
from laburnumgate_placer.accounts import shares
from laburnumgate_placer.accounts import standings

_LOGGER = logging.getLogger(__name__)

# Minimum interval between two events `ACCOUNT_HELD` of one account.
LOG_INTERVAL_MS = 1_000


@dataclasses.dataclass(slots=True)
class _Held:
    """An account that is held back by its limit.

    Attributes:
      since_ms: monotonic time from which it has been held back.
      logged: whether its event was logged.
    """

    since_ms: int
    logged: bool = False


class AccountHolds:
    """Decides which waiting units the limits of their accounts permit."""

    def __init__(self, tables: tables_module.Tables):
        self._tables = tables
        self._held_by_account: dict[str, _Held] = {}
        self._held_in_pass: set[str] = set()
        self._logged_ms_by_account: dict[str, int] = {}

    def startable(
        self, waiting: list[ordering.WaitingStep]
    ) -> list[ordering.WaitingStep]:
        """Returns the units that no limit holds back at present."""
        if not self._tables.config.has_limits():
            return waiting
        found = []
        for step in waiting:
            count = self._count_allowed(step.units[0])
            if count >= len(step.units):
                found.append(step)
            elif count:
                units = step.units[:count]
                found.append(dataclasses.replace(step, units=units))
        return found

    def admit(
        self, waiting: ordering.WaitingStep, now_ms: int
    ) -> list[progress.Unit]:
        """Returns the units of a step that may start now."""
        units = list(waiting.units)
        if not self._tables.config.has_limits():
            return units
        count = self._count_allowed(units[0])
        if count >= len(units):
            return units
        self._record_held(units[count], count, now_ms)
        return units[:count]

    def end_pass(self, now_ms: int) -> None:
        """Releases the accounts that were not held back in this pass."""
        if not self._held_by_account:
            return
        for account, held in list(self._held_by_account.items()):
            if account in self._held_in_pass:
                continue
            del self._held_by_account[account]
            if not held.logged:
                continue
            events.emit(
                _LOGGER,
                events.Event.ACCOUNT_RELEASED,
                account=account,
                held_ms=now_ms - held.since_ms,
            )
        self._held_in_pass.clear()

    def _count_allowed(self, unit: progress.Unit) -> int:
        """Returns how many units like this one may start."""
        tables = self._tables
        account = unit.entry.job.account
        limit = tables.config.limit(account)
        if limit == limits.NO_LIMIT:
            return limits.UNLIMITED
        tasks = limits.count_allowed(
            limit, tables.usage.usage(account), unit.step.room
        )
        return tasks // unit.size

    def _record_held(
        self, unit: progress.Unit, admitted: int, now_ms: int
    ) -> None:
        """Records that a unit is held back after others were admitted."""
        account = unit.entry.job.account
        self._held_in_pass.add(account)
        held = self._held_by_account.get(account)
        if held is None:
            held = _Held(now_ms)
            self._held_by_account[account] = held
            metrics.ACCOUNT_HELD.inc({"account": account})
        if held.logged:
            return
        logged_ms = self._logged_ms_by_account.get(account)
        if logged_ms is not None and now_ms - logged_ms < LOG_INTERVAL_MS:
            return
        held.logged = True
        self._logged_ms_by_account[account] = now_ms
        limit = self._tables.config.limit(account)
        room = unit.step.room
        usage = self._tables.usage.usage(account).plus(
            room, admitted * unit.size
        )
        resource = limits.exceeded(limit, usage.plus(room, unit.size), room)
        events.emit(
            _LOGGER,
            events.Event.ACCOUNT_HELD,
            account=account,
            resource=resource,
            usage=getattr(usage, resource),
            limit=getattr(limit, resource),
            need=getattr(room, resource) * unit.size,
            job=unit.key.job_id,
            step=unit.key.step,
        )


def run_obstacle(tables: tables_module.Tables, run: progress.Run) -> str | None:
    """Returns why the limit of its account forbids to start a run, or None.

    The usage of the account includes the run. It can exceed the limit if the
    limit was lowered after the run was assigned.
    """
    account = run.unit.entry.job.account
    limit = tables.config.limit(account)
    if limit == limits.NO_LIMIT:
        return None
    resource = limits.exceeded(
        limit, tables.usage.usage(account), run.unit.step.room
    )
    if resource is None:
        return None
    return f"the account's limit on {resource} is exceeded"


def dump(tables: tables_module.Tables) -> dict[str, dict]:
    """Returns what each account uses and may use.

    Usage, limit and share are listed in the order of resources; `excess` is the
    number of open jobs beyond the rate of the account.
    """
    share_by_account = _shares(tables)
    excess_by_account = standings.count_excess(tables)
    return {
        account: {
            "usage": _amounts(tables.usage.usage(account)),
            "limit": _amounts(tables.config.limit(account)),
            "share": [
                round(share, 3) for share in share_by_account[account].values()
            ],
            "excess": excess_by_account.get(account, 0),
        }
        for account in _accounts(tables)
    }


def set_metrics(tables: tables_module.Tables) -> None:
    """Sets the metrics of usage, limit and share by account and resource."""
    share_by_account = _shares(tables)
    for account in _accounts(tables):
        usage = tables.usage.usage(account)
        limit = tables.config.limit(account)
        for resource in limits.RESOURCES:
            labels = {"account": account, "resource": resource}
            metrics.ACCOUNT_USAGE.set(labels, getattr(usage, resource))
            metrics.ACCOUNT_LIMIT.set(labels, getattr(limit, resource))
            share = share_by_account[account][resource]
            metrics.ACCOUNT_SHARE.set(labels, share)


def _shares(tables: tables_module.Tables) -> dict[str, dict[str, float]]:
    """Returns the weighted share of each resource by account."""
    tables.capacity.refresh(tables.endpoints, tables.monotonic.now_ms())
    weights = standings.weights(tables)
    return {
        account: shares.share_by_resource(
            tables.usage.usage(account),
            tables.capacity.total(),
            weights.of(account),
        )
        for account in _accounts(tables)
    }


def _accounts(tables: tables_module.Tables) -> list[str]:
    """Returns the accounts that are configured or had anything running."""
    config = tables.config.current
    configured = config.accounts_by_name if config is not None else {}
    return sorted({*configured, *tables.usage.accounts()})


def _amounts(resources: model.Resources) -> list[int]:
    return [getattr(resources, resource) for resource in limits.RESOURCES]
