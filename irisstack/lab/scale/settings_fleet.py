"""A fleet of hollow nodes that follow the settings kept by a control cluster, in virtual time.

Nodes stand in two regions of four zones each. The first four members stand in the first region, a zone each,
the others in the second. Every document that a node wants to put in force is compared with what was written.
"""

import gc
import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any

from irisstack.dynamic_settings.events import ProposeDocument
from irisstack.dynamic_settings.limits import item_size
from irisstack.lab.scale.settings_member import VirtualMember
from irisstack.lab.scale.settings_network import ZONES, ZONES_PER_REGION, Place, StreamNetwork
from irisstack.lab.scale.settings_node import PREFIX, NodeRecord, SettingsNode
from irisstack.lab.standins.etcd_cluster import Availability, Cluster
from irisstack.lab.virtual.clock import Clock

MEMBERS = 7
MEMBER_ZONES = (0, 1, 2, 3, 4, 5, 6)
PORT = 2379
START_SPREAD_S = 4.0
"""The nodes of a fleet start within so many seconds."""
SETTLED_S = 30.0
"""Seconds from the start of a play to its first change."""
BAD = "bad"
"""A value with this key is refused by every node."""
KIB = 1024


@dataclass(slots=True, frozen=True)
class FleetSize:
    """How large a fleet and its document are."""

    nodes: int = 840
    document_bytes: int = 8 * KIB
    """As a document's limit counts them."""
    item_bytes: int = 256
    """Bytes of one item: its path and its value."""

    @property
    def items(self) -> int:
        return max(1, self.document_bytes // item_size(0, self.item_bytes))


@dataclass(slots=True, frozen=True)
class WrittenChange:
    """A change that the cluster took."""

    at: float
    revision: int


@dataclass(slots=True)
class Document:
    """What was written, revision by revision."""

    size: FleetSize
    by_revision: dict[int, Mapping[str, Any]] = field(default_factory=dict)
    newest: dict[str, Any] = field(default_factory=dict)
    _serial: int = 0

    def path(self, number: int) -> str:
        return f"tenants/t{number % self.size.items:05}"

    def value(self, path: str) -> dict[str, Any]:
        """A new value whose bytes, with the path, have the size of an item."""
        self._serial += 1
        raw: dict[str, Any] = {"serial": f"{self._serial:08}", "note": ""}
        room = self.size.item_bytes - len(path) - len(encoded(raw))
        return {**raw, "note": "x" * max(0, room)}

    def written(self, revision: int, values: Mapping[str, Any]) -> None:
        """These values are in the cluster from this revision on."""
        self.newest = {**self.newest, **values}
        self.by_revision[revision] = self.newest


def encoded(value: object) -> bytes:
    """A value as the operators' client writes it."""
    return json.dumps(value, separators=(",", ":")).encode()


def key_of(path: str) -> bytes:
    return PREFIX + path.encode()


def bad_paths(items: Mapping[str, Any]) -> list[str]:
    """The paths of values that every node refuses."""
    return [path for path, value in items.items() if BAD in value]


class SettingsFleet:
    """Nodes, members and the client that writes."""

    def __init__(self, size: FleetSize, seconds: int, seed: int = 1) -> None:
        self.size = size
        self.seconds = seconds
        self.clock = Clock()
        self.network = StreamNetwork(self.clock)
        self.cluster = Cluster(MEMBERS)
        self.random = Random(seed)
        self.document = Document(size)
        self.changes: list[WrittenChange] = []
        self.faults: list[str] = []
        """Documents that were half, old or never written; empty unless the decisions are at fault."""
        self.caught_up_in: list[float] = []
        """For each start of a node the seconds until it held what was the newest at the start."""
        self._starts: dict[int, WrittenChange] = {}
        self.members = [
            VirtualMember(member, Place(zone), self.network)
            for member, zone in zip(self.cluster.members, MEMBER_ZONES, strict=True)
        ]
        self._addresses = {f"10.0.{zone}.1:{PORT}": member for zone, member in enumerate(self.members)}
        self.nodes: list[SettingsNode] = []
        for _ in range(size.nodes):
            self.add_node()
        self._write_all()
        self.cluster.listeners.append(self._on_cluster_change)

    # ---- nodes ----

    def add_node(self, zone: int | None = None) -> SettingsNode:
        """A new machine with an empty folder; it is not started."""
        number = len(self.nodes)
        place = Place(number % ZONES if zone is None else zone)
        record = NodeRecord(self.seconds)
        node = SettingsNode(number, place, self.clock, self.network, self._addresses, self._check, record)
        self.nodes.append(node)
        return node

    def start(self, now: float, node: SettingsNode) -> None:
        """Start a node, or start it again."""
        node.record.reachable_since.append(now)
        self._starts[node.number] = WrittenChange(now, self.cluster.store.revision)
        node.start(now)

    def in_zone(self, zone: int) -> list[SettingsNode]:
        return [node for node in self.nodes if node.place.zone == zone]

    def in_region(self, region: int) -> list[SettingsNode]:
        return [node for node in self.nodes if node.place.region == region]

    def reachable_again(self, now: float, nodes: list[SettingsNode]) -> None:
        """Running nodes can reach the cluster's quorum again: their changes count from now on."""
        for node in nodes:
            if node.running:
                node.record.reachable_since.append(now)

    # ---- changes ----

    def write(self, now: float) -> None:
        """One item is written anew."""
        path = self.document.path(self.random.randrange(self.size.items))
        self.put(now, path, self.document.value(path))

    def put(self, now: float, path: str, value: Mapping[str, Any]) -> None:
        """Write a value. While the document holds a bad one no node is to put it in force: none counts."""
        revision = self._next_revision()
        self.document.written(revision, {path: value})
        if not bad_paths(self.document.newest):
            self.changes.append(WrittenChange(now, revision))
        self.cluster.put(key_of(path), encoded(value))

    def _write_all(self) -> None:
        paths = [self.document.path(number) for number in range(self.size.items)]
        values = {path: self.document.value(path) for path in paths}
        self.document.written(self._next_revision(), values)
        self.cluster.put_all((key_of(path), encoded(value)) for path, value in values.items())

    def _next_revision(self) -> int:
        return self.cluster.store.revision + 1

    def compact(self, now: float) -> None:
        """Drop the cluster's history."""
        self.cluster.compact(self.cluster.store.revision)

    # ---- members ----

    def member_process_ends(self, now: float, number: int) -> None:
        self.cluster.set_availability(number, Availability.DOWN)

    def member_machine_lost(self, now: float, number: int) -> None:
        self.members[number].lose_power()
        self.cluster.set_availability(number, Availability.UNRESPONSIVE)

    def member_back(self, now: float, number: int) -> None:
        self.members[number].regain_power()
        self.cluster.set_availability(number, Availability.UP)

    def separate_regions(self, now: float) -> None:
        """The regions lose each other; the members of the first one are the quorum."""
        self.network.separate_regions()
        first = [n for n, zone in enumerate(MEMBER_ZONES) if zone < ZONES_PER_REGION]
        rest = [n for n, zone in enumerate(MEMBER_ZONES) if zone >= ZONES_PER_REGION]
        self.cluster.partition(first, rest)

    def join_regions(self, now: float) -> None:
        self.network.join_regions()
        self.cluster.heal()
        self.reachable_again(now, self.in_region(1))

    def _on_cluster_change(self) -> None:
        for member in self.members:
            member.on_cluster_change(self.clock.now)

    # ---- the play ----

    def play(self) -> None:
        """Start all nodes and let the time of the play pass."""
        for node in self.nodes:
            self.clock.at(self.random.uniform(0.0, START_SPREAD_S), self.start, node)
        gc.disable()  # no cycle outlasts a call, and looking for some takes a good part of the time
        try:
            self.clock.run(float(self.seconds), over=lambda: False)
        finally:
            gc.enable()

    def _check(self, node: SettingsNode, document: ProposeDocument) -> str:
        """Judge what a node wants to put in force against what was written."""
        written = self.document.by_revision.get(document.revision)
        if written is None:
            self.faults.append(f"node {node.number}: revision {document.revision} was never written")
        elif document.items != written:
            self.faults.append(f"node {node.number}: half of revision {document.revision}")
        if document.revision <= node.in_force:
            self.faults.append(f"node {node.number}: back from {node.in_force} to {document.revision}")
        bad = bad_paths(document.items)
        if bad:
            return f"{bad[0]}: a value without {BAD!r} is due"
        self._note_catching_up(node, document.revision)
        return ""

    def _note_catching_up(self, node: SettingsNode, revision: int) -> None:
        """Once a node that has started holds what was the newest then, it has caught up."""
        start = self._starts.get(node.number)
        if start is not None and revision >= start.revision:
            self.caught_up_in.append(self.clock.now - start.at)
            del self._starts[node.number]

    @property
    def catching_up(self) -> int:
        """How many nodes have started and not yet caught up."""
        return len(self._starts)

    # ---- what came of it ----

    def lags(self) -> Iterator[float | None]:
        """For each change the seconds until the last node that could be reached had it in force.

        `None` if a node that runs at the end has it not.
        """
        running = [node for node in self.nodes if node.running]
        for change in self.changes:
            each = [
                node.record.in_force_after(change.at, change.revision, float(self.seconds))
                for node in running
            ]
            yield None if None in each else max((lag for lag in each if lag is not None), default=None)
