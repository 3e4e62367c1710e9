"""What the placing host knows of one part of a gang."""

import json

END_STATES = frozenset(
    ("finished", "failed", "stopped", "lapsed", "checkpointed")
)
INACTIVE_STATES = END_STATES | {"absent"}
# Answers about a task can cross; a later stage is never replaced by an
# earlier one.
_STAGE_BY_STATE = {"absent": 0, "unknown": 0, "held": 1, "running": 2}


class Part:
    """State of one part as far as its endpoint has told.

    Two bounds are kept for the lease of the task, both by the host's clock:
    `confirmed_until_ms`, up to which the endpoint has confirmed it, and
    `may_run_until_ms`, after which the part cannot run even if every call
    without an answer took effect.
    """

    def __init__(self, endpoint_id: str, task_id: str):
        self.endpoint_id = endpoint_id
        self.task_id = task_id
        self.state = "absent"
        self.result = ""
        self.checkpoint = ""
        self.confirmed_until_ms = 0
        self.may_run_until_ms = 0
        # Call that waits for an answer, when it was made, and its tries.
        self.call = ""
        self.called_at_ms = 0
        self.call_attempts = 0
        # Length of the lease that the call in progress asked for.
        self.requested_until_ms = 0

    @property
    def ended(self) -> bool:
        """Whether the endpoint has confirmed that the part ended."""
        return self.state in END_STATES

    @property
    def inactive(self) -> bool:
        """Whether the endpoint runs no such part."""
        return self.state in INACTIVE_STATES

    def record_call(self, call: str, now_ms: int) -> None:
        """Notes that a call is made now."""
        self.call_attempts = self.call_attempts + 1 if self.call == call else 1
        self.call = call
        self.called_at_ms = now_ms

    def expect_lease(self, until_ms: int, margin_ms: int) -> None:
        """Notes that the lease may last until `until_ms` plus a late call."""
        self.requested_until_ms = until_ms
        self.may_run_until_ms = max(self.may_run_until_ms, until_ms + margin_ms)

    def confirm_lease(self, until_ms: int) -> None:
        """Notes that the endpoint confirmed a lease until `until_ms`."""
        self.confirmed_until_ms = max(self.confirmed_until_ms, until_ms)

    def update(self, state: str, result: str, checkpoint: str) -> None:
        """Takes a state told by the endpoint."""
        if self.ended:
            # The state is final; only missing texts are filled in.
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
        """Notes that the endpoint does not know the part."""
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

    All are empty if `text` does not hold exactly `count` of them, since a
    gang must not restart from parts of different checkpoints.
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
