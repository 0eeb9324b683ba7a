"""A log in numbered segment files, of which only the newest is appended to.

Each segment begins with a header record set by the owner. After a failed append the file is truncated to its
previous size. If that fails too, the segment is closed, since records after a torn one would not be read.
"""

import os
from collections.abc import Iterator
from contextlib import suppress
from errno import EIO
from pathlib import Path

from irisstack.node import records

BLOCK_SIZE = 512
"""Bytes; file sizes are rounded up to a multiple of it."""


class SegmentLog:
    """The segments of a directory; all methods that write raise `OSError`."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._descriptor = -1  # of the newest segment; -1 while it is not open
        self.sizes: dict[int, int] = {}  # in bytes, by segment number
        self.newest = 0  # number of the newest segment
        self.header = b""
        """The record that each new segment begins with."""

    def read(self) -> Iterator[tuple[int, records.Fields, bytes]]:
        """All records, each with the number of its segment; called once, before the first write."""
        for path in sorted(self._directory.glob("[0-9]" * 10 + ".log")):
            segment = int(path.stem)
            data = path.read_bytes()
            self.sizes[segment] = len(data)
            self.newest = max(self.newest, segment)
            for fields, body in records.decode(data):
                yield segment, fields, body

    @property
    def older_segments(self) -> list[int]:
        """Numbers of all segments but the newest, oldest first."""
        return sorted(self.sizes)[:-1]

    @property
    def newest_size(self) -> int:
        """Bytes in the newest segment."""
        return self.sizes.get(self.newest, 0)

    @property
    def used_bytes(self) -> int:
        """Bytes used by all segments."""
        return sum(-(-size // BLOCK_SIZE) * BLOCK_SIZE for size in self.sizes.values())

    def open_next(self) -> None:
        """Open the next segment; if that fails, the previous one stays the newest."""
        number = self.newest + 1
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND
        descriptor = os.open(self._path(number), flags, 0o600)
        try:
            _write_all(descriptor, self.header)
        except OSError:
            os.close(descriptor)
            with suppress(OSError):
                self._path(number).unlink()
            raise
        self.close()
        self._descriptor, self.newest = descriptor, number
        self.sizes[number] = len(self.header)

    def append(self, data: bytes) -> None:
        """Append to the newest segment, or to a new one if that one is closed."""
        if self._descriptor < 0:
            self.open_next()
        size = self.sizes[self.newest]
        try:
            _write_all(self._descriptor, data)
        except OSError:
            self._truncate(size)
            raise
        self.sizes[self.newest] = size + len(data)

    def remove(self, segment: int) -> None:
        """Delete a segment."""
        with suppress(FileNotFoundError):
            self._path(segment).unlink()
        del self.sizes[segment]

    def close(self) -> None:
        """Close the newest segment; the next append opens another."""
        if self._descriptor >= 0:
            with suppress(OSError):
                os.close(self._descriptor)
            self._descriptor = -1

    def _truncate(self, size: int) -> None:
        try:
            os.ftruncate(self._descriptor, size)
        except OSError:
            with suppress(OSError):
                self.sizes[self.newest] = os.fstat(self._descriptor).st_size
            self.close()

    def _path(self, segment: int) -> Path:
        return self._directory / f"{segment:010d}.log"


def _write_all(descriptor: int, data: bytes) -> None:
    while data:
        written = os.write(descriptor, data)
        if not written:
            raise OSError(EIO, "wrote 0 bytes")
        data = data[written:]
