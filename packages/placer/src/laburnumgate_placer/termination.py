"""Proofs that a task neither runs nor can start any more.

A unit may start again only after each member of its run is proven to be over.
Every place that ends a member hands its proof to `lifecycle.mark_terminated`,
which logs it.
"""

import dataclasses

from laburnumgate_placer import endpoint_table
from laburnumgate_placer import model
from laburnumgate_placer import progress


@dataclasses.dataclass(frozen=True, slots=True)
class NotOrdered:
    """No start order was sent, or no connection could be made for it."""


@dataclasses.dataclass(frozen=True, slots=True)
class EndReported:
    """The endpoint listed the end of the run.

    Attributes:
      number: number of the end in the incarnation.
      kind: how the run ended.
    """

    number: int
    kind: model.EndKind


@dataclasses.dataclass(frozen=True, slots=True)
class NotReported:
    """A report requested after the last order was answered omits the run.

    Attributes:
      requested_ms: monotonic time of the request.
      answered_ms: monotonic time from which reports decide.
    """

    requested_ms: int
    answered_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeasesExpired:
    """All leases that the endpoint may hold have expired.

    Attributes:
      expired_ms: monotonic time at which the last of them expired at the
        latest.
    """

    expired_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class IncarnationEnded:
    """The incarnation that the task was ordered from has ended.

    Attributes:
      reason: how that became known.
    """

    reason: str


Proof = (
    NotOrdered | EndReported | NotReported | LeasesExpired | IncarnationEnded
)


def from_order(member: progress.Member) -> NotOrdered | None:
    """Returns the proof that a member was never ordered, None if it was."""
    return None if member.start_sent else NotOrdered()


def from_report(
    member: progress.Member, requested_ms: int
) -> NotReported | None:
    """Returns the proof by a report that omits a member.

    Args:
      member: the member.
      requested_ms: monotonic time at which the report was requested.

    Returns:
      None if an order may have been executed after the report.
    """
    answered_ms = member.report_valid_from_ms
    if not answered_ms or answered_ms >= requested_ms:
        return None
    return NotReported(requested_ms, answered_ms)


def from_leases(
    state: endpoint_table.EndpointState, now_ms: int
) -> LeasesExpired | None:
    """Returns the proof for the members of an endpoint without contact.

    Args:
      state: the endpoint.
      now_ms: monotonic time.

    Returns:
      None while a lease may be valid.
    """
    expired_ms = state.leases_expire_ms()
    return LeasesExpired(expired_ms) if now_ms > expired_ms else None
