"""Moves runs off endpoints that hang or are far too slow.

A move is a stop, after which the unit is placed as usual, with the endpoint in
its `avoided_endpoints`. Until all ends are reported the unit counts as running.
"""

from collections.abc import Callable
import dataclasses
import logging

from laburnumgate_placer import endpoint_table
from laburnumgate_placer import events
from laburnumgate_placer import lifecycle
from laburnumgate_placer import metrics
from laburnumgate_placer import model
from laburnumgate_placer import ordering
from laburnumgate_placer import placement
from laburnumgate_placer import pool as pool_module
from laburnumgate_placer import progress
from laburnumgate_placer import reclaim
from laburnumgate_placer import tables as tables_module
from laburnumgate_placer.accounts import holds
from laburnumgate_placer.overload import stragglers

_LOGGER = logging.getLogger(__name__)

# Interval between checks. Reports are 750 ms apart.
INTERVAL_MS = 250
# Maximum number of searches for other endpoints in a check. Each sorts all
# endpoints. With 3, the last of 26 runs that stalled at once was moved 2.4 s
# after the first.
MAX_SEARCHES = 6
# Maximum number of runs of each kind whose progress is looked at in a check.
# This takes about 15 us for each.
MAX_RATED = 150
# Time until a run is searched for again that could not be moved.
RETRY_MS = 1_000
# Maximum time for which free capacity counts as taken by a unit that is moved
# there. Stops usually take 0.2 s; one whose answer is lost is repeated.
PLANNED_MS = 10_000
# Members of a gang on endpoints within this factor of the slowest one count as
# slow as well. Speeds are known to about this factor.
SLOW_MARGIN_RATIO = 1.2


@dataclasses.dataclass(frozen=True, slots=True)
class _Candidate:
    """A run that may be moved.

    Attributes:
      run: the run.
      members: its members that have not terminated.
      observed: their observed progress, in the same order.
    """

    run: progress.Run
    members: list[progress.Member]
    observed: list[stragglers.Progress]


@dataclasses.dataclass(frozen=True, slots=True)
class _Planned:
    """Free capacity that a moved unit is expected to take."""

    until_ms: int
    unit: progress.Unit
    run_number: int
    endpoint_ids: tuple[str, ...]


class StragglerMoves:
    """Finds and moves stalled and slow runs, a few times per second."""

    def __init__(self, tables: tables_module.Tables):
        self._tables = tables
        self._next_ms = 0
        # Position of the endpoint that the search for slow runs begins with.
        self._first_slow = 0
        self._retry_ms_by_unit: dict[model.UnitKey, int] = {}
        self._planned: list[_Planned] = []
        self._windows_by_service: dict[str, stragglers.LossWindow] = {}

    def run(
        self,
        pool_of: Callable[[str], pool_module.Pool],
        protected: set[str],
        now_ms: int,
    ) -> None:
        """Moves runs for which this is due.

        Args:
          pool_of: returns the pool of a service after this pass.
          protected: ids of jobs that are covered by guarantees.
          now_ms: monotonic time.
        """
        if now_ms < self._next_ms:
            return
        self._next_ms = now_ms + INTERVAL_MS
        stalled, slow = self._find(now_ms)
        if not stalled and not slow:
            return
        self._forget(now_ms)
        searches = 0
        for candidate, move in [
            *((each, self._move_stalled) for each in stalled),
            *((each, self._move_slow) for each in slow),
        ]:
            unit = candidate.run.unit
            if unit.moves >= stragglers.MAX_MOVES:
                continue
            if now_ms < self._retry_ms_by_unit.get(unit.key, 0):
                continue
            if stragglers.is_about_to_complete(candidate.observed):
                continue
            if searches >= MAX_SEARCHES:
                return
            searches += 1
            pool = pool_of(self._tables.queue_of(unit.entry.job).service)
            if not move(pool, candidate, protected, now_ms):
                self._retry_ms_by_unit[unit.key] = now_ms + RETRY_MS

    def _find(self, now_ms: int) -> tuple[list[_Candidate], list[_Candidate]]:
        """Returns stalled runs, the most urgent first, and slow runs."""
        speed_of = self._tables.durations.speeds.speed
        fastest = max(map(speed_of, self._tables.endpoints.by_id), default=1.0)
        still_runs, slow_runs = self._find_suspects(fastest)
        stalled = []
        for run in still_runs.values():
            candidate = self._candidate(run, now_ms)
            if candidate is None:
                continue
            if any(map(stragglers.is_stalled, candidate.observed)):
                self._record_stall(candidate, now_ms)
                stalled.append(candidate)
        stalled.sort(key=self._urgency)
        savings = []
        for run_id, run in slow_runs.items():
            if run_id in still_runs:
                continue
            candidate = self._candidate(run, now_ms)
            if candidate is None:
                continue
            saving = self._saving(candidate, fastest)
            if self._pays(candidate, saving, now_ms):
                savings.append((saving, candidate))
        savings.sort(key=lambda found: -found[0])
        return stalled, [candidate for _, candidate in savings]

    def _urgency(self, candidate: _Candidate) -> tuple[int, int]:
        """Returns the sort key of stalled runs; the lowest is moved first."""
        queue = self._tables.queue_of(candidate.run.unit.entry.job)
        longest_ms = max(each.still_ms for each in candidate.observed)
        return (queue.priority, -longest_ms)

    def _find_suspects(
        self, fastest: float
    ) -> tuple[dict[int, progress.Run], dict[int, progress.Run]]:
        """Returns runs that stand still, and runs on slow endpoints, by id.

        Not more than about `MAX_RATED` of each are returned. The next check
        continues with the slow endpoints that are left.
        """
        speed_of = self._tables.durations.speeds.speed
        states = list(self._tables.endpoints.by_id.values())
        first = self._first_slow % max(1, len(states))
        still_runs: dict[int, progress.Run] = {}
        slow_runs: dict[int, progress.Run] = {}
        for position in [*range(first, len(states)), *range(first)]:
            state = states[position]
            if not state.members:
                continue
            is_slow = False
            if len(slow_runs) < MAX_RATED:
                self._first_slow = position + 1
                speed = speed_of(state.info.endpoint_id)
                is_slow = speed * stragglers.MIN_SPEED_RATIO <= fastest
            for member in state.members.values():
                if member.still_ms >= stragglers.MIN_STALL_MS:
                    if len(still_runs) < MAX_RATED:
                        still_runs[id(member.run)] = member.run
                elif is_slow and member.run.unit.step.checkpointing:
                    slow_runs[id(member.run)] = member.run
        return still_runs, slow_runs

    def _candidate(self, run: progress.Run, now_ms: int) -> _Candidate | None:
        """Returns the progress of a run, None if it may not be moved.

        Tasks on idle processor time may stand still, and their pace is reduced
        on purpose. A member whose endpoint does not report may be cut off. A
        task at 0% counts as standing still only if such tasks are known to
        report progress.
        """
        unit = run.unit
        if run.phase != progress.Phase.RUNNING or unit.entry.state.final:
            return None
        if unit.state != progress.UnitState.ACTIVE:
            return None
        if unit.step.long_running or unit.step.fills:
            return None
        members = [member for member in run.members if not member.terminated]
        oldest_ms = now_ms - stragglers.MAX_REPORT_AGE_MS
        for member in members:
            state = self._tables.endpoints.by_id.get(member.endpoint_id)
            if state is None or state.ended or not state.answering:
                return None
            if not member.present or state.reported_ms < oldest_ms:
                return None
        durations = self._tables.durations
        work_ms = durations.expected_ms(unit.entry.job, unit.key.step)
        resumes = unit.step.checkpointing and unit.checkpoint
        shows = durations.shows_progress(unit.entry.job, unit.key.step)
        observed = [
            stragglers.Progress(
                percent=member.percent,
                done=member.percent - member.base_percent,
                worked_ms=max(
                    0, member.percent_at_ms - member.base_ms - member.still_ms
                ),
                still_ms=member.still_ms if member.percent or shows else 0,
                expected_ms=work_ms
                / durations.speeds.speed(member.endpoint_id),
                restore_ms=self._tables.bounds.restore_ms if resumes else 0,
            )
            for member in members
        ]
        return _Candidate(run, members, observed)

    def _record_stall(self, candidate: _Candidate, now_ms: int) -> None:
        """Records a stalled run with its endpoints, once for each stall.

        If any member of a gang may be the cause, an endpoint is certain to be
        it only if a single task stands still there as well. Otherwise a gang
        that hangs on one endpoint would bring blame on all others.
        """
        culprits = self._culprits(candidate)
        certain = [each for each in culprits if self._others_stalled(each)]
        for member in certain or culprits:
            if member.stalled:
                continue
            member.stalled = True
            state = self._tables.endpoints.by_id[member.endpoint_id]
            state.record_stall(
                member.task.job_id,
                now_ms,
                certain=bool(certain) or len(culprits) == 1,
            )

    def _culprits(self, candidate: _Candidate) -> list[progress.Member]:
        """Returns the members that hold up a stalled run."""
        acquitted = [
            len(candidate.members) > 1 and self._others_progress(member)
            for member in candidate.members
        ]
        positions = stragglers.culprits(candidate.observed, acquitted)
        return [candidate.members[n] for n in positions]

    def _others_progress(self, member: progress.Member) -> bool:
        """Whether another run progresses on the endpoint of a member."""
        state = self._tables.endpoints.by_id[member.endpoint_id]
        return any(
            other.run is not member.run
            and other.present
            and not other.still_ms
            and other.percent > other.base_percent
            for other in state.members.values()
        )

    def _others_stalled(self, member: progress.Member) -> bool:
        """Whether a single task stands still on the endpoint of a member."""
        state = self._tables.endpoints.by_id[member.endpoint_id]
        return any(
            other.run is not member.run
            and len(other.run.members) == 1
            and other.still_ms >= stragglers.MIN_STALL_MS
            for other in state.members.values()
        )

    def _move_stalled(
        self,
        pool: pool_module.Pool,
        candidate: _Candidate,
        protected: set[str],
        now_ms: int,
    ) -> bool:
        culprits = self._culprits(candidate)
        endpoint_ids = {member.endpoint_id for member in culprits}
        free_by_id = self._free(pool)
        # What the run itself uses on other endpoints is free after the stop.
        own_ids = set()
        charged = candidate.run.unit.step.charged
        for member in candidate.members:
            free = free_by_id.get(member.endpoint_id)
            if free is not None and member.endpoint_id not in endpoint_ids:
                free_by_id[member.endpoint_id] = free.plus(charged)
                own_ids.add(member.endpoint_id)
        chosen = self._choose(
            pool,
            candidate.run.unit,
            endpoint_ids,
            free_by_id,
            protected,
            now_ms,
        )
        if chosen is None or not self._permitted(pool, candidate, now_ms):
            return False
        longest = max(culprits, key=lambda member: member.still_ms)
        chosen = [each for each in chosen if each not in own_ids]
        self._plan(candidate.run, chosen, now_ms)
        self._move(candidate.run, endpoint_ids, longest, "stalled", 0.0)
        return True

    def _move_slow(
        self,
        pool: pool_module.Pool,
        candidate: _Candidate,
        protected: set[str],
        now_ms: int,
    ) -> bool:
        run = candidate.run
        if self._tables.queue_of(run.unit.entry.job).advised:
            # Which of the faster endpoints it may run on is not known.
            return False
        speed_table = self._tables.durations.speeds
        slowest = min(
            candidate.members, key=lambda m: speed_table.speed(m.endpoint_id)
        )
        limit = SLOW_MARGIN_RATIO * speed_table.speed(slowest.endpoint_id)
        endpoint_ids = {
            member.endpoint_id
            for member in candidate.members
            if speed_table.speed(member.endpoint_id) <= limit
        }
        chosen = self._choose(
            pool, run.unit, endpoint_ids, self._free(pool), protected, now_ms
        )
        if chosen is None:
            return False
        saving = self._saving(candidate, min(map(speed_table.speed, chosen)))
        if not self._pays(candidate, saving, now_ms):
            return False
        work = ordering.running_work(self._tables, run, {}, now_ms)
        slack_ms = work.slack_ms - self._overstated_ms(run.unit)
        if not stragglers.helps(slack_ms, work.late_slack_ms, saving):
            return False
        if not self._permitted(pool, candidate, now_ms):
            return False
        self._plan(run, chosen, now_ms)
        self._move(run, endpoint_ids, slowest, "slow", saving)
        return True

    def _overstated_ms(self, unit: progress.Unit) -> float:
        """Returns by how much the objective of a job may be overstated.

        If a step runs on slow endpoints only, its work seems larger than it is,
        and the objective follows from the work.
        """
        durations = self._tables.durations
        job = unit.entry.job
        expected_ms = durations.expected_ms(job, unit.key.step)
        declared_ms = durations.declared_ms(job, unit.key.step)
        stretch = self._tables.queue_of(job).stretch
        return stretch * max(0.0, expected_ms - declared_ms)

    def _choose(
        self,
        pool: pool_module.Pool,
        unit: progress.Unit,
        endpoint_ids: set[str],
        free_by_id: dict[str, model.Resources],
        protected: set[str],
        now_ms: int,
    ) -> list[str] | None:
        """Returns the endpoints that the usual placement would choose now."""
        tables = self._tables
        rank = ordering.rank(tables, unit, protected, now_ms)
        endpoints: list[endpoint_table.EndpointState] = [
            state
            for state in pool.available_to(unit, tables.durations, now_ms)
            if state.info.endpoint_id not in endpoint_ids
            and state.info.endpoint_id not in unit.avoided_endpoints
            and now_ms >= state.avoid_until_ms
        ]
        return placement.choose(
            unit,
            endpoints,
            free_by_id,
            tables.durations.speeds,
            rank.requirement(),
            pool.endpoints,
        )

    def _free(self, pool: pool_module.Pool) -> dict[str, model.Resources]:
        """Returns the free capacity that no moved unit is expected to take."""
        free_by_id = dict(pool.free_by_id)
        for planned in self._planned:
            for endpoint_id in planned.endpoint_ids:
                free = free_by_id.get(endpoint_id)
                if free is not None:
                    charged = planned.unit.step.charged
                    free_by_id[endpoint_id] = free.plus(charged, -1)
        return free_by_id

    def _saving(self, candidate: _Candidate, fast_speed: float) -> float:
        """Returns what a run saves at a speed, 0 if its rate is not known."""
        durations = self._tables.durations
        remaining = stragglers.slow_remaining_ms(candidate.observed)
        if remaining is None:
            return 0.0
        unit = candidate.run.unit
        slow_speed = min(
            durations.speeds.speed(m.endpoint_id) for m in candidate.members
        )
        left = 100 - min(each.percent for each in candidate.observed)
        work_ms = durations.expected_ms(unit.entry.job, unit.key.step)
        return stragglers.saved_ms(
            remaining, slow_speed, fast_speed, work_ms * left / 100 / fast_speed
        )

    def _pays(self, candidate: _Candidate, saving: float, now_ms: int) -> bool:
        bounds = self._tables.bounds
        lost_ms = max(
            self._lost_ms(candidate, n, now_ms)
            for n in range(len(candidate.members))
        )
        return stragglers.pays(
            saving, bounds.restore_ms, bounds.stop_ms, lost_ms
        )

    def _lost_ms(
        self, candidate: _Candidate, position: int, now_ms: int
    ) -> float:
        """Returns the work of a member that a stop may throw away.

        A run that resumes loses the work since its checkpoint, or all of it if
        it has left none yet.
        """
        run = candidate.run
        observed = candidate.observed[position]
        worked_ms = max(0, now_ms - (run.started_ms or now_ms))
        worked_ms = max(0.0, worked_ms - observed.still_ms)
        if run.restored:
            # The start under the earlier leader is not known.
            done_ms = observed.expected_ms * observed.percent / 100
            worked_ms = max(worked_ms, done_ms)
        if run.unit.step.checkpointing and run.unit.checkpoint:
            return min(worked_ms, self._tables.bounds.checkpoint_ms)
        return worked_ms

    def _permitted(
        self, pool: pool_module.Pool, candidate: _Candidate, now_ms: int
    ) -> bool:
        """Whether a move is within its bounds; records what it loses."""
        tables = self._tables
        run = candidate.run
        step = run.unit.step
        if holds.run_obstacle(tables, run) is not None:
            # It could not start again before other work of its account ends.
            return False
        overhead_ms = tables.bounds.stop_ms
        if step.checkpointing:
            overhead_ms += tables.bounds.restore_ms
        total_ms = sum(
            self._lost_ms(candidate, n, now_ms) + overhead_ms
            for n in range(len(candidate.members))
        )
        core_s = reclaim.task_cores(step) * total_ms / 1000
        service = tables.queue_of(run.unit.entry.job).service
        window = self._windows_by_service.setdefault(
            service, stragglers.LossWindow()
        )
        if not window.permits(now_ms, core_s, pool.cores()):
            return False
        window.record(now_ms, core_s)
        return True

    def _plan(
        self, run: progress.Run, endpoint_ids: list[str], now_ms: int
    ) -> None:
        self._planned.append(
            _Planned(
                now_ms + PLANNED_MS, run.unit, run.number, tuple(endpoint_ids)
            )
        )

    def _move(
        self,
        run: progress.Run,
        endpoint_ids: set[str],
        member: progress.Member,
        reason: str,
        saving: float,
    ) -> None:
        """Stops a run, to be placed on other endpoints than the given ones."""
        key = run.unit.key
        run.unit.record_move(run.number, endpoint_ids)
        metrics.MOVED_RUNS.inc({"reason": reason})
        events.emit(
            _LOGGER,
            events.Event.RUN_MOVED,
            job=key.job_id,
            occurrence=key.occurrence,
            step=key.step,
            index=key.index,
            run=run.number,
            endpoint=member.endpoint_id,
            reason=reason,
            percent=member.percent,
            stalled_ms=member.still_ms if reason == "stalled" else 0,
            saved_ms=round(saving),
        )
        lifecycle.stop_run(
            self._tables, run, f"moved: {reason} on {member.endpoint_id}"
        )

    def _forget(self, now_ms: int) -> None:
        """Discards what no longer matters."""
        for key, retry_ms in list(self._retry_ms_by_unit.items()):
            if retry_ms <= now_ms:
                del self._retry_ms_by_unit[key]
        self._planned = [
            planned
            for planned in self._planned
            if now_ms < planned.until_ms
            and planned.unit.last_run == planned.run_number
        ]
