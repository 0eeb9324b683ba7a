"""Measures what pending messages cost a real node: memory, disk space, and the time until it serves again.

    python benchmarks/owed_messages.py [MEASUREMENT...]

For each number of pending messages, a separate process writes a state directory, and a real node starts on
it, as after a kill. A second measurement takes the processor time of the longest write while segments are
freed. Both use the node's own storage format, so this benchmark is outside of the laboratory, which may only
start a node and use its sockets.
"""

import sys
import tempfile
import time
from collections.abc import Mapping
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import Any

from irisstack.lab.capacity import result, runner
from irisstack.lab.capacity.measurements.measured_node import (
    PEAK_RESIDENT,
    RESIDENT,
    MeasuredNode,
    MeasuredNodeError,
)
from irisstack.lab.capacity.measurements.measurement import MeasuredSlope, Measurement
from irisstack.lab.capacity.measurements.node_list import node_settings, world_of
from irisstack.node.store import Entry, Record, Store

RESULTS = Path(__file__).resolve().parents[1] / "docs" / "measurements" / "capacity"
MESSAGE_COUNTS = (1_000, 10_000, 100_000, 1_000_000)
MESSAGE_CLASS = "warning-notice"
DESTINATION_COUNT = 1_000
BODY = b"x" * 200
LATENCY_TARGET_S, DEADLINE_S = 1e5, 1e6
"""Longer than any run, so that no message expires."""
MAX_PENDING_MESSAGES = 100_000_000
"""More than any run writes, so that the node rejects none."""
DISK_BYTES_PER_MESSAGE = 2_000
"""Bytes of the disk limit for each message; the store reserves five twelfths of the limit."""
MIN_DISK_BYTES = 16_000_000
COMPACTION_DISK_BYTES_PER_MESSAGE = 1_000
"""Bytes of the disk limit for each message for the compaction run; a record takes about half of them."""
RECORDS_PER_WRITE = 1_000
FINISHED_MESSAGES_PER_WRITE = 10
"""Messages that are accepted and delivered within one write when measuring compaction."""
WRITTEN_SHARE = 0.8
"""Share of the disk limit to write besides the pending messages, so that several segments are freed."""
UNREACHABLE_ADDRESS = "127.0.0.1:9"
"""Discovery address where nothing listens."""


def disk_bytes(messages: int) -> int:
    """The disk limit, in bytes, that a state directory with this many pending messages needs."""
    return max(MIN_DISK_BYTES, messages * DISK_BYTES_PER_MESSAGE)


def write_pending_messages(directory: Path, messages: int) -> None:
    """Write this many pending messages to a state directory, as a node does when it accepts them."""
    store = Store(directory, disk_bytes(messages))
    now = store.clock.now()
    _accept_all(store, messages, now)
    store.close()


def _accept_all(store: Store, messages: int, now: float) -> None:
    for start in range(1, messages + 1, RECORDS_PER_WRITE):
        message_numbers = range(start, min(start + RECORDS_PER_WRITE, messages + 1))
        for number in message_numbers:
            store.add(_new_entry(number, now + DEADLINE_S))
        store.write([store.accepted_record(number) for number in message_numbers], now)


def _new_entry(number: int, due: float) -> Entry:
    return Entry(
        number=number,
        id=f"{number:020x}",
        key=f"{number:032x}",
        message_class=MESSAGE_CLASS,
        tenant=0,
        destination=1 + number % DESTINATION_COUNT,
        due=due,
        is_retry=False,
        from_dead_sender=False,
        body=BODY,
    )


def settings() -> dict[str, Any]:
    """Settings under which no message expires and none is rejected because too many are pending."""
    settings_document = node_settings(world_of(1))
    settings_document["allowed"]["mostHeld"] = MAX_PENDING_MESSAGES
    for class_settings in settings_document["lanes"]:
        class_settings.update(slo=LATENCY_TARGET_S, hardLimit=DEADLINE_S)
    return settings_document


def measure(messages: int) -> Mapping[str, float]:
    """Start a node with this many pending messages; it has no endpoint list, so it sends none of them."""
    with (
        tempfile.TemporaryDirectory(prefix="irisstack-owed-") as directory,
        MeasuredNode(
            Path(directory), UNREACHABLE_ADDRESS, {}, settings(), disk_bytes(messages) / 1e6
        ) as node,
    ):
        with ProcessPoolExecutor(max_workers=1, mp_context=get_context("spawn")) as pool:
            pool.submit(write_pending_messages, node.state, messages).result()
        used_disk_bytes = sum(path.stat().st_size for path in node.state.iterdir())
        ready_s = node.start()
        started_at = time.monotonic()
        if (status := node.ask("POST", f"/{MESSAGE_CLASS}", _request_headers())) != 202:
            raise MeasuredNodeError(f"expected status 202 for the first message, got {status}")
        answered_s = ready_s + time.monotonic() - started_at
        return {
            "owed-ready": answered_s,
            "owed-memory": node.memory_bytes(RESIDENT),
            "owed-peak": node.memory_bytes(PEAK_RESIDENT),
            "owed-disk": used_disk_bytes,
        }


def _request_headers() -> Mapping[str, str]:
    return {
        "X-Request-ID": "probe",
        "X-Timeout": f"{DEADLINE_S - 1.0:.0f}",
        "X-Consignee": "dest=1",
        "Idempotency-Key": "probe",
    }


def measure_compaction(messages: int) -> Mapping[str, float]:
    """Measure the longest write to a state directory that is nearly full, in processor time.

    It is full enough that each new segment frees the oldest one. Pending messages stay, while others, already
    past their deadline, are accepted and delivered at once, then dropped as expired.
    """
    with tempfile.TemporaryDirectory(prefix="irisstack-owed-") as directory:
        disk_limit = messages * COMPACTION_DISK_BYTES_PER_MESSAGE
        store = Store(Path(directory), disk_limit)
        now = store.clock.now()
        _accept_all(store, messages, now)
        number, written_bytes, longest_s = messages + 1, 0, 0.0
        while written_bytes < WRITTEN_SHARE * disk_limit:
            records = _accept_and_deliver(store, range(number, number + FINISHED_MESSAGES_PER_WRITE), now)
            started_at = time.process_time()
            store.write(records, now)
            longest_s = max(longest_s, time.process_time() - started_at)
            store.drop_expired(now)
            number += FINISHED_MESSAGES_PER_WRITE
            written_bytes += sum(len(record.data) for record in records)
        store.close()
    return {"owed-compaction": longest_s}


def _accept_and_deliver(store: Store, message_numbers: range, now: float) -> list[Record]:
    """Add messages and finish them as delivered; returns the records to write, two a message."""
    for number in message_numbers:
        store.add(_new_entry(number, now - 1.0))
    return [
        record
        for number in message_numbers
        for record in (store.accepted_record(number), store.finish(number, "delivered"))
    ]


COMPACTION = Measurement(
    "owed-compaction",
    "messages owed",
    (MeasuredSlope("owed-compaction", "standstill of a node while it frees a segment", "seconds"),),
    MESSAGE_COUNTS,
    1,
    measure_compaction,
    f"processor time of the longest write of the lasting folder; bodies of {len(BODY)} bytes, half of the "
    "folder's limit owed",
    "python benchmarks/owed_messages.py",
)
MEASUREMENT = Measurement(
    "owed-messages",
    "messages owed",
    (
        MeasuredSlope("owed-ready", "from a start until the first message is answered", "seconds"),
        MeasuredSlope("owed-memory", "memory of a node that owes messages", "bytes"),
        MeasuredSlope("owed-peak", "most memory of a node that starts with messages owed", "bytes"),
        MeasuredSlope("owed-disk", "lasting folder with messages owed", "bytes"),
    ),
    MESSAGE_COUNTS,
    3,
    measure,
    f"a real process; bodies of {len(BODY)} bytes; messages taken on and not yet sent; no list",
    "python benchmarks/owed_messages.py",
)


MEASUREMENTS = (MEASUREMENT, COMPACTION)


MEASUREMENTS = (MEASUREMENT, COMPACTION)


def main() -> int:
    """Run the measurements named as arguments, or all; write the result files and print their paths."""
    selected_names = sys.argv[1:] or [measurement.name for measurement in MEASUREMENTS]
    for measurement in MEASUREMENTS:
        if measurement.name in selected_names:
            for slope in runner.run(measurement, _print_progress):
                print(result.save(RESULTS, slope))
    return 0


def _print_progress(size: int, run: int) -> None:
    print(f"size {size:,}, run {run}", file=sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
