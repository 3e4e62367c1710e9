"""How long work really takes, against what its callers declare."""

import math

from laburnumgate_placer import model
from laburnumgate_placer import progress
from laburnumgate_placer import speeds

# Weight of the newest observation in a queue's running mean.
QUEUE_WEIGHT = 0.1
# Bounds on what one job may say of its queue; estimates are off by half.
LEAST_RATIO = 0.2
MOST_RATIO = 5.0
# A run is judged by its reported percentage from here on.
READABLE_MS = 500
READABLE_PERCENT = 4


class DurationTable:
    """True duration of steps, from their progress or their queue's past."""

    def __init__(self):
        self.speeds = speeds.SpeedTable()
        self._log_ratio_by_queue: dict[str, float] = {}

    def expected_ms(self, job: model.Job, number: int) -> float:
        """Returns a task's expected duration on a mean endpoint."""
        seen = self.speeds.work_ms((job.job_id, 0, number))
        if seen is not None:
            return seen
        return self._declared_ms(job, number)

    def chain_ms(self, job: model.Job) -> float:
        """Returns the expected duration of the job's longest chain."""
        ends: list[float] = []
        for number, step in enumerate(job.steps):
            before = max((ends[n] for n in step.after), default=0.0)
            ends.append(before + self.expected_ms(job, number))
        return max(ends)

    def remaining_ms(self, run: progress.Run, now_ms: int) -> float:
        """Returns how long the slowest member of a run will go on."""
        return max(
            (
                self._member_left_ms(m, now_ms)
                for m in run.members
                if not m.terminated
            ),
            default=0.0,
        )

    def observe(self, member: progress.Member) -> None:
        """Takes a member's newest percentage."""
        unit = member.run.unit
        key = unit.key
        self.speeds.observe(
            (key.job_id, key.occurrence, key.step),
            member.endpoint_id,
            member.task.index,
            self._declared_ms(unit.entry.job, key.step),
            member.percent - member.base_percent,
            member.percent_at_ms - member.base_ms,
        )

    def learn(self, run: progress.Run) -> None:
        """Takes the work of a step of which a unit is done."""
        unit = run.unit
        key = unit.key
        work_ms = self.speeds.work_ms((key.job_id, key.occurrence, key.step))
        if work_ms is None or unit.step.estimate_ms <= 0:
            return
        ratio = work_ms / unit.step.estimate_ms
        ratio = math.log(min(MOST_RATIO, max(LEAST_RATIO, ratio)))
        queue = unit.entry.job.queue.name
        old = self._log_ratio_by_queue.get(queue, 0.0)
        self._log_ratio_by_queue[queue] = old + QUEUE_WEIGHT * (ratio - old)

    def _declared_ms(self, job: model.Job, number: int) -> float:
        ratio = math.exp(self._log_ratio_by_queue.get(job.queue.name, 0.0))
        return max(1.0, job.steps[number].estimate_ms * ratio)

    def _member_left_ms(self, member: progress.Member, now_ms: int) -> float:
        run = member.run
        done = member.percent - member.base_percent
        worked_ms = member.percent_at_ms - member.base_ms
        left = 100 - member.percent
        if done >= READABLE_PERCENT and worked_ms >= READABLE_MS:
            left_ms = worked_ms * left / done
            return max(0.0, left_ms - (now_ms - member.percent_at_ms))
        speed = self.speeds.speed(member.endpoint_id)
        job = run.unit.entry.job
        whole_ms = self.expected_ms(job, run.unit.key.step) / speed
        since_ms = now_ms - (member.percent_at_ms or run.started_ms or now_ms)
        return max(0.0, whole_ms * left / 100 - since_ms)
