"""One job of many steps keeps all jobs of all accounts from running."""

import asyncio
import pathlib

import harness

_RACKS = [(f"z{number % 3}", f"r{number % 3}", 8) for number in range(6)]
_STEP = {"count": 1, "cpu": 4_000, "mem_mb": 256, "est_duration_ms": 900}
_WORK_MS = [900]
_LARGE_JOB = "5c0e7a21d94b36f8"
_STEPS = 600
_SMALL_JOBS = 6
_SMALL_JOB_INTERVAL_S = 1
_ATTEMPTS = 5
_RETRY_S = 0.5
_FINISH_S = 14
_WATCHED_S = 12
_STALL_MS = 3_000


async def _play(installation: harness.Installation) -> list[str]:
    await installation.set_up(["z0", "z1", "z2"], _RACKS)
    if installation.disrupted:
        large = [_STEP] * _STEPS
        if await _client(installation, _LARGE_JOB, large) is None:
            answers = installation.found("answered", job=_LARGE_JOB)
            if all(event["status"] for event in answers):
                raise harness.CannotRunError("the large job was refused")
    clients = []
    for number in range(_SMALL_JOBS):
        job_id = f"7c0e7a21d94b36f{number}"
        clients.append(
            installation.spawn(_client(installation, job_id, [_STEP]))
        )
        await asyncio.sleep(_SMALL_JOB_INTERVAL_S)
    accepted = [job_id for job_id in await asyncio.gather(*clients) if job_id]
    if not accepted:
        raise harness.CannotRunError("no small job was accepted")
    await asyncio.sleep(_FINISH_S)
    begin_ms = installation.now_ms()
    idle_since_ms = begin_ms
    broken = []
    while installation.now_ms() < begin_ms + 1000 * _WATCHED_S:
        waiting = [j for j in accepted if not installation.has_started(j)]
        used = sum(len(worker.running) for worker in installation.workers)
        installation.record("looked", waiting=len(waiting), tasks_running=used)
        now_ms = installation.now_ms()
        if used or not waiting:
            idle_since_ms = now_ms
        elif now_ms - idle_since_ms >= _STALL_MS and not broken:
            broken = [
                f"LOST: {len(waiting)} of {len(accepted)} accepted small jobs"
                f" have nothing running {now_ms - begin_ms + 1000 * _FINISH_S}"
                " ms after the end of the traffic, and all workers are idle"
            ]
        await asyncio.sleep(0.2)
    for job_id in accepted:
        await installation.call(installation.hosts[0], "GET", job_id)
    return broken


async def _client(installation, job_id: str, steps: list) -> str | None:
    """Submits a job, at another machine after each try in vain.

    Returns:
      The id of the job if it was accepted.
    """
    for attempt in range(_ATTEMPTS):
        host = installation.hosts[attempt % len(installation.hosts)]
        if await installation.submit(host, job_id, steps, _WORK_MS) == 200:
            return job_id
        await asyncio.sleep(_RETRY_S)
    return None


harness.run(pathlib.Path(__file__).parent, _play)
