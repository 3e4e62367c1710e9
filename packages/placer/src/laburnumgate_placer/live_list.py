"""Tracks the live list of endpoints on the leader."""

from collections.abc import Callable
import dataclasses
import logging

from laburnumgate_placer import endpoint_table
from laburnumgate_placer import events
from laburnumgate_placer import lifecycle
from laburnumgate_placer import model
from laburnumgate_placer import ports
from laburnumgate_placer import progress
from laburnumgate_placer import tables as tables_module
from laburnumgate_placer.overload import draining

_LOGGER = logging.getLogger(__name__)


class LiveList:
    """Applies changes of the live list to the endpoint table."""

    def __init__(
        self,
        tables: tables_module.Tables,
        decode: Callable[[ports.Entry], model.Endpoint | None],
        watch: Callable[[endpoint_table.EndpointState], None],
        claimed_ms: int,
    ):
        """Initialises an empty list.

        Args:
          tables: the leader's tables.
          decode: decodes an entry; returns None if it names no usable endpoint.
          watch: callback for each new endpoint incarnation.
          claimed_ms: monotonic time at which leadership was claimed.
        """
        self._tables = tables
        self._decode = decode
        self._watch = watch
        self._claimed_ms = claimed_ms
        self._listed_by_id: dict[str, model.Endpoint] = {}

    def add_restarted(self) -> None:
        """Adds listed incarnations whose predecessor ended or has no runs."""
        self._end_replaced()
        for state in list(self._tables.endpoints.by_id.values()):
            if not state.ended or self._add_next_incarnation(state) is None:
                continue
            # Its entry may have been read before its restart was found.
            listed = self._listed_by_id.get(state.info.endpoint_id)
            if listed is not None:
                self._apply_listed(listed)
        for endpoint in list(self._listed_by_id.values()):
            state = self._tables.endpoints.by_id.get(endpoint.endpoint_id)
            if state is None or state.ended or _is_replaced(state, endpoint):
                self._apply_listed(endpoint)

    def state_for(
        self, member: progress.Member
    ) -> endpoint_table.EndpointState:
        """Returns the state of a recorded member's endpoint, listed or not.

        A listed one may be of another incarnation than the member, with an
        earlier start if the time of day was set back. Its report decides.
        """
        by_id = self._tables.endpoints.by_id
        state = by_id.get(member.endpoint_id)
        if state is not None and (
            state.listed or not 0 < state.info.born_ms < member.born_ms
        ):
            return state
        if state is not None:
            # A record of another job named an earlier incarnation.
            lifecycle.end_incarnation(
                self._tables, state, "a later incarnation is recorded"
            )
        # The endpoint is no longer listed and its address is unknown, so its
        # runs count as present until no lease can be valid any more.
        return self._add_unlisted(
            member.endpoint_id, member.born_ms, machine=member.machine
        )

    def watch_unlisted(self, endpoint_id: str, address: str) -> None:
        """Watches an endpoint for a start order of an earlier leader.

        It may be back before its entry in the live list is.

        Args:
          endpoint_id: the endpoint, listed or not.
          address: address that the order was sent to.
        """
        state = self._tables.endpoints.by_id.get(endpoint_id)
        if state is None:
            self._add_unlisted(endpoint_id, 0, address=address)
        elif not state.info.address:
            state.info = dataclasses.replace(state.info, address=address)

    def _add_next_incarnation(
        self, state: endpoint_table.EndpointState
    ) -> endpoint_table.EndpointState | None:
        """Adds the incarnation that ended another one, if orders are pending.

        They were voided there. Another restart may follow before the live list
        shows this one.
        """
        now_ms = self._tables.monotonic.now_ms()
        if state.restart is None or not state.pending_starts.keys(now_ms):
            return None
        return self._add_unlisted(
            state.info.endpoint_id,
            state.restart.born_ms,
            machine=state.info.machine,
            address=state.info.address,
        )

    def _add_unlisted(
        self,
        endpoint_id: str,
        born_ms: int,
        *,
        machine: str = "",
        address: str = "",
    ) -> endpoint_table.EndpointState:
        state = self._add_state(
            model.Endpoint(
                endpoint_id,
                born_ms,
                "",
                address,
                "",
                "",
                frozenset(),
                model.Resources(),
                machine=machine,
            )
        )
        state.listed = False
        state.answering = False
        return state

    def _add_state(self, info: model.Endpoint) -> endpoint_table.EndpointState:
        tables = self._tables
        state = endpoint_table.EndpointState(
            info,
            pending_starts=tables.endpoints.pending_starts_by_id[
                info.endpoint_id
            ],
        )
        state.last_answer_ms = tables.monotonic.now_ms()
        # An earlier leader renews until its leadership is stale, and the leases
        # that it granted have to expire after that.
        lease_ms = tables.bounds.lease_ms
        state.prior_leases_expire_ms = self._claimed_ms + int(
            lease_ms + lease_ms / endpoint_table.MIN_CLOCK_RATE
        )
        before = tables.endpoints.by_id.get(info.endpoint_id)
        if before is not None and before.deadline_sent_ms:
            # A deadline meant for the incarnation before may have reached this
            # one, which only limits its distance.
            max_lease_ms = tables.bounds.max_lease_ms
            state.prior_leases_expire_ms = max(
                state.prior_leases_expire_ms,
                before.deadline_sent_ms
                + int(max_lease_ms / endpoint_table.MIN_CLOCK_RATE),
            )
        tables.endpoints.by_id[info.endpoint_id] = state
        self._watch(state)
        return state

    def apply(self, entry: ports.Entry) -> None:
        """Applies an entry of the live list.

        An entry that cannot be decoded counts as absent, so that it also
        replaces an earlier one under its key.
        """
        endpoint = self._decode_or_log(entry)
        state = self._tables.endpoints.by_id.get(entry.key)
        if endpoint is None:
            self._listed_by_id.pop(entry.key, None)
            if state is not None and state.listed:
                state.listed = False
                self._log_changed(state, "it is no longer listed")
            return
        self._listed_by_id[entry.key] = endpoint
        self._apply_listed(endpoint)

    def _decode_or_log(self, entry: ports.Entry) -> model.Endpoint | None:
        if entry.value is None:
            return None
        reason = "it names no usable endpoint"
        try:
            endpoint = self._decode(entry)
        except Exception as error:  # Any writer may put entries there.
            endpoint = None
            reason = repr(error)
        if endpoint is None:
            events.emit(
                _LOGGER,
                events.Event.RECORD_SKIPPED,
                offset=entry.offset,
                key=entry.key,
                reason=reason,
            )
        return endpoint

    def _apply_listed(self, endpoint: model.Endpoint) -> None:
        by_id = self._tables.endpoints.by_id
        state = by_id.get(endpoint.endpoint_id)
        if state is not None and (0 < state.info.born_ms != endpoint.born_ms):
            if not state.ended and not _is_replaced(state, endpoint):
                # The entry may be one that was written before a restart. The
                # next report tells whether it is.
                state.listed = True
                state.doubted = True
                return
            pending = state.pending_orders(self._tables.monotonic.now_ms())
            present = state.members or state.unknown_runs or pending
            if present and not state.ended:
                # The watcher detects the new incarnation and voids orders that
                # were sent to the old one. Until then new orders could reach
                # the new one, which may be smaller.
                if state.listed:
                    state.listed = False
                    self._log_changed(state, "another incarnation is listed")
                if not state.info.address:
                    # Recorded by an earlier leader and not listed since.
                    state.info = dataclasses.replace(
                        state.info, address=endpoint.address
                    )
                return
            lifecycle.end_incarnation(
                self._tables, state, "another incarnation is listed"
            )
            state = None
        if state is None:
            self._doubt_earlier_incarnations(endpoint)
            self._add_state(endpoint)
            events.emit(
                _LOGGER,
                events.Event.ENDPOINT_FOUND,
                endpoint=endpoint.endpoint_id,
                zone=endpoint.zone,
                rack=endpoint.rack,
                draining=endpoint.draining,
            )
            return
        if state.ended:
            return
        starts_draining = endpoint.draining and not state.info.draining
        relisted = not state.listed
        before = state.info
        state.info = endpoint
        state.listed = True
        # The capacity of an endpoint that was never listed is unknown.
        if before.address and endpoint.capacity != before.capacity:
            self._log_capacity_changed(state, before.capacity)
            self._tables.wake.set()
        if starts_draining:
            self._log_changed(state, "it is draining")
            self._tables.crashes.drop_open(endpoint.endpoint_id)
            self._drain(state)
        elif relisted:
            self._log_changed(state, "it is listed again")
            self._tables.wake.set()

    def _doubt_earlier_incarnations(self, endpoint: model.Endpoint) -> None:
        """Marks incarnations that an endpoint of their machine may replace."""
        if not endpoint.machine:
            return
        for state in self._tables.endpoints.by_id.values():
            if state.info.machine != endpoint.machine:
                continue
            if state.info.born_ms < endpoint.born_ms:
                state.doubted = True

    def _end_replaced(self) -> None:
        """Ends silent incarnations whose machine answers as a later one.

        That a later time of day is listed proves nothing: the time may have
        been set back between the two, and the entry may be a stale one. A later
        one that has not answered since the silent one did is asked again.
        """
        by_id = self._tables.endpoints.by_id
        silent = [
            state
            for state in by_id.values()
            if state.info.machine and not state.answering and not state.ended
        ]
        if not silent:
            return
        contacted_by_machine: dict[str, list[endpoint_table.EndpointState]] = {}
        for state in by_id.values():
            if state.contacted:
                contacted_by_machine.setdefault(state.info.machine, []).append(
                    state
                )
        for state in silent:
            for other in contacted_by_machine.get(state.info.machine, ()):
                if other.info.born_ms <= state.info.born_ms:
                    continue
                if other.last_answer_ms > state.last_answer_ms:
                    lifecycle.end_incarnation(
                        self._tables, state, "its machine has a newer endpoint"
                    )
                    break
                # An idle endpoint is not asked again otherwise.
                other.doubted = True

    def _drain(self, state: endpoint_table.EndpointState) -> None:
        """Stops runs on a draining endpoint that have to move.

        These are long-running runs, and others that are not expected to end in
        the remaining time.
        """
        tables = self._tables
        now_ms = tables.monotonic.now_ms()
        for member in list(state.members.values()):
            run = member.run
            if run.phase != progress.Phase.RUNNING:
                continue
            step = run.unit.step
            if step.long_running or draining.should_stop(
                tables.durations.remaining_ms(run, now_ms),
                state.info.remaining_ms,
                resumes=step.checkpointing,
                move_all=tables.policy.drain_moves,
            ):
                lifecycle.stop_run(tables, run, "its endpoint is draining")

    def _log_changed(
        self, state: endpoint_table.EndpointState, reason: str
    ) -> None:
        events.emit(
            _LOGGER,
            events.Event.ENDPOINT_CHANGED,
            endpoint=state.info.endpoint_id,
            reason=reason,
            runs=len(state.members),
            remaining_ms=state.info.remaining_ms,
        )

    def _log_capacity_changed(
        self, state: endpoint_table.EndpointState, before: model.Resources
    ) -> None:
        events.emit(
            _LOGGER,
            events.Event.ENDPOINT_CHANGED,
            endpoint=state.info.endpoint_id,
            reason="its capacity changed",
            runs=len(state.members),
            capacity=_amounts(state.info.capacity),
            capacity_before=_amounts(before),
            used=_amounts(state.used),
        )


def _is_replaced(
    state: endpoint_table.EndpointState, endpoint: model.Endpoint
) -> bool:
    """Whether an entry under the same id is taken for a later incarnation.

    One with an earlier start may be of a later incarnation, too, whose time of
    day was set back. It is not taken for one while the known one answers.
    """
    if endpoint.born_ms < state.info.born_ms:
        return not state.answering
    return endpoint.born_ms > state.info.born_ms


def _amounts(resources: model.Resources) -> list[int]:
    """Returns millicores, MB and accelerators for a log line."""
    return [resources.cpu, resources.mem_mb, resources.gpu]
