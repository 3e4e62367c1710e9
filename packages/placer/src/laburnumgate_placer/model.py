"""Frozen entities: jobs and their steps, queues, accounts and endpoints."""

import dataclasses
import enum

# Index that stands for all tasks of a gang step in a `UnitKey`.
GANG_INDEX = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """An amount of capacity.

    Attributes:
      cpu: thousandths of a core.
      mem_mb: memory in MB.
      gpu: accelerators.
    """

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0

    def plus(self, other: "Resources", times: int = 1) -> "Resources":
        """Returns the sum of this and `times` the other."""
        return Resources(
            self.cpu + other.cpu * times,
            self.mem_mb + other.mem_mb * times,
            self.gpu + other.gpu * times,
        )

    def count_fitting(self, task: "Resources") -> int:
        """Returns how many such tasks this amount holds."""
        most = 1_000_000
        if task.cpu > 0:
            most = min(most, self.cpu // task.cpu)
        if task.mem_mb > 0:
            most = min(most, self.mem_mb // task.mem_mb)
        if task.gpu > 0:
            most = min(most, self.gpu // task.gpu)
        return max(0, most)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Tasks of one kind within a job.

    Attributes:
      count: number of tasks.
      room: what one task takes of an endpoint's capacity.
      estimate_ms: declared duration of a task; often off by half.
      after: numbers of the steps that must be done first.
      gang: all tasks run together or not at all.
      same_rack: tasks slow down when they run on more than one rack.
      checkpointing: a stopped task can be resumed from a checkpoint.
      label: label that an endpoint must have, empty for any.
      data_rack: rack on which the tasks are fast, empty for any.
      max_per_endpoint: tasks of the step per endpoint, 0 for no bound.
      speculative: copies of a task may run at the same time.
      long_running: tasks run until the job is cancelled.
      may_miss: tasks that may be away at once through our own doing.
      target_ms: bound on the tail of a serving task, 0 for none.
      fills: the task's cpu is taken from what others leave unused.
      image: what the tasks run; tasks of an image behave alike.
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
        """What a task takes of the capacity that may not be exceeded."""
        if self.fills:
            return dataclasses.replace(self.room, cpu=0)
        return self.room


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A queue of jobs and the promise that holds for it.

    Attributes:
      name: name in the configuration.
      hostname: virtual host under which callers reach it.
      prefix: start of the paths of its jobs.
      service: name of the pool of endpoints that run its tasks.
      priority: 0 is served first and may displace others.
      attempts: runs of a task that may fail before the job has failed.
      stretch: objective in multiples of the job's longest chain of work.
      objective_ms: allowance in ms on top of the stretched chain.
      public: callers need no key.
      advised: an outside service decides which endpoints may run a step.
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
    """A job as its caller submitted it.

    Attributes:
      job_id: chosen by the caller.
      queue: the queue that took it, as it was then.
      account: client account, empty on a public queue.
      payload: text that is handed to the endpoints unchanged.
      steps: the steps, numbered from 0.
      accepted_ms: when a host took it, Unix ms.
      first_start_ms: Unix ms at which occurrence 0 is due, if repeated.
      interval_ms: time between occurrences.
      occurrences: number of times the steps run, at least 1.
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
        """Returns the Unix ms from which the occurrence may start."""
        if not self.scheduled:
            return 0
        return self.first_start_ms + occurrence * self.interval_ms


class JobState(enum.Enum):
    """State of a job, as callers are told."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the state never changes again."""
        return self in (
            JobState.COMPLETED,
            JobState.FAILED,
            JobState.CANCELLED,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes:
      name: its name.
      keys: keys that its callers may use.
      guaranteed_gpu: accelerators that its priority 0 jobs own.
    """

    name: str
    keys: frozenset[str]
    guaranteed_gpu: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration."""

    version: int
    queues_by_name: dict[str, Queue]
    accounts_by_name: dict[str, Account]
    account_by_key: dict[str, str]
    max_body_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Wave:
    """Operators' request for the upkeep of machines.

    Attributes:
      number: of the wave.
      machines: ids of the machines.
      duration_ms: time in which all of them have their upkeep.
      max_unavailable: machines that may be down at the same time.
    """

    number: int
    machines: tuple[str, ...]
    duration_ms: int
    max_unavailable: int


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint as it describes itself in the live list.

    Attributes:
      endpoint_id: its id; a machine that restarts usually gets a new one.
      born_ms: Unix ms of its start, which tells lives under one id apart.
      service: pool that it belongs to.
      address: host and port of its API.
      zone: its availability zone.
      rack: label of its rack.
      labels: all its labels.
      capacity: what it holds in all.
      machine: machine whose life this is, empty if it does not say.
      draining: it takes no new work and will leave.
      remaining_ms: least time that a draining endpoint stays.
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
    """What is started as a whole: one task, or all tasks of a gang."""

    job_id: str
    occurrence: int
    step: int
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class TaskKey:
    """One task of a job."""

    job_id: str
    occurrence: int
    step: int
    index: int


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
    """A run that an endpoint reports as present.

    Attributes:
      task: the task.
      run: number of the run.
      checkpoint: newest checkpoint, empty for none.
      percent: share of the work that is done, 0 to 100.
      load: tail in ms of a serving task, otherwise cpu in use.
    """

    task: TaskKey
    run: int
    checkpoint: str
    percent: int
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedEnd:
    """An end that an endpoint reports until it is acknowledged."""

    number: int
    task: TaskKey
    run: int
    kind: EndKind
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What an endpoint says of itself in answer to a renewal.

    Attributes:
      clock_ms: the endpoint's own clock.
      born_ms: Unix ms of its start, 0 if it does not say.
      running: the runs that are present.
      ended: ends that were not acknowledged yet.
    """

    clock_ms: int
    born_ms: int
    running: tuple[ReportedRun, ...]
    ended: tuple[ReportedEnd, ...]
