"""Sends the orders that start and stop runs, until their fate is known."""

import asyncio
import logging

from laburnumgate_placer import advice
from laburnumgate_placer import endpoint_table
from laburnumgate_placer import events
from laburnumgate_placer import lifecycle
from laburnumgate_placer import metrics
from laburnumgate_placer import model
from laburnumgate_placer import ports
from laburnumgate_placer import progress
from laburnumgate_placer import tables as tables_module

_LOGGER = logging.getLogger(__name__)

# A sound endpoint answers an order within a few ms.
ORDER_TIMEOUT_MS = 400
RETRY_MS = 60
# Share of the time a gang's tasks wait for each other after which an
# incomplete start is given up, so that none of them ends for being alone.
START_SHARE = 0.45


class Launcher:
    """Carries out decisions on runs by calls to endpoints."""

    def __init__(
        self,
        endpoints: ports.Endpoints,
        tables: tables_module.Tables,
        overtaken,
    ):
        """Prepares a launcher.

        Args:
          endpoints: calls to endpoints.
          tables: the leader's tables.
          overtaken: is called when an endpoint has seen a higher token.
        """
        self._endpoints = endpoints
        self._tables = tables
        self._overtaken = overtaken

    async def launch(self, run: progress.Run) -> None:
        """Starts all members of a run, or stops it if one cannot start."""
        tables = self._tables
        reason = self._obstacle(run)
        if reason is not None:
            lifecycle.stop_run(tables, run, reason)
            return
        if run.phase != progress.Phase.ASSIGNED:
            return
        run.phase = progress.Phase.STARTING
        now_ms = tables.steady.now_ms()
        run.started_ms = now_ms
        until_ms = now_ms + int(tables.bounds.gang_ms * START_SHARE)
        reasons = await asyncio.gather(
            *(self._start(member, until_ms) for member in run.members)
        )
        if run.phase != progress.Phase.STARTING:
            return
        failures = [reason for reason in reasons if reason]
        if failures:
            self._report(run, failures[0])
            lifecycle.stop_run(tables, run, failures[0])
            return
        run.phase = progress.Phase.RUNNING
        entry = run.unit.entry
        lifecycle.set_state(tables, entry, model.JobState.RUNNING)
        started_ms = tables.steady.now_ms()
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
        """Stops a member; the endpoint's next report shows it gone."""
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
                timeout_ms=ORDER_TIMEOUT_MS,
            )
            match answer:
                case ports.Done(clock_ms):
                    now_ms = tables.steady.now_ms()
                    if clock_ms:
                        state.set_clock(clock_ms, now_ms)
                    member.report_valid_from_ms = now_ms
                    return
                case ports.Refused(ports.Refusal.FENCED):
                    self._overtaken("a stop was refused for its token")
                    return
                case ports.Refused(ports.Refusal.OTHER_INSTANCE):
                    lifecycle.end_incarnation(
                        tables, state, "another endpoint at its address"
                    )
                    return
                case ports.Refused(ports.Refusal.SUPERSEDED):
                    member.report_valid_from_ms = tables.steady.now_ms()
                    return
            await asyncio.sleep(2 * RETRY_MS / 1000)

    async def _start(
        self, member: progress.Member, until_ms: int
    ) -> str | None:
        """Starts one member; returns why it could not be started."""
        tables = self._tables
        run = member.run
        reason = "its start was not answered"
        while run.phase == progress.Phase.STARTING and not member.terminated:
            if member.present:
                # A report showed the run though its start was not answered.
                member.report_valid_from_ms = tables.steady.now_ms()
                return None
            now_ms = tables.steady.now_ms()
            if now_ms >= until_ms:
                return reason
            state = tables.endpoints.by_id[member.endpoint_id]
            first = not member.start_sent
            member.start_sent = True
            answer = await self._endpoints.start(
                state.info,
                self._order(member, state, now_ms),
                timeout_ms=ORDER_TIMEOUT_MS,
            )
            match answer:
                case ports.Done(clock_ms):
                    now_ms = tables.steady.now_ms()
                    state.set_clock(clock_ms, now_ms)
                    member.report_valid_from_ms = now_ms
                    if not member.base_ms and not run.unit.checkpoint:
                        member.base_ms = now_ms
                    return None
                case ports.Refused(ports.Refusal.LATE, clock_ms):
                    state.set_clock(clock_ms, tables.steady.now_ms())
                    reason = "its lease was too short"
                case ports.Refused(ports.Refusal.FENCED):
                    self._overtaken("a start was refused for its token")
                    return "another host leads"
                case ports.Refused(ports.Refusal.OTHER_INSTANCE):
                    lifecycle.end_incarnation(
                        tables, state, "another endpoint at its address"
                    )
                    return "its endpoint is gone"
                case ports.Refused(refusal):
                    if refusal == ports.Refusal.NO_TICKET:
                        step = advice.step_of(run.unit.key)
                        tables.advice.refused(step, member.endpoint_id)
                    if refusal == ports.Refusal.UNHEALTHY:
                        state.avoid(tables.steady.now_ms(), refusal.value)
                    return refusal.value
                case ports.Undelivered(why):
                    state.mark_unreachable(tables.steady.now_ms(), why)
                    if first:
                        member.start_sent = False
                        return why
                    reason = why
                case ports.Unknown(why):
                    now_ms = tables.steady.now_ms()
                    state.mark_unreachable(now_ms, why)
                    state.add_unconfirmed_start(member, now_ms)
                    reason = f"its start was not answered: {why}"
            await asyncio.sleep(RETRY_MS / 1000)
        return reason

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

    def _obstacle(self, run: progress.Run) -> str | None:
        """Returns what has changed since the run was assigned, if it has."""
        tables = self._tables
        if run.unit.entry.state.final:
            return "the job has ended"
        for member in run.members:
            state = tables.endpoints.by_id.get(member.endpoint_id)
            if state is None or state.ended or member.terminated:
                return "an endpoint is gone"
            if state.info.draining:
                return "an endpoint is leaving"
            if state.info.zone in tables.config.zones_out:
                return "a zone was taken out of service"
        return None

    def _report(self, run: progress.Run, reason: str) -> None:
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
