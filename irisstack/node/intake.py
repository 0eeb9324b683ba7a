"""Clients: their connections, the messages they hand in, and what they may ask of the node itself."""

import json
import math
import time
from collections.abc import Callable
from contextlib import suppress
from http import HTTPStatus
from typing import Any

import structlog
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from irisstack import interface as api
from irisstack.node import http, sockets
from irisstack.node.buffer import Buffer
from irisstack.node.config import HostPort
from irisstack.node.counters import Counters
from irisstack.node.decider import Arrival

BACKLOG = 512
LINGER = 1.0
"""Seconds in which a connection that is being closed may still bring what was under way."""
SLOW = 30.0
"""Seconds a client may take over one request."""
LONGEST_NAME = 256

log = structlog.get_logger()


class _Malformed(Exception):
    """A request that can be parsed but says what it may not."""


class _Connection:
    """One client's connection: a request at a time, each answered before the next is read."""

    def __init__(self, intake: "Intake", sock: socket.socket) -> None:
        self._intake = intake
        self._socket = sock
        self._buffer = Buffer()
        self._reader = http.RequestReader()
        self._answered = Event()
        self._close = False
        self.idle_since: float | None = None  # None while a request is in hand

    def serve(self) -> None:
        try:
            self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._serve()
            self._finish()
        except OSError:
            pass  # the client is gone; a message it waited for was withdrawn when its answer failed
        finally:
            self._socket.close()

    def _serve(self) -> None:
        """Answer one request after another until the connection is to be closed."""
        try:
            while not self._close and (request := self._next()) is not None:
                self._close = not request.keep_alive or self._intake.stopping
                self._handle(request)
                self._close = self._close or self._intake.stopping
        except http.BadMessage as error:
            self._intake.counters.add("unreadable")
            self._close = True
            self._write(error.status, f"{error}\n".encode())
        except OSError:
            raise
        except Exception as error:  # whatever it is, a request that was read is answered
            log.error("request_failed", error=repr(error))
            self._close = True
            self._write(HTTPStatus.INTERNAL_SERVER_ERROR)

    def _next(self) -> http.Message | None:
        """The next request, or nothing if the connection ends between requests."""
        try:
            while (request := self._reader.advance(self._buffer)) is None:
                expects = self._reader.message.headers.pop("expect", "") if self._reader.head_done else ""
                if expects == "100-continue":
                    self._socket.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
                begun = self._reader.started or len(self._buffer) > 0
                self._socket.settimeout(SLOW if begun else None)
                self.idle_since = None if begun else time.monotonic()
                if not self._buffer.receive(self._socket):
                    if begun:
                        raise http.BadMessage(HTTPStatus.BAD_REQUEST, "the request ended early")
                    return None
        except TimeoutError:
            raise http.BadMessage(HTTPStatus.REQUEST_TIMEOUT, "the request took too long") from None
        finally:
            self.idle_since = None
        return request

    def _handle(self, request: http.Message) -> None:
        path, _, _ = request.path.partition("?")
        if path in ("/healthz", "/counters"):
            if request.method != "GET":
                self._write(HTTPStatus.METHOD_NOT_ALLOWED)
            elif path == "/healthz":
                self._write(HTTPStatus.OK, b"ok\n")
            else:
                self._write(HTTPStatus.OK, json.dumps(self._intake.counters.snapshot()).encode() + b"\n")
            return
        name = path[1:].partition("/")[0]
        if name not in self._intake.classes:
            self._write(HTTPStatus.NOT_FOUND)
            return
        if request.method != "POST":
            self._write(HTTPStatus.METHOD_NOT_ALLOWED)
            return
        try:
            arrival = self._intake.arrival(request, name, self)
        except _Malformed as error:
            self._intake.counters.add("malformed")
            self._write(HTTPStatus.BAD_REQUEST, f"{error}\n".encode())
            return
        self._answered.clear()
        self._intake.post(arrival)
        self._answered.wait()

    def answer(self, status: HTTPStatus, retry_after: float | None = None) -> bool:
        """Write the answer to the message in hand; returns whether the client was there to hear it.

        A client that has left gets a refusal all the same: should it still be listening, it may come again.
        """
        here = not sockets.left(self._socket)
        try:
            self._write(status if here else HTTPStatus.SERVICE_UNAVAILABLE, retry_after=retry_after)
        except OSError:
            here = False
        self._intake.counters.add(f"answered_{status.value}" if here else "clients_left")
        self._close = self._close or not here
        self._answered.set()
        return here

    def _write(self, status: HTTPStatus, body: bytes = b"", retry_after: float | None = None) -> None:
        headers = [("Retry-After", f"{retry_after:.3f}")] if retry_after else []
        data = http.answer(status, headers, body, self._close)
        # An answer is far smaller than a socket's buffer: one that does not fit finds nobody reading.
        self._socket.settimeout(0.0)
        if self._socket.send(data) < len(data):
            raise BlockingIOError
        self._socket.settimeout(None)

    def _finish(self) -> None:
        """End our side first and read what is under way, so that no answer is lost to a reset."""
        self._socket.shutdown(socket.SHUT_WR)
        self._socket.settimeout(LINGER)
        end = time.monotonic() + LINGER
        while time.monotonic() < end and self._socket.recv(65536):
            pass

    def stop(self) -> None:
        """Close the connection if it waits for a request; one that has just come is still answered."""
        if self.idle_since is not None:
            with suppress(OSError):
                self._socket.shutdown(socket.SHUT_RD)


class Intake:
    """The listening socket and its connections."""

    def __init__(self, listen: HostPort, settings: api.Settings, post: Callable[[Arrival], None],
                 counters: Counters, most: int) -> None:
        self.post = post
        self.classes = {kind.name: i for i, kind in enumerate(settings.classes)}
        self._kinds = settings.classes
        self._tenants = {tenant.name: i for i, tenant in enumerate(settings.tenants)}
        self._most = most
        self._connections: dict[int, _Connection] = {}
        self._server = StreamServer(listen, self._serve, backlog=BACKLOG, spawn=most)
        self.counters = counters
        self.stopping = False

    def start(self) -> None:
        self._server.start()

    @property
    def address(self) -> HostPort:
        """Where it listens."""
        assert self._server.server_port is not None
        return str(self._server.server_host), self._server.server_port

    def stop(self) -> None:
        """Go on accepting, but keep no connection beyond the request in hand."""
        self.stopping = True
        for connection in list(self._connections.values()):
            connection.stop()

    def close(self) -> None:
        self._server.stop(timeout=0)

    def _serve(self, sock: socket.socket, _: Any) -> None:
        connection = _Connection(self, sock)
        self._connections[id(connection)] = connection
        if len(self._connections) >= self._most:
            self._close_idle()
        try:
            connection.serve()
        finally:
            del self._connections[id(connection)]

    def _close_idle(self) -> None:
        """Make room for the next client: the connection idle longest goes."""
        idle = [c for c in self._connections.values() if c.idle_since is not None]
        if idle:
            min(idle, key=lambda c: c.idle_since or 0.0).stop()

    def arrival(self, request: http.Message, name: str, client: _Connection) -> Arrival:
        """The message that a request hands in, of the class that its path names."""
        if request.headers.get("x-priority-class", name) != name:
            raise _Malformed("X-Priority-Class: not the class that the path names")
        index = self.classes[name]
        key = _word(request, "Idempotency-Key")
        if self._kinds[index].effect is api.Effect.KEYED and not key:
            raise _Malformed("Idempotency-Key: due in this class")
        id_ = _word(request, "X-Request-ID")
        if not id_:
            raise _Malformed("X-Request-ID: due")
        tenant = request.headers.get("x-tenant-id", "")
        if tenant and self._tenants and tenant not in self._tenants:
            raise _Malformed("X-Tenant-Id: unknown")
        retried = request.headers.get("x-retried", "")
        return Arrival(client, id_, key, index, self._tenants.get(tenant, 0), _destination(request),
                       time.monotonic() + _seconds(request), retried == "1", retried == "again",
                       bytes(request.body))


def _word(request: http.Message, name: str) -> str:
    """A header that passes on unchanged, also as a word of a shared call's lines; empty if absent."""
    text = request.headers.get(name.lower(), "")
    if len(text) > LONGEST_NAME or not text.isascii() or any(c <= " " or c == "\x7f" for c in text):
        raise _Malformed(f"{name}: one word of at most {LONGEST_NAME} printable characters is due")
    return text


def _seconds(request: http.Message) -> float:
    try:
        left = float(request.headers.get("x-timeout", ""))
    except ValueError:
        left = math.nan
    if not 0.0 <= left < 1e6:
        raise _Malformed("X-Timeout: seconds are due")
    return left


def _destination(request: http.Message) -> int:
    for item in request.headers.get("x-consignee", "").split(","):
        name, _, value = item.strip().partition("=")
        if name == "dest" and value.isascii() and value.isdigit():
            return int(value)
    raise _Malformed("X-Consignee: dest=NUMBER is due")
