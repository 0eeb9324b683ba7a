"""One scenario on real sockets and in real time."""

import shutil
import signal
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import gevent

from irisstack.lab import ledger as records
from irisstack.lab.lateness import LatenessMonitor
from irisstack.lab.sockets.clients import Clients
from irisstack.lab.sockets.nodes import KILL_AFTER, NodeProcess
from irisstack.lab.sockets.partner_backends import InProcessBackend, MultiProcessBackend, PartnerBackend
from irisstack.lab.sockets.platform import Platform
from irisstack.lab.sockets.run_context import RunContext, RunError
from irisstack.lab.world import Incident, World

LATE = 0.05
"""Seconds of the laboratory's own lateness, at one time in a hundred, above which a run is no result."""
VERY_LATE = 0.5
"""Seconds of it, once, above which a run is no result."""
AFTER_END = 2.0
"""Seconds after the last deadline at which a run ends, whatever is owed."""
MOST_NODES = 64
"""Processes that one run may start."""


@dataclass(slots=True, frozen=True)
class Played:
    """A run on sockets."""

    ledger: records.Ledger
    cpu_s: float
    """Of all node processes together."""
    not_a_result: str
    partial: bool


def play(
    world: World,
    logs: Path | None = None,
    progress: Callable[[float], None] | None = None,
    *,
    processes: int = 2,
) -> Played:
    """Play a world; everything that it starts has ended when it returns, also after an interrupt.

    The partners live in so many processes of their own, or in this one for 0.
    """
    if len(world.senders) > MOST_NODES:
        raise RunError(f"senders.count: {len(world.senders)} processes are due, {MOST_NODES} at the most")
    with tempfile.TemporaryDirectory(prefix="irisstack-lab-") as temporary:
        folder = Path(temporary) if logs is None else logs
        if folder.exists():  # what an earlier run's nodes owed is not for this one's
            shutil.rmtree(folder)
        folder.mkdir(parents=True)
        return _Run(world, folder, progress, processes, world.streams.seed).play()


def _first_ends(entries: records.Ledger) -> records.Ledger:
    """In order of time; a delivered message with its first end alone.

    Partners and platform see ends apart from each other, and a notice may cross a delivery. Two ends of which
    neither is a delivery are the node's own, and stay for the auditor.
    """
    delivered = {
        entry.message for entry in entries if isinstance(entry, records.Ended) and entry.result == "delivered"
    }
    ended: set[int] = set()
    kept: records.Ledger = []
    for entry in sorted(entries, key=lambda entry: entry.t):
        if isinstance(entry, records.Ended):
            if entry.message in ended & delivered:
                continue
            ended.add(entry.message)
        kept.append(entry)
    return kept


class _Run:
    """The run while it is played."""

    def __init__(
        self, world: World, folder: Path, progress: Callable[[float], None] | None, processes: int, seed: int
    ) -> None:
        self._world = world
        self._progress = progress
        self._context = RunContext(world)
        self._context.started_at = time.monotonic()
        self._backend: PartnerBackend = (
            MultiProcessBackend(self._context, folder, processes, seed)
            if processes
            else InProcessBackend(self._context)
        )
        self._platform = Platform(self._context, self._backend.addresses)
        self._nodes = [
            NodeProcess(spec.number, folder, self._context, self._platform.address(spec.number))
            for spec in world.senders
        ]
        self._clients = Clients(
            self._context,
            [node.address for node in self._nodes],
            lambda: [node.number for node in self._nodes if node.up],
        )
        self._lateness = LatenessMonitor()
        self._interrupted = False

    def play(self) -> Played:
        partial = False
        helpers: list[gevent.Greenlet[..., None]] = []
        interrupts = [
            gevent.signal_handler(number, self._interrupt) for number in (signal.SIGINT, signal.SIGTERM)
        ]
        try:
            known = self._platform.known()
            for node in self._nodes:
                node.start(known)
            for node in self._nodes:
                if not node.wait_ready():
                    raise RunError(f"node {node.number} did not begin to serve")
            self._context.started_at = time.monotonic()
            for node in self._nodes:
                self._context.ledger.append(records.NodeState(0.0, node.number, "ready"))
            for incident in self._world.incidents:
                self._plan(incident)
            self._backend.start_schedule(self._platform.change)
            helpers = [gevent.spawn(self._lateness.run), gevent.spawn(self._clients.run)]
            self._wait()
            partial = self._interrupted
        finally:
            for interrupt in interrupts:
                interrupt.cancel()
            gevent.killall(helpers)
            for one in [gevent.spawn(node.finish) for node in self._nodes]:
                one.join()
            workers_late, workers_most = self._backend.stop()
            self._platform.stop()
        self._lateness.samples.extend(self._clients.lateness)
        late, most = (
            max(self._lateness.quantile(0.99), workers_late),
            max(self._lateness.maximum, workers_most),
        )
        reasons = list(self._context.invalid_reasons)
        if late > LATE or most > VERY_LATE:
            reasons.append(
                f"the laboratory itself ran late ({late * 1000:.0f} ms at one time in a "
                f"hundred, {most * 1000:.0f} ms at the most)"
            )
        return Played(
            _first_ends(self._context.ledger),
            sum(node.cpu_s for node in self._nodes),
            "; ".join(reasons),
            partial,
        )

    def _wait(self) -> None:
        world = self._world
        last = world.duration + max(kind.deadline_s for kind in world.scenario.classes) + AFTER_END
        while self._context.now() < last:
            now = self._context.now()
            if self._progress is not None:
                self._progress(min(1.0, now / world.duration))
            if self._interrupted:
                return
            if now > world.duration and not self._clients.waiting and not self._context.owed:
                return
            gevent.sleep(0.1)

    def _interrupt(self) -> None:
        """Ctrl-C or SIGTERM: the run ends in order, and what was seen so far is kept."""
        self._interrupted = True

    # ---- troubles of nodes and the list ----

    def _plan(self, incident: Incident) -> None:
        context = self._context
        match incident.trouble.kind:
            case "list_down":
                context.at(incident.starts_at, self._platform.go_down)
                context.at(incident.ends_at, self._platform.come_back)
            case "list_stale":
                context.at(incident.starts_at, self._make_stale, incident.strength)
                context.at(incident.ends_at, self._make_stale, 0.0)
            case "killed" | "stopped" | "stalled":
                for number in incident.nodes:
                    context.at(incident.starts_at, self._strike, incident, number)

    def _make_stale(self, now: float, later: float) -> None:
        self._platform.later = later

    def _strike(self, now: float, incident: Incident, number: int) -> None:
        node, trouble = self._nodes[number], incident.trouble
        if not node.up:
            return
        down = incident.ends_at - now
        match trouble.kind:
            case "stalled":
                node.stall(now, incident.ends_at)
            case "killed":
                self._kill(now, node, down, trouble.disk_lost)
            case _:
                node.stop(now)
                self._context.after(KILL_AFTER, self._kill, node, down, False)

    def _kill(self, now: float, node: NodeProcess, down: float, disk_lost: bool) -> None:
        known = self._platform.known()
        node.kill(now, disk_lost=disk_lost)
        if disk_lost:
            self._clients.lost(now, node.number)
        self._context.after(down, node.restart, known)
