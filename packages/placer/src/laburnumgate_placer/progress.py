"""Progress of open jobs: units, their runs, and their serialization."""

import bisect
import collections
from collections.abc import Collection
import dataclasses
import enum
import itertools

import orjson

from laburnumgate_placer import job_paths
from laburnumgate_placer import model

# Number of tasks whose progress is one record. A task takes up to 1 KB, with
# the endpoints that were lost under it; the log accepts records of 256 KB.
TASKS_PER_PART = 200
# Maximum number of avoided endpoints that are recorded of a unit.
MAX_RECORDED_AVOIDED = 16
# Maximum number of tasks of the unfinished occurrences of a job. Occurrences
# that are due open once earlier ones have finished; one can always be open.
MAX_OPEN_TASKS = 20_000


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
      ordered_ms: monotonic time of the latest start order of this term, 0 for
        none.
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
      pace_doubted_until_ms: monotonic time until which another pace may come
        into force, by an order without an answer; 0 if none can.
      machine: machine of the endpoint, empty if unknown.
    """

    task: model.TaskKey
    endpoint_id: str
    born_ms: int
    run: "Run"
    start_sent: bool = False
    ordered_ms: int = 0
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
    pace_doubted_until_ms: int = 0
    machine: str = ""


@dataclasses.dataclass(eq=False, slots=True)
class Run:
    """One attempt to run a unit; all members share its run number.

    If `restored`, an earlier leader started it, and `started_ms` is the time of
    its restoration. If `overdue`, it was assigned before work that is worth
    more, because its unit was overdue. Members are only ever added.
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

    # Number of members, from the first one on, that are known as terminated.
    _terminated: int = 0
    _member_by_index: dict[int, Member] = dataclasses.field(
        default_factory=dict
    )

    def all_terminated(self) -> bool:
        """Whether all members are terminated."""
        members = self.members
        while (
            self._terminated < len(members)
            and members[self._terminated].terminated
        ):
            self._terminated += 1
        return self._terminated == len(members)

    def member_of(self, task: model.TaskKey) -> Member | None:
        """Returns the member that is this task, None if there is none."""
        if len(self._member_by_index) != len(self.members):
            self._member_by_index = {m.task.index: m for m in self.members}
        member = self._member_by_index.get(task.index)
        return member if member is not None and member.task == task else None

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
      last_proof: name of the latest proof that a member of it was over, empty
        if there was none in this term.
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
    last_proof: str = ""

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
class _OpenOccurrence:
    """State of an opened occurrence that has not finished.

    Attributes:
      missing: for each step, how many of the steps before it are not done.
      done: the steps that are done, in ascending order.
    """

    missing: list[int]
    done: list[int] = dataclasses.field(default_factory=list)


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
      waiting_steps: opened steps of which a unit may be waiting, in the order
        in which they are considered; the values are not used.
      declared_core_s: declared work of one occurrence, None until it was asked
        for.
      waves: in how many waves each step has to run, None for one; and the
        state of the pool and the limit that this was computed for.
      waves_failed: whether the waves could not be computed.
      paths: work after each step, as of the last time it was computed.
      _units_by_step: units of the steps that were asked for.
      _graph: dependencies between the steps, None until they are needed.
      _open_by_occurrence: state of the unfinished opened occurrences.
      _ready_steps: steps whose dependencies are done and that are not opened
        yet.
      _window_begin: where the moving half of the next window begins.
      _left_by_step: number of units that are not done, of steps of which some
        are.
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
    waiting_steps: dict[tuple[int, int], None] = dataclasses.field(
        default_factory=dict
    )
    declared_core_s: float | None = None
    waves: tuple[object, tuple[int, ...] | None] = (None, None)
    waves_failed: bool = False
    paths: job_paths.Paths | None = None
    _units_by_step: dict[tuple[int, int], list[Unit]] = dataclasses.field(
        default_factory=dict
    )
    _graph: job_paths.Graph | None = None
    _open_by_occurrence: dict[int, _OpenOccurrence] = dataclasses.field(
        default_factory=dict
    )
    _ready_steps: list[tuple[int, int]] = dataclasses.field(
        default_factory=list
    )
    _window_begin: int = 0
    _left_by_step: dict[tuple[int, int], int] = dataclasses.field(
        default_factory=dict
    )

    def open_due_steps(self, unix_ms: int, now_ms: int) -> bool:
        """Opens steps that are due and whose dependencies are done.

        Returns:
          Whether any step was opened.
        """
        before = len(self.open_steps)
        ready, self._ready_steps = self._ready_steps, []
        self._open_all(ready, now_ms)
        while self.next_occurrence < self.job.occurrences:
            if self.job.due_ms(self.next_occurrence) > unix_ms:
                break
            if not self._has_room():
                break
            self._open_occurrence(self.next_occurrence, now_ms)
            self.next_occurrence += 1
        return len(self.open_steps) > before

    def done_after(self, occurrence: int, number: int) -> list[int]:
        """Returns the completed steps of an occurrence after a given one."""
        opened = self._open_by_occurrence.get(occurrence)
        if opened is None:
            return []
        return opened.done[bisect.bisect_right(opened.done, number) :]

    def _steps_graph(self) -> job_paths.Graph:
        if self._graph is None:
            self._graph = job_paths.Graph(self.job)
        return self._graph

    def _has_room(self) -> bool:
        """Whether another occurrence may be open; see `MAX_OPEN_TASKS`."""
        most = max(1, MAX_OPEN_TASKS // self._steps_graph().tasks)
        return len(self._open_by_occurrence) < most

    def _open_occurrence(self, occurrence: int, now_ms: int) -> None:
        """Opens the steps of an occurrence whose dependencies are done."""
        graph = self._steps_graph()
        opened = _OpenOccurrence(list(graph.counts))
        for number in range(len(self.job.steps)):
            if (occurrence, number) not in self.done_steps:
                continue
            opened.done.append(number)
            for dependent in graph.dependents[number]:
                opened.missing[dependent] -= 1
        if len(opened.done) == len(self.job.steps):
            return
        self._open_by_occurrence[occurrence] = opened
        self._open_all(
            [
                (occurrence, number)
                for number, missing in enumerate(opened.missing)
                if not missing
            ],
            now_ms,
        )

    def _open_all(self, step_keys: list[tuple[int, int]], now_ms: int) -> None:
        """Opens steps; those that begin the longest paths wait in front."""
        step_keys = [
            step_key
            for step_key in step_keys
            if step_key not in self.open_steps
            and step_key not in self.done_steps
        ]
        longest_ms = self._steps_graph().longest_ms
        for step_key in sorted(step_keys, key=lambda k: -longest_ms[k[1]]):
            self.waiting_steps.setdefault(step_key)
        for step_key in step_keys:
            self.open_step(step_key, now_ms)

    def finished(self) -> bool:
        """Whether all steps of all occurrences are done."""
        wanted = self.job.occurrences * len(self.job.steps)
        return len(self.done_steps) == wanted

    def mark_unit_done(self, unit: Unit) -> None:
        """Marks a unit as done, and its step if no other unit is left."""
        step_key = (unit.key.occurrence, unit.key.step)
        left = self._left_by_step.get(step_key)
        if left is None:
            left = sum(
                1
                for other in self.step_units(step_key)
                if other.state != UnitState.DONE
            )
        if unit.state != UnitState.DONE:
            unit.state = UnitState.DONE
            left -= 1
        if left > 0:
            self._left_by_step[step_key] = left
            return
        self._left_by_step.pop(step_key, None)
        self.open_steps.discard(step_key)
        if step_key in self.done_steps:
            return
        self.done_steps.add(step_key)
        self._release_dependents(*step_key)

    def _release_dependents(self, occurrence: int, number: int) -> None:
        """Marks the steps as ready that waited only for a completed one."""
        opened = self._open_by_occurrence.get(occurrence)
        if opened is None:
            return
        bisect.insort(opened.done, number)
        if len(opened.done) == len(self.job.steps):
            del self._open_by_occurrence[occurrence]
            return
        for dependent in self._steps_graph().dependents[number]:
            opened.missing[dependent] -= 1
            if not opened.missing[dependent]:
                self._ready_steps.append((occurrence, dependent))

    def mark_waiting(self, unit: Unit) -> None:
        """Marks a unit as waiting to be placed."""
        unit.state = UnitState.WAITING
        self.waiting_steps.setdefault((unit.key.occurrence, unit.key.step))

    def waiting_window(
        self, most: int, kept: Collection[tuple[int, int]] = ()
    ) -> list[tuple[int, int]]:
        """Returns some of the steps of which a unit may be waiting.

        The first half is the same with each call. The second half moves on
        through the other steps, so that steps without room anywhere do not keep
        those behind them waiting.

        Args:
          most: maximum number of steps.
          kept: steps that are returned in addition, if they wait.
        """
        if len(self.waiting_steps) <= most:
            return list(self.waiting_steps)
        keys = list(self.waiting_steps)
        half = most // 2
        others = len(keys) - half
        begin = self._window_begin % others
        self._window_begin = begin + most - half
        window = keys[:half]
        for position in range(begin, begin + most - half):
            window.append(keys[half + position % others])
        found = set(window)
        for step_key in kept:
            if step_key in self.waiting_steps and step_key not in found:
                window.append(step_key)
        return window

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

    def open_step(self, step_key: tuple[int, int], now_ms: int) -> None:
        """Opens a step and adds those of its units that are missing."""
        step = self.job.steps[step_key[1]]
        self.open_steps.add(step_key)
        self.waiting_steps.setdefault(step_key)
        indexes = [model.GANG_INDEX] if step.gang else range(step.count)
        for index in indexes:
            key = model.UnitKey(
                self.job.job_id, step_key[0], step_key[1], index
            )
            if key not in self.units_by_key:
                self.units_by_key[key] = Unit(key, step, self, ready_ms=now_ms)


def encode(entry: JobEntry) -> dict[int, bytes]:
    """Serializes the progress of a job for recovery by a later leader.

    The parts have to be stored in descending order: a part omits the units of
    done steps, which are listed in the part of the last unit of the step.

    Returns:
      The value of each part that is not empty; part 0 never is. A value has at
      most about 200 KB.
    """
    parts = _Parts(entry.job)
    contents: dict[int, dict] = collections.defaultdict(_empty_content)
    contents[0] = {
        "state": entry.state.value,
        "reason": entry.reason,
        **_empty_content(),
    }
    for step_key in sorted(entry.done_steps):
        contents[parts.of_step(*step_key)]["done"].append(step_key)
    for unit in entry.units_by_key.values():
        step_key = (unit.key.occurrence, unit.key.step)
        if unit.run is None and step_key in entry.done_steps:
            continue
        _encode_unit(unit, parts, contents)
    return {part: orjson.dumps(content) for part, content in contents.items()}


def _empty_content() -> dict:
    return {
        "done": [],
        "units": [],
        # Apart from the units, whose rows earlier releases read as well.
        "losses": [],
        "failed_runs": [],
        "machines": {},
    }


def _encode_unit(
    unit: Unit, parts: "_Parts", contents: dict[int, dict]
) -> None:
    row_key = (unit.key.occurrence, unit.key.step, unit.key.index)
    home = parts.of_task(*row_key)
    if unit.run is not None:
        _encode_run(unit.run, parts, contents)
    elif unit.state != UnitState.WAITING or unit.last_run:
        contents[home]["units"].append(_unit_row(unit, []))
    if unit.state == UnitState.DONE:
        return
    for loss in unit.losses:
        part = parts.of_task(*row_key[:2], loss.task_index)
        contents[part]["losses"].append([*row_key, *dataclasses.astuple(loss)])
    if unit.failed_runs:
        contents[home]["failed_runs"].append(
            [*row_key, sorted(unit.failed_runs)]
        )
    if unit.moves:
        avoided = sorted(unit.avoided_endpoints)[:MAX_RECORDED_AVOIDED]
        contents[home].setdefault("moves", []).append(
            [*row_key, unit.moves, unit.moved_run, avoided]
        )


def _encode_run(run: Run, parts: "_Parts", contents: dict[int, dict]) -> None:
    key = run.unit.key
    home = parts.of_task(key.occurrence, key.step, key.index)
    members_by_part: dict[int, list] = {home: []}
    for member in run.members:
        if member.terminated:
            continue
        task = member.task
        part = parts.of_task(task.occurrence, task.step, task.index)
        members_by_part.setdefault(part, []).append(
            [member.endpoint_id, member.born_ms, task.index]
        )
        if member.machine:
            contents[part]["machines"][member.endpoint_id] = member.machine
    for part, members in members_by_part.items():
        contents[part]["units"].append(_unit_row(run.unit, members))


def _unit_row(unit: Unit, members: list) -> list:
    return [
        unit.key.occurrence,
        unit.key.step,
        unit.key.index,
        int(unit.state),
        unit.last_run,
        unit.failures,
        unit.checkpoint,
        members,
    ]


class _Parts:
    """Divides the tasks of a job into the parts of its progress.

    The tasks are numbered through all steps and occurrences, and a part
    consists of `TASKS_PER_PART` consecutive ones. The members and losses of a
    gang belong to the parts of their tasks, all else of a unit to the part of
    its first task.
    """

    def __init__(self, job: model.Job):
        self._steps = job.steps
        counts = [step.count for step in job.steps]
        self._first_by_step = [0, *itertools.accumulate(counts)]

    def of_task(self, occurrence: int, step: int, index: int) -> int:
        """Returns the part of a task, or of a gang."""
        number = occurrence * self._first_by_step[-1]
        number += self._first_by_step[step] + max(index, 0)
        return number // TASKS_PER_PART

    def of_step(self, occurrence: int, step: int) -> int:
        """Returns the part of the last unit of a step."""
        spec = self._steps[step]
        last = model.GANG_INDEX if spec.gang else spec.count - 1
        return self.of_task(occurrence, step, last)

    def check(self, occurrence: int, step: int) -> None:
        """Raises ValueError if there is no such step."""
        if occurrence < 0 or not 0 <= step < len(self._steps):
            raise ValueError(f"the job has no step {occurrence}.{step}")


def restore(
    entry: JobEntry,
    value_by_part: dict[int, bytes],
    unix_ms: int,
    now_ms: int,
) -> None:
    """Restores the progress that an earlier leader recorded.

    Parts may be missing or older than others if the earlier leader was replaced
    while it stored them. Nothing that only some of them show had been started.

    Args:
      entry: a job without progress.
      value_by_part: values returned by `encode`; or the single value, as part
        0, that earlier releases recorded for jobs of any size.
      unix_ms: Unix time.
      now_ms: monotonic time.

    Raises:
      ValueError, KeyError, TypeError: A part is malformed.
    """
    parts = _Parts(entry.job)
    contents = {
        part: orjson.loads(value)
        for part, value in sorted(value_by_part.items())
    }
    if 0 in contents:
        entry.state = model.JobState(contents[0]["state"])
        entry.reason = contents[0]["reason"]
    for content in contents.values():
        for occurrence, step in content["done"]:
            parts.check(occurrence, step)
            entry.done_steps.add((occurrence, step))
    for part, content in contents.items():
        for row in content["units"]:
            parts.check(*row[:2])
            if _in_force(contents, part, parts.of_task(*row[:3])):
                _restore_unit(entry, row, now_ms)
    for part, content in contents.items():
        machine_by_endpoint = dict(content.get("machines", {}))
        for row in content["units"]:
            # Other parts list the members of a gang that belong to them.
            if part or _in_force(contents, part, parts.of_task(*row[:3])):
                _restore_members(entry, row, machine_by_endpoint, now_ms)
    for unit in entry.units_by_key.values():
        # Its members were recorded by a later run, which was not started.
        if unit.state == UnitState.ACTIVE and unit.run is None:
            entry.mark_waiting(unit)
    entry.open_due_steps(unix_ms, now_ms)
    for part, content in contents.items():
        _restore_history(entry, parts, contents, part, content)


def _in_force(contents: dict[int, dict], part: int, home: int) -> bool:
    """Whether `part` is decisive for what belongs to the part `home`.

    A record of an earlier release, as part 0, contains the units of all parts.
    The parts that were recorded since then replace them.
    """
    return part == home or (part == 0 and home not in contents)


def _restore_unit(entry: JobEntry, row: list, now_ms: int) -> None:
    occurrence, step, index, state, last_run, failures, saved, _ = row
    step_key = (occurrence, step)
    spec = entry.job.steps[step]
    done = step_key in entry.done_steps
    if not done and any(
        (occurrence, n) not in entry.done_steps for n in spec.after
    ):
        # The end of the steps before it was not stored, so it has not started.
        return
    key = model.UnitKey(entry.job.job_id, occurrence, step, index)
    if done:
        entry.units_by_key.setdefault(
            key, Unit(key, spec, entry, ready_ms=now_ms)
        )
    elif key not in entry.units_by_key:
        entry.open_step(step_key, now_ms)
    unit = entry.units_by_key[key]
    unit.state = UnitState.DONE if done else UnitState(state)
    unit.last_run = last_run
    unit.failures = failures
    unit.checkpoint = saved


def _restore_members(
    entry: JobEntry,
    row: list,
    machine_by_endpoint: dict[str, str],
    now_ms: int,
) -> None:
    """Restores the members of a run that a row of any part lists."""
    occurrence, step, index, _, last_run, _, _, members = row
    unit = entry.units_by_key.get(
        model.UnitKey(entry.job.job_id, occurrence, step, index)
    )
    # All members of a run were gone before a later run was recorded.
    if unit is None or not members or last_run != unit.last_run:
        return
    run = unit.run
    if run is None:
        run = Run(unit, last_run, [], phase=Phase.RUNNING, assigned_ms=now_ms)
        run.started_ms = now_ms
        run.restored = True
        unit.run = run
    known = {member.task.index for member in run.members}
    for endpoint_id, born_ms, task_index in members:
        if task_index in known:
            continue
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
    if unit.state == UnitState.WAITING:
        unit.state = UnitState.ACTIVE


def _restore_history(
    entry: JobEntry,
    parts: _Parts,
    contents: dict[int, dict],
    part: int,
    content: dict,
) -> None:
    """Restores the failed runs, losses and moves of units that are open."""

    def open_unit(
        occurrence: int, step: int, index: int, task_index: int
    ) -> Unit | None:
        parts.check(occurrence, step)
        home = parts.of_task(occurrence, step, task_index)
        if not _in_force(contents, part, home):
            return None
        key = model.UnitKey(entry.job.job_id, occurrence, step, index)
        unit = entry.units_by_key.get(key)
        if unit is None or unit.state == UnitState.DONE:
            return None
        return unit

    for occurrence, step, index, numbers in content.get("failed_runs", ()):
        unit = open_unit(occurrence, step, index, index)
        if unit is not None:
            unit.failed_runs.update(numbers)
    for occurrence, step, index, *values in content.get("losses", ()):
        loss = model.EndpointLoss(*values)
        unit = open_unit(occurrence, step, index, loss.task_index)
        if unit is not None:
            unit.add_loss(loss)
    for occurrence, step, index, moves, moved_run, avoided in content.get(
        "moves", ()
    ):
        unit = open_unit(occurrence, step, index, index)
        if unit is not None:
            unit.moves = moves
            unit.moved_run = moved_run
            unit.avoided_endpoints.update(avoided)
