"""Stand-in for the platform's append-only log service.

Run as `python -m laburnumgate_standins.log --port N`. `POST /faults` injects
faults: outages, delays, refused appends, expiry of entries, and lost answers
to appends that took effect.
"""

import asyncio
import contextlib
import dataclasses
import time

import click
import sanic

from laburnumgate_standins import serve

MAX_WAIT_MS = 30_000


@dataclasses.dataclass
class Faults:
    """Injected faults that are in force. Durations are in ms."""

    down: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    # Refuses appends but still serves reads.
    refuse_appends: bool = False
    # Maximum age of entries; 0 keeps them all.
    retention_ms: int = 0
    # Hosts whose calls fail with 503, by their x-host-id.
    cut_sources: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class StoredEntry:
    """One stored append."""

    offset: int
    append_id: str
    data: str
    at_ms: int


class Stream:
    """Entries of one stream; offsets start at 1 and are never reused."""

    def __init__(self, faults: Faults):
        self.entries: list[StoredEntry] = []
        self.next_offset = 1
        self.appended = asyncio.Event()
        self._faults = faults

    def append(self, append_id: str, data: str) -> int:
        """Adds an entry and returns its offset."""
        offset = self.next_offset
        now_ms = time.time_ns() // 1_000_000
        self.entries.append(StoredEntry(offset, append_id, data, now_ms))
        self.next_offset += 1
        self.appended.set()
        self.appended = asyncio.Event()
        return offset

    def read(self, start: int, limit: int) -> list[StoredEntry]:
        """Returns at most `limit` entries from offset `start` on."""
        self.expire()
        first = self.first_offset
        index = max(0, start - first)
        return self.entries[index : index + limit]

    def expire(self) -> None:
        """Removes entries older than the retention time."""
        retention_ms = self._faults.retention_ms
        if not retention_ms:
            return
        oldest_ms = time.time_ns() // 1_000_000 - retention_ms
        expired = 0
        while expired < len(self.entries):
            if self.entries[expired].at_ms >= oldest_ms:
                break
            expired += 1
        del self.entries[:expired]

    @property
    def first_offset(self) -> int:
        """Offset of the oldest entry, or the next offset if there is none."""
        return self.entries[0].offset if self.entries else self.next_offset


def build(retention_ms: int, appends_per_s: int) -> sanic.Sanic:
    """Builds the HTTP application of the log."""
    app = sanic.Sanic("standin-log", configure_logging=False)
    streams: dict[str, Stream] = {}
    faults = Faults(retention_ms=retention_ms)
    rate_window = {"second": 0, "appends": 0}

    def get_stream(name: str) -> Stream:
        return streams.setdefault(name, Stream(faults))

    def is_unreachable(request: sanic.Request) -> bool:
        source = request.headers.get("x-host-id", "")
        return faults.down or source in faults.cut_sources

    def exceeds_rate() -> bool:
        second = int(time.monotonic())
        if rate_window["second"] != second:
            rate_window.update(second=second, appends=0)
        rate_window["appends"] += 1
        return rate_window["appends"] > appends_per_s

    @app.post("/streams/<name>/records")
    async def append(request: sanic.Request, name: str):
        await asyncio.sleep(faults.slow_ms / 1000)
        if is_unreachable(request) or faults.refuse_appends:
            return sanic.json({"error": "unavailable"}, status=503)
        if exceeds_rate():
            return sanic.json({"error": "too many appends"}, status=429)
        body = request.json
        offset = get_stream(name).append(body["append_id"], body["data"])
        if faults.lose_answers > 0:
            faults.lose_answers -= 1
            return sanic.json({"error": "answer lost"}, status=504)
        return sanic.json({"offset": offset})

    @app.get("/streams/<name>/records")
    async def read(request: sanic.Request, name: str):
        await asyncio.sleep(faults.slow_ms / 1000)
        start = int(request.args.get("from", "1"))
        limit = int(request.args.get("limit", "500"))
        wait_ms = min(MAX_WAIT_MS, int(request.args.get("wait_ms", "0")))
        target = get_stream(name)
        if (
            not is_unreachable(request)
            and not target.read(start, 1)
            and wait_ms
        ):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(target.appended.wait(), wait_ms / 1000)
        if is_unreachable(request):
            return sanic.json({"error": "unavailable"}, status=503)
        entries = target.read(start, limit)
        return sanic.json(
            {
                "records": [
                    {
                        "offset": entry.offset,
                        "append_id": entry.append_id,
                        "data": entry.data,
                    }
                    for entry in entries
                ],
                "first_offset": target.first_offset,
                "next_offset": target.next_offset,
            }
        )

    @app.post("/faults")
    async def set_faults(request: sanic.Request):
        for name, value in request.json.items():
            setattr(
                faults, name, tuple(value) if name == "cut_sources" else value
            )
        # Wakes long polls so that clients see an outage at once.
        for target in streams.values():
            target.appended.set()
            target.appended = asyncio.Event()
        return sanic.json(dataclasses.asdict(faults))

    return app


@click.command()
@click.option("--ip", default="127.0.0.1")
@click.option("--port", type=int, required=True)
@click.option("--retention-ms", type=int, default=0, help="0 keeps all.")
@click.option("--appends-per-s", type=int, default=300)
def main(ip: str, port: int, retention_ms: int, appends_per_s: int) -> None:
    """Runs the log stand-in."""
    serve.run(build(retention_ms, appends_per_s), ip, port)


if __name__ == "__main__":
    main()
