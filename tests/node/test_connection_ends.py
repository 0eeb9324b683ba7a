"""Each way in which the node ends a connection, times what its client has sent by then.

Of what was sent in time, each whole request gets its answer: as many answers as requests, the last one with
`Connection: close`. No message is accepted behind the end.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

import gevent
import pytest
from gevent import socket as gevent_socket

from irisstack.node import client_connection
from irisstack.node.client_connection import Phase
from irisstack.node.decider import Submission
from irisstack.node.intake import Intake
from tests.node.intake_support import client_in_phase, intake_answering, parse_answers
from tests.node.support import read_to_end, wait_until
from tests.node_support import message_request

FIRST, SECOND, THIRD = (message_request(id_) for id_ in ("m1", "m2", "m3"))
MALFORMED = message_request("bad", "no-such-class")
DELIVERY_S = 0.01
"""Seconds within which loopback delivers."""


@dataclass(frozen=True)
class Ending:
    """A way in which the node ends a connection, from a client's first request to the end."""

    first: bytes
    phase: Phase
    """The phase in which the first request leaves the connection."""
    end: Callable[[Intake, list[Submission]], None]
    answered_behind: bool = False
    """Whether the first request gets its answer behind the beginning of the end."""
    answers_read: bool = False
    """Whether the client has read the first answer already."""
    status: int = 202


def drain(intake: Intake, submissions: list[Submission]) -> None:
    intake.drain()


def drain_and_answer(intake: Intake, submissions: list[Submission]) -> None:
    intake.drain()
    submissions[0].client.answer(HTTPStatus.ACCEPTED)


def answer_and_drain(intake: Intake, submissions: list[Submission]) -> None:
    """The drain begins before the connection's greenlet has run behind its answer."""
    submissions[0].client.answer(HTTPStatus.ACCEPTED)
    intake.drain()


def evict(intake: Intake, submissions: list[Submission]) -> None:
    (connection,) = intake._connections.values()
    connection.stop()


ENDINGS = {
    "drain while a request is with the decider": Ending(FIRST, Phase.WAITING, drain_and_answer, True),
    "drain right behind an answer": Ending(FIRST, Phase.WAITING, answer_and_drain),
    "drain in the pause behind a malformed request": Ending(MALFORMED, Phase.WAITING, drain, status=404),
    "drain at rest": Ending(FIRST, Phase.IDLE, drain, answers_read=True),
    "eviction at rest": Ending(FIRST, Phase.IDLE, evict, answers_read=True),
}
NEXT_REQUESTS = {
    "nothing": (b"", b"", 0),
    "one request": (SECOND, b"", 1),
    "two requests": (SECOND + THIRD, b"", 2),
    "a request and a half": (SECOND + THIRD[:30], b"", 2),
    "half a request, the rest later": (SECOND[:30], SECOND[30:], 1),
}
"""What has arrived by the end, what comes behind it, and the number of answers due."""


@pytest.mark.parametrize("next_requests", NEXT_REQUESTS.values(), ids=NEXT_REQUESTS)
@pytest.mark.parametrize("ending", ENDINGS.values(), ids=ENDINGS)
def test_each_request_is_answered_however_its_connection_ends(
    ending: Ending, next_requests: tuple[bytes, bytes, int]
) -> None:
    """Guards against requests that are read away unanswered at a planned end or an eviction."""
    sent, later, due = next_requests
    initial = None if ending.phase is Phase.WAITING and ending.status == 202 else HTTPStatus.ACCEPTED
    answers: list[HTTPStatus | None] = [initial]
    with intake_answering(answers) as (intake, submissions):
        client = client_in_phase(intake, ending.first, ending.phase)
        accepted = len(submissions)
        client.sendall(sent)
        time.sleep(DELIVERY_S)
        answers[0] = HTTPStatus.SERVICE_UNAVAILABLE  # as the decider rejects while the node stops
        ending.end(intake, submissions)
        gevent.sleep(DELIVERY_S)
        if later:
            client.sendall(later)
        found = parse_answers(read_to_end(client))
        first_is_last = ending.answered_behind and not sent
        first = [] if ending.answers_read else [(ending.status, "close" if first_is_last else "")]
        rejections = [(503, "")] * (due - 1) + [(503, "close")] * (due > 0)
        assert found == first + rejections
        wait_until(lambda: intake.no_clients)
        if ending.phase is Phase.IDLE:  # its end comes before the decider is asked
            assert len(submissions) == accepted


def test_a_client_that_goes_on_sending_does_not_keep_an_evicted_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against evicted connections that live for as long as their clients send requests."""
    monkeypatch.setattr(client_connection, "LINGER_TIMEOUT", 0.2)

    def flood(client: gevent_socket.socket) -> None:
        while True:
            client.sendall(SECOND)
            gevent.sleep(0)

    with intake_answering([HTTPStatus.ACCEPTED]) as (intake, submissions):
        client = client_in_phase(intake, FIRST, Phase.IDLE)
        client.sendall(SECOND * 2)
        evict(intake, submissions)
        flooding = gevent.spawn(flood, client)
        wait_until(lambda: intake.no_clients)
        flooding.kill()
        assert [submission.id for submission in submissions] == ["m1"]
