"""Placement pass: assigns waiting units to endpoints in rank order."""

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

_LOGGER = logging.getLogger(__name__)

# Part of the reclaim bound that is reserved for recording, starting and
# stopping runs.
RECLAIM_MARGIN_MS = 1_200
# Lower-priority work is preempted only if the lost work is at most this many
# times the unit's own work. Preempted work has a lower value, but its time has
# to be spent again.
MAX_LOSS_RATIO = 1.0

# A same-rack gang for which no rack has enough free capacity may be spread over
# several racks after this wait, or as soon as it is too late for its caller,
# provided that half of the pool is idle. It runs more slowly there, but it
# completes.
SPREAD_AFTER_MS = 8_000


class Scheduler:
    """Runs placement passes over the leader's tables."""

    def __init__(self, tables: tables_module.Tables):
        self._tables = tables
        self._reclaimed_by_unit: dict[model.UnitKey, frozenset[str]] = {}
        self._reported_steps: set[tuple[str, int, int]] = set()

    def run(self) -> None:
        """Places units that fit and reclaims guaranteed capacity."""
        tables = self._tables
        now_ms = tables.monotonic.now_ms()
        tables.durations.speeds.solve()
        pools: dict[str, pool_module.Pool] = {}
        ranked = ordering.waiting_units(tables, now_ms)
        waiting = {unit.key for _, unit in ranked}
        for key in list(self._reclaimed_by_unit):
            if key not in waiting:
                del self._reclaimed_by_unit[key]
        # Guaranteed units come first, then units for which runs were stopped.
        # If such a unit became late in the meantime, other units would rank
        # above it and take the reclaimed capacity.
        ranked.sort(
            key=lambda pair: (
                not pair[0].guaranteed,
                pair[1].key not in self._reclaimed_by_unit,
            )
        )
        if not ranked:
            self._reported_steps.clear()
        protected = ordering.guaranteed_jobs(tables) if ranked else set()
        for rank, unit in ranked:
            queue = tables.queue_of(unit.entry.job)
            pool = pools.get(queue.service)
            if pool is None:
                pool = self._pool(queue.service, now_ms)
                pools[queue.service] = pool
            self._place(pool, rank, unit, protected, now_ms)

    def _pool(self, service: str, now_ms: int) -> pool_module.Pool:
        tables = self._tables
        usable = tables.endpoints.usable(
            service, tables.config.zones_out, now_ms
        )
        free = {s.info.endpoint_id: s.free() for s in usable}
        return pool_module.Pool(usable, free)

    def _place(
        self,
        pool: pool_module.Pool,
        rank: ordering.Rank,
        unit: progress.Unit,
        protected: set[str],
        now_ms: int,
    ) -> None:
        fit_key = _fit_key(unit)
        tickets: dict[str, str] = {}
        endpoints = pool.available_to(unit, self._tables.durations, now_ms)
        if self._tables.queue_of(unit.entry.job).advised:
            fit_key = (unit.key.job_id, unit.key.occurrence, unit.key.step)
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
                step_key = (unit.key.job_id, unit.key.occurrence, unit.key.step)
                requirement = rank.requirement()
                if self._start(
                    pool, requirement, unit, fast, tickets, step_key
                ) or self._reclaim_or_reserve(
                    pool, rank, unit, fast, protected, now_ms
                ):
                    return
        requirement = self._requirement(pool, rank, unit, now_ms)
        if self._start(
            pool,
            requirement,
            unit,
            endpoints,
            tickets,
            (*fit_key, requirement.spread),
        ):
            return
        self._log_not_placed(pool, rank, unit)
        if guarantee_due:
            # Endpoints reserved for units without a guarantee are available
            # to this unit.
            endpoints = pool.unheld()
        self._reclaim_or_reserve(pool, rank, unit, endpoints, protected, now_ms)

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
        self._assign(pool, unit, chosen, tickets)
        return True

    def _reclaim_or_reserve(
        self,
        pool: pool_module.Pool,
        rank: ordering.Rank,
        unit: progress.Unit,
        endpoints: list[endpoint_table.EndpointState],
        protected: set[str],
        now_ms: int,
    ) -> bool:
        """Preempts runs or reserves endpoints for a unit that does not fit.

        Returns whether the unit is expected to start early enough to be on
        time.
        """
        expected = None
        if rank.stage == ordering.Stage.TOO_LATE:
            self._reclaimed_by_unit.pop(unit.key, None)
        else:
            expected = reservation.plan(
                self._tables, unit, endpoints, rank.requirement(), now_ms
            )
        in_time = expected is not None and expected.start_ms <= rank.due_ms
        scope = self._preemption_scope(rank, unit, protected, in_time, now_ms)
        if self._reclaim(pool, rank, unit, endpoints, scope, now_ms):
            in_time = True
        if expected is not None and unit.size > 1:
            pool.reserve(unit.key, expected)
        return in_time

    def _log_not_placed(
        self, pool: pool_module.Pool, rank: ordering.Rank, unit: progress.Unit
    ) -> None:
        """Logs that a step's tasks wait for capacity, once for each step."""
        key = unit.key
        step_key = (key.job_id, key.occurrence, key.step)
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
    ) -> None:
        pool.allocate(unit.step.charged, chosen)
        self._reclaimed_by_unit.pop(unit.key, None)
        lifecycle.assign(self._tables, unit, chosen, tickets)

    def _reclaim(
        self,
        pool: pool_module.Pool,
        rank: ordering.Rank,
        unit: progress.Unit,
        endpoints: list[endpoint_table.EndpointState],
        scope: reclaim.Scope | None,
        now_ms: int,
    ) -> bool:
        """Stops runs for a unit and holds the endpoints they run on for it.

        Returns whether the unit fits once the stops have ended.
        """
        tables = self._tables
        reclaimed_ids = self._reclaimed_by_unit.get(unit.key)
        plan = None
        if scope is not None:
            plan = reclaim.plan(
                tables, unit, endpoints, scope, rank.requirement(), now_ms
            )
            if plan is not None:
                for run in plan.victims:
                    lifecycle.stop_run(
                        tables, run, f"preempted for job {unit.key.job_id}"
                    )
                reclaimed_ids = plan.endpoint_ids
                self._reclaimed_by_unit[unit.key] = reclaimed_ids
        if (
            plan is None
            and reclaimed_ids
            and not pool.has_stopping_run(reclaimed_ids)
        ):
            # All stops have ended and the unit still does not fit.
            del self._reclaimed_by_unit[unit.key]
            reclaimed_ids = None
        pool.held_ids.update(reclaimed_ids or ())
        return plan is not None

    def _preemption_scope(
        self,
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
        if rank.guaranteed or rank.stage == ordering.Stage.ON_TIME:
            on_time = now_ms + bounds.stop_ms <= rank.due_ms
            return reclaim.Scope(
                protected,
                rank.priority,
                resumable=in_time or not on_time,
                max_loss=MAX_LOSS_RATIO * self._work_core_s(unit),
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
        return (unit.key.job_id, unit.key.occurrence, unit.key.step)
    return (
        unit.size,
        step.charged,
        step.label,
        step.same_rack,
        step.data_rack,
    )
