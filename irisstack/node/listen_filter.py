"""Blocks new connections to a listening socket while those in its backlog can still be accepted.

Closing a listening socket resets the connections in its backlog, and one may arrive between the last accept
and the close. A socket filter that drops the opening segment of each new connection closes that gap: the
client's TCP sends the segment again a second later and is then refused. See `SO_ATTACH_FILTER` in socket(7).
"""

import socket
import struct
from array import array
from contextlib import suppress

SO_ATTACH_FILTER = 26
"""Linux constant that Python's socket module lacks."""
_INSTRUCTION = struct.Struct("HBBI")
_PROGRAM = struct.Struct("HL")
_FLAGS_OFFSET = 13
"""Offset of the flags in a TCP header, in bytes."""
_SYN, _ACK = 0x02, 0x10
_LOAD_BYTE, _AND, _JUMP_IF_EQUAL, _RETURN = 0x30, 0x54, 0x15, 0x06
_DROP, _ACCEPT = 0, 0xFFFFFFFF
_DROP_SYN_PROGRAM = (
    (_LOAD_BYTE, 0, 0, _FLAGS_OFFSET),
    (_AND, 0, 0, _SYN | _ACK),
    (_JUMP_IF_EQUAL, 0, 1, _SYN),
    (_RETURN, 0, 0, _DROP),
    (_RETURN, 0, 0, _ACCEPT),
)
"""Classic BPF program: drops segments with SYN and without ACK, accepts all others."""


def drop_new_connections(listener: socket.socket) -> None:
    """Drop the segments that open a connection; does nothing if the system has no such filter."""
    code = array("B", b"".join(_INSTRUCTION.pack(*instruction) for instruction in _DROP_SYN_PROGRAM))
    address, _ = code.buffer_info()
    program = _PROGRAM.pack(len(_DROP_SYN_PROGRAM), address)
    with suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
