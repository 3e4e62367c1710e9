"""HTTP client of the platform's log and live list."""

import asyncio
import dataclasses
import json
from typing import Any

import aiohttp
from laburnumgate_core import model
from laburnumgate_core import records

MAX_ENTRIES_PER_PAGE = 500
# The largest integer that every JSON parser represents exactly.
MAX_OFFSET = 2**53 - 1
# An append is given the time of its upload at this rate, 0.5 Mbit/s, beside
# the time that the log may take to answer. The client cannot see the progress
# of an upload.
MIN_UPLOAD_BYTES_PER_MS = 62


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """No usable response; a write may still have taken effect."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Page:
    """Entries returned by one read of a stream."""

    entries: tuple[records.Entry, ...]
    first_offset: int
    next_offset: int


@dataclasses.dataclass(frozen=True)
class HostEntry:
    """A host in the live list."""

    host_id: str
    zone: str
    rpc_ip: str
    rpc_port: int
    leaving: bool


@dataclasses.dataclass(frozen=True)
class LiveList:
    """The live list as of `as_of_ms`."""

    hosts: tuple[HostEntry, ...]
    endpoints: tuple[model.Endpoint, ...]
    as_of_ms: int


class Platform:
    """Calls the log and the live list; returns failures as `Unavailable`."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        log_url: str,
        live_list_url: str,
        host_id: str,
        timeout_ms: int,
    ):
        self._session = session
        self._log_url = log_url.rstrip("/")
        self._live_list_url = live_list_url.rstrip("/")
        self._headers = {"x-host-id": host_id}
        self._timeout_ms = timeout_ms

    async def append(
        self, stream: str, append_id: str, data: str
    ) -> int | Unavailable:
        """Appends an entry and returns its offset."""
        answer = await self._call(
            "POST",
            f"{self._log_url}/streams/{stream}/records",
            self._timeout_ms + len(data) // MIN_UPLOAD_BYTES_PER_MS,
            json={"append_id": append_id, "data": data},
        )
        if isinstance(answer, Unavailable):
            return answer
        return answer["offset"]

    async def head(self, stream: str) -> int | Unavailable:
        """Returns the last offset of a stream, 0 if nothing was appended."""
        page = await self.read(stream, MAX_OFFSET, 0, limit=1)
        if isinstance(page, Unavailable):
            return page
        return page.next_offset - 1

    async def read(
        self,
        stream: str,
        start: int,
        wait_ms: int,
        limit: int = MAX_ENTRIES_PER_PAGE,
    ) -> Page | Unavailable:
        """Reads entries from offset `start`, waiting until one is available."""
        answer = await self._call(
            "GET",
            f"{self._log_url}/streams/{stream}/records",
            self._timeout_ms + wait_ms,
            params={"from": start, "limit": limit, "wait_ms": wait_ms},
        )
        if isinstance(answer, Unavailable):
            return answer
        entries = tuple(
            records.Entry(item["offset"], item["append_id"], item["data"])
            for item in answer["records"]
        )
        return Page(entries, answer["first_offset"], answer["next_offset"])

    async def read_live_list(self) -> LiveList | Unavailable:
        """Reads the live list."""
        answer = await self._call(
            "GET", f"{self._live_list_url}/live", self._timeout_ms
        )
        if isinstance(answer, Unavailable):
            return answer
        hosts = tuple(
            HostEntry(
                host_id=item["id"],
                zone=item["zone"],
                rpc_ip=item["rpc_ip"],
                rpc_port=item["rpc_port"],
                leaving=item["state"] != "live",
            )
            for item in answer["hosts"]
        )
        endpoints = tuple(_parse_endpoint(item) for item in answer["endpoints"])
        return LiveList(hosts, endpoints, answer["as_of_ms"])

    async def _call(
        self, method: str, url: str, timeout_ms: int, **arguments
    ) -> Any | Unavailable:
        """Calls a service and returns its decoded answer.

        The time until the answer begins is limited to `timeout_ms`, and each
        pause in the answer to the client's timeout. The whole duration has no
        limit, since a large answer takes long to arrive over a slow link.
        """
        received = 0
        begun = False
        try:
            async with (
                asyncio.timeout(timeout_ms / 1000) as limit,
                self._session.request(
                    method,
                    url,
                    timeout=aiohttp.ClientTimeout(total=None),
                    headers=self._headers,
                    **arguments,
                ) as response,
            ):
                if response.status >= 300:
                    return Unavailable(f"status {response.status}")
                begun = True
                self._extend(limit)
                chunks = []
                async for chunk in response.content.iter_any():
                    self._extend(limit)
                    received += len(chunk)
                    chunks.append(chunk)
                return json.loads(b"".join(chunks))
        except TimeoutError:
            if not begun:
                return Unavailable(f"no answer within {timeout_ms} ms")
            return Unavailable(
                f"the answer stopped for {self._timeout_ms} ms"
                f" after {received} bytes"
            )
        except (aiohttp.ClientError, ValueError) as error:
            return Unavailable(f"{type(error).__name__}: {error}")

    def _extend(self, limit: asyncio.Timeout) -> None:
        """Restarts the limit after bytes have arrived."""
        now_s = asyncio.get_running_loop().time()
        limit.reschedule(now_s + self._timeout_ms / 1000)


def _parse_endpoint(item: dict[str, Any]) -> model.Endpoint:
    return model.Endpoint(
        endpoint_id=item["id"],
        zone=item["zone"],
        rack=item["rack"],
        url=item["url"],
        accelerators=item["accelerators"],
        cpus=item["cpus"],
        memory_mb=item["memory_mb"],
        slots=item["slots"],
        connections=item["connections"],
        speed=item["speed"],
        leaving=item["state"] != "live",
    )
