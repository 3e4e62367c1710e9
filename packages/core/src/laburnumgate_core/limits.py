"""Rate limits: a token bucket, a retry budget and exponential backoff.

The token bucket and the retry budget read a clock that is passed in. Nothing
here sleeps.
"""

from laburnumgate_core import clock

# Retries that are always allowed, independent of the number of calls, so that a
# host with little traffic can still recover.
RETRY_FLOOR_PER_S = 1.0
RETRY_SHARE = 0.1
MAX_SAVED_RETRIES = 20.0


class TokenBucket:
    """Allows `rate_per_s` actions per second with bursts of up to `burst`."""

    def __init__(self, rate_per_s: float, burst: float, time: clock.Clock):
        """Starts with a full bucket.

        Raises:
          ValueError: if the rate or the burst is not positive.
        """
        if rate_per_s <= 0 or burst <= 0:
            raise ValueError("the rate and the burst must be positive")
        self._rate_per_ms = rate_per_s / 1000
        self._burst = burst
        self._clock = time
        self._tokens = burst
        self._refilled_ms = time.now_ms()

    def take(self) -> bool:
        """Consumes a token; returns False if none is available."""
        self._refill()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def wait_ms(self) -> int:
        """Returns the ms until the next token, 0 if one is available."""
        self._refill()
        missing = 1 - self._tokens
        if missing <= 0:
            return 0
        return int(missing / self._rate_per_ms) + 1

    def _refill(self) -> None:
        now_ms = self._clock.now_ms()
        refilled = (now_ms - self._refilled_ms) * self._rate_per_ms
        self._tokens = min(self._burst, self._tokens + max(0.0, refilled))
        self._refilled_ms = now_ms


class RetryBudget:
    """Limits retries to a share of the calls plus a small constant rate."""

    def __init__(self, time: clock.Clock):
        self._floor = TokenBucket(RETRY_FLOOR_PER_S, RETRY_FLOOR_PER_S, time)
        self._saved_retries = 0.0

    def note_call(self) -> None:
        """Counts the first attempt of a call."""
        self._saved_retries = min(
            MAX_SAVED_RETRIES, self._saved_retries + RETRY_SHARE
        )

    def take(self) -> bool:
        """Whether a retry is allowed now; if so, it is counted as sent."""
        # Ten additions of 0.1 yield slightly less than 1 in floating point.
        if self._saved_retries > 1 - 1e-9:
            self._saved_retries -= 1
            return True
        return self._floor.take()

    def wait_ms(self) -> int:
        """Returns the ms until a retry is allowed at the latest."""
        if self._saved_retries > 1 - 1e-9:
            return 0
        return self._floor.wait_ms()


class Backoff:
    """Exponential backoff with random jitter."""

    def __init__(self, first_ms: int, last_ms: int, random_source):
        """Creates a backoff from `first_ms` up to `last_ms`.

        Args:
          first_ms: upper bound of the first pause.
          last_ms: limit of the upper bound of later pauses.
          random_source: a `random.Random`.
        """
        self._first_ms = first_ms
        self._last_ms = last_ms
        self._random = random_source
        self._bound_ms = first_ms

    def next_ms(self) -> int:
        """Returns the next pause: between half its bound and its bound."""
        bound_ms = self._bound_ms
        self._bound_ms = min(self._last_ms, bound_ms * 2)
        return self._random.randint(bound_ms // 2, bound_ms)

    def reset(self) -> None:
        """Resets to the first pause after a success."""
        self._bound_ms = self._first_ms
