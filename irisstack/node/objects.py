"""Splits a byte stream into JSON objects, independent of read boundaries and of the space between objects."""

import re

TOKEN = re.compile(rb'"(?:[^"\\]+|\\.)*(?P<end>"?)|[][{}]', re.DOTALL)
"""A bracket, or a string, whose brackets do not count; a string at the end of the data may be incomplete."""


class JsonObjectStream:
    """Finds the end of each object by counting brackets; the objects are not parsed."""

    def __init__(self, max_size: int) -> None:
        self._max_size = max_size  # maximum bytes of one object
        self._buffer = bytearray()
        self._scanned = 0  # bytes of the buffer that have been searched for tokens
        self._depth = 0  # open brackets

    @property
    def between_objects(self) -> bool:
        """Whether the stream is between two objects."""
        return not self._depth

    def feed(self, data: bytes) -> list[bytes]:
        """Return the objects completed by these bytes.

        Raises `ValueError` for anything other than an object, and for an object that is too long.
        """
        self._buffer += data
        objects: list[bytes] = []
        start = 0
        while token := TOKEN.search(self._buffer, self._scanned):
            if token[0].startswith(b'"'):
                if not token["end"]:
                    self._scanned = token.start()
                    break
            elif token[0] in b"{[":
                self._depth += 1
            else:
                self._depth -= 1
            self._scanned = token.end()
            if self._depth <= 0:
                objects.append(bytes(self._buffer[start : self._scanned]).strip())
                start, self._depth = self._scanned, 0
                if not objects[-1].startswith(b"{"):
                    raise ValueError(f"expected a JSON object, got {objects[-1][:40]!r}")
        else:
            self._scanned = len(self._buffer)
        del self._buffer[:start]
        self._scanned -= start
        if not self._depth:
            if self._buffer.strip():
                raise ValueError(f"expected a JSON object, got {bytes(self._buffer[:40])!r}")
            self._buffer.clear()
            self._scanned = 0
        if len(self._buffer) > self._max_size:
            raise ValueError(f"object exceeds {self._max_size} bytes")
        return objects
