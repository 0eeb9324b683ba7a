"""What connections to endpoints, clients and the platform have in common."""

import select

from gevent import socket

from irisstack.node.config import HostPort

BROKEN = select.POLLHUP | select.POLLERR


def connect(peer: HostPort, timeout: float) -> socket.socket:
    """A new connection; small messages leave at once."""
    connection = socket.create_connection(peer, timeout=timeout)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def quiet(connection: socket.socket) -> bool:
    """Whether nothing, not even an end, waits to be read: such a connection may be used again."""
    return not _shows(connection, select.POLLIN | BROKEN)


def left(connection: socket.socket) -> bool:
    """Whether the other side has ended its sending."""
    return _shows(connection, select.POLLRDHUP | BROKEN)


def _shows(connection: socket.socket, events: int) -> bool:
    poll = select.poll()
    poll.register(connection.fileno(), events)
    return bool(poll.poll(0))
