"""Guards the table of runs of a placing host, its proofs and adoptions."""

from laburnumgate_core import gang
from laburnumgate_core import jobs
from laburnumgate_core import records
from laburnumgate_core import verdict
import pytest
import zone_fake

HELD_AFTER = 7
RESUMED_AFTER = 8


def interrupted(sent: int | None, **fields) -> zone_fake.Zone:
    """Returns a zone whose first host died after `sent` actions or 500 ms."""
    zone = zone_fake.Zone(hosts=2)
    zone.submit("a/r", **{"idempotent": False, "payload": "30000", **fields})
    zone.hosts[0].activate()
    zone.hosts[0].die_after = sent
    zone.run(500)
    assert zone.hosts[0].alive == (sent is None)
    zone.hosts[0].alive = False
    return zone


def take_over(zone: zone_fake.Zone, for_ms: int = 60_000) -> None:
    zone.run(zone_fake.TAKEOVER_MS)
    zone.hosts[1].activate()
    zone.run(for_ms)


def test_held_run_is_proven_unstarted_and_runs_once():
    """Guards against "may have run" for a gang that was only held."""
    zone = interrupted(HELD_AFTER)
    take_over(zone)
    assert [r.may_have_run for r in zone.requeued()] == [False]
    assert isinstance(zone.job("a/r").outcome, verdict.Ran)
    assert zone_fake.resumed_runs(zone, "a/r") == {2}


def test_partly_resumed_run_is_not_repeated():
    """Guards against a second execution of a non-idempotent request."""
    zone = interrupted(RESUMED_AFTER)
    take_over(zone, 120_000)
    assert isinstance(zone.job("a/r").outcome, verdict.MayHaveRun)
    assert zone_fake.resumed_runs(zone, "a/r") == {1}


def test_partly_resumed_idempotent_run_is_repeated():
    """Guards against a lost request after the host's death."""
    zone = interrupted(RESUMED_AFTER, idempotent=True)
    take_over(zone, 120_000)
    assert zone.requeued()[0].may_have_run
    assert isinstance(zone.job("a/r").outcome, verdict.Ran)


def test_changed_boot_id_proves_nothing():
    """Guards against taking a restarted endpoint for one that never ran."""
    zone = interrupted(HELD_AFTER)
    zone.endpoints_by_id["e1"].reboot()
    take_over(zone, 120_000)
    assert isinstance(zone.job("a/r").outcome, verdict.MayHaveRun)
    assert zone_fake.resumed_runs(zone, "a/r") == set()


def test_restart_between_report_and_fence_proves_nothing():
    """Guards against a boot id that is compared only once."""
    zone = interrupted(HELD_AFTER - 3)
    zone.run(zone_fake.TAKEOVER_MS)
    zone.hosts[1].activate()
    while zone.hosts[1].runs.runs_by_id["a/r"].phase is gang.Phase.ADOPTING:
        zone.run(1)
    assert zone.hosts[1].runs.runs_by_id["a/r"].phase is gang.Phase.PROVING
    zone.endpoints_by_id["e1"].reboot()
    zone.run(90_000)
    assert isinstance(zone.job("a/r").outcome, verdict.MayHaveRun)


def test_whole_gang_goes_on_under_the_next_host():
    """Guards against stopping work because a host died."""
    zone = interrupted(None)
    take_over(zone, 90_000)
    assert isinstance(zone.job("a/r").outcome, verdict.Ran)
    assert zone.requeued() == []
    assert zone_fake.longest_partial_ms(zone, "a/r", 1, 3) <= 10


def test_gang_that_finished_unattended_ends_with_its_answer():
    """Guards against a lost answer of a gang that ended without a host."""
    zone = interrupted(None, payload="1000")
    take_over(zone, 5_000)
    expected = tuple(f"a/r/1/{part} done" for part in range(3))
    assert zone.job("a/r").outcome == verdict.Ran(expected)


@pytest.mark.parametrize("back_after_ms", [1_000, 8_000, 200_000])
def test_endpoint_that_reports_late_or_never_does_not_block(back_after_ms):
    """Guards against an adopted run that waits for ever for a report."""
    zone = interrupted(None)
    zone.endpoints_by_id["e2"].reachable = False
    zone.run(zone_fake.TAKEOVER_MS)
    zone.hosts[1].activate()
    zone.run(back_after_ms)
    zone.endpoints_by_id["e2"].reachable = True
    zone.run(100_000)
    outcome = zone.job("a/r").outcome
    if back_after_ms <= 8_000:
        assert isinstance(outcome, verdict.Ran)
    else:
        assert isinstance(outcome, verdict.MayHaveRun)


def test_run_recorded_after_the_takeover_is_adopted():
    """Guards against a job that stays active with no host watching it."""
    zone = zone_fake.Zone(hosts=2)
    zone.plan = {("Append", 1): zone_fake.Fault(delay_ms=4_000)}
    zone.submit("a/r", idempotent=False)
    zone.hosts[0].activate()
    zone.run(200)
    zone.hosts[0].alive = False
    # The second host must not place before the record arrives.
    zone.closed_ids = {"e0"}
    zone.hosts[1].activate()
    zone.run(6_000)
    zone.closed_ids = set()
    zone.run(20_000)
    assert isinstance(zone.job("a/r").outcome, verdict.Ran)
    assert zone_fake.resumed_runs(zone, "a/r") == {2}


def test_task_of_an_unknown_run_is_left_until_the_log_tells():
    """Guards against stopping a run whose record this host has not read."""
    zone = zone_fake.Zone()
    endpoint = zone.endpoints_by_id["e0"]
    task = zone_fake.Task("a/r/1/0", "running", 1 << 60, 1 << 60, 1)
    endpoint.tasks_by_id[task.task_id] = task
    zone.hosts[0].activate()
    zone.run(3_000)
    assert task.state == "running"
    zone.append(records.Refused("a/r", "h", "no", zone.now_ms))
    zone.run(3_000)
    assert task.state == "stopped"
    assert endpoint.tasks_by_id == {}


def test_two_placing_hosts_both_make_progress():
    """Guards against hosts that hold halves of gangs for ever."""
    zone = zone_fake.Zone(hosts=2)
    for number in range(6):
        zone.submit(f"a/r{number}", idempotent=False)
    for host in zone.hosts:
        host.activate()
    zone.run(90_000)
    for number in range(6):
        assert isinstance(zone.job(f"a/r{number}").outcome, verdict.Ran)
        assert len(zone_fake.resumed_runs(zone, f"a/r{number}")) == 1


def test_leases_are_renewed_by_endpoint_and_only_when_due():
    """Guards against a gang that lapses, and against a scan every tick."""
    zone = zone_fake.Zone()
    zone.submit("a/r0", payload="150000")
    zone.submit("a/r1", payload="150000")
    zone.hosts[0].activate()
    zone.run(10_000)
    sent = zone.hosts[0].sent
    zone.run(100_000)
    # One call for each of 3 endpoints every 20 s.
    assert zone.hosts[0].sent - sent <= 3 * 6
    zone.run(60_000)
    for number in range(2):
        assert zone.job(f"a/r{number}").state is jobs.JobState.ENDED
        assert zone.job(f"a/r{number}").run == 1
