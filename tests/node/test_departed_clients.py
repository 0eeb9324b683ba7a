"""What a client leaves unread when it closes its connection is not sent on, and no id takes effect twice."""

import signal
import socket
import time
from pathlib import Path

import pytest

from tests.node_support import Node, ScriptedEndpoint, eventually, message_request, node_and_platform

PIPELINED = 100
BODY_BYTES = 20_000
"""Many requests of this size do not fit into the node's receive buffer, so that the end stays unsent."""
SEND_BUFFER_BYTES = 4_000_000
SHORT_TIMEOUT_S = 1.0


def leave_unread(node: Node, data: bytes) -> None:
    """Send as much as the system takes, and close the connection without reading.

    The node is stopped meanwhile: an answer before the close would go to a client that has not left.
    """
    assert node.process is not None
    node.process.send_signal(signal.SIGSTOP)
    with socket.socket() as client:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        client.connect(("127.0.0.1", node.port))
        client.setblocking(False)
        sent = 0
        try:
            while sent < len(data):
                sent += client.send(data[sent:])
        except BlockingIOError:
            pass
    node.process.send_signal(signal.SIGCONT)


def test_requests_whose_client_closed_with_much_unread_are_not_sent(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint()
    with node_and_platform(tmp_path, endpoint) as (node, _):
        ids = [f"left-{number}" for number in range(PIPELINED)]
        leave_unread(node, b"".join(message_request(id_, "unsafe", bytes(BODY_BYTES)) for id_ in ids))
        eventually(lambda: node.counters().get("clients_left"), "the node to see that the client has left")
        assert node.submit("stays").status == 202
        eventually(lambda: endpoint.calls_with("stays"))
        assert [id_ for id_ in ids if endpoint.calls_with(id_)] == []


def test_requests_behind_malformed_ones_are_not_sent_when_their_client_has_left(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint()
    with node_and_platform(tmp_path, endpoint) as (node, _):
        malformed = message_request("bad", X_Timeout="soon")
        leave_unread(node, malformed * 5 + message_request("left", "unsafe"))
        eventually(lambda: node.counters().get("clients_closed_client_gone"))
        assert node.submit("stays").status == 202
        eventually(lambda: endpoint.calls_with("stays"))
        assert endpoint.calls_with("left") == []


@pytest.mark.parametrize("restarted", [False, True], ids=["running", "restarted"])
def test_an_id_that_comes_again_after_its_deadline_does_not_run_twice(
    tmp_path: Path, restarted: bool
) -> None:
    endpoint = ScriptedEndpoint()
    with node_and_platform(tmp_path, endpoint) as (node, _):
        again = message_request("again", "unsafe", X_Timeout=f"{SHORT_TIMEOUT_S:.3f}")
        assert node.send_request(again).status == 202
        eventually(lambda: node.counters().get("delivered"))
        time.sleep(SHORT_TIMEOUT_S)
        if restarted:
            node.kill()
            node.start()
        assert node.submit("other").status == 202  # a turn, in which what has expired is forgotten
        assert node.send_request(again).status == 200
        assert node.submit("last").status == 202
        eventually(lambda: endpoint.calls_with("last"))
        assert len(endpoint.calls_with("again")) == 1


def test_pipelined_requests_are_sent_while_their_client_stays(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint()
    with node_and_platform(tmp_path, endpoint) as (node, _):
        client = node.connect()
        client.send(b"".join(message_request(f"m{number}", "unsafe") for number in range(5)))
        assert [client.read_response().status for _ in range(5)] == [202] * 5
        eventually(lambda: all(endpoint.calls_with(f"m{number}") for number in range(5)))
        client.close()


def test_a_client_that_closes_behind_its_answer_has_not_left(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint()
    with node_and_platform(tmp_path, endpoint) as (node, _):
        for number in range(50):
            assert node.submit(f"m{number}", "unsafe").status == 202
        eventually(lambda: all(endpoint.calls_with(f"m{number}") for number in range(50)))
        assert node.counters().get("clients_left", 0) == 0


def test_a_planned_end_succeeds_after_clients_have_left(tmp_path: Path) -> None:
    """Guards against an exit code of 1 since a counter had the name of a field of the last log line."""
    with node_and_platform(tmp_path, ScriptedEndpoint()) as (node, _):
        leave_unread(node, message_request("left", "unsafe", bytes(BODY_BYTES)) * PIPELINED)
        eventually(lambda: node.counters().get("clients_left"), "the node to see that the client has left")
        assert node.terminate() == 0
        assert '"event": "stopped"' in node.log.read_text()
