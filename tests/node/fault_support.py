"""A real node in a process that the fault rig leads, beside scripted peers."""

import contextlib
import copy
from collections.abc import Iterator
from pathlib import Path

import pytest

from irisstack.lab.faults import rig as fault_rig
from tests.node_support import Node, ScriptedEndpoint, ScriptedPlatform, running_node


def build_library(folder: Path) -> Path:
    """The rig's library; where it cannot be built, the tests that need it say that they were not run."""
    try:
        return fault_rig.build(folder)
    except fault_rig.RigUnavailable as error:
        pytest.skip(f"fault rig: {error}")


@contextlib.contextmanager
def node_with_faults(
    folder: Path,
    *endpoints: ScriptedEndpoint,
    platform: ScriptedPlatform | None = None,
    window: float = 15.0,
    fleet_size: int = 2,
    **limits: float,
) -> Iterator[tuple[Node, ScriptedPlatform, fault_rig.Rig]]:
    """A node that the rig leads and a platform, one of its own by default, that lists the endpoints.

    All of these are of destination 1.
    `window` is the dedup window in seconds, `fleet_size` the number of nodes in the fleet.
    """
    rig = fault_rig.Rig(build_library(folder), folder / "control", folder / "state")
    platform = platform or ScriptedPlatform()
    for number, peer in enumerate(endpoints, start=1):
        platform.add_member(peer, number, cell=1)
    node = Node(folder, platform, **limits)
    node.environment = rig.environment
    node.config_data["settings"] = copy.deepcopy(node.config_data["settings"])
    node.config_data["settings"]["lanes"][1]["window"] = window
    node.config_data["settings"]["balancers"] = fleet_size
    try:
        with running_node(node, platform, *endpoints):
            yield node, platform, rig
    finally:
        rig.close()
