"""A connection's receive buffer: one byte array that grows on demand and is compacted in place."""

from typing import Protocol

INITIAL_SIZE = 4096
"""Initial size of a buffer in bytes."""


class ByteSource(Protocol):
    """A source of bytes: a socket, or a test double."""

    def recv_into(self, buffer: memoryview, /) -> int: ...


class Buffer:
    """Bytes that have been received and not consumed yet."""

    def __init__(self) -> None:
        self._data = bytearray(INITIAL_SIZE)
        self._start = self._end = 0

    def __len__(self) -> int:
        return self._end - self._start

    def receive(self, source: ByteSource) -> int:
        """Read once; returns the number of bytes, 0 at the end of the stream. Raises `OSError`."""
        self._make_room()
        with memoryview(self._data) as view, view[self._end :] as space:
            count = source.recv_into(space)
        self._end += count
        return count

    def _make_room(self) -> None:
        """Move unread bytes to the front; double the array if it is still full."""
        if self._start:
            unread = len(self)
            self._data[:unread] = self._data[self._start : self._end]
            self._start, self._end = 0, unread
        if self._end == len(self._data):
            self._data.extend(bytes(len(self._data)))

    def peek(self, size: int) -> bytes:
        """The next bytes, at most `size`, without removing them."""
        return bytes(self._data[self._start : min(self._start + size, self._end)])

    def line_length(self) -> int:
        """Length of the first line including its line feed; 0 if the buffer holds no line feed."""
        position = self._data.find(b"\n", self._start, self._end)
        return 0 if position < 0 else position + 1 - self._start

    def paragraph_length(self) -> int:
        """Length up to and including the first empty line; 0 if the buffer holds none.

        The first line counts as empty if it has only its end: the line before it may have been taken.
        """
        if self.peek(2).startswith((b"\n", b"\r\n")):
            return self.line_length()
        ends = [
            position + len(empty_line) - self._start
            for empty_line in (b"\n\r\n", b"\n\n")
            if (position := self._data.find(empty_line, self._start, self._end)) >= 0
        ]
        return min(ends, default=0)

    def take(self, size: int) -> bytes:
        """Remove and return the next bytes, at most `size`."""
        data = bytes(self._data[self._start : self._start + size])
        self._start += len(data)
        if self._start == self._end:
            self._start = self._end = 0
        return data
