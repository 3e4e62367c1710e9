"""Schedules the renewal of task leases by endpoint."""

import heapq

# A third of the task lease, so that two renewals may fail before it expires.
RENEW_EVERY_MS = 20_000
# Interval of retries while an endpoint has not confirmed a renewal.
RENEW_RETRY_MS = 5_000


class RenewalSchedule:
    """Due times by endpoint, in a heap.

    The cost of `take_due` depends on the number of endpoints that are due, not
    on the number of all endpoints.
    """

    def __init__(self):
        self._due_by_endpoint: dict[str, int] = {}
        self._heap: list[tuple[int, str]] = []

    def add(self, endpoint_id: str, due_ms: int) -> None:
        """Schedules the endpoint at `due_ms` unless it is due earlier."""
        known_ms = self._due_by_endpoint.get(endpoint_id)
        if known_ms is None or due_ms < known_ms:
            self._put(endpoint_id, due_ms)

    def postpone(self, endpoint_id: str, due_ms: int) -> None:
        """Moves the due time of a known endpoint."""
        if endpoint_id in self._due_by_endpoint:
            self._put(endpoint_id, due_ms)

    def take_due(self, now_ms: int) -> list[str]:
        """Removes and returns the endpoints that are due."""
        due = []
        while self._heap and self._heap[0][0] <= now_ms:
            due_ms, endpoint_id = heapq.heappop(self._heap)
            if self._due_by_endpoint.get(endpoint_id) != due_ms:
                continue
            del self._due_by_endpoint[endpoint_id]
            due.append(endpoint_id)
        return due

    def clear(self) -> None:
        """Removes every endpoint."""
        self._due_by_endpoint.clear()
        self._heap.clear()

    def _put(self, endpoint_id: str, due_ms: int) -> None:
        self._due_by_endpoint[endpoint_id] = due_ms
        heapq.heappush(self._heap, (due_ms, endpoint_id))
