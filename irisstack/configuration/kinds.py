"""The kinds of files that people write, and which one a file is."""

from collections.abc import Mapping
from importlib import import_module
from pathlib import Path
from typing import Any

from irisstack.configuration.document import DocumentError, Problem, Section, check, parse

KINDS = {
    "node": ("irisstack.configuration.node_file", "NodeFile", "settings"),
    "scenario": ("irisstack.lab.scenario", "Scenario", "scenario"),
    "experiment": ("irisstack.lab.experiment", "Experiment", "experiment"),
}
"""For each kind: the module and name of its model, loaded when asked for, and a key that only it has."""


def model(kind: str) -> type[Section]:
    """The model of a kind of file."""
    module, name, _ = KINDS[kind]
    section: type[Section] = getattr(import_module(module), name)
    return section


def kind_of(raw: Mapping[str, Any]) -> str | None:
    """Which kind of file this is, by its keys; `None` if it could be any."""
    return next((kind for kind, (_, _, key) in KINDS.items() if key in raw), None)


def read(path: Path, kind: str = "auto") -> tuple[str, dict[str, Any], Section]:
    """The kind of a file, its content as written, and the checked model; raises `DocumentError`."""
    raw = parse(path)
    found_kind = kind_of(raw) if kind == "auto" else kind
    if found_kind is None:
        keys = ", ".join(f"{key!r} ({name})" for name, (_, _, key) in KINDS.items())
        raise DocumentError(path, [Problem("", f"unknown kind of file: expected one of the keys {keys}")])
    return found_kind, raw, check(path, raw, model(found_kind))
