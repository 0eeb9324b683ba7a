"""The platform on real sockets: the list of endpoints, watches of it, and the ear for notices."""

import json
from collections.abc import Mapping
from contextlib import suppress
from functools import partial
from http import HTTPStatus
from typing import Any, Literal
from urllib.parse import parse_qs, urlsplit

import httptools
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from irisstack.lab import ledger as records
from irisstack.lab.node_settings import ZONE
from irisstack.lab.ports import HOST
from irisstack.lab.sampling import sample
from irisstack.lab.sockets import http
from irisstack.lab.sockets.run_context import RunContext

BEAT = 2.0
"""Seconds between the empty lines of a watch."""
STATES: dict[str, Literal["ready", "draining", "gone"]] = {
    "SERVING": "ready",
    "DRAINING": "draining",
    "DELETED": "gone",
}


class Platform:
    """One address for each node, so that it is known who is told what."""

    def __init__(self, context: RunContext, addresses: Mapping[int, tuple[str, int]]) -> None:
        self._context = context
        self._late = context.world.streams.stream("list")
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._members = {
            number: self._member(number, spec.destination, "SERVING", addresses[number])
            for number, spec in context.world.endpoints.items()
        }
        self._revision = 1
        self._changed = Event()
        self._streams: set[socket.socket] = set()
        self._down = False
        self.later = 0.0
        """Seconds by which every change is told later than usual."""
        self._servers = []
        for node in range(len(context.world.senders)):
            server = StreamServer((HOST, 0), partial(self._serve, node))
            server.start()
            self._servers.append(server)

    def address(self, node: int) -> str:
        """Where a node finds the platform."""
        return f"{HOST}:{self._servers[node].server_port}"

    def known(self) -> dict[str, Any]:
        """The list as a node holds it at its start."""
        return {"revision": self._revision, "complete": True, "members": list(self._members.values())}

    def stop(self) -> None:
        for server in self._servers:
            server.stop(timeout=0.1)

    # ---- the list ----

    def _member(self, number: int, place: int, phase: str, address: tuple[str, int]) -> dict[str, Any]:
        destination, (host, port) = self._context.world.destinations[place], address
        return {
            "id": f"s-{number}",
            "host_port": f"{host}:{port}",
            "locality": ZONE,
            "flavor": destination.kind.name,
            "cell": destination.number,
            "phase": phase,
            "size": destination.rate_limit or destination.capacity,
            "up_since_ms": 0,
        }

    def change(self, number: int, place: int, phase: str, address: tuple[str, int]) -> None:
        """An endpoint is so from now on; the list hears of it late."""
        late = sample(self._context.world.scenario.endpoint_list.late_s, self._late) + self.later
        self._context.after(late, self._hear, number, self._member(number, place, phase, address))

    def _hear(self, now: float, number: int, member: dict[str, Any]) -> None:
        if self._down:
            self._context.after(0.5, self._hear, number, member)
            return
        self._revision += 1
        if member["phase"] == "DELETED":
            self._members.pop(number, None)
        else:
            self._members[number] = member
        self._changes.append((self._revision, member))
        changed, self._changed = self._changed, Event()
        changed.set()

    def go_down(self, now: float) -> None:
        """The list answers nobody; watches end. Notices are still taken."""
        self._down = True
        for stream in list(self._streams):
            with suppress(OSError):
                stream.shutdown(socket.SHUT_RDWR)

    def come_back(self, now: float) -> None:
        self._down = False

    # ---- requests ----

    def _serve(self, node: int, sock: socket.socket, _: object) -> None:
        reader = http.RequestReader()
        try:
            while data := sock.recv(65536):
                request = reader.feed(data)
                if request is None:
                    continue
                if request.target.startswith("/reports"):
                    sock.sendall(http.reply(self._notices(request)))
                elif self._down:
                    sock.sendall(http.reply(503))
                elif "watch" in (query := parse_qs(urlsplit(request.target).query)):
                    self._watch(sock, node, int(query.get("from", ["0"])[0]))
                    return
                else:
                    sock.sendall(http.reply(200, {}, json.dumps(self.known()).encode()))
                    self._told(node, list(self._members.values()))
        except (OSError, httptools.HttpParserError, ValueError):
            pass
        finally:
            sock.close()

    def _notices(self, request: http.Request) -> int:
        try:
            notices = [json.loads(line) for line in request.body.splitlines() if line]
            told = [(str(n["ref"]), str(n["result"]), float(n.get("wait_ms", 0.0))) for n in notices]
        except (ValueError, KeyError, TypeError):
            self._context.invalidate("a notice that cannot be read came to the platform")
            return HTTPStatus.BAD_REQUEST
        for ref, result, wait_ms in told:
            submission = self._context.submissions.get(ref)
            if submission is None or result not in ("dead", "bounced"):
                self._context.invalidate("a notice of nothing that was handed in came to the platform")
                return HTTPStatus.BAD_REQUEST
            end: records.Result = "failed" if result == "dead" else "refused"
            # A notice told again, or for a message that is over, does no harm; a contradiction does.
            if not submission.over or (
                submission.result in ("failed", "refused") and submission.result != end
            ):
                self._context.end(submission, end, wait_ms / 1000.0)
        return HTTPStatus.NO_CONTENT

    def _watch(self, sock: socket.socket, node: int, since: int) -> None:
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._streams.add(sock)
        try:
            # Every change since the start is kept: only a version from elsewhere needs the whole list.
            seen = since if 0 < since <= self._revision else 0
            first = True
            while not self._down:
                news = [member for revision, member in self._changes if revision > seen]
                entry: dict[str, Any] | None = None
                if not seen:
                    entry = self.known()
                elif news or first:
                    entry = {"revision": self._revision, "complete": False, "members": news}
                seen, first, changed = self._revision, False, self._changed
                if entry is not None:
                    self._told(node, entry["members"])
                line = json.dumps(entry).encode() + b"\n" if entry is not None else b"\n"
                sock.sendall(b"%x\r\n%s\r\n" % (len(line), line))
                changed.wait(BEAT)
        finally:
            self._streams.discard(sock)

    def _told(self, node: int, members: list[dict[str, Any]]) -> None:
        """What is written to a node binds it from now on."""
        now = self._context.now()
        # Counts all endpoints, so that it is looked up once for a whole list.
        first_new = self._context.world.first_replacement_number
        for member in members:
            state = STATES[member["phase"]]
            if state != "ready" or int(member["id"][2:]) >= first_new:
                self._context.ledger.append(
                    records.EndpointAnnounced(now, node, int(member["id"][2:]), state)
                )
