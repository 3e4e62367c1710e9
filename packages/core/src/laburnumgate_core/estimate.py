"""Corrects declared run times by client account and request kind."""

import collections
import math

from laburnumgate_core import model

# Number of most recent runs that a correction is based on.
RATIO_WINDOW_RUNS = 32
# Limit of stored (account, kind) pairs; the least recently updated is evicted.
MAX_KEYS = 10_000
# Ratios are clamped to this factor; larger ones are treated as outliers.
MAX_FACTOR = 100.0
# Backfill uses this quantile of the run times instead of the median.
BACKFILL_QUANTILE = 0.8


class EstimateTable:
    """Ratios of actual to declared run time over the most recent runs."""

    def __init__(self):
        self._ratios_by_key: collections.OrderedDict[
            tuple[str, str], collections.deque[float]
        ] = collections.OrderedDict()

    def record_run(
        self, account: str, spec: model.JobSpec, ran_ms: int, speed: float
    ) -> None:
        """Records the actual run time of a complete run at `speed`."""
        key = (account, spec.kind)
        ratio = max(1, ran_ms) * speed / max(1, spec.run_ms)
        ratio = min(MAX_FACTOR, max(1 / MAX_FACTOR, ratio))
        ratios = self._ratios_by_key.setdefault(
            key, collections.deque(maxlen=RATIO_WINDOW_RUNS)
        )
        ratios.append(ratio)
        self._ratios_by_key.move_to_end(key)
        while len(self._ratios_by_key) > MAX_KEYS:
            self._ratios_by_key.popitem(last=False)

    def run_ms(
        self,
        account: str,
        spec: model.JobSpec,
        speed: float = 1.0,
        quantile: float = 0.5,
    ) -> int:
        """Returns the expected run time in ms at `speed`.

        Args:
          account: the client account.
          spec: the job, with its declared run time at speed 1.
          speed: speed of the slowest endpoint.
          quantile: which quantile of the stored ratios to use; 0.5 is the
            median.
        """
        ratios = self._ratios_by_key.get((account, spec.kind))
        factor = 1.0
        if ratios:
            index = min(len(ratios) - 1, math.floor(len(ratios) * quantile))
            factor = sorted(ratios)[index]
        return max(1, int(spec.run_ms * factor / max(speed, 0.01)))
