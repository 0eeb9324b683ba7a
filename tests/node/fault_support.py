"""A real node in a process under the fault rig, with scripted endpoints and platform."""

import contextlib
import copy
from collections.abc import Iterator
from pathlib import Path

import pytest

from irisstack.lab.faults import rig as fault_rig
from tests.node_support import Node, ScriptedEndpoint, ScriptedPlatform, running_node


def build_library(directory: Path) -> Path:
    """Build the rig's library; if it cannot be built, the tests that need it are skipped."""
    try:
        return fault_rig.build(directory)
    except fault_rig.RigUnavailable as error:
        pytest.skip(f"fault rig: {error}")


@contextlib.contextmanager
def node_with_faults(
    directory: Path,
    *endpoints: ScriptedEndpoint,
    platform: ScriptedPlatform | None = None,
    dedup_window: float = 15.0,
    fleet_size: int = 2,
    flavor: str = "plain",
    **limits: float,
) -> Iterator[tuple[Node, ScriptedPlatform, fault_rig.Rig]]:
    """Run a node under the fault rig, with a platform that lists the endpoints, all of destination 1.

    `platform` defaults to a new one. `dedup_window` is that of the keyed class in seconds, `fleet_size` the
    number of nodes in the settings, `flavor` the kind of the destination.
    """
    rig = fault_rig.Rig(build_library(directory), directory / "control", directory / "state")
    platform = platform or ScriptedPlatform()
    for number, peer in enumerate(endpoints, start=1):
        platform.add_member(peer, number, cell=1, flavor=flavor)
    node = Node(directory, platform, **limits)
    node.environment = rig.environment
    node.config_data["settings"] = copy.deepcopy(node.config_data["settings"])
    node.config_data["settings"]["lanes"][1]["window"] = dedup_window
    node.config_data["settings"]["balancers"] = fleet_size
    try:
        with running_node(node, platform, *endpoints):
            yield node, platform, rig
    finally:
        rig.close()
