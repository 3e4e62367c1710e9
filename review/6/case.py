"""A job that lasts loses two workers in turn and is given up."""

import asyncio
import pathlib

import harness

JOB = "00000000000000a1"
PATH = f"/serve/{JOB}"
# A crashed worker is back after this time, in seconds.
DOWN_S = 4.0
WATCHED_S = 14


async def run(case: harness.Case) -> str | None:
    """Crashes the worker of the job's task twice, one after the other."""
    fleet = case.fleet
    fleet.work_s = lambda task: None
    await case.add_workers(8)
    case.store.put(
        "keyed.op",
        "config",
        harness.config(
            1,
            [harness.route("serve", "/serve/", 1)],
            [{"name": "t1", "api_keys": ["k1"], "priority": 1}],
        ),
    )
    await case.start_hosts(2)
    client = harness.Client(case.record, "k1")
    steps = [harness.step(long_running=True)]
    await client.submit(case.hosts[0], PATH, steps)
    for _ in range(2):
        await case.until(
            lambda: any(w.busy for w in fleet.workers.values()),
            20,
            "the task runs",
        )
        await asyncio.sleep(2.0)
        if case.trouble:
            worker = next(w for w in fleet.workers.values() if w.busy)
            await worker.crash()
            await asyncio.sleep(DOWN_S)
            await worker.boot()
    states = set()
    for _ in range(WATCHED_S):
        await asyncio.sleep(1.0)
        for host in case.hosts:
            answer = await client.call(host, "GET", PATH)
            states.add(answer.state)
    if any(each.end == "failed" for each in fleet.runs):
        raise harness.CannotRunError("a run has failed")
    if "failed" in states:
        return "LOST: the job is shown as failed, and no run ended failed"
    return None


if __name__ == "__main__":
    harness.main(run, str(pathlib.Path(__file__).parent))
