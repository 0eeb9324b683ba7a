"""Requests that arrive while their connection, the intake or the node is closing."""

import json
import signal
import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from http import HTTPStatus
from pathlib import Path
from typing import Any

import gevent
import pytest
from gevent import socket as gevent_socket
from gevent.event import Event

from irisstack.lab.ports import PortReservation
from irisstack.node import client_connection, http, service
from irisstack.node.client_connection import Phase
from irisstack.node.config import load
from irisstack.node.intake import Stage
from irisstack.node.listener import Listener
from irisstack.node.service import Service
from tests.node.intake_support import client_in_phase, intake_answering, parse_answers
from tests.node.support import read_to_end, wait_until
from tests.node_support import (
    SETTINGS,
    Node,
    ScriptedEndpoint,
    ScriptedPlatform,
    eventually,
    http_response,
    message_request,
    node_and_platform,
)

REJECTED = (503, "close")
REQUEST = message_request("m2")


@pytest.mark.parametrize(
    ("initial", "phase", "immediate", "later", "expected"),
    [
        (b"", Phase.FRESH, b"", REQUEST, [REJECTED]),
        (b"", Phase.FRESH, REQUEST, b"", [REJECTED]),
        (REQUEST[:30], Phase.READING, b"", REQUEST[30:], [REJECTED]),
        (REQUEST[:-1], Phase.READING, REQUEST[-1:], b"", [REJECTED]),
        (message_request("m1"), Phase.IDLE, b"", b"", []),
        (message_request("m1"), Phase.IDLE, REQUEST, b"", [REJECTED]),
        (message_request("m1"), Phase.IDLE, REQUEST[:30], REQUEST[30:], [REJECTED]),
    ],
    ids=[
        "connected",
        "connected, request arrives just then",
        "partial request",
        "last byte arrives just then",
        "idle",
        "idle, request arrives just then",
        "idle, partial request arrives just then",
    ],
)
def test_drain_answers_each_request_once_and_closes_connection(
    initial: bytes,
    phase: Phase,
    immediate: bytes,
    later: bytes,
    expected: list[tuple[int, str]],
) -> None:
    """Data sent just before the drain is in the kernel's buffer; the node has not read it yet."""
    answers: list[HTTPStatus | None] = [HTTPStatus.ACCEPTED]
    with intake_answering(answers) as (listening_intake, submissions):
        client = client_in_phase(listening_intake, initial, phase)
        client.sendall(immediate)
        answers[0] = HTTPStatus.SERVICE_UNAVAILABLE  # as the node answers while it drains
        listening_intake.drain()
        gevent.sleep(0)
        with suppress(OSError):
            client.sendall(later)
        assert parse_answers(read_to_end(client)) == expected
        wait_until(lambda: listening_intake.no_clients)
        assert len(submissions) <= 1 + (phase is not Phase.IDLE)


def test_request_in_progress_at_drain_gets_answer_with_connection_close() -> None:
    with intake_answering([None]) as (listening_intake, submissions):
        client = client_in_phase(listening_intake, message_request("m1"), Phase.WAITING)
        listening_intake.drain()
        gevent.sleep(0)
        assert not listening_intake.no_clients
        submissions[0].client.answer(HTTPStatus.ACCEPTED)
        assert parse_answers(read_to_end(client)) == [(202, "close")]


@pytest.mark.parametrize("phase", [Phase.IDLE, Phase.FRESH])
def test_request_arriving_while_idle_connection_is_evicted_is_rejected(
    monkeypatch: pytest.MonkeyPatch, phase: Phase
) -> None:
    """The client retries on a new connection; if the node also accepted this request, it would run twice."""
    monkeypatch.setattr(Phase.FRESH, "_value_", 0.0)
    with intake_answering([HTTPStatus.ACCEPTED]) as (listening_intake, submissions):
        client = client_in_phase(
            listening_intake, message_request("m1") if phase is Phase.IDLE else b"", phase
        )
        client.sendall(REQUEST)
        assert listening_intake._make_room()
        assert parse_answers(read_to_end(client)) == [REJECTED]
        assert "m2" not in [submission.id for submission in submissions]


def test_connections_in_backlog_are_answered_after_close() -> None:
    with intake_answering([HTTPStatus.SERVICE_UNAVAILABLE]) as (listening_intake, submissions):
        address = listening_intake.address
        early = [
            socket.create_connection(address) for _ in range(40)
        ]  # blocking connects: no greenlet of the intake runs
        for number, client in enumerate(early):
            client.sendall(message_request(f"m{number}"))
        listening_intake.drain()
        listening_intake.close()
        wait_until(lambda: len(submissions) == len(early), "all submissions")
        for client in early:
            with client:
                assert client.recv(65536).startswith(b"HTTP/1.1 503 ")
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)


def test_no_connection_is_established_between_last_accept_and_close(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The close would reset such a connection and its request; a connect that fails is retried elsewhere."""
    accepted: list[socket.socket] = []
    accept_backlog = Listener.accept_backlog

    def accept_backlog_then_connect(listener: Listener) -> None:
        accept_backlog(listener)
        with suppress(OSError):
            accepted.append(socket.create_connection(listening_intake.address, timeout=0.2))

    monkeypatch.setattr(Listener, "accept_backlog", accept_backlog_then_connect)
    with intake_answering([HTTPStatus.SERVICE_UNAVAILABLE]) as (listening_intake, _):
        listening_intake.drain()
        listening_intake.close()
        for client in accepted:
            with client:
                client.sendall(message_request("m1"))
                assert client.recv(65536).startswith(b"HTTP/1.1 503 ")


# ---- the node ----


@contextmanager
def node_in_process(
    directory: Path, platform: ScriptedPlatform
) -> Iterator[tuple[Service, Event, Event, tuple[str, int]]]:
    """A complete node in this process."""
    reservation = PortReservation()
    address = ("127.0.0.1", reservation.port)
    config = {
        "name": "n",
        "listen": f"127.0.0.1:{address[1]}",
        "discovery": f"127.0.0.1:{platform.port}",
        "seed": "1",
        "limits": {"sockets": 256, "disk_mb": 3},
        "known": platform.document(),
        "settings": SETTINGS,
    }
    state = directory / "state"
    state.mkdir()
    (directory / "config.json").write_text(json.dumps(config))
    stop, reload = Event(), Event()
    environment = {"RELAY_CONFIG": str(directory / "config.json"), "RELAY_STATE": str(state)}
    yield Service(load(environment), stop, reload), stop, reload, address
    platform.close()


@pytest.mark.parametrize("received", [b"", REQUEST[:30]], ids=["no request yet", "partial request"])
def test_node_does_not_exit_before_connected_client_is_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, received: bytes
) -> None:
    monkeypatch.setattr(service, "SHUTDOWN_ACCEPT_PERIOD", 0.0)
    monkeypatch.setattr(service, "SHUTDOWN_DEADLINE", 1e6)
    monkeypatch.setattr(client_connection, "WHOLE_BY", 1e6)
    with node_in_process(tmp_path, ScriptedPlatform()) as (node, stop, _, address):
        run = gevent.spawn(node.run)
        wait_until(lambda: node._intake._server.started)
        client = gevent_socket.create_connection(address)
        client.sendall(received)
        wait_until(lambda: len(node._intake._connections) == 1)
        stop.set()
        wait_until(lambda: node._intake.stage is Stage.CLOSED)
        for _ in range(5):  # polls of the shutdown loop
            gevent.sleep(service.SHUTDOWN_POLL_INTERVAL)
        assert not run.dead
        client.sendall(REQUEST[len(received) :])
        assert parse_answers(read_to_end(client)) == [REJECTED]
        client.close()
        assert run.get(timeout=20.0) == 0


def test_client_that_stays_connected_does_not_keep_node_beyond_time_limit(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(service, "SHUTDOWN_ACCEPT_PERIOD", 0.0)
    monkeypatch.setattr(service, "SHUTDOWN_DEADLINE", 0.3)
    monkeypatch.setattr(client_connection, "WHOLE_BY", 1e6)
    with node_in_process(tmp_path, ScriptedPlatform()) as (node, stop, _, address):
        run = gevent.spawn(node.run)
        wait_until(lambda: node._intake._server.started)
        with gevent_socket.create_connection(address) as client:
            client.sendall(REQUEST[:30])
            wait_until(lambda: len(node._intake._connections) == 1)
            stop.set()
            assert run.get(timeout=20.0) == 0


def test_stop_signal_before_serving_ends_node_gracefully(tmp_path: Path) -> None:
    """Clients that connect meanwhile are rejected."""
    with node_in_process(tmp_path, ScriptedPlatform()) as (node, stop, _, address):
        stop.set()
        run = gevent.spawn(node.run)
        wait_until(lambda: node._intake._server.started)
        client = gevent_socket.create_connection(address)
        client.sendall(REQUEST)
        assert parse_answers(read_to_end(client)) == [REJECTED]
        client.close()
        assert run.get(timeout=20.0) == 0


@pytest.mark.parametrize("error", [RuntimeError("odd"), RecursionError(), OverflowError()])
def test_unexpected_error_at_reload_leaves_node_running(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, error: Exception
) -> None:
    def fail(**_: Any) -> None:
        reload.clear()
        raise error

    with node_in_process(tmp_path, ScriptedPlatform()) as (node, stop, reload, _):
        run = gevent.spawn(node.run)
        wait_until(lambda: node._intake._server.started)
        monkeypatch.setattr(service, "load", fail)
        for _ in range(2):  # the second checks that reloading survived the first
            reload.set()
            wait_until(lambda: not reload.is_set())
            gevent.sleep(0)
        assert not stop.is_set()
        stop.set()
        assert run.get(timeout=20.0) == 0


class GatedEndpoint(ScriptedEndpoint):
    """An endpoint that answers once `open` is set."""

    def __init__(self) -> None:
        self.open = threading.Event()
        super().__init__()

    def reply(self, connection: socket.socket, request: http.Message) -> None:
        self.open.wait()
        super().reply(connection, request)


def test_signals_during_shutdown_change_nothing(tmp_path: Path) -> None:
    endpoint = GatedEndpoint()

    def logged(node: Node, event: str) -> Callable[[], bool]:
        return lambda: f'"event": "{event}"' in node.log.read_text()

    with node_and_platform(tmp_path, endpoint) as (node, _):
        assert node.submit("m1", "unsafe").status == 202
        eventually(lambda: endpoint.calls_with("m1"))
        for number, event in (
            (signal.SIGTERM, "stopping"),
            (signal.SIGHUP, "configuration_taken"),
            (signal.SIGTERM, "stopping"),
            (signal.SIGHUP, "configuration_taken"),
        ):
            node.process.send_signal(number)
            eventually(logged(node, event))
        endpoint.open.set()
        assert node.process.wait(20.0) == 0
        text = node.log.read_text()
        assert text.count('"event": "stopping"') == text.count('"event": "stopped"') == 1
        node.start()
        eventually(lambda: node.counters().get("recovered") == 0)
        assert len(endpoint.calls_with("m1")) == 1


def test_last_log_line_says_whether_clients_were_left(tmp_path: Path) -> None:
    with node_and_platform(tmp_path, ScriptedEndpoint(http_response(200))) as (node, _):
        assert node.terminate() == 0
        assert '"clients_left": false' in node.log.read_text()
