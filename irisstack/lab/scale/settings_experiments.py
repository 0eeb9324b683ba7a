"""Experiments on the settings that nodes follow: how load and time grow with the fleet and the document."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from irisstack.lab.scale import settings_plays as plays
from irisstack.lab.scale.results import Point, Slope, mean
from irisstack.lab.scale.settings_fleet import KIB, SettingsFleet
from irisstack.lab.scale.settings_node import BYTES_PER_S
from irisstack.lab.scale.settings_plays import Play, PlayFigures

NODE_SIZES = (10, 40, 105, 210, 420, 840)
DOCUMENT_KIB = (1, 8, 32, 128)
LARGE_ITEM, SMALL_ITEM = 2 * KIB, 256
DOCUMENT_NODES = 10
SEED = 1
TROUBLES = ("member-process-dies", "member-machine-lost", "control-down")


@dataclass(slots=True, frozen=True)
class Figure:
    """One figure of a play, as a slope against the nodes."""

    slope: str
    title: str
    unit: str
    value: Callable[[PlayFigures], float]


IN_FORCE = "time until a change is in force at the last node"
STEADY_FIGURES = (
    Figure("in-force-seconds", IN_FORCE, "s", lambda found: found.last_s),
    Figure(
        "member-requests",
        "requests a second at the busiest member, in the mean",
        "requests/s",
        lambda found: found.members.mean_requests,
    ),
    Figure(
        "member-connects-peak",
        "connects at the busiest member in its busiest second",
        "connects/s",
        lambda found: found.members.peak_connects,
    ),
    Figure(
        "member-bytes",
        "bytes a second that the busiest member sends, in the mean",
        "bytes/s",
        lambda found: found.members.mean_bytes_out,
    ),
    Figure(
        "member-bytes-peak",
        "bytes that the busiest member sends in its busiest second",
        "bytes/s",
        lambda found: found.members.peak_bytes_out,
    ),
    Figure(
        "node-bytes",
        "bytes a second of control at a node, both ways, in the mean",
        "bytes/s",
        lambda found: found.node_mean,
    ),
)


def trouble_figures(name: str, title: str) -> tuple[Figure, ...]:
    """What is measured of a play in which something goes wrong."""
    return (
        Figure(f"in-force-seconds-{name}", f"{IN_FORCE} ({title})", "s", lambda found: found.last_s),
        Figure(
            f"member-connects-peak-{name}",
            f"connects at the busiest member in its busiest second ({title})",
            "connects/s",
            lambda found: found.members.peak_connects,
        ),
    )


def measure(sizes: Sequence[int] = NODE_SIZES, seed: int = SEED) -> Iterator[Slope]:
    """Growth with the nodes, then with the document."""
    yield from _by_nodes(plays.BY_NAME["steady"], STEADY_FIGURES, sizes, seed)
    for play in map(plays.BY_NAME.__getitem__, TROUBLES):
        yield from _by_nodes(play, trouble_figures(play.name, play.title), sizes, seed)
    yield from measure_documents()


def _by_nodes(play: Play, figures: Sequence[Figure], sizes: Sequence[int], seed: int) -> Iterator[Slope]:
    found: Mapping[int, PlayFigures] = {nodes: checked(play, nodes, seed)[1] for nodes in sizes}
    for figure in figures:
        points = tuple(Point(nodes, mean([figure.value(each)])) for nodes, each in found.items())
        yield Slope(
            f"settings-stream-{figure.slope}", figure.title, "nodes", figure.unit, points, _notes(play)
        )


def _notes(play: Play) -> str:
    return (
        f"{play.title}; {play.seconds} s in virtual time, a change every {play.changes_every_s:g} s; a "
        f"document of {play.document_bytes} bytes in items of {play.item_bytes}; 7 members; one way 2 ms in "
        f"a zone, 15 ms in a region, 80 ms across; HTTP bytes without the heads of TCP and IP; seed {SEED}"
    )


def checked(play: Play, nodes: int, seed: int) -> tuple[SettingsFleet, PlayFigures]:
    """Play once; raises `ValueError` where a node put a wrong document in force or missed a change."""
    fleet, found = plays.run(play, nodes, seed)
    if not found.sound:
        raise ValueError(
            f"{play.name} with {nodes} nodes: {found.never} changes never in force, {found.catching_up} "
            f"nodes behind, faults {found.faults[:3]}"
        )
    return fleet, found


def measure_documents(sizes_kib: Sequence[int] = DOCUMENT_KIB, seed: int = SEED) -> Iterator[Slope]:
    """What a whole document costs a node that missed the compaction."""
    for name, item_bytes in (("large-items", LARGE_ITEM), ("small-items", SMALL_ITEM)):
        seconds: dict[int, float] = {}
        transferred: dict[int, float] = {}
        for kib in sizes_kib:
            play = _missed(kib * KIB, min(item_bytes, kib * KIB))
            fleet, found = checked(play, DOCUMENT_NODES, seed)
            seconds[kib * KIB] = found.caught_up_s
            transferred[kib * KIB] = _bytes_of_catching_up(fleet, found)
        notes = (
            f"items of {item_bytes} bytes, of path and value, or one if the document is smaller; values in "
            f"base64 in JSON over HTTP; {BYTES_PER_S:g} bytes a second at the node; seed {seed}"
        )
        yield Slope(
            f"settings-document-seconds-{name}",
            f"time until a node that missed the compaction holds the whole document ({name})",
            "document bytes",
            "s",
            tuple(Point(size, mean([value])) for size, value in seconds.items()),
            notes,
        )
        yield Slope(
            f"settings-document-transfer-{name}",
            f"bytes to and from a node meanwhile ({name})",
            "document bytes",
            "bytes",
            tuple(Point(size, mean([value])) for size, value in transferred.items()),
            notes,
        )


def _missed(document_bytes: int, item_bytes: int) -> Play:
    return Play(
        "missed-compaction",
        "a node missed the compaction",
        150,
        plays.missed_compaction,
        document_bytes,
        item_bytes,
    )


def _bytes_of_catching_up(fleet: SettingsFleet, found: PlayFigures) -> int:
    record = fleet.nodes[-1].record
    began = int(record.reachable_since[-1])
    return sum(record.bytes_by_second[began : began + int(found.caught_up_s) + 1])
