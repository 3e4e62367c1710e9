"""How long hosts wait before they replace a leader that is silent.

Load pattern: a leader at the limit of its processor sends heartbeats late and
is replaced. The next one has the same work and the recovery besides, is later
still, and is replaced in turn, so that no leader gets to place anything. Each
replacement therefore makes hosts more patient, and the gaps that were seen
under earlier leaders still count. A leader that cannot keep up hands over to
another host by itself.
"""

from collections.abc import Iterable
import dataclasses

# Three heartbeats and their latency through the log.
MIN_TIMEOUT_MS = 900
MAX_TIMEOUT_MS = 4_000
# The timeout is at least this multiple of the longest recent gap.
GAP_FACTOR = 2.5
# Upper limit of a timeout that results from gaps alone, which also grow when
# the log is slow.
MAX_GAP_TIMEOUT_MS = 3_000
# Factor of the timeout for each replacement of a silent leader within the last
# `REPLACEMENT_WINDOW_MS`.
REPLACEMENT_FACTOR = 1.6
REPLACEMENT_WINDOW_MS = 12_000
# A leader hands over after this many consecutive heartbeats for which its event
# loop was late by `OVERLOAD_LAG_MS`, and does not claim for a while.
OVERLOAD_HEARTBEATS = 4
OVERLOAD_LAG_MS = 350
HANDED_OVER_PAUSE_MS = 8_000


def timeout_ms(gaps_ms: Iterable[int], replacements: int) -> float:
    """Returns the time of silence after which a leader is replaced.

    Args:
      gaps_ms: recent gaps between heartbeats, also under earlier leaders.
      replacements: silent leaders replaced in the last `REPLACEMENT_WINDOW_MS`.
    """
    gap_ms = max(gaps_ms, default=0)
    base_ms = min(MAX_GAP_TIMEOUT_MS, max(MIN_TIMEOUT_MS, GAP_FACTOR * gap_ms))
    return min(MAX_TIMEOUT_MS, base_ms * REPLACEMENT_FACTOR**replacements)


@dataclasses.dataclass(frozen=True, slots=True)
class Lag:
    """Consecutive heartbeats that the event loop sent late.

    Attributes:
      late_heartbeats: their number.
    """

    late_heartbeats: int = 0

    def after(self, lag_ms: float) -> "Lag":
        """Returns the state after a heartbeat that was late by `lag_ms`."""
        if lag_ms < OVERLOAD_LAG_MS:
            return Lag()
        return Lag(self.late_heartbeats + 1)

    @property
    def overloaded(self) -> bool:
        """Whether the leader cannot keep up with its work."""
        return self.late_heartbeats >= OVERLOAD_HEARTBEATS
