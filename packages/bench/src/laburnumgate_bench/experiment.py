"""Simulates one policy under one workload."""

import dataclasses
from typing import Any

from laburnumgate_core import scheduler
from laburnumgate_standins import layout as layouts

from laburnumgate_bench import baseline
from laburnumgate_bench import fakes
from laburnumgate_bench import workload

POLICIES: dict[str, type] = {
    "first-come": baseline.FirstComeScheduler,
    "thin": baseline.ThinScheduler,
    "current": scheduler.Scheduler,
}
SCENARIOS = ("steady", "zone-change")


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Parameters and measures of one run."""

    layout: str
    scenario: str
    policy: str
    seed: int
    measures: dict[str, Any]
    fragmentation_over_time: tuple[tuple[int, float], ...]


def run(
    layout: layouts.Layout,
    scenario: str,
    policy: str,
    seed: int,
    load: float,
    duration_ms: int,
) -> Outcome:
    """Simulates `policy` under the workload given by the other arguments."""
    offered_load = workload.build(
        layout, seed, load, duration_ms, scenario == "zone-change"
    )
    simulation = fakes.Simulation(offered_load, POLICIES[policy], seed)
    simulation.run()
    return Outcome(
        layout.name,
        scenario,
        policy,
        seed,
        simulation.collector.result(),
        tuple(simulation.collector.fragmentation_over_time),
    )
