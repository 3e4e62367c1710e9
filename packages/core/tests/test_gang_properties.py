"""Property tests of gangs under single, repeated and combined faults."""

import dataclasses

import hypothesis
from hypothesis import strategies
from laburnumgate_core import gang
from laburnumgate_core import jobs
from laburnumgate_core import model
from laburnumgate_core import verdict
import zone_fake

PARTS = 3
FAULT_PERIOD_MS = 20_000
# A late call extends a lease by up to the call deadline, and the following stop
# may be late by as much.
PARTIAL_LIMIT_MS = gang.RESUME_LEASE_MS + 2 * gang.CALL_DEADLINE_MS
START_LIMIT_MS = 5_000

_CALLS = (
    "TakeLease",
    "HoldPart",
    "ResumePart",
    "StopPart",
    "CheckpointPart",
    "ReadTasks",
    "RenewTasks",
    "ReleaseLease",
    "Acknowledge",
)
_FAULTS = strategies.one_of(
    strategies.just(zone_fake.Fault(lose_request=True)),
    strategies.just(zone_fake.Fault(lose_answer=True)),
    strategies.just(zone_fake.Fault(refuse=True)),
    strategies.builds(
        zone_fake.Fault, delay_ms=strategies.sampled_from((300, 1_990))
    ),
    strategies.builds(
        zone_fake.Fault, repeat_after_ms=strategies.sampled_from((300, 1_990))
    ),
)
_APPEND_FAULTS = strategies.builds(
    zone_fake.Fault, delay_ms=strategies.sampled_from((300, 2_900, 6_000))
)
_OCCURRENCE = strategies.integers(1, 12)
_PLANS = strategies.dictionaries(
    strategies.tuples(strategies.sampled_from(_CALLS), _OCCURRENCE),
    _FAULTS,
    max_size=3,
)
_APPEND_PLANS = strategies.dictionaries(
    strategies.tuples(strategies.just("Append"), strategies.integers(1, 4)),
    _APPEND_FAULTS,
    max_size=1,
)


@dataclasses.dataclass(frozen=True)
class Disruptions:
    """Disruptions of hosts, endpoints and log, with their times in ms.

    `die_after` and the first number of `pause_after` count the actions that
    the first host sends; the second number is the length of the pause.
    """

    die_after: int | None
    pause_after: tuple[int, int] | None
    both_placing: bool
    reboot_ms: int | None
    unreachable_ms: int | None
    log_down_ms: int | None
    out_of_service_ms: int | None


def _optional(strategy):
    return strategies.one_of(strategies.none(), strategies.none(), strategy)


_TIMES = strategies.sampled_from((60, 90, 100, 110, 150, 1_000, 4_000, 9_000))
_DISRUPTIONS = strategies.builds(
    Disruptions,
    die_after=_optional(strategies.integers(0, 40)),
    pause_after=_optional(
        strategies.tuples(
            strategies.integers(0, 40),
            strategies.sampled_from((2_500, 6_000, 25_000)),
        )
    ),
    both_placing=strategies.booleans(),
    reboot_ms=_optional(_TIMES),
    unreachable_ms=_optional(_TIMES),
    log_down_ms=_optional(_TIMES),
    out_of_service_ms=_optional(_TIMES),
)
_IDEMPOTENT_FLAGS = strategies.tuples(
    strategies.booleans(), strategies.booleans()
)


def _set_log_down(zone: zone_fake.Zone, down: bool) -> None:
    zone.log_down = down


def _set_reachable(zone: zone_fake.Zone, reachable: bool) -> None:
    zone.endpoints_by_id["e1"].reachable = reachable


def _schedule_disruptions(
    zone: zone_fake.Zone, disruptions: Disruptions
) -> None:
    first, second = zone.hosts
    first.die_after = disruptions.die_after
    first.pause_after = disruptions.pause_after
    first.activate()
    if disruptions.both_placing:
        second.activate()
    if disruptions.reboot_ms is not None:
        zone.schedule(disruptions.reboot_ms, zone.endpoints_by_id["e0"].reboot)
    if disruptions.unreachable_ms is not None:
        zone.schedule(
            disruptions.unreachable_ms, lambda: _set_reachable(zone, False)
        )
    if disruptions.log_down_ms is not None:
        zone.schedule(
            disruptions.log_down_ms, lambda: _set_log_down(zone, True)
        )
    if disruptions.out_of_service_ms is not None:
        zone.schedule(
            disruptions.out_of_service_ms,
            lambda: zone.out_of_service_ids.add("e2"),
        )


def _run_with_disruptions(
    zone: zone_fake.Zone, disruptions: Disruptions
) -> None:
    _schedule_disruptions(zone, disruptions)
    second = zone.hosts[1]
    unavailable_ms = 0
    for _ in range(FAULT_PERIOD_MS // 100):
        zone.advance(100)
        unavailable_ms = 0 if zone.hosts[0].awake else unavailable_ms + 100
        if unavailable_ms >= zone_fake.TAKEOVER_MS and not second.active:
            second.activate()
    zone.plan.clear()
    zone.out_of_service_ids.clear()
    _set_reachable(zone, True)
    _set_log_down(zone, False)
    zone.hosts[0].pause_after = None
    zone.hosts[0].paused_until_ms = 0
    zone.hosts[0].die_after = None
    if not second.active:
        second.activate()
    for _ in range(40):
        zone.advance(5_000)
        if all(zone.job(j).state is jobs.JobState.ENDED for j in _JOB_IDS):
            break
    zone.advance(5_000)


_JOB_IDS = ("a/r0", "a/r1")


def _check_job(zone: zone_fake.Zone, job_id: str) -> None:
    job = zone.job(job_id)
    resumed = zone_fake.resumed_runs(zone, job_id)
    assert job.state is jobs.JobState.ENDED
    if not job.spec.preemptible:
        assert len(resumed) <= 1
    match job.outcome:
        case verdict.NotRun():
            assert not resumed
        case verdict.Ran(answer):
            runs = {model.parse_task_id(text[:-5])[1] for text in answer}
            assert len(runs) == 1
            assert list(answer) == [
                f"{model.task_id(job_id, min(runs), part)} done"
                for part in range(PARTS)
            ]
    for record in zone.requeued_records():
        if record.job_id == job_id and not record.may_have_run:
            assert record.run not in resumed or job.spec.idempotent


def _check_starts(
    zone: zone_fake.Zone, out_of_service_at_ms: int, end_ms: int
) -> None:
    for change in zone.state_changes:
        part = model.parse_task_id(change.task_id)[2]
        if part != 2 or change.state != "running":
            continue
        assert not out_of_service_at_ms + START_LIMIT_MS < change.at_ms < end_ms


@hypothesis.settings(
    max_examples=100, deadline=None, derandomize=True, database=None
)
@hypothesis.given(_IDEMPOTENT_FLAGS, _PLANS, _APPEND_PLANS, _DISRUPTIONS)
def test_every_job_ends_with_a_correct_outcome(
    idempotent_flags, plan, append_plan, disruptions
):
    """Guards against wrong outcomes (G4 to G6) and stuck runs.

    Every job must end once the faults have stopped.
    """
    zone = zone_fake.Zone(hosts=2, plan={**plan, **append_plan})
    for job_id, idempotent in zip(_JOB_IDS, idempotent_flags, strict=True):
        zone.submit(job_id, idempotent=idempotent, payload="3000")
    begin_ms = zone.now_ms
    _run_with_disruptions(zone, disruptions)
    for job_id in _JOB_IDS:
        _check_job(zone, job_id)
    assert zone.early_acknowledged_ids == []
    for host in zone.hosts:
        assert not host.alive or not host.runs.runs_by_id
    if disruptions.out_of_service_ms is not None:
        out_of_service_at_ms = begin_ms + disruptions.out_of_service_ms
        _check_starts(zone, out_of_service_at_ms, begin_ms + FAULT_PERIOD_MS)


@hypothesis.settings(
    max_examples=100, deadline=None, derandomize=True, database=None
)
@hypothesis.given(
    _PLANS,
    strategies.one_of(strategies.none(), strategies.integers(0, 24)),
    strategies.booleans(),
)
def test_no_part_runs_without_the_rest(plan, die_after, checkpointable):
    """Guards against a partly running gang (G2).

    Calls are lost, delayed or repeated, and the placing host may crash.
    """
    hypothesis.assume(len(plan) <= 2)
    zone = zone_fake.Zone(hosts=2, plan=dict(plan))
    zone.submit("a/r0", payload="20000", checkpointable=checkpointable)
    disruptions = Disruptions(die_after, None, False, None, None, None, None)
    zone.submit("a/r1", payload="20000")
    _run_with_disruptions(zone, disruptions)
    for job_id in _JOB_IDS:
        for run in range(1, zone.job(job_id).run + 1):
            partial_ms = zone_fake.max_partial_ms(zone, job_id, run, PARTS)
            assert partial_ms <= PARTIAL_LIMIT_MS
