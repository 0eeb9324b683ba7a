"""The lasting folder: a log of what the node owes, in segments, that outlives its processes.

Each segment begins with the anchor of the clock that the times in the folder are on. The oldest segment makes
room by having what is still needed of it written anew; a torn record ends the reading of its segment.
"""

import os
from collections.abc import Iterable
from dataclasses import dataclass, fields
from heapq import heappop, heappush
from pathlib import Path

from irisstack.node import record_clock, records

UNIT = 512
"""Files count in whole units of this size."""
SEGMENTS = 12
"""The folder's room is shared out among so many segments."""
FREE = 3
"""Segments that are free again once room has been made: one to fill, one to write anew, one in hand."""
SPARE = 5
"""Segments that owed messages may not fill, so that the free ones can always be had."""
NOTE_ROOM = 512
"""Room counted for a message's notes beside its body."""


@dataclass(slots=True)
class Entry:
    """A message that was taken on, as the folder knows it."""

    number: int
    id: str
    key: str
    message_class: str
    tenant: int
    destination: int
    due: float
    is_retry: bool
    from_dead_sender: bool
    body: bytes
    attempts: int = 0
    ran_at: float | None = None  # when the first attempt that may have run was sent
    ran_in: str = ""  # and the zone it was sent to
    out_at: float | None = None  # when the attempt that is out was sent
    out_in: str = ""  # and the zone it was sent to
    result: str = ""  # how it ended, empty while it is owed
    wait_ms: int = 0
    told: bool = False  # its notice was taken
    segment: int = 0

    @property
    def owed(self) -> bool:
        return not self.result

    @property
    def to_tell(self) -> bool:
        """Whether a notice is owed."""
        return self.result in ("dead", "bounced") and not self.told

    @property
    def room(self) -> int:
        return len(self.body) + len(self.id) + len(self.key) + NOTE_ROOM


NOTED = tuple(field.name for field in fields(Entry) if field.name not in ("body", "segment"))


class Store:
    """Keeps the folder and, beside it, the entries in memory."""

    def __init__(self, folder: Path, disk_bytes: int, now: float | None = None) -> None:
        """`now` is the time on the clock of the records; by default what that clock says."""
        self._folder = folder
        self._disk = disk_bytes
        self._segment_size = disk_bytes // SEGMENTS
        self._sizes: dict[int, int] = {}
        self._file = -1
        self._current = 0
        self._room = 0
        self._ended: list[tuple[float, int]] = []
        self.entries: dict[int, Entry] = {}
        self.by_id: dict[str, int] = {}
        self.next_number = 1
        self._anchor: record_clock.Anchor | None = None
        self._read()
        self.clock = record_clock.resume(self._anchor)
        if now is None:
            now = self.clock.now()
        self._rotate()
        self._make_room(now)
        # The process ended with these calls out: they may have run. That goes on record before anything else:
        # a later attempt, in this life or the next, must not stand for the first.
        out = [entry for entry in self.entries.values() if entry.out_at is not None]
        self.write([self.end(entry.number, entry.attempts - 1, ran=True) for entry in out], now)

    # ---- reading ----

    def _read(self) -> None:
        for path in sorted(self._folder.glob("[0-9]" * 10 + ".log")):
            segment = int(path.stem)
            data = path.read_bytes()
            self._sizes[segment] = len(data)
            self._current = max(self._current, segment)
            for note, body in records.decode(data):
                self._replay(note, body, segment)

    def _replay(self, note: records.Note, body: bytes, segment: int) -> None:
        match note.pop("t"):
            case "clock":
                self._anchor = record_clock.Anchor(**note)
            case "taken":
                entry = Entry(**note, body=body, segment=segment)
                known = self.entries.get(entry.number)
                if known is not None:
                    self._room -= known.room
                self.entries[entry.number] = entry
                self.by_id[entry.id] = entry.number
                self._room += entry.room
                self.next_number = max(self.next_number, entry.number + 1)
                if not entry.owed:
                    heappush(self._ended, (entry.due, entry.number))
            case "out":
                for number, attempt in note["n"]:
                    if out := self.entries.get(number):
                        self._out(out, attempt, note["at"], note.get("in", ""))
            case "end":
                if ended := self.entries.get(note["n"]):
                    self._end(ended, note["a"], note["ran"])
            case "over":
                if over := self.entries.get(note["n"]):
                    self._over(over, note["result"], note["wait_ms"])
            case "told":
                for number in note["n"]:
                    if told := self.entries.get(number):
                        self._told(told)

    # ---- what happens to an entry, first and when read again ----

    @staticmethod
    def _out(entry: Entry, attempt: int, at: float, zone: str) -> None:
        entry.out_at, entry.out_in, entry.attempts = at, zone, attempt + 1

    @staticmethod
    def _end(entry: Entry, attempt: int, ran: bool) -> None:
        entry.attempts = max(entry.attempts, attempt + 1)
        if ran and entry.ran_at is None:
            entry.ran_at, entry.ran_in = entry.out_at, entry.out_in
        entry.out_at, entry.out_in = None, ""

    def _over(self, entry: Entry, result: str, wait_ms: int) -> None:
        self._room -= entry.room
        entry.result, entry.wait_ms, entry.body = result, wait_ms, b""
        self._room += entry.room
        heappush(self._ended, (entry.due, entry.number))

    def _told(self, entry: Entry) -> None:
        entry.told = True
        heappush(self._ended, (entry.due, entry.number))  # the first time, its notice was still owed

    # ---- what others note ----

    def fits(self, entry: Entry, now: float) -> bool:
        """Whether one more message finds room beside all that is owed.

        Those that are over are kept, so as to know them again, as long as nobody needs their room.
        """
        most = self._disk - SPARE * self._segment_size - entry.room
        if self._room > most:
            self.drop_ended(now)
        while self._room > most and self._ended:
            self._drop_first()
        return self._room <= most

    def take(self, entry: Entry) -> None:
        """A message comes in; it is on record once what `taken` returns is written."""
        self.entries[entry.number] = entry
        self.by_id[entry.id] = entry.number
        self._room += entry.room

    def taken(self, number: int) -> bytes:
        """The record of a message that was taken on, as it stands now."""
        entry = self.entries[number]
        entry.segment = self._current
        return self._taken(entry)

    def refuse(self, number: int) -> None:
        """A message that was not taken on after all leaves no trace."""
        self._forget(self.entries[number])

    def end(self, number: int, attempt: int, ran: bool) -> bytes:
        """An attempt has ended; returns the record to write."""
        self._end(self.entries[number], attempt, ran)
        return records.encode({"t": "end", "n": number, "a": attempt, "ran": ran})

    def over(self, number: int, result: str, wait_ms: int = 0) -> bytes:
        """A message is over; returns the record to write."""
        self._over(self.entries[number], result, wait_ms)
        return records.encode({"t": "over", "n": number, "result": result, "wait_ms": wait_ms})

    def out(self, attempts: Iterable[tuple[int, int]], at: float, zone: str = "") -> None:
        """A call is about to leave for a zone with these messages; on record when this returns."""
        numbers = [(number, attempt) for number, attempt in attempts if number in self.entries]
        for number, attempt in numbers:
            self._out(self.entries[number], attempt, at, zone)
        self.write([records.encode({"t": "out", "n": numbers, "at": at, "in": zone})], at)

    def told(self, numbers: Iterable[int], now: float) -> None:
        """The platform has taken these notices."""
        known = [number for number in numbers if number in self.entries]
        for number in known:
            self._told(self.entries[number])
        self.write([records.encode({"t": "told", "n": known})], now)

    def drop_ended(self, now: float) -> None:
        """Forget messages that are over, once their time is up and their notice was taken."""
        while self._ended and self._ended[0][0] < now:
            self._drop_first()

    def _drop_first(self) -> None:
        """Forget the message whose time is up first; one whose notice is owed comes back when it is told."""
        entry = self.entries.get(heappop(self._ended)[1])
        if entry is not None and not entry.to_tell:
            self._forget(entry)

    def write(self, encoded: list[bytes], now: float) -> None:
        """Append records with one write, unless they run over the end of a segment."""
        left = self._segment_size - self._sizes[self._current]
        batch: list[bytes] = []
        for record in encoded:
            if len(record) > left:
                self._append(b"".join(batch))
                batch.clear()
                self._rotate()
                self._make_room(now)
                left = self._segment_size - self._sizes[self._current]
            batch.append(record)
            left -= len(record)
        self._append(b"".join(batch))

    def close(self) -> None:
        os.close(self._file)

    # ---- segments ----

    @staticmethod
    def _taken(entry: Entry) -> bytes:
        return records.encode({"t": "taken", **{name: getattr(entry, name) for name in NOTED}}, entry.body)

    def _append(self, data: bytes) -> None:
        self._sizes[self._current] += len(data)
        while data:
            data = data[os.write(self._file, data) :]

    def _path(self, segment: int) -> Path:
        return self._folder / f"{segment:010d}.log"

    def _rotate(self) -> None:
        if self._file >= 0:
            os.close(self._file)
        self._current += 1
        self._sizes[self._current] = 0
        self._file = os.open(self._path(self._current), os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
        self._append(records.encode(self.clock.note()))

    def _used(self) -> int:
        return sum(-(-size // UNIT) * UNIT for size in self._sizes.values())

    def _make_room(self, now: float) -> None:
        """Drop what is no longer needed, then free the oldest segments while too few are free."""
        self.drop_ended(now)
        for segment in sorted(self._sizes)[:-1]:
            if self._used() + FREE * self._segment_size <= self._disk:
                break
            for entry in [e for e in self.entries.values() if e.segment == segment]:
                data = self._taken(entry)
                if self._sizes[self._current] + len(data) > self._segment_size:
                    self._rotate()
                entry.segment = self._current
                self._append(data)
            self._path(segment).unlink()
            del self._sizes[segment]

    def _forget(self, entry: Entry) -> None:
        del self.entries[entry.number]
        if self.by_id.get(entry.id) == entry.number:
            del self.by_id[entry.id]
        self._room -= entry.room
