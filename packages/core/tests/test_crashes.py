"""Tests of runs whose endpoints crash under them."""

import dataclasses
import json
import zlib

from laburnumgate_core import gang
from laburnumgate_core import jobs
from laburnumgate_core import records
from laburnumgate_core import snapshot
from laburnumgate_core import verdict
import pytest
import zone_fake

RESTART_MS = 3_000


def make_zone(endpoints: int = 1, hosts: int = 1, **fields) -> zone_fake.Zone:
    zone = zone_fake.Zone(endpoints=endpoints, hosts=hosts)
    zone.submit("a/r", **{"parts": endpoints, "payload": "20000", **fields})
    zone.hosts[0].activate()
    return zone


def crashes(zone: zone_fake.Zone) -> int:
    return sum(e.boot - 1 for e in zone.endpoints_by_id.values())


@pytest.mark.parametrize("state", ["held", "running"])
@pytest.mark.parametrize(
    "down_ms", [10, RESTART_MS, 12_400, 12_800, 30_000, 200_000]
)
def test_a_task_does_not_crash_endpoint_after_endpoint(state, down_ms):
    """Guards against starting a task that crashes endpoints without end."""
    zone = make_zone()
    zone.down_ms_by_crashing_part["a/r", 0, state] = down_ms
    zone.advance(2_000_000)
    assert crashes(zone) == gang.MAX_CRASHES
    assert isinstance(zone.job("a/r").outcome, verdict.RanFailed)


def test_a_new_placing_host_does_not_forget_crashes():
    """Guards against counting crashes anew under each placing host."""
    zone = make_zone(hosts=8)
    zone.down_ms_by_crashing_part["a/r", 0, "running"] = RESTART_MS
    for old, new in zip(zone.hosts, zone.hosts[1:], strict=False):
        zone.advance(8_000)
        old.alive = False
        zone.advance(zone_fake.TAKEOVER_MS)
        new.activate()
    zone.advance(200_000)
    assert crashes(zone) == gang.MAX_CRASHES
    assert isinstance(zone.job("a/r").outcome, verdict.RanFailed)


@pytest.mark.parametrize("die_after", range(2, 9))
def test_a_crash_between_two_placing_hosts_counts(die_after):
    """Guards against missing the crash of an endpoint in a takeover."""
    zone = make_zone(hosts=2)
    zone.down_ms_by_crashing_part["a/r", 0, "running"] = RESTART_MS
    zone.hosts[0].die_after = die_after
    zone.advance(zone_fake.TAKEOVER_MS)
    zone.hosts[0].alive = False
    zone.hosts[1].activate()
    zone.advance(200_000)
    assert crashes(zone) == gang.MAX_CRASHES
    assert isinstance(zone.job("a/r").outcome, verdict.RanFailed)


def test_crashes_under_different_parts_do_not_end_a_gang():
    """Guards against failing a large gang whose endpoints restart by chance."""
    zone = make_zone(endpoints=5, payload="30000")
    for endpoint in list(zone.endpoints_by_id.values()):
        zone.advance(10_000)
        endpoint.crash(RESTART_MS)
    zone.advance(60_000)
    assert isinstance(zone.job("a/r").outcome, verdict.Ran)


def test_power_loss_of_all_endpoints_counts_once_for_each_part():
    """Guards against failing a gang after one fault of its whole rack."""
    zone = make_zone(endpoints=5, payload="30000")
    for _ in range(gang.MAX_CRASHES - 1):
        zone.advance(10_000)
        for endpoint in zone.endpoints_by_id.values():
            endpoint.crash(RESTART_MS)
    zone.advance(60_000)
    assert isinstance(zone.job("a/r").outcome, verdict.Ran)


def test_restarts_of_a_draining_endpoint_are_no_crashes():
    """Guards against failing long work because of maintenance."""
    zone = make_zone(payload="30000")
    for _ in range(gang.MAX_CRASHES):
        zone.advance(10_000)
        zone.out_of_service_ids.add("e0")
        zone.endpoints_by_id["e0"].crash(RESTART_MS)
        zone.advance(RESTART_MS + 10_000)
        zone.out_of_service_ids.clear()
    zone.advance(60_000)
    assert isinstance(zone.job("a/r").outcome, verdict.Ran)


def test_restarts_under_a_run_that_is_stopped_are_no_crashes():
    """Guards against failing work that gave way to other work."""
    zone = make_zone(payload="30000")
    zone.endpoints_by_id["e0"].slow_stop_ms = 1_900
    for _ in range(gang.MAX_CRASHES):
        zone.advance(10_000)
        host = zone.hosts[0]
        run = host.runs.runs_by_id["a/r"]
        host.carry_out(run.preempt("its capacity is needed", zone.now_ms))
        zone.endpoints_by_id["e0"].crash(1_000)
    zone.advance(60_000)
    assert isinstance(zone.job("a/r").outcome, verdict.Ran)


def test_unreachable_endpoints_that_kept_their_tasks_did_not_crash():
    """Guards against failing work because of a partition."""
    zone = make_zone(payload="30000")
    endpoint = zone.endpoints_by_id["e0"]
    for _ in range(gang.MAX_CRASHES):
        zone.advance(10_000)
        endpoint.reachable = False
        zone.advance(15_000)
        endpoint.reachable = True
    zone.advance(120_000)
    assert isinstance(zone.job("a/r").outcome, verdict.Ran)


@pytest.mark.parametrize("state", ["held", "running"])
def test_a_non_idempotent_task_crashes_endpoints_no_more_often(state):
    """Guards against repeating a start of work that may have run."""
    zone = make_zone(idempotent=False)
    zone.down_ms_by_crashing_part["a/r", 0, state] = RESTART_MS
    zone.advance(2_000_000)
    limit = 1 if state == "running" else gang.MAX_CRASHES
    assert crashes(zone) <= limit
    assert len(zone_fake.resumed_runs(zone, "a/r")) <= 1
    assert isinstance(zone.job("a/r").outcome, verdict.MayHaveRun)


def test_records_and_snapshots_without_crashes_are_read():
    """Guards against hosts that cannot read what earlier builds wrote."""
    record = records.Requeued("a/r", 1, "lost", True, 5)
    old = json.loads(records.encode_job(record))
    del old["crashes"]
    assert records.decode_job(json.dumps(old).encode()) == record
    state = jobs.JobsState(1, 1, (make_zone().job("a/r"),))
    lines = zlib.decompress(b"".join(snapshot.encode_steps(state)))
    old_lines = lines.replace(b'"crashes":[],', b"")
    assert old_lines != lines
    body = snapshot.Body("jobs", 1, zlib.compress(old_lines))
    assert snapshot.decode(body) == state


def test_a_snapshot_keeps_crashes():
    """Guards against counting crashes anew after a host has recovered."""
    job = dataclasses.replace(
        make_zone().job("a/r"), crashes=(records.Crash(0, "e0"),)
    )
    state = jobs.JobsState(1, 1, (job,))
    data = b"".join(snapshot.encode_steps(state))
    assert snapshot.decode(snapshot.Body("jobs", 1, data)) == state
