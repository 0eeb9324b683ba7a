"""A call with several messages is bounded in bytes, with the framing of the call."""

import threading
from pathlib import Path

import pytest

from irisstack import interface as api
from irisstack.choice import Sender
from irisstack.node import http
from irisstack.node.call import OutgoingMessage, split_into_calls
from irisstack.settings import Reader, read
from tests.node_support import (
    SETTINGS,
    ScriptedEndpoint,
    accepted,
    eventually,
    http_response,
    node_and_platform,
)

SHARED_KIND, MAX_BATCH = 1, 5
FRAMING_BYTES = len("a - 30000\r\n") + len("\r\n")
BODY_BYTES = 30_000
HALF = api.MAX_BODY_BYTES // 2 - FRAMING_BYTES
"""Body bytes of which two messages fill a call exactly."""


def outgoing(number: int, body_bytes: int) -> OutgoingMessage:
    return OutgoingMessage(number, 0, "a", "", bytes(body_bytes), 1.0, 1.0)


@pytest.mark.parametrize(
    ("bodies", "calls"),
    [
        ([HALF, HALF], [2]),
        ([HALF, HALF + 1], [1, 1]),
        ([api.MAX_BODY_BYTES] * 2, [1, 1]),
        ([1, api.MAX_BODY_BYTES, 1], [1, 1, 1]),
        ([1] * 7, [5, 2]),
    ],
    ids=["exactly full", "one byte too many", "each too long for company", "a long one between", "by number"],
)
def test_calls_are_split_by_bytes_and_number(bodies: list[int], calls: list[int]) -> None:
    """Guards against calls that an endpoint turns away for their length, and against messages left out."""
    messages = [outgoing(number, size) for number, size in enumerate(bodies)]
    split = list(split_into_calls(messages, MAX_BATCH))
    assert [len(call) for call in split] == calls
    assert [message for call in split for message in call] == messages


def test_the_decisions_count_each_call_that_bytes_make_necessary() -> None:
    """Guards against calls beyond those that the decisions know of."""
    sender = Sender(read(Reader(SETTINGS)), 1)
    endpoint = api.Endpoint((b"\x7f\0\0\x01", 1), api.EndpointState.READY, SHARED_KIND, 1, 0, 50.0, None)
    size = api.MAX_BODY_BYTES // 2
    received = [api.MessageReceived(n, 0, 1, 20.0, size=size) for n in range(1, 6)]
    sender.turn(0.0, [api.EndpointsUpdated(api.UpdateScope.FULL, 1, (endpoint,)), *received])
    assert sender._calls_in_flight == 3


def test_long_messages_to_a_shared_endpoint_are_all_delivered(tmp_path: Path) -> None:
    """Guards against healthy messages that are returned since their calls were too long."""
    bodies: list[int] = []
    blocked = threading.Event()

    def limited(request: http.Message) -> bytes:
        bodies.append(len(request.body))
        if not blocked.is_set():
            blocked.set()
            return http_response(429, "Retry-After: 1.0")
        return accepted(request) if bodies[-1] <= api.MAX_BODY_BYTES else http_response(413)

    endpoint = ScriptedEndpoint(limited)
    with node_and_platform(tmp_path, endpoint, flavor="shared") as (node, platform):
        assert node.submit("first").status == 202
        eventually(blocked.is_set, "the refusal")
        ids = [f"m{number}" for number in range(8)]
        for id_ in ids:
            assert node.submit(id_, "unsafe", bytes(BODY_BYTES)).status == 202
        eventually(lambda: all(endpoint.calls_with(id_) for id_ in ids), "all calls")
        eventually(lambda: node.counters().get("delivered") == len(ids) + 1, "all deliveries")
        assert max(bodies) <= api.MAX_BODY_BYTES
        assert platform.notices == []
