"""In-memory state of the leader, shared by its components."""

import asyncio
import collections

from laburnumgate_core import clock

from laburnumgate_placer import advice
from laburnumgate_placer import config_table
from laburnumgate_placer import crashes
from laburnumgate_placer import durations
from laburnumgate_placer import endpoint_table
from laburnumgate_placer import job_table
from laburnumgate_placer import limits
from laburnumgate_placer import model
from laburnumgate_placer import policy as policy_module
from laburnumgate_placer import pool_capacity
from laburnumgate_placer import progress
from laburnumgate_placer.accounts import usage
from laburnumgate_placer.overload import probes


class Tables:
    """State of one leadership term.

    Attributes:
      token: fencing token of the term.
      usage: what each account may have running.
      capacity: capacity of the listed endpoints, as of the latest pass that
        needed it.
      entries_by_id: open jobs, and ended jobs that still have runs.
      dirty: ids of jobs with progress that is not recorded yet.
      probes: limits the calls that are made because of orders in doubt.
      recorded_starts: pending start orders that are recorded, by the id of the
        endpoint, task and run.
      assigned_runs: runs to start once their assignment is recorded.
      launching_by_job: number of tasks, by job, that were assigned and whose
        start is being recorded or ordered.
      pending_stops: members to stop.
      shares_paused_until_ms: monotonic time until which shares of accounts do
        not count in the order, after an error.
      wake: set when a placement pass or a flush may be due.
    """

    def __init__(
        self,
        token: int,
        monotonic: clock.Clock,
        wall: clock.Clock,
        config: config_table.ConfigTable,
        jobs: job_table.JobTable,
        bounds: limits.Bounds,
        policy: policy_module.Policy | None = None,
    ):
        self.token = token
        self.monotonic = monotonic
        self.wall = wall
        self.config = config
        self.jobs = jobs
        self.bounds = bounds
        self.policy = policy or policy_module.Policy()
        self.endpoints = endpoint_table.EndpointTable(bounds.max_list_age_ms)
        self.durations = durations.DurationTable(
            # Endpoints that are left to urgent gangs run little else.
            gangs_share_pace=self.policy.urgent_headroom
        )
        self.advice = advice.AdviceTable()
        self.crashes = crashes.CrashTable()
        self.usage = usage.UsageLedger()
        self.capacity = pool_capacity.PoolCapacity()
        self.entries_by_id: dict[str, progress.JobEntry] = {}
        self.dirty: set[str] = set()
        self.probes = probes.Budget()
        self.recorded_starts: set[tuple[str, model.TaskKey, int]] = set()
        self.assigned_runs: list[progress.Run] = []
        self.launching_by_job: collections.Counter[str] = collections.Counter()
        self.pending_stops: list[progress.Member] = []
        self.shares_paused_until_ms = 0
        self.wake = asyncio.Event()

    def queue_of(self, job: model.Job) -> model.Queue:
        """Returns the current configuration of the job's queue.

        Falls back to the configuration at submission if the queue is gone.
        """
        config = self.config.current
        if config is None:
            return job.queue
        return config.queues_by_name.get(job.queue.name, job.queue)

    def take_assigned(self) -> list[progress.Run]:
        """Returns the assigned runs; they count as launching from now on."""
        runs, self.assigned_runs = self.assigned_runs, []
        for run in runs:
            self.launching_by_job[run.unit.key.job_id] += len(run.members)
        return runs

    def end_launch(self, run: progress.Run) -> None:
        """Records that no more start orders of a taken run are to be sent."""
        job_id = run.unit.key.job_id
        self.launching_by_job[job_id] -= len(run.members)
        if not self.launching_by_job[job_id]:
            del self.launching_by_job[job_id]
        self.wake.set()

    def mark_dirty(self, job_id: str) -> None:
        """Marks the progress of a job as not recorded."""
        self.dirty.add(job_id)
        self.wake.set()
