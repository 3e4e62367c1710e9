"""Slows tasks that fill an endpoint while they disturb those that serve."""

import dataclasses

from laburnumgate_placer import endpoint_table
from laburnumgate_placer import progress

# Share of its target at which a serving task's tail calls for relief, and
# below which what fills may speed up again.
HIGH_SHARE = 0.85
LOW_SHARE = 0.6
# What fills is slowed at once by half and given back in small steps.
SLOW_FACTOR = 0.5
LEAST_PERCENT = 10
SPEED_UP_PERCENT = 10
WHOLE_PERCENT = 100
# A change shows in the reported tail only after it took effect and half a
# second has been measured under it.
SETTLE_MS = 700


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A new pace for a member."""

    member: progress.Member
    percent: int


def adjust(state: endpoint_table.EndpointState, now_ms: int) -> list[Change]:
    """Decides new paces on one endpoint from its newest report."""
    serving = []
    filling = []
    for member in state.members.values():
        if not member.present or member.stopping:
            continue
        if member.run.unit.step.target_ms:
            serving.append(member)
        elif member.run.unit.step.fills:
            filling.append(member)
    if not filling or now_ms - state.paced_ms < SETTLE_MS:
        return []
    worst = max(
        (m.load / m.run.unit.step.target_ms for m in serving), default=0.0
    )
    changes = []
    for member in filling:
        percent = _next_percent(member.pace_percent, worst)
        if percent != member.pace_percent:
            changes.append(Change(member, percent))
    if changes:
        state.paced_ms = now_ms
    return changes


def _next_percent(percent: int, worst: float) -> int:
    if worst > HIGH_SHARE:
        slower = int(percent * SLOW_FACTOR)
        return slower if slower >= LEAST_PERCENT else 0
    if worst < LOW_SHARE:
        return min(WHOLE_PERCENT, percent + SPEED_UP_PERCENT)
    return percent
