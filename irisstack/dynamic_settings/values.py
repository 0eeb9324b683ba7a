"""Range checks of the settings, so that a change that a running node could not work with is refused.

Pure functions. `irisstack.settings` checks types only: a node started with an invalid value visibly fails at
once, but a dynamic change reaches a whole fleet in service. Errors begin with the path of the value.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from irisstack.interface import MessageClass, Settings
from irisstack.settings import SettingsError


@dataclass(slots=True, frozen=True)
class NumberRange:
    """The range of one number of the settings: from `minimum` up."""

    path: str
    field: str
    minimum: float
    exclusive: bool = False
    """Whether the minimum itself is not allowed."""


RANGES = (
    NumberRange("allowed.attemptsCap", "max_attempts", 1),
    NumberRange("allowed.mostHeld", "max_pending", 1),
    NumberRange("allowed.maxRetryAfter", "max_retry_after", 0),
    NumberRange("allowed.dialTimeout", "connect_timeout", 0),
    NumberRange("allowed.keepalive", "keepalive", 0),
    NumberRange("allowed.multiplex", "calls_per_connection", 1),
    NumberRange("balancers", "senders", 1),
    NumberRange("extra.maxCalls", "max_calls", 1),
    NumberRange("invariants.answerSlack", "answer_slack", 0),
    NumberRange("invariants.cold", "warmup_seconds", 0),
    NumberRange("invariants.drainGrace", "drain_grace", 0),
    NumberRange("invariants.fall", "overload_window", 0),
    NumberRange("invariants.orderPause", "order_pause", 0),
    NumberRange("invariants.startCapacity", "warmup_start_share", 0, exclusive=True),
    NumberRange("invariants.tipMultiple", "overload_multiple", 0, exclusive=True),
    NumberRange("overShareWorth", "over_share_worth", 0),
    NumberRange("resolution", "clock_resolution", 0),
)


def check_values(settings: Settings) -> None:
    """Raise `SettingsError` for the first value that is out of its range."""
    for limit in RANGES:
        _check_range(limit.path, getattr(settings, limit.field), limit.minimum, limit.exclusive)
    if settings.list_refresh_interval is not None:
        _check_range("invariants.askWithin", settings.list_refresh_interval, 0, exclusive=True)
    if not settings.kinds:
        raise SettingsError("kinds: expected at least one kind")
    _check_names("lanes", (message_class.name for message_class in settings.classes))
    _check_names("kinds", (kind.name for kind in settings.kinds))
    _check_names("tenants", (tenant.name for tenant in settings.tenants))
    _check_names("failureDomains", settings.zones)
    for message_class in settings.classes:
        _check_class(message_class)
    for tenant in settings.tenants:
        _check_range(f"tenants/{tenant.name}.allowancePerS", tenant.rate, 0)
        _check_range(f"tenants/{tenant.name}.share", tenant.share, 0)


def _check_class(message_class: MessageClass) -> None:
    path = f"lanes/{message_class.name}"
    _check_range(f"{path}.slo", message_class.latency_target, 0, exclusive=True)
    _check_range(f"{path}.hardLimit", message_class.deadline, message_class.latency_target)
    _check_range(f"{path}.importance", message_class.worth, 0, exclusive=True)
    _check_range(f"{path}.lateValue", message_class.late_worth, 0)
    _check_range(f"{path}.window", message_class.dedup_window, 0)


def _check_range(path: str, value: float, minimum: float, exclusive: bool = False) -> None:
    if value < minimum or (exclusive and value == minimum):
        raise SettingsError(
            f"{path}: expected {'more than ' if exclusive else ''}{minimum:g}"
            f"{'' if exclusive else ' or more'}, got {value:g}"
        )


def _check_names(path: str, names: Iterable[str]) -> None:
    for name, count in Counter(names).items():
        if not name:
            raise SettingsError(f"{path}: expected a name that is not empty")
        if count > 1:
            raise SettingsError(f"{path}/{name}: expected once, got {count} times")
