"""Tests how clients are accepted."""

import asyncio
import errno
import logging
import socket

import builders
from laburnumgate_core import clock
from laburnumgate_core import connections
from laburnumgate_placer import events
from laburnumgate_placer import http_listener
from laburnumgate_placer import http_server
import pytest
import uvloop

_CLIENTS = 200
_LIMITS = connections.ConnectionLimits(connections=_CLIENTS)


@pytest.mark.parametrize(
    "new_event_loop", [asyncio.new_event_loop, uvloop.new_event_loop]
)
def test_waiting_clients_are_accepted_in_batches(new_event_loop):
    """Guards against callers that wait for seconds behind other clients.

    One client was accepted in an iteration of uvloop. As many as wait at once
    would let newcomers take places before what others have sent is read.
    """
    counts = []

    async def play():
        table = connections.ConnectionTable(_LIMITS, clock.ManualClock())
        server = http_server.Server("test", None, table)
        await server.start("127.0.0.1", 0)
        address = ("127.0.0.1", server.port)
        clients = [socket.create_connection(address) for _ in range(_CLIENTS)]
        for _ in range(40):
            before = len(table)
            await asyncio.sleep(0)
            counts.append(len(table) - before)
        server.close()
        await server.stop(0.1)
        for client in clients:
            client.close()

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(play())
    assert sum(counts) == _CLIENTS
    assert max(counts) <= 64


class _Socket:
    """A listening socket of a process without free descriptors.

    Attributes:
      exhausted: whether there is none.
      attempts: number of calls of `accept`.
    """

    def __init__(self, listening):
        self._listening = listening
        self.exhausted = True
        self.attempts = 0

    def accept(self):
        self.attempts += 1
        if self.exhausted:
            raise OSError(errno.EMFILE, "too many open files")
        return self._listening.accept()

    def __getattr__(self, name):
        return getattr(self._listening, name)


def test_a_process_without_descriptors_accepts_later(monkeypatch, caplog):
    """Guards against a loop that only tries to accept, or never does again."""
    caplog.set_level(logging.WARNING)
    monkeypatch.setattr(http_listener, "_NO_DESCRIPTOR_PAUSE_S", 0.05)
    listen = http_listener._listen
    monkeypatch.setattr(
        http_listener, "_listen", lambda *address: _Socket(listen(*address))
    )
    connected = []

    class Protocol(asyncio.Protocol):
        def connection_made(self, transport):
            connected.append(transport)

    async def play():
        listener = http_listener.Listener("test", Protocol)
        listener.open("127.0.0.1", 0)
        _, writer = await asyncio.open_connection("127.0.0.1", listener.port)
        while listener._socket.attempts < 2:
            await asyncio.sleep(0.01)
        assert not connected
        listener._socket.exhausted = False
        while not connected:
            await asyncio.sleep(0.01)
        listener.close()
        writer.close()
        for transport in connected:
            transport.close()

    builders.run(play())
    number = events.Event.ACCEPT_FAILED.number
    failures = [r for r in caplog.records if getattr(r, "event", 0) == number]
    assert len(failures) == 2


def test_a_listener_that_waits_for_descriptors_can_be_closed(monkeypatch):
    """Guards against a closed listener that starts to listen again."""
    monkeypatch.setattr(http_listener, "_NO_DESCRIPTOR_PAUSE_S", 0.01)
    listen = http_listener._listen
    monkeypatch.setattr(
        http_listener, "_listen", lambda *address: _Socket(listen(*address))
    )

    async def play():
        listener = http_listener.Listener("test", asyncio.Protocol)
        listener.open("127.0.0.1", 0)
        _, writer = await asyncio.open_connection("127.0.0.1", listener.port)
        listening = listener._socket
        while not listening.attempts:
            await asyncio.sleep(0.001)
        listener.close()
        attempts = listening.attempts
        await asyncio.sleep(0.05)
        assert listening.attempts == attempts
        writer.close()

    builders.run(play())
