"""Helpers for sockets to endpoints, clients and the platform."""

import errno
import select
import time
from collections.abc import Callable
from enum import Enum, auto
from socket import MSG_PEEK

from gevent import socket

from irisstack.node.buffer import Buffer
from irisstack.node.config import HostPort
from irisstack.node.retry import ResultT, retry

BROKEN_EVENTS = select.POLLHUP | select.POLLERR
MIN_TIMEOUT = 0.001
"""Seconds; a timeout of zero would make a socket non-blocking."""
RESOURCE_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
"""Errors that say that this machine has run out of descriptors or buffers; they may be temporary."""
LOCAL_ERRORS = RESOURCE_ERRORS | {errno.EADDRNOTAVAIL, errno.ENETUNREACH}
"""Errors of a connect caused by this machine: no resources, ports or network; they may be temporary."""
MIN_RETRY_PAUSE, MAX_RETRY_PAUSE = 0.02, 0.2
"""Seconds between retries after such errors; the pause doubles with each retry."""


class LocalResourceError(OSError):
    """A connect failed because of this machine; it says nothing about the remote host."""


def connect(address: HostPort, timeout: float, retry_for: float | None = None) -> socket.socket:
    """Open a TCP connection with TCP_NODELAY; raises `OSError`, `TimeoutError` after `timeout` seconds.

    Errors caused by this machine are retried for `retry_for` seconds, by default for `timeout`; then
    `LocalResourceError` is raised.
    """
    try:
        return retry(
            lambda remaining: _connect_once(address, max(MIN_TIMEOUT, min(timeout, remaining))),
            lambda error: error.errno in LOCAL_ERRORS,
            timeout if retry_for is None else retry_for,
            MIN_RETRY_PAUSE,
            MAX_RETRY_PAUSE,
        )
    except OSError as error:
        if error.errno not in LOCAL_ERRORS:
            raise
        raise LocalResourceError(error.errno, error.strerror) from None


def retry_while_out_of_resources(operation: Callable[[], ResultT], seconds: float) -> ResultT:
    """Run an operation, and retry it for a number of seconds while this machine is out of resources."""
    return retry(
        lambda _: operation(),
        lambda error: error.errno in RESOURCE_ERRORS,
        seconds,
        MAX_RETRY_PAUSE,
        MAX_RETRY_PAUSE,
    )


def _connect_once(address: HostPort, timeout: float) -> socket.socket:
    connection = socket.create_connection(address, timeout=timeout)
    try:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        connection.close()
        raise
    return connection


class PendingInput(Enum):
    """What there is to read on a connection."""

    NOTHING = auto()
    DATA = auto()
    END = auto()
    """The end of the stream, or an error."""


def pending_input(connection: socket.socket) -> PendingInput:
    """What there is to read; reads nothing."""
    if nothing_to_read(connection):
        return PendingInput.NOTHING
    try:
        return PendingInput.DATA if connection.recv(1, MSG_PEEK) else PendingInput.END
    except OSError:
        return PendingInput.END


def nothing_to_read(connection: socket.socket) -> bool:
    """Whether there is neither data nor an end of stream to read, so that the connection can be reused."""
    return not _has_events(connection, select.POLLIN | BROKEN_EVENTS)


def peer_closed(connection: socket.socket) -> bool:
    """Whether the remote side has shut down sending, or the connection is broken."""
    return _has_events(connection, select.POLLRDHUP | BROKEN_EVENTS)


def is_broken(connection: socket.socket) -> bool:
    """Whether the connection was reset or has failed; an end of the remote side's stream does not count."""
    return _has_events(connection, BROKEN_EVENTS)


def receive_before(connection: socket.socket, buffer: Buffer, deadline: float) -> int:
    """Read once into the buffer; returns the number of bytes, 0 at the end of the stream.

    Raises `TimeoutError` once the deadline (in `time.monotonic` seconds) has passed and there is nothing to
    read. Data that arrived in time is read even if this process was suspended past the deadline; in that case
    timeouts fire before the socket is read.
    """
    while True:
        remaining = deadline - time.monotonic()
        if remaining <= 0.0 and nothing_to_read(connection):
            raise TimeoutError("no data received before the deadline")
        connection.settimeout(max(MIN_TIMEOUT, remaining))
        try:
            return buffer.receive(connection)
        except TimeoutError as error:
            raise_if_connection_timed_out(error)


def raise_if_connection_timed_out(error: TimeoutError) -> None:
    """Raise `ConnectionResetError` for the system's ETIMEDOUT, which Python also reports as `TimeoutError`.

    The socket's own timeout has no errno. A connection that the system has timed out is broken for good:
    another read would return the same error again.
    """
    if error.errno is not None:
        raise ConnectionResetError(error.errno, error.strerror) from None


def _has_events(connection: socket.socket, events: int) -> bool:
    poll = select.poll()
    poll.register(connection.fileno(), events)
    return bool(poll.poll(0))
