"""One connection of `http_server`: reads, parses and answers requests."""

import asyncio
from collections.abc import Coroutine
import logging
import re
from typing import TYPE_CHECKING
from typing import Protocol

from laburnumgate_core import connections

from laburnumgate_placer import chunked
from laburnumgate_placer import events
from laburnumgate_placer import http_messages

if TYPE_CHECKING:
    from laburnumgate_placer import http_server

_LOGGER = logging.getLogger(__name__)

# Work counts as the number of chunks whose decoding takes as long.
_HEAD_WORK = 50
_BYTES_PER_WORK = 1_024
# Longest body of a request that needs none.
_MAX_IGNORED_BYTES = 65_536
# A refused client that sends more than this is cut off.
_MAX_DRAINED_BYTES = 1 << 20
_EMPTY_LINES = re.compile(rb"(?:\r\n)*")
_NO_MEMORY_TEXT = "the host has no memory for the request"
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Application(Protocol):
    """Handles the requests of a server."""

    def admit(
        self, request: http_messages.Request
    ) -> int | http_messages.Response:
        """Decides on a request before its body is read.

        Returns:
          The maximum length of the body in bytes, 0 to ignore the body, or a
          refusal.
        """
        ...

    def refuse(
        self, request: http_messages.Request, status: int, reason: str
    ) -> http_messages.Response:
        """Returns the response to an admitted request that is not handled."""
        ...

    async def refuse_unread(
        self, request: http_messages.Request, reason: str
    ) -> http_messages.Response:
        """Returns the response to a request for which there is no memory.

        It says that the request has no effect only if that is certain.
        """
        ...

    async def respond(
        self, request: http_messages.Request, body: bytes
    ) -> http_messages.Response:
        """Handles a request."""
        ...

    def interrupted(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        """Returns the response to a request that the shutdown interrupts."""
        ...

    def unsent(
        self, request: http_messages.Request, response: http_messages.Response
    ) -> None:
        """Takes note of a response whose client has gone."""
        ...


class Connection(asyncio.BufferedProtocol):
    """One connection; handles one request after the other."""

    __slots__ = (
        "_body",
        "_body_length",
        "_body_limit",
        "_close_after_write",
        "_decoder",
        "_discarding",
        "_drained_bytes",
        "_empty_line_bytes",
        "_input",
        "_keeps_body",
        "_phase",
        "_reading",
        "_request",
        "_server",
        "_start",
        "_table",
        "_transport",
        "_writing_paused",
    )

    def __init__(self, server: "http_server.Server"):
        self._server = server
        self._table = server.table
        self._transport: asyncio.Transport | None = None
        self._phase = connections.Phase.IDLE
        self._reading = True
        self._writing_paused = False
        self._close_after_write = False
        # Bytes that were received; those from `_start` on are not processed.
        self._input = b""
        self._start = 0
        self._empty_line_bytes = 0
        self._drained_bytes = 0
        self._request: http_messages.Request | None = None
        self._body = bytearray()
        self._body_length = 0
        self._body_limit = 0
        self._decoder: chunked.ChunkedDecoder | None = None
        self._keeps_body = False
        # Whether the request was refused, so that its body is dropped.
        self._discarding = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Implements `asyncio.BaseProtocol`."""
        self._transport = transport
        # With this limit `pause_writing` is called unless a response was
        # passed to the kernel completely.
        transport.set_write_buffer_limits(high=0)
        if not self._server.add(self):
            transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Implements `asyncio.BaseProtocol`."""
        self._transport = None
        self._drop_input()
        self._server.remove(self)
        # A request that is being handled holds its memory until its end.
        if self._phase is not connections.Phase.HANDLING:
            self._table.closed(self)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Implements `asyncio.BufferedProtocol`."""
        return self._server.read_buffer

    def buffer_updated(self, size: int) -> None:
        """Implements `asyncio.BufferedProtocol`."""
        if self._phase is connections.Phase.DRAINING:
            self._drained_bytes += size
            if self._drained_bytes > _MAX_DRAINED_BYTES:
                self.abort()
            return
        data = bytes(memoryview(self._server.read_buffer)[:size])
        self._input = self._input[self._start :] + data
        self._start = 0
        if self._phase is connections.Phase.IDLE:
            self._enter(connections.Phase.HEAD)
        if not self._is_receiving():
            # A further request, before the response to the one in progress.
            if not self._pause_reading():
                self._server.count(connections.Reason.NO_MEMORY)
                self.abort()
            return
        held = len(self._input) + len(self._body)
        decision = self._table.received(self, size, held)
        if not self._server.apply(decision):
            self._refuse_for_memory()
        if self._is_receiving():
            self._server.run(self)

    def eof_received(self) -> bool:
        """Keeps the connection open until its request has been answered."""
        if self._phase in (
            connections.Phase.HANDLING,
            connections.Phase.SENDING,
        ):
            self._close_after_write = True
            return True
        waiting = self._start < len(self._input) and not self._reading
        self._close_after_write |= waiting
        return waiting

    def pause_writing(self) -> None:
        """Implements `asyncio.BaseProtocol`."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Implements `asyncio.BaseProtocol`."""
        self._writing_paused = False
        if self._phase is connections.Phase.SENDING:
            self._finish_response()
            self._proceed()

    def advance(self, max_work: int) -> tuple[int, bool]:
        """Processes received bytes.

        Args:
          max_work: work after which to stop, in chunks.

        Returns:
          The work that was done, and whether more can be done now.
        """
        work = 0
        while self._is_receiving() and self._start < len(self._input):
            if work >= max_work:
                return work, True
            if self._phase is connections.Phase.BODY:
                done = self._take_body(max_work - work)
            else:
                done = self._take_head()
            if not done:
                break
            work += done
        return work, False

    def wait_for_turn(self) -> bool:
        """Stops reading until the next turn; returns False if refused."""
        if self._pause_reading():
            return True
        if self._discarding:
            self.abort()
        else:
            self._refuse_for_memory()
        return False

    def resume_reading(self) -> None:
        """Reads again, unless a request is in progress."""
        if self._reading or self._transport is None:
            return
        if self._phase in (
            connections.Phase.HANDLING,
            connections.Phase.SENDING,
        ):
            return
        self._reading = True
        self._table.resumed(self)
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def give_up(self, phase: connections.Phase) -> None:
        """Closes the connection, with a response if one is awaited."""
        if self._transport is None:
            return
        awaited = phase is connections.Phase.HEAD or (
            phase is connections.Phase.BODY and not self._discarding
        )
        if awaited:
            response = http_messages.error_response(
                408, "the request took too long"
            )
            self._write(response, close=True)
        self._drop_input()
        if awaited and not self._writing_paused:
            self._transport.close()
        else:
            self._transport.abort()

    def abort(self) -> None:
        """Closes the connection immediately."""
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Closes the connection if no request has begun."""
        if self._transport is not None and self._phase in (
            connections.Phase.IDLE,
            connections.Phase.DRAINING,
        ):
            self._transport.close()

    def interrupt_reading(self) -> None:
        """Closes the connection if its request has not been read."""
        if self._transport is None or not self._is_receiving():
            return
        if self._phase is connections.Phase.BODY and not self._discarding:
            response = self._server.application.interrupted(self._request)
            self._write(response, close=True)
        self._drop_input()
        self._transport.close()

    def _is_receiving(self) -> bool:
        return (
            self._transport is not None
            and not self._transport.is_closing()
            and self._phase
            in (
                connections.Phase.IDLE,
                connections.Phase.HEAD,
                connections.Phase.BODY,
            )
        )

    def _enter(self, phase: connections.Phase, payload: int = 0) -> bool:
        """Changes the phase; returns if the connection may go on in it."""
        self._phase = phase
        return self._server.apply(self._table.enter(self, phase, payload))

    def _pause_reading(self) -> bool:
        if not self._reading or self._transport.is_closing():
            return True
        self._reading = False
        self._transport.pause_reading()
        return self._server.apply(self._table.paused(self))

    def _proceed(self) -> None:
        """Processes what was received while a request was in progress."""
        if self._is_receiving() and self._start < len(self._input):
            self._server.run(self)
        else:
            self.resume_reading()

    def _drop_input(self) -> None:
        self._input = b""
        self._start = 0
        self._body = bytearray()

    def _take_head(self) -> int:
        """Parses a head if it is complete; returns the work, 0 if it is not."""
        if self._phase is connections.Phase.IDLE:
            self._enter(connections.Phase.HEAD, len(self._input) - self._start)
        begin = _EMPTY_LINES.match(self._input, self._start).end()
        self._empty_line_bytes += begin - self._start
        self._start = begin
        end = self._input.find(http_messages.HEAD_END, begin)
        length = (len(self._input) if end < 0 else end) - begin
        if self._empty_line_bytes + length > self._table.limits.head_bytes:
            self._reject(431, connections.Reason.HEAD_TOO_LONG)
            return _HEAD_WORK
        if end < 0:
            return 0
        self._start = end + len(http_messages.HEAD_END)
        self._empty_line_bytes = 0
        request = http_messages.parse_head(self._input[begin : self._start])
        if request is None:
            self._reject(400, connections.Reason.MALFORMED)
            return _HEAD_WORK
        self._request = request
        if request.length == 0:
            self._handle(b"")
        else:
            self._begin_body(request)
        return _HEAD_WORK

    def _begin_body(self, request: http_messages.Request) -> None:
        admitted = self._server.application.admit(request)
        self._body = bytearray()
        self._body_length = 0
        self._body_limit = _MAX_IGNORED_BYTES
        self._discarding = False
        self._decoder = None
        if request.length is None:
            self._decoder = chunked.ChunkedDecoder(
                self._table.limits.framing_bytes
            )
        if isinstance(admitted, http_messages.Response):
            self._enter(connections.Phase.BODY)
            self._refuse_body(admitted)
            return
        # The body of a request that needs none is read and dropped.
        self._keeps_body = admitted > 0
        if admitted:
            self._body_limit = admitted
        if (request.length or 0) > self._body_limit:
            self._refuse_long_body()
            return
        fits = self._enter(connections.Phase.BODY, request.length or 0)
        if not fits:
            self._refuse_for_memory()
            return
        # Only what has arrived counts from here on.
        self._server.apply(
            self._table.received(self, 0, len(self._input) - self._start)
        )
        expects = request.fields.get("expect", "").lower() == "100-continue"
        if expects and self._start == len(self._input):
            self._transport.write(_CONTINUE)

    def _take_body(self, max_work: int) -> int:
        """Takes bytes of the body; returns the work, 0 if there are too few."""
        before = self._start
        chunks = 0
        keeps = self._keeps_body and not self._discarding
        out = self._body if keeps else None
        if self._decoder is None:
            missing = self._request.length - self._body_length
            taken = min(missing, len(self._input) - before)
            if out is not None:
                out += memoryview(self._input)[before : before + taken]
            self._start += taken
            self._body_length += taken
            complete = taken == missing
        else:
            try:
                self._start, chunks = self._decoder.decode(
                    self._input, before, out, max_work
                )
            except chunked.MalformedError:
                self._reject(400, connections.Reason.MALFORMED)
                return 1
            except chunked.FramingTooLongError:
                self._reject(413, connections.Reason.BODY_TOO_LONG)
                return 1
            self._body_length = self._decoder.length
            complete = self._decoder.done
        if self._body_length > self._body_limit:
            self._refuse_long_body()
        elif complete:
            self._finish_body()
        elif self._start == before and not chunks:
            return 0
        return 1 + chunks + (self._start - before) // _BYTES_PER_WORK

    def _finish_body(self) -> None:
        if self._discarding:
            self._discarding = False
            self._finish_response()
            return
        body = bytes(self._body)
        self._body = bytearray()
        self._handle(body)

    def _handle(self, body: bytes) -> None:
        """Passes a complete request to the application."""
        if not self._enter(connections.Phase.HANDLING, len(body)):
            self._refuse_for_memory()
            return
        self._spawn(self._respond(self._request, body))

    async def _respond(
        self, request: http_messages.Request, body: bytes
    ) -> None:
        server = self._server
        try:
            async with asyncio.timeout_at(server.interrupt_at_s) as timeout:
                server.timeouts.add(timeout)
                try:
                    response = await server.application.respond(request, body)
                finally:
                    server.timeouts.discard(timeout)
        except TimeoutError:
            response = server.application.interrupted(request)
        except Exception as error:  # Must not leave the client waiting.
            events.emit(
                _LOGGER,
                events.Event.TASK_FAILED,
                task=f"{server.name} request",
                reason=repr(error),
            )
            response = http_messages.error_response(500, "the request failed")
        if self._transport is None or self._transport.is_closing():
            server.application.unsent(request, response)
            self._phase = connections.Phase.DRAINING
            self._table.closed(self)
            return
        self._send(response)
        self._proceed()

    def _refuse_long_body(self) -> None:
        self._server.count(connections.Reason.BODY_TOO_LONG)
        reason = f"the body is longer than {self._body_limit} bytes"
        self._send_and_drain(
            self._server.application.refuse(self._request, 413, reason)
        )

    def _refuse_for_memory(self) -> None:
        """Refuses the request that is being received."""
        if self._discarding:
            return
        self._server.count(connections.Reason.NO_MEMORY)
        if self._phase is connections.Phase.HEAD:
            # Nothing can be said about a request that is not known.
            self.abort()
            return
        self._drop_input()
        self._enter(connections.Phase.DRAINING)
        self.resume_reading()
        self._spawn(self._respond_unread(self._request))

    async def _respond_unread(self, request: http_messages.Request) -> None:
        application = self._server.application
        response = await application.refuse_unread(request, _NO_MEMORY_TEXT)
        if self._transport is None or self._transport.is_closing():
            application.unsent(request, response)
            return
        self._write(response, close=True)
        self._transport.write_eof()

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.create_task(work)
        self._server.tasks.add(task)
        task.add_done_callback(self._server.tasks.discard)

    def _refuse_body(self, response: http_messages.Response) -> None:
        """Responds before the body has arrived, which is then dropped."""
        self._body = bytearray()
        too_long = (self._request.length or 0) > _MAX_DRAINED_BYTES
        if response.close or too_long or "expect" in self._request.fields:
            self._send_and_drain(response)
            return
        self._discarding = True
        self._body_limit = max(self._body_limit, self._request.length or 0)
        self._close_after_write |= not self._request.keep_alive
        self._write(response, close=self._close_after_write)

    def _reject(self, status: int, reason: connections.Reason) -> None:
        """Responds to a request whose framing cannot be accepted."""
        self._server.count(reason)
        self._send_and_drain(http_messages.error_response(status, reason.value))

    def _send_and_drain(self, response: http_messages.Response) -> None:
        """Responds, then drops what still arrives for a while.

        A connection that is closed with unread bytes is reset, and the reset
        may overtake the response.
        """
        if not self._discarding:
            self._write(response, close=True)
        self._discarding = False
        self._drop_input()
        self._enter(connections.Phase.DRAINING)
        if not self._transport.is_closing():
            self._transport.write_eof()
        self.resume_reading()

    def _send(self, response: http_messages.Response) -> None:
        self._close_after_write |= (
            response.close
            or self._server.stopping
            or not self._request.keep_alive
        )
        size = self._write(response, close=self._close_after_write)
        if self._writing_paused:
            self._enter(connections.Phase.SENDING, size)
        else:
            self._finish_response()

    def _finish_response(self) -> None:
        """Prepares for the next request once the response was passed on."""
        if self._writing_paused:
            self._enter(connections.Phase.SENDING)
            return
        self._request = None
        if self._close_after_write:
            self._enter(connections.Phase.DRAINING)
            self._transport.close()
        elif self._start == len(self._input):
            self._drop_input()
            self._enter(connections.Phase.IDLE)
        else:
            self._enter(connections.Phase.HEAD, len(self._input) - self._start)

    def _write(self, response: http_messages.Response, close: bool) -> int:
        """Writes a response; returns its size in bytes."""
        with_body = self._request is None or self._request.method != "HEAD"
        data = http_messages.encode(response, close, with_body)
        self._transport.write(data)
        return len(data)
