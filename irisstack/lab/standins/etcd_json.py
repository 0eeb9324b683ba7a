"""The JSON encoding of etcd's v3 gateway: decodes request bodies and encodes response bodies.

As in the gateway, fields are named as in `rpc.proto`, bytes are base64, 64-bit integers are strings, default
values are omitted, and unknown fields are rejected.
"""

import base64
import binascii
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, TypeVar

from irisstack.lab.standins import etcd

RANGE_PATH = "/v3/kv/range"
WATCH_PATH = "/v3/watch"
Json = dict[str, Any]
EnumType = TypeVar("EnumType", bound=IntEnum)

HTTP_STATUS_BY_CODE = {
    etcd.Code.INVALID_ARGUMENT: 400,
    etcd.Code.OUT_OF_RANGE: 400,
    etcd.Code.UNIMPLEMENTED: 501,
    etcd.Code.UNAVAILABLE: 503,
}
"""The HTTP status to which the gateway maps a gRPC code."""
HTTP_REASON = {400: "Bad Request", 501: "Not Implemented", 503: "Service Unavailable"}


@dataclass(slots=True, frozen=True)
class Header:
    """The header of a response: the member that answers, and the revision of its store."""

    cluster_id: int
    member_id: int
    revision: int
    raft_term: int


@dataclass(slots=True, frozen=True)
class WatchCancelRequest:
    watch_id: int


@dataclass(slots=True, frozen=True)
class WatchProgressRequest:
    """Asks for a progress notification."""


WatchStreamRequest = etcd.WatchRequest | WatchCancelRequest | WatchProgressRequest


class _FieldReader:
    """Reads the fields of one JSON object, each once; the fields that remain are unknown."""

    def __init__(self, message: str, raw: object) -> None:
        if not isinstance(raw, dict):
            raise etcd.InvalidArgumentError(f"json: cannot unmarshal a value into {message}")
        self._message = message
        self._remaining: Json = dict(raw)

    def _invalid_value(self, name: str) -> etcd.InvalidArgumentError:
        return etcd.InvalidArgumentError(f"invalid value for field {name!r} in etcdserverpb.{self._message}")

    def has(self, name: str) -> bool:
        return self._remaining.get(name) is not None

    def bytes(self, name: str) -> bytes:
        value = self._remaining.pop(name, "")
        try:
            return base64.b64decode(value, validate=True)
        except (TypeError, binascii.Error, ValueError):
            raise self._invalid_value(name) from None

    def integer(self, name: str) -> int:
        value = self._remaining.pop(name, 0)
        if isinstance(value, bool) or not isinstance(value, int | str):
            raise self._invalid_value(name)
        try:
            return int(value)
        except ValueError:
            raise self._invalid_value(name) from None

    def boolean(self, name: str) -> bool:
        value = self._remaining.pop(name, False)
        if not isinstance(value, bool):
            raise self._invalid_value(name)
        return value

    def enum(self, name: str, enum_type: type[EnumType]) -> EnumType:
        value = self._remaining.pop(name, 0)
        try:
            return enum_type[value] if isinstance(value, str) else enum_type(value)
        except (KeyError, ValueError):
            raise self._invalid_value(name) from None

    def list(self, name: str) -> list[Any]:
        value = self._remaining.pop(name, [])
        if not isinstance(value, list):
            raise self._invalid_value(name)
        return value

    def object(self, name: str) -> object:
        return self._remaining.pop(name)

    def ignore(self, *names: str) -> None:
        """Drop fields that the stand-in accepts but does not implement."""
        for name in names:
            self._remaining.pop(name, None)

    def reject_unknown(self) -> None:
        for name in self._remaining:
            raise etcd.InvalidArgumentError(f'unknown field "{name}" in etcdserverpb.{self._message}')


# ---- requests ----


def decode_range(raw: object) -> etcd.RangeRequest:
    fields = _FieldReader("RangeRequest", raw)
    request = etcd.RangeRequest(
        fields.bytes("key"),
        fields.bytes("range_end"),
        fields.integer("limit"),
        fields.integer("revision"),
        fields.enum("sort_order", etcd.SortOrder),
        fields.enum("sort_target", etcd.SortTarget),
        fields.boolean("serializable"),
        fields.boolean("keys_only"),
        fields.boolean("count_only"),
    )
    fields.reject_unknown()
    return request


def decode_put(raw: object) -> etcd.PutRequest:
    fields = _FieldReader("PutRequest", raw)
    request = etcd.PutRequest(fields.bytes("key"), fields.bytes("value"), fields.boolean("prev_kv"))
    fields.ignore("lease")
    fields.reject_unknown()
    return request


def decode_delete_range(raw: object) -> etcd.DeleteRangeRequest:
    fields = _FieldReader("DeleteRangeRequest", raw)
    request = etcd.DeleteRangeRequest(
        fields.bytes("key"), fields.bytes("range_end"), fields.boolean("prev_kv")
    )
    fields.reject_unknown()
    return request


def decode_compaction(raw: object) -> etcd.CompactionRequest:
    fields = _FieldReader("CompactionRequest", raw)
    request = etcd.CompactionRequest(fields.integer("revision"))
    fields.ignore("physical")
    fields.reject_unknown()
    return request


def decode_txn(raw: object) -> etcd.TxnRequest:
    fields = _FieldReader("TxnRequest", raw)
    request = etcd.TxnRequest(
        tuple(_decode_compare(item) for item in fields.list("compare")),
        tuple(_decode_operation(item) for item in fields.list("success")),
        tuple(_decode_operation(item) for item in fields.list("failure")),
    )
    fields.reject_unknown()
    return request


def _decode_compare(raw: object) -> etcd.Compare:
    fields = _FieldReader("Compare", raw)
    target = fields.enum("target", etcd.CompareTarget)
    operand: int | bytes
    match target:
        case etcd.CompareTarget.VALUE:
            operand = fields.bytes("value")
        case etcd.CompareTarget.VERSION:
            operand = fields.integer("version")
        case etcd.CompareTarget.CREATE:
            operand = fields.integer("create_revision")
        case etcd.CompareTarget.MOD:
            operand = fields.integer("mod_revision")
    result = fields.enum("result", etcd.CompareResult)
    compare = etcd.Compare(fields.bytes("key"), fields.bytes("range_end"), target, result, operand)
    fields.reject_unknown()
    return compare


def _decode_operation(raw: object) -> etcd.Operation:
    fields = _FieldReader("RequestOp", raw)
    for name, decode in _OPERATION_DECODERS.items():
        if fields.has(name):
            operation = decode(fields.object(name))
            fields.reject_unknown()
            return operation
    raise etcd.InvalidArgumentError("etcdserver: key not found")


_OPERATION_DECODERS: Mapping[str, Callable[[object], etcd.Operation]] = {
    "request_range": decode_range,
    "request_put": decode_put,
    "request_delete_range": decode_delete_range,
    "request_txn": decode_txn,
}
_REQUEST_DECODERS: Mapping[str, Callable[[object], etcd.Request]] = {
    RANGE_PATH: decode_range,
    "/v3/kv/put": decode_put,
    "/v3/kv/deleterange": decode_delete_range,
    "/v3/kv/txn": decode_txn,
    "/v3/kv/compaction": decode_compaction,
}


def decode_request(path: str, body: bytes) -> etcd.Request | None:
    """Decode a request by its path and body; `None` for a path that the gateway does not serve."""
    decode = _REQUEST_DECODERS.get(path)
    return None if decode is None else decode(_parse_json(body))


def decode_watch(body: bytes) -> WatchStreamRequest:
    """Decode a request on a watch stream."""
    fields = _FieldReader("WatchRequest", _parse_json(body))
    request: WatchStreamRequest
    if fields.has("create_request"):
        request = _decode_watch_create(fields.object("create_request"))
    elif fields.has("cancel_request"):
        cancel = _FieldReader("WatchCancelRequest", fields.object("cancel_request"))
        request = WatchCancelRequest(cancel.integer("watch_id"))
        cancel.reject_unknown()
    elif fields.has("progress_request"):
        _FieldReader("WatchProgressRequest", fields.object("progress_request")).reject_unknown()
        request = WatchProgressRequest()
    else:
        raise etcd.InvalidArgumentError("a watch's request is empty")
    fields.reject_unknown()
    return request


def _decode_watch_create(raw: object) -> etcd.WatchRequest:
    fields = _FieldReader("WatchCreateRequest", raw)
    request = etcd.WatchRequest(
        fields.bytes("key"),
        fields.bytes("range_end"),
        fields.integer("start_revision"),
        fields.boolean("progress_notify"),
        fields.boolean("prev_kv"),
    )
    fields.ignore("watch_id", "fragment")
    fields.reject_unknown()
    return request


def _parse_json(body: bytes) -> object:
    try:
        return json.loads(body or b"{}")
    except ValueError as error:
        raise etcd.InvalidArgumentError(str(error)) from None


# ---- responses ----


def encode_response(header: Header, response: etcd.Response) -> bytes:
    """Encode the body of a response with status 200."""
    return _encode_json({"header": _header_fields(header), **_response_fields(response)})


def encode_watch(header: Header, response: etcd.WatchResponse, *, prev_kv: bool = False) -> bytes:
    """Encode one object of a watch stream, with its trailing line feed."""
    events = [_event_fields(event, prev_kv=prev_kv) for event in response.events]
    result = {
        "header": _header_fields(header),
        "created": response.created,
        "canceled": response.canceled,
        "compact_revision": _encode_int64(response.compact_revision),
        "events": events,
    }
    return _encode_json({"result": _without_defaults(result)}) + b"\n"


def encode_error(error: etcd.EtcdError) -> tuple[int, bytes]:
    """Status and body of the response to a rejected request."""
    body = {"error": error.message, "code": int(error.code), "message": error.message}
    return HTTP_STATUS_BY_CODE[error.code], _encode_json(body)


def encode_stream_error(error: etcd.EtcdError) -> bytes:
    """Encode the error object that ends an open stream."""
    status = HTTP_STATUS_BY_CODE[error.code]
    details = {
        "grpc_code": int(error.code),
        "http_code": status,
        "message": error.message,
        "http_status": HTTP_REASON[status],
    }
    return _encode_json({"error": details}) + b"\n"


def _response_fields(response: etcd.Response) -> Json:
    match response:
        case etcd.RangeResponse(kvs, more, count):
            raw: Json = {
                "kvs": [_key_value_fields(kv) for kv in kvs],
                "more": more,
                "count": _encode_int64(count),
            }
        case etcd.PutResponse(prev_kv):
            raw = {"prev_kv": prev_kv and _key_value_fields(prev_kv)}
        case etcd.DeleteRangeResponse(deleted, prev_kvs):
            raw = {"deleted": _encode_int64(deleted), "prev_kvs": [_key_value_fields(kv) for kv in prev_kvs]}
        case etcd.TxnResponse(succeeded, responses):
            raw = {
                "succeeded": succeeded,
                "responses": [_operation_response_fields(item) for item in responses],
            }
        case etcd.CompactionResponse():
            raw = {}
    return _without_defaults(raw)


def _operation_response_fields(response: etcd.OperationResponse) -> Json:
    match response:
        case etcd.RangeResponse():
            name = "response_range"
        case etcd.PutResponse():
            name = "response_put"
        case etcd.DeleteRangeResponse():
            name = "response_delete_range"
        case etcd.TxnResponse():
            name = "response_txn"
    return {name: _response_fields(response)}


def _header_fields(header: Header) -> Json:
    raw = {
        "cluster_id": _encode_int64(header.cluster_id),
        "member_id": _encode_int64(header.member_id),
        "revision": _encode_int64(header.revision),
        "raft_term": _encode_int64(header.raft_term),
    }
    return _without_defaults(raw)


def _event_fields(event: etcd.Event, *, prev_kv: bool) -> Json:
    raw = {
        "type": event.type.name if event.type is not etcd.EventType.PUT else "",
        "kv": _key_value_fields(event.kv),
        "prev_kv": _key_value_fields(event.prev_kv) if prev_kv and event.prev_kv is not None else None,
    }
    return _without_defaults(raw)


def _key_value_fields(kv: etcd.KeyValue) -> Json:
    raw = {
        "key": base64.b64encode(kv.key).decode(),
        "create_revision": _encode_int64(kv.create_revision),
        "mod_revision": _encode_int64(kv.mod_revision),
        "version": _encode_int64(kv.version),
        "value": base64.b64encode(kv.value).decode(),
    }
    return _without_defaults(raw)


def _encode_int64(value: int) -> str:
    """Encode a 64-bit integer as a string; 0 becomes empty, so that the field is omitted."""
    return str(value) if value else ""


def _without_defaults(raw: Json) -> Json:
    return {name: value for name, value in raw.items() if value not in ("", False, None, [])}


def _encode_json(raw: Json) -> bytes:
    return json.dumps(raw, separators=(",", ":")).encode()
