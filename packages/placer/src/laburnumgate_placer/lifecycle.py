"""State transitions of jobs, units, runs and members, without I/O."""

from collections.abc import Callable
import dataclasses
import logging

from laburnumgate_placer import endpoint_table
from laburnumgate_placer import events
from laburnumgate_placer import metrics
from laburnumgate_placer import model
from laburnumgate_placer import progress
from laburnumgate_placer import tables as tables_module
from laburnumgate_placer import termination

_LOGGER = logging.getLogger(__name__)

# Backoff before a unit is retried whose run failed or could not start.
RETRY_PAUSE_MS = 100


def open_job(tables: tables_module.Tables, job: model.Job) -> progress.JobEntry:
    """Adds a new job and opens the steps that are due.

    A job whose cancellation was stored first ends at once.
    """
    now_ms = tables.monotonic.now_ms()
    entry = progress.JobEntry(job, now_ms)
    tables.entries_by_id[job.job_id] = entry
    if tables.jobs.cancelled(job.job_id):
        cancel_job(tables, job.job_id)
        return entry
    entry.open_due_steps(tables.wall.now_ms(), now_ms)
    tables.wake.set()
    return entry


def cancel_job(tables: tables_module.Tables, job_id: str) -> None:
    """Stops all runs of a job that its caller cancelled."""
    entry = tables.entries_by_id.get(job_id)
    if entry is None or entry.state.final:
        return
    set_state(tables, entry, model.JobState.CANCELLED, "by its caller")
    _stop_all(tables, entry, "job cancelled")


def set_state(
    tables: tables_module.Tables,
    entry: progress.JobEntry,
    state: model.JobState,
    reason: str = "",
) -> None:
    """Changes the state of a job, unless it is terminal."""
    if entry.state == state or entry.state.final:
        return
    entry.state = state
    entry.reason = reason
    events.emit(
        _LOGGER,
        events.Event.JOB_STATE,
        job=entry.job.job_id,
        account=entry.job.account,
        queue=entry.job.queue.name,
        state=state.value,
        reason=reason,
        age_ms=tables.monotonic.now_ms() - entry.arrived_ms,
        token=tables.token,
    )
    tables.mark_dirty(entry.job.job_id)


def assign(
    tables: tables_module.Tables,
    unit: progress.Unit,
    endpoint_ids: list[str],
    tickets_by_endpoint: dict[str, str] | None = None,
) -> progress.Run:
    """Assigns a new run to a unit; it starts once it is recorded.

    Raises:
      ValueError: if the unit is not waiting or has a run, which would be
        forgotten while it may go on.
    """
    if unit.state != progress.UnitState.WAITING or unit.run is not None:
        raise ValueError(f"{unit.key} is not waiting for a run")
    now_ms = tables.monotonic.now_ms()
    unit.last_run += 1
    unit.state = progress.UnitState.ACTIVE
    run = progress.Run(unit, unit.last_run, [], assigned_ms=now_ms)
    run.tickets_by_endpoint = tickets_by_endpoint or {}
    for task, endpoint_id in zip(unit.tasks(), endpoint_ids, strict=True):
        state = tables.endpoints.by_id[endpoint_id]
        info = state.info
        member = progress.Member(
            task, endpoint_id, info.born_ms, run, machine=info.machine
        )
        run.members.append(member)
        state.charge(member)
        tables.usage.add(member)
    unit.run = run
    tables.assigned_runs.append(run)
    tables.mark_dirty(unit.key.job_id)
    events.emit(
        _LOGGER,
        events.Event.ASSIGNED,
        job=unit.key.job_id,
        occurrence=unit.key.occurrence,
        step=unit.key.step,
        index=unit.key.index,
        run=run.number,
        endpoints=sorted(set(endpoint_ids)),
        after=unit.last_proof,
        checkpoint=unit.checkpoint,
        waited_ms=now_ms - unit.ready_ms,
        expected_ms=round(
            tables.durations.expected_ms(unit.entry.job, unit.key.step)
        ),
        slowest=round(min(map(tables.durations.speeds.speed, endpoint_ids)), 2),
    )
    return run


def adopt(
    tables: tables_module.Tables,
    run: progress.Run,
    state_for: Callable[[progress.Member], endpoint_table.EndpointState],
    pending_until_ms: int,
) -> None:
    """Adopts a run that an earlier leader recorded.

    Its members count until a report or the end of their leases decides. Members
    on an ended incarnation are given up.

    Args:
      tables: the leader's tables.
      run: the run.
      state_for: returns the endpoint of a member.
      pending_until_ms: monotonic time until which a start order of the earlier
        leader may be carried out.
    """
    for member in run.members:
        state = state_for(member)
        state.pending_starts.adopt(
            (member.task, member.run.number), pending_until_ms
        )
        if state.ended:
            lose_recorded(tables, state, member)
            continue
        if state.info.born_ms != member.born_ms:
            if state.contacted:
                lose_recorded(tables, state, member)
                continue
            # A start order of the earlier leader may still reach the listed
            # incarnation. The first report shows whether it did, and the call
            # for it fences such orders.
            _record_lost(tables, state, member)
            member.born_ms = state.info.born_ms
        member.report_valid_from_ms = 1
        state.charge(member)
        tables.usage.add(member)


def stop_run(
    tables: tables_module.Tables, run: progress.Run, reason: str
) -> None:
    """Stops a run; members without a start order terminate at once."""
    if run.phase == progress.Phase.STOPPING:
        return
    run.phase = progress.Phase.STOPPING
    key = run.unit.key
    events.emit(
        _LOGGER,
        events.Event.RUN_STOPPED,
        job=key.job_id,
        occurrence=key.occurrence,
        step=key.step,
        index=key.index,
        run=run.number,
        percent=run.percent(),
        reason=reason,
    )
    for member in run.members:
        if member.terminated:
            continue
        proof = termination.from_order(member)
        if proof is not None:
            mark_terminated(tables, member, proof)
            continue
        member.stopping = True
        tables.pending_stops.append(member)
    tables.mark_dirty(key.job_id)


def withdraw(tables: tables_module.Tables, task: model.TaskKey) -> None:
    """Stops the run of a task that has another run, if it was not ordered."""
    entry = tables.entries_by_id.get(task.job_id)
    unit = entry.unit_of(task) if entry else None
    if unit is None or unit.run is None:
        return
    member = unit.run.member_of(task)
    if member is not None and not member.start_sent:
        stop_run(tables, unit.run, "another run of a task is present")


def mark_terminated(
    tables: tables_module.Tables,
    member: progress.Member,
    proof: termination.Proof,
) -> None:
    """Marks a member as terminated and releases its resources.

    Args:
      tables: the leader's tables.
      member: the member.
      proof: why the task is not running and can no longer start.
    """
    if member.terminated:
        return
    member.terminated = True
    member.run.unit.last_proof = type(proof).__name__
    key = member.task
    events.emit(
        _LOGGER,
        events.Event.TASK_OVER,
        job=key.job_id,
        occurrence=key.occurrence,
        step=key.step,
        index=key.index,
        run=member.run.number,
        endpoint=member.endpoint_id,
        born_ms=member.born_ms,
        proof=type(proof).__name__,
        **dataclasses.asdict(proof),
    )
    tables.usage.remove(member)
    state = tables.endpoints.by_id.get(member.endpoint_id)
    if state is not None:
        state.release(member)
    run = member.run
    tables.wake.set()
    if run.all_terminated():
        _finish_run(tables, run)
    elif run.unit.state != progress.UnitState.DONE:
        stop_run(tables, run, f"task {member.task.index} is gone")


def apply_end(
    tables: tables_module.Tables,
    state: endpoint_table.EndpointState,
    row: model.ReportedEnd,
) -> None:
    """Handles the end of a run that an endpoint reported."""
    entry = tables.entries_by_id.get(row.task.job_id)
    unit = entry.unit_of(row.task) if entry else None
    if unit is None:
        return
    member = _find_member(unit, state.info.endpoint_id, row)
    events.emit(
        _LOGGER,
        events.Event.RUN_ENDED,
        job=row.task.job_id,
        occurrence=row.task.occurrence,
        step=row.task.step,
        index=row.task.index,
        run=row.run,
        end=row.kind.value,
        endpoint=state.info.endpoint_id,
        number=row.number,
        current=member is not None,
    )
    metrics.RUN_ENDS.inc({"end": row.kind.value})
    tables.mark_dirty(row.task.job_id)
    done = row.kind == model.EndKind.DONE and not unit.step.long_running
    if row.kind == model.EndKind.FAILED:
        state.record_failure(row.task.job_id, tables.monotonic.now_ms())
        unit.avoided_endpoints.add(state.info.endpoint_id)
        _count_failure(unit, row.run)
    if member is None:
        if done and unit.state != progress.UnitState.DONE:
            # The run was given up while its endpoint was unreachable, but it
            # completed before its lease expired.
            _complete_unit(tables, entry, unit)
            if unit.run is not None:
                stop_run(tables, unit.run, "an earlier run was done")
        elif unit.state == progress.UnitState.WAITING:
            _fail_if_exhausted(tables, unit)
        return
    run = member.run
    if done:
        run.result = row.kind
        if unit.state != progress.UnitState.DONE:
            _record_success(tables, run, state)
            _complete_unit(tables, entry, unit)
    else:
        if row.checkpoint:
            unit.checkpoint = row.checkpoint
        if run.result is None or row.kind == model.EndKind.FAILED:
            run.result = row.kind
    mark_terminated(
        tables, member, termination.EndReported(row.number, row.kind)
    )


def end_incarnation(
    tables: tables_module.Tables,
    state: endpoint_table.EndpointState,
    reason: str,
) -> None:
    """Marks an incarnation of an endpoint as ended; gives up its runs."""
    if state.ended:
        return
    state.ended = True
    events.emit(
        _LOGGER,
        events.Event.ENDPOINT_OVER,
        endpoint=state.info.endpoint_id,
        born_ms=state.info.born_ms,
        reason=reason,
        runs=len(state.members),
        contact_age_ms=tables.monotonic.now_ms() - state.last_answer_ms,
    )
    members = list(state.members.values())
    proof = termination.IncarnationEnded(reason)
    _lose_members(tables, state, members, proof)


def expire_leases(
    tables: tables_module.Tables,
    state: endpoint_table.EndpointState,
    members: list[progress.Member],
    proof: termination.LeasesExpired,
) -> None:
    """Gives up members of an endpoint whose leases have expired.

    Nothing is known about the endpoint itself: it may be cut off or have ended.
    """
    _lose_members(tables, state, members, proof)


def forget_unknown_runs(
    tables: tables_module.Tables, state: endpoint_table.EndpointState
) -> None:
    """Lets the tasks start again whose unknown runs must have ended."""
    state.unknown_runs.clear()
    tables.wake.set()


def lose_recorded(
    tables: tables_module.Tables,
    state: endpoint_table.EndpointState,
    member: progress.Member,
) -> None:
    """Gives up a recorded member whose endpoint has a new incarnation."""
    _record_lost(tables, state, member)
    proof = termination.IncarnationEnded("a later incarnation is known")
    mark_terminated(tables, member, proof)


def _record_lost(
    tables: tables_module.Tables,
    state: endpoint_table.EndpointState,
    member: progress.Member,
) -> None:
    """Records that the incarnation of a recorded member has ended."""
    now_ms = tables.monotonic.now_ms()
    machine = member.machine or state.info.machine
    tables.crashes.record_restored(member, machine, now_ms)
    _log_lost(tables, state, member, "ended")
    if member.run.result is None:
        member.run.result = model.EndKind.LAPSED


def give_up_crashing(tables: tables_module.Tables) -> None:
    """Fails the jobs of tasks that crash the endpoints that start them."""
    now_ms = tables.monotonic.now_ms()
    for found in tables.crashes.find_crashing(tables.endpoints, now_ms):
        key = found.unit.key
        reason = (
            f"{found.crashes} endpoints crashed under task"
            f" {found.task_index} of step {key.step}"
        )
        entry = found.unit.entry
        set_state(tables, entry, model.JobState.FAILED, reason)
        _stop_all(tables, entry, "job failed")
    for job_id in tables.crashes.changed_job_ids:
        tables.mark_dirty(job_id)
    tables.crashes.changed_job_ids.clear()


def close_job(tables: tables_module.Tables, job_id: str) -> None:
    """Removes an ended job whose progress record was dropped."""
    entry = tables.entries_by_id.get(job_id)
    if entry is not None and entry.state.final and not entry.runs():
        del tables.entries_by_id[job_id]
        tables.advice.discard_job(job_id)
        tables.dirty.discard(job_id)


def _lose_members(
    tables: tables_module.Tables,
    state: endpoint_table.EndpointState,
    members: list[progress.Member],
    proof: termination.LeasesExpired | termination.IncarnationEnded,
) -> None:
    ended = isinstance(proof, termination.IncarnationEnded)
    how = "ended" if ended else "lapsed"
    now_ms = tables.monotonic.now_ms()
    tables.crashes.record(tables.endpoints, state, members, ended, now_ms)
    for member in members:
        _log_lost(tables, state, member, how)
        if member.run.result is None:
            member.run.result = model.EndKind.LAPSED
        mark_terminated(tables, member, proof)


def _log_lost(
    tables: tables_module.Tables,
    state: endpoint_table.EndpointState,
    member: progress.Member,
    how: str,
) -> None:
    key = member.task
    metrics.LOST_MEMBERS.inc({"how": how})
    events.emit(
        _LOGGER,
        events.Event.MEMBER_LOST,
        job=key.job_id,
        occurrence=key.occurrence,
        step=key.step,
        index=key.index,
        run=member.run.number,
        endpoint=member.endpoint_id,
        born_ms=member.born_ms,
        machine=state.info.machine,
        how=how,
        confirmed=member.confirmed,
        draining=state.info.draining,
        ran_ms=tables.monotonic.now_ms() - member.run.started_ms,
        contact_age_ms=tables.monotonic.now_ms() - state.last_answer_ms,
    )


def _find_member(
    unit: progress.Unit, endpoint_id: str, row: model.ReportedEnd
) -> progress.Member | None:
    run = unit.run
    if run is None or run.number != row.run:
        return None
    member = run.member_of(row.task)
    if member is None or member.terminated:
        return None
    return member if member.endpoint_id == endpoint_id else None


def _complete_unit(
    tables: tables_module.Tables,
    entry: progress.JobEntry,
    unit: progress.Unit,
) -> None:
    entry.mark_unit_done(unit)
    if entry.state.final:
        return
    if entry.finished():
        set_state(tables, entry, model.JobState.COMPLETED)
        return
    entry.open_due_steps(tables.wall.now_ms(), tables.monotonic.now_ms())


def _finish_run(tables: tables_module.Tables, run: progress.Run) -> None:
    unit = run.unit
    entry = unit.entry
    unit.run = None
    unit.spent_core_s = 0.0
    tables.mark_dirty(unit.key.job_id)
    if unit.state == progress.UnitState.DONE:
        return
    entry.mark_waiting(unit)
    unit.ready_ms = tables.monotonic.now_ms()
    if entry.state.final:
        return
    if _fail_if_exhausted(tables, unit):
        return
    if run.number in unit.failed_runs or run.result is None:
        unit.backoff_until_ms = unit.ready_ms + RETRY_PAUSE_MS


def _count_failure(unit: progress.Unit, number: int) -> None:
    """Counts a failed run once, however many of its tasks failed.

    It counts when its end is reported, since the end is acknowledged then and
    not reported again, and also if the run was given up before.
    """
    if unit.step.long_running or number in unit.failed_runs:
        return
    unit.failed_runs.add(number)
    unit.failures += 1


def _fail_if_exhausted(
    tables: tables_module.Tables, unit: progress.Unit
) -> bool:
    """Fails the job of a unit without attempts left; returns whether it did."""
    entry = unit.entry
    attempts = tables.queue_of(entry.job).attempts
    if unit.step.long_running or unit.failures < max(1, attempts):
        return False
    reason = f"{unit.failures} runs of step {unit.key.step} failed"
    set_state(tables, entry, model.JobState.FAILED, reason)
    _stop_all(tables, entry, "job failed")
    return True


def _record_success(
    tables: tables_module.Tables,
    run: progress.Run,
    state: endpoint_table.EndpointState,
) -> None:
    state.record_success()
    tables.durations.record_completed(run)


def _stop_all(
    tables: tables_module.Tables, entry: progress.JobEntry, reason: str
) -> None:
    for run in entry.runs():
        stop_run(tables, run, reason)
