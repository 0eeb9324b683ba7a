"""Lines of the endpoint list as the platform writes them, with numbers as long as at the target."""

import json
from typing import Any

ZONES = 8
FIRST_HOST = 10 << 24
PORT = 7070
SEPARATORS = (",", ":")
UP_SINCE_MS = 1_780_000_000_000


def line(number: int, kind: str = "m2") -> dict[str, Any]:
    """The line of an endpoint; its destination has the same number."""
    host = ".".join(str(byte) for byte in (FIRST_HOST + number).to_bytes(4, "big"))
    return {
        "id": f"s-{number:08x}",
        "host_port": f"{host}:{PORT}",
        "locality": f"z{number % ZONES}",
        "flavor": kind,
        "cell": number,
        "phase": "SERVING",
        "size": 2.2,
        "up_since_ms": UP_SINCE_MS,
    }


def whole_list(lines: int, kind: str = "m2") -> dict[str, Any]:
    """A list of so many endpoints."""
    members = [line(number, kind) for number in range(1, lines + 1)]
    return {"revision": 1, "complete": True, "members": members}


def size_of(document: object) -> int:
    """Bytes of a document as the platform writes it."""
    return len(json.dumps(document, separators=SEPARATORS))


LINE_BYTES = size_of(line(99_999)) + 1
"""One line with the comma after it."""
FRAME_BYTES = size_of({"revision": 1_000_000, "complete": False, "members": []}) + 8
"""The object around the lines, its end of line and the frame of a chunk."""
HEAD_BYTES = len("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
REQUEST_BYTES = len("GET /v1/servers?watch=1&from=1000000 HTTP/1.1\r\nHost: 10.0.0.1:8500\r\n\r\n")
BEAT_S = 2.0
"""Seconds between the empty lines of a watch."""
BEAT_BYTES = len("1\r\n\n\r\n")
"""An empty line as a chunk."""
