"""Tests of endpoints that restart, and of runs that nobody expects."""

import asyncio

import builders
import fakeworkers
from laburnumgate_placer import model
from laburnumgate_placer import ports
import leader_system
import pytest


async def _restart_idle_endpoints():
    """Returns a system whose endpoints restarted while nothing asked them."""
    system, host = await leader_system.start_system("e1", "e2")
    states = host.leader.tables.endpoints.by_id
    await leader_system.wait_until(
        lambda: len(states) == 2 and all(s.contacted for s in states.values())
    )
    await asyncio.sleep(0.2)
    for worker in system.workers.by_id.values():
        worker.restart()
    return system, host


def test_a_run_in_the_next_life_ends_before_it_is_started_again():
    """Guards against a second run beside one that is still being stopped.

    An idle endpoint restarts under its id, and its next life gets starts before
    the leader knows of it.
    """

    async def work():
        system, host = await _restart_idle_endpoints()
        for worker in system.workers.by_id.values():
            worker.stop_s = 0.2
        await leader_system.submit(
            host, builders.job("a" * 16, builders.step(4, gpu=2))
        )
        await leader_system.wait_until(lambda: len(system.starts()) >= 4)
        for worker_id in ("e1", "e2"):
            system.list_worker(worker_id)
        await leader_system.wait_until(lambda: len(system.starts()) >= 8)
        await asyncio.sleep(0.3)
        assert not system.workers.overlaps

    builders.run(work())


def test_a_run_in_the_next_life_that_cannot_be_stopped_is_not_started_again():
    """Guards against a refused stop that counts as the end of a run."""

    async def work():
        system, host = await _restart_idle_endpoints()
        for worker in system.workers.by_id.values():
            worker.refuse_stops = True
        await leader_system.submit(
            host, builders.job("a" * 16, builders.step(4, gpu=2))
        )
        await leader_system.wait_until(lambda: len(system.starts()) >= 4)
        for worker_id in ("e1", "e2"):
            system.list_worker(worker_id)
        # The report that shows the restart waits for an end before.
        await asyncio.sleep(1.2)
        assert len(system.starts()) == 4
        for worker in system.workers.by_id.values():
            worker.refuse_stops = False
        await leader_system.wait_until(lambda: len(system.starts()) >= 8)
        await asyncio.sleep(0.3)
        assert not system.workers.overlaps

    builders.run(work())


def test_the_clock_of_the_next_life_does_not_prolong_the_leases_of_this_one():
    """Guards against a task that waits for minutes for an endpoint.

    The answer to a start came from the next life, whose clock began anew, and
    the endpoint is then out of reach.
    """

    async def work():
        system, host = await _restart_idle_endpoints()
        states = host.leader.tables.endpoints.by_id
        start = system.workers.start

        async def start_with_new_clock(endpoint, order, *, timeout_ms):
            answer = await start(endpoint, order, timeout_ms=timeout_ms)
            system.worker(endpoint.endpoint_id).partitioned = True
            return ports.Done(1) if answer == ports.Done(1_000) else answer

        system.workers.start = start_with_new_clock
        for state in states.values():
            state.set_clock(300_000, host.monotonic.now_ms())
        await leader_system.submit(host, builders.job("a" * 16))
        await leader_system.wait_until(system.starts)
        await asyncio.sleep(0.05)
        state = states[system.starts()[0][0]]
        left_ms = state.leases_expire_ms() - host.monotonic.now_ms()
        assert left_ms < 5 * leader_system.BOUNDS.max_lease_ms

    builders.run(work())


@pytest.mark.parametrize("refused", [False, True])
def test_a_run_in_the_next_life_is_not_started_beside_it_elsewhere(refused):
    """Guards against a second run on an endpoint that did not restart.

    There, no report of the first run keeps the task waiting.
    """

    async def work():
        system, host = await leader_system.start_system("e1", "e2")
        states = host.leader.tables.endpoints.by_id
        await leader_system.wait_until(lambda: len(states) == 2)
        await leader_system.wait_until(
            lambda: all(s.contacted for s in states.values())
        )
        await asyncio.sleep(0.2)
        worker = system.worker("e1")
        worker.restart()
        worker.stop_s = 0.2
        worker.refuse_stops = refused
        # Fills both.
        job = builders.job("a" * 16, builders.step(8, gpu=1))
        await leader_system.submit(host, job)
        await leader_system.wait_until(lambda: len(system.starts()) == 8)
        if refused:
            await asyncio.sleep(1.2)
            worker.refuse_stops = False
        await asyncio.sleep(1.5)
        assert not system.workers.overlaps

    builders.run(work())


def test_a_refused_stop_does_not_hold_a_task_whose_run_has_lapsed():
    """Guards against a task that waits for a stop without need."""

    async def work():
        system, host = await _restart_idle_endpoints()
        for worker in system.workers.by_id.values():
            worker.refuse_stops = True
        await leader_system.submit(host, builders.job("a" * 16))
        await leader_system.wait_until(system.starts)
        await asyncio.sleep(0.2)
        system.worker(system.starts()[0][0]).end_all(model.EndKind.LAPSED)
        for worker_id in ("e1", "e2"):
            system.list_worker(worker_id)
        await leader_system.wait_until(lambda: len(system.starts()) == 2)
        assert not system.workers.overlaps

    builders.run(work())


def test_a_run_that_was_done_in_the_next_life_is_not_started_again():
    """Guards against an end that is dropped with the life before it."""

    async def work():
        system, host = await _restart_idle_endpoints()
        await leader_system.submit(host, builders.job("a" * 16))
        await leader_system.wait_until(system.starts)
        for worker in system.workers.by_id.values():
            worker.end_all()
        await leader_system.wait_until(
            lambda: host.jobs.state("a" * 16) == model.JobState.COMPLETED
        )
        assert len(system.starts()) == 1

    builders.run(work())


async def _list_stray(**faults):
    """Returns a system, a worker with a stray and the times of the stops."""
    system = leader_system.System("e1")
    worker = system.worker("e1")
    for name, value in faults.items():
        setattr(worker, name, value)
    task = model.TaskKey("b" * 16, 0, 0, 0)
    worker.running[(task, 1)] = None
    stop = system.workers.stop
    stops = []

    async def count_stop(*args, **kwargs):
        stops.append(asyncio.get_running_loop().time())
        return await stop(*args, **kwargs)

    system.workers.stop = count_stop
    host = system.add_host("h1", first_start=True)
    await leader_system.wait_until(
        lambda: host.leader and host.leader.recovered
    )
    await leader_system.wait_until(lambda: stops)
    return system, worker, stops


@pytest.mark.parametrize("fault", ["refuse_stops", "drop_stops"])
def test_a_stray_that_was_not_stopped_is_stopped_again(fault):
    """Guards against a stray that goes on after one refused or lost stop."""

    async def work():
        _, worker, stops = await _list_stray(**{fault: True})
        await leader_system.wait_until(lambda: len(stops) == 2)
        setattr(worker, fault, False)
        await leader_system.wait_until(lambda: not worker.running)

    builders.run(work())


def test_a_stray_is_not_stopped_nor_asked_for_all_the_time():
    """Guards against a busy loop while a stray takes long to stop."""

    async def work():
        system, worker, stops = await _list_stray(refuse_stops=True)
        renew = system.workers.renew
        reports = []

        async def count_renewal(*args, **kwargs):
            reports.append(None)
            return await renew(*args, **kwargs)

        system.workers.renew = count_renewal
        await asyncio.sleep(1.2)
        assert worker.running
        assert len(stops) <= 4
        assert len(reports) <= 8

    builders.run(work())


async def _submit_beside_stray():
    """Returns a system with a job whose task has a stray, and its worker."""
    system, worker, _ = await _list_stray(refuse_stops=True)
    system.workers.by_id["e2"] = fakeworkers.FakeWorker("e2")
    system.list_worker("e2")
    host = system.hosts["h1"]
    states = host.leader.tables.endpoints.by_id
    await leader_system.wait_until(
        lambda: "e2" in states and states["e2"].contacted
    )
    await leader_system.submit(host, builders.job("b" * 16))
    return system, worker


def test_a_task_does_not_start_while_a_stray_run_of_it_goes_on():
    """Guards against a run beside another one that is known to be present."""

    async def work():
        system, worker = await _submit_beside_stray()
        await asyncio.sleep(0.3)
        assert not system.starts()
        worker.refuse_stops = False
        await leader_system.wait_until(system.starts)
        assert not system.workers.overlaps

    builders.run(work())


def test_a_stray_out_of_reach_holds_its_task_until_its_lease_is_over():
    """Guards against a task that waits for an endpoint that is gone."""

    async def work():
        system, worker = await _submit_beside_stray()
        loop = asyncio.get_running_loop()
        began = loop.time()
        worker.partitioned = True
        await leader_system.wait_until(system.starts)
        # Leases of an earlier leader, of 600 ms, may have been renewed for as
        # long after the claim.
        assert loop.time() - began > 0.5

    builders.run(work(), seconds=5)


def test_a_stale_entry_of_its_machine_ends_no_endpoint_that_answers():
    """Guards against a run given up because the time of day stepped back.

    The entry of the machine's previous endpoint, which started at a later time
    of day, is still listed.
    """

    async def work():
        system, host = await leader_system.start_system("e1")
        await leader_system.submit(host, builders.job("a" * 16))
        await leader_system.wait_until(system.starts)
        for worker_id, machine in (("e0", "m-e1"), ("e2", "m-e2")):
            system.workers.by_id[worker_id] = fakeworkers.FakeWorker(
                worker_id, born_ms=9
            )
            system.machines_by_id[worker_id] = machine
            system.list_worker(worker_id)
        system.worker("e0").refuse_connections = True
        await asyncio.sleep(0.8)
        assert len(system.starts()) == 1
        state = host.leader.tables.endpoints.by_id["e1"]
        assert state.members and not state.ended
        await leader_system.submit(
            host, builders.job("b" * 16, builders.step(gpu=7))
        )
        await leader_system.submit(
            host, builders.job("c" * 16, builders.step(gpu=7))
        )
        await leader_system.wait_until(lambda: len(system.starts()) == 3)
        assert {e for e, _ in system.starts()} == {"e1", "e2"}
        assert not system.workers.overlaps

    builders.run(work())


def test_an_idle_endpoint_is_asked_when_its_machine_has_a_newer_one():
    """Guards against starts on an endpoint that has been replaced."""

    async def work():
        system, host = await leader_system.start_system("e1")
        states = host.leader.tables.endpoints.by_id
        await leader_system.wait_until(
            lambda: "e1" in states and states["e1"].contacted
        )
        system.worker("e1").refuse_connections = True
        system.workers.by_id["e2"] = fakeworkers.FakeWorker("e2", born_ms=2)
        system.machines_by_id["e2"] = "m-e1"
        system.list_worker("e2")
        await leader_system.wait_until(lambda: states["e1"].ended)
        await leader_system.submit(host, builders.job("a" * 16))
        await leader_system.wait_until(lambda: system.worker("e2").starts)

    builders.run(work())


async def _start_with_later_time():
    """Returns a system whose endpoint's next life may have an earlier start."""
    system = leader_system.System("e1")
    system.worker("e1").born_ms = 9
    system.list_worker("e1")
    host = system.add_host("h1", first_start=True)
    await leader_system.wait_until(
        lambda: host.leader and host.leader.recovered
    )
    await leader_system.wait_until(
        lambda: host.leader.tables.endpoints.by_id["e1"].contacted
    )
    return system, host


def _restart_at_earlier_time(system):
    worker = system.worker("e1")
    worker.restart()
    worker.born_ms = 3
    worker.changed.set()
    system.list_worker("e1")


@pytest.mark.parametrize("idle", [False, True])
def test_an_endpoint_that_restarts_at_an_earlier_time_is_used_again(idle):
    """Guards against tasks that count as running for good.

    The time of day stepped back, and reports of the next life were ignored,
    while they showed that the endpoint answers.
    """

    async def work():
        system, host = await _start_with_later_time()
        if not idle:
            await leader_system.submit(
                host, builders.job("a" * 16, builders.step(gpu=8))
            )
            await leader_system.wait_until(system.starts)
        await asyncio.sleep(0.1)
        _restart_at_earlier_time(system)
        states = host.leader.tables.endpoints.by_id
        await leader_system.wait_until(lambda: states["e1"].info.born_ms == 3)
        if idle:
            await leader_system.submit(
                host, builders.job("a" * 16, builders.step(gpu=8))
            )
        await leader_system.wait_until(lambda: len(system.starts()) == 2 - idle)
        system.worker("e1").end_all()
        await leader_system.wait_until(
            lambda: host.jobs.state("a" * 16) == model.JobState.COMPLETED
        )
        assert not system.workers.overlaps

    builders.run(work(), seconds=8)


def test_a_new_leader_uses_an_endpoint_that_restarted_at_an_earlier_time():
    """Guards against an endpoint that is lost to a record of its past life."""

    async def work():
        system, host = await _start_with_later_time()
        await leader_system.submit(
            host, builders.job("a" * 16, builders.step(gpu=8))
        )
        await leader_system.wait_until(system.starts)
        await asyncio.sleep(0.1)
        system.kill("h1")
        _restart_at_earlier_time(system)
        system.add_host("h2")
        await leader_system.wait_until(lambda: len(system.starts()) == 2)
        assert not system.workers.overlaps

    builders.run(work(), seconds=8)


def test_a_start_after_a_long_pause_of_its_endpoint_is_not_lost():
    """Guards against a lease that is over before the start arrives.

    The endpoint's clock was read long ago and could be slow, but is not.
    """

    async def work():
        system, host = await leader_system.start_system("e1")
        state = host.leader.tables.endpoints.by_id["e1"]
        await leader_system.wait_until(lambda: state.contacted)
        state.clock_ms = 0
        state.clock_at_ms -= 1_000_000
        read_at_ms = state.clock_at_ms
        leases_ms = []
        start = system.workers.start

        async def start_in_time(endpoint, order, *, timeout_ms):
            endpoint_now_ms = host.monotonic.now_ms() - read_at_ms
            leases_ms.append(order.deadline_ms - endpoint_now_ms)
            if leases_ms[-1] <= 0:
                return ports.Refused(ports.Refusal.LATE, endpoint_now_ms)
            return await start(endpoint, order, timeout_ms=timeout_ms)

        system.workers.start = start_in_time
        await leader_system.submit(host, builders.job("a" * 16))
        await leader_system.wait_until(system.starts)
        assert [lease_ms > 0 for lease_ms in leases_ms] == [False, True]
        assert leases_ms[1] <= leader_system.BOUNDS.lease_ms
        assert system.starts()[0][1].run == 1

    builders.run(work())
