"""Tables of the documentation that come from the code.

`python -m laburnumgate_host.reference PAGE...` rewrites the tables between
the marks in the named pages; a test compares pages and code.
"""

import logging
import pathlib

import click

from laburnumgate_host import events
from laburnumgate_host import metrics
from laburnumgate_host import settings

_MARK = "<!-- {edge} {name} (python -m laburnumgate_host.reference) -->"


def settings_table() -> str:
    """Returns the table of every setting in Markdown."""
    rows = [("Setting", "Value", "Default", "Meaning")]
    for item in settings.describe():
        default = f"`{item.default}`" if item.default else "must be set"
        rows.append((f"`{item.name}`", item.kind, default, item.meaning))
    return _table(rows)


def events_table() -> str:
    """Returns the table of every log event in Markdown."""
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
    """Returns the table of every metric in Markdown."""
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


def fill(page: str) -> str:
    """Returns `page` with the text between its marks replaced."""
    for name, build in TABLES_BY_NAME.items():
        begin = _MARK.format(edge="begin", name=name)
        end = _MARK.format(edge="end", name=name)
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
    """Rewrites the generated tables of the named pages."""
    for path in pages:
        path.write_text(fill(path.read_text()))


if __name__ == "__main__":
    main()
