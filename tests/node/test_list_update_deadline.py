"""A node that missed a change of the endpoint list has to have it 6 s after its service had it.

In staging, under fault injection, a node sent a request to a server that was draining, 0.32 s after
the node counted as told. A call for the list was answered 503, and the next one fell silent, as all
open watches did. The node waited 3.5 s until it gave the silent call up, and then paused: a call
that had kept it waiting, right after another failure, lifted the bound that holds the next call
within the 6 s in which its news is due. So the third call could come when the server had been
draining for more than 6 s.

What settled it: a replay of the run, in which the rule held by luck, logged on one node
`watch_ended` with status 503 at 0.515 s and `list_not_had` with `nothing came by the deadline` at
4.627 s. In the run that broke, two of six nodes had no answer of discovery's at all by the time of
the request, 7.641 s; the node counted as told at 7.32 s, so the change had been missed at 1.32 s.
With six nodes the pause after the second failure is drawn from 1.2 to 3.6 s, and 2.9 s and more are
too late: a quarter of the draws.
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
"""Seconds after which a node counts as told of what the service has, whether or not it has heard."""
NOTIFICATION_DEADLINE_AFTER_MOVE_S = 4.0
"""And after the node was told to look for its list elsewhere."""
DRAIN_GRACE_S = 0.3
"""Seconds in which calls to a draining endpoint may still begin then."""
STALL_ALLOWANCE_S = 0.15
"""Seconds for which the node may be held up between reading of a drain and acting on it."""


def test_no_call_reaches_a_draining_server_after_the_grace_when_list_calls_fail(
    tmp_path: Path,
) -> None:
    """The staging run on real processes; with 24 nodes the third call is never in time by chance."""
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
    """A node's follower whose own service answers as a script says, and drains its endpoint when told to."""

    def __init__(
        self, fleet_size: int, seed: int, behaviors: tuple[CallBehavior, ...], pushed: bool = False
    ) -> None:
        self.name = f"{fleet_size} senders, seed {seed}, {', '.join(behavior.name for behavior in behaviors)}"
        self.service = ScriptedDiscovery(*behaviors)
        self._endpoint = ScriptedEndpoint()
        self._member = self.service.add_member(self._endpoint, 1, cell=1)
        self.changed_at = self.notified_at = 0.0
        super().__init__(self.service, fleet_size, seed, pushed)

    def on_update(self, update: api.EndpointsUpdated) -> None:
        if any(endpoint.state is api.EndpointState.DRAINING for endpoint in update.endpoints):
            self.notified_at = self.notified_at or time.monotonic()

    def drain(self) -> None:
        """The service learns of a drain; no watch that is open then is told of it."""
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
"""How calls for the list go wrong one after another, before one is served."""
LARGE_FLEET_FAILURE_SEQUENCES = ((R, S), (S, R), (W,), (W, R), (B,), (S,))
"""Those that a fleet of 200 has to outlive: its pauses are longer, for its service's sake."""


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
"""Three slow failures in a row, a watch that falls silent among them."""


def late_notifications(followers: list[DrainFollower]) -> dict[str, float | None]:
    """Drain the endpoint of each once its first call has come; who hears of it late, and how late."""
    try:
        waiting = list(followers)
        while waiting:
            gevent.sleep(0.01)
            called = [each for each in waiting if each.service.call_times]
            gevent.sleep(0.05)  # their first call has been answered, where it is
            for follower in called:
                follower.drain()
                waiting.remove(follower)
        gevent.sleep(NOTIFICATION_DEADLINE_S + DRAIN_GRACE_S + 2.0)
        return {
            each.name: round(each.notified_at - each.changed_at, 2) if each.notified_at else None
            for each in followers
            if not each.notified_at
            or each.notified_at
            > each.changed_at + NOTIFICATION_DEADLINE_S + DRAIN_GRACE_S - STALL_ALLOWANCE_S
        }
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
    """What happens: news that a node missed as its calls began to fail is had up to 8 s later.

    Each slow call takes 1.2 s until it counts as late, and the pause behind it is a third of what is left
    until the fifth second, as if the calls to come took no time. Drawn long, the pauses have the third call
    begin so late that the fourth, the first to be answered, comes after the 6 s.

    In fleets of under 30 the pause behind a slow call now leaves room for further ones, as many as fit.
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


def test_pushed_update_arrives_at_once_when_the_service_returns() -> None:
    """The node's agent counts what it gets at the return of its service as told in that very moment."""
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
    """What is had at the address that a SIGHUP names counts as told 4 s after it."""
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
