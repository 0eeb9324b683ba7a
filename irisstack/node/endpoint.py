"""An actor for each endpoint: its connections, and the calls on them."""

import math
import time
from collections import deque
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass

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
from irisstack.node.results import DELIVERED, Ending, Reached, Result, answered, answered_each, unanswered
from irisstack.node.store import Store

LONG = 3600.0
"""Seconds an idle connection is kept where the settings name no limit."""
IDLE_MARGIN = 0.05
"""Part of the endpoint's idle limit in which a connection is no longer trusted."""

REST = 2.0
"""Seconds from the first byte of an answer until it must be whole."""

log = structlog.get_logger()


@dataclass(slots=True, frozen=True)
class Outgoing:
    """One message of a call."""

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
    """The messages that go to one endpoint together, with one fate."""

    messages: Sequence[Outgoing]
    sent_at: float  # Unix time, for the record
    zone: str = ""  # that it goes to, likewise
    worker: "gevent.Greenlet[..., None] | None" = None
    begun: bool = False
    over: bool = False  # ended or called off

    @property
    def until(self) -> float:
        """When it is given up: once no message waits for it, or the first is out of time.

        An attempt that has ended has no call out any more, and a call is ended for all of its messages or for
        none: whose own time is up must be told its end, so that the others' attempts end with it.
        """
        return min(
            max(message.give_up for message in self.messages), min(message.due for message in self.messages)
        )

    @property
    def leave_by(self) -> float:
        """When its last byte must have left, if it leaves."""
        return min(message.leave_by for message in self.messages)


@dataclass(slots=True, frozen=True)
class CallOff:
    """Stop waiting for the call that carries this attempt."""

    number: int
    attempt: int


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close the connections that carry no call."""


@dataclass(slots=True, frozen=True)
class Hold:
    """The destination told to wait: a call that has not left yet must not leave before this time."""

    until: float


@dataclass(slots=True, frozen=True)
class Retire:
    """The list no longer offers the endpoint: it gets nothing more, and the actor ends with its last call."""


@dataclass(slots=True, frozen=True)
class ChangeTerms:
    """Other settings are in force: what is begun from now on goes by these."""

    connect_timeout: float
    idle_limit: float
    most_idle: int
    most_calls: int
    report_fields: Sequence[str]


Command = Call | CallOff | CloseIdle | Hold | Retire | ChangeTerms


@dataclass(slots=True, frozen=True)
class _Back:
    """A call has ended; its connection comes back, if it can be used again."""

    call: Call
    connection: "Connection | None"


@dataclass(slots=True, frozen=True)
class Ended:
    """The end of one attempt, for the decider."""

    number: int
    attempt: int
    address: Address
    result: Result


class _CalledOff(Exception):
    """Raised inside a call's greenlet."""


class _Withheld(Exception):
    """Nothing may go to the endpoint, or not yet."""


class Connection:
    """One connection: a call at a time. Its exceptions stop here."""

    def __init__(self, peer: HostPort, connect_timeout: float, report_fields: Sequence[str]) -> None:
        self._peer = peer
        self.adopt(connect_timeout, report_fields)
        self._socket: socket.socket | None = None
        self._buffer = Buffer()
        self._reader = http.AnswerReader()
        self.idle_since = 0.0

    def adopt(self, connect_timeout: float, report_fields: Sequence[str]) -> None:
        """Go by these from the next call on."""
        self._connect_timeout = connect_timeout
        self._fields = report_fields

    def usable(self) -> bool:
        """Whether nothing, not even an end, waits to be read on an idle connection."""
        return self._socket is not None and sockets.quiet(self._socket)

    def close(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def carry(
        self, call: Call, leaving: Callable[[Call], bool], end: Callable[[Outgoing, Result], None]
    ) -> bool:
        """Carry one call to its end and tell each message's; returns whether the connection can be kept."""
        ids = [message.id for message in call.messages]
        reached, ending = Reached.NOTHING, Ending.BROKEN
        keep = False
        answer: http.Message | None = None
        try:
            if call.over:
                raise _CalledOff
            call.begun = True
            if not self.usable():  # also if something came since the endpoint's actor looked
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
            ending = Ending.BROKEN if answer is not None else Ending.GIVEN_UP
        except _CalledOff:
            ending = Ending.CALLED_OFF
            answer = self._come_already() if reached is Reached.WRITTEN else None
        except _Withheld:
            ending = Ending.WITHHELD
        except TimeoutError:
            ending = Ending.GIVEN_UP
        except (OSError, http.BadMessage):
            ending = Ending.BROKEN
        except Exception as error:  # whatever it is, the messages' ends must be told
            log.error("call_failed", peer=name_of(self._peer), error=repr(error))
        call.over = True
        if answer is None and reached is Reached.WRITTEN and len(call.messages) == 1 and self._reader.says_ok:
            results = dict.fromkeys(ids, DELIVERED)
        elif answer is None:
            results = dict.fromkeys(ids, unanswered(reached, ending))
        elif len(call.messages) == 1:
            results = dict.fromkeys(ids, answered(answer, self._fields))
        else:
            results = answered_each(answer, ids, self._fields)
        if not keep:
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
        self._socket = sockets.connect(self._peer, min(left, self._connect_timeout or left))

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
        self._socket.sendall(http.request("POST", path, name_of(self._peer), headers, body))

    def _come_already(self) -> http.Message | None:
        """The answer of a call that is called off, if it lies there unread."""
        assert self._socket is not None
        try:
            if not sockets.quiet(self._socket):
                self._buffer.receive(self._socket)
            return self._reader.advance(self._buffer)
        except (OSError, http.BadMessage):
            return None

    def _read(self, until: float) -> http.Message | None:
        """The answer, or nothing once nobody waits for it."""
        assert self._socket is not None
        begun = False
        while (answer := self._reader.advance(self._buffer)) is None:
            if not begun and (begun := self._reader.started or len(self._buffer) > 0):
                until = min(until, time.monotonic() + REST)
            if begun:
                gevent.sleep(0)  # an answer that keeps coming must not keep the others from their turn
            try:
                received = sockets.receive_before(self._socket, self._buffer, until)
            except TimeoutError:
                return None
            if not received:
                answer = self._reader.ended()
                if answer is None:
                    raise ConnectionResetError
                return answer
        return answer


class Endpoint:
    """The actor of one endpoint."""

    def __init__(
        self,
        address: Address,
        peer: HostPort,
        post: Callable[[Ended], None],
        store: Store,
        counters: Counters,
        *,
        connect_timeout: float,
        idle_limit: float,
        most_idle: int,
        most_calls: int,
        report_fields: Sequence[str],
    ) -> None:
        self.address = address
        self._peer = peer
        self._post = post
        self._store = store
        self._counters = counters
        self.mailbox: Queue[Command | _Back] = Queue(1)
        self._adopt(ChangeTerms(connect_timeout, idle_limit, most_idle, most_calls, report_fields))
        self._calls: list[Call] = []
        self._idle: deque[Connection] = deque()
        self._retired = False
        self._held_until = 0.0
        self.worker: gevent.Greenlet[..., None] = gevent.Greenlet(self.run)

    def _adopt(self, terms: ChangeTerms) -> None:
        self._connect_timeout = terms.connect_timeout
        self._report_fields = terms.report_fields
        self._trusted = terms.idle_limit * (1.0 - IDLE_MARGIN) if terms.idle_limit else LONG
        self._most_idle = terms.most_idle
        # A call, its cancelling and its end for each slot, and what the list tells beside them.
        enlarge(self.mailbox, 4 * terms.most_calls + 16)

    def run(self) -> None:
        """Take what is in the mailbox until the endpoint is retired and nothing is left to do."""
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
            case CallOff(number, attempt):
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
            case ChangeTerms():
                self._adopt(command)
                while len(self._idle) > self._most_idle:
                    self._idle.popleft().close()
            case Hold(until):
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
        """The connection used last, or a new one."""
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
        """On record before the last byte leaves: from here on the call may have run.

        A call that was still connecting when the endpoint began to drain, the destination told to wait, or
        the window ended in which its repeat is dropped, does not leave.
        """
        now = time.monotonic()
        if self._retired or now < self._held_until or now >= call.leave_by:
            self._counters.add("calls_withheld")
            return False
        self._store.out([(m.number, m.attempt) for m in call.messages], call.sent_at, call.zone)
        self._counters.add("calls_sent")
        self._counters.add("messages_sent", len(call.messages))
        return True

    def _end(self, message: Outgoing, result: Result) -> None:
        self._counters.add(f"ended_{result.outcome.name.lower()}")
        self._post(Ended(message.number, message.attempt, self.address, result))
