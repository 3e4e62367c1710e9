"""One host process, clients that misbehave, and what the process holds."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import os
import pathlib
import random
import signal
import socket
import sys

from aiohttp import web
import orjson
import standin_store

_ROOT = pathlib.Path(__file__).resolve().parents[2]
HOSTNAME = "crowd.example"
KEY = "crowd-key"
MAX_BODY_BYTES = 262_144
# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200
FRONT_PORT = 8521
READY_PORT = 8523
METRICS_PORT = 7000
_MIB = 1 << 20
_START_ATTEMPTS = 300
_RETRY_PAUSE_S = 0.2
_ANSWER_TIMEOUT_S = 10.0
_SAMPLE_INTERVAL_S = 0.05
_SEND_TIMEOUT_S = 12.0
_SETTINGS = """
node_name = "crowded"
zone = "z0"
ip = "{ip}"
port_range = [7000, 7000]
bootstrap = true
[listen_addrs]
front = "{ip}:8521"
ready_addr = "{ip}:8523"
[limits]
cpu_share = 1.0
cores = 1
memory_mb = {memory_mb}
max_fds = {max_fds}
link_mbps = 1000.0
[bounds]
max_hold_ms = 10000
revoke_ms = 5000
visible_ms = 3000
grace_s = 4
[platform]
address = "127.0.0.1:{store}"
"""

_OWN_SETTINGS = """
[host]
host_id = "crowded"
zone = "z0"
region = "r"
ip = "{ip}"
http_port = 8521
rpc_port = 8522
[platform]
log_url = "http://127.0.0.1:1"
live_list_url = "http://127.0.0.1:1"
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the machine on which the process runs."""

    memory_mb: int = 100
    max_fds: int = 600


@dataclasses.dataclass(frozen=True, slots=True)
class Crowd:
    """Clients that all send the same and stay connected.

    Attributes:
      clients: number of connections.
      pieces: returns what each client sends.
      port: port that they connect to.
    """

    clients: int
    pieces: Callable[[], Iterator[bytes]]
    port: int = FRONT_PORT


def head(method: str, path: str, *fields: str, key: str = KEY) -> bytes:
    """Returns the head of a request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOSTNAME}",
        f"X-Laburnumgate-Credential: {key}",
        *fields,
        "",
        "",
    ]
    return "\r\n".join(lines).encode()


def job_body(size: int = 0) -> bytes:
    """Returns the body of a small job, padded to `size` bytes."""
    content = {
        "task_spec": "text",
        "steps": [{"count": 1, "cpu": 100, "mem_mb": 1}],
    }
    return orjson.dumps(content).ljust(size)


class Process:
    """A host process with a store, on a loopback address of its own.

    Attributes:
      peak_bytes: most that was seen of resident memory and of bytes that were
        received and not read.
      peak_sockets: most sockets that were seen open.
    """

    def __init__(self, folder: pathlib.Path, limits: Limits):
        self.limits = limits
        self.peak_bytes = 0
        self.peak_sockets = 0
        high, low = divmod(os.getpid(), 250)
        self.ip = f"127.{1 + high % 250}.{1 + low}.9"
        self._folder = folder
        self._request = head("GET", "/jobs/", "Connection: close")
        self._process: asyncio.subprocess.Process | None = None
        self._clients: set[asyncio.Task] = set()
        self._sockets: list[socket.socket] = []

    async def start(self, stdout: int | None = None) -> None:
        """Starts the process and waits until it answers callers."""
        store = standin_store.Store(random.Random(1))
        config = {
            "version": 1,
            "routes": [
                {
                    "name": "jobs",
                    "hostname": HOSTNAME,
                    "path_prefix": "/jobs/",
                    "service": "pool",
                    "priority": 1,
                    "attempts": 3,
                    "stretch": 3.0,
                }
            ],
            "limits": {"max_body_bytes": MAX_BODY_BYTES},
            "tenants": [{"name": "t", "api_keys": [KEY]}],
        }
        store.put("keyed.op", "config", orjson.dumps(config))
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(
            web.Server(store.handle, access_log=None), "127.0.0.1", 0
        )
        path = self._folder / "settings.toml"
        path.write_text(
            _SETTINGS.format(
                ip=self.ip,
                store=listener.sockets[0].getsockname()[1],
                memory_mb=self.limits.memory_mb,
                max_fds=self.limits.max_fds,
            )
        )
        await self._start_process(
            [str(_ROOT / "platform" / "laburnumgated.py")],
            {"LABURNUMGATE_BOOT": str(path)},
            stdout,
        )

    async def _start_process(
        self,
        arguments: list[str],
        variables: dict[str, str],
        stdout: int | None = None,
    ) -> None:
        with (self._folder / "process.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                env={**os.environ, **variables},
                stdout=log if stdout is None else stdout,
                stderr=log,
            )
        assert await self.is_served(_START_ATTEMPTS)
        self.spawn(self._sample_loop())

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self._process.returncode is None

    async def is_served(self, attempts: int = 100) -> bool:
        """Whether an ordinary request is answered, at one of some attempts."""
        for _ in range(attempts):
            if not self.alive:
                return False
            if (await self.ask(self._request)).startswith(b"HTTP/1.1 200"):
                return True
            await asyncio.sleep(_RETRY_PAUSE_S)
        return False

    async def ask(self, *pieces: bytes, port: int = FRONT_PORT) -> bytes:
        """Sends pieces on a new connection and returns all that is answered."""
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(self.ip, port)
                try:
                    for piece in pieces:
                        writer.write(piece)
                        await writer.drain()
                    return await reader.read()
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError):
            return b""

    async def meet(self, crowd: Crowd) -> None:
        """Connects a crowd and returns once it has sent what is accepted."""
        sent = [
            self.spawn(self._send(crowd.port, crowd.pieces()))
            for _ in range(crowd.clients)
        ]
        await asyncio.wait(sent, timeout=_SEND_TIMEOUT_S)

    async def terminate(self) -> int:
        """Sends SIGTERM and returns the exit code."""
        self._process.send_signal(signal.SIGTERM)
        return await self._process.wait()

    async def end(self) -> None:
        """Ends the process and the clients."""
        for task in self._clients:
            task.cancel()
        for each in self._sockets:
            each.close()
        if self._process is not None and self.alive:
            self._process.kill()
            await self._process.wait()

    def spawn(self, work) -> asyncio.Task:
        """Starts a task that ends with the process."""
        task = asyncio.create_task(work)
        self._clients.add(task)
        task.add_done_callback(self._clients.discard)
        return task

    async def _send(self, port: int, pieces: Iterator[bytes]) -> None:
        loop = asyncio.get_running_loop()
        client = socket.socket()
        client.setblocking(False)
        self._sockets.append(client)
        with contextlib.suppress(OSError):
            await loop.sock_connect(client, (self.ip, port))
            for piece in pieces:
                await loop.sock_sendall(client, piece)

    async def _sample_loop(self) -> None:
        while self.alive:
            self._sample()
            await asyncio.sleep(_SAMPLE_INTERVAL_S)

    def _sample(self) -> None:
        folder = pathlib.Path("/proc") / str(self._process.pid)
        try:
            lines = (folder / "status").read_text().splitlines()
            links = [os.readlink(each) for each in (folder / "fd").iterdir()]
        except OSError:
            return
        resident = [line for line in lines if line.startswith("VmRSS:")]
        if not resident:
            return
        used = int(resident[0].split()[1]) * 1024 + self._unread_bytes()
        self.peak_bytes = max(self.peak_bytes, used)
        sockets = sum(link.startswith("socket:") for link in links)
        self.peak_sockets = max(self.peak_sockets, sockets)

    def _unread_bytes(self) -> int:
        """Returns the bytes that the kernel holds for the process."""
        packed = socket.inet_aton(self.ip)
        address = f"{int.from_bytes(packed, sys.byteorder):08X}"
        total = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, remote, state, queues, *_ = line.split()
            if not local.startswith(address) or state == "0A":
                continue
            # Clients connect from 127.0.0.1 and read nothing themselves.
            total += int(queues.partition(":")[2], 16)
        return total


class OwnInterfaceProcess(Process):
    """A host process with the interface of `laburnumgate_host`."""

    def __init__(self, folder: pathlib.Path, limits: Limits):
        super().__init__(folder, limits)
        self._request = head("GET", "/metrics", "Connection: close")

    async def start(self, stdout: int | None = None) -> None:
        """Starts the process, without a log or other hosts."""
        path = self._folder / "host.toml"
        path.write_text(_OWN_SETTINGS.format(ip=self.ip))
        arguments = ["-m", "laburnumgate_host.command", "--settings", str(path)]
        await self._start_process(arguments, {}, stdout)


@contextlib.asynccontextmanager
async def running(
    folder: pathlib.Path,
    limits: Limits,
    stdout: int | None = None,
    kind: type[Process] = Process,
) -> AsyncIterator[Process]:
    """Runs a host process until the block ends."""
    process = kind(folder, limits)
    try:
        await process.start(stdout)
        yield process
    finally:
        await process.end()


def problems(process: Process) -> list[str]:
    """Returns which limits the process has exceeded."""
    found = []
    if not process.alive:
        found.append("the process ended")
    limit = process.limits.memory_mb * _MIB
    if process.peak_bytes > limit:
        found.append(f"memory: {process.peak_bytes >> 20} MB")
    if process.peak_sockets > process.limits.max_fds - FILE_DESCRIPTORS:
        found.append(f"sockets: {process.peak_sockets}")
    return found
