"""A connection's one buffer: grows as it needs, is compacted in place."""

from typing import Protocol

INITIAL = 4096


class Receiver(Protocol):
    """What a buffer reads from: a socket, or a stand-in for one."""

    def recv_into(self, buffer: memoryview, /) -> int: ...


class Buffer:
    """Bytes that came in and are not used yet."""

    def __init__(self) -> None:
        self._data = bytearray(INITIAL)
        self._start = self._end = 0

    def __len__(self) -> int:
        return self._end - self._start

    def receive(self, source: Receiver) -> int:
        """Read once from a socket; returns how many bytes came, 0 at the end."""
        self._make_room()
        with memoryview(self._data) as whole, whole[self._end :] as space:
            count = source.recv_into(space)
        self._end += count
        return count

    def _make_room(self) -> None:
        """Move what is left to the front before growing: a busy connection keeps its size."""
        if self._start:
            left = len(self)
            self._data[:left] = self._data[self._start : self._end]
            self._start, self._end = 0, left
        if self._end == len(self._data):
            self._data.extend(bytes(len(self._data)))

    def line(self) -> int:
        """The length of the first line with its end, 0 while its end has not come."""
        at = self._data.find(b"\n", self._start, self._end)
        return 0 if at < 0 else at + 1 - self._start

    def take(self, size: int) -> bytes:
        """The next bytes, which leave the buffer."""
        taken = bytes(self._data[self._start : self._start + size])
        self._start += len(taken)
        if self._start == self._end:
            self._start = self._end = 0
        return taken
