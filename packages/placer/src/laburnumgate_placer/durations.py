"""Estimates durations of work, which callers declare inaccurately."""

import math

from laburnumgate_placer import model
from laburnumgate_placer import progress
from laburnumgate_placer import speeds

# Weight of the latest observation in the exponential moving average of a queue.
EWMA_WEIGHT = 0.1
# Bounds of the ratio between observed and declared duration that one job may
# contribute to its queue. Declared durations are off by half.
MIN_RATIO = 0.2
MAX_RATIO = 5.0
# Minimum duration and progress of a run from which its remaining time is
# extrapolated from the reported percentage.
MIN_OBSERVED_MS = 500
MIN_OBSERVED_PERCENT = 4


class DurationTable:
    """Expected durations of steps, from their progress or queue history."""

    def __init__(self, *, gangs_share_pace: bool = False):
        self.speeds = speeds.SpeedTable(gangs_share_pace=gangs_share_pace)
        self._log_ratio_by_queue: dict[str, float] = {}

    def expected_ms(self, job: model.Job, number: int) -> float:
        """Returns the expected duration of a task at speed 1."""
        observed_ms = self.speeds.work_ms((job.job_id, 0, number))
        if observed_ms is not None:
            return observed_ms
        return self.declared_ms(job, number)

    def declared_ms(self, job: model.Job, number: int) -> float:
        """Returns the declared duration, corrected by the queue's history."""
        ratio = self.ratio(job.queue.name)
        return max(1.0, job.steps[number].estimate_ms * ratio)

    def all_expected_ms(self, job: model.Job) -> list[float]:
        """Returns the expected duration of a task of each step at speed 1."""
        ratio = self.ratio(job.queue.name)
        found = []
        for number, step in enumerate(job.steps):
            work_ms = self.speeds.work_ms((job.job_id, 0, number))
            if work_ms is None:
                work_ms = max(1.0, step.estimate_ms * ratio)
            found.append(work_ms)
        return found

    def remaining_ms(self, run: progress.Run, now_ms: int) -> float:
        """Returns the expected remaining time of a run's slowest member."""
        return max(
            (
                self._member_remaining_ms(m, now_ms)
                for m in run.members
                if not m.terminated
            ),
            default=0.0,
        )

    def shows_progress(self, job: model.Job, number: int) -> bool:
        """Whether tasks of the step, or of its queue, are known to report any.

        The end of a task is not a sign of it: some report 0% until then.
        """
        if self.speeds.work_ms((job.job_id, 0, number)) is not None:
            return True
        return job.queue.name in self._log_ratio_by_queue

    def observe(self, member: progress.Member) -> None:
        """Records the latest reported percentage of a member."""
        unit = member.run.unit
        key = unit.key
        self.speeds.observe(
            (key.job_id, key.occurrence, key.step),
            member.endpoint_id,
            member.task.index,
            self.declared_ms(unit.entry.job, key.step),
            member.percent - member.base_percent,
            member.percent_at_ms - member.base_ms,
            gang=unit.size > 1,
        )

    def record_completed(self, run: progress.Run) -> None:
        """Updates the ratio of a queue from the step of a completed unit."""
        unit = run.unit
        key = unit.key
        work_ms = self.speeds.work_ms((key.job_id, key.occurrence, key.step))
        if work_ms is None or unit.step.estimate_ms <= 0:
            return
        ratio = work_ms / unit.step.estimate_ms
        ratio = math.log(min(MAX_RATIO, max(MIN_RATIO, ratio)))
        queue = unit.entry.job.queue.name
        old = self._log_ratio_by_queue.get(queue, 0.0)
        self._log_ratio_by_queue[queue] = old + EWMA_WEIGHT * (ratio - old)

    def ratio(self, queue_name: str) -> float:
        """Returns the ratio of observed and declared durations of a queue."""
        return math.exp(self._log_ratio_by_queue.get(queue_name, 0.0))

    def _member_remaining_ms(
        self, member: progress.Member, now_ms: int
    ) -> float:
        run = member.run
        done = member.percent - member.base_percent
        worked_ms = member.percent_at_ms - member.base_ms
        left = 100 - member.percent
        if done >= MIN_OBSERVED_PERCENT and worked_ms >= MIN_OBSERVED_MS:
            remaining_ms = worked_ms * left / done
            return max(0.0, remaining_ms - (now_ms - member.percent_at_ms))
        speed = self.speeds.speed(member.endpoint_id)
        job = run.unit.entry.job
        total_ms = self.expected_ms(job, run.unit.key.step) / speed
        since_ms = now_ms - (member.percent_at_ms or run.started_ms or now_ms)
        return max(0.0, total_ms * left / 100 - since_ms)
