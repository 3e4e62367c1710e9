"""Tests of whole leadership terms with an in-memory log and endpoints."""

import asyncio
import functools
import itertools

import builders
import fakelog
import fakeworkers
from laburnumgate_placer import host as host_module
from laburnumgate_placer import intake
from laburnumgate_placer import leader as leader_module
from laburnumgate_placer import limits
from laburnumgate_placer import load_reports
from laburnumgate_placer import model
from laburnumgate_placer import policy
from laburnumgate_placer import ports
from laburnumgate_placer import progress
from laburnumgate_placer import recorder
from laburnumgate_placer import records
from laburnumgate_placer import services
from laburnumgate_placer import topics
import orjson
import pytest

_BOUNDS = limits.Bounds(max_lease_ms=600, gang_ms=1_000)
_OPERATORS = "keyed.test-operators"
_LIST = "keyed.test-list"
_STATUS = "keyed.test-status"


class _System:
    """Hosts that share one log and a set of workers."""

    def __init__(self, *worker_ids):
        self.log = fakelog.FakeLog()
        self.workers = fakeworkers.FakeEndpoints(
            *(fakeworkers.FakeWorker(worker_id) for worker_id in worker_ids)
        )
        self.log.put(_OPERATORS, records.encode_keyed("config", b"1"))
        for worker_id in worker_ids:
            self.list_worker(worker_id)
        self.tasks = {}
        self.hosts = {}
        self.advisor = None
        self.machines = None
        self.queue = builders.QUEUE
        self.policy = None
        self.machines_by_id = {}

    def apply_operator_entry(self, table, entry):
        table.publish(entry.offset, builders.config(self.queue))

    def list_worker(self, worker_id, present=True):
        born = self.workers.by_id[worker_id].born_ms
        value = str(born).encode() if present else b""
        self.log.put(_LIST, records.encode_keyed(worker_id, value))

    def add_host(self, name, first_start=False) -> host_module.Host:
        host = host_module.Host(
            name,
            services.Services(
                log=self.log,
                endpoints=self.workers,
                advisor=self.advisor,
                machines=self.machines,
                decode_endpoint=lambda entry: builders.endpoint(
                    entry.key,
                    born_ms=int(entry.value),
                    machine=self.machines_by_id.get(
                        entry.key, f"m-{entry.key}"
                    ),
                ),
                apply_operator_entry=self.apply_operator_entry,
                encode_wave_state=lambda wave, done: (
                    f"wave/{wave}",
                    b"completed" if done else b"running",
                ),
                operator_topic=_OPERATORS,
                list_topic=_LIST,
                status_topic=_STATUS,
            ),
            _BOUNDS,
            claim_delay_ms=0,
            first_start=first_start,
            policy=self.policy,
        )
        self.hosts[name] = host
        self.tasks[name] = asyncio.create_task(host.run())
        return host

    def kill(self, name):
        self.tasks.pop(name).cancel()

    def worker(self, worker_id) -> fakeworkers.FakeWorker:
        return self.workers.by_id[worker_id]

    def starts(self):
        return [
            (worker.endpoint_id, order)
            for worker in self.workers.by_id.values()
            for order in worker.starts
        ]


async def _wait_until(condition):
    while not condition():
        await asyncio.sleep(0.005)


async def _start_system(*worker_ids):
    system = _System(*worker_ids)
    host = system.add_host("h1", first_start=True)
    await _wait_until(lambda: host.leader and host.leader.recovered)
    return system, host


async def _submit(host, job):
    await _wait_until(host.ready)
    assert await host.intake.submit(job, 3_000) == intake.Accepted()


def test_a_job_runs_to_its_end_and_its_caller_is_told():
    """Guards against a missing link between submission and completion."""

    async def work():
        system, host = await _start_system("e1", "e2")
        step = builders.step(count=2, gpu=8, gang=True)
        job = builders.job("a" * 16, step, builders.step(after=(0,)))
        await _submit(host, job)
        await _wait_until(lambda: len(system.starts()) == 2)
        assert host.intake.pending("reviews") in (0, 1)
        for worker_id in ("e1", "e2"):
            system.worker(worker_id).end_all()
        await _wait_until(lambda: len(system.starts()) == 3)
        for worker_id in ("e1", "e2"):
            system.worker(worker_id).end_all()
        await _wait_until(
            lambda: host.jobs.state("a" * 16) == model.JobState.COMPLETED
        )
        await _wait_until(lambda: not system.worker("e1").ended)
        assert {o.run for _, o in system.starts()} == {1}

    builders.run(work())


def test_a_new_leader_adopts_what_runs():
    """Guards against a new leader that restarts a run which is still active."""

    async def work():
        system, host = await _start_system("e1", "e2")
        await _submit(host, builders.job("a" * 16, builders.step(gpu=8)))
        await _wait_until(lambda: len(system.starts()) == 1)
        await asyncio.sleep(0.05)
        system.kill("h1")
        second = system.add_host("h2")
        await _wait_until(lambda: second.leader and second.leader.recovered)
        await asyncio.sleep(0.2)
        assert len(system.starts()) == 1
        system.worker(system.starts()[0][0]).end_all()
        await _wait_until(
            lambda: second.jobs.state("a" * 16) == model.JobState.COMPLETED
        )

    builders.run(work())


def _progress_keys(system):
    newest = {
        entry.key: entry.value
        for entry in system.log._entries(topics.PROGRESS, 0)
    }
    return {key for key, value in newest.items() if value is not None}


def test_a_new_leader_adopts_a_job_that_is_recorded_in_parts(monkeypatch):
    """Guards against large jobs that a new leader starts anew."""
    monkeypatch.setattr(progress, "TASKS_PER_PART", 3)

    async def work():
        system, host = await _start_system("e1")
        step = builders.step(count=20, gpu=0)
        job = builders.job("a" * 16, step, builders.step(after=(0,)))
        await _submit(host, job)
        await _wait_until(lambda: len(system.starts()) == 20)
        for task, run in list(system.worker("e1").running):
            if task.index % 2:
                system.worker("e1").end(task, run, model.EndKind.DONE)
        await _wait_until(lambda: not system.worker("e1").ended)
        system.kill("h1")
        second = system.add_host("h2")
        await _wait_until(lambda: second.leader and second.leader.recovered)
        await asyncio.sleep(0.2)
        assert len(system.starts()) == 20
        assert len(system.worker("e1").running) == 10
        system.worker("e1").end_all()
        await _wait_until(lambda: len(system.starts()) == 21)
        system.worker("e1").end_all()
        await _wait_until(
            lambda: second.jobs.state("a" * 16) == model.JobState.COMPLETED
        )
        await _wait_until(lambda: not second.leader.tables.entries_by_id)
        assert _progress_keys(system) <= {topics.SPEEDS_KEY}

    builders.run(work())


def test_left_over_parts_of_an_ended_job_are_dropped():
    """Guards against parts that stay because a leader was replaced."""

    async def work():
        system, host = await _start_system("e1")
        await _submit(host, builders.job("a" * 16))
        await _wait_until(lambda: len(system.starts()) == 1)
        system.worker("e1").end_all()
        await _wait_until(
            lambda: host.jobs.state("a" * 16) == model.JobState.COMPLETED
        )
        await _wait_until(lambda: not host.leader.tables.entries_by_id)
        system.kill("h1")
        value = b'{"done":[],"units":[]}'
        system.log.put(
            topics.PROGRESS, records.encode_progress("a" * 16, 7, value)
        )
        second = system.add_host("h2")
        await _wait_until(lambda: second.leader and second.leader.recovered)
        await _wait_until(lambda: _progress_keys(system) <= {topics.SPEEDS_KEY})
        assert second.jobs.state("a" * 16) == model.JobState.COMPLETED
        assert len(system.starts()) == 1

    builders.run(work())


def test_a_run_on_an_endpoint_out_of_reach_waits_for_its_lease():
    """Guards against concurrent runs of one task during a network partition."""

    async def work():
        system, host = await _start_system("e1")
        await _submit(host, builders.job("a" * 16, builders.step(gpu=8)))
        await _wait_until(lambda: len(system.starts()) == 1)
        await asyncio.sleep(0.05)
        system.worker("e1").partitioned = True
        system.workers.by_id["e2"] = fakeworkers.FakeWorker("e2")
        system.list_worker("e2")
        loop = asyncio.get_running_loop()
        began = loop.time()
        await _wait_until(lambda: len(system.starts()) == 2)
        # The lease was renewed for 600 ms just before the partition.
        assert loop.time() - began > 0.55
        runs = [order.run for _, order in system.starts()]
        assert runs == [1, 2]

    builders.run(work())


def test_a_new_leader_waits_out_leases_that_it_does_not_know():
    """Guards against a second run while a partitioned leader renews one."""

    async def work():
        system, host = await _start_system("e1", "e2")
        await _submit(host, builders.job("a" * 16, builders.step(gpu=8)))
        await _wait_until(lambda: len(system.starts()) == 1)
        await asyncio.sleep(0.05)
        system.worker(system.starts()[0][0]).partitioned = True
        system.kill("h1")
        second = system.add_host("h2")
        await _wait_until(lambda: second.leader and second.leader.recovered)
        loop = asyncio.get_running_loop()
        began = loop.time()
        await _wait_until(lambda: len(system.starts()) == 2)
        assert loop.time() - began > 2 * _BOUNDS.max_lease_ms / 1000 - 0.1

    builders.run(work())


def test_a_restart_under_the_same_id_voids_old_orders():
    """Guards against a late start order that the new incarnation executes."""

    async def work():
        system, host = await _start_system("e1")
        await _submit(host, builders.job("a" * 16, builders.step(gpu=8)))
        await _wait_until(lambda: len(system.starts()) == 1)
        task = system.starts()[0][1].task
        await asyncio.sleep(0.05)
        system.worker("e1").restart()
        system.list_worker("e1")
        await _wait_until(lambda: len(system.starts()) == 2)
        assert system.worker("e1").stopped[task] == 1
        assert system.starts()[1][1].run == 2

    builders.run(work())


def test_only_the_leader_reads_each_record_of_jobs_at_once():
    """Guards against a read rate that grows with hosts times records."""

    async def work():
        system, host = await _start_system("e1")
        other = system.add_host("h2")
        await _wait_until(other.ready)
        assert host.jobs_feed.min_interval_ms == 0
        assert other.jobs_feed.min_interval_ms > 0

    builders.run(work())


def test_a_new_leader_waits_for_first_reports_before_it_places():
    """Guards against a first pass that sees only the fastest endpoints.

    In simulated days a new leader saw one usable endpoint in its first pass
    and preempted work there for jobs that fitted elsewhere.
    """

    async def work():
        system = _System("e1", "e2", "e3")
        for worker in ("e2", "e3"):
            system.worker(worker).report_s = 0.05
        job = builders.job("a" * 16, builders.step(count=3, gpu=8))
        system.log.put(topics.JOBS, records.encode(records.Submitted(job)))
        host = system.add_host("h1", first_start=True)
        await _wait_until(lambda: host.leader and host.leader.recovered)
        passes = []
        run = host.leader._scheduler.run
        host.leader._scheduler.run = lambda: (
            passes.append(
                [
                    s.contacted
                    for s in host.leader.tables.endpoints.by_id.values()
                ]
            ),
            run(),
        )
        await _wait_until(lambda: passes)
        assert all(passes[0])

    builders.run(work())


def test_an_order_in_doubt_is_voided_in_the_next_life_though_its_run_ended():
    """Guards against a delayed start order that arrives after its run ended."""

    async def work():
        system, host = await _start_system("e1")
        worker = system.worker("e1")
        # An endpoint that has not reported yet gets no work.
        states = host.leader.tables.endpoints.by_id
        await _wait_until(lambda: states["e1"].contacted)
        worker.drop_answers = True
        await _submit(host, builders.job("a" * 16, builders.step(gpu=8)))
        await _wait_until(lambda: worker.starts)
        task = worker.starts[0].task
        # The start is retried, because the first order is not answered.
        await asyncio.sleep(0.2)
        worker.drop_answers = False
        await _wait_until(
            lambda: host.leader.tables.endpoints.by_id["e1"].answering
        )
        job_id = "a" * 16
        entry = host.leader.tables.entries_by_id[job_id]
        # The first run is given up if the report that lists it comes late.
        await _wait_until(
            lambda: any(
                run.phase == progress.Phase.RUNNING for run in entry.runs()
            )
        )
        worker.end_all()
        await _wait_until(lambda: host.jobs.state(job_id).final)
        await _wait_until(lambda: worker.acked == worker.next_end - 1)
        worker.restart()
        system.list_worker("e1")
        await _wait_until(lambda: worker.stopped.get(task) == 1)

    builders.run(work())


def test_no_order_is_sent_while_the_orders_before_a_restart_are_voided():
    """Guards against a run that goes on in a new life beside its next run.

    It was started after the restart was seen, and given up with the orders to
    the earlier incarnation.
    """

    async def work():
        system, host = await _start_system("e1")
        worker = system.worker("e1")
        await _submit(host, builders.job("a" * 16))
        await _wait_until(lambda: worker.running)
        await asyncio.sleep(0.05)
        stop = system.workers.stop
        voiding = asyncio.Event()

        async def stop_slowly(*args, **kwargs):
            voiding.set()
            await asyncio.sleep(0.3)
            return await stop(*args, **kwargs)

        system.workers.stop = stop_slowly
        worker.restart()
        worker.changed.set()
        await voiding.wait()
        await _submit(host, builders.job("b" * 16))
        await asyncio.sleep(0.2)
        assert _starts_of(system, "b" * 16) == 0
        system.list_worker("e1")
        await _wait_until(lambda: _starts_of(system, "b" * 16) == 1)
        await asyncio.sleep(0.2)
        assert _starts_of(system, "b" * 16) == 1

    builders.run(work())


async def _restart_idle_endpoints():
    """Returns a system whose endpoints restarted while nothing asked them."""
    system, host = await _start_system("e1", "e2")
    states = host.leader.tables.endpoints.by_id
    await _wait_until(
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
        await _submit(host, builders.job("a" * 16, builders.step(4, gpu=2)))
        await _wait_until(lambda: len(system.starts()) >= 4)
        for worker_id in ("e1", "e2"):
            system.list_worker(worker_id)
        await _wait_until(lambda: len(system.starts()) >= 8)
        await asyncio.sleep(0.3)
        assert not system.workers.overlaps

    builders.run(work())


def test_a_run_in_the_next_life_that_cannot_be_stopped_is_not_started_again():
    """Guards against a refused stop that counts as the end of a run."""

    async def work():
        system, host = await _restart_idle_endpoints()
        for worker in system.workers.by_id.values():
            worker.refuse_stops = True
        await _submit(host, builders.job("a" * 16, builders.step(4, gpu=2)))
        await _wait_until(lambda: len(system.starts()) >= 4)
        for worker_id in ("e1", "e2"):
            system.list_worker(worker_id)
        # The report that shows the restart waits for an end before.
        await asyncio.sleep(1.2)
        assert len(system.starts()) == 4
        for worker in system.workers.by_id.values():
            worker.refuse_stops = False
        await _wait_until(lambda: len(system.starts()) >= 8)
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
        await _submit(host, builders.job("a" * 16))
        await _wait_until(system.starts)
        await asyncio.sleep(0.05)
        state = states[system.starts()[0][0]]
        left_ms = state.leases_expire_ms() - host.monotonic.now_ms()
        assert left_ms < 5 * _BOUNDS.max_lease_ms

    builders.run(work())


@pytest.mark.parametrize("refused", [False, True])
def test_a_run_in_the_next_life_is_not_started_beside_it_elsewhere(refused):
    """Guards against a second run on an endpoint that did not restart.

    There, no report of the first run keeps the task waiting.
    """

    async def work():
        system, host = await _start_system("e1", "e2")
        states = host.leader.tables.endpoints.by_id
        await _wait_until(lambda: len(states) == 2)
        await _wait_until(lambda: all(s.contacted for s in states.values()))
        await asyncio.sleep(0.2)
        worker = system.worker("e1")
        worker.restart()
        worker.stop_s = 0.2
        worker.refuse_stops = refused
        # Fills both.
        job = builders.job("a" * 16, builders.step(8, gpu=1))
        await _submit(host, job)
        await _wait_until(lambda: len(system.starts()) == 8)
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
        await _submit(host, builders.job("a" * 16))
        await _wait_until(system.starts)
        await asyncio.sleep(0.2)
        system.worker(system.starts()[0][0]).end_all(model.EndKind.LAPSED)
        for worker_id in ("e1", "e2"):
            system.list_worker(worker_id)
        await _wait_until(lambda: len(system.starts()) == 2)
        assert not system.workers.overlaps

    builders.run(work())


def test_a_run_that_was_done_in_the_next_life_is_not_started_again():
    """Guards against an end that is dropped with the life before it."""

    async def work():
        system, host = await _restart_idle_endpoints()
        await _submit(host, builders.job("a" * 16))
        await _wait_until(system.starts)
        for worker in system.workers.by_id.values():
            worker.end_all()
        await _wait_until(
            lambda: host.jobs.state("a" * 16) == model.JobState.COMPLETED
        )
        assert len(system.starts()) == 1

    builders.run(work())


def test_a_start_in_flight_is_voided_in_the_next_life_though_its_run_ended():
    """Guards against a start that arrives after its job was cancelled.

    The run ends while the order is still waited for, and the endpoint restarts
    before the wait is over.
    """

    async def work():
        system, host = await _start_system("e1")
        worker = system.worker("e1")
        states = host.leader.tables.endpoints.by_id
        await _wait_until(lambda: states["e1"].contacted)
        orders = []

        async def start_without_answer(endpoint, order, *, timeout_ms):
            orders.append(order)
            await asyncio.sleep(60)

        system.workers.start = start_without_answer
        job = builders.job("a" * 16)
        await _submit(host, job)
        await _wait_until(lambda: orders)
        host.leader.job_changed(records.Cancelled(job.job_id))
        await _wait_until(lambda: not states["e1"].members)
        worker.restart()
        system.list_worker("e1")
        await _wait_until(lambda: worker.stopped.get(orders[0].task) == 1)

    builders.run(work())


def test_nothing_starts_before_its_record_is_stored():
    """Guards against a run that the next leader does not know of."""

    async def work():
        system, host = await _start_system("e1")
        await _wait_until(host.ready)
        tables = host.leader.tables
        system.log.silent = True
        job = builders.job("a" * 16)
        host.leader.job_changed(records.Submitted(job))
        host.jobs.apply(records.Submitted(job))
        host.leader.job_changed(records.Submitted(job))
        await _wait_until(lambda: tables.entries_by_id["a" * 16].runs())
        await asyncio.sleep(0.2)
        assert not system.starts()
        system.log.silent = False
        await _wait_until(lambda: len(system.starts()) == 1)
        value = system.log.records_by_topic[topics.PROGRESS][-1]
        assert b"a" * 16 in value

    builders.run(work())


def test_ends_are_acknowledged_only_when_they_are_stored():
    """Guards against the loss of a run's end when the leader crashes."""

    async def work():
        system, host = await _start_system("e1")
        await _submit(host, builders.job("a" * 16))
        await _wait_until(lambda: len(system.starts()) == 1)
        await asyncio.sleep(0.05)
        system.log.silent = True
        system.worker("e1").end_all()
        await asyncio.sleep(0.3)
        assert system.worker("e1").acked == 0
        system.log.silent = False
        await _wait_until(lambda: system.worker("e1").acked == 1)

    builders.run(work())


def test_a_cancelled_job_is_stopped_and_not_started_again():
    """Guards against work that continues after its caller cancelled it."""

    async def work():
        system, host = await _start_system("e1")
        await _submit(host, builders.job("a" * 16, builders.step(gpu=8)))
        await _wait_until(lambda: system.worker("e1").running)
        verdict = await host.intake.cancel("a" * 16, "mina", 3_000)
        assert verdict == intake.Accepted()
        await _wait_until(lambda: not system.worker("e1").running)
        await asyncio.sleep(0.2)
        assert len(system.starts()) == 1
        found = await host.intake.state("a" * 16, "mina")
        assert found == intake.Found(model.JobState.CANCELLED)

    builders.run(work())


def test_a_gang_that_cannot_start_whole_is_stopped_whole():
    """Guards against a partially started gang that keeps its endpoints."""

    async def work():
        system, host = await _start_system("e1", "e2")
        system.worker("e2").drop_answers = False
        system.worker("e2").unhealthy = True
        step = builders.step(count=2, gpu=8, gang=True)
        await _submit(host, builders.job("a" * 16, step))
        await _wait_until(lambda: len(system.starts()) == 1)
        await _wait_until(lambda: not system.worker("e1").running)

    builders.run(work())


@pytest.mark.parametrize("lost", [1, 3])
def test_lost_answers_of_the_log_change_nothing(lost):
    """Guards against repeated decisions when responses of the log are lost."""

    async def work():
        system, host = await _start_system("e1")
        await _wait_until(host.ready)
        system.log.lose_answers = lost
        await _submit(host, builders.job("a" * 16))
        await _wait_until(lambda: len(system.starts()) == 1)
        system.worker("e1").end_all()
        await _wait_until(
            lambda: host.jobs.state("a" * 16) == model.JobState.COMPLETED
        )
        assert len(system.starts()) == 1

    builders.run(work())


def test_a_host_without_the_log_refuses_at_once():
    """Guards against callers that wait for their full timeout."""

    async def work():
        system, host = await _start_system("e1")
        await _wait_until(host.ready)
        system.log.silent = True
        first = asyncio.create_task(
            host.intake.submit(builders.job("a" * 16), 3_000)
        )
        await asyncio.sleep(1.3)
        loop = asyncio.get_running_loop()
        began = loop.time()
        verdict = await host.intake.submit(builders.job("b" * 16), 3_000)
        assert isinstance(verdict, intake.NotRun)
        assert verdict.retry_after_ms > 0
        assert loop.time() - began < 0.5
        first.cancel()

    builders.run(work())


def test_a_silent_endpoint_is_given_up_when_its_lease_is_over():
    """Guards against leases that unanswered renewals extend indefinitely.

    The runs of a crashed endpoint were kept for a minute, because each renewal
    attempt might have reached it.
    """

    async def work():
        system, host = await _start_system("e1")
        await _submit(host, builders.job("a" * 16, builders.step(gpu=8)))
        await _wait_until(lambda: len(system.starts()) == 1)
        system.worker("e1").refuse_connections = True
        tables = host.leader.tables
        async with asyncio.timeout(3):
            await _wait_until(lambda: not tables.entries_by_id["a" * 16].runs())

    builders.run(work())


def test_an_order_that_was_not_delivered_is_given_up_at_once():
    """Guards against a gang that waits for an endpoint that is down."""

    async def work():
        system, host = await _start_system("e1", "e2", "e3")
        system.worker("e2").refuse_connections = True
        step = builders.step(count=2, gpu=8, gang=True)
        await _submit(host, builders.job("a" * 16, step))
        loop = asyncio.get_running_loop()
        began = loop.time()
        await _wait_until(lambda: len(system.worker("e3").running) == 1)
        await _wait_until(lambda: len(system.worker("e1").running) == 1)
        assert loop.time() - began < _BOUNDS.gang_ms / 2_000

    builders.run(work())


def test_a_caller_is_answered_while_it_can_still_ask_another_host():
    """Guards against a caller that times out on a host without the log.

    In a simulated day the log stopped answering one host, which held a
    submission until its caller timed out.
    """

    async def work():
        system, host = await _start_system("e1")
        await _wait_until(host.ready)
        system.log.silent = True
        loop = asyncio.get_running_loop()
        began = loop.time()
        verdict = await host.intake.submit(builders.job("a" * 16), 3_000)
        assert isinstance(verdict, intake.MayHaveRun)
        assert loop.time() - began < 1.5

    builders.run(work())


def test_a_caller_with_little_time_is_not_left_in_doubt_at_once():
    """Guards against a response margin that uses up a short timeout.

    In a simulated day callers with a timeout of 160 ms received the response
    after 10 ms that the outcome of their submission was unknown, and could not
    retry it.
    """

    async def work():
        system, host = await _start_system("e1")
        await _wait_until(host.ready)
        system.log.append_s = 0.05
        verdict = await host.intake.submit(builders.job("a" * 16), 160)
        assert verdict == intake.Accepted()

    builders.run(work())


def test_a_host_without_the_log_soon_asks_for_no_new_callers():
    """Guards against callers that are routed to a partitioned host."""

    async def work():
        system, host = await _start_system("e1")
        await _wait_until(host.ready)
        system.log.silent = True
        await asyncio.sleep(intake.READY_AGE_MS / 1000 + 0.6)
        assert not host.ready()
        assert not host.intake.config_stale()

    builders.run(work())


def test_progress_is_dropped_only_after_the_end_is_stored():
    """Guards against a completed job that the next leader starts again.

    In the soak test with seed 1, the tombstone of a job's progress was stored
    before the delayed record of its end. A leader that took over in between
    started the job again.
    """

    async def work():
        system, host = await _start_system("e1")
        await _submit(host, builders.job("a" * 16))
        await _wait_until(lambda: len(system.starts()) == 1)
        await asyncio.sleep(0.1)
        system.log.silent_appends.add(topics.JOBS)
        system.worker("e1").end_all()
        await asyncio.sleep(0.3)
        system.kill("h1")
        # The next leader cannot get the end from the endpoint.
        system.worker("e1").partitioned = True
        system.workers.by_id["e2"] = fakeworkers.FakeWorker("e2")
        system.list_worker("e2")
        second = system.add_host("h2")
        await _wait_until(lambda: second.leader and second.leader.recovered)
        await asyncio.sleep(0.3)
        system.log.silent_appends.clear()
        await _wait_until(
            lambda: second.jobs.state("a" * 16) == model.JobState.COMPLETED
        )
        assert len(system.starts()) == 1

    builders.run(work())


def test_a_failed_job_stays_failed_under_the_next_leader():
    """Guards against more runs than the queue's number of attempts."""

    async def work():
        system, host = await _start_system("e1")
        await _submit(host, builders.job("a" * 16))
        for number in (1, 2, 3):
            await _wait_until(lambda n=number: len(system.starts()) == n)
            await asyncio.sleep(0.1)
            if number == 3:
                system.log.silent_appends.add(topics.JOBS)
            system.worker("e1").end_all(model.EndKind.FAILED)
        await asyncio.sleep(0.3)
        system.kill("h1")
        second = system.add_host("h2")
        await _wait_until(lambda: second.leader and second.leader.recovered)
        await asyncio.sleep(0.5)
        system.log.silent_appends.clear()
        await _wait_until(
            lambda: second.jobs.state("a" * 16) == model.JobState.FAILED
        )
        assert len(system.starts()) == 3

    builders.run(work())


class _Advisor:
    """Allows every second of the requested endpoints."""

    async def ask(self, job_id, occurrence, step, endpoint_ids, *, timeout_ms):
        allowed = sorted(endpoint_ids)[::2]
        return ports.Advice({e: f"ticket-{e}" for e in allowed}, 3_000)


def test_a_start_on_an_advised_queue_carries_its_ticket():
    """Guards against advice that is requested but not used."""

    async def work():
        system = _System("e1", "e2")
        system.advisor = _Advisor()
        system.queue = builders.replace(builders.QUEUE, advised=True)
        host = system.add_host("h1", first_start=True)
        await _wait_until(lambda: host.leader and host.leader.recovered)
        job = builders.job("a" * 16, builders.step(), queue=system.queue)
        await _submit(host, job)
        await _wait_until(lambda: len(system.starts()) == 1)
        assert system.starts()[0][1].ticket == "ticket-e1"

    builders.run(work())


class _Machines:
    """Maintains machines for 0.2 s each; the first response is lost."""

    def __init__(self):
        self.orders = []
        self.down_until = {}

    async def list(self, *, timeout_ms):
        now = asyncio.get_running_loop().time()
        return tuple(
            ports.MachineStatus(
                f"m-{e}", now > self.down_until.get(f"m-{e}", 0)
            )
            for e in ("e1", "e2")
        )

    async def upkeep(self, machine, wave, fencing_token, *, timeout_ms):
        if machine == "m-gone":
            return ports.UpkeepRefusal.NO_MACHINE
        now = asyncio.get_running_loop().time()
        assert not any(until > now for until in self.down_until.values())
        if machine not in self.down_until:
            self.down_until[machine] = now + 0.2
        self.orders.append(machine)
        if len(self.orders) == 1:
            return ports.Unknown("lost")
        return ports.Done(0)


def test_a_wave_is_carried_out_and_reported():
    """Guards against a wave that stalls after a lost response."""

    async def work():
        system = _System("e1", "e2")
        system.machines = _Machines()
        host = system.add_host("h1", first_start=True)
        host.config.set_wave(
            4, model.Wave(4, ("m-e1", "m-e2", "m-gone"), 10_000, 1)
        )
        status = system.log.records_by_topic
        await _wait_until(
            lambda: any(b"completed" in r for r in status.get(_STATUS, ()))
        )
        assert set(system.machines.orders) == {"m-e1", "m-e2"}
        ordered = len(system.machines.orders)
        system.kill("h1")
        second = system.add_host("h2")
        second.config.set_wave(
            4, model.Wave(4, ("m-e1", "m-e2", "m-gone"), 10_000, 1)
        )
        await _wait_until(lambda: second.leader and second.leader.recovered)
        await asyncio.sleep(0.6)
        assert len(system.machines.orders) == ordered

    builders.run(work())


def test_an_error_at_one_endpoint_does_not_end_the_term():
    """Guards against one endpoint whose data makes each leader step down."""

    async def work():
        system, host = await _start_system("e1", "e2")
        token = host.leadership.own_claim.token
        renew = system.workers.renew

        async def renew_or_fail(endpoint, **options):
            if endpoint.endpoint_id == "e1":
                raise ZeroDivisionError
            return await renew(endpoint, **options)

        system.workers.renew = renew_or_fail
        await _submit(host, builders.job("a" * 16, builders.step(gpu=8)))
        await _submit(host, builders.job("b" * 16, builders.step(gpu=8)))
        await _wait_until(lambda: system.worker("e2").starts)
        system.worker("e2").end_all()
        await _wait_until(lambda: len(system.worker("e2").starts) == 2)
        assert host.leadership.own_claim.token == token
        assert host.leader is not None

    builders.run(work())


def test_an_error_in_the_report_of_the_backlog_does_not_end_the_term(
    monkeypatch,
):
    """Guards against a term that ends for what hosts can do without."""
    monkeypatch.setattr(load_reports, "INTERVAL_MS", 10)
    monkeypatch.setattr(load_reports, "collect", lambda *args: 1 // 0)

    async def work():
        system, host = await _start_system("e1")
        token = host.leadership.own_claim.token
        await asyncio.sleep(0.1)
        await _submit(host, builders.job("a" * 16))
        await _wait_until(lambda: system.starts())
        assert host.leadership.own_claim.token == token

    builders.run(work())


def test_an_unexpected_error_of_a_term_does_not_end_the_process():
    """Guards against a host that no longer answers callers after an error."""

    async def work():
        system, host = await _start_system("e1")
        host.leader._scheduler.run = lambda: 1 // 0
        host.leader.tables.wake.set()
        await _wait_until(lambda: host.leader is None)
        await _submit(host, builders.job("a" * 16))
        await _wait_until(lambda: system.starts())
        assert not system.tasks["h1"].done()

    builders.run(work())


def test_a_leader_that_was_paused_starts_nothing_without_confirmation():
    """Guards against starts on a permission that has run out.

    A later leader that cannot reach an endpoint counts on the end of all leases
    that were granted there. A leader that wakes up after that time still
    considers itself leader until it has read the later claim.
    """

    async def work():
        system, host = await _start_system("e1")
        system.log.silent_appends.add(topics.LEADER)
        limit_ms = _BOUNDS.lease_ms
        leadership_state = host.leadership
        await _wait_until(
            lambda: (
                host.monotonic.now_ms() - leadership_state.confirmed_ms()
                > limit_ms
            )
        )
        assert host.leader is not None
        await _submit(host, builders.job("a" * 16))
        await asyncio.sleep(0.3)
        assert not system.starts()
        system.log.silent_appends.clear()
        await _wait_until(lambda: system.starts())

    builders.run(work())


def test_a_long_recovery_takes_no_known_run_for_an_unknown_one(monkeypatch):
    """Guards against stops of runs whose jobs are not restored yet.

    A new leader lets its heartbeats pass while it restores hundreds of jobs,
    and endpoints answer in the meantime.
    """
    monkeypatch.setattr(leader_module, "RESTORE_CHUNK", 1)

    async def work():
        system, host = await _start_system("e1", "e2")
        for number in range(12):
            await _submit(host, builders.job(f"{number:016x}"))
        await _wait_until(lambda: len(system.starts()) == 12)
        await host.leadership.resign()
        system.kill("h1")
        # Pauses between chunks, long enough for reports.
        sleep = asyncio.sleep

        async def sleep_longer(seconds):
            await sleep(seconds or 0.02)

        monkeypatch.setattr(leader_module.asyncio, "sleep", sleep_longer)
        other = system.add_host("h2")
        await _wait_until(lambda: other.leader and other.leader.recovered)
        monkeypatch.setattr(leader_module.asyncio, "sleep", sleep)
        await sleep(0.3)
        assert len(system.starts()) == 12
        assert not any(
            worker.stopped for worker in system.workers.by_id.values()
        )

    builders.run(work())


def test_a_repeated_submission_in_doubt_is_not_refused_as_not_run():
    """Guards against telling a caller that a job does not run, though it does.

    The answer to the first attempt was lost. The second one met a log that did
    not answer, and was told that the job had not been stored.
    """

    async def work():
        system, host = await _start_system("e1")
        await _wait_until(host.ready)
        system.log.silent_appends.add(topics.JOBS)
        job = builders.job("a" * 16)
        first = await host.intake.submit(job, 900)
        assert isinstance(first, intake.MayHaveRun)
        second = await host.intake.submit(job, 900)
        assert isinstance(second, intake.MayHaveRun)
        # Repeating it does not make it known for longer.
        doubts = host.intake._doubt_until_ms_by_id
        until_ms = doubts[job.job_id]
        await host.intake.submit(job, 900)
        assert doubts[job.job_id] == until_ms
        # Another job was never sent to the log.
        other = await host.intake.submit(builders.job("b" * 16), 900)
        assert isinstance(other, intake.NotRun)
        system.log.silent_appends.clear()
        await _wait_until(lambda: len(system.starts()) == 1)

    builders.run(work())


def test_hosts_learn_the_backlog_and_turn_away_what_comes_too_late():
    """Guards against callers that wait for work that cannot be served."""

    async def work():
        system, host = await _start_system("e1")
        other = system.add_host("h2")
        step = builders.step(count=60, gpu=8, estimate_ms=60_000)
        await _submit(host, builders.job("a" * 16, step))
        await _wait_until(lambda: other.leadership.load(3_000))
        await _wait_until(other.ready)
        small = builders.job(
            "b" * 16, builders.step(estimate_ms=100), account="other"
        )
        async with asyncio.timeout(8):
            while True:
                verdict = await other.intake.submit(small, 900)
                if isinstance(verdict, intake.NotRun):
                    break
                small = builders.replace(small, job_id=f"{id(verdict):016x}")
                await asyncio.sleep(0.3)
        assert verdict.retry_after_ms >= 1_000
        assert small.job_id not in host.jobs.jobs_by_id

    builders.run(work())


def test_hosts_learn_the_delays_by_cost_and_reject_by_them():
    """Guards against a report by cost that does not reach other hosts."""

    async def work():
        system = _System("e1")
        system.policy = policy.Policy(delay_cost_order=True)
        system.queue = builders.replace(builders.QUEUE, priority=2)
        host = system.add_host("h1", first_start=True)
        await _wait_until(lambda: host.leader and host.leader.recovered)
        other = system.add_host("h2")
        step = builders.step(count=60, gpu=8, estimate_ms=60_000)
        first = builders.job("a" * 16, step, queue=system.queue)
        await _submit(host, first)
        await _wait_until(other.ready)
        verdict = None
        async with asyncio.timeout(8):
            for number in itertools.count():
                job = builders.replace(first, job_id=f"{number:016x}")
                verdict = await other.intake.submit(job, 900)
                if isinstance(verdict, intake.NotRun):
                    break
                await asyncio.sleep(0.3)
        assert verdict.retry_after_ms == 30_000
        # A job that is worth more per core-second overtakes the backlog.
        small = builders.replace(
            first, job_id="c" * 16, steps=(builders.step(estimate_ms=100),)
        )
        assert await other.intake.submit(small, 900) == intake.Accepted()

    builders.run(work())


def test_a_restarted_endpoint_gets_no_acknowledgement_of_earlier_ends():
    """Guards against the loss of an end that a new incarnation reports.

    A start order that was sent before the restart is carried out after it, and
    its run ends as done before the restart is noticed.
    """

    async def work():
        system, host = await _start_system("e1")
        worker = system.worker("e1")
        await _submit(host, builders.job("a" * 16))
        await _wait_until(lambda: worker.running)
        worker.end_all()
        await _wait_until(lambda: worker.acked == 1)
        await _submit(host, builders.job("b" * 16))
        await _wait_until(lambda: worker.running)
        ((task, run),) = worker.running
        worker.refuse_connections = True
        worker.changed.set()
        await asyncio.sleep(0.5)
        worker.restart()
        worker.end(task, run, model.EndKind.DONE)
        worker.refuse_connections = False
        await asyncio.sleep(0.3)
        assert worker.acked == 0

    builders.run(work())


def test_a_run_adopted_on_an_ended_endpoint_is_started_again():
    """Guards against jobs that run for good, on an endpoint that is gone.

    The endpoint's entry is still in the live list beside the one of its
    machine's newer endpoint when a new leader begins.
    """

    async def work():
        system, host = await _start_system("e1")
        await _submit(host, builders.job("a" * 16))
        await _wait_until(lambda: len(system.starts()) == 1)
        await asyncio.sleep(0.05)
        system.kill("h1")
        system.worker("e1").partitioned = True
        system.workers.by_id["e2"] = fakeworkers.FakeWorker("e2", born_ms=2)
        system.machines_by_id["e2"] = "m-e1"
        system.list_worker("e2")
        system.add_host("h2")
        await _wait_until(lambda: len(system.starts()) == 2)
        assert system.worker("e2").running

    builders.run(work())


async def _crash_on_each_start(system, job_id):
    """Restarts each worker that starts a task of the job."""
    crashed = 0
    while True:
        await asyncio.sleep(0.01)
        for worker_id, worker in system.workers.by_id.items():
            if not any(task.job_id == job_id for task, _ in worker.running):
                continue
            crashed += 1
            worker.restart()
            worker.changed.set()
            await asyncio.sleep(0.05)
            system.list_worker(worker_id)


def _starts_of(system, job_id):
    return sum(order.task.job_id == job_id for _, order in system.starts())


async def _wait_for_starts(system, host, job_id, count):
    """Waits until a job was started that often or has ended."""
    while _starts_of(system, job_id) < count:
        if host.jobs.state(job_id).final:
            return
        await asyncio.sleep(0.005)


def test_a_task_that_crashes_its_endpoints_ends_its_job():
    """Guards against a task that crashes endpoint after endpoint."""

    async def work():
        names = [f"e{number}" for number in range(6)]
        system, host = await _start_system(*names)
        job = builders.job("a" * 16)
        crashing = asyncio.create_task(_crash_on_each_start(system, job.job_id))
        await _submit(host, job)
        await _wait_until(
            lambda: host.jobs.state(job.job_id) == model.JobState.FAILED
        )
        assert 2 <= _starts_of(system, job.job_id) <= 4
        crashing.cancel()

    builders.run(work())


def test_an_unanswered_start_is_not_repeated_to_a_later_incarnation():
    """Guards against repeated orders that crash each restart of an endpoint."""

    async def work():
        system, host = await _start_system("e1", "e2", "e3", "e4")
        job = builders.job("a" * 16)
        orders = []

        async def start_and_crash(endpoint, order, *, timeout_ms):
            worker = system.worker(endpoint.endpoint_id)
            if worker.refuse_connections:
                return ports.Undelivered("refused")
            orders.append((endpoint.endpoint_id, order.run))
            worker.restart()
            worker.refuse_connections = True
            worker.changed.set()
            asyncio.get_running_loop().call_later(0.1, come_back, worker)
            return ports.Unknown("the connection broke")

        def come_back(worker):
            worker.refuse_connections = False
            system.list_worker(worker.endpoint_id)

        system.workers.start = start_and_crash
        await _submit(host, job)
        await _wait_until(lambda: host.jobs.state(job.job_id).final)
        assert len(orders) == len(set(orders)) <= 5

    builders.run(work())


def test_leaders_in_turn_do_not_each_start_a_crashing_task_anew():
    """Guards against crashes that are forgotten with the leader."""

    async def work():
        names = [f"e{number}" for number in range(6)]
        system, host = await _start_system(*names)
        job = builders.job("a" * 16)
        crashing = asyncio.create_task(_crash_on_each_start(system, job.job_id))
        await _submit(host, job)
        for number in range(1, 4):
            await _wait_for_starts(system, host, job.job_id, number)
            if host.jobs.state(job.job_id).final:
                break
            system.kill(f"h{number}")
            host = system.add_host(f"h{number + 1}")
            await _wait_until(functools.partial(host.jobs.state, job.job_id))
        while host.jobs.state(job.job_id) != model.JobState.FAILED:
            await asyncio.sleep(0.005)
        assert _starts_of(system, job.job_id) <= 5
        crashing.cancel()

    builders.run(work())


def test_nothing_starts_while_the_live_list_is_old():
    """Guards against starts on a capacity that has shrunk unseen."""

    async def work():
        system, host = await _start_system("e1", "e2")
        await _submit(host, builders.job("a" * 16))
        await _wait_until(lambda: len(system.starts()) == 1)
        system.log.silent_reads.add(_LIST)
        endpoints = host.leader.tables.endpoints
        limit_ms = _BOUNDS.max_list_age_ms
        await _wait_until(lambda: endpoints.list_age_ms() > limit_ms)
        await _submit(host, builders.job("b" * 16))
        await asyncio.sleep(0.3)
        assert len(system.starts()) == 1
        assert not host.leader.tables.entries_by_id["b" * 16].runs()
        system.log.silent_reads.clear()
        await _wait_until(lambda: len(system.starts()) == 2)

    builders.run(work())


def test_a_new_leader_recovers_while_the_log_is_busy():
    """Guards against a term that never begins while appends queue up."""

    async def work():
        system = _System("e1")
        system.log.append_s_by_topic[topics.JOBS] = 1.0
        host = system.add_host("h1", first_start=True)
        async with asyncio.timeout(8):
            await _wait_until(lambda: host.leader and host.leader.recovered)

    builders.run(work())


def test_no_assignment_is_stored_after_the_last_job_that_is_restored():
    """Guards against a second start of a job that a new leader reads late.

    The earlier leader must not assign a job that is submitted after the offset
    up to which the new one restores jobs.
    """

    async def work():
        system, _ = await _start_system("e1")
        fences = [
            topic
            for topic, sequence in system.log.appends
            if sequence is not None and sequence.producer == recorder.PRODUCER
        ]
        assert fences[:2] == [topics.PROGRESS, topics.JOBS]

    builders.run(work())


def test_an_occurrence_that_becomes_due_starts_while_tasks_go_on_ending():
    """Guards against timed jobs that never start on a busy leader."""

    async def work():
        system, host = await _start_system("e1")
        tables = host.leader.tables

        async def keep_busy():
            while True:
                tables.wake.set()
                await asyncio.sleep(0.005)

        busy = asyncio.create_task(keep_busy())
        job = builders.job(
            "a" * 16,
            scheduled=True,
            first_start_ms=tables.wall.now_ms() + 300,
        )
        await _submit(host, job)
        await _wait_until(system.starts)
        busy.cancel()

    builders.run(work(), seconds=5)


def test_a_restart_in_the_dark_is_found_soon_while_an_order_is_in_doubt():
    """Guards against a delayed start order that runs a task again.

    The endpoint restarts while it cannot be reached, and the order arrives half
    a second after it is back.
    """

    async def work():
        system, host = await _start_system("e1")
        worker = system.worker("e1")
        states = host.leader.tables.endpoints.by_id
        await _wait_until(lambda: states["e1"].contacted)
        worker.drop_answers = True
        await _submit(host, builders.job("a" * 16, builders.step(gpu=8)))
        await _wait_until(lambda: worker.starts)
        order = worker.starts[0]
        await asyncio.sleep(0.2)
        worker.drop_answers = False
        entry = host.leader.tables.entries_by_id["a" * 16]
        await _wait_until(
            lambda: any(
                run.phase == progress.Phase.RUNNING for run in entry.runs()
            )
        )
        worker.end_all()
        await _wait_until(lambda: worker.acked == worker.next_end - 1)
        worker.partitioned = True
        worker.restart()
        await _wait_until(lambda: not states["e1"].answering)
        began = asyncio.Event()
        renew = system.workers.renew

        def renew_in_the_dark(*args, **kwargs):
            began.set()
            return renew(*args, **kwargs)

        system.workers.renew = renew_in_the_dark
        await began.wait()
        # The call that has just begun is not answered any more.
        await asyncio.sleep(0.01)
        worker.partitioned = False
        await asyncio.sleep(0.5)
        answer = await system.workers.start(
            builders.endpoint("e1"), order, timeout_ms=100
        )
        assert answer == ports.Refused(ports.Refusal.SUPERSEDED, 1_000)

    builders.run(work())


def test_a_leader_that_cannot_read_the_log_renews_no_leases():
    """Guards against leases that outlast the wait of a later leader.

    The heartbeats of the first leader are stored after the claim of the second
    one, which it does not read.
    """

    async def work():
        system, host = await _start_system("e1")
        await _submit(host, builders.job("a" * 16))
        await _wait_until(lambda: system.starts())
        deadlines = []
        renew = system.workers.renew

        def record(endpoint, *, deadline_ms, **options):
            deadlines.append(deadline_ms)
            return renew(endpoint, deadline_ms=deadline_ms, **options)

        system.workers.renew = record
        system.log.silent_reads.add(topics.LEADER)
        await asyncio.sleep(0.35)
        system.log.put(topics.LEADER, orjson.dumps(["claim", "h2", 0]))
        await asyncio.sleep(_BOUNDS.lease_ms / 1000 + 0.1)
        assert host.leadership.own_claim is not None
        # Each event makes the endpoint answer, so that it is asked again.
        deadlines.clear()
        worker = system.worker("e1")
        for _ in range(3):
            worker.changed.set()
            await asyncio.sleep(0.1)
        assert deadlines and set(deadlines) == {None}
        await _submit(host, builders.job("b" * 16))
        await asyncio.sleep(0.3)
        assert len(system.starts()) == 1

    builders.run(work())


def test_a_leader_that_cannot_read_the_log_makes_room_for_another(monkeypatch):
    """Guards against a leader that keeps others out and can start nothing."""
    monkeypatch.setattr(leader_module, "MAX_UNREAD_MS", 600)

    async def work():
        system, host = await _start_system("e1")
        await asyncio.sleep(1.0)
        assert host.leadership.own_claim is not None
        system.log.silent_reads.add(topics.LEADER)
        await _wait_until(lambda: host.leadership.own_claim is None)

    builders.run(work())


def test_nothing_is_ordered_from_the_moment_at_which_a_leader_steps_down():
    """Guards against a run that is recorded, but starts after its term."""

    async def work():
        system, host = await _start_system("e1")
        term = host.leader
        token = term.tables.token
        flush = term._recorder.flush

        async def flush_and_step_down():
            runs = await flush()
            if runs:
                host.leadership.step_down("test")
            return runs

        term._recorder.flush = flush_and_step_down
        await _submit(host, builders.job("a" * 16))
        await _wait_until(lambda: system.starts())
        assert [o.fencing_token > token for _, o in system.starts()] == [True]

    builders.run(work())


async def _list_stray(**faults):
    """Returns a system, a worker with a stray and the times of the stops."""
    system = _System("e1")
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
    await _wait_until(lambda: host.leader and host.leader.recovered)
    await _wait_until(lambda: stops)
    return system, worker, stops


@pytest.mark.parametrize("fault", ["refuse_stops", "drop_stops"])
def test_a_stray_that_was_not_stopped_is_stopped_again(fault):
    """Guards against a stray that goes on after one refused or lost stop."""

    async def work():
        _, worker, stops = await _list_stray(**{fault: True})
        await _wait_until(lambda: len(stops) == 2)
        setattr(worker, fault, False)
        await _wait_until(lambda: not worker.running)

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
    await _wait_until(lambda: "e2" in states and states["e2"].contacted)
    await _submit(host, builders.job("b" * 16))
    return system, worker


def test_a_task_does_not_start_while_a_stray_run_of_it_goes_on():
    """Guards against a run beside another one that is known to be present."""

    async def work():
        system, worker = await _submit_beside_stray()
        await asyncio.sleep(0.3)
        assert not system.starts()
        worker.refuse_stops = False
        await _wait_until(system.starts)
        assert not system.workers.overlaps

    builders.run(work())


def test_a_stray_out_of_reach_holds_its_task_until_its_lease_is_over():
    """Guards against a task that waits for an endpoint that is gone."""

    async def work():
        system, worker = await _submit_beside_stray()
        loop = asyncio.get_running_loop()
        began = loop.time()
        worker.partitioned = True
        await _wait_until(system.starts)
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
        system, host = await _start_system("e1")
        await _submit(host, builders.job("a" * 16))
        await _wait_until(system.starts)
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
        await _submit(host, builders.job("b" * 16, builders.step(gpu=7)))
        await _submit(host, builders.job("c" * 16, builders.step(gpu=7)))
        await _wait_until(lambda: len(system.starts()) == 3)
        assert {e for e, _ in system.starts()} == {"e1", "e2"}
        assert not system.workers.overlaps

    builders.run(work())


def test_an_idle_endpoint_is_asked_when_its_machine_has_a_newer_one():
    """Guards against starts on an endpoint that has been replaced."""

    async def work():
        system, host = await _start_system("e1")
        states = host.leader.tables.endpoints.by_id
        await _wait_until(lambda: "e1" in states and states["e1"].contacted)
        system.worker("e1").refuse_connections = True
        system.workers.by_id["e2"] = fakeworkers.FakeWorker("e2", born_ms=2)
        system.machines_by_id["e2"] = "m-e1"
        system.list_worker("e2")
        await _wait_until(lambda: states["e1"].ended)
        await _submit(host, builders.job("a" * 16))
        await _wait_until(lambda: system.worker("e2").starts)

    builders.run(work())


async def _start_with_later_time():
    """Returns a system whose endpoint's next life may have an earlier start."""
    system = _System("e1")
    system.worker("e1").born_ms = 9
    system.list_worker("e1")
    host = system.add_host("h1", first_start=True)
    await _wait_until(lambda: host.leader and host.leader.recovered)
    await _wait_until(
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
            await _submit(host, builders.job("a" * 16, builders.step(gpu=8)))
            await _wait_until(system.starts)
        await asyncio.sleep(0.1)
        _restart_at_earlier_time(system)
        states = host.leader.tables.endpoints.by_id
        await _wait_until(lambda: states["e1"].info.born_ms == 3)
        if idle:
            await _submit(host, builders.job("a" * 16, builders.step(gpu=8)))
        await _wait_until(lambda: len(system.starts()) == 2 - idle)
        system.worker("e1").end_all()
        await _wait_until(
            lambda: host.jobs.state("a" * 16) == model.JobState.COMPLETED
        )
        assert not system.workers.overlaps

    builders.run(work(), seconds=8)


def test_a_new_leader_uses_an_endpoint_that_restarted_at_an_earlier_time():
    """Guards against an endpoint that is lost to a record of its past life."""

    async def work():
        system, host = await _start_with_later_time()
        await _submit(host, builders.job("a" * 16, builders.step(gpu=8)))
        await _wait_until(system.starts)
        await asyncio.sleep(0.1)
        system.kill("h1")
        _restart_at_earlier_time(system)
        system.add_host("h2")
        await _wait_until(lambda: len(system.starts()) == 2)
        assert not system.workers.overlaps

    builders.run(work(), seconds=8)


def test_a_start_after_a_long_pause_of_its_endpoint_is_not_lost():
    """Guards against a lease that is over before the start arrives.

    The endpoint's clock was read long ago and could be slow, but is not.
    """

    async def work():
        system, host = await _start_system("e1")
        state = host.leader.tables.endpoints.by_id["e1"]
        await _wait_until(lambda: state.contacted)
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
        await _submit(host, builders.job("a" * 16))
        await _wait_until(system.starts)
        assert [lease_ms > 0 for lease_ms in leases_ms] == [False, True]
        assert leases_ms[1] <= _BOUNDS.lease_ms
        assert system.starts()[0][1].run == 1

    builders.run(work())
