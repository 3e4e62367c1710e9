"""What it costs callers that work is delayed.

Load pattern: callers submit more work than the pool can start. Some work has to
wait, be refused or give way. In an order by stage and priority, an urgent job
that is delayed past its short slack ranks after batch work that could wait for
many seconds, so that one burst makes all urgent work late.

The rule is the apparent tardiness cost: the value that is lost when a deadline
is missed, for each core-second that the work still needs, discounted by
exp(-slack / (K x remaining time)). A job has two deadlines: its objective, and
`admission.LATE_RATIO` times its objective. Waiting order, refusals and stops
all use this function (`loss`, and its change by a delay, `added_loss`), so that
they cannot contradict each other.

Bound on the wait: work that misses its last deadline is worth nothing to its
caller, and its loss is 0. From `MAX_OVERDUE_MS` after that deadline, it is
overdue and precedes all work without a guarantee, the oldest first, on a part
of the pool (`overdue.SHARE`). Thus the cheapest job is next in line at the
latest LATE_RATIO x objective + `MAX_OVERDUE_MS` after its arrival, behind
guaranteed work and work that has been overdue for longer. The latter takes its
core-seconds divided by that part of the pool's cores.
"""

import dataclasses
import math

# Ratio of the values of two successive priorities.
PRIORITY_RATIO = 4.0
# Part of the value of a job that depends on the objective. The rest is lost at
# the last deadline.
ON_TIME_PART = 0.6
# Part of the value of a mean job of a queue that does not depend on its work.
# The other part grows with the work, so that large jobs do not starve.
FIXED_PART = 0.5
# Multiple of the remaining time over which a deadline gains weight. The usual
# values of the rule are 1 to 3; declared durations are off by half.
K = 2.0
# Slack from which waiting costs nothing yet, as a multiple of K x remaining
# time. exp(-4) is under 2%.
FAR = 4.0
# Time after the last deadline from which work precedes all work without a
# guarantee. Bursts last for some seconds; the backlog of one has to be worked
# off before this, as overdue work delays work that still has a value.
MAX_OVERDUE_MS = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Work of a job that has not been done yet.

    Attributes:
      value: value of the job, see `value`.
      core_s: work that is left, with accelerators converted to cores.
      remaining_ms: duration of the longest path through that work.
      slack_ms: delay with which the job still meets its objective; negative if
        it cannot be met any more.
      late_slack_ms: delay with which it still meets its last deadline.
    """

    value: float
    core_s: float
    remaining_ms: float
    slack_ms: float
    late_slack_ms: float

    def later(self, delay_ms: float) -> "Work":
        """Returns the same work, if it starts `delay_ms` later."""
        return dataclasses.replace(
            self,
            slack_ms=self.slack_ms - delay_ms,
            late_slack_ms=self.late_slack_ms - delay_ms,
        )

    @property
    def overdue(self) -> bool:
        """Whether it has to precede work that is worth more."""
        return self.late_slack_ms < -MAX_OVERDUE_MS


def value(priority: int, core_s: float, mean_core_s: float) -> float:
    """Returns the value of a job to its caller.

    Args:
      priority: priority of its queue; 0 is the highest.
      core_s: work of the whole job.
      mean_core_s: mean work of the jobs of its queue.
    """
    size = core_s / mean_core_s if mean_core_s > 0 else 1.0
    return (FIXED_PART + (1 - FIXED_PART) * size) / PRIORITY_RATIO**priority


def loss(work: Work, delay_ms: float = 0.0) -> float:
    """Returns the value that is at risk if work is delayed.

    A deadline that is missed already costs nothing more. One that is missed
    because of the delay costs its whole part of the value.
    """
    lost = ON_TIME_PART * _risk(work, work.slack_ms, delay_ms)
    lost += (1 - ON_TIME_PART) * _risk(work, work.late_slack_ms, delay_ms)
    return work.value * lost


def added_loss(work: Work, delay_ms: float) -> float:
    """Returns the value that a delay costs, beyond what is at risk without it.

    A deadline that is met without the delay and missed with it costs its whole
    part of the value.
    """
    if delay_ms <= 0:
        return 0.0
    lost = ON_TIME_PART * _added_risk(work, work.slack_ms, delay_ms)
    lost += (1 - ON_TIME_PART) * _added_risk(work, work.late_slack_ms, delay_ms)
    return work.value * lost


def saved_by_start(
    work: Work, after_ms: float, otherwise_ms: float | None
) -> float:
    """Returns the value that is saved if waiting work starts earlier.

    Args:
      work: the work that waits.
      after_ms: delay of the earlier start.
      otherwise_ms: delay of the start otherwise; None if it is unknown, in
        which case no deadline is expected to be met.
    """
    delay_ms = math.inf if otherwise_ms is None else otherwise_ms - after_ms
    return added_loss(work.later(after_ms), delay_ms)


def loss_per_core_s(work: Work) -> float:
    """Returns the loss by waiting for each core-second that is left."""
    return loss(work) / max(0.001, work.core_s)


def loss_at_deadline(work: Work) -> float:
    """Returns the loss per core-second just before the next deadline.

    This is the highest loss that the work reaches while it waits for that
    deadline. It is 0 if the last deadline is missed.
    """
    wait_ms = work.slack_ms if work.slack_ms >= 0 else work.late_slack_ms
    if wait_ms < 0:
        return 0.0
    return loss_per_core_s(work.later(wait_ms))


def _risk(work: Work, slack_ms: float, delay_ms: float) -> float:
    if slack_ms < 0:
        return 0.0
    exponent = (slack_ms - delay_ms) / (K * max(1.0, work.remaining_ms))
    if exponent <= 0:
        return 1.0
    if exponent > FAR:
        return 0.0
    return math.exp(-exponent)


def _added_risk(work: Work, slack_ms: float, delay_ms: float) -> float:
    if 0 <= slack_ms < delay_ms:
        return 1.0
    return _risk(work, slack_ms, delay_ms) - _risk(work, slack_ms, 0.0)
