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

LONG = 3600.0
"""Seconds an idle connection is kept where the settings name no limit."""
IDLE_MARGIN = 0.05
"""Last part of the endpoint's idle limit, in which a kept connection is closed instead of used."""

ANSWER_TIMEOUT = 2.0
"""Seconds from the first byte of an answer to its last."""

RECORD_RETRY = 0.05
"""Seconds until a call that could not be put on record tries that again."""

HELD_UP, CATCH_UP = 0.1, 0.01
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
    give_up: float
    due: float
    leave_by: float = math.inf  # after this it must not leave any more


@dataclass(slots=True, eq=False)
class Call:
    """One request to the endpoint; its messages are sent together and end together."""

    messages: Sequence[OutgoingMessage]
    sent_at: float  # on the clock of the records
    zone: str = ""  # that it goes to, likewise
    worker: "gevent.Greenlet[..., None] | None" = None
    begun: bool = False
    over: bool = False  # ended or called off

    @property
    def until(self) -> float:
        """The call's deadline: when no message waits for it any more, or the first one's time is over.

        A call ends for all of its messages or for none, since an attempt that has ended may have no call out.
        """
        return min(
            max(message.give_up for message in self.messages), min(message.due for message in self.messages)
        )

    @property
    def leave_by(self) -> float:
        """The time by which the last byte must have been sent; a call that is later is withheld."""
        return min(message.leave_by for message in self.messages)


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
class _Back:
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


class Withheld(Enum):
    """Why a call that was decided is not sent."""

    RETIRED = "endpoint_left_the_list"
    TOLD_TO_WAIT = "destination_asked_to_wait"
    WINDOW_ENDED = "repeat_window_ended"
    TIME_UP = "time_up_before_on_record"


class _CalledOff(Exception):
    """The call was cancelled; raised inside its greenlet."""


class _Withheld(Exception):
    """The call may not be sent, or not yet."""


class Connection:
    """One connection; it carries one call at a time. Errors become results: no exception leaves `carry`."""

    def __init__(self, peer: HostPort, connect_timeout: float, report_fields: Sequence[str]) -> None:
        self._peer = peer
        self.adopt(connect_timeout, report_fields)
        self._socket: socket.socket | None = None
        self._buffer = Buffer()
        self._reader = http.ResponseReader()
        self.idle_since = 0.0

    def adopt(self, connect_timeout: float, report_fields: Sequence[str]) -> None:
        """Go by these from the next call on."""
        self._connect_timeout = connect_timeout
        self._fields = report_fields

    def usable(self) -> bool:
        """Whether the connection is open and nothing, not even its end, waits to be read."""
        return self._socket is not None and sockets.nothing_to_read(self._socket)

    def close(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def carry(
        self, call: Call, leaving: Callable[[Call], bool], end: Callable[[OutgoingMessage, Result], None]
    ) -> bool:
        """Carry one call and report each message's result; returns whether the connection can be kept."""
        ids = [message.id for message in call.messages]
        reached, ending, broken_by = Reached.NOTHING, EndReason.BROKEN, ""
        keep = False
        answer: http.Message | None = None
        try:
            if call.over:
                raise _CalledOff
            call.begun = True
            if not self.usable():  # something may have come since the pool was checked
                self.close()
            self._open(call.until)
            reached = Reached.CONNECTED
            if time.monotonic() >= call.until:  # after a standstill of this node: nobody waits for it
                raise TimeoutError
            if not leaving(call):
                raise _Withheld
            self._write(call)
            reached = Reached.WRITTEN
            answer = self._read(call.until)
            keep = answer is not None and answer.keep_alive and not len(self._buffer)
            ending = EndReason.BROKEN if answer is not None else EndReason.GIVEN_UP
        except _CalledOff:
            ending = EndReason.CALLED_OFF
            answer = self._received_answer() if reached is Reached.WRITTEN else None
        except _Withheld:
            ending = EndReason.WITHHELD
        except sockets.LocalResourceError as error:
            ending, broken_by = EndReason.WITHHELD, error_name(error)
        except TimeoutError as error:
            ending, broken_by = EndReason.GIVEN_UP, error_name(error)
        except (OSError, http.BadMessage) as error:
            ending, broken_by = EndReason.BROKEN, error_name(error)
        except Exception as error:  # whatever it is, the messages' ends must be told
            log.error("call_failed", peer=format_host_port(self._peer), error=repr(error))
        call.over = True
        if (
            answer is None
            and reached is Reached.WRITTEN
            and len(call.messages) == 1
            and self._reader.status_is_ok
        ):
            results = dict.fromkeys(ids, DELIVERED)
        elif answer is None:
            results = dict.fromkeys(ids, replace(unanswered_result(reached, ending), error=broken_by))
        elif len(call.messages) == 1:
            results = dict.fromkeys(ids, answer_result(answer, self._fields))
        else:
            results = batch_results(answer, ids, self._fields)
        if not keep:
            if self._socket is not None:
                log.debug(
                    "connection_closed",
                    peer=format_host_port(self._peer),
                    reason=_close_reason(answer, ending),
                )
            self.close()
        for message in call.messages:
            end(message, results[message.id])
        return keep

    def _open(self, give_up: float) -> None:
        if self._socket is not None:
            return
        left = give_up - time.monotonic()
        if left <= 0.0:
            raise TimeoutError
        self._socket = sockets.connect(self._peer, min(left, self._connect_timeout or left), left)

    def _write(self, call: Call) -> None:
        assert self._socket is not None
        left = max(0.001, call.until - time.monotonic())
        headers = [("X-Timeout", f"{left:.3f}")]
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
        self._socket.settimeout(min(left, max(0.001, call.leave_by - time.monotonic())))
        self._socket.sendall(http.request("POST", path, format_host_port(self._peer), headers, body))

    def _received_answer(self) -> http.Message | None:
        """The answer of a cancelled call, if all of it has been received."""
        assert self._socket is not None
        try:
            if not sockets.nothing_to_read(self._socket):
                self._buffer.receive(self._socket)
            return self._reader.advance(self._buffer)
        except (OSError, http.BadMessage):
            return None

    def _read(self, deadline: float) -> http.Message | None:
        """The answer; `None` if it is not whole by the deadline. Raises `OSError` or `http.BadMessage`."""
        assert self._socket is not None
        begun = False
        while (answer := self._reader.advance(self._buffer)) is None:
            if not begun and (begun := self._reader.started or len(self._buffer) > 0):
                deadline = min(deadline, time.monotonic() + ANSWER_TIMEOUT)
            if begun:
                gevent.sleep(0)  # an answer that keeps coming must not keep the others from their turn
            try:
                received = sockets.receive_before(self._socket, self._buffer, deadline)
            except TimeoutError:
                return None
            if not received:
                answer = self._reader.finish_at_eof()
                if answer is None:
                    raise ConnectionResetError
                return answer
        return answer


def _close_reason(answer: http.Message | None, ending: EndReason) -> str:
    """Why a connection is not kept after a call: how the call ended, or what its answer said."""
    if answer is None:
        return ending.name.lower()
    return "more_than_an_answer" if answer.keep_alive else "endpoint_closes"


class Endpoint:
    """Takes commands for one endpoint and runs its calls, each in a greenlet of its own."""

    def __init__(
        self,
        address: Address,
        peer: HostPort,
        post: Callable[[AttemptResult], None],
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
        self._peer = peer
        self._post = post
        self._store = store
        self._counters = counters
        self.mailbox: Queue[Command | _Back] = Queue(1)
        self._adopt(
            Reconfigure(connect_timeout, idle_timeout, max_idle_connections, max_calls, report_fields)
        )
        self._calls: list[Call] = []
        self._idle: deque[Connection] = deque()
        self._retired = False
        self._held_until = 0.0
        self.worker: gevent.Greenlet[..., None] = gevent.Greenlet(self.run)

    def _adopt(self, terms: Reconfigure) -> None:
        self._connect_timeout = terms.connect_timeout
        self._report_fields = terms.report_fields
        self._trusted = terms.idle_timeout * (1.0 - IDLE_MARGIN) if terms.idle_timeout else LONG
        self._most_idle = terms.max_idle_connections
        # A call, its cancelling and its end for each slot, and what the list tells beside them.
        enlarge(self.mailbox, 4 * terms.max_calls + 16)

    def run(self) -> None:
        """Handle commands until the endpoint is retired and its last call has ended."""
        while not (self._retired and not self._calls and self.mailbox.empty()):
            wait = None
            if self._idle:
                wait = max(0.0, self._idle[0].idle_since + self._trusted - time.monotonic())
            with suppress(Empty):
                self._handle(self.mailbox.get(timeout=wait))
            while self._idle and self._idle[0].idle_since + self._trusted <= time.monotonic():
                self._idle.popleft().close()

    def _handle(self, command: "Command | _Back") -> None:
        match command:
            case Call():
                self._calls.append(command)
                command.worker = gevent.spawn(self._work, command, self._connection())
            case CancelAttempt(number, attempt):
                for call in self._calls:
                    carried = ((message.number, message.attempt) for message in call.messages)
                    if not call.over and (number, attempt) in carried:
                        call.over = True
                        if call.begun and call.worker is not None:
                            call.worker.kill(_CalledOff, block=False)
            case _Back(call, connection):
                self._calls.remove(call)
                if connection is not None:
                    connection.idle_since = time.monotonic()
                    self._idle.append(connection)
                    if self._retired or len(self._idle) > self._most_idle:
                        self._idle.popleft().close()
            case Reconfigure():
                self._adopt(command)
                while len(self._idle) > self._most_idle:
                    self._idle.popleft().close()
            case WithholdCalls(until):
                self._held_until = max(self._held_until, until)
            case Retire():
                self._retired = True
                self._close_idle()
            case CloseIdle():
                self._close_idle()

    def _close_idle(self) -> None:
        while self._idle:
            self._idle.pop().close()

    def _connection(self) -> Connection:
        """The most recently used idle connection that is usable, or a new one."""
        while self._idle:
            connection = self._idle.pop()
            if time.monotonic() - connection.idle_since < self._trusted and connection.usable():
                connection.adopt(self._connect_timeout, self._report_fields)
                return connection
            connection.close()
        self._counters.add("connections_opened")
        return Connection(self._peer, self._connect_timeout, self._report_fields)

    def _work(self, call: Call, connection: Connection) -> None:
        keep = connection.carry(call, self._leaving, self._end)
        self.mailbox.put(_Back(call, connection if keep else None))

    def _leaving(self, call: Call) -> bool:
        """Put the call on record before it is sent: from here on it may have run.

        Returns false for a call that must not be sent. One that cannot be put on record waits for that.
        """
        on_record = False
        while True:
            checked_at = time.monotonic()
            if (reason := self._withheld(call)) is not None:
                self._counters.add("calls_withheld")
                log.debug("call_withheld", ids=[m.id for m in call.messages], reason=reason.value)
                return False
            if not on_record and not self._put_on_record(call):
                gevent.sleep(RECORD_RETRY)  # with no record it might be sent again by a restart
                continue
            on_record = True
            if time.monotonic() < checked_at + HELD_UP:
                break
            gevent.sleep(CATCH_UP)  # the node stood still: what it was told meanwhile is read first
        self._counters.add("calls_sent")
        self._counters.add("messages_sent", len(call.messages))
        return True

    def _put_on_record(self, call: Call) -> bool:
        attempts = [(message.number, message.attempt) for message in call.messages]
        return self._store.record_send(attempts, call.sent_at, call.zone)

    def _withheld(self, call: Call) -> "Withheld | None":
        """Why a call must not be sent now, if there is a reason."""
        now = time.monotonic()
        if self._retired:
            return Withheld.RETIRED
        if now < self._held_until:
            return Withheld.TOLD_TO_WAIT
        if now >= call.leave_by:
            return Withheld.WINDOW_ENDED
        if now >= call.until:
            return Withheld.TIME_UP
        return None

    def _end(self, message: OutgoingMessage, result: Result) -> None:
        self._counters.add(f"ended_{result.outcome.name.lower()}")
        if result.error:
            self._counters.add(f"ended_{result.outcome.name.lower()}_{result.error}")
        self._post(AttemptResult(message.number, message.attempt, self.address, result))
