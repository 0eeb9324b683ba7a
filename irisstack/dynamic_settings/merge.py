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
    check_same_routes,
    check_same_terms,
    kind_item,
    lane,
)
from irisstack.interface import Settings
from irisstack.settings import SettingsError

MAX_POSITIONS = 4096
"""The most classes, kinds, tenants or zones, those that went included, until a restart drops these."""


class Change(Enum):
    """How a running node takes a change of a field."""

    FOLLOWS = auto()  # the new value counts from the next turn on
    BY_NAME = auto()  # a list whose members keep their positions
    RESTART = auto()  # refused: the node was built by the value


@dataclass(slots=True, frozen=True)
class Rule:
    """What a change of one field of `Settings` means for a running node."""

    change: Change
    path: str
    """Of the settings document."""
    reason: str


RULES: Mapping[str, Rule] = {
    "classes": Rule(
        Change.BY_NAME, "lanes", "messages refer to a class by position and keep their own terms"
    ),
    "kinds": Rule(Change.BY_NAME, "kinds", "endpoints refer to a kind by position"),
    "tenants": Rule(Change.BY_NAME, "tenants", "messages refer to a tenant by position"),
    "zones": Rule(Change.BY_NAME, "failureDomains", "endpoints, and messages that ran, refer to a zone"),
    "zone": Rule(Change.RESTART, "az", "the machine stands where it stands"),
    "cross_zone_price": Rule(Change.FOLLOWS, "tariffs.crossZone", "read whenever a route is chosen"),
    "senders": Rule(Change.FOLLOWS, "balancers", "read whenever a part of a shared limit is taken"),
    "ordinal": Rule(Change.RESTART, "ordinal", "it tells this node from the others"),
    "max_calls": Rule(
        Change.FOLLOWS, "extra.maxCalls", "read before each call; mailboxes and idle connections follow"
    ),
    "max_pending": Rule(Change.FOLLOWS, "allowed.mostHeld", "read as a message comes; what is held stays"),
    "max_attempts": Rule(Change.FOLLOWS, "allowed.attemptsCap", "read as a message is put in line"),
    "may_cancel": Rule(Change.FOLLOWS, "allowed.cancel", "read when slots run out"),
    "may_duplicate": Rule(Change.FOLLOWS, "allowed.mayDuplicate", "no state hangs on it"),
    "may_probe": Rule(Change.FOLLOWS, "allowed.mayProbe", "no state hangs on it"),
    "may_gossip": Rule(
        Change.FOLLOWS, "allowed.mayTell", "read with each failure; without `peers` it stays false"
    ),
    "advises_retry_after": Rule(Change.FOLLOWS, "allowed.retryAfter", "read with each refusal"),
    "max_retry_after": Rule(Change.FOLLOWS, "allowed.maxRetryAfter", "read with each refusal"),
    "connect_timeout": Rule(
        Change.FOLLOWS, "allowed.dialTimeout", "counts for the next connect; a repeat has its own last moment"
    ),
    "keepalive": Rule(Change.FOLLOWS, "allowed.keepalive", "counts from the next look at idle connections"),
    "calls_per_connection": Rule(Change.FOLLOWS, "allowed.multiplex", "read whenever a route is chosen"),
    "discovery_on_request": Rule(
        Change.RESTART, "discovery", "who holds the watch, node or decisions, is settled at the start"
    ),
    "list_refresh_interval": Rule(
        Change.FOLLOWS, "invariants.askWithin", "read before the next call for the list"
    ),
    "listed_rates": Rule(
        Change.RESTART, "weights", "a rate is taken, or left, as its line of the list comes"
    ),
    "rates_are_rough": Rule(Change.RESTART, "weights", "as above: one key sets both"),
    "report_fields": Rule(
        Change.FOLLOWS, "report.names", "a report that was read by other names is left out"
    ),
    "decay": Rule(Change.FOLLOWS, "extra.fades", "no state hangs on it"),
    "over_share_worth": Rule(Change.FOLLOWS, "overShareWorth", "no state hangs on it"),
    "answer_slack": Rule(Change.FOLLOWS, "invariants.answerSlack", "no state hangs on it"),
    "drain_grace": Rule(Change.FOLLOWS, "invariants.drainGrace", "no state hangs on it"),
    "warmup_start_share": Rule(
        Change.FOLLOWS, "invariants.startCapacity", "read with each call while warming up"
    ),
    "warmup_seconds": Rule(Change.FOLLOWS, "invariants.cold", "read with each call while warming up"),
    "overload_multiple": Rule(
        Change.FOLLOWS, "invariants.tipMultiple", "read with each call while warming up"
    ),
    "overload_window": Rule(Change.FOLLOWS, "invariants.fall", "no state hangs on it"),
    "order_pause": Rule(Change.FOLLOWS, "invariants.orderPause", "read as an attempt ends"),
    "clock_resolution": Rule(
        Change.RESTART,
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
    check_restart(in_force, proposed)
    _check_names_stand(in_force, proposed)
    merged = replace(
        proposed,
        classes=_positions(LANES, in_force.classes, proposed.classes),
        kinds=_positions(KINDS, in_force.kinds, proposed.kinds),
        tenants=_positions("tenants", in_force.tenants, proposed.tenants),
        zones=tuple(dict.fromkeys((*in_force.zones, *proposed.zones))),
        zone=in_force.zone,
    )
    _check_count("failureDomains", len(merged.zones))
    return merged


def definitions_of_gone(merged: Settings, proposed: Settings) -> dict[str, Any]:
    """Definitions of the classes and kinds that went, by path, as `document.compose` takes them."""
    classes = {kind.name for kind in proposed.classes}
    kinds = {kind.name for kind in proposed.kinds}
    return {
        **{f"{LANES}/{kind.name}": lane(kind) for kind in merged.classes if kind.name not in classes},
        **{f"{KINDS}/{kind.name}": kind_item(kind) for kind in merged.kinds if kind.name not in kinds},
    }


def check_restart(in_force: Settings, proposed: Settings) -> None:
    """Raise `SettingsError` for a change of what a running node cannot follow."""
    for field in fields(Settings):
        rule = RULES[field.name]
        if rule.change is Change.RESTART and _value(in_force, field.name) != _value(proposed, field.name):
            raise SettingsError(f"{rule.path}: needs a restart to change: {rule.reason}")


def _value(settings: Settings, field: str) -> Any:
    """A field; the own zone by its name, since its position may differ in a list that was written anew."""
    if field == "zone":
        return settings.zones[settings.zone] if settings.zones else None
    return getattr(settings, field)


def _check_names_stand(in_force: Settings, proposed: Settings) -> None:
    classes = {kind.name: kind for kind in in_force.classes}
    for new in proposed.classes:
        if (old := classes.get(new.name)) is not None:
            check_same_terms(new, old)
    kinds = {kind.name: kind for kind in in_force.kinds}
    for kind in proposed.kinds:
        if (known := kinds.get(kind.name)) is not None:
            check_same_routes(kind, known)


def _positions(path: str, in_force: tuple[Member, ...], proposed: tuple[Member, ...]) -> tuple[Member, ...]:
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
