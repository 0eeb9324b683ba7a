"""The actor of one endpoint: owns its connection pool and runs its calls."""

import math
import time
from collections import deque
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass, replace
from enum import Enum

import gevent
import structlog
from gevent import socket
from gevent.queue import Empty, Queue

from irisstack.interface import Address
from irisstack.node import http, sockets
from irisstack.node.buffer import Buffer
from irisstack.node.config import HostPort, format_host_port
from irisstack.node.counters import Counters
from irisstack.node.mailbox import enlarge
from irisstack.node.results import (
    DELIVERED,
    EndReason,
    Reached,
    Result,
    answer_result,
    batch_results,
    error_name,
    unanswered_result,
)
from irisstack.node.store import Store

DEFAULT_IDLE_TIMEOUT = 3600.0
"""Seconds for which an idle connection is kept if the settings set no limit."""
IDLE_MARGIN = 0.05
"""Share of the idle timeout at its end in which a connection is closed instead of reused.

The endpoint may be closing the connection by then.
"""

RESPONSE_TIMEOUT = 2.0
"""Seconds from the first byte of a response to its last."""

RECORD_RETRY_PAUSE = 0.05
"""Seconds between attempts to write a call to the write-ahead log."""

MAX_RECORD_DELAY, CATCH_UP_PAUSE = 0.1, 0.01
"""Seconds. A call whose record took longer is checked once more, after a pause of `CATCH_UP_PAUSE`.

This process may have been suspended meanwhile; in the pause the actor handles the commands that are queued.
"""

log = structlog.get_logger()


@dataclass(slots=True, frozen=True)
class OutgoingMessage:
    """One message of a call; times are in seconds on the monotonic clock."""

    number: int
    attempt: int
    id: str
    key: str
    body: bytes
    attempt_deadline: float
    deadline: float
    write_deadline: float = math.inf  # when the last byte must have been sent


@dataclass(slots=True, eq=False)
class Call:
    """One request to the endpoint; its messages are sent together and their attempts end together."""

    messages: Sequence[OutgoingMessage]
    sent_at: float  # for the record: seconds on the record clock
    zone: str = ""  # for the record: the endpoint's zone
    worker: "gevent.Greenlet[..., None] | None" = None
    started: bool = False
    ended: bool = False  # completed or cancelled

    @property
    def deadline(self) -> float:
        """The last attempt deadline of the messages, or their first message deadline if that is earlier.

        A call ends for all of its messages at once: an attempt that has ended must not have a call in flight.
        """
        return min(
            max(message.attempt_deadline for message in self.messages),
            min(message.deadline for message in self.messages),
        )

    @property
    def write_deadline(self) -> float:
        """When the last byte must have been sent; a call that would be sent later is withheld."""
        return min(message.write_deadline for message in self.messages)


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel the call that contains this attempt."""

    number: int
    attempt: int


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close the idle connections."""


@dataclass(slots=True, frozen=True)
class WithholdCalls:
    """Withhold calls that are not sent yet until this time: the destination sent a retry-after."""

    until: float


@dataclass(slots=True, frozen=True)
class Retire:
    """The endpoint left the list: send no further calls, and stop once the last call has ended."""


@dataclass(slots=True, frozen=True)
class Reconfigure:
    """The settings have changed; the new values apply to calls that start from now on."""

    connect_timeout: float
    idle_timeout: float
    max_idle_connections: int
    max_calls: int
    report_fields: Sequence[str]


Command = Call | CancelAttempt | CloseIdle | WithholdCalls | Retire | Reconfigure


@dataclass(slots=True, frozen=True)
class _CallEnded:
    """A call has ended. `connection` returns to the pool; it is `None` if it cannot be reused."""

    call: Call
    connection: "Connection | None"


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """The result of one attempt, for the decider."""

    number: int
    attempt: int
    address: Address
    result: Result


class WithheldReason(Enum):
    """Why a call is not sent; the values are logged."""

    RETIRED = "endpoint_left_the_list"
    RETRY_AFTER = "destination_asked_to_wait"
    WRITE_DEADLINE_PASSED = "repeat_window_ended"
    DEADLINE_PASSED = "time_up_before_on_record"


class _Cancelled(Exception):
    """The call was cancelled; raised in its greenlet."""


class _CallWithheld(Exception):
    """The call must not be sent."""


class Connection:
    """A connection that runs one call at a time. `execute` turns errors into results and raises none."""

    def __init__(self, host_port: HostPort, connect_timeout: float, report_fields: Sequence[str]) -> None:
        self._host_port = host_port
        self.configure(connect_timeout, report_fields)
        self._socket: socket.socket | None = None
        self._buffer = Buffer()
        self._reader = http.ResponseReader()
        self.idle_since = 0.0

    def configure(self, connect_timeout: float, report_fields: Sequence[str]) -> None:
        """Use these values from the next call on."""
        self._connect_timeout = connect_timeout
        self._report_fields = report_fields

    def is_usable(self) -> bool:
        """Whether the connection is open, with neither data nor an end of stream to read."""
        return self._socket is not None and sockets.nothing_to_read(self._socket)

    def close(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def execute(
        self,
        call: Call,
        before_send: Callable[[Call], bool],
        on_result: Callable[[OutgoingMessage, Result], None],
    ) -> bool:
        """Run one call and pass each message's result to `on_result`.

        `before_send` is called once the connection is open; the call is withheld if it returns false.
        Returns whether the connection can be reused.
        """
        ids = [message.id for message in call.messages]
        reached, ending, error_label = Reached.NOTHING, EndReason.BROKEN, ""
        keep = False
        response: http.Message | None = None
        try:
            if call.ended:
                raise _Cancelled
            call.started = True
            if not self.is_usable():  # data or an end of stream may have arrived since the pool's check
                self.close()
            self._open(call.deadline)
            reached = Reached.CONNECTED
            if time.monotonic() >= call.deadline:  # this process was suspended while it connected
                raise TimeoutError
            if not before_send(call):
                raise _CallWithheld
            self._write(call)
            reached = Reached.WRITTEN
            response = self._read_response(call.deadline)
            keep = response is not None and response.keep_alive and not len(self._buffer)
            ending = EndReason.BROKEN if response is not None else EndReason.GIVEN_UP
        except _Cancelled:
            ending = EndReason.CALLED_OFF
            response = self._received_response() if reached is Reached.WRITTEN else None
        except _CallWithheld:
            ending = EndReason.WITHHELD
        except sockets.LocalResourceError as error:
            ending, error_label = EndReason.WITHHELD, error_name(error)
        except TimeoutError as error:
            ending, error_label = EndReason.GIVEN_UP, error_name(error)
        except (OSError, http.BadMessage) as error:
            ending, error_label = EndReason.BROKEN, error_name(error)
        except Exception as error:  # an unexpected error must not leave a message without a result
            log.error("call_failed", peer=format_host_port(self._host_port), error=repr(error))
        call.ended = True
        if (
            response is None
            and reached is Reached.WRITTEN
            and len(call.messages) == 1
            and self._reader.status_is_ok
        ):
            results = dict.fromkeys(ids, DELIVERED)
        elif response is None:
            results = dict.fromkeys(ids, replace(unanswered_result(reached, ending), error=error_label))
        elif len(call.messages) == 1:
            results = dict.fromkeys(ids, answer_result(response, self._report_fields))
        else:
            results = batch_results(response, ids, self._report_fields)
        if not keep:
            if self._socket is not None:
                log.debug(
                    "connection_closed",
                    peer=format_host_port(self._host_port),
                    reason=_close_reason(response, ending),
                )
            self.close()
        for message in call.messages:
            on_result(message, results[message.id])
        return keep

    def _open(self, deadline: float) -> None:
        if self._socket is not None:
            return
        remaining = deadline - time.monotonic()
        if remaining <= 0.0:
            raise TimeoutError
        self._socket = sockets.connect(
            self._host_port, min(remaining, self._connect_timeout or remaining), remaining
        )

    def _write(self, call: Call) -> None:
        assert self._socket is not None
        remaining = max(0.001, call.deadline - time.monotonic())
        headers = [("X-Timeout", f"{remaining:.3f}")]
        if len(call.messages) == 1:
            message = call.messages[0]
            headers.append(("X-Request-ID", message.id))
            if message.key:
                headers.append(("Idempotency-Key", message.key))
            path, body = "/v1/messages", message.body
        else:
            path = "/v1/messages:batch"
            body = b"".join(
                f"{m.id} {m.key or '-'} {len(m.body)}\r\n".encode("latin-1") + m.body + b"\r\n"
                for m in call.messages
            )
        self._socket.settimeout(min(remaining, max(0.001, call.write_deadline - time.monotonic())))
        self._socket.sendall(http.request("POST", path, format_host_port(self._host_port), headers, body))

    def _received_response(self) -> http.Message | None:
        """The response to a cancelled call, if it has been received completely."""
        assert self._socket is not None
        try:
            if not sockets.nothing_to_read(self._socket):
                self._buffer.receive(self._socket)
            return self._reader.advance(self._buffer)
        except (OSError, http.BadMessage):
            return None

    def _read_response(self, deadline: float) -> http.Message | None:
        """The response; `None` if it is incomplete at the deadline. Raises `OSError` or `http.BadMessage`."""
        assert self._socket is not None
        started = False
        while (response := self._reader.advance(self._buffer)) is None:
            if not started and (started := self._reader.started or len(self._buffer) > 0):
                deadline = min(deadline, time.monotonic() + RESPONSE_TIMEOUT)
            if started:
                gevent.sleep(0)  # let other greenlets run while a long response keeps arriving
            try:
                received = sockets.receive_before(self._socket, self._buffer, deadline)
            except TimeoutError:
                return None
            if not received:
                response = self._reader.finish_at_eof()
                if response is None:
                    raise ConnectionResetError
                return response
        return response


def _close_reason(response: http.Message | None, ending: EndReason) -> str:
    """Why a connection is closed after a call, for the log."""
    if response is None:
        return ending.name.lower()
    return "more_than_an_answer" if response.keep_alive else "endpoint_closes"


class Endpoint:
    """Handles the commands for one endpoint and runs its calls, each in its own greenlet."""

    def __init__(
        self,
        address: Address,
        host_port: HostPort,
        post_result: Callable[[AttemptResult], None],
        store: Store,
        counters: Counters,
        *,
        connect_timeout: float,
        idle_timeout: float,
        max_idle_connections: int,
        max_calls: int,
        report_fields: Sequence[str],
    ) -> None:
        self.address = address
        self._host_port = host_port
        self._post_result = post_result
        self._store = store
        self._counters = counters
        self.mailbox: Queue[Command | _CallEnded] = Queue(1)
        self._reconfigure(
            Reconfigure(connect_timeout, idle_timeout, max_idle_connections, max_calls, report_fields)
        )
        self._calls: list[Call] = []
        self._idle: deque[Connection] = deque()
        self._retired = False
        self._withheld_until = 0.0
        self.worker: gevent.Greenlet[..., None] = gevent.Greenlet(self.run)

    def _reconfigure(self, new: Reconfigure) -> None:
        self._connect_timeout = new.connect_timeout
        self._report_fields = new.report_fields
        self._max_idle_time = (
            new.idle_timeout * (1.0 - IDLE_MARGIN) if new.idle_timeout else DEFAULT_IDLE_TIMEOUT
        )
        self._max_idle_connections = new.max_idle_connections
        # Each slot can queue a call, its cancellation and its end; list updates and settings add commands.
        enlarge(self.mailbox, 4 * new.max_calls + 16)

    def run(self) -> None:
        """Handle commands until the endpoint is retired and its last call has ended.

        Connections that exceed the idle timeout are closed between commands.
        """
        while not (self._retired and not self._calls and self.mailbox.empty()):
            timeout = None
            if self._idle:
                timeout = max(0.0, self._idle[0].idle_since + self._max_idle_time - time.monotonic())
            with suppress(Empty):
                self._handle(self.mailbox.get(timeout=timeout))
            while self._idle and self._idle[0].idle_since + self._max_idle_time <= time.monotonic():
                self._idle.popleft().close()

    def _handle(self, command: "Command | _CallEnded") -> None:
        match command:
            case Call():
                self._calls.append(command)
                command.worker = gevent.spawn(self._run_call, command, self._take_connection())
            case CancelAttempt(number, attempt):
                for call in self._calls:
                    attempts = ((message.number, message.attempt) for message in call.messages)
                    if not call.ended and (number, attempt) in attempts:
                        call.ended = True
                        if call.started and call.worker is not None:
                            call.worker.kill(_Cancelled, block=False)
            case _CallEnded(call, connection):
                self._calls.remove(call)
                if connection is not None:
                    connection.idle_since = time.monotonic()
                    self._idle.append(connection)
                    if self._retired or len(self._idle) > self._max_idle_connections:
                        self._idle.popleft().close()
            case Reconfigure():
                self._reconfigure(command)
                while len(self._idle) > self._max_idle_connections:
                    self._idle.popleft().close()
            case WithholdCalls(until):
                self._withheld_until = max(self._withheld_until, until)
            case Retire():
                self._retired = True
                self._close_idle()
            case CloseIdle():
                self._close_idle()

    def _close_idle(self) -> None:
        while self._idle:
            self._idle.pop().close()

    def _take_connection(self) -> Connection:
        """The most recently used idle connection that is usable, or a new one."""
        while self._idle:
            connection = self._idle.pop()
            if time.monotonic() - connection.idle_since < self._max_idle_time and connection.is_usable():
                connection.configure(self._connect_timeout, self._report_fields)
                return connection
            connection.close()
        self._counters.add("connections_opened")
        return Connection(self._host_port, self._connect_timeout, self._report_fields)

    def _run_call(self, call: Call, connection: Connection) -> None:
        keep = connection.execute(call, self._before_send, self._on_result)
        self.mailbox.put(_CallEnded(call, connection if keep else None))

    def _before_send(self, call: Call) -> bool:
        """Record the call in the write-ahead log before it is sent; from then on it counts as possibly run.

        Returns false if the call must not be sent. While the log cannot be written, the call waits.
        """
        on_record = False
        while True:
            checked_at = time.monotonic()
            if (reason := self._withhold_reason(call)) is not None:
                self._counters.add("calls_withheld")
                log.debug("call_withheld", ids=[m.id for m in call.messages], reason=reason.value)
                return False
            if not on_record and not self._record_call(call):
                gevent.sleep(RECORD_RETRY_PAUSE)  # without a record a restart might repeat the call
                continue
            on_record = True
            if time.monotonic() < checked_at + MAX_RECORD_DELAY:
                break
            gevent.sleep(CATCH_UP_PAUSE)  # the process may have been suspended: handle queued commands first
        self._counters.add("calls_sent")
        self._counters.add("messages_sent", len(call.messages))
        return True

    def _record_call(self, call: Call) -> bool:
        attempts = [(message.number, message.attempt) for message in call.messages]
        return self._store.record_send(attempts, call.sent_at, call.zone)

    def _withhold_reason(self, call: Call) -> "WithheldReason | None":
        """Why a call must not be sent now, or `None` if it may be."""
        now = time.monotonic()
        if self._retired:
            return WithheldReason.RETIRED
        if now < self._withheld_until:
            return WithheldReason.RETRY_AFTER
        if now >= call.write_deadline:
            return WithheldReason.WRITE_DEADLINE_PASSED
        if now >= call.deadline:
            return WithheldReason.DEADLINE_PASSED
        return None

    def _on_result(self, message: OutgoingMessage, result: Result) -> None:
        self._counters.add(f"ended_{result.outcome.name.lower()}")
        if result.error:
            self._counters.add(f"ended_{result.outcome.name.lower()}_{result.error}")
        self._post_result(AttemptResult(message.number, message.attempt, self.address, result))
