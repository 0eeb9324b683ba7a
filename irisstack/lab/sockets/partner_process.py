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
from irisstack.lab.sockets.partners import Partners
from irisstack.lab.sockets.stage import Handing, Stage, parse
from irisstack.lab.sockets.strikes import Strikes
from irisstack.lab.world import build

NEWS_EVERY = 0.05
"""Seconds between two lines on what was called and delivered."""
NUMBERS_APART = 100_000
"""Between the numbers of new endpoints of one process and the next."""


class RemoteStage(Stage):
    """A stage that learns of a message from its request id."""

    def find(self, id_: str) -> Handing | None:
        found = self.handings.get(id_)
        if found is None and (parts := parse(id_)) is not None:
            number, chain, node = parts
            if 0 < chain <= len(self.world.messages):
                message = self.world.messages[chain - 1]
                kind = self.world.scenario.classes[message.message_class]
                found = self.handings[id_] = Handing(number, message, node, message.at + kind.deadline_s, 1)
        return found


def main() -> int:
    """Serve until told to stop or the other end is gone."""
    lines = FileObject(sys.stdin.fileno(), "rb", closefd=False)
    told = json.loads(lines.readline())
    world = build(Scenario.model_validate(told["scenario"]), told["seed"])
    world.next_endpoint += told["process"] * NUMBERS_APART
    stage = RemoteStage(world)
    partners = Partners(stage, told["destinations"])

    def say(**news: Any) -> None:
        sys.stdout.write(json.dumps(news) + "\n")
        sys.stdout.flush()

    strikes = Strikes(
        stage,
        partners,
        lambda endpoint, destination, phase, address: say(listed=[endpoint, destination, phase, *address]),
    )
    say(ready={number: server.address for number, server in partners.servers.items()})
    begun = json.loads(lines.readline() or b"{}")
    if "began" not in begun:
        return 1
    stage.began = begun["began"]
    strikes.plan()
    lateness = Lateness()
    helpers: list[gevent.Greenlet[..., None]] = [
        gevent.spawn(lateness.watch),
        gevent.spawn(_tell_news, stage, say),
    ]
    lines.readline()  # "stop", or the end of the other process
    gevent.killall(helpers)
    partners.stop()
    book.write(Path(told["ledger"]), stage.ledger)
    say(done=[lateness.at(0.99), lateness.most], faults=stage.faults)
    return 0


def _tell_news(stage: Stage, say: Any) -> None:
    """Which messages were called or delivered since the last line."""
    known: dict[int, tuple[bool, bool]] = {}
    while True:
        gevent.sleep(NEWS_EVERY)
        news = []
        for handing in stage.take_touched():
            state = handing.called, handing.over
            if known.get(handing.number) != state:
                known[handing.number] = state
                news.append([handing.number, handing.over])
        if news:
            say(news=news)


if __name__ == "__main__":
    sys.exit(main())
