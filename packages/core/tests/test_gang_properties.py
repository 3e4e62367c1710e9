"""Checks what must always hold over faults alone, twice and in pairs."""

import dataclasses

import hypothesis
from hypothesis import strategies
from laburnumgate_core import gang
from laburnumgate_core import jobs
from laburnumgate_core import model
from laburnumgate_core import verdict
import zone_fake

PARTS = 3
FAULTY_MS = 20_000
# A call that arrives late shifts a lease by the deadline, and the stop that
# follows may be late as well.
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
class Trouble:
    """What happens to hosts and endpoints, with the time in ms."""

    die_after: int | None
    pause_after: tuple[int, int] | None
    both_place: bool
    reboot_ms: int | None
    cut_ms: int | None
    log_out_ms: int | None
    close_ms: int | None


def _maybe(strategy):
    return strategies.one_of(strategies.none(), strategies.none(), strategy)


_TIMES = strategies.sampled_from((60, 90, 100, 110, 150, 1_000, 4_000, 9_000))
_TROUBLES = strategies.builds(
    Trouble,
    die_after=_maybe(strategies.integers(0, 40)),
    pause_after=_maybe(
        strategies.tuples(
            strategies.integers(0, 40),
            strategies.sampled_from((2_500, 6_000, 25_000)),
        )
    ),
    both_place=strategies.booleans(),
    reboot_ms=_maybe(_TIMES),
    cut_ms=_maybe(_TIMES),
    log_out_ms=_maybe(_TIMES),
    close_ms=_maybe(_TIMES),
)
_KINDS = strategies.tuples(strategies.booleans(), strategies.booleans())


def _set_log(zone: zone_fake.Zone, down: bool) -> None:
    zone.log_down = down


def _set_reach(zone: zone_fake.Zone, reachable: bool) -> None:
    zone.endpoints_by_id["e1"].reachable = reachable


def _schedule(zone: zone_fake.Zone, trouble: Trouble) -> None:
    first, second = zone.hosts
    first.die_after = trouble.die_after
    first.pause_after = trouble.pause_after
    first.activate()
    if trouble.both_place:
        second.activate()
    if trouble.reboot_ms is not None:
        zone.after(trouble.reboot_ms, zone.endpoints_by_id["e0"].reboot)
    if trouble.cut_ms is not None:
        zone.after(trouble.cut_ms, lambda: _set_reach(zone, False))
    if trouble.log_out_ms is not None:
        zone.after(trouble.log_out_ms, lambda: _set_log(zone, True))
    if trouble.close_ms is not None:
        zone.after(trouble.close_ms, lambda: zone.closed_ids.add("e2"))


def _run(zone: zone_fake.Zone, trouble: Trouble) -> None:
    _schedule(zone, trouble)
    second = zone.hosts[1]
    silent_ms = 0
    for _ in range(FAULTY_MS // 100):
        zone.run(100)
        silent_ms = 0 if zone.hosts[0].awake else silent_ms + 100
        if silent_ms >= zone_fake.TAKEOVER_MS and not second.active:
            second.activate()
    zone.plan.clear()
    zone.closed_ids.clear()
    _set_reach(zone, True)
    _set_log(zone, False)
    zone.hosts[0].pause_after = None
    zone.hosts[0].paused_until_ms = 0
    zone.hosts[0].die_after = None
    if not second.active:
        second.activate()
    for _ in range(40):
        zone.run(5_000)
        if all(zone.job(j).state is jobs.JobState.ENDED for j in _IDS):
            break
    zone.run(5_000)


_IDS = ("a/r0", "a/r1")


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
    for record in zone.requeued():
        if record.job_id == job_id and not record.may_have_run:
            assert record.run not in resumed or job.spec.idempotent


def _check_starts(zone: zone_fake.Zone, closed_ms: int, end_ms: int) -> None:
    for step in zone.steps:
        part = model.parse_task_id(step.task_id)[2]
        if part != 2 or step.state != "running":
            continue
        assert not closed_ms + START_LIMIT_MS < step.at_ms < end_ms


@hypothesis.settings(
    max_examples=100, deadline=None, derandomize=True, database=None
)
@hypothesis.given(_KINDS, _PLANS, _APPEND_PLANS, _TROUBLES)
def test_every_job_ends_truthfully(kinds, plan, append_plan, trouble):
    """Guards G4 to G6 and runs that are stuck once faults stop."""
    zone = zone_fake.Zone(hosts=2, plan={**plan, **append_plan})
    for job_id, idempotent in zip(_IDS, kinds, strict=True):
        zone.submit(job_id, idempotent=idempotent, payload="3000")
    begin_ms = zone.now_ms
    _run(zone, trouble)
    for job_id in _IDS:
        _check_job(zone, job_id)
    assert zone.early_acks == []
    for host in zone.hosts:
        assert not host.alive or not host.runs.runs_by_id
    if trouble.close_ms is not None:
        closed_ms = begin_ms + trouble.close_ms
        _check_starts(zone, closed_ms, begin_ms + FAULTY_MS)


@hypothesis.settings(
    max_examples=100, deadline=None, derandomize=True, database=None
)
@hypothesis.given(
    _PLANS,
    strategies.one_of(strategies.none(), strategies.integers(0, 24)),
    strategies.booleans(),
)
def test_no_part_works_without_the_rest(plan, die_after, checkpointable):
    """Guards G2 over faults of calls and the death of the host."""
    hypothesis.assume(len(plan) <= 2)
    zone = zone_fake.Zone(hosts=2, plan=dict(plan))
    zone.submit("a/r0", payload="20000", checkpointable=checkpointable)
    trouble = Trouble(die_after, None, False, None, None, None, None)
    zone.submit("a/r1", payload="20000")
    _run(zone, trouble)
    for job_id in _IDS:
        for run in range(1, zone.job(job_id).run + 1):
            partial_ms = zone_fake.longest_partial_ms(zone, job_id, run, PARTS)
            assert partial_ms <= PARTIAL_LIMIT_MS
