"""A real node and the endpoint list: memory, processor time and bytes of a whole list, and of a change.

The node starts with a list of one endpoint and has the whole one from a stand-in of the platform. By SIGHUP
it is then moved to a second address, where it asks for the whole list again: what a node does after the
list's service has lost its history, with the old list still in memory.
"""

import json
import tempfile
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import gevent

from irisstack.lab import scenario
from irisstack.lab.capacity.measurements.measured_node import (
    PEAK_RESIDENT,
    RESIDENT,
    MeasuredNode,
    MeasuredNodeError,
)
from irisstack.lab.capacity.measurements.measurement import MeasuredSlope, Measurement
from irisstack.lab.node_settings import settings_object
from irisstack.lab.sockets.platform import Platform
from irisstack.lab.sockets.run_context import RunContext
from irisstack.lab.world import World, build_world

DESTINATIONS = (100, 1_000, 10_000, 100_000)
CHANGES = 20
CHANGE_INTERVAL_S = 0.2
LIST_WITHIN_S = 60.0
REFUSED_PORT = 9
"""Nobody listens there; no call is made in this measurement."""
SCENARIO: dict[str, object] = {
    "kinds": [{"name": "plain", "count": 1}],
    "senders.count": 2,
    "traffic.rate": 0.01,
    "endpoint_list.late_s": [0.0, 0.0],
    "endpoint_list.mode": "pushed",
}


def world_of(destinations: int) -> World:
    """A world of so many destinations, with one endpoint each, and two nodes."""
    path = scenario.scenario_path("calm-day")
    changes = {**SCENARIO, "kinds": [{"name": "plain", "count": destinations}]}
    return build_world(scenario.with_changes(scenario.read(path), changes, path))


def addresses_of(world: World) -> dict[int, tuple[str, int]]:
    """An address of its own for each endpoint, in 127.0.0.0/8."""
    return {
        number: (".".join(str(byte) for byte in (127, *number.to_bytes(3, "big"))), REFUSED_PORT)
        for number in world.endpoints
    }


def node_settings(world: World) -> dict[str, Any]:
    """The settings of the first node."""
    settings = settings_object(world, 0)
    settings["invariants"] = {k: v for k, v in settings["invariants"].items() if v is not None}
    return settings


def _measure(destinations: int) -> Mapping[str, float]:
    world = world_of(destinations)
    addresses = addresses_of(world)
    platform = Platform(RunContext(world), addresses)
    whole = platform.known()
    first = {"revision": 0, "complete": True, "members": whole["members"][:1]}
    with (
        tempfile.TemporaryDirectory(prefix="irisstack-lab-") as folder,
        MeasuredNode(Path(folder), platform.address(0), first, node_settings(world)) as node,
    ):
        node.start()
        _wait_for_list(node, destinations)
        memory = node.memory_bytes(RESIDENT)
        before = node.processor_s()
        node.move_discovery(platform.address(1))
        gevent.sleep(1.0)
        node.settle()
        again = node.processor_s() - before
        if not node.count("configuration_taken") or node.count("list_not_had"):
            raise MeasuredNodeError("the list was not had again")
        change = _change_cost(node, platform, world, addresses)
        peak = node.memory_bytes(PEAK_RESIDENT)
    platform.stop()
    return {
        "node-list-memory": memory,
        "node-list-peak": peak,
        "node-list-processor": again,
        "node-list-bytes": len(json.dumps(whole)) + 1,
        "node-delta-processor": change,
    }


def _wait_for_list(node: MeasuredNode, destinations: int) -> None:
    """Until the node knows the last destination: it answers 404 for one that no list has named.

    The messages of this test have no time left, so that none of them is taken on.
    """
    with gevent.Timeout(LIST_WITHIN_S, MeasuredNodeError("the list was not had")):
        while _status_of_message(node, destinations) == 404:
            gevent.sleep(0.2)
    node.settle()


def _status_of_message(node: MeasuredNode, destination: int) -> int:
    headers = {
        "X-Request-ID": f"probe-{destination}",
        "X-Timeout": "0.001",
        "X-Consignee": f"dest={destination}",
        "Idempotency-Key": "probe",
    }
    return node.ask("POST", "/warning-notice", headers, b"x")


def _change_cost(
    node: MeasuredNode, platform: Platform, world: World, addresses: Mapping[int, tuple[str, int]]
) -> float:
    """Processor seconds of one endpoint's change, less what the idle node uses in the same time."""
    numbers = list(world.endpoints)[:CHANGES]
    before = node.processor_s()
    gevent.sleep(CHANGES * CHANGE_INTERVAL_S)
    idle = node.processor_s() - before
    before = node.processor_s()
    for number in numbers:
        platform.change(number, world.endpoints[number].destination, "DRAINING", addresses[number])
        gevent.sleep(CHANGE_INTERVAL_S)
    return max(1e-6, (node.processor_s() - before - idle) / CHANGES)


MEASUREMENTS = (
    Measurement(
        "node-list",
        "destinations",
        (
            MeasuredSlope("node-list-memory", "memory of a node that holds the list", "bytes"),
            MeasuredSlope("node-list-peak", "most memory of a node that has the whole list anew", "bytes"),
            MeasuredSlope("node-list-processor", "processor time of a node for a whole list anew", "seconds"),
            MeasuredSlope("node-list-bytes", "a whole list on the wire", "bytes"),
            MeasuredSlope("node-delta-processor", "processor time of a node for one change", "seconds"),
        ),
        DESTINATIONS,
        3,
        _measure,
        "a real process, its program included; one endpoint a destination; JSON with spaces after commas "
        "and colons, as the laboratory's platform writes it",
    ),
)
