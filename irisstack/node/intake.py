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
from irisstack.node.decider import Submission, rejection_retry_after
from irisstack.node.listen_filter import let_nobody_in

BACKLOG = 512
ACCEPTS = 16
"""Connections accepted in one step, so that a flood of them leaves the others their turn."""
LONGEST_ACCEPT_PAUSE = 0.04
"""Seconds from an accept that failed to the next at most: a client waits for its answer for a short time."""
ABORTED = frozenset((errno.ECONNABORTED, errno.EPROTO, errno.EINTR))
"""Of an accept: the client has gone, or nothing is wrong; the next may wait already."""
MOST_ABORTED = 64
"""So many of these in a row leave the others their turn."""
ACCEPT_REST_WITHIN = 0.5
"""Seconds in which the backlog has to be accepted at the end."""
HANDSHAKE_WITHIN = 0.05
"""Seconds in which a connection that has been begun by then comes up."""
WHOLE_BY = 2.5
"""Seconds in which a request must be whole: the first from connecting, a later one from its first byte."""
REST_WITHIN = 1.0
"""Seconds in which the rest of an answer that was begun has to be taken."""
PAUSE = 0.1
"""Seconds until a connection that brought what cannot be taken is read from again."""
LINGER = 3.0
"""Seconds in which a connection that is being closed may still bring what was under way."""
LINGER_BYTES = 64 * 1024 * 1024
"""How much of that is read and thrown away, so that no reset eats the answer."""
LONGEST_NAME = 256
SECONDS = re.compile(r"[0-9]{1,6}(\.[0-9]{0,9})?")
NUMBER = re.compile(r"[0-9]{1,9}")

log = structlog.get_logger()
_thrown_away = bytearray(256 * 1024)


class _Malformed(Exception):
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
        self._close = False
        self.phase = _Phase.FRESH
        self.stopped = False
        self._woken = False  # by that, with an error that means no more
        self.since = time.monotonic()
        self._reason = _CloseReason.CLIENT_ENDED
        self._unsent = b""  # of an answer that was begun

    @property
    def _ends(self) -> bool:
        """Whether the answer in hand, or the one before, is the last on this connection."""
        return self._close or self._intake.stage is not Stage.ACCEPTING

    def _enter(self, phase: _Phase) -> None:
        if phase is not self.phase:
            self.phase, self.since = phase, time.monotonic()

    def serve(self) -> None:
        try:
            with suppress(OSError):
                self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._serve()
            self._finish()
        except OSError as error:  # the client is gone; a message it waited for was withdrawn already
            self._reason = _CloseReason.CLIENT_GONE
            log.debug("client_gone", error=str(error))
        finally:
            self._socket.close()
            log.debug("client_closed", reason=self._reason.value, phase=self.phase.name)

    def _serve(self) -> None:
        """Answer one request after another until the connection is to be closed."""
        try:
            while (request := self._next()) is not None:
                self._enter(_Phase.WAITING)
                self._close = not request.keep_alive or self.stopped
                if self.stopped:  # it crossed the end of a connection at rest: its client sends it once more
                    self._write(HTTPStatus.SERVICE_UNAVAILABLE, retry_after=self._intake.retry_after)
                else:
                    self._handle(request)
                self._send_rest()
                if self._ends:
                    self._reason = _CloseReason.STOPPED if self.stopped else _CloseReason.LAST_ANSWER
                    return
                gevent.sleep(0)  # requests that lie ready must not keep the others from their turn
        except http.BadMessage as error:
            self._intake.counters.add("unreadable")
            self._reason = _CloseReason.UNREADABLE
            self._close = True
            self._write(error.status, f"{error}\n".encode())
        except OSError:
            raise
        except Exception as error:  # whatever it is, a request that was read is answered
            log.error("request_failed", error=repr(error))
            self._close = True
            self._write(HTTPStatus.INTERNAL_SERVER_ERROR)

    def _next(self) -> http.Message | None:
        """The next request, or nothing if the connection ends, or stays silent, before it begins."""
        fresh = self.phase is _Phase.FRESH
        whole_by = self.since + WHOLE_BY if fresh else None
        while (request := self._reader.advance(self._buffer)) is None:
            begun = self._reader.started or len(self._buffer) > 0
            if begun:
                self._enter(_Phase.READING)
                whole_by = whole_by or self.since + WHOLE_BY
                self._continue()
                gevent.sleep(0)
            elif not fresh:
                self._enter(_Phase.IDLE)
            try:
                self._socket.settimeout(whole_by and max(0.001, whole_by - time.monotonic()))
                come = self._buffer.receive(self._socket)
            except TimeoutError:
                if not begun:
                    return None
                raise http.BadMessage(HTTPStatus.REQUEST_TIMEOUT, "the request took too long") from None
            except OSError:
                if not self._woken:
                    raise
                self._woken = False  # what came before the end of our reading is still to be had
                continue
            if not come:
                if not begun:
                    return None
                if self.stopped:
                    raise http.BadMessage(HTTPStatus.SERVICE_UNAVAILABLE, "the connection was to end")
                raise http.BadMessage(HTTPStatus.BAD_REQUEST, "the request ended early")
            if whole_by is not None and time.monotonic() > whole_by:
                raise http.BadMessage(HTTPStatus.REQUEST_TIMEOUT, "the request took too long")
        return request

    def _continue(self) -> None:
        """Ask for the body where the client waits to be asked."""
        if self._reader.headers_complete and self._reader.message.headers.pop("expect", "") == "100-continue":
            self._socket.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _handle(self, request: http.Message) -> None:
        path, _, _ = request.path.partition("?")
        if path in ("/healthz", "/counters"):
            if request.method != "GET":
                self._turn_down(HTTPStatus.METHOD_NOT_ALLOWED)
            elif path == "/healthz":
                self._write(HTTPStatus.OK, b"ok\n")
            else:
                self._write(HTTPStatus.OK, json.dumps(self._intake.counters.snapshot()).encode() + b"\n")
            return
        name = path[1:].partition("/")[0]
        if name not in self._intake.classes:
            self._turn_down(HTTPStatus.NOT_FOUND)
            return
        if request.method != "POST":
            self._turn_down(HTTPStatus.METHOD_NOT_ALLOWED)
            return
        try:
            arrival = self._intake.make_arrival(request, name, self)
        except _Malformed as error:
            self._turn_down(HTTPStatus.BAD_REQUEST, f"{error}\n".encode())
            return
        self._answered.clear()
        self._intake.post(arrival)
        self._answered.wait()

    def _turn_down(self, status: HTTPStatus, reason: bytes = b"") -> None:
        """Answer what cannot be taken on, and give the others time before the next of it."""
        self._intake.counters.add("malformed")
        self._write(status, reason)
        if not self._ends:
            gevent.sleep(PAUSE)

    def answer(self, status: HTTPStatus, retry_after: float | None = None) -> bool:
        """Write the answer to the message in hand; returns whether the client was there to hear it.

        A client that has left gets a refusal all the same: should it still be listening, it may come again.
        """
        here = not sockets.peer_closed(self._socket)
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
        data = http.response(status, headers, body, self._ends)
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

    def _send_rest(self) -> None:
        """Send what the system did not take of an answer that was begun."""
        rest, self._unsent = self._unsent, b""
        if rest:
            self._socket.settimeout(REST_WITHIN)
            self._socket.sendall(rest)

    def turn_away(self) -> None:
        """No room for another client: one that sent its request at once may still read why."""
        try:
            self._close = True
            self._write(HTTPStatus.SERVICE_UNAVAILABLE, retry_after=self._intake.retry_after)
            self._socket.shutdown(socket.SHUT_WR)
            self._socket.settimeout(0.0)
            self._socket.recv_into(_thrown_away)
        except OSError:
            pass  # nothing has come, or the client is gone
        finally:
            self._socket.close()

    def _finish(self) -> None:
        """End our side first and read what is under way, so that no answer is lost to a reset."""
        self._send_rest()
        self._enter(_Phase.LEAVING)
        self._socket.shutdown(socket.SHUT_WR)
        end, left = self.since + LINGER, LINGER_BYTES
        while left > 0 and (wait := end - time.monotonic()) > 0.0:
            self._socket.settimeout(wait)
            come = self._socket.recv_into(_thrown_away)
            if not come:
                break
            left -= come
            gevent.sleep(0)

    def stop(self) -> None:
        """End a connection that is missed least; a request that is not whole yet is not taken on.

        The end of our reading wakes who waits for it with an error, also when bytes lie there unread: closed
        over them, the connection would be reset and a request end with no answer.
        """
        self.stopped = self._woken = True
        with suppress(OSError):
            self._socket.shutdown(socket.SHUT_RD)


class _Listener(StreamServer):
    """Accepts connections, through failures that pass."""

    max_accept = ACCEPTS
    min_delay, max_delay = 0.005, LONGEST_ACCEPT_PAUSE

    def do_read(self) -> Any:
        """The next connection, or nothing if none waits; a client that gave up in the backlog is passed."""
        for _ in range(MOST_ABORTED):
            try:
                return super().do_read()
            except OSError as error:
                if error.errno not in ABORTED:
                    raise
        return None

    def accept_rest(self) -> None:
        """Have the system let nobody in, and accept all that it has; gives up on what keeps failing."""
        # Whoever came between the last accept and the close would be reset, and a request lost with it.
        let_nobody_in(self.socket)
        gevent.sleep(HANDSHAKE_WITHIN)
        end = time.monotonic() + ACCEPT_REST_WITHIN
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
        post: Callable[[Submission], None],
        counters: Counters,
        most: int,
    ) -> None:
        self.post = post
        self.update_settings(
            settings,
            {kind.name for kind in settings.classes},
            {tenant.name for tenant in settings.tenants},
        )
        self._most = most
        self._connections: dict[int, _Connection] = {}
        self._server = _Listener(listen, self._serve, backlog=BACKLOG)
        self.counters = counters
        self.stage = Stage.ACCEPTING

    def update_settings(
        self, settings: api.Settings, classes: Collection[str], tenants: Collection[str]
    ) -> None:
        """Take new messages on in these classes, for these tenants, whose positions the settings tell."""
        self.classes = {kind.name: i for i, kind in enumerate(settings.classes) if kind.name in classes}
        self._kinds = settings.classes
        self._tenants = {
            tenant.name: i for i, tenant in enumerate(settings.tenants) if tenant.name in tenants
        }
        self.retry_after = rejection_retry_after(settings)

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
        self._server.accept_rest()
        self._server.close()

    def _serve(self, sock: socket.socket, _: Any) -> None:
        connection = _Connection(self, sock)
        if len(self._connections) >= self._most and not self._make_room():
            self.counters.add("clients_turned_away")
            connection.turn_away()
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
        for phase, least in (*((phase, phase.value) for phase in _Phase), (_Phase.IDLE, 0.0)):
            ready = [
                c
                for c in self._connections.values()
                if c.phase is phase and not c.stopped and c.since + least <= now
            ]
            if ready:
                min(ready, key=lambda c: c.since).stop()
                return True
        return False

    def make_arrival(self, request: http.Message, name: str, client: _Connection) -> Submission:
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
        left = min(_seconds(request), self._kinds[index].deadline)
        return Submission(
            client,
            id_,
            key,
            index,
            self._tenants.get(tenant, 0),
            _destination(request),
            time.monotonic() + left,
            retried == "1",
            retried == "again",
            bytes(request.body),
        )


def _word(request: http.Message, name: str) -> str:
    """A header that passes on unchanged, also as a word of a shared call's lines; empty if absent."""
    text = request.headers.get(name.lower(), "")
    if len(text) > LONGEST_NAME or not text.isascii() or any(c <= " " or c == "\x7f" for c in text):
        raise _Malformed(f"{name}: one word of at most {LONGEST_NAME} printable characters is due")
    return text


def _seconds(request: http.Message) -> float:
    text = request.headers.get("x-timeout", "")
    if not SECONDS.fullmatch(text):
        raise _Malformed("X-Timeout: seconds are due")
    return float(text)


def _destination(request: http.Message) -> int:
    for item in request.headers.get("x-consignee", "").split(","):
        name, _, value = item.strip().partition("=")
        if name == "dest" and NUMBER.fullmatch(value):
            return int(value)
    raise _Malformed("X-Consignee: dest=NUMBER is due")
