"""A start order arrives late, at a worker that has crashed meanwhile."""

import asyncio
import pathlib
import signal

import harness

JOB = "00000000000000a1"
URGENT_JOB = "00000000000000b2"
# All times are in seconds, and those below count from the order's arrival.
LATE_S = 6.0
CRASH_S = 4.9
BOOT_S = 5.5
# The worker writes its entry this long after it has booted.
REGISTER_S = 1.4
WORK_S = 12.0


async def run(case: harness.Case) -> str | None:
    """Restarts the leader, and crashes the worker that has the late order."""
    fleet, record = case.fleet, case.record
    fleet.work_s = lambda task: WORK_S
    await case.add_workers(8)
    case.store.put(
        "keyed.op",
        "config",
        harness.config(
            1,
            [
                harness.route("batch", "/batch/", 1),
                harness.route("urgent", "/urgent/", 0),
            ],
            [{"name": "t1", "api_keys": ["k1"], "priority": 1}],
        ),
    )
    await case.start_hosts(3)
    leader = case.leader()
    other = next(host for host in case.hosts if host is not leader)
    client = harness.Client(record, "k1")
    held: list[str] = []

    def late_order(worker: str, path: str, body: dict) -> float | None:
        if path != "/-/run-start" or not body["task"].startswith(JOB):
            return None
        if body["run_id"] != 1 or not case.trouble:
            return None
        held.append(worker)
        return LATE_S

    fleet.late_order = late_order
    steps = [harness.step(gpu=8, est_duration_ms=12000)]
    await client.submit(other, f"/batch/{JOB}", steps)
    if case.trouble:
        await case.until(lambda: held, 5, "an order is not answered")
        began_s = record.now_s()
        leader.send_signal(signal.SIGTERM)
        # Takes the worker that would be the first choice for the other job.
        await client.submit(other, f"/urgent/{URGENT_JOB}", steps)
        await case.until(
            lambda: fleet.of_job(JOB), 4, "the next leader has started the task"
        )
        worker = fleet.workers[held[0]]
        if worker.busy:
            raise harness.CannotRunError("the task is on the same worker")
        await asyncio.sleep(began_s + CRASH_S - record.now_s())
        await worker.crash()
        await asyncio.sleep(began_s + BOOT_S - record.now_s())
        worker.register_delay_s = REGISTER_S
        await worker.boot()
        await case.until(leader.gone, 10, "the first leader has stopped")
        leader.bootstrap = False
        leader.write_settings()
        leader.start()
    await asyncio.sleep(WORK_S + 4)
    runs = fleet.of_job(JOB)
    for first in runs:
        for second in runs:
            if first is second or second.began_s < first.began_s:
                continue
            if first.ended_s is None or second.began_s < first.ended_s:
                return (
                    f"TWICE: run {first.number} on {first.worker} and run"
                    f" {second.number} on {second.worker} at the same time"
                )
    return None


if __name__ == "__main__":
    harness.main(run, str(pathlib.Path(__file__).parent))
