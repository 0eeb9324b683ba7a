"""Results of attempts, derived from the endpoint's answer or from how an attempt without one ended."""

import errno
import math
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from enum import IntEnum, auto

from irisstack.interface import Outcome
from irisstack.node.http import Message


class Reached(IntEnum):
    """How far an attempt got. It can have run only if its last byte was written."""

    NOTHING = auto()
    CONNECTED = auto()
    WRITTEN = auto()
    ANSWERED = auto()


class EndReason(IntEnum):
    """Why an attempt ended without an answer."""

    BROKEN = auto()  # an error, such as a reset connection
    GIVEN_UP = auto()  # timed out
    CALLED_OFF = auto()  # cancelled
    WITHHELD = auto()  # not sent: the endpoint must not be called any more, or not yet


@dataclass(slots=True, frozen=True)
class Result:
    """The result of one attempt; `final` if the message needs no further one, `retry_after` in seconds."""

    outcome: Outcome
    reached: Reached
    final: bool = False
    retry_after: float | None = None
    no_free_slot: bool = False
    report: tuple[float, ...] = ()
    report_fields: tuple[str, ...] = field(default=(), compare=False)
    """The names of the numbers in the report."""
    error: str = field(default="", compare=False)
    """The system's name of the error that ended an attempt without an answer, such as `ECONNREFUSED`."""
    connection: int = field(default=0, compare=False)
    """The number of the connection that the attempt was made on."""


RESPONSE_HEADERS = ("retry-after", "x-line-busy", "x-request-id", "x-server-load")
"""The headers of an endpoint's answer that are read, here and to match it with its call."""
DELIVERED = Result(Outcome.OK, Reached.ANSWERED, final=True)
OUTCOME_WITHOUT_ANSWER = {
    EndReason.BROKEN: Outcome.RESET,
    EndReason.GIVEN_UP: Outcome.TIMEOUT,
    EndReason.CALLED_OFF: Outcome.CANCELLED,
}
"""The outcome of an attempt that was sent in full and got no answer; it may have run."""
OUTCOME_BY_WORD = {
    "accepted": (Outcome.OK, True),
    "fault": (Outcome.ERROR, False),
    "deferred": (Outcome.FULL, False),
    "expired": (Outcome.NOT_SENT, True),
    "no_more": (Outcome.NOT_SENT, False),
}
"""Outcome, and whether it is final, by the word for a message in the answer to a batch call."""


def unanswered_result(reached: Reached, reason: EndReason) -> Result:
    """The result of an attempt that ended without an answer."""
    if reason is EndReason.WITHHELD:
        return Result(Outcome.NOT_SENT, reached)
    if reached < Reached.WRITTEN:
        return Result(Outcome.CONNECT_FAILED, reached)
    return Result(OUTCOME_WITHOUT_ANSWER[reason], reached)


def error_name(error: Exception) -> str:
    """The system's name of an error (`ECONNREFUSED`), or its type if it has none."""
    code = error.errno if isinstance(error, OSError) else None
    return type(error).__name__ if code is None else errno.errorcode.get(code, str(code))


def _positive_number(text: str | None) -> float | None:
    """The positive finite number in a header; None if there is none."""
    try:
        value = float(text) if text is not None else 0.0
    except ValueError:
        return None
    return value if 0.0 < value < float("inf") else None


def _load_report(message: Message, report_fields: Sequence[str]) -> tuple[float, ...]:
    """The load report, in the order of `report_fields`; empty if it is missing or invalid."""
    header = message.headers.get("x-server-load")
    if header is None or not report_fields:
        return ()
    try:
        pairs = (item.split("=") for item in header.split(","))
        values = {name.strip(): float(value) for name, value in pairs}
    except ValueError:
        return ()
    if not all(math.isfinite(value) for value in values.values()):
        return ()
    return tuple(values.get(name, 0.0) for name in report_fields)


def answer_result(message: Message, report_fields: Sequence[str]) -> Result:
    """The result of an answer for every message of its call."""
    retry_after = _positive_number(message.headers.get("retry-after"))
    report = _load_report(message, report_fields)
    no_free_slot = message.headers.get("x-line-busy") == "1"
    match message.status:
        case 200:
            outcome, final = Outcome.OK, True
        case 429:
            outcome, final = Outcome.FULL, False
        case 503:
            outcome, final = (Outcome.NOT_SENT if no_free_slot else Outcome.FULL), False
        case 504:
            outcome, final = Outcome.NOT_SENT, False
        case 410:
            outcome, final = Outcome.NOT_SENT, True
        case _:
            outcome, final = Outcome.ERROR, False
    return Result(outcome, Reached.ANSWERED, final, retry_after, no_free_slot, report, tuple(report_fields))


def batch_words(body: str) -> dict[str, str]:
    """The word for each message in the body of a response to a batch call, by id."""
    words: dict[str, str] = {}
    for line in body.splitlines():
        id_, _, word = line.strip().partition(" ")
        words[id_] = word
    return words


def batch_results(message: Message, ids: Sequence[str], report_fields: Sequence[str]) -> dict[str, Result]:
    """The result of each message of a batch call, by id; one that the answer omits may have run."""
    call_result = answer_result(message, report_fields)
    if message.status in (400, 413):
        return dict.fromkeys(ids, Result(Outcome.NOT_SENT, Reached.ANSWERED))
    if message.status != 200:
        return dict.fromkeys(ids, call_result)
    words = batch_words(bytes(message.body).decode("latin-1"))
    results = {}
    for id_ in ids:
        outcome, final = OUTCOME_BY_WORD.get(words.get(id_, ""), (Outcome.RESET, False))
        results[id_] = replace(call_result, outcome=outcome, final=final, no_free_slot=False)
    return results
