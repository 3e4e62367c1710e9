"""One run of a gang, from its leases to its outcome.

Every part is started at throttle 0 before any part is resumed, so that a
refusal never leaves some parts running without the rest. The first resume
grants a lease of 3 s. The lease is extended in steps, each only after every
part has confirmed the previous one.

The protocol is explained in `docs/decisions/gang-launch.md` and
`docs/decisions/placing-host.md`.
"""

from collections.abc import Callable
from collections.abc import Iterable
import enum

from laburnumgate_core import actions
from laburnumgate_core import jobs
from laburnumgate_core import model
from laburnumgate_core import parts
from laburnumgate_core import records
from laburnumgate_core import verdict

EXCLUSIVE_LEASE_MS = 5_000
# Longer than the exclusive lease and the 5 s of a takeover, so that the next
# host finds the parts still held and can prove that they never ran.
HOLD_LEASE_MS = 10_000
RESUME_LEASE_MS = 3_000
TASK_LEASE_MS = 60_000
# A call takes effect within this time or not at all; the client times out
# after the same time.
CALL_DEADLINE_MS = 2_000
# Calls that start work are sent within this time, so that they arrive while
# the exclusive lease is valid. A host that takes the lease afterwards sees
# their effect.
LAUNCH_WINDOW_MS = EXCLUSIVE_LEASE_MS - CALL_DEADLINE_MS
# If the host crashes while it extends the leases, the parts that were not
# reached lapse at most 3 s before the others, or outlast the 5 s in which the
# next host takes over.
LEASE_STEPS_MS = (RESUME_LEASE_MS, 6_000, 12_000, TASK_LEASE_MS)
# An unanswered stop is repeated after the call deadline has passed.
STOP_RETRY_INTERVAL_MS = 2_500
# After this time, parts are stopped without a checkpoint.
CHECKPOINT_TIMEOUT_MS = 2_500
# The append may wait a long time for the log; a duplicate has no effect.
CLOSE_RESEND_INTERVAL_MS = 30_000
# Endpoints that have not reported are read at this interval. The timeout is
# twice the time after which a host declares an endpoint lost.
ADOPT_READ_INTERVAL_MS = 2_000
ADOPT_TIMEOUT_MS = 20_000
# An adopted part still has its lease from the earlier host; the lease is
# assumed to last this long until the first renewal is confirmed.
ADOPT_GRACE_MS = 10_000
PROOF_RETRY_INTERVAL_MS = 1_000
# Long enough for leases of two earlier holders to expire.
PROOF_TIMEOUT_MS = 20_000
# A job ends as failed after this many failed runs on sound endpoints.
MAX_FAILED_RUNS = 3
# A job ends as failed after this many endpoints crashed under one of its parts.
# Counted by part, so that a large gang outlives unrelated crashes.
MAX_CRASHES = 3
# Limits of the attempts of one call for one part, and of all retries within the
# hold or one lease step: a fraction of the number of parts, and a minimum.
MAX_CALL_ATTEMPTS = 3
RETRIES_PER_PART = 0.1
MIN_RETRIES = 3

_NEVER_MS = 1 << 62


class Phase(enum.StrEnum):
    """Phase of a run's life cycle."""

    LEASING = "leasing"
    RECORDING = "recording"
    HOLDING = "holding"
    RESUMING = "resuming"
    RUNNING = "running"
    ADOPTING = "adopting"
    PROVING = "proving"
    STOPPING = "stopping"
    CLOSING = "closing"
    DONE = "done"


class Run:
    """State machine of one run; each input returns the next actions."""

    def __init__(
        self,
        job: jobs.Job,
        run: int,
        zone: str,
        endpoint_ids: tuple[str, ...],
        may_start: Callable[[str], bool],
        attempt: int = 0,
        has_room: Callable[[str], bool] | None = None,
    ):
        """Prepares a run.

        Args:
          job: the job, queued in `zone`.
          run: number of the run, one above the job's last.
          zone: availability zone of the endpoints.
          endpoint_ids: the endpoint of each part, in part order.
          may_start: returns whether an endpoint may get new work now.
          attempt: number that is unique among the runs of this process.
          has_room: returns whether the runs on an endpoint, this one included,
            fit its capacity; None if all do.
        """
        self.job = job
        self.run = run
        self.zone = zone
        self.phase = Phase.LEASING
        self.parts = [
            parts.Part(endpoint_id, model.task_id(job.job_id, run, index))
            for index, endpoint_id in enumerate(endpoint_ids)
        ]
        self.stop_reason = ""
        self.failed_endpoint = ""
        self.may_have_run = False
        self.outcome: verdict.Verdict | None = None
        # Whether results are kept at endpoints because the end of the run is
        # not in the log yet.
        self.unacknowledged = False
        self.distinct_endpoint_ids = sorted(set(endpoint_ids))
        self._may_start = may_start
        self._has_room = has_room
        self._attempt = attempt
        self._cancelled = False
        self._preempted = False
        # Endpoints that may get no new work when the run was stopped.
        self._leaving_ids: set[str] = set()
        # Whether the log's records of the job contradict this run.
        self._superseded = False
        # Tasks of another host's run with the same number.
        self._foreign_task_ids: set[str] = set()
        self._starting_record: records.Starting | None = None
        self._closing_record: records.JobRecord | None = None
        self._token_by_endpoint: dict[str, int] = {}
        self._boot_id_by_endpoint: dict[str, str] = {}
        self._part_by_task = {part.task_id: part for part in self.parts}
        self._launch_until_ms = 0
        self._timer_ms = _NEVER_MS
        self._lease_step = 0
        self._step_lease_until_ms = 0
        self._retries_left = 0
        self._checkpoint_until_ms = 0
        self._timeout_at_ms = _NEVER_MS
        self._unreported: set[str] = set()
        self._rebooted = False
        self._launch_settled_ms = 0
        self._read_serial = 0
        # Serial of the first read that was requested after the fence.
        self._fence_serial_by_endpoint: dict[str, int] = {}

    @property
    def endpoint_ids(self) -> tuple[str, ...]:
        """The endpoint of each part, in part order."""
        return tuple(part.endpoint_id for part in self.parts)

    @property
    def due_ms(self) -> int:
        """Time of the next call of `tick`, in ms of the host's clock."""
        match self.phase:
            case Phase.LEASING | Phase.HOLDING:
                return self._launch_until_ms
            case Phase.RESUMING | Phase.RUNNING:
                return self._confirmed_until_ms()
            case Phase.STOPPING:
                return min(self._timer_ms, self._may_run_until_ms())
            case Phase.ADOPTING | Phase.PROVING:
                return min(self._timer_ms, self._timeout_at_ms)
            case Phase.CLOSING:
                return self._timer_ms
        return _NEVER_MS

    def start(self, now_ms: int) -> list[actions.Action]:
        """Starts the launch by requesting the first lease in global order."""
        self._launch_until_ms = now_ms + LAUNCH_WINDOW_MS
        return self._request_next_lease()

    def adopt(
        self, boot_ids: tuple[str, ...], now_ms: int, read_at_ms: int
    ) -> None:
        """Takes over a run that an earlier placing host recorded.

        The run continues once each of its endpoints has reported all its
        tasks.

        Args:
          boot_ids: boot ids in `Starting`, in part order.
          now_ms: the current time.
          read_at_ms: when to read endpoints that have not reported.
        """
        self.phase = Phase.ADOPTING
        self.may_have_run = True
        self._starting_record = _starting_record_of(self.job)
        self._boot_id_by_endpoint = dict(
            zip(self.endpoint_ids, boot_ids, strict=True)
        )
        self._unreported = set(self.distinct_endpoint_ids)
        self._timer_ms = read_at_ms
        self._launch_settled_ms = now_ms + EXCLUSIVE_LEASE_MS
        self._timeout_at_ms = now_ms + ADOPT_TIMEOUT_MS
        for part in self.parts:
            part.state = "unknown"
            part.expect_lease(now_ms + TASK_LEASE_MS, CALL_DEADLINE_MS)

    def on(self, result: actions.Result, now_ms: int) -> list[actions.Action]:
        """Handles a result and returns the next actions."""
        match result:
            case actions.LeaseGranted():
                return self._on_lease_granted(result, now_ms)
            case actions.LeaseRefused():
                return self._on_lease_refused(result)
            case actions.Appended():
                return self._on_appended(result, now_ms)
            case actions.PartAnswer():
                return self._on_answer(result, now_ms)
            case actions.Report():
                return self._on_report(result, now_ms)
            case actions.TasksRead():
                return self._on_tasks_read(result, now_ms)
            case actions.EndpointLost():
                return self._on_endpoint_lost(result, now_ms)
        return []

    def tick(self, now_ms: int) -> list[actions.Action]:
        """Handles timeouts and retries that are due; see `due_ms`."""
        if now_ms < self.due_ms:
            return []
        match self.phase:
            case Phase.LEASING | Phase.HOLDING:
                return self.stop("the launch took too long", now_ms)
            case Phase.RESUMING | Phase.RUNNING:
                return self._on_lease_expired(now_ms)
            case Phase.ADOPTING:
                return self._tick_adopting(now_ms)
            case Phase.PROVING:
                return self._tick_proving(now_ms)
            case Phase.STOPPING:
                wanted = self._check_stopped(now_ms)
                return [*wanted, *self._retry_stops(now_ms)]
            case Phase.CLOSING:
                return self._append_closing(now_ms)
        return []

    def confirm_renewal(self, result: actions.Renewed) -> None:
        """Records that an endpoint renewed the leases of its tasks."""
        until_ms = result.asked_ms + result.lease_ms
        for task_id in result.task_ids:
            part = self._part_by_task.get(task_id)
            if part is not None:
                part.confirm_lease(until_ms)

    def tasks_to_renew(self, endpoint_id: str, now_ms: int) -> list[str]:
        """Returns the run's tasks on an endpoint whose leases to renew.

        A part whose confirmed lease has expired is left out: it may have
        lapsed, and the other parts are about to be stopped.
        """
        if self.phase is not Phase.RUNNING:
            return []
        wanted = []
        for part in self.parts:
            if part.endpoint_id != endpoint_id or part.state != "running":
                continue
            if part.confirmed_until_ms <= now_ms:
                continue
            part.expect_lease(now_ms + TASK_LEASE_MS, CALL_DEADLINE_MS)
            wanted.append(part.task_id)
        return wanted

    def preempt(self, reason: str, now_ms: int) -> list[actions.Action]:
        """Stops the run for a reason that lies outside it.

        Endpoints that restart from then on do not count as crashed.
        """
        self._preempted = True
        return self.stop(reason, now_ms)

    def stop(self, reason: str, now_ms: int) -> list[actions.Action]:
        """Stops every part; the run ends once no part can be running."""
        match self.phase:
            case Phase.STOPPING | Phase.CLOSING | Phase.DONE:
                return []
            case Phase.LEASING:
                self.stop_reason = reason
                return self._end_run()
            case Phase.RECORDING | Phase.PROVING:
                # RECORDING: the log may still accept the start record; the
                # parts are stopped then. PROVING: the proof stops every part.
                self.stop_reason = self.stop_reason or reason
                return []
        self.stop_reason = reason
        checkpoint = (
            self.phase is Phase.RUNNING
            and self.job.spec.checkpointable
            and not (self._cancelled or self._superseded)
        )
        self.phase = Phase.STOPPING
        self._leaving_ids = {
            endpoint_id
            for endpoint_id in self.distinct_endpoint_ids
            if not self._may_start(endpoint_id)
        }
        self._checkpoint_until_ms = (
            now_ms + CHECKPOINT_TIMEOUT_MS if checkpoint else 0
        )
        self._timer_ms = now_ms + STOP_RETRY_INTERVAL_MS
        calls = [
            self._stop_call(part, now_ms) for part in self._parts_to_stop()
        ]
        return [*self._release_leases(), *calls, *self._check_stopped(now_ms)]

    def reconcile(
        self, latest: jobs.Job | None, committed: jobs.Job | None, now_ms: int
    ) -> list[actions.Action]:
        """Compares the run with the current records of its job.

        Args:
          latest: the job with provisional records applied.
          committed: the job according to the log alone.
          now_ms: the current time.
        """
        match self.phase:
            case Phase.DONE:
                return []
            case Phase.RECORDING:
                return self._reconcile_recording(committed, now_ms)
            case Phase.CLOSING:
                if self._is_closed_by(committed):
                    return [*self._end_run(), *self._acknowledge()]
                return []
            case Phase.LEASING:
                if latest is None or latest.state is not jobs.JobState.QUEUED:
                    return self.stop("the job is no longer queued", now_ms)
                return []
        if not self._is_current(latest):
            return self._supersede(latest, now_ms)
        if latest.cancelled:
            self._cancelled = True
            if self.phase is Phase.ADOPTING:
                # The verdict depends on whether the run started, which
                # `_resolve_adoption` finds out.
                return []
            return self.stop("cancelled", now_ms)
        return []

    # Leases and the start record.

    def _request_next_lease(self) -> list[actions.Action]:
        endpoint_id = self.distinct_endpoint_ids[len(self._token_by_endpoint)]
        return [
            actions.TakeLease(
                self.job.job_id, endpoint_id, EXCLUSIVE_LEASE_MS, self._attempt
            )
        ]

    def _release_leases(self) -> list[actions.Action]:
        released = [
            actions.ReleaseLease(endpoint_id, token)
            for endpoint_id, token in self._token_by_endpoint.items()
        ]
        self._token_by_endpoint.clear()
        return released

    def _end_run(self) -> list[actions.Action]:
        self.phase = Phase.DONE
        return self._release_leases()

    def _on_lease_granted(
        self, result: actions.LeaseGranted, now_ms: int
    ) -> list[actions.Action]:
        endpoint_id = result.endpoint_id
        own_attempt = result.attempt in (0, self._attempt)
        if own_attempt and self.phase is Phase.PROVING:
            return self._on_fence(result, now_ms)
        granted = len(self._token_by_endpoint)
        if not own_attempt or self.phase is not Phase.LEASING:
            return self._release_unused_lease(result)
        if self.distinct_endpoint_ids[granted] != endpoint_id:
            return self._release_unused_lease(result)
        self._token_by_endpoint[endpoint_id] = result.token
        self._boot_id_by_endpoint[endpoint_id] = result.boot_id
        needed = sum(
            self.job.spec.accelerators_per_part
            for part in self.parts
            if part.endpoint_id == endpoint_id
        )
        if result.free_accelerators < needed:
            return self.stop("endpoint has less free than expected", now_ms)
        if now_ms >= self._launch_until_ms:
            return self.stop("the launch took too long", now_ms)
        if len(self._token_by_endpoint) < len(self.distinct_endpoint_ids):
            return self._request_next_lease()
        return self._record_start(now_ms)

    def _release_unused_lease(
        self, result: actions.LeaseGranted
    ) -> list[actions.Action]:
        """Releases a lease that this run no longer needs."""
        if self._token_by_endpoint.get(result.endpoint_id) == result.token:
            return []
        return [actions.ReleaseLease(result.endpoint_id, result.token)]

    def _on_lease_refused(
        self, result: actions.LeaseRefused
    ) -> list[actions.Action]:
        if self.phase is not Phase.LEASING:
            return []
        if result.attempt not in (0, self._attempt):
            return []
        self.stop_reason = result.reason
        return self._end_run()

    def _record_start(self, now_ms: int) -> list[actions.Action]:
        refusal = self._refusal()
        if refusal:
            return self.stop(refusal, now_ms)
        self.phase = Phase.RECORDING
        self._starting_record = records.Starting(
            job_id=self.job.job_id,
            run=self.run,
            zone=self.zone,
            endpoints=self.endpoint_ids,
            boot_ids=tuple(
                self._boot_id_by_endpoint[e] for e in self.endpoint_ids
            ),
            at_ms=now_ms,
        )
        return [actions.Append(self._starting_record)]

    def _on_appended(
        self, result: actions.Appended, now_ms: int
    ) -> list[actions.Action]:
        if (
            self.phase is Phase.RECORDING
            and result.record == self._starting_record
        ):
            provisional = not result.durable and not self.job.spec.idempotent
            if result.applied and not provisional:
                return self._hold_parts(now_ms)
            self.stop_reason = "the log did not take the start"
            return self._end_run()
        if (
            self.phase is Phase.CLOSING
            and result.record == self._closing_record
        ):
            return self._on_closing_appended(result)
        return []

    def _reconcile_recording(
        self, committed: jobs.Job | None, now_ms: int
    ) -> list[actions.Action]:
        """Continues if the log has the start record but no result arrived."""
        if committed is None or committed.run < self.run:
            return []
        if self._is_current(committed):
            return self._hold_parts(now_ms)
        self.stop_reason = "another run was recorded"
        return self._end_run()

    # Holding and resuming.

    def _hold_parts(self, now_ms: int) -> list[actions.Action]:
        self.phase = Phase.HOLDING
        refusal = self.stop_reason or self._refusal()
        if refusal:
            return self.stop(refusal, now_ms)
        if now_ms >= self._launch_until_ms:
            return self.stop("the start was recorded too late", now_ms)
        self._reset_retries()
        for part in self.parts:
            part.state = "unknown"
        return [self._hold_call(part, now_ms) for part in self.parts]

    def _hold_call(self, part: parts.Part, now_ms: int) -> actions.Action:
        part.record_call("hold", now_ms)
        part.expect_lease(now_ms + HOLD_LEASE_MS, CALL_DEADLINE_MS)
        spec = self.job.spec
        checkpoints = parts.split_checkpoints(
            self.job.checkpoint, len(self.parts)
        )
        index = model.parse_task_id(part.task_id)[2]
        return actions.HoldPart(
            endpoint_id=part.endpoint_id,
            token=self._token_by_endpoint[part.endpoint_id],
            task_id=part.task_id,
            accelerators=spec.accelerators_per_part,
            cpus=spec.cpus_per_part,
            memory_mb=spec.memory_mb_per_part,
            lease_ms=HOLD_LEASE_MS,
            payload=spec.payload,
            checkpoint=checkpoints[index],
            send_before_ms=self._launch_until_ms,
        )

    def _on_answer(
        self, result: actions.PartAnswer, now_ms: int
    ) -> list[actions.Action]:
        part = self._part_by_task.get(result.task_id)
        if part is None or part.endpoint_id != result.endpoint_id:
            return []
        match result.state:
            case "absent":
                # An answer to an earlier call does not cover a later hold.
                if result.call == part.call:
                    if self.phase is Phase.STOPPING and part.state == "unknown":
                        # The boot id tells a crash from a lost hold.
                        return [self._read_tasks(part.endpoint_id)]
                    if part.state in ("held", "running"):
                        # The endpoint keeps a task until it is acknowledged.
                        self._record_crash(part)
                    part.mark_absent()
            case "unknown" | "refused":
                pass
            case "finished" | "failed" if result.result is None:
                # An outcome is used only together with its result text.
                return [self._read_tasks(part.endpoint_id)]
            case _:
                part.update(
                    result.state, result.result or "", result.checkpoint
                )
        match (self.phase, result.call):
            case (Phase.HOLDING, "hold"):
                return self._on_hold_answer(part, result, now_ms)
            case (Phase.RESUMING, "resume"):
                return self._on_resume_answer(part, result, now_ms)
            case (Phase.PROVING, _):
                return self._check_unstarted(now_ms)
            case (Phase.STOPPING, _):
                return self._on_stop_answer(part, result, now_ms)
        return []

    def _on_hold_answer(
        self, part: parts.Part, result: actions.PartAnswer, now_ms: int
    ) -> list[actions.Action]:
        if result.state == "unknown" and self._may_retry(part, now_ms):
            return [self._hold_call(part, now_ms)]
        if result.state != "held":
            if result.state == "refused":
                part.state = "absent"
            reason = f"hold on {part.endpoint_id}: {result.state}"
            return self.stop(f"{reason} {result.reason}".strip(), now_ms)
        if any(other.state != "held" for other in self.parts):
            return []
        if now_ms >= self._launch_until_ms:
            return self.stop("the launch took too long", now_ms)
        refusal = self._refusal()
        if refusal:
            return self.stop(refusal, now_ms)
        self.phase = Phase.RESUMING
        self.may_have_run = True
        return self._start_lease_step(0, now_ms)

    def _start_lease_step(self, step: int, now_ms: int) -> list[actions.Action]:
        self._lease_step = step
        self._step_lease_until_ms = now_ms + LEASE_STEPS_MS[step]
        self._reset_retries()
        calls = []
        for part in self.parts:
            if part.state == "finished":
                continue
            part.call = ""
            calls.append(self._resume_call(part, now_ms))
        return calls

    def _resume_call(self, part: parts.Part, now_ms: int) -> actions.Action:
        part.record_call("resume", now_ms)
        part.expect_lease(self._step_lease_until_ms, CALL_DEADLINE_MS)
        # The first resume starts work and must not be sent after the launch
        # window; a later step must be sent before the lease it extends ends.
        before_ms = self._launch_until_ms if self._lease_step == 0 else 0
        return actions.ResumePart(
            endpoint_id=part.endpoint_id,
            task_id=part.task_id,
            lease_ms=self._step_lease_until_ms - now_ms,
            send_before_ms=before_ms or part.confirmed_until_ms,
            until_ms=self._step_lease_until_ms,
        )

    def _on_resume_answer(
        self, part: parts.Part, result: actions.PartAnswer, now_ms: int
    ) -> list[actions.Action]:
        match result.state:
            case "running":
                until_ms = result.lease_until_ms or part.requested_until_ms
                part.confirm_lease(until_ms)
                return self._check_running(now_ms)
            case "finished" | "failed":
                return self._check_running(now_ms)
            case "unknown" if self._may_retry(part, now_ms):
                return [self._resume_call(part, now_ms)]
        reason = f"resume on {part.endpoint_id}: {result.state}"
        return self.stop(f"{reason} {result.reason}".strip(), now_ms)

    def _check_lease_step(self, now_ms: int) -> list[actions.Action]:
        """Starts the next lease step once every part confirmed this one."""
        for part in self.parts:
            if part.state == "finished":
                continue
            if part.confirmed_until_ms < self._step_lease_until_ms:
                return []
        if now_ms >= self._confirmed_until_ms():
            return self._on_lease_expired(now_ms)
        released = self._release_leases()
        if self._lease_step + 1 < len(LEASE_STEPS_MS):
            return [
                *released,
                *self._start_lease_step(self._lease_step + 1, now_ms),
            ]
        self.phase = Phase.RUNNING
        return released

    def _on_lease_expired(self, now_ms: int) -> list[actions.Action]:
        """Stops the gang because a part may have lapsed."""
        if self.phase is Phase.RESUMING:
            return self.stop("a resume was not confirmed in time", now_ms)
        return self.stop("a task lease was not renewed in time", now_ms)

    def _may_retry(self, part: parts.Part, now_ms: int) -> bool:
        if part.call_attempts >= MAX_CALL_ATTEMPTS or self._retries_left <= 0:
            return False
        if self._lease_step == 0 and now_ms >= self._launch_until_ms:
            return False
        self._retries_left -= 1
        return True

    def _reset_retries(self) -> None:
        budget = int(len(self.parts) * RETRIES_PER_PART)
        self._retries_left = max(MIN_RETRIES, budget)

    # Reports and the end of parts.

    def _on_report(
        self, report: actions.Report, now_ms: int
    ) -> list[actions.Action]:
        known_boot_id = self._boot_id_by_endpoint.get(report.endpoint_id)
        rebooted = known_boot_id is not None and known_boot_id != report.boot_id
        complete = report.full or rebooted
        if rebooted:
            self._record_crashes_on(report.endpoint_id)
        self._update_parts(report.endpoint_id, report.tasks, complete)
        # A proof uses only reads that were requested after the fence.
        if complete and self.phase is Phase.ADOPTING:
            self._unreported.discard(report.endpoint_id)
            self._rebooted = self._rebooted or rebooted
        return self._check_parts(now_ms)

    def _on_tasks_read(
        self, result: actions.TasksRead, now_ms: int
    ) -> list[actions.Action]:
        if self.phase is Phase.PROVING:
            return self._on_proof_read(result, now_ms)
        report = actions.Report(
            result.endpoint_id, result.boot_id, result.tasks, full=True
        )
        return self._on_report(report, now_ms)

    def _update_parts(
        self,
        endpoint_id: str,
        views: Iterable[actions.TaskView],
        complete: bool,
    ) -> None:
        listed_ids = set()
        for view in views:
            part = self._part_by_task.get(view.task_id)
            if part is None or part.endpoint_id != endpoint_id:
                continue
            listed_ids.add(view.task_id)
            part.update(view.state, view.result, view.checkpoint)
        # In other phases the list may have been read before a hold arrived
        # and then lacks its task.
        conclusive_phases = (Phase.RUNNING, Phase.STOPPING, Phase.ADOPTING)
        if not complete or self.phase not in conclusive_phases:
            return
        for part in self.parts:
            if (
                part.endpoint_id == endpoint_id
                and part.task_id not in listed_ids
            ):
                part.mark_absent()

    def _record_crashes_on(self, endpoint_id: str) -> None:
        """Records that an endpoint has restarted, if it had parts of the run.

        An unanswered hold may have taken effect and is counted as well.
        """
        for part in self.parts:
            if part.endpoint_id != endpoint_id:
                continue
            if part.state in ("held", "running", "unknown"):
                self._record_crash(part)

    def _record_crash(self, part: parts.Part) -> None:
        leaving = not self._may_start(part.endpoint_id)
        if self.phase is Phase.STOPPING:
            # By now, an endpoint that was lost may get no new work either.
            leaving = part.endpoint_id in self._leaving_ids
        if not self._preempted and not leaving:
            part.crashed = True

    def _crashes(self) -> tuple[records.Crash, ...]:
        """Returns the crashes under this run once it has stopped.

        An endpoint that has not answered until the leases expired counts as
        crashed.
        """
        crashes = []
        for index, part in enumerate(self.parts):
            silent = (
                not part.inactive
                and not self._preempted
                and part.endpoint_id not in self._leaving_ids
            )
            if part.crashed or silent:
                crashes.append(records.Crash(index, part.endpoint_id))
        return tuple(crashes)

    def _on_endpoint_lost(
        self, result: actions.EndpointLost, now_ms: int
    ) -> list[actions.Action]:
        if result.endpoint_id not in self.distinct_endpoint_ids:
            return []
        return self.stop(f"endpoint {result.endpoint_id} is lost", now_ms)

    def _check_parts(self, now_ms: int) -> list[actions.Action]:
        match self.phase:
            case Phase.STOPPING:
                return self._check_stopped(now_ms)
            case Phase.ADOPTING:
                return (
                    [] if self._unreported else self._resolve_adoption(now_ms)
                )
            case Phase.PROVING:
                return self._check_unstarted(now_ms)
            case Phase.RESUMING | Phase.RUNNING:
                return self._check_running(now_ms)
        return []

    def _check_running(self, now_ms: int) -> list[actions.Action]:
        finished = 0
        for part in self.parts:
            match part.state:
                case "finished":
                    finished += 1
                case "failed":
                    return self._stop_after_failure(part, now_ms)
                case "stopped" | "lapsed" | "absent" | "checkpointed":
                    reason = f"part on {part.endpoint_id} is {part.state}"
                    return self.stop(reason, now_ms)
        if finished == len(self.parts):
            return self._close_ran(now_ms)
        if self.phase is Phase.RESUMING:
            return self._check_lease_step(now_ms)
        return []

    def _stop_after_failure(
        self, part: parts.Part, now_ms: int
    ) -> list[actions.Action]:
        self.failed_endpoint = part.endpoint_id
        return self.stop(part.result or "a part failed", now_ms)

    # Adoption.

    def _tick_adopting(self, now_ms: int) -> list[actions.Action]:
        if now_ms >= self._timeout_at_ms:
            missing = ", ".join(sorted(self._unreported))
            return self.stop(f"no report of {missing}", now_ms)
        self._timer_ms = now_ms + ADOPT_READ_INTERVAL_MS
        if not self._unreported:
            # The earlier host's launch is over; read its final state.
            self._unreported = set(self.distinct_endpoint_ids)
        return [self._read_tasks(e) for e in sorted(self._unreported)]

    def _resolve_adoption(self, now_ms: int) -> list[actions.Action]:
        """Continues, stops or proves a run after all endpoints reported."""
        states = {part.state for part in self.parts}
        if states <= {"running", "finished"}:
            wanted = self._continue_run(now_ms)
            if self._cancelled:
                wanted.extend(self.stop("cancelled", now_ms))
            return wanted
        for part in self.parts:
            if part.state == "failed":
                return self._stop_after_failure(part, now_ms)
        if states <= {"absent", "held"} and not self._rebooted:
            return self._start_proof(now_ms)
        launch_states = {"absent", "held", "running", "finished"}
        if states <= launch_states and now_ms < self._launch_settled_ms:
            # The earlier host may still be launching the gang. By then its
            # exclusive leases have expired and it sends no more calls.
            self._timer_ms = self._launch_settled_ms
            return []
        if self._cancelled:
            return self.stop("cancelled", now_ms)
        for part in self.parts:
            if part.state not in ("running", "finished"):
                reason = f"part on {part.endpoint_id} is {part.state}"
                return self.stop(reason, now_ms)
        return []

    def _continue_run(self, now_ms: int) -> list[actions.Action]:
        self.phase = Phase.RUNNING
        renewals = []
        for part in self.parts:
            part.confirm_lease(now_ms + ADOPT_GRACE_MS)
        for endpoint_id in self.distinct_endpoint_ids:
            task_ids = self.tasks_to_renew(endpoint_id, now_ms)
            if task_ids:
                renewals.append(
                    actions.RenewTasks(
                        endpoint_id, tuple(task_ids), TASK_LEASE_MS
                    )
                )
        return [*renewals, *self._check_running(now_ms)]

    def _read_tasks(self, endpoint_id: str) -> actions.Action:
        self._read_serial += 1
        return actions.ReadTasks(
            self.job.job_id, endpoint_id, self._read_serial
        )

    # Proof that no part of the run was ever resumed.

    def _start_proof(self, now_ms: int) -> list[actions.Action]:
        self.phase = Phase.PROVING
        self.stop_reason = self.stop_reason or "the launch was interrupted"
        self._unreported = set(self.distinct_endpoint_ids)
        self._timeout_at_ms = now_ms + PROOF_TIMEOUT_MS
        return self._tick_proving(now_ms)

    def _tick_proving(self, now_ms: int) -> list[actions.Action]:
        if now_ms >= self._timeout_at_ms:
            return self._abandon_proof("could not be proven unstarted", now_ms)
        self._timer_ms = now_ms + PROOF_RETRY_INTERVAL_MS
        wanted: list[actions.Action] = []
        for endpoint_id in self.distinct_endpoint_ids:
            if endpoint_id not in self._fence_serial_by_endpoint:
                lease = actions.TakeLease(
                    self.job.job_id,
                    endpoint_id,
                    EXCLUSIVE_LEASE_MS,
                    self._attempt,
                )
                wanted.append(lease)
            elif endpoint_id in self._unreported:
                wanted.append(self._read_tasks(endpoint_id))
        for part in self.parts:
            if part.endpoint_id in self._unreported or part.inactive:
                continue
            wanted.append(self._stop_call(part, now_ms))
        return wanted

    def _on_fence(
        self, result: actions.LeaseGranted, now_ms: int
    ) -> list[actions.Action]:
        """Records that an endpoint rejects older tokens, and reads it."""
        endpoint_id = result.endpoint_id
        # A grant invalidates older tokens permanently, so the lease is not
        # needed any longer.
        release = actions.ReleaseLease(endpoint_id, result.token)
        if result.boot_id != self._boot_id_by_endpoint.get(endpoint_id):
            wanted = self._abandon_proof(f"{endpoint_id} restarted", now_ms)
            return [release, *wanted]
        if endpoint_id in self._fence_serial_by_endpoint:
            return [release]
        read = self._read_tasks(endpoint_id)
        self._fence_serial_by_endpoint[endpoint_id] = self._read_serial
        return [release, read]

    def _on_proof_read(
        self, result: actions.TasksRead, now_ms: int
    ) -> list[actions.Action]:
        endpoint_id = result.endpoint_id
        fence_serial = self._fence_serial_by_endpoint.get(endpoint_id)
        if fence_serial is None or result.serial < fence_serial:
            return []
        if endpoint_id not in self._unreported:
            return []
        if result.boot_id != self._boot_id_by_endpoint[endpoint_id]:
            return self._abandon_proof(f"{endpoint_id} restarted", now_ms)
        state_by_task = {view.task_id: view.state for view in result.tasks}
        self._unreported.discard(endpoint_id)
        wanted: list[actions.Action] = []
        for part in self.parts:
            if part.endpoint_id != endpoint_id:
                continue
            state = state_by_task.get(part.task_id, "absent")
            if not {state, part.state} <= {"absent", "held"}:
                part.update(state, "", "")
                return self._return_to_adoption(now_ms)
            part.state = state
            if state == "held":
                wanted.append(self._stop_call(part, now_ms))
        return [*wanted, *self._check_proof(now_ms)]

    def _check_unstarted(self, now_ms: int) -> list[actions.Action]:
        """Returns to adoption if a part turns out to have been resumed."""
        for part in self.parts:
            if part.state in ("running", "finished", "failed"):
                return self._return_to_adoption(now_ms)
        return self._check_proof(now_ms)

    def _check_proof(self, now_ms: int) -> list[actions.Action]:
        if self._unreported or any(not part.inactive for part in self.parts):
            return []
        self.may_have_run = False
        return self._close_stopped(now_ms)

    def _return_to_adoption(self, now_ms: int) -> list[actions.Action]:
        """Reads every endpoint again because a part has been resumed."""
        self.phase = Phase.ADOPTING
        self._unreported = set(self.distinct_endpoint_ids)
        self._timeout_at_ms = now_ms + ADOPT_TIMEOUT_MS
        return self._tick_adopting(now_ms)

    def _abandon_proof(self, reason: str, now_ms: int) -> list[actions.Action]:
        self.phase = Phase.ADOPTING
        return self.stop(reason, now_ms)

    # Stopping.

    def _parts_to_stop(self) -> list[parts.Part]:
        return [
            part
            for part in self.parts
            if not part.ended
            and part.task_id not in self._foreign_task_ids
            # No call was made for a part without a requested lease.
            and part.may_run_until_ms
        ]

    def _stop_call(self, part: parts.Part, now_ms: int) -> actions.Action:
        if now_ms < self._checkpoint_until_ms:
            part.record_call("checkpoint", now_ms)
            return actions.CheckpointPart(part.endpoint_id, part.task_id)
        part.record_call("stop", now_ms)
        return actions.StopPart(part.endpoint_id, part.task_id)

    def _on_stop_answer(
        self, part: parts.Part, result: actions.PartAnswer, now_ms: int
    ) -> list[actions.Action]:
        """Repeats an unanswered checkpoint; stops the part if refused."""
        wanted = self._check_stopped(now_ms)
        checkpoint_pending = result.call == "checkpoint" and not part.inactive
        if self.phase is not Phase.STOPPING or not checkpoint_pending:
            return wanted
        if result.state == "refused":
            part.record_call("stop", now_ms)
            wanted.append(actions.StopPart(part.endpoint_id, part.task_id))
        elif (
            part.call == "checkpoint" and part.call_attempts < MAX_CALL_ATTEMPTS
        ):
            wanted.append(self._stop_call(part, now_ms))
        return wanted

    def _retry_stops(self, now_ms: int) -> list[actions.Action]:
        if self.phase is not Phase.STOPPING or now_ms < self._timer_ms:
            return []
        self._timer_ms = now_ms + STOP_RETRY_INTERVAL_MS
        return [
            self._stop_call(part, now_ms)
            for part in self._parts_to_stop()
            if not part.inactive
        ]

    def _check_stopped(self, now_ms: int) -> list[actions.Action]:
        if self.phase is not Phase.STOPPING:
            return []
        if now_ms < self._may_run_until_ms():
            return []
        if all(part.state == "finished" for part in self.parts):
            return self._close_ran(now_ms)
        return self._close_stopped(now_ms)

    def _supersede(
        self, latest: jobs.Job | None, now_ms: int
    ) -> list[actions.Action]:
        """Stops the run because the log's records of the job differ."""
        if self._superseded:
            return []
        self._superseded = True
        if latest is not None and latest.run == self.run:
            for part, recorded_id in zip(
                self.parts, latest.endpoints, strict=False
            ):
                if part.endpoint_id == recorded_id:
                    # Both runs have the same number, so the task id denotes
                    # the task of the recorded run.
                    self._foreign_task_ids.add(part.task_id)
        if self.phase is Phase.PROVING:
            self.phase = Phase.ADOPTING
        wanted = self.stop("another course of the job was recorded", now_ms)
        return [*wanted, *self._check_stopped(now_ms)]

    def _is_current(self, job: jobs.Job | None) -> bool:
        """Whether the job is active in this run, not one of equal number."""
        if job is None or job.state is not jobs.JobState.ACTIVE:
            return False
        return _starting_record_of(job) == self._starting_record

    # Recording the outcome.

    def _close_ran(self, now_ms: int) -> list[actions.Action]:
        if self._superseded and not self.job.spec.idempotent:
            return self._end_run()
        answer = tuple(part.result for part in self.parts)
        return self._append_end(verdict.Ran(answer), now_ms)

    def _close_stopped(self, now_ms: int) -> list[actions.Action]:
        if self._superseded:
            return self._end_run()
        spec = self.job.spec
        checkpoint = parts.join_checkpoints(self.parts)
        if self.failed_endpoint:
            failures = len(self.job.failed_endpoints) + 1
            if not spec.idempotent or failures >= MAX_FAILED_RUNS:
                return self._append_end(
                    verdict.RanFailed(self.stop_reason), now_ms
                )
        elif self.may_have_run and not spec.idempotent and not checkpoint:
            all_inactive = all(part.inactive for part in self.parts)
            if self._cancelled and all_inactive and not self._rebooted:
                reason = "cancelled after it had started"
                return self._append_end(verdict.RanFailed(reason), now_ms)
            return self._append_end(
                verdict.MayHaveRun(self.stop_reason), now_ms
            )
        crashes = self._crashes()
        for crash in crashes:
            count = 1 + sum(
                earlier.part == crash.part for earlier in self.job.crashes
            )
            if count >= MAX_CRASHES:
                return self._end_after_crashes(crash, count, now_ms)
        self._closing_record = records.Requeued(
            job_id=self.job.job_id,
            run=self.run,
            reason=self.stop_reason,
            may_have_run=self.may_have_run,
            at_ms=now_ms,
            checkpoint=checkpoint,
            failed_endpoint=self.failed_endpoint,
            crashes=crashes,
        )
        return self._append_closing(now_ms)

    def _end_after_crashes(
        self, last: records.Crash, count: int, now_ms: int
    ) -> list[actions.Action]:
        reason = (
            f"endpoints crashed {count} times under part {last.part}, "
            f"the last was {last.endpoint_id}"
        )
        if self.job.spec.idempotent:
            return self._append_end(verdict.RanFailed(reason), now_ms)
        return self._append_end(verdict.MayHaveRun(reason), now_ms)

    def _append_end(
        self, outcome: verdict.Verdict, now_ms: int
    ) -> list[actions.Action]:
        self.outcome = outcome
        self._closing_record = records.Ended(
            self.job.job_id, self.run, outcome, at_ms=now_ms
        )
        return self._append_closing(now_ms)

    def _append_closing(self, now_ms: int) -> list[actions.Action]:
        self.phase = Phase.CLOSING
        self._timer_ms = now_ms + CLOSE_RESEND_INTERVAL_MS
        return [*self._release_leases(), actions.Append(self._closing_record)]

    def _on_closing_appended(
        self, result: actions.Appended
    ) -> list[actions.Action]:
        if result.durable and result.applied:
            return [*self._end_run(), *self._acknowledge()]
        # The record is provisional, or another one came first, which may be
        # provisional itself. The endpoints keep the results until the log has
        # an end of the run.
        self.unacknowledged = True
        return self._end_run()

    def _is_closed_by(self, committed: jobs.Job | None) -> bool:
        """Whether the log has ended the run, by this record or another."""
        if committed is None or committed.run < self.run:
            return False
        return not self._is_current(committed)

    def _acknowledge(self) -> list[actions.Action]:
        task_ids_by_endpoint: dict[str, list[str]] = {}
        for part in self.parts:
            if part.ended and part.task_id not in self._foreign_task_ids:
                task_ids = task_ids_by_endpoint.setdefault(part.endpoint_id, [])
                task_ids.append(part.task_id)
        return [
            actions.Acknowledge(endpoint_id, tuple(task_ids))
            for endpoint_id, task_ids in task_ids_by_endpoint.items()
        ]

    def _confirmed_until_ms(self) -> int:
        """Returns until when every running part is known to have a lease."""
        if self.phase is Phase.RESUMING and self._lease_step == 0:
            return self._step_lease_until_ms
        return min(
            (
                part.confirmed_until_ms
                for part in self.parts
                if part.state == "running"
            ),
            default=_NEVER_MS,
        )

    def _may_run_until_ms(self) -> int:
        """Returns when no part can run any longer, 0 if all are inactive."""
        return max(
            (
                part.may_run_until_ms
                for part in self.parts
                if not part.inactive
                and part.task_id not in self._foreign_task_ids
            ),
            default=0,
        )

    def _refusal(self) -> str:
        """Returns why the run must not be started now, "" if it may be."""
        for endpoint_id in self.distinct_endpoint_ids:
            if not self._may_start(endpoint_id):
                return "zone or endpoint left service"
            if self._has_room is not None and not self._has_room(endpoint_id):
                return f"the capacity of {endpoint_id} shrank"
        return ""


def _starting_record_of(job: jobs.Job) -> records.Starting:
    return records.Starting(
        job_id=job.job_id,
        run=job.run,
        zone=job.zone,
        endpoints=job.endpoints,
        boot_ids=job.boot_ids,
        at_ms=job.started_at_ms,
    )
