"""The load: every message is handed in when it is due, whether or not earlier ones were answered."""

from collections import deque
from collections.abc import Callable

import gevent
import httptools
from gevent import socket

from irisstack.lab import ledger as book
from irisstack.lab.clients import LEAST_TIME, Behaviour
from irisstack.lab.node_settings import TENANT
from irisstack.lab.sockets import http
from irisstack.lab.sockets.stage import Handing, Stage
from irisstack.lab.world import Message

ANSWER_WITHIN = 0.4
"""Seconds that a client waits for an answer."""
MOST_IDLE = 32
"""Connections to a node that are kept."""
BODY = b"the gully is rising"


class Clients:
    """All clients of a run."""

    def __init__(self, stage: Stage, addresses: list[tuple[str, int]], up: Callable[[], list[int]]) -> None:
        self._stage = stage
        self._addresses = addresses
        self._up = up
        self._behaviour = Behaviour(stage.world.scenario.clients, stage.world.streams)
        self._idle: list[deque[socket.socket]] = [deque() for _ in addresses]
        self.waiting = len(stage.world.messages)
        """Messages still to be handed in, or once more."""
        self.lateness: list[float] = []
        """Seconds by which each first handing in was late: the load's own fault."""
        stage.came_back = self._refused

    def run(self) -> None:
        """Hand in every message at its time."""
        for message in self._stage.world.messages:
            pause = message.at - self._stage.now()
            if pause > 0.0:
                gevent.sleep(pause)
            self.lateness.append(max(0.0, self._stage.now() - message.at))
            gevent.spawn(self._hand_in, self._stage.now(), message, 1, "")

    def _hand_in(self, now: float, message: Message, tries: int, mark: str) -> None:
        kind = self._stage.world.scenario.classes[message.message_class]
        due = message.at + kind.deadline_s
        up = self._up()
        if not up:
            self._elsewhere(now, message, tries, due)
            return
        node = message.sender if message.sender in up else up[message.number % len(up)]
        self.waiting -= 1
        id_, handing = self._stage.hand(message, node, due, tries)
        # The platform's protocol carries no key to keep order by, so that none is asked for here.
        self._stage.ledger.append(
            book.HandedIn(
                now, node, handing.number, message.number, message.message_class, message.destination, due
            )
        )
        headers = {
            "X-Request-ID": id_,
            "X-Priority-Class": kind.name,
            "X-Tenant-Id": TENANT,
            "X-Timeout": f"{max(0.001, due - now):.3f}",
            "X-Consignee": f"dest={message.destination}",
        }
        if kind.repeat == "keyed":
            headers["Idempotency-Key"] = f"{message.number:032x}"
        if mark:
            headers["X-Retried"] = mark
        data = http.request("POST", f"/{kind.name}", "backend.local", headers, BODY)
        if self._behaviour.leaves():
            self._leave(node, data, handing)
            return
        reply = self._ask(node, data)
        if reply is None:
            self._unheard(handing, message, tries, due)
        elif reply.status in (200, 202):
            self._stage.ledger.append(book.TakenOn(self._stage.now(), node, handing.number))
        elif reply.status in (429, 503):
            self._stage.end(handing, "refused", _seconds(reply.headers.get("retry-after", "")))
        else:
            self._stage.end(handing, "failed")

    def _ask(self, node: int, data: bytes) -> http.Reply | None:
        """One request and its answer; a kept connection that was closed meanwhile is no failure."""
        while True:
            sock = self._idle[node].pop() if self._idle[node] else None
            kept = sock is not None
            wrote = False
            try:
                if sock is None:
                    sock = socket.create_connection(self._addresses[node], timeout=ANSWER_WITHIN)
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                sock.settimeout(ANSWER_WITHIN)
                sock.sendall(data)
                wrote = True
                reader = http.ReplyReader()
                while True:
                    read = sock.recv(65536)
                    if not read:
                        raise ConnectionResetError
                    reply = reader.feed(read)
                    if reply is not None:
                        if reply.keep_alive and len(self._idle[node]) < MOST_IDLE:
                            self._idle[node].append(sock)
                        else:
                            sock.close()
                        return reply
            except TimeoutError:
                if sock is not None:
                    sock.close()
                return None
            except (OSError, httptools.HttpParserError):
                if sock is not None:
                    sock.close()
                if not kept or (not wrote and node not in self._up()):
                    return None

    def _leave(self, node: int, data: bytes, handing: Handing) -> None:
        """Hand in and go, without reading the answer."""
        try:
            with socket.create_connection(self._addresses[node], timeout=ANSWER_WITHIN) as sock:
                sock.sendall(data)
        except OSError:
            pass
        self._stage.end(handing, "unheard")

    def _unheard(self, handing: Handing, message: Message, tries: int, due: float) -> None:
        """No answer: the node may be dead. What it does under the old id counts for nothing."""
        if handing.over:
            return
        self._stage.end(handing, "unheard")
        self.waiting += 1
        self._elsewhere(self._stage.now(), message, tries, due)

    def lost(self, now: float, node: int) -> None:
        """A node's folder is gone: what it held is handed in elsewhere, where that doubles no effect."""
        for handing in list(self._stage.handings.values()):
            if handing.node == node and not handing.over:
                handing.over = True  # no end is owed for it any more
                kind = self._stage.world.scenario.classes[handing.message.message_class]
                if kind.repeat != "unsafe" or not handing.called:
                    self.waiting += 1
                    self._elsewhere(now, handing.message, handing.tries, handing.due)

    def _elsewhere(self, now: float, message: Message, tries: int, due: float) -> None:
        wait = self._behaviour.tries_elsewhere()
        if now + wait + LEAST_TIME < due:
            self._stage.after(wait, self._hand_in, message, tries, "again")
            return
        self.waiting -= 1
        if tries == 1:
            self._stage.ledger.append(
                book.Missed(now, message.number, message.message_class, message.destination, due)
            )

    def _refused(self, now: float, handing: Handing, advice: float) -> None:
        pause = self._behaviour.comes_again(handing.tries, advice, handing.due - now)
        if pause is not None:
            self.waiting += 1
            self._stage.after(pause, self._hand_in, handing.message, handing.tries + 1, "1")


def _seconds(text: str) -> float:
    try:
        return max(0.0, float(text))
    except ValueError:
        return 0.0
