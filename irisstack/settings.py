"""Parses the platform's settings object into `interface.Settings`, for the simulator's adapter and the node.

Unknown keys are ignored; the defaults of absent keys are those of the simulator's protocol.
"""

import math
from collections.abc import Mapping, Sequence
from typing import Any

from irisstack.interface import Decay, DedupScope, DestinationKind, Effect, MessageClass, Settings, Tenant

EFFECTS = {"read_like": Effect.SAFE, "idempotency_key": Effect.KEYED, "non_idempotent": Effect.UNSAFE}
DEDUP_SCOPES = {"all": DedupScope.DESTINATION, "zone": DedupScope.ZONE}
DECAYS = {"even": Decay.LINEAR, "by_half": Decay.HALVING}

MAX_QUOTED_LENGTH = 80
"""Characters of a value that an error message quotes."""


class SettingsError(Exception):
    """A key is missing or has an invalid value; the message begins with the key's full path."""


def _is_finite(value: float) -> bool:
    """Whether the value is finite as a float; an integer may be too large for one."""
    try:
        return math.isfinite(value)
    except OverflowError:
        return False


def _quoted(value: object) -> str:
    """The value as quoted in an error message of one line."""
    text = repr(value) if not isinstance(value, int) or value.bit_length() < 64 else "a number out of range"
    return text if len(text) <= MAX_QUOTED_LENGTH else f"{text[:MAX_QUOTED_LENGTH]}..."


class Reader:
    """Reads the keys of one JSON object and checks their types."""

    def __init__(self, raw: object, path: str = "") -> None:
        if not isinstance(raw, Mapping):
            raise SettingsError(f"{path or 'the document'}: expected an object, got {type(raw).__name__}")
        self._raw: Mapping[str, Any] = raw
        self._path = path

    def path(self, key: str) -> str:
        return f"{self._path}.{key}" if self._path else key

    def value(self, key: str) -> Any:
        """The unchecked value; `None` if the key is absent."""
        return self._raw.get(key)

    def number(self, key: str, default: float | None = None) -> float:
        value = self._raw.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not _is_finite(value):
            raise SettingsError(f"{self.path(key)}: expected a number, got {_quoted(value)}")
        return float(value)

    def integer(self, key: str, default: int | None = None) -> int:
        value = self.number(key, default)
        if value != int(value):
            raise SettingsError(f"{self.path(key)}: expected an integer, got {value!r}")
        return int(value)

    def boolean(self, key: str, default: bool = False) -> bool:
        value = self._raw.get(key, default)
        if not isinstance(value, bool):
            raise SettingsError(f"{self.path(key)}: expected true or false, got {value!r}")
        return value

    def text(self, key: str, default: str | None = None) -> str:
        value = self._raw.get(key, default)
        if not isinstance(value, str):
            raise SettingsError(f"{self.path(key)}: expected a string, got {value!r}")
        return value

    def items(self, key: str) -> list[Any]:
        value = self._raw.get(key, [])
        if not isinstance(value, list):
            raise SettingsError(f"{self.path(key)}: expected a list, got {type(value).__name__}")
        return value

    def per_name(self, key: str, names: Sequence[str], default: Any) -> list[Any]:
        """A list with one value per name; a shorter list is padded with the default."""
        values = self.items(key)
        if names and len(values) > len(names):
            raise SettingsError(f"{self.path(key)}: expected at most {len(names)} values, got {len(values)}")
        return [*values, *[default] * len(names)][: len(names)]

    def texts(self, key: str) -> list[str]:
        for i, value in enumerate(self.items(key)):
            if not isinstance(value, str):
                raise SettingsError(f"{self.path(key)}[{i}]: expected a string, got {value!r}")
        return self.items(key)

    def section(self, key: str) -> "Reader":
        return Reader(self._raw.get(key, {}), self.path(key))

    def sections(self, key: str) -> "list[Reader]":
        return [Reader(item, f"{self.path(key)}[{i}]") for i, item in enumerate(self.items(key))]

    def one_of(self, key: str, table: Mapping[str, Any]) -> Any:
        name = self.text(key)
        if name not in table:
            raise SettingsError(f"{self.path(key)}: expected one of {', '.join(table)}, got {name!r}")
        return table[name]


def read(raw: Reader) -> Settings:
    """Parse the settings object; raises `SettingsError`."""
    allowed, extra, invariants, report, tariffs = (
        raw.section(key) for key in ("allowed", "extra", "invariants", "report", "tariffs")
    )
    kind_names, zones = raw.texts("shapes"), raw.texts("failureDomains")
    max_batches, separate_routes = (
        extra.per_name("batchByKind", kind_names, 1),
        extra.per_name("separateRoutes", kind_names, False),
    )
    for i, (max_batch, separate) in enumerate(zip(max_batches, separate_routes, strict=True)):
        if isinstance(max_batch, bool) or not isinstance(max_batch, int) or max_batch < 1:
            raise SettingsError(
                f"{extra.path('batchByKind')}[{i}]: expected an integer of at least 1, got {max_batch!r}"
            )
        if not isinstance(separate, bool):
            raise SettingsError(
                f"{extra.path('separateRoutes')}[{i}]: expected true or false, got {separate!r}"
            )
    kinds = tuple(map(DestinationKind, kind_names, max_batches, separate_routes))
    zone, cross_zone_price = raw.integer("az", 0), tariffs.number("crossZone", 0.0)
    if zone < 0 or zone >= max(1, len(zones)):
        raise SettingsError(f"{raw.path('az')}: expected the index of one of {len(zones)} zones, got {zone}")
    if cross_zone_price < 0.0:
        raise SettingsError(f"{tariffs.path('crossZone')}: expected 0 or more, got {cross_zone_price!r}")
    classes = tuple(message_class(lane) for lane in raw.sections("lanes"))
    if not classes:
        raise SettingsError(f"{raw.path('lanes')}: expected at least one class, got none")
    return Settings(
        classes=classes,
        kinds=kinds,
        tenants=tuple(tenant(item) for item in raw.sections("tenants")),
        zones=tuple(zones),
        zone=zone,
        cross_zone_price=cross_zone_price,
        senders=raw.integer("balancers", 1),
        ordinal=raw.integer("ordinal", 0),
        max_calls=extra.integer("maxCalls"),
        max_pending=allowed.integer("mostHeld"),
        max_attempts=allowed.integer("attemptsCap"),
        may_cancel=allowed.boolean("cancel"),
        may_duplicate=allowed.boolean("mayDuplicate"),
        may_probe=allowed.boolean("mayProbe"),
        may_gossip=allowed.boolean("mayTell"),
        advises_retry_after=allowed.boolean("retryAfter"),
        max_retry_after=allowed.number("maxRetryAfter", 0.0),
        connect_timeout=allowed.number("dialTimeout", 0.0),
        keepalive=allowed.number("keepalive", 0.0),
        calls_per_connection=allowed.integer("multiplex", 1),
        discovery_on_request=raw.text("discovery", "pushed") == "on_request",
        list_refresh_interval=invariants.number("askWithin")
        if invariants.value("askWithin") is not None
        else None,
        listed_rates=raw.text("weights", "off") in ("nominal", "rough"),
        rates_are_rough=raw.text("weights", "off") == "rough",
        report_fields=tuple(report.texts("names")) if report.text("how", "off") != "off" else (),
        decay=DECAYS.get(extra.text("fades", "even"), Decay.LINEAR),
        over_share_worth=raw.number("overShareWorth", 1.0),
        answer_slack=invariants.number("answerSlack", 0.0),
        drain_grace=invariants.number("drainGrace", 0.0),
        warmup_start_share=invariants.number("startCapacity", 1.0),
        warmup_seconds=invariants.number("cold", 0.0),
        overload_multiple=invariants.number("tipMultiple", 1.0),
        overload_window=invariants.number("fall", 0.0),
        order_pause=invariants.number("orderPause", 0.0),
        clock_resolution=raw.number("resolution", 0.0),
    )


def tenant(item: Reader) -> Tenant:
    """Parse one item of `tenants`."""
    return Tenant(item.text("name"), item.number("allowancePerS", 0.0), item.number("share", 0.0))


def message_class(lane: Reader) -> MessageClass:
    """Parse one item of `lanes`, a message class."""
    return MessageClass(
        name=lane.text("name"),
        effect=lane.one_of("repeat", EFFECTS),
        latency_target=lane.number("slo"),
        deadline=lane.number("hardLimit"),
        worth=lane.number("importance", 1.0),
        late_worth=lane.number("lateValue", 0.0),
        dedup_scope=DEDUP_SCOPES.get(lane.text("group", "all"), DedupScope.ZONE),
        dedup_window=lane.number("window", 0.0),
        ordered=lane.boolean("keepOrder"),
    )
