"""One run of a gang, from its leases to its outcome.

Every part is started at throttle 0 before any part is resumed, so that a
refusal never leaves some parts at work without the rest.
"""

from collections.abc import Callable
from collections.abc import Iterable
import enum

from laburnumgate_core import actions
from laburnumgate_core import jobs
from laburnumgate_core import model
from laburnumgate_core import records
from laburnumgate_core import verdict

EXCLUSIVE_LEASE_MS = 5_000
HOLD_LEASE_MS = 5_000
RESUME_LEASE_MS = 3_000
TASK_LEASE_MS = 60_000
# A job that failed this many runs on sound endpoints is given up.
MAX_FAILED_RUNS = 3

_OVER_STATES = ("finished", "failed", "stopped", "lapsed", "checkpointed")
_GONE_STATES = (*_OVER_STATES, "absent")


class Phase(enum.StrEnum):
    """How far a run has come."""

    LEASING = "leasing"
    RECORDING = "recording"
    HOLDING = "holding"
    RESUMING = "resuming"
    RUNNING = "running"
    STOPPING = "stopping"
    CLOSING = "closing"
    DONE = "done"


class _Part:
    """State of one part as far as its endpoint has told."""

    def __init__(self, endpoint_id: str, task_id: str):
        self.endpoint_id = endpoint_id
        self.task_id = task_id
        self.state = "absent"
        self.result = ""
        self.checkpoint = ""
        # The part cannot run after this time unless its lease is renewed.
        self.lease_until_ms = 0


class Run:
    """State machine of one run; every step returns the next actions."""

    def __init__(
        self,
        job: jobs.Job,
        run: int,
        zone: str,
        endpoint_ids: tuple[str, ...],
        may_start: Callable[[str], bool],
    ):
        """Prepares a run.

        Args:
          job: the job, queued in `zone`.
          run: number of the run, one above the job's last.
          zone: availability zone of the endpoints.
          endpoint_ids: the endpoint of each part, in part order.
          may_start: tells whether an endpoint may get new work now.
        """
        self.job = job
        self.run = run
        self.zone = zone
        self.phase = Phase.LEASING
        self.parts = [
            _Part(endpoint_id, model.task_id(job.job_id, run, index))
            for index, endpoint_id in enumerate(endpoint_ids)
        ]
        self.stop_reason = ""
        self.failed_endpoint = ""
        self.may_have_run = False
        self.outcome: verdict.Verdict | None = None
        self._may_start = may_start
        self._wanted = sorted(set(endpoint_ids))
        self._token_by_endpoint: dict[str, int] = {}
        self._boot_by_endpoint: dict[str, str] = {}
        self._part_by_task = {part.task_id: part for part in self.parts}

    @property
    def endpoint_ids(self) -> tuple[str, ...]:
        """The endpoint of each part, in part order."""
        return tuple(part.endpoint_id for part in self.parts)

    def start(self) -> list[actions.Action]:
        """Returns the first action: the first lease in global order."""
        return self._next_lease()

    def adopt(
        self, boot_ids: tuple[str, ...], now_ms: int
    ) -> list[actions.Action]:
        """Takes over a run that an earlier placing host had recorded.

        Reports must follow for every endpoint that can be reached; `settle`
        then decides.
        """
        self.phase = Phase.RUNNING
        self.may_have_run = True
        self._boot_by_endpoint = dict(
            zip(self.endpoint_ids, boot_ids, strict=True)
        )
        for part in self.parts:
            part.state = "unknown"
            part.lease_until_ms = now_ms + TASK_LEASE_MS
        return []

    def settle(self, now_ms: int) -> list[actions.Action]:
        """Goes on with an adopted run, or stops it if it is not whole."""
        if self.phase is not Phase.RUNNING:
            return []
        for part in self.parts:
            if part.state not in ("running", "finished"):
                reason = f"part on {part.endpoint_id} is {part.state}"
                return self.stop(reason, now_ms)
        return self._check_finished(now_ms)

    def on(self, result: actions.Result, now_ms: int) -> list[actions.Action]:
        """Takes one result and returns the next actions."""
        match result:
            case actions.LeaseGranted():
                return self._on_lease(result, now_ms)
            case actions.LeaseRefused():
                return self._on_lease_refused(result)
            case actions.Appended():
                return self._on_appended(result, now_ms)
            case actions.PartAnswer():
                return self._on_answer(result, now_ms)
            case actions.Report():
                return self._on_report(result, now_ms)
            case actions.EndpointLost():
                return self._on_lost(result, now_ms)
        return []

    def tick(self, now_ms: int) -> list[actions.Action]:
        """Closes a stopping run once no part can be at work any more."""
        if self.phase is not Phase.STOPPING:
            return []
        return self._check_stopped(now_ms)

    def renewed(self, result: actions.Renewed) -> None:
        """Notes that an endpoint renewed the leases of its tasks."""
        until_ms = result.asked_ms + result.lease_ms
        for task_id in result.task_ids:
            part = self._part_by_task.get(task_id)
            if part is not None:
                part.lease_until_ms = max(part.lease_until_ms, until_ms)

    def stop(self, reason: str, now_ms: int) -> list[actions.Action]:
        """Stops every part; the run ends once none can be at work."""
        if self.phase in (Phase.STOPPING, Phase.CLOSING, Phase.DONE):
            return []
        self.stop_reason = reason
        if self.phase in (Phase.LEASING, Phase.RECORDING):
            # RECORDING: the record may be taken later; `_on_appended` undoes.
            if self.phase is Phase.LEASING:
                self.phase = Phase.DONE
                return self._release()
            return []
        checkpoint = (
            self.phase is Phase.RUNNING and self.job.spec.checkpointable
        )
        self.phase = Phase.STOPPING
        calls = [
            actions.CheckpointPart(part.endpoint_id, part.task_id)
            if checkpoint
            else actions.StopPart(part.endpoint_id, part.task_id)
            for part in self.parts
            if part.state not in _OVER_STATES
        ]
        return [*calls, *self._check_stopped(now_ms)]

    def _next_lease(self) -> list[actions.Action]:
        endpoint_id = self._wanted[len(self._token_by_endpoint)]
        return [
            actions.TakeLease(self.job.job_id, endpoint_id, EXCLUSIVE_LEASE_MS)
        ]

    def _release(self) -> list[actions.Action]:
        released = [
            actions.ReleaseLease(endpoint_id, token)
            for endpoint_id, token in self._token_by_endpoint.items()
        ]
        self._token_by_endpoint.clear()
        return released

    def _on_lease(
        self, result: actions.LeaseGranted, now_ms: int
    ) -> list[actions.Action]:
        if self.phase is not Phase.LEASING:
            return [actions.ReleaseLease(result.endpoint_id, result.token)]
        self._token_by_endpoint[result.endpoint_id] = result.token
        self._boot_by_endpoint[result.endpoint_id] = result.boot_id
        needed = sum(
            self.job.spec.accelerators_per_part
            for part in self.parts
            if part.endpoint_id == result.endpoint_id
        )
        if result.free_accelerators < needed:
            return self.stop("endpoint has less free than expected", now_ms)
        if len(self._token_by_endpoint) < len(self._wanted):
            return self._next_lease()
        if not self._all_may_start():
            return self.stop("zone or endpoint left service", now_ms)
        self.phase = Phase.RECORDING
        starting = records.Starting(
            job_id=self.job.job_id,
            run=self.run,
            zone=self.zone,
            endpoints=self.endpoint_ids,
            boot_ids=tuple(
                self._boot_by_endpoint[e] for e in self.endpoint_ids
            ),
            at_ms=now_ms,
        )
        return [actions.Append(starting)]

    def _on_lease_refused(
        self, result: actions.LeaseRefused
    ) -> list[actions.Action]:
        if self.phase is not Phase.LEASING:
            return []
        self.phase = Phase.DONE
        self.stop_reason = result.reason
        return self._release()

    def _on_appended(
        self, result: actions.Appended, now_ms: int
    ) -> list[actions.Action]:
        match result.record:
            case records.Starting() if self.phase is Phase.RECORDING:
                return self._on_recorded(result, now_ms)
            case records.Ended() | records.Requeued():
                if self.phase is Phase.CLOSING:
                    self.phase = Phase.DONE
                    return [*self._release(), *self._acknowledge()]
        return []

    def _on_recorded(
        self, result: actions.Appended, now_ms: int
    ) -> list[actions.Action]:
        provisional = not result.durable and not self.job.spec.idempotent
        if not result.taken or provisional:
            self.phase = Phase.DONE
            self.stop_reason = "the log did not take the start"
            return self._release()
        self.phase = Phase.HOLDING
        if self.stop_reason or not self._all_may_start():
            return self.stop(self.stop_reason or "left service", now_ms)
        spec = self.job.spec
        calls = []
        for part in self.parts:
            part.state = "unknown"
            part.lease_until_ms = now_ms + HOLD_LEASE_MS
            calls.append(
                actions.HoldPart(
                    endpoint_id=part.endpoint_id,
                    token=self._token_by_endpoint[part.endpoint_id],
                    task_id=part.task_id,
                    accelerators=spec.accelerators_per_part,
                    cpus=spec.cpus_per_part,
                    memory_mb=spec.memory_mb_per_part,
                    lease_ms=HOLD_LEASE_MS,
                    payload=spec.payload,
                    checkpoint=self.job.checkpoint,
                )
            )
        return calls

    def _on_answer(
        self, result: actions.PartAnswer, now_ms: int
    ) -> list[actions.Action]:
        part = self._part_by_task.get(result.task_id)
        if part is None:
            return []
        if result.state not in ("unknown", "refused"):
            self._note(part, result.state, "", result.checkpoint)
        match (self.phase, result.call):
            case (Phase.HOLDING, "hold"):
                return self._on_hold(part, result, now_ms)
            case (Phase.RESUMING, "resume"):
                return self._on_resume(part, result, now_ms)
            case (Phase.STOPPING, _):
                return self._check_stopped(now_ms)
        return []

    def _on_hold(
        self, part: _Part, result: actions.PartAnswer, now_ms: int
    ) -> list[actions.Action]:
        if result.state != "held":
            if result.state == "refused":
                part.state = "absent"
            reason = f"hold on {part.endpoint_id}: {result.state}"
            return self.stop(f"{reason} {result.reason}".strip(), now_ms)
        if any(other.state != "held" for other in self.parts):
            return []
        if not self._all_may_start():
            return self.stop("zone or endpoint left service", now_ms)
        self.phase = Phase.RESUMING
        self.may_have_run = True
        calls = []
        for other in self.parts:
            other.lease_until_ms = now_ms + max(RESUME_LEASE_MS, HOLD_LEASE_MS)
            calls.append(
                actions.ResumePart(
                    other.endpoint_id, other.task_id, RESUME_LEASE_MS
                )
            )
        return calls

    def _on_resume(
        self, part: _Part, result: actions.PartAnswer, now_ms: int
    ) -> list[actions.Action]:
        if result.state not in ("running", "finished"):
            reason = f"resume on {part.endpoint_id}: {result.state}"
            return self.stop(reason, now_ms)
        for other in self.parts:
            if other.state not in ("running", "finished"):
                return []
        self.phase = Phase.RUNNING
        # The full lease follows with the next report of each endpoint.
        renew = [
            actions.ResumePart(other.endpoint_id, other.task_id, TASK_LEASE_MS)
            for other in self.parts
            if other.state == "running"
        ]
        for other in self.parts:
            other.lease_until_ms = now_ms + TASK_LEASE_MS
        return [*self._release(), *renew, *self._check_finished(now_ms)]

    def _on_report(
        self, report: actions.Report, now_ms: int
    ) -> list[actions.Action]:
        seen = set()
        for view in report.tasks:
            part = self._part_by_task.get(view.task_id)
            if part is None or part.endpoint_id != report.endpoint_id:
                continue
            seen.add(view.task_id)
            self._note(part, view.state, view.result, view.checkpoint)
        booted = self._boot_by_endpoint.get(report.endpoint_id)
        rebooted = booted is not None and booted != report.boot_id
        if rebooted or report.full:
            self._note_absent(report.endpoint_id, seen)
        match self.phase:
            case Phase.RUNNING | Phase.RESUMING:
                return self._check_running(now_ms)
            case Phase.STOPPING:
                return self._check_stopped(now_ms)
        return []

    def _note_absent(self, endpoint_id: str, seen: set[str]) -> None:
        if self.phase not in (Phase.RUNNING, Phase.STOPPING):
            return
        for part in self.parts:
            if part.endpoint_id != endpoint_id or part.task_id in seen:
                continue
            if part.state not in _OVER_STATES:
                part.state = "absent"

    def _on_lost(
        self, result: actions.EndpointLost, now_ms: int
    ) -> list[actions.Action]:
        if result.endpoint_id not in self.endpoint_ids:
            return []
        return self.stop(f"endpoint {result.endpoint_id} is lost", now_ms)

    def _note(
        self, part: _Part, state: str, result: str, checkpoint: str
    ) -> None:
        if part.state in _OVER_STATES:
            if result and not part.result:
                part.result = result
            return
        part.state = state
        part.result = result or part.result
        part.checkpoint = checkpoint or part.checkpoint

    def _check_running(self, now_ms: int) -> list[actions.Action]:
        for part in self.parts:
            if part.state == "failed":
                self.failed_endpoint = part.endpoint_id
                reason = part.result or "a part failed"
                return self.stop(reason, now_ms)
            if part.state in ("stopped", "lapsed", "absent", "checkpointed"):
                reason = f"part on {part.endpoint_id} is {part.state}"
                return self.stop(reason, now_ms)
        if self.phase is Phase.RUNNING:
            return self._check_finished(now_ms)
        return []

    def _check_finished(self, now_ms: int) -> list[actions.Action]:
        if any(part.state != "finished" for part in self.parts):
            return []
        answer = tuple(part.result for part in self.parts)
        return self._close(verdict.Ran(answer), now_ms)

    def _check_stopped(self, now_ms: int) -> list[actions.Action]:
        for part in self.parts:
            if part.state in _GONE_STATES:
                continue
            if now_ms <= part.lease_until_ms:
                return []
        if all(part.state == "finished" for part in self.parts):
            answer = tuple(part.result for part in self.parts)
            return self._close(verdict.Ran(answer), now_ms)
        return self._close_stopped(now_ms)

    def _close_stopped(self, now_ms: int) -> list[actions.Action]:
        spec = self.job.spec
        checkpoint = self._common_checkpoint()
        if self.failed_endpoint:
            failures = len(self.job.failed_endpoints) + 1
            if not spec.idempotent or failures >= MAX_FAILED_RUNS:
                return self._close(verdict.RanFailed(self.stop_reason), now_ms)
        elif self.may_have_run and not spec.idempotent and not checkpoint:
            return self._close(verdict.MayHaveRun(self.stop_reason), now_ms)
        self.phase = Phase.CLOSING
        requeued = records.Requeued(
            job_id=self.job.job_id,
            run=self.run,
            reason=self.stop_reason,
            may_have_run=self.may_have_run,
            at_ms=now_ms,
            checkpoint=checkpoint,
            failed_endpoint=self.failed_endpoint,
        )
        return [actions.Append(requeued)]

    def _common_checkpoint(self) -> str:
        """Returns the parts' checkpoints joined, empty if one is missing."""
        if not all(part.state == "checkpointed" for part in self.parts):
            return ""
        return ";".join(part.checkpoint for part in self.parts)

    def _close(
        self, outcome: verdict.Verdict, now_ms: int
    ) -> list[actions.Action]:
        self.phase = Phase.CLOSING
        self.outcome = outcome
        ended = records.Ended(self.job.job_id, self.run, outcome, at_ms=now_ms)
        return [actions.Append(ended)]

    def _acknowledge(self) -> list[actions.Action]:
        return [
            actions.Acknowledge(part.endpoint_id, (part.task_id,))
            for part in self.parts
            if part.state in _OVER_STATES
        ]

    def _all_may_start(self) -> bool:
        return all(self._may_start(e) for e in _distinct(self.endpoint_ids))


def _distinct(endpoint_ids: Iterable[str]) -> list[str]:
    return list(dict.fromkeys(endpoint_ids))
