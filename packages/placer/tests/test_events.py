"""Tests that docs/placer-events.md matches the events in the code."""

import pathlib
import re

from laburnumgate_placer import events

_ROOT = pathlib.Path(__file__).parents[3]


def test_numbers_are_unique():
    """Guards against two events with the same number."""
    numbers = [event.number for event in events.Event]
    assert len(set(numbers)) == len(numbers)


def test_every_event_is_emitted_and_in_the_catalogue():
    """Guards against a catalogue that does not match the code."""
    page = (_ROOT / "docs/placer-events.md").read_text()
    rows = dict(re.findall(r"^\| (\d+) \| ([^|]+) \|", page, re.MULTILINE))
    expected = {str(event.number): event.text for event in events.Event}
    assert {number: text.strip() for number, text in rows.items()} == expected
    sources = [
        *_ROOT.glob("packages/placer/src/**/*.py"),
        *_ROOT.glob("platform/*.py"),
    ]
    code = "".join(path.read_text() for path in sources)
    for event in events.Event:
        assert f"Event.{event.name}" in code, event.name
