"""Codec of the bench's binary protocol, willow-f519: bytes to interface types and back. No decisions."""

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
    """The input violates the protocol."""


@dataclass(slots=True, frozen=True)
class Launch:
    """An instance starts."""

    seed: int
    settings: Settings


@dataclass(slots=True, frozen=True)
class PowerOff:
    """An instance is killed without notice."""


@dataclass(slots=True, frozen=True)
class Batch:
    """One decoded batch: the clock in seconds, its number, and its records as (instance, event) in order."""

    clock: float
    number: int
    records: list[tuple[int, Event | Launch | PowerOff]]


HEADER = struct.Struct(">IdII")
REPLY_HEADER = struct.Struct(">III")
RECORD = struct.Struct(">BI")
LAUNCH = struct.Struct(">IQI")
MANIFEST = struct.Struct(">HI")
ENTRY = struct.Struct(">4sHBBdfHH")
UPDATE = struct.Struct(">IBQH")
KNOCK = struct.Struct(">IIBIQddfB")
ESTABLISHED = struct.Struct(">II4sHBd")
REPLY = struct.Struct(">II4sHBdBIHB")
RID = struct.Struct(">II")
TIMER_HIT = struct.Struct(">IQ")
HEALTH = struct.Struct(">I4sHHdB")
BYTES = struct.Struct(">IIH")
INSTANCE = struct.Struct(">I")
ISSUE = struct.Struct(">II4sHd")
CALL_OFF = struct.Struct(">IIB")
REFUSAL = struct.Struct(">IId")
TIMER = struct.Struct(">IdQ")
TRACK = struct.Struct(">IB")
TO_ENDPOINT = struct.Struct(">I4sH")
TEXT = struct.Struct(">IH")

EVERY_PEER = 0xFFFFFFFF
SCOPES = (UpdateScope.DELTA, UpdateScope.FULL, UpdateScope.CACHED, UpdateScope.FAILED)
STATES = {0: EndpointState.READY, 1: EndpointState.DRAINING, 3: EndpointState.GONE}
OUTCOMES = tuple(Outcome)


def _take(form: struct.Struct, body: memoryview, exact: bool = True) -> tuple[Any, ...]:
    """Unpack a record's fixed fields; with `exact` nothing may follow them. Raises `WireError`."""
    if len(body) < form.size or (exact and len(body) != form.size):
        raise WireError(f"a record's fields take {len(body)} bytes where {form.size} are due")
    return form.unpack_from(body)


def _tail(form: struct.Struct, body: memoryview, length: int) -> memoryview:
    """The variable-length content after a record's fixed fields; raises `WireError` if its length differs."""
    if len(body) != form.size + length:
        raise WireError(f"a record's content takes {len(body) - form.size} bytes where {length} are due")
    return body[form.size :]


def _floats(form: struct.Struct, body: memoryview, count: int) -> tuple[float, ...]:
    return struct.unpack(f">{count}f", _tail(form, body, 4 * count))


def _one_of(table: Any, value: Any, what: str) -> Any:
    try:
        return table[value]
    except (KeyError, IndexError):
        raise WireError(f"unknown {what}: {value!r}") from None


class Decoder:
    """Decodes batches; keeps the numbered endpoint lists, which all instances of the process share."""

    def __init__(self) -> None:
        self._lists: dict[int, tuple[Endpoint, ...]] = {}

    def batch(self, payload: bytes) -> Batch:
        """Decode a batch without its length field; raises `WireError`."""
        if len(payload) < HEADER.size - 4:
            raise WireError("a batch is shorter than its header")
        clock, count, number = struct.unpack_from(">dII", payload)
        view = memoryview(payload)
        at = HEADER.size - 4
        records: list[tuple[int, Event | Launch | PowerOff]] = []
        for _ in range(count):
            if len(view) < at + RECORD.size:
                raise WireError("a batch ends inside a record's head")
            code, length = RECORD.unpack_from(view, at)
            at += RECORD.size
            if len(view) < at + length:
                raise WireError("a batch ends inside a record")
            record = self._record(code, view[at : at + length])
            if record is not None:
                records.append(record)
            at += length
        if at != len(view):
            raise WireError("bytes follow a batch's last record")
        return Batch(clock, number, records)

    def _record(self, code: int, body: memoryview) -> tuple[int, Event | Launch | PowerOff] | None:
        match code:
            case 1:
                instance, seed, length = _take(LAUNCH, body, exact=False)
                return instance, Launch(seed, settings(bytes(_tail(LAUNCH, body, length))))
            case 2:
                instance, scope, version, list_number = _take(UPDATE, body)
                scope = _one_of(SCOPES, scope, "update scope")
                entries: tuple[Endpoint, ...] = ()
                if scope is not UpdateScope.FAILED:
                    entries = _one_of(self._lists, list_number, "endpoint list")
                return instance, EndpointsUpdated(scope, version, entries)
            case 3:
                instance, rid, lane, customer, subject, due, effort, dest, bits = _take(KNOCK, body)
                hint = effort if bits & 1 else None
                return instance, MessageReceived(
                    rid,
                    lane,
                    int(dest),
                    due,
                    customer,
                    subject or None,
                    hint,
                    bool(bits & 2),
                    bool(bits & 16),
                    bool(bits & 4),
                )
            case 4:
                instance, rid, host, port, attempt, elapsed = _take(ESTABLISHED, body)
                return instance, StreamStarted(rid, (host, port), attempt, elapsed)
            case 5:
                fields = _take(REPLY, body, exact=False)
                instance, rid, host, port, attempt, elapsed, final, note, result, n = fields
                outcome = _one_of(OUTCOMES, result, "outcome")
                retry_after = note / 1000.0 if outcome is Outcome.FULL and note else None
                no_slot = outcome is Outcome.NOT_SENT and note == 1
                return instance, AttemptEnded(
                    rid,
                    (host, port),
                    attempt,
                    elapsed,
                    bool(final),
                    outcome,
                    retry_after,
                    no_slot,
                    _floats(REPLY, body, n),
                )
            case 6:
                instance, rid = _take(RID, body)
                return instance, MessageWithdrawn(rid)
            case 7:
                instance, token = _take(TIMER_HIT, body)
                return instance, TimerFired(token)
            case 8:
                instance, host, port, result, elapsed, n = _take(HEALTH, body, exact=False)
                return instance, ProbeEnded(
                    (host, port), _one_of(OUTCOMES, result, "outcome"), elapsed, _floats(HEALTH, body, n)
                )
            case 9:
                instance, sender, length = _take(BYTES, body, exact=False)
                return instance, PeerMessage(sender, bytes(_tail(BYTES, body, length)))
            case 10:
                return _take(INSTANCE, body)[0], PowerOff()
            case 11:
                number, count = _take(MANIFEST, body, exact=False)
                self._lists[number] = tuple(_entries(_tail(MANIFEST, body, count * ENTRY.size)))
                return None
        raise WireError(f"unknown event code {code}")


def _entries(body: memoryview) -> Iterable[Endpoint]:
    for host, port, state, kind, added, rate, zone, dest in ENTRY.iter_unpack(body):
        yield Endpoint(
            (host, port), _one_of(STATES, state, "endpoint state"), kind, dest, zone, rate, added or None
        )


def settings(text: bytes) -> Settings:
    """Read the settings from their JSON text; raises `WireError`."""
    try:
        return read(Reader(json.loads(text)))
    except (ValueError, SettingsError) as error:
        raise WireError(f"the settings cannot be read: {error}") from None


def _record(code: int, fields: bytes) -> bytes:
    return RECORD.pack(code, len(fields)) + fields


def _text(code: int, instance: int, text: str) -> bytes:
    data = text.encode()[:0xFFFF].decode(errors="ignore").encode()
    return _record(code, TEXT.pack(instance, len(data)) + data)


def fault(instance: int, text: str) -> bytes:
    """Encode the report that the decision module has failed."""
    return _text(67, instance, text)


def action(instance: int, act: Action) -> bytes:
    """Encode one action."""
    match act:
        case Send(message, endpoint, give_up_at):
            host, port = endpoint
            return _record(71, ISSUE.pack(instance, message, host, port, give_up_at or 0.0))
        case SetTimer(delay, token):
            return _record(76, TIMER.pack(instance, delay, token))
        case Refuse(message, retry_after):
            return _record(68, REFUSAL.pack(instance, message, retry_after or 0.0))
        case Fail(message):
            return _record(69, RID.pack(instance, message))
        case Cancel(message, attempt):
            return _record(72, CALL_OFF.pack(instance, message, attempt))
        case Subscribe(on):
            return _record(66, TRACK.pack(instance, on))
        case FetchEndpoints():
            return _record(75, INSTANCE.pack(instance))
        case Probe(endpoint):
            return _record(70, TO_ENDPOINT.pack(instance, *endpoint))
        case CloseIdle(endpoint):
            return _record(65, TO_ENDPOINT.pack(instance, *endpoint))
        case TellPeer(peer, data):
            to = EVERY_PEER if peer is None else peer
            return _record(74, BYTES.pack(instance, to, len(data)) + data)
        case Log(text):
            return _text(73, instance, text)
    assert_never(act)


def reply(number: int, records: list[bytes]) -> bytes:
    """Encode a reply frame."""
    body = b"".join(records)
    return REPLY_HEADER.pack(8 + len(body), len(records), number) + body
