"""What a restart finds: untried messages are tried, repeats keep their window, readiness waits for nobody."""

from dataclasses import replace
from pathlib import Path

import pytest

from irisstack import interface as api
from irisstack.interface import Outcome
from tests.node_support import Node, ScriptedEndpoint, ScriptedPlatform, eventually
from tests.support import CLASSES, KEYED_INDEX, Driver, endpoint


@pytest.mark.parametrize("senders", [2, 30, 200])
@pytest.mark.parametrize("refusals", [0, 1, 2], ids=["all taken", "one refused first", "two refused first"])
def test_untried_messages_that_a_restart_finds_are_tried(senders: int, refusals: int) -> None:
    """With half of their time left, and though the new life knows nothing and is turned away at first."""
    driver = Driver(endpoint(1, rate=8.0), senders=senders, max_calls=24)
    owed = range(1, 13)
    driver.turn(1.0, *(api.MessageReceived(number, number % 3, 1, 11.0) for number in owed))
    seen = 0
    for step in range(100):
        now = 1.1 + step * 0.1
        out = driver.sends[seen:]
        seen = len(driver.sends)
        for number, (_, send) in enumerate(out):
            driver.end_attempt(send.message, Outcome.FULL if number < refusals else Outcome.OK, now)
        refusals = max(0, refusals - len(out))
        driver.turn(now)
    assert {send.message for _, send in driver.sends} == set(owed)


@pytest.mark.parametrize("window", [0.5, 1.0, 2.0, 5.0])
@pytest.mark.parametrize("away", [0.1, 0.6, 1.1, 3.0], ids=lambda away: f"ran {away} s ago")
def test_a_keyed_message_that_may_have_run_goes_again_in_its_window_or_ends_at_once(
    window: float, away: float
) -> None:
    classes = tuple(replace(kind, dedup_window=window) for kind in CLASSES)
    driver = Driver(endpoint(1), classes=classes)
    ran = 10.0 - away
    driver.turn(
        10.0,
        api.MessageReceived(1, KEYED_INDEX, 1, 20.0, attempts=1, may_have_run_at=ran, may_have_run_zone=0),
    )
    driver.turn(15.0)
    for at, send in driver.sends:
        assert at <= send.write_deadline == ran + window
    ends = {**driver.refused, **dict.fromkeys(driver.failed)}
    assert bool(driver.sends) != bool(ends)
    assert bool(driver.sends) == (window - away > driver.sender._settings.connect_timeout)


def test_a_node_is_ready_with_nobody_there(tmp_path: Path) -> None:
    """No list, no platform and no endpoint answer, and the folder holds what is owed."""
    platform, partner = ScriptedPlatform(), ScriptedEndpoint(None)
    platform.add_member(partner, 1)
    node = Node(tmp_path, platform).start()
    try:
        for number in range(20):
            assert node.submit(f"m{number}").status == 202
        eventually(lambda: partner.requests)
        node.kill()
        platform.close()
        partner.close()
        node.start()
        assert node.counters()["recovered"] == 20
    finally:
        node.kill()
