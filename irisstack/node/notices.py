"""Notices to the platform about accepted messages that were not delivered, posted until acknowledged."""

import json
import time
from typing import Any

import gevent
import structlog
from gevent import socket
from gevent.event import Event

from irisstack.node import http, sockets
from irisstack.node.buffer import Buffer
from irisstack.node.config import HostPort, format_host_port
from irisstack.node.counters import Counters
from irisstack.node.store import Entry, Store

FIRST_TIMEOUT, REQUEST_TIMEOUT = 0.1, 1.0
"""Seconds for one request, from the connect to the end of its answer: at first, and at most.

They double with each that is silent. A notice is due 0.3 s after its message's time, so that the first silent
connection has to leave time for another.
"""
RETRY_PAUSE = 0.1
"""Seconds from the begin of a failed request to the next, at least."""
MAX_BATCH = 200
"""Notices in one request; a body holds 64 KiB at most."""

log = structlog.get_logger()


class NoticeSender:
    """Posts notices with one request at a time; those that come meanwhile go with the next request."""

    def __init__(self, peer: HostPort, store: Store, counters: Counters) -> None:
        self._peer = peer
        self._store = store
        self._counters = counters
        self._pending: dict[int, Entry] = {}
        self._wake = Event()
        self._socket: socket.socket | None = None
        self._timeout = FIRST_TIMEOUT

    def add(self, entry: Entry) -> None:
        """Post a notice of this message."""
        self._pending[entry.number] = entry
        self._wake.set()

    def set_peer(self, peer: HostPort) -> None:
        """Post to another address from now on; a request under way is aborted and sent there instead.

        Notices are idempotent: it does no harm if the old address has taken the request.
        """
        self._peer = peer
        self._close()

    @property
    def idle(self) -> bool:
        """Whether every notice has been acknowledged."""
        return not self._pending

    def run(self) -> None:
        """Post for ever."""
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._pending:
                batch = list(self._pending.values())[:MAX_BATCH]
                began_at = time.monotonic()
                if not self._post_batch(batch):
                    gevent.sleep(max(0.0, began_at + RETRY_PAUSE - time.monotonic()))

    def _post_batch(self, batch: list[Entry]) -> bool:
        """Post some notices; returns whether all are settled: acknowledged, or refused as unreadable."""
        status = self._post("".join(json.dumps(_line(entry)) + "\n" for entry in batch).encode())
        if status == 400 and len(batch) > 1:  # one of them cannot be read, and must not hold up the rest
            acknowledged = [self._post_batch([entry]) for entry in batch]
            return all(acknowledged)
        if status == 400:
            log.error("notice_not_read", notice=_line(batch[0]))
        elif status != 204:
            log.info("notices_not_taken", count=len(batch), status=status)
            return False
        for entry in batch:
            del self._pending[entry.number]
        self._counters.add("notices_taken", len(batch))
        self._store.mark_notified([entry.number for entry in batch], self._store.clock.now())
        return True

    def _post(self, body: bytes) -> int:
        """The status of one POST; 0 if no whole answer came."""
        buffer, reader = Buffer(), http.ResponseReader()
        timeout = min(self._timeout, REQUEST_TIMEOUT)
        deadline = time.monotonic() + timeout
        try:
            if self._socket is not None and not sockets.nothing_to_read(self._socket):
                self._close()
            peer = self._peer
            connection = self._socket = self._socket or sockets.connect(peer, timeout)
            if peer != self._peer:
                raise ConnectionAbortedError("the platform has moved")
            connection.settimeout(max(0.001, deadline - time.monotonic()))
            connection.sendall(
                http.request(
                    "POST", "/reports", format_host_port(peer), [("Content-Type", "application/json")], body
                )
            )
            while (answer := reader.advance(buffer)) is None:
                if not sockets.receive_before(connection, buffer, deadline):
                    raise ConnectionResetError("the answer ended early")
        except (OSError, http.BadMessage) as error:
            log.info("notice_connection_lost", error=repr(error))
            self._close()
            if isinstance(error, TimeoutError):  # the platform may be slow; a refusal says nothing of that
                self._timeout = 2.0 * timeout
            return 0
        self._timeout = FIRST_TIMEOUT
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
