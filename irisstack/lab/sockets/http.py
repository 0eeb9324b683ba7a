"""Requests out of bytes, and answers into bytes, for the stand-ins; httptools does the parsing."""

from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus

import httptools


@dataclass(slots=True, frozen=True)
class Request:
    """One whole request; names of headers in lower case."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes


@dataclass(slots=True, frozen=True)
class Reply:
    """One whole answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    keep_alive: bool


class _Collector:
    """What a parser has told of the message it is in."""

    def __init__(self) -> None:
        self.target = ""
        self.headers: dict[str, str] = {}
        self.parts: list[bytes] = []
        self.done = False

    def on_message_begin(self) -> None:
        self.target, self.headers, self.parts = "", {}, []

    def on_url(self, url: bytes) -> None:
        self.target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.parts.append(body)

    def on_message_complete(self) -> None:
        self.done = True


class RequestReader:
    """Requests of one connection, one at a time."""

    def __init__(self) -> None:
        self._told = _Collector()
        self._parser = httptools.HttpRequestParser(self._told)

    def feed(self, data: bytes) -> Request | None:
        """Take bytes; a request once it is whole. Raises `httptools.HttpParserError`."""
        self._parser.feed_data(data)
        if not self._told.done:
            return None
        self._told.done = False
        return Request(
            self._parser.get_method().decode("latin-1"),
            self._told.target,
            self._told.headers,
            b"".join(self._told.parts),
        )


class ReplyReader:
    """Answers of one connection, one at a time."""

    def __init__(self) -> None:
        self._told = _Collector()
        self._parser = httptools.HttpResponseParser(self._told)

    def feed(self, data: bytes) -> Reply | None:
        """Take bytes; an answer once it is whole. Raises `httptools.HttpParserError`."""
        self._parser.feed_data(data)
        if not self._told.done:
            return None
        self._told.done = False
        return Reply(
            self._parser.get_status_code(),
            self._told.headers,
            b"".join(self._told.parts),
            self._parser.should_keep_alive(),
        )


def reply(status: int, headers: Mapping[str, str] | None = None, body: bytes = b"") -> bytes:
    """An answer as bytes."""
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if status != HTTPStatus.NO_CONTENT:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def request(method: str, target: str, host: str, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """A request as bytes."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
