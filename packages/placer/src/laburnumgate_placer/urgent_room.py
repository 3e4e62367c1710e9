"""Keeps endpoints of each service free for urgent gangs; see `headroom`."""

import collections
from collections.abc import Iterable
import logging
import math

from laburnumgate_placer import events
from laburnumgate_placer import metrics
from laburnumgate_placer import ordering
from laburnumgate_placer import placement
from laburnumgate_placer import pool as pool_module
from laburnumgate_placer import progress
from laburnumgate_placer import tables as tables_module
from laburnumgate_placer.overload import headroom

_LOGGER = logging.getLogger(__name__)

# Interval at which the reserved endpoints are chosen again. Passes follow each
# other within a few ms, in which the need hardly changes.
UPDATE_MS = 200
# Minimum interval between two events `HEADROOM_CHANGED` of one service.
LOG_INTERVAL_MS = 1_000
# Pause after an unexpected error, so that it is not logged in every pass.
ERROR_PAUSE_MS = 5_000


class _Reserved:
    """Endpoints reserved in one service."""

    def __init__(self, now_ms: int):
        self.history = headroom.History(now_ms)
        self.need = headroom.Need()
        self.endpoint_ids: frozenset[str] = frozenset()
        self.update_due_ms = now_ms
        self.log_due_ms = now_ms
        self.logged_count = 0


class UrgentRoom:
    """Learns the need for whole endpoints and reserves them."""

    def __init__(self, tables: tables_module.Tables):
        self._tables = tables
        self._reserved_by_service: dict[str, _Reserved] = {}
        # Steps that were counted, with the time from which they are forgotten.
        self._counted: collections.OrderedDict[tuple[str, int, int], int] = (
            collections.OrderedDict()
        )
        self._paused_until_ms = 0

    def observe(self, waiting: list[ordering.WaitingStep], now_ms: int) -> None:
        """Records the urgent units among the waiting ones, each step once."""
        if not self._tables.policy.urgent_headroom:
            return
        try:
            self._observe(waiting, now_ms)
        except Exception as error:  # The pass continues without it.
            self._fail(error, now_ms)

    def reserve(
        self, service: str, pool: pool_module.Pool, now_ms: int
    ) -> None:
        """Tells a pool which endpoints patient units leave free."""
        reserved = self._reserved_by_service.get(service)
        if reserved is None or now_ms < self._paused_until_ms:
            return
        if now_ms >= reserved.update_due_ms:
            reserved.update_due_ms = now_ms + UPDATE_MS
            try:
                self._update(reserved, pool, now_ms)
            except Exception as error:  # The pass continues without it.
                self._fail(error, now_ms)
                return
            self._report(service, reserved, now_ms)
        pool.headroom_ids = reserved.endpoint_ids
        pool.urgent_speed = reserved.need.speed

    def end_pass(self, now_ms: int) -> None:
        """Ends reservations of services for which nothing waits any more."""
        for service, reserved in self._reserved_by_service.items():
            if not reserved.endpoint_ids and not reserved.logged_count:
                continue
            if now_ms < reserved.update_due_ms + LOG_INTERVAL_MS:
                continue
            if not reserved.history.prune(now_ms):
                reserved.endpoint_ids = frozenset()
                reserved.need = headroom.Need()
                self._report(service, reserved, now_ms)

    def holds_back(
        self, rank: ordering.Rank, unit: progress.Unit, now_ms: int
    ) -> bool:
        """Whether a patient unit has to leave reserved endpoints free."""
        if rank.overdue:
            return False
        work_ms = self._tables.durations.expected_ms(
            unit.entry.job, unit.key.step
        )
        slack_ms = rank.due_ms - now_ms
        if rank.stage == ordering.Stage.TOO_LATE:
            # It has no use for an earlier start.
            slack_ms = math.inf
        return headroom.holds_back(slack_ms, work_ms, now_ms - unit.ready_ms)

    def clear_metrics(self) -> None:
        """Sets the gauge to 0, as another host may lead from now on."""
        for service in self._reserved_by_service:
            metrics.HEADROOM_ENDPOINTS.set({"service": service}, 0)

    def _fail(self, error: Exception, now_ms: int) -> None:
        """Reserves nothing for a while after an unexpected error."""
        self._paused_until_ms = now_ms + ERROR_PAUSE_MS
        events.emit(
            _LOGGER,
            events.Event.TASK_FAILED,
            task="UrgentRoom",
            reason=repr(error),
        )

    def _observe(
        self, waiting: list[ordering.WaitingStep], now_ms: int
    ) -> None:
        counted = self._counted
        while counted:
            key, until_ms = next(iter(counted.items()))
            if until_ms > now_ms:
                break
            del counted[key]
        for step in waiting:
            if step.rank.priority != 0:
                continue
            unit = step.units[0]
            key = (unit.key.job_id, unit.key.occurrence, unit.key.step)
            if key not in counted:
                self._record(step, now_ms)
            # A step that still waits, or waits again, is not forgotten.
            counted[key] = now_ms + headroom.WINDOW_MS
            counted.move_to_end(key)

    def _record(self, step: ordering.WaitingStep, now_ms: int) -> None:
        unit = step.units[0]
        if unit.step.long_running:
            return
        job = unit.entry.job
        service = self._tables.queue_of(job).service
        reserved = self._reserved_by_service.get(service)
        if reserved is None:
            reserved = _Reserved(now_ms)
            self._reserved_by_service[service] = reserved
        one_rack = unit.step.same_rack and unit.size > 1
        reserved.history.add(
            headroom.Arrival(
                now_ms,
                headroom.Shape(unit.step.room.gpu, unit.size, one_rack),
                len(step.units),
                self._tables.durations.expected_ms(job, unit.key.step),
                step.rank.min_speed * placement.SPEED_MARGIN_RATIO,
            )
        )

    def _update(
        self, reserved: _Reserved, pool: pool_module.Pool, now_ms: int
    ) -> None:
        infos = [state.info for state in pool.endpoints]
        endpoint_gpu = max([info.capacity.gpu for info in infos], default=0)
        size_by_rack = collections.Counter([info.rack for info in infos])
        need = reserved.history.need(
            now_ms,
            endpoint_gpu,
            len(infos),
            max(size_by_rack.values(), default=0),
        )
        reserved.need = need
        if not need.endpoints:
            reserved.endpoint_ids = frozenset()
            return
        fast = self._tables.durations.speeds.known_from(need.speed)
        candidates = []
        for state in pool.endpoints:
            info = state.info
            endpoint_id = info.endpoint_id
            if endpoint_id not in fast or info.capacity.gpu < endpoint_gpu:
                continue
            free_gpu = pool.free_by_id[endpoint_id].gpu
            if endpoint_id in reserved.endpoint_ids:
                # Urgent work there ends soon and was reserved for.
                free_gpu += self._urgent_gpu(state.members.values())
            candidates.append(
                headroom.Candidate(
                    endpoint_id, info.rack, free_gpu / endpoint_gpu
                )
            )
        reserved.endpoint_ids = headroom.choose(
            need, candidates, reserved.endpoint_ids
        )

    def _urgent_gpu(self, members: Iterable[progress.Member]) -> int:
        """Returns the accelerators that urgent work uses."""
        gpu = 0
        for member in members:
            unit = member.run.unit
            if unit.entry.job.queue.priority == 0:
                gpu += unit.step.room.gpu
        return gpu

    def _report(self, service: str, reserved: _Reserved, now_ms: int) -> None:
        """Reports a changed number of reserved endpoints."""
        count = len(reserved.endpoint_ids)
        if count == reserved.logged_count or now_ms < reserved.log_due_ms:
            return
        reserved.log_due_ms = now_ms + LOG_INTERVAL_MS
        reserved.logged_count = count
        metrics.HEADROOM_ENDPOINTS.set({"service": service}, count)
        events.emit(
            _LOGGER,
            events.Event.HEADROOM_CHANGED,
            service=service,
            endpoints=count,
            shapes=[_text(shape, n) for shape, n in reserved.need.shapes],
        )


def _text(shape: headroom.Shape, count: int) -> str:
    """Returns a shape for the log: arrivals, tasks, accelerators per task."""
    rack = ", one rack" if shape.one_rack else ""
    return f"{count} of {shape.tasks} x {shape.gpu}{rack}"
