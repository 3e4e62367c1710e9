"""Decides which waiting jobs of a zone move to another zone."""

from collections.abc import Mapping

from laburnumgate_core import capacity
from laburnumgate_core import jobs
from laburnumgate_core import model
from laburnumgate_core import records

# Interval between passes that move waiting jobs to other zones.
MOVE_INTERVAL_MS = 1_000
# Minimum time between two moves of a job, so that two zones do not pass it back
# and forth on outdated summaries.
MIN_STAY_MS = 5_000
MOVES_PER_PASS = 64


class MoveTable:
    """Capacity summaries of other zones and the last move of each job."""

    def __init__(self, zone: str):
        """Creates a table without summaries of other zones.

        Args:
          zone: the zone that jobs are moved out of.
        """
        self._zone = zone
        self._peers_by_zone: dict[str, capacity.Summary] = {}
        self._moved_ms_by_id: dict[str, int] = {}
        self._next_pass_ms = 0

    def update_peers(
        self, summaries_by_zone: Mapping[str, capacity.Summary]
    ) -> None:
        """Replaces the capacity summaries of the other zones."""
        self._peers_by_zone = {
            zone: summary
            for zone, summary in summaries_by_zone.items()
            if zone != self._zone
        }

    def begin_pass(self, now_ms: int) -> bool:
        """Whether a pass is due; if so, schedules the next one."""
        if now_ms < self._next_pass_ms:
            return False
        self._next_pass_ms = now_ms + MOVE_INTERVAL_MS
        return True

    def may_move(self, job: jobs.Job, now_ms: int) -> bool:
        """Whether enough time has passed since the last move of the job."""
        moved_ms = self._moved_ms_by_id.get(job.job_id)
        return moved_ms is None or now_ms >= moved_ms + MIN_STAY_MS

    def move_out(
        self, job: jobs.Job, allowed: tuple[str, ...], now_ms: int
    ) -> records.Moved | None:
        """Moves a job out of a zone that is out of service.

        Returns None if no other zone is suitable or the job was just moved.
        """
        zone = capacity.choose_zone(
            job.account, job.spec, allowed, self._peers_by_zone
        )
        if not zone or not self.may_move(job, now_ms):
            return None
        return self._move(job, zone, now_ms)

    def move_to_free_capacity(
        self, job: jobs.Job, allowed: tuple[str, ...], now_ms: int
    ) -> records.Moved | None:
        """Moves a job to a zone that can start it immediately, if any can."""
        zone = capacity.choose_startable_zone(
            job.account, job.spec, allowed, self._peers_by_zone
        )
        if not zone:
            return None
        # Deducts the job from the summary, so that later jobs do not count on
        # the same capacity before the next summary arrives.
        self._peers_by_zone[zone] = capacity.after_placement(
            self._peers_by_zone[zone], job.account, job.spec.accelerators
        )
        return self._move(job, zone, now_ms)

    def forget(self, job_id: str) -> None:
        """Removes the last move of a job that has ended."""
        self._moved_ms_by_id.pop(job_id, None)

    def _move(self, job: jobs.Job, zone: str, now_ms: int) -> records.Moved:
        self._moved_ms_by_id[job.job_id] = now_ms
        return records.Moved(job.job_id, self._zone, zone, now_ms)


def allowed_zones(promise: model.Promise | None) -> tuple[str, ...]:
    """Returns the zones that a promise allows; empty means all zones."""
    return promise.zones if promise is not None else ()
