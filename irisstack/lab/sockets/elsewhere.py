"""The partners of a run, here or in processes of their own: one face for both."""

import json
import subprocess
import sys
from pathlib import Path
from typing import Any, Protocol

import gevent
from gevent import subprocess as green
from gevent.event import Event

from irisstack.lab import ledger as book
from irisstack.lab.sockets.fault_injection import FaultInjector, ListChangeCallback
from irisstack.lab.sockets.partners import Partners
from irisstack.lab.sockets.run_context import RunContext, RunError

START_WITHIN = 30.0
"""Seconds in which a process of partners must be ready."""
STOP_WITHIN = 20.0
"""Seconds in which it must have written its ledger."""


class Troupe(Protocol):
    """All partners of a run."""

    addresses: dict[int, tuple[str, int]]

    def begin(self, on_list_change: ListChangeCallback) -> None:
        """Plan the troubles: the run's clock has begun."""

    def end(self) -> tuple[float, float]:
        """Stop, and put what was seen into the ledger; returns its lateness at 99 % and at the most."""


class Here:
    """In this process: for small runs, and for tests that reach in."""

    def __init__(self, context: RunContext) -> None:
        self._context = context
        self._partners = Partners(context)
        self.addresses = {number: server.address for number, server in self._partners.servers.items()}

    def begin(self, on_list_change: ListChangeCallback) -> None:
        FaultInjector(self._context, self._partners, on_list_change).schedule()

    def end(self) -> tuple[float, float]:
        self._partners.stop()
        return 0.0, 0.0  # the run watches this process itself


class Elsewhere:
    """In so many processes, each with destinations of its own."""

    def __init__(self, context: RunContext, folder: Path, processes: int, seed: int) -> None:
        self._context = context
        self.addresses: dict[int, tuple[str, int]] = {}
        self._on_list_change: ListChangeCallback = lambda endpoint, destination, phase, address: None
        self._workers: list[_Worker] = []
        shares: list[list[int]] = [[] for _ in range(processes)]
        loads = [0.0] * processes
        for spec in sorted(context.world.destinations.values(), key=lambda spec: -spec.traffic):
            least = loads.index(min(loads))
            shares[least].append(spec.number)
            loads[least] += spec.traffic
        for number, share in enumerate(share for share in shares if share):
            self._workers.append(_Worker(self, number, folder / f"partners-{number}.jsonl.gz"))
            self._workers[-1].say(
                {
                    "scenario": context.world.scenario.model_dump(),
                    "seed": seed,
                    "process": number,
                    "destinations": share,
                    "ledger": str(self._workers[-1].ledger),
                }
            )
        for worker in self._workers:
            if not worker.ready.wait(START_WITHIN):
                self.end()
                raise RunError("a process of partners did not start")

    def begin(self, on_list_change: ListChangeCallback) -> None:
        self._on_list_change = on_list_change
        for worker in self._workers:
            worker.say({"began": self._context.started_at})

    def end(self) -> tuple[float, float]:
        late = [gevent.spawn(worker.end) for worker in self._workers]
        gevent.joinall(late)
        for worker in self._workers:
            if worker.ledger.exists():
                self._context.ledger.extend(book.read(worker.ledger))
            else:
                self._context.invalidate("a process of partners was lost, with what it had seen")
        return (
            max((worker.late[0] for worker in self._workers), default=0.0),
            max((worker.late[1] for worker in self._workers), default=0.0),
        )

    def heard(self, news: dict[str, Any]) -> None:
        """A line from one of the processes."""
        for number, over in news.get("news", ()):
            self._context.apply_remote_change(number, over=over)
        if "ready" in news:
            self.addresses.update(
                {int(number): (host, port) for number, (host, port) in news["ready"].items()}
            )
        if "listed" in news:
            endpoint, destination, phase, host, port = news["listed"]
            self._on_list_change(endpoint, destination, phase, (host, port))
        for reason in news.get("faults", ()):
            self._context.invalidate(reason)


class _Worker:
    """One process of partners."""

    def __init__(self, troupe: Elsewhere, number: int, ledger: Path) -> None:
        self.ledger = ledger
        self.ready = Event()
        self.late = (0.0, 0.0)
        self._troupe = troupe
        self._process = green.Popen(
            [sys.executable, "-m", "irisstack.lab.sockets.partner_process"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            start_new_session=True,
        )
        self._reader = gevent.spawn(self._read)

    def say(self, line: dict[str, Any]) -> None:
        assert self._process.stdin is not None
        try:
            self._process.stdin.write(json.dumps(line).encode() + b"\n")
            self._process.stdin.flush()
        except OSError:
            pass  # it is gone; its missing ledger says so

    def _read(self) -> None:
        assert self._process.stdout is not None
        for line in self._process.stdout:
            news = json.loads(line)
            self._troupe.heard(news)
            if "ready" in news:
                self.ready.set()
            if "done" in news:
                self.late = (news["done"][0], news["done"][1])

    def end(self) -> None:
        """Ask it to stop; it ends by itself too when this process is gone."""
        self.say({"stop": True})
        try:
            self._process.wait(timeout=STOP_WITHIN)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
        self._reader.join(timeout=1.0)
