"""What endpoints send that is no answer, or more than one; and endpoints that replace each other."""

import socket
from pathlib import Path

import pytest

from irisstack.node import http
from tests.node_support import Node, ScriptedEndpoint, eventually, http_response, node_and_platform

OK_LINE = b"HTTP/1.1 200 OK\r\n"
HELD = [
    b"\x00\xff noise \r\n\r\n",
    b"HTTP/1.1 503 Busy\r\nContent-Length: nine\r\n\r\n",
    b"HTTP/1.1 429 Wait\r\nRetry-After: 5\r\nContent-Length: 3000000000\r\n\r\nx",
    b"HTTP/1.1 503 Busy\r\n" + b"X-More: 1\r\n" * 3000,
    b"HTTP/1.1 100 Continue\r\n\r\n" * 100 + http_response(200),
]
TRUE = [
    OK_LINE + b"Content-Length: -9\r\n\r\n",
    OK_LINE + b"\x00\x01\x02\r\n\r\n",
    OK_LINE + b"Content-Length: 3000000000\r\n\r\n" + b"x" * 100_000,
    OK_LINE + b"X-More: 1\r\n" * 3000,
    b"HTTP/1.1 200\r\nContent-Length: 10\r\n\r\nshort",
]


def ended(node: Node, name: str, count: int) -> None:
    eventually(lambda: node.counters().get(name) == count, f"{count} {name}")


@pytest.mark.parametrize("answer", HELD, ids=range(len(HELD)))
def test_a_spoilt_answer_is_a_failed_attempt_that_may_have_run(tmp_path: Path, answer: bytes) -> None:
    partner = ScriptedEndpoint(answer, http_response(200))
    with node_and_platform(tmp_path, partner) as (node, platform):
        node.submit("m1", "unsafe")
        assert eventually(lambda: platform.notice_for("m1"))["result"] == "dead"
        node.submit("m2", "unsafe")
        ended(node, "delivered", 1)
        assert len(partner.calls_with("m1")) == 1
        assert partner.connection_count == 2


@pytest.mark.parametrize("answer", TRUE, ids=range(len(TRUE)))
def test_a_first_line_that_says_200_is_true_whatever_follows(tmp_path: Path, answer: bytes) -> None:
    partner = ScriptedEndpoint(answer, http_response(200))
    with node_and_platform(tmp_path, partner) as (node, platform):
        node.submit("m1", "unsafe")
        ended(node, "delivered", 1)
        node.submit("m2", "unsafe")
        ended(node, "delivered", 2)
        assert platform.notices == []
        assert partner.connection_count == 2


def test_more_than_belongs_to_a_good_answer_does_not_spoil_it(tmp_path: Path) -> None:
    early = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n"
    partner = ScriptedEndpoint(
        early + http_response(200, "X-Server-Load: \xff=what"), http_response(200) * 2, http_response(500)
    )
    with node_and_platform(tmp_path, partner) as (node, platform):
        for number, delivered in ((1, 1), (2, 2)):
            node.submit(f"m{number}", "unsafe")
            ended(node, "delivered", delivered)
        node.submit("m3", "unsafe")  # the second copy of the answer before is not taken for its own
        assert eventually(lambda: platform.notice_for("m3"))["result"] == "dead"
        assert partner.connection_count == 2


class DrippingPeer(ScriptedEndpoint):
    """Begins an answer and leaves it unfinished."""

    def reply(self, connection: socket.socket, request: http.Message) -> None:
        connection.sendall(b"HTTP/1.1 503 Busy\r\nX-More")


def test_an_answer_that_stops_half_way_does_not_hold_its_call_to_the_end(tmp_path: Path) -> None:
    with node_and_platform(tmp_path, DrippingPeer()) as (node, platform):
        node.submit("m1", "unsafe", X_Timeout="20")
        ended(node, "ended_timeout", 1)
        assert eventually(lambda: platform.notice_for("m1"))["result"] == "dead"
        assert platform.notices == [{"ref": "m1", "result": "dead"}]


def test_an_endpoint_in_place_of_another_gets_connections_of_its_own(tmp_path: Path) -> None:
    partner = ScriptedEndpoint()
    with node_and_platform(tmp_path, partner) as (node, platform):
        node.submit("m1")
        ended(node, "delivered", 1)
        eventually(lambda: platform.watchers)
        old, new = platform.members[0], platform.add_member(partner, 9, cell=1)
        platform.update_members(new, {**old, "phase": "DELETED"})
        eventually(lambda: partner._sockets[0].fileno() < 0, "the end of the old connection")
        node.submit("m2")
        ended(node, "delivered", 2)
        assert partner.connection_count == 2
