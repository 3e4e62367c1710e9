"""Write-ahead recording of the leader's decisions."""

import asyncio
import hashlib
import logging

import orjson

from laburnumgate_placer import endpoint_table
from laburnumgate_placer import lifecycle
from laburnumgate_placer import metrics
from laburnumgate_placer import model
from laburnumgate_placer import pauses
from laburnumgate_placer import pending_starts
from laburnumgate_placer import ports
from laburnumgate_placer import progress
from laburnumgate_placer import records
from laburnumgate_placer import tables as tables_module
from laburnumgate_placer import topics
from laburnumgate_placer import writer

_LOGGER = logging.getLogger(__name__)

# Producer name of every leader; its epoch, the fencing token, fences earlier
# leaders.
PRODUCER = "leader"
# How long the leader waits for a record to be stored. The writer retries the
# record until its outcome is known.
RECORD_TIMEOUT_MS = 600_000
PUBLISH_TIMEOUT_MS = 1_000
# Number of expired jobs whose records are removed in one append.
DROP_BATCH_JOBS = 1_000
# Number of endpoints or machines in one record.
ENTRIES_PER_PART = 4_000


class Recorder:
    """Writes the progress and states of changed jobs before runs start."""

    def __init__(
        self,
        log: ports.Log,
        tables: tables_module.Tables,
        status_topic: str,
    ):
        """Prepares the writers of one term."""
        self._log = log
        self._status_topic = status_topic
        self._tables = tables
        self._writers_by_topic = {
            topic: writer.Writer(
                log, tables.monotonic, topic, PRODUCER, tables.token
            )
            for topic in (topics.JOBS, topics.PROGRESS)
        }
        self._recorded_by_id: dict[str, model.JobState] = {}
        # Digests of the stored parts, by the id of their job or the key of a
        # content that is not of a job.
        self._digests_by_id: dict[str, dict[int, bytes]] = {}

    async def run_writers(self) -> None:
        """Runs the writers of both topics until cancelled."""
        await asyncio.gather(
            *(each.run() for each in self._writers_by_topic.values())
        )

    def set_recorded_state(self, job_id: str, state: model.JobState) -> None:
        """Sets the state that is known to be recorded for a job."""
        self._recorded_by_id[job_id] = state

    def set_recorded_progress(
        self, job_id: str, value_by_part: dict[int, bytes]
    ) -> None:
        """Sets the recorded parts of a job, or of another key of the topic."""
        self._digests_by_id[job_id] = _digests(value_by_part)

    async def flush(self) -> list[progress.Run] | None:
        """Records all changes, in several appends if they are large.

        Returns:
          The runs that may start now, or None if another leader has taken
          over.
        """
        tables = self._tables
        job_ids, tables.dirty = tables.dirty, set()
        runs = tables.take_assigned()
        # By incarnation: ends of the next one under an id have other numbers.
        handled_ends = [
            (state, state.handled_end)
            for state in tables.endpoints.by_id.values()
            if state.handled_end > state.acked_end
        ]
        detail, states, dropped, digests_by_id = await self._encode(job_ids)
        # After the pauses, so that each run that is recorded as over is either
        # among the starts or cannot start any more. The starts are stored
        # first.
        starts = tables.endpoints.starts_to_record(tables.monotonic.now_ms())
        changed_starts, digests = self._encode_parts(
            topics.STARTS_KEY, _starts_contents(tables.endpoints, starts)
        )
        digests_by_id[topics.STARTS_KEY] = digests
        detail = changed_starts + detail
        with metrics.RECORD_SECONDS.time():
            outcomes = await asyncio.gather(
                self._append(topics.PROGRESS, detail),
                self._append(topics.JOBS, [records.encode(s) for s in states]),
            )
        if not all(isinstance(o, ports.Appended) for o in outcomes):
            return None
        for state, number in handled_ends:
            state.acked_end = max(state.acked_end, number)
        self._digests_by_id.update(digests_by_id)
        tables.recorded_starts = {
            (endpoint_id, *key)
            for endpoint_id, keys in starts.items()
            for key in keys
        }
        for change in states:
            self.set_recorded_state(change.job_id, change.state)
            if change.state.final:
                # The next flush drops its progress record.
                tables.mark_dirty(change.job_id)
        for job_id in dropped:
            self._digests_by_id.pop(job_id, None)
            lifecycle.close_job(tables, job_id)
        return runs

    async def publish(self, key: str, value: bytes) -> bool:
        """Appends to the status topic; returns whether it was stored."""
        outcome = await self._log.append(
            self._status_topic,
            [records.encode_keyed(key, value)],
            timeout_ms=PUBLISH_TIMEOUT_MS,
        )
        return isinstance(outcome, ports.Appended)

    async def save_speeds(self) -> None:
        """Records endpoint speeds for the next leader."""
        speeds = sorted(self._tables.durations.speeds.dump().items())
        contents = [
            dict(speeds[start : start + ENTRIES_PER_PART])
            for start in range(0, len(speeds), ENTRIES_PER_PART)
        ]
        await self._save_parts(topics.SPEEDS_KEY, contents)

    async def save_waves(self, machines_by_key: dict[str, list[str]]) -> bool:
        """Records the machines of each wave for the next leader.

        Args:
          machines_by_key: content as of `upkeep.UpkeepTable.dump`.

        Returns:
          Whether it is stored; not if another leader has taken over.
        """
        contents = []
        for key, machines in machines_by_key.items():
            for start in range(0, len(machines), ENTRIES_PER_PART):
                part = machines[start : start + ENTRIES_PER_PART]
                contents.append({key: part})
        return await self._save_parts(topics.WAVES_KEY, contents)

    async def drop(self, job_ids: list[str]) -> None:
        """Removes expired jobs from the jobs topic."""
        for start in range(0, len(job_ids), DROP_BATCH_JOBS):
            # The records of a job are removed by the same append: it would run
            # again without its state, and its state would never be removed.
            dropped = []
            for job_id in job_ids[start : start + DROP_BATCH_JOBS]:
                dropped.extend(records.encode_drop(job_id))
                self._recorded_by_id.pop(job_id, None)
            await self._append(topics.JOBS, dropped)

    async def drop_early_cancels(self, expired: list[tuple[str, str]]) -> None:
        """Removes expired cancellations of jobs that were not known.

        Args:
          expired: job id and account digest of each.
        """
        await self._append(
            topics.JOBS,
            [
                records.encode(records.EarlyCancelDropped(*each))
                for each in expired
            ],
        )

    async def _save_parts(self, key: str, contents: list[dict]) -> bool:
        """Records the parts of a content that is not of a job.

        Returns whether they are stored.
        """
        changed, digests = self._encode_parts(key, contents)
        outcome = await self._append(topics.PROGRESS, changed)
        stored = isinstance(outcome, ports.Appended)
        if stored:
            self._digests_by_id[key] = digests
        return stored

    def _encode_parts(
        self, key: str, contents: list[dict]
    ) -> tuple[list[bytes], dict[int, bytes]]:
        """Returns records of the changed parts, and the digests of all."""
        value_by_part = {
            part: orjson.dumps(content) for part, content in enumerate(contents)
        }
        known = self._digests_by_id.get(key, {})
        digests = _digests(value_by_part)
        changed = [
            records.encode_progress(key, part, value_by_part.get(part, b""))
            for part in sorted({*known, *digests}, reverse=True)
            if known.get(part) != digests.get(part)
        ]
        return changed, digests

    async def _encode(
        self, job_ids: set[str]
    ) -> tuple[
        list[bytes],
        list[records.StateChanged],
        list[str],
        dict[str, dict[int, bytes]],
    ]:
        """Returns progress records, changed states, and ids of closed jobs.

        Only parts that have changed are recorded. The digests of all parts of
        these jobs are returned as well.

        The progress of an ended job is dropped only after its terminal state
        is stored; a leader that finds neither would start the job again.

        Jobs may change during the pauses. They are then dirty again, and what
        starts for them waits for the next flush.
        """
        pause = pauses.Pauses(self._tables.monotonic)
        detail = []
        states = []
        dropped = []
        digests_by_id = {}
        for job_id in job_ids:
            await pause.take()
            entry = self._tables.entries_by_id.get(job_id)
            if entry is None:
                continue
            stored = self._recorded_by_id.get(job_id) == entry.state
            known = self._digests_by_id.get(job_id, {})
            if entry.state.final and stored and not entry.runs():
                for part in {0, *known}:
                    detail.append(records.encode_progress(job_id, part, b""))
                dropped.append(job_id)
                continue
            value_by_part = progress.encode(entry)
            digests_by_id[job_id] = _digests(value_by_part)
            for part in sorted({*known, *value_by_part}, reverse=True):
                if known.get(part) == digests_by_id[job_id].get(part):
                    continue
                value = value_by_part.get(part, b"")
                detail.append(records.encode_progress(job_id, part, value))
            if stored or entry.state == model.JobState.QUEUED:
                continue
            states.append(
                records.StateChanged(
                    job_id,
                    entry.state,
                    self._tables.wall.now_ms(),
                    entry.reason,
                )
            )
        return detail, states, dropped, digests_by_id

    async def _append(
        self, topic: str, encoded: list[bytes]
    ) -> ports.AppendOutcome:
        if not encoded:
            return ports.Appended(0, 0)
        return await self._writers_by_topic[topic].append_all(
            encoded, RECORD_TIMEOUT_MS
        )


def _starts_contents(
    endpoints: endpoint_table.EndpointTable,
    keys_by_endpoint: dict[str, list[pending_starts.RunKey]],
) -> list[dict]:
    """Returns the parts of the record of pending starts."""
    contents: list[dict] = []
    entries = 0
    for endpoint_id, keys in sorted(keys_by_endpoint.items()):
        if not contents or entries >= ENTRIES_PER_PART:
            contents.append({})
            entries = 0
        entries += len(keys)
        state = endpoints.by_id.get(endpoint_id)
        address = state.info.address if state is not None else ""
        contents[-1][endpoint_id] = sorted(
            records.start_row(*key, address) for key in keys
        )
    return contents


def _digests(value_by_part: dict[int, bytes]) -> dict[int, bytes]:
    return {
        part: hashlib.blake2b(value, digest_size=16).digest()
        for part, value in value_by_part.items()
    }
