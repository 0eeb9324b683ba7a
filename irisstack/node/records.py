"""The format of a stored record: a header (two lengths and a checksum), fields in JSON, and a body."""

import json
import struct
import zlib
from collections.abc import Iterator
from typing import Any

HEADER = struct.Struct(">III")

Fields = dict[str, Any]


def encode(fields: Fields, body: bytes = b"") -> bytes:
    """The bytes of one record."""
    text = json.dumps(fields, separators=(",", ":")).encode()
    return HEADER.pack(len(text), len(body), zlib.crc32(body, zlib.crc32(text))) + text + body


def decode(data: bytes) -> Iterator[tuple[Fields, bytes]]:
    """The records of a segment, up to the first torn one.

    A header of zeros counts as torn, although its checksum matches.
    """
    position = 0
    while position + HEADER.size <= len(data):
        fields_size, body_size, checksum = HEADER.unpack_from(data, position)
        start = position + HEADER.size
        body_start, end = start + fields_size, start + fields_size + body_size
        if fields_size == 0 or end > len(data) or zlib.crc32(data[start:end]) != checksum:
            return
        yield json.loads(data[start:body_start]), data[body_start:end]
        position = end
