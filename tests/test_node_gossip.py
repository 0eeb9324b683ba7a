"""Notes between nodes, and the mode that watches, on real processes and loopback sockets."""

import contextlib
import socket
from collections.abc import Iterator
from pathlib import Path

from irisstack.node import http
from tests.node_support import (
    SETTINGS,
    Node,
    ScriptedEndpoint,
    ScriptedPlatform,
    eventually,
    free_port,
    http_response,
    node_and_platform,
)

TELLS = {**SETTINGS, "allowed": {**SETTINGS["allowed"], "mayTell": True}}


@contextlib.contextmanager
def two_nodes(folder: Path, endpoint: ScriptedEndpoint) -> Iterator[tuple[Node, Node]]:
    platform = ScriptedPlatform()
    platform.add_member(endpoint, 1)
    nodes = []
    for name in ("a", "b"):
        (folder / name).mkdir()
        nodes.append(Node(folder / name, platform))
    for node, other in (nodes, nodes[::-1]):
        node.config_data |= {
            "settings": TELLS,
            "peers": [f"127.0.0.1:{other.port}", f"127.0.0.1:{free_port()}"],
        }
    try:
        yield nodes[0].start(), nodes[1].start()
    finally:
        for node in nodes:
            if node.process is not None and node.process.poll() is None:
                node.kill()
        platform.close()
        endpoint.close()


def test_a_failure_and_the_success_after_it_reach_the_other_node(tmp_path: Path) -> None:
    with two_nodes(tmp_path, ScriptedEndpoint(http_response(500), http_response(200))) as (one, other):
        one.submit("m1")
        eventually(lambda: one.counters().get("delivered") == 1, "the second attempt")
        eventually(lambda: other.counters().get("notes_heard") == 2, "both notes")
        assert one.counters()["notes_told"] + one.counters().get("notes_untold", 0) == 4


def test_strange_notes_are_counted_and_the_node_goes_on(tmp_path: Path) -> None:
    with (
        two_nodes(tmp_path, ScriptedEndpoint()) as (one, _),
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger,
    ):
        for data in (b"", b"F\x01", b"x" * 5000):
            stranger.sendto(data, ("127.0.0.1", one.port))
        eventually(lambda: one.counters().get("notes_strange") == 3, "three strange notes")
        one.submit("m1")
        eventually(lambda: one.counters().get("delivered") == 1, "a delivery")


def test_a_node_that_watches_tells_nobody_and_counts_by_kind(tmp_path: Path) -> None:
    with node_and_platform(tmp_path, ScriptedEndpoint(http_response(500), http_response(200))) as (node, _):
        node.kill()
        node.config_data["watch"] = {"allowed": {"mayTell": True}, "balancers": 40}
        node.start()
        node.submit("m1")
        eventually(lambda: node.counters().get("delivered") == 1, "the second attempt")
        counters = node.counters()
        assert counters["watch_note"] == 1
        assert "notes_told" not in counters


def test_a_bad_watch_at_sighup_is_a_line_in_the_log_and_changes_nothing(tmp_path: Path) -> None:
    with node_and_platform(tmp_path, ScriptedEndpoint()) as (node, _):
        node.config_data["watch"] = {"az": 9}
        node.reload_config()
        assert '"error": "watch.az: ' in node.log.read_text()
        assert node.send_request(http.request("GET", "/healthz", "node")).status == 200
