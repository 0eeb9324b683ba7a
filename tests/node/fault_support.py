"""A real node in a process that the fault rig leads, beside scripted peers."""

import contextlib
import copy
from collections.abc import Iterator
from pathlib import Path

import pytest

from irisstack.lab.faults import rig as fault_rig
from tests.node_support import EndpointPeer, Node, PlatformPeer, running


def build_library(folder: Path) -> Path:
    """The rig's library; where it cannot be built, the tests that need it say that they were not run."""
    try:
        return fault_rig.build(folder)
    except fault_rig.RigUnavailable as error:
        pytest.skip(f"fault rig: {error}")


@contextlib.contextmanager
def led_node(
    folder: Path,
    *endpoints: EndpointPeer,
    platform: PlatformPeer | None = None,
    window: float = 15.0,
    senders: int = 2,
    **limits: float,
) -> Iterator[tuple[Node, PlatformPeer, fault_rig.Rig]]:
    """A node that the rig leads and a platform, one of its own by default, that lists the endpoints.

    All of these are of destination 1.
    `window` is how many seconds a repeat of a keyed message is recognised, `senders` the size of the fleet.
    """
    rig = fault_rig.Rig(build_library(folder), folder / "control", folder / "state")
    platform = platform or PlatformPeer()
    for number, peer in enumerate(endpoints, start=1):
        platform.list(peer, number, cell=1)
    node = Node(folder, platform, **limits)
    node.environment = rig.environment
    node.raw["settings"] = copy.deepcopy(node.raw["settings"])
    node.raw["settings"]["lanes"][1]["window"] = window
    node.raw["settings"]["balancers"] = senders
    try:
        with running(node, platform, *endpoints):
            yield node, platform, rig
    finally:
        rig.close()
