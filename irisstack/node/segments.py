"""Numbered files that are appended to, oldest first. An append that fails leaves no trace.

Each segment begins with a head that its owner gives. A part of a failed append is cut off again; where that
fails too the segment is closed, since what followed a torn record would not be read.
"""

import os
from collections.abc import Iterator
from contextlib import suppress
from errno import EIO
from pathlib import Path

from irisstack.node import records

BLOCK_SIZE = 512
"""Files count in whole units of this size."""


class SegmentLog:
    """The segments of a folder; all methods that write raise `OSError`."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._file = -1  # of the newest segment, once it was opened
        self.sizes: dict[int, int] = {}
        self.newest = 0
        self.header = b""
        """What each new segment begins with."""

    def read(self) -> Iterator[tuple[int, records.Fields, bytes]]:
        """All records, each with its segment's number; called once, before anything is written."""
        for path in sorted(self._folder.glob("[0-9]" * 10 + ".log")):
            segment = int(path.stem)
            data = path.read_bytes()
            self.sizes[segment] = len(data)
            self.newest = max(self.newest, segment)
            for note, body in records.decode(data):
                yield segment, note, body

    @property
    def older_segments(self) -> list[int]:
        """The segments before the newest, oldest first."""
        return sorted(self.sizes)[:-1]

    @property
    def newest_size(self) -> int:
        """Bytes in the newest segment."""
        return self.sizes.get(self.newest, 0)

    @property
    def used_bytes(self) -> int:
        """Bytes of the folder in use."""
        return sum(-(-size // BLOCK_SIZE) * BLOCK_SIZE for size in self.sizes.values())

    def open_next(self) -> None:
        """Begin another segment; if that fails, the one before stays."""
        number = self.newest + 1
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND
        file = os.open(self._path(number), flags, 0o600)
        try:
            _write_all(file, self.header)
        except OSError:
            os.close(file)
            with suppress(OSError):
                self._path(number).unlink()
            raise
        self.close()
        self._file, self.newest = file, number
        self.sizes[number] = len(self.header)

    def append(self, data: bytes) -> None:
        """Append to the newest segment, or to another where that one cannot be appended to."""
        if self._file < 0:
            self.open_next()
        size = self.sizes[self.newest]
        try:
            _write_all(self._file, data)
        except OSError:
            self._cut(size)
            raise
        self.sizes[self.newest] = size + len(data)

    def remove(self, segment: int) -> None:
        """Delete a segment."""
        with suppress(FileNotFoundError):
            self._path(segment).unlink()
        del self.sizes[segment]

    def close(self) -> None:
        """Let go of the newest segment; an append begins another."""
        if self._file >= 0:
            with suppress(OSError):
                os.close(self._file)
            self._file = -1

    def _cut(self, size: int) -> None:
        try:
            os.ftruncate(self._file, size)
        except OSError:
            with suppress(OSError):
                self.sizes[self.newest] = os.fstat(self._file).st_size
            self.close()

    def _path(self, segment: int) -> Path:
        return self._folder / f"{segment:010d}.log"


def _write_all(file: int, data: bytes) -> None:
    while data:
        written = os.write(file, data)
        if not written:
            raise OSError(EIO, "nothing was written")
        data = data[written:]
