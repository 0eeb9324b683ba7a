"""Parses a file into a validated model, or reports everything that is wrong with it.

Uses pydantic, which reports all errors of a document with their paths and provides a JSON schema. msgspec,
used for files written by machines, stops at the first error.
"""

import difflib
import json
import tomllib
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError

KeyPath = tuple[str | int, ...]


class Section(BaseModel):
    """A table of a file. Unknown keys are rejected, and strings are not converted to numbers."""

    model_config = ConfigDict(
        extra="forbid",
        strict=True,
        frozen=True,
        populate_by_name=True,
        allow_inf_nan=False,
        use_attribute_docstrings=True,
    )


Model = TypeVar("Model", bound=Section)


@dataclass(slots=True, frozen=True)
class Problem:
    """One error in a file."""

    key: str
    text: str


class DocumentError(Exception):
    """The file is unusable; carries every problem found in it."""

    def __init__(self, path: Path, problems: Sequence[Problem]) -> None:
        self.path, self.problems = path, tuple(problems)
        super().__init__(
            "\n".join(
                f"{path}: {problem.key}: {problem.text}" if problem.key else f"{path}: {problem.text}"
                for problem in problems
            )
        )


def parse(path: Path) -> dict[str, Any]:
    """Parse a file, as JSON if its name ends with `.json`, else as TOML; raises `DocumentError`."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise DocumentError(path, [Problem("", f"cannot be read: {error.strerror}")]) from None
    is_json = path.suffix == ".json"
    try:
        raw = json.loads(data) if is_json else tomllib.loads(data.decode())
    except (ValueError, RecursionError) as error:
        raise DocumentError(
            path, [Problem("", f"invalid {'JSON' if is_json else 'TOML'}: {error}")]
        ) from None
    if not isinstance(raw, dict):
        raise DocumentError(path, [Problem("", f"expected a table of keys, got {type(raw).__name__}")])
    return raw


def read(path: Path, model: type[Model]) -> Model:
    """Parse and validate a file; raises `DocumentError` with all problems."""
    return check(path, parse(path), model)


def check(path: Path, raw: Mapping[str, Any], model: type[Model]) -> Model:
    """Validate a parsed file; `path` is named in the errors. Raises `DocumentError`."""
    try:
        return model.model_validate(raw)
    except ValidationError as error:
        raise DocumentError(path, list(_problems(error, model))) from None


def format_key_path(key_path: KeyPath) -> str:
    """A key's path in the usual notation: `lanes[0].name`."""
    text = ""
    for part in key_path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}" if text else part
    return text


def flatten(value: Any, key_path: KeyPath = ()) -> Iterator[tuple[str, Any]]:
    """Every leaf of a document with its path, in order."""
    if isinstance(value, Mapping) and value:
        for key, child in value.items():
            yield from flatten(child, (*key_path, key))
    elif isinstance(value, list | tuple) and value:
        for i, child in enumerate(value):
            yield from flatten(child, (*key_path, i))
    else:
        yield format_key_path(key_path), value


def _problems(error: ValidationError, model: type[BaseModel]) -> Iterator[Problem]:
    for details in error.errors(include_url=False):
        key_path, error_type = details["loc"], details["type"]
        if error_type == "extra_forbidden":
            matches = difflib.get_close_matches(str(key_path[-1]), _known_keys(model, key_path[:-1]), 1)
            text = "no such key" + (f"; did you mean {matches[0]!r}?" if matches else "")
        elif error_type == "missing":
            text = "required key is missing"
        else:
            text = details["msg"].removeprefix("Value error, ")
            text = text[0].lower() + text[1:]
            if not isinstance(details["input"], Mapping | list) and error_type != "value_error":
                text += f", got {details['input']!r}"
        yield Problem(format_key_path(key_path), text)


def _known_keys(model: type[BaseModel], key_path: KeyPath) -> list[str]:
    """The keys allowed at a path, according to the model's schema."""
    schema = model.model_json_schema(by_alias=True)
    nodes: list[dict[str, Any]] = [schema]
    for part in (*key_path, None):
        nodes = list(_resolve(nodes, schema))
        if part is None:
            break
        nodes = [
            child
            for node in nodes
            for child in (
                [node["items"]]
                if isinstance(part, int) and "items" in node
                else [node["properties"][part]]
                if part in node.get("properties", {})
                else [node["additionalProperties"]]
                if isinstance(node.get("additionalProperties"), dict)
                else [node]
                if not isinstance(part, int)
                else []
            )
        ]
    return sorted({key for node in nodes for key in node.get("properties", {})})


def _resolve(nodes: Sequence[dict[str, Any]], schema: dict[str, Any]) -> Iterator[dict[str, Any]]:
    """Schema nodes with references and alternatives replaced by what they stand for."""
    for node in nodes:
        if "$ref" in node:
            yield from _resolve([schema["$defs"][node["$ref"].rpartition("/")[2]]], schema)
        elif branches := [*node.get("anyOf", ()), *node.get("oneOf", ())]:
            yield from _resolve(branches, schema)
        else:
            yield node
