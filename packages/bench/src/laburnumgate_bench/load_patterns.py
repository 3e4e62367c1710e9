"""Arrival patterns under which the placer's decisions are replayed."""

from collections.abc import Iterator
import dataclasses

from laburnumgate_placer import model
import numpy as np

URGENT, NORMAL, BATCH = 0, 1, 2


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of job; sizes vary from job to job.

    Attributes:
      priority: priority of its queue; 0 is the highest.
      per_s: arrivals a second, for 100 endpoints.
      width: mean number of tasks.
      work_ms: mean duration of a task on a middling endpoint.
      cores: cores of a task.
      gpus: choices of accelerators of a task.
      gang_share: share of the jobs that are gangs.
      resumes_share: share of the jobs that resume from checkpoints.
      stretch: objective as a multiple of the work.
      objective_ms: constant part of the objective.
      one_rack_share: share of the gangs that run on one rack.
    """

    priority: int
    per_s: float
    width: float
    work_ms: float
    cores: float
    gpus: tuple[int, ...]
    gang_share: float
    resumes_share: float
    stretch: float
    objective_ms: int
    one_rack_share: float = 0.4


KINDS = (
    Kind(URGENT, 2.1, 5, 2_500, 3.7, (1, 2, 4, 8), 0.7, 0.0, 1.5, 300),
    Kind(NORMAL, 0.65, 13, 6_800, 13, (1, 2, 4, 8), 0.7, 0.45, 2.0, 1_000),
    Kind(BATCH, 0.42, 38, 9_500, 2.8, (1,), 0.0, 0.45, 3.0, 3_000),
)


# Urgent gangs of whole endpoints, most on one rack, among batch tasks with one
# accelerator each.
RACK_GANG_KINDS = (
    Kind(URGENT, 0.9, 5, 2_000, 3.7, (8,), 1.0, 0.0, 1.5, 300, 0.6),
    Kind(URGENT, 1.2, 5, 2_000, 1.8, (1, 2, 4), 0.7, 0.0, 1.5, 300, 0.6),
    Kind(NORMAL, 0.25, 13, 8_000, 3.7, (1, 2, 4, 8), 0.7, 0.45, 3.0, 1_000),
    Kind(BATCH, 1.1, 39, 8_000, 2.8, (1,), 0.0, 0.2, 3.0, 3_000),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """A load pattern.

    Attributes:
      name: name on the command line.
      text: what it provokes.
      burst_priority: priority of the jobs of a burst, None for no burst.
      burst_factor: factor of their arrivals from 8 to 14 s.
      load: factor of all arrivals.
      cancel_share: share of the open jobs that is cancelled at 14 s.
      slow_share: share of the endpoints that turn slow at 8 s.
      lost_racks: racks that are lost at 8 s.
      kinds: kinds of the jobs that arrive.
      rack_size: endpoints of a rack.
      guaranteed_gpu: accelerators guaranteed to each account.
      stop_ms: time that a stop takes.
    """

    name: str
    text: str
    burst_priority: int | None = None
    burst_factor: float = 1.0
    load: float = 1.0
    cancel_share: float = 0.0
    slow_share: float = 0.0
    lost_racks: int = 0
    kinds: tuple[Kind, ...] = KINDS
    rack_size: int = 20
    guaranteed_gpu: int = 8
    stop_ms: int = 200


PATTERNS = (
    Pattern("steady", "load without trouble"),
    Pattern("urgent-burst", "a burst of urgent jobs", URGENT, 2.5),
    Pattern("gang-burst", "a burst of large gangs", NORMAL, 3.0),
    Pattern("batch-burst", "a burst of batch work", BATCH, 3.0),
    Pattern("cancel-wave", "many jobs are cancelled", cancel_share=0.4),
    Pattern("slow-endpoints", "endpoints turn slow", slow_share=0.16),
    Pattern("lost-racks", "racks are lost", lost_racks=2),
    Pattern("overload", "more work than the pool can do", load=2.5),
    Pattern(
        "rack-gangs",
        "urgent gangs need whole endpoints of one rack among batch tasks",
        kinds=RACK_GANG_KINDS,
        rack_size=8,
        guaranteed_gpu=64,
        stop_ms=900,
    ),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A job that arrives.

    Attributes:
      at_ms: time since the start.
      kind: its kind.
      step: its only step, with the declared duration.
      work_ms: the true duration on an endpoint of speed 1.
    """

    at_ms: int
    kind: Kind
    step: model.Step
    work_ms: float


def arrivals(
    pattern: Pattern, endpoints: int, seconds: float, rng: np.random.Generator
) -> Iterator[Arrival]:
    """Draws the jobs of a replay in order of time."""
    found = []
    for kind in pattern.kinds:
        rate = kind.per_s * pattern.load * endpoints / 100
        at_s = rng.exponential(1 / rate)
        while at_s < seconds:
            found.append(_draw(kind, int(1000 * at_s), rng))
            in_burst = pattern.burst_priority == kind.priority and (
                8 <= at_s < 14
            )
            factor = pattern.burst_factor if in_burst else 1.0
            at_s += rng.exponential(1 / (rate * factor))
    yield from sorted(found, key=lambda arrival: arrival.at_ms)


def _draw(kind: Kind, at_ms: int, rng: np.random.Generator) -> Arrival:
    width = max(1, round(kind.width * rng.lognormal(-0.3, 0.8)))
    work_ms = kind.work_ms * rng.lognormal(-0.05, 0.3)
    gang = bool(rng.random() < kind.gang_share)
    step = model.Step(
        count=min(width, 6 * round(kind.width)),
        room=model.Resources(
            int(1000 * kind.cores), 2_000, int(rng.choice(kind.gpus))
        ),
        estimate_ms=int(work_ms * rng.lognormal(0, 0.4)),
        gang=gang,
        same_rack=gang and bool(rng.random() < kind.one_rack_share),
        checkpointing=bool(rng.random() < kind.resumes_share),
    )
    return Arrival(at_ms, kind, step, work_ms)
