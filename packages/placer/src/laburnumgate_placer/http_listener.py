"""Accepts the connections of `http_server`.

`loop.create_server` of uvloop accepts one client in an iteration of the event
loop. While connections keep the loop busy, an iteration takes milliseconds, and
callers wait for seconds behind clients that come back whenever they are closed.
"""

import asyncio
from collections.abc import Callable
import contextlib
import logging
import socket

from laburnumgate_core import connections

from laburnumgate_placer import events

_LOGGER = logging.getLogger(__name__)

BACKLOG = 1_024
# Clients accepted in one iteration of the event loop. What the others have sent
# is read before the next ones are accepted, so that newcomers do not take the
# place of a connection whose request is already there.
ACCEPTS_PER_TURN = 32
# Pause if the process or the machine has no descriptor left.
_NO_DESCRIPTOR_PAUSE_S = 0.5


class Listener:
    """Listens on one address."""

    def __init__(self, name: str, connect: Callable[[], asyncio.BaseProtocol]):
        """Creates a listener.

        Args:
          name: its name in logs.
          connect: returns the protocol of a new connection.
        """
        self._name = name
        self._connect = connect
        self._socket: socket.socket | None = None
        self._setups: set[asyncio.Task] = set()
        self._pause: asyncio.TimerHandle | None = None

    @property
    def port(self) -> int:
        """The port on which it listens."""
        return self._socket.getsockname()[1]

    @property
    def connecting(self) -> int:
        """The number of accepted clients that have no connection yet."""
        return len(self._setups)

    def open(self, ip: str, port: int) -> None:
        """Starts to listen; needs a running event loop.

        Raises:
          OSError: if the address cannot be used.
        """
        self._socket = _listen(ip, port)
        self._resume()

    def close(self) -> None:
        """Stops to listen; connections stay open."""
        if self._pause is not None:
            self._pause.cancel()
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def _resume(self) -> None:
        asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            try:
                accepted, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionError:
                # The client has gone meanwhile.
                continue
            except OSError as error:
                self._wait_for_descriptors(error)
                return
            accepted.setblocking(False)
            task = asyncio.create_task(self._set_up(accepted))
            self._setups.add(task)
            task.add_done_callback(self._setups.discard)

    async def _set_up(self, accepted: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._connect, accepted)
        except Exception as error:  # Must not end quietly with the task.
            events.emit(
                _LOGGER,
                events.Event.TASK_FAILED,
                task=f"{self._name} connection",
                reason=repr(error),
            )
            accepted.close()

    def _wait_for_descriptors(self, error: OSError) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket)
        self._pause = loop.call_later(_NO_DESCRIPTOR_PAUSE_S, self._resume)
        events.emit(
            _LOGGER,
            events.Event.ACCEPT_FAILED,
            listener=self._name,
            reason=repr(error),
        )


def _listen(ip: str, port: int) -> socket.socket:
    """Returns a socket that listens; connections inherit its small buffers."""
    with contextlib.ExitStack() as stack:
        listening = stack.enter_context(socket.socket())
        for level, option, value in (
            (socket.SOL_SOCKET, socket.SO_REUSEADDR, 1),
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (
                socket.SOL_SOCKET,
                socket.SO_RCVBUF,
                connections.RECEIVE_BUFFER_BYTES,
            ),
            (
                socket.SOL_SOCKET,
                socket.SO_SNDBUF,
                connections.SEND_BUFFER_BYTES,
            ),
        ):
            listening.setsockopt(level, option, value)
        listening.bind((ip, port))
        listening.listen(BACKLOG)
        listening.setblocking(False)
        stack.pop_all()
        return listening
