"""Stand-in for the API of machines, as PROTOCOL.md describes it."""

import asyncio
from collections.abc import Callable

from aiohttp import web
import orjson
import worker as worker_module


class Cloud:
    """Lists machines and carries out upkeeps, with a fence for each machine.

    Attributes:
      down: ids of the machines that are down for their upkeep.
    """

    def __init__(
        self,
        workers: list[worker_module.Worker],
        maintenance_s: float,
        record: Callable[..., None],
    ):
        self.down: set[str] = set()
        self._workers = workers
        self._maintenance_s = maintenance_s
        self._record = record
        self._fences: dict[str, int] = {}
        self._begun: set[tuple[str, int]] = set()
        self._tasks: set[asyncio.Task] = set()

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Handles one call."""
        if request.path == "/-/machines":
            return _json(200, {"machines": self._rows(), "next_token": None})
        if request.path != "/-/machine-upkeep":
            return web.Response(status=404)
        body = orjson.loads(await request.read())
        machine, wave = body["machine"], body["wave"]
        fence = int(request.headers["X-Laburnumgate-Fencing-Token"])
        holder = request.headers["X-Laburnumgate-Lease-Holder"]
        status, reason = self._order(machine, wave, fence)
        self._record(
            "upkeep ordered",
            machine=machine,
            wave=wave,
            holder=holder,
            fence=fence,
            status=status,
            reason=reason,
            down=sorted(self.down),
        )
        if reason == "begins":
            self.down.add(machine)
            task = asyncio.create_task(self._maintain(machine))
            self._tasks.add(task)
        return _json(status, {"reason": reason} if status == 409 else {})

    def _order(self, machine: str, wave: int, fence: int) -> tuple[int, str]:
        if machine not in {worker.machine for worker in self._workers}:
            return 400, "no such machine"
        if fence < self._fences.get(machine, 0):
            return 409, "fence"
        self._fences[machine] = fence
        if machine in self.down:
            return 409, "busy"
        if (machine, wave) in self._begun:
            return 200, "done before"
        self._begun.add((machine, wave))
        return 200, "begins"

    async def _maintain(self, machine: str) -> None:
        worker = next(w for w in self._workers if w.machine == machine)
        await worker.crash()
        await asyncio.sleep(self._maintenance_s)
        await worker.start()
        self.down.discard(machine)
        self._record("upkeep ends", machine=machine)

    def _rows(self) -> list[dict]:
        return [
            {
                "machine": worker.machine,
                "pool": "pool",
                "state": "upkeep" if worker.machine in self.down else "up",
                "zone": worker.zone,
                "labels": ["a", worker.rack],
                "id": worker.worker_id,
            }
            for worker in self._workers
        ]


def _json(status: int, content: dict) -> web.Response:
    return web.Response(
        status=status,
        body=orjson.dumps(content),
        content_type="application/json",
    )
