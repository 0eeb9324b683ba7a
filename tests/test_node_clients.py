"""Clients that behave badly get an error or a close, nothing of theirs is taken on, and the others go on."""

import contextlib
import socket
import time
from collections.abc import Iterator
from http import HTTPStatus
from pathlib import Path

import gevent
import pytest
from gevent import socket as gevent_socket

from irisstack.node import http, intake
from irisstack.node.buffer import Buffer
from irisstack.node.counters import Counters
from irisstack.node.decider import Submission
from irisstack.node.intake import Intake
from irisstack.settings import Reader, read
from tests.node_support import (
    SETTINGS,
    ScriptedEndpoint,
    ScriptedPlatform,
    eventually,
    message_request,
    node_and_platform,
)

LINE = b"POST /safe HTTP/1.1\r\n"
HEAD = message_request("m1", body=b"").replace(b"Content-Length: 0\r\n\r\n", b"")
UNFRAMED = [
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
FRAMED = [
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


def test_what_cannot_be_framed_is_answered_and_the_connection_ends(tmp_path: Path) -> None:
    with node_and_platform(tmp_path, ScriptedEndpoint()) as (node, _):
        for data in UNFRAMED:
            client = node.connect()
            client.send(data)
            assert client.read_response().status == 400, data
            assert client.is_closed()
            client.close()
        assert node.counters().get("received", 0) == 0


def test_values_that_say_nothing_are_answered_and_the_connection_goes_on(tmp_path: Path) -> None:
    with node_and_platform(tmp_path, ScriptedEndpoint()) as (node, _):
        client = node.connect()
        for data in FRAMED:
            client.send(data)
            assert client.read_response().status == 400, data
        assert node.counters().get("received", 0) == 0
        client.send(message_request("m1"))
        assert client.read_response().status == 202
        client.close()


def test_trailers_say_nothing_anew() -> None:
    reader, buffer = http.RequestReader(), Buffer()

    class Source:
        def recv_into(self, space: memoryview, /) -> int:
            data = (
                LINE + b"X-Request-ID: m1\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"2\r\nab\r\n0\r\nX-Request-ID: m2\r\nX-More: 1\r\n\r\n"
            )
            space[: len(data)] = data
            return len(data)

    buffer.receive(Source())
    request = reader.advance(buffer)
    assert request is not None
    assert bytes(request.body) == b"ab"
    assert request.headers == {"x-request-id": "m1", "transfer-encoding": "chunked"}


def test_a_destination_that_no_list_knows_is_not_taken_on(tmp_path: Path) -> None:
    partner = ScriptedEndpoint()
    with node_and_platform(tmp_path, partner) as (node, platform):
        assert node.submit("m1", X_Consignee="dest=77").status == 404
        assert node.submit("m2").status == 202
        assert "m1" not in str(platform.notices)


def test_a_body_beyond_all_limits_is_read_away_so_that_its_answer_is_heard(tmp_path: Path) -> None:
    with node_and_platform(tmp_path, ScriptedEndpoint()) as (node, _):
        client = node.connect()
        client.send(
            message_request("m1", body=bytes(30_000_000))
        )  # all of it, before the answer is looked for
        assert client.read_response().status == 413
        assert client.is_closed()
        client.close()
        assert node.submit("m2").status == 202


def test_silence_and_half_a_request_are_ended(tmp_path: Path) -> None:
    with node_and_platform(tmp_path, ScriptedEndpoint()) as (node, _):
        silent, half, dripping = node.connect(), node.connect(), node.connect()
        half.send(message_request("m1")[:40])
        dripping.send(LINE)
        with contextlib.suppress(OSError):
            for _ in range(200):  # ends at the first reset
                dripping.send(b"X-Drip: 1\r\n")
                time.sleep(0.02)
        assert silent.is_closed()
        assert half.read_response().status == 408
        assert dripping.read_response().status == 408
        for client in (silent, half, dripping):
            client.close()


@contextlib.contextmanager
def small_intake(most: int) -> Iterator[tuple[Intake, list[Submission]]]:
    """Room for few clients; what they hand in is kept unanswered."""
    arrivals: list[Submission] = []
    part = Intake(("127.0.0.1", 0), read(Reader(SETTINGS)), arrivals.append, Counters(), most)
    part.start()
    yield part, arrivals
    part.close()


def connected(part: Intake, data: bytes = b"") -> "gevent_socket.socket":
    client = gevent_socket.create_connection(part.address, timeout=20.0)
    client.sendall(data)
    gevent.sleep(0.05)
    return client


def test_silent_clients_make_room_for_one_that_asks(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(intake, "WHOLE_BY", 1e6)
    with small_intake(4) as (part, arrivals):
        silent = [connected(part) for _ in range(4)]
        gevent.sleep(intake._Phase.FRESH.value)
        asking = connected(part, message_request("m1"))
        assert [arrival.id for arrival in arrivals] == ["m1"]
        assert silent[0].recv(1) == b""
        for client in (*silent, asking):
            client.close()


def test_clients_that_ask_once_and_stay_make_room_however_fast_they_come() -> None:
    with small_intake(2) as (part, arrivals):
        clients = []
        for number in range(8):
            clients.append(connected(part, message_request(f"m{number}")))
            arrivals[-1].client.answer(HTTPStatus.ACCEPTED)
            assert clients[-1].recv(65536).startswith(b"HTTP/1.1 202 ")
        assert [arrival.id for arrival in arrivals] == [f"m{number}" for number in range(8)]
        assert clients[0].recv(1) == b""
        for client in clients:
            client.close()


def test_a_client_whose_request_is_in_hand_is_not_cut_off_and_the_next_is_told_so() -> None:
    with small_intake(2) as (part, arrivals):
        waiting = [connected(part, message_request(f"m{n}")) for n in range(2)]
        late = connected(part, message_request("m2"))
        assert late.recv(65536).startswith(b"HTTP/1.1 503 ")
        assert [arrival.id for arrival in arrivals] == ["m0", "m1"]
        for arrival, client in zip(arrivals, waiting, strict=True):
            arrival.client.answer(HTTPStatus.ACCEPTED)
            assert client.recv(65536).startswith(b"HTTP/1.1 202 ")
        for client in (*waiting, late):
            client.close()


def test_a_flood_of_one_connection_leaves_the_others_their_turn() -> None:
    with small_intake(10) as (part, arrivals):
        flood = connected(part, message_request("m1", X_Timeout="no") * 2000)
        connected(part, message_request("m2")).close()
        assert [arrival.id for arrival in arrivals] == ["m2"]
        assert part.counters.snapshot()["malformed"] < 2000
        flood.close()


def test_an_address_that_answers_nothing_does_not_take_the_platform_with_it(tmp_path: Path) -> None:
    """The doorway full of silence: the list and notices still have their descriptors."""
    partner = ScriptedEndpoint()
    with node_and_platform(tmp_path, partner, sockets=100) as (node, _):
        crowd = [socket.create_connection(("127.0.0.1", node.port)) for _ in range(200)]
        assert eventually(lambda: node.submit("m1").status == 202)
        eventually(lambda: node.counters().get("delivered") == 1)
        for client in crowd:
            client.close()


def test_idle_clients_up_to_the_limit_while_discovery_is_dead_and_back(tmp_path: Path) -> None:
    """A message is still delivered, the node still says that it is there, and the list is followed again."""
    old, new = ScriptedEndpoint(), ScriptedEndpoint()
    with node_and_platform(tmp_path, old, sockets=100) as (node, platform):
        eventually(lambda: platform.watchers)
        crowd = [socket.create_connection(("127.0.0.1", node.port)) for _ in range(200)]
        platform.close()
        eventually(lambda: '"event": "list_call_failed"' in node.log.read_text())
        crowd += [socket.create_connection(("127.0.0.1", node.port)) for _ in range(200)]
        assert eventually(lambda: node.submit("m1").status == 202)
        eventually(lambda: old.calls_with("m1"))
        assert eventually(node.is_healthy)
        back = ScriptedPlatform(platform.port)
        back.revision = 9
        back.add_member(old, 1, phase="DRAINING")
        back.add_member(new, 2, cell=1)
        eventually(lambda: back.watchers, "a watch on the service that is back")
        eventually(lambda: node.submit(f"m{time.monotonic()}").status == 202 and new.requests)
        for client in crowd:
            client.close()
        back.close()
    new.close()
