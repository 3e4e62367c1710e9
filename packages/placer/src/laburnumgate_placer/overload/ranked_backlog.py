"""How long new work waits, depending on what a delay of it costs.

Load pattern: callers submit more work than the pool can start, for so long that
some of it would end when its result is worth nothing to its caller any more.
That should be the work whose delay costs least. A single delay for each
priority cannot tell it from other work of its queue.

The loss of waiting work rises until one of its deadlines passes. Waiting work
therefore counts with its loss just before its next deadline
(`delay_cost.loss_at_deadline`), and so does new work. Work with the same loss
as new work arrived before it and is ahead of it. Work that is too late is not:
it loses nothing more, and once it is overdue, it takes only a small part of the
pool (`overdue`).
"""

import bisect
from collections.abc import Iterable
import dataclasses

from laburnumgate_placer import model

# Maximum number of steps of the delay as a function of the loss. The delay is
# read as too short by up to one part in this number.
MAX_STEPS = 8
# Loss of guaranteed work, which is ahead of all other work.
GUARANTEED_LOSS = 1e30
# Work whose losses differ by less than this ratio counts as equal, so that
# rounding does not decide.
SAME_LOSS_RATIO = 0.99


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Waiting work of one step.

    Attributes:
      room: resources of all its tasks.
      work_ms: expected duration of a task.
      loss: loss per core-second just before the next deadline.
    """

    room: model.Resources
    work_ms: float
    loss: float


@dataclasses.dataclass(frozen=True, slots=True)
class QueueWork:
    """What is known of the work of a queue.

    Attributes:
      mean_core_s: mean declared work of its open jobs.
      duration_ratio: ratio of observed and declared durations.
    """

    mean_core_s: float
    duration_ratio: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RankedBacklog:
    """Expected delay of new work of a service.

    Attributes:
      steps: pairs of loss per core-second, falling, and the delay in ms by work
        that loses at least as much.
      queues_by_name: the work of the queues that have open jobs. Hosts need the
        same means as the leader, or the losses could not be compared.
      free: free capacity of the service.
    """

    steps: tuple[tuple[float, int], ...] = ()
    queues_by_name: dict[str, QueueWork] = dataclasses.field(
        default_factory=dict
    )
    free: model.Resources = model.Resources()

    def delay_ms(self, loss: float) -> int:
        """Returns the delay of new work with this loss per core-second."""
        found_ms = 0
        for step_loss, delay_ms in self.steps:
            if step_loss < SAME_LOSS_RATIO * loss:
                break
            found_ms = delay_ms
        return found_ms


def delay_steps(
    demands: Iterable[Demand], capacity: model.Resources
) -> tuple[tuple[float, int], ...]:
    """Returns the delay as a function of the loss, see `RankedBacklog`.

    The delay is that of the resource that is short. A sum over all resources
    would take those that no work needs for capacity.

    Args:
      demands: waiting work.
      capacity: resources that do work and become free again. In each ms, they
        do as many resource-milliseconds of work.
    """
    ranked = sorted(demands, key=lambda demand: -demand.loss)
    delays_ms: list[float] = []
    cpu = mem_mb = gpu = 0.0
    for demand in ranked:
        cpu += demand.room.cpu * demand.work_ms
        mem_mb += demand.room.mem_mb * demand.work_ms
        gpu += demand.room.gpu * demand.work_ms
        delays_ms.append(
            max(
                cpu / capacity.cpu if capacity.cpu > 0 else 0.0,
                mem_mb / capacity.mem_mb if capacity.mem_mb > 0 else 0.0,
                gpu / capacity.gpu if capacity.gpu > 0 else 0.0,
            )
        )
    steps: list[tuple[float, int]] = []
    for part in range(1, MAX_STEPS + 1):
        if not delays_ms or delays_ms[-1] <= 0:
            break
        position = bisect.bisect_left(
            delays_ms, delays_ms[-1] * part / MAX_STEPS
        )
        position = min(position, len(ranked) - 1)
        step = (ranked[position].loss, int(delays_ms[position]))
        if step not in steps:
            steps.append(step)
    return tuple(steps)
