"""Bounds that the platform's settings give, in ms."""

import dataclasses

# Leases outlast a zone that is cut off for 6 s; longer ones would only delay
# the restart of what ran on a lost endpoint.
MAX_LEASE_MS = 7_000


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Time bounds of one deployment.

    Attributes:
      max_lease_ms: longest lease that an endpoint grants.
      stop_ms: longest time that a stop of a task takes.
      gang_ms: how long a gang's tasks wait for each other.
      early_ms: how much before its time an occurrence may start.
      reclaim_ms: within this a guaranteed job has to start.
      checkpoint_ms: work between two checkpoints of a task.
      restore_ms: how long a task takes to resume from a checkpoint.
      revoke_ms: within this a removed key is refused everywhere.
      visible_ms: within this an accepted job is known to every host.
      grace_ms: time from SIGTERM to SIGKILL.
      keep_state_ms: how long the state of an ended job is kept.
      pace_ms: delay until a changed pace takes effect.
      interference_ms: how long a serving task may be over its target.
      notice_ms: how long away counts as missing for a lasting task.
    """

    max_lease_ms: int = 10_000
    stop_ms: int = 200
    gang_ms: int = 3_000
    early_ms: int = 250
    reclaim_ms: int = 2_700
    checkpoint_ms: int = 2_000
    restore_ms: int = 250
    revoke_ms: int = 5_000
    visible_ms: int = 3_000
    grace_ms: int = 6_000
    keep_state_ms: int = 120_000
    pace_ms: int = 100
    interference_ms: int = 4_000
    notice_ms: int = 4_500

    @property
    def lease_ms(self) -> int:
        """Length of the leases that leaders give, and of their right to renew.

        A leader renews for as long without a confirmed heartbeat, so that a
        later one knows when leases which it did not give are over.
        """
        return min(self.max_lease_ms, MAX_LEASE_MS)
