"""What the scheduler asks its caller to do, and what it is told back.

The scheduler does no I/O. It returns actions; the caller carries them out and
reports each with a result. Durations are in ms.
"""

import dataclasses

from laburnumgate_core import records


@dataclasses.dataclass(frozen=True)
class TakeLease:
    """Take the exclusive lease of an endpoint for one launch.

    The result repeats `attempt`, so that an answer to an earlier launch of
    the same job is not taken for one to this launch.
    """

    job_id: str
    endpoint_id: str
    ttl_ms: int
    attempt: int = 0


@dataclasses.dataclass(frozen=True)
class ReleaseLease:
    """Give up an exclusive lease; needs no result."""

    endpoint_id: str
    token: int


@dataclasses.dataclass(frozen=True)
class Append:
    """Append a record and report when it was read back from the log."""

    record: records.JobRecord


@dataclasses.dataclass(frozen=True)
class HoldPart:
    """Start a part at throttle 0, under a short lease.

    It must not be sent at or after `send_before_ms` of the host's clock; the
    exclusive lease may have expired by then. 0 sets no limit.
    """

    endpoint_id: str
    token: int
    task_id: str
    accelerators: int
    cpus: int
    memory_mb: int
    lease_ms: int
    payload: str
    checkpoint: str
    send_before_ms: int = 0


@dataclasses.dataclass(frozen=True)
class ResumePart:
    """Let a held part run, under a new lease.

    It must not be sent at or after `send_before_ms`, and the lease that is
    asked for must not reach beyond `until_ms`, both by the host's clock: a
    repeated call would otherwise let the part run on without the rest. 0 sets
    no limit.
    """

    endpoint_id: str
    task_id: str
    lease_ms: int
    send_before_ms: int = 0
    until_ms: int = 0


@dataclasses.dataclass(frozen=True)
class StopPart:
    """Stop a part; an endpoint that does not know it confirms as well."""

    endpoint_id: str
    task_id: str


@dataclasses.dataclass(frozen=True)
class CheckpointPart:
    """Checkpoint a part and stop it."""

    endpoint_id: str
    task_id: str


@dataclasses.dataclass(frozen=True)
class ReadTasks:
    """Read all tasks of an endpoint as they are now.

    The result is `TasksRead` with the same `serial` if the endpoint answered,
    else nothing.
    """

    job_id: str
    endpoint_id: str
    serial: int


@dataclasses.dataclass(frozen=True)
class RenewTasks:
    """Renew the leases of running tasks of one endpoint."""

    endpoint_id: str
    task_ids: tuple[str, ...]
    lease_ms: int


@dataclasses.dataclass(frozen=True)
class Acknowledge:
    """Let an endpoint forget tasks whose outcome is recorded."""

    endpoint_id: str
    task_ids: tuple[str, ...]


Action = (
    TakeLease
    | ReleaseLease
    | Append
    | HoldPart
    | ResumePart
    | StopPart
    | CheckpointPart
    | ReadTasks
    | RenewTasks
    | Acknowledge
)


@dataclasses.dataclass(frozen=True)
class LeaseGranted:
    """The exclusive lease was granted; older tokens no longer hold.

    `attempt` is the one of `TakeLease`; 0 matches every attempt.
    """

    job_id: str
    endpoint_id: str
    token: int
    boot_id: str
    free_accelerators: int
    attempt: int = 0


@dataclasses.dataclass(frozen=True)
class LeaseRefused:
    """Another holder has the lease, or the endpoint did not answer."""

    job_id: str
    endpoint_id: str
    reason: str
    attempt: int = 0


@dataclasses.dataclass(frozen=True)
class Appended:
    """The record was read back; `taken` tells whether it changed the job.

    `durable` is False if the log is out and the record is provisional, or, if
    it was not `taken` either, not sent at all.
    """

    record: records.JobRecord
    taken: bool
    durable: bool = True


@dataclasses.dataclass(frozen=True)
class PartAnswer:
    """An endpoint's answer to a hold, resume, stop or checkpoint.

    `state` is the task's state at the endpoint, `refused` if the call was not
    carried out, `absent` if the endpoint does not know the task, or `unknown`
    if no answer came and the call may have taken effect. `lease_until_ms` is
    the `until_ms` of the resume that is answered, 0 if it had none. `result`
    is the text of a task that is over, None if the answer does not hold it.
    """

    endpoint_id: str
    task_id: str
    call: str
    state: str
    reason: str = ""
    checkpoint: str = ""
    lease_until_ms: int = 0
    result: str | None = None


@dataclasses.dataclass(frozen=True)
class TaskView:
    """One task in an endpoint's report."""

    task_id: str
    state: str
    accelerators: int = 0
    cpus: int = 0
    memory_mb: int = 0
    result: str = ""
    checkpoint: str = ""


@dataclasses.dataclass(frozen=True)
class Report:
    """Tasks of an endpoint that changed; all of them if `full`."""

    endpoint_id: str
    boot_id: str
    tasks: tuple[TaskView, ...]
    full: bool = False


@dataclasses.dataclass(frozen=True)
class TasksRead:
    """All tasks of an endpoint, read after `ReadTasks` was asked for."""

    job_id: str
    endpoint_id: str
    serial: int
    boot_id: str
    tasks: tuple[TaskView, ...]


@dataclasses.dataclass(frozen=True)
class Renewed:
    """An endpoint renewed the leases of tasks asked for at `asked_ms`."""

    endpoint_id: str
    task_ids: tuple[str, ...]
    asked_ms: int
    lease_ms: int


@dataclasses.dataclass(frozen=True)
class EndpointLost:
    """The endpoint has not answered for long enough to be given up."""

    endpoint_id: str


Result = (
    LeaseGranted
    | LeaseRefused
    | Appended
    | PartAnswer
    | Report
    | TasksRead
    | Renewed
    | EndpointLost
)
