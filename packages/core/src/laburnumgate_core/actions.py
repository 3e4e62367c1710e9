"""Actions that the scheduler requests and the results it receives.

The scheduler does no I/O. It returns actions; the caller carries them out and
reports each with a result. Durations are in ms.
"""

import dataclasses

from laburnumgate_core import records


@dataclasses.dataclass(frozen=True)
class TakeLease:
    """Take the exclusive lease of an endpoint for one launch.

    The result repeats `attempt`, so that an answer to an earlier launch of
    the same job is not mistaken for one to this launch.
    """

    job_id: str
    endpoint_id: str
    ttl_ms: int
    attempt: int = 0


@dataclasses.dataclass(frozen=True)
class ReleaseLease:
    """Release an exclusive lease; no result is reported."""

    endpoint_id: str
    token: int


@dataclasses.dataclass(frozen=True)
class Append:
    """Append a record and report once it has been read back from the log."""

    record: records.JobRecord


@dataclasses.dataclass(frozen=True)
class HoldPart:
    """Start a part at throttle 0, under a short lease.

    It must not be sent at or after `send_before_ms` by the host's clock,
    because the exclusive lease may have expired by then. 0 means no limit.
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

    It must not be sent at or after `send_before_ms`, and the requested lease
    must not extend beyond `until_ms`, both by the host's clock. Otherwise a
    repeated call could keep the part running without the rest of its gang.
    0 means no limit.
    """

    endpoint_id: str
    task_id: str
    lease_ms: int
    send_before_ms: int = 0
    until_ms: int = 0


@dataclasses.dataclass(frozen=True)
class StopPart:
    """Stop a part; an endpoint that has no such task confirms as well."""

    endpoint_id: str
    task_id: str


@dataclasses.dataclass(frozen=True)
class CheckpointPart:
    """Save a checkpoint of a part, then stop it."""

    endpoint_id: str
    task_id: str


@dataclasses.dataclass(frozen=True)
class ReadTasks:
    """Read the current state of all tasks of an endpoint.

    The result is `TasksRead` with the same `serial`. There is no result if
    the endpoint did not answer.
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
    """Let an endpoint delete tasks whose outcome is recorded in the log."""

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
    """The exclusive lease was granted; older tokens are no longer valid.

    `attempt` is copied from `TakeLease`; 0 matches every attempt.
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
    """The record was read back; `applied` is whether it changed the job.

    `durable` is False if the log is unavailable. The record is then
    provisional if `applied` is True and was not sent at all if it is False.
    """

    record: records.JobRecord
    applied: bool
    durable: bool = True


@dataclasses.dataclass(frozen=True)
class PartAnswer:
    """An endpoint's answer to a hold, resume, stop or checkpoint.

    `state` is the task's state at the endpoint, `refused` if the call was not
    carried out, `absent` if the endpoint has no such task, or `unknown` if no
    answer arrived and the call may have taken effect. `lease_until_ms` is the
    `until_ms` of the answered resume, 0 if it had none. `result` is the result
    text of a finished task, None if the answer does not contain it.
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
    """State of one task in an endpoint's report."""

    task_id: str
    state: str
    accelerators: int = 0
    cpus: int = 0
    memory_mb: int = 0
    result: str = ""
    checkpoint: str = ""


@dataclasses.dataclass(frozen=True)
class Report:
    """Changed tasks of an endpoint, or all its tasks if `full`."""

    endpoint_id: str
    boot_id: str
    tasks: tuple[TaskView, ...]
    full: bool = False


@dataclasses.dataclass(frozen=True)
class TasksRead:
    """All tasks of an endpoint, read after `ReadTasks` was issued."""

    job_id: str
    endpoint_id: str
    serial: int
    boot_id: str
    tasks: tuple[TaskView, ...]


@dataclasses.dataclass(frozen=True)
class Renewed:
    """An endpoint renewed task leases; `asked_ms` is the time of the call."""

    endpoint_id: str
    task_ids: tuple[str, ...]
    asked_ms: int
    lease_ms: int


@dataclasses.dataclass(frozen=True)
class EndpointLost:
    """The endpoint has not answered within the timeout and counts as lost."""

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
