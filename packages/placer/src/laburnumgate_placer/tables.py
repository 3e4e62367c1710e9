"""What the leader knows and intends: tables that its systems work on."""

import asyncio

from laburnumgate_core import clock

from laburnumgate_placer import advice
from laburnumgate_placer import config_table
from laburnumgate_placer import durations
from laburnumgate_placer import endpoint_table
from laburnumgate_placer import job_table
from laburnumgate_placer import limits
from laburnumgate_placer import model
from laburnumgate_placer import progress


class Tables:
    """State of one tenure of the lead.

    Attributes:
      token: fencing token of the tenure.
      entries_by_id: open jobs, and ended ones with runs left.
      dirty: ids of jobs whose progress must be recorded.
      assigned: runs that start once their record is stored.
      stops: members that must be stopped.
      wake: is set when a placement pass or a record may be due.
    """

    def __init__(
        self,
        token: int,
        steady: clock.Clock,
        wall: clock.Clock,
        config: config_table.ConfigTable,
        jobs: job_table.JobTable,
        bounds: limits.Bounds,
    ):
        self.token = token
        self.steady = steady
        self.wall = wall
        self.config = config
        self.jobs = jobs
        self.bounds = bounds
        self.endpoints = endpoint_table.EndpointTable()
        self.durations = durations.DurationTable()
        self.advice = advice.AdviceTable()
        self.entries_by_id: dict[str, progress.JobEntry] = {}
        self.dirty: set[str] = set()
        self.assigned: list[progress.Run] = []
        self.stops: list[progress.Member] = []
        self.wake = asyncio.Event()

    def queue_of(self, job: model.Job) -> model.Queue:
        """Returns the job's queue as configured now, or as it once was."""
        config = self.config.current
        if config is None:
            return job.queue
        return config.queues_by_name.get(job.queue.name, job.queue)

    def mark_dirty(self, job_id: str) -> None:
        """Marks a job's progress as changed."""
        self.dirty.add(job_id)
        self.wake.set()
