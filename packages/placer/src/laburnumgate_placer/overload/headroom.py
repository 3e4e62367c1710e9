"""How many whole endpoints to keep free for urgent gangs, and which ones.

Load pattern: urgent gangs need several whole endpoints in one rack within about
a second, but batch tasks with one accelerator each are spread over all
endpoints, so that no rack has room although part of the pool is free. Stops
make room, but take most of the gang's slack and throw work away.
"""

import collections
from collections.abc import Sequence
import dataclasses
import math

# Period of arrivals from which the need is computed. Without urgent arrivals
# the need is zero after this time.
WINDOW_MS = 30_000
# A new history counts as at least this long, so that the first arrivals do not
# look like a burst.
MIN_WINDOW_MS = 5_000
# Standard deviations above the mean need of concurrent urgent work that are
# kept free.
MARGIN_DEVIATIONS = 1.5
# Maximum share of the endpoints of a pool that is reserved.
MAX_POOL_SHARE = 0.25
# Smaller tasks, as a share of an endpoint's accelerators, find room between
# other tasks and need no whole endpoint.
MIN_ENDPOINT_SHARE = 0.5
# Whole endpoints that an unreserved rack has to be ahead of a reserved one to
# replace it. A reserved rack empties as time passes, if it is left alone.
REPLACE_ENDPOINTS = 2.0
# Maximum time, from when it could have started, for which a patient unit is
# kept off reserved endpoints.
MAX_HOLD_MS = 15_000
# Share of its expected work that a patient unit keeps as slack. Declared
# durations are off by half.
MIN_SLACK_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Shape:
    """Shape of an urgent unit.

    Attributes:
      gpu: accelerators per task.
      tasks: number of tasks that start together.
      one_rack: whether they run on one rack.
    """

    gpu: int
    tasks: int
    one_rack: bool

    def endpoints(self, endpoint_gpu: int) -> int:
        """Returns the whole endpoints that it needs, 0 if it needs none."""
        if endpoint_gpu <= 0 or self.gpu < MIN_ENDPOINT_SHARE * endpoint_gpu:
            return 0
        return math.ceil(self.tasks / max(1, endpoint_gpu // self.gpu))


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """Urgent units of one step that arrived together.

    Attributes:
      at_ms: monotonic time of their arrival.
      shape: shape of each of them.
      count: their number.
      run_ms: expected run time.
      speed: lowest endpoint speed at which they are on time.
    """

    at_ms: int
    shape: Shape
    count: int
    run_ms: float
    speed: float


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """Capacity that urgent work is expected to need at the same time.

    Attributes:
      endpoints: number of whole endpoints.
      rack_part: whole endpoints in one rack that the largest gang needs that
        fits in a rack; 0 if none has to run on one rack.
      speed: lowest endpoint speed at which most of the work is on time.
      shapes: number of arrivals by shape.
    """

    endpoints: int = 0
    rack_part: int = 0
    speed: float = 0.0
    shapes: tuple[tuple[Shape, int], ...] = ()


class History:
    """Urgent arrivals of the last `WINDOW_MS`."""

    def __init__(self, now_ms: int):
        self._since_ms = now_ms
        self._arrivals: collections.deque[Arrival] = collections.deque()

    def add(self, arrival: Arrival) -> None:
        """Adds an arrival; arrivals are added in order of time."""
        self._arrivals.append(arrival)

    def prune(self, now_ms: int) -> int:
        """Removes old arrivals; returns the number of the others."""
        arrivals = self._arrivals
        while arrivals and arrivals[0].at_ms <= now_ms - WINDOW_MS:
            arrivals.popleft()
        return len(arrivals)

    def need(
        self, now_ms: int, endpoint_gpu: int, pool_size: int, rack_size: int
    ) -> Need:
        """Returns the expected need at present.

        The number of gangs that run at the same time varies like the number of
        busy servers of a queue with unlimited servers: its variance is its
        mean.

        Args:
          now_ms: monotonic time.
          endpoint_gpu: accelerators of an endpoint.
          pool_size: number of endpoints in the pool.
          rack_size: number of endpoints in the largest rack.
        """
        self.prune(now_ms)
        counts: collections.Counter[Shape] = collections.Counter()
        window_ms = min(WINDOW_MS, max(MIN_WINDOW_MS, now_ms - self._since_ms))
        mean = variance = 0.0
        largest = rack_part = 0
        speeds = []
        for arrival in self._arrivals:
            shape = arrival.shape
            whole = shape.endpoints(endpoint_gpu)
            if not whole:
                continue
            counts[shape] += arrival.count
            run_ms = min(arrival.run_ms, WINDOW_MS)
            concurrent = arrival.count * run_ms / window_ms
            mean += concurrent * whole
            variance += concurrent * whole * whole
            largest = max(largest, whole)
            if shape.one_rack and whole <= rack_size:
                rack_part = max(rack_part, whole)
            speeds.append(arrival.speed)
        if not counts:
            return Need()
        wanted = math.ceil(mean + MARGIN_DEVIATIONS * math.sqrt(variance))
        most = int(MAX_POOL_SHARE * pool_size)
        speeds.sort()
        return Need(
            min(most, max(largest, wanted)),
            rack_part,
            speeds[len(speeds) // 2],
            tuple(sorted(counts.items())),
        )


# Not frozen, which would triple the time to create hundreds of them.
@dataclasses.dataclass(slots=True)
class Candidate:
    """An endpoint that is fast enough to be reserved.

    Attributes:
      endpoint_id: its id.
      rack: its rack.
      free_share: share of its accelerators that patient work does not use.
    """

    endpoint_id: str
    rack: str
    free_share: float


def choose(
    need: Need, candidates: Sequence[Candidate], reserved: frozenset[str]
) -> frozenset[str]:
    """Chooses the endpoints to reserve.

    Endpoints are reserved rack by rack, so that gangs on one rack fit: racks
    that could hold the largest of these gangs first, of these the ones that are
    nearly whole.

    Args:
      need: the expected need.
      candidates: the endpoints that are known to be fast enough. Patient work
        shows how fast an endpoint is.
      reserved: ids of the endpoints that are reserved already.
    """
    if not need.endpoints:
        return frozenset()
    by_rack: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        by_rack.setdefault(candidate.rack, []).append(candidate)
    ranked = []
    for rack, members in by_rack.items():
        size = need.rack_part or len(members)
        shares = sorted([c.free_share for c in members], reverse=True)
        free = sum(shares[:size])
        for candidate in members:
            if candidate.endpoint_id in reserved:
                free += REPLACE_ENDPOINTS
                break
        ranked.append((len(members) < size, -free, rack))
    ranked.sort()
    chosen: list[str] = []
    for _, _, rack in ranked:
        missing = need.endpoints - len(chosen)
        if missing <= 0:
            break
        members = by_rack[rack]
        members.sort(key=lambda c: (-c.free_share, c.endpoint_id))
        chosen.extend(c.endpoint_id for c in members[:missing])
    return frozenset(chosen)


def holds_back(slack_ms: float, work_ms: float, waited_ms: float) -> bool:
    """Whether a patient unit is kept off the reserved endpoints.

    Args:
      slack_ms: time left until it has to start to be on time.
      work_ms: its expected run time.
      waited_ms: time since it could have started.
    """
    if waited_ms >= MAX_HOLD_MS:
        return False
    return slack_ms > MIN_SLACK_SHARE * work_ms
