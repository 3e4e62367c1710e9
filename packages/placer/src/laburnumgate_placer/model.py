"""Immutable data model: jobs, steps, queues, accounts and endpoints."""

import dataclasses
import enum

# Task index of a `UnitKey` that addresses all tasks of a gang step.
GANG_INDEX = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """Resources that a task requests or an endpoint offers.

    Attributes:
      cpu: CPU in millicores.
      mem_mb: memory in MB.
      gpu: number of accelerators.
    """

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0

    def plus(self, other: "Resources", times: int = 1) -> "Resources":
        """Returns the sum of this and `times` times `other`."""
        return Resources(
            self.cpu + other.cpu * times,
            self.mem_mb + other.mem_mb * times,
            self.gpu + other.gpu * times,
        )

    def count_fitting(self, task: "Resources") -> int:
        """Returns how many tasks of this size fit, 0 if any amount is negative.

        The amounts left on an endpoint that has shrunk may be negative.
        """
        if min(self.cpu, self.mem_mb, self.gpu) < 0:
            return 0
        most = 1_000_000
        if task.cpu > 0:
            most = min(most, self.cpu // task.cpu)
        if task.mem_mb > 0:
            most = min(most, self.mem_mb // task.mem_mb)
        if task.gpu > 0:
            most = min(most, self.gpu // task.gpu)
        return most


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A step of a job: a number of identical tasks.

    Attributes:
      count: number of tasks.
      room: resources that one task requests.
      estimate_ms: declared duration of a task; often wrong by half.
      after: numbers of the steps that must complete first.
      gang: whether all tasks are scheduled together or not at all.
      same_rack: whether tasks slow down when spread over several racks.
      checkpointing: whether a stopped task can resume from a checkpoint.
      label: label that an endpoint must have, empty for any.
      data_rack: rack that holds the input data, on which tasks run faster;
        empty for none.
      max_per_endpoint: maximum tasks of the step per endpoint, 0 for no
        limit.
      speculative: whether copies of a task may run concurrently.
      long_running: whether tasks run until the job is cancelled.
      may_miss: disruption budget: maximum number of tasks that the placer
        may take down at the same time.
      target_ms: tail latency target of a serving task, 0 for none.
      fills: whether the task runs on CPU that other tasks leave idle
        (best effort).
      image: image that the tasks run; tasks of one image are assumed to
        behave alike.
    """

    count: int
    room: Resources
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    checkpointing: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_endpoint: int = 0
    speculative: bool = False
    long_running: bool = False
    may_miss: int = 0
    target_ms: int = 0
    fills: bool = False
    image: str = ""

    @property
    def charged(self) -> Resources:
        """Resources of a task that count against an endpoint's capacity."""
        if self.fills:
            return dataclasses.replace(self.room, cpu=0)
        return self.room


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A job queue and its service level.

    Attributes:
      name: name in the configuration.
      hostname: virtual host name of the queue's HTTP API.
      prefix: path prefix of its jobs.
      service: name of the endpoint pool that runs its tasks.
      priority: 0 is the highest, and may preempt others.
      attempts: number of failed runs of a task after which the job fails.
      stretch: completion objective as a multiple of the job's critical
        path.
      objective_ms: constant part of the completion objective.
      public: whether callers need no API key.
      advised: whether an external advisor decides which endpoints may run
        a step.
    """

    name: str
    hostname: str
    prefix: str
    service: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    objective_ms: int = 0
    public: bool = False
    advised: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A job as submitted by a caller.

    Attributes:
      job_id: id chosen by the caller.
      queue: queue of the job, as configured at submission.
      account: client account, empty on a public queue.
      payload: opaque text that is passed to the endpoints.
      steps: steps in order; the index is the step number.
      accepted_ms: Unix ms at which a host accepted the job.
      first_start_ms: Unix ms at which occurrence 0 is due, if scheduled.
      interval_ms: time between occurrences.
      occurrences: how many times the steps run, at least 1.
      scheduled: whether occurrences have a due time.
    """

    job_id: str
    queue: Queue
    account: str
    payload: str
    steps: tuple[Step, ...]
    accepted_ms: int
    first_start_ms: int = 0
    interval_ms: int = 0
    occurrences: int = 1
    scheduled: bool = False

    def due_ms(self, occurrence: int) -> int:
        """Returns the Unix ms at which the occurrence is due, 0 for now."""
        if not self.scheduled:
            return 0
        return self.first_start_ms + occurrence * self.interval_ms


class JobState(enum.Enum):
    """State of a job, as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the state is terminal."""
        return self in (
            JobState.COMPLETED,
            JobState.FAILED,
            JobState.CANCELLED,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes:
      name: name in the configuration.
      keys: API keys of its callers.
      guaranteed_gpu: accelerators guaranteed to its priority 0 jobs.
      limit: what it may have running on all endpoints together; an amount of 0
        is not limited.
      weight: share of the account under contention, and jobs a second beyond
        which its further jobs count as excess; 0 for none.
    """

    name: str
    keys: frozenset[str]
    guaranteed_gpu: int = 0
    limit: Resources = Resources()
    weight: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operator configuration."""

    version: int
    queues_by_name: dict[str, Queue]
    accounts_by_name: dict[str, Account]
    account_by_key: dict[str, str]
    max_body_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Wave:
    """A rolling maintenance of machines, requested by operators.

    Attributes:
      number: number of the wave.
      machines: ids of the machines.
      duration_ms: time in which all machines have to be maintained.
      max_unavailable: maximum number of machines down at the same time.
    """

    number: int
    machines: tuple[str, ...]
    duration_ms: int
    max_unavailable: int


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint, as it registers itself in the live list.

    Attributes:
      endpoint_id: id; usually changes when the machine restarts.
      born_ms: Unix ms of its start; identifies the incarnation of an id.
      service: pool that it belongs to.
      address: host and port of its API.
      zone: availability zone.
      rack: label of its rack.
      labels: all its labels.
      capacity: total resources.
      machine: id of the machine that it runs on, empty if unknown.
      draining: whether it accepts no new work and is shutting down.
      remaining_ms: minimum time until a draining endpoint shuts down.
    """

    endpoint_id: str
    born_ms: int
    service: str
    address: str
    zone: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    machine: str = ""
    draining: bool = False
    remaining_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class UnitKey:
    """Key of a schedulable unit: one task, or all tasks of a gang."""

    job_id: str
    occurrence: int
    step: int
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class TaskKey:
    """Key of one task of a job."""

    job_id: str
    occurrence: int
    step: int
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointLoss:
    """The loss of an endpoint while a task may have run there.

    Attributes:
      task_index: index of the task in its step.
      endpoint_id: the endpoint.
      born_ms: Unix ms of its start; identifies the incarnation.
      machine: machine of the endpoint, empty if unknown.
      crashed: whether the incarnation is known to have ended; if not, the
        endpoint may be cut off and still be running.
      lone: whether no other endpoint was lost at the same time and the task is
        known to have been started.
      explained: whether a task of another job was found to be the cause.
      confirmed: whether the task is known to have been started.
    """

    task_index: int
    endpoint_id: str
    born_ms: int
    machine: str = ""
    crashed: bool = False
    lone: bool = False
    explained: bool = False
    confirmed: bool = False

    @property
    def incarnation(self) -> tuple[str, int]:
        """Id and start of the lost incarnation."""
        return (self.endpoint_id, self.born_ms)


class EndKind(enum.Enum):
    """How a run of a task ended on an endpoint."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedRun:
    """A run that an endpoint reports as running.

    Attributes:
      task: key of the task.
      run: number of the run.
      checkpoint: latest checkpoint, empty for none.
      percent: progress, 0 to 100.
      load: tail latency in ms of a serving task, CPU usage of others.
    """

    task: TaskKey
    run: int
    checkpoint: str
    percent: int
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedEnd:
    """A finished run, reported by its endpoint until acknowledged."""

    number: int
    task: TaskKey
    run: int
    kind: EndKind
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Status report of an endpoint, in response to a lease renewal.

    Attributes:
      clock_ms: reading of the endpoint's clock.
      born_ms: Unix ms of its start, 0 if unknown.
      running: runs in progress.
      ended: finished runs that are not acknowledged yet.
    """

    clock_ms: int
    born_ms: int
    running: tuple[ReportedRun, ...]
    ended: tuple[ReportedEnd, ...]
