"""A scheduler of one zone whose actions are answered by its test."""

import random

from laburnumgate_core import actions
from laburnumgate_core import clock
from laburnumgate_core import config
from laburnumgate_core import gang
from laburnumgate_core import jobs
from laburnumgate_core import model
from laburnumgate_core import records
from laburnumgate_core import scheduler

ACCELERATORS = 8


def make_endpoint(
    endpoint_id: str, accelerators: int = ACCELERATORS
) -> model.Endpoint:
    return model.Endpoint(
        endpoint_id, "z", "k", "http://e", accelerators, 64, 1 << 20
    )


class World:
    """The scheduler, its log and the endpoints `e0`, `e1` and so on."""

    def __init__(self, endpoints: int, guaranteed: int = 0):
        """Gives account `b` a guaranteed gang of that many accelerators."""
        self.clock = clock.ManualClock(1_000_000)
        self.jobs = jobs.JobTable()
        self.config = config.ConfigTable()
        self._publish(endpoints, guaranteed)
        self.scheduler = scheduler.Scheduler(
            "z", self.jobs, self.config, self.clock, random.Random(1)
        )
        self.endpoints_by_id = {
            f"e{n}": make_endpoint(f"e{n}") for n in range(endpoints)
        }
        self.boots_by_id = dict.fromkeys(self.endpoints_by_id, 1)
        self.task_ids_by_endpoint = {e: [] for e in self.endpoints_by_id}
        # Actions of these types are kept unanswered in `waiting`.
        self.unanswered: tuple[type, ...] = ()
        self.waiting: list[actions.Action] = []
        self.update_endpoints()
        self.scheduler.activate()
        for endpoint_id in self.endpoints_by_id:
            self.report(endpoint_id)

    def update_endpoints(self) -> None:
        """Reads the live list."""
        self.scheduler.update_endpoints(list(self.endpoints_by_id.values()))

    def resize(self, endpoint_id: str, accelerators: int) -> None:
        """Changes what the live list says of an endpoint, and reads it."""
        endpoint = make_endpoint(endpoint_id, accelerators)
        self.endpoints_by_id[endpoint_id] = endpoint
        self.update_endpoints()

    def submit(self, job_id: str, **fields) -> None:
        defaults = {
            "kind": "k",
            "parts": 1,
            "accelerators_per_part": 4,
            "run_ms": 1_000,
        }
        spec = model.JobSpec(**{**defaults, **fields})
        account = job_id.partition("/")[0]
        now_ms = self.clock.now_ms()
        self.append(
            records.Submitted(
                job_id, account, spec, "z", "h", now_ms, now_ms, 0
            )
        )

    def append(self, record: records.JobRecord) -> bool:
        offset = self.jobs.offset + 1
        data = records.encode_jobs((record,))
        applied = self.jobs.apply_entry(
            records.Entry(offset, f"j{offset}", data)
        )
        self.scheduler.note_changes(self.jobs.take_changes())
        return applied[0]

    def tick(self, for_ms: int = 1_000) -> None:
        """Advances the clock and ticks every 100 ms."""
        for _ in range(for_ms // 100):
            self.clock.advance(100)
            self.carry_out(self.scheduler.tick())

    def report(self, endpoint_id: str) -> None:
        """Passes on a full report of an endpoint."""
        views = [
            actions.TaskView(task_id, "running")
            for task_id in self.task_ids_by_endpoint[endpoint_id]
        ]
        report = actions.Report(
            endpoint_id, self._boot_id(endpoint_id), tuple(views), True
        )
        self.carry_out(self.scheduler.on(report))

    def reboot(self, endpoint_id: str) -> None:
        """Restarts an endpoint without its tasks, which it reports."""
        self.boots_by_id[endpoint_id] += 1
        self.task_ids_by_endpoint[endpoint_id].clear()
        self.report(endpoint_id)

    def finish(self, job_id: str) -> None:
        """Reports that every part of a job has finished."""
        for part in self.scheduler.runs.runs_by_id[job_id].parts:
            view = actions.TaskView(part.task_id, "finished", result="done")
            self.task_ids_by_endpoint[part.endpoint_id].remove(part.task_id)
            report = actions.Report(
                part.endpoint_id, self._boot_id(part.endpoint_id), (view,)
            )
            self.carry_out(self.scheduler.on(report))

    def running(self) -> dict[str, tuple[str, ...]]:
        """Returns the endpoints of the running jobs by job id."""
        return {
            job_id: run.endpoint_ids
            for job_id, run in self.scheduler.runs.runs_by_id.items()
            if run.phase is gang.Phase.RUNNING
        }

    def answer_waiting(self) -> None:
        """Answers the actions that were kept, and later ones at once."""
        waiting, self.waiting, self.unanswered = self.waiting, [], ()
        self.carry_out(waiting)

    def carry_out(self, wanted: list[actions.Action]) -> None:
        for action in wanted:
            if isinstance(action, self.unanswered):
                self.waiting.append(action)
                continue
            result = self._answer(action)
            if result is not None:
                self.carry_out(self.scheduler.on(result))

    def _answer(self, action: actions.Action) -> actions.Result | None:
        match action:
            case actions.Append(record):
                return actions.Appended(record, self.append(record))
            case actions.TakeLease():
                return actions.LeaseGranted(
                    action.job_id,
                    action.endpoint_id,
                    1,
                    self._boot_id(action.endpoint_id),
                    # As if answered before any change of its capacity.
                    ACCELERATORS,
                    action.attempt,
                )
            case actions.HoldPart(endpoint_id=endpoint_id, task_id=task_id):
                self.task_ids_by_endpoint[endpoint_id].append(task_id)
                return actions.PartAnswer(endpoint_id, task_id, "hold", "held")
            case actions.ResumePart(endpoint_id=endpoint_id, task_id=task_id):
                return actions.PartAnswer(
                    endpoint_id,
                    task_id,
                    "resume",
                    "running",
                    lease_until_ms=action.until_ms,
                )
            case actions.StopPart(endpoint_id=endpoint_id, task_id=task_id):
                state = "absent"
                if task_id in self.task_ids_by_endpoint[endpoint_id]:
                    self.task_ids_by_endpoint[endpoint_id].remove(task_id)
                    state = "stopped"
                return actions.PartAnswer(endpoint_id, task_id, "stop", state)
            case actions.RenewTasks():
                return actions.Renewed(
                    action.endpoint_id,
                    action.task_ids,
                    self.clock.now_ms(),
                    action.lease_ms,
                )
        return None

    def _boot_id(self, endpoint_id: str) -> str:
        return f"{endpoint_id}-{self.boots_by_id[endpoint_id]}"

    def _publish(self, endpoints: int, guaranteed: int) -> None:
        rack = {
            "name": "k",
            "endpoints": endpoints,
            "accelerators_per_endpoint": ACCELERATORS,
        }
        promise = {"quota_accelerators": 1_000, "shapes": []}
        values = {
            "zone/z": {"region": "r", "racks": [rack]},
            "template/t": {"parameters": {}, "promise": promise},
            "account/a": {"template": "t", "parameters": {}},
        }
        if guaranteed:
            shape = {"parts": 1, "accelerators_per_part": guaranteed}
            owed = {"quota_accelerators": 1_000, "shapes": [shape]}
            values["template/g"] = {"parameters": {}, "promise": owed}
            values["account/b"] = {"template": "g", "parameters": {}}
        changes = tuple(records.Change(k, v, 0) for k, v in values.items())
        publication = records.Publication("c", "ana", 1, changes)
        outcome = self.config.apply_entry(
            records.Entry(1, "c", records.encode_publication(publication))
        )
        assert outcome == config.Accepted(1)
