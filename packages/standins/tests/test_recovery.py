"""Tests the recovery of restarted hosts on real processes."""

import asyncio
import signal

import aiohttp
from laburnumgate_standins import cluster as cluster_module
from laburnumgate_standins import layout

MAX_ATTEMPTS = 150


async def wait_until(read, condition) -> dict:
    """Polls until the condition holds and returns the answer.

    Raises:
      AssertionError: with the last answer, if the condition never held.
    """
    answer = None
    for _ in range(MAX_ATTEMPTS):
        try:
            answer = await read()
        except aiohttp.ClientError:
            answer = None
        if answer is not None and condition(answer):
            return answer
        await asyncio.sleep(0.2)
    raise AssertionError(f"condition not met in time; last answer: {answer}")


def has_both_snapshots(page: dict) -> bool:
    """Returns whether a page of the log has snapshots of both streams."""
    text = " ".join(item["data"] for item in page["records"])
    return '"stream":"jobs"' in text and '"stream":"config"' in text


async def scenario() -> None:
    cluster = cluster_module.Cluster(
        layout.BY_NAME["hai-phong"], timing={"snapshot_every_ms": 1_000}
    )
    session = aiohttp.ClientSession()

    async def get(url: str):
        async with session.get(url) as response:
            return await response.json()

    async def restart(host_id: str) -> str:
        cluster.signal(host_id, signal.SIGKILL)
        cluster.processes_by_name[host_id].wait()
        cluster.start_host(host_id)
        url = cluster.hosts_by_id[host_id].url
        await wait_until(
            lambda: get(f"{url}/v1/ready"), lambda a: a["state"] == "ready"
        )
        return url

    async def check_state(url: str) -> None:
        config = await get(f"{url}/v1/operator/config")
        assert config["values"]["zone-state/spare"]["revision"] == 1
        status = await get(f"{url}/v1/requests/nobody/r1")
        assert status["verdict"]["kind"] == "not_run"

    async def set_log_faults(**values) -> None:
        async with session.post(f"{cluster.log_url}/faults", json=values) as r:
            assert r.status == 200

    try:
        await cluster.start()
        first, second, *_ = cluster.hosts_by_id
        url = cluster.hosts_by_id[first].url
        change = {
            "key": "zone-state/spare",
            "value": {"state": "out"},
            "replaces": 0,
        }
        body = {"operator": "ana", "changes": [change]}
        async with session.post(
            f"{url}/v1/operator/publications", json=body
        ) as response:
            assert response.status == 200
        live = await get(f"{cluster.live_url}/live")
        body = {
            "request_id": "r1",
            "account": "nobody",
            "issued_at_ms": live["as_of_ms"],
        }
        async with session.post(f"{url}/v1/requests", json=body) as response:
            assert response.status == 422
        stored = f"{cluster.log_url}/streams/snapshots/records"
        await wait_until(lambda: get(stored), has_both_snapshots)
        await set_log_faults(retention_ms=6_000)
        config_url = f"{cluster.log_url}/streams/config/records"
        await wait_until(
            lambda: get(config_url), lambda page: page["first_offset"] == 2
        )
        await check_state(await restart(first))
        await set_log_faults(down=True)
        await check_state(await restart(second))
    finally:
        await session.close()
        cluster.stop()


def test_restarted_hosts_recover_from_snapshots_and_from_peers():
    """Guards against a host that cannot rejoin after log entries expired.

    One host restarts after the first entries have expired, so it needs a
    snapshot. Another restarts while the log is down, so it needs its peers.
    """
    asyncio.run(scenario())
