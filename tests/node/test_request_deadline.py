"""Requests that meet the end of their time, or of their connection, while the process is held up.

A test holds its process up by `time.sleep`: no greenlet runs meanwhile, and what is due fires behind it.
"""

import time
from collections.abc import Callable
from http import HTTPStatus

import gevent
import pytest
from gevent import socket as gevent_socket

from irisstack.node import client_connection, http
from irisstack.node.client_connection import ClientConnection, Phase
from irisstack.node.intake import Intake
from tests.node.intake_support import client_in_phase, intake_answering, parse_answers
from tests.node.support import TIMEOUT, read_to_end, wait_until
from tests.node_support import message_request

REQUEST = message_request("m2")
WHOLE_BY_S = 0.3
HELD_UP_S = 0.4
CROSSING_S = 0.02
"""Seconds that a request needs over loopback, at the most."""
DRIP_PAUSE_S = 0.002


@pytest.mark.parametrize(
    ("initial", "phase"),
    [(b"", Phase.FRESH), (REQUEST[:30], Phase.READING), (REQUEST[:-1], Phase.READING)],
    ids=["whole request", "second part", "last byte"],
)
def test_a_request_that_arrived_in_time_is_answered_after_a_hold_up(
    monkeypatch: pytest.MonkeyPatch, initial: bytes, phase: Phase
) -> None:
    """Guards against requests that are read away unanswered since a time-out fired before the read."""
    monkeypatch.setattr(client_connection, "WHOLE_BY", WHOLE_BY_S)
    with intake_answering([HTTPStatus.ACCEPTED]) as (intake, _):
        client = client_in_phase(intake, initial, phase)
        client.sendall(REQUEST[len(initial) :])
        time.sleep(HELD_UP_S)
        with gevent.Timeout(TIMEOUT):
            assert parse_answers(client.recv(65536)) == [(202, "")]


def test_a_request_that_still_arrives_after_its_time_is_answered_408(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against clients that keep a connection by sending a byte now and then."""
    monkeypatch.setattr(client_connection, "WHOLE_BY", WHOLE_BY_S)

    def drip(client: gevent_socket.socket) -> None:
        while True:
            client.sendall(b"x")
            gevent.sleep(DRIP_PAUSE_S)

    with intake_answering([HTTPStatus.ACCEPTED]) as (intake, _):
        client = client_in_phase(intake, b"POST /safe HTTP/1.1\r\nX-Drip: ", Phase.READING)
        begun_at = time.monotonic()
        dripping = gevent.spawn(drip, client)
        with gevent.Timeout(TIMEOUT):
            assert parse_answers(client.recv(65536))[0][0] == 408
        assert time.monotonic() < begun_at + 2 * WHOLE_BY_S
        dripping.kill()


def silent(intake: Intake, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_connection, "WHOLE_BY", 0.0)


def evicted(intake: Intake, monkeypatch: pytest.MonkeyPatch) -> None:
    (connection,) = intake._connections.values()
    connection.stop()


@pytest.mark.parametrize(
    ("initial", "phase", "end"),
    [
        (b"", Phase.FRESH, evicted),
        (message_request("m1"), Phase.IDLE, evicted),
        (None, Phase.FRESH, silent),
    ],
    ids=["evicted before its first request", "evicted at rest", "silent"],
)
def test_a_request_in_the_moment_in_which_its_connection_is_closed_is_reset(
    monkeypatch: pytest.MonkeyPatch,
    initial: bytes | None,
    phase: Phase,
    end: Callable[[Intake, pytest.MonkeyPatch], None],
) -> None:
    """Guards against requests that are read away between the last look at a connection and its close.

    A reset tells the client that the request was not read; an end of the stream would not.
    """
    clients: list[gevent_socket.socket] = []
    read_request = ClientConnection._read_request

    def read_request_and_send_the_next(connection: ClientConnection) -> http.Message | None:
        request = read_request(connection)
        if request is None:
            clients[0].sendall(REQUEST)
            time.sleep(CROSSING_S)
        return request

    monkeypatch.setattr(ClientConnection, "_read_request", read_request_and_send_the_next)
    with intake_answering([HTTPStatus.ACCEPTED]) as (intake, submissions):
        if initial is None:
            end(intake, monkeypatch)
            clients.append(gevent_socket.create_connection(intake.address))
        else:
            clients.append(client_in_phase(intake, initial, phase))
            end(intake, monkeypatch)
        with gevent.Timeout(TIMEOUT), pytest.raises(ConnectionResetError):
            clients[0].recv(65536)
        wait_until(lambda: intake.no_clients)
        assert "m2" not in [submission.id for submission in submissions]


def test_a_connection_that_ends_at_rest_is_closed_without_an_answer() -> None:
    """Guards against an answer, or a reset, for a client that has nothing under way."""
    with intake_answering([HTTPStatus.ACCEPTED]) as (intake, _):
        client = client_in_phase(intake, message_request("m1"), Phase.IDLE)
        intake.drain()
        assert read_to_end(client) == b""
        wait_until(lambda: intake.no_clients)
        assert intake.counters.snapshot()["clients_closed_ended_at_rest"] == 1
