"""A service of the list that is slow and works through calls in turn, and a small fleet that asks it at once.

What happens: six nodes start together while their service takes 0.8 s for a call. All six calls could be
answered within 4.8 s, but a node gives its call up after 3.5 s, or for its third call beside it, and asks
again at the end of the queue. The service works through calls that nobody waits for, and falls behind. In
the model of `irisstack.lab.scale` the last node has the list after 19 s in the mean of six plays, and after
45 s where a call takes 1.33 s; where lists are pushed, never within the minute that was played.

A call that has not been answered keeps its place: the two oldest stay, however many are begun beside them,
and the model's six nodes have the list after 4.9 s, the least there is.
"""

import time

import gevent
import pytest

from irisstack import interface as api
from tests.node.list_support import CrowdedDiscovery, ListFollower
from tests.node_support import ScriptedEndpoint

NODES = 6
CALL_S = 0.8
NEWS_DUE_S = 6.0
"""Seconds after which a node counts as told of what the service has, whether or not it has heard."""


class Follower(ListFollower):
    """Keeps when it first had the list."""

    listed_at = 0.0

    def on_update(self, update: api.EndpointsUpdated) -> None:
        if update.scope is not api.UpdateScope.FAILED:
            self.listed_at = self.listed_at or time.monotonic()


@pytest.mark.parametrize("pushed", [False, True], ids=["on request", "pushed"])
def test_each_node_has_the_list_in_time_from_a_service_that_can_serve_them_all_in_time(pushed: bool) -> None:
    service, listed = CrowdedDiscovery(CALL_S), ScriptedEndpoint()
    service.add_member(listed, 1, cell=1)
    began_at = time.monotonic()
    followers = [Follower(service, NODES, seed, pushed) for seed in range(NODES)]
    try:
        gevent.sleep(NEWS_DUE_S + 0.5)
        after = [round(each.listed_at - began_at, 2) if each.listed_at else None for each in followers]
    finally:
        for each in followers:
            each.close()
        service.close()
        listed.close()
    assert all(each is not None and each <= NEWS_DUE_S for each in after), after
