"""State of one part of a gang, as known to the placing host."""

import json

END_STATES = frozenset(
    ("finished", "failed", "stopped", "lapsed", "checkpointed")
)
INACTIVE_STATES = END_STATES | {"absent"}
# Answers can arrive out of order; a later stage is never replaced by an earlier
# one.
_STAGE_BY_STATE = {"absent": 0, "unknown": 0, "held": 1, "running": 2}


class Part:
    """Last known state of one part and bounds of its task lease.

    Both bounds are by the host's clock. The endpoint has confirmed the lease
    until `confirmed_until_ms`. After `may_run_until_ms` the part cannot run,
    even if every unanswered call took effect.
    """

    def __init__(self, endpoint_id: str, task_id: str):
        self.endpoint_id = endpoint_id
        self.task_id = task_id
        self.state = "absent"
        self.result = ""
        self.checkpoint = ""
        # Whether the endpoint crashed while it had the part.
        self.crashed = False
        self.confirmed_until_ms = 0
        self.may_run_until_ms = 0
        # Latest call, its time, and the number of consecutive attempts.
        self.call = ""
        self.called_at_ms = 0
        self.call_attempts = 0
        # End of the lease that the latest call requested.
        self.requested_until_ms = 0

    @property
    def ended(self) -> bool:
        """Whether the endpoint has confirmed that the part ended."""
        return self.state in END_STATES

    @property
    def inactive(self) -> bool:
        """Whether the part has ended or the endpoint has no such task."""
        return self.state in INACTIVE_STATES

    def record_call(self, call: str, now_ms: int) -> None:
        """Records a call and counts consecutive attempts of it."""
        self.call_attempts = self.call_attempts + 1 if self.call == call else 1
        self.call = call
        self.called_at_ms = now_ms

    def expect_lease(self, until_ms: int, margin_ms: int) -> None:
        """Records a requested lease.

        Args:
          until_ms: end of the lease if the call arrives at once.
          margin_ms: how much later the call may arrive.
        """
        self.requested_until_ms = until_ms
        self.may_run_until_ms = max(self.may_run_until_ms, until_ms + margin_ms)

    def confirm_lease(self, until_ms: int) -> None:
        """Records that the endpoint confirmed a lease until `until_ms`."""
        self.confirmed_until_ms = max(self.confirmed_until_ms, until_ms)

    def update(self, state: str, result: str, checkpoint: str) -> None:
        """Applies a state reported by the endpoint."""
        if self.ended:
            # The state is final; only a missing result or checkpoint is added.
            if state == self.state:
                self.result = self.result or result
                self.checkpoint = self.checkpoint or checkpoint
            return
        if state not in END_STATES:
            stage = _STAGE_BY_STATE.get(state, 0)
            if stage < _STAGE_BY_STATE.get(self.state, 0):
                return
        self.state = state
        self.result = result or self.result
        self.checkpoint = checkpoint or self.checkpoint

    def mark_absent(self) -> None:
        """Records that the endpoint has no such task."""
        if not self.ended:
            self.state = "absent"


def join_checkpoints(parts: list[Part]) -> str:
    """Returns the checkpoints of all parts as JSON, "" if one is missing."""
    for part in parts:
        if part.state != "checkpointed" or not part.checkpoint:
            return ""
    return json.dumps([part.checkpoint for part in parts])


def split_checkpoints(text: str, count: int) -> tuple[str, ...]:
    """Returns one checkpoint for each of `count` parts.

    All are empty if `text` does not contain exactly `count` of them, because
    a gang must not restart from a mix of different checkpoints.
    """
    no_checkpoints = ("",) * count
    if not text:
        return no_checkpoints
    try:
        checkpoints = json.loads(text)
    except ValueError:
        return no_checkpoints
    if not isinstance(checkpoints, list) or len(checkpoints) != count:
        return no_checkpoints
    if not all(isinstance(checkpoint, str) for checkpoint in checkpoints):
        return no_checkpoints
    return tuple(checkpoints)
