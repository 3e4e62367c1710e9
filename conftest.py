"""Deselects the tests listed in KNOWN-RED.txt and prints their names.

Setting the environment variable KNOWN_RED runs them as well.
"""

import os
import pathlib

_LIST = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
_PREFIX = "test: "


def _known_red() -> set[str]:
    if not _LIST.exists() or os.environ.get("KNOWN_RED"):
        return set()
    return {
        line.removeprefix(_PREFIX).strip()
        for line in _LIST.read_text().splitlines()
        if line.startswith(_PREFIX)
    }


def pytest_collection_modifyitems(config, items):
    """Deselects the listed tests and no others."""
    listed = _known_red()
    left_out = [item for item in items if item.nodeid in listed]
    if not left_out:
        return
    items[:] = [item for item in items if item.nodeid not in listed]
    config.hook.pytest_deselected(items=left_out)
    config.known_red = [item.nodeid for item in left_out]


def pytest_terminal_summary(terminalreporter, config):
    """Prints the tests that were deselected."""
    for name in getattr(config, "known_red", ()):
        terminalreporter.write_line(f"known red, not run: {name}")
