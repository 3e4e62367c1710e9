"""Progress of open jobs: units of work, their runs, and the record of both."""

import dataclasses
import enum

import orjson

from laburnumgate_placer import model


class UnitState(enum.IntEnum):
    """Whether a unit waits for a start, has a run, or is done."""

    WAITING = 0
    ACTIVE = 1
    DONE = 2


class Phase(enum.Enum):
    """What the leader is doing with a run."""

    ASSIGNED = "assigned"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclasses.dataclass(eq=False, slots=True)
class Member:
    """One task of a run on its endpoint.

    Attributes:
      task: the task.
      endpoint_id: where it runs.
      born_ms: life of the endpoint that the run belongs to.
      run: the run.
      start_sent: a start may be on its way or have been carried out.
      report_valid_from_ms: steady time from which the endpoint's report decides
        whether the task is there; 0 while an order is unanswered.
      present: the endpoint listed or confirmed it.
      stopping: a stop is being sent.
      terminated: the task is surely not running and never will be.
      percent: share of the work that is done.
      percent_at_ms: steady time of `percent`.
      base_percent: share that was done at `base_ms`.
      base_ms: steady time from which its rate is measured; 0 before that.
      load: newest load figure.
      pace_percent: percent of time that it may work.
    """

    task: model.TaskKey
    endpoint_id: str
    born_ms: int
    run: "Run"
    start_sent: bool = False
    report_valid_from_ms: int = 0
    present: bool = False
    stopping: bool = False
    terminated: bool = False
    percent: int = 0
    percent_at_ms: int = 0
    base_percent: int = 0
    base_ms: int = 0
    load: float = 0.0
    pace_percent: int = 100


@dataclasses.dataclass(eq=False, slots=True)
class Run:
    """One run of a unit: all its members carry the same number."""

    unit: "Unit"
    number: int
    members: list[Member]
    phase: Phase = Phase.ASSIGNED
    result: model.EndKind | None = None
    assigned_ms: int = 0
    started_ms: int = 0
    tickets_by_endpoint: dict[str, str] = dataclasses.field(
        default_factory=dict
    )

    def all_terminated(self) -> bool:
        """Whether no member can be running any more."""
        return all(member.terminated for member in self.members)

    def percent(self) -> int:
        """Returns the least share of work done among the members."""
        return min((member.percent for member in self.members), default=0)


@dataclasses.dataclass(eq=False, slots=True)
class Unit:
    """A task, or all tasks of a gang, and what is known of its runs."""

    key: model.UnitKey
    step: model.Step
    entry: "JobEntry"
    state: UnitState = UnitState.WAITING
    last_run: int = 0
    failures: int = 0
    checkpoint: str = ""
    run: Run | None = None
    ready_ms: int = 0
    backoff_until_ms: int = 0
    avoided_endpoints: set[str] = dataclasses.field(default_factory=set)

    @property
    def size(self) -> int:
        """Number of tasks that start together."""
        return self.step.count if self.step.gang else 1

    def tasks(self) -> list[model.TaskKey]:
        """Returns the tasks that start together."""
        key = self.key
        indexes = range(self.step.count) if self.step.gang else [key.index]
        return [
            model.TaskKey(key.job_id, key.occurrence, key.step, index)
            for index in indexes
        ]


@dataclasses.dataclass(eq=False, slots=True)
class JobEntry:
    """An open job.

    Attributes:
      job: the job.
      state: its state, as last decided here.
      reason: why it ended, if it did.
      arrived_ms: steady time at which this host learnt of it.
      units_by_key: units of all steps that may run or have run.
      open_steps: occurrence and step of the steps that are not done.
      done_steps: occurrence and step of the steps that are done.
      next_occurrence: the first occurrence that is not opened yet.
    """

    job: model.Job
    arrived_ms: int
    state: model.JobState = model.JobState.QUEUED
    reason: str = ""
    units_by_key: dict[model.UnitKey, Unit] = dataclasses.field(
        default_factory=dict
    )
    open_steps: set[tuple[int, int]] = dataclasses.field(default_factory=set)
    done_steps: set[tuple[int, int]] = dataclasses.field(default_factory=set)
    next_occurrence: int = 0

    def open_due_steps(self, unix_ms: int, now_ms: int) -> bool:
        """Opens steps whose time has come; returns whether any opened."""
        opened = False
        while self.next_occurrence < self.job.occurrences:
            if self.job.due_ms(self.next_occurrence) > unix_ms:
                break
            self.next_occurrence += 1
        for occurrence in range(self.next_occurrence):
            for number, step in enumerate(self.job.steps):
                step_id = (occurrence, number)
                if step_id in self.open_steps or step_id in self.done_steps:
                    continue
                if any(
                    (occurrence, n) not in self.done_steps for n in step.after
                ):
                    continue
                self._open(step_id, step, now_ms)
                opened = True
        return opened

    def finished(self) -> bool:
        """Whether all steps of all occurrences are done."""
        wanted = self.job.occurrences * len(self.job.steps)
        return len(self.done_steps) == wanted

    def mark_unit_done(self, unit: Unit) -> None:
        """Marks a unit as done, and its step if it was the last one."""
        unit.state = UnitState.DONE
        step_id = (unit.key.occurrence, unit.key.step)
        for other in self.step_units(step_id):
            if other.state != UnitState.DONE:
                return
        self.open_steps.discard(step_id)
        self.done_steps.add(step_id)

    def step_units(self, step_id: tuple[int, int]) -> list[Unit]:
        """Returns the units of one step of one occurrence."""
        step = self.job.steps[step_id[1]]
        indexes = [model.GANG_INDEX] if step.gang else range(step.count)
        keys = [
            model.UnitKey(self.job.job_id, step_id[0], step_id[1], index)
            for index in indexes
        ]
        return [self.units_by_key[key] for key in keys]

    def runs(self) -> list[Run]:
        """Returns the runs that may be present on an endpoint."""
        return [unit.run for unit in self.units_by_key.values() if unit.run]

    def unit_of(self, task: model.TaskKey) -> Unit | None:
        """Returns the unit of a task, None if its step is not open."""
        if not 0 <= task.step < len(self.job.steps):
            return None
        gang = self.job.steps[task.step].gang
        index = model.GANG_INDEX if gang else task.index
        return self.units_by_key.get(
            model.UnitKey(task.job_id, task.occurrence, task.step, index)
        )

    def _open(
        self, step_id: tuple[int, int], step: model.Step, now_ms: int
    ) -> None:
        self.open_steps.add(step_id)
        indexes = [model.GANG_INDEX] if step.gang else range(step.count)
        for index in indexes:
            key = model.UnitKey(self.job.job_id, step_id[0], step_id[1], index)
            if key not in self.units_by_key:
                self.units_by_key[key] = Unit(key, step, self, ready_ms=now_ms)


def encode(entry: JobEntry) -> bytes:
    """Returns the record from which a later leader restores the entry."""
    rows = []
    for unit in entry.units_by_key.values():
        step_id = (unit.key.occurrence, unit.key.step)
        if step_id in entry.done_steps and unit.run is None:
            continue
        if unit.state == UnitState.WAITING and not unit.last_run:
            continue
        members = []
        if unit.run is not None:
            members = [
                [m.endpoint_id, m.born_ms, m.task.index]
                for m in unit.run.members
                if not m.terminated
            ]
        rows.append(
            [
                *step_id,
                unit.key.index,
                int(unit.state),
                unit.last_run,
                unit.failures,
                unit.checkpoint,
                members,
            ]
        )
    return orjson.dumps(
        {
            "state": entry.state.value,
            "reason": entry.reason,
            "done": sorted(entry.done_steps),
            "units": rows,
        }
    )


def restore(entry: JobEntry, value: bytes, unix_ms: int, now_ms: int) -> None:
    """Puts the recorded progress of an earlier leader into a new entry.

    Raises:
      ValueError, KeyError, TypeError: if the record is malformed.
    """
    content = orjson.loads(value)
    entry.state = model.JobState(content["state"])
    entry.reason = content["reason"]
    for occurrence, step in content["done"]:
        entry.done_steps.add((occurrence, step))
    entry.open_due_steps(unix_ms, now_ms)
    for row in content["units"]:
        occurrence, step, index, state, last_run, failures, saved, members = row
        key = model.UnitKey(entry.job.job_id, occurrence, step, index)
        unit = entry.units_by_key.get(key)
        if unit is None:
            spec = entry.job.steps[step]
            unit = Unit(key, spec, entry, ready_ms=now_ms)
            entry.units_by_key[key] = unit
            if (occurrence, step) not in entry.done_steps:
                entry.open_steps.add((occurrence, step))
        unit.state = UnitState(state)
        unit.last_run = last_run
        unit.failures = failures
        unit.checkpoint = saved
        if not members:
            continue
        run = Run(unit, last_run, [], phase=Phase.RUNNING, assigned_ms=now_ms)
        run.started_ms = now_ms
        for endpoint_id, born_ms, task_index in members:
            task = model.TaskKey(entry.job.job_id, occurrence, step, task_index)
            run.members.append(
                Member(
                    task,
                    endpoint_id,
                    born_ms,
                    run,
                    start_sent=True,
                )
            )
        unit.run = run
        if unit.state == UnitState.WAITING:
            unit.state = UnitState.ACTIVE
    # A step whose units are all done was not listed as done if the record
    # was written before the last of them ended.
    for step_id in list(entry.open_steps):
        step = entry.job.steps[step_id[1]]
        indexes = [model.GANG_INDEX] if step.gang else range(step.count)
        for index in indexes:
            key = model.UnitKey(entry.job.job_id, *step_id, index)
            if key not in entry.units_by_key:
                entry.units_by_key[key] = Unit(
                    key, step, entry, ready_ms=now_ms
                )
