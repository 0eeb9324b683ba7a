"""Ranges of the settings: a change that a running node could not work with is refused before it is taken.

Pure. `irisstack.settings` checks types; a node started with an odd value is seen at once to fail, while a
change meets a whole fleet that serves. Each check names the path of the value first.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from irisstack.interface import MessageClass, Settings
from irisstack.settings import SettingsError


@dataclass(slots=True, frozen=True)
class Range:
    """The values that one number of the settings may have."""

    path: str
    field: str
    least: float
    above: bool = False
    """Whether the least value itself is out."""


RANGES = (
    Range("allowed.attemptsCap", "max_attempts", 1),
    Range("allowed.mostHeld", "max_pending", 1),
    Range("allowed.maxRetryAfter", "max_retry_after", 0),
    Range("allowed.dialTimeout", "connect_timeout", 0),
    Range("allowed.keepalive", "keepalive", 0),
    Range("allowed.multiplex", "calls_per_connection", 1),
    Range("balancers", "senders", 1),
    Range("extra.maxCalls", "max_calls", 1),
    Range("invariants.answerSlack", "answer_slack", 0),
    Range("invariants.cold", "warmup_seconds", 0),
    Range("invariants.drainGrace", "drain_grace", 0),
    Range("invariants.fall", "overload_window", 0),
    Range("invariants.orderPause", "order_pause", 0),
    Range("invariants.startCapacity", "warmup_start_share", 0, above=True),
    Range("invariants.tipMultiple", "overload_multiple", 0, above=True),
    Range("overShareWorth", "over_share_worth", 0),
    Range("resolution", "clock_resolution", 0),
)


def check_values(settings: Settings) -> None:
    """Raise `SettingsError` for the first value that is out of its range."""
    for bound in RANGES:
        _check(bound.path, getattr(settings, bound.field), bound.least, bound.above)
    if settings.list_refresh_interval is not None:
        _check("invariants.askWithin", settings.list_refresh_interval, 0, above=True)
    if not settings.kinds:
        raise SettingsError("kinds: at least one kind is due")
    _check_names("lanes", (kind.name for kind in settings.classes))
    _check_names("kinds", (kind.name for kind in settings.kinds))
    _check_names("tenants", (tenant.name for tenant in settings.tenants))
    _check_names("failureDomains", settings.zones)
    for kind in settings.classes:
        _check_class(kind)
    for tenant in settings.tenants:
        _check(f"tenants/{tenant.name}.allowancePerS", tenant.rate, 0)
        _check(f"tenants/{tenant.name}.share", tenant.share, 0)


def _check_class(kind: MessageClass) -> None:
    path = f"lanes/{kind.name}"
    _check(f"{path}.slo", kind.latency_target, 0, above=True)
    _check(f"{path}.hardLimit", kind.deadline, kind.latency_target)
    _check(f"{path}.importance", kind.worth, 0, above=True)
    _check(f"{path}.lateValue", kind.late_worth, 0)
    _check(f"{path}.window", kind.dedup_window, 0)


def _check(path: str, value: float, least: float, above: bool = False) -> None:
    if value < least or (above and value == least):
        raise SettingsError(
            f"{path}: {'above ' if above else ''}{least:g}{'' if above else ' or more'} is due, not {value:g}"
        )


def _check_names(path: str, names: Iterable[str]) -> None:
    for name, count in Counter(names).items():
        if not name:
            raise SettingsError(f"{path}: a name is due")
        if count > 1:
            raise SettingsError(f"{path}/{name}: is there {count} times")
