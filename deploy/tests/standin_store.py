"""In-memory stand-in for the platform's store with fault injection."""

import asyncio
import base64
import struct
import time

from aiohttp import web
import orjson

_CHUNK_BYTES = 4_096
_LEADER_TOPIC = "laburnumgate-leader"


class Store:
    """Serves single-partition topics over HTTP.

    Attributes:
      topics: records of each topic.
      first: offset of the oldest record kept in each topic.
      lose: fraction of the appends that are applied, but answered only after
        30 s.
      refuse: fraction of the requests that are rejected with status 503.
      late: fraction of the appends that are applied 1 s late, and processed
        once more after 30 s, when they are answered.
      delay_s: additional latency of each request.
      bytes_per_s: rate at which answers are sent, 0 for no limit.
      upload_bytes_per_s: rate at which appends are received, 0 for no limit.
      stall_after_bytes: bytes of an answer after which nothing follows, None
        to send all of them.
    """

    def __init__(self, rng):
        self.rng = rng
        self.topics: dict[str, list[bytes]] = {}
        self.first: dict[str, int] = {}
        self.lose = 0.0
        self.refuse = 0.0
        self.late = 0.0
        self.delay_s = 0.0
        self.bytes_per_s = 0
        self.upload_bytes_per_s = 0
        self.stall_after_bytes: int | None = None
        self._epochs: dict[tuple, int] = {}
        self._last_numbers: dict[tuple, int] = {}
        self._append_responses: dict[tuple, dict] = {}
        self._appended = asyncio.Event()
        self._tasks = set()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Appends a keyed record on behalf of an operator or worker."""
        encoded = key.encode()
        self._add(topic, bytes([len(encoded)]) + encoded + value)

    def drop_history(self) -> None:
        """Expires all records; the newest of each key stay readable."""
        for topic, records in self.topics.items():
            self.first[topic] = len(records)

    def host_by_token(self) -> dict[int, str]:
        """Returns the hosts that claimed to lead by their fencing tokens."""
        hosts = {}
        for offset, record in enumerate(self.topics.get(_LEADER_TOPIC, [])):
            kind, host, *_ = orjson.loads(record)
            if kind == "claim":
                hosts[offset + 1] = host
        return hosts

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handles one request."""
        response = await self._respond(request)
        if not self.bytes_per_s and self.stall_after_bytes is None:
            return response
        return await self._send_slowly(request, response)

    async def _send_slowly(
        self, request: web.BaseRequest, response: web.Response
    ) -> web.StreamResponse:
        slow = web.StreamResponse(status=response.status)
        slow.content_length = len(response.body)
        await slow.prepare(request)
        end = len(response.body)
        if self.stall_after_bytes is not None:
            end = min(end, self.stall_after_bytes)
        step = end
        if self.bytes_per_s:
            step = min(_CHUNK_BYTES, max(1, self.bytes_per_s // 20))
        for start in range(0, end, max(1, step)):
            await slow.write(response.body[start : min(end, start + step)])
            if self.bytes_per_s:
                await asyncio.sleep(step / self.bytes_per_s)
        if end < len(response.body):
            await asyncio.sleep(30)
        return slow

    async def _respond(self, request: web.BaseRequest) -> web.Response:
        await asyncio.sleep(0.002 + self.delay_s)
        if self.rng.random() < self.refuse:
            return web.Response(status=503)
        query = request.query
        match request.path:
            case "/-/log-append":
                try:
                    body = await self._receive(request)
                except ConnectionResetError:
                    return web.Response(status=400)
                return await self._append(query, body)
            case "/-/log-read":
                return await self._read(query)
            case "/-/log-newest":
                return self._newest(query)
        return web.Response(status=404)

    async def _receive(self, request: web.BaseRequest) -> bytes:
        body = await request.read()
        if self.upload_bytes_per_s:
            await asyncio.sleep(len(body) / self.upload_bytes_per_s)
        return body

    async def _append(self, query, body) -> web.Response:
        if body and self.rng.random() < self.late:
            task = asyncio.create_task(self._append_late(query, body))
            self._tasks.add(task)
            await asyncio.sleep(30)
        status, answer = self._apply(query, body)
        if status == 200 and self.rng.random() < self.lose:
            await asyncio.sleep(30)
        return _json(answer, status)

    async def _append_late(self, query, body) -> None:
        await asyncio.sleep(1.0)
        self._apply(query, body)

    def _apply(self, query, body) -> tuple[int, dict]:
        topic = query["topic"]
        end = len(self.topics.get(topic, []))
        if "at" in query and int(query["at"]) != end:
            return 412, {"end_offset": end}
        producer_key = None
        if "producer" in query:
            producer_key = (topic, query["producer"])
            epoch, number = int(query["epoch"]), int(query["seq_no"])
            if epoch < self._epochs.get(producer_key, 0):
                return 409, {"reason": "fenced"}
            if epoch > self._epochs.get(producer_key, -1):
                self._epochs[producer_key] = epoch
                self._last_numbers[producer_key] = number - 1
            if (
                body
                and (*producer_key, epoch, number) in self._append_responses
            ):
                return 200, self._append_responses[
                    (*producer_key, epoch, number)
                ]
            if body and number != self._last_numbers[producer_key] + 1:
                return 409, {
                    "reason": "seq",
                    "seq_no": self._last_numbers[producer_key] + 1,
                }
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            self._add(topic, body[position + 4 : position + 4 + length])
            position += 4 + length
        answer = {"offset": end, "end_offset": len(self.topics.get(topic, []))}
        if producer_key is not None and body:
            self._last_numbers[producer_key] = number
            self._append_responses[(*producer_key, epoch, number)] = answer
        return 200, answer

    def _add(self, topic: str, record: bytes) -> None:
        self.topics.setdefault(topic, []).append(record)
        self._appended.set()
        self._appended = asyncio.Event()

    async def _read(self, query) -> web.Response:
        topic, start = query["topic"], int(query["from"])
        first = self.first.get(topic, 0)
        if start < first:
            return _json({"first_offset": first}, 410)
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while len(self.topics.get(topic, [])) <= start:
            left = until - time.monotonic()
            if left <= 0:
                break
            appended = self._appended
            try:
                async with asyncio.timeout(left):
                    await appended.wait()
            except TimeoutError:
                break
        records = self.topics.get(topic, [])
        body = struct.pack(">QQ", len(records), first)
        for record in records[start:]:
            body += struct.pack(">I", len(record)) + record
        return web.Response(body=body)

    def _newest(self, query) -> web.Response:
        records = self.topics.get(query["topic"], [])
        newest = {}
        for offset, record in enumerate(records):
            key = record[1 : 1 + record[0]].decode()
            newest[key] = (record[1 + record[0] :], offset)
        after = query.get("after", "")
        keys = [k for k in sorted(newest) if k > after and newest[k][0]]
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][0]).decode(),
                "offset": newest[key][1],
            }
            for key in keys[:50]
        ]
        return _json(
            {
                "items": items,
                "has_more": len(keys) > 50,
                "end_offset": len(records),
            }
        )


def _json(content: dict, status: int = 200) -> web.Response:
    return web.Response(
        body=orjson.dumps(content),
        status=status,
        content_type="application/json",
    )
