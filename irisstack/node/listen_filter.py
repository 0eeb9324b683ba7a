"""Has a listening socket let nobody in any more, while what it has let in can still be accepted.

Closing a listening socket resets the connections that wait in its backlog, and one may come between the last
accept and the close. A socket filter that drops what would begin a connection closes that gap: the client's
system tries again a second later and is refused. `SO_ATTACH_FILTER` in socket(7) tells of such filters.
"""

import socket
import struct
from array import array
from contextlib import suppress

SO_ATTACH_FILTER = 26
"""Of Linux; Python's socket module does not name it."""
_INSTRUCTION = struct.Struct("HBBI")
_PROGRAM = struct.Struct("HL")
_FLAGS_OFFSET = 13
"""Byte of a TCP header that holds its flags."""
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
"""Drops segments with SYN and without ACK, passes all others."""


def drop_new_connections(listener: socket.socket) -> None:
    """Drop what would begin a connection; where the system has no such filter nothing changes."""
    code = array("B", b"".join(_INSTRUCTION.pack(*instruction) for instruction in _DROP_SYN_PROGRAM))
    address, _ = code.buffer_info()
    program = _PROGRAM.pack(len(_DROP_SYN_PROGRAM), address)
    with suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
