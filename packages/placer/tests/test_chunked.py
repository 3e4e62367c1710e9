"""Tests the decoder of chunked bodies."""

import random

from laburnumgate_placer import chunked
import pytest

_LIMIT = 1_000


def _decode(pieces, max_chunks=1_000):
    decoder = chunked.ChunkedDecoder(_LIMIT)
    out = bytearray()
    pending = b""
    for piece in pieces:
        pending += piece
        while True:
            end, chunks = decoder.decode(pending, 0, out, max_chunks)
            pending = pending[end:]
            if not chunks and not end:
                break
    return bytes(out), decoder, pending


def _encode(body, rng):
    encoded = b""
    while body:
        size = rng.randrange(1, 60)
        part, body = body[:size], body[size:]
        extension = rng.choice([b"", b";a=b", b' ;q="x y"'])
        encoded += f"{len(part):X}".encode() + extension + b"\r\n"
        encoded += part + b"\r\n"
    return encoded + b"0\r\n" + rng.choice([b"", b"A: b\r\nC: d\r\n"]) + b"\r\n"


@pytest.mark.parametrize("seed", range(30))
def test_a_body_is_decoded_however_it_is_cut(seed):
    """Guards against content that depends on the sizes of packets."""
    rng = random.Random(seed)
    body = rng.randbytes(rng.randrange(2_000))
    encoded = _encode(body, rng)
    pieces = []
    rest = encoded + b"GET / HTTP/1.1\r\n"
    while rest:
        size = rng.choice([1, 2, 7, 100, 5_000])
        pieces.append(rest[:size])
        rest = rest[size:]
    found, decoder, pending = _decode(pieces, rng.choice([1, 5, 1_000]))
    assert found == body
    assert decoder.done
    assert decoder.length == len(body)
    assert pending == b"GET / HTTP/1.1\r\n"


@pytest.mark.parametrize(
    "encoded",
    [
        b"x\r\n",
        b"\r\n",
        b"-1\r\n",
        b"0x1\r\na\r\n",
        b"1_0\r\n",
        b"1\na\r\n",
        b"2\r\nabc\r\n",
        b"fffffffff\r\n",
        b"1 a\r\n",
    ],
)
def test_malformed_framing_is_rejected(encoded):
    """Guards against two readings of where a request ends."""
    with pytest.raises(chunked.MalformedError):
        _decode([encoded])


@pytest.mark.parametrize(
    "encoded",
    [
        b"1;" + b"e" * (_LIMIT + 1),
        b"0\r\n" + b"A: b\r\n" * _LIMIT,
        b"0\r\nA: " + b"b" * (_LIMIT + 1),
    ],
)
@pytest.mark.parametrize("size", [1, 100, 100_000])
def test_endless_framing_is_rejected(encoded, size):
    """Guards against extensions and trailers that are kept in memory."""
    pieces = [encoded[i : i + size] for i in range(0, len(encoded), size)]
    with pytest.raises(chunked.FramingTooLongError):
        _decode(pieces)


def test_the_work_of_one_call_is_limited():
    """Guards against tiny chunks that delay the event loop."""
    decoder = chunked.ChunkedDecoder(_LIMIT)
    encoded = b"1\r\nx\r\n" * 5_000
    out = bytearray()
    end, chunks = decoder.decode(encoded, 0, out, 100)
    assert chunks == 100
    assert 99 <= len(out) <= 100
    assert end < 1_000


def test_a_body_without_a_reader_is_not_kept():
    """Guards against memory for the bodies of refused requests."""
    decoder = chunked.ChunkedDecoder(_LIMIT)
    decoder.decode(b"3\r\nabc\r\n0\r\n\r\n", 0, None, 100)
    assert decoder.done
    assert decoder.length == 3
