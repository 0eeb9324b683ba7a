"""Malformed and extra responses of endpoints, and endpoints that are replaced at the same address."""

import socket
from pathlib import Path

import pytest

from irisstack.node import http
from tests.node_support import Node, ScriptedEndpoint, eventually, http_response, node_and_platform

OK_LINE = b"HTTP/1.1 200 OK\r\n"
MALFORMED_RESPONSES = [
    b"\x00\xff noise \r\n\r\n",
    b"HTTP/1.1 503 Busy\r\nContent-Length: nine\r\n\r\n",
    b"HTTP/1.1 429 Wait\r\nRetry-After: 5\r\nContent-Length: 3000000000\r\n\r\nx",
    b"HTTP/1.1 503 Busy\r\n" + b"X-More: 1\r\n" * 3000,
    b"HTTP/1.1 100 Continue\r\n\r\n" * 100 + http_response(200),
]
OK_THEN_MALFORMED = [
    OK_LINE + b"Content-Length: -9\r\n\r\n",
    OK_LINE + b"\x00\x01\x02\r\n\r\n",
    OK_LINE + b"Content-Length: 3000000000\r\n\r\n" + b"x" * 100_000,
    OK_LINE + b"X-More: 1\r\n" * 3000,
    b"HTTP/1.1 200\r\nContent-Length: 10\r\n\r\nshort",
]


def wait_for_count(node: Node, counter: str, count: int) -> None:
    eventually(lambda: node.counters().get(counter) == count, f"{count} {counter}")


@pytest.mark.parametrize("response", MALFORMED_RESPONSES, ids=range(len(MALFORMED_RESPONSES)))
def test_malformed_response_is_failed_attempt_that_may_have_run(tmp_path: Path, response: bytes) -> None:
    endpoint = ScriptedEndpoint(response, http_response(200))
    with node_and_platform(tmp_path, endpoint) as (node, platform):
        node.submit("m1", "unsafe")
        assert eventually(lambda: platform.notice_for("m1"))["result"] == "dead"
        node.submit("m2", "unsafe")
        wait_for_count(node, "delivered", 1)
        assert len(endpoint.calls_with("m1")) == 1
        assert endpoint.connection_count == 2


@pytest.mark.parametrize("response", OK_THEN_MALFORMED, ids=range(len(OK_THEN_MALFORMED)))
def test_status_line_200_counts_whatever_follows(tmp_path: Path, response: bytes) -> None:
    endpoint = ScriptedEndpoint(response, http_response(200))
    with node_and_platform(tmp_path, endpoint) as (node, platform):
        node.submit("m1", "unsafe")
        wait_for_count(node, "delivered", 1)
        node.submit("m2", "unsafe")
        wait_for_count(node, "delivered", 2)
        assert platform.notices == []
        assert endpoint.connection_count == 2


def test_extra_responses_do_not_invalidate_good_response(tmp_path: Path) -> None:
    interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n"
    endpoint = ScriptedEndpoint(
        interim + http_response(200, "X-Server-Load: \xff=what", body="m1"),
        http_response(200, body="m2") * 2,
        http_response(500),
    )
    with node_and_platform(tmp_path, endpoint) as (node, platform):
        for number, delivered in ((1, 1), (2, 2)):
            node.submit(f"m{number}", "unsafe")
            wait_for_count(node, "delivered", delivered)
        node.submit("m3", "unsafe")  # must not take the previous response's second copy for its own
        assert eventually(lambda: platform.notice_for("m3"))["result"] == "dead"
        assert endpoint.connection_count == 2


class UnfinishedResponseEndpoint(ScriptedEndpoint):
    """Starts a response and never finishes it."""

    def reply(self, connection: socket.socket, request: http.Message) -> None:
        connection.sendall(b"HTTP/1.1 503 Busy\r\nX-More")


def test_unfinished_response_ends_call_before_its_deadline(tmp_path: Path) -> None:
    with node_and_platform(tmp_path, UnfinishedResponseEndpoint()) as (node, platform):
        node.submit("m1", "unsafe", X_Timeout="20")
        wait_for_count(node, "ended_timeout", 1)
        assert eventually(lambda: platform.notice_for("m1"))["result"] == "dead"
        assert platform.notices == [{"ref": "m1", "result": "dead"}]


def test_replaced_endpoint_gets_new_connections(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint()
    with node_and_platform(tmp_path, endpoint) as (node, platform):
        node.submit("m1")
        wait_for_count(node, "delivered", 1)
        eventually(lambda: platform.watchers)
        old, new = platform.members[0], platform.add_member(endpoint, 9, cell=1)
        platform.update_members(new, {**old, "phase": "DELETED"})
        eventually(lambda: endpoint._sockets[0].fileno() < 0, "the end of the old connection")
        node.submit("m2")
        wait_for_count(node, "delivered", 2)
        assert endpoint.connection_count == 2
