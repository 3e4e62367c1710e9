"""Deselects the tests listed in KNOWN-RED.txt and prints their names.

Setting the environment variable KNOWN_RED runs them as well.
"""

import os
import pathlib

_LIST_PATH = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
_TEST_PREFIX = "test: "


def _known_red() -> set[str]:
    if not _LIST_PATH.exists() or os.environ.get("KNOWN_RED"):
        return set()
    return {
        line.removeprefix(_TEST_PREFIX).strip()
        for line in _LIST_PATH.read_text().splitlines()
        if line.startswith(_TEST_PREFIX)
    }


def pytest_collection_modifyitems(config, items):
    """Deselects the listed tests and no others."""
    listed = _known_red()
    deselected = [item for item in items if item.nodeid in listed]
    if not deselected:
        return
    items[:] = [item for item in items if item.nodeid not in listed]
    config.hook.pytest_deselected(items=deselected)
    config.known_red = [item.nodeid for item in deselected]


def pytest_terminal_summary(terminalreporter, config):
    """Prints the tests that were deselected."""
    for name in getattr(config, "known_red", ()):
        terminalreporter.write_line(f"known red, not run: {name}")
