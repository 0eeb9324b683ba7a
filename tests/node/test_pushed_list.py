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

from tests.node.list_support import (
    CallBehavior,
    HeartbeatDiscovery,
    ScriptedDiscovery,
    SilentDiscovery,
    SlowDiscovery,
)
from tests.node_support import SETTINGS, Node, ScriptedEndpoint, ScriptedPlatform, eventually, running_node

SETTLED_S = 1.0
"""Seconds after the start within which a call based on the old list would have arrived."""
CLIENT_PATIENCE_S = 0.4
"""Seconds within which a client must have its answer."""
DEADLINE_S = 2.0
"""The longest deadline of a message where a test waits for it."""


def pushed_node(folder: Path, platform: ScriptedPlatform) -> Node:
    node = Node(folder, platform)
    node.config_data["settings"] = copy.deepcopy(SETTINGS)
    node.config_data["settings"]["discovery"] = "pushed"
    return node


def assert_sent_at_once(node: Node, endpoint: ScriptedEndpoint) -> None:
    """A message that is submitted now is accepted, and sent to the endpoint within `SETTLED_S`."""
    submitted_at = time.monotonic()
    assert node.submit("m1").status == 202
    eventually(lambda: endpoint.calls_with("m1"), "the call")
    assert time.monotonic() < submitted_at + SETTLED_S


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
        assert_sent_at_once(node, serving)


@pytest.mark.parametrize("delay_s", [0.5, 0.9, 3.0])
def test_no_call_goes_to_a_reused_address_while_discovery_answers_slowly(
    tmp_path: Path, delay_s: float
) -> None:
    """Guards against messages for one destination that run at another after a restart."""
    reused, replacement, platform = ScriptedEndpoint(), ScriptedEndpoint(), SlowDiscovery()
    node = pushed_node(tmp_path, platform)
    old = platform.add_member(reused, 1, cell=1)
    node.config_data["known"] = {"revision": 1, "complete": True, "members": [old]}
    with running_node(node, platform, reused, replacement):
        node.submit("before")
        eventually(lambda: reused.calls_with("before"), "a call by the old list")
        node.kill()
        platform.members = []
        platform.add_member(replacement, 2, cell=1)
        platform.add_member(reused, 3, cell=2)
        platform.revision += 1
        platform.delay_s = delay_s
        node.start()
        submitted_at = time.monotonic()
        assert node.submit("m1").status == 202
        assert time.monotonic() < submitted_at + CLIENT_PATIENCE_S
        eventually(lambda: replacement.calls_with("m1"), "the call to the new endpoint")
        assert reused.calls_with("m1") == []


def test_messages_get_their_results_while_no_list_call_is_answered(tmp_path: Path) -> None:
    """Guards against a node that waits for its first list and forgets its messages or clients meanwhile."""
    serving, platform = ScriptedEndpoint(), SilentDiscovery()
    node = pushed_node(tmp_path, platform)
    for lane in node.config_data["settings"]["lanes"]:
        lane["hardLimit"] = DEADLINE_S
    platform.add_member(serving, 1, cell=1)
    node.config_data["known"] = platform.document()
    with running_node(node, platform, serving):
        submitted_at = time.monotonic()
        assert node.submit("early", X_Timeout="1.000").status == 202
        assert time.monotonic() < submitted_at + CLIENT_PATIENCE_S
        notice = eventually(lambda: platform.notice_for("early"), "the notice")
        assert notice["result"] == "bounced"
        assert time.monotonic() < submitted_at + 1.0 + CLIENT_PATIENCE_S
        assert serving.requests == []
        # A service that has kept quiet for the longest deadline counts as unavailable.
        eventually(lambda: time.monotonic() > submitted_at + DEADLINE_S)
        assert node.submit("late").status == 202
        eventually(lambda: serving.calls_with("late"), "the call by the list of the configuration")


def test_a_heartbeat_confirms_the_list_of_the_configuration(tmp_path: Path) -> None:
    """Guards against a node that waits for a list although discovery has said that nothing has changed."""
    serving, platform = ScriptedEndpoint(), HeartbeatDiscovery()
    node = pushed_node(tmp_path, platform)
    platform.add_member(serving, 1, cell=1)
    node.config_data["known"] = platform.document()
    with running_node(node, platform, serving):
        assert_sent_at_once(node, serving)


def test_a_destination_that_only_the_new_list_has_is_not_rejected_by_the_old_one(tmp_path: Path) -> None:
    """Guards against a final 404 for a destination that was added while the node was down."""
    first, added, platform = ScriptedEndpoint(), ScriptedEndpoint(), SlowDiscovery(delay_s=1.0)
    node = pushed_node(tmp_path, platform)
    old = platform.add_member(first, 1, cell=1)
    node.config_data["known"] = {"revision": 1, "complete": True, "members": [old]}
    platform.add_member(added, 2, cell=2)
    platform.revision += 1
    with running_node(node, platform, first, added):
        assert node.submit("m1", X_Consignee="dest=2").status == 202
        eventually(lambda: added.calls_with("m1"), "the call")
