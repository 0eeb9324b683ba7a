"""Endpoints and platforms that send a response or a list update once more, as the next call arrives."""

import socket
import time
import uuid
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import pytest

from irisstack.node import http
from tests.node_support import (
    Node,
    ScriptedEndpoint,
    ScriptedPlatform,
    accepted,
    eventually,
    http_response,
    message_ids,
    node_and_platform,
)

SERVICE_TIME_S = 0.3
"""Seconds that a call takes at an endpoint; longer than a node takes for several messages."""
REFUSED = http_response(503)
AcceptingResponse = Callable[[http.Message], bytes]
"""Makes the response that accepts a call."""


def accepted_with_token(request: http.Message) -> bytes:
    """A 200 whose body is not the message's id but is different each time, as at the operators' endpoints."""
    if request.path.endswith(":batch"):
        return accepted(request)
    return http_response(200, body=uuid.uuid4().hex)


@dataclass(frozen=True)
class Reply:
    """How an endpoint replies to one call."""

    response: bytes = b""
    """Empty for the endpoint's response to a call that it accepts."""
    after_s: float = 0.0
    repeats_previous: bool = False
    """Whether the previous response on the connection, if there is one, is sent once more before that."""


WARM_UP = (Reply(), Reply())
ACCEPTING_RESPONSES: dict[str, AcceptingResponse] = {
    "names its message": accepted,
    "body of its own": accepted_with_token,
    "no body": lambda _: http_response(200),
}


class RepeatingEndpoint(ScriptedEndpoint):
    """Replies to its calls in the order in which they arrive: first as in `WARM_UP`, then as its script says.

    After the warm-up, a node knows that the bodies of this endpoint's responses differ.
    """

    def __init__(self, *replies: Reply, accept: AcceptingResponse = accepted_with_token) -> None:
        self._make_accepting_response = accept
        self._replies = [*WARM_UP, *replies]
        self._previous: dict[socket.socket, bytes] = {}
        self.executed: list[str] = []
        """The ids of the messages that ran, once for each time."""
        super().__init__()

    def reply(self, connection: socket.socket, request: http.Message) -> None:
        reply = self._replies.pop(0) if self._replies else Reply()
        response = reply.response or self._make_accepting_response(request)
        with suppress(OSError):
            if reply.repeats_previous and connection in self._previous:
                connection.sendall(self._previous[connection])
            if response.startswith(b"HTTP/1.1 200"):
                self.executed += message_ids(request)
            time.sleep(reply.after_s)
            connection.sendall(response)
        self._previous[connection] = response


def submit_all(node: Node, ids: Sequence[str], class_name: str) -> None:
    for id_ in ids:
        assert node.submit(id_, class_name).status == 202


def wait_until_delivered(node: Node, count: int) -> None:
    eventually(lambda: node.counters().get("delivered") == count, f"{count} delivered messages")


def warm_up(node: Node) -> None:
    for count in range(1, len(WARM_UP) + 1):
        submit_all(node, [f"w{count}"], "keyed")
        wait_until_delivered(node, count)


def executed_after_warm_up(endpoint: RepeatingEndpoint) -> list[str]:
    return endpoint.executed[len(WARM_UP) :]


@pytest.mark.parametrize("accept", ACCEPTING_RESPONSES.values(), ids=ACCEPTING_RESPONSES)
def test_message_is_not_lost_when_the_endpoint_repeats_the_previous_200(
    tmp_path: Path, accept: AcceptingResponse
) -> None:
    refused_late = Reply(REFUSED, SERVICE_TIME_S, repeats_previous=True)
    endpoint = RepeatingEndpoint(Reply(), refused_late, accept=accept)
    with node_and_platform(tmp_path, endpoint) as (node, _):
        warm_up(node)
        node.submit("m1", "keyed")
        wait_until_delivered(node, len(WARM_UP) + 1)
        node.submit("m2", "keyed")
        eventually(lambda: executed_after_warm_up(endpoint) == ["m1", "m2"], "the delivery after the refusal")


def test_call_is_not_sent_again_when_the_response_before_it_was_taken_for_its_own(tmp_path: Path) -> None:
    endpoint = RepeatingEndpoint(
        Reply(REFUSED, SERVICE_TIME_S, repeats_previous=True), Reply(after_s=SERVICE_TIME_S)
    )
    with node_and_platform(tmp_path, endpoint) as (node, _):
        warm_up(node)
        submit_all(node, ["m1"], "unsafe")
        eventually(lambda: endpoint.calls_with("m1"), "the call that is refused late")
        submit_all(node, ["m2"], "unsafe")
        eventually(lambda: "m2" in endpoint.executed, "the delivery")
        time.sleep(3 * SERVICE_TIME_S)
        assert endpoint.executed.count("m2") == 1


def test_message_is_not_sent_again_when_the_endpoint_repeats_a_refusal(tmp_path: Path) -> None:
    endpoint = RepeatingEndpoint(Reply(REFUSED), Reply(after_s=SERVICE_TIME_S, repeats_previous=True))
    with node_and_platform(tmp_path, endpoint) as (node, _):
        warm_up(node)
        node.submit("m1", "unsafe")
        eventually(lambda: "m1" in endpoint.executed, "the delivery")
        time.sleep(2 * SERVICE_TIME_S)
        node.submit("m2", "unsafe")
        eventually(lambda: "m2" in endpoint.executed, "the next message")
        assert executed_after_warm_up(endpoint) == ["m1", "m2"]


class RepeatingPlatform(ScriptedPlatform):
    """Repeats its previous acknowledgement when the second post of notices arrives, and rejects that post."""

    def __init__(self) -> None:
        self._posted_on: list[socket.socket] = []
        super().__init__()

    def reply(self, connection: socket.socket, request: http.Message) -> None:
        if request.path == "/reports":
            self._posted_on.append(connection)
            if len(self._posted_on) == 2:
                if self._posted_on[0] is connection:
                    connection.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
                self.rejections_left = 1
        super().reply(connection, request)


def test_notice_is_not_lost_when_the_platform_repeats_the_previous_204(tmp_path: Path) -> None:
    endpoint, platform = ScriptedEndpoint(http_response(500)), RepeatingPlatform()
    with node_and_platform(tmp_path, endpoint, platform=platform) as (node, _):
        for id_ in ("m1", "m2"):
            node.submit(id_, "unsafe")
            eventually(partial(platform.notice_for, id_), f"the notice of {id_}")


def test_older_list_update_on_a_watch_does_not_undo_a_drain(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint()
    with node_and_platform(tmp_path, endpoint) as (node, platform):
        eventually(lambda: platform.watchers)
        member = platform.members[0]
        platform.update_members(member)
        older = {**platform.document(), "complete": False, "members": [dict(member)]}
        member["phase"] = "DRAINING"
        platform.update_members(member)
        not_offered = f'"not_offered": ["127.0.0.1:{endpoint.port}"]'
        eventually(lambda: not_offered in node.log.read_text(), "the drain")
        platform.send_update(older)
        time.sleep(SERVICE_TIME_S)
        node.submit("m1")
        time.sleep(SERVICE_TIME_S)
        assert endpoint.requests == []
