"""Verdicts that a caller receives on its request.

A verdict applies to the request, not to one attempt to submit it: `NotRun` is
returned only if no host can still start the request.
"""

import dataclasses
from typing import Annotated
from typing import Literal

import pydantic


@dataclasses.dataclass(frozen=True)
class Pending:
    """The request is known and has no outcome yet."""

    state: str
    reason: str = ""
    kind: Literal["pending"] = "pending"


@dataclasses.dataclass(frozen=True)
class NotRun:
    """No part of the request has run and none will."""

    reason: str
    kind: Literal["not_run"] = "not_run"


@dataclasses.dataclass(frozen=True)
class MayHaveRun:
    """Nobody can tell whether the request ran or may still run."""

    reason: str
    kind: Literal["may_have_run"] = "may_have_run"


@dataclasses.dataclass(frozen=True)
class RanFailed:
    """The request ran and failed."""

    reason: str
    kind: Literal["ran_failed"] = "ran_failed"


@dataclasses.dataclass(frozen=True)
class Ran:
    """The request ran; `answer` holds one text for each part, in order."""

    answer: tuple[str, ...]
    reason: str = ""
    kind: Literal["ran"] = "ran"


Verdict = Annotated[
    Pending | NotRun | MayHaveRun | RanFailed | Ran,
    pydantic.Field(discriminator="kind"),
]
