"""Requests and responses of `http_server`, and their form on the wire."""

import dataclasses
import email.utils
import http
import urllib.parse

import httptools
import orjson

HEAD_END = b"\r\n\r\n"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """The head of a request.

    Attributes:
      method: its method.
      path: its path, decoded and without the query.
      fields: values of the header fields by lower-case name.
      length: length of the body in bytes, None if it is chunked.
      keep_alive: whether the connection may be used for further requests.
    """

    method: str
    path: str
    fields: dict[str, str]
    length: int | None
    keep_alive: bool

    @property
    def hostname(self) -> str:
        """The host that the client asks for, without a port."""
        return self.fields.get("host", "").partition(":")[0]


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A response; the connection is closed after it if `close` is set."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    fields: tuple[tuple[str, str], ...] = ()
    close: bool = False


class _Head:
    """Collects the parts of a head from the parser."""

    def __init__(self):
        self.target = b""
        self.fields: dict[str, str] = {}
        self.completed = 0
        self.has_more = False
        self.keep_alive = False
        self.parser = httptools.HttpRequestParser(self)

    def on_url(self, part: bytes) -> None:
        self.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.decode("latin-1").lower()
        text = value.decode("utf-8", "surrogateescape")
        if key in self.fields:
            text = f"{self.fields[key]}, {text}"
        self.fields[key] = text

    def on_headers_complete(self) -> None:
        self.completed += 1
        # The parser forgets it at the end of a request without a body.
        self.keep_alive = bool(self.parser.should_keep_alive())

    def on_body(self, part: bytes) -> None:
        self.has_more = True


def parse_head(data: bytes) -> Request | None:
    """Parses a head that ends with an empty line; None if it is invalid."""
    head = _Head()
    try:
        head.parser.feed_data(data)
    except httptools.HttpParserUpgrade:
        pass
    except httptools.HttpParserError:
        return None
    finally:
        method = head.parser.get_method()
        keep_alive = head.keep_alive
        # Breaks the reference cycle.
        head.parser = None
    # The parser may see an earlier end of the head.
    if head.completed != 1 or head.has_more:
        return None
    path = _path(head.target)
    encoding = head.fields.get("transfer-encoding")
    length_text = head.fields.get("content-length", "0")
    if path is None:
        return None
    if encoding is not None and encoding.lower() != "chunked":
        return None
    if encoding is not None and "content-length" in head.fields:
        return None
    if not (length_text.isascii() and length_text.isdigit()):
        return None
    return Request(
        method.decode("latin-1"),
        path,
        head.fields,
        None if encoding is not None else int(length_text),
        keep_alive,
    )


def _path(target: bytes) -> str | None:
    try:
        raw = httptools.parse_url(target).path or b"/"
    except httptools.HttpParserInvalidURLError:
        return None
    return urllib.parse.unquote(raw.decode("latin-1"))


def error_response(status: int, reason: str, **fields: str) -> Response:
    """Returns a response that explains a refusal in JSON.

    Args:
      status: its status.
      reason: why the request is refused.
      **fields: header fields, with underscores for hyphens.
    """
    return Response(
        status,
        orjson.dumps({"error": reason}),
        fields=tuple(
            (n.replace("_", "-").title(), v) for n, v in fields.items()
        ),
    )


def encode(response: Response, close: bool, with_body: bool) -> bytes:
    """Returns a response as bytes.

    Args:
      response: the response.
      close: whether the connection is closed after it.
      with_body: False for the response to a HEAD request.
    """
    lines = [
        f"HTTP/1.1 {response.status} {http.HTTPStatus(response.status).phrase}",
        f"Content-Type: {response.content_type}",
        f"Content-Length: {len(response.body)}",
        f"Date: {email.utils.formatdate(usegmt=True)}",
        f"Connection: {'close' if close else 'keep-alive'}",
        *(f"{name}: {value}" for name, value in response.fields),
    ]
    head = "\r\n".join(lines).encode() + HEAD_END
    return head + response.body if with_body else head
