"""The start of a process where lists are pushed: the agent's list counts as notified at once.

The fault: a node is killed with a pending message, and while it is down the list changes: its server drains.
The new process starts with the list of its configuration, in which the server still serves, and sends the
message to it in its first turn. The agent's list arrives some milliseconds later, but counts as notified from
the start of the process.
"""

import copy
import time
from pathlib import Path

import pytest

from tests.node.list_support import CallBehavior, ScriptedDiscovery
from tests.node_support import SETTINGS, Node, ScriptedEndpoint, ScriptedPlatform, eventually, running_node

SETTLED_S = 1.0
"""Seconds after the start within which a call based on the old list would have arrived."""


def pushed_node(folder: Path, platform: ScriptedPlatform) -> Node:
    node = Node(folder, platform)
    node.config_data["settings"] = copy.deepcopy(SETTINGS)
    node.config_data["settings"]["discovery"] = "pushed"
    return node


@pytest.mark.parametrize("phase", ["DRAINING", "DELETED"])
def test_a_message_on_record_is_not_sent_by_the_list_of_the_configuration(tmp_path: Path, phase: str) -> None:
    draining, platform = ScriptedEndpoint(), ScriptedPlatform()
    node = pushed_node(tmp_path, platform)
    line = platform.add_member(draining, 1, cell=1)
    with running_node(node, platform, draining):
        eventually(lambda: platform.watchers, "a watch")
        line["phase"] = "DRAINING"
        platform.update_members(line)
        heard = f'"not_offered": ["127.0.0.1:{draining.port}"]'
        eventually(lambda: heard in node.log.read_text(), "the drain")
        assert node.submit("m1").status == 202
        node.kill()
        node.config_data["known"]["members"] = [{**line, "phase": "SERVING"}]
        if phase == "DELETED":
            platform.members.clear()
        platform.revision += 1
        node.start()
        time.sleep(SETTLED_S)
        assert draining.calls_with("m1") == []


def test_a_node_whose_agent_is_silent_serves_by_the_list_of_its_configuration(tmp_path: Path) -> None:
    serving, platform = ScriptedEndpoint(), ScriptedPlatform()
    node = pushed_node(tmp_path, platform)
    platform.add_member(serving, 1, cell=1)
    node.config_data["known"] = platform.document()
    platform.close()
    with running_node(node, serving):
        assert node.submit("m1").status == 202
        eventually(lambda: serving.calls_with("m1"), "the call")


def test_a_silent_agent_does_not_hold_up_messages(tmp_path: Path) -> None:
    serving, platform = ScriptedEndpoint(), ScriptedDiscovery(*[CallBehavior.SILENT] * 100)
    node = pushed_node(tmp_path, platform)
    platform.add_member(serving, 1, cell=1)
    node.config_data["known"] = platform.document()
    with running_node(node, platform, serving):
        submitted_at = time.monotonic()
        assert node.submit("m1").status == 202
        eventually(lambda: serving.calls_with("m1"), "the call")
        assert time.monotonic() < submitted_at + SETTLED_S
