"""Discovery for the soak test: list calls fail at random, and one endpoint drains or is deleted at times."""

import socket
import threading
import time
from random import Random
from typing import Any

from irisstack.node import http, sockets
from tests.node.list_support import CallBehavior, ScriptedDiscovery
from tests.node.soak_audit import DrainPeriod, SoakRun

SCRIPTED_CALLS = 200
FAILURE_PROBABILITY = 0.6
MAX_CONSECUTIVE_FAILURES = 2
"""With more failures in a row, discovery could not be reached in time."""
SHORT_ABSENCE_S, LONG_ABSENCE_S = (0.3, 2.0), (8.0, 11.0)
"""Ranges of seconds for which the endpoint is away: below, or above, the notification deadline."""
REJECTION_PROBABILITY = 0.15
"""Probability that a post of notices is rejected."""
NO_CONTENT = b"HTTP/1.1 204 No Content\r\n\r\n"
OUTDATED_PROBABILITY = 0.5
"""Probability that the update before a drain is sent once more behind it."""
MAX_OUTDATED_DELAY_S = 0.3
"""Seconds from a drain to an outdated update."""
PAUSE_S = (0.0, 1.0)
"""Range of seconds between two drains."""


class SoakDiscovery(ScriptedDiscovery):
    """Records in the soak run when it has written a drain to the watch that the node holds."""

    def __init__(self, soak_run: SoakRun) -> None:
        super().__init__(*_call_behaviors(Random(soak_run.seed + 2)))
        self._soak_run = soak_run
        self._random = Random(soak_run.seed + 4)
        self._lock = threading.Lock()
        self._acknowledged: set[socket.socket] = set()

    def reply(self, connection: socket.socket, request: http.Message) -> None:
        if request.path == "/reports":
            self._reject_at_random(connection)
        super().reply(connection, request)

    def _reject_at_random(self, connection: socket.socket) -> None:
        """Reject some posts of notices, after a repetition of the acknowledgement of the one before."""
        if self._random.random() < REJECTION_PROBABILITY:
            self.rejections_left = 1
            if connection in self._acknowledged:
                connection.sendall(NO_CONTENT)
        else:
            self._acknowledged.add(connection)

    def send_outdated_update(self, update: dict[str, Any]) -> None:
        """Send an update again that was sent before a newer one."""
        with self._lock:
            super().send_update(update)

    def send_update(self, member: dict[str, Any] | str) -> None:
        with self._lock:
            super().send_update(member)
            if not member or not self.watchers or _peer_has_closed(self.watchers[-1]):
                return
            for drain in self._soak_run.drains:
                drain.written_at.append(time.monotonic())


def _peer_has_closed(connection: socket.socket) -> bool:
    return connection.fileno() < 0 or sockets.peer_closed(connection)


def _call_behaviors(random: Random) -> list[CallBehavior]:
    """The treatment of consecutive calls; the first ones fail, so that the first drain is missed."""
    failing = [behavior for behavior in CallBehavior if behavior is not CallBehavior.SERVED]
    behaviors: list[CallBehavior] = random.choices(failing, k=MAX_CONSECUTIVE_FAILURES)
    for _ in range(SCRIPTED_CALLS):
        may_fail = CallBehavior.SERVED in behaviors[-MAX_CONSECUTIVE_FAILURES:]
        fails = may_fail and random.random() < FAILURE_PROBABILITY
        behaviors.append(random.choice(failing) if fails else CallBehavior.SERVED)
    return behaviors


class DrainInjector(threading.Thread):
    """Drains or deletes one endpoint in the list and restores it, repeatedly."""

    def __init__(
        self, soak_run: SoakRun, discovery: SoakDiscovery, endpoint_number: int, member: dict[str, Any]
    ) -> None:
        super().__init__(daemon=True)
        self._soak_run, self._discovery, self._endpoint_number, self._member = (
            soak_run,
            discovery,
            endpoint_number,
            member,
        )
        self._random = Random(soak_run.seed + 3)
        self._outdated_update_random = Random(soak_run.seed + 5)
        self.stop_requested = threading.Event()

    def run(self) -> None:
        absence_s = LONG_ABSENCE_S
        while not self.stop_requested.wait(self._random.uniform(*PAUSE_S)):
            drain = DrainPeriod(self._endpoint_number, time.monotonic())
            outdated = {
                "revision": self._discovery.revision,
                "complete": False,
                "members": [dict(self._member)],
            }
            phase = self._random.choice(("DRAINING", "DELETED"))
            self._member["phase"] = phase
            if phase == "DELETED":
                self._discovery.members.remove(self._member)
            self._soak_run.drains.append(drain)
            self._soak_run.faults.append(f"{drain.started_at:.3f} endpoint {self._endpoint_number} {phase}")
            self._discovery.update_members(self._member)
            if self._outdated_update_random.random() < OUTDATED_PROBABILITY:
                self.stop_requested.wait(self._outdated_update_random.uniform(0.0, MAX_OUTDATED_DELAY_S))
                self._discovery.send_outdated_update(outdated)
            self.stop_requested.wait(self._random.uniform(*absence_s))
            absence_s = self._random.choice((SHORT_ABSENCE_S, LONG_ABSENCE_S))
            drain.ended_at = time.monotonic()
            self._member["phase"] = "SERVING"
            if phase == "DELETED":
                self._discovery.members.append(self._member)
            self._discovery.update_members(self._member)
