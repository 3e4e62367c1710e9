"""Stand-in for the endpoints of one rack.

Run as `python -m laburnumgate_standins.endpoint --port N --prefix ID
--count 8`. Each endpoint serves its API under `/ID-K`. A task's payload is
JSON: `work_ms` is the actual run time at speed 1, `fail` makes the task fail,
and `echo` is copied to the result.
"""

import asyncio
import contextlib
import dataclasses
import json
import time
import uuid

import click
import sanic

from laburnumgate_standins import serve

ADVANCE_INTERVAL_MS = 20
MAX_WAIT_MS = 300_000
_TERMINAL_STATES = ("finished", "failed", "stopped", "lapsed", "checkpointed")


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000


@dataclasses.dataclass
class Task:
    """A task on an endpoint and its progress. Durations are in ms."""

    task_id: str
    accelerators: int
    cpus: int
    memory_mb: int
    payload: dict
    lease_until_ms: int
    throttle_percent: int
    left_ms: float
    state: str
    rev: int
    holder: str
    result: str = ""
    checkpoint: str = ""
    continues: bool = False
    runs: int = 0


class Endpoint:
    """State of one endpoint: exclusive lease, tasks and report revision."""

    def __init__(self, name: str, accelerators: int, speed: float):
        self.name = name
        self.accelerators = accelerators
        self.speed = speed
        self.boot_id = uuid.uuid4().hex
        self.rev = 1
        self.tasks: dict[str, Task] = {}
        self.lease: dict | None = None
        self.next_token = 1
        self.changed = asyncio.Event()
        self.fail_all = False
        self.unreachable = False
        self.lose_answers = 0
        # Injected faults by call kind (see `_call_kind`): number of answers to
        # drop and delay of each call in ms.
        self.lose_answers_by_kind: dict[str, int] = {}
        self.delay_ms_by_kind: dict[str, int] = {}
        self.slow_stop_ms = 0
        # Ids of all tasks that went from held to running, for checks of
        # at-most-once execution, and of those that resumed from a checkpoint.
        self.resumed: list[str] = []
        self.continued: list[str] = []

    def mark_dirty(self, task: Task) -> None:
        """Records a task change and wakes long polls for reports."""
        self.rev += 1
        task.rev = self.rev
        self.changed.set()
        self.changed = asyncio.Event()

    def reboot(self) -> None:
        """Drops all tasks and the lease; lease tokens are never reused."""
        self.tasks.clear()
        self.lease = None
        self.boot_id = uuid.uuid4().hex
        self.rev = 1

    def free_accelerators(self) -> int:
        """Returns the accelerators not used by held or running tasks."""
        used = sum(
            task.accelerators
            for task in self.tasks.values()
            if task.state not in _TERMINAL_STATES
        )
        return self.accelerators - used

    def advance(self, elapsed_ms: float) -> None:
        """Advances all tasks by `elapsed_ms` and expires leases."""
        now_ms = _now_ms()
        if self.lease is not None and now_ms > self.lease["until_ms"]:
            self.lease = None
        for task in self.tasks.values():
            if task.state in _TERMINAL_STATES:
                continue
            if now_ms > task.lease_until_ms:
                task.state = "lapsed"
                self.mark_dirty(task)
                continue
            if task.state != "running":
                continue
            throttle_fraction = task.throttle_percent / 100
            task.left_ms -= elapsed_ms * self.speed * throttle_fraction
            if task.left_ms <= 0:
                self.finish(task)

    def finish(self, task: Task) -> None:
        """Completes or fails a task and stores its result."""
        if self.fail_all or task.payload.get("fail"):
            task.state = "failed"
            task.result = f"task failed on {self.name}"
        else:
            task.state = "finished"
            task.result = json.dumps(
                {"task": task.task_id, "echo": task.payload.get("echo", "")}
            )
        self.mark_dirty(task)


def _task_json(task: Task) -> dict:
    return {
        "task_id": task.task_id,
        "state": task.state,
        "accelerators": task.accelerators,
        "cpus": task.cpus,
        "memory_mb": task.memory_mb,
        "result": task.result,
        "checkpoint": task.checkpoint,
    }


def _call_kind(request: sanic.Request) -> str:
    """Returns the call kind, such as `lease`, `tasks` or `throttle`."""
    segments = request.path.strip("/").split("/")
    if len(segments) > 1 and segments[1] == "lease":
        return "lease"
    return segments[-1]


async def _check_reachable(request: sanic.Request):
    name = request.path.split("/")[1]
    endpoint = request.app.ctx.endpoints.get(name)
    if endpoint is None:
        return sanic.json({"error": "no such endpoint"}, status=404)
    if endpoint.unreachable and not request.path.endswith("/faults"):
        await asyncio.sleep(10)
        return sanic.json({"error": "unreachable"}, status=503)
    delay_ms = endpoint.delay_ms_by_kind.get(_call_kind(request), 0)
    if delay_ms:
        await asyncio.sleep(delay_ms / 1000)
    return None


async def _lose_answer(request: sanic.Request, response):
    endpoint = request.app.ctx.endpoints.get(request.path.split("/")[1])
    if endpoint is None or request.method == "GET":
        return None
    if endpoint.lose_answers > 0 and "/tasks" in request.path:
        endpoint.lose_answers -= 1
        return sanic.json({"error": "answer lost"}, status=504)
    remaining = endpoint.lose_answers_by_kind.get(_call_kind(request), 0)
    if remaining > 0:
        endpoint.lose_answers_by_kind[_call_kind(request)] = remaining - 1
        return sanic.json({"error": "answer lost"}, status=504)
    return None


async def _acquire_lease(request: sanic.Request, name: str):
    endpoint = request.app.ctx.endpoints[name]
    endpoint.advance(0)
    body = request.json
    now_ms = _now_ms()
    lease = endpoint.lease
    if lease is not None:
        return sanic.json(
            {
                "holder": lease["holder"],
                "retry_in_ms": lease["until_ms"] - now_ms,
            },
            status=409,
        )
    token = endpoint.next_token
    endpoint.next_token += 1
    endpoint.lease = {
        "holder": body["holder"],
        "token": token,
        "until_ms": now_ms + body["ttl_ms"],
    }
    return sanic.json(
        {
            "token": token,
            "boot_id": endpoint.boot_id,
            "free_accelerators": endpoint.free_accelerators(),
        }
    )


async def _release_lease(request: sanic.Request, name: str, token: int):
    endpoint = request.app.ctx.endpoints[name]
    if endpoint.lease is not None and endpoint.lease["token"] == token:
        endpoint.lease = None
    return sanic.json({})


async def _create_task(request: sanic.Request, name: str):
    endpoint = request.app.ctx.endpoints[name]
    endpoint.advance(0)
    body = request.json
    existing = endpoint.tasks.get(body["task_id"])
    if existing is not None:
        return sanic.json(_task_json(existing))
    lease = endpoint.lease
    if lease is None or lease["token"] != body["token"]:
        return sanic.json({"error": "lease is not held"}, status=409)
    if endpoint.free_accelerators() < body["accelerators"]:
        return sanic.json({"error": "no capacity"}, status=507)
    payload = json.loads(body["payload"] or "{}")
    percent = body["throttle_percent"]
    done_ms = (
        float(body["checkpoint"].split("=")[1])
        if ("=" in body["checkpoint"])
        else 0.0
    )
    task = Task(
        task_id=body["task_id"],
        accelerators=body["accelerators"],
        cpus=body["cpus"],
        memory_mb=body["memory_mb"],
        payload=payload,
        lease_until_ms=_now_ms() + body["lease_ms"],
        throttle_percent=percent,
        left_ms=payload.get("work_ms", 100) - done_ms,
        state="running" if percent else "held",
        rev=0,
        holder=body["holder"],
        continues=bool(body["checkpoint"]),
    )
    endpoint.tasks[task.task_id] = task
    endpoint.mark_dirty(task)
    return sanic.json(_task_json(task), status=201)


async def _throttle(request: sanic.Request, name: str, task_id: str):
    endpoint = request.app.ctx.endpoints[name]
    endpoint.advance(0)
    task = endpoint.tasks.get(task_id)
    if task is None:
        return sanic.json({"error": "no such task"}, status=404)
    if task.state in _TERMINAL_STATES:
        return sanic.json(_task_json(task))
    body = request.json
    task.throttle_percent = body["percent"]
    task.lease_until_ms = _now_ms() + body["lease_ms"]
    if task.state == "held" and body["percent"]:
        task.state = "running"
        endpoint.resumed.append(task_id)
        if task.continues:
            endpoint.continued.append(task_id)
        endpoint.mark_dirty(task)
    return sanic.json(_task_json(task))


async def _checkpoint(request: sanic.Request, name: str, task_id: str):
    endpoint = request.app.ctx.endpoints[name]
    task = endpoint.tasks.get(task_id)
    if task is None:
        return sanic.json({"error": "no such task"}, status=404)
    if task.state in _TERMINAL_STATES:
        return sanic.json(_task_json(task))
    done_ms = task.payload.get("work_ms", 100) - task.left_ms
    task.checkpoint = f"done_ms={done_ms:.0f}"
    if request.json.get("stop"):
        task.state = "checkpointed"
    endpoint.mark_dirty(task)
    return sanic.json(_task_json(task))


async def _stop(request: sanic.Request, name: str, task_id: str):
    endpoint = request.app.ctx.endpoints[name]
    if endpoint.slow_stop_ms:
        await asyncio.sleep(endpoint.slow_stop_ms / 1000)
    task = endpoint.tasks.get(task_id)
    if task is None:
        return sanic.json({"error": "no such task"}, status=404)
    if task.state not in _TERMINAL_STATES:
        task.state = "stopped"
        endpoint.mark_dirty(task)
    return sanic.json(_task_json(task))


async def _renew(request: sanic.Request, name: str):
    endpoint = request.app.ctx.endpoints[name]
    endpoint.advance(0)
    renewed = []
    for task_id in request.json["task_ids"]:
        task = endpoint.tasks.get(task_id)
        if task is None or task.state in _TERMINAL_STATES:
            continue
        task.lease_until_ms = _now_ms() + request.json["lease_ms"]
        renewed.append(task_id)
    return sanic.json({"task_ids": renewed})


async def _acknowledge(request: sanic.Request, name: str):
    endpoint = request.app.ctx.endpoints[name]
    for task_id in request.json["task_ids"]:
        task = endpoint.tasks.get(task_id)
        if task is not None and task.state in _TERMINAL_STATES:
            del endpoint.tasks[task_id]
    return sanic.json({})


async def _report(request: sanic.Request, name: str):
    endpoint = request.app.ctx.endpoints[name]
    since = int(request.args.get("since", "0"))
    wait_ms = min(MAX_WAIT_MS, int(request.args.get("wait_ms", "0")))
    if endpoint.rev <= since and wait_ms:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(endpoint.changed.wait(), wait_ms / 1000)
    if endpoint.unreachable:
        return sanic.json({"error": "unreachable"}, status=503)
    changed = [
        _task_json(task) for task in endpoint.tasks.values() if task.rev > since
    ]
    return sanic.json(
        {
            "boot_id": endpoint.boot_id,
            "rev": endpoint.rev,
            "tasks": changed,
            "usage": {"free_accelerators": endpoint.free_accelerators()},
        }
    )


async def _set_faults(request: sanic.Request, name: str):
    endpoint = request.app.ctx.endpoints[name]
    for field, value in request.json.items():
        if field == "reboot":
            endpoint.reboot()
            continue
        setattr(endpoint, field, value)
    endpoint.changed.set()
    endpoint.changed = asyncio.Event()
    return sanic.json({})


async def _history(request: sanic.Request, name: str):
    endpoint = request.app.ctx.endpoints[name]
    return sanic.json(
        {"resumed": endpoint.resumed, "continued": endpoint.continued}
    )


_ROUTES = (
    ("POST", "/<name>/lease", _acquire_lease),
    ("DELETE", "/<name>/lease/<token:int>", _release_lease),
    ("POST", "/<name>/tasks", _create_task),
    ("POST", "/<name>/tasks/<task_id:path>/throttle", _throttle),
    ("POST", "/<name>/tasks/<task_id:path>/checkpoint", _checkpoint),
    ("POST", "/<name>/tasks/<task_id:path>/stop", _stop),
    ("POST", "/<name>/renew", _renew),
    ("POST", "/<name>/ack", _acknowledge),
    ("GET", "/<name>/report", _report),
    ("POST", "/<name>/faults", _set_faults),
    ("GET", "/<name>/history", _history),
)


def build(endpoints: dict[str, Endpoint]) -> sanic.Sanic:
    """Builds the HTTP application of a rack's endpoints."""
    app = sanic.Sanic("standin-endpoint", configure_logging=False)
    app.ctx.endpoints = endpoints
    app.register_middleware(_check_reachable, "request")
    app.register_middleware(_lose_answer, "response")
    for method, path, handler in _ROUTES:
        app.add_route(handler, path, methods=[method])
    return app


async def _advance_loop(endpoints: dict[str, Endpoint]) -> None:
    last_ms = _now_ms()
    while True:
        await asyncio.sleep(ADVANCE_INTERVAL_MS / 1000)
        now_ms = _now_ms()
        for endpoint in endpoints.values():
            endpoint.advance(now_ms - last_ms)
        last_ms = now_ms


@click.command()
@click.option("--ip", default="127.0.0.1")
@click.option("--port", type=int, required=True)
@click.option("--prefix", required=True, help="Endpoint ids are PREFIX-K.")
@click.option("--count", type=int, default=8)
@click.option("--accelerators", type=int, default=8)
@click.option("--speed", type=float, default=1.0)
def main(
    ip: str, port: int, prefix: str, count: int, accelerators: int, speed: float
) -> None:
    """Runs the stand-in of one rack."""
    endpoints = {}
    for index in range(1, count + 1):
        name = f"{prefix}-{index}"
        endpoints[name] = Endpoint(name, accelerators, speed)
    serve.run(build(endpoints), ip, port, _advance_loop(endpoints))


if __name__ == "__main__":
    main()
