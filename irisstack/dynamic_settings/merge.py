"""Merges proposed settings into those in force, or refuses what a running node cannot apply.

Pure functions. Messages, endpoints and breakers refer to classes, kinds, tenants and zones by position. So
each name keeps its position, even after it has been removed, and new names are appended.
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
"""Most classes, kinds, tenants or zones, including removed ones, which only a restart drops."""


class ChangePolicy(Enum):
    """How a running node handles a change of a field."""

    LIVE = auto()  # the new value applies from the next turn on
    BY_NAME = auto()  # a list whose members keep their positions by name
    RESTART = auto()  # refused, because the node was set up with the old value


@dataclass(slots=True, frozen=True)
class FieldRule:
    """How a running node handles a change of one field of `Settings`, and why."""

    policy: ChangePolicy
    path: str
    """Path in the settings document."""
    reason: str


FIELD_RULES: Mapping[str, FieldRule] = {
    "classes": FieldRule(
        ChangePolicy.BY_NAME,
        "lanes",
        "messages refer to a class by position and keep a copy of its values",
    ),
    "kinds": FieldRule(ChangePolicy.BY_NAME, "kinds", "endpoints refer to a kind by position"),
    "tenants": FieldRule(ChangePolicy.BY_NAME, "tenants", "messages refer to a tenant by position"),
    "zones": FieldRule(
        ChangePolicy.BY_NAME,
        "failureDomains",
        "endpoints and messages that may have run refer to a zone",
    ),
    "zone": FieldRule(ChangePolicy.RESTART, "az", "the node's machine does not move"),
    "cross_zone_price": FieldRule(ChangePolicy.LIVE, "tariffs.crossZone", "read whenever a route is chosen"),
    "senders": FieldRule(ChangePolicy.LIVE, "balancers", "read whenever a share of a limit is computed"),
    "ordinal": FieldRule(ChangePolicy.RESTART, "ordinal", "it identifies this node among the others"),
    "max_calls": FieldRule(
        ChangePolicy.LIVE, "extra.maxCalls", "read before each call; mailboxes and idle connections follow"
    ),
    "max_pending": FieldRule(
        ChangePolicy.LIVE, "allowed.mostHeld", "read when a message arrives; pending messages stay"
    ),
    "max_attempts": FieldRule(ChangePolicy.LIVE, "allowed.attemptsCap", "read when a message is queued"),
    "may_cancel": FieldRule(ChangePolicy.LIVE, "allowed.cancel", "read when call slots run out"),
    "may_duplicate": FieldRule(ChangePolicy.LIVE, "allowed.mayDuplicate", "no state depends on it"),
    "may_probe": FieldRule(ChangePolicy.LIVE, "allowed.mayProbe", "no state depends on it"),
    "may_gossip": FieldRule(
        ChangePolicy.LIVE, "allowed.mayTell", "read at each failure; stays false without `peers`"
    ),
    "advises_retry_after": FieldRule(ChangePolicy.LIVE, "allowed.retryAfter", "read at each rejection"),
    "max_retry_after": FieldRule(ChangePolicy.LIVE, "allowed.maxRetryAfter", "read at each rejection"),
    "connect_timeout": FieldRule(
        ChangePolicy.LIVE,
        "allowed.dialTimeout",
        "applies to the next connection attempt; a retry has its own latest start",
    ),
    "keepalive": FieldRule(
        ChangePolicy.LIVE, "allowed.keepalive", "applies from the next check of idle connections on"
    ),
    "calls_per_connection": FieldRule(
        ChangePolicy.LIVE, "allowed.multiplex", "read whenever a route is chosen"
    ),
    "discovery_on_request": FieldRule(
        ChangePolicy.RESTART,
        "discovery",
        "whether the node or the sender holds the watch is set at the start",
    ),
    "list_refresh_interval": FieldRule(
        ChangePolicy.LIVE, "invariants.askWithin", "read before the next call for the list"
    ),
    "listed_rates": FieldRule(
        ChangePolicy.RESTART,
        "weights",
        "a rate is used or ignored when its line of the list arrives",
    ),
    "rates_are_rough": FieldRule(ChangePolicy.RESTART, "weights", "set by the same key as `listed_rates`"),
    "report_fields": FieldRule(
        ChangePolicy.LIVE, "report.names", "a report that was read under other names is ignored"
    ),
    "decay": FieldRule(ChangePolicy.LIVE, "extra.fades", "no state depends on it"),
    "over_share_worth": FieldRule(ChangePolicy.LIVE, "overShareWorth", "no state depends on it"),
    "answer_slack": FieldRule(ChangePolicy.LIVE, "invariants.answerSlack", "no state depends on it"),
    "drain_grace": FieldRule(ChangePolicy.LIVE, "invariants.drainGrace", "no state depends on it"),
    "warmup_start_share": FieldRule(
        ChangePolicy.LIVE, "invariants.startCapacity", "read with each call while warming up"
    ),
    "warmup_seconds": FieldRule(ChangePolicy.LIVE, "invariants.cold", "read with each call while warming up"),
    "overload_multiple": FieldRule(
        ChangePolicy.LIVE, "invariants.tipMultiple", "read with each call while warming up"
    ),
    "overload_window": FieldRule(ChangePolicy.LIVE, "invariants.fall", "no state depends on it"),
    "order_pause": FieldRule(ChangePolicy.LIVE, "invariants.orderPause", "read when an attempt ends"),
    "clock_resolution": FieldRule(
        ChangePolicy.RESTART,
        "resolution",
        "pending timers and the latest starts of retries were computed with it",
    ),
}
"""The rule for each field of `Settings`."""


class _Named(Protocol):
    @property
    def name(self) -> str: ...


Member = TypeVar("Member", bound=_Named)


def merge(in_force: Settings, proposed: Settings) -> Settings:
    """The proposed settings with stable positions; raises `SettingsError` for a change that is refused.

    Both arguments may be results of earlier merges. Removed definitions are still in `in_force`, so that a
    class that returns with another effect is refused as well.
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
    _check_position_count("failureDomains", len(merged.zones))
    return merged


def retired_definitions(merged: Settings, proposed: Settings) -> dict[str, Any]:
    """Definitions of the removed classes and kinds, by path, in the form that `document.compose` expects."""
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
    """Raise `SettingsError` for a change that a running node cannot apply."""
    for field in fields(Settings):
        rule = FIELD_RULES[field.name]
        if rule.policy is ChangePolicy.RESTART and _comparable(in_force, field.name) != _comparable(
            proposed, field.name
        ):
            raise SettingsError(f"{rule.path}: needs a restart to change: {rule.reason}")


def _comparable(settings: Settings, field: str) -> Any:
    """A field's value; the node's zone by name, because its position may differ between two lists."""
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
    """The members in force at their positions, with proposed values if any; new members are appended."""
    by_name = {member.name: member for member in proposed}
    known = {member.name for member in in_force}
    kept = [by_name.get(member.name, member) for member in in_force]
    merged = (*kept, *(member for member in proposed if member.name not in known))
    _check_position_count(path, len(merged))
    return merged


def _check_position_count(path: str, count: int) -> None:
    if count > MAX_POSITIONS:
        raise SettingsError(
            f"{path}: expected at most {MAX_POSITIONS} including removed ones, got {count};"
            " a restart drops these"
        )
