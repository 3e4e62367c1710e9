"""Placement pass: assigns waiting units to endpoints in rank order."""

import dataclasses
import logging

from laburnumgate_placer import advice
from laburnumgate_placer import endpoint_table
from laburnumgate_placer import events
from laburnumgate_placer import lifecycle
from laburnumgate_placer import model
from laburnumgate_placer import ordering
from laburnumgate_placer import placement
from laburnumgate_placer import pool as pool_module
from laburnumgate_placer import progress
from laburnumgate_placer import reclaim
from laburnumgate_placer import reservation
from laburnumgate_placer import tables as tables_module
from laburnumgate_placer.overload import passes
from laburnumgate_placer.overload import preemption

_LOGGER = logging.getLogger(__name__)

# Part of the reclaim bound that is reserved for recording, starting and
# stopping runs.
RECLAIM_MARGIN_MS = 1_200
# A same-rack gang for which no rack has enough free capacity may be spread over
# several racks after this wait, or as soon as it is too late for its caller,
# provided that half of the pool is idle. It runs more slowly there, but it
# completes.
SPREAD_AFTER_MS = 8_000
# Pause before a step is placed again after an unexpected error.
ERROR_PAUSE_MS = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Outlook:
    """What a search among running work found for a unit or a step.

    Attributes:
      until_ms: monotonic time until which it is used.
      rank_key: stage of the rank, and whether the guarantee was due.
      expected: when and where the unit is expected to fit, if known.
      in_time: whether it is expected to start early enough to be on time.
    """

    until_ms: int
    rank_key: tuple[ordering.Stage, bool]
    expected: reservation.Reservation | None
    in_time: bool


class Scheduler:
    """Runs placement passes over the leader's tables."""

    def __init__(self, tables: tables_module.Tables):
        self._tables = tables
        self._forecast = reservation.Forecast(tables)
        self._loss_window = preemption.LossWindow()
        self._reclaimed_by_unit: dict[model.UnitKey, frozenset[str]] = {}
        self._outlook_by_key: dict[tuple, _Outlook] = {}
        self._reported_steps: set[tuple[str, int, int]] = set()

    def run(self) -> None:
        """Places units that fit and reclaims guaranteed capacity."""
        tables = self._tables
        now_ms = tables.monotonic.now_ms()
        tables.durations.speeds.solve()
        pools: dict[str, pool_module.Pool] = {}
        protected = ordering.guaranteed_jobs(tables)
        waiting = ordering.waiting_steps(tables, protected, now_ms)
        self._forget(waiting)
        # Guaranteed units come first, then units for which runs were stopped.
        # If such a unit became late in the meantime, other units would rank
        # above it and take the reclaimed capacity.
        waiting.sort(
            key=lambda step: (
                not step.rank.guaranteed,
                not self._reclaimed_by_unit
                or all(
                    u.key not in self._reclaimed_by_unit for u in step.units
                ),
            )
        )
        for step in waiting:
            queue = tables.queue_of(step.units[0].entry.job)
            pool = pools.get(queue.service)
            if pool is None:
                pool = self._pool(queue.service, now_ms)
                pools[queue.service] = pool
            try:
                self._place_step(pool, step, protected, now_ms)
            except Exception as error:  # Must not keep other jobs waiting.
                self._set_aside(step, error, now_ms)

    def _set_aside(
        self, waiting: ordering.WaitingStep, error: Exception, now_ms: int
    ) -> None:
        """Delays the units of a step that cannot be placed for an error."""
        step_key = _step_key(waiting.units[0])
        events.emit(
            _LOGGER,
            events.Event.TASK_FAILED,
            task="Scheduler.run",
            job=step_key[0],
            occurrence=step_key[1],
            step=step_key[2],
            reason=repr(error),
        )
        for unit in waiting.units:
            unit.backoff_until_ms = now_ms + ERROR_PAUSE_MS

    def _forget(self, waiting: list[ordering.WaitingStep]) -> None:
        """Discards what was found for units that no longer wait."""
        if not waiting:
            self._reported_steps.clear()
            self._outlook_by_key.clear()
            self._reclaimed_by_unit.clear()
        if not self._reclaimed_by_unit:
            return
        keys = {unit.key for step in waiting for unit in step.units}
        for key in list(self._reclaimed_by_unit):
            if key not in keys:
                del self._reclaimed_by_unit[key]

    def _place_step(
        self,
        pool: pool_module.Pool,
        waiting: ordering.WaitingStep,
        protected: set[str],
        now_ms: int,
    ) -> None:
        """Places the waiting units of one step."""
        units = list(waiting.units)
        if self._independent(units[0]):
            units = self._place_together(
                pool, waiting.rank, units, protected, now_ms
            )
        for unit in units:
            placed = self._place(pool, waiting.rank, unit, protected, now_ms)
            if not placed and unit.key not in self._reclaimed_by_unit:
                # The other units of the step need the same.
                for other in units:
                    self._hold(pool, other)
                return

    def _independent(self, unit: progress.Unit) -> bool:
        """Whether the units of the step can be placed in one go."""
        step = unit.step
        return not (
            step.gang
            or step.same_rack
            or step.max_per_endpoint
            or self._tables.queue_of(unit.entry.job).advised
        )

    def _place_together(
        self,
        pool: pool_module.Pool,
        rank: ordering.Rank,
        units: list[progress.Unit],
        protected: set[str],
        now_ms: int,
    ) -> list[progress.Unit]:
        """Assigns as many equal units as fit; returns the others.

        Units that can be on time are placed on endpoints that are fast enough.
        """
        first = units[0]
        endpoints = self._endpoints_for(pool, rank, first, protected, now_ms)
        if rank.stage == ordering.Stage.ON_TIME and not self._guarantee_due(
            rank, first, now_ms
        ):
            endpoints = self._fast_endpoints(endpoints, rank)
        equal = [
            unit
            for unit in units
            if unit.avoided_endpoints == first.avoided_endpoints
        ]
        chosen = placement.choose_some(
            first,
            len(equal),
            endpoints,
            pool.free_by_id,
            self._tables.durations.speeds,
            rank.requirement(),
        )
        for unit, endpoint_id in zip(equal, chosen, strict=False):
            self._assign(pool, unit, [endpoint_id], {}, now_ms)
        placed = {id(unit) for unit in equal[: len(chosen)]}
        return [unit for unit in units if id(unit) not in placed]

    def _pool(self, service: str, now_ms: int) -> pool_module.Pool:
        tables = self._tables
        usable = tables.endpoints.usable(
            service, tables.config.zones_out, now_ms
        )
        free = {s.info.endpoint_id: s.free() for s in usable}
        pool = pool_module.Pool(usable, free)
        for key, endpoint_ids in self._reclaimed_by_unit.items():
            pool.hold(key, endpoint_ids)
        return pool

    def _place(
        self,
        pool: pool_module.Pool,
        rank: ordering.Rank,
        unit: progress.Unit,
        protected: set[str],
        now_ms: int,
    ) -> bool:
        """Assigns a unit, or stops runs and reserves endpoints for it.

        Returns whether it was assigned.
        """
        fit_key = _fit_key(unit)
        tickets: dict[str, str] = {}
        endpoints = self._endpoints_for(pool, rank, unit, protected, now_ms)
        if self._tables.queue_of(unit.entry.job).advised:
            fit_key = _step_key(unit)
            step = advice.step_key(unit.key)
            tickets = self._tables.advice.tickets(step, now_ms)
            self._request_tickets(pool, unit, step, endpoints, now_ms)
            endpoints = [
                state
                for state in endpoints
                if state.info.endpoint_id in tickets
            ]
        guarantee_due = self._guarantee_due(rank, unit, now_ms)
        if rank.stage == ordering.Stage.ON_TIME and not guarantee_due:
            fast = self._fast_endpoints(endpoints, rank)
            if len(fast) < len(endpoints):
                requirement = rank.requirement()
                fast_key = ("fast", *_step_key(unit))
                if self._start(
                    pool, requirement, unit, fast, tickets, fast_key, now_ms
                ):
                    return True
                if self._reclaim_or_reserve(
                    pool, rank, unit, fast, protected, fast_key, now_ms
                ):
                    return False
        requirement = self._requirement(pool, rank, unit, now_ms)
        if self._start(
            pool,
            requirement,
            unit,
            endpoints,
            tickets,
            (*fit_key, requirement.spread),
            now_ms,
        ):
            return True
        self._log_not_placed(pool, rank, unit)
        self._reclaim_or_reserve(
            pool,
            rank,
            unit,
            endpoints,
            protected,
            ("all", *_step_key(unit)),
            now_ms,
        )
        return False

    def _endpoints_for(
        self,
        pool: pool_module.Pool,
        rank: ordering.Rank,
        unit: progress.Unit,
        protected: set[str],
        now_ms: int,
    ) -> list[endpoint_table.EndpointState]:
        """Returns the endpoints that a unit may be placed on.

        Those reserved or held for units without a guarantee are available to a
        unit whose guarantee is due.
        """
        if self._guarantee_due(rank, unit, now_ms):
            return pool.open_to(unit.key, protected)
        return pool.available_to(unit, self._tables.durations, now_ms)

    def _requirement(
        self,
        pool: pool_module.Pool,
        rank: ordering.Rank,
        unit: progress.Unit,
        now_ms: int,
    ) -> placement.Requirement:
        """Returns the placement requirement of a unit at this time.

        The same-rack constraint is dropped as described at `SPREAD_AFTER_MS`.
        """
        requirement = rank.requirement()
        if not unit.step.same_rack or not pool.is_half_idle():
            return requirement
        waited_ms = now_ms - unit.ready_ms
        too_late = rank.stage == ordering.Stage.TOO_LATE
        spread = too_late or waited_ms >= SPREAD_AFTER_MS
        return placement.Requirement(requirement.min_speed, spread)

    def _guarantee_due(
        self, rank: ordering.Rank, unit: progress.Unit, now_ms: int
    ) -> bool:
        """Whether capacity has to be reclaimed now to meet the guarantee."""
        bounds = self._tables.bounds
        waited_ms = now_ms - unit.entry.arrived_ms
        reclaim_after_ms = (
            bounds.reclaim_ms - bounds.stop_ms - RECLAIM_MARGIN_MS
        )
        return rank.guaranteed and waited_ms >= reclaim_after_ms

    def _fast_endpoints(
        self,
        endpoints: list[endpoint_table.EndpointState],
        rank: ordering.Rank,
    ) -> list[endpoint_table.EndpointState]:
        """Returns the endpoints fast enough for the unit to end on time."""
        requirement = rank.requirement()
        speed_table = self._tables.durations.speeds
        return [
            state
            for state in endpoints
            if requirement.is_met_by(speed_table.speed(state.info.endpoint_id))
        ]

    def _start(
        self,
        pool: pool_module.Pool,
        requirement: placement.Requirement,
        unit: progress.Unit,
        endpoints: list[endpoint_table.EndpointState],
        tickets: dict[str, str],
        fit_key: tuple,
        now_ms: int,
    ) -> bool:
        """Assigns the unit if it fits, and returns whether it does."""
        if fit_key in pool.failed_fit_keys:
            return False
        chosen = placement.choose(
            unit,
            endpoints,
            pool.free_by_id,
            self._tables.durations.speeds,
            requirement,
        )
        if chosen is None:
            pool.failed_fit_keys.add(fit_key)
            return False
        self._assign(pool, unit, chosen, tickets, now_ms)
        return True

    def _reclaim_or_reserve(
        self,
        pool: pool_module.Pool,
        rank: ordering.Rank,
        unit: progress.Unit,
        endpoints: list[endpoint_table.EndpointState],
        protected: set[str],
        key: tuple,
        now_ms: int,
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

        Returns:
          Whether the unit is expected to start early enough to be on time.
        """
        rank_key = (rank.stage, self._guarantee_due(rank, unit, now_ms))
        outlook = self._outlook(pool, unit, key, rank_key, now_ms)
        if outlook is None:
            outlook = self._look_ahead(
                pool, rank, unit, endpoints, protected, rank_key, now_ms
            )
            if unit.key in self._reclaimed_by_unit:
                key = (*key, unit.key.index)
            self._outlook_by_key[key] = outlook
        self._hold(pool, unit)
        if outlook.expected is not None and unit.size > 1:
            pool.reserve(unit.key, outlook.expected)
        return outlook.in_time

    def _outlook(
        self,
        pool: pool_module.Pool,
        unit: progress.Unit,
        key: tuple,
        rank_key: tuple[ordering.Stage, bool],
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

    def _look_ahead(
        self,
        pool: pool_module.Pool,
        rank: ordering.Rank,
        unit: progress.Unit,
        endpoints: list[endpoint_table.EndpointState],
        protected: set[str],
        rank_key: tuple[ordering.Stage, bool],
        now_ms: int,
    ) -> _Outlook:
        """Searches running work for capacity; stops runs where that pays."""
        pool.lookaheads += 1
        expected = None
        if rank.stage == ordering.Stage.TOO_LATE:
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
        scope = self._preemption_scope(
            pool, rank, unit, protected, in_time, now_ms
        )
        if self._reclaim(pool, rank, unit, endpoints, scope, now_ms):
            in_time = True
        return _Outlook(
            now_ms + passes.LOOKAHEAD_VALID_MS, rank_key, expected, in_time
        )

    def _log_not_placed(
        self, pool: pool_module.Pool, rank: ordering.Rank, unit: progress.Unit
    ) -> None:
        """Logs that a step's tasks wait for capacity, once for each step."""
        key = unit.key
        step_key = _step_key(unit)
        if step_key in self._reported_steps:
            return
        self._reported_steps.add(step_key)
        free_gpu = sum(free.gpu for free in pool.free_by_id.values())
        events.emit(
            _LOGGER,
            events.Event.NOT_PLACED,
            job=key.job_id,
            occurrence=key.occurrence,
            step=key.step,
            tasks=unit.size,
            gpu=unit.step.room.gpu,
            same_rack=unit.step.same_rack,
            free_gpu=free_gpu,
            usable=len(pool.endpoints),
            stage=rank.stage.name.lower(),
            guaranteed=rank.guaranteed,
        )

    def _request_tickets(
        self,
        pool: pool_module.Pool,
        unit: progress.Unit,
        step: advice.StepKey,
        endpoints: list[endpoint_table.EndpointState],
        now_ms: int,
    ) -> None:
        """Requests tickets for the endpoints with the most free slots."""
        resources = unit.step.charged
        fitting = [
            (
                -pool.free_by_id[s.info.endpoint_id].count_fitting(resources),
                s.info.endpoint_id,
            )
            for s in endpoints
        ]
        names = [name for free, name in sorted(fitting) if free]
        self._tables.advice.request(step, names, now_ms)

    def _assign(
        self,
        pool: pool_module.Pool,
        unit: progress.Unit,
        chosen: list[str],
        tickets: dict[str, str],
        now_ms: int,
    ) -> None:
        pool.allocate(unit.step.charged, chosen)
        if self._reclaimed_by_unit.pop(unit.key, None):
            pool.release(unit.key)
        run = lifecycle.assign(self._tables, unit, chosen, tickets)
        self._forecast.add(run, now_ms)

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
        for run in plan.victims:
            loss = reclaim.stop_loss(tables, run, now_ms)
            self._loss_window.record(now_ms, loss)
            run.unit.preempted += 1
            lifecycle.stop_run(
                tables, run, f"preempted for job {unit.key.job_id}"
            )
        self._reclaimed_by_unit[unit.key] = plan.endpoint_ids
        pool.release(unit.key)
        return True

    def _hold(self, pool: pool_module.Pool, unit: progress.Unit) -> None:
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
        if self._guarantee_due(rank, unit, now_ms):
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

    def _work_core_s(self, unit: progress.Unit) -> float:
        """Returns the expected work of a unit in core-seconds."""
        work_ms = self._tables.durations.expected_ms(
            unit.entry.job, unit.key.step
        )
        return unit.size * reclaim.task_cores(unit.step) * work_ms / 1000


def _fit_key(unit: progress.Unit) -> tuple:
    """Returns a key shared by units that need the same placement.

    If one of them does not fit in a pass, the others do not fit either. The
    limit per endpoint depends on the step, so that such a step has its own key.
    """
    step = unit.step
    if step.max_per_endpoint:
        return _step_key(unit)
    return (
        unit.size,
        step.charged,
        step.label,
        step.same_rack,
        step.data_rack,
    )


def _step_key(unit: progress.Unit) -> tuple[str, int, int]:
    """Returns job, occurrence and number of the unit's step."""
    return (unit.key.job_id, unit.key.occurrence, unit.key.step)
