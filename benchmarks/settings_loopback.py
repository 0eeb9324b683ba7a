"""Measures what the node's own settings watch costs: many watches in a process, etcd members in another.

    python benchmarks/settings_loopback.py --nodes 10,40,105,210,420,840 --out docs/measurements/capacity
    python benchmarks/settings_loopback.py --nodes 40 --document-kib 1,8,32,128

Everything runs on loopback: the etcd stand-in with seven members in one process, the nodes in one or two
others. A node here is only its settings watch, with its own connections, byte budget and state directory; it
does nothing with an accepted document. Processor time is that of the process (user and system), memory is the
growth of its resident set.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any

import gevent
from gevent.fileobject import FileObjectPosix

from irisstack.common import logs
from irisstack.dynamic_settings.snapshot import SavedSettingsFile
from irisstack.lab.scale.results import Point, Slope, mean, write
from irisstack.lab.scale.settings_fleet import MEMBERS, Document, FleetSize, encoded, key_of
from irisstack.lab.standins.etcd_server import EtcdServer
from irisstack.node.config import parse_host_port
from irisstack.node.counters import Counters
from irisstack.node.settings_watch import SettingsWatch

PREFIX = "/irisstack/settings/"
BYTE_BUDGET_PER_S = 11_000.0
"""Bytes a second that a node may exchange with the members, both directions together."""
KIB = 1024
ITEM_BYTES = 256
READY_TIMEOUT_S = 120.0
START_SPREAD_S = 4.0
"""The nodes of a process start within this many seconds."""
SETTLE_WAIT_S = 5.0
"""Seconds from when all nodes have the first document until the quiet phase begins."""
LAST_CHANGE_WAIT_S = 5.0
"""Seconds that the last change has to reach the nodes before the last sample is taken."""
POLL_INTERVAL_S = 0.05
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(slots=True, frozen=True)
class Usage:
    """Resources that a process has used so far."""

    at: float
    processor_s: float
    resident_bytes: int


def current_usage() -> Usage:
    """The usage of this process; raises `OSError` on systems other than Linux."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return Usage(time.monotonic(), time.process_time(), pages * PAGE_BYTES)


# ---- the members' process ----


class ChangeWriter:
    """Writes a change at each interval and records the time of each revision."""

    def __init__(self, server: EtcdServer, document_bytes: int, item_bytes: int) -> None:
        self.changes: dict[int, float] = {}
        self.interval_s: float | None = None
        self._cluster = server.cluster
        self._size = FleetSize(0, document_bytes, min(item_bytes, document_bytes))
        self._document = Document(self._size)
        self._written = 0

    def write_all(self) -> int:
        """Write the whole document; returns its revision."""
        paths = [self._document.path(number) for number in range(self._size.items)]
        return self._cluster.put_all((key_of(path), encoded(self._document.value(path))) for path in paths)

    def run(self) -> None:
        """Write a change after each interval; write none while no interval is set."""
        while True:
            gevent.sleep(self.interval_s or POLL_INTERVAL_S)
            if self.interval_s is not None:
                path = self._document.path(self._written * 7)
                self._written += 1
                at = time.monotonic()
                self.changes[self._cluster.put(key_of(path), encoded(self._document.value(path)))] = at


def serve_members(arguments: argparse.Namespace) -> None:
    """Serve until standard input ends. Each line sets the seconds between changes, 0 for no changes.

    Each line is answered with the usage and the traffic of the members so far.
    """
    with EtcdServer(MEMBERS) as server:
        change_writer = ChangeWriter(server, arguments.document_bytes, arguments.item_bytes)
        revision = change_writer.write_all()
        send_line(addresses=server.addresses, revision=revision)
        writer_greenlet = gevent.spawn(change_writer.run)
        for line in FileObjectPosix(sys.stdin.fileno(), "rb", close=False):
            change_writer.interval_s = float(line) or None
            traffic = [member.traffic for member in server.members]
            send_line(
                usage=asdict(current_usage()),
                changes=change_writer.changes,
                connects=[member_traffic.connections.total for member_traffic in traffic],
                connects_peak=max(member_traffic.connections.peak for member_traffic in traffic),
                requests=[member_traffic.requests.total for member_traffic in traffic],
                bytes_out=[member_traffic.bytes_out.total for member_traffic in traffic],
                watches=[member.watch_count for member in server.members],
            )
        writer_greenlet.kill()


# ---- the nodes' process ----


@dataclass(slots=True, frozen=True)
class AcceptedDocument:
    """The result of the document check; the benchmark does nothing more with it."""

    retired: Mapping[str, Any] = field(default_factory=dict)


def accept(items: Mapping[str, Any]) -> AcceptedDocument:
    """Accept any document."""
    return AcceptedDocument()


class AppliedRevisions:
    """For each revision, how many nodes applied it, and when the last of them did."""

    def __init__(self) -> None:
        self.node_counts: dict[int, int] = {}
        self.last_at: dict[int, float] = {}

    def apply(self, revision: int, accepted: AcceptedDocument) -> None:
        self.node_counts[revision] = self.node_counts.get(revision, 0) + 1
        self.last_at[revision] = time.monotonic()


def run_nodes(arguments: argparse.Namespace) -> None:
    """Run the nodes until standard input ends; answer each line with usage and applied revisions so far."""
    logs.configure(stream=open(os.devnull, "w"))  # noqa: SIM115  # written to until the process ends
    members = [parse_host_port(address, "members") for address in arguments.members.split(",")]
    applied_revisions, counters, before = AppliedRevisions(), Counters(), current_usage()
    with tempfile.TemporaryDirectory() as directory:
        for number in range(arguments.count):
            state = Path(directory) / str(number)
            state.mkdir()
            seed = arguments.first + number
            watch = SettingsWatch(
                members,
                PREFIX,
                BYTE_BUDGET_PER_S,
                SavedSettingsFile(state),
                accept,
                applied_revisions.apply,
                counters,
                seed,
            )
            gevent.spawn_later(START_SPREAD_S * number / arguments.count, watch.run)
        while applied_revisions.node_counts.get(arguments.revision, 0) < arguments.count:
            gevent.sleep(POLL_INTERVAL_S)
        send_line(ready=True)
        for _ in FileObjectPosix(sys.stdin.fileno(), "rb", close=False):
            send_line(
                usage=asdict(current_usage()),
                before=asdict(before),
                nodes=applied_revisions.node_counts,
                last_at=applied_revisions.last_at,
                counters=counters.snapshot(),
            )


def send_line(**fields: object) -> None:
    """Write the fields as one line of JSON to the parent process."""
    sys.stdout.write(json.dumps(fields) + "\n")
    sys.stdout.flush()


# ---- the parent process ----


class ChildProcess:
    """A child process that answers each line with one line of JSON; it ends with the context."""

    def __init__(self, core: int | None, *role_arguments: object) -> None:
        taskset_prefix = ["taskset", "-c", str(core)] if core is not None else []
        self._process = subprocess.Popen(
            [*taskset_prefix, sys.executable, __file__, *map(str, role_arguments)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def request(self, line: str) -> dict[str, Any]:
        assert self._process.stdin is not None
        self._process.stdin.write(line + "\n")
        self._process.stdin.flush()
        return self.receive()

    def receive(self) -> dict[str, Any]:
        assert self._process.stdout is not None
        line = self._process.stdout.readline()
        if not line:
            raise RuntimeError("child process closed its output before it answered")
        answer: dict[str, Any] = json.loads(line)
        return answer

    def __enter__(self) -> "ChildProcess":
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        assert self._process.stdin is not None
        self._process.stdin.close()
        try:
            self._process.wait(10.0)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()


@dataclass(slots=True, frozen=True)
class Phase:
    """Cost of one phase of a run."""

    node_share: float
    """Part of a core for each node."""
    member_share: float
    """Part of a core for each member."""
    node_bytes_per_s: float
    """Bytes a second that the members send, per node."""
    member_requests_per_s: float
    """Requests a second at the busiest member."""


@dataclass(slots=True, frozen=True)
class Run:
    """Results of one run; the fields are printed as JSON."""

    nodes: int
    document_bytes: int
    quiet: Phase
    changing: Phase
    resident_bytes: float
    """Growth of the resident set per node."""
    last_s: float
    """The longest time from a change until the last node applied it."""
    changes: int
    never: int
    """Changes that at least one node had not applied by the end."""
    connects_peak: int
    """Most connections opened at one member within one second, the start included."""
    stale: int
    """How often settings became stale, summed over the nodes."""


@dataclass(slots=True, frozen=True)
class Sample:
    """Answers of the members' process and of each process of nodes at one moment."""

    members: dict[str, Any]
    nodes: list[dict[str, Any]]


def measure(nodes: int, document_bytes: int, arguments: argparse.Namespace) -> Run:
    """Run once: start the nodes, then measure a phase without changes and a phase with changes."""
    sizes = ["--document-bytes", document_bytes, "--item-bytes", arguments.item_bytes]
    with ChildProcess(arguments.member_core, "members", *sizes) as members:
        members_ready = members.receive()
        node_counts = [nodes // arguments.processes] * arguments.processes
        node_counts[0] += nodes - sum(node_counts)
        with _NodeProcesses(node_counts, members_ready, arguments.node_core) as processes:
            for process in processes:
                process.receive()
            time.sleep(SETTLE_WAIT_S)
            first = _take_sample(members, processes, 0.0)
            time.sleep(arguments.seconds)
            second = _take_sample(members, processes, arguments.changes_every)
            time.sleep(arguments.seconds)
            members.request("0")
            time.sleep(LAST_CHANGE_WAIT_S)
            third = _take_sample(members, processes, 0.0)
    return _run_result(nodes, document_bytes, (first, second, third))


class _NodeProcesses:
    """The processes that run the nodes, as one context manager."""

    def __init__(
        self, node_counts: Sequence[int], members_ready: Mapping[str, Any], core: int | None
    ) -> None:
        self._processes: list[ChildProcess] = []
        first = 1
        for count in node_counts:
            role_arguments = [
                "--members",
                ",".join(members_ready["addresses"]),
                "--revision",
                members_ready["revision"],
            ]
            self._processes.append(
                ChildProcess(core, "nodes", *role_arguments, "--count", count, "--first", first)
            )
            first += count

    def __enter__(self) -> list[ChildProcess]:
        return self._processes

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for process in self._processes:
            process.__exit__(exception_type, exception, traceback)


def _take_sample(members: ChildProcess, processes: Sequence[ChildProcess], changes_every: float) -> Sample:
    answer = members.request(f"{changes_every:g}")
    return Sample(answer, [process.request("") for process in processes])


def _run_result(nodes: int, document_bytes: int, samples: tuple[Sample, Sample, Sample]) -> Run:
    first, second, third = samples
    delays, never_applied = _apply_delays(third, nodes)
    grown_bytes = sum(
        process["usage"]["resident_bytes"] - process["before"]["resident_bytes"] for process in third.nodes
    )
    return Run(
        nodes,
        document_bytes,
        _phase_cost(nodes, first, second),
        _phase_cost(nodes, second, third),
        grown_bytes / nodes,
        max(delays, default=0.0),
        len(third.members["changes"]),
        never_applied,
        third.members["connects_peak"],
        sum(process["counters"].get("settings_stale", 0) for process in third.nodes),
    )


def _apply_delays(sample: Sample, nodes: int) -> tuple[list[float], int]:
    """Seconds until the last node applied each change, and the number of changes not applied by all."""
    delays, never_applied = [], 0
    for revision, written_at in sample.members["changes"].items():
        if sum(process["nodes"].get(revision, 0) for process in sample.nodes) < nodes:
            never_applied += 1
        else:
            delays.append(
                max(
                    process["last_at"][revision] for process in sample.nodes if revision in process["last_at"]
                )
            )
            delays[-1] -= written_at
    return delays, never_applied


def _phase_cost(nodes: int, before: Sample, after: Sample) -> Phase:
    seconds = after.members["usage"]["at"] - before.members["usage"]["at"]
    sent_bytes = sum(after.members["bytes_out"]) - sum(before.members["bytes_out"])
    requests = [
        later - earlier
        for later, earlier in zip(after.members["requests"], before.members["requests"], strict=True)
    ]
    node_processor_s = sum(
        later["usage"]["processor_s"] - earlier["usage"]["processor_s"]
        for later, earlier in zip(after.nodes, before.nodes, strict=True)
    )
    member_processor_s = after.members["usage"]["processor_s"] - before.members["usage"]["processor_s"]
    return Phase(
        node_processor_s / nodes / seconds,
        member_processor_s / MEMBERS / seconds,
        sent_bytes / nodes / seconds,
        max(requests) / seconds,
    )


@dataclass(slots=True, frozen=True)
class Figure:
    """A value of a run that is written as a slope."""

    name: str
    title: str
    unit: str
    value: Callable[[Run], float]


FIGURES = (
    Figure(
        "node-processor-share-quiet",
        "part of a core for a node while nothing changes",
        "cores",
        lambda run: run.quiet.node_share,
    ),
    Figure("node-processor-share", "part of a core for a node", "cores", lambda run: run.changing.node_share),
    Figure(
        "member-processor-share",
        "part of a core for a member of the stand-in",
        "cores",
        lambda run: run.changing.member_share,
    ),
    Figure("node-resident-bytes", "resident memory for a node", "bytes", lambda run: run.resident_bytes),
    Figure(
        "in-force-seconds",
        "time until a change is in force at the last node",
        "s",
        lambda run: run.last_s,
    ),
)


def _slopes(runs: Sequence[Run], arguments: argparse.Namespace) -> Iterator[Slope]:
    """The figures by number of nodes, or by document size if there is only one number of nodes."""
    varies_document = len(arguments.nodes) == 1
    prefix = "settings-loopback-document" if varies_document else "settings-loopback"
    fixed = (
        f"{arguments.nodes[0]} nodes" if varies_document else f"a document of {arguments.document_kib[0]} KiB"
    )
    notes = (
        f"loopback, {fixed}; the node's actor, {arguments.processes} process(es) of nodes, one of members; "
        f"{arguments.seconds:g} s quiet, {arguments.seconds:g} s with a change every "
        f"{arguments.changes_every:g} s; items of {arguments.item_bytes} bytes"
    )
    for figure in FIGURES:
        points = (
            Point(run.document_bytes if varies_document else run.nodes, mean([figure.value(run)]))
            for run in runs
        )
        variable = "document bytes" if varies_document else "nodes"
        yield Slope(f"{prefix}-{figure.name}", figure.title, variable, figure.unit, tuple(points), notes)


def _parse_integers(text: str) -> list[int]:
    return [int(field_text) for field_text in text.split(",")]


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("role", nargs="?", choices=("run", "members", "nodes"), default="run")
    parser.add_argument("--nodes", type=_parse_integers, default=[40])
    parser.add_argument("--document-kib", type=_parse_integers, default=[8])
    parser.add_argument("--processes", type=int, default=1, help="number of processes that run the nodes")
    parser.add_argument("--seconds", type=float, default=30.0, help="duration of each phase in seconds")
    parser.add_argument("--changes-every", type=float, default=5.0)
    parser.add_argument("--node-core", type=int)
    parser.add_argument("--member-core", type=int)
    parser.add_argument("--out", type=Path, help="write each slope as a JSON file to this directory")
    parser.add_argument("--item-bytes", type=int, default=ITEM_BYTES)
    for name in ("--document-bytes", "--count", "--first", "--revision"):
        parser.add_argument(name, type=int, help=argparse.SUPPRESS)
    parser.add_argument("--members", help=argparse.SUPPRESS)
    return parser.parse_args()


def main() -> int:
    arguments = _arguments()
    if arguments.role == "members":
        serve_members(arguments)
        return 0
    if arguments.role == "nodes":
        run_nodes(arguments)
        return 0
    runs = []
    for nodes in arguments.nodes:
        for size_kib in arguments.document_kib:
            runs.append(measure(nodes, size_kib * KIB, arguments))
            print(json.dumps(asdict(runs[-1])), flush=True)
    if arguments.out is not None:
        for slope in _slopes(runs, arguments):
            write(arguments.out, slope, "python benchmarks/settings_loopback.py " + " ".join(sys.argv[1:]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
