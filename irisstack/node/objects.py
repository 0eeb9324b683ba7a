"""JSON objects out of a stream of bytes, wherever it is cut and however they are laid out."""

import re

TOKEN = re.compile(rb'"(?:[^"\\]+|\\.)*(?P<end>"?)|[][{}]', re.DOTALL)
"""What opens or closes something, and strings, in which no bracket counts; the last may not be whole yet."""


class ObjectStream:
    """Cuts out each object once it is whole; what stands in it is the reader's to judge."""

    def __init__(self, most: int) -> None:
        self._most = most  # bytes of one object
        self._rest = bytearray()
        self._looked = 0  # so far the rest has been looked through
        self._depth = 0

    @property
    def between(self) -> bool:
        """Whether no object is under way."""
        return not self._depth

    def feed(self, data: bytes) -> list[bytes]:
        """The objects that are whole with these bytes; raises `ValueError` at what begins none."""
        self._rest += data
        whole: list[bytes] = []
        start = 0
        while token := TOKEN.search(self._rest, self._looked):
            if token[0].startswith(b'"'):
                if not token["end"]:
                    self._looked = token.start()
                    break
            elif token[0] in b"{[":
                self._depth += 1
            else:
                self._depth -= 1
            self._looked = token.end()
            if self._depth <= 0:
                whole.append(bytes(self._rest[start : self._looked]).strip())
                start, self._depth = self._looked, 0
                if not whole[-1].startswith(b"{"):
                    raise ValueError(f"no object: {whole[-1][:40]!r}")
        else:
            self._looked = len(self._rest)
        del self._rest[:start]
        self._looked -= start
        if not self._depth:
            if self._rest.strip():
                raise ValueError(f"no object: {bytes(self._rest[:40])!r}")
            self._rest.clear()
            self._looked = 0
        if len(self._rest) > self._most:
            raise ValueError(f"an object of over {self._most} bytes")
        return whole
