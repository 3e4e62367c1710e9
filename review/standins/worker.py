"""Stand-in for a worker, as PROTOCOL.md describes it."""

import asyncio
from collections.abc import Callable
import dataclasses
import functools
import random
import time

from aiohttp import web
import orjson

_TICK_S = 0.01
# Longer than any caller waits.
_SILENT_S = 60


@dataclasses.dataclass
class Run:
    """A run of a task.

    Attributes:
      task: name of the task.
      number: number of the run.
      begun_at_s: monotonic time of the start.
      ends_at_s: monotonic time of the end.
      whole_s: time from the start until it shows 100 percent.
    """

    task: str
    number: int
    begun_at_s: float
    ends_at_s: float
    whole_s: float


class Worker:
    """Runs tasks under leases and fences, until it crashes.

    Attributes:
      worker_id: its id in this life.
      machine: id of its machine, the same in all lives.
      port: port of its API on 127.0.0.1.
      up: whether it runs.
      born_ms: Unix ms of its start.
      late_s: time after which the next start order is carried out, without an
        answer; None to answer it at once.
    """

    def __init__(
        self,
        machine: str,
        zone: str,
        rack: str,
        gpu: int,
        max_hold_ms: int,
        record: Callable[..., None],
    ):
        self.machine = machine
        self.zone = zone
        self.rack = rack
        self.gpu = gpu
        self.port = 0
        self.up = False
        self.worker_id = ""
        self.born_ms = 0
        self.late_s: float | None = None
        self._max_hold_ms = max_hold_ms
        self._record = record
        self._lives = 0
        self._server: asyncio.Server | None = None
        self._handlers: web.Server | None = None
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        self._silent: list[asyncio.StreamWriter] = []

    async def start(self, *, same_id: bool = False) -> None:
        """Begins a life, which knows nothing of the one before."""
        if self._server is not None:
            self._server.close()
        self._lives += 1
        if not same_id:
            self.worker_id = f"i-{self.machine}-{self._lives}"
        self.born_ms = int(time.time() * 1000)
        self._born_s = time.monotonic()
        self._fence = 0
        self._lease_ms = 0
        self._next_end = 1
        self._ended: list[list] = []
        self._highest_run: dict[str, int] = {}
        self.running: dict[tuple[str, int], Run] = {}
        self._handlers = web.Server(
            functools.partial(self._handle, self._lives), access_log=None
        )
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._handlers, "127.0.0.1", self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.up = True
        self._record("worker starts", worker=self.worker_id)

    async def crash(self, *, silent: bool = False) -> None:
        """Ends all that runs without a word.

        Args:
          silent: whether its channels hang from now on; if not, they are reset.
        """
        self._record(
            "worker crashes",
            worker=self.worker_id,
            running=sorted(run.task for run in self.running.values()),
        )
        self.up = False
        self.running.clear()
        self._server.close()
        if silent:
            self._server = await asyncio.start_server(
                self._keep_silent, "127.0.0.1", self.port
            )
            return
        for connection in self._handlers.connections:
            if connection.transport is not None:
                connection.transport.abort()
        await self._handlers.shutdown(0.01)

    def close(self) -> None:
        """Resets the channels that it holds."""
        for writer in self._silent:
            writer.transport.abort()

    def entry(self, beat: int) -> bytes:
        """Returns what it writes to the store of itself."""
        return orjson.dumps(
            {
                "service": "pool",
                "address": f"127.0.0.1:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "capacity": {
                    "cpu": 32_000,
                    "mem_mb": 65_536,
                    "gpu": self.gpu,
                },
                "labels": ["a", self.rack],
                "machine": self.machine,
                "clock_ms": self._clock_ms(),
                "seq_no": beat,
                "born": self.born_ms,
            }
        )

    async def tick_loop(self) -> None:
        """Ends runs that are done, or whose lease has expired."""
        while True:
            await asyncio.sleep(_TICK_S)
            now_s = time.monotonic()
            for run in list(self.running.values()):
                if now_s >= run.ends_at_s:
                    self._end(run, "done")
                elif self._clock_ms() > self._lease_ms:
                    self._end(run, "lapsed")

    def _clock_ms(self) -> int:
        return int(1000 * (time.monotonic() - self._born_s))

    def _end(self, run: Run, how: str) -> None:
        del self.running[(run.task, run.number)]
        self._highest_run[run.task] = max(
            run.number, self._highest_run.get(run.task, 0)
        )
        self._ended.append([self._next_end, run.task, run.number, how, ""])
        self._record(
            "ends",
            worker=self.worker_id,
            task=run.task,
            run=run.number,
            how=how,
            number=self._next_end,
        )
        self._next_end += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def _keep_silent(self, reader, writer) -> None:
        """Holds a channel to a machine without power."""
        self._silent.append(writer)

    async def _handle(self, life: int, request: web.BaseRequest):
        if life != self._lives and self.up:
            # The machine is back and doesn't know the channel.
            request.transport.abort()
        if life != self._lives or not self.up:
            await asyncio.sleep(_SILENT_S)
        body = orjson.loads(await request.read())
        if request.path == "/-/run-start" and self.late_s is not None:
            late_s, self.late_s = self.late_s, None
            self._record("an order is late", task=body["task"])
            task = asyncio.create_task(self._carry_out(body, late_s))
            self._tasks.add(task)
            await asyncio.sleep(_SILENT_S)
        response = await self._respond(request, body)
        if life != self._lives or not self.up:
            await asyncio.sleep(_SILENT_S)
        return response

    async def _carry_out(self, body: dict, late_s: float) -> None:
        """Carries a start order out late, in whatever life is up then."""
        await asyncio.sleep(late_s)
        if not self.up or body["fencing_token"] < self._fence:
            self._record("the late order is not carried out")
            return
        self._fence = body["fencing_token"]
        self._extend_lease(body)
        answer = self._start_run(body)
        self._record(
            "the late order is carried out",
            worker=self.worker_id,
            born_ms=self.born_ms,
            status=answer.status,
        )

    async def _respond(
        self, request: web.BaseRequest, body: dict
    ) -> web.Response:
        expected = request.headers.get("X-Laburnumgate-Expect-Instance")
        if expected != self.worker_id:
            return web.Response(status=421)
        if body.get("fencing_token", 0) < self._fence:
            return self._answer(409, {"reason": "fence"})
        self._fence = body.get("fencing_token", 0)
        self._extend_lease(body)
        match request.path:
            case "/-/run-start":
                return self._start_run(body)
            case "/-/run-stop":
                return self._stop_run(body)
            case "/-/hold":
                return await self._hold(body)
        return web.Response(status=404)

    def _extend_lease(self, body: dict) -> None:
        if "deadline_ms" in body:
            longest_ms = self._clock_ms() + self._max_hold_ms
            deadline_ms = min(body["deadline_ms"], longest_ms)
            self._lease_ms = max(self._lease_ms, deadline_ms)

    def _start_run(self, body: dict) -> web.Response:
        task, number = body["task"], body["run_id"]
        if (task, number) in self.running:
            return self._answer(200, {})
        if body["deadline_ms"] <= self._clock_ms():
            return self._answer(409, {"reason": "late"})
        if number <= self._highest_run.get(task, 0):
            return self._answer(409, {"reason": "old"})
        spec = orjson.loads(body["task_spec"])
        work_s = _work_s(task, spec)
        now_s = time.monotonic()
        self.running[(task, number)] = Run(
            task,
            number,
            now_s,
            now_s + work_s,
            # A task that lasts is at work after a short startup.
            spec.get("startup_ms", 1000 * work_s) / 1000,
        )
        self._record(
            "starts",
            worker=self.worker_id,
            task=task,
            run=number,
            fence=body["fencing_token"],
        )
        return self._answer(200, {})

    def _stop_run(self, body: dict) -> web.Response:
        task, number = body["task"], body["run_id"]
        run = self.running.get((task, number))
        if run is not None:
            self._end(run, "stopped")
        self._highest_run[task] = max(number, self._highest_run.get(task, 0))
        return self._answer(200, {})

    async def _hold(self, body: dict) -> web.Response:
        cursor = body["ack_cursor"]
        for row in self._ended:
            if row[0] <= cursor:
                self._record(
                    "end taken note of", worker=self.worker_id, number=row[0]
                )
        self._ended = [row for row in self._ended if row[0] > cursor]
        until_s = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self._ended and time.monotonic() < until_s:
            changed = self._changed
            try:
                async with asyncio.timeout(until_s - time.monotonic()):
                    await changed.wait()
            except TimeoutError:
                break
        now_s = time.monotonic()
        running = []
        for run in self.running.values():
            percent = int(100 * (now_s - run.begun_at_s) / run.whole_s)
            running.append([run.task, run.number, "", min(100, percent), 0])
        return self._answer(
            200, {"running": running, "ended": self._ended[:500]}
        )

    def _answer(self, status: int, content: dict) -> web.Response:
        content |= {"clock_ms": self._clock_ms(), "born": self.born_ms}
        return web.Response(
            status=status,
            body=orjson.dumps(content),
            content_type="application/json",
        )


def _work_s(task: str, spec: dict) -> float:
    """Returns how long a task runs, the same on each worker.

    The last of the times holds for all later steps.
    """
    mean_ms = spec["ms"][min(int(task.split(".")[2]), len(spec["ms"]) - 1)]
    spread = spec.get("spread", 0)
    return mean_ms * random.Random(task).uniform(1 - spread, 1 + spread) / 1000
