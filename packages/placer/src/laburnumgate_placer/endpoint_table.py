"""The leader's view of endpoints: resources in use, leases, health."""

import collections
from collections.abc import Callable
import dataclasses
import logging

from laburnumgate_core import clock

from laburnumgate_placer import events
from laburnumgate_placer import model
from laburnumgate_placer import pending_starts as pending_starts_module
from laburnumgate_placer import progress

_LOGGER = logging.getLogger(__name__)

# Minimum rate of an endpoint's clock relative to true time.
MIN_CLOCK_RATE = 0.98
# Number of jobs that have to fail on an endpoint, without a success in between,
# before it is avoided.
SUSPECT_FAILURES = 2
# Initial and maximum time for which an endpoint is avoided. Afterwards it gets
# work again; one more failure avoids it for twice as long.
INITIAL_AVOID_MS = 4_000
MAX_AVOID_MS = 30_000


@dataclasses.dataclass(eq=False, slots=True)
class Restart:
    """A restart of an endpoint under its id, while old orders are voided.

    An order names only the id, so that the new incarnation carries it out as
    well. It has seen neither a fencing token nor the stops of the earlier one.

    Attributes:
      born_ms: start of the new incarnation, Unix ms.
      seen_ms: monotonic time at which a report first showed it.
      voided_ms_by_order: monotonic time at which it accepted the stop of an
        order, by task and run.
    """

    born_ms: int
    seen_ms: int
    voided_ms_by_order: dict[tuple[model.TaskKey, int], int] = (
        dataclasses.field(default_factory=dict)
    )


@dataclasses.dataclass(eq=False, slots=True)
class EndpointState:
    """State of one incarnation of an endpoint under the current leader.

    Attributes:
      info: registration in the live list.
      listed: whether it is in the live list.
      contacted: whether it has received this leader's fencing token.
      answering: whether it answered the last call.
      clock_ms: reading of its clock at `clock_at_ms`.
      clock_at_ms: monotonic time of that reading.
      deadline_ms: latest lease deadline sent, on the endpoint's clock.
      deadline_sent_ms: monotonic time at which a deadline was last sent, 0 for
        never.
      prior_leases_expire_ms: monotonic time by which all leases of earlier
        leaders have expired.
      last_answer_ms: monotonic time of its last answer.
      reported_ms: monotonic time of the last report of this incarnation, 0 for
        none.
      report_clock_ms: reading of its clock in that report.
      handled_end: highest number of the reported ends that were handled.
      acked_end: highest number of the ends that may be acknowledged.
      listed_end: highest number of the ends in the last report, 0 for none.
      members: members that may be present, by task and run.
      unknown_runs: monotonic time of the last stop of each run in the last
        report that the leader does not expect there, by task and run. Their
        units wait until they are gone.
      pending_starts: start orders to its id that may still be carried out,
        even after the run has ended.
      restart: the restart that a report showed, None for none.
      doubted: whether it has to report before it gets new runs, as another
        endpoint of its machine is listed or silent.
      ended: whether the incarnation has ended, so that nothing runs there.
      unreachable_ms: monotonic time at which it last became unreachable, 0 for
        never.
      suspects: members whose units are suspected of crashing endpoints, by task
        and run.
      failing_jobs: jobs that failed or stalled there since the last success.
      stalled_jobs: jobs of which a run stalled there, or may have, since the
        last success.
      avoid_until_ms: monotonic time until which it gets no new tasks.
      avoid_pause_ms: duration of the last avoidance.
      used: resources that runs may be using.
      paced_ms: monotonic time of the last change of a pace there.
      read_suspended_ms: returns how long this machine has been suspended.
      clock_suspended_ms: that time at `clock_at_ms`.
      prior_suspended_ms: that time when this leader's term began.
    """

    info: model.Endpoint
    listed: bool = True
    contacted: bool = False
    answering: bool = True
    clock_ms: int = 0
    clock_at_ms: int = 0
    deadline_ms: int = 0
    deadline_sent_ms: int = 0
    prior_leases_expire_ms: int = 0
    last_answer_ms: int = 0
    reported_ms: int = 0
    report_clock_ms: int = 0
    handled_end: int = 0
    acked_end: int = 0
    listed_end: int = 0
    members: dict[tuple[model.TaskKey, int], progress.Member] = (
        dataclasses.field(default_factory=dict)
    )
    unknown_runs: dict[tuple[model.TaskKey, int], int] = dataclasses.field(
        default_factory=dict
    )
    pending_starts: pending_starts_module.PendingStarts = dataclasses.field(
        default_factory=pending_starts_module.PendingStarts
    )
    restart: Restart | None = None
    doubted: bool = False
    ended: bool = False
    unreachable_ms: int = 0
    suspects: set[tuple[model.TaskKey, int]] = dataclasses.field(
        default_factory=set
    )
    failing_jobs: set[str] = dataclasses.field(default_factory=set)
    stalled_jobs: set[str] = dataclasses.field(default_factory=set)
    avoid_until_ms: int = 0
    avoid_pause_ms: int = 0
    used: model.Resources = dataclasses.field(default_factory=model.Resources)
    paced_ms: int = 0
    read_suspended_ms: Callable[[], int] = lambda: clock.suspended_ms()
    clock_suspended_ms: int = 0
    prior_suspended_ms: int = 0

    def __post_init__(self):
        self.clock_suspended_ms = self.read_suspended_ms()
        self.prior_suspended_ms = self.clock_suspended_ms

    def free(self) -> model.Resources:
        """Returns the resources that are certainly not in use."""
        return self.info.capacity.plus(self.used, -1)

    def overcommitted(self) -> bool:
        """Whether the charged runs exceed a capacity that has shrunk."""
        free = self.free()
        return min(free.cpu, free.mem_mb, free.gpu) < 0

    def charge(self, member: progress.Member) -> None:
        """Adds the resources of a member to those in use."""
        key = (member.task, member.run.number)
        if key in self.members:
            return
        self.members[key] = member
        if member.run.unit.suspected:
            self.suspects.add(key)
        self.used = self.used.plus(member.run.unit.step.charged)

    def release(self, member: progress.Member) -> None:
        """Removes the resources of a member from those in use."""
        key = (member.task, member.run.number)
        if self.members.pop(key, None) is None:
            return
        self.suspects.discard(key)
        self.used = self.used.plus(member.run.unit.step.charged, -1)

    def pending_orders(self, now_ms: int) -> set[pending_starts_module.RunKey]:
        """Returns the runs that an order in flight could still start."""
        ordered = {key for key, m in self.members.items() if m.start_sent}
        return ordered | self.pending_starts.keys(now_ms)

    def orders_in_doubt(self, now_ms: int) -> set[pending_starts_module.RunKey]:
        """Returns the runs that are over and could still be started.

        The run may have been done, and its task may run elsewhere.
        """
        return self.pending_starts.keys(now_ms) - self.members.keys()

    def endpoint_now_ms(self, now_ms: int) -> int:
        """Returns a time that the endpoint's clock has reached at `now_ms`.

        A later leader counts on leases that are not longer than agreed, even
        if the clock is slow and was last read long ago, or stood still while
        this machine was suspended.
        """
        suspended_ms = self.read_suspended_ms() - self.clock_suspended_ms
        passed_ms = max(0, now_ms - self.clock_at_ms - suspended_ms)
        return self.clock_ms + int(passed_ms * MIN_CLOCK_RATE)

    def set_clock(self, clock_ms: int, now_ms: int) -> None:
        """Records a reading of the endpoint's clock and the contact."""
        self.clock_ms = clock_ms
        self.clock_at_ms = now_ms
        self.clock_suspended_ms = self.read_suspended_ms()
        self.last_answer_ms = now_ms

    def extend_lease(self, lease_ms: int, now_ms: int) -> int:
        """Returns the deadline of a lease that is sent now.

        The deadline stays unchanged while the endpoint is unreachable: calls
        may arrive without a response coming back, so each of them could extend
        the lease and it would never be known to have expired.
        """
        self.deadline_sent_ms = now_ms
        if self.answering:
            deadline_ms = self.endpoint_now_ms(now_ms) + lease_ms
            self.deadline_ms = max(self.deadline_ms, deadline_ms)
        return self.deadline_ms

    def leases_expire_ms(self) -> int:
        """Returns the monotonic time by which all leases have expired.

        Time in which this machine was suspended does not count, as the
        endpoint's may have been suspended as well, and its clock stands still
        then.
        """
        suspended_ms = self.read_suspended_ms()
        prior_ms = self.prior_leases_expire_ms + (
            suspended_ms - self.prior_suspended_ms
        )
        if not self.contacted:
            return prior_ms
        left_ms = max(0, self.deadline_ms - self.clock_ms) / MIN_CLOCK_RATE
        own_ms = self.clock_at_ms + int(left_ms) + 1
        return max(prior_ms, own_ms + suspended_ms - self.clock_suspended_ms)

    def mark_unreachable(self, now_ms: int, reason: str) -> None:
        """Marks the endpoint as unreachable after an unanswered call."""
        if not self.answering:
            return
        self.answering = False
        self.unreachable_ms = now_ms
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
        """Records a failed run; avoids the endpoint if several jobs fail."""
        self.failing_jobs.add(job_id)
        if len(self.failing_jobs) < SUSPECT_FAILURES:
            return
        self.avoid(now_ms, "runs of several jobs failed")

    def record_stall(self, job_id: str, now_ms: int, *, certain: bool) -> None:
        """Records a stalled run, which counts like a failed one.

        Args:
          job_id: job of the run.
          now_ms: monotonic time.
          certain: whether the run is known to stall here. If not, it counts
            only if a run of another job stalled here, or may have.
        """
        repeated = bool(self.stalled_jobs - {job_id})
        self.stalled_jobs.add(job_id)
        if not certain and not repeated:
            return
        self.failing_jobs |= self.stalled_jobs
        if len(self.failing_jobs) < SUSPECT_FAILURES:
            return
        self.avoid(now_ms, "runs of several jobs failed or stalled")

    def avoid(self, now_ms: int, reason: str) -> None:
        """Avoids the endpoint for a period that doubles each time."""
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
        """Records a completed run, which resets the failure tracking."""
        self.failing_jobs.clear()
        self.stalled_jobs.clear()
        self.avoid_until_ms = 0
        self.avoid_pause_ms = 0


class EndpointTable:
    """Endpoints by id; a new incarnation replaces the previous one.

    Attributes:
      by_id: the endpoints.
      pending_starts_by_id: start orders that may still be carried out, by the
        id of the endpoint. They outlast its incarnations.
      emptying_machines: ids of the machines that get no new runs.
      list_age_ms: returns the time since the live list was known to be read.
    """

    def __init__(self, max_list_age_ms: int):
        self.by_id: dict[str, EndpointState] = {}
        self.pending_starts_by_id: dict[
            str, pending_starts_module.PendingStarts
        ] = collections.defaultdict(pending_starts_module.PendingStarts)
        self.list_age_ms: Callable[[], int] = lambda: 0
        self._max_list_age_ms = max_list_age_ms
        self.emptying_machines: set[str] = set()

    def starts_to_record(
        self, now_ms: int
    ) -> dict[str, list[pending_starts_module.RunKey]]:
        """Returns the pending starts to record for later leaders, by id."""
        found = {}
        for endpoint_id, pending in self.pending_starts_by_id.items():
            state = self.by_id.get(endpoint_id)
            counted = state.members if state is not None else ()
            keys = pending.keys_to_record(counted, now_ms)
            if keys:
                found[endpoint_id] = keys
        return found

    def list_is_old(self) -> bool:
        """Whether endpoints may have shrunk without the leader's knowledge."""
        return self.list_age_ms() > self._max_list_age_ms

    def tasks_of_unknown_runs(self) -> set[model.TaskKey]:
        """Returns the tasks of which a run may go on that has no member."""
        return {
            task
            for state in self.by_id.values()
            if not state.ended
            for task, _ in state.unknown_runs
        }

    def usable(
        self, service: str, zones_out: set[str], now_ms: int
    ) -> list[EndpointState]:
        """Returns the endpoints of a pool that can be assigned new runs."""
        if self.list_is_old():
            return []
        found = []
        for state in self.by_id.values():
            info = state.info
            if info.service != service or info.draining:
                continue
            if not (state.contacted and state.answering and state.listed):
                continue
            if state.ended or info.zone in zones_out or state.unknown_runs:
                continue
            if state.restart is not None or state.doubted:
                continue
            if now_ms < state.avoid_until_ms:
                continue
            if info.machine and info.machine in self.emptying_machines:
                continue
            found.append(state)
        return found
