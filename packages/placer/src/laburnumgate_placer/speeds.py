"""Learns how fast endpoints are from how fast tasks of one step advance.

A task's rate is the speed of its endpoint over the work that it holds. Tasks
of one step hold similar amounts of work, so their rates tell the speeds of
their endpoints apart, and speeds that are known tell the work.
"""

import collections
import dataclasses
import math
import statistics

# Weights of what is known without an observation, against one observed rate.
# They are small: a slow endpoint that is overrated makes urgent work late, one
# that is underrated only gets other work.
SPEED_PRIOR_WEIGHT = 0.14
WORK_PRIOR_WEIGHT = 0.09
# Steps that count for one endpoint; older ones tell of a time when it may have
# been disturbed.
MAX_STEPS_PER_ENDPOINT = 4
# Tasks of one step that count for one endpoint. More add little, as the error
# in the step's own work is the same for all of them.
MAX_TASKS_PER_STEP = 4
# Steps that are remembered in all.
MAX_STEPS = 200
# Work advances this far before its rate can be read from whole percents.
MIN_PERCENT = 4
ITERATIONS = 2
# Rates leave the scale of all speeds open, and declared durations, which are
# off by half, would set it. With this many known endpoints the median is 1.
MIN_ENDPOINTS_TO_NORMALISE = 8
MIN_LOG_SPEED = math.log(0.05)
MAX_LOG_SPEED = math.log(4.0)


@dataclasses.dataclass(eq=False, slots=True)
class _StepRates:
    """Rates seen in one step, by endpoint and task, as logarithms per ms."""

    declared: float
    work: float
    rates_by_endpoint: dict[str, dict[int, float]] = dataclasses.field(
        default_factory=dict
    )

    def rate(self, endpoint_id: str) -> tuple[float, int]:
        """Returns the mean rate on an endpoint and how much it counts."""
        rates = self.rates_by_endpoint[endpoint_id]
        weight = min(len(rates), MAX_TASKS_PER_STEP)
        return sum(rates.values()) / len(rates), weight


class SpeedTable:
    """Speeds by endpoint id, relative to a middling endpoint."""

    def __init__(self):
        self._log_speed_by_endpoint: dict[str, float] = {}
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
    ) -> None:
        """Takes the newest rate of a task.

        Args:
          key: job, occurrence and step.
          endpoint_id: where the task runs.
          task: its index within the step.
          declared_ms: expected duration before any observation.
          percent: share of the work that was done in `worked_ms`.
          worked_ms: time that this took.
        """
        if percent < MIN_PERCENT or percent >= 100 or worked_ms <= 0:
            return
        step = self._steps_by_key.get(key)
        if step is None:
            declared = math.log(max(1.0, declared_ms))
            step = _StepRates(declared, declared)
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
        """Returns the endpoint's speed, 1.0 if nothing is known of it."""
        return math.exp(self._log_speed_by_endpoint.get(endpoint_id, 0.0))

    def work_ms(self, key: tuple) -> float | None:
        """Returns a step's duration on such an endpoint, if it was seen."""
        step = self._steps_by_key.get(key)
        return math.exp(step.work) if step is not None else None

    def solve(self) -> bool:
        """Brings speeds and work into line; returns whether any changed."""
        if not self._changed:
            return False
        self._changed = False
        for _ in range(ITERATIONS):
            for step in self._steps_by_key.values():
                self._solve_work(step)
            for endpoint_id in self._recent_by_endpoint:
                self._solve_speed(endpoint_id)
        self._normalise()
        return True

    def dump(self) -> dict[str, float]:
        """Returns the logarithms of all speeds, for the next leader."""
        return {
            endpoint_id: round(speed, 2)
            for endpoint_id, speed in self._log_speed_by_endpoint.items()
        }

    def restore(self, log_speed_by_endpoint: dict[str, float]) -> None:
        """Takes speeds that an earlier leader learnt."""
        for endpoint_id, speed in log_speed_by_endpoint.items():
            self._log_speed_by_endpoint[endpoint_id] = float(speed)

    def discard(self, endpoint_id: str) -> None:
        """Drops an endpoint whose life is over."""
        self._log_speed_by_endpoint.pop(endpoint_id, None)
        self._recent_by_endpoint.pop(endpoint_id, None)

    def _normalise(self) -> None:
        known = self._log_speed_by_endpoint
        if len(known) < MIN_ENDPOINTS_TO_NORMALISE:
            return
        shift = statistics.median(known.values())
        for endpoint_id in known:
            known[endpoint_id] -= shift
        for step in self._steps_by_key.values():
            step.work -= shift

    def _solve_work(self, step: _StepRates) -> None:
        total = WORK_PRIOR_WEIGHT * step.declared
        weight = WORK_PRIOR_WEIGHT
        for endpoint_id in step.rates_by_endpoint:
            rate, count = step.rate(endpoint_id)
            speed = self._log_speed_by_endpoint.get(endpoint_id, 0.0)
            total += count * (speed - rate)
            weight += count
        step.work = total / weight

    def _solve_speed(self, endpoint_id: str) -> None:
        total = 0.0
        weight = SPEED_PRIOR_WEIGHT
        for key in self._recent_by_endpoint[endpoint_id]:
            step = self._steps_by_key.get(key)
            if step is None or endpoint_id not in step.rates_by_endpoint:
                continue
            rate, count = step.rate(endpoint_id)
            total += count * (rate + step.work)
            weight += count
        speed = min(MAX_LOG_SPEED, max(MIN_LOG_SPEED, total / weight))
        if weight > SPEED_PRIOR_WEIGHT:
            self._log_speed_by_endpoint[endpoint_id] = speed
