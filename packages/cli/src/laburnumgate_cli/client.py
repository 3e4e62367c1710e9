"""HTTP client of the hosts; it knows nothing of the terminal."""

import dataclasses
from typing import Any
from urllib import parse as urlparse

import aiohttp

from laburnumgate_cli import errors


@dataclasses.dataclass(frozen=True)
class Answer:
    """An answer of a host.

    `attempts` counts the hosts asked. If it is above 1, an earlier host may
    have carried out the same request before the connection to it was lost.
    """

    status: int
    body: Any
    url: str
    attempts: int


class Client:
    """Asks the first host that answers; repeats keep ids unchanged."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        urls: tuple[str, ...],
        timeout_ms: int,
    ):
        if not urls:
            raise errors.ClientError(
                "no host is given: use --host URL or a settings file",
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
    ) -> Answer:
        """Sends one request to one host after the other until one answers.

        Args:
          method: HTTP method.
          path: path below the host's URL, already quoted.
          body: sent as JSON unless it is None.
          wait_ms: how long the host may hold the request back.
          urls: hosts to ask instead of the client's own.

        Raises:
          ClientError: UNREACHABLE if no host answers, UNDECIDED if one that
            was connected may have carried out a change.
        """
        failures = []
        sent = False
        asked = urls or self.urls
        for attempt, url in enumerate(asked, start=1):
            try:
                return await self._ask(
                    method, url, path, body, wait_ms, attempt
                )
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                reason = str(error) or type(error).__name__
                failures.append(f"{url}: {reason}")
                sent |= not isinstance(error, aiohttp.ClientConnectorError)
        # A host that was connected may have carried out a change.
        undecided = sent and method != "GET"
        raise errors.ClientError(
            "no host answered:\n" + "\n".join(failures),
            errors.Exit.UNDECIDED if undecided else errors.Exit.UNREACHABLE,
        )

    async def _ask(
        self,
        method: str,
        url: str,
        path: str,
        body: Any,
        wait_ms: int,
        attempt: int,
    ) -> Answer:
        total_s = (self._timeout_ms + wait_ms) / 1000
        async with self._session.request(
            method,
            url + path,
            json=body,
            timeout=aiohttp.ClientTimeout(total=total_s),
        ) as response:
            if response.content_type != "application/json":
                text = await response.text()
                return Answer(response.status, text, url, attempt)
            return Answer(response.status, await response.json(), url, attempt)


def quote(name: str) -> str:
    """Quotes one segment of a path."""
    return urlparse.quote(name, safe="")
