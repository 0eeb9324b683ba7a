"""The scale experiments by name."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from irisstack.lab.scale import (
    gossip_experiments,
    list_experiments,
    node_experiments,
    outage_experiments,
    settings_experiments,
)
from irisstack.lab.scale.results import Slope
from irisstack.lab.scale.settings import NODE_SIZES, SENDER_SIZES

Measure = Callable[[Sequence[int] | None], Iterator[Slope]]


@dataclass(slots=True, frozen=True)
class Experiment:
    """Something to measure at several sizes."""

    name: str
    title: str
    variable: str
    """What the sizes count."""
    measure: Measure
    """Measures at the sizes told, or at its own if none are."""


def _outage(sizes: Sequence[int] | None) -> Iterator[Slope]:
    return outage_experiments.measure(sizes or SENDER_SIZES)


def _gossip(sizes: Sequence[int] | None) -> Iterator[Slope]:
    return gossip_experiments.measure(sizes or NODE_SIZES)


def _gossip_cost(sizes: Sequence[int] | None) -> Iterator[Slope]:
    return gossip_experiments.measure_cost(sizes or gossip_experiments.DESTINATION_SIZES)


def _list_bytes(sizes: Sequence[int] | None) -> Iterator[Slope]:
    return list_experiments.measure_bytes(sizes or list_experiments.RESTARTED)


def _restart(sizes: Sequence[int] | None) -> Iterator[Slope]:
    return node_experiments.measure_restart(sizes or NODE_SIZES)


def _gossip_node(sizes: Sequence[int] | None) -> Iterator[Slope]:
    return node_experiments.measure_gossip(sizes or node_experiments.GOSSIP_RATES)


def _settings(sizes: Sequence[int] | None) -> Iterator[Slope]:
    return settings_experiments.measure(sizes or settings_experiments.NODE_SIZES)


EXPERIMENTS = {
    experiment.name: experiment
    for experiment in (
        Experiment("outage", "calls into a destination that is down, and at its return", "senders", _outage),
        Experiment("gossip", "traffic, opened breakers and wasted calls with gossip", "nodes", _gossip),
        Experiment("gossip-cost", "processor time of the decisions for gossip", "destinations", _gossip_cost),
        Experiment("gossip-node", "processor time of a real node for gossip", "messages/s", _gossip_node),
        Experiment("list", "recovery of the list at all nodes", "nodes", list_experiments.measure),
        Experiment("list-bytes", "bytes of the list", "restarted nodes", _list_bytes),
        Experiment("settings", "load and time of settings that nodes follow", "nodes", _settings),
        Experiment("restart", "a rolling restart, from a real node's times", "nodes", _restart),
    )
}
