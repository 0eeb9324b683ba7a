"""The willow-f519 wire: bytes to interface types and back. Translation only."""

import json
import struct
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, assert_never

from irisstack.interface import (
    Action,
    AttemptEnded,
    Cancel,
    CloseIdle,
    Decay,
    DedupScope,
    DestinationKind,
    Effect,
    Endpoint,
    EndpointState,
    EndpointsUpdated,
    Event,
    Fail,
    FetchEndpoints,
    Log,
    MessageClass,
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
    Tenant,
    TimerFired,
    UpdateScope,
)


class WireError(Exception):
    """The input is not what the wire allows."""


@dataclass(slots=True, frozen=True)
class Launch:
    """An instance starts."""

    seed: int
    settings: Settings


@dataclass(slots=True, frozen=True)
class PowerOff:
    """An instance dies without warning."""


@dataclass(slots=True, frozen=True)
class Batch:
    """One decoded batch: the clock, its number and the records as (instance, event), in order."""

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
EFFECTS = {"read_like": Effect.SAFE, "idempotency_key": Effect.KEYED, "non_idempotent": Effect.UNSAFE}
GROUPS = {"all": DedupScope.DESTINATION, "zone": DedupScope.ZONE}
FADES = {"even": Decay.LINEAR, "by_half": Decay.HALVING}


def _take(form: struct.Struct, body: memoryview, exact: bool = True) -> tuple[Any, ...]:
    """Unpack a record's fixed fields; `exact` says that nothing may follow them."""
    if len(body) < form.size or (exact and len(body) != form.size):
        raise WireError(f"a record's fields take {len(body)} bytes where {form.size} are due")
    return form.unpack_from(body)


def _tail(form: struct.Struct, body: memoryview, length: int) -> memoryview:
    """The content behind a record's count, which must fill the record."""
    if len(body) != form.size + length:
        raise WireError(f"a record's content takes {len(body) - form.size} bytes where {length} are due")
    return body[form.size:]


def _floats(form: struct.Struct, body: memoryview, count: int) -> tuple[float, ...]:
    return struct.unpack(f">{count}f", _tail(form, body, 4 * count))


def _one_of(table: Any, value: Any, what: str) -> Any:
    try:
        return table[value]
    except (KeyError, IndexError):
        raise WireError(f"unknown {what}: {value!r}") from None


class Decoder:
    """Decodes batches; keeps the numbered endpoint lists, which belong to the whole process."""

    def __init__(self) -> None:
        self._lists: dict[int, tuple[Endpoint, ...]] = {}

    def batch(self, payload: bytes) -> Batch:
        """Decode what follows a batch's length field."""
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
            record = self._record(code, view[at:at + length])
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
                return instance, MessageReceived(rid, lane, int(dest), due, customer, subject or None, hint,
                                                 bool(bits & 2), bool(bits & 16), bool(bits & 4))
            case 4:
                instance, rid, host, port, attempt, elapsed = _take(ESTABLISHED, body)
                return instance, StreamStarted(rid, (host, port), attempt, elapsed)
            case 5:
                fields = _take(REPLY, body, exact=False)
                instance, rid, host, port, attempt, elapsed, final, note, result, n = fields
                outcome = _one_of(OUTCOMES, result, "outcome")
                told = note / 1000.0 if outcome is Outcome.FULL and note else None
                no_slot = outcome is Outcome.NOT_SENT and note == 1
                return instance, AttemptEnded(rid, (host, port), attempt, elapsed, bool(final), outcome, told,
                                              no_slot, _floats(REPLY, body, n))
            case 6:
                instance, rid = _take(RID, body)
                return instance, MessageWithdrawn(rid)
            case 7:
                instance, token = _take(TIMER_HIT, body)
                return instance, TimerFired(token)
            case 8:
                instance, host, port, result, elapsed, n = _take(HEALTH, body, exact=False)
                return instance, ProbeEnded((host, port), _one_of(OUTCOMES, result, "outcome"), elapsed,
                                            _floats(HEALTH, body, n))
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
        yield Endpoint((host, port), _one_of(STATES, state, "endpoint state"), kind, dest, zone, rate,
                       added or None)


def settings(text: bytes) -> Settings:
    """The settings from their JSON text; unknown keys are skipped, absent ones mean what the wire says."""
    try:
        raw = json.loads(text)
        return _settings(raw)
    except WireError:
        raise
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise WireError(f"the settings cannot be read: {type(error).__name__}: {error}") from None


def _settings(raw: Mapping[str, Any]) -> Settings:
    allowed, extra, rules = raw["allowed"], raw.get("extra", {}), raw.get("invariants", {})
    report = raw.get("report", {})
    names = raw.get("shapes", [])
    batches, apart = extra.get("batchByKind", []), extra.get("separateRoutes", [])
    kinds = tuple(
        DestinationKind(name, int(batches[i]) if i < len(batches) else 1, i < len(apart) and bool(apart[i]))
        for i, name in enumerate(names))
    return Settings(
        classes=tuple(_message_class(lane) for lane in raw["lanes"]),
        kinds=kinds,
        tenants=tuple(Tenant(t["name"], float(t.get("allowancePerS", 0.0)), float(t.get("share", 0.0)))
                      for t in raw.get("tenants", [])),
        zones=tuple(raw.get("failureDomains", [])),
        senders=int(raw.get("balancers", 1)),
        ordinal=int(raw.get("ordinal", 0)),
        max_calls=int(extra["maxCalls"]),
        max_held=int(allowed["mostHeld"]),
        max_attempts=int(allowed["attemptsCap"]),
        may_cancel=bool(allowed.get("cancel", False)),
        may_duplicate=bool(allowed.get("mayDuplicate", False)),
        may_probe=bool(allowed.get("mayProbe", False)),
        may_tell_peers=bool(allowed.get("mayTell", False)),
        advises_retry_after=bool(allowed.get("retryAfter", False)),
        max_retry_after=float(allowed.get("maxRetryAfter", 0.0)),
        connect_timeout=float(allowed.get("dialTimeout", 0.0)),
        keepalive=float(allowed.get("keepalive", 0.0)),
        calls_per_connection=int(allowed.get("multiplex", 1)),
        discovery_on_request=raw.get("discovery") == "on_request",
        ask_within=float(rules["askWithin"]) if "askWithin" in rules else None,
        listed_rates=raw.get("weights", "off") in ("nominal", "rough"),
        rates_are_rough=raw.get("weights") == "rough",
        report_fields=tuple(report.get("names", [])) if report.get("how", "off") != "off" else (),
        decay=FADES.get(extra.get("fades", "even"), Decay.LINEAR),
        over_share_worth=float(raw.get("overShareWorth", 1.0)),
        answer_slack=float(rules.get("answerSlack", 0.0)),
        drain_grace=float(rules.get("drainGrace", 0.0)),
        cold_start_share=float(rules.get("startCapacity", 1.0)),
        cold_seconds=float(rules.get("cold", 0.0)),
        tip_multiple=float(rules.get("tipMultiple", 1.0)),
        tip_seconds=float(rules.get("fall", 0.0)),
        order_pause=float(rules.get("orderPause", 0.0)),
        tick=float(raw.get("resolution", 0.0)),
    )


def _message_class(lane: Mapping[str, Any]) -> MessageClass:
    return MessageClass(
        name=lane["name"],
        effect=_one_of(EFFECTS, lane["repeat"], "kind of repeat"),
        aim=float(lane["slo"]),
        deadline=float(lane["hardLimit"]),
        worth=float(lane.get("importance", 1.0)),
        late_worth=float(lane.get("lateValue", 0.0)),
        dedup_scope=GROUPS.get(lane.get("group", "all"), DedupScope.ZONE),
        dedup_window=float(lane.get("window", 0.0)),
        ordered=bool(lane.get("keepOrder", False)),
        streamed=bool(lane.get("streamed", False)),
        aim_stretch=float(lane.get("aimStretch", 0.0)),
    )


def _record(code: int, fields: bytes) -> bytes:
    return RECORD.pack(code, len(fields)) + fields


def _text(code: int, instance: int, text: str) -> bytes:
    data = text.encode()[:0xFFFF].decode(errors="ignore").encode()
    return _record(code, TEXT.pack(instance, len(data)) + data)


def fault(instance: int, text: str) -> bytes:
    """The record that says that the decision code has failed."""
    return _text(67, instance, text)


def action(instance: int, act: Action) -> bytes:
    """One action as a record."""
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
    """A whole reply frame."""
    body = b"".join(records)
    return REPLY_HEADER.pack(8 + len(body), len(records), number) + body
