"""Measures the memory and the processor time of the node's endpoint list reader alone.

    python benchmarks/list_reader.py

The reader is part of the node, which the laboratory may not import, so this benchmark is outside of it.
"""

import gc
import json
import sys
import time
import tracemalloc
from collections.abc import Mapping
from pathlib import Path

from irisstack.lab.capacity import result, runner
from irisstack.lab.capacity.measurements.measurement import MeasuredSlope, Measurement
from irisstack.lab.capacity.measurements.node_list import addresses_of, world_of
from irisstack.lab.node_settings import decision_settings
from irisstack.lab.sockets.platform import Platform
from irisstack.lab.sockets.run_context import RunContext
from irisstack.node.list_reader import ListReader

RESULTS = Path(__file__).resolve().parents[1] / "docs" / "measurements" / "capacity"
DESTINATION_COUNTS = (100, 1_000, 10_000, 100_000)


def measure(destinations: int) -> Mapping[str, float]:
    """Read a whole list twice: first to measure memory, then, without tracing, to measure processor time."""
    world = world_of(destinations)
    platform = Platform(RunContext(world), addresses_of(world))
    list_document = json.dumps(platform.known()).encode()
    platform.stop()
    reader = ListReader(decision_settings(world, 0))
    gc.collect()
    tracemalloc.start()
    reader.parse_update(json.loads(list_document))
    gc.collect()
    retained_bytes, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started_at = time.process_time()
    reader.parse_update(json.loads(list_document))
    return {
        "list-reader-memory": retained_bytes,
        "list-reader-peak": peak_bytes,
        "list-reader-processor": time.process_time() - started_at,
    }


MEASUREMENT = Measurement(
    "list-reader",
    "destinations",
    (
        MeasuredSlope("list-reader-memory", "memory that the list's reader keeps", "bytes"),
        MeasuredSlope("list-reader-peak", "most memory while the reader reads a whole list", "bytes"),
        MeasuredSlope("list-reader-processor", "processor time of the reader for a whole list", "seconds"),
    ),
    DESTINATION_COUNTS,
    3,
    measure,
    "tracemalloc for memory; JSON parsing and the reader, without the stream of bytes; one endpoint a "
    "destination",
    "python benchmarks/list_reader.py",
)


def main() -> int:
    """Measure at every size; write the result files and print their paths."""
    for slope in runner.run(MEASUREMENT, _print_progress):
        print(result.save(RESULTS, slope))
    return 0


def _print_progress(size: int, run: int) -> None:
    print(f"size {size:,}, run {run}", file=sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
