"""The ledger: what was seen in a run, by whom, in order. Both ways of playing write the same records.

One JSON array a line, the record's name first. Times are seconds from the start of the run, on one clock.
"""

import gzip
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import IO, Literal

import msgspec


class Record(msgspec.Struct, frozen=True, array_like=True, tag=True, gc=False):
    """What all records begin with."""

    t: float


class HandedIn(Record, frozen=True, array_like=True, tag=True, gc=False):
    """A client handed a message in. `chain` is the same for every handing in of one message."""

    node: int
    message: int
    chain: int
    message_class: int
    destination: int
    due: float
    order_key: int = -1


class TakenOn(Record, frozen=True, array_like=True, tag=True, gc=False):
    """The node owes the message its end from here on."""

    node: int
    message: int


class Sent(Record, frozen=True, array_like=True, tag=True, gc=False):
    """A call with this message left the node."""

    node: int
    message: int
    endpoint: int
    destination: int


class Ran(Record, frozen=True, array_like=True, tag=True, gc=False):
    """An endpoint carried the message out; `effect` is unset where it knew the key and dropped it."""

    message: int
    chain: int
    endpoint: int
    effect: bool


Verdict = Literal["ok", "error", "refused", "reset", "timeout", "cancelled", "not_sent", "crossed"]
"""`crossed`: an answer was written just as the node ended the connection; it need not have been heard."""
KNOWN_NOT_RUN = frozenset({"refused", "not_sent"})
"""Verdicts after which a message is known not to have run."""


class Answered(Record, frozen=True, array_like=True, tag=True, gc=False):
    """What the node could know of one attempt's end; `wait` is a told wait in seconds, 0 for none."""

    node: int
    message: int
    endpoint: int
    verdict: Verdict
    wait: float = 0.0


Result = Literal["delivered", "refused", "failed", "withdrawn", "unheard"]
"""`withdrawn`: the node knows that its client left; `unheard`: the client left, and the node may not know."""


class Ended(Record, frozen=True, array_like=True, tag=True, gc=False):
    """The message's final answer; `wait` is the advice when to come back, 0 for none."""

    node: int
    message: int
    result: Result
    wait: float = 0.0


class Told(Record, frozen=True, array_like=True, tag=True, gc=False):
    """The list told a node of an endpoint."""

    node: int
    endpoint: int
    state: Literal["ready", "draining", "gone"]


class Outage(Record, frozen=True, array_like=True, tag=True, gc=False):
    """A destination went down, or came back."""

    destination: int
    down: bool


class Fell(Record, frozen=True, array_like=True, tag=True, gc=False):
    """A destination that was back from an outage was pushed over."""

    destination: int


class NodeState(Record, frozen=True, array_like=True, tag=True, gc=False):
    """A node's process: `killed` keeps its folder, `lost` does not."""

    node: int
    state: Literal["ready", "stopping", "killed", "lost", "stalled", "awake"]


class Missed(Record, frozen=True, array_like=True, tag=True, gc=False):
    """A message that no node could be reached for in all its time."""

    chain: int
    message_class: int
    destination: int
    due: float


Entry = HandedIn | Missed | TakenOn | Sent | Ran | Answered | Ended | Told | Outage | Fell | NodeState
Ledger = list[Entry]


def write(path: Path, ledger: Iterable[Entry]) -> None:
    """Write a ledger, packed where the name ends with `.gz`; never half of it to a reader."""
    partial = path.with_name(path.name + ".part")
    encoder = msgspec.json.Encoder()
    with _open(partial, "wb", packed=path.suffix == ".gz") as file:
        for entry in ledger:
            file.write(encoder.encode(entry) + b"\n")
    partial.replace(path)


def lines(ledger: Iterable[Entry]) -> Iterator[bytes]:
    """The ledger's bytes, line by line."""
    encoder = msgspec.json.Encoder()
    return (encoder.encode(entry) for entry in ledger)


def read(path: Path) -> Ledger:
    """A whole ledger; raises `OSError` or `ValueError` with the line's number."""
    decoder: msgspec.json.Decoder[Entry] = msgspec.json.Decoder(Entry)
    found: Ledger = []
    with _open(path, "rb", packed=path.suffix == ".gz") as file:
        for number, line in enumerate(file, 1):
            try:
                found.append(decoder.decode(line))
            except msgspec.MsgspecError as error:
                raise ValueError(f"{path}:{number}: {error}") from None
    return found


@contextmanager
def _open(path: Path, mode: Literal["rb", "wb"], *, packed: bool) -> Iterator[IO[bytes]]:
    with path.open(mode) as raw:
        if not packed:
            yield raw
            return
        # No name and no time in the head: the same ledger is the same file.
        with gzip.GzipFile("", mode, 5, raw, mtime=0) as file:
            yield file  # type: ignore[misc]
