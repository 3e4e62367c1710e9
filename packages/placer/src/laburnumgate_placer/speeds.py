"""Estimates endpoint speeds from the progress rates of tasks.

The rate of a task is the speed of its endpoint divided by the work of the task.
Tasks of one step have similar amounts of work, so that differences between
their rates give the relative speeds of their endpoints. Known speeds in turn
give the work of a step.
"""

import collections
import dataclasses
import math
import statistics

# Weights of the prior estimates relative to one observed rate. They are small
# because the errors are not symmetric: a slow endpoint whose speed is
# overestimated makes urgent work late, while an underestimated endpoint is only
# given other work.
SPEED_PRIOR_WEIGHT = 0.14
WORK_PRIOR_WEIGHT = 0.09
# Most recent steps that are used for the speed of an endpoint. It may have been
# disturbed while older ones ran.
MAX_STEPS_PER_ENDPOINT = 4
# Maximum weight of the tasks of one step on an endpoint. More tasks add little,
# as they share the error in the estimated work of the step.
MAX_TASKS_PER_STEP = 4
# Maximum number of steps that are stored.
MAX_STEPS = 200
# Minimum progress for a rate, as progress is reported in whole percents.
MIN_PERCENT = 4
ITERATIONS = 2
# Rates determine speeds only up to a common factor. Declared durations, which
# are off by half, would set that factor, so from this number of known endpoints
# on, speeds are normalised to a median of 1.
MIN_ENDPOINTS_TO_NORMALISE = 8
# If the rates on all endpoints of a gang differ by less than this factor, its
# tasks are taken to wait for each other.
SHARED_PACE_RATIO = 1.1
MIN_LOG_SPEED = math.log(0.05)
MAX_LOG_SPEED = math.log(4.0)


@dataclasses.dataclass(eq=False, slots=True)
class _StepRates:
    """Observed rates of one step.

    Attributes:
      declared: logarithm of the declared duration in ms.
      work: logarithm of the estimated work in ms at speed 1.
      gang: whether its tasks may progress at the pace of the slowest one.
      rates_by_endpoint: logarithms of the rates per ms, by endpoint and task.
    """

    declared: float
    work: float
    gang: bool = False
    rates_by_endpoint: dict[str, dict[int, float]] = dataclasses.field(
        default_factory=dict
    )

    def shares_pace(self) -> bool:
        """Whether tasks of a gang progress at the pace of the slowest one."""
        if not self.gang or len(self.rates_by_endpoint) < 2:
            return False
        rates = [self.rate(each)[0] for each in self.rates_by_endpoint]
        return max(rates) - min(rates) < math.log(SHARED_PACE_RATIO)

    def rate(self, endpoint_id: str) -> tuple[float, int]:
        """Returns the mean rate on an endpoint and its weight."""
        rates = self.rates_by_endpoint[endpoint_id]
        weight = min(len(rates), MAX_TASKS_PER_STEP)
        return sum(rates.values()) / len(rates), weight


class SpeedTable:
    """Estimated speeds of endpoints, relative to a median endpoint.

    Args:
      gangs_share_pace: whether a gang whose tasks all progress alike tells
        nothing about the endpoints that are faster than its slowest one.
        Otherwise a slow endpoint that only runs gangs counts as fast as the
        others.
    """

    def __init__(self, *, gangs_share_pace: bool = False):
        self._gangs_share_pace = gangs_share_pace
        self._log_speed_by_endpoint: dict[str, float] = {}
        self._speed_by_endpoint: dict[str, float] = {}
        self._steps_by_key: collections.OrderedDict[tuple, _StepRates] = (
            collections.OrderedDict()
        )
        self._recent_by_endpoint: dict[str, collections.deque[tuple]] = {}
        self._changed = False

    def observe(
        self,
        key: tuple,
        endpoint_id: str,
        task: int,
        declared_ms: float,
        percent: float,
        worked_ms: float,
        *,
        gang: bool = False,
    ) -> None:
        """Records the latest rate of a task.

        Args:
          key: job, occurrence and step.
          endpoint_id: the endpoint that the task runs on.
          task: index of the task within the step.
          declared_ms: expected duration before any observation.
          percent: percentage of the work completed in `worked_ms`.
          worked_ms: duration of the observation.
          gang: whether the tasks of the step run as a gang.
        """
        if percent < MIN_PERCENT or percent >= 100 or worked_ms <= 0:
            return
        step = self._steps_by_key.get(key)
        if step is None:
            declared = math.log(max(1.0, declared_ms))
            step = _StepRates(
                declared, declared, gang and self._gangs_share_pace
            )
            self._steps_by_key[key] = step
            if len(self._steps_by_key) > MAX_STEPS:
                self._steps_by_key.popitem(last=False)
        if endpoint_id not in step.rates_by_endpoint:
            recent = self._recent_by_endpoint.setdefault(
                endpoint_id, collections.deque(maxlen=MAX_STEPS_PER_ENDPOINT)
            )
            recent.append(key)
            step.rates_by_endpoint[endpoint_id] = {}
        rate = math.log(percent / 100 / worked_ms)
        step.rates_by_endpoint[endpoint_id][task] = rate
        self._changed = True

    def speed(self, endpoint_id: str) -> float:
        """Returns an endpoint's speed, or 1.0 if it is unknown."""
        return self._speed_by_endpoint.get(endpoint_id, 1.0)

    def is_known(self, endpoint_id: str) -> bool:
        """Whether the speed of an endpoint has been estimated."""
        return endpoint_id in self._speed_by_endpoint

    def known_from(self, speed: float) -> set[str]:
        """Returns the endpoints that are known to be at least this fast."""
        return {
            endpoint_id
            for endpoint_id, known in self._speed_by_endpoint.items()
            if known >= speed
        }

    def work_ms(self, key: tuple) -> float | None:
        """Returns the estimated duration of a step at speed 1, if observed."""
        step = self._steps_by_key.get(key)
        return math.exp(step.work) if step is not None else None

    def solve(self) -> bool:
        """Updates the estimates; returns whether there were new rates."""
        if not self._changed:
            return False
        self._changed = False
        solved: list[str] = []
        for _ in range(ITERATIONS):
            for step in self._steps_by_key.values():
                self._solve_work(step)
            solved = [
                endpoint_id
                for endpoint_id in self._recent_by_endpoint
                if self._solve_speed(endpoint_id)
            ]
        self._normalise(solved)
        self._update_speeds()
        return True

    def dump(self) -> dict[str, float]:
        """Returns the logarithms of all speeds for the next leader."""
        return {
            endpoint_id: round(speed, 2)
            for endpoint_id, speed in self._log_speed_by_endpoint.items()
        }

    def restore(self, log_speed_by_endpoint: dict[str, float]) -> None:
        """Restores speeds stored by an earlier leader."""
        for endpoint_id, speed in log_speed_by_endpoint.items():
            self._log_speed_by_endpoint[endpoint_id] = float(speed)
        self._update_speeds()

    def discard(self, endpoint_id: str) -> None:
        """Discards the data of an endpoint incarnation that has ended."""
        self._log_speed_by_endpoint.pop(endpoint_id, None)
        self._speed_by_endpoint.pop(endpoint_id, None)
        self._recent_by_endpoint.pop(endpoint_id, None)

    def _update_speeds(self) -> None:
        self._speed_by_endpoint = {
            endpoint_id: math.exp(speed)
            for endpoint_id, speed in self._log_speed_by_endpoint.items()
        }

    def _normalise(self, solved: list[str]) -> None:
        """Scales the speeds that were just estimated, and the work of steps.

        The other speeds were scaled when they were estimated. Scaling them
        again with each update would let them drift without bound.
        """
        known = self._log_speed_by_endpoint
        if len(known) < MIN_ENDPOINTS_TO_NORMALISE:
            return
        shift = statistics.median(known.values())
        for endpoint_id in solved:
            speed = known[endpoint_id] - shift
            known[endpoint_id] = min(MAX_LOG_SPEED, max(MIN_LOG_SPEED, speed))
        for step in self._steps_by_key.values():
            step.work -= shift

    def _solve_work(self, step: _StepRates) -> None:
        if step.shares_pace():
            self._solve_shared_work(step)
            return
        total = WORK_PRIOR_WEIGHT * step.declared
        weight = WORK_PRIOR_WEIGHT
        for endpoint_id in step.rates_by_endpoint:
            rate, count = step.rate(endpoint_id)
            speed = self._log_speed_by_endpoint.get(endpoint_id, 0.0)
            total += count * (speed - rate)
            weight += count
        step.work = total / weight

    def _solve_shared_work(self, step: _StepRates) -> None:
        """Estimates the work of a gang from its slowest endpoint."""
        slowest = min(
            self._log_speed_by_endpoint.get(endpoint_id, 0.0)
            for endpoint_id in step.rates_by_endpoint
        )
        rate = max(step.rate(each)[0] for each in step.rates_by_endpoint)
        total = WORK_PRIOR_WEIGHT * step.declared + slowest - rate
        step.work = total / (WORK_PRIOR_WEIGHT + 1)

    def _solve_speed(self, endpoint_id: str) -> bool:
        """Estimates a speed; returns whether there are rates for it."""
        total = 0.0
        weight = SPEED_PRIOR_WEIGHT
        for key in self._recent_by_endpoint[endpoint_id]:
            step = self._steps_by_key.get(key)
            if step is None or endpoint_id not in step.rates_by_endpoint:
                continue
            if step.shares_pace():
                continue
            rate, count = step.rate(endpoint_id)
            total += count * (rate + step.work)
            weight += count
        if weight <= SPEED_PRIOR_WEIGHT:
            return False
        speed = min(MAX_LOG_SPEED, max(MIN_LOG_SPEED, total / weight))
        self._log_speed_by_endpoint[endpoint_id] = speed
        return True
