"""Tests invariants of the scheduling policy under seeded workloads."""

import dataclasses

import hypothesis
from hypothesis import strategies
from laburnumgate_bench import fakes
from laburnumgate_bench import measures
from laburnumgate_bench import workload
from laburnumgate_core import model
from laburnumgate_core import scheduler
from laburnumgate_standins import layout as layouts

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=4, deadline=None, database=None
)
SEEDS = strategies.integers(0, 10_000)
LAYOUTS = strategies.sampled_from(list(layouts.BY_NAME.values()))
LOADS = strategies.sampled_from([0.85, 1.5])


class CheckedSimulation(fakes.Simulation):
    """Calls `check` with the simulation at every sample."""

    check = None

    def _sample(self) -> None:
        super()._sample()
        self.check(self)


def run(load: workload.Workload, seed: int, check) -> CheckedSimulation:
    simulation = CheckedSimulation(load, scheduler.Scheduler, seed)
    simulation.check = check
    simulation.run()
    return simulation


def running_parts(simulation: CheckedSimulation):
    """Yields endpoint, task and job of every running part."""
    for endpoint in simulation.endpoints.values():
        for task in endpoint.tasks.values():
            if task.state == "running":
                job_id, _, _ = model.parse_task_id(task.task_id)
                yield endpoint, task, simulation.jobs.get(job_id)


def unpreemptible_by_endpoint(simulation: CheckedSimulation) -> dict[str, int]:
    """Returns accelerators of non-preemptible tasks outside slots."""
    unpreemptible: dict[str, int] = {}
    for endpoint, task, job in running_parts(simulation):
        zone = endpoint.definition.zone
        slots = simulation.schedulers[zone]._guarantees
        if job.spec.preemptible or slots.of_job(job.job_id) is not None:
            continue
        name = endpoint.definition.endpoint_id
        unpreemptible[name] = unpreemptible.get(name, 0) + task.accelerators
    return unpreemptible


@SETTINGS
@hypothesis.given(seed=SEEDS, layout=LAYOUTS, load=LOADS)
def test_non_preemptible_work_does_not_use_reservations(seed, layout, load):
    """Non-preemptible work must not run on reserved accelerators.

    Otherwise a guarantee could be met only by losing that work or by waiting
    for its end.
    """
    offered_load = workload.build(layout, seed, load, 30_000, False)
    arrivals = []
    for index, arrival in enumerate(offered_load.arrivals):
        if index % 2:
            spec = dataclasses.replace(
                arrival.spec, idempotent=False, checkpointable=False
            )
            arrival = dataclasses.replace(arrival, spec=spec)
        arrivals.append(arrival)
    offered_load = dataclasses.replace(offered_load, arrivals=tuple(arrivals))

    def check(simulation):
        unpreemptible = unpreemptible_by_endpoint(simulation)
        for zone_scheduler in simulation.schedulers.values():
            for name, row in zone_scheduler._free.rows_by_id.items():
                reserved = sum(
                    slot.parts_by_endpoint.get(name, 0)
                    * slot.accelerators_per_part
                    for slot in zone_scheduler._guarantees
                )
                total = row.endpoint.accelerators
                assert reserved + unpreemptible.get(name, 0) <= total, name

    run(offered_load, seed, check)


@SETTINGS
@hypothesis.given(seed=SEEDS, layout=LAYOUTS, load=LOADS)
def test_a_guaranteed_shape_is_reclaimed_in_time(seed, layout, load):
    """Borrowed capacity must be returned within the start limit."""
    offered_load = workload.build(layout, seed, load, 30_000, False)
    simulation = run(offered_load, seed, lambda _: None)
    result = simulation.collector.result()
    assert sum(result["late_guaranteed"].values()) == 0
    delays_ms = [row["max"] for row in result["reclaim_ms"].values()]
    assert max(delays_ms, default=0) <= measures.START_LIMIT_MS


@SETTINGS
@hypothesis.given(seed=SEEDS, layout=LAYOUTS, load=LOADS)
def test_nothing_starts_in_a_zone_out_of_service(seed, layout, load):
    """No task may start after operators took a zone out of service."""
    offered_load = workload.build(layout, seed, load, 30_000, True)
    out_ms = next(f.at_ms for f in offered_load.faults if f.kind == "out")
    in_ms = next(f.at_ms for f in offered_load.faults if f.kind == "in")
    zone = next(f.target for f in offered_load.faults if f.kind == "out")

    def check(simulation):
        for endpoint, task, _ in running_parts(simulation):
            if endpoint.definition.zone != zone:
                continue
            # Calls already in flight may still resume a held part.
            late_ms = out_ms + fakes.CALL_LATENCY_MS
            assert not late_ms < task.resumed_ms < in_ms, task.task_id

    run(offered_load, seed, check)


@SETTINGS
@hypothesis.given(seed=SEEDS, layout=LAYOUTS, load=LOADS)
def test_quotas_hold(seed, layout, load):
    """Zones together must not exceed the quota of an account.

    Each zone places on its own, so their sum could pass the quota.
    """
    accounts = tuple(
        dataclasses.replace(account, quota=max(64, account.quota // 2))
        for account in layout.accounts
    )
    layout = dataclasses.replace(layout, accounts=accounts)
    offered_load = workload.build(layout, seed, load, 30_000, False)

    def check(simulation):
        used: dict[str, int] = {}
        for _, task, job in running_parts(simulation):
            used[job.account] = used.get(job.account, 0) + task.accelerators
        for account, amount in used.items():
            promise = simulation.config.promises_by_account[account]
            assert amount <= promise.quota_accelerators, account

    run(offered_load, seed, check)
