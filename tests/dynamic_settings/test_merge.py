"""Merging proposed settings into those in force, with stable positions."""

import re
from dataclasses import fields, replace
from pathlib import Path
from typing import Any

import pytest

from irisstack import interface as api
from irisstack.dynamic_settings import merge as merge_module
from irisstack.dynamic_settings.document import compose
from irisstack.dynamic_settings.merge import FIELD_RULES, ChangePolicy, merge, retired_definitions
from irisstack.settings import Reader, SettingsError, read
from tests.support import CLASSES, KEYED, ORDERED, SAFE, SETTINGS, UNSAFE

IN_FORCE = replace(
    SETTINGS,
    tenants=(api.Tenant("acme", 1.0, 0.5), api.Tenant("zeta", 1.0, 0.5)),
    zones=("here", "there"),
)


def refusal_reason(**changes: Any) -> str:
    with pytest.raises(SettingsError) as caught:
        merge(IN_FORCE, replace(IN_FORCE, **changes))
    assert "\n" not in str(caught.value)
    return str(caught.value)


def test_equal_settings_are_merged_unchanged() -> None:
    assert merge(IN_FORCE, IN_FORCE) == IN_FORCE


def test_classes_keep_their_positions_by_name_and_removed_ones_keep_theirs() -> None:
    new = replace(SAFE, name="new")
    later = replace(KEYED, latency_target=3.0)
    merged = merge(IN_FORCE, replace(IN_FORCE, classes=(new, ORDERED, later)))
    assert merged.classes == (SAFE, later, UNSAFE, ORDERED, new)


def test_kinds_tenants_and_zones_keep_their_positions() -> None:
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
    assert merged.zone == 0, "the node's zone is the same by name"


def test_a_class_that_returns_takes_its_old_position() -> None:
    reduced = merge(IN_FORCE, replace(IN_FORCE, classes=(SAFE, UNSAFE)))
    merged = merge(reduced, replace(IN_FORCE, classes=(replace(KEYED, worth=5.0), SAFE)))
    assert [kind.name for kind in merged.classes] == [kind.name for kind in CLASSES]
    assert merged.classes[1].worth == 5.0


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
def test_retry_safety_cannot_change_under_one_name(other: api.MessageClass) -> None:
    assert refusal_reason(classes=(SAFE, other)).startswith("lanes/keyed.")
    reduced = merge(IN_FORCE, replace(IN_FORCE, classes=(SAFE,)))
    with pytest.raises(SettingsError, match=r"^lanes/keyed\."):
        merge(reduced, replace(IN_FORCE, classes=(SAFE, other)))


def test_separate_routes_cannot_change_under_one_name() -> None:
    separate_kind = replace(IN_FORCE.kinds[0], separate_routes=True)
    assert refusal_reason(kinds=(separate_kind,)).startswith("kinds/plain.separateRoutes: ")
    reduced = merge(IN_FORCE, replace(IN_FORCE, kinds=(IN_FORCE.kinds[1],)))
    with pytest.raises(SettingsError, match=r"^kinds/plain\."):
        merge(reduced, replace(IN_FORCE, kinds=(separate_kind,)))


def test_every_field_has_a_rule_with_a_reason() -> None:
    assert FIELD_RULES.keys() == {field.name for field in fields(api.Settings)}
    assert all(rule.path and rule.reason for rule in FIELD_RULES.values())


OTHER_VALUES: dict[str, Any] = {
    "zone": 1,
    "decay": api.Decay.HALVING,
    "report_fields": ("x9",),
    "list_refresh_interval": 5.0,
    "zones": ("here", "there", "yonder"),
}


def other_value(field: str) -> Any:
    """A value of the field that differs from the one in force."""
    value = getattr(IN_FORCE, field)
    if field in OTHER_VALUES:
        return OTHER_VALUES[field]
    if isinstance(value, bool):
        return not value
    if isinstance(value, tuple):
        return (*value, replace(value[0], name="more"))
    return value + 1


@pytest.mark.parametrize("field", FIELD_RULES)
def test_a_change_of_each_field_is_accepted_or_refused_by_its_rule(field: str) -> None:
    rule = FIELD_RULES[field]
    if rule.policy is ChangePolicy.RESTART:
        assert refusal_reason(**{field: other_value(field)}).startswith(f"{rule.path}: needs a restart")
    else:
        changed = other_value(field)
        assert getattr(merge(IN_FORCE, replace(IN_FORCE, **{field: changed})), field) == changed


def test_the_operators_page_lists_the_settings_that_need_a_restart() -> None:
    page = (Path(__file__).resolve().parents[2] / "docs" / "operate" / "dynamic-settings.md").read_text()
    (line,) = [line for line in page.splitlines() if "they need a restart" in line]
    paths = {rule.path for rule in FIELD_RULES.values() if rule.policy is ChangePolicy.RESTART}
    assert set(re.findall(r"`([^`]+)`", line)) == paths


def test_a_list_without_the_nodes_own_zone_is_refused() -> None:
    assert refusal_reason(zones=("there",)).startswith("az: ")
    assert refusal_reason(zones=()).startswith("az: ")


def test_the_number_of_positions_is_bounded_including_removed_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(merge_module, "MAX_POSITIONS", 6)
    settings = IN_FORCE
    for number in range(2):
        settings = merge(settings, replace(IN_FORCE, classes=(SAFE, replace(SAFE, name=f"c{number}"))))
    with pytest.raises(SettingsError, match=r"^lanes: expected at most 6 "):
        merge(settings, replace(IN_FORCE, classes=(replace(SAFE, name="c2"),)))
    merge(settings, replace(IN_FORCE, classes=(replace(SAFE, name="c1"),)))


def test_retired_definitions_restore_what_was_removed() -> None:
    proposed = replace(IN_FORCE, classes=(SAFE,), kinds=(IN_FORCE.kinds[0],))
    retired = retired_definitions(merge(IN_FORCE, proposed), proposed)
    assert retired.keys() == {"lanes/keyed", "lanes/unsafe", "lanes/ordered", "kinds/shared"}
    items = {"lanes/safe": {"repeat": "read_like", "slo": 1.0, "hardLimit": 2.0}, "kinds/plain": {}}
    base = {
        "allowed": {"attemptsCap": 1, "mostHeld": 1, "cancel": False, "mayDuplicate": False}
        | {"mayProbe": False, "mayTell": False, "retryAfter": False},
        "extra": {"maxCalls": 1},
    }
    restored = read(Reader(compose(base, items, retired)))
    assert set(restored.classes[1:]) == {KEYED, UNSAFE, ORDERED}
    assert restored.kinds[1] == IN_FORCE.kinds[1]
