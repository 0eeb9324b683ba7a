"""A node must have an update of the endpoint list 6 s after discovery had it, even if list calls fail.

The fault: one call was answered 503, and the next fell silent, as did all open watches. The node gave the
silent call up after 3.5 s and then paused. The pause was not bounded: a call that had kept the node waiting,
right after another failure, lifted the bound that keeps the next call within the 6 s of the notification
deadline. With six nodes this pause is drawn from 1.2 to 3.6 s, and from 2.9 s on, a quarter of the draws, the
third call is too late.

In a staging run with injected faults, a node missed an update at 1.32 s, which counted as notified at 7.32 s,
and sent a request to the draining server at 7.641 s, 0.32 s after that.
"""

import socket
import time
from pathlib import Path

import gevent

from irisstack import interface as api
from irisstack.node.discovery import AddressChanged
from irisstack.node.list_call import ANSWER_OVERDUE_AFTER_S
from tests.node.list_support import (
    CallBehavior,
    ListFollower,
    ScriptedDiscovery,
    TimedEndpoint,
    settings_for_fleet,
)
from tests.node_support import Node, ScriptedEndpoint, eventually, running_node

NOTIFICATION_DEADLINE_S = 6.0
"""Seconds after which an update of the list counts as notified, whether or not it arrived."""
NOTIFICATION_DEADLINE_AFTER_MOVE_S = 4.0
"""The same in seconds after the address of discovery changed."""
DRAIN_GRACE_S = 0.3
"""Seconds after the deadline in which calls to a draining endpoint may still start."""
LONG_OUTAGE_S = 12.5
"""Seconds: twice the deadline and more, so that pauses have grown to their longest."""
STALL_ALLOWANCE_S = 0.15
"""Seconds for which the node may be stalled between receiving a drain and acting on it."""


def test_no_call_reaches_a_draining_server_after_the_grace_when_list_calls_fail(
    tmp_path: Path,
) -> None:
    """The staging run with a real process; with 24 nodes the third call is never in time by chance."""
    staying, draining = ScriptedEndpoint(), TimedEndpoint()
    platform = ScriptedDiscovery(CallBehavior.REFUSED, CallBehavior.SILENT)
    platform.add_member(staying, 1, cell=1)
    member = platform.add_member(draining, 2, cell=1)
    node = Node(tmp_path, platform)
    node.config_data["settings"] = settings_for_fleet(24)
    with running_node(node, platform, staying, draining):
        eventually(lambda: len(platform.call_times) == 2, "a second call for the list")
        member["phase"] = "DRAINING"
        platform.revision += 1
        changed_at = time.monotonic()
        count = 0
        while time.monotonic() < changed_at + NOTIFICATION_DEADLINE_S + DRAIN_GRACE_S + 1.5:
            count += 1
            node.submit(f"m{count}")
            time.sleep(0.02)
    assert any(at < changed_at + NOTIFICATION_DEADLINE_S for at in draining.received_at)
    received_after = [round(at - changed_at, 3) for at in draining.received_at]
    assert [at for at in received_after if at > NOTIFICATION_DEADLINE_S + DRAIN_GRACE_S] == []


class DrainFollower(ListFollower):
    """A list follower with its own scripted service, which drains its endpoint on `drain`."""

    def __init__(
        self, fleet_size: int, seed: int, behaviors: tuple[CallBehavior, ...], pushed: bool = False
    ) -> None:
        self.name = f"{fleet_size} nodes, seed {seed}, {', '.join(behavior.name for behavior in behaviors)}"
        self.service = ScriptedDiscovery(*behaviors)
        self._endpoint = ScriptedEndpoint()
        self._member = self.service.add_member(self._endpoint, 1, cell=1)
        self.changed_at = self.notified_at = 0.0
        super().__init__(self.service, fleet_size, seed, pushed)

    def on_update(self, update: api.EndpointsUpdated) -> None:
        if any(endpoint.state is api.EndpointState.DRAINING for endpoint in update.endpoints):
            self.notified_at = self.notified_at or time.monotonic()

    def drain(self) -> None:
        """The service sets its endpoint to draining without notifying open watches."""
        self._member["phase"] = "DRAINING"
        self.service.revision += 1
        self.changed_at = time.monotonic()

    def close(self) -> None:
        super().close()
        self.service.close()
        self._endpoint.close()


R, B, S, H = CallBehavior.REFUSED, CallBehavior.BUSY, CallBehavior.SILENT, CallBehavior.HEAD_ONLY
T, C, M, W = (
    CallBehavior.TRICKLING,
    CallBehavior.CUT_OFF,
    CallBehavior.MALFORMED,
    CallBehavior.WATCH_FALLS_SILENT,
)
FAILURE_SEQUENCES = (
    *((R, S), (S, R), (R, R, S), (R, S, R), (S, S), (R, H), (T, R), (C, S), (M, S), (S, C)),
    *((B, S), (S, B), (B, B), (R, B, S), (R, B, R), (B, R, B)),
    *((W, S), (W, R, S), (W, S, R), (W, B), (W, B, R), (W, R, R, R), (W, H), (W, T), (W, C, M)),
)
"""The failures of consecutive list calls before one is served."""
LARGE_FLEET_FAILURE_SEQUENCES = ((R, S), (S, R), (W,), (W, R), (B,), (S,))
"""The same for a fleet of 200, whose pauses are longer to limit the load of its service."""


SLOW_FAILURE_SEQUENCES = (
    (S, S, S),
    (S, B, S),
    (B, S, B),
    (H, S, S),
    (T, S, S),
    (W, S, S),
    (W, S, B),
    (W, B, S),
)
"""Three slow failures in a row, some of them with a watch that falls silent."""


def late_updates(followers: list[DrainFollower]) -> dict[str, float | None]:
    """The delays of the updates that were late, in seconds; `None` for those that never came."""
    latest = NOTIFICATION_DEADLINE_S + DRAIN_GRACE_S - STALL_ALLOWANCE_S
    return {
        each.name: round(each.notified_at - each.changed_at, 2) if each.notified_at else None
        for each in followers
        if not each.notified_at or each.notified_at > each.changed_at + latest
    }


def late_notifications(followers: list[DrainFollower]) -> dict[str, float | None]:
    """Drain each endpoint after its follower's first call; returns the late updates, `None` if none came."""
    try:
        waiting = list(followers)
        while waiting:
            gevent.sleep(0.01)
            called = [each for each in waiting if each.service.call_times]
            gevent.sleep(0.05)  # time for the first call to be answered, if it is answered
            for follower in called:
                follower.drain()
                waiting.remove(follower)
        gevent.sleep(NOTIFICATION_DEADLINE_S + DRAIN_GRACE_S + 2.0)
        return late_updates(followers)
    finally:
        for follower in followers:
            follower.close()


def test_update_arrives_in_time_after_any_sequence_of_failed_calls() -> None:
    followers = [
        DrainFollower(fleet_size, fleet_size, sequence)
        for fleet_size in (2, 6, 24)
        for sequence in FAILURE_SEQUENCES
    ]
    followers += [
        DrainFollower(200, seed, sequence) for seed in range(3) for sequence in LARGE_FLEET_FAILURE_SEQUENCES
    ]
    assert late_notifications(followers) == {}


def test_update_arrives_in_time_after_three_slow_failures_in_a_row() -> None:
    """The fault: an update missed as calls began to fail arrived up to 8 s later.

    Each slow call takes 1.2 s until it is overdue, and the pause after it was a third of the time left until
    the fifth second, as if the following calls took no time. With long pauses the third call started so late
    that the fourth, the first to be answered, came after the 6 s.

    In fleets of under 30 nodes the pause after a slow call now leaves time for as many further ones as fit.
    """
    assert (
        late_notifications(
            [
                DrainFollower(n, seed, c)
                for n in (2, 6, 24)
                for seed in range(3)
                for c in SLOW_FAILURE_SEQUENCES
            ]
        )
        == {}
    )


def test_update_arrives_in_time_after_a_long_outage_in_which_calls_were_kept_waiting() -> None:
    """The pause between calls grew without a bound after 12 s: an update came up to 14 s late.

    Where the service ends its calls, this holds in a fleet of any size; a large one does not call more often
    while its calls stay open.
    """
    outages = [(n, B) for n in (2, 3, 6, 24, 30, 200)] + [(n, S) for n in (2, 3, 6, 24)]
    followers = [DrainFollower(n, seed, (behavior,)) for n, behavior in outages for seed in range(4)]
    for follower in followers:
        follower.service.script *= 100
    try:
        gevent.sleep(LONG_OUTAGE_S)
        for follower in followers:
            gevent.sleep(0.1)
            follower.service.script.clear()
            follower.drain()
        gevent.sleep(NOTIFICATION_DEADLINE_S + DRAIN_GRACE_S + 2.0)
        assert late_updates(followers) == {}
    finally:
        for follower in followers:
            follower.close()


def test_pushed_update_arrives_at_once_when_the_service_returns() -> None:
    """Where lists are pushed, an update counts as notified as soon as the service is back."""
    followers = [DrainFollower(2, seed, (), pushed=True) for seed in range(8)]
    try:
        for follower in followers:
            follower.service.script = [R] * 1000
        for watcher in [watcher for each in followers for watcher in each.service.watchers]:
            watcher.shutdown(socket.SHUT_RDWR)
        gevent.sleep(1.0)
        for follower in followers:
            gevent.sleep(0.07)
            follower.drain()
            follower.service.script.clear()
        gevent.sleep(1.5)
        delays = [round(each.notified_at - each.changed_at, 3) for each in followers]
    finally:
        for follower in followers:
            follower.close()
    assert min(delays) >= 0.0
    assert max(delays) <= DRAIN_GRACE_S - STALL_ALLOWANCE_S


def test_list_arrives_within_four_seconds_of_an_address_change() -> None:
    """After SIGHUP names a new address, the list there counts as notified 4 s later."""
    followers = [DrainFollower(24, seed, (), pushed=seed < 4) for seed in range(20)]
    new_services = {follower: ScriptedDiscovery(S, R, S) for follower in followers}
    try:
        gevent.sleep(3.0)
        for follower, service in new_services.items():
            service.members = [{**member, "phase": "DRAINING"} for member in follower.service.members]
            follower.changed_at = time.monotonic()
            follower.discovery.mailbox.put(AddressChanged(("127.0.0.1", service.port)))
        gevent.sleep(NOTIFICATION_DEADLINE_AFTER_MOVE_S + 2.0)
        delays = [round(each.notified_at - each.changed_at, 3) for each in followers]
    finally:
        for follower, service in new_services.items():
            follower.close()
            service.close()
    assert min(delays) > 2.0 * ANSWER_OVERDUE_AFTER_S
    assert max(delays) <= NOTIFICATION_DEADLINE_AFTER_MOVE_S + DRAIN_GRACE_S - STALL_ALLOWANCE_S
