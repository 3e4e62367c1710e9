"""Finds tasks that crash the endpoints that start them.

A crash is the end of an endpoint's incarnation that was not planned. It counts
against each task that may have run there and was started a short time before.
One crash says little: it may have any cause, and other tasks ran beside the
task. A task is given up after `MAX_CRASHES` crashes, or `MAX_LONE_CRASHES` of
endpoints that were lost alone, unless a task of another job was present in all
of them; after `MAX_SHARED_CRASHES` in any case. Until then it is placed apart
from other suspected tasks (see `placement`), which tells the cause from those
beside it. Crashes that are explained by a task that was given up no longer
count against others.
"""

import collections
from collections.abc import Iterable
import dataclasses

from laburnumgate_placer import endpoint_table
from laburnumgate_placer import model
from laburnumgate_placer import progress

# Crashes after which a task is given up if no other job explains them.
MAX_CRASHES = 3
# Crashes after which a task is given up, even if others were present or explain
# them.
MAX_SHARED_CRASHES = 4
# The same, without proof that the task had been started there.
MAX_UNCONFIRMED_CRASHES = 5
# Crashes of endpoints that were lost alone after which a task is given up.
MAX_LONE_CRASHES = 2
# Crashes before which the task had confirmed its start, without which it is not
# given up before `MAX_UNCONFIRMED_CRASHES`.
MIN_CONFIRMED_CRASHES = 2
# That many endpoints that are lost within this time of each other are taken to
# have one cause, such as the loss of a rack's power.
COMMON_CAUSE_ENDPOINTS = 3
COMMON_CAUSE_MS = 1_500
# How long a task with `MAX_CRASHES` losses waits until it is known whether they
# were crashes. An endpoint that crashed is back within some seconds.
SETTLE_TIMEOUT_MS = 8_000
# A crash later than this after the start of a task does not count against it.
MAX_TIME_TO_CRASH_MS = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class CrashingTask:
    """A task that is given up because endpoints crash under it.

    Attributes:
      unit: its unit.
      task_index: index of the task.
      crashes: number of endpoint incarnations that crashed under it.
    """

    unit: progress.Unit
    task_index: int
    crashes: int


@dataclasses.dataclass(eq=False, slots=True)
class _Outage:
    """A loss of an endpoint.

    Attributes:
      incarnation: id and start of the endpoint.
      at_ms: monotonic time at which it stopped answering.
      common: whether others were lost at the same time.
      units: units whose losses count as those of a lone endpoint.
    """

    incarnation: tuple[str, int]
    at_ms: int
    common: bool = False
    units: list[progress.Unit] = dataclasses.field(default_factory=list)


class CrashTable:
    """Losses of endpoints in one term, and the tasks suspected of them.

    Attributes:
      suspects: units with losses that may decide.
      changed_job_ids: jobs whose losses changed and are not recorded yet.
    """

    def __init__(self):
        self.suspects: set[progress.Unit] = set()
        self.changed_job_ids: set[str] = set()
        self._outage_by_incarnation: dict[tuple[str, int], _Outage] = {}

    def record(
        self,
        endpoints: endpoint_table.EndpointTable,
        state: endpoint_table.EndpointState,
        members: list[progress.Member],
        crashed: bool,
        now_ms: int,
    ) -> None:
        """Records the loss of an endpoint under its members.

        Args:
          endpoints: all endpoints.
          state: the lost endpoint.
          members: its members, before they are released.
          crashed: whether its incarnation is known to have ended; if not, it
            may be cut off and still be running.
          now_ms: monotonic time.
        """
        if _is_planned(endpoints, state):
            return
        at_ms = now_ms if state.answering else state.unreachable_ms or now_ms
        outage = self._outage(endpoints, state, at_ms, now_ms)
        for member in members:
            loss = model.EndpointLoss(
                task_index=member.task.index,
                endpoint_id=member.endpoint_id,
                born_ms=member.born_ms,
                machine=state.info.machine or member.machine,
                crashed=crashed,
                lone=member.confirmed and not outage.common,
                confirmed=member.confirmed,
            )
            if self._add(member, loss, at_ms, now_ms) and loss.lone:
                outage.units.append(member.run.unit)

    def record_restored(
        self, member: progress.Member, machine: str, now_ms: int
    ) -> None:
        """Records that a recorded member's endpoint ended before this term.

        It is not known whether the member was started, nor what else was lost.
        """
        loss = model.EndpointLoss(
            task_index=member.task.index,
            endpoint_id=member.endpoint_id,
            born_ms=member.born_ms,
            machine=machine,
            crashed=True,
        )
        self._add(member, loss, now_ms, now_ms)

    def restore(self, units: Iterable[progress.Unit]) -> None:
        """Adds the suspected ones of units that an earlier leader recorded."""
        for unit in units:
            if unit.losses:
                self.suspects.add(unit)

    def drop_open(self, endpoint_id: str) -> None:
        """Drops open losses of an endpoint that is to end by plan."""
        for unit in self.suspects:
            for loss in list(unit.losses):
                if loss.endpoint_id == endpoint_id and not loss.crashed:
                    unit.replace_loss(loss, None)
                    self.changed_job_ids.add(unit.key.job_id)

    def find_crashing(
        self, endpoints: endpoint_table.EndpointTable, now_ms: int
    ) -> list[CrashingTask]:
        """Settles open losses; returns the tasks that have to be given up."""
        for unit in list(self.suspects):
            if unit.entry.state.final:
                if unit.entry.state != model.JobState.COMPLETED:
                    self._mark_not_lone(unit)
                self.suspects.discard(unit)
            elif unit.state == progress.UnitState.DONE or not unit.losses:
                self.suspects.discard(unit)
        if not self.suspects:
            return []
        self._settle(endpoints)
        found = []
        for unit in list(self.suspects):
            crashing = self._decide(unit, now_ms)
            if crashing is None:
                continue
            found.append(crashing)
            self._clear_others(crashing)
            self.suspects.discard(unit)
        return found

    def _add(
        self,
        member: progress.Member,
        loss: model.EndpointLoss,
        at_ms: int,
        now_ms: int,
    ) -> bool:
        """Adds a loss to the member's unit, unless it says nothing."""
        unit = member.run.unit
        if not member.start_sent or unit.state == progress.UnitState.DONE:
            return False
        if member.run.restored:
            # Its start is not known, only that it came after its job.
            if at_ms - unit.entry.arrived_ms > MAX_TIME_TO_CRASH_MS:
                return False
        elif at_ms - member.run.started_ms > MAX_TIME_TO_CRASH_MS:
            # A task that runs for that long does not crash its endpoints.
            unit.losses.clear()
            return False
        unit.add_loss(loss)
        self.suspects.add(unit)
        if _count_lone(unit, loss.task_index) >= MAX_LONE_CRASHES:
            # Other endpoints may turn out to have been lost with it.
            unit.backoff_until_ms = now_ms + COMMON_CAUSE_MS
        if _is_unsettled(unit, loss.task_index):
            unit.backoff_until_ms = now_ms + SETTLE_TIMEOUT_MS
        return True

    def _outage(
        self,
        endpoints: endpoint_table.EndpointTable,
        state: endpoint_table.EndpointState,
        at_ms: int,
        now_ms: int,
    ) -> _Outage:
        """Returns the outage of an endpoint, marked if it was not alone."""
        incarnation = (state.info.endpoint_id, state.info.born_ms)
        known = self._outage_by_incarnation.get(incarnation)
        if known is not None:
            return known
        outage = _Outage(incarnation, at_ms)
        for other_id, other in list(self._outage_by_incarnation.items()):
            if now_ms - other.at_ms > MAX_TIME_TO_CRASH_MS:
                del self._outage_by_incarnation[other_id]
        self._outage_by_incarnation[incarnation] = outage
        together = [
            other
            for other in self._outage_by_incarnation.values()
            if abs(other.at_ms - at_ms) <= COMMON_CAUSE_MS
        ]
        silent = self._count_silent(endpoints, at_ms)
        if len(together) + silent < COMMON_CAUSE_ENDPOINTS:
            return outage
        for other in together:
            other.common = True
            for unit in other.units:
                self._change(unit, other.incarnation, lone=False)
            other.units.clear()
        return outage

    def _count_silent(
        self, endpoints: endpoint_table.EndpointTable, at_ms: int
    ) -> int:
        """Counts endpoints that fell silent at a time and may be lost."""
        count = 0
        for state in endpoints.by_id.values():
            incarnation = (state.info.endpoint_id, state.info.born_ms)
            if state.answering or incarnation in self._outage_by_incarnation:
                continue
            count += abs(state.unreachable_ms - at_ms) <= COMMON_CAUSE_MS
        return count

    def _change(
        self, unit: progress.Unit, incarnation: tuple[str, int], **changes: bool
    ) -> None:
        """Changes what is known of the losses of a unit in an incarnation."""
        for loss in list(unit.losses):
            if loss.incarnation == incarnation:
                unit.replace_loss(loss, dataclasses.replace(loss, **changes))
                self.changed_job_ids.add(unit.key.job_id)

    def _mark_not_lone(self, ended: progress.Unit) -> None:
        """Notes that a unit whose job was ended may have caused its crashes."""
        if not ended.suspected:
            return
        for loss in ended.losses:
            for unit in self.suspects:
                if unit is not ended:
                    self._change(unit, loss.incarnation, lone=False)

    def _settle(self, endpoints: endpoint_table.EndpointTable) -> None:
        """Finds out what became of endpoints whose leases had run out."""
        born_by_machine: dict[str, int] | None = None
        for unit in self.suspects:
            for loss in list(unit.losses):
                if loss.crashed:
                    continue
                if born_by_machine is None:
                    born_by_machine = _newest_by_machine(endpoints)
                state = endpoints.by_id.get(loss.endpoint_id)
                newest_ms = born_by_machine.get(loss.machine, 0)
                if state is not None:
                    newest_ms = max(newest_ms, state.info.born_ms)
                if state is not None and _did_not_crash(endpoints, state, loss):
                    unit.replace_loss(loss, None)
                elif newest_ms > loss.born_ms:
                    unit.replace_loss(
                        loss, dataclasses.replace(loss, crashed=True)
                    )
                else:
                    continue
                self.changed_job_ids.add(unit.key.job_id)
                if not _is_unsettled(unit, loss.task_index):
                    unit.backoff_until_ms = 0

    def _decide(self, unit: progress.Unit, now_ms: int) -> CrashingTask | None:
        crashes_by_task: collections.Counter[int] = collections.Counter()
        explained_by_task: collections.Counter[int] = collections.Counter()
        confirmed_by_task: collections.Counter[int] = collections.Counter()
        if len(unit.losses) < MAX_LONE_CRASHES:
            return None
        for loss in unit.losses:
            if not loss.crashed:
                continue
            crashes_by_task[loss.task_index] += 1
            explained_by_task[loss.task_index] += loss.explained
            confirmed_by_task[loss.task_index] += loss.confirmed
        for task_index, crashes in crashes_by_task.items():
            crashing = CrashingTask(unit, task_index, crashes)
            if crashes >= MAX_UNCONFIRMED_CRASHES:
                return crashing
            if confirmed_by_task[task_index] < MIN_CONFIRMED_CRASHES:
                continue
            if crashes >= MAX_SHARED_CRASHES:
                return crashing
            lone = _count_lone(unit, task_index)
            enough = crashes - explained_by_task[task_index] >= MAX_CRASHES or (
                lone >= MAX_LONE_CRASHES and now_ms >= unit.backoff_until_ms
            )
            if enough and not self._is_shared(unit, task_index):
                return crashing
        return None

    def _is_shared(self, unit: progress.Unit, task_index: int) -> bool:
        """Whether another job was present in all crashes under a task."""
        incarnations = _crashed_incarnations(unit, task_index)
        for other in self.suspects:
            if other.key.job_id == unit.key.job_id:
                continue
            if incarnations <= {loss.incarnation for loss in other.losses}:
                return True
        return False

    def _clear_others(self, found: CrashingTask) -> None:
        """Clears other jobs of crashes that a task was found to cause."""
        explained = _crashed_incarnations(found.unit, found.task_index)
        for other in self.suspects:
            if other.key.job_id == found.unit.key.job_id:
                continue
            for incarnation in explained:
                self._change(other, incarnation, explained=True)


def _is_planned(
    endpoints: endpoint_table.EndpointTable,
    state: endpoint_table.EndpointState,
) -> bool:
    """Whether an endpoint is about to end by plan."""
    info = state.info
    return info.draining or info.machine in endpoints.emptying_machines


def _newest_by_machine(
    endpoints: endpoint_table.EndpointTable,
) -> dict[str, int]:
    """Returns the start of the newest endpoint of each known machine."""
    born_by_machine: dict[str, int] = {}
    for state in endpoints.by_id.values():
        machine = state.info.machine
        if machine:
            born_by_machine[machine] = max(
                born_by_machine.get(machine, 0), state.info.born_ms
            )
    return born_by_machine


def _did_not_crash(
    endpoints: endpoint_table.EndpointTable,
    state: endpoint_table.EndpointState,
    loss: model.EndpointLoss,
) -> bool:
    """Whether the lost incarnation answers again or is to end by plan."""
    if state.info.born_ms != loss.born_ms or state.ended:
        return False
    return _is_planned(endpoints, state) or (
        state.contacted and state.answering
    )


def _is_unsettled(unit: progress.Unit, task_index: int) -> bool:
    """Whether losses that may be crashes decide if a task is given up."""
    losses = [loss for loss in unit.losses if loss.task_index == task_index]
    if all(loss.crashed for loss in losses):
        return False
    return len(losses) >= MAX_CRASHES


def _crashed_incarnations(
    unit: progress.Unit, task_index: int
) -> set[tuple[str, int]]:
    return {
        loss.incarnation
        for loss in unit.losses
        if loss.crashed and not loss.explained and loss.task_index == task_index
    }


def _count_lone(unit: progress.Unit, task_index: int) -> int:
    """Counts the machines that crashed alone under a task."""
    return len(
        {
            loss.machine or loss.endpoint_id
            for loss in unit.losses
            if loss.crashed
            and loss.lone
            and not loss.explained
            and loss.task_index == task_index
        }
    )
