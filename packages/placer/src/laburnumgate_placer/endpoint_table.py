"""Endpoints as the leader sees them: capacity in use, leases, health."""

import dataclasses
import logging

from laburnumgate_placer import events
from laburnumgate_placer import model
from laburnumgate_placer import progress

_LOGGER = logging.getLogger(__name__)

# An endpoint's clock may run this share slower than true time.
MIN_CLOCK_RATE = 0.98
# An order that was not answered may be carried out this much later; endpoints
# were seen to take 2 to 12 s.
MAX_ORDER_DELAY_MS = 15_000
# Failures in a row from at least two jobs after which an endpoint is avoided.
SUSPECT_FAILURES = 2
# An avoided endpoint gets one task to prove itself after this pause.
INITIAL_AVOID_MS = 4_000
MAX_AVOID_MS = 30_000


@dataclasses.dataclass(eq=False, slots=True)
class EndpointState:
    """One life of an endpoint under the current leader.

    Attributes:
      info: what it says of itself.
      listed: it is in the live list.
      contacted: it has seen this leader's fencing token.
      answering: its newest call was answered.
      clock_ms: its clock at `clock_at_ms`.
      clock_at_ms: steady time of that reading.
      deadline_ms: latest lease deadline that was sent, on its clock.
      prior_leases_expire_ms: steady time by which all leases of earlier
        leaders have expired.
      last_answer_ms: steady time of its newest answer.
      handled_end: highest number among the ends that were handled.
      acked_end: highest end that may be acknowledged.
      members: members that may be present, by task and run.
      unknown_runs: room taken by runs that no job accounts for.
      unconfirmed_starts: steady time of the newest unanswered start, by task
        and run; a copy may still be in flight, even after the run has ended.
      ended: its life has ended; nothing runs there.
      failing_jobs: jobs that failed there since the newest success.
      avoid_until_ms: steady time until which it gets no task.
      avoid_pause_ms: length of the newest such pause.
      used: room that runs may be using.
      paced_ms: steady time of the newest change of a pace there.
    """

    info: model.Endpoint
    listed: bool = True
    contacted: bool = False
    answering: bool = True
    clock_ms: int = 0
    clock_at_ms: int = 0
    deadline_ms: int = 0
    prior_leases_expire_ms: int = 0
    last_answer_ms: int = 0
    handled_end: int = 0
    acked_end: int = 0
    members: dict[tuple[model.TaskKey, int], progress.Member] = (
        dataclasses.field(default_factory=dict)
    )
    unknown_runs: dict[tuple[model.TaskKey, int], model.Resources] = (
        dataclasses.field(default_factory=dict)
    )
    unconfirmed_starts: dict[tuple[model.TaskKey, int], int] = (
        dataclasses.field(default_factory=dict)
    )
    ended: bool = False
    failing_jobs: set[str] = dataclasses.field(default_factory=set)
    avoid_until_ms: int = 0
    avoid_pause_ms: int = 0
    used: model.Resources = dataclasses.field(default_factory=model.Resources)
    paced_ms: int = 0

    def free(self) -> model.Resources:
        """Returns the capacity that no run may be using."""
        return self.info.capacity.plus(self.used, -1)

    def charge(self, member: progress.Member) -> None:
        """Counts a member's room as taken."""
        key = (member.task, member.run.number)
        if key in self.members:
            return
        self.members[key] = member
        self.used = self.used.plus(member.run.unit.step.charged)

    def release(self, member: progress.Member) -> None:
        """Gives a member's room back."""
        if self.members.pop((member.task, member.run.number), None) is None:
            return
        self.used = self.used.plus(member.run.unit.step.charged, -1)

    def add_unconfirmed_start(
        self, member: progress.Member, now_ms: int
    ) -> None:
        """Notes that a start was sent and not answered."""
        self.unconfirmed_starts[(member.task, member.run.number)] = now_ms

    def pending_orders(self, now_ms: int) -> set[tuple[model.TaskKey, int]]:
        """Returns the runs that a late order could still start there."""
        for key, sent_ms in list(self.unconfirmed_starts.items()):
            if now_ms - sent_ms > MAX_ORDER_DELAY_MS:
                del self.unconfirmed_starts[key]
        ordered = {key for key, m in self.members.items() if m.start_sent}
        return ordered | set(self.unconfirmed_starts)

    def endpoint_now_ms(self, now_ms: int) -> int:
        """Estimates the endpoint's clock at a steady time."""
        return self.clock_ms + now_ms - self.clock_at_ms

    def set_clock(self, clock_ms: int, now_ms: int) -> None:
        """Notes a reading of the endpoint's clock."""
        self.clock_ms = clock_ms
        self.clock_at_ms = now_ms
        self.last_answer_ms = now_ms

    def extend_lease(self, lease_ms: int, now_ms: int) -> int:
        """Returns the deadline of a lease that is sent now.

        While the endpoint is silent the deadline does not move: calls may
        reach it though no answer comes back, and the time at which its leases
        are over has to come.
        """
        if self.answering:
            deadline_ms = self.endpoint_now_ms(now_ms) + lease_ms
            self.deadline_ms = max(self.deadline_ms, deadline_ms)
        return self.deadline_ms

    def leases_expire_ms(self) -> int:
        """Returns the steady time at which all leases are surely over."""
        if not self.contacted:
            return self.prior_leases_expire_ms
        left_ms = max(0, self.deadline_ms - self.clock_ms) / MIN_CLOCK_RATE
        return max(
            self.prior_leases_expire_ms, self.clock_at_ms + int(left_ms) + 1
        )

    def mark_unreachable(self, now_ms: int, reason: str) -> None:
        """Notes a call that was not answered."""
        if not self.answering:
            return
        self.answering = False
        events.emit(
            _LOGGER,
            events.Event.ENDPOINT_LOST,
            endpoint=self.info.endpoint_id,
            reason=reason,
            contact_age_ms=now_ms - self.last_answer_ms,
            leases_left_ms=self.leases_expire_ms() - now_ms,
            runs=len(self.members),
        )

    def record_failure(self, job_id: str, now_ms: int) -> None:
        """Notes a failed run; avoids the endpoint if several jobs fail."""
        self.failing_jobs.add(job_id)
        if len(self.failing_jobs) < SUSPECT_FAILURES:
            return
        self.avoid(now_ms, "runs of several jobs failed")

    def avoid(self, now_ms: int, reason: str) -> None:
        """Gives the endpoint no task for a pause that doubles each time."""
        if now_ms < self.avoid_until_ms:
            return
        self.avoid_pause_ms = min(
            MAX_AVOID_MS, max(INITIAL_AVOID_MS, 2 * self.avoid_pause_ms)
        )
        self.avoid_until_ms = now_ms + self.avoid_pause_ms
        events.emit(
            _LOGGER,
            events.Event.ENDPOINT_SUSPECT,
            endpoint=self.info.endpoint_id,
            pause_ms=self.avoid_pause_ms,
            jobs=sorted(self.failing_jobs),
            reason=reason,
        )

    def record_success(self) -> None:
        """Notes a run that was done, which ends all suspicion."""
        self.failing_jobs.clear()
        self.avoid_until_ms = 0
        self.avoid_pause_ms = 0


class EndpointTable:
    """Lives of endpoints by id; a new life replaces the one before it."""

    def __init__(self):
        self.by_id: dict[str, EndpointState] = {}
        self.emptying_machines: set[str] = set()

    def usable(
        self, service: str, zones_out: set[str], now_ms: int
    ) -> list[EndpointState]:
        """Returns the endpoints of a pool that may be given new runs."""
        found = []
        for state in self.by_id.values():
            info = state.info
            if info.service != service or info.draining:
                continue
            if not (state.contacted and state.answering and state.listed):
                continue
            if state.ended or info.zone in zones_out or state.unknown_runs:
                continue
            if now_ms < state.avoid_until_ms:
                continue
            if info.machine and info.machine in self.emptying_machines:
                continue
            found.append(state)
        return found
