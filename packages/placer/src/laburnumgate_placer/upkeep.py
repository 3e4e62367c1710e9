"""Plans waves of upkeep: order of machines and completion of waves."""

import dataclasses
import enum

from laburnumgate_placer import model
from laburnumgate_placer import progress
from laburnumgate_placer import tables as tables_module

# Fraction of the duration of a wave that is planned; the rest is reserved for
# delays.
USABLE_FRACTION = 0.8
# Fraction of its batch's time after which a machine goes down even if it is not
# empty, unless long-running tasks are left on it. Resumable and long-running
# runs are stopped after half of that.
EMPTYING_FRACTION = 0.4


class MachineState(enum.Enum):
    """Upkeep state of a machine in a wave."""

    WAITING = "waiting"
    EMPTYING = "emptying"
    ORDERED = "ordered"
    DONE = "done"


@dataclasses.dataclass(frozen=True, slots=True)
class OrderUpkeep:
    """Orders the upkeep of a machine."""

    wave: int
    machine: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopRun:
    """Stops a run to empty its machine."""

    run: progress.Run


@dataclasses.dataclass(frozen=True, slots=True)
class PublishState:
    """Publishes the state of a wave."""

    wave: int
    completed: bool


Action = OrderUpkeep | StopRun | PublishState


@dataclasses.dataclass(eq=False, slots=True)
class _WaveProgress:
    wave: model.Wave
    began_ms: int
    state_by_machine: dict[str, MachineState]
    since_by_machine: dict[str, int]
    published: bool | None = None


class UpkeepTable:
    """Waves in progress during one term of a leader.

    Upkeep is recorded before it is ordered. For a new leader, what was ordered
    and is not recorded as done is under way, and is ordered again. An upkeep
    that was completed is then confirmed without a second one.
    """

    def __init__(
        self,
        tables: tables_module.Tables,
        recorded: dict[str, list[str]] | None = None,
    ):
        """Initialises the table.

        Args:
          tables: the leader's tables.
          recorded: what `dump` of earlier leaders returned.
        """
        self._tables = tables
        self._recorded = recorded or {}
        self._progress_by_wave: dict[int, _WaveProgress] = {}

    def plan(self, waves: dict[int, model.Wave]) -> list[Action]:
        """Returns the actions to carry out now."""
        now_ms = self._tables.monotonic.now_ms()
        actions: list[Action] = []
        for wave in waves.values():
            wave_progress = self._progress_by_wave.get(wave.number)
            if wave_progress is None:
                wave_progress = _WaveProgress(
                    wave,
                    now_ms,
                    dict.fromkeys(wave.machines, MachineState.WAITING),
                    {},
                )
                for key, state in _recorded_states(wave.number):
                    for machine in self._recorded.get(key, ()):
                        wave_progress.state_by_machine[machine] = state
                self._progress_by_wave[wave.number] = wave_progress
            actions.extend(self._plan_wave(wave_progress, now_ms))
        return actions

    def dump(self) -> dict[str, list[str]]:
        """Returns the machines whose upkeep was ordered or is done.

        The key of those that are done is the number of the wave, as in earlier
        releases, which ignore other keys.
        """
        return {
            key: [
                machine
                for machine, state in wave_progress.state_by_machine.items()
                if state == wanted
            ]
            for number, wave_progress in self._progress_by_wave.items()
            for key, wanted in _recorded_states(number)
        }

    def emptying_machines(self) -> set[str]:
        """Returns the machines that must not be given new work."""
        return {
            machine
            for wave_progress in self._progress_by_wave.values()
            for machine, state in wave_progress.state_by_machine.items()
            if state in (MachineState.EMPTYING, MachineState.ORDERED)
        }

    def mark_published(self, wave: int, completed: bool) -> None:
        """Records that the state of a wave was published."""
        self._progress_by_wave[wave].published = completed

    def mark_ordered(self, wave: int, machine: str) -> None:
        """Records that a machine is, or may be, down for its upkeep."""
        self._set_state(wave, machine, MachineState.ORDERED)

    def mark_done(self, wave: int, machine: str) -> None:
        """Records that a machine had its upkeep or no longer exists."""
        self._set_state(wave, machine, MachineState.DONE)

    def ordered_machines(self) -> list[tuple[int, str]]:
        """Returns wave and machine for machines that may be down."""
        return [
            (number, machine)
            for number, wave_progress in self._progress_by_wave.items()
            for machine, state in wave_progress.state_by_machine.items()
            if state == MachineState.ORDERED
        ]

    def _set_state(self, wave: int, machine: str, state: MachineState) -> None:
        self._progress_by_wave[wave].state_by_machine[machine] = state

    def _plan_wave(
        self, wave_progress: _WaveProgress, now_ms: int
    ) -> list[Action]:
        states = wave_progress.state_by_machine
        completed = all(s == MachineState.DONE for s in states.values())
        if completed:
            return (
                [PublishState(wave_progress.wave.number, True)]
                if not wave_progress.published
                else []
            )
        actions: list[Action] = []
        if wave_progress.published is None:
            actions.append(PublishState(wave_progress.wave.number, False))
        busy = [
            machine
            for machine, state in states.items()
            if state in (MachineState.EMPTYING, MachineState.ORDERED)
        ]
        waiting = [m for m, s in states.items() if s == MachineState.WAITING]
        waiting.sort(key=lambda m: (self._count_runs(m), m))
        for machine in waiting[
            : max(0, wave_progress.wave.max_unavailable - len(busy))
        ]:
            states[machine] = MachineState.EMPTYING
            wave_progress.since_by_machine[machine] = now_ms
        batch_ms = self._batch_ms(wave_progress)
        for machine, state in states.items():
            if state != MachineState.EMPTYING:
                continue
            waited_ms = now_ms - wave_progress.since_by_machine[machine]
            if self._may_go_down(machine, waited_ms, batch_ms):
                actions.append(OrderUpkeep(wave_progress.wave.number, machine))
            elif waited_ms >= EMPTYING_FRACTION * batch_ms / 2:
                actions.extend(self._stoppable_runs(machine))
        return actions

    def _batch_ms(self, wave_progress: _WaveProgress) -> float:
        wave = wave_progress.wave
        batches = -(-len(wave.machines) // max(1, wave.max_unavailable))
        return USABLE_FRACTION * wave.duration_ms / max(1, batches)

    def _may_go_down(
        self, machine: str, waited_ms: int, batch_ms: float
    ) -> bool:
        members = self._members_on(machine)
        if not members:
            return True
        if any(member.run.unit.step.long_running for member in members):
            return False
        return waited_ms >= EMPTYING_FRACTION * batch_ms

    def _stoppable_runs(self, machine: str) -> list[StopRun]:
        """Returns stops of runs that resume and of long-running ones."""
        stops = []
        for member in self._members_on(machine):
            run = member.run
            step = run.unit.step
            if run.phase != progress.Phase.RUNNING:
                continue
            if step.long_running and not may_interrupt(run.unit):
                continue
            if step.long_running or step.checkpointing:
                stops.append(StopRun(run))
        return stops

    def _members_on(self, machine: str) -> list[progress.Member]:
        """Returns the members on a machine, in whichever of its lives."""
        return [
            member
            for state in self._tables.endpoints.by_id.values()
            if state.info.machine == machine and not state.ended
            for member in state.members.values()
        ]

    def _count_runs(self, machine: str) -> int:
        return len(self._members_on(machine))


def _recorded_states(number: int) -> list[tuple[str, MachineState]]:
    """Returns the keys of a wave in records, and what they list."""
    return [
        (str(number), MachineState.DONE),
        (f"{number}/ordered", MachineState.ORDERED),
    ]


def may_interrupt(unit: progress.Unit) -> bool:
    """Whether a long-running unit may be stopped within `may_miss`."""
    step_key = (unit.key.occurrence, unit.key.step)
    absent = 0
    for other in unit.entry.step_units(step_key):
        run = other.run
        serving = (
            run is not None
            and run.phase == progress.Phase.RUNNING
            and run.percent() >= 100
        )
        absent += not serving
    return absent < unit.step.may_miss
