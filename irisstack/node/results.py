"""How an attempt ended, as a value that carries how far it had come. Nothing here decides anything."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from enum import IntEnum, auto

from irisstack.interface import Outcome
from irisstack.node.http import Message


class Reached(IntEnum):
    """How far an attempt came: only once the last byte is written may it have run."""

    NOTHING = auto()
    CONNECTED = auto()
    WRITTEN = auto()
    ANSWERED = auto()


class Ending(IntEnum):
    """What ended an attempt that got no answer."""

    BROKEN = auto()
    GIVEN_UP = auto()
    CALLED_OFF = auto()
    WITHHELD = auto()  # held back before its last byte, since nothing may go there any more


@dataclass(slots=True, frozen=True)
class Result:
    """The end of one attempt."""

    outcome: Outcome
    reached: Reached
    over: bool = False
    retry_after: float | None = None
    no_free_slot: bool = False
    report: tuple[float, ...] = ()
    report_fields: tuple[str, ...] = field(default=(), compare=False)
    """What the numbers of the report are."""


DELIVERED = Result(Outcome.OK, Reached.ANSWERED, over=True)
MAY_HAVE_RUN = {
    Ending.BROKEN: Outcome.RESET,
    Ending.GIVEN_UP: Outcome.TIMEOUT,
    Ending.CALLED_OFF: Outcome.CANCELLED,
}
ENDS = {
    "accepted": (Outcome.OK, True),
    "fault": (Outcome.ERROR, False),
    "deferred": (Outcome.FULL, False),
    "expired": (Outcome.NOT_SENT, True),
    "no_more": (Outcome.NOT_SENT, False),
}


def unanswered(reached: Reached, ending: Ending) -> Result:
    """An attempt that ended without an answer."""
    if ending is Ending.WITHHELD:
        return Result(Outcome.NOT_SENT, reached)
    if reached < Reached.WRITTEN:
        return Result(Outcome.CONNECT_FAILED, reached)
    return Result(MAY_HAVE_RUN[ending], reached)


def _number(text: str | None) -> float | None:
    try:
        value = float(text) if text is not None else 0.0
    except ValueError:
        return None
    return value if 0.0 < value < float("inf") else None


def _report(message: Message, fields: Sequence[str]) -> tuple[float, ...]:
    """The load report in the order of the settings' fields; one that cannot be read is none."""
    told = message.headers.get("x-server-load")
    if told is None or not fields:
        return ()
    try:
        values = {name.strip(): float(value) for name, value in (item.split("=") for item in told.split(","))}
    except ValueError:
        return ()
    if not all(math.isfinite(value) for value in values.values()):
        return ()
    return tuple(values.get(name, 0.0) for name in fields)


def answered(message: Message, fields: Sequence[str]) -> Result:
    """What an answer says of all messages of its call alike."""
    wait = _number(message.headers.get("retry-after"))
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


def answered_each(message: Message, ids: Sequence[str], fields: Sequence[str]) -> dict[str, Result]:
    """What the answer to a shared call says of each message; one that it does not name may have run."""
    alike = answered(message, fields)
    if message.status in (400, 413):
        return dict.fromkeys(ids, Result(Outcome.NOT_SENT, Reached.ANSWERED))
    if message.status != 200:
        return dict.fromkeys(ids, alike)
    told: dict[str, str] = {}
    for line in bytes(message.body).decode("latin-1").splitlines():
        id_, _, end = line.strip().partition(" ")
        told[id_] = end
    results = {}
    for id_ in ids:
        outcome, over = ENDS.get(told.get(id_, ""), (Outcome.RESET, False))
        results[id_] = replace(alike, outcome=outcome, over=over, no_free_slot=False)
    return results
