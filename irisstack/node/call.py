"""One request to an endpoint, with the messages that it carries."""

import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

import gevent

from irisstack import interface as api


def batch_line(id_: str, key: str, body_size: int) -> bytes:
    """The line before a message's body in a call with several messages."""
    return f"{id_} {key or '-'} {body_size}\r\n".encode("latin-1")


BATCH_LINE_END = b"\r\n"
"""What follows a message's body there."""


def batch_size(id_: str, key: str, body_size: int) -> int:
    """Bytes that a message takes up in a call with several messages."""
    return len(batch_line(id_, key, body_size)) + body_size + len(BATCH_LINE_END)


@dataclass(slots=True, frozen=True)
class OutgoingMessage:
    """One message of a call; times are in seconds on the monotonic clock."""

    number: int
    attempt: int
    id: str
    key: str
    body: bytes
    attempt_deadline: float
    deadline: float
    write_deadline: float = math.inf  # when the last byte must have been sent

    @property
    def size(self) -> int:
        """Bytes that it takes up in a call with several messages."""
        return batch_size(self.id, self.key, len(self.body))


def split_into_calls(
    messages: Sequence[OutgoingMessage], max_batch: int
) -> Iterator[Sequence[OutgoingMessage]]:
    """The messages of each call to one endpoint, within the bounds on their number and their bytes."""
    call: list[OutgoingMessage] = []
    call_size = 0
    for message in messages:
        if call and (len(call) == max_batch or call_size + message.size > api.MAX_BODY_BYTES):
            yield call
            call, call_size = [], 0
        call.append(message)
        call_size += message.size
    if call:
        yield call


@dataclass(slots=True, eq=False)
class Call:
    """One request to the endpoint; its messages are sent together and their attempts end together."""

    messages: Sequence[OutgoingMessage]
    sent_at: float  # for the record: seconds on the record clock
    zone: str = ""  # for the record: the endpoint's zone
    destination: int | None = None  # that its endpoint belonged to when it was decided
    worker: "gevent.Greenlet[..., None] | None" = None
    started: bool = False
    ended: bool = False  # completed or cancelled

    @property
    def ids(self) -> list[str]:
        """The ids of its messages."""
        return [message.id for message in self.messages]

    @property
    def deadline(self) -> float:
        """The last attempt deadline of the messages, or their first message deadline if that is earlier.

        A call ends for all of its messages at once: an attempt that has ended must not have a call in flight.
        """
        return min(
            max(message.attempt_deadline for message in self.messages),
            min(message.deadline for message in self.messages),
        )

    @property
    def write_deadline(self) -> float:
        """When the last byte must have been sent; a call that would be sent later is withheld."""
        return min(message.write_deadline for message in self.messages)
