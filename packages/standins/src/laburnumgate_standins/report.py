"""Formats the demo's report."""

from collections.abc import Iterable

from laburnumgate_standins import audit
from laburnumgate_standins import layout as layout_module
from laburnumgate_standins import processes
from laburnumgate_standins import traffic

_DEFINITIONS = """\
completion time: from a caller's first submission until it has the outcome,
  of the requests that ran
fragmentation: share of the free accelerators that are on endpoints in partial
  use, where no part that needs a whole endpoint fits; mean of the samples
  from the first submission to the last outcome
work during the zone change: accelerator-seconds in use from the order to take
  the zone out until 2 s after its return was in force everywhere"""


def requests(
    calls: list[traffic.Call],
    history: audit.History,
    layout: layout_module.Layout,
    names_by_url: dict[str, str],
) -> str:
    """Formats a table of all requests with their verdicts and zones."""
    rows = [
        (
            "request",
            "kind",
            "gang",
            "once",
            "intent",
            "through",
            "told",
            "seconds",
            "ran in",
        )
    ]
    for made in calls:
        body = made.order.body
        once = traffic.at_most_once(made.order, layout)
        rows.append(
            (
                made.order.job_id,
                body["kind"],
                f"{body['parts']}x{body['accelerators_per_part']}",
                "once" if once else "",
                made.order.intent.value,
                names_by_url[made.host_url],
                made.kind,
                f"{made.seconds:.2f}",
                " then ".join(history.zones(made.order.job_id)) or "-",
            )
        )
    return _align(rows)


def measures(
    calls: list[traffic.Call],
    fragmentation: float,
    work_by_zone: dict[str, float],
    window_s: float,
    layout: layout_module.Layout,
) -> str:
    """Formats the three measures with their definitions."""
    times = sorted(made.seconds for made in calls if made.kind == "ran")
    lines = [_DEFINITIONS, ""]
    if times:
        median = times[len(times) // 2]
        high = times[int(len(times) * 0.95)]
        lines.append(
            f"completion time: median {median:.2f} s, 95th percentile "
            f"{high:.2f} s, longest {times[-1]:.2f} s ({len(times)} requests)"
        )
    lines.append(f"fragmentation: {fragmentation:.3f}")
    capacity = layout.endpoints_per_rack * layout.accelerators * window_s
    parts = [
        f"{zone} {work:.0f} of {capacity:.0f}"
        for zone, work in work_by_zone.items()
    ]
    lines.append(
        f"work during the zone change ({window_s:.1f} s): "
        f"{sum(work_by_zone.values()):.0f} accelerator-seconds "
        f"({', '.join(parts)})"
    )
    return "\n".join(lines)


def process_table(found: Iterable[processes.Process]) -> str:
    """Formats a table of pids, threads, children and resident memory."""
    rows = [("process", "pid", "threads", "children", "resident")]
    for process in found:
        rows.append(
            (
                process.name,
                str(process.pid),
                str(process.threads),
                str(len(process.children)),
                f"{process.resident_kb / 1024:.0f} MiB",
            )
        )
    return _align(rows)


def _align(rows: list[tuple[str, ...]]) -> str:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = []
    for row in rows:
        cells = (
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)
