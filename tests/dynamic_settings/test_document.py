"""Composing a settings document from the settings of a file and items, and the ranges of its values."""

import json
from typing import Any

import pytest

from irisstack.dynamic_settings.document import class_item, compose
from irisstack.dynamic_settings.limits import ITEM_OVERHEAD_BYTES, MAX_DOCUMENT_BYTES
from irisstack.dynamic_settings.values import RANGES, check_values
from irisstack.interface import DestinationKind, Settings
from irisstack.settings import Reader, SettingsError, read
from tests.node_support import SETTINGS

CLASS_ITEM = {"repeat": "read_like", "slo": 1.0, "hardLimit": 5.0}
KEYED_CLASS_ITEM = {"repeat": "idempotency_key", "group": "zone", "window": 9.0, "slo": 1.0, "hardLimit": 5.0}


def compose_settings(items: dict[str, Any], retired: dict[str, Any] | None = None) -> Settings:
    return read(Reader(compose(SETTINGS, items, retired)))


def names(members: Any) -> list[str]:
    return [member.name for member in members]


def test_without_items_the_files_settings_apply() -> None:
    assert compose(SETTINGS, {}) == SETTINGS


def test_a_value_overrides_the_files_at_its_path_and_the_base_is_not_modified() -> None:
    before = json.dumps(SETTINGS)
    settings = compose_settings({"allowed/attemptsCap": 9, "balancers": 840, "invariants": {"cold": 7.5}})
    assert (settings.max_attempts, settings.senders, settings.warmup_seconds) == (9, 840, 7.5)
    assert settings.max_pending == 60, "other keys of the object stay"
    assert settings.overload_multiple == 2.5, "objects are merged key by key"
    assert json.dumps(SETTINGS) == before


def test_a_path_that_the_file_does_not_have_is_created() -> None:
    assert compose_settings({"tariffs/crossZone": 0.02}).cross_zone_price == 0.02


def test_one_class_item_replaces_the_files_whole_list() -> None:
    settings = compose_settings(
        {"lanes/new": CLASS_ITEM, "lanes/unsafe": {**CLASS_ITEM, "repeat": "non_idempotent"}}
    )
    assert names(settings.classes) == ["unsafe", "new"], "members that the file lists come first"
    assert names(settings.tenants) == ["acme"], "the other lists are the file's"
    assert names(settings.kinds) == ["plain", "shared"]


def test_tenant_and_kind_items_replace_the_files_lists() -> None:
    settings = compose_settings(
        {
            "tenants/zeta": {"allowancePerS": 3.0, "share": 0.5},
            "tenants/acme": {},
            "kinds/wide": {"maxBatch": 20, "separateRoutes": True},
            "kinds/shared": {},
        }
    )
    assert names(settings.tenants) == ["acme", "zeta"]
    assert settings.kinds == (DestinationKind("shared"), DestinationKind("wide", 20, True))


def test_a_value_may_repeat_the_name_of_its_path() -> None:
    assert names(compose_settings({"lanes/a": {**CLASS_ITEM, "name": "a"}}).classes) == ["a"]


@pytest.mark.parametrize(
    ("items", "path"),
    [
        ({"lines/a": CLASS_ITEM}, "lines/a"),
        ({"": 1}, "(empty path)"),
        ({"allowed//cancel": True}, "allowed//cancel"),
        ({"lanes": [CLASS_ITEM]}, "lanes"),
        ({"lanes/a/slo": 2.0}, "lanes/a/slo"),
        ({"lanes/a": 5}, "lanes/a"),
        ({"lanes/a": {**CLASS_ITEM, "name": "b"}}, "lanes/a"),
        ({"lanes/a": {**CLASS_ITEM, "slo": "soon"}}, "lanes/a.slo"),
        ({"lanes/a": {**CLASS_ITEM, "repeat": "never"}}, "lanes/a.repeat"),
        ({"tenants/t": {"share": True}}, "tenants/t.share"),
        ({"kinds/k": {"maxBatch": 0}}, "kinds/k.maxBatch"),
        ({"kinds/k": {"maxBatch": 1.5}}, "kinds/k.maxBatch"),
        ({"kinds/k": {"separateRoutes": 1}}, "kinds/k.separateRoutes"),
        ({"shapes": ["plain"]}, "shapes"),
        ({"extra/batchByKind": [1]}, "extra/batchByKind"),
        ({"extra": {"separateRoutes": []}}, "extra"),
        ({"allowed": 7}, "allowed"),
        ({"allowed": {"attemptsCap": 3}, "allowed/mostHeld": 9}, "allowed/mostHeld"),
        ({"allowed/attemptsCap/most": 3}, "allowed/attemptsCap/most"),
        ({"allowed/attemptsCap": "3"}, "allowed.attemptsCap"),
        ({"allowed/attemptsCap": 10**400}, "allowed.attemptsCap"),
        ({"allowed/attemptsCap": None}, "allowed.attemptsCap"),
        ({"az": 4}, "az"),
        ({"report/names": [1]}, "report.names[0]"),
        ({"overShareWorth": float("nan")}, "overShareWorth"),
        ({"extra/fades": "x" * MAX_DOCUMENT_BYTES}, "the document"),
    ],
)
def test_an_error_is_one_line_that_begins_with_its_path(items: dict[str, Any], path: str) -> None:
    with pytest.raises(SettingsError) as caught:
        compose_settings(items)
    assert str(caught.value).startswith(f"{path}: "), str(caught.value)
    assert "\n" not in str(caught.value)
    assert len(str(caught.value)) < 400


def test_the_largest_document_is_accepted_and_one_byte_more_is_refused() -> None:
    value = "x" * (MAX_DOCUMENT_BYTES - ITEM_OVERHEAD_BYTES - len('weights""'))
    compose(SETTINGS, {"weights": value})
    with pytest.raises(SettingsError, match="the document"):
        compose(SETTINGS, {"weights": f"{value}x"})


def test_retired_definitions_follow_the_others_in_their_list() -> None:
    settings = compose_settings(
        {"lanes/new": CLASS_ITEM, "kinds/new": {}},
        {"lanes/old": KEYED_CLASS_ITEM, "kinds/old": {"maxBatch": 3, "separateRoutes": True}},
    )
    assert names(settings.classes) == ["new", "old"]
    assert settings.kinds == (DestinationKind("new"), DestinationKind("old", 3, True))


def test_a_retired_definition_that_returns_appears_once_and_must_be_compatible() -> None:
    assert names(
        compose_settings({"lanes/a": {**KEYED_CLASS_ITEM, "slo": 3.0}}, {"lanes/a": KEYED_CLASS_ITEM}).classes
    ) == ["a"]
    with pytest.raises(SettingsError, match=r"^lanes/a\.window: "):
        compose_settings({"lanes/a": {**KEYED_CLASS_ITEM, "window": 30.0}}, {"lanes/a": KEYED_CLASS_ITEM})
    with pytest.raises(SettingsError, match=r"^kinds/k\.separateRoutes: "):
        compose_settings({"kinds/k": {}}, {"kinds/k": {"separateRoutes": True}})


def test_a_class_survives_being_written_and_read() -> None:
    for message_class in compose_settings(
        {"lanes/a": KEYED_CLASS_ITEM, "lanes/b": {**CLASS_ITEM, "keepOrder": True}}
    ).classes:
        reread = compose_settings({f"lanes/{message_class.name}": class_item(message_class)})
        assert reread.classes == (message_class,)


# ---- ranges ----

BELOW_MINIMUM: dict[str, Any] = {
    limit.path.replace(".", "/"): (0 if limit.exclusive or limit.minimum == 1 else -1) for limit in RANGES
}


@pytest.mark.parametrize(("path", "value"), BELOW_MINIMUM.items())
def test_a_number_below_its_range_is_refused_with_its_path(path: str, value: float) -> None:
    with pytest.raises(SettingsError) as caught:
        check_values(compose_settings({path: value}))
    assert str(caught.value).startswith(f"{path.replace('/', '.')}: ")


@pytest.mark.parametrize(
    ("items", "path"),
    [
        ({"lanes/a": {**CLASS_ITEM, "slo": 0.0}}, "lanes/a.slo"),
        ({"lanes/a": {**CLASS_ITEM, "slo": 6.0}}, "lanes/a.hardLimit"),
        ({"lanes/a": {**CLASS_ITEM, "importance": 0.0}}, "lanes/a.importance"),
        ({"lanes/a": {**CLASS_ITEM, "lateValue": -0.5}}, "lanes/a.lateValue"),
        ({"lanes/a": {**KEYED_CLASS_ITEM, "window": -1.0}}, "lanes/a.window"),
        ({"tenants/t": {"share": -1}}, "tenants/t.share"),
        ({"tenants/t": {"allowancePerS": -1}}, "tenants/t.allowancePerS"),
        ({"invariants/askWithin": 0}, "invariants.askWithin"),
        ({"failureDomains": ["z", "z"]}, "failureDomains/z"),
        ({"failureDomains": ["z", ""]}, "failureDomains"),
    ],
)
def test_a_value_out_of_its_range_is_refused_with_its_path(items: dict[str, Any], path: str) -> None:
    with pytest.raises(SettingsError) as caught:
        check_values(compose_settings(items))
    assert str(caught.value).startswith(f"{path}: ")


def test_the_files_settings_are_in_range() -> None:
    check_values(compose_settings({}))
