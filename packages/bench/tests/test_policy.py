"""Guards what the policy must keep while seeded workloads run."""

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


class CheckedWorld(fakes.World):
    """Calls `check` with the world at every sample."""

    check = None

    def _sample(self) -> None:
        super()._sample()
        self.check(self)


def run(load: workload.Workload, seed: int, check) -> CheckedWorld:
    world = CheckedWorld(load, scheduler.Scheduler, seed)
    world.check = check
    world.run()
    return world


def running(world: CheckedWorld):
    """Yields endpoint, task and job of every running part."""
    for endpoint in world.endpoints.values():
        for task in endpoint.tasks.values():
            if task.state == "running":
                job_id, _, _ = model.parse_task_id(task.task_id)
                yield endpoint, task, world.jobs.get(job_id)


def bound_by_endpoint(world: CheckedWorld) -> dict[str, int]:
    """Returns accelerators in use, outside slots, that no stop can free."""
    bound: dict[str, int] = {}
    for endpoint, task, job in running(world):
        zone = endpoint.described.zone
        slots = world.schedulers[zone]._guarantees
        if job.spec.preemptible or slots.of_job(job.job_id) is not None:
            continue
        name = endpoint.described.endpoint_id
        bound[name] = bound.get(name, 0) + task.accelerators
    return bound


@SETTINGS
@hypothesis.given(seed=SEEDS, layout=LAYOUTS, load=LOADS)
def test_work_that_cannot_be_stopped_leaves_reservations_alone(
    seed, layout, load
):
    """Guards against a guarantee that only loss or waiting could clear."""
    offered = workload.build(layout, seed, load, 30_000, False)
    arrivals = []
    for index, one in enumerate(offered.arrivals):
        if index % 2:
            spec = dataclasses.replace(
                one.spec, idempotent=False, checkpointable=False
            )
            one = dataclasses.replace(one, spec=spec)
        arrivals.append(one)
    offered = dataclasses.replace(offered, arrivals=tuple(arrivals))

    def check(world):
        bound = bound_by_endpoint(world)
        for one in world.schedulers.values():
            for name, row in one._free.rows_by_id.items():
                owed = sum(
                    slot.parts_by_endpoint.get(name, 0)
                    * slot.accelerators_per_part
                    for slot in one._guarantees
                )
                total = row.endpoint.accelerators
                assert owed + bound.get(name, 0) <= total, name

    run(offered, seed, check)


@SETTINGS
@hypothesis.given(seed=SEEDS, layout=LAYOUTS, load=LOADS)
def test_a_guaranteed_shape_is_reclaimed_in_time(seed, layout, load):
    """Guards against borrowers that keep an account from its guarantee."""
    offered = workload.build(layout, seed, load, 30_000, False)
    world = run(offered, seed, lambda _: None)
    result = world.measures.result()
    assert sum(result["late_guaranteed"].values()) == 0
    owed = [row["max"] for row in result["reclaim_ms"].values()]
    assert max(owed, default=0) <= measures.START_LIMIT_MS


@SETTINGS
@hypothesis.given(seed=SEEDS, layout=LAYOUTS, load=LOADS)
def test_nothing_starts_in_a_zone_out_of_service(seed, layout, load):
    """Guards against starts after operators took a zone out."""
    offered = workload.build(layout, seed, load, 30_000, True)
    out_ms = next(f.at_ms for f in offered.faults if f.what == "out")
    in_ms = next(f.at_ms for f in offered.faults if f.what == "in")
    zone = next(f.name for f in offered.faults if f.what == "out")

    def check(world):
        for endpoint, task, _ in running(world):
            if endpoint.described.zone != zone:
                continue
            # Answers already under way may still resume a held part.
            late_ms = out_ms + fakes.CALL_MS
            assert not late_ms < task.resumed_ms < in_ms, task.task_id

    run(offered, seed, check)


@SETTINGS
@hypothesis.given(seed=SEEDS, layout=LAYOUTS, load=LOADS)
def test_quotas_hold(seed, layout, load):
    """Guards against zones that together exceed an account's quota."""
    accounts = tuple(
        dataclasses.replace(account, quota=max(64, account.quota // 2))
        for account in layout.accounts
    )
    layout = dataclasses.replace(layout, accounts=accounts)
    offered = workload.build(layout, seed, load, 30_000, False)

    def check(world):
        used: dict[str, int] = {}
        for _, task, job in running(world):
            used[job.account] = used.get(job.account, 0) + task.accelerators
        for account, amount in used.items():
            promise = world.config.promises_by_account[account]
            assert amount <= promise.quota_accelerators, account

    run(offered, seed, check)
