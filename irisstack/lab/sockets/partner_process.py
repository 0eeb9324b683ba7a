"""A worker process that serves some of a run's partners.

It reads commands from standard input and reports on standard output, one JSON object a line. It generates the
same world from the same scenario and seed; a message is recognised by its request id.
"""

import json
import sys
from pathlib import Path
from typing import Any

import gevent
from gevent.fileobject import FileObject

from irisstack.lab import ledger as records
from irisstack.lab.lateness import LatenessMonitor
from irisstack.lab.scenario import Scenario
from irisstack.lab.sockets.fault_injection import FaultInjector
from irisstack.lab.sockets.partners import Partners
from irisstack.lab.sockets.run_context import RunContext, Submission, parse_request_id
from irisstack.lab.world import build_world

REPORT_INTERVAL = 0.05
"""Seconds between two reports on what was called and delivered."""
NUMBER_RANGE = 100_000
"""Numbers of new endpoints that each process has to itself."""


class RemoteRunContext(RunContext):
    """The run as a worker process knows it: submissions are recovered from their request ids."""

    def find(self, id_: str) -> Submission | None:
        found = self.submissions.get(id_)
        if found is None and (parts := parse_request_id(id_)) is not None:
            number, chain, node = parts
            if 0 < chain <= len(self.world.messages):
                message = self.world.messages[chain - 1]
                kind = self.world.scenario.classes[message.message_class]
                found = self.submissions[id_] = Submission(
                    number, message, node, message.submit_at + kind.deadline_s, 1
                )
        return found


def main() -> int:
    """Serve until asked to stop or until the parent process has ended; returns the exit code."""
    lines = FileObject(sys.stdin.fileno(), "rb", closefd=False)
    job = json.loads(lines.readline())
    world = build_world(Scenario.model_validate(job["scenario"]), job["seed"])
    world.next_endpoint_number += job["process"] * NUMBER_RANGE
    context = RemoteRunContext(world)
    partners = Partners(context, job["destinations"])

    def send(**report: Any) -> None:
        sys.stdout.write(json.dumps(report) + "\n")
        sys.stdout.flush()

    injector = FaultInjector(
        context,
        partners,
        lambda endpoint, destination, phase, address: send(listed=[endpoint, destination, phase, *address]),
    )
    send(ready={number: server.address for number, server in partners.servers.items()})
    start = json.loads(lines.readline() or b"{}")
    if "began" not in start:
        return 1
    context.started_at = start["began"]
    injector.schedule()
    lateness = LatenessMonitor()
    helpers: list[gevent.Greenlet[..., None]] = [
        gevent.spawn(lateness.run),
        gevent.spawn(_report_progress, context, send),
    ]
    lines.readline()  # "stop", or the end of the parent process
    gevent.killall(helpers)
    partners.stop()
    records.write(Path(job["ledger"]), context.ledger)
    send(done=[lateness.quantile(0.99), lateness.maximum], faults=context.invalid_reasons)
    return 0


def _report_progress(context: RunContext, send: Any) -> None:
    """Report for ever which messages were called or delivered since the last report."""
    known: dict[int, tuple[bool, bool]] = {}
    while True:
        gevent.sleep(REPORT_INTERVAL)
        changes = []
        for submission in context.take_changed():
            state = submission.called, submission.over
            if known.get(submission.number) != state:
                known[submission.number] = state
                changes.append([submission.number, submission.over])
        if changes:
            send(news=changes)


if __name__ == "__main__":
    sys.exit(main())
