"""Progress of open jobs: units, their runs, and their serialization."""

import dataclasses
import enum

import orjson

from laburnumgate_placer import model


class UnitState(enum.IntEnum):
    """State of a unit; the number is stored in progress records."""

    WAITING = 0
    ACTIVE = 1
    DONE = 2


class Phase(enum.Enum):
    """Phase of a run."""

    ASSIGNED = "assigned"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclasses.dataclass(eq=False, slots=True)
class Member:
    """One task of a run, placed on an endpoint.

    Attributes:
      task: key of the task.
      endpoint_id: endpoint that it is placed on.
      born_ms: incarnation of the endpoint.
      run: run that it belongs to.
      start_sent: whether a start order may be in flight or executed.
      report_valid_from_ms: monotonic time after which a requested report
        decides whether the task is running; 0 while an order is unanswered.
      present: whether the endpoint reported it as running.
      confirmed: whether the endpoint is known to have started it, from a report
        or from its answer to the start order.
      stopping: whether a stop order is being sent.
      terminated: whether it is certain that the task neither runs nor will
        start.
      percent: progress, 0 to 100.
      percent_at_ms: monotonic time of `percent`.
      still_ms: how long reports have shown no progress, while all members of
        the run were known to be running.
      stalled: whether the endpoint was found to stall it since it last
        progressed.
      base_percent: progress at `base_ms`.
      base_ms: monotonic time from which the rate of progress is measured; 0 if
        not started.
      load: latest load reported.
      pace_percent: throttle, in percent of the time.
      machine: machine of the endpoint, empty if unknown.
    """

    task: model.TaskKey
    endpoint_id: str
    born_ms: int
    run: "Run"
    start_sent: bool = False
    report_valid_from_ms: int = 0
    present: bool = False
    confirmed: bool = False
    stopping: bool = False
    terminated: bool = False
    percent: int = 0
    percent_at_ms: int = 0
    still_ms: int = 0
    stalled: bool = False
    base_percent: int = 0
    base_ms: int = 0
    load: float = 0.0
    pace_percent: int = 100
    machine: str = ""


@dataclasses.dataclass(eq=False, slots=True)
class Run:
    """One attempt to run a unit; all members share its run number.

    If `restored`, an earlier leader started it, and `started_ms` is the time of
    its restoration. If `overdue`, it was assigned before work that is worth
    more, because its unit was overdue.
    """

    unit: "Unit"
    number: int
    members: list[Member]
    phase: Phase = Phase.ASSIGNED
    result: model.EndKind | None = None
    assigned_ms: int = 0
    started_ms: int = 0
    restored: bool = False
    overdue: bool = False
    tickets_by_endpoint: dict[str, str] = dataclasses.field(
        default_factory=dict
    )

    def all_terminated(self) -> bool:
        """Whether all members are terminated."""
        return all(member.terminated for member in self.members)

    def percent(self) -> int:
        """Returns the progress of the slowest member."""
        return min((member.percent for member in self.members), default=0)


@dataclasses.dataclass(eq=False, slots=True)
class Unit:
    """A schedulable unit (a task, or all tasks of a gang) and its run.

    Attributes:
      key: key of the unit.
      step: step that it belongs to.
      entry: progress of its job.
      state: whether it waits, is placed or is done.
      last_run: number of its latest run.
      failures: number of runs that failed.
      failed_runs: numbers of the failed runs that are known; ends of the same
        run that are reported later do not count again.
      checkpoint: latest checkpoint, empty for none.
      run: current run.
      ready_ms: monotonic time from which it could have started.
      backoff_until_ms: monotonic time before which it is not placed.
      preempted: runs that were stopped for other work.
      spent_core_s: core-seconds that were thrown away for its current run.
      avoided_endpoints: ids of endpoints on which runs of it failed, or from
        which they were moved.
      losses: endpoints that were lost while a task of it may have run there.
      moves: runs that were stopped because they were stalled or too slow.
      moved_run: number of the latest of these runs, 0 for none.
    """

    key: model.UnitKey
    step: model.Step
    entry: "JobEntry"
    state: UnitState = UnitState.WAITING
    last_run: int = 0
    failures: int = 0
    failed_runs: set[int] = dataclasses.field(default_factory=set)
    checkpoint: str = ""
    run: Run | None = None
    ready_ms: int = 0
    backoff_until_ms: int = 0
    preempted: int = 0
    spent_core_s: float = 0.0
    avoided_endpoints: set[str] = dataclasses.field(default_factory=set)
    losses: list[model.EndpointLoss] = dataclasses.field(default_factory=list)
    moves: int = 0
    moved_run: int = 0

    @property
    def suspected(self) -> bool:
        """Whether it may have crashed an endpoint that was lost alone."""
        return any(
            loss.crashed and loss.lone and not loss.explained
            for loss in self.losses
        )

    def record_move(self, run_number: int, endpoint_ids: set[str]) -> None:
        """Records that a run is moved off endpoints; a run counts once."""
        self.avoided_endpoints.update(endpoint_ids)
        if self.moved_run != run_number:
            self.moves += 1
            self.moved_run = run_number

    def add_loss(self, loss: model.EndpointLoss) -> None:
        """Adds a loss; a known one is replaced."""
        for known in list(self.losses):
            if (known.incarnation, known.task_index) == (
                loss.incarnation,
                loss.task_index,
            ):
                self.losses.remove(known)
        self.losses.append(loss)
        self._avoid(loss)

    def replace_loss(
        self, known: model.EndpointLoss, loss: model.EndpointLoss | None
    ) -> None:
        """Replaces a loss by what became known of it; None removes it."""
        position = self.losses.index(known)
        self.losses[position : position + 1] = [loss] if loss else []
        if loss is not None:
            self._avoid(loss)

    def _avoid(self, loss: model.EndpointLoss) -> None:
        if loss.crashed and loss.lone:
            self.avoided_endpoints.add(loss.endpoint_id)

    @property
    def size(self) -> int:
        """Number of tasks in the unit."""
        return self.step.count if self.step.gang else 1

    def tasks(self) -> list[model.TaskKey]:
        """Returns the keys of the tasks in the unit."""
        key = self.key
        indexes = range(self.step.count) if self.step.gang else [key.index]
        return [
            model.TaskKey(key.job_id, key.occurrence, key.step, index)
            for index in indexes
        ]


@dataclasses.dataclass(eq=False, slots=True)
class JobEntry:
    """Progress of an open job.

    Attributes:
      job: the submitted job.
      state: current state, possibly not recorded yet.
      reason: reason of a terminal state.
      arrived_ms: monotonic time at which the job arrived, including the time
        that it waited under earlier leaders.
      units_by_key: units of all steps that were opened.
      open_steps: (occurrence, step) of opened steps that are not done.
      done_steps: (occurrence, step) of completed steps.
      next_occurrence: first occurrence that is not opened yet.
      declared_core_s: declared work of one occurrence, None until it was asked
        for.
      waves: in how many waves each step has to run, None for one; and the
        state of the pool and the limit that this was computed for.
      waves_failed: whether the waves could not be computed.
      _units_by_step: units of the steps that were asked for.
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
    declared_core_s: float | None = None
    waves: tuple[object, tuple[int, ...] | None] = (None, None)
    waves_failed: bool = False
    _units_by_step: dict[tuple[int, int], list[Unit]] = dataclasses.field(
        default_factory=dict
    )

    def open_due_steps(self, unix_ms: int, now_ms: int) -> bool:
        """Opens steps that are due and whose dependencies are done.

        Returns:
          Whether any step was opened.
        """
        opened = False
        while self.next_occurrence < self.job.occurrences:
            if self.job.due_ms(self.next_occurrence) > unix_ms:
                break
            self.next_occurrence += 1
        for occurrence in range(self.next_occurrence):
            for number, step in enumerate(self.job.steps):
                step_key = (occurrence, number)
                if step_key in self.open_steps or step_key in self.done_steps:
                    continue
                if any(
                    (occurrence, n) not in self.done_steps for n in step.after
                ):
                    continue
                self._open(step_key, step, now_ms)
                opened = True
        return opened

    def finished(self) -> bool:
        """Whether all steps of all occurrences are done."""
        wanted = self.job.occurrences * len(self.job.steps)
        return len(self.done_steps) == wanted

    def mark_unit_done(self, unit: Unit) -> None:
        """Marks a unit as done, and its step if no other unit is left."""
        unit.state = UnitState.DONE
        step_key = (unit.key.occurrence, unit.key.step)
        for other in self.step_units(step_key):
            if other.state != UnitState.DONE:
                return
        self.open_steps.discard(step_key)
        self.done_steps.add(step_key)

    def step_units(self, step_key: tuple[int, int]) -> list[Unit]:
        """Returns the units of one step of one occurrence."""
        units = self._units_by_step.get(step_key)
        if units is None:
            step = self.job.steps[step_key[1]]
            indexes = [model.GANG_INDEX] if step.gang else range(step.count)
            keys = [
                model.UnitKey(self.job.job_id, step_key[0], step_key[1], index)
                for index in indexes
            ]
            units = [self.units_by_key[key] for key in keys]
            self._units_by_step[step_key] = units
        return units

    def runs(self) -> list[Run]:
        """Returns the active runs, which may be present on endpoints."""
        return [unit.run for unit in self.units_by_key.values() if unit.run]

    def unit_of(self, task: model.TaskKey) -> Unit | None:
        """Returns the unit of a task, None if its step was never opened."""
        if not 0 <= task.step < len(self.job.steps):
            return None
        gang = self.job.steps[task.step].gang
        index = model.GANG_INDEX if gang else task.index
        return self.units_by_key.get(
            model.UnitKey(task.job_id, task.occurrence, task.step, index)
        )

    def _open(
        self, step_key: tuple[int, int], step: model.Step, now_ms: int
    ) -> None:
        self.open_steps.add(step_key)
        indexes = [model.GANG_INDEX] if step.gang else range(step.count)
        for index in indexes:
            key = model.UnitKey(
                self.job.job_id, step_key[0], step_key[1], index
            )
            if key not in self.units_by_key:
                self.units_by_key[key] = Unit(key, step, self, ready_ms=now_ms)


def encode(entry: JobEntry) -> bytes:
    """Serializes the progress of a job for recovery by a later leader."""
    rows = []
    for unit in entry.units_by_key.values():
        step_key = (unit.key.occurrence, unit.key.step)
        if step_key in entry.done_steps and unit.run is None:
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
                *step_key,
                unit.key.index,
                int(unit.state),
                unit.last_run,
                unit.failures,
                unit.checkpoint,
                members,
            ]
        )
    content = {
        "state": entry.state.value,
        "reason": entry.reason,
        "done": sorted(entry.done_steps),
        "units": rows,
        # Apart from the units, whose rows earlier releases read as well.
        "losses": _loss_rows(entry),
        "failed_runs": [
            [
                unit.key.occurrence,
                unit.key.step,
                unit.key.index,
                sorted(unit.failed_runs),
            ]
            for unit in entry.units_by_key.values()
            if unit.failed_runs and unit.state != UnitState.DONE
        ],
        "machines": {
            member.endpoint_id: member.machine
            for run in entry.runs()
            for member in run.members
            if not member.terminated and member.machine
        },
    }
    moves = _move_rows(entry)
    if moves:
        content["moves"] = moves
    return orjson.dumps(content)


def _loss_rows(entry: JobEntry) -> list[list]:
    return [
        [
            unit.key.occurrence,
            unit.key.step,
            unit.key.index,
            *dataclasses.astuple(loss),
        ]
        for unit in entry.units_by_key.values()
        if unit.state != UnitState.DONE
        for loss in unit.losses
    ]


def _move_rows(entry: JobEntry) -> list[list]:
    return [
        [
            unit.key.occurrence,
            unit.key.step,
            unit.key.index,
            unit.moves,
            unit.moved_run,
            sorted(unit.avoided_endpoints),
        ]
        for unit in entry.units_by_key.values()
        if unit.state != UnitState.DONE and unit.moves
    ]


def restore(entry: JobEntry, value: bytes, unix_ms: int, now_ms: int) -> None:
    """Restores the progress that an earlier leader recorded.

    Raises:
      ValueError, KeyError, TypeError: The record is malformed.
    """
    content = orjson.loads(value)
    entry.state = model.JobState(content["state"])
    entry.reason = content["reason"]
    for occurrence, step in content["done"]:
        entry.done_steps.add((occurrence, step))
    entry.open_due_steps(unix_ms, now_ms)
    machine_by_endpoint = content.get("machines", {})
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
        run.restored = True
        for endpoint_id, born_ms, task_index in members:
            task = model.TaskKey(entry.job.job_id, occurrence, step, task_index)
            run.members.append(
                Member(
                    task,
                    endpoint_id,
                    born_ms,
                    run,
                    start_sent=True,
                    machine=machine_by_endpoint.get(endpoint_id, ""),
                )
            )
        unit.run = run
        if unit.state == UnitState.WAITING:
            unit.state = UnitState.ACTIVE
    # A record omits units that never ran, and does not list a step as done if
    # it was written before the last unit of the step ended.
    for step_key in list(entry.open_steps):
        step = entry.job.steps[step_key[1]]
        indexes = [model.GANG_INDEX] if step.gang else range(step.count)
        for index in indexes:
            key = model.UnitKey(entry.job.job_id, *step_key, index)
            if key not in entry.units_by_key:
                entry.units_by_key[key] = Unit(
                    key, step, entry, ready_ms=now_ms
                )
    for occurrence, step, index, numbers in content.get("failed_runs", ()):
        key = model.UnitKey(entry.job.job_id, occurrence, step, index)
        entry.units_by_key[key].failed_runs.update(numbers)
    for occurrence, step, index, *values in content.get("losses", ()):
        key = model.UnitKey(entry.job.job_id, occurrence, step, index)
        entry.units_by_key[key].add_loss(model.EndpointLoss(*values))
    for occurrence, step, index, moves, moved_run, avoided in content.get(
        "moves", ()
    ):
        key = model.UnitKey(entry.job.job_id, occurrence, step, index)
        unit = entry.units_by_key[key]
        unit.moves = moves
        unit.moved_run = moved_run
        unit.avoided_endpoints.update(avoided)
