"""The connection of one client: its requests are read and answered one after another."""

import json
import math
import time
from contextlib import suppress
from enum import Enum
from http import HTTPStatus
from typing import Protocol

import gevent
import structlog
from gevent import socket
from gevent.event import Event

from irisstack.node import http, sockets
from irisstack.node.buffer import Buffer
from irisstack.node.counters import Counters
from irisstack.node.decider import Submission
from irisstack.node.submission_parser import SUBMISSION_HEADERS, MalformedRequest, SubmissionParser

WHOLE_BY = 2.5
"""Seconds in which a request must be complete: the first from connecting, a later one from its first byte."""
LATE_READ_PERIOD = 0.1
"""Seconds past that time in which what has arrived is still read, since the process may have been held up."""
ANSWER_WRITE_TIMEOUT = 1.0
"""Seconds in which the client must read the rest of an answer that the socket took only in part."""
MALFORMED_PAUSE = 0.1
"""Seconds after a malformed request in which its connection is not read from."""
SMALL_REQUEST_BYTES = 4096
"""Incomplete requests up to this size are not ended to free memory."""
LINGER_TIMEOUT = 3.0
"""Seconds for which a closing connection is still read."""
LINGER_BYTES = 64 * 1024 * 1024
"""Bytes that are read and discarded then; a close over unread data sends a reset and may lose the answer."""

REQUEST_HEADERS = (*SUBMISSION_HEADERS, "expect")
"""The headers of a request that are read."""

log = structlog.get_logger()
_discard_buffer = bytearray(256 * 1024)


class Phase(Enum):
    """A connection's phase; the value is how many seconds it must last before the connection may be evicted.

    Connections are evicted to make room for new ones, in the order of the phases here. One whose request is
    with the decider is never evicted. The names are logged.
    """

    LEAVING = 0.0  # last answer sent; remaining input is read and discarded
    IDLE = 2.0  # between two requests
    FRESH = 0.2  # connected, nothing received yet
    READING = 1.0  # part of a request received
    WAITING = math.inf  # complete request received, not answered yet


class CloseReason(Enum):
    """Why a client's connection ends; the values are logged and name counters."""

    CLIENT_ENDED = "client_ended"
    CLIENT_GONE = "client_gone"
    LAST_ANSWER = "last_answer"
    SILENT = "stayed_silent"  # no request came in time
    STOPPED = "ended_at_rest"  # evicted to make room, or because the node stops
    UNREADABLE = "unreadable_request"


class ConnectionOwner(Protocol):
    """What a connection needs of the intake that it belongs to."""

    counters: Counters
    parser: SubmissionParser
    retry_after: float | None
    """Seconds for the Retry-After of a refusal; `None` if the settings allow none."""

    @property
    def accepting(self) -> bool:
        """Whether connections may carry another request after an answer."""

    @property
    def input_exceeds_limit(self) -> bool:
        """Whether the clients' requests take up more memory than they may."""

    def count_input(self, connection: "ClientConnection", size: int) -> None:
        """Count the bytes that the connection holds of a request that is not answered yet."""

    def post(self, submission: Submission) -> None:
        """Hand a message to the decider, which answers its client."""


class ClientConnection:
    """A client's connection; each request is answered before the next is read."""

    def __init__(self, intake: ConnectionOwner, sock: socket.socket) -> None:
        self._intake = intake
        self._socket = sock
        self._buffer = Buffer()
        self._reader = http.RequestReader(REQUEST_HEADERS)
        self._answered = Event()
        self._close_after_answer = False
        self._last_answer_written = False  # whether the answer last written said that the connection ends
        self.phase = Phase.FRESH
        self.stopped = False
        self._stopped_at = math.inf
        self._stop_wakeup = False  # `stop` has shut down reading; the next read error may stem from that
        self.phase_since = time.monotonic()
        self.counted_bytes = 0  # bytes of its request that count against the intake's limit
        self._out_of_memory = False  # its request is to be rejected, since it takes up too much memory
        self._reason = CloseReason.CLIENT_ENDED
        self._deadline_passed_at: float | None = None  # when the current request's was seen to have passed
        self._unsent = b""  # rest of an answer that the socket took only in part

    @property
    def _is_last_answer(self) -> bool:
        """Whether the current answer is the last on this connection.

        While the connection is to end, that is the answer behind which no further request has begun: of what
        a client has sent, each whole request gets its answer.
        """
        ends = self.stopped or not self._intake.accepting
        return self._close_after_answer or (ends and not self._has_more_input)

    @property
    def _has_more_input(self) -> bool:
        """Whether anything has arrived behind the current request.

        A client that goes on sending does not keep its connection for long after `stop`.
        """
        if time.monotonic() > self._stopped_at + LINGER_TIMEOUT:
            return False
        return len(self._buffer) > 0 or sockets.pending_input(self._socket) is sockets.PendingInput.DATA

    def _enter_phase(self, phase: Phase) -> None:
        if phase is not self.phase:
            self.phase, self.phase_since = phase, time.monotonic()

    def serve(self) -> None:
        try:
            with suppress(OSError):
                self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._serve():
                self._close_gracefully()
        except OSError as error:  # the client disconnected; its message, if any, was withdrawn already
            self._reason = CloseReason.CLIENT_GONE
            log.debug("client_disconnected", error=str(error))
        finally:
            self._socket.close()
            self._reader.reset()
            self._intake.counters.add(f"clients_closed_{self._reason.value}")
            log.debug("client_closed", reason=self._reason.value, phase=self.phase.name)

    def _serve(self) -> bool:
        """Answer requests until the connection is to be closed.

        Returns whether it ends with an answer, which the client may not have received yet. At rest it is to
        be closed at once, with nothing read any more: a request that arrives in that moment is then reset by
        the system, so that its client knows that it was not read.
        """
        try:
            while (request := self._read_request()) is not None:
                self._enter_phase(Phase.WAITING)
                self._intake.count_input(self, len(request.body))
                self._close_after_answer = not request.keep_alive
                large = len(request.body) > SMALL_REQUEST_BYTES
                # Either it arrived while `stop` closed the connection, or there is no memory for it.
                if self.stopped or (large and self._intake.input_exceeds_limit):
                    self._intake.counters.add("requests_turned_away")
                    self._write(HTTPStatus.SERVICE_UNAVAILABLE, retry_after=self._intake.retry_after)
                else:
                    self._handle(request)
                self._intake.count_input(self, 0)
                self._send_unsent()
                # An answer that did not say so is not the last, even if the node has begun to stop since.
                if self._last_answer_written or self._close_after_answer:
                    self._reason = CloseReason.STOPPED if self.stopped else CloseReason.LAST_ANSWER
                    return True
                gevent.sleep(0)  # let other greenlets run between pipelined requests
            return False
        except http.BadMessage as error:
            self._intake.counters.add("unreadable")
            self._intake.counters.add(f"unreadable_{error.status.value}")
            self._reason = CloseReason.UNREADABLE
            self._close_after_answer = True
            busy = error.status is HTTPStatus.SERVICE_UNAVAILABLE
            retry_after = self._intake.retry_after if busy else None
            self._write(error.status, f"{error}\n".encode(), retry_after)
        except OSError:
            raise
        except Exception as error:  # an unexpected error must not leave a request without an answer
            log.error("request_failed", error=repr(error))
            self._close_after_answer = True
            self._write(HTTPStatus.INTERNAL_SERVER_ERROR)
        return True

    def _read_request(self) -> http.Message | None:
        """The next request; `None` if the connection ends or times out before the request begins."""
        first = self.phase is Phase.FRESH
        deadline = self.phase_since + WHOLE_BY if first else None
        self._deadline_passed_at = None
        while (request := self._advance()) is None:
            started = self._reader.started or len(self._buffer) > 0
            if started:
                self._enter_phase(Phase.READING)
                deadline = deadline or self.phase_since + WHOLE_BY
                self._intake.count_input(self, len(self._buffer) + len(self._reader.message.body))
                self._send_continue()
                gevent.sleep(0)
            elif not first:
                self._enter_phase(Phase.IDLE)
                if not self._intake.accepting and not self.stopped:  # it was not idle when the drain began
                    self.stop()
            try:
                received = self._receive(deadline)
            except TimeoutError:
                if not started:
                    self._reason = CloseReason.SILENT
                    return None
                raise http.BadMessage(HTTPStatus.REQUEST_TIMEOUT, "the request took too long") from None
            except OSError:
                if not self._stop_wakeup:
                    raise
                self._stop_wakeup = False  # data received before the shutdown of reading can still be read
                continue
            if not received:
                if not started:
                    self._reason = CloseReason.STOPPED if self.stopped else CloseReason.CLIENT_ENDED
                    return None
                if self.stopped:
                    raise http.BadMessage(HTTPStatus.SERVICE_UNAVAILABLE, "the connection was to end")
                raise http.BadMessage(HTTPStatus.BAD_REQUEST, "the request ended early")
        return request

    def _receive(self, deadline: float | None) -> int:
        """Read once into the buffer; returns the number of bytes, 0 at the end of the stream.

        Raises `TimeoutError` when the deadline has passed and nothing that may have arrived in time is left.
        """
        if deadline is None:
            self._socket.settimeout(None)
            return self._buffer.receive(self._socket)
        now = time.monotonic()
        if now > deadline:
            self._deadline_passed_at = self._deadline_passed_at or now
            if now > self._deadline_passed_at + LATE_READ_PERIOD:
                raise TimeoutError("data still arrives after the deadline")
        return sockets.receive_before(self._socket, self._buffer, deadline)

    def _advance(self) -> http.Message | None:
        """Parse what the buffer holds; returns the request once it is complete."""
        if self._out_of_memory:
            raise http.BadMessage(HTTPStatus.SERVICE_UNAVAILABLE, "no memory for the request")
        return self._reader.advance(self._buffer)

    def _send_continue(self) -> None:
        """Send `100 Continue` if the client waits for it before it sends the body."""
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
        if not self._intake.parser.offers(name):
            self._reject_malformed(HTTPStatus.NOT_FOUND)
            return
        if request.method != "POST":
            self._reject_malformed(HTTPStatus.METHOD_NOT_ALLOWED)
            return
        try:
            submission = self._intake.parser.parse(request, name, self)
        except MalformedRequest as error:
            self._reject_malformed(HTTPStatus.BAD_REQUEST, f"{error}\n".encode())
            return
        request.body.clear()  # the submission has its own copy
        self._answered.clear()
        self._intake.post(submission)
        self._answered.wait()

    def _reject_malformed(self, status: HTTPStatus, reason: bytes = b"") -> None:
        """Answer a malformed request, then pause so that a flood of them does not starve other clients."""
        self._intake.counters.add("malformed")
        self._write(status, reason)
        if not self._last_answer_written:
            gevent.sleep(MALFORMED_PAUSE)

    def answer(self, status: HTTPStatus, retry_after: float | None = None) -> bool:
        """Write the final answer to the current message; returns whether the client was still connected.

        A client that has closed its sending side gets a 503: if it still reads, it may retry.
        """
        connected = not sockets.peer_closed(self._socket)
        # A close waits behind bytes that the client's system could not send yet. The answer brings its reset.
        more_unread = len(self._buffer) > 0 or not sockets.nothing_to_read(self._socket)
        try:
            self._write(status if connected else HTTPStatus.SERVICE_UNAVAILABLE, retry_after=retry_after)
            connected = connected and not (more_unread and sockets.is_broken(self._socket))
        except OSError:
            connected = False
        self._intake.counters.add(f"answered_{status.value}" if connected else "clients_left")
        self._close_after_answer = self._close_after_answer or not connected
        self._answered.set()
        return connected

    def _write(self, status: HTTPStatus, body: bytes = b"", retry_after: float | None = None) -> None:
        headers = [("Retry-After", f"{retry_after:.3f}")] if retry_after else []
        self._last_answer_written = self._is_last_answer
        data = http.response(status, headers, body, self._last_answer_written)
        # The socket may take an answer in parts. Answers are far smaller than its send buffer, so if it takes
        # nothing at all, the client does not read. The connection's own greenlet sends the rest of a partly
        # sent answer, so that the caller does not wait.
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
        """Send the rest of an answer that the socket took only in part."""
        unsent, self._unsent = self._unsent, b""
        if unsent:
            self._socket.settimeout(ANSWER_WRITE_TIMEOUT)
            self._socket.sendall(unsent)

    def reject(self) -> None:
        """Answer 503 and close: there is no room for another client.

        A request that has arrived already is read, so that no reset loses the answer.
        """
        try:
            self._close_after_answer = True
            self._write(HTTPStatus.SERVICE_UNAVAILABLE, retry_after=self._intake.retry_after)
            self._socket.shutdown(socket.SHUT_WR)
            self._socket.settimeout(0.0)
            self._socket.recv_into(_discard_buffer)
        except OSError:
            pass  # no request has arrived, or the client has disconnected
        finally:
            self._socket.close()

    def _close_gracefully(self) -> None:
        """Shut down sending first and read what still arrives, so that no reset loses the answer."""
        self._send_unsent()
        self._buffer = Buffer()
        self._reader.reset()
        self._intake.count_input(self, 0)
        self._enter_phase(Phase.LEAVING)
        self._socket.shutdown(socket.SHUT_WR)
        end, bytes_left = self.phase_since + LINGER_TIMEOUT, LINGER_BYTES
        while bytes_left > 0 and (wait := end - time.monotonic()) > 0.0:
            self._socket.settimeout(wait)
            received = self._socket.recv_into(_discard_buffer)
            if not received:
                break
            bytes_left -= received
            gevent.sleep(0)

    def end_for_memory(self) -> None:
        """Reject the request that is arriving; its memory is freed now, the connection may run only later."""
        self._out_of_memory = True
        self._reader.reset()
        self.stop()

    def stop(self) -> None:
        """End the connection without accepting another message; what has arrived of requests is rejected.

        Shutting down reading wakes the connection's greenlet with an error, even if there is unread data. A
        plain close over unread data would reset the connection and leave a request without an answer.
        """
        self.stopped = self._stop_wakeup = True
        self._stopped_at = time.monotonic()
        with suppress(OSError):
            self._socket.shutdown(socket.SHUT_RD)
