"""Sends the platform a notice for each accepted message that was not delivered, until it is acknowledged."""

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

INITIAL_REQUEST_TIMEOUT, MAX_REQUEST_TIMEOUT = 0.1, 1.0
"""Seconds for one request, from the connect to the end of its response.

The timeout doubles with each request that times out. A notice is due 0.3 s after its message's deadline, so a
first request that times out must leave time for a second one.
"""
RETRY_PAUSE = 0.1
"""Minimum seconds from the start of a failed request to the next one."""
MAX_BATCH = 200
"""Notices in one request; the body is limited to 64 KiB."""

log = structlog.get_logger()


class NoticeSender:
    """Posts notices, one request at a time; notices added meanwhile go into the next request."""

    def __init__(self, address: HostPort, store: Store, counters: Counters) -> None:
        self._address = address
        self._store = store
        self._counters = counters
        self._unacknowledged: dict[int, Entry] = {}
        self._wake = Event()
        self._socket: socket.socket | None = None
        self._timeout = INITIAL_REQUEST_TIMEOUT

    def add(self, entry: Entry) -> None:
        """Queue the notice of this message."""
        self._unacknowledged[entry.number] = entry
        self._wake.set()

    def set_address(self, address: HostPort) -> None:
        """Post to another address from now on; a request in flight is aborted and repeated there.

        Notices are idempotent, so it does no harm if the old address has processed the request.
        """
        self._address = address
        self._close()

    @property
    def idle(self) -> bool:
        """Whether every notice has been acknowledged."""
        return not self._unacknowledged

    def run(self) -> None:
        """Post queued notices; never returns."""
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._unacknowledged:
                batch = list(self._unacknowledged.values())[:MAX_BATCH]
                started_at = time.monotonic()
                if not self._post_batch(batch):
                    gevent.sleep(max(0.0, started_at + RETRY_PAUSE - time.monotonic()))

    def _post_batch(self, batch: list[Entry]) -> bool:
        """Post notices; returns whether all are done with: acknowledged, or rejected as malformed."""
        status = self._post("".join(json.dumps(_notice(entry)) + "\n" for entry in batch).encode())
        if (
            status == 400 and len(batch) > 1
        ):  # one is malformed: post each separately, so that the rest gets through
            acknowledged = [self._post_batch([entry]) for entry in batch]
            return all(acknowledged)
        if status == 400:
            log.error("notice_not_read", notice=_notice(batch[0]))
        elif status != 204:
            log.info("notices_not_taken", count=len(batch), status=status)
            return False
        for entry in batch:
            del self._unacknowledged[entry.number]
        self._counters.add("notices_taken", len(batch))
        self._store.mark_notified([entry.number for entry in batch], self._store.clock.now())
        return True

    def _post(self, body: bytes) -> int:
        """Send one POST on a connection of its own; returns its status, or 0 without a complete response.

        On a reused connection, a late repetition of the previous response would acknowledge these notices.
        """
        timeout = min(self._timeout, MAX_REQUEST_TIMEOUT)
        deadline = time.monotonic() + timeout
        try:
            address = self._address
            connection = self._socket = sockets.connect(address, timeout)
            if address != self._address:
                raise ConnectionAbortedError("the platform's address has changed")
            connection.settimeout(max(0.001, deadline - time.monotonic()))
            connection.sendall(_request(address, body))
            status = _read_response(connection, deadline).status
        except (OSError, http.BadMessage) as error:
            log.info("notice_connection_lost", error=repr(error))
            if isinstance(error, TimeoutError):  # the platform may be slow; other errors do not indicate that
                self._timeout = 2.0 * timeout
            return 0
        finally:
            self._close()
        self._timeout = INITIAL_REQUEST_TIMEOUT
        return status

    def _close(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None


def _request(address: HostPort, body: bytes) -> bytes:
    headers = [("Content-Type", "application/json"), ("Connection", "close")]
    return http.request("POST", "/reports", format_host_port(address), headers, body)


def _read_response(connection: socket.socket, deadline: float) -> http.Message:
    """Read one response; raises `OSError` or `http.BadMessage`."""
    buffer, reader = Buffer(), http.ResponseReader()
    while (response := reader.advance(buffer)) is None:
        if not sockets.receive_before(connection, buffer, deadline):
            raise ConnectionResetError("connection closed before the end of the response")
    return response


def _notice(entry: Entry) -> dict[str, Any]:
    notice: dict[str, Any] = {"ref": entry.id, "result": entry.result}
    if entry.result == "bounced" and entry.wait_ms:
        notice["wait_ms"] = entry.wait_ms
    return notice
