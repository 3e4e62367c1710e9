"""Tests of a placing host's run table, its adoptions and its proofs."""

from laburnumgate_core import gang
from laburnumgate_core import jobs
from laburnumgate_core import records
from laburnumgate_core import verdict
import pytest
import zone_fake

ACTIONS_UNTIL_HELD = 7
ACTIONS_UNTIL_FIRST_RESUME = 8


def make_interrupted_zone(sent: int | None, **fields) -> zone_fake.Zone:
    """Returns a zone whose first host crashed.

    It crashes after `sent` actions, or after 500 ms if `sent` is None.
    """
    zone = zone_fake.Zone(hosts=2)
    zone.submit("a/r", **{"idempotent": False, "payload": "30000", **fields})
    zone.hosts[0].activate()
    zone.hosts[0].die_after = sent
    zone.advance(500)
    assert zone.hosts[0].alive == (sent is None)
    zone.hosts[0].alive = False
    return zone


def take_over(zone: zone_fake.Zone, for_ms: int = 60_000) -> None:
    zone.advance(zone_fake.TAKEOVER_MS)
    zone.hosts[1].activate()
    zone.advance(for_ms)


def test_held_run_is_proven_unstarted_and_runs_once():
    """Guards against the outcome "may have run" for a gang only held."""
    zone = make_interrupted_zone(ACTIONS_UNTIL_HELD)
    take_over(zone)
    assert [r.may_have_run for r in zone.requeued_records()] == [False]
    assert isinstance(zone.job("a/r").outcome, verdict.Ran)
    assert zone_fake.resumed_runs(zone, "a/r") == {2}


def test_cancel_of_a_held_run_of_a_dead_host_is_not_run():
    """Guards against the outcome "ran" for a request that was only held."""
    zone = make_interrupted_zone(ACTIONS_UNTIL_HELD)
    zone.append(records.Cancelled("a/r", zone.now_ms))
    take_over(zone)
    assert isinstance(zone.job("a/r").outcome, verdict.NotRun)


def test_report_is_no_proof_while_the_older_leases_hold():
    """Guards against requeueing a run that a paused host is launching."""
    zone = zone_fake.Zone(hosts=2)
    zone.submit("a/r", idempotent=False)
    zone.hosts[0].pause_after = (4, 2_500)
    for host in zone.hosts:
        host.activate()
    zone.advance(30_000)
    assert isinstance(zone.job("a/r").outcome, verdict.Ran)
    assert zone_fake.resumed_runs(zone, "a/r") == {1}


def test_partly_resumed_run_is_not_repeated():
    """Guards against a second execution of a non-idempotent request."""
    zone = make_interrupted_zone(ACTIONS_UNTIL_FIRST_RESUME)
    take_over(zone, 120_000)
    assert isinstance(zone.job("a/r").outcome, verdict.MayHaveRun)
    assert zone_fake.resumed_runs(zone, "a/r") == {1}


def test_partly_resumed_idempotent_run_is_repeated():
    """Guards against a request that is lost when its host crashes."""
    zone = make_interrupted_zone(ACTIONS_UNTIL_FIRST_RESUME, idempotent=True)
    take_over(zone, 120_000)
    assert zone.requeued_records()[0].may_have_run
    assert isinstance(zone.job("a/r").outcome, verdict.Ran)


def test_changed_boot_id_proves_nothing():
    """Guards against a proof by an endpoint that has restarted.

    Its task list is empty, even if it ran the task before.
    """
    zone = make_interrupted_zone(ACTIONS_UNTIL_HELD)
    zone.endpoints_by_id["e1"].reboot()
    take_over(zone, 120_000)
    assert isinstance(zone.job("a/r").outcome, verdict.MayHaveRun)
    assert zone_fake.resumed_runs(zone, "a/r") == set()


def test_restart_between_report_and_fence_proves_nothing():
    """Guards against comparing the boot id only in the first report."""
    zone = make_interrupted_zone(ACTIONS_UNTIL_HELD - 3)
    zone.advance(zone_fake.TAKEOVER_MS)
    zone.hosts[1].activate()
    while zone.hosts[1].runs.runs_by_id["a/r"].phase is gang.Phase.ADOPTING:
        zone.advance(1)
    assert zone.hosts[1].runs.runs_by_id["a/r"].phase is gang.Phase.PROVING
    zone.endpoints_by_id["e1"].reboot()
    zone.advance(90_000)
    assert isinstance(zone.job("a/r").outcome, verdict.MayHaveRun)


def test_whole_gang_continues_under_the_next_host():
    """Guards against stopping a running gang because its host crashed."""
    zone = make_interrupted_zone(None)
    take_over(zone, 90_000)
    assert isinstance(zone.job("a/r").outcome, verdict.Ran)
    assert zone.requeued_records() == []
    assert zone_fake.max_partial_ms(zone, "a/r", 1, 3) <= 10


def test_gang_that_finished_unattended_ends_with_its_answer():
    """Guards against losing the result of a gang that ended unattended.

    The gang finishes between the crash of its host and the takeover.
    """
    zone = make_interrupted_zone(None, payload="1000")
    take_over(zone, 5_000)
    expected = tuple(f"a/r/1/{part} done" for part in range(3))
    assert zone.job("a/r").outcome == verdict.Ran(expected)


@pytest.mark.parametrize("back_after_ms", [1_000, 8_000, 200_000])
def test_endpoint_that_reports_late_or_never_does_not_block(back_after_ms):
    """Guards against an adopted run that waits for a report indefinitely."""
    zone = make_interrupted_zone(None)
    zone.endpoints_by_id["e2"].reachable = False
    zone.advance(zone_fake.TAKEOVER_MS)
    zone.hosts[1].activate()
    zone.advance(back_after_ms)
    zone.endpoints_by_id["e2"].reachable = True
    zone.advance(100_000)
    outcome = zone.job("a/r").outcome
    if back_after_ms <= 8_000:
        assert isinstance(outcome, verdict.Ran)
    else:
        assert isinstance(outcome, verdict.MayHaveRun)


def test_run_recorded_after_the_takeover_is_adopted():
    """Guards against an active job whose run no host manages.

    The start record reaches the log after the next host has taken over.
    """
    zone = zone_fake.Zone(hosts=2)
    zone.plan = {("Append", 1): zone_fake.Fault(delay_ms=4_000)}
    zone.submit("a/r", idempotent=False)
    zone.hosts[0].activate()
    zone.advance(200)
    zone.hosts[0].alive = False
    # Keeps the second host from starting the job before the record arrives.
    zone.out_of_service_ids = {"e0"}
    zone.hosts[1].activate()
    zone.advance(6_000)
    zone.out_of_service_ids = set()
    zone.advance(20_000)
    assert isinstance(zone.job("a/r").outcome, verdict.Ran)
    assert zone_fake.resumed_runs(zone, "a/r") == {2}


def test_end_recorded_first_by_the_host_that_left_does_not_block_the_job():
    """Guards against a job that waits until the log is reachable again.

    The record of the host that left arrives while this host closes the run.
    """
    zone = make_interrupted_zone(
        ACTIONS_UNTIL_HELD, idempotent=True, payload="1000"
    )
    zone.log_down = True
    zone.advance(zone_fake.TAKEOVER_MS)
    host = zone.hosts[1]
    host.activate()
    while host.runs.runs_by_id["a/r"].phase is not gang.Phase.CLOSING:
        zone.advance(1)
    record = records.Requeued(
        "a/r", 1, "the host is leaving", may_have_run=False, at_ms=zone.now_ms
    )
    assert host.jobs.add_provisional("peer-1", 0, record)
    zone.advance(30_000)
    assert isinstance(host.jobs.get("a/r").outcome, verdict.Ran)
    zone.log_down = False
    zone.advance(30_000)
    assert isinstance(zone.job("a/r").outcome, verdict.Ran)
    assert zone_fake.resumed_runs(zone, "a/r") == {2}


def test_task_of_an_unknown_run_is_kept_until_the_log_decides():
    """Guards against stopping a run whose start record is not read yet."""
    zone = zone_fake.Zone()
    endpoint = zone.endpoints_by_id["e0"]
    task = zone_fake.Task("a/r/1/0", "running", 1 << 60, 1 << 60, 1)
    endpoint.tasks_by_id[task.task_id] = task
    zone.hosts[0].activate()
    zone.advance(3_000)
    assert task.state == "running"
    zone.append(records.Refused("a/r", "h", "no", zone.now_ms))
    zone.advance(3_000)
    assert task.state == "stopped"
    assert endpoint.tasks_by_id == {}


def test_two_placing_hosts_both_make_progress():
    """Guards against a deadlock of two hosts that each hold half a gang."""
    zone = zone_fake.Zone(hosts=2)
    for number in range(6):
        zone.submit(f"a/r{number}", idempotent=False)
    for host in zone.hosts:
        host.activate()
    zone.advance(90_000)
    for number in range(6):
        assert isinstance(zone.job(f"a/r{number}").outcome, verdict.Ran)
        assert len(zone_fake.resumed_runs(zone, f"a/r{number}")) == 1


def test_leases_are_renewed_by_endpoint_and_only_when_due():
    """Guards against a gang that lapses and against renewals in every tick."""
    zone = zone_fake.Zone()
    zone.submit("a/r0", payload="150000")
    zone.submit("a/r1", payload="150000")
    zone.hosts[0].activate()
    zone.advance(10_000)
    sent = zone.hosts[0].sent
    zone.advance(100_000)
    # One renewal for each of the 3 endpoints every 20 s.
    assert zone.hosts[0].sent - sent <= 3 * 6
    zone.advance(60_000)
    for number in range(2):
        assert zone.job(f"a/r{number}").state is jobs.JobState.ENDED
        assert zone.job(f"a/r{number}").run == 1
