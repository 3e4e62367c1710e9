"""Reads threads, children, memory and CPU time of processes from /proc."""

import dataclasses
import os
import pathlib


@dataclasses.dataclass(frozen=True)
class Process:
    """Snapshot of a process: its thread count, children and memory."""

    name: str
    pid: int
    threads: int
    children: tuple[int, ...]
    resident_kb: int


def read(name: str, pid: int) -> Process | None:
    """Returns a snapshot of a process, or None if it has exited."""
    proc_dir = pathlib.Path("/proc") / str(pid)
    try:
        status = (proc_dir / "status").read_text()
        children: list[int] = []
        tasks = list((proc_dir / "task").iterdir())
        for task in tasks:
            text = (task / "children").read_text()
            children += [int(number) for number in text.split()]
    except OSError:
        return None
    fields = dict(
        line.split(":\t", 1) for line in status.splitlines() if ":\t" in line
    )
    if "VmRSS" not in fields:
        # A zombie: the process has exited but has not been waited for.
        return None
    resident_kb = int(fields["VmRSS"].split()[0])
    return Process(name, pid, len(tasks), tuple(children), resident_kb)


def cpu_seconds(pid: int) -> float:
    """Returns the CPU time that a process has used, in s.

    Raises:
      OSError: if the process has exited.
    """
    text = (pathlib.Path("/proc") / str(pid) / "stat").read_text()
    # The command name can contain spaces and parentheses, so fields are
    # counted from the last closing parenthesis.
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
