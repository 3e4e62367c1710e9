"""Decodes chunked bodies with bounded memory and bounded work per call."""

import enum
import re

# Chunk extensions are skipped, as are trailers.
_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\r\n]*)?\r\n")
_LINE_END = b"\r\n"


class MalformedError(Exception):
    """The framing of a body is invalid."""


class FramingTooLongError(Exception):
    """A chunk's size line or the trailers are longer than allowed."""


class _State(enum.Enum):
    SIZE = enum.auto()
    DATA = enum.auto()
    DATA_END = enum.auto()
    TRAILERS = enum.auto()
    DONE = enum.auto()


class ChunkedDecoder:
    """Decodes one body.

    Attributes:
      length: bytes of the body that were decoded.
    """

    def __init__(self, framing_limit: int):
        """Creates a decoder.

        Args:
          framing_limit: maximum length of a chunk's size line, and of all
            trailers, in bytes.
        """
        self.length = 0
        self._framing_limit = framing_limit
        self._state = _State.SIZE
        # Bytes of the chunk that are still to come.
        self._left = 0
        self._trailer_bytes = 0

    @property
    def done(self) -> bool:
        """Whether the body has ended."""
        return self._state is _State.DONE

    def decode(
        self, data: bytes, start: int, out: bytearray | None, max_chunks: int
    ) -> tuple[int, int]:
        """Decodes what is complete in `data`, at most `max_chunks` chunks.

        Args:
          data: bytes received.
          start: index of the first one that is not decoded yet.
          out: receives the content, None to drop it.
          max_chunks: maximum number of chunks to decode.

        Returns:
          The index of the first byte that was not decoded, which has to be
          passed again, and the number of chunks that were decoded.

        Raises:
          MalformedError: if the framing is invalid.
          FramingTooLongError: if a line is longer than the limit.
        """
        chunks = 0
        while chunks < max_chunks and start < len(data):
            match self._state:
                case _State.SIZE:
                    found = _SIZE_LINE.match(data, start)
                    if found is None:
                        self._check_partial_line(data, start)
                        break
                    self._left = int(found[1], 16)
                    start = found.end()
                    chunks += 1
                    self._state = _State.DATA if self._left else _State.TRAILERS
                case _State.DATA:
                    taken = min(self._left, len(data) - start)
                    if out is not None:
                        out += memoryview(data)[start : start + taken]
                    start += taken
                    self.length += taken
                    self._left -= taken
                    if not self._left:
                        self._state = _State.DATA_END
                case _State.DATA_END:
                    if len(data) - start < len(_LINE_END):
                        break
                    if not data.startswith(_LINE_END, start):
                        raise MalformedError("a chunk is longer than its size")
                    start += len(_LINE_END)
                    self._state = _State.SIZE
                case _State.TRAILERS:
                    end = data.find(_LINE_END, start)
                    if end < 0:
                        self._check_partial_line(data, start)
                        break
                    self._trailer_bytes += end - start
                    if self._trailer_bytes > self._framing_limit:
                        raise FramingTooLongError("the trailers are too long")
                    chunks += 1
                    if end == start:
                        self._state = _State.DONE
                    start = end + len(_LINE_END)
                case _State.DONE:
                    break
        return start, chunks

    def _check_partial_line(self, data: bytes, start: int) -> None:
        """Raises an error if no further bytes can complete the line."""
        pending = len(data) - start + self._trailer_bytes
        if pending > self._framing_limit:
            raise FramingTooLongError("a line of the framing is too long")
        if self._state is _State.SIZE and b"\n" in data[start:]:
            raise MalformedError("a chunk has no valid size")
