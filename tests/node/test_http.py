"""Messages are parsed alike however they arrive, and an incomplete one takes up little more than its size."""

import gc
import tracemalloc
import weakref

import pytest

from irisstack.node import http
from irisstack.node.buffer import Buffer
from tests.node.hostile_clients import HEAD, short_fields

KEPT = ("x-request-id",)
REQUESTS = (
    b"\r\n\r\nPOST /a HTTP/1.1\r\nX-Other: 1\r\nX-Request-ID: m1\r\nContent-Length: 6\r\n\r\na\r\n\r\nb"
    b"POST /b HTTP/1.1\r\nX-Request-ID: m2\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\na\nb\r\n2;x=y\r\n\r\n\r\n0\r\nX-Trailer: 1\r\n\r\n"
    b"GET /c HTTP/1.1\r\nX-Request-ID: m3\r\n\r\n"
)
EXPECTED = [
    ("/a", {"x-request-id": "m1", "content-length": "6"}, b"a\r\n\r\nb"),
    ("/b", {"x-request-id": "m2", "transfer-encoding": "chunked"}, b"a\nb\r\n"),
    ("/c", {"x-request-id": "m3"}, b""),
]


class Pieces:
    """A fake socket that delivers its pieces one by one."""

    def __init__(self, *pieces: bytes) -> None:
        self._pieces = [piece for piece in pieces if piece]

    def recv_into(self, buffer: memoryview, /) -> int:
        if not self._pieces:
            return 0
        data = self._pieces.pop(0)
        buffer[: len(data)] = data
        return len(data)


def parse(reader: http.RequestReader, source: Pieces) -> list[http.Message]:
    buffer, found = Buffer(), []
    while buffer.receive(source):
        while (request := reader.advance(buffer)) is not None:
            found.append(request)
    return found


@pytest.mark.parametrize("line_end", [b"\r\n", b"\n"], ids=["CRLF", "LF"])
def test_pipelined_requests_are_told_apart_wherever_they_are_split(line_end: bytes) -> None:
    data = REQUESTS if line_end == b"\r\n" else b"\n" + REQUESTS
    for split in range(len(data) + 1):
        found = parse(http.RequestReader(KEPT), Pieces(data[:split], data[split:]))
        assert [(each.path, each.headers, bytes(each.body)) for each in found] == EXPECTED, split
    assert len(parse(http.RequestReader(KEPT), Pieces(*(data[i : i + 1] for i in range(len(data)))))) == 3


def test_a_head_of_many_short_fields_takes_up_little_memory() -> None:
    data = short_fields()
    pieces = Pieces(*(data[start : start + 1000] for start in range(0, len(data), 1000)))
    tracemalloc.start()
    reader = http.RequestReader(KEPT)
    before, _ = tracemalloc.get_traced_memory()
    assert parse(reader, pieces) == []
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert after - before < 2 * http.MAX_HEAD


@pytest.mark.parametrize(
    "framing",
    [b"1;%s", b"1\r\na\r\n0\r\nX-Trailer: %s", b"1\r\na\r\n0\r\n%s"],
    ids=["chunk extension", "trailer", "many trailers"],
)
def test_framing_of_a_chunked_body_is_limited_as_a_head_is(framing: bytes) -> None:
    filler = b"X: 1\r\n" * http.MAX_HEAD if b"\r\n0\r\n%s" in framing else b"x" * 2 * http.MAX_HEAD
    data = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + framing % filler
    pieces = Pieces(*(data[start : start + 1000] for start in range(0, len(data), 1000)))
    with pytest.raises(http.BadMessage, match="a line is too long"):
        parse(http.RequestReader(KEPT), pieces)


@pytest.mark.parametrize(
    "data",
    [short_fields(4_000), HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\na\r\n" * 600],
    ids=["short fields", "small chunks"],
)
def test_many_short_lines_are_parsed_together(monkeypatch: pytest.MonkeyPatch, data: bytes) -> None:
    """Parsed one by one, those of one client take the time of all others."""
    sizes: list[int] = []
    take = Buffer.take

    def record_take(buffer: Buffer, size: int) -> bytes:
        sizes.append(size)
        return take(buffer, size)

    monkeypatch.setattr(Buffer, "take", record_take)
    assert parse(http.RequestReader(KEPT), Pieces(data)) == []
    assert len(sizes) <= 3


def test_a_status_line_in_a_header_that_is_not_kept_is_noticed() -> None:
    reader, buffer = http.ResponseReader(kept_headers=KEPT), Buffer()
    buffer.receive(Pieces(b"HTTP/1.1 200 OK\r\nX-Cut: aHTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"))
    response = reader.advance(buffer)
    assert response is not None
    assert response.status_line_in_headers
    assert response.headers == {"content-length": "0"}


@pytest.mark.parametrize("data", [HEAD, HEAD + b"Content-Length: 9\r\n\r\nhalf"], ids=["head", "body"])
def test_an_incomplete_request_is_freed_without_a_garbage_collection(data: bytes) -> None:
    gc.disable()
    try:
        reader = http.RequestReader(KEPT)
        assert parse(reader, Pieces(data)) == []
        freed = weakref.ref(reader)
        reader.reset()
        del reader
        assert freed() is None
    finally:
        gc.enable()


def test_a_reader_between_two_requests_is_freed_without_a_garbage_collection() -> None:
    gc.disable()
    try:
        reader = http.RequestReader(KEPT)
        assert len(parse(reader, Pieces(REQUESTS))) == len(EXPECTED)
        freed = weakref.ref(reader)
        del reader
        assert freed() is None
    finally:
        gc.enable()
