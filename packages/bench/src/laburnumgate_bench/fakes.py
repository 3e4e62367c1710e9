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

CALL_MS = 2
LOG_MS = 10
TICK_MS = 100
# A zone ticks at least this often, so that waiting jobs are tried again.
IDLE_TICK_MS = 1_000
SLOW_STOP_MS = 6_000
# Requests without an outcome this long after arrivals end are counted as
# unfinished; the longest run takes 400 s on the slowest endpoint.
DRAIN_MS = 1_800_000
# An endpoint that fails every task fails it sooner than the task would finish,
# so it is free more often and attracts more work than a healthy one.
FAIL_MS = 500


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

    def __init__(self, described: model.Endpoint):
        self.described = described
        self.tasks: dict[str, Task] = {}
        self.token = 0
        self.leased = False
        self.fails_all = False
        self.stop_ms = CALL_MS

    def free(self) -> int:
        """Returns the number of accelerators without a held or running task."""
        return self.described.accelerators - sum(
            task.accelerators
            for task in self.tasks.values()
            if task.state in ("held", "running")
        )

    def progress(self, task: Task, now_ms: int) -> float:
        """Returns the work in ms that a running task did since its resume."""
        if task.state != "running":
            return 0.0
        return (now_ms - task.resumed_ms) * self.described.speed


class World:
    """Simulates one scheduler per zone under a workload."""

    def __init__(self, load: workload.Workload, policy: type, seed: int):
        """Creates the endpoints of `load` and a `policy` scheduler per zone."""
        self.clock = clock.ManualClock()
        self.jobs = jobs.JobTable()
        self.config = config.ConfigTable()
        self.load = load
        self._publish(
            [
                records.Change(key, value, 0)
                for key, value in layouts.declarations(load.layout).items()
            ]
        )
        self.endpoints = {e.endpoint_id: Endpoint(e) for e in _all(load.layout)}
        self.measures = measures.Measures(load, self.config)
        self._arrivals = {one.job_id: one for one in load.arrivals}
        self._heap: list[tuple[int, int, object, tuple]] = []
        self._number = 0
        self._open = 0
        self._ticks: dict[str, int] = {}
        self.schedulers = {}
        described = [e.described for e in self.endpoints.values()]
        for index, zone in enumerate(load.layout.zones):
            rng = random.Random(seed * 100 + index)
            one = policy(zone, self.jobs, self.config, self.clock, rng)
            one.update_endpoints(described)
            one.activate()
            self.schedulers[zone] = one
            for endpoint in described:
                if endpoint.zone == zone:
                    report = actions.Report(endpoint.endpoint_id, "b", (), True)
                    self._result(zone, report)

    def run(self) -> None:
        """Runs until every request has ended, or `DRAIN_MS` after arrivals."""
        for one in self.load.arrivals:
            self._at(one.at_ms, self._arrive, one)
            if one.cancel_at_ms:
                self._at(one.cancel_at_ms, self._cancel, one)
        for fault in self.load.faults:
            self._at(fault.at_ms, self._fault, fault)
        for zone in self.schedulers:
            self._at(0, self._tick, zone, 0)
        self._at(0, self._sample)
        end_ms = self.load.duration_ms + DRAIN_MS
        while self._heap and self._heap[0][0] < end_ms:
            if self._heap[0][0] > self.load.duration_ms and not self._open:
                break
            at_ms, _, call, arguments = heapq.heappop(self._heap)
            self.clock.advance(at_ms - self.clock.now_ms())
            call(*arguments)
        self.measures.close(self.clock.now_ms())

    def _at(self, at_ms: int, call, *arguments) -> None:
        self._number += 1
        heapq.heappush(self._heap, (at_ms, self._number, call, arguments))

    def _after(self, by_ms: int, call, *arguments) -> None:
        self._at(self.clock.now_ms() + by_ms, call, *arguments)

    def _sample(self) -> None:
        self.measures.sample(self.clock.now_ms(), self.endpoints, self.jobs)
        self._after(measures.SAMPLE_MS, self._sample)

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
        taken = self.jobs.apply_entry(
            records.Entry(offset, f"j{offset}", records.encode_jobs((record,)))
        )
        changed = self.jobs.take_changes()
        after = self.jobs.get(record.job_id)
        was_open = (
            before is not None and before.state is not jobs.JobState.ENDED
        )
        is_open = after.state is not jobs.JobState.ENDED
        self._open += is_open - was_open
        if was_open and not is_open:
            self.measures.ended(after, self.clock.now_ms())
        for zone, one in self.schedulers.items():
            note = getattr(one, "note_changes", None)
            if note is not None:
                note(changed)
            if zone in (after.zone, before.zone if before else ""):
                self._want_tick(zone)
        return taken[0]

    def _want_tick(self, zone: str) -> None:
        at_ms = (self.clock.now_ms() // TICK_MS + 1) * TICK_MS
        if self._ticks.get(zone, 0) > at_ms or self._ticks.get(zone) == at_ms:
            return
        self._ticks[zone] = at_ms
        self._at(at_ms, self._tick, zone, at_ms)

    def _tick(self, zone: str, at_ms: int) -> None:
        one = self.schedulers[zone]
        share = getattr(one, "update_peers", None)
        if share is not None:
            share({z: s.summary() for z, s in self.schedulers.items()})
        self._carry_out(zone, one.tick())
        next_ms = self.clock.now_ms() + IDLE_TICK_MS
        if at_ms % IDLE_TICK_MS == 0:
            self._at(
                next_ms // IDLE_TICK_MS * IDLE_TICK_MS,
                self._tick,
                zone,
                next_ms // IDLE_TICK_MS * IDLE_TICK_MS,
            )

    def _result(self, zone: str, result: actions.Result) -> None:
        self._carry_out(zone, self.schedulers[zone].on(result))
        self._want_tick(zone)

    def _arrive(self, one: workload.Arrival) -> None:
        zone = self._route(one)
        now_ms = self.clock.now_ms()
        self.measures.arrived(one, now_ms)
        self._append(
            records.Submitted(
                one.job_id, one.account, one.spec, zone, "h", now_ms, now_ms, 0
            )
        )

    def _route(self, one: workload.Arrival) -> str:
        """Returns the zone chosen by the policy.

        Policies without `choose_zone` get the zone in service with the fewest
        accelerators requested by open jobs.
        """
        choose = getattr(
            next(iter(self.schedulers.values())), "choose_zone", None
        )
        if choose is not None:
            summaries = {z: s.summary() for z, s in self.schedulers.items()}
            return choose(one.account, one.spec, summaries)
        loads = {}
        for zone in self.schedulers:
            if self.config.zone_in_service(zone):
                loads[zone] = sum(
                    self.jobs.get(job_id).spec.accelerators
                    for job_id in self.jobs.open_ids(zone)
                )
        return min(loads, key=lambda zone: (loads[zone], zone))

    def _cancel(self, one: workload.Arrival) -> None:
        if self.jobs.get(one.job_id).state is not jobs.JobState.ENDED:
            self._append(records.Cancelled(one.job_id, self.clock.now_ms()))

    def _fault(self, fault: workload.Fault) -> None:
        match fault.what:
            case "out" | "in":
                key = f"zone-state/{fault.name}"
                change = records.Change(
                    key, {"state": fault.what}, self.config.revision(key)
                )
                self._publish([change])
                for zone in self.schedulers:
                    self._want_tick(zone)
            case "fail" | "mend":
                self.endpoints[fault.name].fails_all = fault.what == "fail"
            case "slow-stop":
                self.endpoints[fault.name].stop_ms = SLOW_STOP_MS

    def _carry_out(self, zone: str, wanted: list[actions.Action]) -> None:
        for action in wanted:
            match action:
                case actions.Append():
                    self._after(LOG_MS, self._log, zone, action.record)
                case actions.StopPart() | actions.CheckpointPart():
                    endpoint = self.endpoints[action.endpoint_id]
                    self._after(endpoint.stop_ms, self._call, zone, action)
                case _:
                    self._after(CALL_MS, self._call, zone, action)

    def _log(self, zone: str, record: records.JobRecord) -> None:
        taken = self._append(record)
        self._result(zone, actions.Appended(record, taken))

    def _call(self, zone: str, action: actions.Action) -> None:
        endpoint = self.endpoints[action.endpoint_id]
        match action:
            case actions.TakeLease():
                self._lease(zone, endpoint, action)
            case actions.ReleaseLease():
                if endpoint.token == action.token:
                    endpoint.leased = False
            case actions.HoldPart():
                self._hold(zone, endpoint, action)
            case actions.ResumePart():
                self._resume(zone, endpoint, action)
            case actions.StopPart():
                self._stop(zone, endpoint, action.task_id, "stop", "stopped")
            case actions.CheckpointPart():
                self._stop(
                    zone, endpoint, action.task_id, "checkpoint", "checkpointed"
                )
            case actions.RenewTasks():
                renewed = actions.Renewed(
                    action.endpoint_id,
                    action.task_ids,
                    self.clock.now_ms() - CALL_MS,
                    action.lease_ms,
                )
                self._result(zone, renewed)
            case actions.Acknowledge():
                for task_id in action.task_ids:
                    endpoint.tasks.pop(task_id, None)

    def _lease(
        self, zone: str, endpoint: Endpoint, action: actions.TakeLease
    ) -> None:
        if endpoint.leased:
            self._result(
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
        self._result(zone, granted)

    def _answer(
        self,
        zone: str,
        endpoint: Endpoint,
        task_id: str,
        call: str,
        state: str,
        checkpoint: str = "",
    ) -> None:
        answer = actions.PartAnswer(
            endpoint.described.endpoint_id,
            task_id,
            call,
            state,
            checkpoint=checkpoint,
        )
        self._result(zone, answer)

    def _hold(
        self, zone: str, endpoint: Endpoint, action: actions.HoldPart
    ) -> None:
        if endpoint.free() < action.accelerators:
            self._answer(zone, endpoint, action.task_id, "hold", "refused")
            return
        job_id, _, _ = model.parse_task_id(action.task_id)
        left_ms = float(self._arrivals[job_id].work_ms)
        if action.checkpoint:
            left_ms -= min(float(t) for t in action.checkpoint.split(";"))
        task = Task(action.task_id, action.accelerators, left_ms)
        task.done_ms = self._arrivals[job_id].work_ms - left_ms
        endpoint.tasks[action.task_id] = task
        self._answer(zone, endpoint, action.task_id, "hold", "held")

    def _resume(
        self, zone: str, endpoint: Endpoint, action: actions.ResumePart
    ) -> None:
        task = endpoint.tasks.get(action.task_id)
        if task is None:
            self._answer(zone, endpoint, action.task_id, "resume", "absent")
            return
        if task.state == "held":
            task.state = "running"
            task.resumed_ms = self.clock.now_ms()
            job_id, _, _ = model.parse_task_id(task.task_id)
            self.measures.started(job_id, self.clock.now_ms())
            run_ms = int(task.left_ms / endpoint.described.speed) + 1
            if endpoint.fails_all:
                run_ms = min(run_ms, FAIL_MS)
            self._after(run_ms, self._finish, zone, endpoint, task)
        self._answer(zone, endpoint, action.task_id, "resume", task.state)

    def _finish(self, zone: str, endpoint: Endpoint, task: Task) -> None:
        if task.state != "running":
            return
        job_id, _, _ = model.parse_task_id(task.task_id)
        failed = endpoint.fails_all or self._arrivals[job_id].always_fails
        task.state = "failed" if failed else "finished"
        if failed:
            now_ms = self.clock.now_ms()
            done_ms = (now_ms - task.resumed_ms) * endpoint.described.speed
            self.measures.lost(done_ms * task.accelerators)
        view = actions.TaskView(task.task_id, task.state, result="r")
        self._result(
            zone,
            actions.Report(endpoint.described.endpoint_id, "b", (view,)),
        )

    def _stop(
        self, zone: str, endpoint: Endpoint, task_id: str, call: str, state: str
    ) -> None:
        task = endpoint.tasks.get(task_id)
        if task is None:
            self._answer(zone, endpoint, task_id, call, "absent")
            return
        checkpoint = ""
        if task.state in ("held", "running"):
            done_ms = endpoint.progress(task, self.clock.now_ms())
            if call == "checkpoint":
                checkpoint = f"{task.done_ms + done_ms:.0f}"
            else:
                self.measures.lost((task.done_ms + done_ms) * task.accelerators)
            task.state = state
        self._answer(zone, endpoint, task_id, call, task.state, checkpoint)


def _all(layout: layouts.Layout) -> list[model.Endpoint]:
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
