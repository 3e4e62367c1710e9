"""Interfaces to external services (log, endpoints, advisor, machines)."""

import dataclasses
import enum
from typing import Protocol

from laburnumgate_placer import model


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The records are stored; `offset` is the offset of the first."""

    offset: int
    end_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotAppended:
    """The call stored nothing and will not take effect later.

    Attributes:
      reason: reason of the refusal.
      permanent: whether the log will refuse the same records again, since it is
        their content that it does not accept.
    """

    reason: str
    permanent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The end of the partition is not at the expected offset."""

    end_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Fenced:
    """A writer with a higher epoch has taken over the partition."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """No response: the call may have taken effect, or still may."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Undelivered:
    """The connection failed, so the call has no effect."""

    reason: str


AppendOutcome = Appended | NotAppended | Conflict | Fenced | Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class Sequence:
    """Identifies an append, which makes retries idempotent.

    Attributes:
      producer: name of the writer.
      epoch: epoch of the writer; a higher epoch fences lower ones.
      number: sequence number, one more than that of the previous append.
    """

    producer: str
    epoch: int
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A record of the log.

    Attributes:
      offset: offset in the partition.
      key: record key, empty in a topic without keys, or if it is unreadable.
      value: record value, None for a tombstone.
      error: why the record cannot be read, empty if it can. Such an entry only
        takes up an offset; it says nothing about its key.
    """

    offset: int
    key: str
    value: bytes | None
    error: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Entries in order, and the end offset of the partition."""

    entries: tuple[Entry, ...]
    end_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """The requested records expired; `first_offset` is the oldest kept."""

    first_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """A page of the latest record of each key."""

    entries: tuple[Entry, ...]
    more: bool
    end_offset: int


class Log(Protocol):
    """Client of the append-only log service; topics have one partition."""

    async def append(
        self,
        topic: str,
        records: list[bytes],
        *,
        timeout_ms: int,
        sequence: Sequence | None = None,
        at_offset: int | None = None,
    ) -> AppendOutcome:
        """Appends the records atomically."""
        ...

    async def read(
        self, topic: str, from_offset: int, *, wait_ms: int, timeout_ms: int
    ) -> Batch | Expired | Unknown:
        """Returns records from an offset; waits up to `wait_ms` for one."""
        ...

    async def newest(
        self, topic: str, after: str, *, timeout_ms: int
    ) -> Page | Unknown:
        """Returns a page of the latest records of the keys after `after`."""
        ...


class Refusal(enum.Enum):
    """Why an endpoint rejected an order."""

    FENCED = "a higher fencing token is in force"
    SUPERSEDED = "a run at least as high ended there"
    LATE = "the deadline has passed on its clock"
    NO_ROOM = "it does not fit"
    NO_TICKET = "the step may not run there"
    UNHEALTHY = "the endpoint is unhealthy"
    OTHER_INSTANCE = "another endpoint answers at the address"
    INVALID = "the order is invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The order was executed; `clock_ms` is the endpoint's clock."""

    clock_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The order had no effect."""

    refusal: Refusal
    clock_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start one run of a task.

    Attributes:
      task: key of the task.
      run: number of the run.
      payload: payload of the job.
      deadline_ms: expiry of the lease, on the endpoint's clock.
      fencing_token: fencing token of the leader.
      checkpoint: checkpoint to resume from, empty to start over.
      ticket: authorization ticket of the advisor, empty if not needed.
    """

    task: model.TaskKey
    run: int
    payload: str
    deadline_ms: int
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Advice:
    """Which of the requested endpoints may run a step.

    Attributes:
      ticket_by_endpoint: ticket of each allowed endpoint.
      valid_ms: how long the tickets are valid.
    """

    ticket_by_endpoint: dict[str, str]
    valid_ms: int


class Advisor(Protocol):
    """Client of the service that authorizes endpoints to run a step."""

    async def ask(
        self,
        job_id: str,
        occurrence: int,
        step: int,
        endpoint_ids: tuple[str, ...],
        *,
        timeout_ms: int,
    ) -> Advice | Unknown:
        """Requests tickets; calls of one host are processed one by one."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class MachineStatus:
    """Status of a machine, as listed by the platform.

    Attributes:
      machine: id of the machine.
      up: whether it is up: not moving, in maintenance or down.
    """

    machine: str
    up: bool


class UpkeepRefusal(enum.Enum):
    """Why the maintenance of a machine was not started."""

    FENCED = "a higher fencing token is in force"
    BUSY = "the machine is not up, or it is leaving"
    OTHER_WAVE = "the machine is not of this wave"
    NO_MACHINE = "there is no such machine"


class Machines(Protocol):
    """Client of the API that manages the machines of the endpoints."""

    async def list(
        self, *, timeout_ms: int
    ) -> tuple[MachineStatus, ...] | Unknown:
        """Returns all machines."""
        ...

    async def upkeep(
        self, machine: str, wave: int, fencing_token: int, *, timeout_ms: int
    ) -> Done | UpkeepRefusal | Unknown:
        """Starts the maintenance of a machine, at most once per wave."""
        ...


class Endpoints(Protocol):
    """Client of the API of the endpoints."""

    async def start(
        self, endpoint: model.Endpoint, order: StartOrder, *, timeout_ms: int
    ) -> Done | Refused | Undelivered | Unknown:
        """Starts a run; idempotent."""
        ...

    async def stop(
        self,
        endpoint: model.Endpoint,
        task: model.TaskKey,
        run: int,
        fencing_token: int,
        *,
        timeout_ms: int,
    ) -> Done | Refused | Undelivered | Unknown:
        """Stops a run and voids start orders for it still in flight."""
        ...

    async def pace(
        self,
        endpoint: model.Endpoint,
        task: model.TaskKey,
        run: int,
        percent: int,
        fencing_token: int,
        *,
        timeout_ms: int,
    ) -> Done | Refused | Undelivered | Unknown:
        """Throttles a task to a percentage of the time."""
        ...

    async def renew(
        self,
        endpoint: model.Endpoint,
        *,
        deadline_ms: int | None,
        fencing_token: int,
        acknowledged: int,
        wait_ms: int,
        timeout_ms: int,
    ) -> model.Report | Refused | Undelivered | Unknown:
        """Renews the lease of all runs there and returns a report."""
        ...
