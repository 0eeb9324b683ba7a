"""The ledger: the records of a run, the same in virtual time and on real sockets.

A file holds one JSON array a line, with the record's tag first. A renamed class keeps its tag, so that saved
runs can be read. Times are in seconds from the start of the run, on one clock.
"""

import gzip
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import IO, Literal

import msgspec


class Record(msgspec.Struct, frozen=True, array_like=True, tag=True, gc=False):
    """Base of all records."""

    t: float


class Submitted(Record, frozen=True, array_like=True, tag="HandedIn", gc=False):
    """A client submitted a message to a node; `chain` is the same for all submissions of one message."""

    node: int
    message: int
    chain: int
    message_class: int
    destination: int
    due: float
    order_key: int = -1


class Accepted(Record, frozen=True, array_like=True, tag="TakenOn", gc=False):
    """The node accepted the message: it is pending from now on."""

    node: int
    message: int


class Sent(Record, frozen=True, array_like=True, tag=True, gc=False):
    """A call with this message left the node."""

    node: int
    message: int
    endpoint: int
    destination: int


class Executed(Record, frozen=True, array_like=True, tag="Ran", gc=False):
    """An endpoint executed the message; `effect` is false if it dropped a repeat of a known key."""

    message: int
    chain: int
    endpoint: int
    effect: bool


Verdict = Literal["ok", "error", "refused", "reset", "timeout", "cancelled", "not_sent", "crossed"]
"""`crossed`: the answer was written as the node closed the connection, and may not have been read."""
KNOWN_NOT_RUN = frozenset({"refused", "not_sent"})
"""Verdicts after which a message is known not to have run."""


class Answered(Record, frozen=True, array_like=True, tag=True, gc=False):
    """The end of an attempt, as the node observed it; `wait` is the Retry-After in seconds, 0 for none."""

    node: int
    message: int
    endpoint: int
    verdict: Verdict
    wait: float = 0.0


Result = Literal["delivered", "refused", "failed", "withdrawn", "unheard"]
"""`withdrawn`: the node knows that the client left; `unheard`: the client left, perhaps unnoticed."""


class Ended(Record, frozen=True, array_like=True, tag=True, gc=False):
    """The message's final result; `wait` is the advised wait in seconds before a retry, 0 for none."""

    node: int
    message: int
    result: Result
    wait: float = 0.0


class EndpointAnnounced(Record, frozen=True, array_like=True, tag="Told", gc=False):
    """The endpoint list announced an endpoint's state to a node."""

    node: int
    endpoint: int
    state: Literal["ready", "draining", "gone"]


class Outage(Record, frozen=True, array_like=True, tag=True, gc=False):
    """A destination went down, or came back."""

    destination: int
    down: bool


class Overloaded(Record, frozen=True, array_like=True, tag="Fell", gc=False):
    """Load took down a destination that was still warming up after an outage."""

    destination: int


class NodeState(Record, frozen=True, array_like=True, tag=True, gc=False):
    """The state of a node's process. The state directory survives `killed`, but not `lost`."""

    node: int
    state: Literal["ready", "stopping", "killed", "lost", "stalled", "awake"]


class NeverSubmitted(Record, frozen=True, array_like=True, tag="Missed", gc=False):
    """A message whose client reached no node before its deadline."""

    chain: int
    message_class: int
    destination: int
    due: float


Entry = (
    Submitted
    | NeverSubmitted
    | Accepted
    | Sent
    | Executed
    | Answered
    | Ended
    | EndpointAnnounced
    | Outage
    | Overloaded
    | NodeState
)
Ledger = list[Entry]


def write(path: Path, ledger: Iterable[Entry]) -> None:
    """Write a ledger atomically, compressed where the name ends with `.gz`; raises `OSError`."""
    partial = path.with_name(path.name + ".part")
    encoder = msgspec.json.Encoder()
    with _open(partial, "wb", compressed=path.suffix == ".gz") as file:
        for entry in ledger:
            file.write(encoder.encode(entry) + b"\n")
    partial.replace(path)


def encoded_lines(ledger: Iterable[Entry]) -> Iterator[bytes]:
    """The ledger in the form of its file, line by line."""
    encoder = msgspec.json.Encoder()
    return (encoder.encode(entry) for entry in ledger)


def read(path: Path) -> Ledger:
    """Read a whole ledger; raises `OSError`, or `ValueError` with the number of the line at fault."""
    decoder: msgspec.json.Decoder[Entry] = msgspec.json.Decoder(Entry)
    ledger: Ledger = []
    with _open(path, "rb", compressed=path.suffix == ".gz") as file:
        for number, line in enumerate(file, 1):
            try:
                ledger.append(decoder.decode(line))
            except msgspec.MsgspecError as error:
                raise ValueError(f"{path}:{number}: {error}") from None
    return ledger


@contextmanager
def _open(path: Path, mode: Literal["rb", "wb"], *, compressed: bool) -> Iterator[IO[bytes]]:
    with path.open(mode) as raw:
        if not compressed:
            yield raw
            return
        # No name and no time in the gzip header: equal ledgers give equal files.
        with gzip.GzipFile("", mode, 5, raw, mtime=0) as file:
            yield file  # type: ignore[misc]
