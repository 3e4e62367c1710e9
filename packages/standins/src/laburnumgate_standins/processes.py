"""Threads and children of the demo's processes, read from /proc."""

import dataclasses
import os
import pathlib


@dataclasses.dataclass(frozen=True)
class Process:
    """One process and its threads and children at the time it was read."""

    name: str
    pid: int
    threads: int
    children: tuple[int, ...]
    resident_kb: int


def read(name: str, pid: int) -> Process | None:
    """Returns the state of a process, or None if it has ended."""
    folder = pathlib.Path("/proc") / str(pid)
    try:
        status = (folder / "status").read_text()
        children: list[int] = []
        tasks = list((folder / "task").iterdir())
        for task in tasks:
            text = (task / "children").read_text()
            children += [int(number) for number in text.split()]
    except OSError:
        return None
    fields = dict(
        line.split(":\t", 1) for line in status.splitlines() if ":\t" in line
    )
    if "VmRSS" not in fields:
        # The process has ended and was not waited for yet.
        return None
    resident_kb = int(fields["VmRSS"].split()[0])
    return Process(name, pid, len(tasks), tuple(children), resident_kb)


def cpu_seconds(pid: int) -> float:
    """Returns the processor time of a process so far, in s.

    Raises:
      OSError: if the process has ended.
    """
    text = (pathlib.Path("/proc") / str(pid) / "stat").read_text()
    # The command name may hold spaces; the fields follow its parenthesis.
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
