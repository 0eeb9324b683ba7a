"""Experiments on the list service: how long a fleet is without a change, and what its calls come to."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from irisstack.lab.capacity import targets
from irisstack.lab.scale.list_fleet import ListFleet, Mode, Recovery
from irisstack.lab.scale.list_lines import BEAT_BYTES, BEAT_S
from irisstack.lab.scale.list_service import Costs, State
from irisstack.lab.scale.results import Point, Slope, mean, slope_name
from irisstack.lab.scale.settings import NODE_SIZES

SETTLED_AT = 30.0
"""Virtual seconds in which every node has its first watch; calls take no time until then."""
OUTAGE_LASTS = 8.0
CUT_OFF_FOR = 120.0
CHANGE_AFTER = 1.0
"""Seconds into an outage at which the list changes."""
PLAYED_FOR = 300.0
"""Virtual seconds after an event; a fleet that needs longer counts as not recovered."""
CALL_SECONDS = (0.002, 0.1)
RESTARTED = (52, 105, 420, 840)
CHANGES_PER_S = (0.1, 1.0, 10.0, 40.0)
CHANGES_PLAYED_FOR = 60.0
CHANGES_AT_NODES = 105
SEED = 1


@dataclass(slots=True, frozen=True)
class ListCase:
    """What stays the same while a size grows."""

    mode: Mode
    call_s: float

    @property
    def name(self) -> str:
        """For the names of slopes."""
        return f"{self.mode.value}-{self.call_s * 1000.0:g}ms"

    @property
    def title(self) -> str:
        """For the titles of slopes."""
        return f"{self.mode.value}, {self.call_s * 1000.0:g} ms a call"


CASES = tuple(ListCase(mode, call_s) for mode in Mode for call_s in CALL_SECONDS)


@dataclass(slots=True, frozen=True)
class ListEvent:
    """Something that happens to a fleet; the size is that of the fleet, or of the part that restarts."""

    name: str
    title: str
    variable: str
    sizes: Sequence[int]
    happen: Callable[[ListCase, int], Recovery]


def settled(nodes: int, case: ListCase) -> ListFleet:
    """A fleet of which every node holds its watch."""
    fleet = ListFleet(nodes, case.mode, Costs(0.0), SEED)
    fleet.start_all()
    fleet.run(SETTLED_AT)
    fleet.service.costs = Costs(case.call_s)
    return fleet


def outage(case: ListCase, nodes: int, state: State) -> Recovery:
    """The service is down for 8 s, and the list changes meanwhile."""
    fleet = settled(nodes, case)
    fleet.go_down(state)
    fleet.run(SETTLED_AT + CHANGE_AFTER)
    fleet.change()
    fleet.run(SETTLED_AT + OUTAGE_LASTS)
    fleet.service.come_back(fleet.clock.now)
    return fleet.recover(PLAYED_FOR)


def restart(
    case: ListCase, restarted: int, *, fleet: int = targets.NODES, keeps_history: bool = True
) -> Recovery:
    """So many nodes of a whole fleet restart at once, while the list changes."""
    played = settled(max(restarted, fleet), case)
    played.service.keeps_history = keeps_history
    played.restart(restarted)
    played.change()
    return played.recover(PLAYED_FOR)


def reunion(case: ListCase, nodes: int) -> Recovery:
    """Half of the nodes are cut off from the service, and reach it again after a change."""
    fleet = settled(nodes, case)
    fleet.network.partition(0, 1)
    fleet.lose_contact((1,))
    fleet.run(SETTLED_AT + CHANGE_AFTER)
    fleet.change()
    fleet.run(SETTLED_AT + CUT_OFF_FOR)
    fleet.network.heal(0, 1)
    return fleet.recover(PLAYED_FOR)


def change(case: ListCase, nodes: int) -> Recovery:
    """The list changes, and telling a watch takes the service as long as a call."""
    fleet = settled(nodes, case)
    fleet.service.costs = Costs(case.call_s, push_s=case.call_s)
    fleet.change()
    return fleet.recover(PLAYED_FOR)


EVENTS = (
    ListEvent(
        "outage-refusing",
        f"an outage of {OUTAGE_LASTS:g} s in which connections were refused",
        "nodes",
        NODE_SIZES,
        lambda case, nodes: outage(case, nodes, State.REFUSING),
    ),
    ListEvent(
        "outage-silent",
        f"an outage of {OUTAGE_LASTS:g} s in which the service was silent",
        "nodes",
        NODE_SIZES,
        lambda case, nodes: outage(case, nodes, State.SILENT),
    ),
    ListEvent(
        "restart", f"a restart of part of {targets.NODES} nodes", "restarted nodes", RESTARTED, restart
    ),
    ListEvent("reunion", f"a separation of two regions for {CUT_OFF_FOR:g} s", "nodes", NODE_SIZES, reunion),
)


def measure(
    sizes: Sequence[int] | None = None,
    events: Sequence[ListEvent] = EVENTS,
    cases: Sequence[ListCase] = CASES,
) -> Iterator[Slope]:
    """Every event in every case: seconds until the last node has the change, and calls a node."""
    for event in events:
        for case in cases:
            runs = {size: event.happen(case, size) for size in sizes or event.sizes}
            yield from _slopes(event, case, runs)
    for case in cases:
        if case.mode is Mode.ON_REQUEST:  # a watch that is held is told alike in both modes
            yield _change_slope(case, sizes or NODE_SIZES)


def _change_slope(case: ListCase, sizes: Sequence[int]) -> Slope:
    runs = {nodes: change(case, nodes) for nodes in sizes}
    return Slope(
        slope_name("list-change-seconds", f"{case.call_s * 1000.0:g}ms"),
        f"time until the last node has a change, all watches held ({case.call_s * 1000.0:g} ms a watch)",
        "nodes",
        "s",
        _seconds(runs),
        f"telling a watch takes the service as long as a call, {case.call_s:g} s, an upper bound; "
        f"seed {SEED}",
    )


def _seconds(runs: Mapping[int, Recovery]) -> tuple[Point, ...]:
    """The time of each recovery; that of the whole play where there was none."""
    return tuple(Point(n, mean([PLAYED_FOR if r.seconds is None else r.seconds])) for n, r in runs.items())


def _slopes(event: ListEvent, case: ListCase, runs: Mapping[int, Recovery]) -> Iterator[Slope]:
    lost = [f"{run.nodes_without} at {size}" for size, run in runs.items() if run.seconds is None]
    never = f"; nodes without it after {PLAYED_FOR:g} s (the value there): {', '.join(lost)}" if lost else ""
    notes = (
        f"the service works through calls one after another, given up ones too; a call takes it "
        f"{case.call_s:g} s; seed {SEED}{never}"
    )
    yield Slope(
        slope_name("list", event.name, "seconds", case.name),
        f"time until the last node has a change, after {event.title} ({case.title})",
        event.variable,
        "s",
        _seconds(runs),
        notes,
    )
    yield Slope(
        slope_name("list", event.name, "calls", case.name),
        f"calls to the service from then on, after {event.title} ({case.title})",
        event.variable,
        "calls",
        tuple(Point(n, r.calls) for n, r in runs.items()),
        notes,
    )


def measure_bytes(
    sizes: Sequence[int] = RESTARTED, rates: Sequence[float] = CHANGES_PER_S
) -> Iterator[Slope]:
    """Bytes that the service writes after restarts, and to each node at a steady rate of changes."""
    case = ListCase(Mode.ON_REQUEST, CALL_SECONDS[0])
    for keeps_history in (True, False):
        what = "what has changed" if keeps_history else "the whole list of 100,000 lines"
        yield Slope(
            slope_name("list-restart-bytes", "changes" if keeps_history else "whole"),
            f"bytes that the service writes after a restart, {what} to each node",
            "restarted nodes",
            "bytes",
            tuple(Point(n, restart(case, n, keeps_history=keeps_history).bytes_sent) for n in sizes),
            f"the restart and one change of {targets.NODES} nodes; time on the network is not played",
        )
    yield Slope(
        "list-steady-bytes",
        "bytes a second that a watch brings to each node",
        "changes per 10 s",
        "bytes/s",
        tuple(Point(round(rate * 10.0), mean([steady_bytes(case, rate)])) for rate in rates),
        f"{CHANGES_AT_NODES} nodes; an empty line each {BEAT_S:g} s included",
    )


def steady_bytes(case: ListCase, changes_per_s: float) -> float:
    """Bytes a second for each node at a steady rate of changes."""
    fleet = settled(CHANGES_AT_NODES, case)
    before = fleet.service.counts.bytes_sent
    for number in range(round(CHANGES_PLAYED_FOR * changes_per_s)):
        fleet.clock.at(SETTLED_AT + number / changes_per_s, fleet.service.change)
    fleet.run(SETTLED_AT + CHANGES_PLAYED_FOR + 1.0)
    written = fleet.service.counts.bytes_sent - before
    return written / CHANGES_AT_NODES / CHANGES_PLAYED_FOR + BEAT_BYTES / BEAT_S
