"""A settings document out of a file's settings object and the items of a stream."""

import json
from typing import Any

import pytest

from irisstack.dynamic_settings.document import compose, lane
from irisstack.dynamic_settings.limits import ITEM_OVERHEAD_BYTES, MAX_DOCUMENT_BYTES
from irisstack.dynamic_settings.values import RANGES, check_values
from irisstack.interface import DestinationKind, Settings
from irisstack.settings import Reader, SettingsError, read
from tests.node_support import SETTINGS

LANE = {"repeat": "read_like", "slo": 1.0, "hardLimit": 5.0}
KEYED = {"repeat": "idempotency_key", "group": "zone", "window": 9.0, "slo": 1.0, "hardLimit": 5.0}


def settings_of(items: dict[str, Any], retired: dict[str, Any] | None = None) -> Settings:
    return read(Reader(compose(SETTINGS, items, retired)))


def names(members: Any) -> list[str]:
    return [member.name for member in members]


def test_no_item_leaves_the_files_settings() -> None:
    assert compose(SETTINGS, {}) == SETTINGS


def test_a_value_is_laid_over_the_files_at_its_path_and_the_file_is_left_alone() -> None:
    before = json.dumps(SETTINGS)
    settings = settings_of({"allowed/attemptsCap": 9, "balancers": 840, "invariants": {"cold": 7.5}})
    assert (settings.max_attempts, settings.senders, settings.warmup_seconds) == (9, 840, 7.5)
    assert settings.max_pending == 60, "its neighbours stay"
    assert settings.overload_multiple == 2.5, "an object is laid over key by key"
    assert json.dumps(SETTINGS) == before


def test_a_path_that_the_file_does_not_have_is_made() -> None:
    assert settings_of({"tariffs/crossZone": 0.02}).cross_zone_price == 0.02


def test_one_lane_in_the_stream_makes_the_whole_list_the_streams() -> None:
    settings = settings_of({"lanes/new": LANE, "lanes/unsafe": {**LANE, "repeat": "non_idempotent"}})
    assert names(settings.classes) == ["unsafe", "new"], "what the file has comes first, in its order"
    assert names(settings.tenants) == ["acme"], "the other lists are the file's"
    assert names(settings.kinds) == ["plain", "shared"]


def test_tenants_and_kinds_are_the_streams_likewise() -> None:
    settings = settings_of(
        {
            "tenants/zeta": {"allowancePerS": 3.0, "share": 0.5},
            "tenants/acme": {},
            "kinds/wide": {"maxBatch": 20, "separateRoutes": True},
            "kinds/shared": {},
        }
    )
    assert names(settings.tenants) == ["acme", "zeta"]
    assert settings.kinds == (DestinationKind("shared"), DestinationKind("wide", 20, True))


def test_a_name_in_a_value_may_repeat_the_keys() -> None:
    assert names(settings_of({"lanes/a": {**LANE, "name": "a"}}).classes) == ["a"]


@pytest.mark.parametrize(
    ("items", "path"),
    [
        ({"lines/a": LANE}, "lines/a"),
        ({"": 1}, "(empty path)"),
        ({"allowed//cancel": True}, "allowed//cancel"),
        ({"lanes": [LANE]}, "lanes"),
        ({"lanes/a/slo": 2.0}, "lanes/a/slo"),
        ({"lanes/a": 5}, "lanes/a"),
        ({"lanes/a": {**LANE, "name": "b"}}, "lanes/a"),
        ({"lanes/a": {**LANE, "slo": "soon"}}, "lanes/a.slo"),
        ({"lanes/a": {**LANE, "repeat": "never"}}, "lanes/a.repeat"),
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
def test_a_fault_is_one_line_that_begins_with_its_path(items: dict[str, Any], path: str) -> None:
    with pytest.raises(SettingsError) as caught:
        settings_of(items)
    assert str(caught.value).startswith(f"{path}: "), str(caught.value)
    assert "\n" not in str(caught.value)
    assert len(str(caught.value)) < 400


def test_the_largest_document_is_taken_and_one_byte_more_is_not() -> None:
    value = "x" * (MAX_DOCUMENT_BYTES - ITEM_OVERHEAD_BYTES - len('weights""'))
    compose(SETTINGS, {"weights": value})
    with pytest.raises(SettingsError, match="the document"):
        compose(SETTINGS, {"weights": f"{value}x"})


def test_what_is_retired_follows_the_rest_of_its_list() -> None:
    settings = settings_of(
        {"lanes/new": LANE, "kinds/new": {}},
        {"lanes/old": KEYED, "kinds/old": {"maxBatch": 3, "separateRoutes": True}},
    )
    assert names(settings.classes) == ["new", "old"]
    assert settings.kinds == (DestinationKind("new"), DestinationKind("old", 3, True))


def test_what_is_retired_and_there_again_is_there_once_and_never_otherwise() -> None:
    assert names(settings_of({"lanes/a": {**KEYED, "slo": 3.0}}, {"lanes/a": KEYED}).classes) == ["a"]
    with pytest.raises(SettingsError, match=r"^lanes/a\.window: "):
        settings_of({"lanes/a": {**KEYED, "window": 30.0}}, {"lanes/a": KEYED})
    with pytest.raises(SettingsError, match=r"^kinds/k\.separateRoutes: "):
        settings_of({"kinds/k": {}}, {"kinds/k": {"separateRoutes": True}})


def test_a_class_written_out_and_read_is_the_same() -> None:
    for kind in settings_of({"lanes/a": KEYED, "lanes/b": {**LANE, "keepOrder": True}}).classes:
        again = settings_of({f"lanes/{kind.name}": lane(kind)})
        assert again.classes == (kind,)


# ---- ranges ----

BELOW: dict[str, Any] = {
    bound.path.replace(".", "/"): (0 if bound.above or bound.least == 1 else -1) for bound in RANGES
}


@pytest.mark.parametrize(("path", "value"), BELOW.items())
def test_a_number_below_its_range_is_refused_with_its_path(path: str, value: float) -> None:
    with pytest.raises(SettingsError) as caught:
        check_values(settings_of({path: value}))
    assert str(caught.value).startswith(f"{path.replace('/', '.')}: ")


@pytest.mark.parametrize(
    ("items", "path"),
    [
        ({"lanes/a": {**LANE, "slo": 0.0}}, "lanes/a.slo"),
        ({"lanes/a": {**LANE, "slo": 6.0}}, "lanes/a.hardLimit"),
        ({"lanes/a": {**LANE, "importance": 0.0}}, "lanes/a.importance"),
        ({"lanes/a": {**LANE, "lateValue": -0.5}}, "lanes/a.lateValue"),
        ({"lanes/a": {**KEYED, "window": -1.0}}, "lanes/a.window"),
        ({"tenants/t": {"share": -1}}, "tenants/t.share"),
        ({"tenants/t": {"allowancePerS": -1}}, "tenants/t.allowancePerS"),
        ({"invariants/askWithin": 0}, "invariants.askWithin"),
        ({"failureDomains": ["z", "z"]}, "failureDomains/z"),
        ({"failureDomains": ["z", ""]}, "failureDomains"),
    ],
)
def test_a_value_out_of_its_range_is_refused_with_its_path(items: dict[str, Any], path: str) -> None:
    with pytest.raises(SettingsError) as caught:
        check_values(settings_of(items))
    assert str(caught.value).startswith(f"{path}: ")


def test_the_files_own_settings_are_in_range() -> None:
    check_values(settings_of({}))
