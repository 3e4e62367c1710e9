"""Measures memory, record size and CPU time of a host's tables.

Run as `python -m laburnumgate_bench.footprint`. Each quantity is measured at
three sizes and fitted with a straight line, so that `docs/CAPACITY.md` can
extrapolate to sizes that do not fit on one machine.
"""

from collections.abc import Callable
import dataclasses
import gc
import json
import time
import tracemalloc

import click
from laburnumgate_core import config
from laburnumgate_core import jobs
from laburnumgate_core import membership
from laburnumgate_core import model
from laburnumgate_core import records
from laburnumgate_core import verdict
from laburnumgate_rpc import peer_pb2
import numpy as np

SIZES = (2_000, 4_000, 8_000)
ACCOUNTS = 110
PAYLOAD_BYTES = 256
PARTS = 3
ANSWER_BYTES_PER_PART = 200


@dataclasses.dataclass(frozen=True)
class Slope:
    """Linear fit: cost per item and fixed cost."""

    name: str
    unit: str
    per_item: float
    fixed: float


def job_entries(count: int, stage: str) -> list[records.Entry]:
    """Returns the log entries that bring `count` jobs to `stage`.

    Args:
      count: number of jobs.
      stage: `queued`, `active` or `ended`.
    """
    entries = []
    for number in range(count):
        for record in _job_records(number, stage):
            entries.append(
                records.Entry(
                    len(entries) + 1,
                    f"host-1-{len(entries)}",
                    records.encode_jobs((record,)),
                )
            )
    return entries


def _job_records(number: int, stage: str) -> list[records.JobRecord]:
    job_id = f"account-{number % ACCOUNTS}/request-{number}"
    spec = model.JobSpec(
        kind="review",
        parts=PARTS,
        accelerators_per_part=8,
        run_ms=3_600_000,
        payload="x" * PAYLOAD_BYTES,
    )
    submitted = records.Submitted(
        job_id=job_id,
        account=f"account-{number % ACCOUNTS}",
        spec=spec,
        zone="zone-1",
        body_hash=f"{number:032x}",
        at_ms=number,
        issued_at_ms=number,
        deadline_ms=0,
    )
    if stage == "queued":
        return [submitted]
    endpoints = tuple(f"zone-1-rack-{number % 40}-{i}" for i in range(PARTS))
    boot_ids = tuple(f"{number + i:032x}" for i in range(PARTS))
    starting = records.Starting(
        job_id, 1, "zone-1", endpoints, boot_ids, number
    )
    if stage == "active":
        return [submitted, starting]
    answer = tuple("a" * ANSWER_BYTES_PER_PART for _ in range(PARTS))
    ended = records.Ended(job_id, 1, verdict.Ran(answer), number)
    return [submitted, starting, ended]


def config_entries(count: int) -> list[records.Entry]:
    """Returns `count` entries that each set the state of another endpoint."""
    entries = []
    for number in range(count):
        change = records.Change(
            f"endpoint-state/zone-1-rack-{number}", {"state": "draining"}, 0
        )
        publication = records.Publication(
            f"change-{number}", "operator", number, (change,)
        )
        data = records.encode_publication(publication)
        entries.append(records.Entry(number + 1, f"c-{number}", data))
    return entries


def _apply_jobs(entries: list[records.Entry]) -> jobs.JobTable:
    table = jobs.JobTable()
    for entry in entries:
        table.apply_entry(entry)
    table.take_changes()
    return table


def _apply_config(entries: list[records.Entry]) -> config.ConfigTable:
    table = config.ConfigTable()
    for entry in entries:
        table.apply_entry(entry)
    return table


def allocated_bytes(build: Callable[[], object]) -> int:
    """Returns the bytes that remain allocated for the result of `build`."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


def cpu_time_us(call: Callable[[], object]) -> float:
    """Returns the CPU time of one call in microseconds."""
    start_ns = time.process_time_ns()
    call()
    return (time.process_time_ns() - start_ns) / 1_000


def fit(name: str, unit: str, sizes: tuple[int, ...], values) -> Slope:
    """Fits a least-squares line to `values` over `sizes`."""
    per_item, fixed = np.polyfit(np.array(sizes, float), np.array(values), 1)
    return Slope(name, unit, round(float(per_item), 3), round(float(fixed), 1))


def measure() -> list[Slope]:
    """Measures and fits every quantity."""
    slopes = []
    for stage in ("queued", "active", "ended"):
        batches = [job_entries(size, stage) for size in SIZES]
        memory = [
            allocated_bytes(lambda batch=batch: _apply_jobs(batch))
            for batch in batches
        ]
        slopes.append(fit(f"{stage} job, memory", "bytes", SIZES, memory))
        times_us = [
            cpu_time_us(lambda batch=batch: _apply_jobs(batch))
            for batch in batches
        ]
        slopes.append(fit(f"{stage} job, to fold", "us", SIZES, times_us))
        log_bytes = [
            sum(len(entry.data) for entry in batch) for batch in batches
        ]
        slopes.append(
            fit(f"{stage} job, in the log", "bytes", SIZES, log_bytes)
        )
    batches = [config_entries(size) for size in SIZES]
    slopes.append(
        fit(
            "configuration key, memory",
            "bytes",
            SIZES,
            [
                allocated_bytes(lambda batch=batch: _apply_config(batch))
                for batch in batches
            ],
        )
    )
    slopes.append(
        fit(
            "configuration change, to fold",
            "us",
            SIZES,
            [
                cpu_time_us(lambda batch=batch: _apply_config(batch))
                for batch in batches
            ],
        )
    )
    slopes.append(_heartbeat_slope())
    return slopes


def _heartbeat_slope() -> Slope:
    sizes = (9, 33, 99)
    lengths = []
    for size in sizes:
        members = []
        for number in range(size):
            member = membership.Member(
                host_id=f"zone-{number % 11}-host-{number}",
                zone=f"zone-{number % 11}",
                rpc_ip="127.0.0.1",
                rpc_port=9000,
                incarnation=1_796_368_158_689,
                heartbeat=100_000,
                state="ready",
                config_offset=1_000_000,
                jobs_offset=1_000_000,
            )
            members.append(peer_pb2.Member(**dataclasses.asdict(member)))
        request = peer_pb2.HeartbeatRequest(sender=members[0], members=members)
        lengths.append(request.ByteSize())
    return fit("member in a full heartbeat", "bytes", sizes, lengths)


@click.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def main(as_json: bool) -> None:
    """Prints the fixed cost and the cost per item of each quantity."""
    slopes = measure()
    if as_json:
        click.echo(json.dumps([dataclasses.asdict(s) for s in slopes]))
        return
    for slope in slopes:
        click.echo(
            f"{slope.name}: {slope.per_item} {slope.unit} each, "
            f"{slope.fixed} {slope.unit} fixed"
        )


if __name__ == "__main__":
    main()
