"""Plays of a fleet that follows the settings: what goes wrong, and what is measured of each.

Each play begins with the start of all nodes; peaks at members count from `SETTLED_S` on.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from irisstack.lab.capacity import targets
from irisstack.lab.scale.settings_fleet import (
    BAD,
    KIB,
    SETTLED_S,
    FleetSize,
    SettingsFleet,
)
from irisstack.lab.scale.settings_node import SettingsNode
from irisstack.lab.standins.traffic import RateCounter

ORDINARY_S = 1_200
BURST_CHANGES = 20
BURST_S = 2.0
RESTART_S = 10.0
"""Seconds that a node is down when it is restarted."""
REPLACED_S = 120.0
"""Seconds until a machine that failed is replaced by an empty one."""
TROUBLE_AT = 60.0
PLAY_CHANGES_EVERY_S = 5.0
"""In plays of a few minutes changes come more often than on an ordinary day, so that each moment has one."""
TAIL_S = 25.0
"""Seconds without changes at the end of a play, more than any change may take."""
LARGEST_DOCUMENT = 128 * KIB
RACK_NODES = 20
Schedule = Callable[[SettingsFleet], None]


@dataclass(slots=True, frozen=True)
class Play:
    """What happens to a fleet, by when."""

    name: str
    title: str
    seconds: int
    schedule: Schedule
    document_bytes: int = 8 * KIB
    item_bytes: int = 256
    changes_every_s: float = PLAY_CHANGES_EVERY_S


@dataclass(slots=True, frozen=True)
class MemberFigures:
    """The busiest member's second, and what a member does in the mean."""

    peak_connects: int
    peak_requests: int
    peak_bytes_out: int
    mean_requests: float
    """Of the member with the most."""
    mean_bytes_out: float


@dataclass(slots=True, frozen=True)
class PlayFigures:
    """What came of one play."""

    changes: int
    never: int
    """Changes that some node which runs at the end has not in force."""
    last_s: float
    """The longest time until a change was in force at the last node that could be reached."""
    median_s: float
    """Of all changes."""
    starts: int
    caught_up_s: float
    """The longest time from a node's start, after the fleet's, until it held the newest of that moment."""
    catching_up: int
    """Nodes that had not caught up by the end."""
    node_worst_second: float
    node_worst_10_s: float
    """Bytes a second at the worst node: in one second, and in the mean of ten on end."""
    node_mean: float
    """Bytes a second of a node in the mean, from the play's begin."""
    members: MemberFigures
    stale_nodes: int
    first_stale_s: float | None
    """When the first node said that its settings are stale, in seconds from the play's begin."""
    last_stale_s: float | None
    last_fresh_s: float | None
    refused: int
    moved_watches: int
    faults: tuple[str, ...]

    @property
    def sound(self) -> bool:
        """Whether every node had every change, and none took what was never written."""
        return not (self.faults or self.never or self.catching_up)


COLUMNS = (
    "play",
    "changes",
    "last s",
    "starts",
    "caught up s",
    "node B/s",
    "connects/s",
    "requests/s",
    "sent B/s",
    "stale",
    "fresh s",
    "behind",
    "faults",
)


def row(name: str, found: PlayFigures) -> tuple[object, ...]:
    """A play's figures under `COLUMNS`.

    Bytes of the node are those of its worst ten seconds, both ways; connects, requests and bytes sent are the
    most at one member in one second; "fresh" is when the last node said so; "behind" is changes and nodes.
    """
    return (
        name,
        found.changes,
        round(found.last_s, 2),
        found.starts,
        round(found.caught_up_s, 2),
        round(found.node_worst_10_s),
        found.members.peak_connects,
        found.members.peak_requests,
        found.members.peak_bytes_out,
        found.stale_nodes,
        _shown(found.last_fresh_s),
        found.never + found.catching_up,
        len(found.faults),
    )


def _shown(seconds: float | None) -> str:
    return "" if seconds is None else f"{seconds:.1f}"


def run(play: Play, nodes: int, seed: int = 1) -> tuple[SettingsFleet, PlayFigures]:
    """Play once."""
    size = FleetSize(nodes, play.document_bytes, play.item_bytes)
    fleet = SettingsFleet(size, play.seconds, seed)
    play.schedule(fleet)
    fleet.play()
    return fleet, figures(fleet)


def figures(fleet: SettingsFleet) -> PlayFigures:
    """Sum up a fleet that has played."""
    found = list(fleet.lags())
    lags = sorted(lag for lag in found if lag is not None)
    records = [node.record for node in fleet.nodes]
    stale = sorted(at for record in records for at in record.stale_at)
    fresh = sorted(at for record in records for at in record.fresh_at)
    later_starts = fleet.caught_up_in[fleet.size.nodes :]
    return PlayFigures(
        changes=len(found),
        never=found.count(None),
        last_s=max(lags, default=0.0),
        median_s=lags[len(lags) // 2] if lags else 0.0,
        starts=len(later_starts),
        caught_up_s=max(later_starts, default=0.0),
        catching_up=fleet.catching_up,
        node_worst_second=max(record.worst_bytes_per_s(1) for record in records),
        node_worst_10_s=max(record.worst_bytes_per_s(10) for record in records),
        node_mean=sum(sum(record.bytes_by_second) for record in records) / len(records) / fleet.seconds,
        members=_member_figures(fleet),
        stale_nodes=sum(bool(record.stale_at) for record in records),
        first_stale_s=stale[0] if stale else None,
        last_stale_s=stale[-1] if stale else None,
        last_fresh_s=fresh[-1] if fresh else None,
        refused=sum(record.refused for record in records),
        moved_watches=sum(_moved(node) for node in fleet.nodes),
        faults=tuple(fleet.faults),
    )


def _moved(node: SettingsNode) -> int:
    logged = node.record.logged
    return logged["settings_watch_moved"] + logged["settings_watch_behind"]


def _member_figures(fleet: SettingsFleet) -> MemberFigures:
    traffic = [member.traffic for member in fleet.members]
    return MemberFigures(
        peak_connects=_peak(each.connections for each in traffic),
        peak_requests=_peak(each.requests for each in traffic),
        peak_bytes_out=_peak(each.bytes_out for each in traffic),
        mean_requests=max(each.requests.total for each in traffic) / fleet.seconds,
        mean_bytes_out=max(each.bytes_out.total for each in traffic) / fleet.seconds,
    )


def _peak(rates: Iterable[RateCounter]) -> int:
    return max(rate.peak_since(int(SETTLED_S)) for rate in rates)


# ---- the plays ----


def _changes(fleet: SettingsFleet, until: float | None = None) -> None:
    """A change every few seconds, up to the tail of the play."""
    at, last = SETTLED_S, fleet.seconds - TAIL_S if until is None else until
    while at <= last:
        fleet.clock.at(at, fleet.write)
        at += PLAY_CHANGES_EVERY_S


def ordinary_day(fleet: SettingsFleet) -> None:
    """The day's rate of changes with two bursts, and all restarts and failures of a day in a short time."""
    random, last = fleet.random, fleet.seconds - TAIL_S
    at = SETTLED_S
    while (at := at + random.expovariate(targets.SETTINGS_CHANGES_PER_DAY / targets.DAY_S)) < last:
        fleet.clock.at(at, fleet.write)
    for begin in (0.25 * fleet.seconds, 0.75 * fleet.seconds):
        for _ in range(BURST_CHANGES):
            fleet.clock.at(begin + random.uniform(0.0, BURST_S), fleet.write)
    chosen = random.sample(
        fleet.nodes,
        min(len(fleet.nodes), targets.RESTARTED_MACHINES_PER_DAY + targets.FAILED_MACHINES_PER_DAY),
    )
    for place, node in enumerate(chosen):
        at = random.uniform(SETTLED_S, last - REPLACED_S)
        if place < targets.FAILED_MACHINES_PER_DAY:
            fleet.clock.at(at, _fail_for_good, node)
            fleet.clock.at(at + REPLACED_S, fleet.start, node)
        else:
            fleet.clock.at(at, node.stop)
            fleet.clock.at(at + RESTART_S, fleet.start, node)


def _fail_for_good(now: float, node: SettingsNode) -> None:
    node.lose_power(now, folder_lost=True)


def member_process_dies(fleet: SettingsFleet) -> None:
    """A member's process ends and comes back after a minute."""
    _changes(fleet)
    fleet.clock.at(TROUBLE_AT, fleet.member_process_ends, 0)
    fleet.clock.at(TROUBLE_AT + 60.0, fleet.member_back, 0)


def member_machine_lost(fleet: SettingsFleet) -> None:
    """A member's machine is gone without a word just before a change, and back after a minute."""
    _changes(fleet)
    fleet.clock.at(TROUBLE_AT - 0.001, fleet.member_machine_lost, 0)
    fleet.clock.at(TROUBLE_AT + 60.0, fleet.member_back, 0)


def rack_lost(fleet: SettingsFleet) -> None:
    """The nodes of a rack lose power and come back together after a minute."""
    _changes(fleet)
    _lose_nodes(fleet, fleet.in_zone(1)[:RACK_NODES], 60.0)


def zone_lost(fleet: SettingsFleet) -> None:
    """A zone with its member loses power just before a change, and comes back after two minutes."""
    _changes(fleet)
    fleet.clock.at(TROUBLE_AT - 0.001, fleet.member_machine_lost, 0)
    fleet.clock.at(TROUBLE_AT + 120.0, fleet.member_back, 0)
    _lose_nodes(fleet, fleet.in_zone(0), 120.0)


def _lose_nodes(fleet: SettingsFleet, nodes: Iterable[SettingsNode], seconds: float) -> None:
    for node in nodes:
        fleet.clock.at(TROUBLE_AT - 0.001, node.lose_power)
        fleet.clock.at(TROUBLE_AT + seconds + fleet.random.uniform(0.0, 1.0), fleet.start, node)


def regions_apart(fleet: SettingsFleet, apart_s: float = 300.0) -> None:
    """The regions lose each other; the second one has no quorum."""
    _changes(fleet)
    fleet.clock.at(TROUBLE_AT, fleet.separate_regions)
    fleet.clock.at(TROUBLE_AT + apart_s, fleet.join_regions)


def regions_apart_compacted(fleet: SettingsFleet, apart_s: float = 300.0) -> None:
    """As `regions_apart`, and the history is dropped meanwhile: half the fleet needs the whole document."""
    regions_apart(fleet, apart_s)
    fleet.clock.at(TROUBLE_AT + apart_s - 10.0, fleet.compact)


def control_down(fleet: SettingsFleet) -> None:
    """All members end and come back together after a minute; a change is written at once then."""
    _changes(fleet, TROUBLE_AT - 1.0)
    back_at = TROUBLE_AT + 60.0
    for member in range(len(fleet.members)):
        fleet.clock.at(TROUBLE_AT, fleet.member_process_ends, member)
        fleet.clock.at(back_at, fleet.member_back, member)
    fleet.clock.at(back_at, fleet.write)
    fleet.clock.at(back_at + 30.0, fleet.write)


def control_silent(fleet: SettingsFleet) -> None:
    """All members' machines are gone without a word for a minute, and back with the first change."""
    _changes(fleet, TROUBLE_AT - 1.0)
    back_at = TROUBLE_AT + 60.0
    for member in range(len(fleet.members)):
        fleet.clock.at(TROUBLE_AT, fleet.member_machine_lost, member)
        fleet.clock.at(back_at, fleet.member_back, member)
    fleet.clock.at(back_at, fleet.write)
    fleet.clock.at(back_at + 30.0, fleet.write)


def missed_compaction(fleet: SettingsFleet) -> None:
    """A node is down while history is dropped, and needs the whole document then."""
    _changes(fleet)
    node = fleet.nodes[-1]
    fleet.clock.at(TROUBLE_AT, node.stop)
    fleet.clock.at(TROUBLE_AT + 22.0, fleet.compact)
    fleet.clock.at(TROUBLE_AT + 30.0, fleet.start, node)


def bad_change(fleet: SettingsFleet) -> None:
    """A value that every node refuses is written, another one after it, and the first is mended."""
    _changes(fleet, TROUBLE_AT - 1.0)
    path = fleet.document.path(0)
    good = fleet.document.value(path)
    fleet.clock.at(TROUBLE_AT, fleet.put, path, {BAD: True})
    fleet.clock.at(TROUBLE_AT + 15.0, fleet.put, fleet.document.path(1), good)
    fleet.clock.at(TROUBLE_AT + 30.0, fleet.put, path, good)


def steady(fleet: SettingsFleet) -> None:
    """Nothing goes wrong, at the day's rate of changes."""
    at = SETTLED_S
    while at <= fleet.seconds - TAIL_S:
        fleet.clock.at(at, fleet.write)
        at += targets.SETTINGS_CHANGE_INTERVAL_S


PLAYS = (
    Play("steady", "nothing goes wrong", 600, steady, changes_every_s=targets.SETTINGS_CHANGE_INTERVAL_S),
    Play(
        "ordinary-day",
        "the failures and restarts of a day in 20 minutes",
        ORDINARY_S,
        ordinary_day,
        changes_every_s=targets.SETTINGS_CHANGE_INTERVAL_S,
    ),
    Play("member-process-dies", "a member's process dies", 180, member_process_dies),
    Play("member-machine-lost", "a member's machine is lost", 180, member_machine_lost),
    Play("rack-lost", "a rack of 20 nodes is lost", 180, rack_lost),
    Play("zone-lost", "a zone and its member are lost", 240, zone_lost),
    Play("regions-apart", "the regions are apart for 5 minutes", 440, regions_apart),
    Play("regions-apart-compacted", "the same, and history is dropped", 440, regions_apart_compacted),
    Play(
        "regions-apart-compacted-large",
        "the same with a document of 128 KiB",
        440,
        regions_apart_compacted,
        LARGEST_DOCUMENT,
        2 * KIB,
    ),
    Play("control-down", "all members are down for a minute", 180, control_down),
    Play("control-silent", "all members are silent for a minute", 180, control_silent),
    Play(
        "missed-compaction",
        "a node missed the compaction, 128 KiB in items of 2 KiB",
        150,
        missed_compaction,
        LARGEST_DOCUMENT,
        2 * KIB,
    ),
    Play(
        "missed-compaction-small-items",
        "the same in items of 256 B",
        150,
        missed_compaction,
        LARGEST_DOCUMENT,
    ),
    Play("bad-change", "a change that every node refuses", 150, bad_change),
)
"""All plays of the measurements."""
BY_NAME = {play.name: play for play in PLAYS}
