"""Replicates provisional records to the zone's peers during log outages.

The peers keep the records in their overlays, so that the placing host receives
them, and append those still missing when the log is reachable again.
"""

import asyncio
from collections.abc import Callable
import dataclasses

from laburnumgate_core import appender
from laburnumgate_core import clock
from laburnumgate_core import jobs
from laburnumgate_core import records
from laburnumgate_rpc import peer_pb2

from laburnumgate_host import heartbeats
from laburnumgate_host import peers

MAX_RECORDS_PER_CALL = 256
# Bounds the time for which a silent peer delays the next records.
MAX_BYTES_PER_CALL = 64 * 1024
CALL_TIMEOUT_MS = 500
# A call is given the time of the upload to all peers at this rate, 0.5 Mbit/s,
# beside the time that a peer may take to answer.
MIN_UPLOAD_BYTES_PER_MS = 62
RESEND_INTERVAL_MS = 200
# Limit of a caller's wait for the peers. Peers that are silent for longer are
# soon declared dead.
HOLDERS_WAIT_MS = 2_000
MAX_HELD_RECORDS = 2_000
# After an outage the host that created a record appends it first; its batches
# are delayed by up to 2 s.
APPEND_HELD_AFTER_MS = 4_000
MAX_APPENDS_PER_PASS = 64


class SharedJobTable(jobs.JobTable):
    """A job table that reports the provisional records of this host."""

    def __init__(self):
        super().__init__()
        self.on_created: Callable[
            [appender.RecordKey, records.JobRecord], None
        ] = lambda key, record: None

    def add_provisional(
        self, append_id: str, index: int, record: records.JobRecord
    ) -> bool:
        """Adds a record of this host that is not in the log yet."""
        applied = super().add_provisional(append_id, index, record)
        self.on_created(appender.RecordKey(append_id, index), record)
        return applied

    def add_shared(
        self, append_id: str, index: int, record: records.JobRecord
    ) -> bool:
        """Adds a record that a peer created."""
        return super().add_provisional(append_id, index, record)


@dataclasses.dataclass(frozen=True)
class _OutgoingRecord:
    """A record to share, and a future for how many peers hold it."""

    message: peer_pb2.PendingRecord
    holders: asyncio.Future


@dataclasses.dataclass(frozen=True)
class _HeldRecord:
    """A record received from a peer."""

    record: records.JobRecord
    since_ms: int


class Sharing:
    """Sends this host's provisional records and stores those of peers."""

    def __init__(
        self,
        host_id: str,
        zone: str,
        table: SharedJobTable,
        host_heartbeats: heartbeats.Heartbeats,
        client: peers.Peers,
        time: clock.Clock,
        is_alive: Callable[[str], bool],
    ):
        self._host_id = host_id
        self._zone = zone
        self._table = table
        self._heartbeats = host_heartbeats
        self._client = client
        self._clock = time
        self._is_alive = is_alive
        self._outbox: list[_OutgoingRecord] = []
        self._work_available = asyncio.Event()
        self._holders_by_job: dict[str, asyncio.Future] = {}
        self._held_by_key: dict[appender.RecordKey, _HeldRecord] = {}
        table.on_created = self._on_created

    async def wait_for_holders(self, job_id: str) -> int:
        """Waits until the job's newest record was shared.

        Returns:
          The number of peers that hold it, 0 after `HOLDERS_WAIT_MS`.
        """
        future = self._holders_by_job.get(job_id)
        if future is None:
            return 0
        try:
            return await asyncio.wait_for(
                asyncio.shield(future), HOLDERS_WAIT_MS / 1000
            )
        except TimeoutError:
            return 0

    @property
    def unshared_count(self) -> int:
        """Number of records that a peer that is alive may still receive."""
        return len(self._outbox)

    async def run(self) -> None:
        """Sends records to the peers in creation order, until cancelled."""
        while True:
            await self._work_available.wait()
            self._work_available.clear()
            while self._outbox:
                batch = self._next_batch()
                count = await self._send(batch)
                while count is None:
                    await asyncio.sleep(RESEND_INTERVAL_MS / 1000)
                    count = await self._send(batch)
                for created in batch:
                    if not created.holders.done():
                        created.holders.set_result(count)
                del self._outbox[: len(batch)]
            self._holders_by_job.clear()

    def on_records(
        self, request: peer_pb2.ShareRecordsRequest
    ) -> peer_pb2.ShareRecordsReply:
        """Stores the records of a peer.

        Returns:
          The number of leading records that this host now holds.
        """
        held = 0
        for message in request.records:
            key = appender.RecordKey(message.append_id, message.index)
            if key not in self._held_by_key and not self._hold(key, message):
                break
            held += 1
        return peer_pb2.ShareRecordsReply(held=held)

    def take_overdue(
        self,
    ) -> list[tuple[appender.RecordKey, records.JobRecord]]:
        """Returns records of peers that this host should append itself.

        Call it only while the log is reachable, and `drop` each key after its
        record was read back. A duplicate in the log has no effect.
        """
        now_ms = self._clock.now_ms()
        overdue: list[tuple[appender.RecordKey, records.JobRecord]] = []
        for key, held in list(self._held_by_key.items()):
            if len(overdue) >= MAX_APPENDS_PER_PASS:
                break
            if not self._table.is_pending(key.append_id, key.index):
                del self._held_by_key[key]
                continue
            if now_ms - held.since_ms < APPEND_HELD_AFTER_MS:
                continue
            self._held_by_key[key] = _HeldRecord(held.record, now_ms)
            overdue.append((key, held.record))
        return overdue

    def take_for_job(
        self, job_id: str
    ) -> list[tuple[appender.RecordKey, records.JobRecord]]:
        """Returns the records of peers for one job, in order of arrival.

        The log ignores a start or an end that comes before the submission, so
        a host that appends for such a job appends these first.
        """
        now_ms = self._clock.now_ms()
        found = []
        for key, held in self._held_by_key.items():
            if held.record.job_id == job_id:
                self._held_by_key[key] = _HeldRecord(held.record, now_ms)
                found.append((key, held.record))
        return found

    def drop(self, key: appender.RecordKey) -> None:
        """Removes a peer's record that is in the log under another key."""
        self._held_by_key.pop(key, None)
        self._table.drop_provisional(key.append_id, key.index)

    def restart_append_delay(self) -> None:
        """Restarts the delay before held records are appended.

        Called when the log becomes reachable again.
        """
        now_ms = self._clock.now_ms()
        for key, held in self._held_by_key.items():
            self._held_by_key[key] = _HeldRecord(held.record, now_ms)

    def _on_created(
        self, key: appender.RecordKey, record: records.JobRecord
    ) -> None:
        future = asyncio.get_running_loop().create_future()
        message = peer_pb2.PendingRecord(
            append_id=key.append_id,
            index=key.index,
            data=records.encode_job(record),
        )
        self._outbox.append(_OutgoingRecord(message, future))
        self._holders_by_job[record.job_id] = future
        self._work_available.set()

    def _next_batch(self) -> list[_OutgoingRecord]:
        batch: list[_OutgoingRecord] = []
        size = 0
        for created in self._outbox[:MAX_RECORDS_PER_CALL]:
            size += created.message.ByteSize()
            if batch and size > MAX_BYTES_PER_CALL:
                break
            batch.append(created)
        return batch

    async def _send(self, batch: list[_OutgoingRecord]) -> int | None:
        """Sends records to the peers that are alive.

        Returns:
          The number of peers that hold them, None if none does and some did
          not answer.
        """
        request = peer_pb2.ShareRecordsRequest(
            host_id=self._host_id, records=[c.message for c in batch]
        )
        addresses = [
            address
            for address in self._heartbeats.addresses(self._zone).values()
            if self._is_alive(address.host_id)
        ]
        # The calls share the host's link.
        upload_bytes = request.ByteSize() * len(addresses)
        timeout_ms = CALL_TIMEOUT_MS + upload_bytes // MIN_UPLOAD_BYTES_PER_MS
        replies = await asyncio.gather(
            *(
                self._client.share_records(address, request, timeout_ms)
                for address in addresses
            )
        )
        confirmed = [
            r for r in replies if r is not None and r.held == len(batch)
        ]
        if not confirmed and None in replies:
            return None
        return len(confirmed)

    def _hold(
        self, key: appender.RecordKey, message: peer_pb2.PendingRecord
    ) -> bool:
        if len(self._held_by_key) >= MAX_HELD_RECORDS:
            return False
        try:
            record = records.decode_job(message.data)
        except ValueError:
            return False
        self._table.add_shared(key.append_id, key.index, record)
        self._held_by_key[key] = _HeldRecord(record, self._clock.now_ms())
        return True
