"""A connection to an endpoint: sends one call at a time and reads its response."""

import itertools
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass, replace
from enum import Enum

import gevent
import structlog
from gevent import socket

from irisstack.node import http, sockets
from irisstack.node.buffer import Buffer
from irisstack.node.call import BATCH_LINE_END, Call, OutgoingMessage, batch_line
from irisstack.node.config import HostPort, format_host_port
from irisstack.node.counters import Counters
from irisstack.node.response_match import BodyVariety, Match, ResponseMatcher
from irisstack.node.results import (
    DELIVERED,
    RESPONSE_HEADERS,
    EndReason,
    Reached,
    Result,
    answer_result,
    batch_results,
    error_name,
    unanswered_result,
)

RESPONSE_TIMEOUT = 2.0
"""Seconds from the first byte of a response to its last."""
MAX_REPEATED_RESPONSES = 16
"""Responses to earlier calls that are skipped while a call waits for its own."""
MAX_LOGGED_IDS, MAX_LOGGED_BODY = 8, 64
"""Ids, and characters of a response's body, in one log line."""

log = structlog.get_logger()

_connection_numbers = itertools.count(1)


class CloseReason(Enum):
    """Why a connection to an endpoint is closed. The values are logged and name counters."""

    CALL_BROKEN = "call_broken"
    CALL_TIMED_OUT = "call_timed_out"
    CALL_CANCELLED = "call_cancelled"
    CALL_WITHHELD = "call_withheld"
    CLOSED_BY_ENDPOINT = "closed_by_endpoint"
    UNEXPECTED_DATA = "unexpected_data"
    """Data arrived that no call was waiting for."""
    REPEATED_RESPONSE = "repeated_response"
    """The response to an earlier call arrived once more."""
    INDISTINCT_RESPONSE = "indistinct_response"
    """A repetition of the response could not be told from the response to the next call."""
    IDLE_TIMEOUT = "idle_timeout"
    POOL_LIMIT = "pool_limit"
    """There are more idle connections to the endpoint than may be kept."""
    NOT_WORTH_KEEPING = "not_worth_keeping"
    """The decision module has the endpoint's idle connections closed."""
    ENDPOINT_RETIRED = "endpoint_retired"


CLOSE_REASON_WITHOUT_RESPONSE = {
    EndReason.BROKEN: CloseReason.CALL_BROKEN,
    EndReason.GIVEN_UP: CloseReason.CALL_TIMED_OUT,
    EndReason.CALLED_OFF: CloseReason.CALL_CANCELLED,
    EndReason.WITHHELD: CloseReason.CALL_WITHHELD,
}


class CallCancelled(Exception):
    """The call was cancelled; thrown into its greenlet."""


class CallWithheld(Exception):
    """The call must not be sent."""


class UnclearResponse(Exception):
    """It is not clear to which call the response belongs."""


@dataclass(slots=True)
class _CallEnd:
    """How a call ended."""

    reached: Reached = Reached.NOTHING
    reason: EndReason = EndReason.BROKEN
    """Why it ended without a response, if it did."""
    written_at: float | None = None
    """When the call's last byte had been written; monotonic time in seconds."""
    response: http.Message | None = None
    error: str = ""
    """The system's name of the error that ended it."""
    repeated_responses: int = 0
    """How many responses to earlier calls arrived before its own."""
    unclear: bool = False
    """Whether it is not clear to which call its response belongs."""


class Connection:
    """A connection that runs one call at a time. `execute` turns errors into results and raises none."""

    def __init__(
        self,
        host_port: HostPort,
        connect_timeout: float,
        report_fields: Sequence[str],
        counters: Counters,
        body_variety: BodyVariety,
    ) -> None:
        """`body_variety` is shared by all connections to the endpoint."""
        self._host_port = host_port
        self._counters = counters
        self._body_variety = body_variety
        self.configure(connect_timeout, report_fields)
        self._socket: socket.socket | None = None
        self._number = 0  # identifies the open connection in the log
        self._calls = 0  # calls sent on the open connection
        self._matcher = ResponseMatcher(self._body_variety)
        self._buffer = Buffer()
        self._reader = http.ResponseReader(kept_headers=RESPONSE_HEADERS)
        self.idle_since = 0.0

    def configure(self, connect_timeout: float, report_fields: Sequence[str]) -> None:
        """Use these values from the next call on."""
        self._connect_timeout = connect_timeout
        self._report_fields = report_fields

    def close_if_unusable(self) -> bool:
        """Close an idle connection that its endpoint has closed, or on which data has arrived.

        Returns whether the connection is open.
        """
        if self._socket is None:
            return False
        match sockets.pending_input(self._socket):
            case sockets.PendingInput.DATA:
                self.close(CloseReason.UNEXPECTED_DATA)
            case sockets.PendingInput.END:
                self.close(CloseReason.CLOSED_BY_ENDPOINT)
        return self._socket is not None

    def close(self, reason: CloseReason) -> None:
        """Close the connection if it is open."""
        if self._socket is None:
            return
        self._counters.add(f"connections_closed_{reason.value}")
        log_method = log.info if reason is CloseReason.UNEXPECTED_DATA else log.debug
        log_method(
            "connection_closed",
            peer=format_host_port(self._host_port),
            connection=self._number,
            calls=self._calls,
            reason=reason.value,
        )
        self._socket.close()
        self._socket = None
        self._reader.reset()

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
        end = _CallEnd()
        try:
            self._send_and_read(call, before_send, end)
        except CallCancelled:
            end.reason = EndReason.CALLED_OFF
            end.response = self._received_response(call) if end.reached is Reached.WRITTEN else None
        except CallWithheld:
            end.reason = EndReason.WITHHELD
        except sockets.LocalResourceError as error:
            end.reason, end.error = EndReason.WITHHELD, error_name(error)
        except TimeoutError as error:
            end.reason, end.error = EndReason.GIVEN_UP, error_name(error)
        except (OSError, http.BadMessage, UnclearResponse) as error:
            end.reason, end.error = EndReason.BROKEN, error_name(error)
            end.unclear = isinstance(error, UnclearResponse)
        except Exception as error:  # an unexpected error must not leave a message without a result
            log.error("call_failed", peer=format_host_port(self._host_port), error=repr(error))
        call.ended = True
        results = self._results(call, end)
        close_reason = self._close_reason(call, end, all(result.final for result in results.values()))
        self._log_call(call, end)
        if close_reason is not None:
            self.close(close_reason)
        for message in call.messages:
            on_result(message, replace(results[message.id], connection=self._number))
        return close_reason is None

    def _send_and_read(self, call: Call, before_send: Callable[[Call], bool], end: "_CallEnd") -> None:
        """Send a call and read its response; `end` holds how far it got when an error is raised."""
        if call.ended:
            raise CallCancelled
        call.started = True
        self.close_if_unusable()  # data or an end of stream may have arrived since the pool's check
        self._open(call.deadline)
        end.reached = Reached.CONNECTED
        if time.monotonic() >= call.deadline:  # this process was suspended while it connected
            raise TimeoutError
        if not before_send(call):
            raise CallWithheld
        self._calls += 1
        self._write(call)
        end.reached, end.written_at = Reached.WRITTEN, time.monotonic()
        end.response = self._read_own_response(call, end)
        if end.response is None:
            end.reason = EndReason.GIVEN_UP

    def _close_reason(self, call: Call, end: "_CallEnd", all_finished: bool) -> CloseReason | None:
        """Why the connection must be closed after a call; `None` if it can be used for another one."""
        response = end.response
        if response is None:
            if end.repeated_responses or end.unclear:
                self._matcher.give_up()
            return CLOSE_REASON_WITHOUT_RESPONSE[end.reason]
        if end.reason is EndReason.CALLED_OFF:
            return CloseReason.CALL_CANCELLED
        if not response.keep_alive:
            return CloseReason.CLOSED_BY_ENDPOINT
        if len(self._buffer):
            return CloseReason.UNEXPECTED_DATA
        if end.repeated_responses:
            return CloseReason.REPEATED_RESPONSE
        if not self._matcher.complete_call(response, call.ids, all_finished):
            return CloseReason.INDISTINCT_RESPONSE
        return None

    def _results(self, call: Call, end: "_CallEnd") -> dict[str, Result]:
        """The result of each message of a call that has ended, by id."""
        if end.response is not None and len(call.messages) > 1:
            return batch_results(end.response, call.ids, self._report_fields)
        if end.response is not None:
            result = answer_result(end.response, self._report_fields)
        elif end.reached is Reached.WRITTEN and len(call.messages) == 1 and self._accepted_in_part:
            result = DELIVERED
        else:
            result = replace(unanswered_result(end.reached, end.reason), error=end.error)
        return dict.fromkeys(call.ids, result)

    @property
    def _accepted_in_part(self) -> bool:
        """Whether an incomplete response accepts the call and cannot belong to an earlier one."""
        return self._reader.status_is_ok and self._matcher.awaits_first_response

    def _log_call(self, call: Call, end: "_CallEnd") -> None:
        """Log how a call that was sent ended."""
        if end.written_at is None:
            return
        log.debug(
            "call_ended",
            peer=format_host_port(self._host_port),
            connection=self._number,
            calls_before=self._calls - 1,
            ids=call.ids,
            status=end.response.status if end.response is not None else None,
            answered_after_s=round(time.monotonic() - end.written_at, 4),
        )

    def _open(self, deadline: float) -> None:
        if self._socket is not None:
            return
        remaining = deadline - time.monotonic()
        if remaining <= 0.0:
            raise TimeoutError
        self._socket = sockets.connect(
            self._host_port, min(remaining, self._connect_timeout or remaining), remaining
        )
        self._number, self._calls = next(_connection_numbers), 0
        self._matcher = ResponseMatcher(self._body_variety)

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
                batch_line(message.id, message.key, len(message.body)) + message.body + BATCH_LINE_END
                for message in call.messages
            )
        self._socket.settimeout(min(remaining, max(0.001, call.write_deadline - time.monotonic())))
        self._socket.sendall(http.request("POST", path, format_host_port(self._host_port), headers, body))

    def _received_response(self, call: Call) -> http.Message | None:
        """The response to a cancelled call, if it has been received completely."""
        assert self._socket is not None
        try:
            if not sockets.nothing_to_read(self._socket):
                self._buffer.receive(self._socket)
            for _ in range(MAX_REPEATED_RESPONSES):
                response = self._reader.advance(self._buffer)
                if response is None or self._is_own(response, call):
                    return response
        except (OSError, http.BadMessage, UnclearResponse):
            pass
        return None

    def _read_own_response(self, call: Call, end: "_CallEnd") -> http.Message | None:
        """The call's own response; `None` if it is incomplete at the deadline.

        Raises `OSError`, `http.BadMessage` or `UnclearResponse`.
        """
        while end.repeated_responses <= MAX_REPEATED_RESPONSES:
            response = self._read_response(call.deadline)
            if response is None or self._is_own(response, call):
                return response
            end.repeated_responses += 1
        raise UnclearResponse

    def _received_behind_response(self) -> str:
        """The first bytes behind a response, as far as they have arrived."""
        assert self._socket is not None
        size = len(http.STATUS_LINE_START)
        with suppress(OSError):  # an error behind a complete response concerns the connection alone
            while (
                len(self._buffer) < size and sockets.pending_input(self._socket) is sockets.PendingInput.DATA
            ):
                self._buffer.receive(self._socket)
        return self._buffer.peek(size).decode("latin-1")

    def _is_own(self, response: http.Message, call: Call) -> bool:
        """Whether a response is that of this call and not of an earlier one; raises `UnclearResponse`."""
        match = self._matcher.match(response, call.ids, self._received_behind_response())
        if match is Match.OWN:
            return True
        self._counters.add(f"responses_{match.name.lower()}")
        log.warning(
            "response_not_of_this_call",
            match=match.name.lower(),
            peer=format_host_port(self._host_port),
            connection=self._number,
            calls_before=self._calls - 1,
            status=response.status,
            ids=call.ids[:MAX_LOGGED_IDS],
            body=bytes(response.body[:MAX_LOGGED_BODY]).decode("latin-1"),
        )
        if match is Match.UNCLEAR:
            raise UnclearResponse
        return False

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
