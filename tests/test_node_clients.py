"""Misbehaving clients get an error or a close, their messages are not accepted, other clients are served."""

import contextlib
import socket
import time
from collections.abc import Iterator
from http import HTTPStatus
from pathlib import Path

import gevent
import pytest
from gevent import socket as gevent_socket

from irisstack.node import client_connection, http
from irisstack.node.buffer import Buffer
from irisstack.node.client_connection import Phase
from irisstack.node.counters import Counters
from irisstack.node.decider import Submission
from irisstack.node.intake import Intake
from irisstack.settings import Reader, read
from tests.node_support import (
    MAX_INPUT_BYTES,
    SETTINGS,
    ScriptedEndpoint,
    ScriptedPlatform,
    eventually,
    message_request,
    node_and_platform,
)

REQUEST_LINE = b"POST /safe HTTP/1.1\r\n"
HEAD = message_request("m1", body=b"").replace(b"Content-Length: 0\r\n\r\n", b"")
FRAMING_ERRORS = [
    HEAD + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    HEAD + b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
    HEAD + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    HEAD + b"Content-Length: 4\r\nContent-Length: 4\r\n\r\nabcd",
    HEAD + b"Content-Length: -4\r\n\r\nabcd",
    HEAD + b"Content-Length: +4\r\n\r\nabcd",
    HEAD + b"Content-Length: four\r\n\r\nabcd",
    HEAD + b"Content-Length: 99999999999999999999999\r\n\r\nabcd",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n-1\r\n\r\n",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\nfffffffffffffffffff\r\n\r\n",
]
INVALID_HEADERS = [
    message_request("m1", X_Timeout="1_0"),
    message_request("m1", X_Timeout="-1"),
    message_request("m1", X_Timeout="1e3"),
    message_request("m1", X_Timeout="inf"),
    message_request("m1", X_Consignee="dest=1_0"),
    message_request("m1", X_Consignee="dest=" + "9" * 5000),
    message_request("m1", X_Request_ID="", x_request_id="a b"),
    HEAD + b"X-Request-ID: m2\r\nContent-Length: 0\r\n\r\n",
    HEAD + b"X-Timeout: 5\r\nContent-Length: 0\r\n\r\n",
]


def test_framing_error_is_answered_and_connection_closed(tmp_path: Path) -> None:
    with node_and_platform(tmp_path, ScriptedEndpoint()) as (node, _):
        for data in FRAMING_ERRORS:
            client = node.connect()
            client.send(data)
            assert client.read_response().status == 400, data
            assert client.is_closed()
            client.close()
        assert node.counters().get("received", 0) == 0


def test_invalid_header_is_answered_and_connection_stays_open(tmp_path: Path) -> None:
    with node_and_platform(tmp_path, ScriptedEndpoint()) as (node, _):
        client = node.connect()
        for data in INVALID_HEADERS:
            client.send(data)
            assert client.read_response().status == 400, data
        assert node.counters().get("received", 0) == 0
        client.send(message_request("m1"))
        assert client.read_response().status == 202
        client.close()


def test_trailers_are_ignored() -> None:
    reader, buffer = http.RequestReader(), Buffer()

    class ByteSource:
        def recv_into(self, space: memoryview, /) -> int:
            data = (
                REQUEST_LINE + b"X-Request-ID: m1\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"2\r\nab\r\n0\r\nX-Request-ID: m2\r\nX-More: 1\r\n\r\n"
            )
            space[: len(data)] = data
            return len(data)

    buffer.receive(ByteSource())
    request = reader.advance(buffer)
    assert request is not None
    assert bytes(request.body) == b"ab"
    assert request.headers == {"x-request-id": "m1", "transfer-encoding": "chunked"}


def test_message_to_unknown_destination_is_rejected(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint()
    with node_and_platform(tmp_path, endpoint) as (node, platform):
        assert node.submit("m1", X_Consignee="dest=77").status == 404
        assert node.submit("m2").status == 202
        assert "m1" not in str(platform.notices)


def test_oversized_body_is_discarded_so_that_answer_arrives(tmp_path: Path) -> None:
    with node_and_platform(tmp_path, ScriptedEndpoint()) as (node, _):
        client = node.connect()
        client.send(message_request("m1", body=bytes(30_000_000)))  # returns once all of it is sent
        assert client.read_response().status == 413
        assert client.is_closed()
        client.close()
        assert node.submit("m2").status == 202


def test_silent_and_incomplete_requests_time_out(tmp_path: Path) -> None:
    with node_and_platform(tmp_path, ScriptedEndpoint()) as (node, _):
        silent, partial, dripping = node.connect(), node.connect(), node.connect()
        partial.send(message_request("m1")[:40])
        dripping.send(REQUEST_LINE)
        with contextlib.suppress(OSError):
            for _ in range(200):  # ends at the first reset
                dripping.send(b"X-Drip: 1\r\n")
                time.sleep(0.02)
        assert silent.is_closed()
        assert partial.read_response().status == 408
        assert dripping.read_response().status == 408
        for client in (silent, partial, dripping):
            client.close()


@contextlib.contextmanager
def small_intake(
    max_connections: int, max_input_bytes: int = MAX_INPUT_BYTES
) -> Iterator[tuple[Intake, list[Submission]]]:
    """An intake with room for few connections; submitted messages are collected and left unanswered."""
    submissions: list[Submission] = []
    listening_intake = Intake(
        ("127.0.0.1", 0),
        read(Reader(SETTINGS)),
        submissions.append,
        Counters(),
        max_connections,
        max_input_bytes,
    )
    listening_intake.start()
    yield listening_intake, submissions
    listening_intake.close()


def connect(listening_intake: Intake, data: bytes = b"") -> "gevent_socket.socket":
    client = gevent_socket.create_connection(listening_intake.address, timeout=20.0)
    client.sendall(data)
    gevent.sleep(0.05)
    return client


def test_silent_clients_are_evicted_for_requesting_client(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_connection, "WHOLE_BY", 1e6)
    with small_intake(4) as (listening_intake, submissions):
        silent = [connect(listening_intake) for _ in range(4)]
        gevent.sleep(Phase.FRESH.value)
        requesting = connect(listening_intake, message_request("m1"))
        assert [submission.id for submission in submissions] == ["m1"]
        assert silent[0].recv(1) == b""
        for client in (*silent, requesting):
            client.close()


def test_idle_clients_are_evicted_however_fast_others_connect() -> None:
    with small_intake(2) as (listening_intake, submissions):
        clients = []
        for number in range(8):
            clients.append(connect(listening_intake, message_request(f"m{number}")))
            submissions[-1].client.answer(HTTPStatus.ACCEPTED)
            assert clients[-1].recv(65536).startswith(b"HTTP/1.1 202 ")
        assert [submission.id for submission in submissions] == [f"m{number}" for number in range(8)]
        assert clients[0].recv(1) == b""
        for client in clients:
            client.close()


def test_client_waiting_for_answer_is_not_evicted_and_next_gets_503() -> None:
    with small_intake(2) as (listening_intake, submissions):
        waiting = [connect(listening_intake, message_request(f"m{n}")) for n in range(2)]
        late = connect(listening_intake, message_request("m2"))
        assert late.recv(65536).startswith(b"HTTP/1.1 503 ")
        assert [submission.id for submission in submissions] == ["m0", "m1"]
        for submission, client in zip(submissions, waiting, strict=True):
            submission.client.answer(HTTPStatus.ACCEPTED)
            assert client.recv(65536).startswith(b"HTTP/1.1 202 ")
        for client in (*waiting, late):
            client.close()


def test_the_oldest_large_incomplete_request_makes_room_for_a_new_one() -> None:
    large = message_request("m1", body=bytes(40_000))
    with small_intake(10, max_input_bytes=100_000) as (listening_intake, submissions):
        small = connect(listening_intake, message_request("m0")[:-1])
        incomplete = [connect(listening_intake, large[:-1]) for _ in range(2)]
        whole = connect(listening_intake, large)
        assert [submission.id for submission in submissions] == ["m1"]
        assert incomplete[0].recv(65536).startswith(b"HTTP/1.1 503 ")
        incomplete[1].sendall(large[-1:])
        small.sendall(message_request("m0")[-1:])
        gevent.sleep(0.05)
        assert sorted(submission.id for submission in submissions) == ["m0", "m1", "m1"]
        for client in (small, *incomplete, whole):
            client.close()


def test_a_large_request_is_refused_while_unanswered_ones_fill_the_memory() -> None:
    large = message_request("m1", body=bytes(40_000))
    with small_intake(10, max_input_bytes=100_000) as (listening_intake, submissions):
        waiting = [connect(listening_intake, large) for _ in range(2)]
        refused = connect(listening_intake, large)
        assert refused.recv(65536).startswith(b"HTTP/1.1 503 ")
        small = connect(listening_intake, message_request("m2"))
        assert [submission.id for submission in submissions] == ["m1", "m1", "m2"]
        for submission in submissions:
            submission.client.answer(HTTPStatus.ACCEPTED)
        gevent.sleep(0.05)
        again = connect(listening_intake, large)
        assert [submission.id for submission in submissions] == ["m1", "m1", "m2", "m1"]
        for client in (*waiting, refused, small, again):
            client.close()


def test_flood_on_one_connection_does_not_starve_others() -> None:
    with small_intake(10) as (listening_intake, submissions):
        flood = connect(listening_intake, message_request("m1", X_Timeout="no") * 2000)
        connect(listening_intake, message_request("m2")).close()
        assert [submission.id for submission in submissions] == ["m2"]
        assert listening_intake.counters.snapshot()["malformed"] < 2000
        flood.close()


def test_silent_clients_leave_descriptors_for_platform(tmp_path: Path) -> None:
    """Silent clients take all connections of the intake; the list and notices still get descriptors."""
    endpoint = ScriptedEndpoint()
    with node_and_platform(tmp_path, endpoint, sockets=100) as (node, _):
        idle_clients = [socket.create_connection(("127.0.0.1", node.port)) for _ in range(200)]
        assert eventually(lambda: node.submit("m1").status == 202)
        eventually(lambda: node.counters().get("delivered") == 1)
        for client in idle_clients:
            client.close()


def test_idle_clients_at_limit_while_discovery_restarts(tmp_path: Path) -> None:
    """Messages are still delivered, the node stays healthy, and it follows the list again."""
    old, new = ScriptedEndpoint(), ScriptedEndpoint()
    with node_and_platform(tmp_path, old, sockets=100) as (node, platform):
        eventually(lambda: platform.watchers)
        idle_clients = [socket.create_connection(("127.0.0.1", node.port)) for _ in range(200)]
        platform.close()
        eventually(lambda: '"event": "list_call_failed"' in node.log.read_text())
        idle_clients += [socket.create_connection(("127.0.0.1", node.port)) for _ in range(200)]
        assert eventually(lambda: node.submit("m1").status == 202)
        eventually(lambda: old.calls_with("m1"))
        assert eventually(node.is_healthy)
        restarted_platform = ScriptedPlatform(platform.port)
        restarted_platform.revision = 9
        restarted_platform.add_member(old, 1, phase="DRAINING")
        restarted_platform.add_member(new, 2, cell=1)
        eventually(lambda: restarted_platform.watchers, "a watch at the restarted platform")
        eventually(lambda: node.submit(f"m{time.monotonic()}").status == 202 and new.requests)
        for client in idle_clients:
            client.close()
        restarted_platform.close()
    new.close()
