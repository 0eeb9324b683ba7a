"""The platform's ear: ends of messages that were taken on and not delivered, told until they are heard."""

import json
import time
from typing import Any

import gevent
import structlog
from gevent import socket
from gevent.event import Event

from irisstack.node import http, sockets
from irisstack.node.buffer import Buffer
from irisstack.node.config import HostPort, name_of
from irisstack.node.counters import Counters
from irisstack.node.store import Entry, Store

PATIENCE = 1.0
"""Seconds for one try, connect and whole answer included."""
PAUSE = 0.1
"""Seconds between one try that failed and the next."""
MOST = 200
"""Notices in one request; a body holds 64 KiB at most."""

log = structlog.get_logger()


class Notices:
    """One request at a time; what is owed meanwhile goes with the next one."""

    def __init__(self, peer: HostPort, store: Store, counters: Counters) -> None:
        self._peer = peer
        self._store = store
        self._counters = counters
        self._owed: dict[int, Entry] = {}
        self._news = Event()
        self._socket: socket.socket | None = None

    def owe(self, entry: Entry) -> None:
        self._owed[entry.number] = entry
        self._news.set()

    def move(self, peer: HostPort) -> None:
        """Tell another address from now on; a request under way is broken off and goes there instead.

        Should the old address have taken it, hearing of the same ends once more does no harm.
        """
        self._peer = peer
        self._close()

    @property
    def idle(self) -> bool:
        return not self._owed

    def run(self) -> None:
        while True:
            self._news.wait()
            self._news.clear()
            while self._owed:
                batch = list(self._owed.values())[:MOST]
                if not self._tell(batch):
                    gevent.sleep(PAUSE)

    def _tell(self, batch: list[Entry]) -> bool:
        """Post some notices; returns whether they are settled."""
        status = self._post("".join(json.dumps(_line(entry)) + "\n" for entry in batch).encode())
        if status == 400 and len(batch) > 1:  # one of them cannot be read, and must not hold up the rest
            settled = [self._tell([entry]) for entry in batch]
            return all(settled)
        if status == 400:
            log.error("notice_not_read", notice=_line(batch[0]))
        elif status != 204:
            log.info("notices_not_taken", count=len(batch), status=status)
            return False
        for entry in batch:
            del self._owed[entry.number]
        self._counters.add("notices_taken", len(batch))
        self._store.told([entry.number for entry in batch], time.time())
        return True

    def _post(self, body: bytes) -> int:
        """The status of one POST; 0 if there was none."""
        buffer, reader = Buffer(), http.AnswerReader()
        until = time.monotonic() + PATIENCE
        try:
            if self._socket is not None and not sockets.quiet(self._socket):
                self._close()
            peer = self._peer
            connection = self._socket = self._socket or sockets.connect(peer, PATIENCE)
            if peer != self._peer:
                raise ConnectionAbortedError("the platform has moved")
            connection.settimeout(max(0.001, until - time.monotonic()))
            connection.sendall(
                http.request("POST", "/reports", name_of(peer), [("Content-Type", "application/json")], body)
            )
            while (answer := reader.advance(buffer)) is None:
                if not sockets.receive_before(connection, buffer, until):
                    raise ConnectionResetError("the answer ended early")
        except (OSError, http.BadMessage) as error:
            log.info("notice_connection_lost", error=repr(error))
            self._close()
            return 0
        if not answer.keep_alive:
            self._close()
        return answer.status

    def _close(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None


def _line(entry: Entry) -> dict[str, Any]:
    line: dict[str, Any] = {"ref": entry.id, "result": entry.result}
    if entry.result == "bounced" and entry.wait_ms:
        line["wait_ms"] = entry.wait_ms
    return line
