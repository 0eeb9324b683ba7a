"""A list entry of a draining or deleted endpoint takes effect even if the rest of it cannot be parsed."""

from typing import Any

from irisstack import interface as api
from irisstack.node.list_reader import ListReader
from irisstack.settings import Reader, read
from tests.node_support import SETTINGS

KNOWN_MEMBER: dict[str, Any] = {
    "id": "s-1",
    "host_port": "10.0.0.1:7070",
    "locality": "z",
    "flavor": "plain",
    "cell": 1,
    "phase": "SERVING",
    "size": 2.5,
    "up_since_ms": 0,
}
MALFORMED_FIELDS: dict[str, dict[str, Any]] = {
    "an unknown flavor": {"flavor": "unheard-of"},
    "a flavor that is not a string": {"flavor": ["plain"]},
    "a cell that is not a number": {"cell": "one"},
    "a size that is not a number": {"size": "large"},
    "a start that is not a time": {"up_since_ms": "yesterday"},
    "an address without a port": {"host_port": "10.0.0.1"},
    "no address": {"host_port": None},
}
STATES = {"DRAINING": api.EndpointState.DRAINING, "DELETED": api.EndpointState.GONE}


def delta_update(**member: Any) -> dict[str, Any]:
    return {"revision": 6, "complete": False, "members": [member]}


def test_malformed_entry_of_a_draining_endpoint_takes_effect() -> None:
    failures = []
    for phase, state in STATES.items():
        members = {
            case: {**KNOWN_MEMBER, **malformed, "phase": phase}
            for case, malformed in MALFORMED_FIELDS.items()
        }
        members["only the id and the phase"] = {"id": KNOWN_MEMBER["id"], "phase": phase}
        for case, member in members.items():
            for max_waiting in (0, 10):
                reader = ListReader(read(Reader(SETTINGS)), max_waiting)
                (known,) = reader.parse_update(
                    {"revision": 5, "complete": True, "members": [KNOWN_MEMBER]}
                ).endpoints
                endpoints = reader.parse_update(delta_update(**member)).endpoints
                if [(each.address, each.state) for each in endpoints] != [(known.address, state)]:
                    failures.append((phase, case, max_waiting))
    assert failures == []


def test_malformed_entry_of_a_serving_endpoint_changes_nothing() -> None:
    for malformed in MALFORMED_FIELDS.values():
        reader = ListReader(read(Reader(SETTINGS)))
        reader.parse_update({"revision": 5, "complete": True, "members": [KNOWN_MEMBER]})
        assert reader.parse_update(delta_update(**{**KNOWN_MEMBER, **malformed})).endpoints == ()
