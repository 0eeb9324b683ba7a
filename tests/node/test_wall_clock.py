"""Steps of the wall clock while a node holds messages must not change any duration.

Deadlines were stored as Unix time and converted back with the wall clock of that moment, so every duration
that spanned a step was wrong by the step:

- After a step back by 3 or 20 s, an unsafe message whose answer was lost got no final answer in time.
  Accepted with a deadline of 12 s, it was queued behind an open circuit breaker and sent after 11 s; the node
  then waited past the deadline by as much as the clock had gone back. Only unsafe messages were lost (four in
  a replay with steps of -3, +20 and -20 s), since their calls have no time limit besides the deadline.
- After a step forward, calls seemed past their deadline and ended with CONNECT_FAILED before connecting,
  which opened the circuit breakers of healthy destinations.
"""

import time
from pathlib import Path

import pytest

from tests.node.fault_support import node_with_faults
from tests.node_support import ScriptedEndpoint, eventually, http_response

HOUR = 3600.0
"""Seconds."""
STEPS = pytest.mark.parametrize("step", [-HOUR, -3.0, 20.0], ids="step {:+.0f} s".format)
RESULT_SLACK = 0.3
"""Seconds after the deadline within which the final answer must come."""
HARNESS_SLACK = 0.5
"""Seconds that the test may take longer on a busy machine; every step is far longer."""
RETRY_AFTER_800_MS = http_response(429, "Retry-After: 0.800")


@STEPS
def test_an_unanswered_call_ends_at_the_deadline(tmp_path: Path, step: float) -> None:
    endpoint = ScriptedEndpoint(RETRY_AFTER_800_MS, None)
    with node_with_faults(tmp_path, endpoint) as (node, platform, rig):
        accepted_at = time.monotonic()
        assert node.submit("m1", "unsafe", X_Timeout="2.500").status == 202
        eventually(lambda: endpoint.requests, "the first call")
        rig.set_wall_clock(step)
        eventually(lambda: len(endpoint.requests) == 2, "the second call")
        assert float(endpoint.requests[1].headers["x-timeout"]) <= 2.5
        notice = eventually(lambda: platform.notice_for("m1"), "the final answer")
        assert notice["result"] == "dead"
        assert 2.4 <= time.monotonic() - accepted_at <= 2.5 + RESULT_SLACK + HARNESS_SLACK


@STEPS
def test_a_queued_message_is_delivered_after_the_step(tmp_path: Path, step: float) -> None:
    endpoint = ScriptedEndpoint(RETRY_AFTER_800_MS, http_response(200))
    with node_with_faults(tmp_path, endpoint) as (node, platform, rig):
        assert node.submit("m1", "unsafe", X_Timeout="4.000").status == 202
        eventually(lambda: endpoint.requests, "the first call")
        rig.set_wall_clock(step)
        eventually(lambda: node.counters().get("delivered"), "the delivery")
        assert not platform.notices
        assert not node.counters().get("ended_connect_failed")
        assert node.counters()["wall_clock_steps"] == 1
        assert "wall_clock_stepped" in node.log.read_text()


@STEPS
def test_a_restarted_node_delivers_before_the_deadline(tmp_path: Path, step: float) -> None:
    endpoint = ScriptedEndpoint(RETRY_AFTER_800_MS, http_response(200))
    with node_with_faults(tmp_path, endpoint) as (node, platform, rig):
        accepted_at = time.monotonic()
        assert node.submit("m1", "unsafe", X_Timeout="15.000").status == 202
        eventually(lambda: node.counters().get("ended_full"), "the first call's end")
        node.kill()
        rig.set_wall_clock(step)
        node.start()
        eventually(lambda: node.counters().get("delivered"), "the delivery")
        remaining = float(endpoint.requests[-1].headers["x-timeout"])
        assert remaining == pytest.approx(15.0 - (time.monotonic() - accepted_at), abs=0.7)
        assert not platform.notices


@STEPS
def test_a_restarted_node_ends_a_message_at_its_deadline(tmp_path: Path, step: float) -> None:
    endpoint = ScriptedEndpoint(RETRY_AFTER_800_MS, None)
    with node_with_faults(tmp_path, endpoint) as (node, platform, rig):
        accepted_at = time.monotonic()
        assert node.submit("m1", "unsafe", X_Timeout="5.000").status == 202
        eventually(lambda: node.counters().get("ended_full"), "the first call's end")
        node.kill()
        rig.set_wall_clock(step)
        node.start()
        eventually(lambda: len(endpoint.requests) == 2, "the second call")
        assert eventually(lambda: platform.notice_for("m1"), "the final answer")["result"] == "dead"
        assert 4.9 <= time.monotonic() - accepted_at <= 5.0 + RESULT_SLACK + HARNESS_SLACK


@STEPS
def test_a_restarted_node_retries_a_keyed_message_within_its_dedup_window(
    tmp_path: Path, step: float
) -> None:
    endpoint = ScriptedEndpoint(None)
    with node_with_faults(tmp_path, endpoint) as (node, _, rig):
        assert node.submit("m1", "keyed").status == 202
        eventually(lambda: endpoint.requests, "the first call")
        node.kill()
        rig.set_wall_clock(step)
        endpoint.script[:] = [http_response(200)]
        node.start()
        eventually(lambda: node.counters().get("delivered"), "the delivery")
        assert len(endpoint.requests) == 2


@STEPS
def test_a_restarted_node_does_not_retry_a_keyed_message_after_its_dedup_window(
    tmp_path: Path, step: float
) -> None:
    endpoint = ScriptedEndpoint(None)
    with node_with_faults(tmp_path, endpoint, dedup_window=1.5) as (node, platform, rig):
        assert node.submit("m1", "keyed").status == 202
        eventually(lambda: endpoint.requests, "the first call")
        node.kill()
        time.sleep(1.5)
        rig.set_wall_clock(step)
        node.start()
        assert eventually(lambda: platform.notice_for("m1"), "the final answer")["result"] == "dead"
        assert len(endpoint.requests) == 1


@STEPS
def test_a_finished_message_is_recognised_after_the_step(tmp_path: Path, step: float) -> None:
    endpoint = ScriptedEndpoint(http_response(200))
    with node_with_faults(tmp_path, endpoint) as (node, _, rig):
        assert node.submit("m1", "unsafe").status == 202
        eventually(lambda: node.counters().get("delivered") == 1, "the delivery")
        rig.set_wall_clock(step)
        assert node.submit("m2", "unsafe").status == 202
        eventually(lambda: node.counters().get("delivered") == 2, "the next delivery")
        assert node.submit("m1", "unsafe").status == 200
        assert len(endpoint.calls_with("m1")) == 1
