"""The load: every message is handed in when it is due, whether or not earlier ones were answered."""

from collections import deque
from collections.abc import Callable

import gevent
import httptools
from gevent import socket

from irisstack.lab import ledger as records
from irisstack.lab.clients import MIN_TIME_LEFT, ClientBehaviour
from irisstack.lab.node_settings import TENANT
from irisstack.lab.sockets import http
from irisstack.lab.sockets.run_context import RunContext, Submission
from irisstack.lab.world import Message

ANSWER_WITHIN = 0.4
"""Seconds that a client waits for an answer."""
MOST_IDLE = 32
"""Connections to a node that are kept."""
BODY = b"the gully is rising"


class Clients:
    """All clients of a run."""

    def __init__(
        self, context: RunContext, addresses: list[tuple[str, int]], up: Callable[[], list[int]]
    ) -> None:
        self._context = context
        self._addresses = addresses
        self._up = up
        self._behaviour = ClientBehaviour(context.world.scenario.clients, context.world.streams)
        self._idle: list[deque[socket.socket]] = [deque() for _ in addresses]
        self.waiting = len(context.world.messages)
        """Messages still to be handed in, or once more."""
        self.lateness: list[float] = []
        """Seconds by which each first submission was late: a fault of the load itself."""
        context.on_refused = self._refused

    def run(self) -> None:
        """Hand in every message at its time."""
        for message in self._context.world.messages:
            pause = message.submit_at - self._context.now()
            if pause > 0.0:
                gevent.sleep(pause)
            self.lateness.append(max(0.0, self._context.now() - message.submit_at))
            gevent.spawn(self._submit, self._context.now(), message, 1, "")

    def _submit(self, now: float, message: Message, tries: int, mark: str) -> None:
        kind = self._context.world.scenario.classes[message.message_class]
        due = message.submit_at + kind.deadline_s
        up = self._up()
        if not up:
            self._elsewhere(now, message, tries, due)
            return
        node = message.sender if message.sender in up else up[message.number % len(up)]
        self.waiting -= 1
        id_, submission = self._context.submit(message, node, due, tries)
        # The platform's protocol carries no key to keep order by, so that none is asked for here.
        self._context.ledger.append(
            records.Submitted(
                now, node, submission.number, message.number, message.message_class, message.destination, due
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
        if self._behaviour.disconnects_early():
            self._leave(node, data, submission)
            return
        reply = self._ask(node, data)
        if reply is None:
            self._unheard(submission, message, tries, due)
        elif reply.status in (200, 202):
            self._context.ledger.append(records.Accepted(self._context.now(), node, submission.number))
        elif reply.status in (429, 503):
            self._context.end(submission, "refused", _seconds(reply.headers.get("retry-after", "")))
        else:
            self._context.end(submission, "failed")

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

    def _leave(self, node: int, data: bytes, submission: Submission) -> None:
        """Hand in and go, without reading the answer."""
        try:
            with socket.create_connection(self._addresses[node], timeout=ANSWER_WITHIN) as sock:
                sock.sendall(data)
        except OSError:
            pass
        self._context.end(submission, "unheard")

    def _unheard(self, submission: Submission, message: Message, tries: int, due: float) -> None:
        """No answer: the node may be dead. What it does under the old id counts for nothing."""
        if submission.over:
            return
        self._context.end(submission, "unheard")
        self.waiting += 1
        self._elsewhere(self._context.now(), message, tries, due)

    def lost(self, now: float, node: int) -> None:
        """A node's folder is gone: what it held is handed in elsewhere, where that doubles no effect."""
        for submission in list(self._context.submissions.values()):
            if submission.node == node and not submission.over:
                submission.over = True  # no end is owed for it any more
                kind = self._context.world.scenario.classes[submission.message.message_class]
                if kind.repeat != "unsafe" or not submission.called:
                    self.waiting += 1
                    self._elsewhere(now, submission.message, submission.tries, submission.due)

    def _elsewhere(self, now: float, message: Message, tries: int, due: float) -> None:
        wait = self._behaviour.failover_delay()
        if now + wait + MIN_TIME_LEFT < due:
            self._context.after(wait, self._submit, message, tries, "again")
            return
        self.waiting -= 1
        if tries == 1:
            self._context.ledger.append(
                records.NeverSubmitted(now, message.number, message.message_class, message.destination, due)
            )

    def _refused(self, now: float, submission: Submission, advice: float) -> None:
        pause = self._behaviour.retry_delay(submission.tries, advice, submission.due - now)
        if pause is not None:
            self.waiting += 1
            self._context.after(pause, self._submit, submission.message, submission.tries + 1, "1")


def _seconds(text: str) -> float:
    try:
        return max(0.0, float(text))
    except ValueError:
        return 0.0
