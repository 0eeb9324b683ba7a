"""The receive buffer of a connection: one byte array that grows on demand and is compacted in place."""

from typing import Protocol

INITIAL_SIZE = 4096
"""Bytes."""


class ByteSource(Protocol):
    """A source of bytes: a socket, or a stand-in for one."""

    def recv_into(self, buffer: memoryview, /) -> int: ...


class Buffer:
    """Bytes that were received and not consumed yet."""

    def __init__(self) -> None:
        self._data = bytearray(INITIAL_SIZE)
        self._start = self._end = 0

    def __len__(self) -> int:
        return self._end - self._start

    def receive(self, source: ByteSource) -> int:
        """Read once; returns the number of bytes, 0 at the end of the stream. Raises `OSError`."""
        self._make_room()
        with memoryview(self._data) as whole, whole[self._end :] as space:
            count = source.recv_into(space)
        self._end += count
        return count

    def _make_room(self) -> None:
        """Move unread bytes to the front, and grow only if the array is still full."""
        if self._start:
            left = len(self)
            self._data[:left] = self._data[self._start : self._end]
            self._start, self._end = 0, left
        if self._end == len(self._data):
            self._data.extend(bytes(len(self._data)))

    def line_length(self) -> int:
        """The length of the first line with its line feed; 0 while there is no line feed."""
        at = self._data.find(b"\n", self._start, self._end)
        return 0 if at < 0 else at + 1 - self._start

    def take(self, size: int) -> bytes:
        """Remove and return the next bytes, at most `size`."""
        taken = bytes(self._data[self._start : self._start + size])
        self._start += len(taken)
        if self._start == self._end:
            self._start = self._end = 0
        return taken
