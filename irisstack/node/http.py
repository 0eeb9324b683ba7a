"""HTTP/1.1 without I/O: parses messages from a connection's buffer and serialises messages to bytes."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Generic, TypeVar

import httptools

from irisstack.node.buffer import Buffer

MAX_HEAD = 16 * 1024
"""Bytes of a message's first line and headers."""
MAX_BODY = 64 * 1024
"""Bytes of a message's body, in requests and answers."""
MAX_INTERIM = 16
"""Interim (1xx) answers before the final one."""
MAX_LIST = 16 * 1024 * 1024
"""Bytes of an endpoint list, which grows with the fleet."""


class BadMessage(Exception):
    """The bytes are no acceptable HTTP message; `status` is the answer to send."""

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        super().__init__(reason)
        self.status = status


P = TypeVar("P", httptools.HttpRequestParser, httptools.HttpResponseParser)


@dataclass(slots=True)
class Message:
    """A request or an answer."""

    headers: dict[str, str] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    keep_alive: bool = False
    method: str = ""
    path: str = ""
    status: int = 0


class _Reader(Generic[P]):
    """Incremental parser that consumes from the buffer no more than the present message."""

    def __init__(self, make_parser: Callable[["_Reader[P]"], P], max_body: int) -> None:
        self._make_parser: Callable[[_Reader[P]], P] = make_parser
        self.max_body = max_body
        self._reset()

    def _reset(self) -> None:
        self.message = Message()
        self.headers_complete = self._complete = False
        self._head_size = 0
        self._first_line_read = False
        self._body_left: int | None = None  # bytes still to come; None without a Content-Length
        self._chunked = False
        self._parser: P = self._make_parser(self)

    @property
    def started(self) -> bool:
        """Whether a part of a message has been read."""
        return self._head_size > 0

    def advance(self, buffer: Buffer) -> Message | None:
        """Consume what the buffer holds of the present message; returns it once it is complete.

        Raises `BadMessage`.
        """
        while not self._complete and (size := self._feedable(buffer)):
            if not self.headers_complete:
                self._head_size += size
                if self._head_size > MAX_HEAD:
                    raise BadMessage(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too long")
            try:
                self._parser.feed_data(buffer.take(size))
                self._first_line_read = True
            except httptools.HttpParserUpgrade:
                raise BadMessage(HTTPStatus.BAD_REQUEST, "no other protocol is spoken here") from None
            except httptools.HttpParserCallbackError as error:
                if isinstance(error.__context__, BadMessage):
                    raise error.__context__ from None
                raise BadMessage(HTTPStatus.BAD_REQUEST, str(error)) from None
            except httptools.HttpParserError as error:
                raise BadMessage(HTTPStatus.BAD_REQUEST, str(error)) from None
        if not self._complete:
            return None
        whole = self.message
        self._reset()
        return whole

    def _feedable(self, buffer: Buffer) -> int:
        """Bytes of the buffer that can be fed without running past the end of the message."""
        if self.headers_complete and not self._chunked:
            return len(buffer) if self._body_left is None else min(len(buffer), self._body_left)
        size = buffer.line_length()
        if not size and len(buffer) > (self.max_body if self.headers_complete else 0) + MAX_HEAD:
            status = (
                HTTPStatus.BAD_REQUEST
                if self.headers_complete
                else HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            )
            raise BadMessage(status, "a line is too long")
        return size

    # Callbacks of httptools:

    def on_header(self, name: bytes, value: bytes) -> None:
        """Join repeated headers with commas; trailers after a chunked body are ignored."""
        if not self.headers_complete:
            key, text = name.decode("latin-1").lower(), value.decode("latin-1")
            earlier = self.message.headers.get(key)
            self.message.headers[key] = text if earlier is None else f"{earlier}, {text}"

    def on_headers_complete(self) -> None:
        self.headers_complete = True
        headers = self.message.headers
        self._chunked = "chunked" in headers.get("transfer-encoding", "").lower()
        self.message.keep_alive = self._parser.should_keep_alive()
        length = headers.get("content-length")
        if length is not None and not self._chunked:
            self._body_left = int(length)
            if self._body_left > self.max_body:
                raise BadMessage(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long")

    def on_body(self, body: bytes) -> None:
        self.message.body += body
        if self._body_left is not None:
            self._body_left -= len(body)
        if len(self.message.body) > self.max_body:
            raise BadMessage(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long")

    def on_message_complete(self) -> None:
        self._complete = True


class RequestReader(_Reader[httptools.HttpRequestParser]):
    """Parses requests of a client."""

    def __init__(self) -> None:
        super().__init__(httptools.HttpRequestParser, MAX_BODY)

    def on_url(self, url: bytes) -> None:
        self.message.path += url.decode("latin-1")

    def on_headers_complete(self) -> None:
        self.message.method = self._parser.get_method().decode("latin-1")
        super().on_headers_complete()


class ResponseReader(_Reader[httptools.HttpResponseParser]):
    """Parses answers of an endpoint or the platform."""

    def __init__(self, max_body: int = MAX_BODY) -> None:
        super().__init__(httptools.HttpResponseParser, max_body)
        self._interim = 0  # interim answers so far

    def on_headers_complete(self) -> None:
        self.message.status = self._parser.get_status_code()
        super().on_headers_complete()

    def advance(self, buffer: Buffer) -> Message | None:
        """As for any message; interim (1xx) answers are skipped."""
        while (message := super().advance(buffer)) is not None:
            if message.status >= HTTPStatus.OK:
                self._interim = 0
                return message
            self._interim += 1
            if self._interim > MAX_INTERIM:
                raise BadMessage(HTTPStatus.BAD_REQUEST, "too many answers ahead")
        return None

    def finish_at_eof(self) -> Message | None:
        """The answer that ends with the connection, having neither length nor chunks; else `None`."""
        if self.headers_complete and self._body_left is None and not self._chunked:
            return self.message
        return None

    @property
    def status_is_ok(self) -> bool:
        """Whether the status line of an unfinished answer says 200, which stands whatever follows."""
        return self._first_line_read and self._parser.get_status_code() == HTTPStatus.OK

    def take_body(self) -> bytes:
        """Remove and return the part of a streamed body that has been received."""
        taken = bytes(self.message.body)
        self.message.body.clear()
        return taken


def request(
    method: str, path: str, host: str, headers: Iterable[tuple[str, str]] = (), body: bytes = b""
) -> bytes:
    """Serialise a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", *(f"{name}: {value}" for name, value in headers)]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def response(
    status: HTTPStatus, headers: Iterable[tuple[str, str]] = (), body: bytes = b"", close: bool = False
) -> bytes:
    """Serialise an answer; `close` announces that the connection ends after it."""
    lines = [f"HTTP/1.1 {status.value} {status.phrase}", *(f"{name}: {value}" for name, value in headers)]
    if close:
        lines.append("Connection: close")
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
