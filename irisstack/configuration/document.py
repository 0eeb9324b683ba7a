"""A file as a checked model, or every problem in it at once.

Checked by pydantic: it reports all errors of a document together with their paths, and gives a JSON schema.
msgspec, used for what machines write, stops at the first error.
"""

import difflib
import json
import tomllib
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError

Place = tuple[str | int, ...]


class Section(BaseModel):
    """A table of a file. Unknown keys are refused, and a text is never taken for a number."""

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
    """One thing that is wrong with a file."""

    key: str
    text: str


class DocumentError(Exception):
    """A file that cannot be used, with everything that is wrong with it."""

    def __init__(self, path: Path, problems: Sequence[Problem]) -> None:
        self.path, self.problems = path, tuple(problems)
        super().__init__(
            "\n".join(
                f"{path}: {problem.key}: {problem.text}" if problem.key else f"{path}: {problem.text}"
                for problem in problems
            )
        )


def parse(path: Path) -> dict[str, Any]:
    """The file's content, TOML unless its name ends with `.json`; raises `DocumentError`."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise DocumentError(path, [Problem("", f"cannot be read: {error.strerror}")]) from None
    is_json = path.suffix == ".json"
    try:
        raw = json.loads(data) if is_json else tomllib.loads(data.decode())
    except (ValueError, RecursionError) as error:
        raise DocumentError(path, [Problem("", f"no {'JSON' if is_json else 'TOML'}: {error}")]) from None
    if not isinstance(raw, dict):
        raise DocumentError(path, [Problem("", "a table of keys is due")])
    return raw


def read(path: Path, model: type[Model]) -> Model:
    """The file as a model; raises `DocumentError` with all problems."""
    return check(path, parse(path), model)


def check(path: Path, raw: Mapping[str, Any], model: type[Model]) -> Model:
    """A parsed file as a model; `path` is named in the errors."""
    try:
        return model.model_validate(raw)
    except ValidationError as error:
        raise DocumentError(path, list(_problems(error, model))) from None


def show_place(place: Place) -> str:
    """A key's path as a person writes it: `lanes[0].name`."""
    text = ""
    for part in place:
        text += f"[{part}]" if isinstance(part, int) else f".{part}" if text else part
    return text


def flatten(value: Any, place: Place = ()) -> Iterator[tuple[str, Any]]:
    """Every leaf of a document with its path, in order."""
    if isinstance(value, Mapping) and value:
        for key, inner in value.items():
            yield from flatten(inner, (*place, key))
    elif isinstance(value, list | tuple) and value:
        for i, inner in enumerate(value):
            yield from flatten(inner, (*place, i))
    else:
        yield show_place(place), value


def _problems(error: ValidationError, model: type[BaseModel]) -> Iterator[Problem]:
    for found in error.errors(include_url=False):
        place, kind = found["loc"], found["type"]
        if kind == "extra_forbidden":
            near = difflib.get_close_matches(str(place[-1]), _known(model, place[:-1]), 1)
            text = "no such key" + (f"; is {near[0]!r} meant?" if near else "")
        elif kind == "missing":
            text = "is due and not there"
        else:
            text = found["msg"].removeprefix("Value error, ")
            text = text[0].lower() + text[1:]
            if not isinstance(found["input"], Mapping | list) and kind != "value_error":
                text += f", not {found['input']!r}"
        yield Problem(show_place(place), text)


def _known(model: type[BaseModel], place: Place) -> list[str]:
    """The keys that may stand at a place, from the model's own schema."""
    schema = model.model_json_schema(by_alias=True)
    at: list[dict[str, Any]] = [schema]
    for part in (*place, None):
        at = list(_resolved(at, schema))
        if part is None:
            break
        at = [
            inner
            for node in at
            for inner in (
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
    return sorted({key for node in at for key in node.get("properties", {})})


def _resolved(nodes: Sequence[dict[str, Any]], schema: dict[str, Any]) -> Iterator[dict[str, Any]]:
    for node in nodes:
        if "$ref" in node:
            yield from _resolved([schema["$defs"][node["$ref"].rpartition("/")[2]]], schema)
        elif branches := [*node.get("anyOf", ()), *node.get("oneOf", ())]:
            yield from _resolved(branches, schema)
        else:
            yield node
