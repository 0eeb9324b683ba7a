"""The state directory: a write-ahead log of pending messages, in segments, that survives restarts.

Each segment begins with the anchor of the clock that the recorded times are based on. The oldest segment is
freed by writing its live entries again to the newest one. A torn record ends the reading of its segment.

Writes may fail for a while. Records of events that have already happened are then kept in memory and written
first once writes succeed again. Where the record must come first (a new message, a call to be sent), the
caller learns that it was not written.
"""

import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, fields
from heapq import heappop, heappush
from pathlib import Path

from irisstack.node import record_clock, records
from irisstack.node.segments import SegmentLog
from irisstack.node.write_backoff import WriteBackoff

SEGMENT_COUNT = 12
"""The disk limit is divided into this many segments."""
FREE_SEGMENTS = 3
"""Segments kept free: one to be filled, one for rewritten entries and one spare."""
RESERVED_SEGMENTS = 5
"""Segments that pending messages may not fill, so that `FREE_SEGMENTS` can always be freed."""
ID_RETENTION_S = 60.0
"""Seconds after its deadline for which a message that may have run is known by its id, if there is room."""
RECORD_OVERHEAD_BYTES = 512
"""Bytes of disk counted for the records of a message, in addition to its body, id and key."""
PENDING_MEMORY_BYTES, FINISHED_MEMORY_BYTES = 6_000, 1_000
"""Memory counted for a message in addition to its body; a pending one has state in the decisions as well."""


@dataclass(slots=True)
class Entry:
    """An accepted message as stored. Times are on the record clock, see `record_clock`."""

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
    ran_at: float | None = None  # send time of the first attempt that may have run
    ran_in: str = ""  # zone that this attempt was sent to
    out_at: float | None = None  # send time of the attempt in flight
    out_in: str = ""  # zone that this attempt was sent to
    result: str = ""  # final result: delivered, withdrawn, bounced or dead; empty while pending
    wait_ms: int = 0  # retry-after of a bounced message
    told: bool = False  # the platform has acknowledged the notice
    segment: int = 0  # the segment that holds the entry's `taken` record; 0 until it is written

    @property
    def pending(self) -> bool:
        return not self.result

    @property
    def notice_pending(self) -> bool:
        """Whether the platform has yet to acknowledge the notice of the result."""
        return self.result in ("dead", "bounced") and not self.told

    @property
    def forgotten_at(self) -> float:
        """Until when a finished message is kept, so that it is not accepted again under its id."""
        may_have_run = self.ran_at is not None or self.result == "delivered"
        return self.due + ID_RETENTION_S if may_have_run else self.due

    @property
    def reserved_bytes(self) -> int:
        """Bytes that count against the disk limit."""
        return len(self.body) + len(self.id) + len(self.key) + RECORD_OVERHEAD_BYTES

    @property
    def memory_bytes(self) -> int:
        """Bytes that count against the memory limit."""
        return len(self.body) + (PENDING_MEMORY_BYTES if self.pending else FINISHED_MEMORY_BYTES)


@dataclass(slots=True, frozen=True)
class Record:
    """An encoded record that is to be appended to the log."""

    data: bytes
    taken: Entry | None = None
    """The message that the record stores in full; None for a record of a change."""


STORED_FIELDS = tuple(field.name for field in fields(Entry) if field.name not in ("body", "segment"))


class Store:
    """Keeps entries in memory and their records in the state directory."""

    def __init__(self, directory: Path, disk_bytes: int, now: float | None = None) -> None:
        """`now` is the time on the record clock; by default its current time."""
        self._disk_bytes = disk_bytes
        self._max_memory_bytes = math.inf
        self._segment_size = disk_bytes // SEGMENT_COUNT
        self._log = SegmentLog(directory)
        self._unwritten: list[Record] = []  # records that could not be written yet, oldest first
        self._backoff = WriteBackoff()
        self._freed_at = 0  # the newest segment when segments were last freed
        self._reserved_bytes = self._memory_bytes = 0
        self._finished: list[tuple[float, int]] = []  # heap of `forgotten_at` and number of finished messages
        self.entries: dict[int, Entry] = {}
        self.by_id: dict[str, int] = {}
        self.next_number = 1
        self._anchor: record_clock.Anchor | None = None
        for segment, record, body in self._log.read():
            self._replay(record, body, segment)
        self.clock = record_clock.resume_clock(self._anchor)
        self._log.header = records.encode(self.clock.anchor_record())
        if now is None:
            now = self.clock.now()
        # The previous process ended with these attempts in flight, so they may have run. This is recorded
        # before anything else: no later attempt, by any process, may count as the first that ran.
        in_flight = [entry for entry in self.entries.values() if entry.out_at is not None]
        end_records = [self.end_attempt(entry.number, entry.attempts - 1, ran=True) for entry in in_flight]
        self._open_first_segment(now)
        self.write(end_records, now)

    def _open_first_segment(self, now: float) -> None:
        """Open the first segment of this process."""
        try:
            self._log.open_next()
            self._free_segments(now)
        except OSError as error:
            self._backoff.failed(error, len(self._unwritten))

    # ---- reading the log ----

    def _replay(self, record: records.Fields, body: bytes, segment: int) -> None:
        match record.pop("t"):
            case "clock":
                self._anchor = record_clock.Anchor(**record)
            case "taken":
                entry = Entry(**record, body=body, segment=segment)
                previous = self.entries.get(entry.number)
                if previous is not None:
                    self._release(previous)
                self.entries[entry.number] = entry
                self.by_id[entry.id] = entry.number
                self._reserve(entry)
                self.next_number = max(self.next_number, entry.number + 1)
                if not entry.pending:
                    heappush(self._finished, (entry.forgotten_at, entry.number))
            case "out":
                for number, attempt in record["n"]:
                    if sent := self.entries.get(number):
                        self._apply_send(sent, attempt, record["at"], record.get("in", ""))
            case "end":
                if ended := self.entries.get(record["n"]):
                    self._apply_attempt_end(ended, record["a"], record["ran"])
            case "over":
                if finished := self.entries.get(record["n"]):
                    self._apply_finish(finished, record["result"], record["wait_ms"])
            case "told":
                for number in record["n"]:
                    if notified := self.entries.get(number):
                        self._apply_notified(notified)

    # ---- changes of an entry, made when they happen and again when the log is read ----

    @staticmethod
    def _apply_send(entry: Entry, attempt: int, sent_at: float, zone: str) -> None:
        entry.out_at, entry.out_in, entry.attempts = sent_at, zone, attempt + 1

    @staticmethod
    def _apply_attempt_end(entry: Entry, attempt: int, ran: bool) -> None:
        entry.attempts = max(entry.attempts, attempt + 1)
        if ran and entry.ran_at is None:
            entry.ran_at, entry.ran_in = entry.out_at, entry.out_in
        entry.out_at, entry.out_in = None, ""

    def _apply_finish(self, entry: Entry, result: str, wait_ms: int) -> None:
        self._release(entry)
        entry.result, entry.wait_ms, entry.body = result, wait_ms, b""
        self._reserve(entry)
        heappush(self._finished, (entry.forgotten_at, entry.number))

    def _apply_notified(self, entry: Entry) -> None:
        entry.told = True
        # `_drop_earliest` may have taken it off the heap while the notice was pending.
        heappush(self._finished, (entry.forgotten_at, entry.number))

    # ---- recording ----

    def fits(self, entry: Entry, now: float) -> bool:
        """Whether there is room for one more message besides all pending ones.

        Finished messages are kept, to recognise repeated submissions, until their room is needed.
        """
        if not self._has_room(entry):
            self.drop_expired(now)
        while not self._has_room(entry) and self._finished:
            self._drop_earliest()
        return self._has_room(entry)

    def limit_memory(self, further_bytes: int) -> None:
        """Let messages take up so much memory beyond that of the recovered ones; more do not fit."""
        self._max_memory_bytes = self._memory_bytes + further_bytes

    def _has_room(self, entry: Entry) -> bool:
        """Whether one more message stays within the limits of disk and memory."""
        disk_limit = self._disk_bytes - RESERVED_SEGMENTS * self._segment_size
        return (
            self._reserved_bytes + entry.reserved_bytes <= disk_limit
            and self._memory_bytes + entry.memory_bytes <= self._max_memory_bytes
        )

    def _reserve(self, entry: Entry) -> None:
        """Count an entry in its present state."""
        self._reserved_bytes += entry.reserved_bytes
        self._memory_bytes += entry.memory_bytes

    def _release(self, entry: Entry) -> None:
        """Stop counting an entry, before its state changes or it is removed."""
        self._reserved_bytes -= entry.reserved_bytes
        self._memory_bytes -= entry.memory_bytes

    def add(self, entry: Entry) -> None:
        """Add a new message; it is recorded once the result of `accepted_record` is written."""
        self.entries[entry.number] = entry
        self.by_id[entry.id] = entry.number
        self._reserve(entry)

    def accepted_record(self, number: int) -> Record:
        """The `taken` record of an accepted message in its current state."""
        entry = self.entries[number]
        return Record(self._encode_entry(entry), taken=entry)

    def discard(self, number: int) -> None:
        """Remove a message that was not accepted after all."""
        self._remove(self.entries[number])

    def end_attempt(self, number: int, attempt: int, ran: bool) -> Record:
        """Apply the end of an attempt; returns the record to write."""
        self._apply_attempt_end(self.entries[number], attempt, ran)
        return Record(records.encode({"t": "end", "n": number, "a": attempt, "ran": ran}))

    def finish(self, number: int, result: str, wait_ms: int = 0) -> Record:
        """Apply the final result of a message; returns the record to write."""
        self._apply_finish(self.entries[number], result, wait_ms)
        return Record(records.encode({"t": "over", "n": number, "result": result, "wait_ms": wait_ms}))

    def record_send(self, attempts: Iterable[tuple[int, int]], sent_at: float, zone: str = "") -> bool:
        """Record that a call with these messages is about to be sent; returns whether this was written."""
        known = [(number, attempt) for number, attempt in attempts if number in self.entries]
        record = Record(records.encode({"t": "out", "n": known, "at": sent_at, "in": zone}))
        if not self._append_all([record], sent_at):
            return False
        for number, attempt in known:
            self._apply_send(self.entries[number], attempt, sent_at, zone)
        return True

    def record_accepted(self, numbers: Collection[int], now: float) -> bool:
        """Record new messages; returns whether they were written. If not, they must be rejected.

        A failed write may have left records of rejected messages, so the next write withdraws them.
        """
        if not self.may_write:
            return False
        if self._append_all([self.accepted_record(number) for number in numbers], now):
            return True
        withdrawn = {"t": "over", "result": "withdrawn", "wait_ms": 0}
        self._unwritten += [Record(records.encode({**withdrawn, "n": number})) for number in numbers]
        return False

    def mark_notified(self, numbers: Iterable[int], now: float) -> None:
        """Record that the platform has acknowledged these notices."""
        known = [number for number in numbers if number in self.entries]
        for number in known:
            self._apply_notified(self.entries[number])
        self.write([Record(records.encode({"t": "told", "n": known}))], now)

    def drop_expired(self, now: float) -> None:
        """Remove finished messages that need not be recognized any more and whose notice is acknowledged."""
        while self._finished and self._finished[0][0] < now:
            self._drop_earliest()

    def _drop_earliest(self) -> None:
        """Remove the finished message that is to be forgotten first.

        One whose notice is pending stays; it returns to the heap when the notice is acknowledged.
        """
        entry = self.entries.get(heappop(self._finished)[1])
        if entry is not None and not entry.notice_pending:
            self._remove(entry)

    def write(self, new_records: list[Record], now: float) -> bool:
        """Append records of past events; returns whether they are written. A later write retries the rest."""
        self.enqueue(new_records)
        return self._append_all([], now)

    def enqueue(self, new_records: list[Record]) -> None:
        """Queue records of past events, to be written before any later record."""
        self._unwritten += new_records

    def flush(self, now: float) -> bool:
        """Write all queued records; returns whether none is left."""
        return self._append_all([], now)

    @property
    def failing(self) -> bool:
        """Whether the last write to the state directory failed."""
        return self._backoff.failing

    @property
    def may_write(self) -> bool:
        """Whether a write may be attempted: the last one succeeded, or the retry pause has passed."""
        return self._backoff.may_write

    def close(self) -> None:
        self._log.close()

    # ---- segments ----

    @staticmethod
    def _encode_entry(entry: Entry) -> bytes:
        return records.encode(
            {"t": "taken", **{name: getattr(entry, name) for name in STORED_FIELDS}}, entry.body
        )

    def _append_all(self, new_records: list[Record], now: float) -> bool:
        """Append the queued records and then these; returns whether all of them are written.

        After a failure some records may be written twice. This is harmless, since no call is sent in between.
        """
        if not self.may_write:
            return False
        to_write = [*self._unwritten, *new_records]
        if not to_write and self.failing:
            to_write = [Record(self._log.header)]  # a repeated header shows whether writes succeed again
        try:
            self._append_in_segments(to_write, now)
        except OSError as error:
            self._backoff.failed(error, len(self._unwritten))
            return False
        self._unwritten = []
        self._backoff.succeeded()
        return True

    def _append_in_segments(self, to_write: list[Record], now: float) -> None:
        """Append records, with one write per segment."""
        if self._log.newest != self._freed_at:  # it failed when this segment was opened
            self._free_segments(now)

        def open_next() -> None:
            self._log.open_next()
            self._free_segments(now)

        self._append_batches(to_write, open_next)

    def _append_batches(self, to_write: Iterable[Record], open_next: Callable[[], None]) -> None:
        """Append records, with one write per segment; `open_next` opens the next one when one is full."""
        batch: list[Record] = []
        free_bytes = self._segment_size - self._log.newest_size
        for record in to_write:
            if len(record.data) > free_bytes:
                self._append_to_newest(batch)
                batch = []
                open_next()
                free_bytes = self._segment_size - self._log.newest_size
            batch.append(record)
            free_bytes -= len(record.data)
        self._append_to_newest(batch)

    def _append_to_newest(self, batch: list[Record]) -> None:
        """Append records with one write, and note which segment holds the messages among them."""
        self._log.append(b"".join(record.data for record in batch))
        for record in batch:
            if record.taken is not None:
                record.taken.segment = self._log.newest

    def _free_segments(self, now: float) -> None:
        """Remove expired entries, then free the oldest segments until `FREE_SEGMENTS` are free."""
        self.drop_expired(now)
        for segment in self._log.older_segments:
            if self._log.used_bytes + FREE_SEGMENTS * self._segment_size <= self._disk_bytes:
                break
            live = [entry.number for entry in self.entries.values() if entry.segment == segment]
            self._append_batches([self.accepted_record(number) for number in live], self._log.open_next)
            self._log.remove(segment)
        self._freed_at = self._log.newest

    def _remove(self, entry: Entry) -> None:
        del self.entries[entry.number]
        if self.by_id.get(entry.id) == entry.number:
            del self.by_id[entry.id]
        self._release(entry)
