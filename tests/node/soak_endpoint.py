"""An endpoint for the soak test that fails calls and sends responses twice at random."""

import contextlib
import socket
import threading
import time
import uuid
from enum import Enum, auto
from random import Random

from irisstack.node import http
from tests.node.soak_audit import ReceivedCall, SoakRun
from tests.node_support import ScriptedEndpoint, accepted, http_response, message_ids

MAX_SERVICE_TIME_S = 0.04
REPETITION_PROBABILITY = 0.25
"""Probability that a response is sent a second time."""
MAX_DELAY_BEHIND_CALL_S = 0.01
"""Seconds from the arrival of the next call to a repetition that comes with it."""
MAX_DELAY_BEHIND_RESPONSE_S = 0.03
"""Seconds from a response to a repetition that comes soon."""
REFUSED_BELOW, FAILED_BELOW, CLOSED_BELOW, SILENT_BELOW = 0.06, 0.08, 0.09, 0.10
"""A number drawn from 0 to 1 decides how a call is treated; from the last bound on it is accepted."""


class Repetition(Enum):
    """When a response is sent a second time."""

    AT_ONCE = auto()
    SOON = auto()
    """A moment later, with or without a call in between."""
    WITH_NEXT_CALL = auto()
    CUT_OFF_WITH_NEXT_CALL = auto()
    """The same, but only a part of it."""


class SoakEndpoint(ScriptedEndpoint):
    """Serves most calls; answers the others with 429 or 500, closes the connection, or does not answer."""

    def __init__(self, soak_run: SoakRun, number: int) -> None:
        self._soak_run, self._number = soak_run, number
        self._random = Random(soak_run.seed * 10 + number)
        self._write_lock = threading.Lock()
        self._due_with_next_call: dict[socket.socket, bytes] = {}
        self._garbled: set[socket.socket] = set()
        """Connections on which a part of a response is due or was sent; what follows cannot be read."""
        self._unanswered: dict[socket.socket, list[ReceivedCall]] = {}
        super().__init__()

    def _serve(self, connection: socket.socket) -> None:
        super()._serve(connection)
        for call in self._unanswered.pop(connection, []):
            call.ended_at = time.monotonic()

    def reply(self, connection: socket.socket, request: http.Message) -> None:
        now = time.monotonic()
        calls = [ReceivedCall(id_, now, ran=True, endpoint=self._number) for id_ in message_ids(request)]
        self._soak_run.calls += calls
        self._unanswered[connection] = calls
        with contextlib.suppress(OSError):
            self._send_due_repetition(connection)
            time.sleep(self._random.uniform(0.0, MAX_SERVICE_TIME_S))
            self._respond(connection, request, calls)

    def _send_due_repetition(self, connection: socket.socket) -> None:
        repetition = self._due_with_next_call.pop(connection, b"")
        if repetition:
            time.sleep(self._random.uniform(0.0, MAX_DELAY_BEHIND_CALL_S))
            self._write(connection, repetition)
            self._soak_run.repetitions_with_calls += 1

    def _respond(self, connection: socket.socket, request: http.Message, calls: list[ReceivedCall]) -> None:
        draw = self._random.random()
        if draw < REFUSED_BELOW:
            for call in calls:
                call.ran = False
            wait = self._random.uniform(0.2, 1.2)
            readable = connection not in self._garbled
            self._write_response(connection, http_response(429, f"Retry-After: {wait:.3f}"), calls)
            now = time.monotonic()
            if readable:
                self._soak_run.retry_after_waits.append((now, now + wait))
        elif draw < FAILED_BELOW:
            self._write_response(connection, http_response(500), calls)
        elif draw < CLOSED_BELOW:
            connection.shutdown(socket.SHUT_RDWR)
        elif draw >= SILENT_BELOW:
            batch = request.path.endswith(":batch")
            response = accepted(request) if batch else http_response(200, body=uuid.uuid4().hex)
            self._write_response(connection, response, calls)
            for call in calls:
                call.delivered = True

    def _write_response(self, connection: socket.socket, response: bytes, calls: list[ReceivedCall]) -> None:
        """Write the response to these calls; decide whether it will be sent a second time, and when."""
        repetition = None
        if self._random.random() < REPETITION_PROBABILITY:
            repetition = self._random.choice(list(Repetition))
        self._write(connection, response * (2 if repetition is Repetition.AT_ONCE else 1))
        for call in calls:
            call.ended_at = time.monotonic()
        self._unanswered.pop(connection, None)
        match repetition:
            case Repetition.SOON:
                delay = self._random.uniform(0.0, MAX_DELAY_BEHIND_RESPONSE_S)
                threading.Timer(delay, self._write, (connection, response)).start()
            case Repetition.WITH_NEXT_CALL:
                self._due_with_next_call[connection] = response
            case Repetition.CUT_OFF_WITH_NEXT_CALL:
                self._garbled.add(connection)
                size = self._random.randint(1, len(response) - 1)
                self._due_with_next_call[connection] = response[:size]

    def _write(self, connection: socket.socket, data: bytes) -> None:
        with self._write_lock, contextlib.suppress(OSError):
            connection.sendall(data)
