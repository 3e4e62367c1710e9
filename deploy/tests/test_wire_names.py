"""Tests that the names of the platform's wire format stay in the adapter."""

import pathlib
import re

_ROOT = pathlib.Path(__file__).parents[2]
_NAMES = re.compile(
    r"\b(run[-_]start|run-stop|log-append|log-read|log-newest|ack_cursor|"
    r"path_prefix|api_keys|task_spec|est_duration_ms|max_per_server|"
    r"cold_remaining_ms|fetch_max_kb|LABURNUMGATE_BOOT|"
    r"X-Laburnumgate-[A-Z]\w+)\b"
)


def test_packages_contain_no_wire_names():
    """Guards against platform-specific wire names outside the adapter."""
    found = [
        f"{path.relative_to(_ROOT)}: {match.group()}"
        for path in _ROOT.glob("packages/*/src/**/*.py")
        for match in _NAMES.finditer(path.read_text())
    ]
    assert not found
