"""Checks that the catalogue of log events matches the code."""

import ast
import pathlib

import laburnumgate_host
from laburnumgate_host import events
from laburnumgate_host import reference

PAGE = pathlib.Path(__file__).parents[3] / "docs/events.md"
SOURCE = pathlib.Path(laburnumgate_host.__file__).parent


def emitted() -> list[tuple[str, events.Event, set[str]]]:
    """Returns the calls of `events.emit` with a literal event."""
    found = []
    for path in sorted(SOURCE.glob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call):
                continue
            if not ast.unparse(node.func).endswith("events.emit"):
                continue
            name = ast.unparse(node.args[1]).rpartition("Event.")[2]
            if name not in events.Event.__members__:
                continue
            fields = {keyword.arg for keyword in node.keywords} - {"level"}
            location = f"{path.name}:{node.lineno}"
            found.append((location, events.Event[name], fields))
    return found


def test_numbers_are_unique():
    """Alerts match on numbers, so a number must identify one event."""
    numbers = [event.number for event in events.Event]
    assert len(numbers) == len(set(numbers))


def test_the_catalogue_shows_the_events_of_the_code():
    """The page must match the code.

    `python -m laburnumgate_host.reference docs/events.md` rewrites the table;
    the section of a new event is written by hand.
    """
    page = PAGE.read_text()
    assert page == reference.fill_tables(page)
    sections = [line for line in page.splitlines() if line.startswith("### ")]
    wanted = [f"### {e.number} {e.name.lower()}" for e in events.Event]
    assert sections == wanted


def test_emitted_fields_are_those_declared():
    """Logged fields must match the fields in the catalogue."""
    calls = emitted()
    assert calls
    fields_by_event = {}
    for location, event, fields in calls:
        assert fields <= set(event.fields), f"{location}: {event.name}"
        fields_by_event.setdefault(event, set()).update(fields)
    for event, fields in fields_by_event.items():
        assert fields == set(event.fields), f"{event.name}: never emitted"
