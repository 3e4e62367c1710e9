"""Caller API calls: submit, status (with waiting) and cancel."""

from typing import Any

from laburnumgate_cli import client as client_module
from laburnumgate_cli import errors

# Longest wait of one status request; longer waits are split into several.
MAX_POLL_MS = 30_000
_CODES_BY_KIND = {
    "ran": errors.Exit.DONE,
    "ran_failed": errors.Exit.FAILED,
    "not_run": errors.Exit.REFUSED,
    "may_have_run": errors.Exit.UNDECIDED,
    "pending": errors.Exit.PENDING,
}


async def submit(
    client: client_module.Client, body: dict[str, Any]
) -> dict[str, Any]:
    """Submits a request and returns the response body.

    A host that does not accept requests at present (503) is skipped; the next
    host gets the same request id.
    """
    return await _call_hosts(
        client, "POST", "/v1/requests", body, skip_status=503
    )


async def status(
    client: client_module.Client, account: str, request_id: str, wait_ms: int
) -> dict[str, Any]:
    """Returns the status of a request, waiting up to `wait_ms` for its end.

    A host that does not know the request (404) is skipped, since it may not
    have read the log up to the submission.
    """
    remaining_ms = wait_ms
    while True:
        poll_ms = min(remaining_ms, MAX_POLL_MS)
        path = f"{_request_path(account, request_id)}?wait_ms={poll_ms}"
        result = await _call_hosts(
            client, "GET", path, wait_ms=poll_ms, skip_status=404
        )
        remaining_ms -= poll_ms
        if result["verdict"]["kind"] != "pending" or remaining_ms <= 0:
            return result


async def cancel(
    client: client_module.Client, account: str, request_id: str
) -> dict[str, Any]:
    """Cancels a request and returns its status.

    A host that does not know the request (404) is skipped.
    """
    path = _request_path(account, request_id)
    return await _call_hosts(client, "DELETE", path, skip_status=404)


def exit_code(result: dict[str, Any], pending_ok: bool = False) -> errors.Exit:
    """Returns the exit code for a verdict.

    Args:
      result: response body with a verdict.
      pending_ok: whether a pending request counts as success.
    """
    kind = result["verdict"]["kind"]
    if kind == "pending" and pending_ok:
        return errors.Exit.DONE
    return _CODES_BY_KIND.get(kind, errors.Exit.FAILED)


async def _call_hosts(
    client: client_module.Client,
    method: str,
    path: str,
    body: dict[str, Any] | None = None,
    wait_ms: int = 0,
    skip_status: int = 0,
) -> dict[str, Any]:
    """Returns the first response whose status is not `skip_status`.

    If every host that responds has that status, returns the last response.
    """
    skipped: client_module.Response | None = None
    failure: errors.ClientError | None = None
    for url in client.urls:
        try:
            response = await client.call(
                method, path, body, wait_ms, urls=(url,)
            )
        except errors.ClientError as error:
            # Keeps an UNDECIDED error, since a change may have been applied.
            if failure is None or error.code is errors.Exit.UNDECIDED:
                failure = error
            continue
        if response.status != skip_status:
            return _require_verdict(response)
        skipped = response
    if skipped is not None:
        return _require_verdict(skipped)
    raise failure


def _request_path(account: str, request_id: str) -> str:
    quoted = client_module.quote(account), client_module.quote(request_id)
    return f"/v1/requests/{quoted[0]}/{quoted[1]}"


def _require_verdict(response: client_module.Response) -> dict[str, Any]:
    body = response.body
    if not isinstance(body, dict) or "verdict" not in body:
        raise errors.ClientError(
            f"{response.url} answered {response.status} without a verdict: "
            f"{str(body)[:200]}",
            errors.Exit.UNDECIDED,
        )
    return body
