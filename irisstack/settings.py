"""The platform's settings object as `interface.Settings`, for the bench's wire and the node alike.

Translation only: unknown keys are skipped, absent ones mean what the wire's page says.
"""

import math
from collections.abc import Mapping, Sequence
from typing import Any

from irisstack.interface import Decay, DedupScope, DestinationKind, Effect, MessageClass, Settings, Tenant

EFFECTS = {"read_like": Effect.SAFE, "idempotency_key": Effect.KEYED, "non_idempotent": Effect.UNSAFE}
DEDUP_SCOPES = {"all": DedupScope.DESTINATION, "zone": DedupScope.ZONE}
DECAYS = {"even": Decay.LINEAR, "by_half": Decay.HALVING}

LONGEST_SHOWN = 80
"""Characters of a value that an error repeats."""


class SettingsError(Exception):
    """A key that is missing or holds what it may not; the text begins with its whole path."""


def _is_finite(value: float) -> bool:
    """Whether it is a number that a float can hold."""
    try:
        return math.isfinite(value)
    except OverflowError:
        return False


def _shown(value: object) -> str:
    """A value in an error of one line."""
    text = repr(value) if not isinstance(value, int) or value.bit_length() < 64 else "a number far too large"
    return text if len(text) <= LONGEST_SHOWN else f"{text[:LONGEST_SHOWN]}..."


class Reader:
    """One JSON object, read key by key."""

    def __init__(self, raw: object, path: str = "") -> None:
        if not isinstance(raw, Mapping):
            raise SettingsError(f"{path or 'the document'}: an object is due, not {type(raw).__name__}")
        self._raw: Mapping[str, Any] = raw
        self._path = path

    def path(self, key: str) -> str:
        return f"{self._path}.{key}" if self._path else key

    def value(self, key: str) -> Any:
        """Whatever stands there; `None` if nothing does."""
        return self._raw.get(key)

    def number(self, key: str, default: float | None = None) -> float:
        value = self._raw.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not _is_finite(value):
            raise SettingsError(f"{self.path(key)}: a number is due, not {_shown(value)}")
        return float(value)

    def integer(self, key: str, default: int | None = None) -> int:
        value = self.number(key, default)
        if value != int(value):
            raise SettingsError(f"{self.path(key)}: a whole number is due, not {value!r}")
        return int(value)

    def boolean(self, key: str, default: bool = False) -> bool:
        value = self._raw.get(key, default)
        if not isinstance(value, bool):
            raise SettingsError(f"{self.path(key)}: true or false is due, not {value!r}")
        return value

    def text(self, key: str, default: str | None = None) -> str:
        value = self._raw.get(key, default)
        if not isinstance(value, str):
            raise SettingsError(f"{self.path(key)}: a text is due, not {value!r}")
        return value

    def items(self, key: str) -> list[Any]:
        value = self._raw.get(key, [])
        if not isinstance(value, list):
            raise SettingsError(f"{self.path(key)}: a list is due, not {type(value).__name__}")
        return value

    def per_name(self, key: str, names: Sequence[str], default: Any) -> list[Any]:
        """A list with a value for each of the names, filled up with the default where it is shorter."""
        values = self.items(key)
        if names and len(values) > len(names):
            raise SettingsError(f"{self.path(key)}: {len(names)} values at most are due, not {len(values)}")
        return [*values, *[default] * len(names)][: len(names)]

    def texts(self, key: str) -> list[str]:
        for i, value in enumerate(self.items(key)):
            if not isinstance(value, str):
                raise SettingsError(f"{self.path(key)}[{i}]: a text is due, not {value!r}")
        return self.items(key)

    def section(self, key: str) -> "Reader":
        return Reader(self._raw.get(key, {}), self.path(key))

    def sections(self, key: str) -> "list[Reader]":
        return [Reader(item, f"{self.path(key)}[{i}]") for i, item in enumerate(self.items(key))]

    def one_of(self, key: str, table: Mapping[str, Any]) -> Any:
        name = self.text(key)
        if name not in table:
            raise SettingsError(f"{self.path(key)}: one of {', '.join(table)} is due, not {name!r}")
        return table[name]


def read(raw: Reader) -> Settings:
    """The settings from the object that an instance is handed."""
    allowed, extra, rules, report, tariffs = (
        raw.section(key) for key in ("allowed", "extra", "invariants", "report", "tariffs")
    )
    names, zones = raw.texts("shapes"), raw.texts("failureDomains")
    batches, apart = extra.per_name("batchByKind", names, 1), extra.per_name("separateRoutes", names, False)
    for i, (most, alone) in enumerate(zip(batches, apart, strict=True)):
        if isinstance(most, bool) or not isinstance(most, int) or most < 1:
            raise SettingsError(f"{extra.path('batchByKind')}[{i}]: 1 or more is due, not {most!r}")
        if not isinstance(alone, bool):
            raise SettingsError(f"{extra.path('separateRoutes')}[{i}]: true or false is due, not {alone!r}")
    kinds = tuple(map(DestinationKind, names, batches, apart))
    zone, cross_zone_price = raw.integer("az", 0), tariffs.number("crossZone", 0.0)
    if zone < 0 or zone >= max(1, len(zones)):
        raise SettingsError(f"{raw.path('az')}: the place of one of {len(zones)} zones is due, not {zone}")
    if cross_zone_price < 0.0:
        raise SettingsError(f"{tariffs.path('crossZone')}: 0 or more is due, not {cross_zone_price!r}")
    classes = tuple(message_class(lane) for lane in raw.sections("lanes"))
    if not classes:
        raise SettingsError(f"{raw.path('lanes')}: at least one class is due")
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
        list_refresh_interval=rules.number("askWithin") if rules.value("askWithin") is not None else None,
        listed_rates=raw.text("weights", "off") in ("nominal", "rough"),
        rates_are_rough=raw.text("weights", "off") == "rough",
        report_fields=tuple(report.texts("names")) if report.text("how", "off") != "off" else (),
        decay=DECAYS.get(extra.text("fades", "even"), Decay.LINEAR),
        over_share_worth=raw.number("overShareWorth", 1.0),
        answer_slack=rules.number("answerSlack", 0.0),
        drain_grace=rules.number("drainGrace", 0.0),
        warmup_start_share=rules.number("startCapacity", 1.0),
        warmup_seconds=rules.number("cold", 0.0),
        overload_multiple=rules.number("tipMultiple", 1.0),
        overload_window=rules.number("fall", 0.0),
        order_pause=rules.number("orderPause", 0.0),
        clock_resolution=raw.number("resolution", 0.0),
    )


def tenant(item: Reader) -> Tenant:
    """One tenant from its object."""
    return Tenant(item.text("name"), item.number("allowancePerS", 0.0), item.number("share", 0.0))


def message_class(lane: Reader) -> MessageClass:
    """One class from its object."""
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
