"""Tests of jobs with very many steps, tasks or occurrences.

How much work is done is counted in reads of steps and units, since tests assert
nothing about elapsed time.
"""

import builders
from laburnumgate_placer import lifecycle
from laburnumgate_placer import load_reports
from laburnumgate_placer import model
from laburnumgate_placer import ordering
from laburnumgate_placer import policy
from laburnumgate_placer import progress
from laburnumgate_placer import reclaim
from laburnumgate_placer import reports
from laburnumgate_placer import scheduling
from laburnumgate_placer import turns
from laburnumgate_placer.overload import passes
import pytest

_STEPS = 400


class _CountedReads:
    """Counts the reads of elements, as a part of a sequence."""

    reads = 0

    def __getitem__(self, index):
        self.reads += 1
        return super().__getitem__(index)

    def __iter__(self):
        for element in super().__iter__():
            self.reads += 1
            yield element


class _Steps(_CountedReads, tuple):
    """Steps of a job that count how often one of them is read."""


class _Units(_CountedReads, list):
    """Units of a step that count how often one of them is read."""


def _chain() -> _Steps:
    return _Steps(
        builders.step(after=(number - 1,) if number else ())
        for number in range(_STEPS)
    )


def _layers() -> _Steps:
    """Returns steps that each depend on all steps of the layer before."""
    layers = 10
    width = _STEPS // layers
    return _Steps(
        builders.step(
            after=tuple(range((layer - 1) * width, layer * width))
            if layer
            else ()
        )
        for layer in range(layers)
        for _ in range(width)
    )


def _independent() -> _Steps:
    return _Steps(builders.step() for _ in range(_STEPS))


def _tables(endpoints=2):
    tables = builders.tables(policy=policy.Policy(delay_cost_order=True))
    for number in range(endpoints):
        builders.add_endpoint(tables, f"e{number}")
    return tables


def _open(tables, steps, job_id="a" * 16, **fields) -> progress.JobEntry:
    job = builders.replace(builders.job(job_id, **fields), steps=steps)
    return lifecycle.open_job(tables, job)


def _end_all(tables, entry) -> int:
    """Starts and ends all assigned tasks, and returns their number."""
    for run in tables.take_assigned():
        tables.end_launch(run)
    runs = entry.runs()
    for number, run in enumerate(runs):
        builders.start(tables, run)
        (member,) = run.members
        lifecycle.apply_end(
            tables,
            tables.endpoints.by_id[member.endpoint_id],
            builders.end(member, number, model.EndKind.DONE),
        )
    return len(runs)


@pytest.mark.parametrize("shape", [_chain, _layers, _independent])
def test_a_pass_reads_each_step_a_few_times(shape):
    """Guards against passes whose time grows with the square of the steps.

    One job of 600 steps kept all jobs of all accounts from starting.
    """
    steps = shape()
    tables = _tables()
    entry = _open(tables, steps)
    scheduler = scheduling.Scheduler(tables)
    steps.reads = 0
    scheduler.run()
    assert entry.runs()
    tables.monotonic.advance(100)
    load_reports.collect(tables, {})
    scheduler.run()
    assert steps.reads <= 30 * _STEPS


@pytest.mark.parametrize("shape", [_chain, _layers, _independent])
def test_the_end_of_a_task_reads_few_steps(shape):
    """Guards against ends of tasks that go through all steps of their job."""
    steps = shape()
    tables = _tables()
    entry = _open(tables, steps)
    scheduler = scheduling.Scheduler(tables)
    ended = reads = 0
    while not entry.finished():
        scheduler.run()
        steps.reads = 0
        ended += _end_all(tables, entry)
        reads += steps.reads
    assert ended == _STEPS
    assert reads <= 30 * _STEPS


def test_the_end_of_a_task_reads_few_other_tasks():
    """Guards against ends of tasks that go through all tasks of their step."""
    tables = _tables()
    entry = _open(tables, (builders.step(_STEPS),))
    scheduler = scheduling.Scheduler(tables)
    units = _Units(entry.step_units((0, 0)))
    entry._units_by_step[0, 0] = units
    reads = 0
    while not entry.finished():
        scheduler.run()
        units.reads = 0
        _end_all(tables, entry)
        reads += units.reads
    assert reads <= 5 * _STEPS


def test_a_pass_ranks_a_bounded_number_of_steps_of_a_job():
    """Guards against a job whose steps take the whole time of the passes."""
    tables = _tables(endpoints=0)
    _open(tables, _independent())
    now_ms = tables.monotonic.now_ms()
    ranked = ordering.waiting_steps(tables, set(), now_ms)
    assert len(ranked) == passes.MAX_STEPS_PER_JOB


def test_steps_without_room_do_not_keep_those_behind_them_waiting():
    """Guards against a job that stands still behind its first steps."""
    tables = _tables()
    impossible = (builders.step(label="none", estimate_ms=9_000),) * _STEPS
    entry = _open(tables, (*impossible, builders.step()))
    scheduler = scheduling.Scheduler(tables)
    for _ in range(2 * _STEPS // passes.MAX_STEPS_PER_JOB + 1):
        scheduler.run()
        tables.monotonic.advance(100)
    (run,) = entry.runs()
    assert run.unit.key.step == _STEPS


def test_the_longest_paths_are_ranked_first():
    """Guards against a large job that ends late because of its order."""
    tables = _tables(endpoints=0)
    steps = _Steps(
        [*_independent(), builders.step(estimate_ms=5_000), builders.step()]
    )
    _open(tables, steps)
    now_ms = tables.monotonic.now_ms()
    ranked = ordering.waiting_steps(tables, set(), now_ms)
    assert ranked[0].key[2] == _STEPS


def test_a_small_job_starts_beside_large_ones():
    """Guards against large jobs that keep the others waiting."""
    tables = _tables()
    for number in range(5):
        _open(tables, _independent(), f"{number:016x}")
    tables.monotonic.advance(100)
    small = _open(tables, (builders.step(),), "f" * 16)
    scheduler = scheduling.Scheduler(tables)
    for _ in range(_STEPS):
        scheduler.run()
        if small.finished():
            return
        for entry in list(tables.entries_by_id.values()):
            _end_all(tables, entry)
        tables.monotonic.advance(100)
    raise AssertionError("the small job did not start")


def test_the_backlog_includes_steps_that_were_not_ranked():
    """Guards against work that is accepted although a large job is ahead."""
    tables = _tables()
    for number in range(2):
        _open(tables, (builders.step(8, estimate_ms=60_000),), f"{number:016x}")
    scheduling.Scheduler(tables).run()
    _open(tables, _independent())
    backlog = load_reports.collect(tables, {})["pool"]
    core_s = _STEPS * reclaim.task_cores(builders.step())
    pool_cores = sum(
        reclaim.resource_cores(state.info.capacity)
        for state in tables.endpoints.by_id.values()
    )
    (delay_ms,) = backlog.delay_ms_by_priority.values()
    assert delay_ms == pytest.approx(1000 * core_s / pool_cores, rel=0.05)


def test_a_bounded_number_of_tasks_of_a_job_is_open(monkeypatch):
    """Guards against a leader without memory for all occurrences that are due.

    A body of 100 bytes can ask for 10,000 occurrences of 20,000 tasks.
    """
    monkeypatch.setattr(progress, "MAX_OPEN_TASKS", 20)
    tables = _tables()
    entry = _open(
        tables,
        (builders.step(3), builders.step(2, after=(0,))),
        scheduled=True,
        occurrences=10_000,
        interval_ms=1,
        first_start_ms=0,
    )
    assert entry.next_occurrence == 4
    assert len(entry.units_by_key) == 12
    scheduler = scheduling.Scheduler(tables)
    for _ in range(2):
        scheduler.run()
        _end_all(tables, entry)
    assert {(k, n) for k in range(3) for n in range(2)} <= entry.done_steps
    assert entry.next_occurrence > 4


def test_an_occurrence_with_more_tasks_than_may_be_open_runs(monkeypatch):
    """Guards against a large timed job that never starts."""
    monkeypatch.setattr(progress, "MAX_OPEN_TASKS", 20)
    tables = _tables()
    entry = _open(tables, (builders.step(30),), scheduled=True, occurrences=2)
    assert entry.next_occurrence == 1


def test_a_bounded_number_of_tasks_of_a_job_waits_for_its_start():
    """Guards against start orders of other jobs behind those of a large one.

    Beside 20,000 tasks that need no resources, small jobs started after 30 s.
    """
    tables = _tables()
    entry = _open(tables, (model.Step(4_000, model.Resources()),))
    scheduler = scheduling.Scheduler(tables)
    scheduler.run()
    first = tables.take_assigned()
    assert len(first) == passes.MAX_UNSTARTED_TASKS
    scheduler.run()
    assert not tables.assigned_runs
    small = _open(tables, (builders.step(),), "f" * 16)
    scheduler.run()
    assert [run.unit.entry for run in tables.take_assigned()] == [small]
    for run in first[:30]:
        tables.end_launch(run)
    scheduler.run()
    assert [run.unit.entry for run in tables.assigned_runs] == [entry] * 30


class _Members(_CountedReads, list):
    """Members of a run that count how often one of them is read."""


def test_reports_on_a_large_gang_read_each_member_a_few_times():
    """Guards against reports that go through a whole gang for each task."""
    tables = _tables(endpoints=0)
    capacity = model.Resources(1_000_000, 1_000_000, _STEPS)
    state = builders.add_endpoint(tables, "e1", capacity=capacity)
    entry = _open(tables, (builders.step(_STEPS, gang=True),))
    scheduling.Scheduler(tables).run()
    (run,) = entry.runs()
    run.members = members = _Members(run.members)
    builders.start(tables, run)
    rows = [builders.row(member) for member in run.members]
    for clock_ms in (60_000, 60_500, 61_000):
        tables.monotonic.advance(500)
        now_ms = tables.monotonic.now_ms()
        report = builders.report(state, *rows, clock_ms=clock_ms)
        reports.apply(tables, state, report, now_ms)
    ends = [
        builders.end(member, number + 1, model.EndKind.DONE)
        for number, member in enumerate(run.members)
    ]
    report = builders.report(state, ended=ends, clock_ms=61_500)
    reports.apply(tables, state, report, now_ms)
    assert entry.finished()
    assert members.reads <= 30 * _STEPS


class _SlowClock:
    """A clock that advances by 1 ms with each reading."""

    def __init__(self):
        self._now_ms = 0

    def now_ms(self) -> int:
        self._now_ms += 1
        return self._now_ms


def test_a_pass_without_time_for_all_steps_gives_each_its_turn():
    """Guards against steps that are behind others in each pass."""
    tables = _tables(endpoints=0)
    for number in range(1_000):
        _open(tables, (builders.step(),), f"{number:016x}")
    now_ms = tables.monotonic.now_ms()
    ranked = ordering.waiting_steps(tables, set(), now_ms)
    taken = turns.Turns(_SlowClock())
    tried = set()
    for _ in range(50):
        keys = [step.key for step in taken.take(ranked)]
        assert len(keys) < 200
        assert keys[0] == ranked[0].key
        tried.update(keys)
    assert len(tried) == 1_000
