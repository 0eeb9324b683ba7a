"""Proposed settings under the positions of those in force, or why a running node cannot take them.

Pure. Messages, endpoints and breakers refer to classes, kinds, tenants and zones by position. So each keeps
the position that it had under its name, also once it went; what is new is appended.
"""

from collections.abc import Mapping
from dataclasses import dataclass, fields, replace
from enum import Enum, auto
from typing import Any, Protocol, TypeVar

from irisstack.dynamic_settings.document import (
    KINDS,
    LANES,
    check_class_compatible,
    check_kind_compatible,
    class_item,
    kind_item,
)
from irisstack.interface import Settings
from irisstack.settings import SettingsError

MAX_POSITIONS = 4096
"""The most classes, kinds, tenants or zones, those that went included, until a restart drops these."""


class ChangePolicy(Enum):
    """How a running node takes a change of a field."""

    LIVE = auto()  # the new value counts from the next turn on
    BY_NAME = auto()  # a list whose members keep their positions
    RESTART = auto()  # refused: the node was built by the value


@dataclass(slots=True, frozen=True)
class FieldRule:
    """What a change of one field of `Settings` means for a running node."""

    policy: ChangePolicy
    path: str
    """Of the settings document."""
    reason: str


FIELD_RULES: Mapping[str, FieldRule] = {
    "classes": FieldRule(
        ChangePolicy.BY_NAME, "lanes", "messages refer to a class by position and keep their own terms"
    ),
    "kinds": FieldRule(ChangePolicy.BY_NAME, "kinds", "endpoints refer to a kind by position"),
    "tenants": FieldRule(ChangePolicy.BY_NAME, "tenants", "messages refer to a tenant by position"),
    "zones": FieldRule(
        ChangePolicy.BY_NAME, "failureDomains", "endpoints, and messages that ran, refer to a zone"
    ),
    "zone": FieldRule(ChangePolicy.RESTART, "az", "the machine stands where it stands"),
    "cross_zone_price": FieldRule(ChangePolicy.LIVE, "tariffs.crossZone", "read whenever a route is chosen"),
    "senders": FieldRule(ChangePolicy.LIVE, "balancers", "read whenever a part of a shared limit is taken"),
    "ordinal": FieldRule(ChangePolicy.RESTART, "ordinal", "it tells this node from the others"),
    "max_calls": FieldRule(
        ChangePolicy.LIVE, "extra.maxCalls", "read before each call; mailboxes and idle connections follow"
    ),
    "max_pending": FieldRule(
        ChangePolicy.LIVE, "allowed.mostHeld", "read as a message comes; what is held stays"
    ),
    "max_attempts": FieldRule(ChangePolicy.LIVE, "allowed.attemptsCap", "read as a message is put in line"),
    "may_cancel": FieldRule(ChangePolicy.LIVE, "allowed.cancel", "read when slots run out"),
    "may_duplicate": FieldRule(ChangePolicy.LIVE, "allowed.mayDuplicate", "no state hangs on it"),
    "may_probe": FieldRule(ChangePolicy.LIVE, "allowed.mayProbe", "no state hangs on it"),
    "may_gossip": FieldRule(
        ChangePolicy.LIVE, "allowed.mayTell", "read with each failure; without `peers` it stays false"
    ),
    "advises_retry_after": FieldRule(ChangePolicy.LIVE, "allowed.retryAfter", "read with each refusal"),
    "max_retry_after": FieldRule(ChangePolicy.LIVE, "allowed.maxRetryAfter", "read with each refusal"),
    "connect_timeout": FieldRule(
        ChangePolicy.LIVE,
        "allowed.dialTimeout",
        "counts for the next connect; a repeat has its own last moment",
    ),
    "keepalive": FieldRule(
        ChangePolicy.LIVE, "allowed.keepalive", "counts from the next look at idle connections"
    ),
    "calls_per_connection": FieldRule(
        ChangePolicy.LIVE, "allowed.multiplex", "read whenever a route is chosen"
    ),
    "discovery_on_request": FieldRule(
        ChangePolicy.RESTART, "discovery", "who holds the watch, node or decisions, is settled at the start"
    ),
    "list_refresh_interval": FieldRule(
        ChangePolicy.LIVE, "invariants.askWithin", "read before the next call for the list"
    ),
    "listed_rates": FieldRule(
        ChangePolicy.RESTART, "weights", "a rate is taken, or left, as its line of the list comes"
    ),
    "rates_are_rough": FieldRule(ChangePolicy.RESTART, "weights", "as above: one key sets both"),
    "report_fields": FieldRule(
        ChangePolicy.LIVE, "report.names", "a report that was read by other names is left out"
    ),
    "decay": FieldRule(ChangePolicy.LIVE, "extra.fades", "no state hangs on it"),
    "over_share_worth": FieldRule(ChangePolicy.LIVE, "overShareWorth", "no state hangs on it"),
    "answer_slack": FieldRule(ChangePolicy.LIVE, "invariants.answerSlack", "no state hangs on it"),
    "drain_grace": FieldRule(ChangePolicy.LIVE, "invariants.drainGrace", "no state hangs on it"),
    "warmup_start_share": FieldRule(
        ChangePolicy.LIVE, "invariants.startCapacity", "read with each call while warming up"
    ),
    "warmup_seconds": FieldRule(ChangePolicy.LIVE, "invariants.cold", "read with each call while warming up"),
    "overload_multiple": FieldRule(
        ChangePolicy.LIVE, "invariants.tipMultiple", "read with each call while warming up"
    ),
    "overload_window": FieldRule(ChangePolicy.LIVE, "invariants.fall", "no state hangs on it"),
    "order_pause": FieldRule(ChangePolicy.LIVE, "invariants.orderPause", "read as an attempt ends"),
    "clock_resolution": FieldRule(
        ChangePolicy.RESTART,
        "resolution",
        "timers that are set and the last moments of repeats were reckoned by it",
    ),
}
"""Each field of `Settings`."""


class _Named(Protocol):
    @property
    def name(self) -> str: ...


Member = TypeVar("Member", bound=_Named)


def merge(in_force: Settings, proposed: Settings) -> Settings:
    """The proposed settings with stable positions; raises `SettingsError` for what is not taken.

    Both may be merged ones. What went is still there, so that a class that went and comes back with another
    effect is refused as well.
    """
    check_no_restart_needed(in_force, proposed)
    _check_definitions_compatible(in_force, proposed)
    merged = replace(
        proposed,
        classes=_merge_by_name(LANES, in_force.classes, proposed.classes),
        kinds=_merge_by_name(KINDS, in_force.kinds, proposed.kinds),
        tenants=_merge_by_name("tenants", in_force.tenants, proposed.tenants),
        zones=tuple(dict.fromkeys((*in_force.zones, *proposed.zones))),
        zone=in_force.zone,
    )
    _check_count("failureDomains", len(merged.zones))
    return merged


def retired_definitions(merged: Settings, proposed: Settings) -> dict[str, Any]:
    """Definitions of the classes and kinds that went, by path, as `document.compose` takes them."""
    classes = {message_class.name for message_class in proposed.classes}
    kinds = {kind.name for kind in proposed.kinds}
    return {
        **{
            f"{LANES}/{message_class.name}": class_item(message_class)
            for message_class in merged.classes
            if message_class.name not in classes
        },
        **{f"{KINDS}/{kind.name}": kind_item(kind) for kind in merged.kinds if kind.name not in kinds},
    }


def check_no_restart_needed(in_force: Settings, proposed: Settings) -> None:
    """Raise `SettingsError` for a change of what a running node cannot follow."""
    for field in fields(Settings):
        rule = FIELD_RULES[field.name]
        if rule.policy is ChangePolicy.RESTART and _comparable(in_force, field.name) != _comparable(
            proposed, field.name
        ):
            raise SettingsError(f"{rule.path}: needs a restart to change: {rule.reason}")


def _comparable(settings: Settings, field: str) -> Any:
    """A field; the own zone by its name, since its position may differ in a list that was written anew."""
    if field == "zone":
        return settings.zones[settings.zone] if settings.zones else None
    return getattr(settings, field)


def _check_definitions_compatible(in_force: Settings, proposed: Settings) -> None:
    classes = {message_class.name: message_class for message_class in in_force.classes}
    for new in proposed.classes:
        if (old := classes.get(new.name)) is not None:
            check_class_compatible(new, old)
    kinds = {kind.name: kind for kind in in_force.kinds}
    for kind in proposed.kinds:
        if (known := kinds.get(kind.name)) is not None:
            check_kind_compatible(kind, known)


def _merge_by_name(
    path: str, in_force: tuple[Member, ...], proposed: tuple[Member, ...]
) -> tuple[Member, ...]:
    """The members in force at their places, as proposed where proposed; then those that are new."""
    by_name = {member.name: member for member in proposed}
    known = {member.name for member in in_force}
    kept = [by_name.get(member.name, member) for member in in_force]
    merged = (*kept, *(member for member in proposed if member.name not in known))
    _check_count(path, len(merged))
    return merged


def _check_count(path: str, count: int) -> None:
    if count > MAX_POSITIONS:
        raise SettingsError(
            f"{path}: {MAX_POSITIONS} at most with those that went, not {count}; a restart drops these"
        )
