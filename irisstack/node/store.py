"""The lasting folder: a log of what the node owes, in segments, that outlives its processes.

Each segment begins with the anchor of the clock that the times in the folder are on. The oldest segment makes
room by having what is still needed of it written anew; a torn record ends the reading of its segment.

The folder may fail for a while. What has happened to messages that are owed is then kept in memory and
written first once it can be; what needs its record beforehand (a new message, a call that leaves) is told
that it has none.
"""

import time
from collections.abc import Collection, Iterable
from dataclasses import dataclass, fields
from heapq import heappop, heappush
from pathlib import Path

import structlog

from irisstack.node import record_clock, records
from irisstack.node.segments import SegmentLog

SEGMENTS = 12
"""The folder's room is shared out among so many segments."""
FREE = 3
"""Segments that are free again once room has been made: one to fill, one to write anew, one in hand."""
SPARE = 5
"""Segments that owed messages may not fill, so that the free ones can always be had."""
NOTE_ROOM = 512
"""Room counted for a message's notes beside its body."""
FIRST_RETRY, LONGEST_RETRY = 0.05, 0.4
"""Seconds from a write that failed to the next one; they double with each failure."""

log = structlog.get_logger()


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
    def pending(self) -> bool:
        return not self.result

    @property
    def notice_pending(self) -> bool:
        """Whether a notice is owed."""
        return self.result in ("dead", "bounced") and not self.told

    @property
    def reserved_bytes(self) -> int:
        return len(self.body) + len(self.id) + len(self.key) + NOTE_ROOM


STORED_FIELDS = tuple(field.name for field in fields(Entry) if field.name not in ("body", "segment"))


class Store:
    """Keeps the folder and, beside it, the entries in memory."""

    def __init__(self, directory: Path, disk_bytes: int, now: float | None = None) -> None:
        """`now` is the time on the clock of the records; by default what that clock says."""
        self._disk = disk_bytes
        self._segment_size = disk_bytes // SEGMENTS
        self._log = SegmentLog(directory)
        self._unwritten: list[bytes] = []  # records of what has happened, oldest first
        self._failed_since: float | None = None  # since when the folder cannot be written
        self._retry_at = 0.0
        self._retry_pause = FIRST_RETRY
        self._room = 0
        self._ended: list[tuple[float, int]] = []
        self.entries: dict[int, Entry] = {}
        self.by_id: dict[str, int] = {}
        self.next_number = 1
        self._anchor: record_clock.Anchor | None = None
        for segment, note, body in self._log.read():
            self._replay(note, body, segment)
        self.clock = record_clock.resume_clock(self._anchor)
        self._log.header = records.encode(self.clock.anchor_record())
        if now is None:
            now = self.clock.now()
        # The process ended with these calls out: they may have run. That goes on record before anything else:
        # a later attempt, in this life or the next, must not stand for the first.
        out = [entry for entry in self.entries.values() if entry.out_at is not None]
        ends = [self.end_attempt(entry.number, entry.attempts - 1, ran=True) for entry in out]
        self._begin(now)
        self.write(ends, now)

    def _begin(self, now: float) -> None:
        """This life's first segment."""
        try:
            self._log.open_next()
            self._make_room(now)
        except OSError as error:
            self._failed(error)

    # ---- reading ----

    def _replay(self, note: records.Fields, body: bytes, segment: int) -> None:
        match note.pop("t"):
            case "clock":
                self._anchor = record_clock.Anchor(**note)
            case "taken":
                entry = Entry(**note, body=body, segment=segment)
                known = self.entries.get(entry.number)
                if known is not None:
                    self._room -= known.reserved_bytes
                self.entries[entry.number] = entry
                self.by_id[entry.id] = entry.number
                self._room += entry.reserved_bytes
                self.next_number = max(self.next_number, entry.number + 1)
                if not entry.pending:
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
        self._room -= entry.reserved_bytes
        entry.result, entry.wait_ms, entry.body = result, wait_ms, b""
        self._room += entry.reserved_bytes
        heappush(self._ended, (entry.due, entry.number))

    def _told(self, entry: Entry) -> None:
        entry.told = True
        heappush(self._ended, (entry.due, entry.number))  # the first time, its notice was still owed

    # ---- what others note ----

    def fits(self, entry: Entry, now: float) -> bool:
        """Whether one more message finds room beside all that is owed.

        Those that are over are kept, so as to know them again, as long as nobody needs their room.
        """
        most = self._disk - SPARE * self._segment_size - entry.reserved_bytes
        if self._room > most:
            self.drop_expired(now)
        while self._room > most and self._ended:
            self._drop_first()
        return self._room <= most

    def add(self, entry: Entry) -> None:
        """A message comes in; it is on record once what `taken` returns is written."""
        self.entries[entry.number] = entry
        self.by_id[entry.id] = entry.number
        self._room += entry.reserved_bytes

    def accepted_record(self, number: int) -> bytes:
        """The record of a message that was taken on, as it stands now."""
        entry = self.entries[number]
        entry.segment = self._log.newest
        return self._taken(entry)

    def discard(self, number: int) -> None:
        """A message that was not taken on after all leaves no trace."""
        self._forget(self.entries[number])

    def end_attempt(self, number: int, attempt: int, ran: bool) -> bytes:
        """An attempt has ended; returns the record to write."""
        self._end(self.entries[number], attempt, ran)
        return records.encode({"t": "end", "n": number, "a": attempt, "ran": ran})

    def finish(self, number: int, result: str, wait_ms: int = 0) -> bytes:
        """A message is over; returns the record to write."""
        self._over(self.entries[number], result, wait_ms)
        return records.encode({"t": "over", "n": number, "result": result, "wait_ms": wait_ms})

    def record_send(self, attempts: Iterable[tuple[int, int]], at: float, zone: str = "") -> bool:
        """A call is about to leave for a zone with these messages; returns whether that is on record."""
        numbers = [(number, attempt) for number, attempt in attempts if number in self.entries]
        if not self._append_all([records.encode({"t": "out", "n": numbers, "at": at, "in": zone})], at):
            return False
        for number, attempt in numbers:
            self._out(self.entries[number], attempt, at, zone)
        return True

    def record_accepted(self, numbers: Collection[int], now: float) -> bool:
        """Put messages that came in on record; returns whether they are, else they must be refused.

        A failed write may have left the record of one that is refused: the next one takes it back.
        """
        if not self.may_write:
            return False
        if self._append_all([self.accepted_record(number) for number in numbers], now):
            return True
        withdrawn = {"t": "over", "result": "withdrawn", "wait_ms": 0}
        self._unwritten += [records.encode({**withdrawn, "n": number}) for number in numbers]
        return False

    def mark_notified(self, numbers: Iterable[int], now: float) -> None:
        """The platform has taken these notices."""
        known = [number for number in numbers if number in self.entries]
        for number in known:
            self._told(self.entries[number])
        self.write([records.encode({"t": "told", "n": known})], now)

    def drop_expired(self, now: float) -> None:
        """Forget messages that are over, once their time is up and their notice was taken."""
        while self._ended and self._ended[0][0] < now:
            self._drop_first()

    def _drop_first(self) -> None:
        """Forget the message whose time is up first; one whose notice is owed comes back when it is told."""
        entry = self.entries.get(heappop(self._ended)[1])
        if entry is not None and not entry.notice_pending:
            self._forget(entry)

    def write(self, encoded: list[bytes], now: float) -> bool:
        """Append records of what has happened; returns whether they are written, else they will be."""
        self.enqueue(encoded)
        return self._append_all([], now)

    def enqueue(self, encoded: list[bytes]) -> None:
        """Records of what has happened, to be written before the next that need not wait."""
        self._unwritten += encoded

    def flush(self, now: float) -> bool:
        """Write what could not be written before; returns whether nothing is left of it."""
        return self._append_all([], now)

    @property
    def failing(self) -> bool:
        """Whether the last write to the folder failed."""
        return self._failed_since is not None

    @property
    def may_write(self) -> bool:
        """Whether a write is worth a try: the folder does not fail, or some time has passed since it did."""
        return not self.failing or time.monotonic() >= self._retry_at

    def close(self) -> None:
        self._log.close()

    # ---- segments ----

    @staticmethod
    def _taken(entry: Entry) -> bytes:
        return records.encode(
            {"t": "taken", **{name: getattr(entry, name) for name in STORED_FIELDS}}, entry.body
        )

    def _append_all(self, encoded: list[bytes], now: float) -> bool:
        """Append what is left unwritten and then these; returns whether all of it is written.

        After a failure a part may be written once more. That does no harm: no call leaves in between.
        """
        if not self.may_write:
            return False
        pending = [*self._unwritten, *encoded]
        try:
            # With nothing to write, one that is known already shows whether the folder can be written again.
            self._append_some(pending or ([self._log.header] if self.failing else []), now)
        except OSError as error:
            self._failed(error)
            return False
        self._unwritten = []
        self._recovered()
        return True

    def _append_some(self, encoded: list[bytes], now: float) -> None:
        """Append records with one write for each segment that they fall into."""
        batch: list[bytes] = []
        left = self._segment_size - self._log.newest_size
        for record in encoded:
            if len(record) > left:
                self._log.append(b"".join(batch))
                batch.clear()
                self._log.open_next()
                self._make_room(now)
                left = self._segment_size - self._log.newest_size
            batch.append(record)
            left -= len(record)
        self._log.append(b"".join(batch))

    def _failed(self, error: OSError) -> None:
        now = time.monotonic()
        if self._failed_since is None:
            self._failed_since, self._retry_pause = now, FIRST_RETRY
            log.error("folder_not_written", error=str(error), unwritten=len(self._unwritten))
        self._retry_at = now + self._retry_pause
        self._retry_pause = min(2.0 * self._retry_pause, LONGEST_RETRY)

    def _recovered(self) -> None:
        if self._failed_since is not None:
            log.info("folder_written_again", after_s=round(time.monotonic() - self._failed_since, 3))
            self._failed_since = None

    def _make_room(self, now: float) -> None:
        """Drop what is no longer needed, then free the oldest segments while too few are free."""
        self.drop_expired(now)
        for segment in self._log.older_segments:
            if self._log.used_bytes + FREE * self._segment_size <= self._disk:
                break
            for entry in [e for e in self.entries.values() if e.segment == segment]:
                data = self._taken(entry)
                if self._log.newest_size + len(data) > self._segment_size:
                    self._log.open_next()
                self._log.append(data)
                entry.segment = self._log.newest
            self._log.remove(segment)

    def _forget(self, entry: Entry) -> None:
        del self.entries[entry.number]
        if self.by_id.get(entry.id) == entry.number:
            del self.by_id[entry.id]
        self._room -= entry.reserved_bytes
