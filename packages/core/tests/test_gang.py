"""Guards one run of a gang against lost, late and repeated messages."""

from laburnumgate_core import actions
from laburnumgate_core import gang
from laburnumgate_core import jobs
from laburnumgate_core import parts
from laburnumgate_core import records
from laburnumgate_core import verdict
import pytest
import zone_fake

SOLE = {"idempotent": False}


def make(hosts: int = 1, plan=None, **fields) -> zone_fake.Zone:
    zone = zone_fake.Zone(hosts=hosts, plan=plan)
    zone.submit("a/r", **fields)
    zone.hosts[0].activate()
    return zone


def test_whole_gang_runs_and_answers_in_part_order():
    """Guards against answers that are crossed or acknowledged too early."""
    zone = make(**SOLE)
    zone.run(5_000)
    expected = tuple(f"a/r/1/{part} done" for part in range(3))
    assert zone.job("a/r").outcome == verdict.Ran(expected)
    assert zone.early_acks == []
    assert all(not e.tasks_by_id for e in zone.endpoints_by_id.values())


@pytest.mark.parametrize("kind", ["HoldPart", "ResumePart", "StopPart"])
def test_a_lost_answer_is_asked_for_again(kind):
    """Guards against giving a run up for one lost answer."""
    lost = zone_fake.Fault(lose_answer=True)
    zone = make(plan={(kind, 2): lost}, **SOLE, payload="9000")
    zone.run(20_000)
    assert isinstance(zone.job("a/r").outcome, verdict.Ran)
    assert zone.job("a/r").run == 1


def test_start_recorded_after_the_leases_expired_holds_nothing():
    """Guards against a launch on leases that another host may hold."""
    plan = {("Append", 1): zone_fake.Fault(delay_ms=9_000)}
    zone = make(plan=plan, **SOLE)
    zone.run(9_200)
    assert zone.count("HoldPart") == 0
    zone.run(300)
    assert not any(s.task_id.startswith("a/r/1/") for s in zone.steps)
    assert [r.may_have_run for r in zone.requeued()] == [False]


def test_paused_host_starts_nothing_when_it_wakes():
    """Guards against a resume that is sent after the leases expired."""
    zone = make(**SOLE)
    # Three leases, the record and three holds come before the resumes.
    zone.hosts[0].pause_after = (7, 20_000)
    zone.run(20_500)
    assert zone_fake.resumed_runs(zone, "a/r") == set()


def test_hold_answers_read_after_a_pause_resume_nothing():
    """Guards against a resume decided on leases that are past."""
    plan = {("HoldPart", 1): zone_fake.Fault(delay_ms=1_500)}
    zone = make(plan=plan, **SOLE)
    zone.run(500)
    zone.hosts[0].paused_until_ms = zone.now_ms + 20_000
    zone.run(20_200)
    assert zone.count("HoldPart") == 3
    assert zone.count("ResumePart") == 0


def test_a_host_that_slept_past_the_task_leases_renews_nothing():
    """Guards against keeping one part alive after another lapsed."""
    zone = make(**SOLE, payload="200000")
    zone.run(5_000)
    zone.hosts[0].paused_until_ms = zone.now_ms + 61_000
    zone.run(100_000)
    assert isinstance(zone.job("a/r").outcome, verdict.MayHaveRun)
    assert zone_fake.longest_partial_ms(zone, "a/r", 1, 3) <= 1_000


@pytest.mark.parametrize("takeover_ms", [zone_fake.TAKEOVER_MS, 7_000])
@pytest.mark.parametrize("sent", range(24))
def test_death_at_each_step_of_a_launch_leaves_no_partial_gang(
    sent, takeover_ms
):
    """Guards against parts at work without the rest for over 3 s."""
    zone = make(hosts=2, **SOLE, payload="30000")
    zone.hosts[0].die_after = sent
    while zone.hosts[0].alive and zone.now_ms < 1_002_000:
        zone.run(10)
    zone.run(takeover_ms)
    zone.hosts[1].activate()
    zone.run(120_000)
    partial_ms = zone_fake.longest_partial_ms(zone, "a/r", 1, 3)
    assert partial_ms <= gang.RESUME_LEASE_MS + 4 * zone_fake.LATENCY_MS
    assert zone.job("a/r").state is jobs.JobState.ENDED
    assert len(zone_fake.resumed_runs(zone, "a/r")) <= 1


def test_lost_resume_stops_the_other_parts():
    """Guards against a resumed part that runs on under the full lease."""
    lost = zone_fake.Fault(lose_request=True)
    plan = {("ResumePart", n): lost for n in (3, 4, 5, 6)}
    zone = make(plan=plan, **SOLE, payload="30000")
    zone.run(90_000)
    assert zone_fake.longest_partial_ms(zone, "a/r", 1, 3) <= 3_010
    assert isinstance(zone.job("a/r").outcome, verdict.MayHaveRun)


def test_repeated_resume_does_not_extend_a_part_beyond_the_rest():
    """Guards against a retry that adds a full lease to a partial gang."""
    lost = zone_fake.Fault(lose_answer=True)
    drop = zone_fake.Fault(lose_request=True)
    plan = {("ResumePart", n): lost for n in (1, 4)}
    plan |= {("ResumePart", n): drop for n in (2, 3, 5, 6)}
    plan |= {("StopPart", n): drop for n in range(1, 20)}
    zone = make(plan=plan, **SOLE, payload="30000")
    zone.run(90_000)
    assert zone_fake.longest_partial_ms(zone, "a/r", 1, 3) <= 3_010


def test_cancel_of_a_run_that_never_resumed_is_not_run():
    """Guards against "ran" for a cancel during the hold."""
    plan = {("HoldPart", 1): zone_fake.Fault(delay_ms=1_500)}
    zone = make(plan=plan, **SOLE)
    zone.run(200)
    zone.append(records.Cancelled("a/r", zone.now_ms))
    zone.run(20_000)
    assert isinstance(zone.job("a/r").outcome, verdict.NotRun)
    assert zone_fake.resumed_runs(zone, "a/r") == set()


def test_cancel_that_crosses_the_outcome_keeps_the_outcome():
    """Guards against a finished answer that a late stop throws away."""
    plan = {("StopPart", n): zone_fake.Fault(delay_ms=1_900) for n in (1, 2, 3)}
    zone = make(plan=plan, **SOLE, payload="2000")
    zone.run(1_000)
    zone.append(records.Cancelled("a/r", zone.now_ms))
    zone.run(20_000)
    assert isinstance(zone.job("a/r").outcome, verdict.Ran)


@pytest.mark.parametrize("field", ["lose_answer", "lose_request"])
def test_each_part_restarts_from_its_own_checkpoint(field):
    """Guards against one part's checkpoint lost or given to another."""
    plan = {("CheckpointPart", 2): zone_fake.Fault(**{field: True})}
    zone = make(plan=plan, **SOLE, checkpointable=True, payload="9000")
    zone.run(1_000)
    host = zone.hosts[0]
    host.carry_out(
        host.runs.runs_by_id["a/r"].stop("capacity is reclaimed", zone.now_ms)
    )
    zone.run(40_000)
    assert isinstance(zone.job("a/r").outcome, verdict.Ran)
    for part in range(3):
        assert zone.held[f"a/r/2/{part}"] == f"point of a/r/1/{part}"


def test_checkpoint_of_some_parts_counts_as_none():
    """Guards against a second run from a checkpoint that lacks a part."""
    drop = zone_fake.Fault(refuse=True)
    plan = {("CheckpointPart", n): drop for n in (2, 4, 5)}
    zone = make(plan=plan, **SOLE, checkpointable=True, payload="9000")
    zone.run(1_000)
    host = zone.hosts[0]
    host.carry_out(host.runs.runs_by_id["a/r"].stop("reclaimed", zone.now_ms))
    zone.run(90_000)
    assert isinstance(zone.job("a/r").outcome, verdict.MayHaveRun)


def test_provisional_end_is_acknowledged_only_after_the_log_has_it():
    """Guards against losing an answer whose record the log never took."""
    zone = make()
    zone.run(500)
    zone.log_down = True
    zone.run(10_000)
    assert zone.hosts[0].jobs.get("a/r").state is jobs.JobState.ENDED
    kept = [len(e.tasks_by_id) for e in zone.endpoints_by_id.values()]
    assert kept == [1, 1, 1]
    zone.log_down = False
    zone.run(5_000)
    assert zone.early_acks == []
    assert all(not e.tasks_by_id for e in zone.endpoints_by_id.values())


def test_provisional_start_that_loses_in_the_log_stops():
    """Guards against two runs of a job after a log outage."""
    zone = make(payload="60000")
    zone.log_down = True
    zone.run(8_000)
    run = zone.hosts[0].runs.runs_by_id["a/r"]
    assert run.phase is gang.Phase.RUNNING
    winner = records.Starting(
        "a/r", 1, "z", ("x0", "x1", "x2"), ("b", "b", "b"), zone.now_ms
    )
    zone.append(winner)
    zone.run(3_000)
    states = {step.task_id: step.state for step in zone.steps}
    assert set(states.values()) == {"stopped"}
    assert zone.job("a/r").endpoints == ("x0", "x1", "x2")


def test_lost_stop_is_repeated_before_the_lease_ends():
    """Guards against accelerators blocked for a whole lease by one loss."""
    lost = zone_fake.Fault(lose_request=True)
    zone = make(plan={("StopPart", 1): lost}, **SOLE, payload="90000")
    zone.run(1_000)
    zone.append(records.Cancelled("a/r", zone.now_ms))
    zone.run(5_000)
    assert isinstance(zone.job("a/r").outcome, verdict.RanFailed)


def test_endpoint_that_left_during_the_hold_starts_nothing():
    """Guards G3 between the hold and the resume."""
    plan = {("HoldPart", 1): zone_fake.Fault(delay_ms=1_500)}
    zone = make(plan=plan, **SOLE)
    zone.run(1_000)
    zone.closed_ids.add("e2")
    zone.run(20_000)
    assert zone_fake.resumed_runs(zone, "a/r") == set()


@pytest.mark.parametrize("nth", [1, 2])
def test_run_goes_on_if_the_log_shows_a_record_without_its_answer(nth):
    """Guards against a run stuck on a lost answer to its append."""
    plan = {("appended", nth): zone_fake.Fault(lose_answer=True)}
    zone = make(plan=plan, **SOLE)
    zone.run(10_000)
    assert isinstance(zone.job("a/r").outcome, verdict.Ran)
    assert zone.hosts[0].runs.runs_by_id == {}


def fresh_run() -> gang.Run:
    zone = make(**SOLE)
    endpoints = ("e0", "e1", "e2")
    run = gang.Run(zone.job("a/r"), 1, "z", endpoints, lambda _: True, 2)
    run.start(0)
    return run


def test_lease_granted_to_an_earlier_launch_is_released():
    """Guards against a launch that counts on an older, shorter lease."""
    run = fresh_run()
    late = actions.LeaseGranted("a/r", "e0", 5, "b", 8, attempt=1)
    assert run.on(late, 1) == [actions.ReleaseLease("e0", 5)]
    granted = actions.LeaseGranted("a/r", "e0", 6, "b", 8, attempt=2)
    assert run.on(granted, 2)[0].endpoint_id == "e1"


def test_crossed_states_do_not_take_a_part_back():
    """Guards against a late "held" that hides that a part is running."""
    part = parts.Part("e0", "a/r/1/0")
    for state in ("held", "running", "held"):
        part.update(state, "", "")
    assert part.state == "running"
    part.update("finished", "text", "")
    part.update("lapsed", "other", "")
    assert (part.state, part.result) == ("finished", "text")
