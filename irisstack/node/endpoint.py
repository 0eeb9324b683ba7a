"""The actor of one endpoint: its connection pool and the calls on these connections."""

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
from irisstack.node.config import HostPort, name_of
from irisstack.node.counters import Counters
from irisstack.node.mailbox import enlarge
from irisstack.node.results import (
    DELIVERED,
    Ending,
    Reached,
    Result,
    answered,
    answered_each,
    name_of_error,
    unanswered,
)
from irisstack.node.store import Store

DEFAULT_IDLE_TIMEOUT = 3600.0
"""Seconds an idle connection is kept where the settings name no limit."""
IDLE_MARGIN = 0.05
"""Last part of the endpoint's idle limit, in which a kept connection is closed instead of used."""

RESPONSE_TIMEOUT = 2.0
"""Seconds from the first byte of an answer to its last."""

RECORD_RETRY_PAUSE = 0.05
"""Seconds until a call that could not be put on record tries that again."""

MAX_RECORD_DELAY, CATCH_UP_PAUSE = 0.1, 0.01
"""Seconds that it may take to put a call on record before it is looked at once more, and until then."""

log = structlog.get_logger()


@dataclass(slots=True, frozen=True)
class OutgoingMessage:
    """One message of a call; times are seconds of the monotonic clock."""

    number: int
    attempt: int
    id: str
    key: str
    body: bytes
    attempt_deadline: float
    deadline: float
    write_deadline: float = math.inf  # after this it must not leave any more


@dataclass(slots=True, eq=False)
class Call:
    """One request to the endpoint; its messages are sent together and end together."""

    messages: Sequence[OutgoingMessage]
    sent_at: float  # on the clock of the records
    zone: str = ""  # that it goes to, likewise
    worker: "gevent.Greenlet[..., None] | None" = None
    started: bool = False
    ended: bool = False  # ended or called off

    @property
    def deadline(self) -> float:
        """The call's deadline: when no message waits for it any more, or the first one's time is over.

        A call ends for all of its messages or for none, since an attempt that has ended may have no call out.
        """
        return min(
            max(message.attempt_deadline for message in self.messages),
            min(message.deadline for message in self.messages),
        )

    @property
    def write_deadline(self) -> float:
        """The time by which the last byte must have been sent; a call that is later is withheld."""
        return min(message.write_deadline for message in self.messages)


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel the call that carries this attempt."""

    number: int
    attempt: int


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close the connections that carry no call."""


@dataclass(slots=True, frozen=True)
class WithholdCalls:
    """The destination asked to wait: calls not sent yet are withheld until this time."""

    until: float


@dataclass(slots=True, frozen=True)
class Retire:
    """The endpoint left the list: no call is sent any more, and the actor ends with its last call."""


@dataclass(slots=True, frozen=True)
class Reconfigure:
    """Other settings are in force: what is begun from now on goes by these."""

    connect_timeout: float
    idle_timeout: float
    max_idle_connections: int
    max_calls: int
    report_fields: Sequence[str]


Command = Call | CancelAttempt | CloseIdle | WithholdCalls | Retire | Reconfigure


@dataclass(slots=True, frozen=True)
class _CallEnded:
    """A call has ended; its connection returns to the pool if it can be used again."""

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
    """Why a call that was decided is not sent."""

    RETIRED = "endpoint_left_the_list"
    RETRY_AFTER = "destination_asked_to_wait"
    WRITE_DEADLINE_PASSED = "repeat_window_ended"
    DEADLINE_PASSED = "time_up_before_on_record"


class _Cancelled(Exception):
    """The call was cancelled; raised inside its greenlet."""


class _CallWithheld(Exception):
    """The call may not be sent, or not yet."""


class Connection:
    """One connection; it carries one call at a time. Errors become results: no exception leaves `execute`."""

    def __init__(self, host_port: HostPort, connect_timeout: float, report_fields: Sequence[str]) -> None:
        self._host_port = host_port
        self.configure(connect_timeout, report_fields)
        self._socket: socket.socket | None = None
        self._buffer = Buffer()
        self._reader = http.ResponseReader()
        self.idle_since = 0.0

    def configure(self, connect_timeout: float, report_fields: Sequence[str]) -> None:
        """Go by these from the next call on."""
        self._connect_timeout = connect_timeout
        self._report_fields = report_fields

    def is_usable(self) -> bool:
        """Whether the connection is open and nothing, not even its end, waits to be read."""
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
        """Carry one call and report each message's result; returns whether the connection can be kept."""
        ids = [message.id for message in call.messages]
        reached, ending, error_name = Reached.NOTHING, Ending.BROKEN, ""
        keep = False
        response: http.Message | None = None
        try:
            if call.ended:
                raise _Cancelled
            call.started = True
            if not self.is_usable():  # something may have come since the pool was checked
                self.close()
            self._open(call.deadline)
            reached = Reached.CONNECTED
            if time.monotonic() >= call.deadline:  # after a standstill of this node: nobody waits for it
                raise TimeoutError
            if not before_send(call):
                raise _CallWithheld
            self._write(call)
            reached = Reached.WRITTEN
            response = self._read_response(call.deadline)
            keep = response is not None and response.keep_alive and not len(self._buffer)
            ending = Ending.BROKEN if response is not None else Ending.GIVEN_UP
        except _Cancelled:
            ending = Ending.CALLED_OFF
            response = self._received_response() if reached is Reached.WRITTEN else None
        except _CallWithheld:
            ending = Ending.WITHHELD
        except sockets.LocalResourceError as error:
            ending, error_name = Ending.WITHHELD, name_of_error(error)
        except TimeoutError as error:
            ending, error_name = Ending.GIVEN_UP, name_of_error(error)
        except (OSError, http.BadMessage) as error:
            ending, error_name = Ending.BROKEN, name_of_error(error)
        except Exception as error:  # whatever it is, the messages' ends must be told
            log.error("call_failed", peer=name_of(self._host_port), error=repr(error))
        call.ended = True
        if (
            response is None
            and reached is Reached.WRITTEN
            and len(call.messages) == 1
            and self._reader.status_is_ok
        ):
            results = dict.fromkeys(ids, DELIVERED)
        elif response is None:
            results = dict.fromkeys(ids, replace(unanswered(reached, ending), error=error_name))
        elif len(call.messages) == 1:
            results = dict.fromkeys(ids, answered(response, self._report_fields))
        else:
            results = answered_each(response, ids, self._report_fields)
        if not keep:
            if self._socket is not None:
                log.debug(
                    "connection_closed", peer=name_of(self._host_port), reason=_close_reason(response, ending)
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
        self._socket.sendall(http.request("POST", path, name_of(self._host_port), headers, body))

    def _received_response(self) -> http.Message | None:
        """The answer of a cancelled call, if all of it has been received."""
        assert self._socket is not None
        try:
            if not sockets.nothing_to_read(self._socket):
                self._buffer.receive(self._socket)
            return self._reader.advance(self._buffer)
        except (OSError, http.BadMessage):
            return None

    def _read_response(self, deadline: float) -> http.Message | None:
        """The answer; `None` if it is not whole by the deadline. Raises `OSError` or `http.BadMessage`."""
        assert self._socket is not None
        started = False
        while (response := self._reader.advance(self._buffer)) is None:
            if not started and (started := self._reader.started or len(self._buffer) > 0):
                deadline = min(deadline, time.monotonic() + RESPONSE_TIMEOUT)
            if started:
                gevent.sleep(0)  # an answer that keeps coming must not keep the others from their turn
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


def _close_reason(response: http.Message | None, ending: Ending) -> str:
    """Why a connection is not kept after a call: how the call ended, or what its answer said."""
    if response is None:
        return ending.name.lower()
    return "more_than_an_answer" if response.keep_alive else "endpoint_closes"


class Endpoint:
    """Takes commands for one endpoint and runs its calls, each in a greenlet of its own."""

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
        # A call, its cancelling and its end for each slot, and what the list tells beside them.
        enlarge(self.mailbox, 4 * new.max_calls + 16)

    def run(self) -> None:
        """Handle commands until the endpoint is retired and its last call has ended."""
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
        """Put the call on record before it is sent: from here on it may have run.

        Returns false for a call that must not be sent. One that cannot be put on record waits for that.
        """
        on_record = False
        while True:
            checked_at = time.monotonic()
            if (reason := self._withhold_reason(call)) is not None:
                self._counters.add("calls_withheld")
                log.debug("call_withheld", ids=[m.id for m in call.messages], reason=reason.value)
                return False
            if not on_record and not self._record_call(call):
                gevent.sleep(RECORD_RETRY_PAUSE)  # with no record it might be sent again by a restart
                continue
            on_record = True
            if time.monotonic() < checked_at + MAX_RECORD_DELAY:
                break
            gevent.sleep(CATCH_UP_PAUSE)  # the node stood still: what it was told meanwhile is read first
        self._counters.add("calls_sent")
        self._counters.add("messages_sent", len(call.messages))
        return True

    def _record_call(self, call: Call) -> bool:
        attempts = [(message.number, message.attempt) for message in call.messages]
        return self._store.out(attempts, call.sent_at, call.zone)

    def _withhold_reason(self, call: Call) -> "WithheldReason | None":
        """Why a call must not be sent now, if there is a reason."""
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
