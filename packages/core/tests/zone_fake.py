"""Deterministic simulation of a zone: endpoints, log and hosts on one clock.

Every call and every append is an event in a queue. Faults are set by kind of
call and occurrence, so that a case can be reproduced from its plan alone.
"""

import collections
from collections.abc import Callable
import dataclasses
import heapq
import random

from laburnumgate_core import actions
from laburnumgate_core import clock
from laburnumgate_core import gang
from laburnumgate_core import jobs
from laburnumgate_core import model
from laburnumgate_core import records
from laburnumgate_core import runs

LATENCY_MS = 2
TICK_INTERVAL_MS = 100
POLL_INTERVAL_MS = 250
LOST_AFTER_MS = 10_000
TAKEOVER_MS = 3_000
# How long a task that crashes its endpoint is in the fatal state before.
CRASHING_AFTER_MS = 1


@dataclasses.dataclass(frozen=True)
class Fault:
    """Fault injected into one call; a delay is at most the call deadline."""

    lose_request: bool = False
    lose_answer: bool = False
    delay_ms: int = 0
    repeat_after_ms: int = 0
    refuse: bool = False


@dataclasses.dataclass
class Task:
    """Task on an endpoint, with its lease and its remaining work."""

    task_id: str
    state: str
    lease_until_ms: int
    left_ms: int
    accelerators: int
    checkpoint: str = ""
    result: str = ""
    since_ms: int = 0


@dataclasses.dataclass(frozen=True)
class StateChange:
    """Change of a task's state, as logged by the simulation."""

    at_ms: int
    task_id: str
    state: str


class Endpoint:
    """Simulated endpoint: its exclusive lease and its tasks."""

    def __init__(self, zone: "Zone", endpoint_id: str):
        self.zone = zone
        self.endpoint_id = endpoint_id
        self.boot = 1
        self.reachable = True
        self.fail_all = False
        self.slow_stop_ms = 0
        self.tasks_by_id: dict[str, Task] = {}
        self.last_token = 0
        self.lease: tuple[str, int, int] | None = None

    @property
    def boot_id(self) -> str:
        return f"{self.endpoint_id}-{self.boot}"

    def crash(self, down_ms: int) -> None:
        """Restarts the endpoint, which answers again after `down_ms`."""
        self.reachable = False
        self.reboot()
        self.zone.schedule(down_ms, self._set_reachable)

    def _set_reachable(self) -> None:
        self.reachable = True

    def reboot(self) -> None:
        for task in self.tasks_by_id.values():
            self._set_state(task, "absent")
        self.tasks_by_id.clear()
        self.lease = None
        self.boot += 1

    def free(self) -> int:
        used = sum(
            task.accelerators
            for task in self.tasks_by_id.values()
            if task.state in ("held", "running")
        )
        return 8 - used

    def next_ms(self) -> int:
        """Returns when the next task finishes or lapses."""
        times = [1 << 62]
        for task in self.tasks_by_id.values():
            if task.state in ("held", "running"):
                times.append(task.lease_until_ms)
            if task.state == "running":
                times.append(task.since_ms + task.left_ms)
        return min(times)

    def end_due_tasks(self, now_ms: int) -> None:
        """Ends tasks whose work is done or whose lease has expired."""
        for task in self.tasks_by_id.values():
            if task.state not in ("held", "running"):
                continue
            done_ms = task.since_ms + task.left_ms
            if task.state == "running" and now_ms >= done_ms:
                task.result = f"{task.task_id} done"
                self._set_state(task, "failed" if self.fail_all else "finished")
            elif now_ms >= task.lease_until_ms:
                self._set_state(task, "lapsed")

    def take_lease(self, holder: str, ttl_ms: int) -> int | None:
        now_ms = self.zone.now_ms
        if self.lease is not None and now_ms < self.lease[2]:
            return None
        self.last_token += 1
        self.lease = (holder, self.last_token, now_ms + ttl_ms)
        return self.last_token

    def holds(self, token: int) -> bool:
        if self.lease is None or self.lease[1] != token:
            return False
        return self.zone.now_ms < self.lease[2]

    def hold(self, action: actions.HoldPart) -> str:
        if action.task_id in self.tasks_by_id:
            return self.tasks_by_id[action.task_id].state
        if not self.holds(action.token) or self.free() < action.accelerators:
            return "refused"
        self.zone.held_checkpoint_by_task[action.task_id] = action.checkpoint
        task = Task(
            action.task_id,
            "absent",
            self.zone.now_ms + action.lease_ms,
            int(action.payload or 1_000),
            action.accelerators,
        )
        self.tasks_by_id[task.task_id] = task
        self._set_state(task, "held")
        return task.state

    def resume(self, task_id: str, lease_ms: int) -> str:
        task = self.tasks_by_id.get(task_id)
        if task is None:
            return "absent"
        if task.state in ("held", "running"):
            task.lease_until_ms = self.zone.now_ms + lease_ms
        if task.state == "held":
            self._set_state(task, "running")
        return task.state

    def stop(self, task_id: str, checkpoint: bool) -> str:
        task = self.tasks_by_id.get(task_id)
        if task is None:
            return "absent"
        if task.state in ("held", "running"):
            if checkpoint:
                task.checkpoint = f"point of {task_id}"
            self._set_state(task, "checkpointed" if checkpoint else "stopped")
        return task.state

    def renew(self, task_ids: tuple[str, ...], lease_ms: int) -> list[str]:
        renewed = []
        for task_id in task_ids:
            task = self.tasks_by_id.get(task_id)
            if task is not None and task.state in ("held", "running"):
                task.lease_until_ms = self.zone.now_ms + lease_ms
                renewed.append(task_id)
        return renewed

    def task_views(self) -> tuple[actions.TaskView, ...]:
        return tuple(
            actions.TaskView(
                task.task_id,
                task.state,
                result=task.result,
                checkpoint=task.checkpoint,
            )
            for task in self.tasks_by_id.values()
        )

    def _set_state(self, task: Task, state: str) -> None:
        task.state = state
        task.since_ms = self.zone.now_ms
        self.zone.state_changes.append(
            StateChange(self.zone.now_ms, task.task_id, state)
        )
        job_id, _, part = model.parse_task_id(task.task_id)
        down_ms = self.zone.down_ms_by_crashing_part.get((job_id, part, state))
        if down_ms is not None:
            self.zone.schedule(CRASHING_AFTER_MS, lambda: self.crash(down_ms))


class Host:
    """Simulated placing host: the jobs it read from the log, and its runs."""

    def __init__(self, zone: "Zone", name: str):
        self.zone = zone
        self.name = name
        self.alive = True
        self.active = False
        self.paused_until_ms = 0
        self.jobs = jobs.JobTable()
        # Endpoints that do not answer, which get no new work.
        self.lost_ids: set[str] = set()
        self.runs = runs.RunTable("z", self.jobs, self.may_start)
        self.applied_entries = 0
        self.rng = random.Random(name)
        self.retry_ms_by_id: dict[str, int] = {}
        self.last_report_ms_by_id: dict[str, int] = {}
        self.waiting: list[tuple[str, records.JobRecord]] = []
        self.sent = 0
        self.die_after: int | None = None
        self.pause_after: tuple[int, int] | None = None

    @property
    def awake(self) -> bool:
        return self.alive and self.zone.now_ms >= self.paused_until_ms

    def may_start(self, endpoint_id: str) -> bool:
        if endpoint_id in self.lost_ids:
            return False
        return self.zone.may_start(endpoint_id)

    def activate(self) -> None:
        self.active = True
        self.read_log()
        self.last_report_ms_by_id = dict.fromkeys(
            self.zone.endpoints_by_id, self.zone.now_ms
        )
        self.runs.adopt(self.zone.endpoints_by_id, self.zone.now_ms)

    def read_log(self) -> None:
        """Applies new log entries and reports the host's own appends."""
        for entry in self.zone.entries[self.applied_entries :]:
            self.applied_entries += 1
            applied = self.jobs.apply_entry(entry)
            for append_id, record in list(self.waiting):
                if append_id == entry.append_id:
                    self.waiting.remove((append_id, record))
                    answer = actions.Appended(record, applied[0])
                    self.deliver(answer, "appended")
        for job_id in self.jobs.take_changes():
            if self.active:
                self.carry_out(
                    self.runs.reconcile_job(job_id, self.zone.now_ms)
                )

    def tick(self) -> None:
        self.read_log()
        if not self.active:
            return
        now_ms = self.zone.now_ms
        self.carry_out(self.runs.tick(now_ms))
        self._close_runs()
        if self.runs.recovering:
            return
        for job_id in self.jobs.open_ids("z"):
            job = self.jobs.get(job_id)
            if job_id in self.runs.runs_by_id:
                continue
            if job.state is not jobs.JobState.QUEUED:
                continue
            if now_ms < self.retry_ms_by_id.get(job_id, 0):
                continue
            endpoint_ids = self.zone.choose_endpoints(job)
            if all(self.may_start(e) for e in endpoint_ids):
                self.carry_out(self.runs.start(job, endpoint_ids))

    def deliver(self, result: actions.Result, kind: str) -> None:
        """Delivers a result, after the pause if the host is paused."""
        fault = self.zone.next_fault(kind)
        if fault.lose_answer:
            return
        self.zone.schedule(fault.delay_ms, lambda: self._receive(result))

    def _receive(self, result: actions.Result) -> None:
        if not self.alive or not self.active:
            return
        if not self.awake:
            wait_ms = self.paused_until_ms - self.zone.now_ms
            self.zone.schedule(wait_ms, lambda: self._receive(result))
            return
        self.carry_out(self.runs.on(result, self.zone.now_ms))
        self._close_runs()

    def _close_runs(self) -> None:
        for run in self.runs.take_done():
            pause_ms = 200 + self.rng.randrange(400)
            self.retry_ms_by_id[run.job.job_id] = self.zone.now_ms + pause_ms

    def carry_out(self, wanted: list[actions.Action]) -> None:
        for action in wanted:
            if not self.alive:
                return
            if not self.awake:
                # A paused host sends the remaining actions after its pause,
                # unless it has crashed.
                wait_ms = self.paused_until_ms - self.zone.now_ms
                self.zone.schedule(
                    wait_ms, lambda a=action: self.carry_out([a])
                )
                continue
            self.sent += 1
            if self.die_after is not None and self.sent > self.die_after:
                self.alive = False
                return
            if self.pause_after and self.sent > self.pause_after[0]:
                self.paused_until_ms = self.zone.now_ms + self.pause_after[1]
                self.pause_after = None
                self.carry_out([action])
                continue
            self.zone.send(self, action)


class Zone:
    """Simulated zone: endpoints, log, hosts and the event queue."""

    def __init__(
        self,
        endpoints: int = 3,
        hosts: int = 1,
        plan: dict[tuple[str, int], Fault] | None = None,
    ):
        self.clock = clock.ManualClock(1_000_000)
        self.state_changes: list[StateChange] = []
        self.held_checkpoint_by_task: dict[str, str] = {}
        self.entries: list[records.Entry] = []
        self.log_down = False
        self.out_of_service_ids: set[str] = set()
        self.plan = plan or {}
        self.early_acknowledged_ids: list[str] = []
        # How long an endpoint is down after it crashed, by the job, the part
        # and the task state that crash it.
        self.down_ms_by_crashing_part: dict[tuple[str, int, str], int] = {}
        self._calls: collections.Counter[str] = collections.Counter()
        self._appends = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0
        self.endpoints_by_id = {
            f"e{n}": Endpoint(self, f"e{n}") for n in range(endpoints)
        }
        self.unknown_endpoint = Endpoint(self, "nowhere")
        self.unknown_endpoint.reachable = False
        self.hosts = [Host(self, f"h{n}") for n in range(hosts)]
        self.schedule(0, self._tick)
        self.schedule(0, self._poll)

    @property
    def now_ms(self) -> int:
        return self.clock.now_ms()

    def may_start(self, endpoint_id: str) -> bool:
        return endpoint_id not in self.out_of_service_ids

    def choose_endpoints(self, job: jobs.Job) -> tuple[str, ...]:
        """Returns the endpoints of the parts, assigned round-robin."""
        ids = sorted(self.endpoints_by_id)
        return tuple(ids[n % len(ids)] for n in range(job.spec.parts))

    def submit(self, job_id: str, **fields) -> None:
        defaults = {
            "kind": "k",
            "parts": 3,
            "accelerators_per_part": 4,
            "run_ms": 1_000,
            "payload": "1000",
        }
        spec = model.JobSpec(**{**defaults, **fields})
        self.append(
            records.Submitted(
                job_id, "a", spec, "z", "h", self.now_ms, self.now_ms, 0
            )
        )

    def append(self, record: records.JobRecord, append_id: str = "") -> None:
        """Adds a record to the log immediately."""
        self._appends += 1
        append_id = append_id or f"direct-{self._appends}"
        data = records.encode_jobs((record,))
        offset = len(self.entries) + 1
        self.entries.append(records.Entry(offset, append_id, data))

    def job(self, job_id: str) -> jobs.Job:
        """Returns the job according to the log."""
        table = jobs.JobTable()
        for entry in self.entries:
            table.apply_entry(entry)
        return table.get(job_id)

    def requeued_records(self) -> list[records.Requeued]:
        """Returns the records of runs that ended without an outcome."""
        batches = [records.decode_jobs(e.data) for e in self.entries]
        return [
            record
            for batch in batches
            for record in batch
            if isinstance(record, records.Requeued)
        ]

    def schedule(self, delay_ms: int, event: Callable[[], None]) -> None:
        self._sequence += 1
        due_ms = self.now_ms + max(0, delay_ms)
        heapq.heappush(self._events, (due_ms, self._sequence, event))

    def advance(self, for_ms: int) -> None:
        """Advances the clock and handles all events until then."""
        end_ms = self.now_ms + for_ms
        while True:
            task_ms = min(e.next_ms() for e in self.endpoints_by_id.values())
            event_ms = self._events[0][0]
            next_ms = max(self.now_ms, min(task_ms, event_ms))
            if next_ms > end_ms:
                break
            self.clock.advance(next_ms - self.now_ms)
            for endpoint in self.endpoints_by_id.values():
                endpoint.end_due_tasks(self.now_ms)
            if event_ms <= self.now_ms:
                heapq.heappop(self._events)[2]()
        self.clock.advance(end_ms - self.now_ms)

    def call_count(self, kind: str) -> int:
        """Returns how many calls of a kind were made."""
        return self._calls[kind]

    def next_fault(self, kind: str) -> Fault:
        """Counts a call and returns the fault planned for this occurrence."""
        self._calls[kind] += 1
        return self.plan.get((kind, self._calls[kind]), Fault())

    def send(self, host: Host, action: actions.Action) -> None:
        """Carries out one action of a host."""
        if isinstance(action, actions.Append):
            self._send_append(host, action)
            return
        kind = type(action).__name__
        fault = self.next_fault(kind)
        # An endpoint that does not belong to the zone never answers.
        endpoint = self.endpoints_by_id.get(
            action.endpoint_id, self.unknown_endpoint
        )
        before_ms = getattr(action, "send_before_ms", 0)
        if before_ms and self.now_ms >= before_ms:
            host.deliver(_part_answer(action, "refused", endpoint), "late")
            return
        answered = []

        def answer(result: actions.Result | None) -> None:
            if result is not None and not answered:
                answered.append(True)
                host.deliver(result, "answer")

        def arrive() -> None:
            if fault.lose_request or not endpoint.reachable:
                return
            boot = endpoint.boot
            result = self._serve(host, endpoint, action, fault)
            if not fault.lose_answer:
                self.schedule(
                    LATENCY_MS, lambda: endpoint.boot == boot and answer(result)
                )

        delay_ms = LATENCY_MS + fault.delay_ms
        if isinstance(action, actions.StopPart):
            delay_ms += endpoint.slow_stop_ms
        self.schedule(delay_ms, arrive)
        if fault.repeat_after_ms:
            self.schedule(delay_ms + fault.repeat_after_ms, arrive)
        timeout_result = _timeout_result(action, endpoint)
        self.schedule(gang.CALL_DEADLINE_MS, lambda: answer(timeout_result))

    def _send_append(self, host: Host, action: actions.Append) -> None:
        self._appends += 1
        append_id = f"{host.name}-{self._appends}"
        host.waiting.append((append_id, action.record))
        fault = self.next_fault("Append")

        def arrive() -> None:
            if self.log_down:
                self.schedule(500, arrive)
                return
            self.append(action.record, append_id)
            host_awake = host.awake
            if host_awake:
                self.schedule(
                    LATENCY_MS, lambda: host.awake and host.read_log()
                )

        def give_up() -> None:
            pending = (append_id, action.record)
            if pending not in host.waiting or not host.awake:
                return
            job = host.jobs.get(action.record.job_id)
            if not job.spec.idempotent:
                return
            host.waiting.remove(pending)
            applied = host.jobs.add_provisional(append_id, 0, action.record)
            answer = actions.Appended(action.record, applied, durable=False)
            host.deliver(answer, "appended")

        self.schedule(LATENCY_MS + fault.delay_ms, arrive)
        if self.log_down:
            self.schedule(1_000, give_up)

    def _serve(
        self,
        host: Host,
        endpoint: Endpoint,
        action: actions.Action,
        fault: Fault,
    ) -> actions.Result | None:
        match action:
            case actions.TakeLease():
                return self._serve_lease(host, endpoint, action, fault)
            case actions.ReleaseLease(token=token):
                if endpoint.holds(token):
                    endpoint.lease = None
            case actions.HoldPart():
                state = "refused" if fault.refuse else endpoint.hold(action)
                return _part_answer(action, state, endpoint)
            case actions.ResumePart(task_id=task_id):
                state = "refused"
                if not fault.refuse:
                    state = endpoint.resume(task_id, action.lease_ms)
                return _part_answer(action, state, endpoint)
            case actions.StopPart() | actions.CheckpointPart():
                state = "refused"
                if not fault.refuse:
                    checkpoint = isinstance(action, actions.CheckpointPart)
                    state = endpoint.stop(action.task_id, checkpoint)
                return _part_answer(action, state, endpoint)
            case actions.ReadTasks():
                return actions.TasksRead(
                    action.job_id,
                    endpoint.endpoint_id,
                    action.serial,
                    endpoint.boot_id,
                    endpoint.task_views(),
                )
            case actions.RenewTasks():
                renewed = endpoint.renew(action.task_ids, action.lease_ms)
                return actions.Renewed(
                    endpoint.endpoint_id,
                    tuple(renewed),
                    self.now_ms - LATENCY_MS - fault.delay_ms,
                    action.lease_ms,
                )
            case actions.Acknowledge():
                self._acknowledge(endpoint, action)
        return None

    def _serve_lease(
        self,
        host: Host,
        endpoint: Endpoint,
        action: actions.TakeLease,
        fault: Fault,
    ) -> actions.Result:
        token = None
        if not fault.refuse:
            token = endpoint.take_lease(host.name, action.ttl_ms)
        if token is None:
            return actions.LeaseRefused(
                action.job_id, endpoint.endpoint_id, "held", action.attempt
            )
        return actions.LeaseGranted(
            action.job_id,
            endpoint.endpoint_id,
            token,
            endpoint.boot_id,
            endpoint.free(),
            action.attempt,
        )

    def _acknowledge(
        self, endpoint: Endpoint, action: actions.Acknowledge
    ) -> None:
        for task_id in action.task_ids:
            job_id, number, _ = model.parse_task_id(task_id)
            job = self.job(job_id)
            if job.state is jobs.JobState.ACTIVE and job.run == number:
                self.early_acknowledged_ids.append(task_id)
            endpoint.tasks_by_id.pop(task_id, None)

    def _tick(self) -> None:
        self.schedule(TICK_INTERVAL_MS, self._tick)
        for host in self.hosts:
            if host.awake:
                host.tick()

    def _poll(self) -> None:
        """Delivers full reports of reachable endpoints, and losses."""
        self.schedule(POLL_INTERVAL_MS, self._poll)
        for host in self.hosts:
            if not host.awake or not host.active:
                continue
            for endpoint_id, endpoint in self.endpoints_by_id.items():
                last_report_ms = host.last_report_ms_by_id.get(endpoint_id, 0)
                if endpoint.reachable:
                    host.last_report_ms_by_id[endpoint_id] = self.now_ms
                    host.lost_ids.discard(endpoint_id)
                    report = actions.Report(
                        endpoint_id,
                        endpoint.boot_id,
                        endpoint.task_views(),
                        True,
                    )
                    host.deliver(report, "report")
                elif self.now_ms - last_report_ms > LOST_AFTER_MS:
                    host.deliver(actions.EndpointLost(endpoint_id), "lost")
                    self.schedule(
                        0, lambda h=host, e=endpoint_id: h.lost_ids.add(e)
                    )


def _part_answer(
    action: actions.Action, state: str, endpoint: Endpoint
) -> actions.PartAnswer:
    call = {
        actions.HoldPart: "hold",
        actions.ResumePart: "resume",
        actions.StopPart: "stop",
        actions.CheckpointPart: "checkpoint",
    }[type(action)]
    task = endpoint.tasks_by_id.get(action.task_id)
    checkpoint = "" if task is None else task.checkpoint
    until_ms = getattr(action, "until_ms", 0)
    return actions.PartAnswer(
        action.endpoint_id,
        action.task_id,
        call,
        state,
        checkpoint=checkpoint,
        lease_until_ms=until_ms,
    )


def _timeout_result(
    action: actions.Action, endpoint: Endpoint
) -> actions.Result | None:
    match action:
        case actions.TakeLease():
            return actions.LeaseRefused(
                action.job_id, action.endpoint_id, "silent", action.attempt
            )
        case (
            actions.HoldPart()
            | actions.ResumePart()
            | actions.StopPart()
            | actions.CheckpointPart()
        ):
            answer = _part_answer(action, "unknown", endpoint)
            return dataclasses.replace(answer, checkpoint="")
    return None


def max_partial_ms(zone: Zone, job_id: str, run: int, parts: int) -> int:
    """Returns the longest time for which only some parts of a run were running.

    Finished parts count as running.
    """
    state_by_part = ["absent"] * parts
    max_ms = 0
    since_ms = None
    changes = [
        s
        for s in zone.state_changes
        if s.task_id.startswith(f"{job_id}/{run}/")
    ]
    end = StateChange(zone.now_ms, f"{job_id}/{run}/0", "")
    for change in [*changes, end]:
        if since_ms is not None:
            max_ms = max(max_ms, change.at_ms - since_ms)
        part = model.parse_task_id(change.task_id)[2]
        state_by_part[part] = change.state or state_by_part[part]
        complete = all(s in ("running", "finished") for s in state_by_part)
        if "running" not in state_by_part or complete:
            since_ms = None
        elif since_ms is None:
            since_ms = change.at_ms
    return max_ms


def resumed_runs(zone: Zone, job_id: str) -> set[int]:
    """Returns the runs of a job in which a part was running."""
    found = set()
    for change in zone.state_changes:
        job, run, _ = model.parse_task_id(change.task_id)
        if job == job_id and change.state == "running":
            found.add(run)
    return found
