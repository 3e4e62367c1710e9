"""Proofs that a task neither runs nor can start any more.

A unit may start again only after each member of its run is proven to be over.
Every place that ends a member hands its proof to `lifecycle.mark_terminated`,
which logs it.
"""

import dataclasses

from laburnumgate_placer import endpoint_table
from laburnumgate_placer import model
from laburnumgate_placer import pending_starts
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


def from_restart(
    state: endpoint_table.EndpointState,
    report: model.Report,
    requested_ms: int,
    now_ms: int,
) -> IncarnationEnded | None:
    """Returns the proof for the members of an endpoint that has restarted.

    Args:
      state: the endpoint, with `restart` set.
      report: a report of the new incarnation.
      requested_ms: monotonic time at which the report was requested.
      now_ms: monotonic time.

    Returns:
      None while a run may be present in the new incarnation: an order to the
      earlier one is not voided, or what it started is still being stopped.
    """
    restart = state.restart
    voided_ms_by_order = restart.voided_ms_by_order
    ended = {(row.task, row.run) for row in report.ended}
    if not state.pending_orders(now_ms) <= voided_ms_by_order.keys() | ended:
        return None
    if requested_ms <= max(voided_ms_by_order.values(), default=0):
        return None
    if any((row.task, row.run) in voided_ms_by_order for row in report.running):
        return None
    return IncarnationEnded(f"restarted under its id at {restart.born_ms}")


def from_leases(
    state: endpoint_table.EndpointState,
    member: progress.Member,
    now_ms: int,
    max_lease_ms: int,
) -> LeasesExpired | None:
    """Returns the proof for a member on an endpoint without contact.

    Args:
      state: the endpoint.
      member: the member.
      now_ms: monotonic time.
      max_lease_ms: longest lease that an endpoint grants.

    Returns:
      None while a lease may be valid.
    """
    expired_ms = state.leases_expire_ms()
    # A deadline on the clock of an earlier incarnation means nothing to a new
    # one, which only limits its distance.
    lease_ms = int(max_lease_ms / endpoint_table.MIN_CLOCK_RATE)
    if state.restart is not None:
        late_ms = state.restart.seen_ms + pending_starts.MAX_ORDER_DELAY_MS
        expired_ms = max(expired_ms, late_ms + lease_ms)
    elif member.ordered_ms and not member.present:
        expired_ms = max(expired_ms, member.ordered_ms + lease_ms)
    return LeasesExpired(expired_ms) if now_ms > expired_ms else None


def unknown_runs_expired(
    state: endpoint_table.EndpointState, now_ms: int, max_lease_ms: int
) -> bool:
    """Whether the leases of the reported runs without a member have expired.

    Args:
      state: the endpoint, without contact.
      now_ms: monotonic time.
      max_lease_ms: longest lease that an endpoint grants.
    """
    lease_ms = int(max_lease_ms / endpoint_table.MIN_CLOCK_RATE)
    # It is not known by which deadline they were started.
    expired_ms = max(state.leases_expire_ms(), state.reported_ms + lease_ms)
    return now_ms > expired_ms
