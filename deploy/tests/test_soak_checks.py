"""Tests that the soak's checks report the violations that they look for."""

import asyncio
import random
import signal
import time
import types
from unittest import mock

import orjson
import pytest
import soak
import standin_capacity
import standin_crashes
import standin_worker

_JOB_ID = "0123456789abcdef"
_TASK = f"{_JOB_ID}.0.0.0"


@pytest.fixture
def fleet():
    return standin_worker.Fleet(random.Random(1), random.Random(2))


def _add_worker(fleet, name="w0"):
    return standin_worker.Worker(fleet, name, 8, 1.0)


def _start(worker, number, task=_TASK, crashing=(), **spec):
    spec = {
        "s": 60.0,
        "gang": False,
        "counts": [4],
        "gpu": 1,
        "crashing": list(crashing),
    } | spec
    run = standin_worker.Run(task, number, spec, worker)
    worker.running[(task, number)] = run
    worker.fleet.check_start(run)
    return run


class _Proxy:
    def __init__(self):
        self.down = False

    def set_down(self, down):
        self.down = down


def test_third_start_after_three_crashes_is_a_violation(fleet):
    worker = _add_worker(fleet)
    for number in (1, 2, 3):
        _start(worker, number)
        worker.restart()
    for number in (4, 5):
        worker.end(_start(worker, number), "stopped")
    assert not fleet.violations
    worker.end(_start(worker, 6), "stopped")
    assert len(fleet.violations) == 1
    assert "BUDGET" in fleet.violations[0]


def test_crashes_without_the_task_do_not_count(fleet):
    worker = _add_worker(fleet)
    for number in range(1, 7):
        worker.end(_start(worker, number), "stopped")
        worker.restart()
    assert not fleet.violations


def test_failed_state_needs_two_crashes_under_one_task(fleet):
    worker = _add_worker(fleet)
    log = fleet.crash_log
    _start(worker, 1)
    worker.restart()
    _start(worker, 2, task=f"{_JOB_ID}.0.0.1")
    worker.restart()
    assert log.check_state(_JOB_ID, "failed", True)
    _start(worker, 3)
    worker.restart()
    assert log.check_state(_JOB_ID, "failed", True) is None


@pytest.mark.parametrize("gang", [False, True])
def test_failed_state_needs_all_attempts(fleet, gang):
    worker = _add_worker(fleet)
    log = fleet.crash_log
    for number in range(1, standin_crashes.ATTEMPTS + 1):
        assert log.check_state(_JOB_ID, "failed", False)
        worker.end(_start(worker, number, gang=gang), "failed")
    assert log.check_state(_JOB_ID, "failed", False) is None


def test_failures_of_different_tasks_are_not_added(fleet):
    worker = _add_worker(fleet)
    for index in range(standin_crashes.ATTEMPTS):
        run = _start(worker, 1, task=f"{_JOB_ID}.0.0.{index}")
        worker.end(run, "failed")
    assert fleet.crash_log.check_state(_JOB_ID, "failed", False)


def test_crashing_job_must_not_be_shown_as_completed(fleet):
    log = fleet.crash_log
    assert log.check_state(_JOB_ID, "completed", True)
    assert log.check_state(_JOB_ID, "completed", False) is None
    assert log.check_state(_JOB_ID, "cancelled", True) is None


def test_crashing_task_crashes_its_worker_and_it_is_back_later(fleet):
    worker = _add_worker(fleet)
    worker.proxy = _Proxy()
    ids = set()
    for number in range(1, 21):
        worker.lease_s = 60.0
        worker.ended.append([1, "other", 1, "done", ""])
        run = _start(worker, number, crashing=["0.0"], s=0.0)
        run.crash_at = run.started_at + 0.1
        fleet.tick()
        assert worker.running
        worker.crash_or_boot(run.crash_at)
        assert worker.proxy.down
        assert not worker.running
        assert not worker.ended
        worker.restart()
        assert worker.back_at is not None
        down_s = worker.back_at - run.started_at
        assert 1.0 <= down_s <= 6.5
        worker.born = 0
        worker.crash_or_boot(worker.back_at)
        assert not worker.proxy.down
        assert worker.born > 0
        ids.add(worker.id)
    assert 2 < len(ids) < 20
    assert fleet.crash_log.crashes_by_task[_TASK] == 20


def test_crashing_share_is_drawn():
    rng = random.Random(3)
    drawn = [
        standin_crashes.draw_crashing(rng, 0.06, [2, 1]) for _ in range(2000)
    ]
    crashing = [tasks for tasks in drawn if tasks]
    assert 60 <= len(crashing) <= 180
    assert ["0.0", "0.1", "1.0"] in crashing
    assert ["1.0"] in crashing


def test_shrunk_capacity_counts_after_contact_and_a_heartbeat():
    capacity = standin_capacity.Capacity(8)
    capacity.set(4, 100.0)
    assert capacity.limit_at(99.0) == 8
    assert capacity.limit_at(104.4) == 8
    assert capacity.limit_at(104.6) == 4


def test_grown_capacity_counts_at_once():
    capacity = standin_capacity.Capacity(8)
    capacity.set(4, 100.0)
    capacity.set(8, 110.0)
    assert capacity.limit_at(109.9) == 4
    assert capacity.limit_at(110.0) == 8
    capacity.set(2, 111.0)
    assert capacity.limit_at(115.4) == 8
    assert capacity.limit_at(115.6) == 2


def test_start_over_a_shrunk_capacity_is_a_violation(fleet):
    worker = _add_worker(fleet)
    worker.capacity.set(4, time.monotonic() - 100.0)
    _start(worker, 1, gpu=4)
    assert not fleet.violations
    _start(worker, 1, task=f"{_JOB_ID}.0.0.1")
    assert len(fleet.violations) == 1
    assert "LIMIT" in fleet.violations[0]


def test_order_executed_late_counts_from_its_arrival(fleet):
    worker = _add_worker(fleet)
    shrunk_at = time.monotonic() - 100.0
    worker.capacity.set(4, shrunk_at)
    run = _start(worker, 1, gpu=4)
    run.ordered_at = shrunk_at + 4.0
    run.spec["gpu"] = 5
    fleet.check_start(run)
    assert not [v for v in fleet.violations if "LIMIT" in v]


def test_running_tasks_over_a_shrunk_capacity_are_no_violation(fleet):
    worker = _add_worker(fleet)
    _start(worker, 1, gpu=8)
    worker.capacity.set(2, time.monotonic() - 100.0)
    fleet.tick()
    assert not fleet.violations


def test_start_over_the_limit_of_its_account_is_a_violation(fleet):
    fleet.limit_by_account = {"t": 10}
    workers = [_add_worker(fleet, f"w{number}") for number in range(3)]
    for index in range(13):
        task = f"{_JOB_ID}.0.0.{index}"
        account = "u" if index == 5 else "t"
        _start(workers[index % 3], 1, task=task, account=account)
    # 12 of the account run: a tenth and one task more than its limit.
    assert not fleet.violations
    _start(workers[0], 1, task=f"{_JOB_ID}.0.1.0", account="u")
    assert not fleet.violations
    _start(workers[1], 1, task=f"{_JOB_ID}.0.1.1", account="t")
    assert len(fleet.violations) == 1
    assert "QUOTA" in fleet.violations[0]


def test_ended_runs_of_an_account_do_not_count(fleet):
    fleet.limit_by_account = {"t": 1}
    worker = _add_worker(fleet)
    for index in range(6):
        run = _start(
            worker, 1, task=f"{_JOB_ID}.0.0.{index}", gpu=2, account="t"
        )
        worker.end(run, "stopped")
    assert not fleet.violations


def _order(worker, call, token=1, number=1):
    spec = {"s": 60.0, "gang": False, "counts": [4], "gpu": 1}
    body = {
        "task": _TASK,
        "run_id": number,
        "task_spec": orjson.dumps(spec).decode(),
        "deadline_ms": 60_000,
        "fencing_token": token,
    }
    request = types.SimpleNamespace(
        path=f"/-/run-{call}",
        headers={"X-Laburnumgate-Expect-Instance": worker.id},
        read=mock.AsyncMock(return_value=orjson.dumps(body)),
    )
    return asyncio.run(worker.handle(request)).status


def test_a_run_that_is_being_stopped_counts_as_running(fleet):
    fleet.max_stop_s = 0.2
    first, second = _add_worker(fleet, "w0"), _add_worker(fleet, "w1")
    assert _order(first, "start") == 200
    assert _order(first, "stop") == 200
    run = first.running[(_TASK, 1)]
    assert 0.1 <= run.stopped_at - run.stop_at <= 0.2
    assert _order(second, "start", token=2, number=2) == 200
    assert len(fleet.violations) == len(fleet.overlaps) == 1
    run.stopped_at = 0.0
    fleet.tick()
    assert [row[3] for row in first.ended] == ["stopped"]
    records = [r.describe(run.started_at, {1: "h0"}) for r in fleet.overlaps[0]]
    assert "on w0" in records[0]
    assert "ordered by h0 token 1, not late; start +0.000; stop" in records[0]
    assert "end stopped" in records[0]
    assert "ordered by unknown token 2" in records[1]
    assert "stop never; end never; noted never" in records[1]


@pytest.mark.parametrize("status", [429, 503])
def test_an_unhealthy_worker_does_nothing(fleet, status):
    worker = _add_worker(fleet)
    assert _order(worker, "start") == 200
    worker.refuse(status, {"/-/run-stop"}, 60.0)
    assert _order(worker, "stop") == status
    assert _order(worker, "start", number=2) == 200
    assert len(worker.running) == 2
    assert not worker.highest_run_by_task
    worker.refuse(status, {"/-/run-stop"}, 0.0)
    assert _order(worker, "stop") == 200
    assert [row[2] for row in worker.ended] == [1]


def test_a_restart_under_a_new_id_keeps_the_first_part(fleet):
    worker = _add_worker(fleet)
    run = _start(worker, 1)
    worker.restart()
    assert (worker.id, run.outcome) == ("w0", "restart")
    worker.restart(new_id=True)
    worker.restart(new_id=True)
    assert worker.id == "w0-r2"


@pytest.fixture
def idle_host(tmp_path, monkeypatch):
    """A host whose process does nothing, and all processes that it started."""
    daemon = tmp_path / "platform" / "laburnumgated.py"
    daemon.parent.mkdir()
    daemon.write_text("import time\ntime.sleep(60)\n")
    monkeypatch.setattr(soak, "_ROOT", tmp_path)
    started = []
    create = asyncio.create_subprocess_exec

    async def create_recorded(*args, **kwargs):
        process = await create(*args, **kwargs)
        started.append(process)
        return process

    monkeypatch.setattr(asyncio, "create_subprocess_exec", create_recorded)
    values = {"name": "h0", "zone": "z0", "store": 1, "cores": 1, "ip": "::1"}
    return soak.HostProcess(tmp_path, "h0", values, ""), started


def _running(processes):
    return sum(process.returncode is None for process in processes)


async def _end_all(processes):
    """Kills the processes; returns how many were still running."""
    running = _running(processes)
    for process in processes:
        if process.returncode is None:
            process.kill()
            await process.wait()
    return running


def test_a_host_restarted_twice_at_once_runs_once(idle_host):
    """Guards against a host process that outlives its soak."""

    async def restart_twice():
        host, started = idle_host
        await host.start()
        await asyncio.gather(
            host.restart(signal.SIGTERM), host.restart(signal.SIGKILL)
        )
        running = _running(started)
        await host.end()
        return running, await _end_all(started)

    assert asyncio.run(restart_twice()) == (1, 0)


def test_a_restart_under_way_does_not_outlive_the_end(idle_host):
    """Guards against a host that a restart starts after its soak has ended."""

    async def end_during_restart():
        host, started = idle_host
        await host.start()
        restart = asyncio.create_task(host.restart(signal.SIGKILL))
        await started[0].wait()
        await host.end()
        await restart
        return await _end_all(started)

    assert asyncio.run(end_during_restart()) == 0
