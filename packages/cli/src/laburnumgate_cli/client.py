"""HTTP client for the host API, independent of the command line."""

import dataclasses
from typing import Any
from urllib import parse as urlparse

import aiohttp

from laburnumgate_cli import errors


@dataclasses.dataclass(frozen=True)
class Response:
    """HTTP response of a host.

    `attempts` is the number of hosts that the request was sent to. If it is
    above 1, an earlier host may have processed the same request before its
    connection failed.
    """

    status: int
    body: Any
    url: str
    attempts: int


class Client:
    """Sends requests to several hosts in turn until one responds.

    The body, with any ids in it, is the same in every attempt.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        urls: tuple[str, ...],
        timeout_ms: int,
    ):
        if not urls:
            raise errors.ClientError(
                "no host configured: use --host URL or a settings file",
                errors.Exit.USAGE,
            )
        self.urls = urls
        self._session = session
        self._timeout_ms = timeout_ms

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        wait_ms: int = 0,
        urls: tuple[str, ...] = (),
    ) -> Response:
        """Sends a request to each host in turn until one responds.

        Args:
          method: HTTP method.
          path: path relative to the base URL, percent-encoded.
          body: JSON body; None sends no body.
          wait_ms: long-poll time of the request, added to the timeout.
          urls: base URLs to use instead of the client's own.

        Raises:
          ClientError: UNREACHABLE if no host responds, UNDECIDED if a host
            that accepted the connection may have applied a change.
        """
        failures = []
        connected = False
        targets = urls or self.urls
        for attempt, url in enumerate(targets, start=1):
            try:
                return await self._send_to(
                    method, url, path, body, wait_ms, attempt
                )
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                reason = str(error) or type(error).__name__
                failures.append(f"{url}: {reason}")
                connected |= not isinstance(error, aiohttp.ClientConnectorError)
        # A host that accepted the connection may have applied a change.
        undecided = connected and method != "GET"
        raise errors.ClientError(
            "no host answered:\n" + "\n".join(failures),
            errors.Exit.UNDECIDED if undecided else errors.Exit.UNREACHABLE,
        )

    async def _send_to(
        self,
        method: str,
        url: str,
        path: str,
        body: Any,
        wait_ms: int,
        attempt: int,
    ) -> Response:
        total_s = (self._timeout_ms + wait_ms) / 1000
        async with self._session.request(
            method,
            url + path,
            json=body,
            timeout=aiohttp.ClientTimeout(total=total_s),
        ) as response:
            if response.content_type != "application/json":
                text = await response.text()
                return Response(response.status, text, url, attempt)
            return Response(
                response.status, await response.json(), url, attempt
            )


def quote(name: str) -> str:
    """Percent-encodes one path segment."""
    return urlparse.quote(name, safe="")
