"""HTTP/1.1 server for clients that are not controlled.

`connections.ConnectionTable` decides which connections stay and what they may
send; the server closes those that yield and shares out the time of the event
loop in small slices, so that no client delays its other tasks.
"""

import asyncio
import collections
import logging
import os
import pathlib

from laburnumgate_core import connections

from laburnumgate_placer import events
from laburnumgate_placer import http_connection
from laburnumgate_placer import http_listener
from laburnumgate_placer import metrics

_LOGGER = logging.getLogger(__name__)

# All connections are read through one buffer of this size.
_READ_BYTES = 16_384
# Work in one iteration of the event loop: the number of chunks to decode, about
# 2 ms.
_WORK_PER_TURN = 2_000
# Part of it that one connection may use before others have their turn.
_WORK_PER_SLICE = 200
_TICK_S = 1.0
_CLOSE_POLL_INTERVAL_S = 0.02
# Time in which the responses to interrupted requests are sent.
_INTERRUPTED_ANSWER_S = 0.2
_STATM_PATH = pathlib.Path("/proc/self/statm")
_EXPECTED_REASONS = (connections.Reason.IDLE, connections.Reason.DRAINED)


class Server:
    """Listens on one address."""

    def __init__(
        self,
        name: str,
        application: http_connection.Application,
        table: connections.ConnectionTable,
    ):
        """Creates a server.

        Args:
          name: name of the listener in metrics and logs.
          application: handles the requests.
          table: decides on the connections.
        """
        self.name = name
        self.application = application
        self.table = table
        self.stopping = False
        self.tasks: set[asyncio.Task] = set()
        self.interrupt_at_s: float | None = None
        self.timeouts: set[asyncio.Timeout] = set()
        self.read_buffer = bytearray(_READ_BYTES)
        self._connections: set[http_connection.Connection] = set()
        self._waiting: collections.deque[http_connection.Connection] = (
            collections.deque()
        )
        self._work_left = _WORK_PER_TURN
        self._turn_scheduled = False
        self._listener = http_listener.Listener(
            name, lambda: http_connection.Connection(self)
        )
        self._ticker: asyncio.Task | None = None
        self._closed_by_reason: collections.Counter = collections.Counter()

    @property
    def port(self) -> int:
        """The port on which the server listens."""
        return self._listener.port

    @property
    def requests(self) -> int:
        """The number of requests that are being handled."""
        return self.table.count(connections.Phase.HANDLING)

    async def start(self, ip: str, port: int) -> None:
        """Starts to listen.

        Raises:
          OSError: if the address cannot be used.
        """
        self._listener.open(ip, port)
        self._ticker = asyncio.create_task(self._tick_loop())

    def close(self) -> None:
        """Stops to listen; connections stay open."""
        self._listener.close()

    async def stop(self, timeout_s: float) -> None:
        """Closes idle connections immediately and others after their response.

        An idle connection that stayed open while the server shuts down could
        still receive a request, which would be read but never answered.

        Args:
          timeout_s: time after which unfinished requests are interrupted, in
            s. The call returns at most 0.4 s later, also if a request does not
            end.
        """
        loop = asyncio.get_running_loop()
        self.stopping = True
        self.interrupt_at_s = loop.time() + timeout_s
        for timeout in self.timeouts:
            if not timeout.expired():
                timeout.reschedule(self.interrupt_at_s)
        close_at_s = self.interrupt_at_s + _INTERRUPTED_ANSWER_S
        while loop.time() < close_at_s:
            if not self._connections and not self._listener.connecting:
                break
            for connection in list(self._connections):
                connection.close_if_idle()
                if loop.time() >= self.interrupt_at_s:
                    connection.interrupt_reading()
            await asyncio.sleep(_CLOSE_POLL_INTERVAL_S)
        for connection in list(self._connections):
            connection.abort()
        self._ticker.cancel()
        # Lets the event loop close the sockets.
        await asyncio.sleep(0)

    def add(self, connection: http_connection.Connection) -> bool:
        """Admits a new connection; returns False if it has to be closed."""
        decision = self.table.opened(connection)
        self.apply(decision)
        if not decision.granted:
            self.count(connections.Reason.TOO_MANY)
            return False
        self._connections.add(connection)
        return True

    def remove(self, connection: http_connection.Connection) -> None:
        """Forgets a connection that is closed."""
        self._connections.discard(connection)

    def apply(self, decision: connections.Decision) -> bool:
        """Closes the connections that yield; returns if the other may go on."""
        for close in decision.closes:
            self._close(close)
        return decision.granted

    def count(self, reason: connections.Reason) -> None:
        """Counts a refused request or a closed connection."""
        labels = {"listener": self.name, "reason": reason.value}
        metrics.REFUSED_CONNECTIONS.inc(labels)
        if reason not in _EXPECTED_REASONS:
            self._closed_by_reason[reason] += 1

    def run(self, connection: http_connection.Connection) -> None:
        """Lets a connection process its input, now or when its turn comes."""
        if self._work_left > 0 and not self._waiting:
            self._advance(connection)
        elif connection.wait_for_turn():
            self._waiting.append(connection)
        if not self._turn_scheduled:
            self._turn_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._turn_scheduled = False
        self._work_left = _WORK_PER_TURN
        while self._waiting and self._work_left > 0:
            self._advance(self._waiting.popleft())
        if self._waiting:
            self._turn_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_turn)

    def _advance(self, connection: http_connection.Connection) -> None:
        slice_work = min(self._work_left, _WORK_PER_SLICE)
        work, unfinished = connection.advance(slice_work)
        self._work_left -= work
        if not unfinished:
            connection.resume_reading()
        elif connection.wait_for_turn():
            self._waiting.append(connection)

    def _close(self, close: connections.Close) -> None:
        self.count(close.reason)
        close.key.give_up(close.phase)

    def tick(self) -> None:
        """Closes connections whose time is over, and reports on the others."""
        if self.table.adapts:
            _observe_process(self.table)
        for close in self.table.expired():
            self._close(close)
        labels = {"listener": self.name}
        metrics.CONNECTIONS.set(labels, len(self.table))
        metrics.CONNECTION_BYTES.set(labels, self.table.held_bytes)
        if not self._closed_by_reason:
            return
        counts = {r.value: n for r, n in self._closed_by_reason.items()}
        self._closed_by_reason.clear()
        events.emit(
            _LOGGER,
            events.Event.CONNECTIONS_REFUSED,
            listener=self.name,
            counts=counts,
            connections=len(self.table),
            held_bytes=self.table.held_bytes,
            budget_bytes=self.table.budget_bytes,
        )

    async def _tick_loop(self) -> None:
        _observe_process(self.table)
        while True:
            await asyncio.sleep(_TICK_S)
            try:
                self.tick()
            except Exception as error:  # Later connections must end as well.
                events.emit(
                    _LOGGER,
                    events.Event.TASK_FAILED,
                    task=f"{self.name} connections",
                    reason=repr(error),
                )


def _observe_process(table: connections.ConnectionTable) -> None:
    """Reports the resident memory of this process to a table."""
    try:
        pages = int(_STATM_PATH.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        # The table then counts connections only.
        return
    table.observe_process(pages * os.sysconf("SC_PAGE_SIZE"))
