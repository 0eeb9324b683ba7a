"""Ports that are reserved for servers which are started later."""

import socket
import struct
from errno import EADDRINUSE
from pathlib import Path

import pytest

from irisstack.lab.ports import HOST, PortReservation
from tests.node_support import Node, ScriptedPlatform

IP_LOCAL_PORT_RANGE = 51
"""Linux constant that Python's socket module lacks: the ports to choose from where any will do."""


def any_port_among(port: int) -> int:
    """Bind a socket to any free port with only this one in range; raises `OSError` if it is in use."""
    with socket.socket() as client:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        client.setsockopt(socket.IPPROTO_IP, IP_LOCAL_PORT_RANGE, struct.pack("I", port | port << 16))
        client.bind((HOST, 0))
        return int(client.getsockname()[1])


def test_a_reserved_port_is_given_only_to_servers_that_name_it() -> None:
    reservation = PortReservation()
    for _ in range(2):
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection((HOST, reservation.port))
        with pytest.raises(OSError, match=rf"\[Errno {EADDRINUSE}\]"):
            any_port_among(reservation.port)
        with socket.create_server((HOST, reservation.port)) as server:
            socket.create_connection(server.getsockname()).close()
    port = reservation.port
    del reservation
    assert any_port_among(port) == port


def test_the_port_of_a_node_that_is_not_started_yet_is_given_to_nobody(tmp_path: Path) -> None:
    """A test of another run got the port for its platform, which then answered in the node's place."""
    platform = ScriptedPlatform()
    node = Node(tmp_path, platform)
    with pytest.raises(OSError, match=rf"\[Errno {EADDRINUSE}\]"):
        any_port_among(node.port)
    platform.close()
