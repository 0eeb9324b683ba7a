"""A small scenario and helpers to vary it."""

from pathlib import Path
from typing import Any

from irisstack.lab import scenario, world
from irisstack.lab.scenario import Scenario

SMALL_SCENARIO = """
[scenario]
name = "small"
length_s = 12.0

[[classes]]
name = "notice"
share = 0.5
repeat = "keyed"
window_s = 6.0
aim_s = 1.0
deadline_s = 8.0
late_worth = 0.5
work_s = 0.1

[[classes]]
name = "order"
share = 0.3
repeat = "unsafe"
aim_s = 2.0
deadline_s = 8.0
work_s = 0.1

[[classes]]
name = "lined-up"
share = 0.2
repeat = "safe"
aim_s = 2.0
deadline_s = 8.0
work_s = 0.1
order_keys = 1

[[kinds]]
name = "host"
count = 3
endpoints = 2
capacity = 2.0
least_capacity = 10.0
shared_calls = 3

[senders]
count = 2

[traffic]
rate = 20.0
"""


def small_scenario(folder: Path, extra: str = "", **changes: Any) -> Scenario:
    """The small scenario, with TOML text appended and keys changed (`traffic__rate=3.0`)."""
    path = folder / "small.toml"
    path.write_text(SMALL_SCENARIO + extra)
    dotted = {key.replace("__", "."): value for key, value in changes.items()}
    return scenario.with_changes(scenario.read(path), dotted, path)


def small_world(folder: Path, extra: str = "", seed: int = 1, **changes: Any) -> world.World:
    return world.build_world(small_scenario(folder, extra, **changes), seed)


def trouble_toml(kind: str, **keys: object) -> str:
    """A trouble as a TOML table."""
    lines = [f"{key} = {value!r}".replace("'", '"').replace("True", "true") for key, value in keys.items()]
    return "\n".join(["[[troubles]]", f'kind = "{kind}"', *lines, ""])
