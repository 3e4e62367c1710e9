"""Corrects declared run times per client account and request kind."""

import collections
import math

from laburnumgate_core import model

# Newest runs that a correction is based on.
REMEMBERED_RUNS = 32
# Account and kind pairs that are remembered; the longest unused is dropped.
MAX_KEYS = 10_000
# A correction beyond this factor is taken for a mistake of one kind's runs.
MAX_FACTOR = 100.0
# Backfill takes the run time that this share of the runs stays below.
CAUTIOUS_SHARE = 0.8


class EstimateTable:
    """Ratios of actual to declared run time, newest runs only."""

    def __init__(self):
        self._ratios_by_key: collections.OrderedDict[
            tuple[str, str], collections.deque[float]
        ] = collections.OrderedDict()

    def learn(
        self, account: str, spec: model.JobSpec, ran_ms: int, speed: float
    ) -> None:
        """Takes the actual run time of a whole run at `speed`."""
        key = (account, spec.kind)
        ratio = max(1, ran_ms) * speed / max(1, spec.run_ms)
        ratio = min(MAX_FACTOR, max(1 / MAX_FACTOR, ratio))
        ratios = self._ratios_by_key.setdefault(
            key, collections.deque(maxlen=REMEMBERED_RUNS)
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
        share: float = 0.5,
    ) -> int:
        """Returns the expected run time in ms at `speed`.

        Args:
          account: the client account.
          spec: the job, with its declared run time at speed 1.
          speed: speed of the slowest endpoint.
          share: share of the remembered runs that took no longer.
        """
        ratios = self._ratios_by_key.get((account, spec.kind))
        factor = 1.0
        if ratios:
            index = min(len(ratios) - 1, math.floor(len(ratios) * share))
            factor = sorted(ratios)[index]
        return max(1, int(spec.run_ms * factor / max(speed, 0.01)))
