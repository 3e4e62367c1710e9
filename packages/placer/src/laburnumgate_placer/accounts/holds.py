"""Holds waiting units back that would take their account above its limit."""

from collections.abc import Callable
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

# How long what was freed for a unit is kept for it after the last stop ended.
# It covers the passes in which the unit finds endpoints.
CLAIM_KEPT_MS = 500
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


@dataclasses.dataclass(slots=True)
class _Claim:
    """What a waiting unit takes of its account's limit before other units.

    Attributes:
      unit: the unit, for which runs were stopped.
      guaranteed: whether the guarantee of its account covers it.
      runs: runs of its account that have to end before it starts.
      until_ms: monotonic time until which the claim stands after that.
    """

    unit: progress.Unit
    guaranteed: bool
    runs: tuple[progress.Run, ...]
    until_ms: int

    def pending(self) -> bool:
        """Whether a stop that the unit waits for has not ended."""
        return not all(run.all_terminated() for run in self.runs)


class AccountHolds:
    """Decides which waiting units the limits of their accounts permit."""

    def __init__(self, tables: tables_module.Tables):
        self._tables = tables
        self._held_by_account: dict[str, _Held] = {}
        self._held_in_pass: set[str] = set()
        self._logged_ms_by_account: dict[str, int] = {}
        # In the order in which they were made: a claim stands behind those
        # before it.
        self._claims: dict[model.UnitKey, _Claim] = {}
        # Units for which capacity was reserved or freed in this pass.
        self._expected: dict[model.UnitKey, progress.Unit] = {}
        # What overdue units need that are held back in this pass, by account.
        self._overdue_by_account: dict[str, model.Resources] = {}

    def begin_pass(
        self,
        waiting: list[ordering.WaitingStep],
        reclaims_for: Callable[[tuple[progress.Unit, ...]], bool],
        now_ms: int,
    ) -> list[ordering.WaitingStep]:
        """Returns the steps with the units for which endpoints may be held.

        These are the units that no limit holds back at present, and those for
        which runs of their own account were stopped.

        Args:
          waiting: the steps with units that may start now.
          reclaims_for: returns whether endpoints are held for any of the units.
          now_ms: monotonic time.
        """
        if not self._tables.config.has_limits():
            self._claims.clear()
            return waiting
        self._drop_claims(reclaims_for, now_ms)
        found = []
        for step in waiting:
            try:
                units = self._permitted(step)
            except Exception:  # Logged when the step is placed.
                continue
            if len(units) < len(step.units) and self._claims:
                permitted = {unit.key for unit in units}
                units = [
                    unit
                    for unit in step.units
                    if unit.key in permitted or self.waits_for_stops(unit)
                ]
            if units:
                found.append(dataclasses.replace(step, units=tuple(units)))
        return found

    def admit(
        self, waiting: ordering.WaitingStep, now_ms: int
    ) -> list[progress.Unit]:
        """Returns the units of a step that may start now."""
        if not self._tables.config.has_limits():
            return list(waiting.units)
        admitted = self._permitted(waiting)
        if len(admitted) < len(waiting.units):
            self._record_held(waiting, admitted, now_ms)
            if waiting.rank.overdue:
                self._keep_for_overdue(waiting.units[0])
        return admitted

    def held_back(
        self, waiting: ordering.WaitingStep, admitted: list[progress.Unit]
    ) -> list[progress.Unit]:
        """Returns the units that were not admitted and wait for no stops."""
        if not self._claims:
            return list(waiting.units[len(admitted) :])
        startable = {unit.key for unit in admitted}
        return [
            unit
            for unit in waiting.units
            if unit.key not in startable and not self.waits_for_stops(unit)
        ]

    def has_claim(self, units: tuple[progress.Unit, ...]) -> bool:
        """Whether runs were stopped for one of the units."""
        if not self._claims:
            return False
        return any(unit.key in self._claims for unit in units)

    def waits_for_stops(self, unit: progress.Unit) -> bool:
        """Whether runs of the unit's account were stopped for it."""
        claim = self._claims.get(unit.key)
        return claim is not None and bool(claim.runs)

    def claim(
        self,
        unit: progress.Unit,
        guaranteed: bool,
        runs: tuple[progress.Run, ...],
        now_ms: int,
    ) -> None:
        """Keeps what the unit needs of its account's limit for it.

        Args:
          unit: the unit, for which runs are being stopped.
          guaranteed: whether the guarantee of its account covers it.
          runs: runs of its account that have to end before it starts.
          now_ms: monotonic time.
        """
        if not runs and unit.key in self._claims:
            return
        self._claims[unit.key] = _Claim(
            unit, guaranteed, runs, now_ms + CLAIM_KEPT_MS
        )

    def claimed(
        self, units: tuple[progress.Unit, ...], guaranteed: bool
    ) -> model.Resources:
        """Returns what other units of the account take before these."""
        return self._claimed_before(
            units[0].entry.job.account,
            {unit.key for unit in units},
            guaranteed,
            to_first=False,
        )

    def expect(
        self,
        unit: progress.Unit,
        reclaims: bool,
        guaranteed: bool,
        now_ms: int,
    ) -> None:
        """Records that capacity was reserved or freed for a unit.

        If runs were stopped for it, what it needs of its account's limit is
        kept for it.
        """
        if self._limit(unit) == limits.NO_LIMIT:
            return
        self._expected[unit.key] = unit
        if reclaims:
            self.claim(unit, guaranteed, (), now_ms)

    def may_look_ahead(self, unit: progress.Unit, guaranteed: bool) -> bool:
        """Whether capacity may be reserved or freed for a unit.

        The limit of its account has to permit it together with the units for
        which that was done before.
        """
        limit = self._limit(unit)
        if limit == limits.NO_LIMIT or unit.key in self._expected:
            return True
        account = unit.entry.job.account
        usage = self._tables.usage.usage(account)
        if unit.key not in self._claims:
            usage = usage.plus(self.claimed((unit,), guaranteed))
        for other in self._expected.values():
            if other.entry.job.account != account or other.key in self._claims:
                continue
            if other.state == progress.UnitState.WAITING:
                usage = usage.plus(other.step.room, other.size)
        return limits.count_allowed(limit, usage, unit.step.room) >= unit.size

    def end_pass(self, now_ms: int) -> None:
        """Releases the accounts that were not held back in this pass."""
        self._expected.clear()
        self._overdue_by_account.clear()
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

    def _drop_claims(
        self,
        reclaims_for: Callable[[tuple[progress.Unit, ...]], bool],
        now_ms: int,
    ) -> None:
        """Drops the claims of units that started or need them no longer."""
        for key, claim in list(self._claims.items()):
            unit = claim.unit
            waits = unit.state == progress.UnitState.WAITING
            if waits and not unit.entry.state.final:
                if claim.pending():
                    claim.until_ms = now_ms + CLAIM_KEPT_MS
                    continue
                if not claim.runs and reclaims_for((unit,)):
                    continue
                if claim.runs and now_ms < claim.until_ms:
                    continue
            del self._claims[key]

    def _limit(self, unit: progress.Unit) -> model.Resources:
        return self._tables.config.limit(unit.entry.job.account)

    def _permitted(self, waiting: ordering.WaitingStep) -> list[progress.Unit]:
        """Returns the units of a step that the limit of their account permits.

        Those with a claim come first.
        """
        units = waiting.units
        first = units[0]
        limit = self._limit(first)
        if limit == limits.NO_LIMIT:
            return list(units)
        account = first.entry.job.account
        room = first.step.room
        usage = self._tables.usage.usage(account)
        guaranteed = waiting.rank.guaranteed
        overdue = self._overdue_by_account.get(account)
        if overdue is not None:
            usage = usage.plus(overdue)
        if not self._claims:
            tasks = limits.count_allowed(limit, usage, room)
            return list(units[: tasks // first.size])
        keys = {unit.key for unit in units}
        claiming = [unit for unit in units if unit.key in self._claims]
        others = [unit for unit in units if unit.key not in self._claims]
        before = self._claimed_before(account, keys, guaranteed, to_first=True)
        tasks = limits.count_allowed(limit, usage.plus(before), room)
        admitted = claiming[: tasks // first.size]
        claimed = self._claimed_before(
            account, keys, guaranteed, to_first=False
        ).plus(room, len(claiming) * first.size)
        tasks = limits.count_allowed(limit, usage.plus(claimed), room)
        return admitted + others[: tasks // first.size]

    def _claimed_before(
        self,
        account: str,
        keys: set[model.UnitKey],
        guaranteed: bool,
        *,
        to_first: bool,
    ) -> model.Resources:
        """Returns the claims of other units of an account.

        Args:
          account: the account.
          keys: the units whose own claims are left out.
          guaranteed: whether they are guaranteed, so that only claims of other
            guaranteed units count.
          to_first: whether only claims before the first of theirs count.
        """
        total = limits.NO_LIMIT
        for key, claim in self._claims.items():
            if key in keys:
                if to_first:
                    break
                continue
            unit = claim.unit
            if unit.entry.job.account != account:
                continue
            if unit.state != progress.UnitState.WAITING:
                continue  # It was assigned in this pass.
            if guaranteed and not claim.guaranteed:
                continue
            total = total.plus(unit.step.room, unit.size)
        return total

    def _keep_for_overdue(self, unit: progress.Unit) -> None:
        """Lets lower-ranked units of an account take only what is left over.

        Smaller units would otherwise take all that becomes free within the
        limit, and a gang that is overdue would never start. Nothing is kept
        for a unit that exceeds a lowered limit by itself.
        """
        room = unit.step.room
        limit = self._limit(unit)
        if limits.count_allowed(limit, limits.NO_LIMIT, room) < unit.size:
            return
        account = unit.entry.job.account
        kept = self._overdue_by_account.get(account, limits.NO_LIMIT)
        self._overdue_by_account[account] = kept.plus(room, unit.size)

    def _record_held(
        self,
        waiting: ordering.WaitingStep,
        admitted: list[progress.Unit],
        now_ms: int,
    ) -> None:
        """Records that units of a step are held back after others."""
        unit = waiting.units[0]
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
        limit = self._limit(unit)
        room = unit.step.room
        usage = self._tables.usage.usage(account).plus(
            room, len(admitted) * unit.size
        )
        resource = limits.scarcest(limit, usage.plus(room, unit.size), room)
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
