"""Carries out waves of machine upkeep."""

import asyncio
from collections.abc import Callable
import logging

from laburnumgate_placer import events
from laburnumgate_placer import lifecycle
from laburnumgate_placer import model
from laburnumgate_placer import ports
from laburnumgate_placer import recorder as recorder_module
from laburnumgate_placer import services as services_module
from laburnumgate_placer import tables as tables_module
from laburnumgate_placer import upkeep

_LOGGER = logging.getLogger(__name__)

PASS_INTERVAL_MS = 250
CALL_TIMEOUT_MS = 1_500


class Maintainer:
    """Orders the upkeep of machines in the order that waves permit."""

    def __init__(
        self,
        services: services_module.Services,
        tables: tables_module.Tables,
        recorder: recorder_module.Recorder,
        may_order: Callable[[], bool],
        on_fenced: Callable[[str], None],
        recorded: dict[str, list[str]],
    ):
        """Initialises the upkeep for one term of a leader.

        Args:
          services: the external services; `machines` must be set.
          tables: the leader's tables.
          recorder: records progress and publishes the state of waves.
          may_order: returns whether leadership was confirmed recently enough
            to order upkeep.
          on_fenced: callback for an order that is refused because a higher
            fencing token was used.
          recorded: upkeep that earlier leaders recorded.
        """
        self._services = services
        self._tables = tables
        self._recorder = recorder
        self._may_order = may_order
        self._on_fenced = on_fenced
        self._waves = upkeep.UpkeepTable(tables, recorded)
        self._confirmed: set[tuple[int, str]] = set()
        self._saved: dict[str, list[str]] = {}
        # Upkeep that this leader ordered. What a predecessor ordered is not
        # ordered again while that leader may still do so.
        self._ordered: set[tuple[int, str]] = set()
        self._repeat_from_ms = (
            tables.monotonic.now_ms() + tables.bounds.lease_ms
        )

    async def run(self) -> None:
        """Processes all waves until cancelled."""
        while True:
            waves = self._tables.config.waves_by_number
            if waves:
                await self._advance(waves)
            await asyncio.sleep(PASS_INTERVAL_MS / 1000)

    async def _advance(self, waves: dict[int, model.Wave]) -> None:
        actions = self._waves.plan(waves)
        if not await self._record_orders(actions):
            return
        for action in actions:
            await self._perform(action)
        await self._check_ordered()
        await self._record()
        self._tables.endpoints.emptying_machines = (
            self._waves.emptying_machines()
        )

    async def _record_orders(self, actions: list[upkeep.Action]) -> bool:
        """Records the upkeep that is about to be ordered.

        A machine may be down from the order on, whether or not it is answered.
        The record fails if another leader has taken over.

        Returns:
          Whether the orders may be sent.
        """
        for action in actions:
            if isinstance(action, upkeep.OrderUpkeep):
                self._waves.mark_ordered(action.wave, action.machine)
        return await self._record()

    async def _record(self) -> bool:
        """Records the state of all waves, if it has changed."""
        machines_by_key = self._waves.dump()
        if machines_by_key == self._saved:
            return True
        if not await self._recorder.save_waves(machines_by_key):
            self._on_fenced("its records of upkeep were refused")
            return False
        self._saved = machines_by_key
        return True

    async def _perform(self, action: upkeep.Action) -> None:
        match action:
            case upkeep.StopRun(run):
                # Other stops may have been carried out since it was planned.
                if run.unit.step.long_running and not upkeep.may_interrupt(
                    run.unit
                ):
                    return
                lifecycle.stop_run(
                    self._tables, run, "its machine is due for upkeep"
                )
            case upkeep.PublishState(wave, completed):
                key, value = self._services.encode_wave_state(wave, completed)
                if await self._recorder.publish(key, value):
                    self._waves.mark_published(wave, completed)
                    events.emit(
                        _LOGGER,
                        events.Event.WAVE_STATE,
                        wave=wave,
                        completed=completed,
                    )
            case upkeep.OrderUpkeep(wave, machine):
                await self._order_upkeep(wave, machine)

    async def _order_upkeep(self, wave: int, machine: str) -> None:
        if not self._may_order():
            # A later leader repeats orders of this one from a lease on.
            return
        self._ordered.add((wave, machine))
        answer = await self._services.machines.upkeep(
            machine, wave, self._tables.token, timeout_ms=CALL_TIMEOUT_MS
        )
        events.emit(
            _LOGGER,
            events.Event.UPKEEP_ORDERED,
            wave=wave,
            machine=machine,
            token=self._tables.token,
            outcome=str(answer),
        )
        match answer:
            case ports.UpkeepRefusal.FENCED:
                self._on_fenced("an upkeep was refused for its token")
            case (
                ports.UpkeepRefusal.NO_MACHINE | ports.UpkeepRefusal.OTHER_WAVE
            ):
                self._waves.mark_done(wave, machine)
            case ports.Done():
                self._confirmed.add((wave, machine))

    async def _check_ordered(self) -> None:
        """Marks machines that are back as done and repeats lost orders.

        A machine may be missing because its row is unreadable. The order is
        repeated, which has no effect a second time and tells whether it exists.
        """
        ordered = self._waves.ordered_machines()
        if not ordered:
            return
        rows = await self._services.machines.list(timeout_ms=CALL_TIMEOUT_MS)
        if isinstance(rows, ports.Unknown):
            return
        up_by_machine = {row.machine: row.up for row in rows}
        may_repeat = self._tables.monotonic.now_ms() >= self._repeat_from_ms
        for wave, machine in ordered:
            if not may_repeat and (wave, machine) not in self._ordered:
                continue
            up = up_by_machine.get(machine)
            if up and (wave, machine) in self._confirmed:
                self._waves.mark_done(wave, machine)
            elif up or up is None:
                await self._order_upkeep(wave, machine)
