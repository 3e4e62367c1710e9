"""Tests of one run of a gang under lost, late and repeated messages."""

from laburnumgate_core import actions
from laburnumgate_core import gang
from laburnumgate_core import jobs
from laburnumgate_core import parts
from laburnumgate_core import records
from laburnumgate_core import verdict
import pytest
import zone_fake

NON_IDEMPOTENT = {"idempotent": False}


def make_zone(hosts: int = 1, plan=None, **fields) -> zone_fake.Zone:
    zone = zone_fake.Zone(hosts=hosts, plan=plan)
    zone.submit("a/r", **fields)
    zone.hosts[0].activate()
    return zone


def test_whole_gang_runs_and_answers_in_part_order():
    """Guards against answers in wrong order or acknowledged too early."""
    zone = make_zone(**NON_IDEMPOTENT)
    zone.advance(5_000)
    expected = tuple(f"a/r/1/{part} done" for part in range(3))
    assert zone.job("a/r").outcome == verdict.Ran(expected)
    assert zone.early_acknowledged_ids == []
    assert all(not e.tasks_by_id for e in zone.endpoints_by_id.values())


@pytest.mark.parametrize("kind", ["HoldPart", "ResumePart", "StopPart"])
def test_a_lost_answer_is_asked_for_again(kind):
    """Guards against abandoning a run because of one lost answer."""
    lost = zone_fake.Fault(lose_answer=True)
    zone = make_zone(plan={(kind, 2): lost}, **NON_IDEMPOTENT, payload="9000")
    zone.advance(20_000)
    assert isinstance(zone.job("a/r").outcome, verdict.Ran)
    assert zone.job("a/r").run == 1


def test_start_recorded_after_the_leases_expired_holds_nothing():
    """Guards against a launch on leases that another host may hold by now."""
    plan = {("Append", 1): zone_fake.Fault(delay_ms=9_000)}
    zone = make_zone(plan=plan, **NON_IDEMPOTENT)
    zone.advance(9_200)
    assert zone.call_count("HoldPart") == 0
    zone.advance(300)
    assert not any(s.task_id.startswith("a/r/1/") for s in zone.state_changes)
    assert [r.may_have_run for r in zone.requeued_records()] == [False]


def test_paused_host_starts_nothing_after_its_pause():
    """Guards against a resume sent after the exclusive leases expired.

    The host is paused between the holds and the resumes.
    """
    zone = make_zone(**NON_IDEMPOTENT)
    # Three leases, the start record and three holds precede the resumes.
    zone.hosts[0].pause_after = (7, 20_000)
    zone.advance(20_500)
    assert zone_fake.resumed_runs(zone, "a/r") == set()


def test_hold_answers_read_after_a_pause_resume_nothing():
    """Guards against a resume on the basis of expired exclusive leases.

    The hold answers arrive during a pause and are handled after it.
    """
    plan = {("HoldPart", 1): zone_fake.Fault(delay_ms=1_500)}
    zone = make_zone(plan=plan, **NON_IDEMPOTENT)
    zone.advance(500)
    zone.hosts[0].paused_until_ms = zone.now_ms + 20_000
    zone.advance(20_200)
    assert zone.call_count("HoldPart") == 3
    assert zone.call_count("ResumePart") == 0


def test_host_paused_beyond_the_task_leases_renews_nothing():
    """Guards against renewing one part after another has lapsed.

    The host is paused for longer than the task leases.
    """
    zone = make_zone(**NON_IDEMPOTENT, payload="200000")
    zone.advance(5_000)
    zone.hosts[0].paused_until_ms = zone.now_ms + 61_000
    zone.advance(100_000)
    assert isinstance(zone.job("a/r").outcome, verdict.MayHaveRun)
    assert zone_fake.max_partial_ms(zone, "a/r", 1, 3) <= 1_000


@pytest.mark.parametrize("takeover_ms", [zone_fake.TAKEOVER_MS, 7_000])
@pytest.mark.parametrize("sent", range(24))
def test_death_at_each_step_of_a_launch_leaves_no_partial_gang(
    sent, takeover_ms
):
    """Guards against a partly running gang for more than 3 s.

    The first host crashes after each number of actions. The second takes over
    within the 5 s that the lease steps allow for, or later.
    """
    zone = make_zone(hosts=2, **NON_IDEMPOTENT, payload="30000")
    zone.hosts[0].die_after = sent
    while zone.hosts[0].alive and zone.now_ms < 1_002_000:
        zone.advance(10)
    zone.advance(takeover_ms)
    zone.hosts[1].activate()
    zone.advance(120_000)
    partial_ms = zone_fake.max_partial_ms(zone, "a/r", 1, 3)
    assert partial_ms <= gang.RESUME_LEASE_MS + 4 * zone_fake.LATENCY_MS
    assert zone.job("a/r").state is jobs.JobState.ENDED
    assert len(zone_fake.resumed_runs(zone, "a/r")) <= 1


def test_lost_resume_stops_the_other_parts():
    """Guards against a part that keeps running under the full lease.

    The resume of another part is lost with all its retries.
    """
    lost = zone_fake.Fault(lose_request=True)
    plan = {("ResumePart", n): lost for n in (3, 4, 5, 6)}
    zone = make_zone(plan=plan, **NON_IDEMPOTENT, payload="30000")
    zone.advance(90_000)
    assert zone_fake.max_partial_ms(zone, "a/r", 1, 3) <= 3_010
    assert isinstance(zone.job("a/r").outcome, verdict.MayHaveRun)


def test_repeated_resume_does_not_extend_a_part_beyond_the_rest():
    """Guards against a repeated resume that starts a new full lease.

    Retries would then keep one part running while the others never start.
    """
    lost = zone_fake.Fault(lose_answer=True)
    drop = zone_fake.Fault(lose_request=True)
    plan = {("ResumePart", n): lost for n in (1, 4)}
    plan |= {("ResumePart", n): drop for n in (2, 3, 5, 6)}
    plan |= {("StopPart", n): drop for n in range(1, 20)}
    zone = make_zone(plan=plan, **NON_IDEMPOTENT, payload="30000")
    zone.advance(90_000)
    assert zone_fake.max_partial_ms(zone, "a/r", 1, 3) <= 3_010


def test_cancel_of_a_run_that_never_resumed_is_not_run():
    """Guards against the outcome "ran" for a job cancelled during the hold."""
    plan = {("HoldPart", 1): zone_fake.Fault(delay_ms=1_500)}
    zone = make_zone(plan=plan, **NON_IDEMPOTENT)
    zone.advance(200)
    zone.append(records.Cancelled("a/r", zone.now_ms))
    zone.advance(20_000)
    assert isinstance(zone.job("a/r").outcome, verdict.NotRun)
    assert zone_fake.resumed_runs(zone, "a/r") == set()


def test_cancel_concurrent_with_the_end_keeps_the_outcome():
    """Guards against a stop that discards the result of a finished gang."""
    plan = {("StopPart", n): zone_fake.Fault(delay_ms=1_900) for n in (1, 2, 3)}
    zone = make_zone(plan=plan, **NON_IDEMPOTENT, payload="2000")
    zone.advance(1_000)
    zone.append(records.Cancelled("a/r", zone.now_ms))
    zone.advance(20_000)
    assert isinstance(zone.job("a/r").outcome, verdict.Ran)


@pytest.mark.parametrize("field", ["lose_answer", "lose_request"])
def test_each_part_restarts_from_its_own_checkpoint(field):
    """Guards against a checkpoint that is lost or given to another part."""
    plan = {("CheckpointPart", 2): zone_fake.Fault(**{field: True})}
    zone = make_zone(
        plan=plan, **NON_IDEMPOTENT, checkpointable=True, payload="9000"
    )
    zone.advance(1_000)
    host = zone.hosts[0]
    host.carry_out(
        host.runs.runs_by_id["a/r"].stop("capacity is reclaimed", zone.now_ms)
    )
    zone.advance(40_000)
    assert isinstance(zone.job("a/r").outcome, verdict.Ran)
    for part in range(3):
        assert (
            zone.held_checkpoint_by_task[f"a/r/2/{part}"]
            == f"point of a/r/1/{part}"
        )


def test_checkpoint_of_some_parts_counts_as_none():
    """Guards against a second run from an incomplete set of checkpoints."""
    drop = zone_fake.Fault(refuse=True)
    plan = {("CheckpointPart", n): drop for n in (2, 4, 5)}
    zone = make_zone(
        plan=plan, **NON_IDEMPOTENT, checkpointable=True, payload="9000"
    )
    zone.advance(1_000)
    host = zone.hosts[0]
    host.carry_out(host.runs.runs_by_id["a/r"].stop("reclaimed", zone.now_ms))
    zone.advance(90_000)
    assert isinstance(zone.job("a/r").outcome, verdict.MayHaveRun)


def test_provisional_end_is_acknowledged_only_after_the_log_has_it():
    """Guards against losing results whose end record is not in the log.

    They must stay at the endpoints during a log outage.
    """
    zone = make_zone()
    zone.advance(500)
    zone.log_down = True
    zone.advance(10_000)
    assert zone.hosts[0].jobs.get("a/r").state is jobs.JobState.ENDED
    task_counts = [len(e.tasks_by_id) for e in zone.endpoints_by_id.values()]
    assert task_counts == [1, 1, 1]
    zone.log_down = False
    zone.advance(5_000)
    assert zone.early_acknowledged_ids == []
    assert all(not e.tasks_by_id for e in zone.endpoints_by_id.values())


def test_provisional_start_that_loses_in_the_log_stops():
    """Guards against two runs of a job after a log outage.

    The log has another host's start record of the same run number.
    """
    zone = make_zone(payload="60000")
    zone.log_down = True
    zone.advance(8_000)
    run = zone.hosts[0].runs.runs_by_id["a/r"]
    assert run.phase is gang.Phase.RUNNING
    recorded = records.Starting(
        "a/r", 1, "z", ("x0", "x1", "x2"), ("b", "b", "b"), zone.now_ms
    )
    zone.append(recorded)
    zone.advance(3_000)
    states = {change.task_id: change.state for change in zone.state_changes}
    assert set(states.values()) == {"stopped"}
    assert zone.job("a/r").endpoints == ("x0", "x1", "x2")


def test_lost_stop_is_repeated_before_the_lease_ends():
    """Guards against accelerators held for a whole lease by a lost stop."""
    lost = zone_fake.Fault(lose_request=True)
    zone = make_zone(
        plan={("StopPart", 1): lost}, **NON_IDEMPOTENT, payload="90000"
    )
    zone.advance(1_000)
    zone.append(records.Cancelled("a/r", zone.now_ms))
    zone.advance(5_000)
    assert isinstance(zone.job("a/r").outcome, verdict.RanFailed)


def test_endpoint_that_left_during_the_hold_starts_nothing():
    """Guards against a start on an endpoint out of service (G3).

    The endpoint is taken out of service between the hold and the resume.
    """
    plan = {("HoldPart", 1): zone_fake.Fault(delay_ms=1_500)}
    zone = make_zone(plan=plan, **NON_IDEMPOTENT)
    zone.advance(1_000)
    zone.out_of_service_ids.add("e2")
    zone.advance(20_000)
    assert zone_fake.resumed_runs(zone, "a/r") == set()


@pytest.mark.parametrize("nth", [1, 2])
def test_run_continues_if_the_log_has_a_record_without_its_answer(nth):
    """Guards against a run that waits for a lost answer to its append."""
    plan = {("appended", nth): zone_fake.Fault(lose_answer=True)}
    zone = make_zone(plan=plan, **NON_IDEMPOTENT)
    zone.advance(10_000)
    assert isinstance(zone.job("a/r").outcome, verdict.Ran)
    assert zone.hosts[0].runs.runs_by_id == {}


def start_run() -> gang.Run:
    zone = make_zone(**NON_IDEMPOTENT)
    endpoints = ("e0", "e1", "e2")
    run = gang.Run(zone.job("a/r"), 1, "z", endpoints, lambda _: True, 2)
    run.start(0)
    return run


def test_lease_granted_to_an_earlier_launch_is_released():
    """Guards against a launch that relies on an earlier launch's lease.

    That lease expires earlier than the launch assumes.
    """
    run = start_run()
    late = actions.LeaseGranted("a/r", "e0", 5, "b", 8, attempt=1)
    assert run.on(late, 1) == [actions.ReleaseLease("e0", 5)]
    granted = actions.LeaseGranted("a/r", "e0", 6, "b", 8, attempt=2)
    assert run.on(granted, 2)[0].endpoint_id == "e1"


def test_out_of_order_states_do_not_revert_a_part():
    """Guards against a late "held" that replaces the state "running"."""
    part = parts.Part("e0", "a/r/1/0")
    for state in ("held", "running", "held"):
        part.update(state, "", "")
    assert part.state == "running"
    part.update("finished", "text", "")
    part.update("lapsed", "other", "")
    assert (part.state, part.result) == ("finished", "text")
