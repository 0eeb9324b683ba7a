"""A hollow node carries out what the real decisions say."""

from irisstack import interface as api
from irisstack.lab.scale.hollow_node import HollowNode, OutgoingCall, Surroundings
from irisstack.lab.scale.settings import DEADLINE_S, fleet_settings
from irisstack.lab.virtual.clock import Clock

ENDPOINT = api.Endpoint((b"\x0a\x00\x00\x01", 7070), api.EndpointState.READY, 0, 1, 0, 100.0, None)


class Recorder(Surroundings):
    """Keeps the calls and gossip of a node."""

    def __init__(self) -> None:
        self.calls: list[OutgoingCall] = []
        self.gossip: list[bytes] = []
        self.subscribed: list[float] = []

    def call(self, now: float, node: HollowNode, call: OutgoingCall) -> None:
        self.calls.append(call)

    def broadcast(self, now: float, node: HollowNode, data: bytes) -> None:
        self.gossip.append(data)

    def subscribe(self, now: float, node: HollowNode, on: bool) -> None:
        self.subscribed.append(now)


class Unreachable(Surroundings):
    """No call gets a connection."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    def call(self, now: float, node: HollowNode, call: OutgoingCall) -> None:
        self._clock.after(0.02, node.end_call, call, api.Outcome.CONNECT_FAILED)


def _node(*, gossip: bool = False, on_request: bool = False) -> tuple[Clock, Recorder, HollowNode]:
    clock, recorder = Clock(), Recorder()
    node = HollowNode(0, fleet_settings(2, gossip=gossip, on_request=on_request), 1, clock, recorder)
    node.turn(0.0, api.EndpointsUpdated(api.UpdateScope.CACHED, 1, (ENDPOINT,)))
    return clock, recorder, node


def _receive(node: HollowNode, now: float, number: int) -> None:
    node.receive(now, api.MessageReceived(number, 0, 1, now + DEADLINE_S))


def test_a_message_is_called_and_delivered() -> None:
    clock, recorder, node = _node()
    _receive(node, 1.0, 1)
    assert [call.attempt for call in recorder.calls] == [0]
    node.end_call(1.1, recorder.calls[0], api.Outcome.OK)
    node.end_call(1.2, recorder.calls[0], api.Outcome.OK)
    clock.run(60.0, lambda: False)
    assert (node.counts.calls, node.counts.delivered) == (1, 1)


def test_a_failed_call_goes_again_as_the_next_attempt() -> None:
    clock, recorder, node = _node()
    _receive(node, 1.0, 1)
    node.end_call(1.1, recorder.calls[0], api.Outcome.CONNECT_FAILED)
    clock.run(5.0, lambda: False)
    assert [call.attempt for call in recorder.calls] == [0, 1]


def test_failures_open_the_breaker_and_are_told_to_peers() -> None:
    _, recorder, node = _node(gossip=True)
    for number in range(1, 7):
        _receive(node, 1.0, number)
    for call in list(recorder.calls):
        node.end_call(1.1, call, api.Outcome.CONNECT_FAILED)
    assert recorder.gossip
    assert set(recorder.gossip) == {b"F\x01"}
    for _ in range(6):
        node.hear(1.2, 1, b"F\x01")
    assert node.opened == {1: 1}


def test_a_message_that_never_gets_through_is_refused_and_forgotten() -> None:
    clock = Clock()
    node = HollowNode(0, fleet_settings(2), 1, clock, Unreachable(clock))
    node.turn(0.0, api.EndpointsUpdated(api.UpdateScope.CACHED, 1, (ENDPOINT,)))
    for number in range(4):
        _receive(node, 1.0, number)
    clock.run(1.0 + 2.0 * DEADLINE_S, lambda: False)
    assert (node.counts.refused, node.counts.failed, node.counts.delivered) == (4, 0, 0)
    assert node.messages == 0


def test_a_stopped_node_does_nothing_more() -> None:
    clock, recorder, node = _node(on_request=True)
    node.stop()
    clock.run(60.0, lambda: False)
    assert recorder.subscribed == []


def test_the_subscription_of_the_real_decisions_comes_with_the_start() -> None:
    clock, recorder, _ = _node(on_request=True)
    clock.run(60.0, lambda: False)
    assert len(recorder.subscribed) == 1
