"""The kinds of configuration files, and how to tell which one a file is."""

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
"""For each kind: the module and name of its model, imported on use, and a key that only this kind has."""


def model(kind: str) -> type[Section]:
    """The model for a kind of file."""
    module, name, _ = KINDS[kind]
    section: type[Section] = getattr(import_module(module), name)
    return section


def kind_of(raw: Mapping[str, Any]) -> str | None:
    """The kind of a file, recognized by its keys; `None` if it has none of them."""
    return next((kind for kind, (_, _, key) in KINDS.items() if key in raw), None)


def read(path: Path, kind: str = "auto") -> tuple[str, dict[str, Any], Section]:
    """The kind of a file, its parsed content and the validated model; raises `DocumentError`."""
    raw = parse(path)
    found_kind = kind_of(raw) if kind == "auto" else kind
    if found_kind is None:
        keys = ", ".join(f"{key!r} ({name})" for name, (_, _, key) in KINDS.items())
        raise DocumentError(path, [Problem("", f"unknown kind of file: expected one of the keys {keys}")])
    return found_kind, raw, check(path, raw, model(found_kind))
