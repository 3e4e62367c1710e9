"""Which runs are moved off endpoints that hang or are far too slow.

Load pattern: an endpoint hangs or is several times too slow while it goes on
reporting. Its runs, and in the case of a gang the runs of all its members,
block until the endpoint recovers, and new work is placed there meanwhile.

A run that is moved by mistake loses its work, so that everything here errs on
the side of leaving a run where it is: time without progress counts only as far
as reports of the endpoint cover it, and what is saved has to exceed the cost
clearly.
"""

import collections
import dataclasses

# Minimum time without progress from which a run is stalled. Reports are 0.75 s
# apart, so that two of them have to agree.
MIN_STALL_MS = 1_500
# A run is stalled if the next percent takes this many times as long as it is
# expected to.
STALL_FACTOR = 4
# Maximum time that one report adds to the time without progress. After a gap
# between reports, whatever its reason, it takes further reports to find a run
# stalled.
MAX_OBSERVED_MS = 1_000
# Age of a report from which it says nothing about the present: the interval of
# renewals (0.75 s) and the time in which they have to be answered (0.45 s).
MAX_REPORT_AGE_MS = 1_200
# Percentage of a task whose work is complete.
COMPLETE_PERCENT = 100
# Minimum progress from which the rate of a run is used rather than its expected
# duration, as progress is reported in whole percents.
MIN_OWN_PERCENT = 4
# Minimum observation from which a rate is trusted for a move for speed.
MIN_RATED_MS = 1_000
# Remaining time at its rate under which a run is about to complete.
ABOUT_TO_COMPLETE_MS = 1_000
# Time without progress after which a run that was about to complete is taken
# not to do so.
MAX_COMPLETION_MS = 5_000
# What a move saves has to exceed this multiple of what it costs. Speeds are
# known to a factor of about 1.2, remaining times less well.
GAIN_FACTOR = 2.0
# Minimum ratio of speeds at which a move for speed is considered. Both speeds
# are known to a factor of about 1.2.
MIN_SPEED_RATIO = 1.5
# Maximum number of moves of a unit.
MAX_MOVES = 2
# Period over which the loss is limited, and the share of the pool's capacity in
# that period that may be lost.
WINDOW_MS = 10_000
MAX_LOSS_SHARE = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Observed progress of one member of a run.

    Attributes:
      percent: progress, 0 to 100.
      done: percents completed since the rate is measured.
      worked_ms: time of that, up to the last rise.
      still_ms: time without progress that reports cover.
      expected_ms: expected duration of the whole task on its endpoint.
      restore_ms: time that the task may have needed to resume, 0 if it did not.
    """

    percent: int
    done: int
    worked_ms: int
    still_ms: int
    expected_ms: float
    restore_ms: int = 0


def observed_ms(clock_ms: int, received_ms: int) -> int:
    """Returns the time between two reports that counts as observed.

    The endpoint's clock excludes time that a report spent on its way or waiting
    for a slow leader. The leader's clock bounds the effect of a step of the
    endpoint's clock.

    Args:
      clock_ms: time between the reports on the endpoint's clock.
      received_ms: time between their receptions.
    """
    return max(0, min(clock_ms, received_ms, MAX_OBSERVED_MS))


def percent_ms(member: Progress) -> float:
    """Returns the expected time for one percent, from the rate if known."""
    expected_ms = member.expected_ms / 100
    if member.done < 1:
        return expected_ms
    own_ms = member.worked_ms / member.done
    if member.done < MIN_OWN_PERCENT:
        return max(own_ms, expected_ms)
    return own_ms


def stall_threshold_ms(member: Progress) -> float:
    """Returns the time without progress from which a member is stalled."""
    threshold_ms = max(MIN_STALL_MS, STALL_FACTOR * percent_ms(member))
    if member.done < 1:
        threshold_ms += STALL_FACTOR * member.restore_ms
    return threshold_ms


def is_stalled(member: Progress) -> bool:
    """Whether a member has made no progress for too long."""
    if member.percent >= COMPLETE_PERCENT:
        return False
    return member.still_ms >= stall_threshold_ms(member)


def remaining_ms(member: Progress) -> float:
    """Returns the remaining time of a member at its rate."""
    left = max(0, COMPLETE_PERCENT - member.percent)
    return left * percent_ms(member)


def is_about_to_complete(members: list[Progress]) -> bool:
    """Whether a run ends so soon that it is not moved.

    The slowest member decides, at a rate that includes its time without
    progress. A member that has stood still for long does not count as about to
    complete, unless its work is complete.
    """
    for member in members:
        if member.percent >= COMPLETE_PERCENT:
            continue
        left = COMPLETE_PERCENT - member.percent
        spent_ms = member.worked_ms + member.still_ms
        if left * spent_ms >= ABOUT_TO_COMPLETE_MS * max(1, member.done):
            return False
        if member.still_ms >= MAX_COMPLETION_MS:
            return False
    return True


def slow_remaining_ms(members: list[Progress]) -> float | None:
    """Returns the remaining time of a run at the rate of its slowest member.

    Returns None if the rate of a member is not known well enough.
    """
    slowest_ms = 0.0
    for member in members:
        if member.percent >= COMPLETE_PERCENT:
            continue
        if member.done < MIN_OWN_PERCENT or member.worked_ms < MIN_RATED_MS:
            return None
        slowest_ms = max(slowest_ms, remaining_ms(member))
    return slowest_ms


def saved_ms(
    remaining: float, slow_speed: float, fast_speed: float, fast_ms: float
) -> float:
    """Returns how much earlier a run ends on a faster endpoint.

    Args:
      remaining: remaining time at the present rate.
      slow_speed: speed of the present endpoint.
      fast_speed: speed of the faster endpoint.
      fast_ms: remaining time there, as expected from the work of the step. The
        less favourable of this and the ratio of the speeds is used.
    """
    return remaining - max(remaining * slow_speed / fast_speed, fast_ms)


def pays(saving: float, restore_ms: int, stop_ms: int, lost_ms: float) -> bool:
    """Whether a move saves clearly more time than it costs."""
    return saving > GAIN_FACTOR * (restore_ms + stop_ms + lost_ms)


def helps(slack_ms: float, late_slack_ms: float, saving: float) -> bool:
    """Whether a move for speed is of use to the caller of the job.

    Work that ends on time on a slow endpoint leaves the fast ones to others,
    and so does work that ends too late wherever it runs.

    Args:
      slack_ms: delay with which the job still meets its objective if the run
        stays; negative if it does not.
      late_slack_ms: the same for the deadline after which it is worth nothing.
      saving: how much earlier the run ends if it is moved.
    """
    return slack_ms < 0 and late_slack_ms + saving >= 0


def culprits(members: list[Progress], acquitted: list[bool]) -> list[int]:
    """Returns the positions of the members that hold up a stalled run.

    The members of a gang may all stand still because of one of them. Those that
    still progress are not the cause, nor are those that are ahead of others,
    nor those on endpoints that other runs progress on. If nothing tells the
    cause, all that stand still may be.

    Args:
      members: all members of the run.
      acquitted: for each, whether other runs progress on its endpoint.
    """
    if not any(map(is_stalled, members)):
        return []
    # Reports of different endpoints are up to an interval apart.
    standing = [
        n
        for n, member in enumerate(members)
        if member.percent < COMPLETE_PERCENT
        and 2 * member.still_ms >= stall_threshold_ms(member)
    ]
    lowest = min(members[n].percent for n in standing)
    # Members that work in step may differ by a percent when one hangs.
    behind = [n for n in standing if members[n].percent <= lowest + 1]
    return [n for n in behind if not acquitted[n]] or behind


class LossWindow:
    """Core-seconds thrown away by moves within `WINDOW_MS`."""

    def __init__(self):
        self._losses: collections.deque[tuple[int, float]] = collections.deque()

    def permits(self, now_ms: int, core_s: float, pool_cores: float) -> bool:
        """Whether a further loss stays within the limit.

        Args:
          now_ms: monotonic time.
          core_s: the loss.
          pool_cores: cores of the pool, with accelerators converted to cores.
        """
        while self._losses and self._losses[0][0] <= now_ms - WINDOW_MS:
            self._losses.popleft()
        total = sum(loss for _, loss in self._losses) + core_s
        return total <= MAX_LOSS_SHARE * pool_cores * WINDOW_MS / 1000

    def record(self, now_ms: int, core_s: float) -> None:
        """Adds a loss."""
        self._losses.append((now_ms, core_s))
