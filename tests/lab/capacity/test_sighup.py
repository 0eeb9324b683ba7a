"""What a running node follows of a changed file, as docs/CAPACITY.md says: `discovery` alone."""

import json
from dataclasses import fields
from pathlib import Path

from irisstack.node import service
from irisstack.node.config import Config
from tests.node_support import Node, PlatformPeer, eventually


def test_a_running_node_follows_discovery_alone(tmp_path: Path) -> None:
    old, new = PlatformPeer(), PlatformPeer()
    node = Node(tmp_path, old)
    try:
        node.start()
        node.raw["discovery"] = f"127.0.0.1:{new.port}"
        node.raw["limits"] = {**node.raw["limits"], "sockets": 512}
        allowed = {**node.raw["settings"]["allowed"], "attemptsCap": 5}
        node.raw["settings"] = {**node.raw["settings"], "allowed": allowed}
        node.reread()
        lines = [json.loads(line) for line in node.log.read_text().splitlines()]
        taken = [line for line in lines if line["event"] == "configuration_taken"]
        assert [line["discovery"] for line in taken] == [f"127.0.0.1:{new.port}"]
        assert sorted(taken[0]["await_restart"]) == ["settings", "sockets"]
        eventually(lambda: new.requests, "a call for the list at the new address")
    finally:
        node.kill()
        old.close()
        new.close()


def test_every_other_key_waits_for_a_restart() -> None:
    waiting = {field.name for field in fields(Config)} - set(service.NO_RESTART_NEEDED)
    assert waiting == {
        "settings",
        "dynamic_settings",
        "sockets",
        "disk_bytes",
        "peers",
        "trial",
        "listen",
        "state",
        "name",
    }
