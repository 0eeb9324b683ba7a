"""Splits a stream of bytes into JSON objects, wherever reads cut it and whatever space is between."""

import re

TOKEN = re.compile(rb'"(?:[^"\\]+|\\.)*(?P<end>"?)|[][{}]', re.DOTALL)
"""A bracket, or a string, whose brackets do not count; a string at the end may be incomplete."""


class JsonObjectStream:
    """Finds the end of each object by its brackets alone; the objects are not parsed."""

    def __init__(self, max_size: int) -> None:
        self._max_size = max_size  # bytes of one object
        self._rest = bytearray()
        self._scanned = 0  # bytes of the rest that were searched for tokens
        self._depth = 0  # open brackets

    @property
    def between_objects(self) -> bool:
        """Whether the stream is between two objects."""
        return not self._depth

    def feed(self, data: bytes) -> list[bytes]:
        """Return the objects completed by these bytes.

        Raises `ValueError` where something other than an object begins, and for an object that is too long.
        """
        self._rest += data
        whole: list[bytes] = []
        start = 0
        while token := TOKEN.search(self._rest, self._scanned):
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
                whole.append(bytes(self._rest[start : self._scanned]).strip())
                start, self._depth = self._scanned, 0
                if not whole[-1].startswith(b"{"):
                    raise ValueError(f"no object: {whole[-1][:40]!r}")
        else:
            self._scanned = len(self._rest)
        del self._rest[:start]
        self._scanned -= start
        if not self._depth:
            if self._rest.strip():
                raise ValueError(f"no object: {bytes(self._rest[:40])!r}")
            self._rest.clear()
            self._scanned = 0
        if len(self._rest) > self._max_size:
            raise ValueError(f"an object of over {self._max_size} bytes")
        return whole
