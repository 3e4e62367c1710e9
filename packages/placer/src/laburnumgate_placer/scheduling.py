"""Placement pass: assigns waiting units to endpoints in rank order."""

import asyncio
import collections
import dataclasses
import logging

from laburnumgate_placer import advice
from laburnumgate_placer import endpoint_table
from laburnumgate_placer import events
from laburnumgate_placer import lifecycle
from laburnumgate_placer import lookahead
from laburnumgate_placer import ordering
from laburnumgate_placer import overdue_units
from laburnumgate_placer import placement
from laburnumgate_placer import pool as pool_module
from laburnumgate_placer import progress
from laburnumgate_placer import straggler_moves
from laburnumgate_placer import tables as tables_module
from laburnumgate_placer import turns
from laburnumgate_placer import urgent_room
from laburnumgate_placer.accounts import holds
from laburnumgate_placer.overload import passes

_LOGGER = logging.getLogger(__name__)

# A same-rack gang for which no rack has enough free capacity may be spread over
# several racks after this wait, or as soon as it is too late for its caller,
# provided that half of the pool is idle. It runs more slowly there, but it
# completes.
SPREAD_AFTER_MS = 8_000
# Pause before a step is placed again after an unexpected error.
ERROR_PAUSE_MS = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class PassTimes:
    """What a placement pass took.

    Attributes:
      ranking_ms: time in which the waiting steps were ranked.
      placing_ms: time in which they were placed.
      steps: number of steps that were ranked.
    """

    ranking_ms: int = 0
    placing_ms: int = 0
    steps: int = 0


class Scheduler:
    """Runs placement passes over the leader's tables."""

    def __init__(self, tables: tables_module.Tables):
        self._tables = tables
        self._look_ahead = lookahead.LookAhead(tables)
        self._holds = holds.AccountHolds(tables)
        self._room = urgent_room.UrgentRoom(tables)
        self._moves = straggler_moves.StragglerMoves(tables)
        self.pass_times = PassTimes()
        self._prepared: ordering.Ranking | None = None
        # Number of assigned tasks whose records are not being written yet.
        self._assigned_by_job: collections.Counter[str] = collections.Counter()
        self._turns = turns.Turns(tables.monotonic)
        self._moves_paused_until_ms = 0
        self._reported_steps: set[tuple[str, int, int]] = set()

    async def prepare(self) -> None:
        """Ranks the waiting steps for the next `run`, with pauses."""
        ranking = self._ranking()
        for _ in ranking.chunks():
            await asyncio.sleep(0)
        self._prepared = ranking

    def run(self) -> None:
        """Places units that fit and reclaims guaranteed capacity."""
        ranking, self._prepared = self._prepared, None
        if ranking is None:
            ranking = self._ranking()
            for _ in ranking.chunks():
                pass
        self._place_all(ranking)

    def _ranking(self) -> ordering.Ranking:
        tables = self._tables
        tables.durations.speeds.solve()
        return ordering.Ranking(
            tables,
            ordering.guaranteed_jobs(tables),
            tables.monotonic.now_ms(),
            self._look_ahead.steps_with_reclaims(),
        )

    def _place_all(self, ranking: ordering.Ranking) -> None:
        """Places the ranked units."""
        tables = self._tables
        now_ms = tables.monotonic.now_ms()
        pools: dict[str, pool_module.Pool] = {}
        self._assigned_by_job.clear()
        for run in tables.assigned_runs:
            self._assigned_by_job[run.unit.key.job_id] += len(run.members)
        protected = ranking.guaranteed
        waiting = ranking.ordered(now_ms)
        ranked_steps = len(waiting)
        if any(step.rank.overdue for step in waiting):
            waiting = overdue_units.limit(tables, waiting)
        if not waiting:
            self._reported_steps.clear()
        self._room.observe(waiting, now_ms)
        # What is held for units that their accounts' limits hold back is
        # released before anything is placed.
        held_for = self._holds.begin_pass(
            waiting, self._look_ahead.reclaims_for, now_ms
        )
        self._look_ahead.forget(held_for, now_ms)
        # Guaranteed units come first, then units for which runs were stopped.
        # If such a unit became late in the meantime, other units would rank
        # above it and take the reclaimed capacity.
        waiting.sort(
            key=lambda step: (
                not step.rank.guaranteed,
                not self._look_ahead.reclaims_for(step.units)
                and not self._holds.has_claim(step.units),
            )
        )
        for step in self._turns.take(waiting):
            queue = tables.queue_of(step.units[0].entry.job)
            pool = pools.get(queue.service)
            if pool is None:
                pool = self._pool(queue.service, now_ms)
                pools[queue.service] = pool
            try:
                self._place_step(pool, step, protected, now_ms)
                if step.rank.overdue:
                    overdue_units.mark(step.units)
            except Exception as error:  # Must not keep other jobs waiting.
                self._set_aside(step, error, now_ms)
        self._holds.end_pass(now_ms)
        self._room.end_pass(now_ms)
        if tables.policy.straggler_moves:
            self._move_stragglers(pools, protected, now_ms)
        end_ms = tables.monotonic.now_ms()
        self.pass_times = PassTimes(
            now_ms - ranking.began_ms, end_ms - now_ms, ranked_steps
        )

    def end_term(self) -> None:
        """Resets what the metrics of this host say of the term."""
        self._room.clear_metrics()

    def _move_stragglers(
        self,
        pools: dict[str, pool_module.Pool],
        protected: set[str],
        now_ms: int,
    ) -> None:
        """Moves stalled and slow runs to capacity that this pass left free."""
        if now_ms < self._moves_paused_until_ms:
            return

        def pool_of(service: str) -> pool_module.Pool:
            if service not in pools:
                pools[service] = self._pool(service, now_ms)
            return pools[service]

        try:
            self._moves.run(pool_of, protected, now_ms)
        except Exception as error:  # Must not end the leader's term.
            self._moves_paused_until_ms = now_ms + ERROR_PAUSE_MS
            events.emit(
                _LOGGER,
                events.Event.TASK_FAILED,
                task="StragglerMoves.run",
                reason=repr(error),
            )

    def _set_aside(
        self, waiting: ordering.WaitingStep, error: Exception, now_ms: int
    ) -> None:
        """Delays the units of a step that cannot be placed for an error."""
        _log_error(waiting, error, "Scheduler.run")
        for unit in waiting.units:
            unit.backoff_until_ms = now_ms + ERROR_PAUSE_MS

    def _place_step(
        self,
        pool: pool_module.Pool,
        waiting: ordering.WaitingStep,
        protected: set[str],
        now_ms: int,
    ) -> None:
        """Places the waiting units of one step."""
        units = self._holds.admit(waiting, now_ms)
        if len(units) < len(waiting.units):
            self._hold_back(pool, waiting, units, protected, now_ms)
        units = self._startable(units)
        if not units:
            return
        if self._independent(units[0]):
            units = self._place_together(
                pool, waiting.rank, units, protected, now_ms
            )
        for number, unit in enumerate(units):
            if number and self._turns.over():
                return
            placed = self._place(pool, waiting.rank, unit, protected, now_ms)
            if not placed and not self._look_ahead.reclaims_for((unit,)):
                # The other units of the step need the same.
                for other in units:
                    self._look_ahead.hold(pool, other)
                return

    def _startable(self, units: list[progress.Unit]) -> list[progress.Unit]:
        """Leaves out units whose start orders would delay other jobs."""
        if not units:
            return units
        job_id = units[0].key.job_id
        unstarted = self._assigned_by_job[job_id]
        unstarted += self._tables.launching_by_job[job_id]
        room = passes.MAX_UNSTARTED_TASKS - unstarted
        # Rounded up, as a gang may have more tasks than the limit.
        return units[: max(0, -(-room // units[0].size))]

    def _hold_back(
        self,
        pool: pool_module.Pool,
        waiting: ordering.WaitingStep,
        admitted: list[progress.Unit],
        protected: set[str],
        now_ms: int,
    ) -> None:
        """Handles the units of a step that their account's limit holds back.

        Runs of the same account may be stopped for them. What is freed is kept
        for the unit that they were stopped for, which starts once their end is
        certain.
        """
        held = self._holds.held_back(waiting, admitted)
        self._look_ahead.give_up(pool, held)
        rank = waiting.rank
        if not rank.guaranteed and rank.stage != ordering.Stage.ON_TIME:
            return
        try:
            for unit in held:
                claimed = self._holds.claimed((unit,), rank.guaranteed)
                if not self._look_ahead.may_displace(
                    pool, rank, unit, claimed, now_ms
                ):
                    return
                endpoints = self._endpoints_for(
                    pool, rank, unit, protected, now_ms
                )
                # Endpoints that are too slow are used if none is fast enough.
                endpoints = self._fast_endpoints(endpoints, rank) or endpoints
                plan = self._look_ahead.displace(
                    pool,
                    rank,
                    unit,
                    endpoints,
                    protected,
                    claimed,
                    now_ms,
                )
                if plan is None:
                    return
                runs = (*plan.victims, *plan.stopping)
                self._holds.claim(unit, rank.guaranteed, runs, now_ms)
        except Exception as error:  # The limit holds without displacement.
            _log_error(waiting, error, "Scheduler.displace")

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
        """Assigns equal units until none fits or the pass has to end.

        Returns:
          The units that have not been assigned.
        """
        for start in range(0, len(units), passes.MAX_UNITS_AT_ONCE):
            some = units[start : start + passes.MAX_UNITS_AT_ONCE]
            left = self._place_some(pool, rank, some, protected, now_ms)
            if left or self._turns.over():
                return left + units[start + len(some) :]
        return []

    def _place_some(
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
        if first.suspected:
            # Suspected units are placed one by one, apart from each other.
            return units
        endpoints = self._endpoints_for(pool, rank, first, protected, now_ms)
        if rank.stage == ordering.Stage.ON_TIME and not lookahead.guarantee_due(
            self._tables, rank, first, now_ms
        ):
            endpoints = self._fast_endpoints(endpoints, rank)
        equal = [
            unit
            for unit in units
            if unit.avoided_endpoints == first.avoided_endpoints
            and not unit.suspected
        ]
        choices = [endpoints]
        if self._leaves_headroom(pool, rank):
            choices = [pool.outside_headroom(endpoints)]
            if not self._room.holds_back(rank, first, now_ms):
                choices.append(endpoints)
        count = 0
        for choice in choices:
            chosen = placement.choose_some(
                first,
                len(equal) - count,
                choice,
                pool.free_by_id,
                self._tables.durations.speeds,
                _requirement_in(pool, rank),
                pool.endpoints,
            )
            for unit, endpoint_id in zip(equal[count:], chosen, strict=False):
                self._assign(pool, unit, [endpoint_id], {}, now_ms)
            count += len(chosen)
        placed = {id(unit) for unit in equal[:count]}
        return [unit for unit in units if id(unit) not in placed]

    def _leaves_headroom(
        self, pool: pool_module.Pool, rank: ordering.Rank
    ) -> bool:
        """Whether a unit prefers endpoints not reserved for urgent gangs."""
        return rank.priority > 0 and bool(pool.headroom_ids)

    def _pool(self, service: str, now_ms: int) -> pool_module.Pool:
        tables = self._tables
        usable = tables.endpoints.usable(
            service, tables.config.zones_out, now_ms
        )
        free = {s.info.endpoint_id: s.free() for s in usable}
        pool = pool_module.Pool(usable, free)
        self._look_ahead.hold_all(pool)
        self._room.reserve(service, pool, now_ms)
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
        guarantee_due = lookahead.guarantee_due(
            self._tables, rank, unit, now_ms
        )
        if self._leaves_headroom(pool, rank):
            outcome = self._place_outside_headroom(
                pool, rank, unit, endpoints, protected, tickets, fit_key, now_ms
            )
            if outcome is not None:
                return outcome
        if rank.stage == ordering.Stage.ON_TIME and not guarantee_due:
            fast = self._fast_endpoints(endpoints, rank)
            if len(fast) < len(endpoints):
                requirement = _requirement_in(pool, rank)
                fast_key = ("fast", *_step_key(unit))
                if self._start(
                    pool, requirement, unit, fast, tickets, fast_key, now_ms
                ):
                    return True
                if self._look_ahead_for(
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
        self._look_ahead_for(
            pool,
            rank,
            unit,
            endpoints,
            protected,
            ("all", *_step_key(unit)),
            now_ms,
        )
        return False

    def _look_ahead_for(
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
        """Stops runs or reserves endpoints for a unit, if its limit permits.

        Returns whether it has to wait rather than start on other endpoints.
        """
        if not self._holds.may_look_ahead(unit, rank.guaranteed):
            return True
        in_time = self._look_ahead.reclaim_or_reserve(
            pool,
            rank,
            unit,
            endpoints,
            protected,
            key,
            now_ms,
            may_stop=may_stop,
        )
        reclaims = self._look_ahead.reclaims_for((unit,))
        if reclaims or unit.key in pool.reservations_by_unit:
            self._holds.expect(unit, reclaims, rank.guaranteed, now_ms)
        return in_time

    def _place_outside_headroom(
        self,
        pool: pool_module.Pool,
        rank: ordering.Rank,
        unit: progress.Unit,
        endpoints: list[endpoint_table.EndpointState],
        protected: set[str],
        tickets: dict[str, str],
        fit_key: tuple,
        now_ms: int,
    ) -> bool | None:
        """Places a patient unit outside of what urgent gangs need.

        No run is stopped for a unit that is held back.

        Returns:
          Whether it was assigned, or None if it may use any endpoint.
        """
        outside = pool.outside_headroom(endpoints)
        if len(outside) == len(endpoints):
            return None
        if rank.stage == ordering.Stage.ON_TIME:
            outside = self._fast_endpoints(outside, rank)
        if (
            unit.step.same_rack
            and unit.size > 1
            and not placement.fits_in_empty_rack(unit, outside)
        ):
            # It would be spread over several racks, or never fit.
            return None
        requirement = _requirement_in(pool, rank)
        key = ("outside", rank.min_speed, *fit_key)
        if self._start(pool, requirement, unit, outside, tickets, key, now_ms):
            return True
        if not self._room.holds_back(rank, unit, now_ms):
            return None
        if unit.size > 1 and not self._look_ahead_for(
            pool,
            rank,
            unit,
            outside,
            protected,
            ("outside", *_step_key(unit)),
            now_ms,
            may_stop=False,
        ):
            return None
        self._log_not_placed(pool, rank, unit)
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
        if lookahead.guarantee_due(self._tables, rank, unit, now_ms):
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
        requirement = _requirement_in(pool, rank)
        if not unit.step.same_rack or not pool.is_half_idle():
            return requirement
        waited_ms = now_ms - unit.ready_ms
        too_late = rank.stage == ordering.Stage.TOO_LATE
        spread = too_late or waited_ms >= SPREAD_AFTER_MS
        return dataclasses.replace(requirement, spread=spread)

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
            pool.endpoints,
        )
        if chosen is None:
            pool.failed_fit_keys.add(fit_key)
            return False
        self._assign(pool, unit, chosen, tickets, now_ms)
        return True

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
        run = lifecycle.assign(self._tables, unit, chosen, tickets)
        self._assigned_by_job[unit.key.job_id] += unit.size
        self._look_ahead.assigned(pool, run, now_ms)


def _log_error(
    waiting: ordering.WaitingStep, error: Exception, task: str
) -> None:
    """Logs an unexpected error that concerns a step."""
    step_key = _step_key(waiting.units[0])
    events.emit(
        _LOGGER,
        events.Event.TASK_FAILED,
        task=task,
        job=step_key[0],
        occurrence=step_key[1],
        step=step_key[2],
        reason=repr(error),
    )


def _requirement_in(
    pool: pool_module.Pool, rank: ordering.Rank
) -> placement.Requirement:
    """Returns the requirement of a unit in the pool of this pass."""
    requirement = rank.requirement()
    if not pool.urgent_speed:
        return requirement
    if rank.priority == 0:
        # Gangs that need no rack of their own leave whole racks to others.
        return dataclasses.replace(requirement, keep_racks=True)
    return dataclasses.replace(requirement, spare_speed=pool.urgent_speed)


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
