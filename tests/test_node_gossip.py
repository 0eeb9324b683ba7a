"""Gossip between nodes, and trial settings, with real processes on loopback sockets."""

import contextlib
import socket
from collections.abc import Iterator
from pathlib import Path

from irisstack.lab.ports import PortReservation
from irisstack.node import http
from tests.node_support import (
    SETTINGS,
    Node,
    ScriptedEndpoint,
    ScriptedPlatform,
    eventually,
    http_response,
    node_and_platform,
)

GOSSIP_SETTINGS = {**SETTINGS, "allowed": {**SETTINGS["allowed"], "mayTell": True}}


@contextlib.contextmanager
def two_nodes(directory: Path, endpoint: ScriptedEndpoint) -> Iterator[tuple[Node, Node]]:
    platform = ScriptedPlatform()
    platform.add_member(endpoint, 1)
    nodes = []
    nobody = PortReservation()
    for name in ("a", "b"):
        (directory / name).mkdir()
        nodes.append(Node(directory / name, platform))
    for node, other in (nodes, nodes[::-1]):
        node.config_data |= {
            "settings": GOSSIP_SETTINGS,
            "peers": [f"127.0.0.1:{other.port}", f"127.0.0.1:{nobody.port}"],
        }
    try:
        yield nodes[0].start(), nodes[1].start()
    finally:
        for node in nodes:
            if node.process is not None and node.process.poll() is None:
                node.kill()
        platform.close()
        endpoint.close()


def test_failure_and_later_success_reach_other_node(tmp_path: Path) -> None:
    with two_nodes(tmp_path, ScriptedEndpoint(http_response(500), http_response(200))) as (first, other):
        first.submit("m1")
        eventually(lambda: first.counters().get("delivered") == 1, "the second attempt")
        eventually(lambda: other.counters().get("notes_heard") == 2, "both datagrams")
        assert first.counters()["notes_told"] + first.counters().get("notes_untold", 0) == 4


def test_unexpected_datagrams_are_counted_and_node_keeps_running(tmp_path: Path) -> None:
    with (
        two_nodes(tmp_path, ScriptedEndpoint()) as (first, _),
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unknown_sender,
    ):
        for data in (b"", b"F\x01", b"x" * 5000):
            unknown_sender.sendto(data, ("127.0.0.1", first.port))
        eventually(lambda: first.counters().get("notes_strange") == 3, "three unexpected datagrams")
        first.submit("m1")
        eventually(lambda: first.counters().get("delivered") == 1, "a delivery")


def test_trial_settings_send_no_gossip_and_count_divergences(tmp_path: Path) -> None:
    with node_and_platform(tmp_path, ScriptedEndpoint(http_response(500), http_response(200))) as (node, _):
        node.kill()
        node.config_data["watch"] = {"allowed": {"mayTell": True}, "balancers": 40}
        node.start()
        node.submit("m1")
        eventually(lambda: node.counters().get("delivered") == 1, "the second attempt")
        counters = node.counters()
        assert counters["watch_note"] == 1
        assert "notes_told" not in counters


def test_invalid_trial_settings_at_sighup_are_logged_and_ignored(tmp_path: Path) -> None:
    with node_and_platform(tmp_path, ScriptedEndpoint()) as (node, _):
        node.config_data["watch"] = {"az": 9}
        node.reload_config()
        assert '"error": "watch.az: ' in node.log.read_text()
        assert node.send_request(http.request("GET", "/healthz", "node")).status == 200
