"""One call for the endpoint list: a fetch of the whole list, or a watch on its changes."""

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
from irisstack.node.objects import ObjectStream

ANSWER_OVERDUE_AFTER_S = list_refresh.ANSWER_OVERDUE_AFTER
"""Seconds from its begin after which a call without a word is late: another may be begun beside it."""
PARTIAL_ANSWER_OVERDUE_AFTER_S = 1.8
"""The same for one whose bytes are coming."""
MAX_BYTE_GAP_S = 0.6
"""Seconds from a byte to the next for which they count as coming."""
WATCH_OVERDUE_AFTER_S = 2.6
"""Seconds without a word after which a watch is late; one is due every 2 s.

What is missed from the last word on has to be here 6 s later, also where the next call is late too.
"""
SILENCE_TIMEOUT_S = 3.5
"""Seconds for a connect, and without a word of an answer that has begun, after which a call ends."""
ANSWER_TIMEOUT_S = 120.0
"""Seconds without a byte after which a call ends.

A service that works through calls in turn comes to this one sooner than to any that is made later.
"""
OVERDUE_CHECK_INTERVAL_S = 0.2
"""Seconds between two looks at a call that is late, or has bytes that nobody has read yet."""

log = structlog.get_logger()


class Query(Enum):
    """What is asked."""

    FETCH = "fetch"
    WATCH = "watch"


@dataclass(slots=True, frozen=True)
class CallFailure:
    """Why a call brings nothing any more, or not in time."""

    silent_for: float
    """Seconds since discovery, which took the call, was heard; 0 if it was not reached."""
    reason: str


class Listener(Protocol):
    """Who made the call."""

    def on_object(self, call: "ListCall", raw: Any) -> None:
        """Discovery has said this; raises if it is no list."""

    def on_confirmed(self, call: "ListCall") -> None:
        """Discovery was heard in full: the list that the call has brought so far is the newest."""

    def on_failure(self, call: "ListCall", failure: CallFailure) -> None:
        """The call has failed, or is late. It is told once, and anew only after a word in between."""


class ListCall:
    """Runs in two greenlets: one reads, the other tells when the call is late.

    Bytes that make no whole object and no empty line are no word, however many come.
    """

    def __init__(self, number: int, peer: HostPort, query: Query, revision: int, listener: Listener) -> None:
        """`number` names the call in the log; a watch is told what has changed since `revision`."""
        self.number = number
        self.started_at = self._confirmed_at = time.monotonic()
        self._peer = peer
        self._query = query
        self._revision = revision
        self._listener = listener
        self._connection: socket.socket | None = None
        self._buffer = Buffer()
        self._answered = False
        self._last_bytes_at = -math.inf
        self._answer_started_at: float | None = None
        self._overdue = False
        self.ended = False
        """Whether nothing is told of the call any more."""
        self._greenlets = [gevent.spawn(self._run), gevent.spawn(self._report_overdue)]

    @property
    def on_time(self) -> bool:
        """Whether the call goes on and is not late."""
        return not self.ended and not self._overdue

    @property
    def answered(self) -> bool:
        """Whether a word of the answer has come."""
        return self._answered

    def end(self) -> None:
        """End the call; nothing is told of it any more."""
        self.ended = True
        gevent.killall(self._greenlets, block=False)

    # ---- reading ----

    def _run(self) -> None:
        try:
            reason = self._request()
        except Exception as error:  # whatever it is, the caller must hear of it, or it never asks again
            reason = repr(error)
        finally:
            if self._connection is not None:
                self._connection.close()
        if self.ended:
            return
        self.ended = True
        if reason and not self._overdue:
            self._listener.on_failure(self, CallFailure(self._silent_for, reason))

    @property
    def _silent_for(self) -> float:
        # A connection that does not come up has not reached the service, however late it is.
        return time.monotonic() - self._confirmed_at if self._connection is not None else 0.0

    def _request(self) -> str:
        """Make the call; returns why it failed or how a watch ended; empty for a fetch that was answered."""
        self._connection = sockets.connect(self._peer, SILENCE_TIMEOUT_S)
        query = f"?watch=1&from={self._revision}" if self._query is Query.WATCH else ""
        self._connection.sendall(http.request("GET", f"/v1/servers{query}", format_host_port(self._peer)))
        if self._query is Query.WATCH:
            return f"ended with status {self._read_watch()}"
        answer = self._read_answer()
        if answer.status != 200:
            return f"ended with status {answer.status}"
        self._pass_on(bytes(answer.body))
        self._confirm()
        return ""

    def _read_answer(self) -> http.Message:
        reader = http.AnswerReader(http.MAX_LIST)
        while (answer := reader.advance(self._buffer)) is None:
            if not self._receive():
                answer = reader.ended()
                if answer is None:
                    raise ConnectionResetError("the answer ended early")
                break
        return answer

    def _read_watch(self) -> int:
        """Hand on each object of a watch until it ends; returns the status of its answer, 0 if none came."""
        reader, objects = http.AnswerReader(http.MAX_LIST), ObjectStream(http.MAX_LIST)
        while self._receive():
            answer = reader.advance(self._buffer)
            status = (answer or reader.message).status
            if status == 200:
                body = bytes(answer.body) if answer is not None else reader.take_body()
                for data in objects.feed(body):
                    self._pass_on(data)
                    self._confirm()
                if objects.between and b"\n" in body:
                    self._confirm()
            if answer is not None or (reader.head_done and status != 200):
                return status
        return reader.message.status

    def _receive(self) -> int:
        """Read once; raises `TimeoutError` when no word has come for too long and nothing is unread."""
        assert self._connection is not None
        gevent.sleep(0)  # a flood must not keep the others from their turn
        received = sockets.receive_before(self._connection, self._buffer, self._ends_at)
        self._last_bytes_at = time.monotonic()
        if self._answer_started_at is None:
            self._answer_started_at = self._last_bytes_at
        return received

    @property
    def _ends_at(self) -> float:
        """When the call ends unless more comes."""
        if self._answer_started_at is None:
            return self.started_at + ANSWER_TIMEOUT_S
        return max(self._confirmed_at, self._answer_started_at) + SILENCE_TIMEOUT_S

    def _pass_on(self, data: bytes) -> None:
        if not self.ended:
            self._listener.on_object(self, json.loads(data))

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

    # ---- the time ----

    def _report_overdue(self) -> None:
        """Tell when the call is late, and again when it is so after it has been heard once more."""
        while not self.ended:
            remaining = self._overdue_at - time.monotonic()
            if remaining > 0.0:
                gevent.sleep(remaining)
            elif self._overdue or self._has_unread_bytes:
                gevent.sleep(OVERDUE_CHECK_INTERVAL_S)
            else:
                self._overdue = True
                self._listener.on_failure(self, CallFailure(self._silent_for, "late"))

    @property
    def _overdue_at(self) -> float:
        if self._answered:
            return self._confirmed_at + WATCH_OVERDUE_AFTER_S
        receiving = time.monotonic() < self._last_bytes_at + MAX_BYTE_GAP_S
        return self.started_at + (PARTIAL_ANSWER_OVERDUE_AFTER_S if receiving else ANSWER_OVERDUE_AFTER_S)

    @property
    def _has_unread_bytes(self) -> bool:
        """Whether bytes lie there that came while this process stood still."""
        return self._connection is not None and not sockets.quiet(self._connection)
