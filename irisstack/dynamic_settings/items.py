"""The keys below the prefix and their parsed values, valid or not, kept up to date with the changes."""

import json
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from irisstack.dynamic_settings.etcd import EventType, KeyValue, WatchEvent
from irisstack.dynamic_settings.limits import MAX_DOCUMENT_BYTES, item_size

MAX_HELD_BYTES = 2 * MAX_DOCUMENT_BYTES
"""A document above `MAX_DOCUMENT_BYTES` is held up to this size, so that a change can shrink it again."""
MAX_QUOTED_CHARACTERS = 80
"""Longest excerpt of a path in an error message."""


class DocumentTooLargeError(Exception):
    """The keys below the prefix exceed `MAX_HELD_BYTES`."""


@dataclass(slots=True, frozen=True)
class Item:
    """The value of one key. `problem` says why it is invalid; empty if it is valid."""

    value: Any
    size: int
    problem: str = ""


class StreamItems:
    """The items below the prefix at the revision last received."""

    def __init__(self, prefix: bytes) -> None:
        self._prefix = prefix
        self._items: dict[bytes, Item] = {}
        self._size = 0

    @classmethod
    def from_values(cls, prefix: bytes, values: Mapping[str, Any]) -> "StreamItems":
        """The items of a document that was in force."""
        items = cls(prefix)
        for path, value in values.items():
            data = json.dumps(value, separators=(",", ":")).encode()
            items.put(KeyValue(prefix + path.encode(), data, 0))
        return items

    def __len__(self) -> int:
        return len(self._items)

    def put(self, item: KeyValue) -> None:
        """Set a key's value; raises `DocumentTooLargeError`."""
        self.delete(item.key)
        size = item_size(len(item.key) - len(self._prefix), len(item.value))
        self._size += size
        if self._size > MAX_HELD_BYTES:
            raise DocumentTooLargeError(f"the document: expected at most {MAX_DOCUMENT_BYTES} bytes")
        self._items[item.key] = _parse_value(item.value, size)

    def delete(self, key: bytes) -> None:
        """Remove a key if it exists."""
        removed = self._items.pop(key, None)
        if removed is not None:
            self._size -= removed.size

    def apply(self, events: Iterable[WatchEvent]) -> None:
        """Apply all changes of one revision; raises `DocumentTooLargeError`."""
        for event in events:
            if event.type is EventType.PUT:
                self.put(event.item)
            else:
                self.delete(event.item.key)

    def problem(self) -> str:
        """Why the items are not a valid document, beginning with a path; empty if they are."""
        for key, item in self._items.items():
            if item.problem:
                return f"{self._quote_path(key)}: {item.problem}"
            if _decode_path(key, self._prefix) is None:
                return f"{self._quote_path(key)}: expected a path in UTF-8"
        if self._size > MAX_DOCUMENT_BYTES:
            return f"the document: expected at most {MAX_DOCUMENT_BYTES} bytes, got {self._size}"
        return ""

    def values(self) -> dict[str, Any]:
        """The values by path; meaningful only if `problem` returns nothing."""
        return {key[len(self._prefix) :].decode(): item.value for key, item in self._items.items()}

    def _quote_path(self, key: bytes) -> str:
        text = key[len(self._prefix) :].decode("utf-8", "replace")[:MAX_QUOTED_CHARACTERS]
        return "".join(c if c.isprintable() else "?" for c in text)


def _decode_path(key: bytes, prefix: bytes) -> str | None:
    """The key's path below the prefix; `None` if it is empty or not UTF-8."""
    try:
        return key[len(prefix) :].decode() or None
    except UnicodeDecodeError:
        return None


def _parse_value(data: bytes, size: int) -> Item:
    if len(data) > MAX_DOCUMENT_BYTES:
        return Item(None, size, f"expected at most {MAX_DOCUMENT_BYTES} bytes, got {len(data)}")
    try:
        return Item(json.loads(data, parse_float=_parse_finite_float, parse_constant=_reject_constant), size)
    except (ValueError, RecursionError):
        return Item(None, size, "expected JSON")


def _parse_finite_float(text: str) -> float:
    """A number that can be written as JSON again."""
    value = float(text)
    if not math.isfinite(value):
        raise ValueError("out of range")
    return value


def _reject_constant(text: str) -> float:
    """Refuse NaN and infinities, which are not JSON."""
    raise ValueError(text)
