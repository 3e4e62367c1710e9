"""HTTP routes for callers: submit, status with optional wait, cancel."""

import asyncio
import dataclasses
import http
import logging

from laburnumgate_core import jobs
from laburnumgate_core import model
from laburnumgate_core import records
from laburnumgate_core import requests
from laburnumgate_core import routing
from laburnumgate_core import verdict
import sanic

from laburnumgate_host import host as host_module
from laburnumgate_host import journal
from laburnumgate_host import refusals

_LOGGER = logging.getLogger(__name__)
MAX_WAIT_MS = 30_000
# Statuses for bodies and paths that every host rejects regardless of its
# configuration, so the verdict can be NotRun.
_PERMANENT_ERROR_STATUSES = (
    http.HTTPStatus.BAD_REQUEST,
    http.HTTPStatus.NOT_FOUND,
    http.HTTPStatus.METHOD_NOT_ALLOWED,
    http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
)


def verdict_response(
    job_id: str, result: verdict.Verdict, status: int, **more
) -> sanic.HTTPResponse:
    """Builds a JSON response; every response carries a verdict."""
    account, _, request_id = job_id.partition("/")
    body = {
        "account": account,
        "request_id": request_id,
        "verdict": dataclasses.asdict(result),
        **more,
    }
    headers = {}
    if status in (
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    ):
        headers["retry-after"] = str(refusals.RETRY_AFTER_S)
    return sanic.json(body, status=status, headers=headers)


def current_verdict(host: host_module.Host, job: jobs.Job) -> verdict.Verdict:
    """Returns the verdict to report to the job's caller now.

    An outcome that is not committed to the log may still change, so it is
    reported as pending. `Ran` is the exception: an uncommitted `Ran` belongs
    to an idempotent job and carries that job's own answer.
    """
    if job.outcome is None:
        return verdict.Pending(job.state.value)
    committed = host.jobs.committed(job.job_id)
    recorded = committed is not None and committed.outcome is not None
    if recorded or isinstance(job.outcome, verdict.Ran):
        return job.outcome
    return verdict.Pending(job.state.value, "the outcome waits for the log")


def add_routes(app: sanic.Sanic, host: host_module.Host) -> None:
    """Registers the routes for callers."""

    @app.exception(Exception)
    async def handle_exception(request: sanic.Request, error: Exception):
        status = getattr(error, "status_code", 500)
        if status in _PERMANENT_ERROR_STATUSES:
            return verdict_response("", verdict.NotRun(str(error)), status)
        if status >= 500:
            _LOGGER.exception("request handler failed", exc_info=error)
        reason = f"{error}; the same id may be sent again"
        return verdict_response("", verdict.MayHaveRun(reason), status)

    @app.post("/v1/requests")
    async def submit(request: sanic.Request):
        result = await _submit(host, request.body)
        host.metrics.submissions.inc({"status": str(result.status)})
        return result

    @app.get("/v1/requests/<account>/<request_id>")
    async def status(request: sanic.Request, account: str, request_id: str):
        wait_ms = _parse_wait_ms(request.args.get("wait_ms"))
        job_id = requests.job_id(account, request_id)
        return await _status(host, job_id, wait_ms)

    @app.delete("/v1/requests/<account>/<request_id>")
    async def cancel(request: sanic.Request, account: str, request_id: str):
        return await _cancel(host, requests.job_id(account, request_id))


async def _submit(host: host_module.Host, body: bytes) -> sanic.HTTPResponse:
    request = requests.parse(body)
    if isinstance(request, requests.Malformed):
        too_large = len(body) > requests.MAX_BODY_BYTES
        result = verdict.NotRun(request.reason)
        return verdict_response("", result, 413 if too_large else 400)
    existing = _existing_response(host, request)
    if existing is not None:
        return existing
    if host.leaving or not host.ready:
        reason = "this host takes no requests now; send the same id to another"
        return _refuse_without_record(host, request, 503, reason)
    now_ms = host.clock.now_ms()
    # An id is remembered for a limited time after its end. A request issued
    # before that window may have run and been forgotten.
    reason = requests.window_violation(
        request, host.jobs.expired_until_ms, now_ms
    )
    if reason:
        return _refuse_without_record(host, request, 422, reason)
    promise = host.config.promises_by_account.get(request.account)
    if promise is None:
        reason = f"account: no client account {request.account!r} exists"
        return await _refuse_permanently(host, request, reason)
    spec = requests.spec_for(request, promise)
    if not spec.idempotent and not request.issued_at_ms:
        result = verdict.MayHaveRun(requests.MISSING_ISSUE_TIME)
        return verdict_response(request.job_id, result, 400)
    reason = requests.infeasibility(spec, promise, host.config.zones_by_name)
    if not reason and request.deadline_ms and request.deadline_ms <= now_ms:
        reason = "deadline_ms: the deadline has passed"
    if reason:
        return await _refuse_permanently(host, request, reason)
    return await _accept(host, request, spec, promise)


async def _accept(
    host: host_module.Host,
    request: requests.Request,
    spec: model.JobSpec,
    promise: model.Promise,
) -> sanic.HTTPResponse:
    """Records a feasible request unless a queue limit is reached."""
    refusal = refusals.overload_reason(host, request.account)
    if refusal:
        return _refuse_without_record(host, request, 429, refusal)
    zone = _choose_zone(host, request.job_id, spec, promise)
    if isinstance(zone, routing.NoZone):
        return _refuse_without_record(host, request, 503, zone.reason)
    if not spec.idempotent and not host.journal.reachable:
        reason = "the log is out and the request must not run twice"
        return _refuse_without_record(host, request, 503, reason)
    now_ms = host.clock.now_ms()
    record = records.Submitted(
        job_id=request.job_id,
        account=request.account,
        spec=spec,
        zone=zone,
        body_hash=requests.body_hash(request),
        at_ms=now_ms,
        issued_at_ms=request.issued_at_ms or now_ms,
        deadline_ms=request.deadline_ms,
    )
    host.router.load.add(zone, request.account, spec)
    if spec.idempotent:
        appended = await host.journal.append(record, provisional=True)
    else:
        appended = await refusals.append_durably(host, record)
    host.process_job_changes()
    if isinstance(appended, journal.Unconfirmed):
        return _refuse_without_record(host, request, 503, appended.reason)
    existing = _existing_response(host, request)
    if existing is None:
        return _undecided_response(request)
    if not appended.applied or existing.status != http.HTTPStatus.OK:
        return existing
    durability = "log"
    if not appended.durable:
        await _move_to_own_zone(host, record)
        held = await host.sharing.wait_for_holders(request.job_id)
        durability = "zone-peers" if held else "host-only"
    job = host.jobs.get(request.job_id)
    result = current_verdict(host, job)
    return verdict_response(request.job_id, result, 202, durability=durability)


async def _move_to_own_zone(
    host: host_module.Host, record: records.Submitted
) -> None:
    """Moves a job routed to another zone back to this host's zone.

    Called when the log turned out to be unreachable after the zone had been
    chosen. The other zone would receive the job only through the log.
    """
    own_zone = host.settings.host.zone
    if record.zone == own_zone or not host.router.in_service(own_zone):
        return
    zone = host.config.zones_by_name.get(own_zone)
    promise = host.config.promises_by_account.get(record.account)
    if zone is None or promise is None:
        return
    allowed = not promise.zones or own_zone in promise.zones
    if not allowed or not requests.fits_zone(record.spec, zone):
        return
    moved = records.Moved(
        record.job_id, record.zone, own_zone, host.clock.now_ms()
    )
    await host.journal.append(moved, provisional=True)
    host.process_job_changes()


def _choose_zone(
    host: host_module.Host,
    job_id: str,
    spec: model.JobSpec,
    promise: model.Promise,
) -> str | routing.NoZone:
    """Chooses the zone for a new job.

    While the log is unreachable only this host's zone receives new jobs.
    """
    if host.journal.reachable:
        return host.router.choose(job_id, spec, promise)
    own_zone = host.settings.host.zone
    zone = host.config.zones_by_name.get(own_zone)
    allowed = not promise.zones or own_zone in promise.zones
    if zone is None or not allowed or not requests.fits_zone(spec, zone):
        return routing.NoZone("the log is out and this zone cannot hold it")
    if not host.router.in_service(own_zone):
        return routing.NoZone("the log is out and this zone is out of service")
    return own_zone


def _existing_response(
    host: host_module.Host, request: requests.Request
) -> sanic.HTTPResponse | None:
    """Returns the response for a stored id, or None for a new id."""
    job = host.jobs.get(request.job_id)
    if job is None:
        return None
    if job.body_hash != requests.body_hash(request):
        reason = "request_id: the id was used for a different request"
        result = verdict.MayHaveRun(reason)
        return verdict_response(
            request.job_id, result, http.HTTPStatus.CONFLICT
        )
    return verdict_response(request.job_id, current_verdict(host, job), 200)


def _refuse_without_record(
    host: host_module.Host,
    request: requests.Request,
    status: int,
    reason: str,
) -> sanic.HTTPResponse:
    """Refuses without a record; the caller may retry with the same id.

    Without a record the verdict leaves open whether the request ran.
    """
    host.metrics.refusals.inc({"status": str(status)})
    text = f"{reason}; the same id may be sent again"
    return verdict_response(
        request.job_id,
        verdict.MayHaveRun(text),
        status,
        use_another_host=host.leaving or not host.ready,
    )


async def _refuse_permanently(
    host: host_module.Host, request: requests.Request, reason: str
) -> sanic.HTTPResponse:
    """Refuses permanently by recording the refusal in the log.

    It takes effect only if it is the log's first record of the id.
    """
    if not host.journal.reachable:
        return _refuse_without_record(host, request, 503, reason)
    if not host.refusal_bucket.take():
        return _refuse_without_record(host, request, 429, reason)
    record = records.Refused(
        job_id=request.job_id,
        body_hash=requests.body_hash(request),
        reason=reason,
        at_ms=host.clock.now_ms(),
        issued_at_ms=request.issued_at_ms,
    )
    appended = await refusals.append_durably(host, record)
    host.process_job_changes()
    if isinstance(appended, journal.Unconfirmed):
        return _refuse_without_record(host, request, 503, reason)
    job = host.jobs.committed(request.job_id)
    if job is None:
        return _undecided_response(request)
    if not appended.applied:
        return _existing_response(host, request)
    return verdict_response(request.job_id, current_verdict(host, job), 422)


def _undecided_response(request: requests.Request) -> sanic.HTTPResponse:
    """Returns the response for a record that the job table did not apply.

    The record is in the log, but the request had left the remembered window
    by then.
    """
    reason = "the request left the remembered window before it was recorded"
    return verdict_response(request.job_id, verdict.MayHaveRun(reason), 503)


async def _status(
    host: host_module.Host, job_id: str, wait_ms: int
) -> sanic.HTTPResponse:
    until_ms = host.clock.now_ms() + wait_ms
    job = host.jobs.get(job_id)
    if job is None:
        result = verdict.MayHaveRun("this host knows no such request")
        return verdict_response(job_id, result, 404)
    if wait_ms and host.open_polls >= host.settings.limits.open_polls:
        return verdict_response(job_id, current_verdict(host, job), 429)
    host.open_polls += 1
    try:
        while True:
            job = host.jobs.get(job_id)
            result = current_verdict(host, job)
            left_ms = until_ms - host.clock.now_ms()
            over = not isinstance(result, verdict.Pending)
            if over or left_ms <= 0 or host.leaving:
                break
            await host.wait_for_job(job_id, left_ms)
    finally:
        host.open_polls -= 1
    if host.leaving:
        return verdict_response(job_id, result, 200, use_another_host=True)
    return verdict_response(job_id, result, 200)


async def _cancel(host: host_module.Host, job_id: str) -> sanic.HTTPResponse:
    job = host.jobs.get(job_id)
    if job is None:
        result = verdict.MayHaveRun("this host knows no such request")
        return verdict_response(job_id, result, 404)
    if job.outcome is None and not job.cancelled:
        record = records.Cancelled(job_id, host.clock.now_ms())
        appended = await host.journal.append(record, provisional=True)
        host.process_job_changes()
        if isinstance(appended, journal.Unconfirmed):
            reason = f"the request was not cancelled: {appended.reason}"
            return verdict_response(job_id, verdict.MayHaveRun(reason), 503)
    # Many cancellations share one append, so their callers wake together.
    await asyncio.sleep(0)
    return verdict_response(
        job_id, current_verdict(host, host.jobs.get(job_id)), 200
    )


def _parse_wait_ms(text: str | None) -> int:
    if text is None or not text.isdigit():
        return 0
    return min(MAX_WAIT_MS, int(text))
