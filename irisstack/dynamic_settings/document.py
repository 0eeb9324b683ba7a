"""Composes the settings document from the items in etcd and the settings in the node's own file.

Pure functions. An item is a path below the watched prefix with a JSON value. `lanes/NAME` (message classes),
`tenants/NAME` and `kinds/NAME` define one member of a list; if there is any item for a list, the items
replace the file's whole list. Every other path names a place in the settings object of the file, which the
value overrides: objects are merged key by key, other values replaced. Errors are `SettingsError` and begin
with the path of the invalid item.
"""

import json
from collections.abc import Iterable, Mapping
from typing import Any

from irisstack.dynamic_settings.limits import MAX_DOCUMENT_BYTES, item_size
from irisstack.interface import DestinationKind, MessageClass
from irisstack.settings import DEDUP_SCOPES, EFFECTS, Reader, SettingsError, message_class, tenant

LANES, TENANTS, KINDS = "lanes", "tenants", "kinds"
MEMBER_LISTS = (LANES, TENANTS, KINDS)
"""First parts of paths that define one member of a list."""
SECTIONS = frozenset(
    {
        "allowed",
        "az",
        "balancers",
        "discovery",
        "extra",
        "failureDomains",
        "invariants",
        "ordinal",
        "overShareWorth",
        "report",
        "resolution",
        "tariffs",
        "weights",
    }
)
"""First parts of paths at which a value overrides the file's."""
PER_KIND_LISTS = ("batchByKind", "separateRoutes")
"""Lists under `extra` that are parallel to the list of kinds; items set them with each kind."""


def compose(
    base: Mapping[str, Any], items: Mapping[str, Any], retired: Mapping[str, Any] | None = None
) -> dict[str, Any]:
    """The settings document of a node: the settings of its file, overridden by the items.

    `retired` holds definitions, by path, of removed classes and kinds that are still needed; they come last
    in their lists. Items that define one of these in an incompatible way are refused.
    """
    check_size(items)
    _check_paths(items)
    document: dict[str, Any] = dict(base)
    for path in sorted(items):
        if path.partition("/")[0] not in MEMBER_LISTS:
            document = _overlay_at(document, path, path.split("/"), items[path])
    lists = {name: _items_of_list(items, name) for name in MEMBER_LISTS}
    if lists[LANES]:
        document["lanes"] = _ordered_values(base.get("lanes"), _class_items(lists[LANES]))
    if lists[TENANTS]:
        document["tenants"] = _ordered_values(base.get("tenants"), _tenant_items(lists[TENANTS]))
    if lists[KINDS]:
        document = _with_kinds(document, _ordered_kinds(base.get("shapes"), _parse_kinds(lists[KINDS])))
    return _with_retired(document, retired or {})


def class_item(definition: MessageClass) -> dict[str, Any]:
    """A message class in the form of the settings file."""
    effects = {effect: name for name, effect in EFFECTS.items()}
    scopes = {scope: name for name, scope in DEDUP_SCOPES.items()}
    return {
        "name": definition.name,
        "repeat": effects[definition.effect],
        "slo": definition.latency_target,
        "hardLimit": definition.deadline,
        "importance": definition.worth,
        "lateValue": definition.late_worth,
        "group": scopes[definition.dedup_scope],
        "window": definition.dedup_window,
        "keepOrder": definition.ordered,
    }


def kind_item(kind: DestinationKind) -> dict[str, Any]:
    """A destination kind in the form of the item at `kinds/NAME`."""
    return {"maxBatch": kind.max_batch, "separateRoutes": kind.separate_routes}


# ---- checks of the items ----


def check_size(items: Mapping[str, Any], subject: str = "the document") -> None:
    """Refuse items that are not JSON or exceed the size of a document; errors begin with `subject`."""
    size = sum(item_size(len(path.encode()), len(_encode_json(path, value))) for path, value in items.items())
    if size > MAX_DOCUMENT_BYTES:
        raise SettingsError(f"{subject}: expected at most {MAX_DOCUMENT_BYTES} bytes, got {size}")


def _encode_json(path: str, value: Any) -> bytes:
    try:
        return json.dumps(value, separators=(",", ":"), allow_nan=False).encode()
    except (TypeError, ValueError, RecursionError) as error:
        raise SettingsError(f"{path}: expected a JSON value: {error}") from None


def _check_paths(items: Mapping[str, Any]) -> None:
    for path, value in items.items():
        parts = path.split("/")
        if not all(parts):
            raise SettingsError(f"{path or '(empty path)'}: expected a path without empty parts")
        if parts[0] in MEMBER_LISTS:
            _check_member(path, parts, value)
        elif parts[0] == "shapes":
            raise SettingsError(f"{path}: each kind has its own item, at {KINDS}/NAME")
        elif parts[0] not in SECTIONS:
            raise SettingsError(
                f"{path}: expected a path that begins with one of {', '.join(_known_first_parts())}"
            )
        elif parts[0] == "extra":
            _check_extra(path, parts, value)
    for path in items:
        _check_not_nested(path, items)


def _known_first_parts() -> list[str]:
    return sorted((*MEMBER_LISTS, *SECTIONS))


def _check_member(path: str, parts: list[str], value: Any) -> None:
    if len(parts) != 2:
        raise SettingsError(f"{path}: expected {parts[0]}/NAME")
    if not isinstance(value, Mapping):
        raise SettingsError(f"{path}: expected an object, got {type(value).__name__}")
    if value.get("name", parts[1]) != parts[1]:
        raise SettingsError(f"{path}: expected the name {parts[1]!r}, got {value['name']!r}")


def _check_extra(path: str, parts: list[str], value: Any) -> None:
    """Refuse the lists that are parallel to the list of kinds: an item at `kinds/NAME` sets their values."""
    key_name = (
        parts[1] if len(parts) > 1 else next((key for key in PER_KIND_LISTS if _has_key(value, key)), "")
    )
    if key_name in PER_KIND_LISTS:
        raise SettingsError(f"{path}: {key_name} is set for each kind, at {KINDS}/NAME")


def _has_key(value: Any, key: str) -> bool:
    return isinstance(value, Mapping) and key in value


def _check_not_nested(path: str, items: Mapping[str, Any]) -> None:
    """Refuse an item inside another item's path: the two could contradict each other."""
    parent, _, _ = path.rpartition("/")
    while parent:
        if parent in items:
            raise SettingsError(f"{path}: is inside {parent}, which another item sets")
        parent, _, _ = parent.rpartition("/")


# ---- values that override the file's ----


def _overlay_at(base: Mapping[str, Any], path: str, parts: list[str], value: Any) -> dict[str, Any]:
    """A copy of `base` in which `value` overrides the value at `parts`."""
    first, rest = parts[0], parts[1:]
    existing = base.get(first)
    if not rest:
        return {**base, first: _overlay(path, existing, value)}
    if existing is not None and not isinstance(existing, Mapping):
        raise SettingsError(f"{path}: {first} is not an object, so nothing can be set inside it")
    return {**base, first: _overlay_at(existing or {}, path, rest, value)}


def _overlay(path: str, base: Any, override: Any) -> Any:
    if not isinstance(base, Mapping):
        return override
    if not isinstance(override, Mapping):
        raise SettingsError(f"{path}: expected an object, got {type(override).__name__}")
    return {
        **base,
        **{key: _overlay(f"{path}/{key}", base.get(key), value) for key, value in override.items()},
    }


# ---- lists whose members are items ----


def _items_of_list(items: Mapping[str, Any], list_name: str) -> dict[str, Any]:
    """The items that define members of one list, by the member's name."""
    prefix = f"{list_name}/"
    return {path.removeprefix(prefix): items[path] for path in sorted(items) if path.startswith(prefix)}


def _class_items(members: Mapping[str, Any]) -> dict[str, Any]:
    """The classes' definitions by name, with the name in each; raises `SettingsError` for an invalid one."""
    for name, value in members.items():
        message_class(Reader({**value, "name": name}, f"{LANES}/{name}"))
    return {name: {**value, "name": name} for name, value in members.items()}


def _tenant_items(members: Mapping[str, Any]) -> dict[str, Any]:
    """The same for the tenants."""
    for name, value in members.items():
        tenant(Reader({**value, "name": name}, f"{TENANTS}/{name}"))
    return {name: {**value, "name": name} for name, value in members.items()}


def _parse_kinds(members: Mapping[str, Any]) -> dict[str, DestinationKind]:
    kinds = {}
    for name, value in members.items():
        reader = Reader(value, f"{KINDS}/{name}")
        max_batch = reader.integer("maxBatch", 1)
        if max_batch < 1:
            raise SettingsError(f"{reader.path('maxBatch')}: expected 1 or more, got {max_batch}")
        kinds[name] = DestinationKind(name, max_batch, reader.boolean("separateRoutes"))
    return kinds


def _ordered_values(base: Any, members: Mapping[str, Any]) -> list[Any]:
    """First the members that the file lists, in its order, then the others sorted by name."""
    listed_names = (
        [item.get("name") for item in base if isinstance(item, Mapping)] if isinstance(base, list) else []
    )
    return [members[name] for name in _ordered_names(listed_names, members)]


def _ordered_kinds(base: Any, kinds: Mapping[str, DestinationKind]) -> list[DestinationKind]:
    listed_names = base if isinstance(base, list) else []
    return [kinds[name] for name in _ordered_names(listed_names, kinds)]


def _ordered_names(first: Iterable[Any], names: Iterable[str]) -> list[str]:
    """The names, with those in `first` leading in that order and the others sorted."""
    known = set(names)
    leading = [name for name in dict.fromkeys(first) if name in known]
    return [*leading, *sorted(known - set(leading))]


def _with_kinds(document: Mapping[str, Any], kinds: Iterable[DestinationKind]) -> dict[str, Any]:
    """The document with these kinds only, in its three parallel lists."""
    kinds = list(kinds)
    extra = document.get("extra", {})
    if not isinstance(extra, Mapping):
        raise SettingsError(f"extra: expected an object, got {type(extra).__name__}")
    max_batches, separate_routes = (
        [kind.max_batch for kind in kinds],
        [kind.separate_routes for kind in kinds],
    )
    return {
        **document,
        "shapes": [kind.name for kind in kinds],
        "extra": {**extra, "batchByKind": max_batches, "separateRoutes": separate_routes},
    }


# ---- removed definitions that are still needed ----


def _with_retired(document: dict[str, Any], retired: Mapping[str, Any]) -> dict[str, Any]:
    document = _with_retired_classes(document, _class_items(_items_of_list(retired, LANES)))
    kinds = _parse_kinds(_items_of_list(retired, KINDS))
    return _with_retired_kinds(document, kinds) if kinds else document


def _with_retired_classes(document: dict[str, Any], retired: Mapping[str, Any]) -> dict[str, Any]:
    if not retired:
        return document
    existing = {reader.text("name"): message_class(reader) for reader in Reader(document).sections("lanes")}
    added = []
    for name, value in retired.items():
        if name in existing:
            check_class_compatible(existing[name], message_class(Reader(value)))
        else:
            added.append(value)
    return {**document, "lanes": [*document["lanes"], *added]}


def _with_retired_kinds(document: dict[str, Any], retired: Mapping[str, DestinationKind]) -> dict[str, Any]:
    reader = Reader(document)
    names, extra = reader.texts("shapes"), reader.section("extra")
    max_batches, separate_routes = (
        extra.per_name("batchByKind", names, 1),
        extra.per_name("separateRoutes", names, False),
    )
    existing = dict(zip(names, map(DestinationKind, names, max_batches, separate_routes), strict=True))
    for name in retired.keys() & existing.keys():
        check_kind_compatible(existing[name], retired[name])
    added = [kind for name, kind in retired.items() if name not in existing]
    return _with_kinds(document, [*existing.values(), *added])


# ---- compatibility of definitions under one name ----


def check_class_compatible(new: MessageClass, old: MessageClass) -> None:
    """Refuse a change of a class's effect, deduplication or ordering under its name.

    A pending message may have run under the old definition; a retry under the new one could run it twice.
    """
    for key, before, after in (
        ("repeat", old.effect, new.effect),
        ("group", old.dedup_scope, new.dedup_scope),
        ("window", old.dedup_window, new.dedup_window),
        ("keepOrder", old.ordered, new.ordered),
    ):
        if before != after:
            raise SettingsError(
                f"{LANES}/{new.name}.{key}: cannot change for an existing class; use a new class name"
            )


def check_kind_compatible(new: DestinationKind, old: DestinationKind) -> None:
    """Refuse a change of a kind's `separate_routes` under its name: the breakers' state depends on it."""
    if new.separate_routes != old.separate_routes:
        raise SettingsError(
            f"{KINDS}/{new.name}.separateRoutes: cannot change for an existing kind; use a new kind name"
        )
