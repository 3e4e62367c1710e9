"""Which waiting jobs of a zone may move to which other zone now."""

from collections.abc import Mapping

from laburnumgate_core import capacity
from laburnumgate_core import jobs
from laburnumgate_core import model
from laburnumgate_core import records

# Waiting jobs are offered to other zones this often.
MOVE_EVERY_MS = 1_000
# A moved job stays at least this long, so that two zones do not pass it back
# and forth on outdated summaries.
MOVE_PAUSE_MS = 5_000
MOVES_PER_PASS = 64


class MoveTable:
    """What other zones have free, and when jobs were last moved."""

    def __init__(self, zone: str):
        """Starts without knowledge of other zones.

        Args:
          zone: the zone whose jobs are moved.
        """
        self._zone = zone
        self._peers_by_zone: dict[str, capacity.Summary] = {}
        self._moved_ms_by_id: dict[str, int] = {}
        self._next_ms = 0

    def update_peers(
        self, summaries_by_zone: Mapping[str, capacity.Summary]
    ) -> None:
        """Takes what the zones last told of their free capacity."""
        self._peers_by_zone = {
            zone: summary
            for zone, summary in summaries_by_zone.items()
            if zone != self._zone
        }

    def take_pass(self, now_ms: int) -> bool:
        """Whether waiting jobs are to be offered now; if so, notes it."""
        if now_ms < self._next_ms:
            return False
        self._next_ms = now_ms + MOVE_EVERY_MS
        return True

    def may_move(self, job: jobs.Job, now_ms: int) -> bool:
        """Whether the job has not been moved just before."""
        moved_ms = self._moved_ms_by_id.get(job.job_id)
        return moved_ms is None or now_ms >= moved_ms + MOVE_PAUSE_MS

    def away(
        self, job: jobs.Job, allowed: tuple[str, ...], now_ms: int
    ) -> records.Moved | None:
        """Moves a job out of a zone that has left service, if one takes it."""
        zone = capacity.choose_zone(
            job.account, job.spec, allowed, self._peers_by_zone
        )
        if not zone or not self.may_move(job, now_ms):
            return None
        return self._move(job, zone, now_ms)

    def to_free_capacity(
        self, job: jobs.Job, allowed: tuple[str, ...], now_ms: int
    ) -> records.Moved | None:
        """Moves a job to a zone that can start it at once, if there is one."""
        zone = capacity.choose_startable_zone(
            job.account, job.spec, allowed, self._peers_by_zone
        )
        if not zone:
            return None
        # Later jobs see what this one takes until the next summary comes.
        self._peers_by_zone[zone] = capacity.after_placement(
            self._peers_by_zone[zone], job.account, job.spec.accelerators
        )
        return self._move(job, zone, now_ms)

    def forget(self, job_id: str) -> None:
        """Forgets a job that has ended."""
        self._moved_ms_by_id.pop(job_id, None)

    def _move(self, job: jobs.Job, zone: str, now_ms: int) -> records.Moved:
        self._moved_ms_by_id[job.job_id] = now_ms
        return records.Moved(job.job_id, self._zone, zone, now_ms)


def allowed_zones(promise: model.Promise | None) -> tuple[str, ...]:
    """Returns the zones of a promise; empty allows all."""
    return promise.zones if promise is not None else ()
