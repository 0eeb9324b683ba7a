"""Clients: their connections, the messages they hand in, and what they may ask of the node itself."""

import errno
import json
import math
import re
import time
from collections.abc import Callable, Collection
from contextlib import suppress
from enum import Enum, auto
from http import HTTPStatus
from typing import Any

import gevent
import structlog
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from irisstack import interface as api
from irisstack.node import http, sockets
from irisstack.node.buffer import Buffer
from irisstack.node.config import HostPort
from irisstack.node.counters import Counters
from irisstack.node.decider import Arrival, come_again
from irisstack.node.listen_filter import drop_new_connections

BACKLOG = 512
ACCEPTS_PER_TURN = 16
"""Connections accepted in one step, so that a flood of them leaves the others their turn."""
MAX_ACCEPT_PAUSE = 0.04
"""Seconds from an accept that failed to the next at most: a client waits for its answer for a short time."""
ABORTED_ACCEPT_ERRORS = frozenset((errno.ECONNABORTED, errno.EPROTO, errno.EINTR))
"""Of an accept: the client has gone, or nothing is wrong; the next may wait already."""
MAX_ABORTED_ACCEPTS = 64
"""So many of these in a row leave the others their turn."""
BACKLOG_TIMEOUT = 0.5
"""Seconds in which the backlog has to be accepted at the end."""
HANDSHAKE_TIMEOUT = 0.05
"""Seconds in which a connection that has been begun by then comes up."""
WHOLE_BY = 2.5
"""Seconds in which a request must be whole: the first from connecting, a later one from its first byte."""
ANSWER_WRITE_TIMEOUT = 1.0
"""Seconds in which the rest of an answer that was begun has to be taken."""
MALFORMED_PAUSE = 0.1
"""Seconds until a connection that brought what cannot be taken is read from again."""
LINGER_TIMEOUT = 3.0
"""Seconds in which a connection that is being closed may still bring what was under way."""
LINGER_BYTES = 64 * 1024 * 1024
"""How much of that is read and thrown away, so that no reset eats the answer."""
MAX_HEADER_VALUE = 256
SECONDS_PATTERN = re.compile(r"[0-9]{1,6}(\.[0-9]{0,9})?")
NUMBER_PATTERN = re.compile(r"[0-9]{1,9}")

log = structlog.get_logger()
_discard_buffer = bytearray(256 * 1024)


class _MalformedRequest(Exception):
    """A request that can be parsed but says what it may not."""


class Stage(Enum):
    """What the doorway is at. It goes through them once, in this order."""

    ACCEPTING = auto()  # messages are taken on
    DRAINING = auto()  # clients still come, and each hears in one answer that nothing is taken on any more
    CLOSED = auto()  # nobody comes any more; those still here get their answer


class _Phase(Enum):
    """What a connection is at; the value tells for how long before it may be closed to make room.

    In the order in which they go. A client whose request is with the decider is never cut off.
    """

    LEAVING = 0.0  # answered, and read from for the last time
    IDLE = 2.0  # between two requests
    FRESH = 0.2  # connected and silent
    READING = 1.0  # a part of a request has come
    WAITING = math.inf  # a whole request has come


class _CloseReason(Enum):
    """Why a client's connection ends."""

    CLIENT_ENDED = "client_ended_or_stayed_silent"
    CLIENT_GONE = "client_gone"
    LAST_ANSWER = "last_answer"
    STOPPED = "ended_at_rest"  # to make room, or since the node stops
    UNREADABLE = "unreadable_request"


class _Connection:
    """One client's connection: a request at a time, each answered before the next is read."""

    def __init__(self, intake: "Intake", sock: socket.socket) -> None:
        self._intake = intake
        self._socket = sock
        self._buffer = Buffer()
        self._reader = http.RequestReader()
        self._answered = Event()
        self._close_after_answer = False
        self.phase = _Phase.FRESH
        self.stopped = False
        self._stop_wakeup = False  # by that, with an error that means no more
        self.phase_since = time.monotonic()
        self._reason = _CloseReason.CLIENT_ENDED
        self._unsent = b""  # of an answer that was begun

    @property
    def _is_last_answer(self) -> bool:
        """Whether the answer in hand, or the one before, is the last on this connection."""
        return self._close_after_answer or self._intake.stage is not Stage.ACCEPTING

    def _enter_phase(self, phase: _Phase) -> None:
        if phase is not self.phase:
            self.phase, self.phase_since = phase, time.monotonic()

    def serve(self) -> None:
        try:
            with suppress(OSError):
                self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._serve()
            self._close_gracefully()
        except OSError as error:  # the client is gone; a message it waited for was withdrawn already
            self._reason = _CloseReason.CLIENT_GONE
            log.debug("client_gone", error=str(error))
        finally:
            self._socket.close()
            log.debug("client_closed", reason=self._reason.value, phase=self.phase.name)

    def _serve(self) -> None:
        """Answer one request after another until the connection is to be closed."""
        try:
            while (request := self._read_request()) is not None:
                self._enter_phase(_Phase.WAITING)
                self._close_after_answer = not request.keep_alive or self.stopped
                if self.stopped:  # it crossed the end of a connection at rest: its client sends it once more
                    self._write(HTTPStatus.SERVICE_UNAVAILABLE, retry_after=self._intake.retry_after)
                else:
                    self._handle(request)
                self._send_unsent()
                if self._is_last_answer:
                    self._reason = _CloseReason.STOPPED if self.stopped else _CloseReason.LAST_ANSWER
                    return
                gevent.sleep(0)  # requests that lie ready must not keep the others from their turn
        except http.BadMessage as error:
            self._intake.counters.add("unreadable")
            self._reason = _CloseReason.UNREADABLE
            self._close_after_answer = True
            self._write(error.status, f"{error}\n".encode())
        except OSError:
            raise
        except Exception as error:  # whatever it is, a request that was read is answered
            log.error("request_failed", error=repr(error))
            self._close_after_answer = True
            self._write(HTTPStatus.INTERNAL_SERVER_ERROR)

    def _read_request(self) -> http.Message | None:
        """The next request, or nothing if the connection ends, or stays silent, before it begins."""
        first = self.phase is _Phase.FRESH
        deadline = self.phase_since + WHOLE_BY if first else None
        while (request := self._reader.advance(self._buffer)) is None:
            started = self._reader.started or len(self._buffer) > 0
            if started:
                self._enter_phase(_Phase.READING)
                deadline = deadline or self.phase_since + WHOLE_BY
                self._send_continue()
                gevent.sleep(0)
            elif not first:
                self._enter_phase(_Phase.IDLE)
            try:
                self._socket.settimeout(deadline and max(0.001, deadline - time.monotonic()))
                received = self._buffer.receive(self._socket)
            except TimeoutError:
                if not started:
                    return None
                raise http.BadMessage(HTTPStatus.REQUEST_TIMEOUT, "the request took too long") from None
            except OSError:
                if not self._stop_wakeup:
                    raise
                self._stop_wakeup = False  # what came before the end of our reading is still to be had
                continue
            if not received:
                if not started:
                    return None
                if self.stopped:
                    raise http.BadMessage(HTTPStatus.SERVICE_UNAVAILABLE, "the connection was to end")
                raise http.BadMessage(HTTPStatus.BAD_REQUEST, "the request ended early")
            if deadline is not None and time.monotonic() > deadline:
                raise http.BadMessage(HTTPStatus.REQUEST_TIMEOUT, "the request took too long")
        return request

    def _send_continue(self) -> None:
        """Ask for the body where the client waits to be asked."""
        if self._reader.headers_complete and self._reader.message.headers.pop("expect", "") == "100-continue":
            self._socket.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _handle(self, request: http.Message) -> None:
        path, _, _ = request.path.partition("?")
        if path in ("/healthz", "/counters"):
            if request.method != "GET":
                self._reject_malformed(HTTPStatus.METHOD_NOT_ALLOWED)
            elif path == "/healthz":
                self._write(HTTPStatus.OK, b"ok\n")
            else:
                self._write(HTTPStatus.OK, json.dumps(self._intake.counters.snapshot()).encode() + b"\n")
            return
        name = path[1:].partition("/")[0]
        if name not in self._intake.classes:
            self._reject_malformed(HTTPStatus.NOT_FOUND)
            return
        if request.method != "POST":
            self._reject_malformed(HTTPStatus.METHOD_NOT_ALLOWED)
            return
        try:
            arrival = self._intake.make_arrival(request, name, self)
        except _MalformedRequest as error:
            self._reject_malformed(HTTPStatus.BAD_REQUEST, f"{error}\n".encode())
            return
        self._answered.clear()
        self._intake.post(arrival)
        self._answered.wait()

    def _reject_malformed(self, status: HTTPStatus, reason: bytes = b"") -> None:
        """Answer what cannot be taken on, and give the others time before the next of it."""
        self._intake.counters.add("malformed")
        self._write(status, reason)
        if not self._is_last_answer:
            gevent.sleep(MALFORMED_PAUSE)

    def answer(self, status: HTTPStatus, retry_after: float | None = None) -> bool:
        """Write the answer to the message in hand; returns whether the client was there to hear it.

        A client that has left gets a refusal all the same: should it still be listening, it may come again.
        """
        connected = not sockets.peer_closed(self._socket)
        try:
            self._write(status if connected else HTTPStatus.SERVICE_UNAVAILABLE, retry_after=retry_after)
        except OSError:
            connected = False
        self._intake.counters.add(f"answered_{status.value}" if connected else "clients_left")
        self._close_after_answer = self._close_after_answer or not connected
        self._answered.set()
        return connected

    def _write(self, status: HTTPStatus, body: bytes = b"", retry_after: float | None = None) -> None:
        headers = [("Retry-After", f"{retry_after:.3f}")] if retry_after else []
        data = http.response(status, headers, body, self._is_last_answer)
        # The system may take an answer in parts. It is far smaller than a socket's buffer: one that does not
        # even begin finds nobody reading. The rest of one that was begun is sent by the connection's own
        # greenlet, so that others do not wait for it.
        self._socket.settimeout(0.0)
        size = len(data)
        try:
            while data:
                data = data[self._socket.send(data) :]
        except BlockingIOError:
            if len(data) == size:
                raise
            self._unsent = data
        self._socket.settimeout(None)

    def _send_unsent(self) -> None:
        """Send what the system did not take of an answer that was begun."""
        unsent, self._unsent = self._unsent, b""
        if unsent:
            self._socket.settimeout(ANSWER_WRITE_TIMEOUT)
            self._socket.sendall(unsent)

    def reject(self) -> None:
        """No room for another client: one that sent its request at once may still read why."""
        try:
            self._close_after_answer = True
            self._write(HTTPStatus.SERVICE_UNAVAILABLE, retry_after=self._intake.retry_after)
            self._socket.shutdown(socket.SHUT_WR)
            self._socket.settimeout(0.0)
            self._socket.recv_into(_discard_buffer)
        except OSError:
            pass  # nothing has come, or the client is gone
        finally:
            self._socket.close()

    def _close_gracefully(self) -> None:
        """End our side first and read what is under way, so that no answer is lost to a reset."""
        self._send_unsent()
        self._enter_phase(_Phase.LEAVING)
        self._socket.shutdown(socket.SHUT_WR)
        end, bytes_left = self.phase_since + LINGER_TIMEOUT, LINGER_BYTES
        while bytes_left > 0 and (wait := end - time.monotonic()) > 0.0:
            self._socket.settimeout(wait)
            received = self._socket.recv_into(_discard_buffer)
            if not received:
                break
            bytes_left -= received
            gevent.sleep(0)

    def stop(self) -> None:
        """End a connection that is missed least; a request that is not whole yet is not taken on.

        The end of our reading wakes who waits for it with an error, also when bytes lie there unread: closed
        over them, the connection would be reset and a request end with no answer.
        """
        self.stopped = self._stop_wakeup = True
        with suppress(OSError):
            self._socket.shutdown(socket.SHUT_RD)


class _Listener(StreamServer):
    """Accepts connections, through failures that pass."""

    max_accept = ACCEPTS_PER_TURN
    min_delay, max_delay = 0.005, MAX_ACCEPT_PAUSE

    def do_read(self) -> Any:
        """The next connection, or nothing if none waits; a client that gave up in the backlog is passed."""
        for _ in range(MAX_ABORTED_ACCEPTS):
            try:
                return super().do_read()
            except OSError as error:
                if error.errno not in ABORTED_ACCEPT_ERRORS:
                    raise
        return None

    def accept_backlog(self) -> None:
        """Have the system let nobody in, and accept all that it has; gives up on what keeps failing."""
        # Whoever came between the last accept and the close would be reset, and a request lost with it.
        drop_new_connections(self.socket)
        gevent.sleep(HANDSHAKE_TIMEOUT)
        end = time.monotonic() + BACKLOG_TIMEOUT
        while time.monotonic() < end:
            try:
                client = self.do_read()
            except OSError:
                gevent.sleep(self.min_delay)
                continue
            if client is None:
                return
            self.do_handle(*client)


class Intake:
    """The listening socket and its connections."""

    def __init__(
        self,
        listen: HostPort,
        settings: api.Settings,
        post: Callable[[Arrival], None],
        counters: Counters,
        max_connections: int,
    ) -> None:
        self.post = post
        self.update_settings(
            settings,
            {message_class.name for message_class in settings.classes},
            {tenant.name for tenant in settings.tenants},
        )
        self._max_connections = max_connections
        self._connections: dict[int, _Connection] = {}
        self._server = _Listener(listen, self._serve, backlog=BACKLOG)
        self.counters = counters
        self.stage = Stage.ACCEPTING

    def update_settings(
        self, settings: api.Settings, classes: Collection[str], tenants: Collection[str]
    ) -> None:
        """Take new messages on in these classes, for these tenants, whose positions the settings tell."""
        self.classes = {
            message_class.name: i
            for i, message_class in enumerate(settings.classes)
            if message_class.name in classes
        }
        self._message_classes = settings.classes
        self._tenants = {
            tenant.name: i for i, tenant in enumerate(settings.tenants) if tenant.name in tenants
        }
        self.retry_after = come_again(settings)

    def start(self) -> None:
        self._server.start()

    @property
    def address(self) -> HostPort:
        """Where it listens."""
        assert self._server.server_port is not None
        return str(self._server.server_host), self._server.server_port

    @property
    def no_clients(self) -> bool:
        """Whether every client that came has been answered and has gone."""
        return not self._connections

    def drain(self) -> None:
        """Go on accepting, but give each connection one answer at most; those at rest end now.

        One that has yet to bring its first request keeps its time for it: closed in silence, that request
        would be lost.
        """
        self.stage = Stage.DRAINING
        for connection in list(self._connections.values()):
            if connection.phase is _Phase.IDLE:
                connection.stop()

    def close(self) -> None:
        """Accept no more, but all that the system has let in: closing over them would reset them."""
        if self.stage is Stage.CLOSED:
            return
        self.stage = Stage.CLOSED
        self._server.accept_backlog()
        self._server.close()

    def _serve(self, sock: socket.socket, _: Any) -> None:
        connection = _Connection(self, sock)
        if len(self._connections) >= self._max_connections and not self._make_room():
            self.counters.add("clients_turned_away")
            connection.reject()
            return
        self._connections[id(connection)] = connection
        try:
            connection.serve()
        finally:
            del self._connections[id(connection)]

    def _make_room(self) -> bool:
        """For the next client, let the one go that is missed least; returns whether there is one.

        At the last, one idle for less than its due: a request that crosses its close comes again, while a
        newcomer turned away may not.
        """
        now = time.monotonic()
        for phase, min_age in (*((phase, phase.value) for phase in _Phase), (_Phase.IDLE, 0.0)):
            candidates = [
                c
                for c in self._connections.values()
                if c.phase is phase and not c.stopped and c.phase_since + min_age <= now
            ]
            if candidates:
                min(candidates, key=lambda c: c.phase_since).stop()
                return True
        return False

    def make_arrival(self, request: http.Message, name: str, client: _Connection) -> Arrival:
        """The message that a request hands in, of the class that its path names."""
        if request.headers.get("x-priority-class", name) != name:
            raise _MalformedRequest("X-Priority-Class: not the class that the path names")
        index = self.classes[name]
        key = _header_word(request, "Idempotency-Key")
        if self._message_classes[index].effect is api.Effect.KEYED and not key:
            raise _MalformedRequest("Idempotency-Key: due in this class")
        id_ = _header_word(request, "X-Request-ID")
        if not id_:
            raise _MalformedRequest("X-Request-ID: due")
        tenant = request.headers.get("x-tenant-id", "")
        if tenant and self._tenants and tenant not in self._tenants:
            raise _MalformedRequest("X-Tenant-Id: unknown")
        retried = request.headers.get("x-retried", "")
        timeout = min(_timeout_seconds(request), self._message_classes[index].deadline)
        return Arrival(
            client,
            id_,
            key,
            index,
            self._tenants.get(tenant, 0),
            _destination(request),
            time.monotonic() + timeout,
            retried == "1",
            retried == "again",
            bytes(request.body),
        )


def _header_word(request: http.Message, name: str) -> str:
    """A header that passes on unchanged, also as a word of a shared call's lines; empty if absent."""
    text = request.headers.get(name.lower(), "")
    if len(text) > MAX_HEADER_VALUE or not text.isascii() or any(c <= " " or c == "\x7f" for c in text):
        raise _MalformedRequest(f"{name}: one word of at most {MAX_HEADER_VALUE} printable characters is due")
    return text


def _timeout_seconds(request: http.Message) -> float:
    text = request.headers.get("x-timeout", "")
    if not SECONDS_PATTERN.fullmatch(text):
        raise _MalformedRequest("X-Timeout: seconds are due")
    return float(text)


def _destination(request: http.Message) -> int:
    for item in request.headers.get("x-consignee", "").split(","):
        name, _, value = item.strip().partition("=")
        if name == "dest" and NUMBER_PATTERN.fullmatch(value):
            return int(value)
    raise _MalformedRequest("X-Consignee: dest=NUMBER is due")
