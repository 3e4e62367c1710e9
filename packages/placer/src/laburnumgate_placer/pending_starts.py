"""Start orders that an endpoint may still carry out.

A call without an answer may be executed seconds later. An endpoint refuses the
order if it has seen a higher fencing token or a stop of the run, but it forgets
both when it restarts, and the order names only the endpoint's id.
"""

from collections.abc import Container
import dataclasses

from laburnumgate_placer import model

# Maximum delay after which an unanswered order may still be executed. Delays of
# 2 to 12 s were observed.
MAX_ORDER_DELAY_MS = 15_000

# Task and number of a run.
RunKey = tuple[model.TaskKey, int]


@dataclasses.dataclass(eq=False, slots=True)
class _Order:
    """Start orders of one run.

    Attributes:
      expires_ms: monotonic time after which none is executed any more.
      unanswered: how many of them have no answer.
      timed_out: whether an answer is overdue.
      adopted: whether an earlier leader sent the order, at most once.
    """

    expires_ms: int
    unanswered: int = 1
    timed_out: bool = False
    adopted: bool = False


class PendingStarts:
    """Start orders to one endpoint id that may still be carried out."""

    def __init__(self):
        self._orders: dict[RunKey, _Order] = {}

    def send(self, key: RunKey, now_ms: int) -> None:
        """Adds an order that is being sent at `now_ms`, monotonic time."""
        expires_ms = now_ms + MAX_ORDER_DELAY_MS
        order = self._orders.get(key)
        if order is None:
            self._orders[key] = _Order(expires_ms)
            return
        order.expires_ms = max(order.expires_ms, expires_ms)
        order.unanswered += 1

    def answer(self, key: RunKey) -> None:
        """Records that the newest order of a run was answered or not sent."""
        order = self._orders.get(key)
        if order is None:
            return
        order.unanswered -= 1
        if not order.unanswered:
            del self._orders[key]

    def time_out(self, key: RunKey, now_ms: int) -> None:
        """Records that the newest order of a run has no answer by now."""
        order = self._orders.get(key)
        if order is not None:
            order.expires_ms = max(
                order.expires_ms, now_ms + MAX_ORDER_DELAY_MS
            )
            order.timed_out = True

    def adopt(self, key: RunKey, expires_ms: int) -> None:
        """Adds an order that an earlier leader may have sent, at most once."""
        self._orders.setdefault(key, _Order(expires_ms, adopted=True))

    def restore(self, key: RunKey, expires_ms: int) -> None:
        """Adds an order that an earlier leader recorded as pending."""
        self._orders[key] = _Order(expires_ms, timed_out=True)

    def observe(self, key: RunKey) -> None:
        """Records that a report lists a run, running or ended.

        An order that an earlier leader sent once has been executed then.
        """
        order = self._orders.get(key)
        if order is not None and order.adopted:
            del self._orders[key]

    def keys(self, now_ms: int) -> set[RunKey]:
        """Returns the runs whose order may still be carried out."""
        if not self._orders:
            return set()
        for key, order in list(self._orders.items()):
            if now_ms > order.expires_ms:
                del self._orders[key]
        return set(self._orders)

    def keys_to_record(
        self, counted: Container[RunKey], now_ms: int
    ) -> list[RunKey]:
        """Returns the runs that a later leader cannot know of otherwise.

        The progress of jobs names the runs that count, and a later leader
        assumes that the order of each was sent once.

        Args:
          counted: the runs that count as possibly present on the endpoint.
          now_ms: monotonic time.
        """
        return [
            key
            for key in self.keys(now_ms)
            if key not in counted or self._orders[key].timed_out
        ]
