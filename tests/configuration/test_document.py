"""Configuration files: all problems are reported at once, each with its key and what was expected."""

import json
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from irisstack.configuration import kinds
from irisstack.configuration.document import DocumentError

EXAMPLE = Path(__file__).resolve().parents[2] / "examples" / "config.json"


def problems(path: Path, kind: str = "node") -> dict[str, str]:
    with pytest.raises(DocumentError) as caught:
        kinds.read(path, kind)
    assert all(str(path) in line for line in str(caught.value).splitlines())
    return {problem.key: problem.text for problem in caught.value.problems}


def without(key: str) -> Callable[[dict[str, Any]], None]:
    return lambda settings: settings.pop(key)


CASES: list[tuple[str, Callable[[dict[str, Any]], Any], dict[str, str]]] = [
    ("a missing required key", without("lanes"), {"settings.lanes": "required key is missing"}),
    (
        "a misspelled key",
        lambda s: s["allowed"].update(mostHeldd=3),
        {"settings.allowed.mostHeldd": "did you mean 'mostHeld'?"},
    ),
    (
        "a misspelled key in a list",
        lambda s: s["lanes"][1].update(reapeat="x"),
        {"settings.lanes[1].reapeat": "did you mean 'repeat'?"},
    ),
    (
        "a string for a number",
        lambda s: s["extra"].update(maxCalls="10"),
        {"settings.extra.maxCalls": "got '10'"},
    ),
    (
        "a number below its minimum",
        lambda s: s["allowed"].update(attemptsCap=0),
        {"settings.allowed.attemptsCap": "got 0"},
    ),
    (
        "a deadline before the latency target",
        lambda s: s["lanes"][0].update(hardLimit=1.0),
        {"settings.lanes[0]": "hardLimit (1) is below slo (3)"},
    ),
    (
        "a prefix without a final slash",
        lambda _: {"dynamic_settings": {"members": ["10.0.0.1:2379"], "prefix": "/settings"}},
        {"dynamic_settings.prefix": "got '/settings'"},
    ),
    (
        "a member without a port",
        lambda _: {"dynamic_settings": {"members": ["10.0.0.1"], "prefix": "/s/"}},
        {"dynamic_settings.members": "expected host:port, got '10.0.0.1'"},
    ),
    (
        "trial settings with dynamic settings",
        lambda _: {"dynamic_settings": {"members": ["10.0.0.1:2379"], "prefix": "/s/"}, "watch": {}},
        {"watch": "cannot be combined with dynamic_settings"},
    ),
    (
        "three problems at once",
        lambda s: (s.pop("shapes"), s["lanes"][0].update(slo=-1.0), s.update(weights="heavy")),
        {
            "settings.shapes": "required key is missing",
            "settings.lanes[0].slo": "got -1",
            "settings.weights": "got 'heavy'",
        },
    ),
]


@pytest.mark.parametrize(("what", "change", "expected"), CASES, ids=[case[0] for case in CASES])
def test_all_problems_are_reported_with_their_keys(
    tmp_path: Path, what: str, change: Callable[[dict[str, Any]], Any], expected: dict[str, str]
) -> None:
    raw = json.loads(EXAMPLE.read_bytes())
    top_level = change(raw["settings"])
    if isinstance(top_level, dict):  # keys beside `settings`
        raw.update(top_level)
    path = tmp_path / "node.json"
    path.write_text(json.dumps(raw))
    found = problems(path)
    assert found.keys() == expected.keys()
    for key, text in expected.items():
        assert text in found[key]


@pytest.mark.parametrize(
    ("name", "content", "text"),
    [
        ("a.toml", b"x = ", "invalid TOML"),
        ("a.json", b"{", "invalid JSON"),
        ("a.json", b"[]", "expected a table"),
        ("a.toml", b"\xff", "invalid TOML"),
        ("a.json", b"[" * 100_000, "invalid JSON"),
    ],
)
def test_a_file_that_does_not_parse_is_one_problem(
    tmp_path: Path, name: str, content: bytes, text: str
) -> None:
    (tmp_path / name).write_bytes(content)
    assert text in problems(tmp_path / name)[""]


def test_a_missing_file_and_one_of_unknown_kind(tmp_path: Path) -> None:
    assert "cannot be read" in problems(tmp_path / "none.toml")[""]
    (tmp_path / "a.toml").write_text("colour = 'red'")
    assert "unknown kind" in problems(tmp_path / "a.toml", "auto")[""]


def test_the_schema_has_every_key_of_the_example() -> None:
    schema = kinds.model("node").model_json_schema()
    assert set(json.loads(EXAMPLE.read_bytes())) <= set(schema["properties"])
    assert tomllib.loads("[settings]").keys() <= schema["properties"].keys()
