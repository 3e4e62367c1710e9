"""Sends orders to start and stop runs, with retries until they settle."""

import asyncio
from collections.abc import Callable
import logging

from laburnumgate_placer import advice
from laburnumgate_placer import call_gate
from laburnumgate_placer import endpoint_table
from laburnumgate_placer import events
from laburnumgate_placer import lifecycle
from laburnumgate_placer import limits
from laburnumgate_placer import metrics
from laburnumgate_placer import model
from laburnumgate_placer import ports
from laburnumgate_placer import progress
from laburnumgate_placer import tables as tables_module
from laburnumgate_placer.accounts import holds

_LOGGER = logging.getLogger(__name__)

BACKOFF_MS = 60
# How often a start that was not answered looks for a report of the endpoint.
REPORT_POLL_MS = 10
# Fraction of the time that tasks of a gang wait for each other after which an
# incomplete start is aborted, so that no task ends because the rest of its gang
# is missing.
GANG_START_FRACTION = 0.45


class Launcher:
    """Starts and stops runs by calls to endpoints."""

    def __init__(
        self,
        endpoints: ports.Endpoints,
        tables: tables_module.Tables,
        gate: call_gate.CallGate,
        may_order: Callable[[], bool],
        on_fenced: Callable[[str], None],
    ):
        """Initialises the launcher.

        Args:
          endpoints: calls to endpoints.
          tables: the leader's tables.
          gate: limits the start orders under way.
          may_order: returns whether leadership was confirmed recently enough
            to start tasks.
          on_fenced: callback for an order that an endpoint refuses because it
            has seen a higher fencing token.
        """
        self._endpoints = endpoints
        self._tables = tables
        self._gate = gate
        self._may_order = may_order
        self._on_fenced = on_fenced

    async def launch(self, run: progress.Run) -> None:
        """Starts all members of a run; stops the run if one fails to start."""
        tables = self._tables
        await self._gate.wait()
        reason = self._start_obstacle(run)
        if reason is not None:
            lifecycle.stop_run(tables, run, reason)
            return
        if run.phase != progress.Phase.ASSIGNED:
            return
        run.phase = progress.Phase.STARTING
        now_ms = tables.monotonic.now_ms()
        run.started_ms = now_ms
        until_ms = now_ms + int(tables.bounds.gang_ms * GANG_START_FRACTION)
        reasons = await asyncio.gather(
            *(self._start_member(member, until_ms) for member in run.members)
        )
        if run.phase != progress.Phase.STARTING:
            return
        failures = [reason for reason in reasons if reason]
        if failures:
            self._log_start_failed(run, failures[0])
            lifecycle.stop_run(tables, run, failures[0])
            return
        run.phase = progress.Phase.RUNNING
        entry = run.unit.entry
        lifecycle.set_state(tables, entry, model.JobState.RUNNING)
        started_ms = tables.monotonic.now_ms()
        metrics.START_SECONDS.observe((started_ms - run.unit.ready_ms) / 1000)
        key = run.unit.key
        events.emit(
            _LOGGER,
            events.Event.STARTED_RUN,
            job=key.job_id,
            occurrence=key.occurrence,
            step=key.step,
            index=key.index,
            run=run.number,
            took_ms=started_ms - run.assigned_ms,
        )

    async def stop(self, member: progress.Member) -> None:
        """Orders an endpoint to stop a member.

        The member is terminated once a later report of the endpoint omits it.
        """
        tables = self._tables
        while not member.terminated:
            state = tables.endpoints.by_id.get(member.endpoint_id)
            if state is None or state.ended:
                return
            answer = await self._endpoints.stop(
                state.info,
                member.task,
                member.run.number,
                tables.token,
                timeout_ms=limits.ORDER_TIMEOUT_MS,
            )
            match answer:
                case ports.Done():
                    # The answer does not say which incarnation gave it, so that
                    # its clock is not used.
                    now_ms = tables.monotonic.now_ms()
                    state.last_answer_ms = now_ms
                    member.report_valid_from_ms = now_ms
                    return
                case ports.Refused(ports.Refusal.FENCED):
                    self._on_fenced("a stop was refused for its token")
                    return
                case ports.Refused(ports.Refusal.OTHER_INSTANCE):
                    lifecycle.end_incarnation(
                        tables, state, "another endpoint answers at its address"
                    )
                    return
                case ports.Refused(ports.Refusal.SUPERSEDED):
                    member.report_valid_from_ms = tables.monotonic.now_ms()
                    return
            await asyncio.sleep(2 * BACKOFF_MS / 1000)

    async def _start_member(
        self, member: progress.Member, until_ms: int
    ) -> str | None:
        """Starts one member; returns the reason if the start fails."""
        tables = self._tables
        run = member.run
        key = (member.task, run.number)
        reason = "the start request was not answered"
        unanswered_ms = 0
        while run.phase == progress.Phase.STARTING and not member.terminated:
            if member.present:
                # A report lists the run although its start was not answered.
                member.report_valid_from_ms = tables.monotonic.now_ms()
                return None
            now_ms = tables.monotonic.now_ms()
            if now_ms >= until_ms:
                return reason
            state = tables.endpoints.by_id[member.endpoint_id]
            if unanswered_ms and not self._may_repeat(
                member, state, unanswered_ms
            ):
                await asyncio.sleep(REPORT_POLL_MS / 1000)
                continue
            async with self._gate.call():
                if run.phase != progress.Phase.STARTING or member.terminated:
                    break
                if not self._may_order():
                    # A later leader may count on the end of all leases.
                    return "leadership is not confirmed"
                obstacle = self._endpoint_obstacle(state)
                if obstacle is None and not _any_order_sent(run):
                    # Once an order is sent, the run may be running, and a
                    # lowered limit stops nothing that is running.
                    obstacle = holds.run_obstacle(tables, run)
                if obstacle is not None:
                    return obstacle
                first = not member.start_sent
                member.start_sent = True
                sent_ms = tables.monotonic.now_ms()
                member.ordered_ms = sent_ms
                # A restart while the answer is waited for voids the order.
                state.pending_starts.send(key, sent_ms)
                answer = await self._endpoints.start(
                    state.info,
                    self._order(member, state, sent_ms),
                    timeout_ms=limits.ORDER_TIMEOUT_MS,
                )
            if not isinstance(answer, ports.Unknown):
                state.pending_starts.answer(key)
            match answer:
                case ports.Done():
                    self._gate.record_answer(sent_ms)
                    now_ms = tables.monotonic.now_ms()
                    state.last_answer_ms = now_ms
                    member.report_valid_from_ms = now_ms
                    member.confirmed = True
                    if not member.base_ms and not run.unit.checkpoint:
                        member.base_ms = now_ms
                    return None
                case ports.Refused(ports.Refusal.LATE, clock_ms):
                    state.set_clock(clock_ms, tables.monotonic.now_ms())
                    reason = "the lease expired before the start"
                case ports.Refused(ports.Refusal.FENCED):
                    self._on_fenced("a start was refused for its token")
                    return "another host leads"
                case ports.Refused(ports.Refusal.OTHER_INSTANCE):
                    lifecycle.end_incarnation(
                        tables, state, "another endpoint answers at its address"
                    )
                    return "the endpoint incarnation has ended"
                case ports.Refused(refusal):
                    if refusal == ports.Refusal.NO_TICKET:
                        step = advice.step_key(run.unit.key)
                        tables.advice.invalidate(step, member.endpoint_id)
                    if refusal == ports.Refusal.UNHEALTHY:
                        state.avoid(tables.monotonic.now_ms(), refusal.value)
                    return refusal.value
                case ports.Undelivered(detail):
                    state.mark_unreachable(tables.monotonic.now_ms(), detail)
                    if first:
                        member.start_sent = False
                        return detail
                    reason = detail
                case ports.Unknown(detail):
                    now_ms = tables.monotonic.now_ms()
                    unanswered_ms = now_ms
                    state.mark_unreachable(now_ms, detail)
                    state.pending_starts.time_out(key, now_ms)
                    tables.mark_dirty(member.task.job_id)
                    reason = f"the start request was not answered: {detail}"
            await asyncio.sleep(BACKOFF_MS / 1000)
        return reason

    def _may_repeat(
        self,
        member: progress.Member,
        state: endpoint_table.EndpointState,
        unanswered_ms: int,
    ) -> bool:
        """Whether an order may be sent again that was not answered.

        Args:
          member: the member to start.
          state: its endpoint.
          unanswered_ms: monotonic time by which the order had no answer.
        """
        if state.reported_ms <= unanswered_ms:
            # The endpoint may have restarted. The order names only its id, so
            # that a later incarnation would carry it out.
            return False
        # A later leader assumes that an order was sent once if nothing else is
        # recorded.
        key = (member.endpoint_id, member.task, member.run.number)
        return key in self._tables.recorded_starts

    def _order(
        self,
        member: progress.Member,
        state: endpoint_table.EndpointState,
        now_ms: int,
    ) -> ports.StartOrder:
        unit = member.run.unit
        return ports.StartOrder(
            task=member.task,
            run=member.run.number,
            payload=unit.entry.job.payload,
            deadline_ms=state.extend_lease(
                self._tables.bounds.lease_ms, now_ms
            ),
            fencing_token=self._tables.token,
            checkpoint=unit.checkpoint,
            ticket=member.run.tickets_by_endpoint.get(member.endpoint_id, ""),
        )

    def _start_obstacle(self, run: progress.Run) -> str | None:
        """Returns why an assigned run may no longer start, or None."""
        tables = self._tables
        if run.unit.entry.state.final:
            return "the job has ended"
        for member in run.members:
            state = tables.endpoints.by_id.get(member.endpoint_id)
            if state is None or state.ended or member.terminated:
                return "an assigned endpoint has ended"
            if state.info.draining:
                return "an assigned endpoint is draining"
            if state.info.zone in tables.config.zones_out:
                return "a zone was taken out of service"
            obstacle = self._endpoint_obstacle(state)
            if obstacle is not None:
                return obstacle
        return holds.run_obstacle(tables, run)

    def _endpoint_obstacle(
        self, state: endpoint_table.EndpointState
    ) -> str | None:
        """Returns why the endpoint may not have room for a start, or None."""
        if self._tables.endpoints.list_is_old():
            return "the live list is too old"
        if not state.listed:
            return "an assigned endpoint is not listed any more"
        if state.restart is not None:
            # Only the orders before the restart was seen are voided.
            return "an assigned endpoint has restarted"
        if state.doubted:
            return "an assigned endpoint may have been replaced"
        if state.overcommitted():
            return "the capacity of an assigned endpoint has shrunk"
        if state.unknown_runs:
            return "an unknown run uses an assigned endpoint"
        return None

    def _log_start_failed(self, run: progress.Run, reason: str) -> None:
        key = run.unit.key
        events.emit(
            _LOGGER,
            events.Event.START_FAILED,
            job=key.job_id,
            occurrence=key.occurrence,
            step=key.step,
            index=key.index,
            run=run.number,
            endpoints=sorted({m.endpoint_id for m in run.members}),
            reason=reason,
        )


def _any_order_sent(run: progress.Run) -> bool:
    """Whether a start order of the run may be in flight or executed."""
    return any(member.start_sent for member in run.members)
