"""Bounds from the platform settings; times are in ms."""

import dataclasses

# Long enough for leases to survive a 6 s network partition of a zone. Longer
# leases would only delay restarting the work of a lost endpoint.
MAX_LEASE_MS = 7_000
# How long the answer to an order is waited for. A healthy endpoint answers
# within a few ms.
ORDER_TIMEOUT_MS = 400


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of one deployment.

    Attributes:
      max_lease_ms: maximum lease that an endpoint grants.
      stop_ms: maximum time to stop a task.
      gang_ms: how long the tasks of a gang wait for each other.
      early_ms: how long before its due time an occurrence may start.
      reclaim_ms: time within which a guaranteed job has to start.
      checkpoint_ms: work between two checkpoints of a task.
      restore_ms: time that a task needs to resume from a checkpoint.
      revoke_ms: time within which a removed key is rejected everywhere.
      visible_ms: time within which an accepted job is known to every host.
      grace_ms: time from SIGTERM to SIGKILL.
      keep_state_ms: retention of the state of an ended job.
      pace_ms: delay until a changed pace takes effect.
      interference_ms: how long a serving task may exceed its target.
      notice_ms: how long a long-running task may be down before it counts as
        missing.
      contact_ms: how long after an endpoint has listed a smaller capacity it
        may still be exceeded.
      config_apply_ms: time from its publication in which a configuration is in
        force on every host.
      rate_window_ms: window in which the submissions of an account are
        compared with its weight.
      max_record_bytes: maximum size of a record of the log.
      max_jobs_bytes: memory that all jobs together may need on a leader. The
        default is also the maximum, as hosts with less memory have to hold what
        larger ones accept.
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
    contact_ms: int = 3_000
    config_apply_ms: int = 3_000
    rate_window_ms: int = 5_000
    max_record_bytes: int = 262_144
    max_jobs_bytes: int = 85 << 20

    @property
    def lease_ms(self) -> int:
        """Duration of leases, and of a leader's right to renew them.

        A leader stops renewing leases when the last time at which it is known
        to have led is older than this, so that a later leader can tell when
        the leases of earlier leaders have expired.
        """
        return min(self.max_lease_ms, MAX_LEASE_MS)

    @property
    def max_list_age_ms(self) -> int:
        """Age of the live list from which its capacities are not used."""
        return self.contact_ms - ORDER_TIMEOUT_MS
