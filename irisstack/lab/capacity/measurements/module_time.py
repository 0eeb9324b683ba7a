"""Processor time of the decision module: one message, a change of the list, a whole list, trouble."""

import random
import time
from collections.abc import Mapping
from dataclasses import replace

from irisstack import interface as api
from irisstack.choice import Sender
from irisstack.lab.capacity.measurements import module_world as world
from irisstack.lab.capacity.measurements.measurement import MeasuredSlope, Measurement

DESTINATIONS = (100, 1_000, 10_000, 100_000)
SHUT_DESTINATIONS = (10, 100, 1_000, 10_000)
MESSAGES_HELD = (100, 1_000, 10_000, 100_000)
REPETITIONS = 2_000
FEW_REPETITIONS = 100
HEALTHY_DESTINATIONS = 100
FULL_ROOM_DESTINATIONS = 10
TICK_S = 0.005
WAIT_TOLD_S = 1e5
"""What shut destinations tell to wait: they stay shut for the whole measurement."""
PATIENT = replace(world.KEYED, deadline=1e6, latency_target=1e5, dedup_window=1e6)


def _deliver(sender: Sender, first_number: int, destinations: list[int], start: float) -> float:
    """Hand in a message for each of these destinations and end it well; returns processor seconds each."""
    began = time.process_time()
    now = start
    for number, destination in enumerate(destinations, start=first_number):
        now += TICK_S
        sender.turn(now, [world.message(number, destination, now)])
        sender.turn(now, [world.delivered(number, destination)])
    return (time.process_time() - began) / len(destinations)


def _measure_destinations(destinations: int) -> Mapping[str, float]:
    sender = world.sender_with_list(destinations)
    draw = random.Random(world.SEED)
    chosen = [draw.randint(1, destinations) for _ in range(REPETITIONS)]
    _deliver(sender, 1, chosen, 0.0)  # what each destination's first message costs more is not counted
    event = _deliver(sender, REPETITIONS + 1, chosen, 100.0)
    began = time.process_time()
    for step in range(REPETITIONS):
        state = api.EndpointState.DRAINING if step % 2 == 0 else api.EndpointState.READY
        change = (world.endpoint(chosen[step // 2], state),)
        sender.turn(200.0 + step, [api.EndpointsUpdated(api.UpdateScope.DELTA, step + 2, change)])
    delta = (time.process_time() - began) / REPETITIONS
    again = world.whole_list(destinations, REPETITIONS + 2)
    began = time.process_time()
    sender.turn(3_000.0, [again])
    return {
        "module-event": event,
        "module-delta": delta,
        "module-whole-list": time.process_time() - began,
    }


def _shut(sender: Sender, destinations: range) -> None:
    """Have each of these destinations turn a message away with a long wait, so that it stays in line."""
    waiting = [api.MessageReceived(n, 0, n, PATIENT.deadline) for n in destinations]
    actions = sender.turn(0.0, waiting)
    while sends := [action for action in actions if isinstance(action, api.Send)]:
        refusals = [
            api.AttemptEnded(
                send.message, send.endpoint, 0, 0.01, False, api.Outcome.FULL, retry_after=WAIT_TOLD_S
            )
            for send in sends
        ]
        actions = sender.turn(0.0, refusals)


def _measure_shut(shut: int) -> Mapping[str, float]:
    sender = Sender(world.settings(keyed=PATIENT), world.SEED)
    known = HEALTHY_DESTINATIONS + shut
    sender.turn(0.0, [world.whole_list(known)])
    _shut(sender, range(HEALTHY_DESTINATIONS + 1, known + 1))
    healthy = [1 + step % HEALTHY_DESTINATIONS for step in range(FEW_REPETITIONS)]
    return {"module-event-shut": _deliver(sender, known + 1, healthy, 1.0)}


def _measure_full_room(held: int) -> Mapping[str, float]:
    sender = Sender(world.settings(max_held=held + 1, keyed=PATIENT), world.SEED)
    numbers = range(held)
    unreached = [api.MessageReceived(n, 0, n % FULL_ROOM_DESTINATIONS, PATIENT.deadline) for n in numbers]
    sender.turn(0.0, unreached)
    began = time.process_time()
    for number in range(held, held + FEW_REPETITIONS):
        sender.turn(1.0, [api.MessageReceived(number, 0, 0, PATIENT.deadline)])
    return {"module-event-full-room": (time.process_time() - began) / FEW_REPETITIONS}


MEASUREMENTS = (
    Measurement(
        "module-event",
        "destinations",
        (
            MeasuredSlope("module-event", "decision module, one message taken and delivered", "seconds"),
            MeasuredSlope("module-delta", "decision module, one endpoint's change in the list", "seconds"),
            MeasuredSlope(
                "module-whole-list", "decision module, a whole list that changes nothing", "seconds"
            ),
        ),
        DESTINATIONS,
        3,
        _measure_destinations,
        "processor time of Sender.turn; one endpoint a destination",
    ),
    Measurement(
        "module-event-shut",
        "destinations that are shut with a message in line",
        (MeasuredSlope("module-event-shut", "one message while other destinations are shut", "seconds"),),
        SHUT_DESTINATIONS,
        3,
        _measure_shut,
        "processor time of the two turns of a message to a healthy destination; each shut destination told "
        "to wait and has one message in line",
    ),
    Measurement(
        "module-event-full-room",
        "messages held at the limit (settings.allowed.mostHeld)",
        (MeasuredSlope("module-event-full-room", "one message while the holding room is full", "seconds"),),
        MESSAGES_HELD,
        3,
        _measure_full_room,
        "processor time of the turn that takes a message in and refuses another to make room",
    ),
)
