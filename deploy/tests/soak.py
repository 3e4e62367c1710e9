"""Runs real host processes against stand-ins while injecting faults."""

import asyncio
import dataclasses
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time

import aiohttp
from aiohttp import web
import click
from laburnumgate_placer import policy as policy_module
import orjson
import standin_capacity
import standin_crashes
import standin_outages
import standin_store
import standin_worker

_ROOT = pathlib.Path(__file__).resolve().parents[2]
# Accounts by API key. With limits, each may have at most this many accelerators
# running; the workers have 48 together.
_ACCOUNT_BY_KEY = {"soak-key-t": "t", "soak-key-u": "u"}
_LIMIT_GPU_BY_ACCOUNT = {"t": 12, "u": 20}
_HOSTNAME = "soak.example"
# Time that accepted jobs get to end after the faults, in seconds. It covers the
# time limits in `_SETTINGS`.
_SETTLE_TIMEOUT_S = 45.0
# Time after an acknowledged cancellation in which tasks may still start, in
# seconds: `cancel_ms`, and the right to order of a leader that is cut off.
_CANCEL_TIMEOUT_S = 3.0 + 7.0
# Heartbeats after which the entry of a silent worker is removed.
_MISSED_HEARTBEATS = 3
CRASHING_SHARE = 0.06
_FAULTS = (
    "kill",
    "kill_all",
    "stop",
    "term",
    "hup",
    "store_link",
    "worker_link",
    "reset",
    "reborn",
    "lose",
    "late",
    "refuse",
    "slow",
    "orders",
    "history",
)
_SETTINGS = """
node_name = "{name}"
zone = "{zone}"
ip = "{ip}"
port_range = [7000, 7000]
bootstrap = {first}
[listen_addrs]
front = "{ip}:8521"
ready_addr = "{ip}:8523"
[limits]
cpu_share = 1.0
cores = {cores}
[bounds]
max_hold_ms = {max_hold_ms}
stop_timeout_ms = 200
gang_timeout_ms = 3000
reclaim_ms = 2700
revoke_ms = 5000
visible_ms = 3000
grace_s = 4
[platform]
address = "127.0.0.1:{store}"
"""


class Proxy:
    """TCP proxy that injects network faults.

    Attributes:
      target: port on the loopback address that connections are forwarded to.
      mode: None to forward normally, `delay` to add latency, `silent` to stall
        both directions, `one_way` to stall responses only, `one_way_out` to
        stall requests only, or `refuse` to abort new connections.
      down: whether the target has crashed, so that connections are refused.
      port: port on which the proxy listens.
    """

    def __init__(self, target: int):
        self.target = target
        self.mode: str | None = None
        self.down = False
        self.port = 0
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts listening on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def reset(self) -> None:
        """Resets all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def set_down(self, down: bool) -> None:
        """Refuses connections from a crash of the target until it is back."""
        self.down = down
        if down:
            self.reset()

    async def _serve(self, reader, writer) -> None:
        if self.down or self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self.target
            )
        except OSError:
            writer.transport.abort()
            return
        if self.down:
            writer.transport.abort()
            target_writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        await asyncio.gather(
            self._forward(reader, target_writer, False),
            self._forward(target_reader, writer, True),
        )
        self._writers -= {writer, target_writer}

    async def _forward(self, reader, writer, from_target: bool) -> None:
        try:
            while data := await reader.read(65_536):
                # Stalled data is forwarded once the mode is cleared, unless
                # the connection is reset first.
                stalled_modes = (
                    "silent",
                    "one_way" if from_target else "one_way_out",
                )
                while self.mode in stalled_modes:
                    await asyncio.sleep(0.05)
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass  # Expected when a fault breaks the connection.
        finally:
            writer.close()


class HostProcess:
    """A host process, controlled through its own process id."""

    def __init__(
        self, folder: pathlib.Path, name: str, values: dict, policy: str
    ):
        self.name = name
        self._env = {**os.environ, "LABURNUMGATE_POLICY": policy}
        self.values = {
            "max_hold_ms": int(standin_worker.MAX_LEASE_S * 1000)
        } | values
        self.caller_address = f"{values['ip']}:8521"
        self._path = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None
        # Held while the process is being started again.
        self._restarting = asyncio.Lock()
        self._ended = False

    async def start(self, first: bool = False) -> None:
        """Writes the settings file and starts the process."""
        text = _SETTINGS.format(**self.values, first=str(first).lower())
        self._path.write_text(text)
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(_ROOT / "platform" / "laburnumgated.py"),
                env={**self._env, "LABURNUMGATE_BOOT": str(self._path)},
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        if self._process and self._process.returncode is None:
            self._process.send_signal(number)

    async def restart(self, number: signal.Signals) -> None:
        """Terminates the process with a signal and starts it again.

        During another restart it only sends the signal.
        """
        self.send(number)
        if self._restarting.locked() or self._ended:
            return
        async with self._restarting:
            await self._process.wait()
            await asyncio.sleep(0.1)
            await self.start()

    async def end(self) -> None:
        """Kills the process for good, also if it is stopped by SIGSTOP."""
        self._ended = True
        self._kill()
        async with self._restarting:
            self._kill()
            if self._process:
                await self._process.wait()

    def _kill(self) -> None:
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)


# An entry of the live list, and what makes it unusable.
_USABLE_FIELDS = {
    "service": "pool",
    "address": "127.0.0.1:1",
    "zone": "z0",
    "state": "ready",
    "capacity": {"cpu": 64_000, "mem_mb": 64_000, "gpu": 64},
    "labels": ["k", "r0"],
    "born": 1,
}
_ODD_FIELDS = (
    {"address": "127.0.0.1:99999"},
    {"address": "127.0.0.1:0"},
    {"address": "127.0.0.1:²"},
    {"address": "a..b:80"},
    {"capacity": {"cpu": 1e300, "mem_mb": 1, "gpu": 1}},
    {"capacity": {"cpu": -1, "mem_mb": 1, "gpu": 1}},
    {"labels": "rack"},
    {"state": ["ready"]},
    {"service": 5},
)
_ODD_VALUES = (
    b"[" * 1_020 + b"]" * 1_020,
    b'{"state":"ready","address":' + b"[" * 1_000 + b"]" * 1_000 + b"}",
    b"[" * 100_000,
    b'{"state":"ready","born":1e400}',
    b"\xff\x00",
    b'{"machines":[["m1"],1],"duration_s":30}',
)


class Soak:
    """A soak run whose workload and faults are drawn from a seed."""

    def __init__(
        self,
        seed: int,
        hosts: int,
        workers: int,
        crashing_share: float,
        shrinks: bool,
        limits: bool,
        policies: bool,
        odd_entries: bool = False,
        outages: tuple[str, ...] = (),
    ):
        self.odd_entries = odd_entries
        self.rng = random.Random(seed)
        # Separate, so that `seed` draws the same load and other faults whatever
        # these settings are.
        self.crash_rng = random.Random(f"{seed} crashes")
        self.crashing_share = crashing_share
        self.capacity_rng = random.Random(f"{seed} capacity")
        self.shrinks = shrinks
        # Separate as well; without limits all jobs are of one account.
        self.account_rng = random.Random(f"{seed} accounts")
        self.limits = limits
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
        self._policy = self.folder / "policy.toml"
        self._policy.write_text(
            "".join(
                f"{field.name} = {str(policies).lower()}\n"
                for field in dataclasses.fields(policy_module.Policy)
            )
        )
        self.store = standin_store.Store(self.rng)
        self.fleet = standin_worker.Fleet(self.rng, self.crash_rng)
        if limits:
            self.fleet.limit_by_account = _LIMIT_GPU_BY_ACCOUNT
        # With outages, only these are injected and none of `_FAULTS`.
        self.outages = None
        if outages:
            self.outages = standin_outages.Outages(self, seed, outages)
        self.host_count = hosts
        self.worker_count = workers
        self.hosts: list[HostProcess] = []
        self.store_proxies: list[Proxy] = []
        self.worker_proxies: list[Proxy] = []
        self.answers: dict[str, list[int]] = {}
        self.key_by_job: dict[str, str] = {}
        # Monotonic time at which a cancellation was acknowledged, in seconds.
        self.cancelled_at_by_job: dict[str, float] = {}
        self.crashing: set[str] = set()
        self.cut_off: list[str] = []
        self.faults: list[str] = []
        self._tasks: set[asyncio.Task] = set()

    async def run(self, seconds: float) -> list[str]:
        """Runs a workload under faults and returns guarantee violations.

        The outcomes are checked after all faults are cleared.
        """
        try:
            await self._set_up()
            async with aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=4)
            ) as session:
                deadline = time.monotonic() + seconds
                await asyncio.gather(
                    self._submit_until(session, deadline),
                    self._inject_faults_until(deadline),
                    self._shrink_workers_until(deadline),
                )
                self._clear_faults()
                return await self._check_outcomes(session)
        finally:
            for host in self.hosts:
                await host.end()
            for task in self._tasks:
                task.cancel()

    async def _set_up(self) -> None:
        store_port = await self._listen(self.store.handle)
        config = {
            "version": 1,
            "routes": [
                {
                    "name": "jobs",
                    "hostname": _HOSTNAME,
                    "path_prefix": "/jobs/",
                    "service": "pool",
                    "priority": 1,
                    "attempts": standin_crashes.ATTEMPTS,
                    "stretch": 3.0,
                }
            ],
            "tenants": [
                {"name": name, "api_keys": [key]}
                | (
                    {"max_count": {"gpu": _LIMIT_GPU_BY_ACCOUNT[name]}}
                    if self.limits
                    else {}
                )
                for key, name in _ACCOUNT_BY_KEY.items()
            ],
        }
        self.store.put("keyed.op", "config", orjson.dumps(config))
        if self.odd_entries:
            self._put_odd_entries()
        for number in range(self.worker_count):
            worker = standin_worker.Worker(
                self.fleet, f"w{number}", 8, self.rng.uniform(0.98, 1.02)
            )
            proxy = Proxy(await self._listen(worker.handle))
            await proxy.start()
            worker.proxy = proxy
            self.worker_proxies.append(proxy)
        self.spawn(self._publish_workers_loop())
        self.spawn(self._tick_loop())
        for number in range(self.host_count):
            proxy = Proxy(store_port)
            await proxy.start()
            self.store_proxies.append(proxy)
            values = {
                "name": f"h{number}",
                "zone": f"z{number % 3}",
                "store": proxy.port,
                "cores": 1 + number % 2,
                "max_hold_ms": int(self.fleet.max_lease_s * 1000),
                "ip": _loopback_address(number),
            }
            host = HostProcess(
                self.folder, f"h{number}", values, str(self._policy)
            )
            self.hosts.append(host)
            await host.start(first=True)

    async def _listen(self, handle) -> int:
        loop = asyncio.get_running_loop()
        server = web.Server(handle, access_log=None)
        listener = await loop.create_server(server, "127.0.0.1", 0)
        return listener.sockets[0].getsockname()[1]

    def _put_odd_entries(self) -> None:
        """Writes entries that name no endpoint and no wave of upkeep."""
        for number, fields in enumerate(_ODD_FIELDS):
            value = orjson.dumps(_USABLE_FIELDS | fields)
            self.store.put("keyed.servers", f"odd-{number}", value)
        for number, value in enumerate(_ODD_VALUES):
            self.store.put("keyed.servers", f"unreadable-{number}", value)
            self.store.put("keyed.op", f"wave/{number}", value)
        usable = orjson.dumps(_USABLE_FIELDS)
        self.store.put("keyed.servers", "odd\r\nX-Other: 1", usable)
        self.store.put("keyed.op", "wave/x", b"{}")

    async def _publish_workers_loop(self) -> None:
        """Publishes the workers' entries to the live list periodically.

        Entries of workers that are silent for too long are removed.
        """
        missed_by_id: dict[str, int] = {}
        while True:
            for number, worker in enumerate(self.fleet.workers):
                if worker.back_at is not None:
                    continue
                missed_by_id[worker.id] = -1
                entry = {
                    "service": "pool",
                    "address": f"127.0.0.1:{self.worker_proxies[number].port}",
                    "zone": f"z{number % 3}",
                    "state": "ready",
                    "capacity": {
                        "cpu": 4_000 * worker.capacity.gpu,
                        "mem_mb": 64_000,
                        "gpu": worker.capacity.gpu,
                    },
                    "labels": ["k", f"r{number % 3}"],
                    "born": worker.born,
                    "machine": f"m{number}",
                }
                self.store.put("keyed.servers", worker.id, orjson.dumps(entry))
            for worker_id in list(missed_by_id):
                missed_by_id[worker_id] += 1
                if missed_by_id[worker_id] == _MISSED_HEARTBEATS:
                    self.store.put("keyed.servers", worker_id, b"")
                    del missed_by_id[worker_id]
            await asyncio.sleep(standin_capacity.HEARTBEAT_S)

    async def _tick_loop(self) -> None:
        while True:
            self.fleet.tick()
            await asyncio.sleep(0.02)

    async def _submit_until(self, session, deadline: float) -> None:
        while time.monotonic() < deadline:
            self.spawn(
                self._run_client(session, f"{self.rng.getrandbits(64):016x}")
            )
            await asyncio.sleep(self.rng.uniform(0.1, 0.5))

    async def _run_client(self, session, job_id: str) -> None:
        """Submits a job with up to four retries, like the platform's clients.

        About a tenth of the jobs are cancelled afterwards.
        """
        gang = self.rng.random() < 0.5
        counts = [self.rng.randint(1, 4) for _ in range(self.rng.randint(1, 2))]
        gpu = self.rng.choice([1, 2, 4, 8])
        key = next(iter(_ACCOUNT_BY_KEY))
        if self.limits:
            key = self.account_rng.choice(list(_ACCOUNT_BY_KEY))
            while gang and max(counts) * gpu > min(
                _LIMIT_GPU_BY_ACCOUNT.values()
            ):
                # The gang would be rejected at submission.
                gpu //= 2
        self.key_by_job[job_id] = key
        spec = {
            "s": self.rng.uniform(0.2, 2.0),
            "gang": gang,
            "counts": counts,
            "gpu": gpu,
            "account": _ACCOUNT_BY_KEY[key],
            "after": {"1": [0]} if len(counts) > 1 else {},
            "crashing": standin_crashes.draw_crashing(
                self.crash_rng, self.crashing_share, counts
            ),
        }
        if spec["crashing"]:
            self.crashing.add(job_id)
        steps = [
            {
                "count": count,
                "cpu": 1_000,
                "gpu": gpu,
                "gang": gang,
                "est_duration_ms": int(spec["s"] * 1_000),
                "after": [0] if number else [],
            }
            for number, count in enumerate(counts)
        ]
        body = {"task_spec": orjson.dumps(spec).decode(), "steps": steps}
        for _ in range(5):
            status = await self._call(session, "POST", job_id, body)
            self.answers.setdefault(job_id, []).append(status)
            if status == 200:
                break
            await asyncio.sleep(0.5)
        if self.rng.random() < 0.1:
            await asyncio.sleep(self.rng.uniform(0, 2))
            if await self._call(session, "DELETE", job_id) in (200, 410):
                self.cancelled_at_by_job[job_id] = time.monotonic()

    async def _call(self, session, method, job_id, body=None) -> int:
        """Sends a request to a random host.

        Returns the HTTP status, or the job state for a successful GET, or 0 if
        no complete response arrived.
        """
        host = self.rng.choice(self.hosts)
        try:
            async with session.request(
                method,
                f"http://{host.caller_address}/jobs/{job_id}",
                data=orjson.dumps(body) if body else None,
                headers={
                    "Host": _HOSTNAME,
                    "X-Laburnumgate-Credential": self.key_by_job[job_id],
                    "X-Laburnumgate-Deadline-Ms": "3000",
                },
            ) as response:
                raw = await response.read()
                if method == "GET" and response.status == 200:
                    return orjson.loads(raw)["state"]
                return response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0

    async def _inject_faults_until(self, deadline: float) -> None:
        await asyncio.sleep(2.0)
        while self.outages and time.monotonic() < deadline:
            await asyncio.sleep(self.outages.inject())
        while time.monotonic() < deadline:
            self.spawn(self._inject_fault())
            await asyncio.sleep(self.rng.uniform(0.3, 2.5))

    async def _shrink_workers_until(self, deadline: float) -> None:
        while self.shrinks and time.monotonic() < deadline:
            self.spawn(self._shrink_worker())
            await asyncio.sleep(self.capacity_rng.uniform(0.5, 3.0))

    async def _shrink_worker(self) -> None:
        """Shrinks the capacity of a random worker for some seconds."""
        worker = self.capacity_rng.choice(self.fleet.workers)
        gpu, duration_s = standin_capacity.draw_shrunk(self.capacity_rng)
        capacity = worker.capacity
        if capacity.gpu < capacity.full:
            return
        self.faults.append(f"shrink {worker.id} to {gpu} {duration_s:.1f} s")
        capacity.set(gpu)
        await asyncio.sleep(duration_s)
        capacity.set(capacity.full)

    async def _inject_fault(self) -> None:
        """Injects a random fault and reverts it after its duration."""
        rng = self.rng
        kind = rng.choice(_FAULTS)
        duration_s = rng.uniform(0.5, 4.5)
        host = rng.choice(self.hosts)
        mode = rng.choice(["delay", "silent", "one_way", "refuse"])
        self.faults.append(f"{kind} {host.name} {mode} {duration_s:.1f} s")
        match kind:
            case "kill":
                await host.restart(signal.SIGKILL)
            case "term":
                await host.restart(signal.SIGTERM)
            case "kill_all":
                if rng.random() < 0.3:
                    await asyncio.gather(
                        *(h.restart(signal.SIGKILL) for h in self.hosts)
                    )
            case "hup":
                host.send(signal.SIGHUP)
            case "stop":
                host.send(signal.SIGSTOP)
                await asyncio.sleep(duration_s)
                host.send(signal.SIGCONT)
            case "store_link":
                await self._disrupt_link(
                    rng.choice(self.store_proxies), mode, duration_s
                )
            case "worker_link":
                await self._disrupt_link(
                    rng.choice(self.worker_proxies), mode, duration_s
                )
            case "reset":
                rng.choice(self.store_proxies + self.worker_proxies).reset()
            case "reborn":
                rng.choice(self.fleet.workers).restart()
            case "lose" | "refuse" | "late":
                setattr(self.store, kind, rng.uniform(0.1, 0.6))
                await asyncio.sleep(duration_s)
                setattr(self.store, kind, 0.0)
            case "slow":
                self.store.delay_s = rng.uniform(0.05, 0.25)
                await asyncio.sleep(duration_s)
                self.store.delay_s = 0.0
            case "orders":
                self.fleet.late_order_share = rng.uniform(0.1, 0.4)
                await asyncio.sleep(duration_s)
                self.fleet.late_order_share = 0.0
            case "history":
                self.store.drop_history()

    async def _disrupt_link(
        self, proxy: Proxy, mode: str, duration_s: float
    ) -> None:
        proxy.mode = mode
        await asyncio.sleep(duration_s)
        proxy.mode = None
        if self.rng.random() < 0.5:
            proxy.reset()

    def _clear_faults(self) -> None:
        for proxy in self.store_proxies + self.worker_proxies:
            proxy.mode = None
        self.store.lose = self.store.refuse = self.store.late = 0.0
        self.store.delay_s = self.fleet.late_order_share = 0.0
        for worker in self.fleet.workers:
            worker.capacity.set(worker.capacity.full)
        for host in self.hosts:
            host.send(signal.SIGCONT)

    async def _check_outcomes(self, session) -> list[str]:
        """Waits for accepted jobs to end and checks the callers' responses."""
        accepted = {j for j, a in self.answers.items() if 200 in a}
        pending_jobs = set(accepted)
        last_state: dict[str, object] = {}
        deadline = time.monotonic() + _SETTLE_TIMEOUT_S
        while pending_jobs and time.monotonic() < deadline:
            self._clear_faults()
            for job_id in sorted(pending_jobs):
                state = await self._call(session, "GET", job_id)
                last_state[job_id] = state
                if state in ("completed", "failed", "cancelled"):
                    pending_jobs.discard(job_id)
            await asyncio.sleep(0.3)
        violations = list(self.fleet.violations)
        host_by_token = self.store.host_by_token()
        for first, second in self.fleet.overlaps:
            since = second.started_at
            violations.append(
                f"two at once: {first.describe(since, host_by_token)}"
                f" | {second.describe(since, host_by_token)}"
            )
        for job_id in sorted(pending_jobs):
            violations.append(
                f"{job_id} was accepted, last state: {last_state[job_id]}"
            )
        for job_id in sorted(accepted - pending_jobs):
            violation = self.fleet.crash_log.check_state(
                job_id, last_state[job_id], job_id in self.crashing
            )
            if violation:
                violations.append(violation)
        for job_id, answers in self.answers.items():
            refused = all(a in (429, 503) for a in answers)
            if refused and job_id in self.fleet.started:
                violations.append(f"{job_id} was rejected but ran")
        for job_id, cancelled_at in self.cancelled_at_by_job.items():
            started_at = self.fleet.started_at_by_job.get(job_id, cancelled_at)
            if started_at > cancelled_at + _CANCEL_TIMEOUT_S:
                late_s = started_at - cancelled_at
                violations.append(
                    f"{job_id} started {late_s:.1f} s after its cancellation"
                    " was acknowledged"
                )
        return violations

    def leader(self) -> HostProcess | None:
        """Returns the host with the newest claim to lead, if any."""
        names = list(self.store.host_by_token().values())
        for host in self.hosts:
            # Each life of a process adds its own suffix.
            if names and names[-1].startswith(f"{host.name}-"):
                return host
        return None

    def note_fault(self, text: str) -> None:
        """Adds a fault to those that are listed with violations."""
        self.faults.append(f"{time.strftime('%X', time.gmtime())} {text}")

    def spawn(self, work) -> None:
        """Starts a coroutine that is cancelled at the end of the soak."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _loopback_address(number: int) -> str:
    """Returns a loopback address for one host, derived from the process id.

    On an address shared with other processes, another process could take the
    port while the host is down, and its responses would be mistaken for the
    host's.
    """
    high, low = divmod(os.getpid(), 250)
    return f"127.{1 + high % 250}.{1 + low}.{10 + number}"


def run_seed(
    seed: int,
    seconds: float,
    hosts: int = 4,
    workers: int = 6,
    crashing_share: float = CRASHING_SHARE,
    shrinks: bool = True,
    limits: bool = False,
    policies: bool = False,
    odd_entries: bool = False,
    outages: tuple[str, ...] = (),
) -> list[str]:
    """Runs one seed and returns the violations.

    The hosts' logs are kept if there is a violation. `outages` are kinds of
    `standin_outages.KINDS` that are injected in place of all other faults.
    """
    soak = Soak(
        seed,
        hosts,
        workers,
        crashing_share,
        shrinks,
        limits,
        policies,
        odd_entries,
        outages,
    )
    violations = asyncio.run(soak.run(seconds))
    if violations:
        violations.append(f"logs in {soak.folder}; faults: {soak.faults}")
    else:
        shutil.rmtree(soak.folder)
    return violations


@click.command()
@click.option("--seed", default=0, help="First seed; 0 selects a random one.")
@click.option("--seeds", default=1, help="Number of seeds.")
@click.option(
    "--seconds", default=15.0, help="Seconds of fault injection per seed."
)
@click.option("--hosts", default=4)
@click.option("--workers", default=6)
@click.option(
    "--crashing-share",
    default=CRASHING_SHARE,
    help="Fraction of the jobs with tasks that crash their workers.",
)
@click.option(
    "--shrinks/--no-shrinks",
    default=True,
    help="Whether the capacity of workers shrinks at times.",
)
@click.option(
    "--limits/--no-limits",
    default=True,
    help="Whether the accounts have limits.",
)
@click.option(
    "--policies/--no-policies",
    default=True,
    help="Whether all optional parts of the policy are switched on.",
)
@click.option(
    "--outages/--no-outages",
    default=False,
    help="Whether outages at the shape of a site replace the other faults.",
)
def main(
    seed,
    seeds,
    seconds,
    hosts,
    workers,
    crashing_share,
    shrinks,
    limits,
    policies,
    outages,
) -> None:
    """Runs seeds sequentially and reports the result of each."""
    seed = seed or random.SystemRandom().randrange(1, 10**6)
    failed = 0
    for number in range(seed, seed + seeds):
        violations = run_seed(
            number,
            seconds,
            hosts,
            workers,
            crashing_share,
            shrinks,
            limits,
            policies,
            outages=standin_outages.KINDS if outages else (),
        )
        failed += bool(violations)
        click.echo(f"seed {number}: {'broken' if violations else 'kept'}")
        for line in violations:
            click.echo(f"  {line}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
