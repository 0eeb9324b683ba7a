"""A real node under the laboratory's load: the part of a core that messages a second take."""

import tempfile
from collections.abc import Mapping
from pathlib import Path

from irisstack.lab import scenario
from irisstack.lab.capacity.measurements.measured_node import MeasuredNode, MeasuredNodeError
from irisstack.lab.capacity.measurements.measurement import MeasuredSlope, Measurement
from irisstack.lab.capacity.measurements.node_list import node_settings, world_of
from irisstack.lab.sockets.play import play
from irisstack.lab.world import build_world

RATES = (5, 20, 80, 240)
SECONDS = 10.0
NOWHERE = "127.0.0.1:9"


def _start_processor_s() -> float:
    """Processor seconds that a node uses for its start alone."""
    world = world_of(1)
    with (
        tempfile.TemporaryDirectory(prefix="irisstack-lab-") as folder,
        MeasuredNode(Path(folder), NOWHERE, {}, node_settings(world)) as node,
    ):
        node.start()
        return node.processor_s()


def _measure(rate: int) -> Mapping[str, float]:
    path = scenario.scenario_path("calm-day")
    changes: dict[str, object] = {
        "traffic.rate": float(rate),
        "senders.count": 1,
        "scenario.length_s": SECONDS,
        "kinds.1.connections": 0,
    }
    world = build_world(scenario.with_changes(scenario.read(path), changes, path))
    played = play(world)
    if played.not_a_result:
        raise MeasuredNodeError(played.not_a_result)
    messages_per_s = len(world.messages) / SECONDS
    processor_per_s = (played.cpu_s - _start_processor_s()) / SECONDS
    return {"node-messages-core": processor_per_s * rate / messages_per_s}


MEASUREMENTS = (
    Measurement(
        "node-messages",
        "messages a second",
        (MeasuredSlope("node-messages-core", "part of a core for messages taken and delivered", "cores"),),
        RATES,
        3,
        _measure,
        f"calm-day for {SECONDS:g} s, one node, 20 destinations of which 6 share calls; processor time of "
        "the process less that of a start; load, partners and node share one core",
    ),
)
