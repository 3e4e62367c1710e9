"""Formats the demo's report."""

from collections.abc import Iterable

from laburnumgate_standins import audit
from laburnumgate_standins import layout as layout_module
from laburnumgate_standins import processes
from laburnumgate_standins import traffic

_DEFINITIONS = """\
completion time: from a caller's first submission until it receives the
  outcome, of the requests that ran
fragmentation: fraction of the free accelerators that are on partly used
  endpoints, where no part that needs a whole endpoint fits; mean of the samples
  from the first submission to the last outcome
work during the zone change: accelerator-seconds used from the request to take
  the zone out of service until 2 s after its return was in force everywhere"""


def request_table(
    calls: list[traffic.Call],
    history: audit.History,
    layout: layout_module.Layout,
    host_ids_by_url: dict[str, str],
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
    for call in calls:
        body = call.request.body
        at_most_once = traffic.at_most_once(call.request, layout)
        rows.append(
            (
                call.request.job_id,
                body["kind"],
                f"{body['parts']}x{body['accelerators_per_part']}",
                "once" if at_most_once else "",
                call.request.intent.value,
                host_ids_by_url[call.host_url],
                call.kind,
                f"{call.seconds:.2f}",
                " then ".join(history.zones(call.request.job_id)) or "-",
            )
        )
    return _format_table(rows)


def measures(
    calls: list[traffic.Call],
    fragmentation: float,
    work_by_zone: dict[str, float],
    window_s: float,
    layout: layout_module.Layout,
) -> str:
    """Formats the three measures with their definitions."""
    times = sorted(call.seconds for call in calls if call.kind == "ran")
    lines = [_DEFINITIONS, ""]
    if times:
        median = times[len(times) // 2]
        p95 = times[int(len(times) * 0.95)]
        lines.append(
            f"completion time: median {median:.2f} s, 95th percentile "
            f"{p95:.2f} s, longest {times[-1]:.2f} s ({len(times)} requests)"
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


def process_table(snapshots: Iterable[processes.Process]) -> str:
    """Formats a table of pids, threads, children and resident memory."""
    rows = [("process", "pid", "threads", "children", "resident")]
    for process in snapshots:
        rows.append(
            (
                process.name,
                str(process.pid),
                str(process.threads),
                str(len(process.children)),
                f"{process.resident_kb / 1024:.0f} MiB",
            )
        )
    return _format_table(rows)


def _format_table(rows: list[tuple[str, ...]]) -> str:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = []
    for row in rows:
        cells = (
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)
