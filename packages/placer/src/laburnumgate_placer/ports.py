"""Interfaces to the outside: the log, the endpoints; and their answers."""

import dataclasses
import enum
from typing import Protocol

from laburnumgate_placer import model


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The records are stored; `offset` is that of the first one."""

    offset: int
    end_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotAppended:
    """Nothing was stored by this call and nothing will be."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The partition does not end at the expected offset."""

    end_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Fenced:
    """A writer with a higher epoch has taken over the partition."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """No answer came; the call may have taken effect or may do so later."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Undelivered:
    """No connection could be made, so that the call has no effect."""

    reason: str


AppendOutcome = Appended | NotAppended | Conflict | Fenced | Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class Sequence:
    """Identifies an append, so that repeating it has no further effect.

    Attributes:
      producer: name of the writer.
      epoch: a higher one fences lower ones off the partition.
      number: follows that of the writer's previous append.
    """

    producer: str
    epoch: int
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A record of the log.

    Attributes:
      offset: its place in the partition.
      key: its key, empty in a topic without keys.
      value: its content, None if the key was dropped.
    """

    offset: int
    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Entries in order, and the offset after the newest record."""

    entries: tuple[Entry, ...]
    end_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """The wanted records were deleted; `first_offset` is the oldest left."""

    first_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """A page of the newest records by key."""

    entries: tuple[Entry, ...]
    more: bool
    end_offset: int


class Log(Protocol):
    """The append-only log service. Topics have one partition here."""

    async def append(
        self,
        topic: str,
        records: list[bytes],
        *,
        timeout_ms: int,
        sequence: Sequence | None = None,
        at_offset: int | None = None,
    ) -> AppendOutcome:
        """Appends the records, all or none."""
        ...

    async def read(
        self, topic: str, from_offset: int, *, wait_ms: int, timeout_ms: int
    ) -> Batch | Expired | Unknown:
        """Returns the records from an offset on, waiting for a first one."""
        ...

    async def newest(
        self, topic: str, after: str, *, timeout_ms: int
    ) -> Page | Unknown:
        """Returns a page of the newest record of each key after `after`."""
        ...


class Refusal(enum.Enum):
    """Why an endpoint did not carry out an order."""

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
    """The order was carried out; `clock_ms` is the endpoint's clock."""

    clock_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The order had no effect."""

    refusal: Refusal
    clock_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Starts one run of a task.

    Attributes:
      task: the task.
      run: number of the run.
      payload: the job's text.
      deadline_ms: end of the lease on the endpoint's clock.
      fencing_token: the leader's token.
      checkpoint: where to resume, empty for the beginning.
      ticket: permission for the step, empty where none is needed.
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
    """Which of the named endpoints may run a step.

    Attributes:
      ticket_by_endpoint: tickets of those that may.
      valid_ms: how long the tickets hold.
    """

    ticket_by_endpoint: dict[str, str]
    valid_ms: int


class Advisor(Protocol):
    """The service that decides which endpoints may run a step."""

    async def ask(
        self,
        job_id: str,
        occurrence: int,
        step: int,
        endpoint_ids: tuple[str, ...],
        *,
        timeout_ms: int,
    ) -> Advice | Unknown:
        """Asks for tickets; calls of one host are answered in turn."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class MachineStatus:
    """A machine as the platform lists it.

    Attributes:
      machine: its id.
      up: it is neither moving, nor in upkeep, nor down.
    """

    machine: str
    up: bool


class UpkeepRefusal(enum.Enum):
    """Why a machine was not sent into its upkeep."""

    FENCED = "a higher fencing token is in force"
    BUSY = "the machine is not up, or it is leaving"
    OTHER_WAVE = "the machine is not of this wave"
    NO_MACHINE = "there is no such machine"


class Machines(Protocol):
    """The API of the machines that endpoints run on."""

    async def list(
        self, *, timeout_ms: int
    ) -> tuple[MachineStatus, ...] | Unknown:
        """Returns all machines."""
        ...

    async def upkeep(
        self, machine: str, wave: int, fencing_token: int, *, timeout_ms: int
    ) -> Done | UpkeepRefusal | Unknown:
        """Sends a machine into its upkeep, if it has not had it yet."""
        ...


class Endpoints(Protocol):
    """Calls to endpoints."""

    async def start(
        self, endpoint: model.Endpoint, order: StartOrder, *, timeout_ms: int
    ) -> Done | Refused | Undelivered | Unknown:
        """Starts a run; repeating the order has no further effect."""
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
        """Stops a run, and voids an order for it that is still on its way."""
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
        """Bounds the share of time during which a task works."""
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
        """Renews the lease of all runs there and returns its report."""
        ...
