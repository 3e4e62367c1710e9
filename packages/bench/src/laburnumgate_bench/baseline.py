"""Baseline policies that the current scheduler is compared with.

`ThinScheduler` is the policy of the first version, `FirstComeScheduler` is
first come, first served with first fit.
"""

import dataclasses
import random

from laburnumgate_core import actions
from laburnumgate_core import clock
from laburnumgate_core import config
from laburnumgate_core import gang
from laburnumgate_core import jobs
from laburnumgate_core import model
from laburnumgate_core import records
from laburnumgate_core import runs
from laburnumgate_core import verdict

BACKOFF_MIN_MS = 200
BACKOFF_MAX_MS = 3_200
# Upper limit of placement attempts per tick.
PLACEMENTS_PER_TICK = 64

_URGENCY_ORDER = {
    model.Urgency.URGENT: 0,
    model.Urgency.NORMAL: 1,
    model.Urgency.BATCH: 2,
}


@dataclasses.dataclass(frozen=True)
class _Backoff:
    """Earliest time of the next attempt and the backoff without jitter."""

    until_ms: int
    backoff_ms: int


@dataclasses.dataclass(frozen=True)
class Summary:
    """Free capacity of a zone, as shared with other hosts."""

    free_accelerators: int
    largest_free_rack: int
    waiting_jobs: int


@dataclasses.dataclass(frozen=True)
class _FreeCapacity:
    """Free capacity of one endpoint."""

    endpoint: model.Endpoint
    accelerators: int
    cpus: int
    memory_mb: int
    slots: int

    def max_parts(self, spec: model.JobSpec) -> int:
        """Returns how many parts of `spec` fit into the free capacity."""
        counts = [self.slots]
        if spec.accelerators_per_part:
            counts.append(self.accelerators // spec.accelerators_per_part)
        if spec.cpus_per_part:
            counts.append(self.cpus // spec.cpus_per_part)
        if spec.memory_mb_per_part:
            counts.append(self.memory_mb // spec.memory_mb_per_part)
        return max(0, min(counts))


def _choose_endpoints(
    spec: model.JobSpec, free_by_rack: dict[str, list[_FreeCapacity]]
) -> tuple[str, ...] | None:
    """Returns the endpoint of each part, or None if the gang does not fit.

    Prefers the rack with the fewest free accelerators after placement, so that
    whole racks stay free for large gangs.
    """
    best = None
    min_left = 0
    for rack in sorted(free_by_rack):
        candidates = free_by_rack[rack]
        chosen = _best_fit(spec, candidates)
        if chosen is None:
            continue
        left = (
            sum(candidate.accelerators for candidate in candidates)
            - spec.accelerators
        )
        if best is None or left < min_left:
            best = chosen
            min_left = left
    if best is not None or spec.adjacency is model.Adjacency.RACK:
        return best
    return _best_fit(
        spec,
        [
            candidate
            for candidates in free_by_rack.values()
            for candidate in candidates
        ],
    )


def _best_fit(
    spec: model.JobSpec, candidates: list[_FreeCapacity]
) -> tuple[str, ...] | None:
    """Assigns parts to the endpoints with the least free capacity first.

    Returns None if not every part fits.
    """
    chosen: list[str] = []
    fullest_first = sorted(
        candidates,
        key=lambda candidate: (
            candidate.accelerators,
            candidate.endpoint.endpoint_id,
        ),
    )
    for candidate in fullest_first:
        count = min(candidate.max_parts(spec), spec.parts - len(chosen))
        chosen.extend([candidate.endpoint.endpoint_id] * count)
        if len(chosen) == spec.parts:
            return tuple(chosen)
    return None


class ThinScheduler:
    """Orders jobs by urgency and uses the fullest rack that fits (best fit)."""

    def __init__(
        self,
        zone: str,
        job_table: jobs.JobTable,
        config_table: config.ConfigTable,
        time: clock.Clock,
        rng: random.Random,
    ):
        """Creates an inactive scheduler.

        Args:
          zone: availability zone whose jobs it places.
          job_table: jobs as replayed from the log.
          config_table: configuration in force.
          time: source of the current time.
          rng: source of jitter.
        """
        self.zone = zone
        self.active = False
        self.endpoints_by_id: dict[str, model.Endpoint] = {}
        self.stopped_by_operator = False
        self.runs = runs.RunTable(zone, job_table, self.may_start)
        self._jobs = job_table
        self._config = config_table
        self._clock = time
        self._rng = rng
        self._backoff_by_id: dict[str, _Backoff] = {}

    def activate(self) -> None:
        """Starts placing; runs start only after every endpoint has reported."""
        self.active = True
        self._backoff_by_id.clear()
        self.runs.adopt(self.endpoints_by_id, self._clock.now_ms())

    def deactivate(self) -> None:
        """Stops placing; the next placing host adopts the running tasks."""
        self.active = False
        self.runs.clear()

    @property
    def recovering(self) -> bool:
        """Whether first reports of some endpoints are still missing."""
        return self.runs.recovering

    def update_endpoints(self, endpoints: list[model.Endpoint]) -> None:
        """Replaces the zone's endpoints by those of the live list."""
        by_id = {e.endpoint_id: e for e in endpoints if e.zone == self.zone}
        for endpoint_id in by_id.keys() - self.endpoints_by_id.keys():
            if self.active:
                self.runs.expect_report(endpoint_id)
        for endpoint_id in self.endpoints_by_id.keys() - by_id.keys():
            self.runs.forget_endpoint(endpoint_id)
        self.endpoints_by_id = by_id

    def may_start(self, endpoint_id: str) -> bool:
        """Returns whether new work may currently start on the endpoint."""
        endpoint = self.endpoints_by_id.get(endpoint_id)
        if endpoint is None or endpoint.leaving or self.stopped_by_operator:
            return False
        if not self._config.zone_in_service(self.zone):
            return False
        return self._config.endpoint_active(endpoint_id)

    def on(self, result: actions.Result) -> list[actions.Action]:
        """Handles the result of an action and returns the next actions."""
        next_actions = self.runs.on(result, self._clock.now_ms())
        self._close_runs()
        return next_actions

    def tick(self) -> list[actions.Action]:
        """Expires overdue jobs, places waiting ones and advances the runs."""
        if not self.active:
            return []
        now_ms = self._clock.now_ms()
        next_actions = self.runs.tick(now_ms)
        if not self.recovering:
            next_actions.extend(self._expire(now_ms))
            next_actions.extend(self._place(now_ms))
        self._close_runs()
        return next_actions

    def summary(self) -> Summary:
        """Returns the free capacity and the queue length of the zone."""
        racks = [
            sum(candidate.accelerators for candidate in candidates)
            for candidates in self._free_by_rack().values()
        ]
        return Summary(sum(racks), max(racks, default=0), len(self._waiting()))

    def _expire(self, now_ms: int) -> list[actions.Action]:
        next_actions: list[actions.Action] = []
        for job in self._waiting():
            if not job.deadline_ms or now_ms <= job.deadline_ms:
                continue
            outcome: verdict.Verdict = verdict.NotRun(
                "the deadline passed while the request waited"
            )
            if job.may_have_run:
                outcome = verdict.RanFailed("the deadline passed")
            ended = records.Ended(job.job_id, job.run, outcome, now_ms)
            next_actions.append(actions.Append(ended))
        return next_actions

    def _place(self, now_ms: int) -> list[actions.Action]:
        next_actions: list[actions.Action] = []
        free_by_rack = self._free_by_rack()
        attempts = 0
        for job in sorted(self._waiting(), key=self._priority_key):
            backoff = self._backoff_by_id.get(job.job_id)
            if backoff is not None and now_ms < backoff.until_ms:
                continue
            if attempts >= PLACEMENTS_PER_TICK:
                break
            if not self._within_quota(job):
                continue
            attempts += 1
            chosen = self._choose_endpoints(job.spec, free_by_rack)
            if chosen is None:
                continue
            next_actions.extend(self.runs.start(job, chosen))
            free_by_rack = self._free_by_rack()
        return next_actions

    def _priority_key(self, job: jobs.Job) -> tuple:
        return _priority_key(job)

    def _within_quota(self, job: jobs.Job) -> bool:
        # The first version did not enforce quotas.
        return True

    def _choose_endpoints(
        self, spec: model.JobSpec, free_by_rack: dict[str, list[_FreeCapacity]]
    ) -> tuple[str, ...] | None:
        return _choose_endpoints(spec, free_by_rack)

    def _waiting(self) -> list[jobs.Job]:
        waiting = []
        for job_id in self._jobs.open_ids(self.zone):
            if job_id in self.runs.runs_by_id:
                continue
            job = self._jobs.get(job_id)
            if job.state is jobs.JobState.QUEUED:
                waiting.append(job)
        return waiting

    def _free_by_rack(self) -> dict[str, list[_FreeCapacity]]:
        used_by_id: dict[str, list[model.JobSpec]] = {}
        for run in self.runs.runs_by_id.values():
            for endpoint_id in run.endpoint_ids:
                used_by_id.setdefault(endpoint_id, []).append(run.job.spec)
        free_by_rack: dict[str, list[_FreeCapacity]] = {}
        for endpoint_id, endpoint in self.endpoints_by_id.items():
            if not self.may_start(endpoint_id):
                continue
            used = used_by_id.get(endpoint_id, [])
            free = _free_capacity(endpoint, used)
            free_by_rack.setdefault(endpoint.rack, []).append(free)
        return free_by_rack

    def _close_runs(self) -> None:
        now_ms = self._clock.now_ms()
        for run in self.runs.take_done():
            if run.outcome is None:
                self._back_off(run, now_ms)
            else:
                self._backoff_by_id.pop(run.job.job_id, None)

    def _back_off(self, run: gang.Run, now_ms: int) -> None:
        last = self._backoff_by_id.get(run.job.job_id)
        backoff_ms = BACKOFF_MIN_MS
        if last is not None:
            backoff_ms = min(BACKOFF_MAX_MS, last.backoff_ms * 2)
        jitter_ms = self._rng.randrange(backoff_ms)
        self._backoff_by_id[run.job.job_id] = _Backoff(
            now_ms + backoff_ms + jitter_ms, backoff_ms
        )


def _free_capacity(
    endpoint: model.Endpoint, used: list[model.JobSpec]
) -> _FreeCapacity:
    return _FreeCapacity(
        endpoint=endpoint,
        accelerators=endpoint.accelerators
        - sum(spec.accelerators_per_part for spec in used),
        cpus=endpoint.cpus - sum(spec.cpus_per_part for spec in used),
        memory_mb=endpoint.memory_mb
        - sum(spec.memory_mb_per_part for spec in used),
        slots=endpoint.slots - len(used),
    )


def _priority_key(job: jobs.Job) -> tuple[int, int, str]:
    return (
        _URGENCY_ORDER[job.spec.urgency],
        job.submitted_at_ms,
        job.job_id,
    )


class FirstComeScheduler(ThinScheduler):
    """First come, first served with first fit.

    A job that does not fit does not block later ones. Quotas are enforced, as
    in every policy that could be deployed.
    """

    def _within_quota(self, job: jobs.Job) -> bool:
        used = sum(
            run.job.spec.accelerators
            for run in self.runs.runs_by_id.values()
            if run.job.account == job.account
        )
        for zone in self._config.zones_by_name:
            if zone == self.zone:
                continue
            for job_id in self._jobs.open_ids(zone):
                other = self._jobs.get(job_id)
                if other.account != job.account:
                    continue
                if other.state is jobs.JobState.ACTIVE:
                    used += other.spec.accelerators
        promise = self._config.promises_by_account[job.account]
        return used + job.spec.accelerators <= promise.quota_accelerators

    def _priority_key(self, job: jobs.Job) -> tuple:
        return (job.submitted_at_ms, job.job_id)

    def _choose_endpoints(
        self, spec: model.JobSpec, free_by_rack: dict[str, list[_FreeCapacity]]
    ) -> tuple[str, ...] | None:
        racks = [free_by_rack[rack] for rack in sorted(free_by_rack)]
        if spec.adjacency is model.Adjacency.ZONE:
            racks = [
                [candidate for candidates in racks for candidate in candidates]
            ]
        for candidates in racks:
            chosen: list[str] = []
            for candidate in sorted(
                candidates, key=lambda r: r.endpoint.endpoint_id
            ):
                count = min(candidate.max_parts(spec), spec.parts - len(chosen))
                chosen.extend([candidate.endpoint.endpoint_id] * count)
            if len(chosen) == spec.parts:
                return tuple(chosen)
        return None
