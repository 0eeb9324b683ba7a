"""Experiments on one real node: how long a restart takes, and what gossip costs it."""

import socket
import tempfile
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from statistics import median
from typing import Protocol

from irisstack.choice import GOSSIP_FAILURE
from irisstack.lab import scenario, world
from irisstack.lab.capacity import targets
from irisstack.lab.node_settings import settings_object
from irisstack.lab.ports import HOST
from irisstack.lab.scale.bare_receiver import BareReceiver
from irisstack.lab.scale.list_lines import whole_list
from irisstack.lab.scale.node_process import NodeFile, NodeProcess
from irisstack.lab.scale.results import Point, Slope, mean
from irisstack.lab.scale.settings import NODE_SIZES

LIST_SIZES = (10, 1_000, 10_000, 100_000)
RUNS = 3
ROLLED_PART = 10
"""The platform restarts a tenth of the nodes at a time."""
LONGEST_STOP_S = 3.7
"""Seconds in which a node ends after SIGTERM, whatever it has under way."""
GOSSIP_RATES = (50, 100, 250, 500, 1_000, 2_000)
GOSSIP_SECONDS = 5.0
GOSSIP_DESTINATIONS = targets.DESTINATIONS
GOSSIP_BURSTS_PER_S = 1_000
"""Many, since at the target messages come one by one from all other nodes."""


@dataclass(slots=True, frozen=True)
class RestartTimes:
    """Seconds of one restart of an idle node."""

    start_s: float
    stop_s: float


def node_file(lines: int, *, gossip_peer: str | None = None) -> NodeFile:
    """The file of a node that holds a list of so many lines."""
    played = world.build_world(scenario.read(scenario.scenario_path("short-day")))
    settings = settings_object(played, 0)
    settings["balancers"] = targets.NODES
    settings["invariants"] = {k: v for k, v in settings["invariants"].items() if v is not None}
    settings["allowed"]["mayTell"] = gossip_peer is not None
    known = whole_list(lines, settings["shapes"][0])
    return NodeFile(settings, known, () if gossip_peer is None else (gossip_peer,))


def restart_times(lines: int, runs: int) -> list[RestartTimes]:
    """Start and end a real node so many times."""
    file, found = node_file(lines), []
    for _ in range(runs):
        with tempfile.TemporaryDirectory() as folder, NodeProcess(Path(folder), file) as node:
            started = node.start()
            found.append(RestartTimes(started, node.stop()))
    return found


def measure_restart(
    sizes: Sequence[int] = NODE_SIZES, list_sizes: Sequence[int] = LIST_SIZES, runs: int = RUNS
) -> Iterator[Slope]:
    """The times of one node against its list, and of a rolling restart against the fleet."""
    times = {lines: restart_times(lines, runs) for lines in list_sizes}
    yield Slope(
        "node-start-seconds",
        "time from the start of a node's process until it serves",
        "list lines",
        "s",
        tuple(Point(n, mean([median(t.start_s for t in each)]), runs) for n, each in times.items()),
        "median; the list stands in the node's file; one core, which the clock of the test shares",
    )
    yield Slope(
        "node-stop-seconds",
        "time from SIGTERM until an idle node's process has ended",
        "list lines",
        "s",
        tuple(Point(n, mean([median(t.stop_s for t in each)]), runs) for n, each in times.items()),
        "median; a node with calls under way takes up to 3.7 s",
    )
    longest = times[max(list_sizes)]
    start = median(t.start_s for t in longest)
    for name, stop in (("idle", median(t.stop_s for t in longest)), ("busy", LONGEST_STOP_S)):
        yield Slope(
            f"settings-change-seconds-{name}",
            f"time until a change of a setting is in force at all nodes, by a rolling restart ({name} nodes)",
            "nodes",
            "s",
            tuple(Point(n, mean([rolling_restart_s(n, start, stop)]), runs) for n in sizes),
            f"a model: a tenth of the nodes at a time, {stop:.2f} s to end and {start:.2f} s to serve "
            f"(a list of {max(list_sizes)} lines), the nodes of a tenth beside each other on cores of their "
            "own, no pause between tenths",
        )


def rolling_restart_s(nodes: int, start_s: float, stop_s: float) -> float:
    """Seconds until the last of so many nodes serves again."""
    return min(nodes, ROLLED_PART) * (stop_s + start_s)


def measure_gossip(rates: Sequence[int] = GOSSIP_RATES, seconds: float = GOSSIP_SECONDS) -> Iterator[Slope]:
    """Processor time of a real node, and of a bare receiver, against gossip messages a second."""
    failing = round(GOSSIP_DESTINATIONS * targets.DESTINATIONS_DOWN_SHARE)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((HOST, 0))
        node = _node_gossip(sock, rates, seconds)
        with BareReceiver() as receiver:
            bare = [processor_share(receiver, sock, rate, seconds) for rate in rates]
    yield Slope(
        "gossip-processor-share-node",
        "part of a core that gossip takes at a real node",
        "messages/s",
        "cores",
        tuple(Point(rate, mean([share])) for rate, share in zip(rates, node.shares, strict=True)),
        f"failures of {failing} of {GOSSIP_DESTINATIONS} destinations in turn, on loopback, {seconds:g} s "
        f"each; less the idle node's {node.idle_share:.4f} of a core; breakers that open and their log lines "
        f"included; the node took {node.heard} of {node.sent} messages; what it sends itself is not measured",
    )
    yield Slope(
        "gossip-processor-share-bare",
        "part of a core that reading the same datagrams takes, in a process that drops them",
        "messages/s",
        "cores",
        tuple(Point(rate, mean([share])) for rate, share in zip(rates, bare, strict=True)),
        "one gevent loop and nothing else; a wake-up has its price on a virtual machine, so that few "
        "messages cost more each than many",
    )


@dataclass(slots=True, frozen=True)
class NodeGossip:
    """What gossip cost a real node."""

    idle_share: float
    """Part of a core without any."""
    shares: tuple[float, ...]
    """Part of a core at each rate, less the idle one."""
    sent: int
    heard: int


def _node_gossip(sock: socket.socket, rates: Sequence[int], seconds: float) -> NodeGossip:
    """Send gossip to a real node at each rate, from a socket that it knows as its peer."""
    file = node_file(GOSSIP_DESTINATIONS, gossip_peer=f"{HOST}:{sock.getsockname()[1]}")
    with tempfile.TemporaryDirectory() as folder, NodeProcess(Path(folder), file) as node:
        node.start()
        idle = processor_share(node, sock, 0, seconds)
        shares = tuple(processor_share(node, sock, rate, seconds) - idle for rate in rates)
        heard = node.counters().get("notes_heard", 0)
    return NodeGossip(idle, shares, sum(round(rate * seconds) for rate in rates), heard)


class Receiver(Protocol):
    """A process to which datagrams are sent."""

    @property
    def address(self) -> tuple[str, int]:
        """Where it reads them."""

    def processor_s(self) -> float:
        """Seconds of processor time that it has used."""


def processor_share(receiver: Receiver, sock: socket.socket, rate: int, seconds: float) -> float:
    """Processor time a second of a receiver while so much gossip comes to it."""
    failing = round(GOSSIP_DESTINATIONS * targets.DESTINATIONS_DOWN_SHARE)
    before, began = receiver.processor_s(), time.monotonic()
    sent = 0
    for burst in range(round(seconds * GOSSIP_BURSTS_PER_S)):
        while sent < rate * (burst + 1) / GOSSIP_BURSTS_PER_S:
            number = 1 + sent % failing
            key = number.to_bytes(number.bit_length() // 8 + 1, signed=True)
            sock.sendto(GOSSIP_FAILURE + key, receiver.address)
            sent += 1
        time.sleep(max(0.0, began + (burst + 1) / GOSSIP_BURSTS_PER_S - time.monotonic()))
    return (receiver.processor_s() - before) / (time.monotonic() - began)
