"""The actor of one endpoint: owns its connection pool and runs its calls."""

import time
from collections import deque
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum

import gevent
import structlog
from gevent.queue import Empty, Queue

from irisstack.interface import Address
from irisstack.node.call import Call, OutgoingMessage
from irisstack.node.config import HostPort
from irisstack.node.connection import CallCancelled, CloseReason, Connection
from irisstack.node.counters import Counters
from irisstack.node.mailbox import enlarge
from irisstack.node.response_match import BodyVariety
from irisstack.node.results import Result
from irisstack.node.store import Store

DEFAULT_IDLE_TIMEOUT = 3600.0
"""Seconds for which an idle connection is kept if the settings set no limit."""
IDLE_MARGIN = 0.05
"""Share of the idle timeout at its end in which a connection is closed instead of reused.

The endpoint may be closing the connection by then.
"""

RECORD_RETRY_PAUSE = 0.05
"""Seconds between attempts to write a call to the write-ahead log."""

MAX_RECORD_DELAY, CATCH_UP_PAUSE = 0.1, 0.01
"""Seconds. A call whose record took longer is checked once more, after a pause of `CATCH_UP_PAUSE`.

This process may have been suspended meanwhile; in the pause the actor handles the commands that are queued.
"""

log = structlog.get_logger()


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
    destination: int | None = None
    """The destination. Calls for another one, to which the address belongs now, are not withheld."""


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
    connection: Connection | None


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
        self._body_variety = BodyVariety()
        self._retired = False
        self._withheld_until: dict[int | None, float] = {}  # by destination
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
                self._idle.popleft().close(CloseReason.IDLE_TIMEOUT)

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
                            call.worker.kill(CallCancelled, block=False)
            case _CallEnded(call, connection):
                self._calls.remove(call)
                if connection is not None:
                    connection.idle_since = time.monotonic()
                    self._idle.append(connection)
                    self._trim_idle()
            case Reconfigure():
                self._reconfigure(command)
                self._trim_idle()
            case WithholdCalls(until, destination):
                self._withheld_until[destination] = max(self._withheld_until.get(destination, 0.0), until)
            case Retire():
                self._retired = True
                self._trim_idle()
            case CloseIdle():
                while self._idle:
                    self._idle.pop().close(CloseReason.NOT_WORTH_KEEPING)

    def _trim_idle(self) -> None:
        """Close idle connections beyond the limit, and all of them once the endpoint is retired."""
        while self._retired and self._idle:
            self._idle.popleft().close(CloseReason.ENDPOINT_RETIRED)
        while len(self._idle) > self._max_idle_connections:
            self._idle.popleft().close(CloseReason.POOL_LIMIT)

    def _take_connection(self) -> Connection:
        """The most recently used idle connection that is usable, or a new one."""
        while self._idle:
            connection = self._idle.pop()
            if time.monotonic() - connection.idle_since >= self._max_idle_time:
                connection.close(CloseReason.IDLE_TIMEOUT)
            elif connection.close_if_unusable():
                connection.configure(self._connect_timeout, self._report_fields)
                return connection
        self._counters.add("connections_opened")
        return Connection(
            self._host_port,
            self._connect_timeout,
            self._report_fields,
            self._counters,
            self._body_variety,
        )

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
        if now < self._withheld_until.get(call.destination, 0.0):
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
