"""Where the partners of a run live: in this process or in worker processes, behind one interface."""

import json
import subprocess
import sys
from pathlib import Path
from typing import Any, Protocol

import gevent
from gevent import subprocess as green
from gevent.event import Event

from irisstack.lab import ledger as records
from irisstack.lab.sockets.fault_injection import FaultInjector, ListChangeCallback
from irisstack.lab.sockets.partners import Partners
from irisstack.lab.sockets.run_context import RunContext, RunError

START_TIMEOUT = 30.0
"""Seconds in which a worker process must be ready."""
STOP_TIMEOUT = 20.0
"""Seconds in which a worker process must have written its ledger and ended."""


class PartnerBackend(Protocol):
    """All partners of a run."""

    addresses: dict[int, tuple[str, int]]
    """Host and port by endpoint number."""

    def start_schedule(self, on_list_change: ListChangeCallback) -> None:
        """Schedule the faults; the run's clock has started."""

    def stop(self) -> tuple[float, float]:
        """Stop and add the records to the run's ledger.

        Returns the worker processes' scheduling lateness in seconds: 99th percentile and maximum.
        """


class InProcessBackend:
    """Partners in this process: for small runs, and for tests that inspect them."""

    def __init__(self, context: RunContext) -> None:
        self._context = context
        self._partners = Partners(context)
        self.addresses = {number: server.address for number, server in self._partners.servers.items()}

    def start_schedule(self, on_list_change: ListChangeCallback) -> None:
        FaultInjector(self._context, self._partners, on_list_change).schedule()

    def stop(self) -> tuple[float, float]:
        self._partners.stop()
        return 0.0, 0.0  # the run measures this process itself


class MultiProcessBackend:
    """Partners in worker processes, each with destinations of its own, balanced by traffic."""

    def __init__(self, context: RunContext, folder: Path, processes: int, seed: int) -> None:
        self._context = context
        self.addresses: dict[int, tuple[str, int]] = {}
        self._on_list_change: ListChangeCallback = lambda endpoint, destination, phase, address: None
        self._workers: list[_WorkerProcess] = []
        shares: list[list[int]] = [[] for _ in range(processes)]
        loads = [0.0] * processes
        for spec in sorted(context.world.destinations.values(), key=lambda spec: -spec.message_rate):
            least = loads.index(min(loads))
            shares[least].append(spec.number)
            loads[least] += spec.message_rate
        for number, share in enumerate(share for share in shares if share):
            self._workers.append(_WorkerProcess(self, number, folder / f"partners-{number}.jsonl.gz"))
            self._workers[-1].send(
                {
                    "scenario": context.world.scenario.model_dump(),
                    "seed": seed,
                    "process": number,
                    "destinations": share,
                    "ledger": str(self._workers[-1].ledger),
                }
            )
        for worker in self._workers:
            if not worker.ready.wait(START_TIMEOUT):
                self.stop()
                raise RunError("a process of partners did not start")

    def start_schedule(self, on_list_change: ListChangeCallback) -> None:
        self._on_list_change = on_list_change
        for worker in self._workers:
            worker.send({"began": self._context.started_at})

    def stop(self) -> tuple[float, float]:
        stopping = [gevent.spawn(worker.stop) for worker in self._workers]
        gevent.joinall(stopping)
        for worker in self._workers:
            if worker.ledger.exists():
                self._context.ledger.extend(records.read(worker.ledger))
            else:
                self._context.invalidate("a process of partners was lost, with what it had seen")
        return (
            max((worker.lateness[0] for worker in self._workers), default=0.0),
            max((worker.lateness[1] for worker in self._workers), default=0.0),
        )

    def on_report(self, report: dict[str, Any]) -> None:
        """Take in one line of a worker process."""
        for number, over in report.get("news", ()):
            self._context.apply_remote_change(number, over=over)
        if "ready" in report:
            self.addresses.update(
                {int(number): (host, port) for number, (host, port) in report["ready"].items()}
            )
        if "listed" in report:
            endpoint, destination, phase, host, port = report["listed"]
            self._on_list_change(endpoint, destination, phase, (host, port))
        for reason in report.get("faults", ()):
            self._context.invalidate(reason)


class _WorkerProcess:
    """One worker process."""

    def __init__(self, backend: MultiProcessBackend, number: int, ledger: Path) -> None:
        self.ledger = ledger
        self.ready = Event()
        self.lateness = (0.0, 0.0)
        self._backend = backend
        self._process = green.Popen(
            [sys.executable, "-m", "irisstack.lab.sockets.partner_process"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            start_new_session=True,
        )
        self._reader = gevent.spawn(self._read)

    def send(self, command: dict[str, Any]) -> None:
        assert self._process.stdin is not None
        try:
            self._process.stdin.write(json.dumps(command).encode() + b"\n")
            self._process.stdin.flush()
        except OSError:
            pass  # it has ended; its missing ledger is reported

    def _read(self) -> None:
        assert self._process.stdout is not None
        for line in self._process.stdout:
            report = json.loads(line)
            self._backend.on_report(report)
            if "ready" in report:
                self.ready.set()
            if "done" in report:
                self.lateness = (report["done"][0], report["done"][1])

    def stop(self) -> None:
        """Ask the process to stop; without this process it stops by itself."""
        self.send({"stop": True})
        try:
            self._process.wait(timeout=STOP_TIMEOUT)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
        self._reader.join(timeout=1.0)
