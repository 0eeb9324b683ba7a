"""Proposed settings under the positions of those in force."""

import re
from dataclasses import fields, replace
from pathlib import Path
from typing import Any

import pytest

from irisstack import interface as api
from irisstack.dynamic_settings import merge as merging
from irisstack.dynamic_settings.document import compose
from irisstack.dynamic_settings.merge import RULES, Change, definitions_of_gone, merge
from irisstack.settings import Reader, SettingsError, read
from tests.support import CLASSES, KEYED, ORDERED, SAFE, SETTINGS, UNSAFE

IN_FORCE = replace(
    SETTINGS,
    tenants=(api.Tenant("acme", 1.0, 0.5), api.Tenant("zeta", 1.0, 0.5)),
    zones=("here", "there"),
)


def refused(**changes: Any) -> str:
    with pytest.raises(SettingsError) as caught:
        merge(IN_FORCE, replace(IN_FORCE, **changes))
    assert "\n" not in str(caught.value)
    return str(caught.value)


def test_the_same_settings_are_taken_unchanged() -> None:
    assert merge(IN_FORCE, IN_FORCE) == IN_FORCE


def test_each_keeps_its_position_by_name_and_what_went_stays_at_its_own() -> None:
    new = replace(SAFE, name="new")
    later = replace(KEYED, latency_target=3.0)
    merged = merge(IN_FORCE, replace(IN_FORCE, classes=(new, ORDERED, later)))
    assert merged.classes == (SAFE, later, UNSAFE, ORDERED, new)


def test_kinds_tenants_and_zones_likewise() -> None:
    shared = replace(IN_FORCE.kinds[1], max_batch=9)
    merged = merge(
        IN_FORCE,
        replace(
            IN_FORCE,
            kinds=(api.DestinationKind("fresh"), shared),
            tenants=(api.Tenant("beta", 2.0, 1.0), api.Tenant("zeta", 2.0, 1.0)),
            zones=("yonder", "here"),
            zone=1,
        ),
    )
    assert [kind.name for kind in merged.kinds] == ["plain", "shared", "fresh"]
    assert merged.kinds[1].max_batch == 9
    assert [tenant.name for tenant in merged.tenants] == ["acme", "zeta", "beta"]
    assert merged.tenants[1].rate == 2.0
    assert merged.zones == ("here", "there", "yonder")
    assert merged.zone == 0, "the own zone is the same by name"


def test_what_went_and_came_back_is_at_its_old_position() -> None:
    without = merge(IN_FORCE, replace(IN_FORCE, classes=(SAFE, UNSAFE)))
    again = merge(without, replace(IN_FORCE, classes=(replace(KEYED, worth=5.0), SAFE)))
    assert [kind.name for kind in again.classes] == [kind.name for kind in CLASSES]
    assert again.classes[1].worth == 5.0


@pytest.mark.parametrize(
    "other",
    [
        replace(KEYED, effect=api.Effect.UNSAFE),
        replace(KEYED, effect=api.Effect.SAFE),
        replace(KEYED, dedup_scope=api.DedupScope.ZONE),
        replace(KEYED, dedup_window=13.0),
        replace(KEYED, ordered=True),
    ],
)
def test_what_a_repeat_does_cannot_change_under_a_name(other: api.MessageClass) -> None:
    assert refused(classes=(SAFE, other)).startswith("lanes/keyed.")
    without = merge(IN_FORCE, replace(IN_FORCE, classes=(SAFE,)))
    with pytest.raises(SettingsError, match=r"^lanes/keyed\."):
        merge(without, replace(IN_FORCE, classes=(SAFE, other)))


def test_whether_routes_are_apart_cannot_change_under_a_name() -> None:
    apart = replace(IN_FORCE.kinds[0], separate_routes=True)
    assert refused(kinds=(apart,)).startswith("kinds/plain.separateRoutes: ")
    without = merge(IN_FORCE, replace(IN_FORCE, kinds=(IN_FORCE.kinds[1],)))
    with pytest.raises(SettingsError, match=r"^kinds/plain\."):
        merge(without, replace(IN_FORCE, kinds=(apart,)))


def test_every_field_has_a_rule_with_a_reason() -> None:
    assert RULES.keys() == {field.name for field in fields(api.Settings)}
    assert all(rule.path and rule.reason for rule in RULES.values())


OTHERS: dict[str, Any] = {
    "zone": 1,
    "decay": api.Decay.HALVING,
    "report_fields": ("x9",),
    "list_refresh_interval": 5.0,
    "zones": ("here", "there", "yonder"),
}


def other_value(field: str) -> Any:
    """A value that differs from the one in force."""
    value = getattr(IN_FORCE, field)
    if field in OTHERS:
        return OTHERS[field]
    if isinstance(value, bool):
        return not value
    if isinstance(value, tuple):
        return (*value, replace(value[0], name="more"))
    return value + 1


@pytest.mark.parametrize("field", RULES)
def test_a_change_of_each_field_is_taken_or_refused_as_its_rule_says(field: str) -> None:
    rule = RULES[field]
    if rule.change is Change.RESTART:
        assert refused(**{field: other_value(field)}).startswith(f"{rule.path}: needs a restart")
    else:
        changed = other_value(field)
        assert getattr(merge(IN_FORCE, replace(IN_FORCE, **{field: changed})), field) == changed


def test_the_operators_page_names_what_needs_a_restart() -> None:
    page = (Path(__file__).resolve().parents[2] / "docs" / "operate" / "dynamic-settings.md").read_text()
    (line,) = [line for line in page.splitlines() if "they need a restart" in line]
    paths = {rule.path for rule in RULES.values() if rule.change is Change.RESTART}
    assert set(re.findall(r"`([^`]+)`", line)) == paths


def test_own_zone_that_the_list_no_longer_names_is_refused() -> None:
    assert refused(zones=("there",)).startswith("az: ")
    assert refused(zones=()).startswith("az: ")


def test_positions_are_bounded_with_those_that_went(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(merging, "MAX_POSITIONS", 6)
    settings = IN_FORCE
    for number in range(2):
        settings = merge(settings, replace(IN_FORCE, classes=(SAFE, replace(SAFE, name=f"c{number}"))))
    with pytest.raises(SettingsError, match=r"^lanes: 6 at most"):
        merge(settings, replace(IN_FORCE, classes=(replace(SAFE, name="c2"),)))
    merge(settings, replace(IN_FORCE, classes=(replace(SAFE, name="c1"),)))


def test_definitions_of_what_went_bring_it_back() -> None:
    proposed = replace(IN_FORCE, classes=(SAFE,), kinds=(IN_FORCE.kinds[0],))
    gone = definitions_of_gone(merge(IN_FORCE, proposed), proposed)
    assert gone.keys() == {"lanes/keyed", "lanes/unsafe", "lanes/ordered", "kinds/shared"}
    items = {"lanes/safe": {"repeat": "read_like", "slo": 1.0, "hardLimit": 2.0}, "kinds/plain": {}}
    base = {
        "allowed": {"attemptsCap": 1, "mostHeld": 1, "cancel": False, "mayDuplicate": False}
        | {"mayProbe": False, "mayTell": False, "retryAfter": False},
        "extra": {"maxCalls": 1},
    }
    restored = read(Reader(compose(base, items, gone)))
    assert set(restored.classes[1:]) == {KEYED, UNSAFE, ORDERED}
    assert restored.kinds[1] == IN_FORCE.kinds[1]
