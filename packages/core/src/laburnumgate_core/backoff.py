"""Exponential backoff between attempts to start a job."""

import dataclasses
import random

BACKOFF_MIN_MS = 200
BACKOFF_MAX_MS = 3_200


@dataclasses.dataclass(frozen=True)
class _Pause:
    """Time of the next allowed attempt, and the backoff without jitter."""

    until_ms: int
    pause_ms: int


class BackoffTable:
    """Backoff by job id, doubling with jitter up to `BACKOFF_MAX_MS`."""

    def __init__(self, rng: random.Random):
        """Creates an empty table; `rng` is the source of jitter."""
        self._rng = rng
        self._pauses_by_id: dict[str, _Pause] = {}

    def record_failure(self, job_id: str, now_ms: int) -> int:
        """Records a failed attempt and returns when the next is allowed."""
        last = self._pauses_by_id.get(job_id)
        pause_ms = BACKOFF_MIN_MS
        if last is not None:
            pause_ms = min(BACKOFF_MAX_MS, last.pause_ms * 2)
        until_ms = now_ms + pause_ms + self._rng.randrange(pause_ms)
        self._pauses_by_id[job_id] = _Pause(until_ms, pause_ms)
        return until_ms

    def is_paused(self, job_id: str, now_ms: int) -> bool:
        """Whether the job has to wait before its next attempt."""
        pause = self._pauses_by_id.get(job_id)
        return pause is not None and now_ms < pause.until_ms

    def reset(self, job_id: str) -> None:
        """Resets a job's backoff to the minimum."""
        self._pauses_by_id.pop(job_id, None)

    def clear(self) -> None:
        """Resets the backoff of every job."""
        self._pauses_by_id.clear()
