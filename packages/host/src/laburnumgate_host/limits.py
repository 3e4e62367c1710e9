"""A rate limit over whole seconds."""


class Rate:
    """Allows at most `per_s` takes in each second."""

    def __init__(self, per_s: int):
        self._per_s = per_s
        self._second = 0
        self._taken = 0

    def take(self, now_ms: int) -> bool:
        """Takes one if the second has any left."""
        second = now_ms // 1000
        if second != self._second:
            self._second = second
            self._taken = 0
        if self._taken >= self._per_s:
            return False
        self._taken += 1
        return True
