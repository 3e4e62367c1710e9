"""Stand-in for the platform's store, with one entrance for each machine."""

import asyncio
import base64
import struct
import time

from aiohttp import web
import orjson

_LATENCY_S = 0.004
_PAGE_ITEMS = 500


class Store:
    """A log of single-partition topics, as PROTOCOL.md describes it."""

    def __init__(self):
        self._records: dict[str, list[bytes]] = {}
        self._epochs: dict[tuple[str, str], int] = {}
        self._numbers: dict[tuple[str, str], int] = {}
        self._answers: dict[tuple[str, str], list[tuple[int, dict]]] = {}
        self._changed = asyncio.Event()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record for the operator or a worker; b"" drops the key."""
        encoded = key.encode()
        self._add(topic, bytes([len(encoded)]) + encoded + value)

    def append(self, query, body: bytes) -> tuple[int, dict]:
        """Handles an append; returns the status and content of the answer."""
        topic = query["topic"]
        end = len(self._records.get(topic, []))
        if "at" in query and int(query["at"]) != end:
            return 412, {"end_offset": end}
        if "producer" not in query:
            return 200, self._append_records(topic, body)
        producer = (topic, query["producer"])
        epoch, number = int(query["epoch"]), int(query["seq_no"])
        known = self._epochs.get(producer, -1)
        if epoch < known:
            return 409, {"reason": "fenced"}
        if epoch > known:
            self._epochs[producer] = epoch
            self._numbers[producer] = number - 1
            self._answers[producer] = []
        if not body:
            return 200, {"end_offset": end}
        for answered, answer in self._answers[producer]:
            if answered == number:
                return 200, answer
        expected = self._numbers[producer] + 1
        if number != expected:
            return 409, {"reason": "seq", "seq_no": expected}
        answer = self._append_records(topic, body)
        self._numbers[producer] = number
        self._answers[producer] = [
            *self._answers[producer][-4:],
            (number, answer),
        ]
        return 200, answer

    async def read(self, query) -> bytes:
        """Handles a read; returns the content of the answer."""
        topic, start = query["topic"], int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while len(self._records.get(topic, [])) <= start:
            changed = self._changed
            try:
                async with asyncio.timeout(until - time.monotonic()):
                    await changed.wait()
            except TimeoutError:
                break
        records = self._records.get(topic, [])
        parts = [struct.pack(">QQ", len(records), 0)]
        for record in records[start:]:
            parts.append(struct.pack(">I", len(record)) + record)
        return b"".join(parts)

    def newest(self, query) -> dict:
        """Returns a page of the newest record of each key."""
        records = self._records.get(query["topic"], [])
        newest = {}
        for offset, record in enumerate(records):
            end = 1 + record[0]
            newest[record[1:end].decode()] = (record[end:], offset)
        after = query.get("after", "")
        keys = [key for key in sorted(newest) if key > after and newest[key][0]]
        return {
            "items": [
                {
                    "key": key,
                    "value": base64.b64encode(newest[key][0]).decode(),
                    "offset": newest[key][1],
                }
                for key in keys[:_PAGE_ITEMS]
            ],
            "has_more": len(keys) > _PAGE_ITEMS,
            "end_offset": len(records),
        }

    def _append_records(self, topic: str, body: bytes) -> dict:
        first = len(self._records.get(topic, []))
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            position += 4
            self._add(topic, body[position : position + length])
            position += length
        return {
            "offset": first,
            "end_offset": len(self._records.get(topic, [])),
        }

    def _add(self, topic: str, record: bytes) -> None:
        self._records.setdefault(topic, []).append(record)
        self._changed.set()
        self._changed = asyncio.Event()


class Entrance:
    """The store as one machine of the system reaches it.

    Attributes:
      busy: whether it turns the machine away with status 503, after which
        nothing was done. Reads that wait are turned away as well.
    """

    def __init__(self, store: Store):
        self._store = store
        self.busy = False
        self._turned_busy = asyncio.Event()

    def set_busy(self, busy: bool) -> None:
        """Begins or ends to turn the machine away."""
        self.busy = busy
        if busy:
            self._turned_busy.set()
            self._turned_busy = asyncio.Event()

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Handles one call of the machine."""
        body = await request.read()
        await asyncio.sleep(_LATENCY_S)
        if self.busy:
            return web.Response(status=503)
        match request.path:
            case "/-/log-append":
                status, answer = self._store.append(request.query, body)
                return _json(status, answer)
            case "/-/log-newest":
                return _json(200, self._store.newest(request.query))
            case "/-/log-read":
                return await self._read(request.query)
        return web.Response(status=404)

    async def _read(self, query) -> web.Response:
        reading = asyncio.ensure_future(self._store.read(query))
        turned = asyncio.ensure_future(self._turned_busy.wait())
        await asyncio.wait(
            {reading, turned}, return_when=asyncio.FIRST_COMPLETED
        )
        turned.cancel()
        if not reading.done():
            reading.cancel()
            return web.Response(status=503)
        return web.Response(body=reading.result())


def _json(status: int, content: dict) -> web.Response:
    return web.Response(
        status=status,
        body=orjson.dumps(content),
        content_type="application/json",
    )
