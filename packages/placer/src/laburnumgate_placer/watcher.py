"""Renews leases and reads reports, with one loop for each endpoint."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import functools
import logging

from laburnumgate_placer import call_gate
from laburnumgate_placer import endpoint_table
from laburnumgate_placer import events
from laburnumgate_placer import lifecycle
from laburnumgate_placer import limits
from laburnumgate_placer import metrics
from laburnumgate_placer import model
from laburnumgate_placer import pacing
from laburnumgate_placer import ports
from laburnumgate_placer import reports
from laburnumgate_placer import tables as tables_module
from laburnumgate_placer import termination

_LOGGER = logging.getLogger(__name__)

# Time that an endpoint may hold a renewal open until a run ends (long poll). It
# is also the interval of lease renewals.
RENEW_WAIT_MS = 750
ANSWER_MARGIN_MS = 450
# How long after a report the cursor of acknowledged ends is sent again. A
# restart breaks the renewal that waits meanwhile.
CURSOR_VALID_MS = RENEW_WAIT_MS + ANSWER_MARGIN_MS
BACKOFF_MS = 150
# Renewal interval while a stop or an acknowledgement is pending.
FAST_POLL_INTERVAL_MS = 20
# Interval at which an endpoint that needs no renewal is checked again.
IDLE_INTERVAL_MS = 100
# Interval of the calls to an endpoint with an order in doubt, and for how long
# it may hold such a call open. It is also the time for which an order that
# arrives after an unseen restart can be carried out.
WATCH_INTERVAL_MS = 200
WATCH_WAIT_MS = 150


_Answer = model.Report | ports.Refused | ports.Undelivered | ports.Unknown


@dataclasses.dataclass(slots=True)
class _Watch:
    """Calls to an endpoint that were added while orders were in doubt.

    Attributes:
      began_ms: monotonic time of the first renewal since, 0 for none.
      calls: number of these calls.
    """

    began_ms: int = 0
    calls: int = 0


class Watcher:
    """Renews the lease of one endpoint incarnation during a leader's term."""

    def __init__(
        self,
        endpoints: ports.Endpoints,
        tables: tables_module.Tables,
        state: endpoint_table.EndpointState,
        gate: call_gate.CallGate,
        may_renew: Callable[[], bool],
        on_fenced: Callable[[str], None],
    ):
        """Initialises the watcher.

        Args:
          endpoints: calls to endpoints.
          tables: the leader's tables.
          state: the endpoint.
          gate: limits the calls under way; renewals of contacted endpoints
            are not limited.
          may_renew: returns whether leadership was confirmed recently enough
            to renew leases.
          on_fenced: callback for a renewal that the endpoint refuses because it
            has seen a higher fencing token.
        """
        self._endpoints = endpoints
        self._tables = tables
        self._state = state
        self._gate = gate
        self._may_renew = may_renew
        self._on_fenced = on_fenced
        # Set while the endpoint still lists ends that are recorded.
        self._ack_due = False
        # Monotonic time of the latest renewal that was sent.
        self._sent_ms = 0
        # Calls that were added because an order is in doubt.
        self._watch = _Watch()

    async def run(self) -> None:
        """Renews the lease and handles reports until the incarnation ends."""
        state = self._state
        while not state.ended:
            if not self._needs_renewal():
                self._log_watch(False)
                await asyncio.sleep(IDLE_INTERVAL_MS / 1000)
                continue
            if not state.info.address:
                self._expire_runs()
                await asyncio.sleep(BACKOFF_MS / 1000)
                continue
            if not await self._renew_or_log():
                self._expire_runs()
                await asyncio.sleep(self._backoff_ms() / 1000)
        self._log_watch(False)

    def _backoff_ms(self) -> int:
        """Returns the pause after a renewal without an answer."""
        now_ms = self._tables.monotonic.now_ms()
        if not self._state.orders_in_doubt(now_ms):
            return BACKOFF_MS
        due_ms = self._sent_ms + WATCH_INTERVAL_MS
        return max(0, min(BACKOFF_MS, due_ms - now_ms))

    async def _renew_or_log(self) -> bool:
        """Renews the lease; an unexpected error counts as no answer."""
        state = self._state
        try:
            return await self._renew()
        except Exception as error:  # Must not end the leader's term.
            events.emit(
                _LOGGER,
                events.Event.TASK_FAILED,
                task="Watcher.run",
                endpoint=state.info.endpoint_id,
                reason=repr(error),
            )
            now_ms = self._tables.monotonic.now_ms()
            state.mark_unreachable(now_ms, repr(error))
            return False

    def _needs_renewal(self) -> bool:
        state = self._state
        if state.members or state.unknown_runs or state.restart is not None:
            return True
        if state.pending_orders(self._tables.monotonic.now_ms()):
            # A restart has to be detected before the new incarnation carries
            # out an order that was sent to the old one.
            return True
        if not state.info.born_ms:
            # It was watched for such orders only.
            return False
        if not state.listed:
            return bool(state.info.address) and (
                state.doubted or not state.contacted
            )
        if not state.contacted or not state.answering or state.doubted:
            return True
        return state.acked_end < state.handled_end or self._ack_due

    async def _renew(self) -> bool:
        state = self._state
        tables = self._tables
        sent_ms = tables.monotonic.now_ms()
        deadline_ms = None
        renews = state.contacted and state.members and state.restart is None
        if renews and self._may_renew():
            deadline_ms = state.extend_lease(tables.bounds.lease_ms, sent_ms)
        watched = bool(state.orders_in_doubt(sent_ms))
        self._log_watch(watched)
        wait_ms = self._wait_ms(watched)
        acked = self._cursor(sent_ms)
        self._sent_ms = sent_ms
        timeout_ms = wait_ms + ANSWER_MARGIN_MS
        if watched and state.contacted:
            # Calls that are added meanwhile find a restart sooner.
            timeout_ms = RENEW_WAIT_MS + ANSWER_MARGIN_MS
        call = self._call(
            functools.partial(
                self._endpoints.renew,
                state.info,
                deadline_ms=deadline_ms,
                fencing_token=tables.token,
                acknowledged=acked,
                wait_ms=wait_ms,
                timeout_ms=timeout_ms,
            )
        )
        if watched:
            answer, sent_ms, acked = await self._call_repeatedly(
                call, sent_ms, acked
            )
        else:
            answer = await call
        match answer:
            case model.Report():
                return await self._handle_report(answer, sent_ms, acked)
            case ports.Refused(ports.Refusal.FENCED):
                self._on_fenced("a renewal was refused for its token")
                return False
            case ports.Refused(ports.Refusal.OTHER_INSTANCE):
                lifecycle.end_incarnation(
                    tables, state, "another endpoint answers at its address"
                )
                return True
            case ports.Refused(refusal):
                state.mark_unreachable(tables.monotonic.now_ms(), refusal.value)
            case ports.Undelivered(reason) | ports.Unknown(reason):
                state.mark_unreachable(tables.monotonic.now_ms(), reason)
        return False

    async def _call(self, renew: Callable[[], Awaitable[_Answer]]) -> _Answer:
        if self._state.contacted:
            return await renew()
        # A new leader contacts all endpoints at once.
        async with self._gate.call():
            return await renew()

    async def _call_repeatedly(
        self, call: Coroutine[None, None, _Answer], sent_ms: int, acked: int
    ) -> tuple[_Answer, int, int]:
        """Awaits a renewal; calls again meanwhile, as it may not be answered.

        The first call that reaches a new incarnation of the endpoint tells it
        the fencing token, and its report shows the restart. A call that was
        made before the restart may hang until its timeout.

        Args:
          call: the renewal.
          sent_ms: monotonic time at which it was sent.
          acked: end up to which it acknowledges ends.

        Returns:
          The answer that decides, when its call was sent, and the end up to
          which that call acknowledged ends.
        """
        renewal = asyncio.create_task(call)
        sent_ms_by_call = {renewal: sent_ms}
        due_ms = sent_ms + WATCH_INTERVAL_MS
        try:
            while True:
                now_ms = self._tables.monotonic.now_ms()
                done, _ = await asyncio.wait(
                    sent_ms_by_call,
                    timeout=max(0, due_ms - now_ms) / 1000,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for each in done:
                    each_sent_ms = sent_ms_by_call.pop(each)
                    answer = each.result()
                    if each is renewal:
                        return answer, each_sent_ms, acked
                    if isinstance(answer, model.Report | ports.Refused):
                        return answer, each_sent_ms, 0
                now_ms = self._tables.monotonic.now_ms()
                if now_ms < due_ms:
                    continue
                due_ms = now_ms + WATCH_INTERVAL_MS
                if not self._tables.probes.take(now_ms):
                    continue
                self._sent_ms = now_ms
                self._watch.calls += 1
                again = asyncio.create_task(self._ask_again())
                sent_ms_by_call[again] = now_ms
        finally:
            for each in sent_ms_by_call:
                each.cancel()

    async def _ask_again(self) -> _Answer:
        return await self._endpoints.renew(
            self._state.info,
            deadline_ms=None,
            fencing_token=self._tables.token,
            acknowledged=0,
            wait_ms=0,
            timeout_ms=ANSWER_MARGIN_MS,
        )

    def _log_watch(self, watched: bool) -> None:
        """Logs when orders come into doubt, and what watching them took."""
        state = self._state
        now_ms = self._tables.monotonic.now_ms()
        if watched and not self._watch.began_ms:
            self._watch = _Watch(began_ms=now_ms)
            events.emit(
                _LOGGER,
                events.Event.ORDERS_IN_DOUBT,
                endpoint=state.info.endpoint_id,
                orders=len(state.orders_in_doubt(now_ms)),
                answering=state.answering,
            )
        elif not watched and self._watch.began_ms:
            events.emit(
                _LOGGER,
                events.Event.ORDERS_SETTLED,
                endpoint=state.info.endpoint_id,
                took_ms=now_ms - self._watch.began_ms,
                calls=self._watch.calls,
            )
            metrics.WATCH_CALLS.add({}, self._watch.calls)
            self._watch = _Watch()

    def _cursor(self, now_ms: int) -> int:
        """Returns the end up to which reported ends are acknowledged.

        Ends are numbered by incarnation. Without a recent report the endpoint
        may have restarted, and an old number would acknowledge ends that were
        never reported. The same holds if the last report listed none.
        """
        state = self._state
        if state.restart is not None:
            return 0
        if not state.answering or now_ms - state.reported_ms > CURSOR_VALID_MS:
            return 0
        return min(state.acked_end, state.listed_end)

    async def _handle_report(
        self, report: model.Report, sent_ms: int, acked: int
    ) -> bool:
        state = self._state
        tables = self._tables
        born_ms = state.info.born_ms
        if born_ms and report.born_ms and report.born_ms != born_ms:
            # A later life may have an earlier time of day.
            pause_ms = await self._handle_restart(report, sent_ms)
            await asyncio.sleep(pause_ms / 1000)
            return True
        if not born_ms:
            state.info = dataclasses.replace(state.info, born_ms=report.born_ms)
        if not state.answering:
            state.answering = True
            events.emit(
                _LOGGER,
                events.Event.ENDPOINT_REGAINED,
                endpoint=state.info.endpoint_id,
                silent_ms=tables.monotonic.now_ms() - state.last_answer_ms,
            )
        fresh = not state.contacted
        unknown_runs = reports.apply(tables, state, report, sent_ms)
        # Together, as the next renewal waits for the answers.
        await asyncio.gather(*map(self._stop_unknown_run, unknown_runs))
        await self._adjust_pace()
        self._ack_due = bool(report.ended) and state.handled_end > acked
        if fresh:
            tables.wake.set()
        if state.handled_end > state.acked_end:
            tables.wake.set()
            await self._wait_until_recorded()
        return True

    async def _stop_unknown_run(self, row: model.ReportedRun) -> None:
        """Stops an unknown run; later reports tell whether it has ended."""
        answer = await self._endpoints.stop(
            self._state.info,
            row.task,
            row.run,
            self._tables.token,
            timeout_ms=limits.ORDER_TIMEOUT_MS,
        )
        events.emit(
            _LOGGER,
            events.Event.STRAY_STOPPED,
            job=row.task.job_id,
            step=row.task.step,
            index=row.task.index,
            run=row.run,
            endpoint=self._state.info.endpoint_id,
            outcome=type(answer).__name__,
        )
        match answer:
            case ports.Refused(ports.Refusal.FENCED):
                self._on_fenced("a stop was refused for its token")

    async def _adjust_pace(self) -> None:
        """Throttles filler tasks that disturb serving tasks on the endpoint."""
        tables = self._tables
        for change in pacing.adjust(self._state, tables.monotonic.now_ms()):
            member = change.member
            answer = await self._endpoints.pace(
                self._state.info,
                member.task,
                member.run.number,
                change.percent,
                tables.token,
                timeout_ms=limits.ORDER_TIMEOUT_MS,
            )
            events.emit(
                _LOGGER,
                events.Event.PACED,
                job=member.task.job_id,
                step=member.task.step,
                index=member.task.index,
                endpoint=self._state.info.endpoint_id,
                percent=change.percent,
                before=member.pace_percent,
                outcome=type(answer).__name__,
            )
            # A refused order is not carried out later.
            if not isinstance(answer, ports.Refused | ports.Undelivered):
                pacing.record_answer(
                    change,
                    answered=isinstance(answer, ports.Done),
                    now_ms=tables.monotonic.now_ms(),
                )

    async def _wait_until_recorded(self) -> None:
        """Waits until the ends of the last report are recorded."""
        state = self._state
        waited_ms = 0
        while state.acked_end < state.handled_end and not state.ended:
            await asyncio.sleep(FAST_POLL_INTERVAL_MS / 4 / 1000)
            waited_ms += FAST_POLL_INTERVAL_MS // 4
            if waited_ms >= RENEW_WAIT_MS:
                return

    def _wait_ms(self, watched: bool) -> int:
        state = self._state
        if not state.contacted or state.acked_end < state.handled_end:
            return 0
        if state.restart is not None:
            return 0
        if any(
            m.stopping
            and m.report_valid_from_ms
            or m.start_sent
            and not m.confirmed
            for m in state.members.values()
        ):
            return FAST_POLL_INTERVAL_MS
        if state.unknown_runs:
            return min(RENEW_WAIT_MS, reports.MIN_STOP_INTERVAL_MS)
        now_ms = self._tables.monotonic.now_ms()
        if watched and not state.answering:
            # The first answer may be that of a new incarnation.
            return 0
        if watched and self._tables.probes.take(now_ms):
            self._watch.calls += 1
            return WATCH_WAIT_MS
        if state.members or state.pending_starts.keys(now_ms):
            return RENEW_WAIT_MS
        return 0

    def _expire_runs(self) -> None:
        """Marks runs as terminated once no lease can keep them alive."""
        state = self._state
        tables = self._tables
        now_ms = tables.monotonic.now_ms()
        max_lease_ms = tables.bounds.max_lease_ms
        members_by_proof = collections.defaultdict(list)
        for member in state.members.values():
            proof = termination.from_leases(state, member, now_ms, max_lease_ms)
            if proof is not None:
                members_by_proof[proof].append(member)
        for proof, members in members_by_proof.items():
            lifecycle.expire_leases(tables, state, members, proof)
        if state.unknown_runs and termination.unknown_runs_expired(
            state, now_ms, max_lease_ms
        ):
            lifecycle.forget_unknown_runs(tables, state)

    async def _handle_restart(
        self, report: model.Report, requested_ms: int
    ) -> int:
        """Handles the restart of an endpoint under its id.

        Orders to the previous incarnation are stopped in the new one, also
        those still in flight. The previous one is over once a later report
        shows that none of their runs is left.

        Args:
          report: a report of the new incarnation.
          requested_ms: monotonic time at which it was requested.

        Returns:
          The pause in ms before the next report.
        """
        state = self._state
        tables = self._tables
        now_ms = tables.monotonic.now_ms()
        restart = state.restart
        if restart is None or restart.born_ms != report.born_ms:
            restart = endpoint_table.Restart(report.born_ms, now_ms)
            state.restart = restart
            events.emit(
                _LOGGER,
                events.Event.ENDPOINT_RESTARTED,
                endpoint=state.info.endpoint_id,
                born_ms=report.born_ms,
                before_ms=state.info.born_ms,
                orders=len(state.pending_orders(now_ms)),
                present=len(report.running),
            )
        proof = termination.from_restart(state, report, requested_ms, now_ms)
        if proof is not None:
            for row in report.ended:
                if (row.task, row.run) in state.members:
                    lifecycle.apply_end(tables, state, row)
            lifecycle.end_incarnation(tables, state, proof.reason)
            # The next incarnation is added.
            tables.wake.set()
            return 0
        if not await self._void_orders(restart, report):
            self._expire_runs()
            return BACKOFF_MS
        return FAST_POLL_INTERVAL_MS if report.running else 0

    async def _void_orders(
        self, restart: endpoint_table.Restart, report: model.Report
    ) -> bool:
        """Stops what an incarnation may have been ordered before its start.

        Returns whether all stops were accepted. A refused one has no effect,
        unless it is refused because the run has ended there.
        """
        state = self._state
        tables = self._tables
        present = {(row.task, row.run) for row in report.running}
        ended = {(row.task, row.run) for row in report.ended}
        now_ms = tables.monotonic.now_ms()
        # Runs that are over may run elsewhere.
        pending = sorted(
            state.pending_orders(now_ms) - ended,
            key=lambda key: key in state.members,
        )
        for key in pending:
            voided_ms = restart.voided_ms_by_order.get(key)
            if voided_ms is not None and (
                key not in present
                or now_ms - voided_ms <= tables.bounds.stop_ms
            ):
                continue
            answer = await self._endpoints.stop(
                state.info,
                *key,
                tables.token,
                timeout_ms=limits.ORDER_TIMEOUT_MS,
            )
            match answer:
                case ports.Done() | ports.Refused(ports.Refusal.SUPERSEDED):
                    restart.voided_ms_by_order[key] = tables.monotonic.now_ms()
                case ports.Refused(ports.Refusal.FENCED):
                    self._on_fenced("a stop was refused for its token")
                    return False
                case ports.Refused(ports.Refusal.OTHER_INSTANCE):
                    lifecycle.end_incarnation(
                        tables, state, "another endpoint answers at its address"
                    )
                    return True
                case _:
                    return False
        return True
