"""Generates the reference tables in the documentation.

`python -m laburnumgate_host.reference PAGE...` rewrites the tables between
the markers in the given pages; a test checks that they are up to date.
"""

import logging
import pathlib

import click

from laburnumgate_host import events
from laburnumgate_host import metrics
from laburnumgate_host import settings

_MARKER = "<!-- {edge} {name} (python -m laburnumgate_host.reference) -->"


def settings_table() -> str:
    """Returns a Markdown table of all settings."""
    rows = [("Setting", "Value", "Default", "Meaning")]
    for item in settings.describe():
        default = f"`{item.default}`" if item.default else "must be set"
        rows.append((f"`{item.name}`", item.kind, default, item.meaning))
    return _table(rows)


def events_table() -> str:
    """Returns a Markdown table of all log events."""
    rows = [("Number", "Name", "Level", "Message", "Fields")]
    for event in events.Event:
        fields = ", ".join(f"`{name}`" for name in event.fields)
        rows.append(
            (
                str(event.number),
                f"`{event.name.lower()}`",
                logging.getLevelName(event.level),
                event.text,
                fields,
            )
        )
    return _table(rows)


def metrics_table() -> str:
    """Returns a Markdown table of all metrics."""
    rows = [("Metric", "Kind", "Meaning")]
    for metric in metrics.Metrics().registry.get_all():
        kind = type(metric).__name__.lower()
        rows.append((f"`{metric.name}`", kind, metric.doc))
    return _table(rows)


TABLES_BY_NAME = {
    "settings": settings_table,
    "events": events_table,
    "metrics": metrics_table,
}


def fill_tables(page: str) -> str:
    """Returns `page` with the tables between its markers regenerated."""
    for name, build in TABLES_BY_NAME.items():
        begin = _MARKER.format(edge="begin", name=name)
        end = _MARKER.format(edge="end", name=name)
        if begin not in page:
            continue
        head, _, rest = page.partition(begin)
        _, _, tail = rest.partition(end)
        page = f"{head}{begin}\n{build()}\n{end}{tail}"
    return page


def _table(rows: list[tuple[str, ...]]) -> str:
    lines = ["| " + " | ".join(row).replace("| |", "|  |") for row in rows]
    lines = [f"{line} |" for line in lines]
    lines.insert(1, "|" + "---|" * len(rows[0]))
    return "\n".join(lines)


@click.command()
@click.argument(
    "pages", nargs=-1, type=click.Path(exists=True, path_type=pathlib.Path)
)
def main(pages: tuple[pathlib.Path, ...]) -> None:
    """Rewrites the generated tables in the given pages."""
    for path in pages:
        path.write_text(fill_tables(path.read_text()))


if __name__ == "__main__":
    main()
