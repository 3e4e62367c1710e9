"""Throttles filler tasks while they disturb serving tasks."""

import dataclasses

from laburnumgate_placer import endpoint_table
from laburnumgate_placer import pending_starts
from laburnumgate_placer import progress

# Ratio of a serving task's reported tail latency to its target above which
# filler tasks are slowed down, and below which they are sped up again.
SLOW_DOWN_FRACTION = 0.85
SPEED_UP_FRACTION = 0.6
# Filler tasks are slowed down by half at once and sped up in small steps.
PACE_REDUCTION_RATIO = 0.5
MIN_PERCENT = 10
SPEED_UP_PERCENT = 10
FULL_PERCENT = 100
# Minimum time between changes. A change is visible in the reported tail latency
# only after it has taken effect and half a second has been measured since.
ADJUST_INTERVAL_MS = 700


@dataclasses.dataclass(frozen=True, slots=True)
class PaceChange:
    """A new pace for a member, in percent of full speed."""

    member: progress.Member
    percent: int


def adjust(
    state: endpoint_table.EndpointState, now_ms: int
) -> list[PaceChange]:
    """Returns pace changes on one endpoint based on its latest report."""
    serving = []
    filling = []
    for member in state.members.values():
        if not member.present or member.stopping:
            continue
        if member.run.unit.step.target_ms:
            serving.append(member)
        elif member.run.unit.step.fills:
            filling.append(member)
    if not filling or now_ms - state.paced_ms < ADJUST_INTERVAL_MS:
        return []
    worst_ratio = max(
        (m.load / m.run.unit.step.target_ms for m in serving), default=0.0
    )
    changes = []
    for member in filling:
        percent = _next_percent(member.pace_percent, worst_ratio)
        if percent != member.pace_percent or _repeats(
            member, worst_ratio, now_ms
        ):
            changes.append(PaceChange(member, percent))
    if changes:
        state.paced_ms = now_ms
    return changes


def record_answer(change: PaceChange, *, answered: bool, now_ms: int) -> None:
    """Records what became of the order for a change.

    Args:
      change: the change.
      answered: whether it is in force. If not, it may be later.
      now_ms: monotonic time.
    """
    member = change.member
    if not answered:
        member.pace_doubted_until_ms = (
            now_ms + pending_starts.MAX_ORDER_DELAY_MS
        )
        return
    member.pace_percent = change.percent
    if now_ms > member.pace_doubted_until_ms:
        member.pace_doubted_until_ms = 0


def _repeats(member: progress.Member, worst_ratio: float, now_ms: int) -> bool:
    """Whether a pace is sent again, as another one may be in force."""
    if not member.pace_doubted_until_ms:
        return False
    disturbs = worst_ratio > SLOW_DOWN_FRACTION
    return disturbs or now_ms > member.pace_doubted_until_ms


def _next_percent(percent: int, worst_ratio: float) -> int:
    if worst_ratio > SLOW_DOWN_FRACTION:
        slowed = int(percent * PACE_REDUCTION_RATIO)
        return slowed if slowed >= MIN_PERCENT else 0
    if worst_ratio < SPEED_UP_FRACTION:
        return min(FULL_PERCENT, percent + SPEED_UP_PERCENT)
    return percent
