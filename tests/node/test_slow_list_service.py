"""A small fleet that calls a slow discovery service at once, which serves calls one by one.

The fault: six nodes start together while their service takes 0.8 s for a call. All six calls could be
answered within 4.8 s, but a node gave its call up after 3.5 s, or when it started a third parallel call, and
called again at the end of the queue. The service kept working on calls that nobody waited for and fell
behind. In the model of `irisstack.lab.scale` the last node had the list after 19 s in the mean of six runs,
and after 45 s where a call takes 1.33 s; where lists are pushed, never within the simulated minute.

An unanswered call now keeps its place in the queue: the two oldest stay, however many are started in
parallel. In the model the six nodes then have the list after 4.9 s, the minimum.
"""

import time

import gevent
import pytest

from irisstack import interface as api
from tests.node.list_support import ListFollower, SequentialDiscovery
from tests.node_support import ScriptedEndpoint

FLEET_SIZE = 6
CALL_S = 0.8
NOTIFICATION_DEADLINE_S = 6.0
"""Seconds after which an update of the list counts as notified, whether or not it arrived."""


class TimedFollower(ListFollower):
    """Records when it first received the list."""

    list_received_at = 0.0

    def on_update(self, update: api.EndpointsUpdated) -> None:
        if update.scope is not api.UpdateScope.FAILED:
            self.list_received_at = self.list_received_at or time.monotonic()


@pytest.mark.parametrize("pushed", [False, True], ids=["on request", "pushed"])
def test_each_node_gets_the_list_in_time_from_a_slow_sequential_service(pushed: bool) -> None:
    service, endpoint = SequentialDiscovery(CALL_S), ScriptedEndpoint()
    service.add_member(endpoint, 1, cell=1)
    started_at = time.monotonic()
    followers = [TimedFollower(service, FLEET_SIZE, seed, pushed) for seed in range(FLEET_SIZE)]
    try:
        gevent.sleep(NOTIFICATION_DEADLINE_S + 0.5)
        elapsed = [
            round(follower.list_received_at - started_at, 2) if follower.list_received_at else None
            for follower in followers
        ]
    finally:
        for follower in followers:
            follower.close()
        service.close()
        endpoint.close()
    assert all(seconds is not None and seconds <= NOTIFICATION_DEADLINE_S for seconds in elapsed), elapsed
