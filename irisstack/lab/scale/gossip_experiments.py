"""Experiments on gossip about failures: traffic, breakers that open, wasted calls, processor time."""

import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from random import Random

from irisstack import interface as api
from irisstack.choice import GOSSIP_FAILURE, Sender
from irisstack.lab.capacity import targets
from irisstack.lab.scale.destinations import Destination, Failure, Outage
from irisstack.lab.scale.fleet import Fleet
from irisstack.lab.scale.results import Point, Slope, mean, slope_name
from irisstack.lab.scale.settings import NODE_SIZES, SECONDS_BETWEEN_MESSAGES, fleet_settings

TRAFFIC_PER_LISTED_RATE = 0.9
OUTAGE_LASTS = 60.0
FIRST_OUTAGE = 10.0
FIRST_NUMBER = 99_000
"""The sample's destinations have high numbers, whose gossip has the length of most at the target."""
SAMPLE = 8
FAILING_SIZES = (1, 3, 10, 30, 100)
FAILING_AT_NODES = 105
DESTINATION_SIZES = (100, 1_000, 10_000, 50_000)
COST_MESSAGES = 60_000
SEED = 1


@dataclass(slots=True, frozen=True)
class GossipRun:
    """A sample of destinations, each down once; every sender sends to each at the target's rate."""

    nodes: int
    failing: int
    messages: int
    """Gossip that came to all nodes together."""
    bytes: int
    calls: int
    """Calls into the destinations while they were down."""
    openings: int
    """Pairs of a node and a destination whose breaker opened at least once."""
    log_lines: int
    """Lines of all nodes' logs, one for each time that a breaker opened."""

    @property
    def messages_per_failing_second(self) -> float:
        """Gossip messages a second that come to one node for each destination that is down."""
        return self.messages / (self.nodes * self.failing * OUTAGE_LASTS)

    @property
    def bytes_per_failing_second(self) -> float:
        """The same in bytes, UDP and IP headers included."""
        return self.bytes / (self.nodes * self.failing * OUTAGE_LASTS)

    @property
    def log_lines_per_failing_second(self) -> float:
        """Lines a second that one node logs for each destination that is down."""
        return self.log_lines / (self.nodes * self.failing * OUTAGE_LASTS)


def play(nodes: int, failing: int, failure: Failure, seed: int, *, gossip: bool) -> GossipRun:
    """All destinations of the sample are down at the same time, from the first outage's begin on."""
    settings = [fleet_settings(nodes, number, gossip=gossip) for number in range(nodes)]
    rate = nodes / SECONDS_BETWEEN_MESSAGES
    cold = settings[0].warmup_seconds
    outage = Outage(FIRST_OUTAGE, FIRST_OUTAGE + OUTAGE_LASTS, failure)
    destinations = [
        Destination(FIRST_NUMBER + i, rate / TRAFFIC_PER_LISTED_RATE, outage, cold, Random(seed * 7919 + i))
        for i in range(failing)
    ]
    fleet = Fleet(nodes, destinations, rate, settings.__getitem__, seed)
    fleet.run(outage.ends + cold)
    traffic = fleet.network.traffic.values()
    return GossipRun(
        nodes,
        failing,
        sum(each.messages_received for each in traffic),
        sum(each.bytes_received for each in traffic),
        sum(len(destination.while_down) for destination in destinations),
        sum(len(node.opened) for node in fleet.nodes),
        sum(sum(node.opened.values()) for node in fleet.nodes),
    )


def measure(
    sizes: Sequence[int] = NODE_SIZES,
    failing_sizes: Sequence[int] = FAILING_SIZES,
    sample: int = SAMPLE,
    seed: int = SEED,
) -> Iterator[Slope]:
    """Traffic against nodes and against failing destinations; openings and wasted calls against nodes."""
    for failure in Failure:
        for gossip in (False, True):
            runs = {n: play(n, sample, failure, seed, gossip=gossip) for n in sizes}
            yield from _outage_slopes(runs, failure, gossip)
            if gossip:
                yield from _traffic_slopes(runs, failure)
    failure = Failure.UNREACHABLE
    failing = {n: play(FAILING_AT_NODES, n, failure, seed, gossip=True) for n in failing_sizes}
    yield Slope(
        slope_name("gossip-messages-by-failing", failure.name.lower()),
        f"gossip messages a second at each of {FAILING_AT_NODES} nodes ({failure.name.lower()})",
        "failing destinations",
        "messages/s",
        _points(failing, lambda run: run.messages_per_failing_second * run.failing),
        _notes(seed),
    )


def _points(runs: Mapping[int, GossipRun], figure: Callable[[GossipRun], float]) -> tuple[Point, ...]:
    return tuple(Point(size, mean([figure(run)])) for size, run in runs.items())


def _notes(seed: int) -> str:
    return (
        f"each node sends to each destination once in {SECONDS_BETWEEN_MESSAGES:g} s; each destination is "
        f"down for {OUTAGE_LASTS:g} s; the traffic of its return counts; seed {seed}"
    )


def _traffic_slopes(runs: Mapping[int, GossipRun], failure: Failure) -> Iterator[Slope]:
    name, down = failure.name.lower(), targets.DESTINATIONS_DOWN_SHARE * targets.DESTINATIONS
    sample = next(iter(runs.values())).failing
    scaled = (
        f"played with {sample} destinations down and multiplied by {down / sample:g} to the {down:g} "
        f"that are down at the target; {_notes(SEED)}"
    )
    yield Slope(
        slope_name("gossip-messages", name),
        f"gossip messages a second that come to each node, {down:g} destinations down ({name})",
        "nodes",
        "messages/s",
        _points(runs, lambda run: run.messages_per_failing_second * down),
        scaled,
    )
    yield Slope(
        slope_name("gossip-bytes", name),
        f"bytes of gossip a second that come to each node, {down:g} destinations down ({name})",
        "nodes",
        "bytes/s",
        _points(runs, lambda run: run.bytes_per_failing_second * down),
        f"UDP and IP headers included; {scaled}",
    )
    yield Slope(
        slope_name("gossip-log-lines", name),
        f"log lines a second of each node for breakers that open, {down:g} destinations down ({name})",
        "nodes",
        "lines/s",
        _points(runs, lambda run: run.log_lines_per_failing_second * down),
        scaled,
    )


def _outage_slopes(runs: Mapping[int, GossipRun], failure: Failure, gossip: bool) -> Iterator[Slope]:
    name = slope_name(failure.name.lower(), "gossip" if gossip else "alone")
    title = f"{failure.name.lower()}, {'with' if gossip else 'without'} gossip"
    notes = f"mean of the destinations of the sample; {_notes(SEED)}"
    yield Slope(
        slope_name("senders-that-open", name),
        f"senders that ever open their breaker for a destination down for {OUTAGE_LASTS:g} s ({title})",
        "nodes",
        "senders",
        _points(runs, lambda run: run.openings / run.failing),
        notes,
    )
    yield Slope(
        slope_name("wasted-calls", name),
        f"calls into a destination down for {OUTAGE_LASTS:g} s ({title})",
        "nodes",
        "calls",
        _points(runs, lambda run: run.calls / run.failing),
        notes,
    )


def measure_cost(sizes: Sequence[int] = DESTINATION_SIZES, messages: int = COST_MESSAGES) -> Iterator[Slope]:
    """Processor time of the decisions for one gossip message, against destinations known to the node."""
    yield Slope(
        "gossip-processor-time",
        "processor time of the decision module for one gossip message",
        "destinations",
        "us",
        tuple(Point(size, mean([cost_of_a_message(size, messages) * 1e6])) for size in sizes),
        f"{messages} messages of one failure each, in turns of one, 1.9 % of the destinations failing in "
        "turn; without the socket read and the mailbox of a real node",
    )


def cost_of_a_message(destinations: int, messages: int) -> float:
    """Seconds of processor time a message."""
    sender = Sender(fleet_settings(840, gossip=True), SEED)
    endpoints = tuple(
        Destination(number, 2.2, Outage(0.0, 0.0, Failure.REFUSING), 0.0, Random(number)).endpoint
        for number in range(1, destinations + 1)
    )
    sender.turn(0.0, [api.EndpointsUpdated(api.UpdateScope.CACHED, 1, endpoints)])
    failing = max(1, round(destinations * targets.DESTINATIONS_DOWN_SHARE))
    events = [[api.PeerMessage(1, GOSSIP_FAILURE + _key(1 + i % failing))] for i in range(messages)]
    began = time.process_time()
    for i, event in enumerate(events):
        sender.turn(1.0 + i * 0.001, event)
    return (time.process_time() - began) / messages


def _key(number: int) -> bytes:
    """A destination's key in gossip, as the decision module writes it."""
    return number.to_bytes(number.bit_length() // 8 + 1, signed=True)
