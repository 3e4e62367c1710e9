"""Factories for test data and helpers to run coroutines."""

import asyncio
import dataclasses

from laburnumgate_core import clock
from laburnumgate_placer import config_table
from laburnumgate_placer import endpoint_table
from laburnumgate_placer import job_table
from laburnumgate_placer import lifecycle
from laburnumgate_placer import limits
from laburnumgate_placer import model
from laburnumgate_placer import tables as tables_module
from laburnumgate_placer import termination

QUEUE = model.Queue(
    "reviews", "h.example", "/reviews/", "pool", attempts=3, stretch=2.0
)
PROOF = termination.EndReported(1, model.EndKind.STOPPED)
ACCOUNT = model.Account("mina", frozenset({"key-1"}), guaranteed_gpu=16)
# Three queues as users have them, the most urgent one first.
URGENT = dataclasses.replace(
    QUEUE,
    name="urgent",
    prefix="/u/",
    priority=0,
    stretch=1.5,
    objective_ms=300,
)
NORMAL = dataclasses.replace(
    QUEUE,
    name="normal",
    prefix="/n/",
    priority=1,
    stretch=3.0,
    objective_ms=1_000,
)
BATCH = dataclasses.replace(
    QUEUE,
    name="batch",
    prefix="/b/",
    priority=2,
    stretch=3.0,
    objective_ms=3_000,
)


def config(*queues, accounts=(ACCOUNT,), version=1) -> model.Configuration:
    queues = queues or (QUEUE,)
    return model.Configuration(
        version,
        {queue.name: queue for queue in queues},
        {account.name: account for account in accounts},
        {key: a.name for a in accounts for key in a.keys},
        100_000,
    )


def step(count=1, gpu=1, **fields) -> model.Step:
    room = model.Resources(1_000, 1_000, gpu)
    fields.setdefault("estimate_ms", 1_000)
    return model.Step(count=count, room=room, **fields)


def job(job_id="00000000000000a1", *steps, queue=QUEUE, **fields) -> model.Job:
    return model.Job(
        job_id=job_id,
        queue=queue,
        account=fields.pop("account", "mina"),
        payload="text",
        steps=steps or (step(),),
        accepted_ms=fields.pop("accepted_ms", 0),
        **fields,
    )


def endpoint(endpoint_id="e1", **fields) -> model.Endpoint:
    values = {
        "endpoint_id": endpoint_id,
        "born_ms": 1,
        "service": "pool",
        "address": f"{endpoint_id}:1",
        "zone": "a",
        "rack": "r1",
        "labels": frozenset({"k", "r1"}),
        "capacity": model.Resources(32_000, 64_000, 8),
    }
    return model.Endpoint(**(values | fields))


def tables(
    *queues, accounts=(ACCOUNT,), bounds=None, policy=None
) -> tables_module.Tables:
    """Returns empty tables with manual clocks and fencing token 7."""
    monotonic = clock.ManualClock(100_000)
    bounds = bounds or limits.Bounds()
    in_force = config_table.ConfigTable(monotonic, bounds.config_apply_ms)
    in_force.publish(1, config(*queues, accounts=accounts))
    return tables_module.Tables(
        7,
        monotonic,
        clock.ManualClock(1_000_000),
        in_force,
        job_table.JobTable(),
        bounds,
        policy,
    )


def add_endpoint(
    tables, endpoint_id="e1", **fields
) -> endpoint_table.EndpointState:
    """Adds an endpoint that the leader has already contacted."""
    state = endpoint_table.EndpointState(endpoint(endpoint_id, **fields))
    state.contacted = True
    state.set_clock(50_000, tables.monotonic.now_ms())
    tables.endpoints.by_id[endpoint_id] = state
    return state


def start(tables, run) -> None:
    """Marks a run as started on all its endpoints."""
    from laburnumgate_placer import progress

    run.phase = progress.Phase.RUNNING
    run.started_ms = tables.monotonic.now_ms()
    for member in run.members:
        member.start_sent = True
        member.present = True
        member.report_valid_from_ms = tables.monotonic.now_ms()


def report(state, *running, ended=(), clock_ms=60_000, born_ms=0):
    return model.Report(clock_ms, born_ms, tuple(running), tuple(ended))


def row(member, percent=10, checkpoint="") -> model.ReportedRun:
    return model.ReportedRun(
        member.task, member.run.number, checkpoint, percent, 0.0
    )


def end(member, number, kind, checkpoint="") -> model.ReportedEnd:
    return model.ReportedEnd(
        number, member.task, member.run.number, kind, checkpoint
    )


def run(coroutine, seconds=20):
    """Runs a coroutine to completion, with a timeout of `seconds`."""

    async def bounded():
        async with asyncio.timeout(seconds):
            return await coroutine

    return asyncio.run(bounded())


replace = dataclasses.replace


def expire_leases(tables, state) -> None:
    """Gives up all members of an endpoint, whatever their leases."""
    members = list(state.members.values())
    proof = termination.LeasesExpired(0)
    lifecycle.expire_leases(tables, state, members, proof)


def record_starts(tables) -> None:
    """Marks all pending starts as recorded, as the recorder does."""
    now_ms = tables.monotonic.now_ms()
    tables.recorded_starts = {
        (endpoint_id, *key)
        for endpoint_id, state in tables.endpoints.by_id.items()
        for key in state.pending_starts.keys(now_ms)
    }
