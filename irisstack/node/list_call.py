"""One call for the endpoint list: a fetch of the whole list, or a watch for changes."""

import json
import math
import time
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

import gevent
import structlog
from gevent import socket

from irisstack import list_refresh
from irisstack.node import http, sockets
from irisstack.node.buffer import Buffer
from irisstack.node.config import HostPort, format_host_port
from irisstack.node.objects import JsonObjectStream

ANSWER_OVERDUE_AFTER_S = list_refresh.ANSWER_OVERDUE_AFTER
"""Seconds from its start after which an unanswered call is overdue: another may be started in parallel."""
PARTIAL_ANSWER_OVERDUE_AFTER_S = 1.8
"""The same in seconds while bytes of the answer are arriving."""
MAX_BYTE_GAP_S = 0.6
"""Seconds between bytes up to which they count as arriving."""
WATCH_OVERDUE_AFTER_S = 2.6
"""Seconds without an object or a heartbeat after which a watch is overdue; heartbeats come every 2 s.

An update missed since the last one must arrive within 6 s of it, even if the next call is overdue too.
"""
SILENCE_TIMEOUT_S = 3.5
"""Seconds allowed for the connect, and without an object or a heartbeat once an answer has begun."""
ANSWER_TIMEOUT_S = 120.0
"""Seconds after which a call that has not received a byte ends.

Long, because a service that works through calls in order answers this one before any later call.
"""
OVERDUE_CHECK_INTERVAL_S = 0.2
"""Seconds between checks of a call that is overdue or has unread bytes."""

log = structlog.get_logger()


class Query(Enum):
    """The kind of call."""

    FETCH = "fetch"
    WATCH = "watch"


@dataclass(slots=True, frozen=True)
class CallFailure:
    """Why a call failed or is overdue."""

    silent_for: float
    """Seconds since the last object or heartbeat, or else since the start of the call; 0 if not connected."""
    reason: str
    call_ended: bool
    """Whether the call is over; one that is only overdue may still be answered."""


class Listener(Protocol):
    """The owner of a call."""

    def on_object(self, call: "ListCall", raw: Any) -> bool:
        """A JSON object has arrived; returns whether it is current. Raises if it is not a list update."""

    def on_confirmed(self, call: "ListCall") -> None:
        """An object or a heartbeat has arrived: the list as received by this call is the newest."""

    def on_failure(self, call: "ListCall", failure: CallFailure) -> None:
        """The call has failed or is overdue. Reported once, and again only after `on_confirmed`."""


class ListCall:
    """Runs in two greenlets: one reads, the other reports when the call is overdue.

    Only a whole object or an empty line (the heartbeat) confirms the list, not just any bytes.
    """

    def __init__(
        self, number: int, address: HostPort, query: Query, revision: int, listener: Listener
    ) -> None:
        """`number` identifies the call in the log; a watch receives the changes since `revision`."""
        self.number = number
        self.started_at = self._confirmed_at = time.monotonic()
        self._address = address
        self._query = query
        self._revision = revision
        self._listener = listener
        self._connection: socket.socket | None = None
        self._buffer = Buffer()
        self._answered = False
        self._last_bytes_at = -math.inf
        self._answer_started_at: float | None = None
        self._overdue = False
        self.newest_revision = 0
        """The highest revision of a list update that this call has brought; its listener keeps it."""
        self.ended = False
        """Whether the call is over and its listener is no longer called."""
        self._greenlets = [gevent.spawn(self._run), gevent.spawn(self._report_overdue)]

    @property
    def on_time(self) -> bool:
        """Whether the call is running and not overdue."""
        return not self.ended and not self._overdue

    @property
    def answered(self) -> bool:
        """Whether an object or a heartbeat has arrived."""
        return self._answered

    def end(self) -> None:
        """End the call; its listener is no longer called."""
        self.ended = True
        gevent.killall(self._greenlets, block=False)

    # ---- reading ----

    def _run(self) -> None:
        try:
            reason = self._request()
        except Exception as error:  # any error must reach the listener, or it would never call again
            reason = repr(error)
        finally:
            if self._connection is not None:
                self._connection.close()
        if self.ended:
            return
        self.ended = True
        if reason and not self._overdue:
            self._listener.on_failure(self, CallFailure(self._silent_for, reason, call_ended=True))

    @property
    def _silent_for(self) -> float:
        # A connection that is not established has not reached the service, however overdue the call is.
        return time.monotonic() - self._confirmed_at if self._connection is not None else 0.0

    def _request(self) -> str:
        """Make the call; returns why it failed or how the watch ended, empty for a fetch that succeeded."""
        self._connection = sockets.connect(self._address, SILENCE_TIMEOUT_S)
        query = f"?watch=1&from={self._revision}" if self._query is Query.WATCH else ""
        self._connection.sendall(http.request("GET", f"/v1/servers{query}", format_host_port(self._address)))
        if self._query is Query.WATCH:
            return f"ended with status {self._read_watch()}"
        answer = self._read_answer()
        if answer.status != 200:
            return f"ended with status {answer.status}"
        self._pass_on(bytes(answer.body))
        return ""

    def _read_answer(self) -> http.Message:
        reader = http.ResponseReader(http.MAX_LIST, kept_headers=())
        while (answer := reader.advance(self._buffer)) is None:
            if not self._receive():
                answer = reader.finish_at_eof()
                if answer is None:
                    raise ConnectionResetError("the connection ended before the answer was complete")
                break
        return answer

    def _read_watch(self) -> int:
        """Pass on each object of a watch until it ends; returns the answer's status, 0 if there was none."""
        reader, objects = http.ResponseReader(http.MAX_LIST, kept_headers=()), JsonObjectStream(http.MAX_LIST)
        while self._receive():
            answer = reader.advance(self._buffer)
            status = (answer or reader.message).status
            if status == 200:
                body = bytes(answer.body) if answer is not None else reader.take_body()
                for data in objects.feed(body):
                    self._pass_on(data)
                if objects.between_objects and b"\n" in body:
                    self._confirm()
            if answer is not None or (reader.headers_complete and status != 200):
                return status
        return reader.message.status

    def _receive(self) -> int:
        """Read once; raises `TimeoutError` if the call's time is up and no bytes are waiting to be read."""
        assert self._connection is not None
        gevent.sleep(0)  # yields, so that a flood of bytes does not starve other greenlets
        received = sockets.receive_before(self._connection, self._buffer, self._ends_at)
        self._last_bytes_at = time.monotonic()
        if self._answer_started_at is None:
            self._answer_started_at = self._last_bytes_at
        return received

    @property
    def _ends_at(self) -> float:
        """When the call ends unless more data arrives."""
        if self._answer_started_at is None:
            return self.started_at + ANSWER_TIMEOUT_S
        return max(self._confirmed_at, self._answer_started_at) + SILENCE_TIMEOUT_S

    def _pass_on(self, data: bytes) -> None:
        """Pass on an object; one that is current confirms the list."""
        if not self.ended and self._listener.on_object(self, json.loads(data)):
            self._confirm()

    def _confirm(self) -> None:
        if self.ended:
            return
        self._confirmed_at = time.monotonic()
        self._overdue = False
        if not self._answered:
            self._answered = True
            after_s = round(self._confirmed_at - self.started_at, 3)
            log.info("list_call_answered", call=self.number, after_s=after_s)
        self._listener.on_confirmed(self)

    # ---- overdue calls ----

    def _report_overdue(self) -> None:
        """Report a failure each time the call becomes overdue."""
        while not self.ended:
            remaining = self._overdue_at - time.monotonic()
            if remaining > 0.0:
                gevent.sleep(remaining)
            elif self._overdue or self._has_unread_bytes:
                gevent.sleep(OVERDUE_CHECK_INTERVAL_S)
            else:
                self._overdue = True
                self._listener.on_failure(self, CallFailure(self._silent_for, "late", call_ended=False))

    @property
    def _overdue_at(self) -> float:
        if self._answered:
            return self._confirmed_at + WATCH_OVERDUE_AFTER_S
        receiving = time.monotonic() < self._last_bytes_at + MAX_BYTE_GAP_S
        return self.started_at + (PARTIAL_ANSWER_OVERDUE_AFTER_S if receiving else ANSWER_OVERDUE_AFTER_S)

    @property
    def _has_unread_bytes(self) -> bool:
        """Whether bytes wait in the socket that arrived while this process was stalled."""
        return self._connection is not None and not sockets.nothing_to_read(self._connection)
