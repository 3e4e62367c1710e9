"""Looks ahead for units that do not fit: reservations and preemption.

A search among running work is costly, so its result is used for a while, and a
pass makes only a few of them; see `overload.passes`.
"""

import dataclasses

from laburnumgate_placer import endpoint_table
from laburnumgate_placer import lifecycle
from laburnumgate_placer import model
from laburnumgate_placer import ordering
from laburnumgate_placer import pool as pool_module
from laburnumgate_placer import progress
from laburnumgate_placer import reclaim
from laburnumgate_placer import reservation
from laburnumgate_placer import tables as tables_module
from laburnumgate_placer.accounts import displacement
from laburnumgate_placer.overload import delay_cost
from laburnumgate_placer.overload import passes
from laburnumgate_placer.overload import preemption

# Part of the reclaim bound that is reserved for recording, starting and
# stopping runs.
RECLAIM_MARGIN_MS = 1_200
# How long outlooks of units are kept for passes that make no more searches.
KEPT_OUTLOOK_MS = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Outlook:
    """What a search among running work found for a unit or a step.

    Attributes:
      until_ms: monotonic time until which it is used.
      rank_key: stage of the rank, and whether the guarantee was due and the
        unit overdue.
      expected: when and where the unit is expected to fit, if known.
      in_time: whether it is expected to start early enough to be on time.
    """

    until_ms: int
    rank_key: tuple[ordering.Stage, bool, bool]
    expected: reservation.Reservation | None
    in_time: bool


class LookAhead:
    """Finds, reserves and frees capacity for units that do not fit."""

    def __init__(self, tables: tables_module.Tables):
        self._tables = tables
        self._forecast = reservation.Forecast(tables)
        self._loss_window = preemption.LossWindow()
        self._reclaimed_by_unit: dict[model.UnitKey, frozenset[str]] = {}
        self._outlook_by_key: dict[tuple, _Outlook] = {}
        # Searches for runs of the same account that found none, each with the
        # monotonic time until which and the state for which that holds.
        self._not_displaced_by_unit: dict[model.UnitKey, tuple[int, tuple]] = {}

    def forget(self, waiting: list[ordering.WaitingStep], now_ms: int) -> None:
        """Discards what was found for units that no longer wait."""
        from_ms = now_ms - KEPT_OUTLOOK_MS
        for key, outlook in list(self._outlook_by_key.items()):
            if outlook.until_ms < from_ms:
                del self._outlook_by_key[key]
        for key, (until_ms, _) in list(self._not_displaced_by_unit.items()):
            if until_ms < now_ms:
                del self._not_displaced_by_unit[key]
        if not self._reclaimed_by_unit:
            return
        keys = {unit.key for step in waiting for unit in step.units}
        for key in list(self._reclaimed_by_unit):
            if key not in keys:
                del self._reclaimed_by_unit[key]

    def reclaims_for(self, units: tuple[progress.Unit, ...]) -> bool:
        """Whether runs were stopped for one of the units."""
        if not self._reclaimed_by_unit:
            return False
        return any(unit.key in self._reclaimed_by_unit for unit in units)

    def steps_with_reclaims(self) -> set[tuple[str, int, int]]:
        """Returns job, occurrence and step of units with stopped runs."""
        return {
            (key.job_id, key.occurrence, key.step)
            for key in self._reclaimed_by_unit
        }

    def give_up(
        self, pool: pool_module.Pool, units: list[progress.Unit]
    ) -> None:
        """Ends the holds of units that may not start after all."""
        if not self._reclaimed_by_unit:
            return
        for unit in units:
            if self._reclaimed_by_unit.pop(unit.key, None):
                pool.release(unit.key)

    def may_displace(
        self,
        pool: pool_module.Pool,
        rank: ordering.Rank,
        unit: progress.Unit,
        claimed: model.Resources,
        now_ms: int,
    ) -> bool:
        """Whether a search for runs of the unit's own account is due now."""
        due = guarantee_due(self._tables, rank, unit, now_ms)
        known = self._not_displaced_by_unit.get(unit.key)
        if known is not None and now_ms < known[0]:
            state = self._displacement_state(rank, unit, claimed, due)
            if known[1] == state:
                return False
        return due or pool.displacements < passes.MAX_DISPLACEMENTS

    def _displacement_state(
        self,
        rank: ordering.Rank,
        unit: progress.Unit,
        claimed: model.Resources,
        due: bool,
    ) -> tuple:
        """Returns what a search for runs of the account depends on."""
        account = unit.entry.job.account
        return (
            self._tables.usage.changes(account),
            self._tables.config.limit(account),
            claimed,
            rank.stage,
            due,
        )

    def displace(
        self,
        pool: pool_module.Pool,
        rank: ordering.Rank,
        unit: progress.Unit,
        endpoints: list[endpoint_table.EndpointState],
        protected: set[str],
        claimed: model.Resources,
        now_ms: int,
    ) -> displacement.Plan | None:
        """Stops runs of a unit's account, the limit of which holds it back.

        Args:
          pool: the pool of the unit.
          rank: rank of the unit.
          unit: the unit.
          endpoints: endpoints that may run it.
          protected: ids of jobs that are covered by guarantees.
          claimed: what other units of the account will take first.
          now_ms: monotonic time.

        Returns:
          What was stopped, or None if nothing may be stopped.
        """
        tables = self._tables
        due = guarantee_due(tables, rank, unit, now_ms)
        account = unit.entry.job.account
        limit = tables.config.limit(account)
        state = self._displacement_state(rank, unit, claimed, due)
        pool.displacements += 1
        lacks = displacement.lacking(
            limit,
            tables.usage.usage(account).plus(claimed),
            model.Resources().plus(unit.step.room, unit.size),
        )
        start_ms = displacement.expected_start_ms(
            self._forecast.ends(now_ms), account, lacks
        )
        scope = self._preemption_scope(
            pool,
            rank,
            unit,
            protected,
            start_ms is not None and start_ms <= rank.due_ms,
            now_ms,
        )
        if scope is not None and rank.work is not None:
            scope = self._bounded_by_loss(scope, rank, unit, start_ms, now_ms)
        plan = None
        if scope is not None:
            plan = displacement.plan(
                tables,
                unit,
                endpoints,
                pool.free_by_id,
                scope,
                rank.requirement(),
                claimed,
                now_ms,
            )
        if plan is None:
            until_ms = now_ms + passes.DISPLACEMENT_VALID_MS
            self._not_displaced_by_unit[unit.key] = (until_ms, state)
            return None
        self._stop_for(unit, plan.victims, now_ms)
        if plan.endpoint_ids:
            self._reclaimed_by_unit[unit.key] = plan.endpoint_ids
            pool.hold(unit.key, plan.endpoint_ids)
        return plan

    def hold_all(self, pool: pool_module.Pool) -> None:
        """Holds the endpoints on which runs were stopped for their units."""
        for key, endpoint_ids in self._reclaimed_by_unit.items():
            pool.hold(key, endpoint_ids)

    def assigned(
        self, pool: pool_module.Pool, run: progress.Run, now_ms: int
    ) -> None:
        """Accounts for a run that was assigned in this pass."""
        key = run.unit.key
        if self._reclaimed_by_unit.pop(key, None):
            pool.release(key)
        self._forecast.add(run, now_ms)

    def reclaim_or_reserve(
        self,
        pool: pool_module.Pool,
        rank: ordering.Rank,
        unit: progress.Unit,
        endpoints: list[endpoint_table.EndpointState],
        protected: set[str],
        key: tuple,
        now_ms: int,
        *,
        may_stop: bool = True,
    ) -> bool:
        """Preempts runs or reserves endpoints for a unit that does not fit.

        Args:
          pool: the pool of the unit.
          rank: rank of the unit.
          unit: the unit.
          endpoints: endpoints that may run it.
          protected: ids of jobs that are covered by guarantees.
          key: identifies the step and the kind of endpoints.
          now_ms: monotonic time.
          may_stop: whether runs may be stopped for it.

        Returns:
          Whether the unit is expected to start early enough to be on time.
        """
        due = guarantee_due(self._tables, rank, unit, now_ms)
        rank_key = (rank.stage, due, rank.overdue)
        outlook = self._outlook(pool, unit, key, rank_key, now_ms)
        if outlook is None:
            outlook = self._search(
                pool,
                rank,
                unit,
                endpoints,
                protected,
                rank_key,
                now_ms,
                may_stop=may_stop,
            )
            if unit.key in self._reclaimed_by_unit:
                key = (*key, unit.key.index)
            self._outlook_by_key[key] = outlook
        self.hold(pool, unit)
        if outlook.expected is not None and (unit.size > 1 or rank.overdue):
            pool.reserve(unit.key, outlook.expected)
        return outlook.in_time

    def _outlook(
        self,
        pool: pool_module.Pool,
        unit: progress.Unit,
        key: tuple,
        rank_key: tuple[ordering.Stage, bool, bool],
        now_ms: int,
    ) -> _Outlook | None:
        """Returns an earlier outlook that is still used, None if none is.

        An older one is used as well if the pass has made its searches, except
        when a guarantee is due.
        """
        outlook = self._outlook_by_key.get((*key, unit.key.index))
        if outlook is None:
            outlook = self._outlook_by_key.get(key)
        if (
            outlook is not None
            and outlook.rank_key == rank_key
            and now_ms < outlook.until_ms
        ):
            return outlook
        if rank_key[1] or pool.lookaheads < passes.MAX_LOOKAHEADS:
            return None
        if outlook is not None:
            return outlook
        return _Outlook(now_ms, rank_key, None, True)

    def _search(
        self,
        pool: pool_module.Pool,
        rank: ordering.Rank,
        unit: progress.Unit,
        endpoints: list[endpoint_table.EndpointState],
        protected: set[str],
        rank_key: tuple[ordering.Stage, bool, bool],
        now_ms: int,
        *,
        may_stop: bool,
    ) -> _Outlook:
        """Searches running work for capacity; stops runs where that pays."""
        pool.lookaheads += 1
        expected = None
        if rank.stage == ordering.Stage.TOO_LATE and not rank.overdue:
            if self._reclaimed_by_unit.pop(unit.key, None):
                pool.release(unit.key)
        else:
            expected = reservation.plan(
                self._tables,
                self._forecast,
                unit,
                endpoints,
                rank.requirement(),
                now_ms,
            )
        in_time = expected is not None and expected.start_ms <= rank.due_ms
        scope = None
        if may_stop:
            scope = self._preemption_scope(
                pool, rank, unit, protected, in_time, now_ms
            )
        if scope is not None and rank.work is not None:
            start_ms = None if expected is None else expected.start_ms
            scope = self._bounded_by_loss(scope, rank, unit, start_ms, now_ms)
        if self._reclaim(pool, rank, unit, endpoints, scope, now_ms):
            in_time = True
        return _Outlook(
            now_ms + passes.LOOKAHEAD_VALID_MS, rank_key, expected, in_time
        )

    def _reclaim(
        self,
        pool: pool_module.Pool,
        rank: ordering.Rank,
        unit: progress.Unit,
        endpoints: list[endpoint_table.EndpointState],
        scope: reclaim.Scope | None,
        now_ms: int,
    ) -> bool:
        """Stops runs for a unit; returns whether it fits once they have ended.

        The endpoints that they run on are held for the unit.
        """
        if scope is None:
            return False
        tables = self._tables
        plan = reclaim.plan(
            tables, unit, endpoints, scope, rank.requirement(), now_ms
        )
        if plan is None:
            return False
        self._stop_for(unit, plan.victims, now_ms)
        self._reclaimed_by_unit[unit.key] = plan.endpoint_ids
        pool.release(unit.key)
        return True

    def _stop_for(
        self,
        unit: progress.Unit,
        victims: tuple[progress.Run, ...],
        now_ms: int,
    ) -> None:
        """Stops runs so that a unit can start."""
        tables = self._tables
        for run in victims:
            loss = reclaim.stop_loss(tables, run, now_ms)
            self._loss_window.record(now_ms, loss)
            unit.spent_core_s += loss
            run.unit.preempted += 1
            lifecycle.stop_run(
                tables, run, f"preempted for job {unit.key.job_id}"
            )

    def hold(self, pool: pool_module.Pool, unit: progress.Unit) -> None:
        """Holds the endpoints for a unit on which runs were stopped for it."""
        reclaimed_ids = self._reclaimed_by_unit.get(unit.key)
        if not reclaimed_ids:
            return
        if not pool.has_stopping_run(reclaimed_ids):
            # All stops have ended and the unit still does not fit.
            del self._reclaimed_by_unit[unit.key]
            pool.release(unit.key)
            return
        pool.hold(unit.key, reclaimed_ids)

    def _preemption_scope(
        self,
        pool: pool_module.Pool,
        rank: ordering.Rank,
        unit: progress.Unit,
        protected: set[str],
        in_time: bool,
        now_ms: int,
    ) -> reclaim.Scope | None:
        """Returns which runs may be stopped for a unit, or None for none.

        When a guarantee is about to be missed, all unprotected runs may be
        stopped. Before that, only lower-priority runs are stopped, and only if
        that costs less than it gains. Runs that cannot resume are stopped only
        for a unit that would be late if it waited for running work to end, and
        that is on time if it starts after the stops.
        """
        if guarantee_due(self._tables, rank, unit, now_ms):
            return reclaim.Scope(protected)
        bounds = self._tables.bounds
        if not preemption.may_preempt(
            guaranteed=rank.guaranteed, stopped_before=unit.preempted
        ):
            return None
        if rank.guaranteed or rank.stage == ordering.Stage.ON_TIME:
            on_time = now_ms + bounds.stop_ms <= rank.due_ms
            max_cost = self._work_core_s(unit) / preemption.MIN_GAIN_RATIO
            if self._loss_window.exhausted(now_ms, pool.cores()):
                max_cost = 0.0
            return reclaim.Scope(
                protected,
                rank.priority,
                resumable=in_time or not on_time,
                max_cost=max_cost,
                guaranteed=rank.guaranteed,
            )
        return None

    def _bounded_by_loss(
        self,
        scope: reclaim.Scope,
        rank: ordering.Rank,
        unit: progress.Unit,
        start_ms: float | None,
        now_ms: int,
    ) -> reclaim.Scope:
        """Permits only stops that cost callers less than they save.

        `start_ms` is when the unit is expected to start without them.
        """
        otherwise_ms = None if start_ms is None else start_ms - now_ms
        saved = delay_cost.saved_by_start(
            rank.work, self._tables.bounds.stop_ms, otherwise_ms
        )
        step_key = (unit.key.occurrence, unit.key.step)
        waiting = [
            other
            for other in unit.entry.step_units(step_key)
            if other.state == progress.UnitState.WAITING
        ]
        return dataclasses.replace(
            scope,
            # All waiting units of the step have to start to save the value.
            max_loss=saved / max(1, len(waiting)),
            delay_ms=self._tables.durations.expected_ms(
                unit.entry.job, unit.key.step
            ),
        )

    def _work_core_s(self, unit: progress.Unit) -> float:
        """Returns the expected work of a unit in core-seconds."""
        work_ms = self._tables.durations.expected_ms(
            unit.entry.job, unit.key.step
        )
        return unit.size * reclaim.task_cores(unit.step) * work_ms / 1000


def guarantee_due(
    tables: tables_module.Tables,
    rank: ordering.Rank,
    unit: progress.Unit,
    now_ms: int,
) -> bool:
    """Whether capacity has to be reclaimed now to meet the guarantee."""
    bounds = tables.bounds
    waited_ms = now_ms - unit.entry.arrived_ms
    reclaim_after_ms = bounds.reclaim_ms - bounds.stop_ms - RECLAIM_MARGIN_MS
    return rank.guaranteed and waited_ms >= reclaim_after_ms
