"""Ports on loopback for servers that are started later."""

import socket
import weakref

HOST = "127.0.0.1"


class PortReservation:
    """A port that the system gives to nobody who asks for any free one, until this object is deleted.

    Its socket is bound and never listens: connections are refused until a server that names the port listens
    on it, as often as it likes. A port that was only free a moment ago may belong to another process by then,
    which answers in the server's place.
    """

    def __init__(self) -> None:
        """Raises `OSError` if no port is free."""
        reserved = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        weakref.finalize(self, reserved.close)
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # or no server could bind the port
        reserved.bind((HOST, 0))
        self.port = int(reserved.getsockname()[1])
