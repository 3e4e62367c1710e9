"""Encoding and decoding of records in the jobs and progress topics.

Keys of the jobs topic are `s/ID` (submission), `c/ID` (cancellation), `e/ID`
(state, written by the leader) and `x/ID/ACCOUNT` (cancellation of a job that
was not known, with a digest of the account that cancelled it). Keys of the
progress topic are `ID` (part 0 of the progress of a job) and `ID/N` (its part
N). Other contents of the topic are divided in the same way.
"""

import dataclasses
import struct

import orjson

from laburnumgate_placer import model

_KEY_LENGTH = struct.Struct("B")


class RecordError(Exception):
    """A record cannot be encoded or decoded."""


@dataclasses.dataclass(frozen=True, slots=True)
class Submitted:
    """A caller submitted a job."""

    job: model.Job


@dataclasses.dataclass(frozen=True, slots=True)
class Cancelled:
    """A caller cancelled a job."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class CancelledEarly:
    """An account cancelled a job of which nothing was known.

    Attributes:
      job_id: id of the job.
      account_digest: digest of the account, as of `early_cancels.digest`.
      at_ms: Unix ms of the cancellation.
    """

    job_id: str
    account_digest: str
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class EarlyCancelDropped:
    """A cancellation of an unknown job has expired."""

    job_id: str
    account_digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class StateChanged:
    """The leader changed the state of a job.

    Attributes:
      job_id: id of the job.
      state: new state.
      at_ms: Unix ms of the change.
      reason: reason of the change, empty if the state is sufficient.
    """

    job_id: str
    state: model.JobState
    at_ms: int
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Dropped:
    """A key was removed because its job has expired."""

    job_id: str


JobRecord = (
    Submitted
    | Cancelled
    | CancelledEarly
    | EarlyCancelDropped
    | StateChanged
    | Dropped
)


def encode_keyed(key: str, value: bytes) -> bytes:
    """Encodes a record of a keyed topic; an empty value is a tombstone."""
    encoded = key.encode()
    return _KEY_LENGTH.pack(len(encoded)) + encoded + value


def encode(record: JobRecord) -> bytes:
    """Encodes a record of the jobs topic."""
    match record:
        case Submitted(job):
            return encode_keyed(
                f"s/{job.job_id}", orjson.dumps(_job_value(job))
            )
        case Cancelled(job_id):
            return encode_keyed(f"c/{job_id}", b"1")
        case CancelledEarly(job_id, account_digest, at_ms):
            return encode_keyed(
                f"x/{job_id}/{account_digest}", orjson.dumps(at_ms)
            )
        case EarlyCancelDropped(job_id, account_digest):
            return encode_keyed(f"x/{job_id}/{account_digest}", b"")
        case StateChanged(job_id, state, at_ms, reason):
            value = [state.value, at_ms, reason]
            return encode_keyed(f"e/{job_id}", orjson.dumps(value))
        case Dropped():
            raise RecordError("Dropped cannot be encoded; use encode_drop()")


def encode_progress(job_id: str, part: int, value: bytes) -> bytes:
    """Encodes a part of a job's progress; an empty value is a tombstone."""
    key = f"{job_id}/{part}" if part else job_id
    return encode_keyed(key, value)


def decode_progress_key(key: str) -> tuple[str, int]:
    """Returns the id and the part of a key of the progress topic.

    Raises:
      RecordError: The key is malformed.
    """
    job_id, _, part = key.partition("/")
    if not part:
        return job_id, 0
    if not part.isdecimal():
        raise RecordError(f"key {key!r} names no part")
    return job_id, int(part)


def decode_parts(value_by_part: dict[int, bytes]) -> dict:
    """Joins the parts of a content that is not of a job.

    Raises:
      RecordError: A part is malformed.
    """
    joined = {}
    for part, value in sorted(value_by_part.items()):
        try:
            for name, entry in orjson.loads(value).items():
                if isinstance(entry, list):
                    joined.setdefault(name, []).extend(entry)
                else:
                    joined[name] = entry
        except (ValueError, AttributeError) as error:
            raise RecordError(f"part {part} is malformed: {error}") from error
    return joined


def start_row(task: model.TaskKey, run: int, address: str) -> list:
    """Returns a start order as a row of a record.

    Args:
      task: key of the task.
      run: number of the run.
      address: address that the order was sent to, empty if unknown.
    """
    return [*dataclasses.astuple(task), run, address]


def read_start_row(row: list) -> tuple[model.TaskKey, int, str]:
    """Returns task, run and address of a row of `start_row`.

    Raises:
      RecordError: The row is malformed.
    """
    match row:
        case [str(), int(), int(), int(), int(run), str(address)]:
            return model.TaskKey(*row[:4]), run, address
    raise RecordError(f"{row!r} is no start order")


def encode_drop(job_id: str) -> list[bytes]:
    """Returns the tombstones that remove a job from the jobs topic."""
    return [encode_keyed(f"{kind}/{job_id}", b"") for kind in "sce"]


def decode(key: str, value: bytes | None) -> JobRecord:
    """Decodes a record of the jobs topic.

    Raises:
      RecordError: The record is malformed.
    """
    kind, _, job_id = key.partition("/")
    if not job_id:
        raise RecordError(f"key {key!r} contains no job id")
    if kind == "x":
        return _decode_early_cancel(key, value)
    if value is None:
        return Dropped(job_id)
    try:
        match kind:
            case "s":
                return Submitted(_read_job(job_id, orjson.loads(value)))
            case "c":
                return Cancelled(job_id)
            case "e":
                state, at_ms, reason = orjson.loads(value)
                return StateChanged(
                    job_id, model.JobState(state), at_ms, reason
                )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise RecordError(f"record {key!r} is malformed: {error}") from error
    raise RecordError(f"key {key!r} has an unknown record kind")


def _decode_early_cancel(
    key: str, value: bytes | None
) -> CancelledEarly | EarlyCancelDropped:
    match key.split("/"):
        case [_, job_id, account_digest] if job_id and account_digest:
            pass
        case _:
            raise RecordError(f"key {key!r} contains no job id and account")
    if value is None:
        return EarlyCancelDropped(job_id, account_digest)
    try:
        at_ms = orjson.loads(value)
    except ValueError as error:
        raise RecordError(f"record {key!r} is malformed: {error}") from error
    if not isinstance(at_ms, int):
        raise RecordError(f"record {key!r} contains no time")
    return CancelledEarly(job_id, account_digest, at_ms)


_JOB_FIELDS = (
    "account",
    "payload",
    "accepted_ms",
    "first_start_ms",
    "interval_ms",
    "occurrences",
    "scheduled",
)


def _job_value(job: model.Job) -> dict:
    value = {name: getattr(job, name) for name in _JOB_FIELDS}
    value["queue"] = dataclasses.asdict(job.queue)
    value["steps"] = [_step_value(step) for step in job.steps]
    return value


def _step_value(step: model.Step) -> dict:
    value = {}
    for field in dataclasses.fields(step):
        content = getattr(step, field.name)
        if isinstance(content, model.Resources):
            content = [content.cpu, content.mem_mb, content.gpu]
        elif not content:
            continue
        value[field.name] = content
    return value


def _read_job(job_id: str, value: dict) -> model.Job:
    steps = []
    for given in value.pop("steps"):
        room = model.Resources(*given.pop("room"))
        after = tuple(given.pop("after", ()))
        steps.append(model.Step(room=room, after=after, **given))
    queue = model.Queue(**value.pop("queue"))
    return model.Job(job_id=job_id, queue=queue, steps=tuple(steps), **value)
