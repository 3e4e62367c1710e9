"""Finds tasks that crash the endpoints that start them.

A crash is the end of an endpoint's incarnation that was not planned. It counts
against each task that may have run there and was started a short time before.
One crash says little: it may have any cause, and other tasks ran beside the
task. A task is given up after `MAX_CRASHES` crashes, or `MAX_LONE_CRASHES` of
endpoints that were lost alone, unless a task of another job was present in all
of them; after `MAX_ALL_CRASHES` in any case. Until then it is placed apart from
other suspected tasks (see `placement`), which tells the cause from those beside
it. Crashes that are explained by a task that was given up no longer count
against others.
"""

import collections
from collections.abc import Iterable
import dataclasses

from laburnumgate_placer import endpoint_table
from laburnumgate_placer import model
from laburnumgate_placer import progress

# Crashes after which a task is given up if no other job explains them.
MAX_CRASHES = 3
# Crashes after which a task is given up, whatever else is known of them.
MAX_ALL_CRASHES = 4
# Crashes of endpoints that were lost alone after which a task is given up.
MAX_LONE_CRASHES = 2
# Endpoints that are lost within this time of each other are taken to have one
# cause, such as the loss of a rack's power.
COMMON_CAUSE_MS = 1_500
# How long a task with that many losses waits until it is known whether they
# were crashes. An endpoint that crashed is back within some seconds.
SETTLE_TIMEOUT_MS = 8_000
# A crash later than this after the start of a task does not count against it.
MAX_TIME_TO_CRASH_MS = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class Conviction:
    """A task that is given up because endpoints crash under it.

    Attributes:
      unit: its unit.
      task_index: index of the task.
      crashes: number of endpoint incarnations that crashed under it.
      cleared_job_ids: jobs against which these crashes no longer count.
    """

    unit: progress.Unit
    task_index: int
    crashes: int
    cleared_job_ids: frozenset[str] = frozenset()


@dataclasses.dataclass(eq=False, slots=True)
class _Outage:
    """A loss of an endpoint, and the units that ran there.

    Attributes:
      incarnation: id and start of the endpoint.
      at_ms: monotonic time at which it stopped answering.
      job_ids: jobs with a task there.
      units: units with a task there that the loss counts against.
    """

    incarnation: tuple[str, int]
    at_ms: int
    job_ids: set[str] = dataclasses.field(default_factory=set)
    units: list[progress.Unit] = dataclasses.field(default_factory=list)


class CrashTable:
    """Losses of endpoints in one term, and the tasks suspected of them."""

    def __init__(self):
        self.suspects: set[progress.Unit] = set()
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
        info = state.info
        if info.draining or info.machine in endpoints.emptying_machines:
            return
        at_ms = now_ms if state.answering else state.unreachable_ms or now_ms
        born_ms = members[0].born_ms if members else info.born_ms
        outage = self._open_outage((info.endpoint_id, born_ms), at_ms, now_ms)
        outage.job_ids.update(member.task.job_id for member in members)
        alone = not self._has_common_cause(endpoints, outage)
        for member in members:
            unit = member.run.unit
            started_ms = member.run.started_ms
            if not member.start_sent or unit.state == progress.UnitState.DONE:
                continue
            if at_ms - started_ms > MAX_TIME_TO_CRASH_MS:
                continue
            loss = model.EndpointLoss(
                task_index=member.task.index,
                endpoint_id=member.endpoint_id,
                born_ms=member.born_ms,
                machine=info.machine,
                crashed=crashed,
                lone=alone and member.confirmed,
            )
            unit.add_loss(loss)
            outage.units.append(unit)
            self.suspects.add(unit)
            if _lone_crashes(unit, loss.task_index) >= MAX_LONE_CRASHES:
                # Other endpoints may turn out to have been lost with it.
                unit.backoff_until_ms = now_ms + COMMON_CAUSE_MS
            if _is_unsettled(unit, loss.task_index):
                unit.backoff_until_ms = now_ms + SETTLE_TIMEOUT_MS

    def restore(self, units: Iterable[progress.Unit]) -> None:
        """Adds the suspected ones of units that an earlier leader recorded."""
        for unit in units:
            if unit.suspected:
                self.suspects.add(unit)

    def convict(
        self, endpoints: endpoint_table.EndpointTable, now_ms: int
    ) -> list[Conviction]:
        """Settles open losses; returns the tasks that have to be given up."""
        for unit in list(self.suspects):
            if unit.entry.state.final or not unit.suspected:
                self.suspects.discard(unit)
        if not self.suspects:
            return []
        self._settle(endpoints)
        found = []
        for unit in list(self.suspects):
            conviction = self._judge(unit, now_ms)
            if conviction is None:
                continue
            cleared = self._clear_others(conviction)
            found.append(
                dataclasses.replace(conviction, cleared_job_ids=cleared)
            )
        return found

    def _open_outage(
        self, incarnation: tuple[str, int], at_ms: int, now_ms: int
    ) -> _Outage:
        """Returns the outage of an incarnation; forgets old ones."""
        for known, outage in list(self._outage_by_incarnation.items()):
            if now_ms - outage.at_ms > MAX_TIME_TO_CRASH_MS:
                del self._outage_by_incarnation[known]
        outage = self._outage_by_incarnation.get(incarnation)
        if outage is None:
            outage = _Outage(incarnation, at_ms)
            self._outage_by_incarnation[incarnation] = outage
        return outage

    def _has_common_cause(
        self, endpoints: endpoint_table.EndpointTable, outage: _Outage
    ) -> bool:
        """Whether endpoints without a common job were lost at the same time.

        The losses of these no longer count as those of a lone endpoint either.
        """
        common = False
        for other in self._outage_by_incarnation.values():
            if other is outage or other.job_ids & outage.job_ids:
                continue
            if abs(other.at_ms - outage.at_ms) > COMMON_CAUSE_MS:
                continue
            common = True
            for unit in other.units:
                unit.mark_not_lone(other.incarnation)
        for state in endpoints.by_id.values():
            incarnation = (state.info.endpoint_id, state.info.born_ms)
            if state.answering or incarnation in self._outage_by_incarnation:
                continue
            if abs(state.unreachable_ms - outage.at_ms) > COMMON_CAUSE_MS:
                continue
            jobs = {member.task.job_id for member in state.members.values()}
            if not jobs & outage.job_ids:
                common = True
        return common

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
                if newest_ms > loss.born_ms:
                    unit.replace_loss(
                        loss, dataclasses.replace(loss, crashed=True)
                    )
                elif state is not None and _lives(state, loss):
                    unit.replace_loss(loss, None)
                else:
                    continue
                if not _is_unsettled(unit, loss.task_index):
                    unit.backoff_until_ms = 0

    def _judge(self, unit: progress.Unit, now_ms: int) -> Conviction | None:
        crashes_by_task: collections.Counter[int] = collections.Counter()
        explained_by_task: collections.Counter[int] = collections.Counter()
        for loss in unit.losses:
            if not loss.crashed:
                continue
            crashes_by_task[loss.task_index] += 1
            explained_by_task[loss.task_index] += loss.explained
        for task_index, crashes in crashes_by_task.items():
            conviction = Conviction(unit, task_index, crashes)
            if crashes >= MAX_ALL_CRASHES:
                return conviction
            lone = _lone_crashes(unit, task_index)
            enough = crashes - explained_by_task[task_index] >= MAX_CRASHES or (
                lone >= MAX_LONE_CRASHES and now_ms >= unit.backoff_until_ms
            )
            if enough and not self._is_shared(unit, task_index):
                return conviction
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

    def _clear_others(self, conviction: Conviction) -> frozenset[str]:
        """Clears other jobs of crashes that the conviction explains."""
        cleared = set()
        explained = _crashed_incarnations(
            conviction.unit, conviction.task_index
        )
        for other in self.suspects:
            if other.key.job_id == conviction.unit.key.job_id:
                continue
            for loss in list(other.losses):
                if loss.incarnation in explained:
                    other.replace_loss(
                        loss, dataclasses.replace(loss, explained=True)
                    )
                    cleared.add(other.key.job_id)
        return frozenset(cleared)


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


def _lives(
    state: endpoint_table.EndpointState, loss: model.EndpointLoss
) -> bool:
    """Whether the endpoint answers in the incarnation that was lost."""
    return (
        state.info.born_ms == loss.born_ms
        and state.contacted
        and state.answering
        and not state.ended
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


def _lone_crashes(unit: progress.Unit, task_index: int) -> int:
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
