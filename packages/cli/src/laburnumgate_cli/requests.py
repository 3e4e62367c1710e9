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
    return await _first(client, "POST", "/v1/requests", body, passed_over=503)


async def status(
    client: client_module.Client, account: str, request_id: str, wait_ms: int
) -> dict[str, Any]:
    """Returns the status of a request, waiting up to `wait_ms` for its end.

    A host that does not know the request (404) is skipped, since it may not
    have read the log up to the submission.
    """
    left_ms = wait_ms
    while True:
        poll_ms = min(left_ms, MAX_POLL_MS)
        path = f"{_path(account, request_id)}?wait_ms={poll_ms}"
        answer = await _first(
            client, "GET", path, wait_ms=poll_ms, passed_over=404
        )
        left_ms -= poll_ms
        if answer["verdict"]["kind"] != "pending" or left_ms <= 0:
            return answer


async def cancel(
    client: client_module.Client, account: str, request_id: str
) -> dict[str, Any]:
    """Cancels a request and returns its status.

    A host that does not know the request (404) is skipped.
    """
    path = _path(account, request_id)
    return await _first(client, "DELETE", path, passed_over=404)


def exit_code(answer: dict[str, Any], accepted: bool = False) -> errors.Exit:
    """Returns the exit code for a verdict.

    Args:
      answer: response body with a verdict.
      accepted: whether a pending request counts as success.
    """
    kind = answer["verdict"]["kind"]
    if kind == "pending" and accepted:
        return errors.Exit.DONE
    return _CODES_BY_KIND.get(kind, errors.Exit.FAILED)


async def _first(
    client: client_module.Client,
    method: str,
    path: str,
    body: dict[str, Any] | None = None,
    wait_ms: int = 0,
    passed_over: int = 0,
) -> dict[str, Any]:
    """Returns the first response whose status is not `passed_over`.

    If every host that responds has that status, returns the last response.
    """
    passed: client_module.Answer | None = None
    failure: errors.ClientError | None = None
    for url in client.urls:
        try:
            answer = await client.call(method, path, body, wait_ms, urls=(url,))
        except errors.ClientError as error:
            # Keeps an UNDECIDED error, since a change may have been applied.
            if failure is None or error.code is errors.Exit.UNDECIDED:
                failure = error
            continue
        if answer.status != passed_over:
            return _checked(answer)
        passed = answer
    if passed is not None:
        return _checked(passed)
    raise failure


def _path(account: str, request_id: str) -> str:
    quoted = client_module.quote(account), client_module.quote(request_id)
    return f"/v1/requests/{quoted[0]}/{quoted[1]}"


def _checked(answer: client_module.Answer) -> dict[str, Any]:
    body = answer.body
    if not isinstance(body, dict) or "verdict" not in body:
        raise errors.ClientError(
            f"{answer.url} answered {answer.status} without a verdict: "
            f"{str(body)[:200]}",
            errors.Exit.UNDECIDED,
        )
    return body
