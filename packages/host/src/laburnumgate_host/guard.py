"""Limits what connections of callers hold together.

The HTTP library limits each request; `connections.ConnectionTable` decides
which connections stay when all of them hold too much.
"""

import asyncio

from laburnumgate_core import connections
import sanic
from sanic.server.protocols import http_protocol

# The library keeps an object for each chunk of a body.
_BYTES_PER_BYTE = 4
_TICK_S = 1.0


class GuardedProtocol(http_protocol.HttpProtocol):
    """A connection that is closed when its table says so.

    Attributes:
      table: the table of all connections; set before the server starts.
    """

    table: connections.ConnectionTable

    __slots__ = ("_received_bytes",)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Implements `asyncio.BaseProtocol`."""
        self._received_bytes = 0
        super().connection_made(transport)
        if not _apply(self.table.opened(self)):
            transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Implements `asyncio.BaseProtocol`."""
        self.table.closed(self)
        super().connection_lost(error)

    def data_received(self, data: bytes) -> None:
        """Implements `asyncio.Protocol`."""
        if not self._received_bytes:
            self.table.enter(self, connections.Phase.BODY)
        self._received_bytes += len(data)
        held = self._received_bytes * _BYTES_PER_BYTE
        if _apply(self.table.received(self, len(data), held)):
            super().data_received(data)
        else:
            # Any request on it is incomplete or can be sent again.
            self.transport.abort()

    def handling(self) -> None:
        """Reports that the request was received; it may wait for a change."""
        decision = self.table.enter(
            self, connections.Phase.HANDLING, self._received_bytes
        )
        if not _apply(decision):
            self.transport.abort()

    async def send(self, data: bytes) -> None:
        """Sends a part of a response, which ends the request."""
        self._received_bytes = 0
        self.table.enter(self, connections.Phase.IDLE)
        await super().send(data)


def track_requests(app: sanic.Sanic) -> None:
    """Reports requests that were received to their connections."""

    @app.middleware("request")
    async def note_received(request: sanic.Request):
        request.stream.protocol.handling()


async def tick_loop(table: connections.ConnectionTable) -> None:
    """Closes connections whose time is over until cancelled."""
    while True:
        await asyncio.sleep(_TICK_S)
        for close in table.expired():
            close.key.abort()


def _apply(decision: connections.Decision) -> bool:
    for close in decision.closes:
        close.key.abort()
    return decision.granted
