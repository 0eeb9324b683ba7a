"""Experiments on one outage: calls into a destination that is shut, and into one that returns cold."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from random import Random

from irisstack.lab.capacity import targets
from irisstack.lab.scale.destinations import Destination, Failure, Outage, ReturnLoad, return_load
from irisstack.lab.scale.fleet import Fleet
from irisstack.lab.scale.results import Point, Slope, mean, slope_name
from irisstack.lab.scale.settings import SENDER_SIZES, fleet_settings

MEAN_RATE = targets.EVENTS_PER_S / targets.DESTINATIONS
"""Messages a second for a destination in the mean, from all senders together: 2."""
HOT_RATE = 12.0
TRAFFIC_PER_LISTED_RATE = 0.9
OUTAGE_BEGINS = 20.0
OUTAGE_LASTS = 60.0
SEEDS = range(1, 11)


@dataclass(slots=True, frozen=True)
class OutageCase:
    """What stays the same while the number of senders grows."""

    failure: Failure
    messages_per_s: float = MEAN_RATE
    gossip: bool = False

    @property
    def name(self) -> str:
        """For the names of slopes."""
        heat = "mean" if self.messages_per_s == MEAN_RATE else "hot"
        return slope_name(self.failure.name.lower(), heat, "gossip" if self.gossip else "alone")

    @property
    def title(self) -> str:
        """For the titles of slopes."""
        gossip = "with gossip" if self.gossip else "without gossip"
        return f"{self.failure.name.lower()}, {self.messages_per_s:g} messages a second, {gossip}"

    @property
    def notes(self) -> str:
        """What a reader must know of the play."""
        return (
            f"one destination, {self.messages_per_s:g} messages a second from all senders together; listed "
            f"rate {self.messages_per_s / TRAFFIC_PER_LISTED_RATE:.3g}; down for {OUTAGE_LASTS:g} s; refused "
            "messages are not handed in again"
        )


CASES = (
    *(OutageCase(failure) for failure in Failure),
    *(OutageCase(failure, gossip=True) for failure in Failure),
    *(OutageCase(failure, HOT_RATE) for failure in Failure),
)


@dataclass(slots=True, frozen=True)
class OutageRun:
    """What reached a destination in one play."""

    calls: int
    """While it was down."""
    late_calls_per_s: float
    """In the second half of the outage."""
    load: ReturnLoad


def play(senders: int, case: OutageCase, seed: int) -> OutageRun:
    """One destination goes down and comes back under the sum of all senders."""
    settings = [fleet_settings(senders, number, gossip=case.gossip) for number in range(senders)]
    outage = Outage(OUTAGE_BEGINS, OUTAGE_BEGINS + OUTAGE_LASTS, case.failure)
    cold = settings[0].warmup_seconds
    listed_rate = case.messages_per_s / TRAFFIC_PER_LISTED_RATE
    destination = Destination(1, listed_rate, outage, cold, Random(seed * 7919 + senders))
    Fleet(senders, [destination], case.messages_per_s, settings.__getitem__, seed).run(outage.ends + cold)
    half = OUTAGE_LASTS / 2.0
    late_calls = sum(arrival.at >= outage.begins + half for arrival in destination.while_down)
    return OutageRun(len(destination.while_down), late_calls / half, return_load(destination, settings[0]))


Runs = Mapping[int, Sequence[OutageRun]]


def measure(
    sizes: Sequence[int] = SENDER_SIZES,
    seeds: Sequence[int] = SEEDS,
    cases: Sequence[OutageCase] = CASES,
) -> Iterator[Slope]:
    """Each way to fail, at a mean and a hot destination, and with gossip."""
    for case in cases:
        runs = {size: [play(size, case, seed) for seed in seeds] for size in sizes}
        yield from _shut_slopes(case, runs)
        yield from _return_slopes(case, runs)


def _points(runs: Runs, figure: Callable[[OutageRun], float]) -> tuple[Point, ...]:
    return tuple(Point(n, mean([figure(run) for run in each]), len(each)) for n, each in runs.items())


def _shut_slopes(case: OutageCase, runs: Runs) -> Iterator[Slope]:
    yield Slope(
        slope_name("shut-calls-per-outage", case.name),
        f"calls into a destination in {OUTAGE_LASTS:g} s down ({case.title})",
        "senders",
        "calls",
        _points(runs, lambda run: run.calls),
        f"mean of the runs; {case.notes}",
    )
    yield Slope(
        slope_name("shut-calls-per-second", case.name),
        f"calls a second into a shut destination, second half of its outage ({case.title})",
        "senders",
        "calls/s",
        _points(runs, lambda run: run.late_calls_per_s),
        f"mean of the runs; {case.notes}",
    )


def _return_slopes(case: OutageCase, runs: Runs) -> Iterator[Slope]:
    span = fleet_settings(2).overload_window
    yield Slope(
        slope_name("return-first-window", case.name),
        f"calls in the first {span:g} s of a return, as a part of the limit ({case.title})",
        "senders",
        "part of the limit",
        _points(runs, lambda run: run.load.first_window_of_limit),
        f"mean of the runs; the limit is N + 2 x root of N + 2, N what the settings allow; {case.notes}",
    )
    yield Slope(
        slope_name("return-worst-window", case.name),
        f"calls in the fullest {span:g} s of a return, as a part of the limit ({case.title})",
        "senders",
        "part of the limit",
        tuple(
            Point(n, mean([max(run.load.worst_of_limit for run in each)]), len(each))
            for n, each in runs.items()
        ),
        f"the largest of the runs; {case.notes}",
    )
    yield Slope(
        slope_name("return-falls", case.name),
        f"part of the returns that push the destination over ({case.title})",
        "senders",
        "part of the runs",
        _points(runs, lambda run: float(run.load.falls)),
        "the limit is passed, and over two thirds of the calls came from senders that knew of the outage; "
        f"{case.notes}",
    )
