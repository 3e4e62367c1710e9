"""Reconciles endpoint reports with the expected runs."""

from laburnumgate_placer import endpoint_table
from laburnumgate_placer import lifecycle
from laburnumgate_placer import model
from laburnumgate_placer import progress
from laburnumgate_placer import tables as tables_module
from laburnumgate_placer import termination
from laburnumgate_placer.overload import stragglers

# Maximum number of ends that an endpoint lists at a time, the lowest first.
ENDS_PER_REPORT = 500
# Minimum interval at which an unknown run is stopped again.
MIN_STOP_INTERVAL_MS = 500


def apply(
    tables: tables_module.Tables,
    state: endpoint_table.EndpointState,
    report: model.Report,
    sent_ms: int,
) -> list[model.ReportedRun]:
    """Applies a report of the current endpoint incarnation.

    Args:
      tables: the leader's tables.
      state: the endpoint.
      report: the report.
      sent_ms: monotonic time at which the report was requested.

    Returns:
      Unknown runs, which the leader does not expect there, that have to be
      stopped now.
    """
    now_ms = tables.monotonic.now_ms()
    observed_ms = _observed_ms(state, report, now_ms)
    state.report_clock_ms = report.clock_ms
    state.set_clock(report.clock_ms, now_ms)
    state.contacted = True
    if state.doubted:
        state.doubted = False
        tables.wake.set()
    state.reported_ms = now_ms
    state.listed_end = max((row.number for row in report.ended), default=0)
    for row in (*report.running, *report.ended):
        state.pending_starts.observe((row.task, row.run))
    for row in sorted(report.ended, key=lambda r: r.number):
        if row.number <= state.handled_end:
            continue
        state.handled_end = row.number
        lifecycle.apply_end(tables, state, row)
    rows = {(row.task, row.run): row for row in report.running}
    whole_by_run: dict[int, bool] = {}
    lists_all_ends = len(report.ended) < ENDS_PER_REPORT
    for key, member in list(state.members.items()):
        row = rows.pop(key, None)
        if row is not None:
            _update_member(
                tables, member, row, now_ms, observed_ms, whole_by_run
            )
            continue
        if not lists_all_ends:
            # The end of this run may be one of the others.
            continue
        proof = termination.from_report(member, sent_ms)
        if proof is not None:
            lifecycle.mark_terminated(tables, member, proof)
    return _find_unknown_runs(tables, state, rows, now_ms)


def _observed_ms(
    state: endpoint_table.EndpointState, report: model.Report, now_ms: int
) -> int | None:
    """Returns the time since the last report, None after an outage."""
    if not state.reported_ms or state.unreachable_ms >= state.reported_ms:
        return None
    return stragglers.observed_ms(
        report.clock_ms - state.report_clock_ms, now_ms - state.reported_ms
    )


def _update_member(
    tables: tables_module.Tables,
    member: progress.Member,
    row: model.ReportedRun,
    now_ms: int,
    observed_ms: int | None,
    whole_by_run: dict[int, bool],
) -> None:
    if row.percent > member.percent:
        member.still_ms = 0
        member.stalled = False
    elif (
        observed_ms is None
        or not member.present
        or not _is_whole(tables, member.run, whole_by_run)
    ):
        member.still_ms = 0
    else:
        member.still_ms += observed_ms
    member.present = True
    member.confirmed = True
    if not member.base_ms:
        member.base_ms = now_ms
        member.base_percent = row.percent
    # Repeated reports of a complete task are no observations, as the time at
    # which it was completed is unknown.
    if (
        row.percent < stragglers.COMPLETE_PERCENT
        or member.percent < stragglers.COMPLETE_PERCENT
    ):
        member.percent = row.percent
        member.percent_at_ms = now_ms
        tables.durations.observe(member)
    member.load = row.load
    if row.checkpoint:
        member.run.unit.checkpoint = row.checkpoint


def _is_whole(
    tables: tables_module.Tables,
    run: progress.Run,
    whole_by_run: dict[int, bool],
) -> bool:
    """Whether all members of a run are known to be running.

    The members of a gang wait for each other at the start, and may do so while
    one of them is cut off.

    Args:
      tables: the leader's tables.
      run: the run.
      whole_by_run: answers for the same report, by the id of the run object;
        updated.
    """
    if id(run) not in whole_by_run:
        whole_by_run[id(run)] = _all_running(tables, run)
    return whole_by_run[id(run)]


def _all_running(tables: tables_module.Tables, run: progress.Run) -> bool:
    if run.phase != progress.Phase.RUNNING:
        return False
    if len(run.members) == 1:
        return True
    for member in run.members:
        state = tables.endpoints.by_id.get(member.endpoint_id)
        if not member.present or state is None or not state.answering:
            return False
    return True


def _find_unknown_runs(
    tables: tables_module.Tables,
    state: endpoint_table.EndpointState,
    rows: dict[tuple[model.TaskKey, int], model.ReportedRun],
    now_ms: int,
) -> list[model.ReportedRun]:
    """Records the reported runs without a member; returns those to stop now.

    A stop may be lost or refused, so that it is repeated while the run is
    reported.
    """
    interval_ms = max(MIN_STOP_INTERVAL_MS, tables.bounds.stop_ms)
    found = []
    unknown_runs = {}
    for key, row in rows.items():
        stopped_ms = state.unknown_runs.get(key)
        if stopped_ms is not None and now_ms - stopped_ms < interval_ms:
            unknown_runs[key] = stopped_ms
            continue
        unknown_runs[key] = now_ms
        found.append(row)
        lifecycle.withdraw(tables, row.task)
    if state.unknown_runs and not unknown_runs:
        tables.wake.set()
    state.unknown_runs = unknown_runs
    return found
