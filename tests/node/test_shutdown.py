"""Each crossing of a request with the end of its connection, of the doorway or of the node."""

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

from irisstack.node import http, intake, service
from irisstack.node.config import load
from irisstack.node.counters import Counters
from irisstack.node.decider import Submission
from irisstack.node.intake import Intake, Stage, _Listener
from irisstack.node.service import Service
from irisstack.settings import Reader, read
from tests.node.support import read_to_end, wait_until
from tests.node_support import (
    SETTINGS,
    Node,
    ScriptedEndpoint,
    ScriptedPlatform,
    eventually,
    free_port,
    http_response,
    message_request,
    node_and_platform,
)

REFUSED = (503, "close")


@contextmanager
def doorway(says: list[HTTPStatus | None]) -> Iterator[tuple[Intake, list[Submission]]]:
    """An intake whose requests are answered at once with what stands there, or kept."""
    arrivals: list[Submission] = []

    def post(arrival: Submission) -> None:
        arrivals.append(arrival)
        if (answer := says[0]) is not None:
            arrival.client.answer(answer)

    part = Intake(("127.0.0.1", 0), read(Reader(SETTINGS)), post, Counters(), 10)
    part.start()
    yield part, arrivals
    part.close()


def client_of(part: Intake, data: bytes, phase: intake._Phase) -> gevent_socket.socket:
    """A client whose connection has come to a phase; what it was answered so far is read."""
    client = gevent_socket.create_connection(part.address)
    client.sendall(data)
    wait_until(lambda: any(c.phase is phase for c in part._connections.values()), phase.name)
    if phase is intake._Phase.IDLE:
        assert b" 202 " in client.recv(65536)
    return client


def answers(data: bytes) -> list[tuple[int, str]]:
    """The status and the `Connection` of each answer; all must be whole."""
    found = []
    while data:
        head, end, data = data.partition(b"\r\n\r\n")
        assert end, head
        lines = head.decode().split("\r\n")
        headers = dict(line.split(": ") for line in lines[1:])
        length = int(headers["Content-Length"])
        assert len(data) >= length
        found.append((int(lines[0].split()[1]), headers.get("Connection", "")))
        data = data[length:]
    return found


CROSSING = message_request("m2")


@pytest.mark.parametrize(
    ("before", "phase", "at_once", "later", "heard"),
    [
        (b"", intake._Phase.FRESH, b"", CROSSING, [REFUSED]),
        (b"", intake._Phase.FRESH, CROSSING, b"", [REFUSED]),
        (CROSSING[:30], intake._Phase.READING, b"", CROSSING[30:], [REFUSED]),
        (CROSSING[:-1], intake._Phase.READING, CROSSING[-1:], b"", [REFUSED]),
        (message_request("m1"), intake._Phase.IDLE, b"", b"", []),
        (message_request("m1"), intake._Phase.IDLE, CROSSING, b"", [REFUSED]),
        (message_request("m1"), intake._Phase.IDLE, CROSSING[:30], CROSSING[30:], [REFUSED]),
    ],
    ids=[
        "connected",
        "connected, asks that moment",
        "half a request",
        "all but a byte, that moment",
        "at rest",
        "at rest, asks that moment",
        "at rest, begins that moment",
    ],
)
def test_at_the_drain_each_request_is_answered_once_and_the_connection_ends(
    before: bytes, phase: intake._Phase, at_once: bytes, later: bytes, heard: list[tuple[int, str]]
) -> None:
    """What comes in the same moment lies in the system's hands; the node has not read it yet."""
    kept: list[HTTPStatus | None] = [HTTPStatus.ACCEPTED]
    with doorway(kept) as (part, arrivals):
        client = client_of(part, before, phase)
        client.sendall(at_once)
        kept[0] = HTTPStatus.SERVICE_UNAVAILABLE  # as once the node refuses
        part.drain()
        gevent.sleep(0)
        with suppress(OSError):
            client.sendall(later)
        assert answers(read_to_end(client)) == heard
        wait_until(lambda: part.no_clients)
        assert len(arrivals) <= 1 + (phase is not intake._Phase.IDLE)


def test_a_request_in_hand_at_the_drain_gets_its_answer_and_hears_that_it_is_the_last() -> None:
    with doorway([None]) as (part, arrivals):
        client = client_of(part, message_request("m1"), intake._Phase.WAITING)
        part.drain()
        gevent.sleep(0)
        assert not part.no_clients
        arrivals[0].client.answer(HTTPStatus.ACCEPTED)
        assert answers(read_to_end(client)) == [(202, "close")]


@pytest.mark.parametrize("phase", [intake._Phase.IDLE, intake._Phase.FRESH])
def test_a_request_that_crosses_the_close_of_a_connection_at_rest_is_not_taken_on(
    monkeypatch: pytest.MonkeyPatch, phase: intake._Phase
) -> None:
    """Its client hands it in again on a new connection: taken on as well, it would be sent twice."""
    monkeypatch.setattr(intake._Phase.FRESH, "_value_", 0.0)
    with doorway([HTTPStatus.ACCEPTED]) as (part, arrivals):
        client = client_of(part, message_request("m1") if phase is intake._Phase.IDLE else b"", phase)
        client.sendall(CROSSING)
        assert part._make_room()
        assert answers(read_to_end(client)) == [REFUSED]
        assert "m2" not in [arrival.id for arrival in arrivals]


def test_connections_that_the_system_has_let_in_are_answered_after_the_close() -> None:
    with doorway([HTTPStatus.SERVICE_UNAVAILABLE]) as (part, arrivals):
        address = part.address
        early = [socket.create_connection(address) for _ in range(40)]  # nothing else runs meanwhile
        for number, client in enumerate(early):
            client.sendall(message_request(f"m{number}"))
        part.drain()
        part.close()
        wait_until(lambda: len(arrivals) == len(early), "all of them")
        for client in early:
            with client:
                assert client.recv(65536).startswith(b"HTTP/1.1 503 ")
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)


def test_no_connection_is_let_in_between_the_last_accept_and_the_close(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The system would reset it, and a request with it; one that does not come up is tried elsewhere."""
    let_in: list[socket.socket] = []
    accept_rest = _Listener.accept_rest

    def then_a_client_comes(listener: _Listener) -> None:
        accept_rest(listener)
        with suppress(OSError):
            let_in.append(socket.create_connection(part.address, timeout=0.2))

    monkeypatch.setattr(_Listener, "accept_rest", then_a_client_comes)
    with doorway([HTTPStatus.SERVICE_UNAVAILABLE]) as (part, _):
        part.drain()
        part.close()
        for client in let_in:
            with client:
                client.sendall(message_request("m1"))
                assert client.recv(65536).startswith(b"HTTP/1.1 503 ")


# ---- the node ----


@contextmanager
def node_here(
    folder: Path, platform: ScriptedPlatform
) -> Iterator[tuple[Service, Event, Event, tuple[str, int]]]:
    """A whole node in this process."""
    address = ("127.0.0.1", free_port())
    config = {
        "name": "n",
        "listen": f"127.0.0.1:{address[1]}",
        "discovery": f"127.0.0.1:{platform.port}",
        "seed": "1",
        "limits": {"sockets": 256, "disk_mb": 3},
        "known": platform.document(),
        "settings": SETTINGS,
    }
    state = folder / "state"
    state.mkdir()
    (folder / "config.json").write_text(json.dumps(config))
    stop, reread = Event(), Event()
    environment = {"RELAY_CONFIG": str(folder / "config.json"), "RELAY_STATE": str(state)}
    yield Service(load(environment), stop, reread), stop, reread, address
    platform.close()


@pytest.mark.parametrize("half", [b"", CROSSING[:30]], ids=["has yet to ask", "is in the middle of it"])
def test_the_node_does_not_end_before_a_client_that_came_is_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, half: bytes
) -> None:
    monkeypatch.setattr(service, "SHUTDOWN_ACCEPT_PERIOD", 0.0)
    monkeypatch.setattr(service, "SHUTDOWN_DEADLINE", 1e6)
    monkeypatch.setattr(intake, "WHOLE_BY", 1e6)
    with node_here(tmp_path, ScriptedPlatform()) as (node, stop, _, address):
        run = gevent.spawn(node.run)
        wait_until(lambda: node._intake._server.started)
        client = gevent_socket.create_connection(address)
        client.sendall(half)
        wait_until(lambda: len(node._intake._connections) == 1)
        stop.set()
        wait_until(lambda: node._intake.stage is Stage.CLOSED)
        for _ in range(5):  # looks at what is left
            gevent.sleep(service.SHUTDOWN_POLL_INTERVAL)
        assert not run.dead
        client.sendall(CROSSING[len(half) :])
        assert answers(read_to_end(client)) == [REFUSED]
        client.close()
        assert run.get(timeout=20.0) == 0


def test_a_client_that_stays_for_ever_does_not_keep_the_node_beyond_its_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(service, "SHUTDOWN_ACCEPT_PERIOD", 0.0)
    monkeypatch.setattr(service, "SHUTDOWN_DEADLINE", 0.3)
    monkeypatch.setattr(intake, "WHOLE_BY", 1e6)
    with node_here(tmp_path, ScriptedPlatform()) as (node, stop, _, address):
        run = gevent.spawn(node.run)
        wait_until(lambda: node._intake._server.started)
        with gevent_socket.create_connection(address) as client:
            client.sendall(CROSSING[:30])
            wait_until(lambda: len(node._intake._connections) == 1)
            stop.set()
            assert run.get(timeout=20.0) == 0


def test_a_signal_to_end_before_the_node_serves_has_it_end_in_order(tmp_path: Path) -> None:
    """Who comes meanwhile hears that nothing is taken on."""
    with node_here(tmp_path, ScriptedPlatform()) as (node, stop, _, address):
        stop.set()
        run = gevent.spawn(node.run)
        wait_until(lambda: node._intake._server.started)
        client = gevent_socket.create_connection(address)
        client.sendall(CROSSING)
        assert answers(read_to_end(client)) == [REFUSED]
        client.close()
        assert run.get(timeout=20.0) == 0


@pytest.mark.parametrize("error", [RuntimeError("odd"), RecursionError(), OverflowError()])
def test_a_file_that_fails_in_an_unheard_of_way_leaves_the_node_as_it_is(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, error: Exception
) -> None:
    def fails(**_: Any) -> None:
        reread.clear()
        raise error

    with node_here(tmp_path, ScriptedPlatform()) as (node, stop, reread, _):
        run = gevent.spawn(node.run)
        wait_until(lambda: node._intake._server.started)
        monkeypatch.setattr(service, "load", fails)
        for _ in range(2):  # the second is read by what outlived the first
            reread.set()
            wait_until(lambda: not reread.is_set())
            gevent.sleep(0)
        assert not stop.is_set()
        stop.set()
        assert run.get(timeout=20.0) == 0


class Gate(ScriptedEndpoint):
    """An endpoint that answers once it may."""

    def __init__(self) -> None:
        self.open = threading.Event()
        super().__init__()

    def reply(self, connection: socket.socket, request: http.Message) -> None:
        self.open.wait()
        super().reply(connection, request)


def test_signals_that_come_during_the_end_change_nothing(tmp_path: Path) -> None:
    partner = Gate()

    def logged(node: Node, event: str) -> Callable[[], bool]:
        return lambda: f'"event": "{event}"' in node.log.read_text()

    with node_and_platform(tmp_path, partner) as (node, _):
        assert node.submit("m1", "unsafe").status == 202
        eventually(lambda: partner.calls_with("m1"))
        for number, event in (
            (signal.SIGTERM, "stopping"),
            (signal.SIGHUP, "configuration_taken"),
            (signal.SIGTERM, "stopping"),
            (signal.SIGHUP, "configuration_taken"),
        ):
            node.process.send_signal(number)
            eventually(logged(node, event))
        partner.open.set()
        assert node.process.wait(20.0) == 0
        text = node.log.read_text()
        assert text.count('"event": "stopping"') == text.count('"event": "stopped"') == 1
        node.start()
        eventually(lambda: node.counters().get("recovered") == 0)
        assert len(partner.calls_with("m1")) == 1


def test_the_last_line_of_the_log_tells_whether_clients_were_left(tmp_path: Path) -> None:
    with node_and_platform(tmp_path, ScriptedEndpoint(http_response(200))) as (node, _):
        assert node.terminate() == 0
        assert '"clients_left": false' in node.log.read_text()
