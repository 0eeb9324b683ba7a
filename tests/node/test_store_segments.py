"""The size of the state directory while its segments are freed, with messages that stay pending."""

import os
from errno import EIO
from pathlib import Path

import pytest

from irisstack.node import http, segments
from irisstack.node.segments import SegmentLog
from irisstack.node.store import Entry, Store

DISK_BYTES = 3_000_000
BLOCK_BYTES = 512
FAR_DEADLINE = 1e9
MAX_WRITES = 5
"""Writes after which a message has to be recorded, although some of them fail."""


def make_entry(number: int, due: float, body: bytes) -> Entry:
    return Entry(number, f"m{number}", "key", "safe", 0, 1, due, False, False, body)


def pending_body(number: int, size: int) -> bytes:
    return bytes([number % 256]) * size


class DirectorySize:
    """The most bytes that a state directory held at any time, sampled whenever a segment grows or goes."""

    def __init__(self, directory: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        self.most = 0
        self._directory = directory
        write_all, remove = segments._write_all, SegmentLog.remove

        def sampled_write(descriptor: int, data: bytes) -> None:
            write_all(descriptor, data)
            self._sample()

        def sampled_remove(segment_log: SegmentLog, segment: int) -> None:
            self._sample()
            remove(segment_log, segment)

        monkeypatch.setattr(segments, "_write_all", sampled_write)
        monkeypatch.setattr(SegmentLog, "remove", sampled_remove)

    def _sample(self) -> None:
        sizes = [path.stat().st_size for path in self._directory.iterdir()]
        self.most = max(self.most, sum(-(-size // BLOCK_BYTES) * BLOCK_BYTES for size in sizes))


def accept_pending_messages(store: Store, count: int, body_bytes: int) -> list[int]:
    """Accept messages in one turn, as far as they fit; returns their numbers."""
    accepted = []
    for number in range(1, count + 1):
        entry = make_entry(number, FAR_DEADLINE, pending_body(number, body_bytes))
        if store.fits(entry, 1000.0):
            store.add(entry)
            accepted.append(number)
    assert store.record_accepted(accepted, 1000.0)
    return accepted


def deliver_messages(store: Store, first: int, count: int, now: float) -> float:
    """Accept and deliver messages one after another, so that segments fill up; returns the time after it."""
    for number in range(first, first + count):
        now += 1.0
        store.add(make_entry(number, now + 5.0, bytes(9_000)))
        assert any(store.record_accepted([number], now) for _ in range(MAX_WRITES))
        store.write([store.finish(number, "delivered")], now)
    return now


@pytest.mark.parametrize("body_bytes", [2_000, 20_000, 60_000, http.MAX_BODY])
@pytest.mark.parametrize("restart", [False, True])
def test_messages_accepted_in_one_turn_do_not_overfill_the_disk_when_their_segments_are_freed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, body_bytes: int, restart: bool
) -> None:
    """All counted as stored in the first of their segments, and were rewritten at once as it was freed."""
    directory_size = DirectorySize(tmp_path, monkeypatch)
    store = Store(tmp_path, DISK_BYTES, 1000.0)
    pending = accept_pending_messages(store, 1000, body_bytes)
    assert len(pending) * body_bytes > DISK_BYTES / 3
    if restart:
        store.close()
        store = Store(tmp_path, DISK_BYTES, 1000.0)
    now = deliver_messages(store, 2000, 600, 1000.0)
    assert directory_size.most <= DISK_BYTES
    reopened = Store(tmp_path, DISK_BYTES, now).entries
    assert [number for number, entry in reopened.items() if entry.pending] == pending
    assert all(reopened[number].body == pending_body(number, body_bytes) for number in pending)


def test_freeing_that_failed_is_taken_up_again_by_the_next_write(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Segments that could not be freed stayed until the next one was full, and the directory grew."""
    directory_size = DirectorySize(tmp_path, monkeypatch)
    store = Store(tmp_path, DISK_BYTES, 1000.0)
    pending = accept_pending_messages(store, 15, 60_000)
    write_all = segments._write_all
    failed_segments: set[int] = set()

    def fail_first_write_after_header(descriptor: int, data: bytes) -> None:
        status = os.fstat(descriptor)
        if status.st_size == len(store._log.header) and store._log.newest not in failed_segments:
            failed_segments.add(store._log.newest)
            raise OSError(EIO, "injected")
        write_all(descriptor, data)

    monkeypatch.setattr(segments, "_write_all", fail_first_write_after_header)
    monkeypatch.setattr(Store, "may_write", True)
    now = deliver_messages(store, 2000, 600, 1000.0)
    assert len(failed_segments) > 10
    assert directory_size.most <= DISK_BYTES
    reopened = Store(tmp_path, DISK_BYTES, now).entries
    assert [number for number, entry in reopened.items() if entry.pending] == pending


def test_messages_beyond_the_memory_limit_do_not_fit_until_others_have_finished(tmp_path: Path) -> None:
    store = Store(tmp_path, 100 * DISK_BYTES, 1000.0)
    store.limit_memory(500_000)
    entries = [make_entry(number, FAR_DEADLINE, bytes(9_000)) for number in range(1, 100)]
    added = []
    for entry in entries:
        if not store.fits(entry, 1000.0):
            break
        store.add(entry)
        added.append(entry.number)
    assert 30 <= len(added) <= 35
    assert store.record_accepted(added, 1000.0)
    store.write([store.finish(number, "delivered") for number in added[:10]], 1000.0)
    assert store.fits(entries[50], 1000.0)
    store.close()
