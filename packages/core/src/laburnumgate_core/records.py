"""Records of the log's streams and their encoding.

The log stores opaque text. One append carries a batch, a JSON array of records.
"""

import dataclasses
from typing import Annotated
from typing import Any
from typing import Literal

import pydantic

from laburnumgate_core import model
from laburnumgate_core import verdict

JOBS_STREAM = "jobs"
CONFIG_STREAM = "config"
SNAPSHOT_STREAM = "snapshots"


@dataclasses.dataclass(frozen=True)
class Submitted:
    """A request was accepted; only the first record of an id is valid."""

    job_id: str
    account: str
    spec: model.JobSpec
    zone: str
    body_hash: str
    at_ms: int
    issued_at_ms: int
    deadline_ms: int
    kind: Literal["submitted"] = "submitted"


@dataclasses.dataclass(frozen=True)
class Refused:
    """Fences a request id: no host may accept it after this record.

    `issued_at_ms` is copied from the request; 0 stands for `at_ms`.
    """

    job_id: str
    body_hash: str
    reason: str
    at_ms: int
    issued_at_ms: int = 0
    kind: Literal["refused"] = "refused"


@dataclasses.dataclass(frozen=True)
class Starting:
    """The intent to start run `run`; `boot_ids` are in endpoint order."""

    job_id: str
    run: int
    zone: str
    endpoints: tuple[str, ...]
    boot_ids: tuple[str, ...]
    at_ms: int
    kind: Literal["starting"] = "starting"


@dataclasses.dataclass(frozen=True)
class Crash:
    """An endpoint crashed while it had a part of a run; `part` is its index."""

    part: int
    endpoint_id: str


@dataclasses.dataclass(frozen=True)
class Requeued:
    """Run `run` ended without an outcome; the job is queued again.

    `may_have_run` is False only if no part can have been resumed.
    `failed_endpoint` is the endpoint that caused the failure, if any.
    `crashes` has at most one entry for each part.
    """

    job_id: str
    run: int
    reason: str
    may_have_run: bool
    at_ms: int
    checkpoint: str = ""
    failed_endpoint: str = ""
    crashes: tuple[Crash, ...] = ()
    kind: Literal["requeued"] = "requeued"


@dataclasses.dataclass(frozen=True)
class Moved:
    """A queued job was moved to another availability zone."""

    job_id: str
    from_zone: str
    to_zone: str
    at_ms: int
    kind: Literal["moved"] = "moved"


@dataclasses.dataclass(frozen=True)
class Cancelled:
    """The caller cancelled the request."""

    job_id: str
    at_ms: int
    kind: Literal["cancelled"] = "cancelled"


@dataclasses.dataclass(frozen=True)
class Ended:
    """The final outcome of a request; `run` is 0 if no run was started."""

    job_id: str
    run: int
    verdict: verdict.Verdict
    at_ms: int
    kind: Literal["ended"] = "ended"


JobRecord = Annotated[
    Submitted | Refused | Starting | Requeued | Moved | Cancelled | Ended,
    pydantic.Field(discriminator="kind"),
]


@dataclasses.dataclass(frozen=True)
class Change:
    """A new value of one configuration key; None removes the key.

    `replaces` is the revision that the publisher expects, 0 for a new key.
    """

    key: str
    value: dict[str, Any] | None
    replaces: int


@dataclasses.dataclass(frozen=True)
class Publication:
    """Changes that are applied atomically."""

    change_id: str
    operator: str
    at_ms: int
    changes: tuple[Change, ...]


@dataclasses.dataclass(frozen=True)
class Entry:
    """One append as the log returns it."""

    offset: int
    append_id: str
    data: str


_JOB_BATCH = pydantic.TypeAdapter(tuple[JobRecord, ...])
_JOB = pydantic.TypeAdapter(JobRecord)
_PUBLICATION = pydantic.TypeAdapter(Publication)


def encode_jobs(batch: tuple[JobRecord, ...]) -> str:
    """Encodes a batch of job records as a JSON array."""
    return _JOB_BATCH.dump_json(batch).decode()


def decode_jobs(data: str) -> tuple[JobRecord, ...]:
    """Decodes a batch of job records.

    Raises:
      ValueError: if `data` is not a valid batch.
    """
    return _JOB_BATCH.validate_json(data)


def encode_job(record: JobRecord) -> bytes:
    """Encodes one job record as JSON."""
    return _JOB.dump_json(record)


def decode_job(data: bytes) -> JobRecord:
    """Decodes one job record.

    Raises:
      ValueError: if `data` is not a valid record.
    """
    return _JOB.validate_json(data)


def encode_publication(publication: Publication) -> str:
    """Encodes a publication as JSON."""
    return _PUBLICATION.dump_json(publication).decode()


def decode_publication(data: str) -> Publication:
    """Decodes a publication.

    Raises:
      ValueError: if `data` is not a valid publication.
    """
    return _PUBLICATION.validate_json(data)
