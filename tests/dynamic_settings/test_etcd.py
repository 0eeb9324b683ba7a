"""Codec of etcd's JSON gateway: valid, malformed and truncated bytes."""

import base64
import json
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from irisstack.dynamic_settings import etcd
from irisstack.dynamic_settings.etcd import ErrorKind, EventType, GatewayError
from tests.dynamic_settings.support import PREFIX, Change, encode_base64, frame_with_changes

RANGE_RESPONSE = {
    "header": {"cluster_id": "14841639068965178418", "member_id": "10276657743932975437", "revision": "57"},
    "kvs": [
        {
            "key": encode_base64(b"a"),
            "create_revision": "2",
            "mod_revision": "57",
            "value": encode_base64(b"{}"),
        },
        {"key": encode_base64(b"b"), "mod_revision": 3, "lease": "1"},
    ],
    "more": True,
    "count": "12",
    "a_field_of_a_later_version": {"x": [1]},
}


def test_a_range_request_omits_default_values() -> None:
    assert json.loads(etcd.RangeRequest(b"a/", b"a0").body()) == {
        "key": encode_base64(b"a/"),
        "range_end": encode_base64(b"a0"),
    }


def test_a_range_request_has_integers_as_strings_and_enums_by_name() -> None:
    body = etcd.RangeRequest(
        b"a/", b"a0", revision=2**53 + 1, limit=1, newest_first=True, keys_only=True
    ).body()
    assert json.loads(body) == {
        "key": encode_base64(b"a/"),
        "range_end": encode_base64(b"a0"),
        "revision": "9007199254740993",
        "limit": "1",
        "sort_order": "DESCEND",
        "sort_target": "MOD",
        "keys_only": True,
    }


def test_a_watch_request_is_a_create_request() -> None:
    assert json.loads(etcd.WatchRequest(b"a/", b"a0", 58).body()) == {
        "create_request": {
            "key": encode_base64(b"a/"),
            "range_end": encode_base64(b"a0"),
            "start_revision": "58",
        }
    }


@pytest.mark.parametrize(
    ("prefix", "end"),
    [(b"/s/", b"/s0"), (b"a\xff", b"b"), (b"\xff\xff", b"\0"), (b"", b"\0")],
)
def test_prefix_range_end(prefix: bytes, end: bytes) -> None:
    assert etcd.prefix_range_end(prefix) == end


def test_a_range_response_is_parsed_and_unknown_fields_are_ignored() -> None:
    response = etcd.parse_range_response(200, json.dumps(RANGE_RESPONSE).encode())
    assert response.header == etcd.ResponseHeader(14841639068965178418, 10276657743932975437, 57)
    assert response.items == (etcd.KeyValue(b"a", b"{}", 57), etcd.KeyValue(b"b", b"", 3))
    assert response.more
    assert response.count == 12


def test_omitted_fields_have_their_defaults() -> None:
    response = etcd.parse_range_response(200, b'{"header": {"revision": "1"}}')
    assert (response.items, response.more, response.count) == ((), False, 0)


def test_a_watch_frame_is_parsed() -> None:
    frame = frame_with_changes([(5, [Change(b"a", b"1"), Change(b"b", None)])], 9)
    response = etcd.parse_watch_response(frame)
    assert response.header.revision == 9
    assert [(e.type, e.item.key, e.item.value, e.item.mod_revision) for e in response.events] == [
        (EventType.PUT, b"a", b"1", 5),
        (EventType.DELETE, b"b", b"", 5),
    ]


def test_a_canceled_watch_reports_the_compact_revision() -> None:
    header = {"cluster_id": "1", "member_id": "2", "raft_term": "2"}  # no revision, as in etcd
    result = {"header": header, "canceled": True, "compact_revision": "7", "cancel_reason": "old\nnews"}
    response = etcd.parse_watch_response(json.dumps({"result": result}).encode())
    assert (response.canceled, response.compact_revision, response.cancel_reason) == (True, 7, "old?news")


COMPACTED = "etcdserver: mvcc: required revision has been compacted"
FUTURE = "etcdserver: mvcc: required revision is a future revision"
ERRORS: dict[str, tuple[int, Any, ErrorKind, str]] = {
    "compacted": (
        400,
        {"error": COMPACTED, "code": 11, "message": COMPACTED},
        ErrorKind.COMPACTED,
        COMPACTED,
    ),
    "compacted, later version": (
        400,
        {"code": 11, "message": COMPACTED, "details": []},
        ErrorKind.COMPACTED,
        COMPACTED,
    ),
    "future revision": (400, {"error": FUTURE, "code": 11}, ErrorKind.REFUSED, FUTURE),
    "no leader": (
        503,
        {"code": 14, "message": "etcdserver: no leader"},
        ErrorKind.REFUSED,
        "etcdserver: no leader",
    ),
    "only a status": (500, {}, ErrorKind.REFUSED, "status 500"),
    "two lines": (500, {"message": "a\r\nb"}, ErrorKind.REFUSED, "a??b"),
    "an error that is a list": (500, {"error": [1]}, ErrorKind.REFUSED, "list"),
}


@pytest.mark.parametrize(("status", "raw", "kind", "reason"), ERRORS.values(), ids=ERRORS)
def test_an_error_response_becomes_one_line(status: int, raw: Any, kind: ErrorKind, reason: str) -> None:
    with pytest.raises(GatewayError) as caught:
        etcd.parse_range_response(status, json.dumps(raw).encode())
    assert (caught.value.kind, str(caught.value)) == (kind, reason)


def test_an_error_in_a_watch_stream_is_raised() -> None:
    raw = {"error": {"grpc_code": 14, "http_code": 503, "message": "etcdserver: no leader"}}
    with pytest.raises(GatewayError, match=r"^etcdserver: no leader$"):
        etcd.parse_watch_response(json.dumps(raw).encode())


def test_a_watch_error_without_json_reports_the_status() -> None:
    assert str(etcd.parse_watch_error(502, b"<html>")) == "status 502"


BAD_RESPONSES = {
    "truncated": b'{"header": {"rev',
    "not an object": b"[]",
    "not UTF-8": b'{"header": "\xff"}',
    "nested too deeply": b'{"header":' + b"[" * 100_000,
    "no header": b"{}",
    "header of another type": b'{"header": 3}',
    "no revision": b'{"header": {}}',
    "revision over 64 bits": b'{"header": {"revision": "9223372036854775808"}}',
    "revision of many digits": b'{"header": {"revision": ' + b"9" * 10_000 + b"}}",
    "revision as a word": b'{"header": {"revision": "seven"}}',
    "revision in non-ASCII digits": '{"header": {"revision": "\u0663"}}'.encode(),
    "negative revision": b'{"header": {"revision": -1}}',
    "boolean revision": b'{"header": {"revision": true}}',
    "kvs not a list": b'{"header": {"revision": 1}, "kvs": {}}',
    "kv not an object": b'{"header": {"revision": 1}, "kvs": [1]}',
    "key not base64": b'{"header": {"revision": 1}, "kvs": [{"key": "%"}]}',
    "key of another type": b'{"header": {"revision": 1}, "kvs": [{"key": 1}]}',
    "more not a boolean": b'{"header": {"revision": 1}, "more": "yes"}',
    "nested list instead of an integer": b'{"header": {"revision": ' + b"[" * 500 + b"]" * 500 + b"}}",
}


@pytest.mark.parametrize("body", BAD_RESPONSES.values(), ids=BAD_RESPONSES)
def test_a_malformed_response_is_reported_in_one_line(body: bytes) -> None:
    with pytest.raises(GatewayError) as caught:
        etcd.parse_range_response(200, body)
    assert caught.value.kind is ErrorKind.MALFORMED
    assert str(caught.value).isprintable()
    assert len(str(caught.value)) < 250


@pytest.mark.parametrize(
    "events",
    ['{"a": 1}', "[1]", "[{}]", '[{"type": "MOVE", "kv": {}}]', '[{"type": [], "kv": {}}]', '[{"kv": []}]'],
)
def test_a_malformed_frame_is_reported(events: str) -> None:
    frame = f'{{"result": {{"header": {{"revision": "2"}}, "events": {events}}}}}'
    with pytest.raises(GatewayError) as caught:
        etcd.parse_watch_response(frame.encode())
    assert caught.value.kind is ErrorKind.MALFORMED


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner, max_size=3),
    max_leaves=6,
)
FIELDS = ("header", "revision", "cluster_id", "kvs", "key", "value", "mod_revision", "more", "count", "error")
FRAME_FIELDS = (
    "result",
    "events",
    "type",
    "kv",
    "canceled",
    "compact_revision",
    "created",
    "message",
    "code",
)


def error_text(read: Callable[[bytes], object], body: bytes) -> str:
    """The text of the `GatewayError`, empty if there is none; any other error fails the test."""
    try:
        read(body)
    except GatewayError as error:
        return str(error)
    return ""


def corrupted(raw: Any, data: st.DataObject) -> Any:
    """The value with a random part of it replaced."""
    if isinstance(raw, dict) and raw and data.draw(st.booleans()):
        key = data.draw(st.sampled_from(sorted(raw)))
        return {**raw, key: corrupted(raw[key], data)}
    if isinstance(raw, list) and raw and data.draw(st.booleans()):
        return [corrupted(raw[0], data), *raw[1:]]
    fields = st.dictionaries(st.sampled_from(FIELDS + FRAME_FIELDS), JSON_VALUES, max_size=3)
    return data.draw(JSON_VALUES | fields)


@settings(max_examples=300, deadline=None)
@given(st.data())
def test_corrupted_json_yields_a_message_or_a_gateway_error(data: st.DataObject) -> None:
    frame = json.loads(frame_with_changes([(5, [Change(PREFIX + b"a", b"1"), Change(PREFIX, None)])], 9))
    for read, raw in (
        (etcd.parse_watch_response, frame),
        (lambda b: etcd.parse_range_response(200, b), RANGE_RESPONSE),
    ):
        body = json.dumps(corrupted(raw, data)).encode()
        body = body[: data.draw(st.integers(0, len(body)))] if data.draw(st.booleans()) else body
        assert error_text(read, body).isprintable()


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=200), st.integers(0, 999))
def test_arbitrary_bytes_yield_a_message_or_a_gateway_error(body: bytes, status: int) -> None:
    etcd.parse_watch_error(status, body)
    for read in (lambda b: etcd.parse_range_response(status, b), etcd.parse_watch_response):
        assert error_text(read, body).isprintable()


def test_keys_use_the_standard_base64_alphabet() -> None:
    key = bytes(range(256))
    body = json.loads(etcd.RangeRequest(key, b"").body())
    assert base64.standard_b64decode(body["key"]) == key
