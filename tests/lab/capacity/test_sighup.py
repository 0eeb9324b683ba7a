"""What a running node follows of a changed file, as docs/CAPACITY.md says: `discovery` alone."""

import json
from dataclasses import fields
from pathlib import Path

from irisstack.node import service
from irisstack.node.config import Config
from tests.node_support import Node, ScriptedPlatform, eventually


def test_a_running_node_follows_discovery_alone(tmp_path: Path) -> None:
    old, new = ScriptedPlatform(), ScriptedPlatform()
    node = Node(tmp_path, old)
    try:
        node.start()
        node.config_data["discovery"] = f"127.0.0.1:{new.port}"
        node.config_data["limits"] = {**node.config_data["limits"], "sockets": 512}
        allowed = {**node.config_data["settings"]["allowed"], "attemptsCap": 5}
        node.config_data["settings"] = {**node.config_data["settings"], "allowed": allowed}
        node.reload_config()
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
        "memory_bytes",
        "peers",
        "trial",
        "listen",
        "state",
        "name",
    }
