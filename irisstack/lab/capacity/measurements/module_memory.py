"""Memory that the decision module allocates: for each destination listed, in use, and each message held."""

import gc
import tracemalloc
from collections.abc import Callable, Mapping
from dataclasses import replace

from irisstack.choice import Sender
from irisstack.lab.capacity.measurements import module_world as world
from irisstack.lab.capacity.measurements.measurement import MeasuredSlope, Measurement

DESTINATIONS = (100, 1_000, 10_000, 100_000)
MESSAGES = (1_000, 10_000, 100_000, 1_000_000)
UNREACHED_DESTINATIONS = 1_000
"""Destinations without an endpoint among which held messages are spread, so that none of them is sent."""
MESSAGES_A_TURN = 1_000
ENDPOINTS_EACH = 4
"""Of a destination, where endpoints are counted."""


def _allocated_by(make: Callable[[], Sender]) -> int:
    """Bytes that are still allocated for what `make` returns."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del made
    return allocated


def _sender_in_use(destinations: int) -> Sender:
    """A sender that has delivered one message to each destination that it knows."""
    sender = world.sender_with_list(destinations)
    for number in range(1, destinations + 1):
        now = number * 0.005
        sender.turn(now, [world.message(number, number, now)])
        sender.turn(now, [world.delivered(number, number)])
    return sender


def _sender_holding(messages: int) -> Sender:
    """A sender that holds so many messages for destinations that no list has named."""
    patient = replace(world.KEYED, deadline=1e6, latency_target=1e5)
    sender = Sender(world.settings(keyed=patient), world.SEED)
    for start in range(0, messages, MESSAGES_A_TURN):
        numbers = range(start, min(start + MESSAGES_A_TURN, messages))
        sender.turn(0.0, [world.message(n, n % UNREACHED_DESTINATIONS, 1e6) for n in numbers])
    return sender


def _measure_destinations(destinations: int) -> Mapping[str, float]:
    return {
        "module-memory": _allocated_by(lambda: world.sender_with_list(destinations)),
        "module-memory-in-use": _allocated_by(lambda: _sender_in_use(destinations)),
    }


def _sender_with_shared_list(endpoints: int) -> Sender:
    sender = Sender(world.settings(), world.SEED)
    sender.turn(0.0, [world.shared_list(endpoints, ENDPOINTS_EACH)])
    return sender


def _measure_endpoints(endpoints: int) -> Mapping[str, float]:
    return {"module-memory-endpoints": _allocated_by(lambda: _sender_with_shared_list(endpoints))}


def _measure_messages(messages: int) -> Mapping[str, float]:
    return {"module-owed-memory": _allocated_by(lambda: _sender_holding(messages))}


MEASUREMENTS = (
    Measurement(
        "module-memory",
        "destinations",
        (
            MeasuredSlope("module-memory", "memory of the decision module, destinations listed", "bytes"),
            MeasuredSlope(
                "module-memory-in-use", "memory of the decision module, each destination in use", "bytes"
            ),
        ),
        DESTINATIONS,
        1,
        _measure_destinations,
        "tracemalloc; one endpoint a destination; the list itself is not counted",
    ),
    Measurement(
        "module-memory-endpoints",
        "endpoints",
        (MeasuredSlope("module-memory-endpoints", "memory of the decision module, endpoints", "bytes"),),
        DESTINATIONS,
        1,
        _measure_endpoints,
        f"tracemalloc; {ENDPOINTS_EACH} endpoints a destination; the list itself is not counted",
    ),
    Measurement(
        "module-owed-memory",
        "messages held",
        (MeasuredSlope("module-owed-memory", "memory of the decision module, messages held", "bytes"),),
        MESSAGES,
        1,
        _measure_messages,
        "tracemalloc; messages for destinations without an endpoint, bodies not counted",
    ),
)
