"""Immutable data classes for the scheduler's entities."""

import dataclasses
import enum


class Urgency(enum.StrEnum):
    """How soon a request should start."""

    URGENT = "urgent"
    NORMAL = "normal"
    BATCH = "batch"


class Adjacency(enum.StrEnum):
    """How close together the parts of a gang must run."""

    RACK = "rack"
    ZONE = "zone"


@dataclasses.dataclass(frozen=True)
class Shape:
    """Capacity guaranteed to a client account: `count` gangs of one size."""

    parts: int
    accelerators_per_part: int
    adjacency: Adjacency = Adjacency.RACK
    count: int = 1

    @property
    def accelerators(self) -> int:
        """Total accelerators of all gangs of the shape."""
        return self.parts * self.accelerators_per_part * self.count


@dataclasses.dataclass(frozen=True)
class JobSpec:
    """Resource requirements and execution properties of a request."""

    kind: str
    parts: int
    accelerators_per_part: int
    run_ms: int
    cpus_per_part: int = 1
    memory_mb_per_part: int = 1024
    adjacency: Adjacency = Adjacency.RACK
    urgency: Urgency = Urgency.NORMAL
    idempotent: bool = True
    checkpointable: bool = False
    payload: str = ""

    @property
    def accelerators(self) -> int:
        """Total accelerators of all parts."""
        return self.parts * self.accelerators_per_part

    @property
    def preemptible(self) -> bool:
        """Whether a run can be stopped and safely repeated or continued."""
        return self.idempotent or self.checkpointable


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """A worker that runs tasks, as described by the live list."""

    endpoint_id: str
    zone: str
    rack: str
    url: str
    accelerators: int
    cpus: int
    memory_mb: int
    slots: int = 8
    connections: int = 64
    speed: float = 1.0
    leaving: bool = False


@dataclasses.dataclass(frozen=True)
class Rack:
    """Declared size of one rack."""

    name: str
    endpoints: int
    accelerators_per_endpoint: int


@dataclasses.dataclass(frozen=True)
class Zone:
    """Declared size of one availability zone."""

    name: str
    region: str
    racks: tuple[Rack, ...]


@dataclasses.dataclass(frozen=True)
class Promise:
    """Capacity promised to a client account: a template with parameters set."""

    account: str
    urgency: Urgency
    quota_accelerators: int
    shapes: tuple[Shape, ...] = ()
    never_repeat: frozenset[str] = frozenset()
    zones: tuple[str, ...] = ()


def task_id(job_id: str, run: int, part: int) -> str:
    """Returns the task id of one part of a run at its endpoint."""
    return f"{job_id}/{run}/{part}"


def parse_task_id(text: str) -> tuple[str, int, int]:
    """Splits a task id into job id, run number and part number.

    Raises:
      ValueError: if `text` is not a task id.
    """
    job_id, run, part = text.rsplit("/", 2)
    return job_id, int(run), int(part)
