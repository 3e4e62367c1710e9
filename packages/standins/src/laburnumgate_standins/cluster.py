"""Starts the stand-ins and the hosts of a layout as processes.

Only tests, benchmarks and the demo use this module: the product's own
processes never start child processes.
"""

import asyncio
import dataclasses
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile

import aiohttp

from laburnumgate_standins import layout as layout_module

MAX_READY_ATTEMPTS = 600
READY_POLL_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True)
class HostProcess:
    """Identity and addresses of a host daemon."""

    host_id: str
    zone: str
    ip: str
    http_port: int
    rpc_port: int

    @property
    def url(self) -> str:
        """Base URL of the host's HTTP server."""
        return f"http://{self.ip}:{self.http_port}"


class Cluster:
    """Runs the processes of one layout on loopback addresses."""

    def __init__(
        self,
        layout: layout_module.Layout,
        timing: dict[str, int] | None = None,
        log_options: tuple[str, ...] = (),
        live_lag_ms: int = 300,
        limits: dict[str, int] | None = None,
    ):
        self.layout = layout
        self.hosts_by_id: dict[str, HostProcess] = {}
        self.processes_by_name: dict[str, subprocess.Popen] = {}
        self.endpoint_urls_by_id: dict[str, str] = {}
        self.log_url = ""
        self.live_url = ""
        self._timing = timing or {}
        self._limits = limits or {}
        self._log_options = log_options
        self._live_lag_ms = live_lag_ms
        self._folder = tempfile.TemporaryDirectory(prefix="laburnumgate-")
        self.folder = pathlib.Path(self._folder.name)

    async def start(self) -> None:
        """Starts all processes and waits until every host is ready."""
        log_port, live_port = _free_port("127.0.0.1"), _free_port("127.0.0.1")
        self.log_url = f"http://127.0.0.1:{log_port}"
        self.live_url = f"http://127.0.0.1:{live_port}"
        self._start_standin(
            "log", "log", ["--port", str(log_port), *self._log_options]
        )
        lag_arguments = ["--lag-ms", str(self._live_lag_ms)]
        self._start_standin(
            "livelist", "livelist", ["--port", str(live_port), *lag_arguments]
        )
        endpoints = self._start_racks()
        hosts = self._plan_hosts()
        await _wait_until_ok(f"{self.live_url}/live")
        async with aiohttp.ClientSession() as session:
            live = {"hosts": hosts, "endpoints": endpoints}
            await session.put(f"{self.live_url}/live", json=live)
        await _wait_until_ok(f"{self.log_url}/streams/config/records")
        for host_id in self.hosts_by_id:
            self.start_host(host_id)
        for host in self.hosts_by_id.values():
            await _wait_until_ok(f"{host.url}/v1/ready")

    def start_host(self, host_id: str) -> None:
        """Starts or restarts the daemon of one host."""
        host = self.hosts_by_id[host_id]
        path = self.folder / f"{host_id}.toml"
        path.write_text(self._settings_text(host))
        self._start(
            host_id,
            [
                sys.executable,
                "-m",
                "laburnumgate_host.command",
                "--settings",
                str(path),
            ],
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process of the cluster."""
        self.processes_by_name[name].send_signal(number)

    def wait(self, name: str, timeout_s: float) -> int:
        """Waits for a process to exit and returns its exit code.

        Raises:
          subprocess.TimeoutExpired: if it is still running after `timeout_s`.
        """
        return self.processes_by_name[name].wait(timeout=timeout_s)

    def stop(self) -> None:
        """Terminates all processes and deletes their working directory."""
        for process in self.processes_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.processes_by_name.values():
            try:
                process.wait(timeout=15)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._folder.cleanup()

    def _plan_hosts(self) -> list[dict]:
        entries = []
        for zone_number, zone in enumerate(self.layout.zones, start=1):
            for index in range(1, self.layout.hosts_by_zone[zone] + 1):
                ip = f"127.0.{zone_number}.{index}"
                host = HostProcess(
                    f"{zone}-h{index}",
                    zone,
                    ip,
                    _free_port(ip),
                    _free_port(ip),
                )
                self.hosts_by_id[host.host_id] = host
                entries.append(
                    {
                        "id": host.host_id,
                        "zone": zone,
                        "rpc_ip": ip,
                        "rpc_port": host.rpc_port,
                        "state": "live",
                    }
                )
        return entries

    def _start_racks(self) -> list[dict]:
        layout = self.layout
        entries = []
        for zone_number, zone in enumerate(layout.zones, start=1):
            rack = f"{zone}-r1"
            ip = f"127.0.{zone_number}.100"
            port = _free_port(ip)
            speed = layout.speed_by_zone[zone]
            arguments = ["--ip", ip, "--port", str(port), "--prefix", rack]
            arguments += ["--count", str(layout.endpoints_per_rack)]
            arguments += ["--accelerators", str(layout.accelerators)]
            arguments += ["--speed", str(speed)]
            self._start_standin(rack, "endpoint", arguments)
            for index in range(1, layout.endpoints_per_rack + 1):
                name = f"{rack}-{index}"
                url = f"http://{ip}:{port}/{name}"
                self.endpoint_urls_by_id[name] = url
                entries.append(
                    {
                        "id": name,
                        "zone": zone,
                        "rack": rack,
                        "url": url,
                        "accelerators": layout.accelerators,
                        "cpus": layout.cpus,
                        "memory_mb": layout.memory_mb,
                        "slots": layout.slots,
                        "connections": layout.connections,
                        "speed": speed,
                        "state": "live",
                    }
                )
        return entries

    def _settings_text(self, host: HostProcess) -> str:
        lines = [
            "[host]",
            f'host_id = "{host.host_id}"',
            f'zone = "{host.zone}"',
            f'region = "{self.layout.region}"',
            f'ip = "{host.ip}"',
            f"http_port = {host.http_port}",
            f"rpc_port = {host.rpc_port}",
            "[platform]",
            f'log_url = "{self.log_url}"',
            f'live_list_url = "{self.live_url}"',
            "[timing]",
            *(f"{name} = {value}" for name, value in self._timing.items()),
            "[limits]",
            *(f"{name} = {value}" for name, value in self._limits.items()),
        ]
        return "\n".join(lines) + "\n"

    def _start_standin(
        self, name: str, module: str, arguments: list[str]
    ) -> None:
        command = [sys.executable, "-m", f"laburnumgate_standins.{module}"]
        self._start(name, [*command, *arguments])

    def _start(self, name: str, command: list[str]) -> None:
        output = (self.folder / f"{name}.log").open("ab")
        self.processes_by_name[name] = subprocess.Popen(
            command,
            stdout=output,
            stderr=output,
            stdin=subprocess.DEVNULL,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        output.close()


def _free_port(ip: str) -> int:
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


async def _wait_until_ok(url: str) -> None:
    async with aiohttp.ClientSession() as session:
        for _ in range(MAX_READY_ATTEMPTS):
            try:
                async with session.get(url) as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(READY_POLL_INTERVAL_S)
    raise TimeoutError(f"{url} did not answer with status 200")
