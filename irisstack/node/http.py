"""HTTP/1.1 without I/O: parses messages from a connection's buffer and serialises them to bytes."""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Generic, TypeVar

import httptools

from irisstack.interface import MAX_BODY_BYTES
from irisstack.node.buffer import Buffer

MAX_HEAD = 16 * 1024
"""Maximum bytes of a message's first line and headers."""
MAX_BODY = MAX_BODY_BYTES
"""Maximum bytes of a message body, in requests and responses."""
MAX_INTERIM = 16
"""Maximum number of interim (1xx) responses before the final one."""
STATUS_LINE_START = "HTTP/"
FRAMING_HEADERS = ("content-length", "transfer-encoding")
"""Headers that every reader keeps, since it reads by them."""
MAX_LIST = 16 * 1024 * 1024
"""Maximum bytes of an endpoint list, which grows with the fleet."""


class BadMessage(Exception):
    """The received bytes are not an acceptable HTTP message; `status` is the status to answer with."""

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        super().__init__(reason)
        self.status = status


Parser = TypeVar("Parser", httptools.HttpRequestParser, httptools.HttpResponseParser)


@dataclass(slots=True)
class Message:
    """A request or a response. Header names are in lower case; only those that its reader keeps are here."""

    headers: dict[str, str] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    keep_alive: bool = False
    method: str = ""
    path: str = ""
    status: int = 0
    reason: str = ""
    """The reason phrase of a response."""
    status_line_in_headers: bool = False
    """Whether the value of any header of a response contains the start of a status line."""


class _Reader(Generic[Parser]):
    """Incremental parser that consumes no more of the buffer than the current message.

    What it has consumed of an incomplete message is small, but for the body: a peer may stop anywhere.
    """

    def __init__(
        self,
        make_parser: Callable[["_Reader[Parser]"], Parser],
        max_body: int,
        kept_headers: Collection[str] | None,
    ) -> None:
        """`kept_headers` are the names, in lower case, of the headers that the messages hold; `None` for all.

        A head of many short fields takes up thirty times its size once each field is an object.
        """
        self._make_parser: Callable[[_Reader[Parser]], Parser] = make_parser
        self.max_body = max_body
        self._kept_headers: frozenset[bytes] | None = None
        if kept_headers is not None:
            self._kept_headers = frozenset(name.encode() for name in {*FRAMING_HEADERS}.union(kept_headers))
        self.reset()

    def reset(self) -> None:
        """Drop what is held of an incomplete message; call it when its connection ends.

        The parser refers to its reader: without this, only a garbage collection would free the two.
        """
        self.message = Message()
        self.headers_complete = self._complete = False
        self._head_size = 0
        self._framing_size = 0  # bytes of a chunked body, other than data, since its last data
        self._first_line_read = False
        self._body_remaining: int | None = None  # bytes still to be received; None without a Content-Length
        self._chunked = False
        self._parser: Parser | None = None  # made for the first bytes of a message

    @property
    def started(self) -> bool:
        """Whether part of a message has been read."""
        return self._head_size > 0

    def advance(self, buffer: Buffer) -> Message | None:
        """Consume what the buffer holds of the current message; returns the message once it is complete.

        Raises `BadMessage`.
        """
        while not self._complete and (size := self._feed_size(buffer)):
            in_head, body_size = not self.headers_complete, len(self.message.body)
            if in_head:
                self._head_size += size
                if self._head_size > MAX_HEAD:
                    raise BadMessage(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too long")
            data = buffer.take(size)
            if self._parser is None:
                self._parser = self._make_parser(self)
            try:
                self._parser.feed_data(data)
                self._first_line_read = self._first_line_read or b"\n" in data
            except httptools.HttpParserUpgrade:
                raise BadMessage(HTTPStatus.BAD_REQUEST, "no other protocol is spoken here") from None
            except httptools.HttpParserCallbackError as error:
                if isinstance(error.__context__, BadMessage):
                    raise error.__context__ from None
                raise BadMessage(HTTPStatus.BAD_REQUEST, str(error)) from None
            except httptools.HttpParserError as error:
                raise BadMessage(HTTPStatus.BAD_REQUEST, str(error)) from None
            if self._chunked and not in_head:
                self._count_framing(size, len(self.message.body) - body_size)
        if not self._complete:
            return None
        message = self.message
        self.reset()
        return message

    def _feed_size(self, buffer: Buffer) -> int:
        """How many bytes of the buffer can be fed to the parser without passing the end of the message."""
        if self.headers_complete and not self._chunked:
            return len(buffer) if self._body_remaining is None else min(len(buffer), self._body_remaining)
        # Only an empty line can end the head or a chunked body. The first line goes by itself: its status
        # counts, whatever is behind it.
        size = buffer.paragraph_length() if self._first_line_read else buffer.line_length()
        return size or len(buffer)

    def _count_framing(self, size: int, data_size: int) -> None:
        """Count bytes of a chunked body that are not data, which no limit on the body bounds."""
        self._framing_size = size - data_size if data_size else self._framing_size + size
        if self._framing_size > MAX_HEAD:
            raise BadMessage(HTTPStatus.BAD_REQUEST, "a line is too long")

    # Callbacks of httptools:

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; repeated ones are joined with commas, trailers after a chunked body are ignored."""
        name = name.lower()
        if not self.headers_complete and (self._kept_headers is None or name in self._kept_headers):
            key, text = name.decode("latin-1"), value.decode("latin-1")
            previous = self.message.headers.get(key)
            self.message.headers[key] = text if previous is None else f"{previous}, {text}"

    def on_headers_complete(self) -> None:
        self.headers_complete = True
        headers = self.message.headers
        self._chunked = "chunked" in headers.get("transfer-encoding", "").lower()
        assert self._parser is not None
        self.message.keep_alive = self._parser.should_keep_alive()
        length = headers.get("content-length")
        if length is not None and not self._chunked:
            self._body_remaining = int(length)
            if self._body_remaining > self.max_body:
                raise BadMessage(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long")

    def on_body(self, body: bytes) -> None:
        self.message.body += body
        if self._body_remaining is not None:
            self._body_remaining -= len(body)
        if len(self.message.body) > self.max_body:
            raise BadMessage(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long")

    def on_message_complete(self) -> None:
        self._complete = True


class RequestReader(_Reader[httptools.HttpRequestParser]):
    """Parses requests from a client."""

    def __init__(self, kept_headers: Collection[str] | None = None) -> None:
        super().__init__(httptools.HttpRequestParser, MAX_BODY, kept_headers)

    def on_url(self, url: bytes) -> None:
        self.message.path += url.decode("latin-1")

    def on_headers_complete(self) -> None:
        assert self._parser is not None
        self.message.method = self._parser.get_method().decode("latin-1")
        super().on_headers_complete()


class ResponseReader(_Reader[httptools.HttpResponseParser]):
    """Parses responses from an endpoint or the platform."""

    def __init__(self, max_body: int = MAX_BODY, kept_headers: Collection[str] | None = None) -> None:
        super().__init__(httptools.HttpResponseParser, max_body, kept_headers)
        self._interim_count = 0  # interim responses before the current one

    def on_header(self, name: bytes, value: bytes) -> None:
        if STATUS_LINE_START.encode() in value:
            self.message.status_line_in_headers = True
        super().on_header(name, value)

    def on_status(self, reason: bytes) -> None:
        self.message.reason += reason.decode("latin-1")

    def on_headers_complete(self) -> None:
        assert self._parser is not None
        self.message.status = self._parser.get_status_code()
        super().on_headers_complete()

    def advance(self, buffer: Buffer) -> Message | None:
        """As in the base class; interim (1xx) responses are skipped."""
        while (message := super().advance(buffer)) is not None:
            if message.status >= HTTPStatus.OK:
                self._interim_count = 0
                return message
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM:
                raise BadMessage(HTTPStatus.BAD_REQUEST, "too many answers ahead")
        return None

    def finish_at_eof(self) -> Message | None:
        """The response if the end of the connection ends it (no length, not chunked), else `None`.

        Call this at the end of the stream.
        """
        if self.headers_complete and self._body_remaining is None and not self._chunked:
            return self.message
        return None

    @property
    def status_is_ok(self) -> bool:
        """Whether an unfinished response has status 200, which holds whatever follows."""
        return (
            self._parser is not None
            and self._first_line_read
            and self._parser.get_status_code() == HTTPStatus.OK
        )

    def take_body(self) -> bytes:
        """Remove and return the part of a streamed body received so far."""
        body = bytes(self.message.body)
        self.message.body.clear()
        return body


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
    """Serialise a response; `close` announces that the connection is closed after it."""
    lines = [f"HTTP/1.1 {status.value} {status.phrase}", *(f"{name}: {value}" for name, value in headers)]
    if close:
        lines.append("Connection: close")
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
