"""Tests of the records of a job's progress, and of their recovery."""

import asyncio
import random

import builders
import fakelog
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from laburnumgate_placer import lifecycle
from laburnumgate_placer import model
from laburnumgate_placer import progress
from laburnumgate_placer import recorder as recorder_module
from laburnumgate_placer import records
from laburnumgate_placer import topics
from laburnumgate_placer import writer
import orjson
import pytest

_JOB_ID = "a" * 16


def _open(*steps) -> progress.JobEntry:
    entry = progress.JobEntry(builders.job(_JOB_ID, *steps), 0)
    entry.open_due_steps(0, 0)
    return entry


def _restore(entry, value_by_part) -> progress.JobEntry:
    restored = progress.JobEntry(entry.job, 0)
    progress.restore(restored, value_by_part, 0, 0)
    return restored


def _states(entry) -> dict[int, progress.UnitState]:
    return {key.index: u.state for key, u in entry.units_by_key.items()}


def test_a_part_stays_below_the_limit_of_a_record():
    """Guards against tasks with a long history that block the log."""
    entry = _open(builders.step(1_000))
    for unit in entry.units_by_key.values():
        unit.last_run = 100
        unit.moves = 3
        unit.checkpoint = "00000bb87a21d94b"
        unit.failed_runs = {80, 85, 90, 95, 99}
        for number in range(6):
            endpoint_id = f"5c0e7a21d9{unit.key.index:04}{number:02}"
            unit.add_loss(
                model.EndpointLoss(
                    unit.key.index,
                    endpoint_id,
                    1_790_000_000_000,
                    f"m-{endpoint_id}",
                    True,
                    True,
                    False,
                    True,
                )
            )
        unit.avoided_endpoints.update(
            f"{number:016x}" for number in range(1_000)
        )
        run = progress.Run(unit, unit.last_run, [])
        endpoint_id = f"5c0e7a21d9{unit.key.index:04}ff"
        task = unit.tasks()[0]
        run.members.append(
            progress.Member(
                task,
                endpoint_id,
                1_790_000_000_000,
                run,
                machine=f"m-{endpoint_id}",
            )
        )
        unit.run = run
    sizes = [len(value) for value in progress.encode(entry).values()]
    assert len(sizes) == 5
    assert max(sizes) < 262_144 - 100


def test_a_small_job_has_one_record_of_the_earlier_form():
    """Guards against an upgrade after which other hosts read no progress."""
    entry = _open(builders.step(2), builders.step(after=(0,)))
    first, second = entry.units_by_key.values()
    first.last_run = second.last_run = 1
    entry.mark_unit_done(first)
    second.failures = 1
    second.checkpoint = "c"
    assert {
        part: orjson.loads(value)
        for part, value in progress.encode(entry).items()
    } == {
        0: {
            "state": "queued",
            "reason": "",
            "done": [],
            "units": [
                [0, 0, 0, 2, 1, 0, "", []],
                [0, 0, 1, 0, 1, 1, "c", []],
            ],
            "losses": [],
            "failed_runs": [],
            "machines": {},
        }
    }


def test_a_large_record_of_an_earlier_release_is_restored():
    """Guards against large jobs that start anew after an upgrade."""
    entry = _open(builders.step(450), builders.step(after=(0,)))
    rows = [[0, 0, n, 2, 1, 0, "", []] for n in range(300)]
    rows += [[0, 0, n, 1, 2, 1, "c", [["e1", 1, n]]] for n in range(300, 449)]
    value = {
        "state": "running",
        "reason": "",
        "done": [],
        "units": rows,
        "losses": [[0, 0, 300, 300, "e0", 1, "m", True, True, False, True]],
        "failed_runs": [[0, 0, 300, [1]]],
        "machines": {"e1": "m1"},
        "moves": [[0, 0, 301, 1, 1, ["e9"]]],
    }
    restored = _restore(entry, {0: orjson.dumps(value)})
    assert restored.state == model.JobState.RUNNING
    assert restored.open_steps == {(0, 0)}
    assert _states(restored) == dict.fromkeys(
        range(300), progress.UnitState.DONE
    ) | dict.fromkeys(range(300, 449), progress.UnitState.ACTIVE) | {
        449: progress.UnitState.WAITING
    }
    unit = restored.units_by_key[model.UnitKey(_JOB_ID, 0, 0, 300)]
    (member,) = unit.run.members
    assert (member.endpoint_id, member.machine) == ("e1", "m1")
    assert (unit.last_run, unit.failures, unit.checkpoint) == (2, 1, "c")
    assert unit.failed_runs == {1}
    assert unit.suspected
    moved = restored.units_by_key[model.UnitKey(_JOB_ID, 0, 0, 301)]
    assert (moved.moves, moved.avoided_endpoints) == (1, {"e9"})


def test_members_of_a_run_that_was_not_started_leave_the_unit_waiting():
    """Guards against a gang that counts as running and never runs."""
    entry = _open(builders.step(450, gang=True))
    content = {"done": [], "units": []}
    home = content | {
        "state": "running",
        "reason": "",
        "units": [[0, 0, -1, 1, 1, 0, "", []]],
    }
    later = content | {"units": [[0, 0, -1, 1, 2, 0, "", [["e1", 1, 449]]]]}
    restored = _restore(entry, {0: orjson.dumps(home), 2: orjson.dumps(later)})
    (unit,) = restored.units_by_key.values()
    assert unit.state == progress.UnitState.WAITING
    assert unit.run is None
    assert unit.last_run == 1


def test_parts_replace_their_units_in_a_record_of_an_earlier_release():
    """Guards against progress that is lost when an upgrade is interrupted."""
    entry = _open(builders.step(450))
    empty = {"done": [], "units": []}
    earlier = empty | {
        "state": "running",
        "reason": "",
        "units": [[0, 0, n, 1, 1, 0, "", [["e1", 1, n]]] for n in range(450)],
        "losses": [[0, 0, 200, 200, "e0", 1, "m", True, True, False, True]],
    }
    later = empty | {
        "units": [
            [0, 0, 200, 0, 1, 0, "c", []],
            [0, 0, 201, 2, 1, 0, "", []],
            [0, 0, 202, 1, 2, 0, "", [["e2", 1, 202]]],
        ]
    }
    restored = _restore(
        entry, {0: orjson.dumps(earlier), 1: orjson.dumps(later)}
    )
    states = _states(restored)
    active = [n for n, s in states.items() if s == progress.UnitState.ACTIVE]
    assert active == [*range(200), 202, *range(400, 450)]
    assert states[201] == progress.UnitState.DONE
    units = {key.index: u for key, u in restored.units_by_key.items()}
    assert units[200].checkpoint == "c"
    assert units[200].run is None
    assert not units[200].losses
    assert units[202].run.members[0].endpoint_id == "e2"


class _Terms:
    """Plays successive leaders of one job, which record it in small parts.

    Attributes:
      alive: tasks that run, with their run numbers.
      last_started: latest run number with which each unit was started.
      acknowledged: units whose end was acknowledged as done.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.log = fakelog.FakeLog()
        count = self.rng.randint(1, 12)
        self.job = builders.job(
            _JOB_ID,
            builders.step(count),
            builders.step(
                self.rng.randint(1, 9), gang=self.rng.random() < 0.7, after=(0,)
            ),
            builders.step(self.rng.randint(1, 9), after=(1,)),
            builders.step(self.rng.randint(1, 5), gang=True),
            queue=builders.replace(builders.QUEUE, attempts=1_000),
        )
        self.alive: dict[model.TaskKey, int] = {}
        self.last_started: dict[model.UnitKey, int] = {}
        self.acknowledged: set[model.UnitKey] = set()
        self.ends = 0
        self.recorded = 0
        self.token = 0
        self.begin_term()

    def stored(self, end) -> dict[int, bytes]:
        """Returns the parts that the first records of the topic leave."""
        value_by_part = {}
        for entry in self.log._entries(topics.PROGRESS, 0)[:end]:
            _, part = records.decode_progress_key(entry.key)
            value_by_part[part] = entry.value
        return {p: v for p, v in value_by_part.items() if v is not None}

    def begin_term(self):
        self.tables = builders.tables(self.job.queue)
        self.token += 1
        self.tables.token = self.token
        builders.add_endpoint(self.tables)
        self.recorder = recorder_module.Recorder(
            self.log, self.tables, "keyed.status"
        )
        value_by_part = self.stored(self.recorded)
        self.entry = self.restore(value_by_part)
        self.recorder.set_recorded_progress(_JOB_ID, value_by_part)
        self.recorder.set_recorded_state(_JOB_ID, self.entry.state)
        self.tables.entries_by_id[_JOB_ID] = self.entry
        for run in self.entry.runs():
            for member in run.members:
                self.tables.endpoints.by_id["e1"].charge(member)
                self.tables.usage.add(member)

    def restore(self, value_by_part) -> progress.JobEntry:
        entry = progress.JobEntry(self.job, 0)
        if value_by_part:
            progress.restore(entry, value_by_part, 0, 0)
        entry.open_due_steps(0, 0)
        return entry

    def step(self):
        """Ends tasks and assigns units."""
        state = self.tables.endpoints.by_id["e1"]
        kinds = [model.EndKind.DONE, model.EndKind.FAILED, model.EndKind.LAPSED]
        for run in self.entry.runs():
            for member in run.members:
                if member.task not in self.alive or self.rng.random() < 0.6:
                    # A member that was never started, or is gone, is found
                    # absent by a report.
                    if member.start_sent and member.task not in self.alive:
                        lifecycle.mark_terminated(
                            self.tables, member, builders.PROOF
                        )
                    continue
                self.ends += 1
                del self.alive[member.task]
                row = builders.end(member, self.ends, self.rng.choice(kinds))
                lifecycle.apply_end(self.tables, state, row)
        for step_key in sorted(self.entry.open_steps):
            for unit in self.entry.step_units(step_key):
                if unit.state != progress.UnitState.WAITING:
                    continue
                if self.rng.random() < 0.4:
                    lifecycle.assign(self.tables, unit, ["e1"] * unit.size)

    async def flush(self):
        """Records all changes; checks what each prefix of them restores."""
        task = asyncio.create_task(self.recorder.run_writers())
        runs = await self.recorder.flush()
        task.cancel()
        end = self.log.end(topics.PROGRESS)
        for offset in range(self.recorded, end + 1):
            self.check(self.restore(self.stored(offset)))
        self.recorded = end
        for run in runs:
            if run.phase != progress.Phase.ASSIGNED:
                continue
            builders.start(self.tables, run)
            self.last_started[run.unit.key] = run.number
            for member in run.members:
                self.alive[member.task] = run.number
        for key, unit in self.entry.units_by_key.items():
            if unit.state == progress.UnitState.DONE:
                self.acknowledged.add(key)

    def check(self, entry):
        """Checks that a leader which restores `entry` repeats no work."""
        found = {
            member.task: run.number
            for run in entry.runs()
            for member in run.members
        }
        assert self.alive.items() <= found.items()
        for key in self.acknowledged:
            if (key.occurrence, key.step) not in entry.done_steps:
                unit = entry.units_by_key[key]
                assert unit.state == progress.UnitState.DONE
        for key, number in self.last_started.items():
            if (key.occurrence, key.step) not in entry.done_steps:
                assert entry.units_by_key[key].last_run >= number
        for occurrence, step in entry.open_steps | entry.done_steps:
            for earlier in self.job.steps[step].after:
                assert (occurrence, earlier) in entry.done_steps
        for key, unit in entry.units_by_key.items():
            if (key.occurrence, key.step) in entry.done_steps:
                assert unit.state == progress.UnitState.DONE
        for step_key in entry.open_steps:
            units = entry.step_units(step_key)
            assert any(u.state != progress.UnitState.DONE for u in units)
            for unit in units:
                active = unit.state == progress.UnitState.ACTIVE
                assert active or unit.run is None or unit.state == 2
                assert not active or unit.run is not None


@settings(max_examples=150, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    earlier_release=st.booleans(),
    part_size=st.integers(1, 5),
)
def test_each_prefix_of_a_flush_is_recovered(seed, earlier_release, part_size):
    """Guards against work that runs twice after a leader was replaced."""

    async def work():
        terms = _Terms(seed)
        for number in range(14):
            if number == 4:
                patch.setattr(progress, "TASKS_PER_PART", part_size)
            elif number == 0 and earlier_release:
                patch.setattr(progress, "TASKS_PER_PART", 10_000)
            if number and terms.rng.random() < 0.3 or number == 4:
                terms.begin_term()
            terms.step()
            if terms.entry.state.final:
                return
            await terms.flush()

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(progress, "TASKS_PER_PART", part_size)
        # Each record is stored by an append of its own.
        patch.setattr(writer, "MAX_BATCH_BYTES", 1)
        builders.run(work())
