"""JSON objects are extracted from a stream wherever reads split it."""

import json

import pytest

from irisstack.node.objects import JsonObjectStream

OBJECTS = [{"revision": 1, "members": [{"id": 'a}"{[\\', "x": {}}]}, {}, {"é": ['\\"', "]"]}]
LAYOUTS = {
    "one per line": "\n".join(json.dumps(obj) for obj in OBJECTS) + "\n",
    "indented": "\n\n".join(json.dumps(obj, indent=2) for obj in OBJECTS) + "\r\n",
    "without separators": "".join(json.dumps(obj, ensure_ascii=False) for obj in OBJECTS),
}


@pytest.mark.parametrize("text", LAYOUTS.values(), ids=LAYOUTS)
def test_objects_are_complete_however_stream_is_split(text: str) -> None:
    data = text.encode()
    for cut in range(len(data) + 1):
        stream = JsonObjectStream(1000)
        found = stream.feed(data[:cut]) + stream.feed(data[cut:])
        assert [json.loads(obj) for obj in found] == OBJECTS
        assert stream.between_objects
    stream = JsonObjectStream(1000)
    assert [json.loads(obj) for byte in data for obj in stream.feed(bytes([byte]))] == OBJECTS


@pytest.mark.parametrize("data", [b"]", b"[1]", b'"', b"nothing", b"{} x", b"}", b"{" + b" " * 2000])
def test_anything_but_an_object_is_an_error(data: bytes) -> None:
    with pytest.raises(ValueError, match="object"):
        JsonObjectStream(1000).feed(data)


def test_incomplete_object_is_kept_and_invalid_one_is_passed_on() -> None:
    stream = JsonObjectStream(1000)
    assert stream.feed(b'{"a": "}') == []
    assert not stream.between_objects
    assert stream.feed(b'"}{]') == [b'{"a": "}"}', b"{]"]
