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
        self._in_flight: socket.socket | None = None  # the connection of the request in flight
        self._used: socket.socket | None = None  # the connection of the last request that was answered
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
        if self._in_flight is not None:
            self._in_flight.close()
        self._close_used()

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
        """Send one POST on a new connection; returns its status, or 0 without a complete response.

        On a used connection, a late repetition of the previous response would acknowledge these notices.
        """
        timeout = min(self._timeout, MAX_REQUEST_TIMEOUT)
        deadline = time.monotonic() + timeout
        address = self._address
        try:
            connection = sockets.connect(address, timeout)
        except OSError as error:
            self._handle_failure(error, timeout)
            self._post_unacknowledged(body)
            return 0
        self._in_flight = connection
        try:
            if address != self._address:
                raise ConnectionAbortedError("the platform's address has changed")
            status = _exchange(connection, address, body, deadline)
        except (OSError, http.BadMessage) as error:
            self._handle_failure(error, timeout)
            connection.close()
            return 0
        finally:
            self._in_flight = None
        self._timeout = INITIAL_REQUEST_TIMEOUT
        self._close_used()
        self._used = connection
        return status

    def _handle_failure(self, error: Exception, timeout: float) -> None:
        """Log a failed request; double the timeout if it was too short."""
        log.info("notice_connection_lost", error=repr(error))
        if isinstance(error, TimeoutError):  # the platform may be slow; other errors do not indicate that
            self._timeout = 2.0 * timeout

    def _post_unacknowledged(self, body: bytes) -> None:
        """Send notices on the last used connection, so that they arrive in time while no other can be opened.

        They are sent again on a new connection, since the response may be a repetition.
        """
        connection = self._used
        if connection is None:
            return
        try:
            if not sockets.nothing_to_read(connection):
                raise ConnectionResetError("the used connection has ended, or brought a response too many")
            deadline = time.monotonic() + INITIAL_REQUEST_TIMEOUT
            _exchange(connection, self._address, body, deadline)
            self._counters.add("notices_posted_on_used_connection")
        except (OSError, http.BadMessage) as error:
            log.info("notice_connection_lost", error=repr(error))
            self._close_used()

    def _close_used(self) -> None:
        if self._used is not None:
            self._used.close()
            self._used = None


def _exchange(connection: socket.socket, address: HostPort, body: bytes, deadline: float) -> int:
    """Send a POST and read the response; returns its status. Raises `OSError` or `http.BadMessage`."""
    headers = [("Content-Type", "application/json")]
    connection.settimeout(max(0.001, deadline - time.monotonic()))
    connection.sendall(http.request("POST", "/reports", format_host_port(address), headers, body))
    buffer, reader = Buffer(), http.ResponseReader(kept_headers=())
    while (response := reader.advance(buffer)) is None:
        if not sockets.receive_before(connection, buffer, deadline):
            raise ConnectionResetError("connection closed before the end of the response")
    return response.status


def _notice(entry: Entry) -> dict[str, Any]:
    notice: dict[str, Any] = {"ref": entry.id, "result": entry.result}
    if entry.result == "bounced" and entry.wait_ms:
        notice["wait_ms"] = entry.wait_ms
    return notice
