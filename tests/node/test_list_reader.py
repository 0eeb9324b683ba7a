"""A line that says an endpoint drains or is gone is heeded, whatever else of it cannot be read."""

from typing import Any

from irisstack import interface as api
from irisstack.node.list_reader import ListReader
from irisstack.settings import Reader, read
from tests.node_support import SETTINGS

KNOWN: dict[str, Any] = {
    "id": "s-1",
    "host_port": "10.0.0.1:7070",
    "locality": "z",
    "flavor": "plain",
    "cell": 1,
    "phase": "SERVING",
    "size": 2.5,
    "up_since_ms": 0,
}
SPOILT: dict[str, dict[str, Any]] = {
    "a flavor that nobody knows": {"flavor": "unheard-of"},
    "a flavor that is no name": {"flavor": ["plain"]},
    "a cell that is no number": {"cell": "one"},
    "a size that is no number": {"size": "large"},
    "a start that is no time": {"up_since_ms": "yesterday"},
    "a place that cannot be read": {"host_port": "10.0.0.1"},
    "a place that is none": {"host_port": None},
}
STATES = {"DRAINING": api.EndpointState.DRAINING, "DELETED": api.EndpointState.GONE}


def change(**line: Any) -> dict[str, Any]:
    return {"revision": 6, "complete": False, "members": [line]}


def test_a_spoilt_line_of_an_endpoint_that_drains_is_heeded() -> None:
    unheeded = []
    for phase, state in STATES.items():
        lines = {what: {**KNOWN, **spoilt, "phase": phase} for what, spoilt in SPOILT.items()}
        lines["nothing else"] = {"id": KNOWN["id"], "phase": phase}
        for what, line in lines.items():
            for max_waiting in (0, 10):
                reader = ListReader(read(Reader(SETTINGS)), max_waiting)
                (known,) = reader.parse_update(
                    {"revision": 5, "complete": True, "members": [KNOWN]}
                ).endpoints
                told = reader.parse_update(change(**line)).endpoints
                if [(each.address, each.state) for each in told] != [(known.address, state)]:
                    unheeded.append((phase, what, max_waiting))
    assert unheeded == []


def test_a_spoilt_line_of_an_endpoint_that_serves_leaves_it_as_it_was() -> None:
    for spoilt in SPOILT.values():
        reader = ListReader(read(Reader(SETTINGS)))
        reader.parse_update({"revision": 5, "complete": True, "members": [KNOWN]})
        assert reader.parse_update(change(**{**KNOWN, **spoilt})).endpoints == ()
