"""Tests of carrying out waves of upkeep."""

import asyncio
import types

import builders
from laburnumgate_placer import maintainer
from laburnumgate_placer import model
from laburnumgate_placer import ports


class _Machines:
    """Lists the given machines and answers each order in the same way."""

    def __init__(self, listed, answer):
        self.orders = []
        self._listed = listed
        self._answer = answer

    async def list(self, *, timeout_ms):
        return tuple(ports.MachineStatus(m, True) for m in self._listed)

    async def upkeep(self, machine, wave, fencing_token, *, timeout_ms):
        self.orders.append(machine)
        return self._answer


class _Recorder:
    def __init__(self):
        self.published = []

    async def publish(self, key, value):
        self.published.append(value)
        return True

    async def save_waves(self, done):
        return


async def _carry_out(machines, passes):
    tables = builders.tables()
    tables.config.set_wave(1, model.Wave(1, ("m1",), 20_000, 1))
    recorder = _Recorder()
    services = types.SimpleNamespace(
        machines=machines,
        encode_wave_state=lambda wave, completed: (str(wave), completed),
    )
    work = maintainer.Maintainer(
        services, tables, recorder, lambda reason: None, {}
    )
    task = asyncio.create_task(work.run())
    await asyncio.sleep((passes - 0.5) * maintainer.PASS_INTERVAL_MS / 1000)
    assert not task.done()
    task.cancel()
    return recorder.published


def test_a_machine_that_is_not_listed_had_no_upkeep_yet():
    """Guards against a wave that is completed while a list is unreadable."""
    machines = _Machines([], ports.Unknown("lost"))
    published = builders.run(_carry_out(machines, 3))
    assert published == [False]
    assert len(machines.orders) > 1


def test_a_wave_is_completed_without_a_machine_that_is_gone():
    """Guards against a wave that waits for a machine that does not exist."""
    machines = _Machines([], ports.UpkeepRefusal.NO_MACHINE)
    published = builders.run(_carry_out(machines, 4))
    assert published == [False, True]
