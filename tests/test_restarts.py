"""After a restart: untried messages are sent, repeats keep to the dedup window, the node gets ready alone."""

from dataclasses import replace
from pathlib import Path

import pytest

from irisstack import interface as api
from irisstack.interface import Outcome
from tests.node_support import Node, ScriptedEndpoint, ScriptedPlatform, eventually
from tests.support import CLASSES, KEYED_INDEX, Driver, endpoint


@pytest.mark.parametrize("senders", [2, 30, 200])
@pytest.mark.parametrize(
    "refusals", [0, 1, 2], ids=["all accepted", "one refused first", "two refused first"]
)
def test_untried_messages_of_the_previous_process_are_sent(senders: int, refusals: int) -> None:
    """Half of their time is left, the new process knows no destination, and its first calls are refused."""
    driver = Driver(endpoint(1, rate=8.0), senders=senders, max_calls=24)
    pending = range(1, 13)
    driver.turn(1.0, *(api.MessageReceived(number, number % 3, 1, 11.0) for number in pending))
    sends_seen = 0
    for step in range(100):
        now = 1.1 + step * 0.1
        new_sends = driver.sends[sends_seen:]
        sends_seen = len(driver.sends)
        for number, (_, send) in enumerate(new_sends):
            driver.end_attempt(send.message, Outcome.FULL if number < refusals else Outcome.OK, now)
        refusals = max(0, refusals - len(new_sends))
        driver.turn(now)
    assert {send.message for _, send in driver.sends} == set(pending)


@pytest.mark.parametrize("window", [0.5, 1.0, 2.0, 5.0])
@pytest.mark.parametrize("age", [0.1, 0.6, 1.1, 3.0], ids=lambda age: f"ran {age} s ago")
def test_a_keyed_message_that_may_have_run_is_sent_again_in_its_dedup_window_or_ends_at_once(
    window: float, age: float
) -> None:
    classes = tuple(replace(message_class, dedup_window=window) for message_class in CLASSES)
    driver = Driver(endpoint(1), classes=classes)
    ran_at = 10.0 - age
    driver.turn(
        10.0,
        api.MessageReceived(1, KEYED_INDEX, 1, 20.0, attempts=1, may_have_run_at=ran_at, may_have_run_zone=0),
    )
    driver.turn(15.0)
    for at, send in driver.sends:
        assert at <= send.write_deadline == ran_at + window
    final_answers = {**driver.refused, **dict.fromkeys(driver.failed)}
    assert bool(driver.sends) != bool(final_answers)
    assert bool(driver.sends) == (window - age > driver.sender._settings.connect_timeout)


def test_a_node_gets_ready_while_no_other_system_answers(tmp_path: Path) -> None:
    """The list, the platform and the endpoint do not answer, and the state directory has pending messages."""
    platform, server = ScriptedPlatform(), ScriptedEndpoint(None)
    platform.add_member(server, 1)
    node = Node(tmp_path, platform).start()
    try:
        for number in range(20):
            assert node.submit(f"m{number}").status == 202
        eventually(lambda: server.requests)
        node.kill()
        platform.close()
        server.close()
        node.start()
        assert node.counters()["recovered"] == 20
    finally:
        node.kill()
