"""Stand-ins for workers that detect guarantee violations at run time."""

import asyncio
import dataclasses
import random
import time

from aiohttp import web
import orjson
import standin_capacity
import standin_crashes

GANG_TIMEOUT_S = 3.0
MAX_LEASE_S = 3.0
# The platform tolerates starts above an account's limit by this share and one
# task more.
QUOTA_OVERRUN = 0.1
# Time after a restart in which a late order may be carried out: the interval of
# the calls of a leader, and what they take on a busy machine.
UNSEEN_S = 0.5
# Orders executed longer than this after their arrival are late.
_LATE_S = 0.1


@dataclasses.dataclass(eq=False)
class Run:
    """A run of a task on a worker.

    Attributes:
      task: name of the task, `job.occurrence.step.index`.
      number: number of the run.
      spec: payload of the job, which describes its steps.
      worker: the worker that executes the run.
      worker_id: id of that worker when the run started.
      crash_at: monotonic time at which a crashing task crashes its worker, in
        seconds; None for other tasks.
      ordered_at: monotonic time at which the order arrived, in seconds; it is
        before the start if the order was executed late.
      started_at: monotonic time of the start, in seconds.
      fencing_token: token of the order that started it.
      born: start of the worker's incarnation, in Unix milliseconds.
      stop_at: monotonic time at which the first stop arrived, in seconds.
      stopped_at: monotonic time at which that stop ends the run, in seconds.
      ended_at: monotonic time of the end, in seconds.
      outcome: how it ended; `restart` if it was dropped with its worker.
      noted_at: monotonic time of the acknowledgement of the end, in seconds.
    """

    task: str
    number: int
    spec: dict
    worker: "Worker"
    done_at: float = 0.0
    worker_id: str = ""
    crash_at: float | None = None
    ordered_at: float = dataclasses.field(default_factory=time.monotonic)
    started_at: float = dataclasses.field(default_factory=time.monotonic)
    fencing_token: int = 0
    born: int = 0
    stop_at: float | None = None
    stopped_at: float | None = None
    ended_at: float | None = None
    outcome: str = ""
    noted_at: float | None = None

    @property
    def gang_key(self) -> tuple:
        """Key that the runs of one gang have in common."""
        return (self.task.rpartition(".")[0], self.number)

    @property
    def crashing(self) -> bool:
        """Whether the task crashes each worker that starts it."""
        step_and_index = self.task.split(".", 2)[2]
        return step_and_index in self.spec.get("crashing", ())

    def describe(self, since: float, host_by_token: dict[int, str]) -> str:
        """Returns a record of the run.

        Args:
          since: monotonic time that times are relative to, in seconds.
          host_by_token: names of the hosts by their fencing tokens.
        """
        host = host_by_token.get(self.fencing_token, "unknown")
        late_s = self.started_at - self.ordered_at
        times = {
            "start": self.started_at,
            "stop": self.stop_at,
            f"end {self.outcome}".strip(): self.ended_at,
            "noted": self.noted_at,
        }
        parts = [
            f"{self.task} run {self.number} on {self.worker_id}"
            f" born {self.born} ordered by {host} token {self.fencing_token},"
            f" {f'late by {late_s:.3f} s' if late_s > _LATE_S else 'not late'}"
        ]
        for name, at in times.items():
            parts.append(
                f"{name} never" if at is None else f"{name} {at - since:+.3f}"
            )
        return "; ".join(parts)


class Fleet:
    """All workers, and the state needed to detect violations.

    Attributes:
      violations: descriptions of the violations found so far.
      done: tasks that ended as done.
      acked_done: tasks whose end as done was acknowledged by a host.
      started: ids of the jobs that started a run.
      end_counts: number of ended runs by outcome.
      late_order_share: fraction of the orders that are executed late.
      crash_rng: source of randomness of the crashes.
      crash_log: crashes and failed runs by task.
      limit_by_account: accelerators that each account may have running; empty
        without limits.
      overlaps: pairs of runs of one task that were there at the same time.
      max_lease_s: longest lease in seconds.
      max_stop_s: longest time in seconds that a stopped run goes on.
      stop_rng: source of randomness of that time.
      started_at_by_job: monotonic time of the latest start of each job whose
        order was not late, in seconds.
      unseen_until: monotonic time until which no leader may be able to watch
        the workers, in seconds.
    """

    def __init__(self, rng, crash_rng):
        self.rng = rng
        self.crash_rng = crash_rng
        self.crash_log = standin_crashes.CrashLog()
        self.workers: list[Worker] = []
        self.violations: list[str] = []
        self.done: set[str] = set()
        self.acked_done: set[str] = set()
        self.started: set[str] = set()
        self.end_counts: dict[str, int] = {}
        self.late_order_share = 0.0
        self.limit_by_account: dict[str, int] = {}
        self.overlaps: list[tuple[Run, Run]] = []
        self.max_lease_s = MAX_LEASE_S
        self.max_stop_s = 0.0
        self.stop_rng = random.Random(0)
        self.started_at_by_job: dict[str, float] = {}
        self.unseen_until = 0.0
        self._late_orders: set[asyncio.Task] = set()

    def check_start(self, run: Run) -> None:
        """Records a violation if the run must not start now.

        A task must not run twice at the same time, start again after an
        acknowledged end, start before the steps that it depends on, start too
        often after it crashed workers, or exceed the accelerators of its
        worker or the limit of its account.
        """
        job_id, occurrence, step, _ = run.task.split(".")
        self.started.add(job_id)
        if run.started_at - run.ordered_at <= _LATE_S:
            self.started_at_by_job[job_id] = run.started_at
        for worker in self.workers:
            for other in worker.running.values():
                if other is not run and other.task == run.task:
                    self.overlaps.append((other, run))
                    self._record_violation(
                        run,
                        f"also running as run {other.number} on {worker.id}",
                    )
        if run.task in self.acked_done:
            self._record_violation(
                run, "started after its end as done was acknowledged"
            )
        for before in run.spec.get("after", {}).get(step, []):
            for index in range(run.spec["counts"][before]):
                name = f"{job_id}.{occurrence}.{before}.{index}"
                if name not in self.done:
                    self._record_violation(
                        run, f"started before {name} was done"
                    )
        over_budget = self.crash_log.check_start(run.task)
        if over_budget:
            self._record_violation(run, over_budget)
        used = sum(r.spec["gpu"] for r in run.worker.running.values())
        limit = run.worker.capacity.limit_at(run.ordered_at)
        if used > limit:
            self._record_violation(
                run,
                f"LIMIT: exceeds worker capacity, {used} accelerators in use,"
                f" at most {limit} allowed",
            )

        self._check_account(run)

    def _check_account(self, run: Run) -> None:
        """Records a violation if a start exceeds its account's limit."""
        account = run.spec.get("account")
        limit = self.limit_by_account.get(account)
        if limit is None:
            return
        used = sum(
            other.spec["gpu"]
            for worker in self.workers
            for other in worker.running.values()
            if other.spec.get("account") == account
        )
        if used > limit * (1 + QUOTA_OVERRUN) + run.spec["gpu"]:
            self._record_violation(
                run,
                f"QUOTA: account {account} has {used} accelerators running,"
                f" at most {limit} allowed",
            )

    def execute_late(
        self, worker: "Worker", path: str, body: dict, late_s: float
    ) -> None:
        """Executes an order later, also in the next life of its worker."""
        task = asyncio.create_task(
            self._execute_late(worker, worker.id, path, body, late_s)
        )
        self._late_orders.add(task)
        task.add_done_callback(self._late_orders.discard)

    async def _execute_late(
        self,
        worker: "Worker",
        worker_id: str,
        path: str,
        body: dict,
        late_s: float,
    ) -> None:
        arrived_at = time.monotonic()
        await asyncio.sleep(late_s)
        if worker.back_at is not None or worker.id != worker_id:
            return
        # Soon after a restart, no leader can know of it.
        watched_at = max(worker.reachable_at + UNSEEN_S, self.unseen_until)
        if worker.booted_at < arrived_at or time.monotonic() > watched_at:
            worker.handle_order(path, body, arrived_at)

    def tick(self) -> None:
        """Expires leases, ends finished runs, and crashes and boots workers."""
        now = time.monotonic()
        gangs: dict[tuple, list[Run]] = {}
        for worker in self.workers:
            worker.expire(now)
            worker.crash_or_boot(now)
            for run in list(worker.running.values()):
                if run.stopped_at is not None and now >= run.stopped_at:
                    worker.end(run, "stopped")
                elif run.spec["gang"]:
                    gangs.setdefault(run.gang_key, []).append(run)
                elif run.crashing or run.stopped_at is not None:
                    continue
                elif now - run.started_at >= run.spec["s"]:
                    worker.end(run, self._random_outcome())
        for members in gangs.values():
            self._tick_gang(members, now)

    def _tick_gang(self, members: list[Run], now: float) -> None:
        step = members[0].task.split(".")[2]
        size = members[0].spec["counts"][int(step)]
        all_started_at = max(run.started_at for run in members)
        if (
            len(members) == size
            and not any(run.crashing for run in members)
            and not any(run.stopped_at is not None for run in members)
            and now - all_started_at >= members[0].spec["s"]
        ):
            outcome = self._random_outcome()
            for run in members:
                run.worker.end(run, outcome)
                if outcome == "failed":
                    outcome = "broken"
            return
        whole = getattr(members[0], "whole", False)
        if len(members) == size:
            for run in members:
                run.whole = True
        elif whole:
            for run in members:
                run.worker.end(run, "broken")
        elif now - min(r.started_at for r in members) > GANG_TIMEOUT_S:
            for run in members:
                run.worker.end(run, "alone")

    def _random_outcome(self) -> str:
        return "failed" if self.rng.random() < 0.05 else "done"

    def _record_violation(self, run: Run, text: str) -> None:
        self.violations.append(
            f"{run.task} run {run.number} on {run.worker.id}: {text}"
        )


class Worker:
    """A worker with leases, fencing, runs and unacknowledged ends.

    Attributes:
      capacity: its accelerators.
      back_at: monotonic time at which a crashed worker is back, in seconds;
        None while it is up.
      proxy: the proxy that its connections pass through, if any.
      booted_at: monotonic time of the start of its life, in seconds.
      reachable_at: monotonic time from which it can be reached since.
    """

    def __init__(
        self, fleet: Fleet, worker_id: str, gpu: int, clock_rate: float
    ):
        self.fleet = fleet
        self.id = worker_id
        self.proxy = None
        self.back_at: float | None = None
        self._first_id = worker_id
        self._crash_count = 0
        self._restart_count = 0
        # Unhealthy until this monotonic time, for these paths.
        self._refuse_until = 0.0
        self._refuse_paths: set[str] = set()
        self._refuse_status = 0
        self.running: dict[tuple, Run] = {}
        self.capacity = standin_capacity.Capacity(gpu)
        self.clock_rate = clock_rate
        # Start orders that arrive until this monotonic time are late by so
        # many seconds.
        self._late_until = 0.0
        self._late_s = 0.0
        self.born = int(time.time() * 1000)
        self._reset_state()
        fleet.workers.append(self)

    def _reset_state(self) -> None:
        self.token = 0
        self.lease_s = 0.0
        now = time.monotonic()
        for run in self.running.values():
            run.ended_at, run.outcome = now, "restart"
        self.running = {}
        self._run_by_end: dict[int, Run] = {}
        self.ended: list[list] = []
        self.highest_run_by_task: dict[str, int] = {}
        self.next_end = 1
        self.booted_at = self.reachable_at = time.monotonic()

    def refuse(self, status: int, paths: set[str], duration_s: float) -> None:
        """Answers calls to these paths as an unhealthy worker for some time."""
        self._refuse_status = status
        self._refuse_paths = paths
        self._refuse_until = time.monotonic() + duration_s

    def delay_starts(self, late_s: float, duration_s: float) -> None:
        """Leaves start orders unanswered and carries them out late."""
        self._late_s = late_s
        self._late_until = time.monotonic() + duration_s

    def restart(self, new_id: bool = False) -> None:
        """Restarts the worker as a new incarnation, by default with its id."""
        if self.back_at is not None:
            return
        if new_id:
            self._restart_count += 1
            self.id = f"{self._first_id}-r{self._restart_count}"
        self.fleet.crash_log.record_crash(r.task for r in self.running.values())
        self.born = int(time.time() * 1000)
        self._reset_state()

    def crash(self) -> None:
        """Drops all runs and connections; the worker is back later."""
        self.fleet.crash_log.record_crash(r.task for r in self.running.values())
        self._reset_state()
        self._crash_count += 1
        down_s = standin_crashes.draw_down_s(self.fleet.crash_rng)
        self.back_at = time.monotonic() + down_s
        if self.proxy is not None:
            self.proxy.set_down(True)

    def crash_or_boot(self, now: float) -> None:
        """Crashes under a crashing task, or boots, if the time has come."""
        if self.back_at is None:
            for run in self.running.values():
                if run.crash_at is not None and now >= run.crash_at:
                    self.crash()
                    return
        elif now >= self.back_at:
            self.back_at = None
            if not standin_crashes.draw_same_id(self.fleet.crash_rng):
                self.id = f"{self._first_id}-{self._crash_count}"
            self.born = int(time.time() * 1000)
            self._reset_state()
            if self.proxy is not None:
                self.proxy.set_down(False)

    def clock_s(self) -> float:
        """Returns the worker's clock, which runs at its own rate."""
        return (time.monotonic() - self.booted_at) * self.clock_rate

    def expire(self, now: float) -> None:
        """Ends all runs if the lease has expired."""
        if self.running and self.clock_s() > self.lease_s:
            for run in list(self.running.values()):
                self.end(run, "lapsed")

    def end(self, run: Run, outcome: str) -> None:
        """Ends a run and adds the end to the next reports."""
        if self.running.pop((run.task, run.number), None) is None:
            return
        self.highest_run_by_task[run.task] = max(
            run.number, self.highest_run_by_task.get(run.task, 0)
        )
        if outcome == "failed":
            self.fleet.crash_log.record_failed(
                run.task, run.number, run.spec["gang"]
            )
        if outcome == "done":
            self.fleet.done.add(run.task)
            if run.spec["gang"]:
                step = run.task.rpartition(".")[0]
                size = run.spec["counts"][int(step.split(".")[2])]
                self.fleet.done.update(f"{step}.{n}" for n in range(size))
        run.ended_at, run.outcome = time.monotonic(), outcome
        self._run_by_end[self.next_end] = run
        self.ended.append([self.next_end, run.task, run.number, outcome, ""])
        self.next_end += 1
        self.fleet.end_counts[outcome] = (
            self.fleet.end_counts.get(outcome, 0) + 1
        )

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Handles one request."""
        body = orjson.loads(await request.read())
        expected = request.headers.get("X-Laburnumgate-Expect-Instance")
        if self.back_at is not None or expected != self.id:
            return web.Response(status=421)
        if (
            request.path in self._refuse_paths
            and time.monotonic() < self._refuse_until
        ):
            return web.Response(status=self._refuse_status)
        crash_count = self._crash_count
        arrived_at = time.monotonic()
        if request.path == "/-/hold":
            return await self._handle_hold(body)
        if request.path == "/-/run-start" and arrived_at < self._late_until:
            self.fleet.execute_late(self, request.path, body, self._late_s)
            await asyncio.sleep(30)
            return web.Response(status=421)
        if self.fleet.rng.random() < self.fleet.late_order_share:
            # Executed up to 2.5 s late, and once more when it is answered, 30 s
            # after that.
            await asyncio.sleep(self.fleet.rng.uniform(0.5, 2.5))
            if self._crash_count == crash_count:
                self.handle_order(request.path, body, arrived_at)
            await asyncio.sleep(30)
            if self._crash_count != crash_count:
                return web.Response(status=421)
        status, answer = self.handle_order(request.path, body, arrived_at)
        return self._response(answer, status)

    def handle_order(
        self, path: str, body: dict, arrived_at: float
    ) -> tuple[int, dict]:
        """Carries out an order; returns status and content of the answer."""
        if not self._accept_token(body):
            return 409, {"reason": "fence"}
        key = (body["task"], body["run_id"])
        if path == "/-/run-stop":
            if key in self.running:
                self._stop(self.running[key])
            self.highest_run_by_task[key[0]] = max(
                key[1], self.highest_run_by_task.get(key[0], 0)
            )
            return 200, {}
        if body["deadline_ms"] / 1000 <= self.clock_s():
            return 409, {"reason": "late"}
        self._extend_lease(body)
        if key in self.running:
            return 200, {}
        if self.highest_run_by_task.get(key[0], 0) >= key[1]:
            return 409, {"reason": "old"}
        run = Run(*key, orjson.loads(body["task_spec"]), self)
        run.ordered_at = arrived_at
        run.fencing_token = body["fencing_token"]
        run.worker_id, run.born = self.id, self.born
        self.running[key] = run
        self.fleet.check_start(run)
        if run.crashing:
            delay_s = standin_crashes.draw_crash_delay_s(self.fleet.crash_rng)
            run.crash_at = run.started_at + delay_s
            self.crash_or_boot(run.started_at)
        return 200, {}

    def _stop(self, run: Run) -> None:
        """Ends a run at once, or later if stops take time in the fleet."""
        if run.stop_at is not None:
            return
        run.stop_at = time.monotonic()
        if not self.fleet.max_stop_s:
            self.end(run, "stopped")
            return
        stop_s = self.fleet.stop_rng.uniform(0.5, 1.0) * self.fleet.max_stop_s
        run.stopped_at = run.stop_at + stop_s

    async def _handle_hold(self, body: dict) -> web.Response:
        if not self._accept_token(body):
            return self._response({"reason": "fence"}, 409)
        self._extend_lease(body)
        for row in self.ended:
            if row[0] > body["ack_cursor"]:
                continue
            self._run_by_end.pop(row[0]).noted_at = time.monotonic()
            if row[3] == "done":
                self.fleet.acked_done.add(row[1])
        self.ended = [r for r in self.ended if r[0] > body["ack_cursor"]]
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ended and time.monotonic() < until:
            await asyncio.sleep(0.02)
        running = [
            [r.task, r.number, "", self._progress_percent(r), 0]
            for r in self.running.values()
        ]
        return self._response({"running": running, "ended": self.ended})

    def _progress_percent(self, run: Run) -> int:
        worked = time.monotonic() - run.started_at
        return min(100, int(100 * worked / run.spec["s"]))

    def _accept_token(self, body: dict) -> bool:
        if body["fencing_token"] < self.token:
            return False
        self.token = body["fencing_token"]
        return True

    def _extend_lease(self, body: dict) -> None:
        if body.get("deadline_ms"):
            requested_s = body["deadline_ms"] / 1000
            max_deadline_s = self.clock_s() + self.fleet.max_lease_s
            self.lease_s = max(self.lease_s, min(requested_s, max_deadline_s))

    def _response(self, content: dict, status: int = 200) -> web.Response:
        content |= {"clock_ms": int(self.clock_s() * 1000), "born": self.born}
        return web.Response(
            body=orjson.dumps(content),
            status=status,
            content_type="application/json",
        )
