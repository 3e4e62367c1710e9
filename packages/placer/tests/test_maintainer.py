"""Tests of carrying out waves of upkeep."""

import asyncio
import types

import builders
from laburnumgate_placer import lifecycle
from laburnumgate_placer import maintainer
from laburnumgate_placer import model
from laburnumgate_placer import ports
from laburnumgate_placer import progress


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
    """Records of a leader; they are refused if another one has taken over."""

    def __init__(self, *, fenced=False):
        self.published = []
        self.saved = {}
        self._fenced = fenced

    async def publish(self, key, value):
        self.published.append(value)
        return True

    async def save_waves(self, machines_by_key):
        if self._fenced:
            return False
        self.saved = machines_by_key
        return True


async def _carry_out(
    machines,
    passes,
    recorder=None,
    recorded=None,
    of_wave=("m1",),
    may_order=lambda: True,
):
    tables = builders.tables()
    tables.config.set_wave(1, model.Wave(1, of_wave, 20_000, 1))
    recorder = recorder or _Recorder()
    services = types.SimpleNamespace(
        machines=machines,
        encode_wave_state=lambda wave, completed: (str(wave), completed),
    )
    work = maintainer.Maintainer(
        services,
        tables,
        recorder,
        may_order,
        lambda reason: None,
        recorded or {},
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


def test_a_leader_that_was_replaced_orders_no_upkeep():
    """Guards against an order beside those of the successor.

    A leader that froze orders the upkeep of a machine when it wakes, before it
    reads that another host leads.
    """
    machines = _Machines(["m1"], ports.Done(0))
    builders.run(_carry_out(machines, 3, _Recorder(fenced=True)))
    assert not machines.orders


def test_a_leader_that_is_not_confirmed_repeats_no_upkeep():
    """Guards against an order under a lower token after the successor's.

    A leader that cannot read the log repeats an order that was not answered.
    Nothing changes that it would have to record first.
    """
    machines = _Machines(["m1"], ports.Unknown("lost"))
    builders.run(
        _carry_out(machines, 4, may_order=lambda: len(machines.orders) < 2)
    )
    assert len(machines.orders) == 2


def test_an_upkeep_is_recorded_before_it_is_ordered():
    """Guards against a successor that does not know which machines are down."""
    recorder = _Recorder()
    saved = []

    class Machines(_Machines):
        async def upkeep(self, machine, wave, fencing_token, *, timeout_ms):
            saved.append(dict(recorder.saved))
            return ports.Unknown("lost")

    builders.run(_carry_out(Machines(["m1"], None), 2, recorder))
    assert saved[0] == {"1": [], "1/ordered": ["m1"]}


def test_an_upkeep_of_the_predecessor_counts_as_under_way():
    """Guards against two machines that are down where one may be.

    The leader was stopped while a machine was down, and its successor ordered
    the upkeep of another one.
    """
    machines = _Machines([], ports.Done(0))
    recorded = {"1": [], "1/ordered": ["m2"]}
    work = _carry_out(machines, 4, recorded=recorded, of_wave=("m1", "m2"))
    builders.run(work)
    assert "m1" not in machines.orders


def test_a_wave_stops_only_as_many_lasting_tasks_as_may_miss_permits():
    """Guards against a service without tasks while several machines go down."""

    async def work():
        tables = builders.tables()
        step = builders.step(3, long_running=True, may_miss=1)
        entry = lifecycle.open_job(tables, builders.job("a" * 16, step))
        for number, unit in enumerate(entry.units_by_key.values()):
            name = f"e{number}"
            builders.add_endpoint(tables, name, machine=f"m{number}")
            builders.start(tables, lifecycle.assign(tables, unit, [name]))
            unit.run.members[0].percent = 100
        tables.config.set_wave(1, model.Wave(1, ("m0", "m1", "m2"), 20_000, 3))
        services = types.SimpleNamespace(
            machines=_Machines([], ports.Done(0)),
            encode_wave_state=lambda wave, completed: (str(wave), completed),
        )
        task = asyncio.create_task(
            maintainer.Maintainer(
                services,
                tables,
                _Recorder(),
                lambda: True,
                lambda reason: None,
                {},
            ).run()
        )
        await asyncio.sleep(0.05)
        tables.monotonic.advance(10_000)
        await asyncio.sleep(2 * maintainer.PASS_INTERVAL_MS / 1000)
        task.cancel()
        phases = [run.phase for run in entry.runs()]
        assert phases.count(progress.Phase.STOPPING) == 1

    builders.run(work())
