"""Helpers for the sockets to endpoints, clients and the platform."""

import select
import time
from contextlib import suppress

from gevent import socket

from irisstack.node.buffer import Buffer
from irisstack.node.config import HostPort

BROKEN = select.POLLHUP | select.POLLERR
MIN_TIMEOUT = 0.001
"""Seconds. A socket's time-out of zero would make it non-blocking."""


def connect(peer: HostPort, timeout: float) -> socket.socket:
    """Open a TCP connection with TCP_NODELAY; raises `OSError`, `TimeoutError` after `timeout` seconds."""
    connection = socket.create_connection(peer, timeout=timeout)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def quiet(connection: socket.socket) -> bool:
    """Whether nothing, not even the end of the stream, waits to be read: the connection can be used again."""
    return not _polls(connection, select.POLLIN | BROKEN)


def left(connection: socket.socket) -> bool:
    """Whether the peer has shut down its sending side, or the connection is broken."""
    return _polls(connection, select.POLLRDHUP | BROKEN)


def receive_before(connection: socket.socket, buffer: Buffer, deadline: float) -> int:
    """Read once into the buffer; returns the number of bytes, 0 at the end of the stream.

    Raises `TimeoutError` once the deadline (on the clock of `time.monotonic`) has passed and nothing waits to
    be read. What has come counts, however late this process looks: after a standstill time-outs fire first.
    """
    while True:
        remaining = deadline - time.monotonic()
        if remaining <= 0.0 and quiet(connection):
            raise TimeoutError("nothing came by the deadline")
        connection.settimeout(max(MIN_TIMEOUT, remaining))
        with suppress(TimeoutError):
            return buffer.receive(connection)


def _polls(connection: socket.socket, events: int) -> bool:
    poll = select.poll()
    poll.register(connection.fileno(), events)
    return bool(poll.poll(0))
