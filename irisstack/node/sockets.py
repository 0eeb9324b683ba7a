"""Helpers for the sockets to endpoints, clients and the platform."""

import errno
import select
import time
from collections.abc import Callable

from gevent import socket

from irisstack.node.buffer import Buffer
from irisstack.node.config import HostPort
from irisstack.node.retry import ResultT, retry

BROKEN = select.POLLHUP | select.POLLERR
MIN_TIMEOUT = 0.001
"""Seconds. A socket's time-out of zero would make it non-blocking."""
SCARCE = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
"""What this machine has run out of, perhaps for a moment."""
OWN_ERRORS = SCARCE | {errno.EADDRNOTAVAIL, errno.ENETUNREACH}
"""Of a connect: what this machine has run out of, or that it has no network, perhaps for a moment."""
FIRST_PAUSE, LONGEST_PAUSE = 0.02, 0.2
"""Seconds from such a failure to the next try; they double."""


class LocalResourceError(OSError):
    """No connection could be made for want of something on this machine; the peer may be well."""


def connect(peer: HostPort, timeout: float, retry_for: float | None = None) -> socket.socket:
    """Open a TCP connection with TCP_NODELAY; raises `OSError`, `TimeoutError` after `timeout` seconds.

    What this machine lacks for a moment is tried again, for `keep_trying` seconds (by default the same time);
    then it is an `LocalResourceError`.
    """
    try:
        return retry(
            lambda left: _connect_once(peer, max(MIN_TIMEOUT, min(timeout, left))),
            lambda error: error.errno in OWN_ERRORS,
            timeout if retry_for is None else retry_for,
            FIRST_PAUSE,
            LONGEST_PAUSE,
        )
    except OSError as error:
        if error.errno not in OWN_ERRORS:
            raise
        raise LocalResourceError(error.errno, error.strerror) from None


def retry_while_out_of_resources(make: Callable[[], ResultT], seconds: float) -> ResultT:
    """Do what needs descriptors or buffers, again and again for a time while this machine lacks them."""
    return retry(lambda _: make(), lambda error: error.errno in SCARCE, seconds, LONGEST_PAUSE, LONGEST_PAUSE)


def _connect_once(peer: HostPort, timeout: float) -> socket.socket:
    connection = socket.create_connection(peer, timeout=timeout)
    try:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        connection.close()
        raise
    return connection


def nothing_to_read(connection: socket.socket) -> bool:
    """Whether nothing, not even the end of the stream, waits to be read: the connection can be used again."""
    return not _polls(connection, select.POLLIN | BROKEN)


def peer_closed(connection: socket.socket) -> bool:
    """Whether the peer has shut down its sending side, or the connection is broken."""
    return _polls(connection, select.POLLRDHUP | BROKEN)


def receive_before(connection: socket.socket, buffer: Buffer, deadline: float) -> int:
    """Read once into the buffer; returns the number of bytes, 0 at the end of the stream.

    Raises `TimeoutError` once the deadline (on the clock of `time.monotonic`) has passed and nothing waits to
    be read. What has come counts, however late this process looks: after a standstill time-outs fire first.
    """
    while True:
        remaining = deadline - time.monotonic()
        if remaining <= 0.0 and nothing_to_read(connection):
            raise TimeoutError("nothing came by the deadline")
        connection.settimeout(max(MIN_TIMEOUT, remaining))
        try:
            return buffer.receive(connection)
        except TimeoutError as error:
            raise_if_connection_timed_out(error)


def raise_if_connection_timed_out(error: TimeoutError) -> None:
    """Raise `ConnectionResetError` for the system's ETIMEDOUT, which Python tells by the same type.

    Our own time-out has no number. A connection that the system has timed out is broken for good: who waits
    on for its answer would read the same error over and over.
    """
    if error.errno is not None:
        raise ConnectionResetError(error.errno, error.strerror) from None


def _polls(connection: socket.socket, events: int) -> bool:
    poll = select.poll()
    poll.register(connection.fileno(), events)
    return bool(poll.poll(0))
