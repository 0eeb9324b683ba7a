"""Codec of the simulator's binary protocol, willow-f519: decodes events and encodes actions."""

import json
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, assert_never

from irisstack.interface import (
    Action,
    AttemptEnded,
    Cancel,
    CloseIdle,
    Endpoint,
    EndpointState,
    EndpointsUpdated,
    Event,
    Fail,
    FetchEndpoints,
    Log,
    MessageReceived,
    MessageWithdrawn,
    Outcome,
    PeerMessage,
    Probe,
    ProbeEnded,
    Refuse,
    Send,
    SetTimer,
    Settings,
    StreamStarted,
    Subscribe,
    TellPeer,
    TimerFired,
    UpdateScope,
)
from irisstack.settings import Reader, SettingsError, read


class WireError(Exception):
    """Input that violates the protocol."""


@dataclass(slots=True, frozen=True)
class InstanceStarted:
    """An instance of the decision module is started."""

    seed: int
    settings: Settings


@dataclass(slots=True, frozen=True)
class InstanceKilled:
    """An instance is stopped without a chance to act."""


@dataclass(slots=True, frozen=True)
class Batch:
    """One decoded batch: the clock in seconds, its number, and its records (instance, event) in order."""

    clock: float
    number: int
    records: list[tuple[int, Event | InstanceStarted | InstanceKilled]]


BATCH_HEADER = struct.Struct(">IdII")
REPLY_HEADER = struct.Struct(">III")
RECORD_HEADER = struct.Struct(">BI")
INSTANCE_STARTED = struct.Struct(">IQI")
ENDPOINT_LIST = struct.Struct(">HI")
LIST_ENTRY = struct.Struct(">4sHBBdfHH")
LIST_UPDATE = struct.Struct(">IBQH")
MESSAGE_RECEIVED = struct.Struct(">IIBIQddfB")
STREAM_STARTED = struct.Struct(">II4sHBd")
ATTEMPT_ENDED = struct.Struct(">II4sHBdBIHB")
MESSAGE_ID = struct.Struct(">II")
TIMER_FIRED = struct.Struct(">IQ")
PROBE_ENDED = struct.Struct(">I4sHHdB")
PEER_DATA = struct.Struct(">IIH")
INSTANCE = struct.Struct(">I")
SEND = struct.Struct(">II4sHd")
CANCEL = struct.Struct(">IIB")
REFUSE = struct.Struct(">IId")
SET_TIMER = struct.Struct(">IdQ")
SUBSCRIBE = struct.Struct(">IB")
TO_ENDPOINT = struct.Struct(">I4sH")
TEXT = struct.Struct(">IH")

ALL_PEERS = 0xFFFFFFFF
UPDATE_SCOPES = (UpdateScope.DELTA, UpdateScope.FULL, UpdateScope.CACHED, UpdateScope.FAILED)
ENDPOINT_STATES = {0: EndpointState.READY, 1: EndpointState.DRAINING, 3: EndpointState.GONE}
OUTCOMES = tuple(Outcome)


def _unpack(layout: struct.Struct, body: memoryview, exact: bool = True) -> tuple[Any, ...]:
    """Unpack a record's fixed fields; with `exact`, nothing may follow them. Raises `WireError`."""
    if len(body) < layout.size or (exact and len(body) != layout.size):
        raise WireError(f"a record's fixed fields: expected {layout.size} bytes, got {len(body)}")
    return layout.unpack_from(body)


def _variable_part(layout: struct.Struct, body: memoryview, length: int) -> memoryview:
    """The part of a record after its fixed fields; raises `WireError` unless it has the given length."""
    if len(body) != layout.size + length:
        raise WireError(f"a record's variable part: expected {length} bytes, got {len(body) - layout.size}")
    return body[layout.size :]


def _floats(layout: struct.Struct, body: memoryview, count: int) -> tuple[float, ...]:
    return struct.unpack(f">{count}f", _variable_part(layout, body, 4 * count))


def _lookup(table: Any, value: Any, description: str) -> Any:
    try:
        return table[value]
    except (KeyError, IndexError):
        raise WireError(f"unknown {description}: {value!r}") from None


class Decoder:
    """Decodes batches; keeps the numbered endpoint lists, which all instances of the process share."""

    def __init__(self) -> None:
        self._lists: dict[int, tuple[Endpoint, ...]] = {}

    def decode(self, payload: bytes) -> Batch:
        """Decode a batch without its length field; raises `WireError`."""
        if len(payload) < BATCH_HEADER.size - 4:
            raise WireError("batch shorter than its header")
        clock, count, number = struct.unpack_from(">dII", payload)
        view = memoryview(payload)
        offset = BATCH_HEADER.size - 4
        records: list[tuple[int, Event | InstanceStarted | InstanceKilled]] = []
        for _ in range(count):
            if len(view) < offset + RECORD_HEADER.size:
                raise WireError("batch ends within a record header")
            code, length = RECORD_HEADER.unpack_from(view, offset)
            offset += RECORD_HEADER.size
            if len(view) < offset + length:
                raise WireError("batch ends within a record")
            record = self._decode_record(code, view[offset : offset + length])
            if record is not None:
                records.append(record)
            offset += length
        if offset != len(view):
            raise WireError("bytes after the last record of a batch")
        return Batch(clock, number, records)

    def _decode_record(
        self, code: int, body: memoryview
    ) -> tuple[int, Event | InstanceStarted | InstanceKilled] | None:
        match code:
            case 1:
                instance, seed, length = _unpack(INSTANCE_STARTED, body, exact=False)
                return instance, InstanceStarted(
                    seed, parse_settings(bytes(_variable_part(INSTANCE_STARTED, body, length)))
                )
            case 2:
                instance, scope, version, list_number = _unpack(LIST_UPDATE, body)
                scope = _lookup(UPDATE_SCOPES, scope, "update scope")
                entries: tuple[Endpoint, ...] = ()
                if scope is not UpdateScope.FAILED:
                    entries = _lookup(self._lists, list_number, "endpoint list")
                return instance, EndpointsUpdated(scope, version, entries)
            case 3:
                instance, message, message_class, tenant, key, due, work, destination, flags = _unpack(
                    MESSAGE_RECEIVED, body
                )
                work_hint = work if flags & 1 else None  # bit 0: the work is known
                return instance, MessageReceived(
                    message,
                    message_class,
                    int(destination),
                    due,
                    tenant,
                    key or None,
                    work_hint,
                    bool(flags & 2),
                    bool(flags & 16),
                    bool(flags & 4),
                )
            case 4:
                instance, message, host, port, attempt, elapsed = _unpack(STREAM_STARTED, body)
                return instance, StreamStarted(message, (host, port), attempt, elapsed)
            case 5:
                fields = _unpack(ATTEMPT_ENDED, body, exact=False)
                instance, message, host, port, attempt, elapsed, final, detail, outcome_code, count = fields
                outcome = _lookup(OUTCOMES, outcome_code, "outcome")
                # `detail` is the retry-after in ms for FULL, and 1 for NOT_SENT if no slot was free.
                retry_after = detail / 1000.0 if outcome is Outcome.FULL and detail else None
                no_free_slot = outcome is Outcome.NOT_SENT and detail == 1
                return instance, AttemptEnded(
                    message,
                    (host, port),
                    attempt,
                    elapsed,
                    bool(final),
                    outcome,
                    retry_after,
                    no_free_slot,
                    _floats(ATTEMPT_ENDED, body, count),
                )
            case 6:
                instance, message = _unpack(MESSAGE_ID, body)
                return instance, MessageWithdrawn(message)
            case 7:
                instance, token = _unpack(TIMER_FIRED, body)
                return instance, TimerFired(token)
            case 8:
                instance, host, port, outcome_code, elapsed, count = _unpack(PROBE_ENDED, body, exact=False)
                return instance, ProbeEnded(
                    (host, port),
                    _lookup(OUTCOMES, outcome_code, "outcome"),
                    elapsed,
                    _floats(PROBE_ENDED, body, count),
                )
            case 9:
                instance, sender, length = _unpack(PEER_DATA, body, exact=False)
                return instance, PeerMessage(sender, bytes(_variable_part(PEER_DATA, body, length)))
            case 10:
                return _unpack(INSTANCE, body)[0], InstanceKilled()
            case 11:
                number, count = _unpack(ENDPOINT_LIST, body, exact=False)
                self._lists[number] = tuple(
                    _decode_entries(_variable_part(ENDPOINT_LIST, body, count * LIST_ENTRY.size))
                )
                return None
        raise WireError(f"unknown event code {code}")


def _decode_entries(body: memoryview) -> Iterable[Endpoint]:
    for host, port, state, kind, added_at, rate, zone, destination in LIST_ENTRY.iter_unpack(body):
        yield Endpoint(
            (host, port),
            _lookup(ENDPOINT_STATES, state, "endpoint state"),
            kind,
            destination,
            zone,
            rate,
            added_at or None,
        )


def parse_settings(text: bytes) -> Settings:
    """Parse the settings from their JSON text; raises `WireError`."""
    try:
        return read(Reader(json.loads(text)))
    except (ValueError, SettingsError) as error:
        raise WireError(f"invalid settings: {error}") from None


def _encode_record(code: int, fields: bytes) -> bytes:
    return RECORD_HEADER.pack(code, len(fields)) + fields


def _encode_text(code: int, instance: int, text: str) -> bytes:
    data = text.encode()[:0xFFFF].decode(errors="ignore").encode()
    return _encode_record(code, TEXT.pack(instance, len(data)) + data)


def encode_fault(instance: int, text: str) -> bytes:
    """Encode the report that the decision module raised an exception."""
    return _encode_text(67, instance, text)


def encode_action(instance: int, action: Action) -> bytes:
    """Encode one action."""
    match action:
        case Send(message, endpoint, give_up_at):
            host, port = endpoint
            return _encode_record(71, SEND.pack(instance, message, host, port, give_up_at or 0.0))
        case SetTimer(delay, token):
            return _encode_record(76, SET_TIMER.pack(instance, delay, token))
        case Refuse(message, retry_after):
            return _encode_record(68, REFUSE.pack(instance, message, retry_after or 0.0))
        case Fail(message):
            return _encode_record(69, MESSAGE_ID.pack(instance, message))
        case Cancel(message, attempt):
            return _encode_record(72, CANCEL.pack(instance, message, attempt))
        case Subscribe(on):
            return _encode_record(66, SUBSCRIBE.pack(instance, on))
        case FetchEndpoints():
            return _encode_record(75, INSTANCE.pack(instance))
        case Probe(endpoint):
            return _encode_record(70, TO_ENDPOINT.pack(instance, *endpoint))
        case CloseIdle(endpoint):
            return _encode_record(65, TO_ENDPOINT.pack(instance, *endpoint))
        case TellPeer(peer, data):
            recipient = ALL_PEERS if peer is None else peer
            return _encode_record(74, PEER_DATA.pack(instance, recipient, len(data)) + data)
        case Log(text):
            return _encode_text(73, instance, text)
    assert_never(action)


def encode_reply(number: int, records: list[bytes]) -> bytes:
    """Encode a reply frame."""
    body = b"".join(records)
    return REPLY_HEADER.pack(8 + len(body), len(records), number) + body
