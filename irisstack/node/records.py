"""The form of a record in the lasting folder: a head (two lengths and a checksum), a JSON note and a body."""

import json
import struct
import zlib
from collections.abc import Iterator
from typing import Any

HEADER = struct.Struct(">III")

Fields = dict[str, Any]


def encode(note: Fields, body: bytes = b"") -> bytes:
    """The bytes of one record."""
    text = json.dumps(note, separators=(",", ":")).encode()
    return HEADER.pack(len(text), len(body), zlib.crc32(body, zlib.crc32(text))) + text + body


def decode(data: bytes) -> Iterator[tuple[Fields, bytes]]:
    """The records of a segment, up to the first that is torn. Zeros are torn too, though their sum fits."""
    at = 0
    while at + HEADER.size <= len(data):
        note_size, body_size, check = HEADER.unpack_from(data, at)
        start = at + HEADER.size
        middle, end = start + note_size, start + note_size + body_size
        if note_size == 0 or end > len(data) or zlib.crc32(data[start:end]) != check:
            return
        yield json.loads(data[start:middle]), data[middle:end]
        at = end
