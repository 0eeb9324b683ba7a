"""The listening socket for clients: it accepts connections and outlives failed accepts."""

import errno
import time
from typing import Any

import gevent
from gevent.server import StreamServer

from irisstack.node.listen_filter import drop_new_connections

BACKLOG = 512
"""Length of the listening socket's accept queue."""
ACCEPTS_PER_TURN = 16
"""Connections accepted before other greenlets run."""
MAX_ACCEPT_PAUSE = 0.04
"""Longest pause in seconds after a failed accept; kept short because clients wait for their answers."""
ABORTED_ACCEPT_ERRORS = frozenset((errno.ECONNABORTED, errno.EPROTO, errno.EINTR))
"""Errors of an accept that concern only one connection, or none; the next accept may succeed at once."""
MAX_ABORTED_ACCEPTS = 64
"""Such errors in a row before other greenlets run."""
BACKLOG_TIMEOUT = 0.5
"""Seconds at shutdown for accepting the connections in the backlog."""
HANDSHAKE_TIMEOUT = 0.05
"""Seconds allowed at shutdown for TCP handshakes already under way to complete."""


class Listener(StreamServer):
    """Accepts connections and retries after temporary failures."""

    max_accept = ACCEPTS_PER_TURN
    min_delay, max_delay = 0.005, MAX_ACCEPT_PAUSE

    def do_read(self) -> Any:
        """The next connection, or `None` if none is queued; clients that left the backlog are skipped."""
        for _ in range(MAX_ABORTED_ACCEPTS):
            try:
                return super().do_read()
            except OSError as error:
                if error.errno not in ABORTED_ACCEPT_ERRORS:
                    raise
        return None

    def accept_backlog(self) -> None:
        """Block new connections and accept those in the backlog; gives up after `BACKLOG_TIMEOUT`."""
        # A connection that arrived between the last accept and the close would be reset and lose its request.
        drop_new_connections(self.socket)
        gevent.sleep(HANDSHAKE_TIMEOUT)
        end = time.monotonic() + BACKLOG_TIMEOUT
        while time.monotonic() < end:
            try:
                client = self.do_read()
            except OSError:
                gevent.sleep(self.min_delay)
                continue
            if client is None:
                return
            self.do_handle(*client)
