"""An intake in the test's own process, and clients whose connections are in a known phase."""

from collections.abc import Iterator
from contextlib import contextmanager
from http import HTTPStatus

from gevent import socket as gevent_socket

from irisstack.node.client_connection import Phase
from irisstack.node.counters import Counters
from irisstack.node.decider import Submission
from irisstack.node.intake import Intake
from irisstack.settings import Reader, read
from tests.node.support import wait_until
from tests.node_support import MAX_INPUT_BYTES, SETTINGS


@contextmanager
def intake_answering(answers: list[HTTPStatus | None]) -> Iterator[tuple[Intake, list[Submission]]]:
    """An intake that answers each message at once with `answers[0]`, or not at all if that is `None`."""
    submissions: list[Submission] = []

    def post(submission: Submission) -> None:
        submissions.append(submission)
        if (answer := answers[0]) is not None:
            submission.client.answer(answer)

    listening_intake = Intake(("127.0.0.1", 0), read(Reader(SETTINGS)), post, Counters(), 10, MAX_INPUT_BYTES)
    listening_intake.start()
    yield listening_intake, submissions
    listening_intake.close()


def client_in_phase(listening_intake: Intake, data: bytes, phase: Phase) -> gevent_socket.socket:
    """A client whose connection has reached a phase, with its answers so far read."""
    client = gevent_socket.create_connection(listening_intake.address)
    client.sendall(data)
    wait_until(lambda: any(c.phase is phase for c in listening_intake._connections.values()), phase.name)
    if phase is Phase.IDLE:
        assert b" 202 " in client.recv(65536)
    return client


def parse_answers(data: bytes) -> list[tuple[int, str]]:
    """The status and the `Connection` header of each answer; fails if one is incomplete."""
    found = []
    while data:
        head, end, data = data.partition(b"\r\n\r\n")
        assert end, head
        lines = head.decode().split("\r\n")
        headers = dict(line.split(": ") for line in lines[1:])
        length = int(headers["Content-Length"])
        assert len(data) >= length
        found.append((int(lines[0].split()[1]), headers.get("Connection", "")))
        data = data[length:]
    return found
