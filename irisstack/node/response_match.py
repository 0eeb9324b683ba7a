"""Matches the responses that arrive on one connection with the calls sent on it; no I/O.

HTTP/1.1 assigns responses to requests by their order alone. A response that is sent twice would end the next
call, whose own response would end the call after it, and so on. So the order is not relied on:

- A connection is reused only after a response whose repetition could be told from the response to the next
  call: it names the messages of its call, which it finishes and whose ids occur in no later call; or it has a
  body, and the endpoint's bodies have differed from each other so far.
- A response on a reused connection that equals an earlier one is a repetition. A refusal or an error often
  equals the one before it; a connection is not reused after these.
"""

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from enum import Enum, auto
from http import HTTPStatus

from irisstack.node.http import STATUS_LINE_START, Message
from irisstack.node.results import batch_words

MAX_CALLS_PER_CONNECTION = 256
"""Calls after which a connection is closed, since a hash of the response to each is kept."""
COMPARED_BODIES = 8
"""Latest bodies of an endpoint with which the next one is compared."""
STATUS_LINE_PARTS = tuple(STATUS_LINE_START[:size] for size in range(1, len(STATUS_LINE_START)))


class Match(Enum):
    """What a response has to do with the call that waits for one."""

    OWN = auto()
    """It is the call's response."""
    REPEATED = auto()
    """It repeats the response to an earlier call."""
    UNCLEAR = auto()
    """It may be a mixture: of an earlier response that was cut off, and of the call's own behind it."""


@dataclass(slots=True, frozen=True)
class Identity:
    """The parts of a response by which it can be told from others; only its hash is kept."""

    request_id: str
    """Its `X-Request-ID`; empty if it has none."""
    body: str

    @classmethod
    def of(cls, response: Message) -> "Identity":
        return cls(response.headers.get("x-request-id", ""), bytes(response.body).decode("latin-1"))

    @property
    def without_end(self) -> "Identity":
        """The same without the last bytes of the body, which a start of a status line may have completed."""
        return Identity(self.request_id, self.body[: 1 - len(STATUS_LINE_START)])

    @property
    def ends_like_status_line(self) -> bool:
        """Whether the body ends with a part of `STATUS_LINE_START`."""
        return self.body.endswith(STATUS_LINE_PARTS)

    def names(self, ids: Collection[str]) -> bool:
        """Whether it names all these messages: as its `X-Request-ID`, as its body, or one on each line."""
        return {*batch_words(self.body), self.request_id}.issuperset(ids)


def contains_status_line(response: Message) -> bool:
    """Whether another response may begin within this one."""
    texts = (response.reason, bytes(response.body).decode("latin-1"))
    return response.status_line_in_headers or any(STATUS_LINE_START in text for text in texts)


@dataclass(slots=True)
class BodyVariety:
    """Whether one endpoint gives each response a body of its own."""

    _latest_hashes: deque[int] = field(default_factory=lambda: deque(maxlen=COMPARED_BODIES))
    _differed: bool = False
    _repeated: bool = False

    @property
    def always_differs(self) -> bool:
        """Whether there were at least two bodies and none equalled another."""
        return self._differed and not self._repeated

    def observe(self, body: str) -> None:
        """Take note of the body of a response that accepted a call."""
        if not body or hash(body) in self._latest_hashes:
            self._repeated = True
        elif self._latest_hashes:
            self._differed = True
        self._latest_hashes.append(hash(body))

    def distrust(self) -> None:
        """A body was taken for a repetition, and no other response came: it may not have been one."""
        self._repeated = True


class ResponseMatcher:
    """The responses that one connection has brought so far."""

    def __init__(self, variety: BodyVariety) -> None:
        """`variety` belongs to the connection's endpoint."""
        self._variety = variety
        self._earlier_hashes: set[int] = set()
        self._earlier_hashes_without_end: set[int] = set()

    @property
    def awaits_first_response(self) -> bool:
        """Whether the connection has brought none, so that any response belongs to the present call."""
        return not self._earlier_hashes

    def match(self, response: Message, ids: Collection[str], next_text: str) -> Match:
        """Match a response with the present call, whose messages have these ids.

        `next_text` is what was received behind the response, up to the length of `STATUS_LINE_START`.
        """
        if self.awaits_first_response or response.status != HTTPStatus.OK:
            return Match.OWN
        identity = Identity.of(response)
        if hash(identity) in self._earlier_hashes:
            return Match.REPEATED
        if contains_status_line(response):
            return Match.UNCLEAR
        if identity.names(ids):
            return Match.OWN
        if identity.ends_like_status_line and hash(identity.without_end) in self._earlier_hashes_without_end:
            return Match.UNCLEAR
        return Match.OWN if identity.body and STATUS_LINE_START.startswith(next_text) else Match.UNCLEAR

    def complete_call(self, response: Message, ids: Collection[str], all_finished: bool) -> bool:
        """Take note of a call's own response; returns whether the connection may carry another call.

        `all_finished` tells whether all messages of the call are finished.
        """
        if response.status != HTTPStatus.OK:
            return False
        identity = Identity.of(response)
        if len(ids) == 1:  # the body of a batch response differs by the ids that it names
            self._variety.observe(identity.body)
        self._earlier_hashes.add(hash(identity))
        self._earlier_hashes_without_end.add(hash(identity.without_end))
        distinctive = identity.names(ids) or (identity.body != "" and self._variety.always_differs)
        if not distinctive or contains_status_line(response):
            return False
        return all_finished and len(self._earlier_hashes) < MAX_CALLS_PER_CONNECTION

    def give_up(self) -> None:
        """A response was taken for that of an earlier call, and the call's own response did not come."""
        self._variety.distrust()
