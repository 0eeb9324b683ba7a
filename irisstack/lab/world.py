"""Generates the world of a scenario and a seed: destinations, senders, messages and incidents.

The world is only data; it is played elsewhere. Each purpose draws from a random stream of its own, so that a
change of one value leaves all other draws unchanged and two variants can be compared message by message.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

import numpy as np

from irisstack.lab.sampling import RandomStreams, sample
from irisstack.lab.scenario import DEFAULT_STRENGTH, LIST_TROUBLES, NODE_TROUBLES, Kind, Scenario, Trouble

MAX_WORK = 10.0
"""Maximum work of a message, as a multiple of the mean: no single message may take up the whole run."""


@dataclass(slots=True, frozen=True)
class EndpointSpec:
    """One endpoint; its number is unique in the world."""

    number: int
    destination: int
    concurrency: int
    queue_limit: int
    max_connections: int  # 0: unlimited


@dataclass(slots=True, frozen=True)
class DestinationSpec:
    """One destination."""

    number: int
    kind_index: int
    kind: Kind
    message_rate: float  # mean, in messages a second
    duration_factor: float  # of a call, relative to the classes' mean work
    capacity: float  # calls a second, over all its endpoints
    rate_limit: float  # calls a second; 0: unlimited
    endpoints: tuple[EndpointSpec, ...]


@dataclass(slots=True, frozen=True)
class SenderSpec:
    """One delivery node."""

    number: int
    traffic_share: float  # from 0 to 1
    max_calls: int  # concurrent
    max_pending: int


@dataclass(slots=True, frozen=True)
class Message:
    """A message to deliver; `number` is the same for all its submissions (the ledger's `chain`)."""

    number: int
    submit_at: float
    message_class: int
    destination: int
    sender: int
    work: float  # as a multiple of the class's mean
    order_key: int


@dataclass(slots=True, frozen=True)
class Incident:
    """A trouble with all its random values drawn; times in seconds from the start of the run."""

    trouble: Trouble
    starts_at: float
    ends_at: float
    destinations: tuple[int, ...] = ()
    endpoints: tuple[int, ...] = ()
    nodes: tuple[int, ...] = ()
    strength: float = 0.0


@dataclass(slots=True)
class World:
    """Everything that is fixed before a run."""

    scenario: Scenario
    streams: RandomStreams
    destinations: dict[int, DestinationSpec]
    senders: tuple[SenderSpec, ...]
    messages: list[Message]
    incidents: tuple[Incident, ...]
    next_endpoint_number: int = 0
    endpoints: dict[int, EndpointSpec] = field(default_factory=dict)

    @property
    def first_replacement_number(self) -> int:
        """Endpoints with this number or a higher one are replacements, added during the run."""
        return sum(len(spec.endpoints) for spec in self.destinations.values()) + 1

    def one_way_delays(self) -> dict[int, float]:
        """One-way network delay in seconds by destination; the same at each call."""
        stream = self.streams.stream("network")
        return {number: sample(self.scenario.network.one_way_s, stream) for number in self.destinations}

    @property
    def duration(self) -> float:
        return self.scenario.scenario.length_s

    def replace_endpoint(self, replaced: EndpointSpec) -> EndpointSpec:
        """Add the replacement of an endpoint, with a number of its own."""
        replacement = EndpointSpec(
            self.next_endpoint_number,
            replaced.destination,
            replaced.concurrency,
            replaced.queue_limit,
            replaced.max_connections,
        )
        self.next_endpoint_number += 1
        self.endpoints[replacement.number] = replacement
        return replacement


def build_world(scenario: Scenario, seed: int | None = None) -> World:
    """Generate the world of a scenario, from the scenario's own seed if none is given."""
    streams = RandomStreams(scenario.scenario.seed if seed is None else seed)
    destinations = _destinations(scenario, streams)
    incidents = tuple(
        _incident(i, trouble, scenario, destinations, streams) for i, trouble in enumerate(scenario.troubles)
    )
    senders = _senders(scenario, streams)
    world = World(
        scenario,
        streams,
        destinations,
        senders,
        _messages(scenario, destinations, senders, incidents, streams),
        incidents,
    )
    world.endpoints = {e.number: e for d in destinations.values() for e in d.endpoints}
    world.next_endpoint_number = len(world.endpoints) + 1
    return world


def mean_work_seconds(scenario: Scenario) -> float:
    """Mean work of a message in seconds, over all classes."""
    total = sum(kind.share for kind in scenario.classes)
    return sum(kind.share * kind.work_s for kind in scenario.classes) / total


def _zipf_shares(count: int, skew: float) -> np.ndarray:
    """Shares that sum to 1; the n-th is proportional to 1 / n ** skew."""
    weights = np.arange(1, count + 1, dtype=float) ** -skew
    return np.asarray(weights / weights.sum())


def _destinations(scenario: Scenario, streams: RandomStreams) -> dict[int, DestinationSpec]:
    found: dict[int, DestinationSpec] = {}
    total_traffic = sum(kind.traffic for kind in scenario.kinds)
    work = mean_work_seconds(scenario)
    next_number = 1
    for index, kind in enumerate(scenario.kinds):
        rates = _zipf_shares(kind.count, kind.skew) * kind.traffic / total_traffic * scenario.traffic.rate
        for i, rate in enumerate(rates.tolist()):
            number = len(found) + 1
            stream = streams.stream("destination", kind.name, i)
            duration_factor = sample(kind.pace, stream)
            capacity = max(kind.least_capacity, rate * sample(kind.capacity, stream))
            rate_limit = 0.0
            if kind.limit is not None:
                rate_limit = max(kind.limit.least, rate * sample(kind.limit.of_traffic, stream))
            low, high = kind.endpoints if isinstance(kind.endpoints, list) else (kind.endpoints,) * 2
            endpoint_count = int(stream.integers(low, high + 1))
            # The concurrency of an endpoint is a whole number; the duration factor makes up for the rounding.
            concurrency = max(1, round(capacity * work * duration_factor / endpoint_count))
            duration_factor = concurrency * endpoint_count / (capacity * work)
            specs = tuple(
                EndpointSpec(
                    next_number + j,
                    number,
                    concurrency,
                    max(1, round(kind.queue * concurrency)),
                    kind.connections * concurrency,
                )
                for j in range(endpoint_count)
            )
            next_number += endpoint_count
            found[number] = DestinationSpec(
                number, index, kind, rate, duration_factor, capacity, rate_limit, specs
            )
    return found


def _senders(scenario: Scenario, streams: RandomStreams) -> tuple[SenderSpec, ...]:
    config = scenario.senders
    shares = _zipf_shares(config.count, config.skew)
    stream = streams.stream("senders")
    calls_factor, pending_seconds = sample(config.slots, stream), sample(config.room_s, stream)
    busy_calls = scenario.traffic.rate * (
        mean_work_seconds(scenario) + 2.0 * _midpoint(scenario.network.one_way_s)
    )
    return tuple(
        SenderSpec(
            i,
            share,
            max(config.least_slots, math.ceil(share * busy_calls * calls_factor)),
            max(config.least_room, math.ceil(share * scenario.traffic.rate * pending_seconds)),
        )
        for i, share in enumerate(shares.tolist())
    )


def _midpoint(value: float | list[float]) -> float:
    return sum(value) / 2.0 if isinstance(value, list) else value


def _incident(
    index: int,
    trouble: Trouble,
    scenario: Scenario,
    destinations: dict[int, DestinationSpec],
    streams: RandomStreams,
) -> Incident:
    stream = streams.stream("trouble", index, trouble.kind)
    starts_at = sample(trouble.at_s, stream)
    ends_at = starts_at + sample(trouble.for_s, stream)
    strength = trouble.strength if trouble.strength is not None else DEFAULT_STRENGTH.get(trouble.kind, 0.0)
    drawn = sample(strength, stream)
    if trouble.kind in LIST_TROUBLES:
        return Incident(trouble, starts_at, ends_at, strength=drawn)
    if trouble.kind in NODE_TROUBLES:
        nodes = _choose(range(scenario.senders.count), trouble.share, stream)
        return Incident(trouble, starts_at, ends_at, nodes=nodes, strength=drawn)
    affected = tuple(trouble.destinations) or _choose(
        [n for n, d in destinations.items() if trouble.of_kind in (None, d.kind.name)], trouble.share, stream
    )
    endpoints = tuple(
        endpoint.number
        for number in affected
        for endpoint in destinations[number].endpoints[: trouble.endpoints]
    )
    return Incident(trouble, starts_at, ends_at, affected, endpoints, strength=drawn)


def _choose(population: Sequence[int], share: float | None, stream: np.random.Generator) -> tuple[int, ...]:
    """Choose a share of the population, at least one member; one if no share is given."""
    count = 1 if share is None else max(1, round(share * len(population)))
    return tuple(sorted(int(n) for n in stream.choice(np.asarray(population), size=count, replace=False)))


def _messages(
    scenario: Scenario,
    destinations: dict[int, DestinationSpec],
    senders: tuple[SenderSpec, ...],
    incidents: tuple[Incident, ...],
    streams: RandomStreams,
) -> list[Message]:
    """All messages, in order of submission."""
    traffic, length = scenario.traffic, scenario.scenario.length_s
    times = _poisson_arrivals(
        traffic.rate * (1.0 - traffic.clumped),
        traffic.swing,
        traffic.wave_s,
        length,
        streams.stream("arrivals"),
    )
    numbers = np.asarray(list(destinations))
    rates = np.asarray([d.message_rate for d in destinations.values()])
    targets = streams.stream("arrivals", "where").choice(numbers, size=times.size, p=rates / rates.sum())

    bursts = streams.stream("clumps")
    starts = _poisson_arrivals(traffic.rate * traffic.clumped / traffic.clump, 0.0, 1.0, length, bursts)
    burst_times = np.repeat(starts, traffic.clump) + bursts.uniform(0.0, 0.2, starts.size * traffic.clump)
    burst_targets = np.repeat(bursts.choice(numbers, size=starts.size, p=rates / rates.sum()), traffic.clump)
    times, targets = np.concatenate([times, burst_times]), np.concatenate([targets, burst_targets])

    for i, incident in enumerate(incidents):
        if incident.trouble.kind == "hot":
            stream = streams.stream("hot", i)
            extra_times = incident.starts_at + _poisson_arrivals(
                traffic.rate * incident.strength, 0.0, 1.0, incident.ends_at - incident.starts_at, stream
            )
            times = np.concatenate([times, extra_times])
            targets = np.concatenate(
                [targets, stream.choice(np.asarray(incident.destinations), size=extra_times.size)]
            )

    order = np.argsort(times, kind="stable")
    times, targets = times[order], targets[order]
    in_run = times < length
    times, targets = times[in_run], targets[in_run]
    shares = np.asarray([kind.share for kind in scenario.classes])
    class_indices = streams.stream("classes").choice(shares.size, size=times.size, p=shares / shares.sum())
    sender_shares = np.asarray([sender.traffic_share for sender in senders])
    sender_indices = streams.stream("entry").choice(
        sender_shares.size, size=times.size, p=sender_shares / sender_shares.sum()
    )
    work = _work(scenario, class_indices, streams)
    key_draws = streams.stream("order").random(times.size)
    key_counts = np.asarray([kind.order_keys for kind in scenario.classes])[class_indices]
    order_keys = np.where(key_counts > 0, targets * 1000 + (key_draws * key_counts).astype(int), -1)
    columns = zip(
        times.tolist(),
        class_indices.tolist(),
        targets.tolist(),
        sender_indices.tolist(),
        work.tolist(),
        order_keys.tolist(),
        strict=True,
    )
    return [Message(i + 1, *row) for i, row in enumerate(columns)]


def _work(scenario: Scenario, class_indices: np.ndarray, streams: RandomStreams) -> np.ndarray:
    """Work as a multiple of the class's mean: log-normal with mean 1, cut off at `MAX_WORK`."""
    spread = np.asarray([kind.work_spread for kind in scenario.classes])[class_indices]
    sigma = np.sqrt(np.log1p(spread**2))
    normal = streams.stream("work").standard_normal(class_indices.size)
    return np.asarray(np.minimum(np.exp(sigma * normal - sigma**2 / 2.0), MAX_WORK))


def _poisson_arrivals(
    mean_rate: float, swing: float, period: float, length: float, stream: np.random.Generator
) -> np.ndarray:
    """Arrival times of a Poisson process; with a swing the rate follows a sine wave (by thinning)."""
    max_rate = mean_rate * (1.0 + swing)
    count = int(stream.poisson(max_rate * length)) if max_rate > 0.0 else 0
    times = np.sort(stream.uniform(0.0, length, count))
    if swing:
        rates = mean_rate * (1.0 + swing * np.sin(2.0 * np.pi * times / period))
        times = times[stream.random(count) * max_rate < rates]
    return np.asarray(times)
