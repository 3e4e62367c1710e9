"""Discrete-event simulation of endpoints and the log.

The simulation executes the actions of real schedulers. Calls have a fixed
latency; the network is not modelled.
"""

import heapq
import random

from laburnumgate_core import actions
from laburnumgate_core import clock
from laburnumgate_core import config
from laburnumgate_core import jobs
from laburnumgate_core import model
from laburnumgate_core import records
from laburnumgate_standins import layout as layouts

from laburnumgate_bench import measures
from laburnumgate_bench import workload

CALL_LATENCY_MS = 2
APPEND_LATENCY_MS = 10
TICK_MS = 100
# A zone ticks at least this often, so that waiting jobs are tried again.
MAX_TICK_INTERVAL_MS = 1_000
SLOW_STOP_LATENCY_MS = 6_000
# Requests without an outcome this long after arrivals end are counted as
# unfinished; the longest run takes 400 s on the slowest endpoint.
DRAIN_TIMEOUT_MS = 1_800_000
# An endpoint that fails every task fails it sooner than the task would finish,
# so it is free more often and attracts more work than a healthy one.
FAILURE_AFTER_MS = 500


class Task:
    """Part of a run on an endpoint.

    `left_ms` is the remaining work and `done_ms` the work in its checkpoint,
    both at speed 1.
    """

    def __init__(self, task_id: str, accelerators: int, left_ms: float):
        self.task_id = task_id
        self.accelerators = accelerators
        self.left_ms = left_ms
        self.done_ms = 0.0
        self.state = "held"
        self.resumed_ms = 0


class Endpoint:
    """Simulated endpoint with its lease and its tasks."""

    def __init__(self, definition: model.Endpoint):
        self.definition = definition
        self.tasks: dict[str, Task] = {}
        self.token = 0
        self.leased = False
        self.fails_all_tasks = False
        self.stop_latency_ms = CALL_LATENCY_MS

    def free(self) -> int:
        """Returns the number of accelerators without a held or running task."""
        return self.definition.accelerators - sum(
            task.accelerators
            for task in self.tasks.values()
            if task.state in ("held", "running")
        )

    def progress(self, task: Task, now_ms: int) -> float:
        """Returns the work in ms that a running task did since its resume."""
        if task.state != "running":
            return 0.0
        return (now_ms - task.resumed_ms) * self.definition.speed


class Simulation:
    """Simulates one scheduler per zone under a workload."""

    def __init__(
        self, offered_load: workload.Workload, policy: type, seed: int
    ):
        """Creates the endpoints of `load` and a `policy` scheduler per zone."""
        self.clock = clock.ManualClock()
        self.jobs = jobs.JobTable()
        self.config = config.ConfigTable()
        self.offered_load = offered_load
        self._publish(
            [
                records.Change(key, value, 0)
                for key, value in layouts.declarations(
                    offered_load.layout
                ).items()
            ]
        )
        self.endpoints = {
            e.endpoint_id: Endpoint(e)
            for e in _build_endpoints(offered_load.layout)
        }
        self.collector = measures.MeasureCollector(offered_load, self.config)
        self._arrivals = {
            arrival.job_id: arrival for arrival in offered_load.arrivals
        }
        self._events: list[tuple[int, int, object, tuple]] = []
        self._event_count = 0
        self._open_jobs = 0
        self._next_tick_ms_by_zone: dict[str, int] = {}
        self.schedulers = {}
        definitions = [e.definition for e in self.endpoints.values()]
        for index, zone in enumerate(offered_load.layout.zones):
            rng = random.Random(seed * 100 + index)
            zone_scheduler = policy(
                zone, self.jobs, self.config, self.clock, rng
            )
            zone_scheduler.update_endpoints(definitions)
            zone_scheduler.activate()
            self.schedulers[zone] = zone_scheduler
            for endpoint in definitions:
                if endpoint.zone == zone:
                    report = actions.Report(endpoint.endpoint_id, "b", (), True)
                    self._handle_result(zone, report)

    def run(self) -> None:
        """Runs until every request has ended.

        Stops at the latest `DRAIN_TIMEOUT_MS` after the end of arrivals.
        """
        for arrival in self.offered_load.arrivals:
            self._schedule_at(arrival.at_ms, self._handle_arrival, arrival)
            if arrival.cancel_at_ms:
                self._schedule_at(
                    arrival.cancel_at_ms, self._handle_cancellation, arrival
                )
        for fault in self.offered_load.faults:
            self._schedule_at(fault.at_ms, self._handle_fault, fault)
        for zone in self.schedulers:
            self._schedule_at(0, self._tick, zone, 0)
        self._schedule_at(0, self._sample)
        end_ms = self.offered_load.duration_ms + DRAIN_TIMEOUT_MS
        while self._events and self._events[0][0] < end_ms:
            if (
                self._events[0][0] > self.offered_load.duration_ms
                and not self._open_jobs
            ):
                break
            at_ms, _, call, arguments = heapq.heappop(self._events)
            self.clock.advance(at_ms - self.clock.now_ms())
            call(*arguments)
        self.collector.close(self.clock.now_ms())

    def _schedule_at(self, at_ms: int, call, *arguments) -> None:
        self._event_count += 1
        heapq.heappush(
            self._events, (at_ms, self._event_count, call, arguments)
        )

    def _schedule_after(self, delay_ms: int, call, *arguments) -> None:
        self._schedule_at(self.clock.now_ms() + delay_ms, call, *arguments)

    def _sample(self) -> None:
        self.collector.sample(self.clock.now_ms(), self.endpoints, self.jobs)
        self._schedule_after(measures.SAMPLE_MS, self._sample)

    def _publish(self, changes: list[records.Change]) -> None:
        offset = self.config.offset + 1
        publication = records.Publication(
            f"c{offset}", "bench", self.clock.now_ms(), tuple(changes)
        )
        outcome = self.config.apply_entry(
            records.Entry(
                offset, f"c{offset}", records.encode_publication(publication)
            )
        )
        if isinstance(outcome, config.Rejected):
            raise ValueError(outcome.reason)

    def _append(self, record: records.JobRecord) -> bool:
        offset = self.jobs.offset + 1
        before = self.jobs.get(record.job_id)
        applied = self.jobs.apply_entry(
            records.Entry(offset, f"j{offset}", records.encode_jobs((record,)))
        )
        changed = self.jobs.take_changes()
        after = self.jobs.get(record.job_id)
        was_open = (
            before is not None and before.state is not jobs.JobState.ENDED
        )
        is_open = after.state is not jobs.JobState.ENDED
        self._open_jobs += is_open - was_open
        if was_open and not is_open:
            self.collector.record_end(after, self.clock.now_ms())
        for zone, zone_scheduler in self.schedulers.items():
            note_changes = getattr(zone_scheduler, "note_changes", None)
            if note_changes is not None:
                note_changes(changed)
            if zone in (after.zone, before.zone if before else ""):
                self._request_tick(zone)
        return applied[0]

    def _request_tick(self, zone: str) -> None:
        at_ms = (self.clock.now_ms() // TICK_MS + 1) * TICK_MS
        if (
            self._next_tick_ms_by_zone.get(zone, 0) > at_ms
            or self._next_tick_ms_by_zone.get(zone) == at_ms
        ):
            return
        self._next_tick_ms_by_zone[zone] = at_ms
        self._schedule_at(at_ms, self._tick, zone, at_ms)

    def _tick(self, zone: str, at_ms: int) -> None:
        zone_scheduler = self.schedulers[zone]
        update_peers = getattr(zone_scheduler, "update_peers", None)
        if update_peers is not None:
            update_peers({z: s.summary() for z, s in self.schedulers.items()})
        self._execute(zone, zone_scheduler.tick())
        next_ms = self.clock.now_ms() + MAX_TICK_INTERVAL_MS
        if at_ms % MAX_TICK_INTERVAL_MS == 0:
            self._schedule_at(
                next_ms // MAX_TICK_INTERVAL_MS * MAX_TICK_INTERVAL_MS,
                self._tick,
                zone,
                next_ms // MAX_TICK_INTERVAL_MS * MAX_TICK_INTERVAL_MS,
            )

    def _handle_result(self, zone: str, result: actions.Result) -> None:
        self._execute(zone, self.schedulers[zone].on(result))
        self._request_tick(zone)

    def _handle_arrival(self, arrival: workload.Arrival) -> None:
        zone = self._route(arrival)
        now_ms = self.clock.now_ms()
        self.collector.record_arrival(arrival, now_ms)
        self._append(
            records.Submitted(
                arrival.job_id,
                arrival.account,
                arrival.spec,
                zone,
                "h",
                now_ms,
                now_ms,
                0,
            )
        )

    def _route(self, arrival: workload.Arrival) -> str:
        """Returns the zone chosen by the policy.

        Policies without `choose_zone` get the zone in service with the fewest
        accelerators requested by open jobs.
        """
        choose_zone = getattr(
            next(iter(self.schedulers.values())), "choose_zone", None
        )
        if choose_zone is not None:
            summaries = {z: s.summary() for z, s in self.schedulers.items()}
            return choose_zone(arrival.account, arrival.spec, summaries)
        open_accelerators = {}
        for zone in self.schedulers:
            if self.config.zone_in_service(zone):
                open_accelerators[zone] = sum(
                    self.jobs.get(job_id).spec.accelerators
                    for job_id in self.jobs.open_ids(zone)
                )
        return min(
            open_accelerators, key=lambda zone: (open_accelerators[zone], zone)
        )

    def _handle_cancellation(self, arrival: workload.Arrival) -> None:
        if self.jobs.get(arrival.job_id).state is not jobs.JobState.ENDED:
            self._append(records.Cancelled(arrival.job_id, self.clock.now_ms()))

    def _handle_fault(self, fault: workload.Fault) -> None:
        match fault.kind:
            case "out" | "in":
                key = f"zone-state/{fault.target}"
                change = records.Change(
                    key, {"state": fault.kind}, self.config.revision(key)
                )
                self._publish([change])
                for zone in self.schedulers:
                    self._request_tick(zone)
            case "fail" | "mend":
                self.endpoints[fault.target].fails_all_tasks = (
                    fault.kind == "fail"
                )
            case "slow-stop":
                self.endpoints[
                    fault.target
                ].stop_latency_ms = SLOW_STOP_LATENCY_MS

    def _execute(self, zone: str, next_actions: list[actions.Action]) -> None:
        for action in next_actions:
            match action:
                case actions.Append():
                    self._schedule_after(
                        APPEND_LATENCY_MS,
                        self._append_and_report,
                        zone,
                        action.record,
                    )
                case actions.StopPart() | actions.CheckpointPart():
                    endpoint = self.endpoints[action.endpoint_id]
                    self._schedule_after(
                        endpoint.stop_latency_ms,
                        self._call_endpoint,
                        zone,
                        action,
                    )
                case _:
                    self._schedule_after(
                        CALL_LATENCY_MS, self._call_endpoint, zone, action
                    )

    def _append_and_report(self, zone: str, record: records.JobRecord) -> None:
        applied = self._append(record)
        self._handle_result(zone, actions.Appended(record, applied))

    def _call_endpoint(self, zone: str, action: actions.Action) -> None:
        endpoint = self.endpoints[action.endpoint_id]
        match action:
            case actions.TakeLease():
                self._take_lease(zone, endpoint, action)
            case actions.ReleaseLease():
                if endpoint.token == action.token:
                    endpoint.leased = False
            case actions.HoldPart():
                self._hold_part(zone, endpoint, action)
            case actions.ResumePart():
                self._resume_part(zone, endpoint, action)
            case actions.StopPart():
                self._stop_part(
                    zone, endpoint, action.task_id, "stop", "stopped"
                )
            case actions.CheckpointPart():
                self._stop_part(
                    zone, endpoint, action.task_id, "checkpoint", "checkpointed"
                )
            case actions.RenewTasks():
                renewed = actions.Renewed(
                    action.endpoint_id,
                    action.task_ids,
                    self.clock.now_ms() - CALL_LATENCY_MS,
                    action.lease_ms,
                )
                self._handle_result(zone, renewed)
            case actions.Acknowledge():
                for task_id in action.task_ids:
                    endpoint.tasks.pop(task_id, None)

    def _take_lease(
        self, zone: str, endpoint: Endpoint, action: actions.TakeLease
    ) -> None:
        if endpoint.leased:
            self._handle_result(
                zone,
                actions.LeaseRefused(
                    action.job_id, action.endpoint_id, "leased"
                ),
            )
            return
        endpoint.leased = True
        endpoint.token += 1
        granted = actions.LeaseGranted(
            action.job_id,
            action.endpoint_id,
            endpoint.token,
            "b",
            endpoint.free(),
        )
        self._handle_result(zone, granted)

    def _answer_part(
        self,
        zone: str,
        endpoint: Endpoint,
        task_id: str,
        call_name: str,
        state: str,
        checkpoint: str = "",
    ) -> None:
        answer = actions.PartAnswer(
            endpoint.definition.endpoint_id,
            task_id,
            call_name,
            state,
            checkpoint=checkpoint,
        )
        self._handle_result(zone, answer)

    def _hold_part(
        self, zone: str, endpoint: Endpoint, action: actions.HoldPart
    ) -> None:
        if endpoint.free() < action.accelerators:
            self._answer_part(zone, endpoint, action.task_id, "hold", "refused")
            return
        job_id, _, _ = model.parse_task_id(action.task_id)
        left_ms = float(self._arrivals[job_id].work_ms)
        if action.checkpoint:
            left_ms -= min(float(t) for t in action.checkpoint.split(";"))
        task = Task(action.task_id, action.accelerators, left_ms)
        task.done_ms = self._arrivals[job_id].work_ms - left_ms
        endpoint.tasks[action.task_id] = task
        self._answer_part(zone, endpoint, action.task_id, "hold", "held")

    def _resume_part(
        self, zone: str, endpoint: Endpoint, action: actions.ResumePart
    ) -> None:
        task = endpoint.tasks.get(action.task_id)
        if task is None:
            self._answer_part(
                zone, endpoint, action.task_id, "resume", "absent"
            )
            return
        if task.state == "held":
            task.state = "running"
            task.resumed_ms = self.clock.now_ms()
            job_id, _, _ = model.parse_task_id(task.task_id)
            self.collector.record_start(job_id, self.clock.now_ms())
            run_ms = int(task.left_ms / endpoint.definition.speed) + 1
            if endpoint.fails_all_tasks:
                run_ms = min(run_ms, FAILURE_AFTER_MS)
            self._schedule_after(
                run_ms, self._finish_task, zone, endpoint, task
            )
        self._answer_part(zone, endpoint, action.task_id, "resume", task.state)

    def _finish_task(self, zone: str, endpoint: Endpoint, task: Task) -> None:
        if task.state != "running":
            return
        job_id, _, _ = model.parse_task_id(task.task_id)
        failed = endpoint.fails_all_tasks or self._arrivals[job_id].always_fails
        task.state = "failed" if failed else "finished"
        if failed:
            now_ms = self.clock.now_ms()
            done_ms = (now_ms - task.resumed_ms) * endpoint.definition.speed
            self.collector.record_lost_work(done_ms * task.accelerators)
        view = actions.TaskView(task.task_id, task.state, result="r")
        self._handle_result(
            zone,
            actions.Report(endpoint.definition.endpoint_id, "b", (view,)),
        )

    def _stop_part(
        self,
        zone: str,
        endpoint: Endpoint,
        task_id: str,
        call_name: str,
        state: str,
    ) -> None:
        task = endpoint.tasks.get(task_id)
        if task is None:
            self._answer_part(zone, endpoint, task_id, call_name, "absent")
            return
        checkpoint = ""
        if task.state in ("held", "running"):
            done_ms = endpoint.progress(task, self.clock.now_ms())
            if call_name == "checkpoint":
                checkpoint = f"{task.done_ms + done_ms:.0f}"
            else:
                self.collector.record_lost_work(
                    (task.done_ms + done_ms) * task.accelerators
                )
            task.state = state
        self._answer_part(
            zone, endpoint, task_id, call_name, task.state, checkpoint
        )


def _build_endpoints(layout: layouts.Layout) -> list[model.Endpoint]:
    return [
        model.Endpoint(
            endpoint_id=f"{zone}-r1-{number}",
            zone=zone,
            rack=f"{zone}-r1",
            url="",
            accelerators=layout.accelerators,
            cpus=layout.cpus,
            memory_mb=layout.memory_mb,
            slots=layout.slots,
            connections=layout.connections,
            speed=layout.speed_by_zone[zone],
        )
        for zone in layout.zones
        for number in range(1, layout.endpoints_per_rack + 1)
    ]
