"""In-memory endpoints that implement fencing, runs and acknowledgements."""

import asyncio
from collections.abc import Callable
import dataclasses

from laburnumgate_placer import model
from laburnumgate_placer import ports


@dataclasses.dataclass
class FakeWorker:
    """A fake endpoint with fault injection.

    Attributes:
      partitioned: whether calls to it time out without effect.
      refuse_connections: whether connections to it are refused.
      drop_answers: whether calls are executed but not answered.
      refuse_stops: whether it answers stops as unhealthy and does nothing.
      drop_stops: whether stops get no answer and have no effect.
      stop_s: how long a stopped run goes on after the answer.
      report_s: latency of a report.
      clock: returns the reading of its clock in reports; it stands still by
        default.
    """

    endpoint_id: str
    born_ms: int = 1
    token: int = 0
    partitioned: bool = False
    drop_answers: bool = False
    refuse_connections: bool = False
    unhealthy: bool = False
    refuse_stops: bool = False
    drop_stops: bool = False
    stop_s: float = 0.0
    report_s: float = 0.0
    clock: Callable[[], int] = lambda: 1_000
    running: dict = dataclasses.field(default_factory=dict)
    ended: list = dataclasses.field(default_factory=list)
    stopped: dict = dataclasses.field(default_factory=dict)
    starts: list = dataclasses.field(default_factory=list)
    paces: list = dataclasses.field(default_factory=list)
    next_end: int = 1
    acked: int = 0
    percent: int = 10
    checkpoint: str = ""
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def stop(self, task, run) -> None:
        """Ends a run that is there, after the time that stops take."""
        if not self.stop_s:
            self._end_stopped(task, run, self.born_ms)
            return
        asyncio.get_running_loop().call_later(
            self.stop_s, self._end_stopped, task, run, self.born_ms
        )

    def _end_stopped(self, task, run, born_ms) -> None:
        if born_ms == self.born_ms and (task, run) in self.running:
            self.end(task, run, model.EndKind.STOPPED, self.checkpoint)

    def end(self, task, run, kind, checkpoint="") -> None:
        self.running.pop((task, run), None)
        self.stopped[task] = max(run, self.stopped.get(task, 0))
        self.ended.append(
            model.ReportedEnd(self.next_end, task, run, kind, checkpoint)
        )
        self.next_end += 1
        self.changed.set()

    def end_all(self, kind=model.EndKind.DONE) -> None:
        for task, run in list(self.running):
            self.end(task, run, kind)

    def restart(self) -> None:
        """Starts a new incarnation with the same id."""
        self.born_ms += 1
        self.token = 0
        self.running.clear()
        self.ended.clear()
        self.stopped.clear()
        self.next_end = 1
        self.acked = 0


class FakeEndpoints:
    """Implements `ports.Endpoints` with fake workers.

    Attributes:
      by_id: the workers.
      overlaps: tasks that were started while another run of them went on, each
        with the ids of both workers.
    """

    def __init__(self, *workers: FakeWorker):
        self.by_id = {worker.endpoint_id: worker for worker in workers}
        self.overlaps = []

    async def start(self, endpoint, order, *, timeout_ms):
        worker = self.by_id[endpoint.endpoint_id]
        refused = await self._reach(worker, order.fencing_token, timeout_ms)
        if refused is not None:
            return refused
        if worker.unhealthy:
            return ports.Refused(ports.Refusal.UNHEALTHY)
        key = (order.task, order.run)
        if key not in worker.running:
            if worker.stopped.get(order.task, 0) >= order.run:
                return ports.Refused(ports.Refusal.SUPERSEDED, 1_000)
            self._record_overlaps(worker, order.task)
            worker.running[key] = order
            worker.starts.append(order)
        return await self._answer(worker, timeout_ms, ports.Done(1_000))

    async def stop(self, endpoint, task, run, fencing_token, *, timeout_ms):
        worker = self.by_id[endpoint.endpoint_id]
        refused = await self._reach(worker, fencing_token, timeout_ms)
        if refused is not None:
            return refused
        if worker.refuse_stops:
            return ports.Refused(ports.Refusal.UNHEALTHY)
        if worker.drop_stops:
            await asyncio.sleep(timeout_ms / 1000)
            return ports.Unknown("lost")
        worker.stop(task, run)
        worker.stopped[task] = max(run, worker.stopped.get(task, 0))
        return await self._answer(worker, timeout_ms, ports.Done(1_000))

    def _record_overlaps(self, worker, task) -> None:
        for other in self.by_id.values():
            if any(running == task for running, _ in other.running):
                self.overlaps.append(
                    (task, other.endpoint_id, worker.endpoint_id)
                )

    async def pace(
        self, endpoint, task, run, percent, fencing_token, *, timeout_ms
    ):
        worker = self.by_id[endpoint.endpoint_id]
        worker.paces.append((task, percent))
        return ports.Done(1_000)

    async def renew(
        self,
        endpoint,
        *,
        deadline_ms,
        fencing_token,
        acknowledged,
        wait_ms,
        timeout_ms,
    ):
        worker = self.by_id[endpoint.endpoint_id]
        refused = await self._reach(worker, fencing_token, timeout_ms)
        if refused is not None:
            return refused
        await asyncio.sleep(worker.report_s)
        worker.acked = max(worker.acked, acknowledged)
        worker.ended = [e for e in worker.ended if e.number > worker.acked]
        if not worker.ended and wait_ms:
            worker.changed.clear()
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await worker.changed.wait()
            except TimeoutError:
                pass
        if worker.partitioned:
            await asyncio.sleep(timeout_ms / 1000)
            return ports.Unknown("cut")
        report = model.Report(
            worker.clock(),
            worker.born_ms,
            tuple(
                model.ReportedRun(
                    task, run, worker.checkpoint, worker.percent, 0.0
                )
                for task, run in worker.running
            ),
            tuple(worker.ended),
        )
        return await self._answer(worker, timeout_ms, report)

    async def _reach(self, worker, token, timeout_ms):
        await asyncio.sleep(0)
        if worker.refuse_connections:
            return ports.Undelivered("refused")
        if worker.partitioned:
            await asyncio.sleep(timeout_ms / 1000)
            return ports.Unknown("cut")
        if token < worker.token:
            return ports.Refused(ports.Refusal.FENCED, 1_000)
        worker.token = token
        return None

    async def _answer(self, worker, timeout_ms, answer):
        if worker.drop_answers:
            await asyncio.sleep(timeout_ms / 1000)
            return ports.Unknown("mute")
        return answer
