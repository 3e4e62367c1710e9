"""Scheduler of the placing host for the jobs of one zone.

The scheduler does no I/O: `tick` and `on` return actions, see `actions`. The
caller reports the ids of all changed jobs with `note_changes`.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import heapq
import random

from laburnumgate_core import actions
from laburnumgate_core import backfill
from laburnumgate_core import backoff
from laburnumgate_core import capacity
from laburnumgate_core import clock
from laburnumgate_core import config
from laburnumgate_core import estimate
from laburnumgate_core import gang
from laburnumgate_core import jobs
from laburnumgate_core import model
from laburnumgate_core import moves
from laburnumgate_core import ordering
from laburnumgate_core import placement
from laburnumgate_core import quarantine
from laburnumgate_core import quota
from laburnumgate_core import ramp
from laburnumgate_core import reclaim
from laburnumgate_core import records
from laburnumgate_core import reservation
from laburnumgate_core import runs
from laburnumgate_core import verdict

# Maximum number of waiting jobs examined per pass, so that a long queue does
# not lengthen the pass. Jobs further back wait until those before them start.
JOBS_PER_PASS = 256
# Waiting jobs of an account that are matched against a free guarantee.
JOBS_PER_GUARANTEE = 64
# Jobs for which a plan is attempted before a guarantee is left unused.
PLANS_PER_GUARANTEE = 3
# Maximum time between two passes while jobs wait.
PASS_INTERVAL_MS = 1_000
# How long reclaims avoid an endpoint that did not confirm a stop in time.
SLOW_STOP_AVOID_MS = 60_000
# A gang gets a backfill reservation after waiting for its expected run time, or
# for this long if that is shorter. Endpoints reserved for it may stay idle
# until it starts.
MAX_SHADOW_DELAY_MS = 60_000
# Minimum wait of a gang before other runs are checkpointed and moved for it,
# and minimum age of a run that is moved, so that checkpoints remain a small
# share of the work.
CONSOLIDATE_AFTER_MS = 3_000
MOVABLE_AFTER_MS = 10_000
# Factor on the lost work of urgent runs in the choice of victims.
URGENT_WEIGHT = 4
# Approximate cost of writing and reading a checkpoint, in run time.
CHECKPOINT_COST_MS = 500

_STOPPING = (gang.Phase.STOPPING, gang.Phase.CLOSING, gang.Phase.DONE)

Summary = capacity.Summary


@dataclasses.dataclass(frozen=True)
class _Claim:
    """Capacity allocated in advance to a job that waits for runs to stop."""

    job: jobs.Job
    endpoint_ids: tuple[str, ...]
    victim_ids: tuple[str, ...]
    since_ms: int
    # Stops are not requested yet, since the victims may end by themselves.
    deferred: bool = False


class Scheduler:
    """Places the jobs of one zone."""

    def __init__(
        self,
        zone: str,
        job_table: jobs.JobTable,
        config_table: config.ConfigTable,
        time: clock.Clock,
        rng: random.Random,
        age_ms: int = ordering.AGE_MS,
    ):
        """Creates a scheduler that is not active yet.

        Args:
          zone: the availability zone it places for.
          job_table: jobs built from the log.
          config_table: the configuration in force.
          time: source of the current time.
          rng: source of jitter.
          age_ms: waiting time in ms that raises a job by one priority class.
        """
        self.zone = zone
        self.active = False
        self.endpoints_by_id: dict[str, model.Endpoint] = {}
        self.stopped_by_operator = False
        self.runs = runs.RunTable(
            zone, job_table, self.may_start, self._has_room
        )
        self.estimates = estimate.EstimateTable()
        self.quarantine = quarantine.QuarantineTable()
        self._jobs = job_table
        self._config = config_table
        self._clock = time
        self._queue = ordering.Queue(age_ms)
        self._free = placement.FreeTable()
        self._guarantees = reservation.GuaranteeTable(self._free)
        self._usage = quota.UsageTable()
        self._backoff = backoff.BackoffTable(rng)
        self._moves = moves.MoveTable(zone)
        self._ramp = ramp.Ramp()
        self._wakeups: list[tuple[int, str]] = []
        self._claims_by_job: dict[str, _Claim] = {}
        self._exposed_ids: set[str] = set()
        self._guarantee_due_since_by_id: dict[str, int] = {}
        self._slow_until_by_id: dict[str, int] = {}
        self._stopping_ms_by_id: dict[str, int] = {}
        self._deadlines: list[tuple[int, str]] = []
        self._shadow: backfill.Shadow | None = None
        self._config_offset = -1
        self._largest_unreserved = 0
        # Whether adopted runs have not been matched to guarantees yet.
        self._adopting = False
        self._in_service = True
        self._dirty = True
        self._next_pass_ms = 0

    def activate(self) -> None:
        """Starts placing; jobs start only after every endpoint has reported."""
        self.active = True
        self._backoff.clear()
        self.runs.adopt(self.endpoints_by_id, self._clock.now_ms())
        self._adopting = True
        self._rebuild()

    def deactivate(self) -> None:
        """Stops placing; the next placing host takes over the running tasks."""
        self.active = False
        self.runs.clear()
        self._queue.clear()

    @property
    def recovering(self) -> bool:
        """Whether reports of endpoints are still missing."""
        return self.runs.recovering

    def update_endpoints(self, endpoints: list[model.Endpoint]) -> None:
        """Updates the zone's endpoints from the live list."""
        by_id = {e.endpoint_id: e for e in endpoints if e.zone == self.zone}
        if by_id == self.endpoints_by_id:
            return
        for endpoint_id in by_id.keys() - self.endpoints_by_id.keys():
            if self.active:
                self.runs.expect_report(endpoint_id)
        for endpoint_id in self.endpoints_by_id.keys() - by_id.keys():
            self.runs.forget_endpoint(endpoint_id)
            self.quarantine.forget(endpoint_id)
        self.endpoints_by_id = by_id
        if self.active:
            self._rebuild_free()

    def update_peers(self, summaries_by_zone: dict[str, Summary]) -> None:
        """Updates the latest capacity summaries of other zones."""
        self._moves.update_peers(summaries_by_zone)

    def note_changes(self, job_ids: Iterable[str]) -> None:
        """Processes jobs of any zone that changed in the job table."""
        for job_id in job_ids:
            job = self._jobs.get(job_id)
            if job is None:
                continue
            self._record_run_time(job)
            if self.active:
                self._usage.update(job, job_id in self.runs.runs_by_id)
                self._update_queue(job)

    def may_start(self, endpoint_id: str) -> bool:
        """Whether the endpoint may currently be given new work."""
        endpoint = self.endpoints_by_id.get(endpoint_id)
        if endpoint is None or endpoint.leaving or self.stopped_by_operator:
            return False
        if not self._config.zone_in_service(self.zone):
            return False
        return self._config.endpoint_active(endpoint_id)

    def _has_room(self, endpoint_id: str) -> bool:
        """Whether the endpoint's runs fit the capacity in the live list.

        Runs that are being stopped count, claims for later starts do not.
        """
        row = self._free.rows_by_id.get(endpoint_id)
        if row is None:
            return False
        left = placement.Row(row.endpoint)
        for job_id, parts in row.parts_by_job.items():
            run = self.runs.runs_by_id.get(job_id)
            if run is not None:
                left.take(run.job.spec, parts)
        return _has_no_deficit(left)

    def on(self, result: actions.Result) -> list[actions.Action]:
        """Handles the result of an action and returns the next actions."""
        now_ms = self._clock.now_ms()
        if isinstance(result, actions.Appended):
            self._check_quota(result, now_ms)
        wanted = self.runs.on(result, now_ms)
        self._close_runs()
        return wanted

    def tick(self) -> list[actions.Action]:
        """Runs one scheduling cycle and returns its actions."""
        if not self.active:
            return []
        now_ms = self._clock.now_ms()
        wanted = self.runs.tick(now_ms)
        self._close_runs()
        self._apply_config(now_ms)
        if self.recovering:
            return wanted
        wanted.extend(self._expire_deadlines(now_ms))
        self._process_wakeups(now_ms)
        if not self._in_service:
            wanted.extend(self._evacuate_zone(now_ms))
            self._close_runs()
            return wanted
        wanted.extend(self._advance_claims(now_ms))
        if self._dirty or (self._queue and now_ms >= self._next_pass_ms):
            self._dirty = False
            self._next_pass_ms = now_ms + PASS_INTERVAL_MS
            wanted.extend(self._fill_guarantees(now_ms))
            wanted.extend(self._place(now_ms))
        wanted.extend(self._move_waiting_jobs(now_ms))
        self._close_runs()
        return wanted

    def summary(self) -> Summary:
        """Returns the zone's free capacity and its queued demand."""
        speeds = [e.speed for e in self.endpoints_by_id.values()]
        in_service = self._config.zone_in_service(self.zone)
        return Summary(
            free_accelerators=self._free.free,
            largest_free_rack=self._free.largest_free_rack,
            waiting_jobs=len(self._queue),
            largest_free_endpoint=self._free.largest_free_endpoint,
            waiting_accelerators=self._queue.accelerators,
            accelerators=self._total_accelerators(),
            largest_unreserved=self._largest_unreserved,
            speed=max(speeds, default=1.0),
            in_service=in_service,
            free_guarantees=tuple(
                capacity.FreeGuarantee(
                    guarantee.account,
                    guarantee.parts,
                    guarantee.accelerators_per_part,
                )
                for guarantee in self._guarantees
                if not guarantee.job_id and guarantee.parts_by_endpoint
            ),
        )

    def choose_zone(
        self,
        account: str,
        spec: model.JobSpec,
        summaries_by_zone: dict[str, Summary],
    ) -> str:
        """Returns the zone that should place a new request."""
        allowed = self._allowed(account)
        return capacity.choose_zone(account, spec, allowed, summaries_by_zone)

    # Rebuilding and updating of tables.

    def _rebuild(self) -> None:
        """Rebuilds every table from the job table and the adopted runs."""
        self._queue.clear()
        self._deadlines.clear()
        self._usage.clear()
        self._claims_by_job.clear()
        self._exposed_ids.clear()
        self._guarantees = reservation.GuaranteeTable(self._free)
        for zone in self._config.zones_by_name:
            for job_id in self._jobs.open_ids(zone):
                job = self._jobs.get(job_id)
                self._usage.update(job, job_id in self.runs.runs_by_id)
                self._update_queue(job)
        self._rebuild_free()

    def _rebuild_free(self) -> None:
        """Rebuilds free capacity after the set of endpoints has changed."""
        self._free = placement.FreeTable()
        for claim in self._claims_by_job.values():
            self._guarantees.release(claim.job.job_id)
        self._claims_by_job.clear()
        old = list(self._guarantees)
        self._guarantees = reservation.GuaranteeTable(self._free)
        for endpoint in self.endpoints_by_id.values():
            self._free.put(endpoint)
        for run in self.runs.runs_by_id.values():
            self._allocate_run(run, 1)
        self._guarantees.adopt(old)
        self._config_offset = -1
        self._dirty = True

    def _apply_config(self, now_ms: int) -> None:
        """Applies configuration changes since the last tick."""
        if self._config.offset != self._config_offset:
            self._config_offset = self._config.offset
            in_service = self._config.zone_in_service(self.zone)
            if in_service and not self._in_service:
                self._ramp.restart(now_ms)
            self._in_service = in_service
            for endpoint_id in self._free.rows_by_id:
                self._update_enabled(endpoint_id, now_ms)
            self._assign_guarantees()
            self._dirty = True

    def _assign_guarantees(self) -> None:
        zones = [
            zone
            for zone in self._config.zones_by_name.values()
            if self._config.zone_in_service(zone.name)
        ]
        by_zone = reservation.assign(self._config.promises_by_account, zones)
        self._guarantees.replace(by_zone.get(self.zone, []))
        if self._adopting:
            self._adopting = False
            self._adopt_guarantees()
        self._recount_pinned()
        self._locate_guarantees()

    def _adopt_guarantees(self) -> None:
        """Matches adopted runs to unused guarantees of their accounts.

        The earlier placing host held the assignment in memory only. Runs that
        cannot be stopped come first, since their capacity cannot be reclaimed.
        """
        adopted = sorted(
            self.runs.runs_by_id.values(),
            key=lambda run: (run.job.spec.preemptible, run.job.job_id),
        )
        for run in adopted:
            guarantees = self._guarantees.guarantees_by_account.get(
                run.job.account, ()
            )
            for guarantee in guarantees:
                if guarantee.job_id or not guarantee.fits(run.job.spec):
                    continue
                self._guarantees.move(
                    guarantee, _guarantee_parts(guarantee, run)
                )
                self._guarantees.occupy(guarantee, run.job.job_id)
                break

    def _recount_pinned(self) -> None:
        """Recounts capacity used outside guarantees by runs that lose work.

        `pinned` counts the runs that cannot be stopped, `exposed` also those
        that would lose their work in a stop.
        """
        for row in self._free.rows_by_id.values():
            row.pinned = 0
            row.exposed = 0
        self._exposed_ids.clear()
        for run in self.runs.runs_by_id.values():
            self._mark_exposed(run)

    def _locate_guarantees(self) -> None:
        for guarantee in self._guarantees:
            if not guarantee.job_id:
                self._guarantees.locate(guarantee)
        totals: dict[str, int] = {}
        for row in self._free.rows_by_id.values():
            if row.enabled:
                rack = row.endpoint.rack
                left = row.endpoint.accelerators - row.reserved
                totals[rack] = totals.get(rack, 0) + left
        self._largest_unreserved = max(totals.values(), default=0)

    def _update_enabled(self, endpoint_id: str, now_ms: int) -> None:
        row = self._free.rows_by_id.get(endpoint_id)
        if row is None:
            return
        row.suspect = self.quarantine.is_suspect(endpoint_id)
        until_ms = self.quarantine.until_ms(endpoint_id)
        endpoint = self.endpoints_by_id[endpoint_id]
        self._free.set_enabled(
            endpoint_id,
            now_ms >= until_ms
            and not endpoint.leaving
            and self._config.endpoint_active(endpoint_id),
        )

    def _update_queue(self, job: jobs.Job) -> None:
        """Adds a job to the queue or removes it, according to its state."""
        waiting = (
            job.state is jobs.JobState.QUEUED
            and job.zone == self.zone
            and job.job_id not in self.runs.runs_by_id
        )
        if waiting:
            self._queue.put(job)
            self._dirty = True
            if job.deadline_ms:
                heapq.heappush(self._deadlines, (job.deadline_ms, job.job_id))
            return
        self._queue.discard(job.job_id)
        claim = self._claims_by_job.get(job.job_id)
        if claim is not None:
            self._release_claim(claim)
        if job.state is jobs.JobState.ENDED:
            self._backoff.reset(job.job_id)
            self._moves.forget(job.job_id)
        self._guarantee_due_since_by_id.pop(job.job_id, None)

    def _record_run_time(self, job: jobs.Job) -> None:
        """Records the duration of a complete run in this zone."""
        if not isinstance(job.outcome, verdict.Ran) or job.checkpoint:
            return
        speeds = [
            self.endpoints_by_id[endpoint_id].speed
            for endpoint_id in job.endpoints
            if endpoint_id in self.endpoints_by_id
        ]
        if not speeds:
            return
        ran_ms = job.ended_at_ms - job.started_at_ms
        self.estimates.record_run(job.account, job.spec, ran_ms, min(speeds))

    def _total_accelerators(self) -> int:
        return sum(
            row.endpoint.accelerators for row in self._free.rows_by_id.values()
        )

    # Runs.

    def _start(
        self, job: jobs.Job, endpoint_ids: tuple[str, ...]
    ) -> list[actions.Action]:
        self._queue.discard(job.job_id)
        self._guarantee_due_since_by_id.pop(job.job_id, None)
        wanted = self.runs.start(job, endpoint_ids)
        run = self.runs.runs_by_id[job.job_id]
        self._allocate_run(run, 1)
        self._mark_exposed(run)
        self._usage.update(job, True)
        self._ramp.note_start(job.spec.accelerators)
        return wanted

    def _allocate_run(self, run: gang.Run, sign: int) -> None:
        for endpoint_id in run.endpoint_ids:
            self._free.allocate(run.job.job_id, run.job.spec, endpoint_id, sign)

    def _mark_exposed(self, run: gang.Run) -> None:
        job = run.job
        if (
            job.spec.checkpointable
            or self._guarantees.of_job(job.job_id) is not None
        ):
            return
        self._exposed_ids.add(job.job_id)
        self._add_exposed(run, 1)

    def _add_exposed(self, run: gang.Run, sign: int) -> None:
        size = run.job.spec.accelerators_per_part
        for endpoint_id in run.endpoint_ids:
            row = self._free.rows_by_id.get(endpoint_id)
            if row is not None:
                row.exposed += sign * size
                if not run.job.spec.preemptible:
                    row.pinned += sign * size

    def _check_quota(self, result: actions.Appended, now_ms: int) -> None:
        """Stops a run whose start exceeds the quota of its account.

        Zones start work concurrently; the order of the log decides which start
        exceeds the quota.
        """
        record = result.record
        if not isinstance(record, records.Starting) or not result.applied:
            return
        run = self.runs.runs_by_id.get(record.job_id)
        if run is None:
            return
        if self._usage.used(run.job.account) > self._quota(run.job.account):
            run.preempt("the quota of the account is used up", now_ms)

    def _close_runs(self) -> None:
        now_ms = self._clock.now_ms()
        for run in self.runs.take_done():
            job_id = run.job.job_id
            self._allocate_run(run, -1)
            if job_id in self._exposed_ids:
                self._exposed_ids.discard(job_id)
                self._add_exposed(run, -1)
            guarantee = self._guarantees.release(job_id)
            if guarantee is not None:
                self._guarantees.locate(guarantee)
            self._stopping_ms_by_id.pop(job_id, None)
            self._update_health(run, now_ms)
            if run.outcome is None:
                self._back_off(run, now_ms)
            else:
                self._backoff.reset(job_id)
            job = self._jobs.get(job_id)
            if job is not None:
                self._usage.update(job, False)
                self._update_queue(job)
            self._dirty = True

    def _update_health(self, run: gang.Run, now_ms: int) -> None:
        if run.failed_endpoint:
            endpoint_id = run.failed_endpoint
            self.quarantine.record_failure(endpoint_id, run.job.job_id, now_ms)
            until_ms = self.quarantine.until_ms(endpoint_id)
            if until_ms > now_ms:
                heapq.heappush(self._wakeups, (until_ms, endpoint_id))
            self._update_enabled(endpoint_id, now_ms)
            self._locate_guarantees()
            return
        if not isinstance(run.outcome, verdict.Ran):
            return
        for endpoint_id in run.endpoint_ids:
            if self.quarantine.is_suspect(endpoint_id):
                self.quarantine.record_success(endpoint_id)
                self._update_enabled(endpoint_id, now_ms)

    def _back_off(self, run: gang.Run, now_ms: int) -> None:
        job_id = run.job.job_id
        if run.may_have_run:
            # The run was stopped, not refused, so it may restart without a
            # backoff.
            return
        until_ms = self._backoff.record_failure(job_id, now_ms)
        heapq.heappush(self._wakeups, (until_ms, job_id))

    def _process_wakeups(self, now_ms: int) -> None:
        """Re-examines jobs and endpoints whose backoff or quarantine ended."""
        while self._wakeups and self._wakeups[0][0] <= now_ms:
            _, name = heapq.heappop(self._wakeups)
            self._dirty = True
            if name in self.endpoints_by_id:
                self._update_enabled(name, now_ms)
                self._locate_guarantees()

    def _expire_deadlines(self, now_ms: int) -> list[actions.Action]:
        wanted: list[actions.Action] = []
        while self._deadlines and self._deadlines[0][0] < now_ms:
            deadline_ms, job_id = heapq.heappop(self._deadlines)
            job = self._queue.get(job_id)
            if job is None or job.deadline_ms != deadline_ms:
                continue
            outcome: verdict.Verdict = verdict.NotRun(
                "the deadline passed while the request waited"
            )
            if job.may_have_run:
                outcome = verdict.RanFailed("the deadline passed")
            ended = records.Ended(job.job_id, job.run, outcome, now_ms)
            wanted.append(actions.Append(ended))
        return wanted

    # Placement.

    def _quota(self, account: str) -> int:
        promise = self._config.promises_by_account.get(account)
        return promise.quota_accelerators if promise is not None else 0

    def _is_eligible(self, job: jobs.Job, now_ms: int) -> bool:
        if self._backoff.is_paused(job.job_id, now_ms):
            return False
        if job.job_id in self._claims_by_job:
            return False
        needed = job.spec.accelerators
        used = self._usage.used(job.account)
        if used + needed > self._quota(job.account):
            return False
        if self.stopped_by_operator:
            return False
        return self._ramp.allows(self._total_accelerators(), now_ms)

    def _avoided(self, job: jobs.Job) -> tuple[str, ...]:
        """Endpoints on which the job failed.

        Empty if the job has parts for more than half of the zone's endpoints.
        """
        if job.spec.parts * 2 > len(self.endpoints_by_id):
            return ()
        return job.failed_endpoints

    def _fill_guarantees(self, now_ms: int) -> list[actions.Action]:
        """Starts waiting jobs within unused guarantees of their accounts."""
        wanted: list[actions.Action] = []
        for account in self._accounts_by_urgency():
            for guarantee in self._guarantees.guarantees_by_account.get(
                account, ()
            ):
                if guarantee.job_id:
                    continue
                for job in self._jobs_for(guarantee, now_ms):
                    new_actions = self._fill_guarantee(guarantee, job, now_ms)
                    if new_actions is not None:
                        wanted.extend(new_actions)
                        break
        return wanted

    def _accounts_by_urgency(self) -> list[str]:
        promises = self._config.promises_by_account
        return sorted(
            (a for a in self._queue.accounts() if a in promises),
            key=lambda a: promises[a].urgency is not model.Urgency.URGENT,
        )

    def _jobs_for(
        self, guarantee: reservation.Guarantee, now_ms: int
    ) -> list[jobs.Job]:
        """Returns the first jobs of the account that fit the guarantee."""
        found = []
        for index, job in enumerate(self._queue.of_account(guarantee.account)):
            if index >= JOBS_PER_GUARANTEE or len(found) >= PLANS_PER_GUARANTEE:
                break
            if guarantee.fits(job.spec) and self._is_eligible(job, now_ms):
                found.append(job)
        return found

    def _fill_guarantee(
        self, guarantee: reservation.Guarantee, job: jobs.Job, now_ms: int
    ) -> list[actions.Action] | None:
        """Starts the job or claims its capacity; None if there is no plan."""
        plan = self._plan(guarantee, job, now_ms)
        if plan is None:
            return None
        self._guarantee_due_since_by_id.setdefault(job.job_id, now_ms)
        self._guarantees.move(guarantee, plan.parts_by_endpoint)
        self._guarantees.occupy(guarantee, job.job_id)
        deferred = self._loses_work(plan) and now_ms < self._reclaim_from_ms(
            job
        )
        return self._claim(job, plan, deferred, now_ms)

    def _reclaim_from_ms(self, job: jobs.Job) -> int:
        """Returns when work may be stopped for a job within a guarantee."""
        since_ms = self._guarantee_due_since_by_id.get(job.job_id, 0)
        return since_ms + reclaim.GRACE_MS

    def _loses_work(self, plan: reclaim.Plan) -> bool:
        for victim_id in plan.victim_ids:
            run = self.runs.runs_by_id[victim_id]
            if run.phase is not gang.Phase.RUNNING:
                continue
            if not run.job.spec.checkpointable:
                return True
        return False

    def _claim(
        self, job: jobs.Job, plan: reclaim.Plan, deferred: bool, now_ms: int
    ) -> list[actions.Action]:
        """Allocates capacity in advance and requests stops unless deferred."""
        claim = _Claim(
            job, plan.endpoint_ids, plan.victim_ids, now_ms, deferred
        )
        self._claims_by_job[job.job_id] = claim
        self._allocate_claim(claim, 1)
        wanted: list[actions.Action] = []
        if not deferred:
            for victim_id in plan.victim_ids:
                reason = f"its capacity is needed for {job.job_id}"
                wanted.extend(self._stop(victim_id, reason, now_ms))
        wanted.extend(self._advance_claim(claim, now_ms))
        return wanted

    def _plan(
        self, guarantee: reservation.Guarantee, job: jobs.Job, now_ms: int
    ) -> reclaim.Plan | None:
        """Plans on the guarantee's endpoints if free, else on all endpoints."""
        avoid = {*self._avoided(job), *_crashed_ids(job)}
        slow = {
            endpoint_id
            for endpoint_id, until_ms in self._slow_until_by_id.items()
            if until_ms > now_ms
        }
        own = [
            self._free.rows_by_id[endpoint_id]
            for endpoint_id in guarantee.parts_by_endpoint
            if endpoint_id in self._free.rows_by_id
        ]
        for rows, avoided in (
            (own, avoid | slow),
            (self._free.rows_by_id.values(), avoid | slow),
            (self._free.rows_by_id.values(), avoid),
            (self._free.rows_by_id.values(), ()),
        ):
            plan = reclaim.plan(
                guarantee,
                job.spec,
                rows,
                lambda row: self._victims(row, now_ms),
                self._freeing_accelerators,
                avoided,
            )
            if plan is None:
                continue
            if rows is own and plan.victim_ids:
                continue
            return plan
        return None

    def _victims(self, row: placement.Row, now_ms: int) -> list[reclaim.Victim]:
        victims = []
        for job_id, parts in row.parts_by_job.items():
            run = self.runs.runs_by_id.get(job_id)
            if run is None or not self._may_stop(run):
                continue
            spec = run.job.spec
            job = self._jobs.get(job_id)
            at_risk_ms = max(0, now_ms - job.started_at_ms)
            if run.phase is not gang.Phase.RUNNING:
                at_risk_ms = 0
            if spec.checkpointable:
                at_risk_ms = min(at_risk_ms, CHECKPOINT_COST_MS)
            # Weighted by the run number, so that the same job is not chosen
            # repeatedly.
            lost_work = at_risk_ms * spec.accelerators * run.run
            if spec.urgency is model.Urgency.URGENT:
                lost_work *= URGENT_WEIGHT
            victims.append(
                reclaim.Victim(
                    job_id, spec.accelerators_per_part * parts, lost_work
                )
            )
        return victims

    def _may_stop(self, run: gang.Run) -> bool:
        return (
            run.job.spec.preemptible
            and run.phase not in _STOPPING
            and run.job.job_id not in self._stopping_ms_by_id
            and self._guarantees.of_job(run.job.job_id) is None
        )

    def _freeing_accelerators(self, row: placement.Row) -> int:
        """Returns the accelerators that pending stops will free on a row."""
        freeing = 0
        for job_id, parts in row.parts_by_job.items():
            if job_id in self._stopping_ms_by_id:
                run = self.runs.runs_by_id.get(job_id)
                if run is not None:
                    freeing += parts * run.job.spec.accelerators_per_part
        return freeing

    def _stop(
        self, job_id: str, reason: str, now_ms: int
    ) -> list[actions.Action]:
        run = self.runs.runs_by_id.get(job_id)
        if run is None:
            return []
        self._stopping_ms_by_id[job_id] = now_ms
        return run.preempt(reason, now_ms)

    def _allocate_claim(self, claim: _Claim, sign: int) -> None:
        for endpoint_id in claim.endpoint_ids:
            self._free.allocate(
                claim.job.job_id, claim.job.spec, endpoint_id, sign
            )

    def _release_claim(self, claim: _Claim) -> None:
        del self._claims_by_job[claim.job.job_id]
        self._allocate_claim(claim, -1)
        self._guarantees.release(claim.job.job_id)
        self._dirty = True

    def _advance_claims(self, now_ms: int) -> list[actions.Action]:
        wanted: list[actions.Action] = []
        for claim in list(self._claims_by_job.values()):
            wanted.extend(self._advance_claim(claim, now_ms))
        return wanted

    def _advance_claim(
        self, claim: _Claim, now_ms: int
    ) -> list[actions.Action]:
        """Starts the job once its capacity is free; drops the claim on timeout.

        Endpoints that have not confirmed a stop by then are avoided in reclaims
        for `SLOW_STOP_AVOID_MS`.
        """
        rows = [self._free.rows_by_id.get(e) for e in claim.endpoint_ids]
        usable = all(row is not None and row.enabled for row in rows)
        if usable and all(_has_no_deficit(row) for row in rows):
            self._allocate_claim(claim, -1)
            del self._claims_by_job[claim.job.job_id]
            return self._start(claim.job, claim.endpoint_ids)
        limit_ms = (
            reclaim.GRACE_MS if claim.deferred else reclaim.CONFIRM_TIMEOUT_MS
        )
        if usable and now_ms - claim.since_ms < limit_ms:
            return []
        for victim_id in claim.victim_ids:
            run = self.runs.runs_by_id.get(victim_id)
            if run is None or victim_id not in self._stopping_ms_by_id:
                continue
            for part in run.parts:
                if part.state in ("running", "held", "unknown"):
                    until_ms = now_ms + SLOW_STOP_AVOID_MS
                    self._slow_until_by_id[part.endpoint_id] = until_ms
        self._release_claim(claim)
        return []

    def _place(self, now_ms: int) -> list[actions.Action]:
        """Starts waiting jobs on free capacity, in queue order."""
        wanted: list[actions.Action] = []
        failed: set[tuple] = set()
        shadow: backfill.Shadow | None = None
        for index, job in enumerate(list(self._first_jobs())):
            if index >= JOBS_PER_PASS:
                break
            if not self._is_eligible(job, now_ms):
                continue
            spec = job.spec
            key = (
                spec.parts,
                spec.accelerators_per_part,
                spec.cpus_per_part,
                spec.memory_mb_per_part,
                spec.adjacency,
                spec.preemptible,
            )
            if key in failed and not job.failed_endpoints:
                continue
            limit = self._parts_limit(job, shadow, now_ms)
            chosen = self._choose(job, limit)
            if chosen is not None:
                wanted.extend(self._start(job, chosen))
                continue
            claimed = self._consolidate(job, now_ms)
            if claimed is not None:
                wanted.extend(claimed)
                continue
            if shadow is None and self._needs_reservation(job, now_ms):
                shadow = self._find_shadow(job, now_ms)
            else:
                failed.add(key)
        return wanted

    def _choose(
        self, job: jobs.Job, limit: Callable[[placement.Row], int] | None
    ) -> tuple[str, ...] | None:
        """Returns free endpoints for a job, None if it does not fit.

        Endpoints that crashed under the job are used only if it fits on no
        others.
        """
        spec = job.spec
        avoided = self._avoided(job)
        limits = [limit]
        if spec.preemptible and not spec.checkpointable:
            limits.insert(0, _unexposed_limit(job, limit))
        for avoid in ((*avoided, *_crashed_ids(job)), avoided):
            for one_limit in limits:
                chosen = self._free.choose(spec, one_limit, avoid)
                if chosen is not None:
                    return chosen
            if not job.crashes:
                break
        return None

    def _needs_reservation(self, job: jobs.Job, now_ms: int) -> bool:
        """Whether a gang has waited long enough for a backfill reservation."""
        waited_ms = now_ms - job.submitted_at_ms
        run_ms = self.estimates.run_ms(job.account, job.spec)
        return waited_ms >= min(run_ms, MAX_SHADOW_DELAY_MS)

    def _consolidate(
        self, job: jobs.Job, now_ms: int
    ) -> list[actions.Action] | None:
        """Checkpoints runs to consolidate idle accelerators for a gang.

        Returns None if the emptiest rack has less than a quarter of what the
        gang needs free, or if the runs to stop use more than three quarters of
        that.
        """
        spec = job.spec
        waited_ms = now_ms - job.submitted_at_ms
        if not spec.preemptible or waited_ms < CONSOLIDATE_AFTER_MS:
            return None
        if not spec.accelerators_per_part:
            return None
        if self._free.largest_free_rack * 4 < spec.accelerators:
            return None
        plan = reclaim.plan(
            reservation.unguaranteed(job.account, spec),
            spec,
            self._free.rows_by_id.values(),
            lambda row: self._movable(row, now_ms),
            lambda row: 0,
            self._avoided(job),
            borrow=True,
        )
        if plan is None:
            return None
        stopped = sum(
            self.runs.runs_by_id[victim_id].job.spec.accelerators
            for victim_id in plan.victim_ids
        )
        if stopped * 4 > spec.accelerators * 3:
            return None
        return self._claim(job, plan, False, now_ms)

    def _movable(self, row: placement.Row, now_ms: int) -> list[reclaim.Victim]:
        """Returns checkpointable runs that have run for `MOVABLE_AFTER_MS`."""
        movable = []
        for victim in self._victims(row, now_ms):
            run = self.runs.runs_by_id[victim.job_id]
            if run.phase is not gang.Phase.RUNNING:
                continue
            started_ms = self._jobs.get(victim.job_id).started_at_ms
            if not run.job.spec.checkpointable:
                continue
            if now_ms - started_ms >= MOVABLE_AFTER_MS:
                movable.append(victim)
        return movable

    def _first_jobs(self) -> Iterable[jobs.Job]:
        for index, job in enumerate(self._queue.in_order()):
            if index >= JOBS_PER_PASS:
                return
            yield job

    def _parts_limit(
        self, job: jobs.Job, shadow: backfill.Shadow | None, now_ms: int
    ):
        """Returns the limit on a job's parts per row, None if there is none.

        Work that cannot be stopped must not use reserved capacity, and no job
        may delay the gang that holds the backfill reservation.
        """
        size = job.spec.accelerators_per_part
        pinned = not job.spec.preemptible and size > 0
        if shadow is not None:
            run_ms = self.estimates.run_ms(
                job.account,
                job.spec,
                self._min_speed(),
                estimate.BACKFILL_QUANTILE,
            )
            if now_ms + run_ms <= shadow.at_ms:
                shadow = None
        if not pinned and shadow is None:
            return None

        def limit(row: placement.Row) -> int:
            if shadow is not None and (
                row.endpoint.endpoint_id in shadow.endpoint_ids
            ):
                return 0
            if pinned:
                return row.unreserved() // size
            return job.spec.parts

        return limit

    def _min_speed(self) -> float:
        return min((e.speed for e in self.endpoints_by_id.values()), default=1)

    def _find_shadow(
        self, job: jobs.Job, now_ms: int
    ) -> backfill.Shadow | None:
        ends_by_id = {}
        for job_id, run in self.runs.runs_by_id.items():
            ends_by_id[job_id] = self._expected_end(run, now_ms)
        return backfill.find(
            job.spec, self._free.rows_by_id.values(), ends_by_id, now_ms
        )

    def _expected_end(self, run: gang.Run, now_ms: int) -> int:
        job = self._jobs.get(run.job.job_id)
        started_ms = job.started_at_ms or now_ms
        speed = min(
            (
                self.endpoints_by_id[e].speed
                for e in run.endpoint_ids
                if e in self.endpoints_by_id
            ),
            default=1.0,
        )
        run_ms = self.estimates.run_ms(job.account, job.spec, speed)
        elapsed_ms = now_ms - started_ms
        # A run that exceeds its estimate is expected to take a further tenth of
        # the time it has run.
        return now_ms + max(run_ms - elapsed_ms, elapsed_ms // 10, 1)

    # Other zones.

    def _evacuate_zone(self, now_ms: int) -> list[actions.Action]:
        """Stops checkpointable runs and moves waiting jobs to other zones."""
        wanted: list[actions.Action] = []
        for claim in list(self._claims_by_job.values()):
            self._release_claim(claim)
        for job_id, run in list(self.runs.runs_by_id.items()):
            if run.phase is not gang.Phase.RUNNING:
                continue
            if run.job.spec.checkpointable:
                wanted.extend(
                    self._stop(job_id, "the zone left service", now_ms)
                )
        for index, job in enumerate(self._first_jobs()):
            if index >= moves.MOVES_PER_PASS:
                break
            moved = self._moves.move_out(
                job, self._allowed(job.account), now_ms
            )
            if moved is not None:
                wanted.append(actions.Append(moved))
        return wanted

    def _move_waiting_jobs(self, now_ms: int) -> list[actions.Action]:
        """Moves waiting jobs to zones that can start them immediately."""
        if not self._queue or not self._moves.begin_pass(now_ms):
            return []
        wanted: list[actions.Action] = []
        for job in self._first_jobs():
            if len(wanted) >= moves.MOVES_PER_PASS:
                break
            if job.job_id in self._claims_by_job:
                continue
            if not self._moves.may_move(job, now_ms):
                continue
            used = self._usage.used(job.account) + job.spec.accelerators
            if used > self._quota(job.account):
                continue
            allowed = self._allowed(job.account)
            moved = self._moves.move_to_free_capacity(job, allowed, now_ms)
            if moved is not None:
                wanted.append(actions.Append(moved))
        return wanted

    def _allowed(self, account: str) -> tuple[str, ...]:
        promise = self._config.promises_by_account.get(account)
        return moves.allowed_zones(promise)


def _crashed_ids(job: jobs.Job) -> tuple[str, ...]:
    """Returns the endpoints that crashed under the job."""
    return tuple(crash.endpoint_id for crash in job.crashes)


def _unexposed_limit(
    job: jobs.Job, limit: Callable[[placement.Row], int] | None
) -> Callable[[placement.Row], int]:
    """Limits parts further, to capacity that no reclaim will need."""
    size = max(1, job.spec.accelerators_per_part)

    def unexposed_limit(row: placement.Row) -> int:
        parts = row.unexposed() // size
        return parts if limit is None else min(parts, limit(row))

    return unexposed_limit


def _guarantee_parts(
    guarantee: reservation.Guarantee, run: gang.Run
) -> dict[str, int]:
    """Returns the parts of a guarantee that a run uses, by endpoint."""
    used: dict[str, int] = {}
    for endpoint_id in run.endpoint_ids:
        size = run.job.spec.accelerators_per_part
        used[endpoint_id] = used.get(endpoint_id, 0) + size
    return {
        endpoint_id: -(-size // guarantee.accelerators_per_part)
        for endpoint_id, size in used.items()
    }


def _has_no_deficit(row: placement.Row) -> bool:
    return (
        row.accelerators >= 0
        and row.cpus >= 0
        and row.memory_mb >= 0
        and row.slots >= 0
    )
