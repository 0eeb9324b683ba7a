"""Objects out of a stream, wherever it is cut."""

import json

import pytest

from irisstack.node.objects import JsonObjectStream

OBJECTS = [{"revision": 1, "members": [{"id": 'a}"{[\\', "x": {}}]}, {}, {"é": ['\\"', "]"]}]
LAYOUTS = {
    "a line each": "\n".join(json.dumps(each) for each in OBJECTS) + "\n",
    "indented": "\n\n".join(json.dumps(each, indent=2) for each in OBJECTS) + "\r\n",
    "without a gap": "".join(json.dumps(each, ensure_ascii=False) for each in OBJECTS),
}


@pytest.mark.parametrize("text", LAYOUTS.values(), ids=LAYOUTS)
def test_each_object_comes_whole_however_the_stream_is_cut(text: str) -> None:
    data = text.encode()
    for cut in range(len(data) + 1):
        stream = JsonObjectStream(1000)
        found = stream.feed(data[:cut]) + stream.feed(data[cut:])
        assert [json.loads(each) for each in found] == OBJECTS
        assert stream.between_objects
    stream = JsonObjectStream(1000)
    assert [json.loads(each) for byte in data for each in stream.feed(bytes([byte]))] == OBJECTS


@pytest.mark.parametrize("data", [b"]", b"[1]", b'"', b"nothing", b"{} x", b"}", b"{" + b" " * 2000])
def test_what_begins_no_object_is_an_error(data: bytes) -> None:
    with pytest.raises(ValueError, match="object"):
        JsonObjectStream(1000).feed(data)


def test_a_cut_object_is_under_way_and_spoilt_ones_are_the_readers_to_judge() -> None:
    stream = JsonObjectStream(1000)
    assert stream.feed(b'{"a": "}') == []
    assert not stream.between_objects
    assert stream.feed(b'"}{]') == [b'{"a": "}"}', b"{]"]
