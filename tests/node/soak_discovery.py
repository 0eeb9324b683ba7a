"""The soak's discovery: calls for the list fail by chance, and one endpoint drains or goes now and then."""

import socket
import threading
import time
from random import Random
from typing import Any

from irisstack.node import sockets
from tests.node.list_support import CallFate, ScriptedDiscovery
from tests.node.soak_audit import DrainPeriod, SoakRun

MOST_CALLS = 200
FAILING_PART = 0.6
MOST_IN_A_ROW = 2
"""Calls that fail one after another: with more of them discovery cannot be reached in time."""
SHORT_S, LONG_S = (0.3, 2.0), (8.0, 11.0)
"""Seconds for which the endpoint is away: less, or more, than it takes until a node counts as told."""
PAUSE_S = (0.0, 1.0)


class SoakDiscovery(ScriptedDiscovery):
    """Keeps in the play when it has a drain, and when it has written it to the watch that the node holds."""

    def __init__(self, play: SoakRun) -> None:
        super().__init__(*_fates(Random(play.seed + 2)))
        self._play = play
        self._lock = threading.Lock()

    def send_update(self, line: dict[str, Any] | str) -> None:
        with self._lock:
            super().send_update(line)
            if not line or not self.watchers or _left(self.watchers[-1]):
                return
            for drain in self._play.drains:
                drain.written_at.append(time.monotonic())


def _left(connection: socket.socket) -> bool:
    return connection.fileno() < 0 or sockets.peer_closed(connection)


def _fates(random: Random) -> list[CallFate]:
    """What becomes of one call after another; the first fail, so that the first drain is missed."""
    failing = [fate for fate in CallFate if fate is not CallFate.SERVED]
    fates: list[CallFate] = random.choices(failing, k=MOST_IN_A_ROW)
    for _ in range(MOST_CALLS):
        reached = CallFate.SERVED in fates[-MOST_IN_A_ROW:]
        fails = reached and random.random() < FAILING_PART
        fates.append(random.choice(failing) if fails else CallFate.SERVED)
    return fates


class DrainInjector(threading.Thread):
    """Takes one endpoint off the list and puts it back, over and over."""

    def __init__(self, play: SoakRun, discovery: SoakDiscovery, number: int, line: dict[str, Any]) -> None:
        super().__init__(daemon=True)
        self._play, self._discovery, self._number, self._line = play, discovery, number, line
        self._random = Random(play.seed + 3)
        self.over = threading.Event()

    def run(self) -> None:
        lasts_s = LONG_S
        while not self.over.wait(self._random.uniform(*PAUSE_S)):
            drain = DrainPeriod(self._number, time.monotonic())
            phase = self._random.choice(("DRAINING", "DELETED"))
            self._line["phase"] = phase
            if phase == "DELETED":
                self._discovery.members.remove(self._line)
            self._play.drains.append(drain)
            self._play.faults.append(f"{drain.started_at:.3f} endpoint {self._number} {phase}")
            self._discovery.update_members(self._line)
            self.over.wait(self._random.uniform(*lasts_s))
            lasts_s = self._random.choice((SHORT_S, LONG_S))
            drain.ended_at = time.monotonic()
            self._line["phase"] = "SERVING"
            if phase == "DELETED":
                self._discovery.members.append(self._line)
            self._discovery.update_members(self._line)
