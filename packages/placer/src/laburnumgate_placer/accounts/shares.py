"""Calculates the order between client accounts while there is too little room.

Load pattern: one account submits many times what it usually does, or one large
account has most of the pool running, and the work of the others waits behind
it. While units wait and the pool is nearly full, work of accounts that use less
of the pool for their weight precedes that of the others. Jobs that an account
submits beyond its rate come last.

The results follow from what is running and from the stored times of
submissions, so that a new leader comes to the same order.
"""

import bisect
from collections.abc import Hashable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from laburnumgate_placer import model
from laburnumgate_placer.accounts import limits

# Shares are compared in steps of this part of the pool. Accounts with about the
# same share stay ordered by due time.
SHARE_STEP = 0.05
# Shares apply while less than this part of the pool is free.
MAX_FREE_PART = 0.1
# Weight of an account without one if all accounts have shares.
EQUAL_WEIGHT = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """Position of waiting work among that of other accounts.

    Attributes:
      share_class: shares decide between work of the same class.
      excess: whether its account submitted it beyond its rate.
      share: weighted dominant share of its account, in `SHARE_STEP`.
    """

    share_class: Hashable
    excess: bool
    share: int


def order(standings: Sequence[Standing | None]) -> list[int]:
    """Returns the order of waiting work that follows from the standings.

    Each class keeps its places. Within them, excess work comes last, then the
    lower share first, and the order is kept otherwise.

    Args:
      standings: standings of the work in its order so far, None for work that
        keeps its place.

    Returns:
      Positions in `standings`.
    """
    places_by_class: dict[Hashable, list[int]] = {}
    for place, standing in enumerate(standings):
        if standing is not None:
            places_by_class.setdefault(standing.share_class, []).append(place)
    found = list(range(len(standings)))
    for places in places_by_class.values():
        taken_by = sorted(
            places, key=lambda p: (standings[p].excess, standings[p].share)
        )
        for place, position in zip(places, taken_by, strict=True):
            found[place] = position
    return found


@dataclasses.dataclass(frozen=True, slots=True)
class Weights:
    """Weights of accounts relative to their mean.

    Configured weights are in jobs per second. Relative to their mean, a share
    that is divided by a weight still is about a part of the pool.

    Attributes:
      by_account: the weight of each account that has one.
      default: weight of all other accounts.
    """

    by_account: Mapping[str, float]
    default: float = 1.0

    def of(self, account: str) -> float:
        """Returns the weight of an account."""
        return self.by_account.get(account, self.default)


def relative_weights(
    weight_by_account: Mapping[str, float], *, equal: bool
) -> Weights:
    """Returns the weights for the comparison of shares.

    An account without a weight has `EQUAL_WEIGHT` if `equal` is set. If not, it
    has the mean weight: it neither gains nor loses by having none.
    """
    found = {
        account: weight if weight > 0 else EQUAL_WEIGHT
        for account, weight in weight_by_account.items()
        if weight > 0 or equal
    }
    if not found:
        return Weights({})
    mean = sum(found.values()) / len(found)
    return Weights(
        {account: weight / mean for account, weight in found.items()},
        EQUAL_WEIGHT / mean if equal else 1.0,
    )


def share_by_resource(
    usage: model.Resources, capacity: model.Resources, weight: float
) -> dict[str, float]:
    """Returns the part of the pool that is used, divided by the weight."""
    found = {}
    for resource in limits.RESOURCES:
        total = getattr(capacity, resource)
        used = getattr(usage, resource)
        found[resource] = used / total / weight if total > 0 else 0.0
    return found


def dominant_share(
    usage: model.Resources, capacity: model.Resources, weight: float
) -> int:
    """Returns the largest share of any resource, in `SHARE_STEP`."""
    largest = max(share_by_resource(usage, capacity, weight).values())
    return round(largest / SHARE_STEP)


def is_contended(free: model.Resources, capacity: model.Resources) -> bool:
    """Whether a pool for which units wait has too little room.

    Cores count where the pool has no accelerators.
    """
    if capacity.gpu > 0:
        return free.gpu < MAX_FREE_PART * capacity.gpu
    return free.cpu < MAX_FREE_PART * capacity.cpu


class Submissions:
    """Times at which the known jobs of each account were accepted."""

    def __init__(self):
        # (time, job id), sorted. The id orders jobs of the same millisecond in
        # the same way on every host.
        self._times_by_account: dict[str, list[tuple[int, str]]] = {}

    def add(self, job: model.Job) -> None:
        """Adds a job that is not known yet."""
        times = self._times_by_account.setdefault(job.account, [])
        bisect.insort(times, (job.accepted_ms, job.job_id))

    def remove(self, job: model.Job) -> None:
        """Removes a job."""
        times = self._times_by_account.get(job.account, [])
        position = bisect.bisect_left(times, (job.accepted_ms, job.job_id))
        if times[position : position + 1] == [(job.accepted_ms, job.job_id)]:
            del times[position]

    def count_before(self, job: model.Job, window_ms: int) -> int:
        """Returns how many jobs its account submitted shortly before a job."""
        times = self._times_by_account.get(job.account, [])
        first = bisect.bisect_left(times, (job.accepted_ms - window_ms + 1, ""))
        end = bisect.bisect_left(times, (job.accepted_ms, job.job_id))
        return end - first

    def is_excess(self, job: model.Job, weight: float, window_ms: int) -> bool:
        """Whether a job exceeds the rate of its account.

        Args:
          job: the job.
          weight: jobs per second that its account may submit; 0 for any number.
          window_ms: period before the job over which they are counted.
        """
        if weight <= 0:
            return False
        allowed = weight * window_ms / 1000
        return self.count_before(job, window_ms) > allowed
