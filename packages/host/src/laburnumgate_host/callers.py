"""HTTP for callers: submit, wait, status, cancel."""

import dataclasses
from http import HTTPStatus
import logging

from laburnumgate_core import jobs
from laburnumgate_core import records
from laburnumgate_core import requests
from laburnumgate_core import verdict
import sanic

from laburnumgate_host import host as host_module
from laburnumgate_host import journal

_LOGGER = logging.getLogger(__name__)
MAX_WAIT_MS = 30_000


def answer(
    job_id: str, result: verdict.Verdict, status: int, **more
) -> sanic.HTTPResponse:
    """Builds an answer; every answer carries the verdict."""
    account, _, request_id = job_id.partition("/")
    body = {
        "account": account,
        "request_id": request_id,
        "verdict": dataclasses.asdict(result),
        **more,
    }
    return sanic.json(body, status=status)


def verdict_of(job: jobs.Job) -> verdict.Verdict:
    """Returns what the caller of a job is told now."""
    if job.outcome is not None:
        return job.outcome
    return verdict.Pending(job.state.value)


def add_routes(app: sanic.Sanic, host: host_module.Host) -> None:
    """Adds the callers' routes."""

    @app.exception(Exception)
    async def unexpected(request: sanic.Request, error: Exception):
        status = getattr(error, "status_code", 500)
        if status < 500:
            return answer("", verdict.NotRun(str(error)), status)
        _LOGGER.exception("request handler failed", exc_info=error)
        reason = "an internal error; the same id may be sent again"
        return answer("", verdict.MayHaveRun(reason), status)

    @app.post("/v1/requests")
    async def submit(request: sanic.Request):
        return await _submit(host, request.body)

    @app.get("/v1/requests/<account>/<request_id>")
    async def status(request: sanic.Request, account: str, request_id: str):
        wait_ms = _wait_ms(request.args.get("wait_ms"))
        job_id = requests.job_id(account, request_id)
        return await _status(host, job_id, wait_ms)

    @app.delete("/v1/requests/<account>/<request_id>")
    async def cancel(request: sanic.Request, account: str, request_id: str):
        return await _cancel(host, requests.job_id(account, request_id))


async def _submit(host: host_module.Host, body: bytes) -> sanic.HTTPResponse:
    request = requests.parse(body)
    if isinstance(request, requests.Malformed):
        return answer("", verdict.NotRun(request.reason), 400)
    known = _known(host, request)
    if known is not None:
        return known
    if host.leaving or not host.ready:
        reason = "this host takes no requests now; send the same id to another"
        return answer(request.job_id, verdict.MayHaveRun(reason), 503)
    reason = requests.outside_window(
        request, host.jobs.forgotten_until_ms, host.clock.now_ms()
    )
    if reason:
        return answer(request.job_id, verdict.MayHaveRun(reason), 422)
    promise = host.config.promises_by_account.get(request.account)
    if promise is None:
        reason = f"account: no client account {request.account!r} exists"
        return await _refuse(host, request, reason)
    spec = requests.spec_for(request, promise)
    if not spec.idempotent and not request.issued_at_ms:
        result = verdict.MayHaveRun(requests.MISSING_ISSUE_TIME)
        return answer(request.job_id, result, 400)
    reason = requests.impossible(spec, promise, host.config.zones_by_name)
    if reason:
        return await _refuse(host, request, reason)
    now_ms = host.clock.now_ms()
    record = records.Submitted(
        job_id=request.job_id,
        account=request.account,
        spec=spec,
        zone=_choose_zone(host),
        body_hash=requests.body_hash(request),
        at_ms=now_ms,
        issued_at_ms=request.issued_at_ms or now_ms,
        deadline_ms=request.deadline_ms,
    )
    if not spec.idempotent and not host.journal.reachable:
        reason = "the log is out and the request must not run twice"
        return answer(request.job_id, verdict.MayHaveRun(reason), 503)
    appended = await host.journal.append(record, provisional=spec.idempotent)
    host.note_job_changes()
    if isinstance(appended, journal.Unsent):
        result = verdict.MayHaveRun(appended.reason)
        return answer(request.job_id, result, 503)
    if not appended.taken:
        return _known(host, request) or _undecided(request)
    durability = "log" if appended.durable else "host-only"
    job = host.jobs.get(request.job_id)
    return answer(request.job_id, verdict_of(job), 202, durability=durability)


def _choose_zone(host: host_module.Host) -> str:
    own = host.settings.host.zone
    if host.config.zone_in_service(own):
        return own
    for zone in sorted(host.config.zones_by_name):
        if host.config.zone_in_service(zone):
            return zone
    return own


def _known(
    host: host_module.Host, request: requests.Request
) -> sanic.HTTPResponse | None:
    job = host.jobs.get(request.job_id)
    if job is None:
        return None
    if job.body_hash != requests.body_hash(request):
        reason = "request_id: the id was used for a different request"
        result = verdict.NotRun(reason)
        return answer(request.job_id, result, HTTPStatus.CONFLICT)
    return answer(request.job_id, verdict_of(job), 200)


async def _refuse(
    host: host_module.Host, request: requests.Request, reason: str
) -> sanic.HTTPResponse:
    record = records.Refused(
        job_id=request.job_id,
        body_hash=requests.body_hash(request),
        reason=reason,
        at_ms=host.clock.now_ms(),
        issued_at_ms=request.issued_at_ms,
    )
    if not host.journal.reachable:
        result = verdict.MayHaveRun(reason)
        return answer(request.job_id, result, 422)
    appended = await host.journal.append(record, provisional=True)
    host.note_job_changes()
    if isinstance(appended, journal.Unsent) or not appended.durable:
        result = verdict.MayHaveRun(reason)
        return answer(request.job_id, result, 422)
    job = host.jobs.get(request.job_id)
    if job is None:
        return _undecided(request)
    return answer(request.job_id, verdict_of(job), 422)


def _undecided(request: requests.Request) -> sanic.HTTPResponse:
    """Answers a request whose record the log has but the fold did not take."""
    reason = "the request left the remembered window before it was recorded"
    return answer(request.job_id, verdict.MayHaveRun(reason), 503)


async def _status(
    host: host_module.Host, job_id: str, wait_ms: int
) -> sanic.HTTPResponse:
    until_ms = host.clock.now_ms() + wait_ms
    while True:
        job = host.jobs.get(job_id)
        if job is None:
            result = verdict.MayHaveRun("this host knows no such request")
            return answer(job_id, result, 404)
        left_ms = until_ms - host.clock.now_ms()
        if job.outcome is not None or left_ms <= 0 or host.leaving:
            return answer(job_id, verdict_of(job), 200)
        await host.wait_for_job(job_id, left_ms)


async def _cancel(host: host_module.Host, job_id: str) -> sanic.HTTPResponse:
    job = host.jobs.get(job_id)
    if job is None:
        result = verdict.MayHaveRun("this host knows no such request")
        return answer(job_id, result, 404)
    if job.outcome is None:
        record = records.Cancelled(job_id, host.clock.now_ms())
        await host.journal.append(record, provisional=True)
        host.note_job_changes()
    return answer(job_id, verdict_of(host.jobs.get(job_id)), 200)


def _wait_ms(text: str | None) -> int:
    if text is None or not text.isdigit():
        return 0
    return min(MAX_WAIT_MS, int(text))
