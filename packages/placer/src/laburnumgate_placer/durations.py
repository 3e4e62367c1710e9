"""How long work really takes, against what its callers declare."""

import math

from laburnumgate_placer import endpoint_table
from laburnumgate_placer import model
from laburnumgate_placer import progress

# Weight of the newest observation in a running mean.
QUEUE_WEIGHT = 0.1
SPEED_WEIGHT = 0.3
# Bounds on what one observation may say; estimates are off by half.
LEAST_RATIO = 0.1
MOST_RATIO = 10.0
LEAST_SPEED = 0.1
MOST_SPEED = 3.0
# Work takes this long before its reported percentage says how fast it goes.
READABLE_MS = 500
READABLE_PERCENT = 5


class DurationTable:
    """Ratio of true to declared duration by queue, in logarithms."""

    def __init__(self):
        self._ratio_by_queue: dict[str, float] = {}

    def expected_ms(self, queue: str, step: model.Step) -> float:
        """Returns the expected duration of a task on a mean endpoint."""
        ratio = math.exp(self._ratio_by_queue.get(queue, 0.0))
        return max(1.0, step.estimate_ms * ratio)

    def chain_ms(self, job: model.Job) -> float:
        """Returns the expected duration of the job's longest chain."""
        ends: list[float] = []
        for step in job.steps:
            before = max(
                (ends[n] for n in step.after if n < len(ends)), default=0.0
            )
            ends.append(before + self.expected_ms(job.queue.name, step))
        return max(ends)

    def remaining_ms(self, run: progress.Run, now_ms: int) -> float:
        """Returns how long a run is expected to go on."""
        step = run.unit.step
        queue = run.unit.entry.job.queue.name
        elapsed_ms = now_ms - (run.started_ms or now_ms)
        percent = run.percent()
        seen_ms = min((m.seen_ms for m in run.members), default=0)
        age_ms = now_ms - seen_ms
        ran_ms = elapsed_ms - age_ms
        if percent >= READABLE_PERCENT and ran_ms >= READABLE_MS:
            return max(0.0, ran_ms * (100 - percent) / percent - age_ms)
        return max(0.0, self.expected_ms(queue, step) - elapsed_ms)

    def learn(
        self,
        run: progress.Run,
        state: endpoint_table.EndpointState,
        ran_ms: int,
    ) -> None:
        """Takes the duration of a run that was done from its beginning."""
        step = run.unit.step
        if step.estimate_ms <= 0 or ran_ms <= 0:
            return
        queue = run.unit.entry.job.queue.name
        ratio = ran_ms / step.estimate_ms
        ratio = math.log(min(MOST_RATIO, max(LEAST_RATIO, ratio)))
        own = math.log(state.speed)
        old = self._ratio_by_queue.get(queue)
        if old is None:
            self._ratio_by_queue[queue] = ratio + own
            return
        alone = len({m.endpoint_id for m in run.members}) == 1
        self._ratio_by_queue[queue] = old + QUEUE_WEIGHT * (ratio + own - old)
        if not alone:
            return
        speed = own + SPEED_WEIGHT * (old - ratio - own)
        state.speed = min(MOST_SPEED, max(LEAST_SPEED, math.exp(speed)))
