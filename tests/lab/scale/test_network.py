"""The virtual network: what arrives, what is lost, and what is counted."""

from irisstack.lab.scale.network import Delay, Network
from irisstack.lab.virtual.clock import Clock


def _never() -> bool:
    return False


def _network(members: int, loss: float = 0.0) -> tuple[Clock, Network]:
    clock = Clock()
    network = Network(clock, 1, Delay(0.01, 0.02), loss)
    for member in range(members):
        network.join(member, member % 2)
    return clock, network


def test_a_message_arrives_after_its_delay_and_is_counted_at_both_ends() -> None:
    clock, network = _network(2)
    heard: list[tuple[float, str]] = []
    assert network.deliver(0, 1, 40, lambda now, text: heard.append((now, text)), "hello")
    clock.run(1.0, _never)
    assert [text for _, text in heard] == ["hello"]
    assert 0.01 <= heard[0][0] <= 0.02
    assert (network.traffic[0].bytes_sent, network.traffic[1].bytes_received) == (40, 40)
    assert (network.traffic[0].messages_received, network.traffic[1].messages_received) == (0, 1)


def test_a_broadcast_is_one_event_and_reaches_all_others() -> None:
    clock, network = _network(50)
    heard: list[int] = []
    network.broadcast(7, 32, lambda _, member: heard.append(member))
    clock.run(1.0, _never)
    assert heard == [member for member in range(50) if member != 7]
    assert clock.done == 1
    assert network.traffic[7].bytes_sent == 49 * 32


def test_a_partition_stops_what_crosses_it_until_it_heals() -> None:
    clock, network = _network(4)
    heard: list[int] = []
    network.partition(1, 0)
    assert not network.deliver(0, 1, 10, lambda _: heard.append(1))
    network.broadcast(0, 10, lambda _, member: heard.append(member))
    clock.run(1.0, _never)
    assert heard == [2]
    network.heal(0, 1)
    assert network.deliver(0, 1, 10, lambda _: heard.append(1))
    clock.run(2.0, _never)
    assert heard == [2, 1]


def test_loss_is_drawn_from_the_seed() -> None:
    received = []
    for _ in range(2):
        clock, network = _network(2, loss=0.3)
        for _ in range(1000):
            network.deliver(0, 1, 1, lambda _: None)
        clock.run(1.0, _never)
        received.append(network.traffic[1].messages_received)
    assert received[0] == received[1]
    assert 650 <= received[0] <= 750
