"""The part of etcd's published v3 JSON gateway that dynamic settings use, without sockets.

Requests become the JSON body of a POST; answers and the frames of a watch become typed messages. In this JSON
keys and values are base64, 64-bit integers are strings, and a field that holds its default is left out.

Whatever a member sends, the functions here return a message or raise `GatewayError`, and nothing else.
"""

import base64
import binascii
import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum, auto
from http import HTTPStatus
from typing import Any

RANGE_PATH = "/v3/kv/range"
TXN_PATH = "/v3/kv/txn"
WATCH_PATH = "/v3/watch"

MAX_INT64 = 2**63 - 1
MAX_UINT64 = 2**64 - 1
MAX_QUOTED_CHARACTERS = 120
"""How much of a text that a member sent is repeated in an error."""
COMPACTED_MESSAGE = "required revision has been compacted"


class ErrorKind(Enum):
    """What an error of the gateway means to the one that asked."""

    COMPACTED = auto()
    """The revision asked for is no longer in the history."""
    REFUSED = auto()
    """The member answered that it can't do what was asked: no leader, no quorum, too many requests."""
    MALFORMED = auto()
    """What came is not what the gateway's interface allows."""


class GatewayError(Exception):
    """An answer that is none; the text is one line."""

    def __init__(self, kind: ErrorKind, reason: str) -> None:
        super().__init__(reason)
        self.kind = kind


class GrpcCode(IntEnum):
    """The status codes of gRPC that matter here."""

    OUT_OF_RANGE = 11


class EventType(Enum):
    """What happened to a key."""

    PUT = "PUT"
    DELETE = "DELETE"


@dataclass(slots=True, frozen=True)
class ResponseHeader:
    """Who answered, and the revision of the whole store at that time."""

    cluster_id: int
    member_id: int
    revision: int


@dataclass(slots=True, frozen=True)
class KeyValue:
    """A key as of the revision that changed it last; the value is empty where keys alone were asked for."""

    key: bytes
    value: bytes
    mod_revision: int


@dataclass(slots=True, frozen=True)
class WatchEvent:
    """One change of one key; of a deletion the value is empty."""

    type: EventType
    item: KeyValue


@dataclass(slots=True, frozen=True)
class RangeRequest:
    """Asks for the keys from `key` up to but without `range_end`; always linearizable."""

    key: bytes
    range_end: bytes
    revision: int = 0
    """The revision to read at; 0 for the newest."""
    limit: int = 0
    """Most keys of the answer; 0 for all."""
    newest_first: bool = False
    """Sorted by the revision of the last change, the newest first."""
    keys_only: bool = False

    def body(self) -> bytes:
        fields: dict[str, Any] = {
            "key": _encode_base64(self.key),
            "range_end": _encode_base64(self.range_end),
        }
        if self.revision:
            fields["revision"] = str(self.revision)
        if self.limit:
            fields["limit"] = str(self.limit)
        if self.newest_first:
            fields["sort_order"] = "DESCEND"
            fields["sort_target"] = "MOD"
        if self.keys_only:
            fields["keys_only"] = True
        return _encode_json(fields)


@dataclass(slots=True, frozen=True)
class RangeResponse:
    """The keys of one page; `count` is the number of keys in the whole range."""

    header: ResponseHeader
    items: tuple[KeyValue, ...]
    more: bool
    count: int


@dataclass(slots=True, frozen=True)
class TxnRequest:
    """Changes keys of a range in one revision, unless a key of the range has changed since another one."""

    key: bytes
    range_end: bytes
    unchanged_since: int
    """The revision behind which no key of the range may have changed."""
    expected_revisions: Mapping[bytes, int]
    """Keys that must still have the revision of their last change: a deletion shows in no other way."""
    puts: Mapping[bytes, bytes]
    deletes: Sequence[bytes]

    def body(self) -> bytes:
        no_later_change = _compare(self.key, "LESS", self.unchanged_since + 1)
        no_later_change["range_end"] = _encode_base64(self.range_end)
        compares = [_compare(key, "EQUAL", revision) for key, revision in self.expected_revisions.items()]
        puts = [
            {"request_put": {"key": _encode_base64(key), "value": _encode_base64(value)}}
            for key, value in self.puts.items()
        ]
        deletes = [{"request_delete_range": {"key": _encode_base64(key)}} for key in self.deletes]
        return _encode_json({"compare": [no_later_change, *compares], "success": [*puts, *deletes]})


@dataclass(slots=True, frozen=True)
class TxnResponse:
    """Whether a transaction's conditions held; if so, its revision is the header's."""

    header: ResponseHeader
    succeeded: bool


@dataclass(slots=True, frozen=True)
class WatchRequest:
    """Asks for each change of the range from a revision on."""

    key: bytes
    range_end: bytes
    start_revision: int

    def body(self) -> bytes:
        fields = {
            "key": _encode_base64(self.key),
            "range_end": _encode_base64(self.range_end),
            "start_revision": str(self.start_revision),
        }
        return _encode_json({"create_request": fields})


@dataclass(slots=True, frozen=True)
class WatchResponse:
    """One frame of a watch. A member never splits a revision over two frames unless asked to."""

    header: ResponseHeader
    events: tuple[WatchEvent, ...] = ()
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    """Of a watch that was canceled: the oldest revision that the history holds, 0 if that is not why."""
    cancel_reason: str = ""


def prefix_range_end(prefix: bytes) -> bytes:
    """The first key behind all that begin with the prefix; a zero byte stands for the end of all keys."""
    for index in range(len(prefix) - 1, -1, -1):
        if prefix[index] < 0xFF:
            return prefix[:index] + bytes([prefix[index] + 1])
    return b"\0"


def key_after(key: bytes) -> bytes:
    """The first key behind this one."""
    return key + b"\0"


def parse_range_response(status: int, body: bytes) -> RangeResponse:
    """The answer to a `RangeRequest`; raises `GatewayError`."""
    raw = _parse_object(body)
    if status != HTTPStatus.OK or "error" in raw:
        raise _to_error(raw, status)
    return RangeResponse(
        header=_parse_header(raw),
        items=tuple(_parse_key_value(item, f"kvs[{i}]") for i, item in enumerate(_get_list(raw, "kvs"))),
        more=_get_bool(raw, "more"),
        count=_get_integer(raw, "count"),
    )


def parse_txn_response(status: int, body: bytes) -> TxnResponse:
    """The answer to a `TxnRequest`; raises `GatewayError`."""
    raw = _parse_object(body)
    if status != HTTPStatus.OK or "error" in raw:
        raise _to_error(raw, status)
    return TxnResponse(_parse_header(raw), _get_bool(raw, "succeeded"))


def parse_watch_error(status: int, body: bytes) -> GatewayError:
    """Why a watch was not opened, of an answer whose status is not 200."""
    try:
        return _to_error(_parse_object(body), status)
    except GatewayError:
        return GatewayError(ErrorKind.REFUSED, f"status {status}")


def parse_watch_response(frame: bytes) -> WatchResponse:
    """One frame of a watch; raises `GatewayError`."""
    raw = _parse_object(frame)
    if "error" in raw:
        raise _to_error(raw, HTTPStatus.OK)
    result = _get_object(raw, "result")
    canceled = _get_bool(result, "canceled")
    return WatchResponse(
        # Where a compaction cancels the watch, etcd leaves the revision out.
        header=_parse_header(result, min_revision=0 if canceled else 1),
        events=tuple(
            _parse_watch_event(event, f"events[{i}]") for i, event in enumerate(_get_list(result, "events"))
        ),
        created=_get_bool(result, "created"),
        canceled=canceled,
        compact_revision=_get_integer(result, "compact_revision"),
        cancel_reason=_quote(result.get("cancel_reason", "")),
    )


# ---- out of JSON ----


def _parse_object(data: bytes) -> Mapping[str, Any]:
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError):
        raise _malformed(f"no JSON: {_quote(data)}") from None
    if not isinstance(raw, dict):
        raise _malformed(f"no JSON object: {_quote(data)}")
    return raw


def _to_error(raw: Mapping[str, Any], status: int) -> GatewayError:
    """The error that an answer or a frame holds; the gateway nests it in a stream and not in an answer."""
    nested = raw.get("error")
    fields = nested if isinstance(nested, dict) else raw
    message = fields.get("message") or nested or f"status {status}"
    code = fields.get("grpc_code", fields.get("code"))
    text = _quote(message)
    if code == GrpcCode.OUT_OF_RANGE and COMPACTED_MESSAGE in text:
        return GatewayError(ErrorKind.COMPACTED, text)
    return GatewayError(ErrorKind.REFUSED, text)


def _parse_header(raw: Mapping[str, Any], min_revision: int = 1) -> ResponseHeader:
    header = _get_object(raw, "header")
    revision = _get_integer(header, "revision")
    if revision < min_revision:
        raise _malformed("header.revision: 1 or more is due")
    return ResponseHeader(
        cluster_id=_get_integer(header, "cluster_id", MAX_UINT64),
        member_id=_get_integer(header, "member_id", MAX_UINT64),
        revision=revision,
    )


def _parse_watch_event(raw: object, path: str) -> WatchEvent:
    if not isinstance(raw, dict):
        raise _malformed(f"{path}: an object is due")
    try:
        event_type = EventType(raw.get("type", EventType.PUT.value))
    except ValueError:
        raise _malformed(f"{path}.type: PUT or DELETE is due, not {_quote(raw['type'])}") from None
    return WatchEvent(event_type, _parse_key_value(raw.get("kv"), f"{path}.kv"))


def _parse_key_value(raw: object, path: str) -> KeyValue:
    if not isinstance(raw, dict):
        raise _malformed(f"{path}: an object is due")
    return KeyValue(
        key=_get_bytes(raw, "key", path),
        value=_get_bytes(raw, "value", path),
        mod_revision=_get_integer(raw, "mod_revision"),
    )


def _get_object(raw: Mapping[str, Any], key: str) -> Mapping[str, Any]:
    value = raw.get(key)
    if not isinstance(value, dict):
        raise _malformed(f"{key}: an object is due")
    return value


def _get_list(raw: Mapping[str, Any], key: str) -> list[Any]:
    value = raw.get(key)
    if value is None:
        return []
    if not isinstance(value, list):
        raise _malformed(f"{key}: a list is due")
    return value


def _get_bool(raw: Mapping[str, Any], key: str) -> bool:
    value = raw.get(key, False)
    if not isinstance(value, bool):
        raise _malformed(f"{key}: true or false is due")
    return value


def _get_integer(raw: Mapping[str, Any], key: str, maximum: int = MAX_INT64) -> int:
    """An integer from 0 up, as a string or a number; 0 where it is left out."""
    value: object = raw.get(key, 0)
    if isinstance(value, str) and value.isascii() and value.isdigit() and len(value) <= len(str(MAX_UINT64)):
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= maximum:
        raise _malformed(f"{key}: an integer from 0 to {maximum} is due, not {_quote(value)}")
    return value


def _get_bytes(raw: Mapping[str, Any], key: str, path: str) -> bytes:
    value = raw.get(key, "")
    try:
        return base64.b64decode(value, validate=True)
    except (TypeError, ValueError, binascii.Error):
        raise _malformed(f"{path}.{key}: base64 is due, not {_quote(value)}") from None


def _malformed(reason: str) -> GatewayError:
    return GatewayError(ErrorKind.MALFORMED, reason)


def _quote(value: object) -> str:
    """The begin of what a member sent, on one line; of what may be nested, its type alone."""
    if isinstance(value, bytes):
        text = value[:MAX_QUOTED_CHARACTERS].decode("latin-1")
    elif isinstance(value, str | int | float):
        text = str(value)[:MAX_QUOTED_CHARACTERS]
    else:
        text = type(value).__name__
    return "".join(c if c.isprintable() else "?" for c in text)


# ---- into JSON ----


def _encode_base64(data: bytes) -> str:
    return base64.b64encode(data).decode("ascii")


def _compare(key: bytes, result: str, mod_revision: int) -> dict[str, Any]:
    return {"key": _encode_base64(key), "target": "MOD", "result": result, "mod_revision": str(mod_revision)}


def _encode_json(fields: Mapping[str, Any]) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode()
