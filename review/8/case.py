"""A job is cancelled, which is answered with 410, and runs afterwards."""

import asyncio
import pathlib

import harness

JOB = "00000000000000a1"
PATH = f"/batch/{JOB}"
CUT_S = 5.0
WATCHED_S = 12.0


async def run(case: harness.Case) -> str | None:
    """Cuts the host that takes the job from the store for some seconds."""
    fleet, record = case.fleet, case.record
    await case.add_workers(8)
    case.store.put(
        "keyed.op",
        "config",
        harness.config(
            1,
            [harness.route("batch", "/batch/", 1)],
            [{"name": "t1", "api_keys": ["k1"], "priority": 1}],
        ),
    )
    await case.start_hosts(3)
    leader = case.leader()
    taker, other = [host for host in case.hosts if host is not leader]
    link = case.store.links[taker.number]
    client = harness.Client(record, "k1")
    cut_at_s = record.now_s()
    if case.trouble:
        link.cut()
        record.add(f"host {taker.number}: cut off from the store")
    body = {
        "task_spec": "x",
        "steps": [harness.step(), harness.step(after=[0])],
    }
    submitted = await client.call(taker, "POST", PATH, body)
    cancelled = await client.call(other, "DELETE", PATH)
    acked_s = record.now_s()
    if cancelled.status not in (200, 410):
        raise harness.CannotRunError("the cancelling was not acknowledged")
    await asyncio.sleep(max(0.0, cut_at_s + CUT_S - record.now_s()))
    link.heal()
    record.add(f"host {taker.number}: reaches the store")
    await asyncio.sleep(WATCHED_S)
    for host in case.hosts:
        await client.call(host, "GET", PATH)
    limit_s = acked_s + harness.BOUNDS["cancel_ms"] / 1000
    late = [each for each in fleet.of_job(JOB) if each.began_s > limit_s]
    if late:
        return (
            f"UNASKED: {len(late)} starts later than cancel_ms after the answer"
            f" {cancelled.status} to DELETE; POST: {submitted.status}"
        )
    return None


if __name__ == "__main__":
    harness.main(run, str(pathlib.Path(__file__).parent))
