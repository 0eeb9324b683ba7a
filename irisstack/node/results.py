"""Results of attempts: the outcome of an answer, or of an attempt that ended without one. No decisions."""

import errno
import math
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from enum import IntEnum, auto

from irisstack.interface import Outcome
from irisstack.node.http import Message


class Reached(IntEnum):
    """How far an attempt came. It may have run only once its last byte was written."""

    NOTHING = auto()
    CONNECTED = auto()
    WRITTEN = auto()
    ANSWERED = auto()


class EndReason(IntEnum):
    """Why an attempt ended without an answer."""

    BROKEN = auto()
    GIVEN_UP = auto()
    CALLED_OFF = auto()
    WITHHELD = auto()  # not sent: nothing may go to the endpoint any more, or not yet


@dataclass(slots=True, frozen=True)
class Result:
    """The result of one attempt; `over` says that the message is final, `retry_after` is in seconds."""

    outcome: Outcome
    reached: Reached
    final: bool = False
    retry_after: float | None = None
    no_free_slot: bool = False
    report: tuple[float, ...] = ()
    report_fields: tuple[str, ...] = field(default=(), compare=False)
    """What the numbers of the report are."""
    error: str = field(default="", compare=False)
    """What broke an attempt that ended without an answer, as the system names it (`ECONNREFUSED`)."""


DELIVERED = Result(Outcome.OK, Reached.ANSWERED, final=True)
OUTCOME_WITHOUT_ANSWER = {
    EndReason.BROKEN: Outcome.RESET,
    EndReason.GIVEN_UP: Outcome.TIMEOUT,
    EndReason.CALLED_OFF: Outcome.CANCELLED,
}
"""The outcome of an attempt that was sent in full and got no answer: it may have run."""
OUTCOME_BY_WORD = {
    "accepted": (Outcome.OK, True),
    "fault": (Outcome.ERROR, False),
    "deferred": (Outcome.FULL, False),
    "expired": (Outcome.NOT_SENT, True),
    "no_more": (Outcome.NOT_SENT, False),
}
"""Outcome and finality by the word for one message in the answer to a shared call."""


def unanswered_result(reached: Reached, ending: EndReason) -> Result:
    """The result of an attempt that ended without an answer."""
    if ending is EndReason.WITHHELD:
        return Result(Outcome.NOT_SENT, reached)
    if reached < Reached.WRITTEN:
        return Result(Outcome.CONNECT_FAILED, reached)
    return Result(OUTCOME_WITHOUT_ANSWER[ending], reached)


def error_name(error: Exception) -> str:
    """The system's name of an error, or its type where it has none."""
    number = error.errno if isinstance(error, OSError) else None
    return type(error).__name__ if number is None else errno.errorcode.get(number, str(number))


def _positive_number(text: str | None) -> float | None:
    """A header's positive finite number; `None` if it has none."""
    try:
        value = float(text) if text is not None else 0.0
    except ValueError:
        return None
    return value if 0.0 < value < float("inf") else None


def _report(message: Message, fields: Sequence[str]) -> tuple[float, ...]:
    """The load report, in the order of the settings' fields; empty if there is none or it cannot be read."""
    header = message.headers.get("x-server-load")
    if header is None or not fields:
        return ()
    try:
        pairs = (item.split("=") for item in header.split(","))
        values = {name.strip(): float(value) for name, value in pairs}
    except ValueError:
        return ()
    if not all(math.isfinite(value) for value in values.values()):
        return ()
    return tuple(values.get(name, 0.0) for name in fields)


def answer_result(message: Message, fields: Sequence[str]) -> Result:
    """The result that an answer gives to every message of its call."""
    wait = _positive_number(message.headers.get("retry-after"))
    report = _report(message, fields)
    busy = message.headers.get("x-line-busy") == "1"
    match message.status:
        case 200:
            outcome, over = Outcome.OK, True
        case 429:
            outcome, over = Outcome.FULL, False
        case 503:
            outcome, over = (Outcome.NOT_SENT if busy else Outcome.FULL), False
        case 504:
            outcome, over = Outcome.NOT_SENT, False
        case 410:
            outcome, over = Outcome.NOT_SENT, True
        case _:
            outcome, over = Outcome.ERROR, False
    return Result(outcome, Reached.ANSWERED, over, wait, busy, report, tuple(fields))


def batch_results(message: Message, ids: Sequence[str], fields: Sequence[str]) -> dict[str, Result]:
    """The result of each message of a shared call, by id; one that the answer does not name may have run."""
    alike = answer_result(message, fields)
    if message.status in (400, 413):
        return dict.fromkeys(ids, Result(Outcome.NOT_SENT, Reached.ANSWERED))
    if message.status != 200:
        return dict.fromkeys(ids, alike)
    words: dict[str, str] = {}
    for line in bytes(message.body).decode("latin-1").splitlines():
        id_, _, word = line.strip().partition(" ")
        words[id_] = word
    results = {}
    for id_ in ids:
        outcome, over = OUTCOME_BY_WORD.get(words.get(id_, ""), (Outcome.RESET, False))
        results[id_] = replace(alike, outcome=outcome, final=over, no_free_slot=False)
    return results
