"""The settings document that a stream's items make together with a node's own file.

Pure. An item is a path below the stream's prefix with a JSON value. `lanes/NAME`, `tenants/NAME` and
`kinds/NAME` define one member of a list; if the stream defines any member, the whole list is the stream's.
Every other path names a place in the settings object of the node's file, over which the value is laid:
objects key by key, any other value whole. Errors are `SettingsError` and begin with the path of the item at
fault.
"""

import json
from collections.abc import Iterable, Mapping
from typing import Any

from irisstack.dynamic_settings.limits import MAX_DOCUMENT_BYTES, item_size
from irisstack.interface import DestinationKind, MessageClass
from irisstack.settings import DEDUP_SCOPES, EFFECTS, Reader, SettingsError, message_class, tenant

LANES, TENANTS, KINDS = "lanes", "tenants", "kinds"
LISTS = (LANES, TENANTS, KINDS)
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
"""First parts of paths at which a value is laid over the file's."""
KIND_LISTS = ("batchByKind", "separateRoutes")
"""Lists under `extra` that run parallel to the kinds, which are set one by one."""


def compose(
    base: Mapping[str, Any], items: Mapping[str, Any], retired: Mapping[str, Any] | None = None
) -> dict[str, Any]:
    """The settings document of a node: its file's settings with the items laid over them.

    `retired` holds definitions, by path, of classes and kinds that went and are still needed; they follow the
    others in their lists. A document that defines one of these otherwise is refused.
    """
    check_size(items)
    _check_paths(items)
    document: dict[str, Any] = dict(base)
    for path in sorted(items):
        if path.partition("/")[0] not in LISTS:
            document = _laid_at(document, path, path.split("/"), items[path])
    lists = {name: _members(items, name) for name in LISTS}
    if lists[LANES]:
        document["lanes"] = _in_order(base.get("lanes"), _lanes(lists[LANES]))
    if lists[TENANTS]:
        document["tenants"] = _in_order(base.get("tenants"), _tenants(lists[TENANTS]))
    if lists[KINDS]:
        document = _with_kinds(document, _kinds_in_order(base.get("shapes"), _kinds(lists[KINDS])))
    return _with_retired(document, retired or {})


def lane(kind: MessageClass) -> dict[str, Any]:
    """A class as the settings list writes it."""
    effects = {effect: name for name, effect in EFFECTS.items()}
    scopes = {scope: name for name, scope in DEDUP_SCOPES.items()}
    return {
        "name": kind.name,
        "repeat": effects[kind.effect],
        "slo": kind.latency_target,
        "hardLimit": kind.deadline,
        "importance": kind.worth,
        "lateValue": kind.late_worth,
        "group": scopes[kind.dedup_scope],
        "window": kind.dedup_window,
        "keepOrder": kind.ordered,
    }


def kind_item(kind: DestinationKind) -> dict[str, Any]:
    """A kind as the item at `kinds/NAME` writes it."""
    return {"maxBatch": kind.max_batch, "separateRoutes": kind.separate_routes}


# ---- checks of the items ----


def check_size(items: Mapping[str, Any], what: str = "the document") -> None:
    """Refuse items that are no JSON, or hold more together than a document may."""
    size = sum(item_size(len(path.encode()), len(_compact(path, value))) for path, value in items.items())
    if size > MAX_DOCUMENT_BYTES:
        raise SettingsError(f"{what}: {MAX_DOCUMENT_BYTES} bytes at most are due, not {size}")


def _compact(path: str, value: Any) -> bytes:
    try:
        return json.dumps(value, separators=(",", ":"), allow_nan=False).encode()
    except (TypeError, ValueError, RecursionError) as error:
        raise SettingsError(f"{path}: a JSON value is due: {error}") from None


def _check_paths(items: Mapping[str, Any]) -> None:
    for path, value in items.items():
        parts = path.split("/")
        if not all(parts):
            raise SettingsError(f"{path or '(empty path)'}: a path without empty parts is due")
        if parts[0] in LISTS:
            _check_member(path, parts, value)
        elif parts[0] == "shapes":
            raise SettingsError(f"{path}: kinds are set one by one, at {KINDS}/NAME")
        elif parts[0] not in SECTIONS:
            raise SettingsError(f"{path}: no such kind of path; one of {', '.join(_known())} is due first")
        elif parts[0] == "extra":
            _check_extra(path, parts, value)
    for path in items:
        _check_alone(path, items)


def _known() -> list[str]:
    return sorted((*LISTS, *SECTIONS))


def _check_member(path: str, parts: list[str], value: Any) -> None:
    if len(parts) != 2:
        raise SettingsError(f"{path}: {parts[0]}/NAME is due")
    if not isinstance(value, Mapping):
        raise SettingsError(f"{path}: an object is due, not {type(value).__name__}")
    if value.get("name", parts[1]) != parts[1]:
        raise SettingsError(f"{path}: the name {parts[1]!r} is due, not {value['name']!r}")


def _check_extra(path: str, parts: list[str], value: Any) -> None:
    """The lists that run parallel to the kinds cannot be set beside these."""
    named = parts[1] if len(parts) > 1 else next((key for key in KIND_LISTS if _holds(value, key)), "")
    if named in KIND_LISTS:
        raise SettingsError(f"{path}: {named} is set kind by kind, at {KINDS}/NAME")


def _holds(value: Any, key: str) -> bool:
    return isinstance(value, Mapping) and key in value


def _check_alone(path: str, items: Mapping[str, Any]) -> None:
    """No item at a path inside another item's path: the two would contradict."""
    above, _, _ = path.rpartition("/")
    while above:
        if above in items:
            raise SettingsError(f"{path}: lies inside {above}, which another item sets")
        above, _, _ = above.rpartition("/")


# ---- values laid over the file's ----


def _laid_at(below: Mapping[str, Any], path: str, parts: list[str], value: Any) -> dict[str, Any]:
    """A copy of `below` with a value laid over what stands at `parts`."""
    first, rest = parts[0], parts[1:]
    present = below.get(first)
    if not rest:
        return {**below, first: _laid_over(path, present, value)}
    if present is not None and not isinstance(present, Mapping):
        raise SettingsError(f"{path}: {first} is no object, so that nothing can be set in it")
    return {**below, first: _laid_at(present or {}, path, rest, value)}


def _laid_over(path: str, below: Any, above: Any) -> Any:
    if not isinstance(below, Mapping):
        return above
    if not isinstance(above, Mapping):
        raise SettingsError(f"{path}: an object is due, not {type(above).__name__}")
    return {
        **below,
        **{key: _laid_over(f"{path}/{key}", below.get(key), value) for key, value in above.items()},
    }


# ---- lists whose members are items ----


def _members(items: Mapping[str, Any], of: str) -> dict[str, Any]:
    """The members of one list by name."""
    start = f"{of}/"
    return {path.removeprefix(start): items[path] for path in sorted(items) if path.startswith(start)}


def _lanes(members: Mapping[str, Any]) -> dict[str, Any]:
    for name, value in members.items():
        message_class(Reader({**value, "name": name}, f"{LANES}/{name}"))
    return {name: {**value, "name": name} for name, value in members.items()}


def _tenants(members: Mapping[str, Any]) -> dict[str, Any]:
    for name, value in members.items():
        tenant(Reader({**value, "name": name}, f"{TENANTS}/{name}"))
    return {name: {**value, "name": name} for name, value in members.items()}


def _kinds(members: Mapping[str, Any]) -> dict[str, DestinationKind]:
    kinds = {}
    for name, value in members.items():
        reader = Reader(value, f"{KINDS}/{name}")
        most = reader.integer("maxBatch", 1)
        if most < 1:
            raise SettingsError(f"{reader.path('maxBatch')}: 1 or more is due, not {most}")
        kinds[name] = DestinationKind(name, most, reader.boolean("separateRoutes"))
    return kinds


def _in_order(base: Any, members: Mapping[str, Any]) -> list[Any]:
    """Those that the file names first, in its order, then the others by name."""
    named = [item.get("name") for item in base if isinstance(item, Mapping)] if isinstance(base, list) else []
    return [members[name] for name in _names_in_order(named, members)]


def _kinds_in_order(base: Any, kinds: Mapping[str, DestinationKind]) -> list[DestinationKind]:
    named = base if isinstance(base, list) else []
    return [kinds[name] for name in _names_in_order(named, kinds)]


def _names_in_order(first: Iterable[Any], names: Iterable[str]) -> list[str]:
    known = set(names)
    ahead = [name for name in dict.fromkeys(first) if name in known]
    return [*ahead, *sorted(known - set(ahead))]


def _with_kinds(document: Mapping[str, Any], kinds: Iterable[DestinationKind]) -> dict[str, Any]:
    """The document with exactly these kinds, in its three parallel lists."""
    kinds = list(kinds)
    extra = document.get("extra", {})
    if not isinstance(extra, Mapping):
        raise SettingsError(f"extra: an object is due, not {type(extra).__name__}")
    batches, apart = [kind.max_batch for kind in kinds], [kind.separate_routes for kind in kinds]
    return {
        **document,
        "shapes": [kind.name for kind in kinds],
        "extra": {**extra, "batchByKind": batches, "separateRoutes": apart},
    }


# ---- what went and is still needed ----


def _with_retired(document: dict[str, Any], retired: Mapping[str, Any]) -> dict[str, Any]:
    document = _with_retired_lanes(document, _lanes(_members(retired, LANES)))
    kinds = _kinds(_members(retired, KINDS))
    return _with_retired_kinds(document, kinds) if kinds else document


def _with_retired_lanes(document: dict[str, Any], retired: Mapping[str, Any]) -> dict[str, Any]:
    if not retired:
        return document
    present = {reader.text("name"): message_class(reader) for reader in Reader(document).sections("lanes")}
    added = []
    for name, value in retired.items():
        if name in present:
            check_same_terms(present[name], message_class(Reader(value)))
        else:
            added.append(value)
    return {**document, "lanes": [*document["lanes"], *added]}


def _with_retired_kinds(document: dict[str, Any], retired: Mapping[str, DestinationKind]) -> dict[str, Any]:
    reader = Reader(document)
    names, extra = reader.texts("shapes"), reader.section("extra")
    batches, apart = extra.per_name("batchByKind", names, 1), extra.per_name("separateRoutes", names, False)
    present = dict(zip(names, map(DestinationKind, names, batches, apart), strict=True))
    for name in retired.keys() & present.keys():
        check_same_routes(present[name], retired[name])
    added = [kind for name, kind in retired.items() if name not in present]
    return _with_kinds(document, [*present.values(), *added])


# ---- what a name stands for ----


def check_same_terms(new: MessageClass, old: MessageClass) -> None:
    """Refuse another effect, handling of repeats or order under the name of a class that there was.

    A message that is owed under the old terms may have run: tried under the new ones it could run twice.
    """
    for key, before, after in (
        ("repeat", old.effect, new.effect),
        ("group", old.dedup_scope, new.dedup_scope),
        ("window", old.dedup_window, new.dedup_window),
        ("keepOrder", old.ordered, new.ordered),
    ):
        if before != after:
            raise SettingsError(
                f"{LANES}/{new.name}.{key}: cannot change under one name; give the class another"
            )


def check_same_routes(new: DestinationKind, old: DestinationKind) -> None:
    """Refuse a change of whether routes are apart: the breakers' state is kept by it."""
    if new.separate_routes != old.separate_routes:
        raise SettingsError(
            f"{KINDS}/{new.name}.separateRoutes: cannot change under one name; give the kind another"
        )
