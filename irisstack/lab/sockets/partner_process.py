"""A process that holds some of a run's partners; told what to do, and telling, by lines of JSON.

It draws the same world from the same scenario and seed. What it must know of a message is in the request id.
"""

import json
import sys
from pathlib import Path
from typing import Any

import gevent
from gevent.fileobject import FileObject

from irisstack.lab import ledger as book
from irisstack.lab.lateness import Lateness
from irisstack.lab.scenario import Scenario
from irisstack.lab.sockets.fault_injection import FaultInjector
from irisstack.lab.sockets.partners import Partners
from irisstack.lab.sockets.run_context import RunContext, Submission, parse_request_id
from irisstack.lab.world import build

NEWS_EVERY = 0.05
"""Seconds between two lines on what was called and delivered."""
NUMBERS_APART = 100_000
"""Between the numbers of new endpoints of one process and the next."""


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
                    number, message, node, message.at + kind.deadline_s, 1
                )
        return found


def main() -> int:
    """Serve until told to stop or the other end is gone."""
    lines = FileObject(sys.stdin.fileno(), "rb", closefd=False)
    told = json.loads(lines.readline())
    world = build(Scenario.model_validate(told["scenario"]), told["seed"])
    world.next_endpoint += told["process"] * NUMBERS_APART
    context = RemoteRunContext(world)
    partners = Partners(context, told["destinations"])

    def say(**news: Any) -> None:
        sys.stdout.write(json.dumps(news) + "\n")
        sys.stdout.flush()

    injector = FaultInjector(
        context,
        partners,
        lambda endpoint, destination, phase, address: say(listed=[endpoint, destination, phase, *address]),
    )
    say(ready={number: server.address for number, server in partners.servers.items()})
    begun = json.loads(lines.readline() or b"{}")
    if "began" not in begun:
        return 1
    context.started_at = begun["began"]
    injector.schedule()
    lateness = Lateness()
    helpers: list[gevent.Greenlet[..., None]] = [
        gevent.spawn(lateness.watch),
        gevent.spawn(_tell_news, context, say),
    ]
    lines.readline()  # "stop", or the end of the other process
    gevent.killall(helpers)
    partners.stop()
    book.write(Path(told["ledger"]), context.ledger)
    say(done=[lateness.at(0.99), lateness.most], faults=context.invalid_reasons)
    return 0


def _tell_news(context: RunContext, say: Any) -> None:
    """Which messages were called or delivered since the last line."""
    known: dict[int, tuple[bool, bool]] = {}
    while True:
        gevent.sleep(NEWS_EVERY)
        news = []
        for submission in context.take_changed():
            state = submission.called, submission.over
            if known.get(submission.number) != state:
                known[submission.number] = state
                news.append([submission.number, submission.over])
        if news:
            say(news=news)


if __name__ == "__main__":
    sys.exit(main())
