"""Codec for the part of etcd's v3 JSON gateway that dynamic settings use; no sockets.

Requests are encoded as the JSON body of a POST; responses and watch frames are parsed into typed messages.
In this JSON, keys and values are base64, 64-bit integers are strings and default values are omitted.

Whatever a member sends, the parsers return a message or raise `GatewayError`; they raise nothing else.
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
"""Longest excerpt of a member's text in an error message."""
COMPACTED_MESSAGE = "required revision has been compacted"


class ErrorKind(Enum):
    """What an error of the gateway means for the caller."""

    COMPACTED = auto()
    """The requested revision is no longer in the history."""
    REFUSED = auto()
    """The member reports an error, such as no leader, no quorum or too many requests."""
    MALFORMED = auto()
    """The response does not conform to the gateway's interface."""


class GatewayError(Exception):
    """An error response or a malformed one; the text is one line."""

    def __init__(self, kind: ErrorKind, reason: str) -> None:
        super().__init__(reason)
        self.kind = kind


class GrpcCode(IntEnum):
    """The gRPC status codes used here."""

    OUT_OF_RANGE = 11


class EventType(Enum):
    """What happened to a key."""

    PUT = "PUT"
    DELETE = "DELETE"


@dataclass(slots=True, frozen=True)
class ResponseHeader:
    """The cluster and member that responded, and the store's revision at that time."""

    cluster_id: int
    member_id: int
    revision: int


@dataclass(slots=True, frozen=True)
class KeyValue:
    """A key and the revision of its last change; the value is empty if only keys were requested."""

    key: bytes
    value: bytes
    mod_revision: int


@dataclass(slots=True, frozen=True)
class WatchEvent:
    """One change of one key; the value is empty for a deletion."""

    type: EventType
    item: KeyValue


@dataclass(slots=True, frozen=True)
class RangeRequest:
    """Requests the keys from `key` up to, not including, `range_end`; always linearizable."""

    key: bytes
    range_end: bytes
    revision: int = 0
    """The revision to read at; 0 for the newest."""
    limit: int = 0
    """Most keys in the response; 0 for no limit."""
    newest_first: bool = False
    """Sort by the revision of the last change, newest first."""
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
    """One page of keys; `count` is the number of keys in the whole range."""

    header: ResponseHeader
    items: tuple[KeyValue, ...]
    more: bool
    count: int


@dataclass(slots=True, frozen=True)
class TxnRequest:
    """Changes keys of a range in one revision, on condition that the range has not changed meanwhile."""

    key: bytes
    range_end: bytes
    unchanged_since: int
    """No key of the range may have been put after this revision."""
    expected_revisions: Mapping[bytes, int]
    """Keys and the revision of their last change, which must be the same; this detects deletions."""
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
    """Whether a transaction's conditions held; if so, the header has its revision."""

    header: ResponseHeader
    succeeded: bool


@dataclass(slots=True, frozen=True)
class WatchRequest:
    """Requests every change of the range from a revision on."""

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
    """One frame of a watch. etcd does not split a revision over several frames unless requested."""

    header: ResponseHeader
    events: tuple[WatchEvent, ...] = ()
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    """For a watch canceled by a compaction: the oldest revision in the history; otherwise 0."""
    cancel_reason: str = ""


def prefix_range_end(prefix: bytes) -> bytes:
    """The end of the range of keys with this prefix; a zero byte means the end of the key space."""
    for index in range(len(prefix) - 1, -1, -1):
        if prefix[index] < 0xFF:
            return prefix[:index] + bytes([prefix[index] + 1])
    return b"\0"


def key_after(key: bytes) -> bytes:
    """The next possible key in the order of keys."""
    return key + b"\0"


def parse_range_response(status: int, body: bytes) -> RangeResponse:
    """Parse the response to a `RangeRequest`; raises `GatewayError`."""
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
    """Parse the response to a `TxnRequest`; raises `GatewayError`."""
    raw = _parse_object(body)
    if status != HTTPStatus.OK or "error" in raw:
        raise _to_error(raw, status)
    return TxnResponse(_parse_header(raw), _get_bool(raw, "succeeded"))


def parse_watch_error(status: int, body: bytes) -> GatewayError:
    """The error in a response that refuses a watch, whose status is not 200."""
    try:
        return _to_error(_parse_object(body), status)
    except GatewayError:
        return GatewayError(ErrorKind.REFUSED, f"status {status}")


def parse_watch_response(frame: bytes) -> WatchResponse:
    """Parse one frame of a watch; raises `GatewayError`."""
    raw = _parse_object(frame)
    if "error" in raw:
        raise _to_error(raw, HTTPStatus.OK)
    result = _get_object(raw, "result")
    canceled = _get_bool(result, "canceled")
    return WatchResponse(
        # etcd omits the revision when a compaction cancels the watch.
        header=_parse_header(result, min_revision=0 if canceled else 1),
        events=tuple(
            _parse_watch_event(event, f"events[{i}]") for i, event in enumerate(_get_list(result, "events"))
        ),
        created=_get_bool(result, "created"),
        canceled=canceled,
        compact_revision=_get_integer(result, "compact_revision"),
        cancel_reason=_quote(result.get("cancel_reason", "")),
    )


# ---- parsing JSON ----


def _parse_object(data: bytes) -> Mapping[str, Any]:
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError):
        raise _malformed(f"expected JSON, got {_quote(data)}") from None
    if not isinstance(raw, dict):
        raise _malformed(f"expected a JSON object, got {_quote(data)}")
    return raw


def _to_error(raw: Mapping[str, Any], status: int) -> GatewayError:
    """The error in a response or frame; the gateway nests the error's fields only in a stream's frames."""
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
        raise _malformed(f"header.revision: expected {min_revision} or more, got {revision}")
    return ResponseHeader(
        cluster_id=_get_integer(header, "cluster_id", MAX_UINT64),
        member_id=_get_integer(header, "member_id", MAX_UINT64),
        revision=revision,
    )


def _parse_watch_event(raw: object, path: str) -> WatchEvent:
    if not isinstance(raw, dict):
        raise _malformed(f"{path}: expected an object")
    try:
        event_type = EventType(raw.get("type", EventType.PUT.value))
    except ValueError:
        raise _malformed(f"{path}.type: expected PUT or DELETE, got {_quote(raw['type'])}") from None
    return WatchEvent(event_type, _parse_key_value(raw.get("kv"), f"{path}.kv"))


def _parse_key_value(raw: object, path: str) -> KeyValue:
    if not isinstance(raw, dict):
        raise _malformed(f"{path}: expected an object")
    return KeyValue(
        key=_get_bytes(raw, "key", path),
        value=_get_bytes(raw, "value", path),
        mod_revision=_get_integer(raw, "mod_revision"),
    )


def _get_object(raw: Mapping[str, Any], key: str) -> Mapping[str, Any]:
    value = raw.get(key)
    if not isinstance(value, dict):
        raise _malformed(f"{key}: expected an object")
    return value


def _get_list(raw: Mapping[str, Any], key: str) -> list[Any]:
    value = raw.get(key)
    if value is None:
        return []
    if not isinstance(value, list):
        raise _malformed(f"{key}: expected a list")
    return value


def _get_bool(raw: Mapping[str, Any], key: str) -> bool:
    value = raw.get(key, False)
    if not isinstance(value, bool):
        raise _malformed(f"{key}: expected true or false")
    return value


def _get_integer(raw: Mapping[str, Any], key: str, maximum: int = MAX_INT64) -> int:
    """An integer of at least 0, given as a string or a number; 0 if omitted."""
    value: object = raw.get(key, 0)
    if isinstance(value, str) and value.isascii() and value.isdigit() and len(value) <= len(str(MAX_UINT64)):
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= maximum:
        raise _malformed(f"{key}: expected an integer from 0 to {maximum}, got {_quote(value)}")
    return value


def _get_bytes(raw: Mapping[str, Any], key: str, path: str) -> bytes:
    value = raw.get(key, "")
    try:
        return base64.b64decode(value, validate=True)
    except (TypeError, ValueError, binascii.Error):
        raise _malformed(f"{path}.{key}: expected base64, got {_quote(value)}") from None


def _malformed(reason: str) -> GatewayError:
    return GatewayError(ErrorKind.MALFORMED, reason)


def _quote(value: object) -> str:
    """An excerpt of a member's value, on one line; only the type for lists and objects."""
    if isinstance(value, bytes):
        text = value[:MAX_QUOTED_CHARACTERS].decode("latin-1")
    elif isinstance(value, str | int | float):
        text = str(value)[:MAX_QUOTED_CHARACTERS]
    else:
        text = type(value).__name__
    return "".join(c if c.isprintable() else "?" for c in text)


# ---- writing JSON ----


def _encode_base64(data: bytes) -> str:
    return base64.b64encode(data).decode("ascii")


def _compare(key: bytes, result: str, mod_revision: int) -> dict[str, Any]:
    return {"key": _encode_base64(key), "target": "MOD", "result": result, "mod_revision": str(mod_revision)}


def _encode_json(fields: Mapping[str, Any]) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode()
