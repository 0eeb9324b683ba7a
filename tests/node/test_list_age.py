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
from tests.node.list_support import CallFate, ListFollower, ScriptedDiscovery, TimedPeer, settings_for
from tests.node_support import Node, ScriptedEndpoint, eventually, running_node

TOLD_AFTER_S = 6.0
"""Seconds after which a node counts as told of what the service has, whether or not it has heard."""
TOLD_AFTER_MOVE_S = 4.0
"""And after the node was told to look for its list elsewhere."""
GRACE_S = 0.3
"""Seconds in which calls to a draining endpoint may still begin then."""
STANDSTILL_S = 0.15
"""Seconds for which the node may be held up between reading of a drain and acting on it."""


def test_no_call_reaches_a_draining_server_after_the_grace_however_calls_for_the_list_fail(
    tmp_path: Path,
) -> None:
    """The staging run on real processes; with 24 nodes the third call is never in time by chance."""
    staying, draining = ScriptedEndpoint(), TimedPeer()
    platform = ScriptedDiscovery(CallFate.REFUSED, CallFate.SILENT)
    platform.add_member(staying, 1, cell=1)
    line = platform.add_member(draining, 2, cell=1)
    node = Node(tmp_path, platform)
    node.config_data["settings"] = settings_for(24)
    with running_node(node, platform, staying, draining):
        eventually(lambda: len(platform.called_at) == 2, "a second call for the list")
        line["phase"] = "DRAINING"
        platform.revision += 1
        changed_at = time.monotonic()
        count = 0
        while time.monotonic() < changed_at + TOLD_AFTER_S + GRACE_S + 1.5:
            count += 1
            node.submit(f"m{count}")
            time.sleep(0.02)
    assert any(at < changed_at + TOLD_AFTER_S for at in draining.received_at)
    after = [round(at - changed_at, 3) for at in draining.received_at]
    assert [at for at in after if at > TOLD_AFTER_S + GRACE_S] == []


class Follower(ListFollower):
    """A node's follower whose own service answers as a script says, and drains its endpoint when told to."""

    def __init__(self, senders: int, seed: int, fates: tuple[CallFate, ...], pushed: bool = False) -> None:
        self.name = f"{senders} senders, seed {seed}, {', '.join(fate.name for fate in fates)}"
        self.service = ScriptedDiscovery(*fates)
        self._endpoint = ScriptedEndpoint()
        self._line = self.service.add_member(self._endpoint, 1, cell=1)
        self.had_at = self.told_at = 0.0
        super().__init__(self.service, senders, seed, pushed)

    def on_update(self, update: api.EndpointsUpdated) -> None:
        if any(endpoint.state is api.EndpointState.DRAINING for endpoint in update.endpoints):
            self.told_at = self.told_at or time.monotonic()

    def drain(self) -> None:
        """The service learns of a drain; no watch that is open then is told of it."""
        self._line["phase"] = "DRAINING"
        self.service.revision += 1
        self.had_at = time.monotonic()

    def close(self) -> None:
        super().close()
        self.service.close()
        self._endpoint.close()


R, B, S, H = CallFate.REFUSED, CallFate.BUSY, CallFate.SILENT, CallFate.HEAD_ONLY
T, C, J, W = CallFate.TRICKLING, CallFate.CUT, CallFate.SPOILT, CallFate.FALLS_SILENT
CHAINS = (
    *((R, S), (S, R), (R, R, S), (R, S, R), (S, S), (R, H), (T, R), (C, S), (J, S), (S, C)),
    *((B, S), (S, B), (B, B), (R, B, S), (R, B, R), (B, R, B)),
    *((W, S), (W, R, S), (W, S, R), (W, B), (W, B, R), (W, R, R, R), (W, H), (W, T), (W, C, J)),
)
"""How calls for the list go wrong one after another, before one is served."""
LARGE_FLEET_CHAINS = ((R, S), (S, R), (W,), (W, R), (B,), (S,))
"""Those that a fleet of 200 has to outlive: its pauses are longer, for its service's sake."""


LONG_CHAINS = ((S, S, S), (S, B, S), (B, S, B), (H, S, S), (T, S, S), (W, S, S), (W, S, B), (W, B, S))
"""Three slow failures in a row, a watch that falls silent among them."""


def late_news(followers: list[Follower]) -> dict[str, float | None]:
    """Drain the endpoint of each once its first call has come; who hears of it late, and how late."""
    try:
        waiting = list(followers)
        while waiting:
            gevent.sleep(0.01)
            called = [each for each in waiting if each.service.called_at]
            gevent.sleep(0.05)  # their first call has been answered, where it is
            for follower in called:
                follower.drain()
                waiting.remove(follower)
        gevent.sleep(TOLD_AFTER_S + GRACE_S + 2.0)
        return {
            each.name: round(each.told_at - each.had_at, 2) if each.told_at else None
            for each in followers
            if not each.told_at or each.told_at > each.had_at + TOLD_AFTER_S + GRACE_S - STANDSTILL_S
        }
    finally:
        for follower in followers:
            follower.close()


def test_news_is_had_in_time_whatever_becomes_of_the_calls_before() -> None:
    followers = [Follower(senders, senders, chain) for senders in (2, 6, 24) for chain in CHAINS]
    followers += [Follower(200, seed, chain) for seed in range(3) for chain in LARGE_FLEET_CHAINS]
    assert late_news(followers) == {}


def test_news_is_had_in_time_after_three_slow_failures_in_a_row() -> None:
    """What happens: news that a node missed as its calls began to fail is had up to 8 s later.

    Each slow call takes 1.2 s until it counts as late, and the pause behind it is a third of what is left
    until the fifth second, as if the calls to come took no time. Drawn long, the pauses have the third call
    begin so late that the fourth, the first to be answered, comes after the 6 s.

    In fleets of under 30 the pause behind a slow call now leaves room for further ones, as many as fit.
    """
    assert (
        late_news([Follower(n, seed, c) for n in (2, 6, 24) for seed in range(3) for c in LONG_CHAINS]) == {}
    )


def test_what_the_service_has_at_its_return_is_known_at_once_where_lists_are_pushed() -> None:
    """The node's agent counts what it gets at the return of its service as told in that very moment."""
    followers = [Follower(2, seed, (), pushed=True) for seed in range(8)]
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
        waits = [round(each.told_at - each.had_at, 3) for each in followers]
    finally:
        for follower in followers:
            follower.close()
    assert min(waits) >= 0.0
    assert max(waits) <= GRACE_S - STANDSTILL_S


def test_after_a_move_the_list_of_the_new_address_is_had_within_four_seconds() -> None:
    """What is had at the address that a SIGHUP names counts as told 4 s after it."""
    followers = [Follower(24, seed, (), pushed=seed < 4) for seed in range(20)]
    elsewhere = {follower: ScriptedDiscovery(S, R, S) for follower in followers}
    try:
        gevent.sleep(3.0)
        for follower, service in elsewhere.items():
            service.members = [{**line, "phase": "DRAINING"} for line in follower.service.members]
            follower.had_at = time.monotonic()
            follower.discovery.mailbox.put(AddressChanged(("127.0.0.1", service.port)))
        gevent.sleep(TOLD_AFTER_MOVE_S + 2.0)
        waits = [round(each.told_at - each.had_at, 3) for each in followers]
    finally:
        for follower, service in elsewhere.items():
            follower.close()
            service.close()
    assert min(waits) > 2.0 * ANSWER_OVERDUE_AFTER_S
    assert max(waits) <= TOLD_AFTER_MOVE_S + GRACE_S - STANDSTILL_S
