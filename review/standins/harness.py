"""A small installation on loopback addresses for the cases of the review.

The processes of the system are started with the command of
deploy/system.toml. Store, workers, operator and clients are stand-ins in the
process of the case.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

import aiohttp
from aiohttp import web
import cloud as cloud_module
import orjson
import store as store_module
import worker as worker_module

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD = 0
BROKEN = 1
CANNOT_RUN = 2
MAX_S = 115
HOSTNAME = "review.example"
KEY = "review-key"
# As in the deployment `testigo-andino`.
CANCEL_MS = 3_000
STOP_MS = 200
MAX_HOLD_MS = 10_000
CONTACT_MS = 3_000
MAINTENANCE_S = 2
HEARTBEAT_S = 1.5
_READY_TIMEOUT_S = 15
_CALL_TIMEOUT_S = 3
_SETTINGS = """
node_name = "{name}"
role = "host"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "r"
port_range = [{metrics}, {metrics}]
seeds = []
bootstrap = true
discovery = "platform"
heartbeat_ms = 1500
contracts = ["base", "sched", "tenants", "platform", "upkeep"]
orders = "call"
[listen_addrs]
front = "{ip}:{front}"
ready_addr = "{ip}:{ready}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
ack_timeout_ms = 4000
drain_timeout_ms = 2000
grace_s = 6
config_apply_ms = 2000
strict_revoke = true
revoke_ms = 5000
evacuate_ms = 5000
max_hold_ms = 10000
stop_timeout_ms = 200
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
checkpoint_s = 2
restore_ms = 250
notice_ms = 4500
lease_ms = 3000
reclaim_ms = 2700
[platform]
address = "127.0.0.1:{store}"
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 8
append_ms = 4.0
max_record_bytes = 262144
max_call_bytes = 2097152
keep_s = 300
[cloud_api]
address = "127.0.0.1:{cloud}"
rate_per_s = 60.0
duties = []
duty_per_s = 60.0
"""


class CannotRunError(Exception):
    """The installation did not come up, so the case shows nothing."""


class Host:
    """A machine of the system with its process.

    Attributes:
      name: name of the machine.
      entrance: the store as this machine reaches it.
    """

    def __init__(self, number: int, zone: str, folder: pathlib.Path):
        self.name = f"edge-{zone}-{number}"
        self.entrance: store_module.Entrance | None = None
        self._zone = zone
        self._folder = folder
        # An address of its own, so that no other process takes its ports.
        high, low = divmod(os.getpid(), 250)
        self._ip = f"127.{1 + high % 250}.{1 + low}.{10 + number}"
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, store_port: int, cloud_port: int) -> None:
        """Starts the process; its log goes to the folder."""
        front, ready, metrics = _free_ports(self._ip, 3)
        self.front = f"{self._ip}:{front}"
        self.ready = f"{self._ip}:{ready}"
        path = self._folder / f"{self.name}.toml"
        path.write_text(
            _SETTINGS.format(
                name=self.name,
                ip=self._ip,
                zone=self._zone,
                front=front,
                ready=ready,
                metrics=metrics,
                store=store_port,
                cloud=cloud_port,
            )
        )
        self._path = path
        await self._start_process()

    async def restart(self) -> None:
        """Starts the process again after its end; the system has run before."""
        await self._process.wait()
        text = self._path.read_text()
        self._path.write_text(
            text.replace("bootstrap = true", "bootstrap = false")
        )
        await self._start_process()

    async def _start_process(self) -> None:
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = role["roles"]["host"]
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                cwd=ROOT,
                env={
                    **{k: os.environ[k] for k in ("PATH",) if k in os.environ},
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "LABURNUMGATE_BOOT": str(self._path),
                    **role["env"],
                },
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def end(self) -> None:
        """Kills the process."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()


class Installation:
    """Hosts, workers and the store, with a record of what they do.

    Attributes:
      disrupted: whether the case causes its disruption (`TROUBLE` is not 0).
      events: what was sent, answered and run, with the time in ms.
      hosts: the machines of the system.
      workers: the workers.
    """

    def __init__(self, folder: pathlib.Path):
        self.disrupted = os.environ.get("TROUBLE", "1") != "0"
        self.events: list[dict] = []
        self.hosts: list[Host] = []
        self.workers: list[worker_module.Worker] = []
        self.store = store_module.Store()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._record_path = folder / "record.txt"
        self._record_path.write_text("")
        self._began_s = time.monotonic()
        self._tasks: set[asyncio.Task] = set()
        self._session: aiohttp.ClientSession | None = None
        self._beat = 0

    def now_ms(self) -> int:
        """Returns the time since the beginning."""
        return int(1000 * (time.monotonic() - self._began_s))

    def record(self, what: str, **details: object) -> dict:
        """Records an event."""
        event = {"at_ms": self.now_ms(), "what": what, **details}
        self.events.append(event)
        with self._record_path.open("ab") as out:
            out.write(orjson.dumps(event) + b"\n")
        return event

    def found(self, what: str, **details: object) -> list[dict]:
        """Returns the events of a kind with these details."""
        return [
            event
            for event in self.events
            if event["what"] == what
            and all(event.get(k) == v for k, v in details.items())
        ]

    async def wait_for(self, what: str) -> dict:
        """Waits for an event of a kind and returns the first.

        Raises:
          CannotRunError: there is none in time.
        """
        until_s = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < until_s:
            if found := self.found(what):
                return found[0]
            await asyncio.sleep(0.01)
        raise CannotRunError(f"no event {what!r}")

    def has_started(self, job_id: str) -> bool:
        """Whether a worker has started a task of a job."""
        return any(
            event["task"].startswith(job_id) for event in self.found("starts")
        )

    async def set_up(self, zones: list[str], racks: list[tuple]) -> None:
        """Starts a host in each zone and a worker for each (zone, rack, gpu).

        Raises:
          CannotRunError: a host is not ready in time.
        """
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S)
        )
        self.put_config(1)
        for number, (zone, rack, gpu) in enumerate(racks):
            worker = worker_module.Worker(
                f"m-{number}", zone, rack, gpu, MAX_HOLD_MS, self.record
            )
            await worker.start()
            self.workers.append(worker)
            self.spawn(worker.tick_loop())
        self.spawn(self._beat_loop())
        self.cloud = cloud_module.Cloud(
            self.workers, MAINTENANCE_S, self.record
        )
        cloud_port = await _listen(self.cloud.handle)
        for number, zone in enumerate(zones):
            host = Host(number, zone, self.folder)
            host.entrance = store_module.Entrance(self.store)
            store_port = await _listen(host.entrance.handle)
            await host.start(store_port, cloud_port)
            self.hosts.append(host)
        await self._wait_until_ready()

    def put_config(self, version: int) -> None:
        """Writes a version of the config with one queue and one tenant."""
        config = {
            "version": version,
            "routes": [
                {
                    "name": "jobs",
                    "hostname": HOSTNAME,
                    "path_prefix": "/jobs/",
                    "route_type": "non_idempotent",
                    "timeout_ms": 3000,
                    "target_latency_ms": 1000,
                    "priority": 1,
                    "service": "pool",
                    "attempts": 4,
                    "stretch": 3.0,
                    "public": False,
                }
            ],
            "services": [
                {"name": "pool", "admission_check": False, "standby": False}
            ],
            "limits": {"max_body_bytes": 262144},
            "tenants": [
                {
                    "name": "tenant",
                    "api_keys": [KEY],
                    "guaranteed": {"gpu": 0},
                }
            ],
        }
        self.store.put("keyed.op", "config", orjson.dumps(config))

    def put_wave(
        self, number: int, machines: list[str], duration_s: int, max_count: int
    ) -> None:
        """Writes the operator's request of a wave of upkeep."""
        wave = {
            "wave": number,
            "machines": machines,
            "duration_s": duration_s,
            "max_count": max_count,
        }
        self.record("wave requested", **wave)
        self.store.put("keyed.op", f"wave/{number}", orjson.dumps(wave))

    async def call(
        self, host: Host, method: str, job_id: str, body: dict | None = None
    ) -> tuple[int, dict]:
        """Sends a client's call; returns status and content, 0 for none."""
        self.record("sent", call=method, job=job_id, host=host.name)
        status, content = 0, {}
        try:
            async with self._session.request(
                method,
                f"http://{host.front}/jobs/{job_id}",
                data=None if body is None else orjson.dumps(body),
                headers={
                    "Host": HOSTNAME,
                    "Content-Type": "application/json",
                    "X-Laburnumgate-Credential": KEY,
                    "X-Laburnumgate-Deadline-Ms": str(1000 * _CALL_TIMEOUT_S),
                },
            ) as response:
                content = orjson.loads(await response.read() or b"{}")
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            content = {"error": repr(error)}
        self.record(
            "answered",
            call=method,
            job=job_id,
            host=host.name,
            status=status,
            content=content,
        )
        return status, content

    async def submit(
        self,
        host: Host,
        job_id: str,
        steps: list[dict],
        ms: list[int],
        spread: float = 0.0,
        startup_ms: int | None = None,
        **fields: int,
    ) -> int:
        """Hands a job in.

        Args:
          host: the machine that takes it.
          job_id: its id.
          steps: its steps.
          ms: mean time to run of a task, by step.
          spread: by which share tasks may run longer or shorter.
          startup_ms: time until a task that lasts is at work; None for others.
          **fields: further fields of the body.

        Returns:
          The status of the answer, 0 for none.
        """
        spec = {"ms": ms, "spread": spread}
        if startup_ms is not None:
            spec["startup_ms"] = startup_ms
        body = {
            "task_spec": orjson.dumps(spec).decode(),
            "steps": steps,
            **fields,
        }
        status, _ = await self.call(host, "POST", job_id, body)
        return status

    async def leader(self) -> Host:
        """Returns the machine that leads, as its log says.

        Raises:
          CannotRunError: no machine leads.
        """
        until_s = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < until_s:
            terms = [
                (line.rpartition('"time": ')[2], host)
                for host in self.hosts
                for line in (self.folder / f"{host.name}.log")
                .read_text()
                .splitlines()
                if "the leader has read the state of all jobs" in line
            ]
            if terms:
                return max(terms, key=lambda term: term[0])[1]
            await asyncio.sleep(0.1)
        raise CannotRunError("no machine leads")

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Starts a task that ends with the installation."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def crash_and_return(
        self, worker: worker_module.Worker, down_s: float
    ) -> None:
        """Crashes a worker; its machine is back with a new worker later."""
        self.spawn(self._crash_and_return(worker, down_s))

    async def end(self) -> None:
        """Ends all processes and removes the temporary folder."""
        for host in self.hosts:
            await host.end()
        for worker in self.workers:
            worker.close()
        if self._session is not None:
            await self._session.close()
        for task in list(self._tasks):
            task.cancel()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder)

    async def _crash_and_return(
        self, worker: worker_module.Worker, down_s: float
    ) -> None:
        gone = worker.worker_id
        await worker.crash()
        # The entry of a silent worker goes after three intervals.
        self.spawn(self._drop_entry(gone))
        await asyncio.sleep(down_s)
        await worker.start()

    async def _drop_entry(self, worker_id: str) -> None:
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.store.put("keyed.servers", worker_id, b"")

    async def _beat_loop(self) -> None:
        while True:
            self._beat += 1
            for worker in self.workers:
                if worker.up:
                    self.store.put(
                        "keyed.servers",
                        worker.worker_id,
                        worker.entry(self._beat),
                    )
            await asyncio.sleep(HEARTBEAT_S)

    async def _wait_until_ready(self) -> None:
        until_s = time.monotonic() + _READY_TIMEOUT_S
        for host in self.hosts:
            while not await self._is_ready(host):
                if time.monotonic() > until_s:
                    raise CannotRunError(f"{host.name} is not ready")
                await asyncio.sleep(0.1)
        self.record("all hosts are ready")

    async def _is_ready(self, host: Host) -> bool:
        try:
            async with self._session.get(
                f"http://{host.ready}/-/readyz"
            ) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False


def run(
    folder: pathlib.Path,
    play: Callable[[Installation], Coroutine[None, None, list[str]]],
) -> None:
    """Plays a case and exits with its result.

    Args:
      folder: folder of the case, where the record goes.
      play: plays the case in an installation that it sets up itself, and
        returns what broke the rule.
    """
    sys.exit(asyncio.run(_run(folder, play)))


async def _run(folder, play) -> int:
    installation = Installation(folder)
    try:
        async with asyncio.timeout(MAX_S):
            broken = await play(installation)
    except (CannotRunError, TimeoutError, OSError) as error:
        installation.record("the case could not run", reason=repr(error))
        print(f"could not run: {error!r}")
        return CANNOT_RUN
    finally:
        await installation.end()
    for line in broken:
        installation.record("rule broken", detail=line)
        print(f"broken: {line}")
    if broken:
        return BROKEN
    installation.record("rule held")
    print("held")
    return HELD


async def _listen(handle) -> int:
    """Serves HTTP on a free port of 127.0.0.1; returns the port."""
    server = web.Server(handle, access_log=None)
    loop = asyncio.get_running_loop()
    listening = await loop.create_server(server, "127.0.0.1", 0)
    return listening.sockets[0].getsockname()[1]


def _free_ports(ip: str, count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((ip, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports
