"""How load grows with a fleet, in a small form: counts and bytes of one seed, never elapsed time."""

import gc
import tracemalloc
from random import Random

import pytest

from irisstack.lab.scale import gossip_experiments, list_experiments, outage_experiments
from irisstack.lab.scale.destinations import Destination, Failure, Outage
from irisstack.lab.scale.fleet import Fleet
from irisstack.lab.scale.list_experiments import ListCase
from irisstack.lab.scale.list_fleet import Mode
from irisstack.lab.scale.list_lines import FRAME_BYTES, HEAD_BYTES, LINE_BYTES
from irisstack.lab.scale.list_service import State
from irisstack.lab.scale.network import UDP_HEADER_BYTES
from irisstack.lab.scale.outage_experiments import OutageCase
from irisstack.lab.scale.settings import SECONDS_BETWEEN_MESSAGES, fleet_settings

QUICK, SLOW = 0.002, 0.1


def test_the_target_gives_each_pair_of_node_and_destination_a_message_in_420_s() -> None:
    assert pytest.approx(420.0) == SECONDS_BETWEEN_MESSAGES


@pytest.mark.parametrize("failure", list(Failure))
def test_calls_into_a_shut_destination_stay_below_one_for_each_attempt_of_its_messages(
    failure: Failure,
) -> None:
    most_attempts = fleet_settings(2).max_attempts
    messages = outage_experiments.MEAN_RATE * outage_experiments.OUTAGE_LASTS
    for senders in (2, 30, 100):
        run = outage_experiments.play(senders, OutageCase(failure), seed=1)
        assert 0 < run.calls < messages * most_attempts
        assert run == outage_experiments.play(senders, OutageCase(failure), seed=1)


@pytest.mark.parametrize("failure", list(Failure))
def test_gossip_holds_calls_into_a_shut_destination_nearly_flat(failure: Failure) -> None:
    calls = {
        senders: outage_experiments.play(senders, OutageCase(failure, gossip=True), seed=1).calls
        for senders in (10, 100)
    }
    assert calls[100] <= 3 * calls[10]


def test_each_failure_told_costs_one_datagram_for_each_other_node() -> None:
    for nodes in (10, 40, 105):
        run = gossip_experiments.play(nodes, 2, Failure.UNREACHABLE, 1, gossip=True)
        assert run.messages > 0
        assert run.messages % (nodes - 1) == 0
        assert run.bytes == run.messages * (UDP_HEADER_BYTES + 4)


def test_gossip_of_each_node_grows_with_nodes_but_not_beyond_in_proportion() -> None:
    runs = [gossip_experiments.play(n, 4, Failure.UNREACHABLE, 1, gossip=True) for n in (20, 80)]
    first, second = (run.messages_per_failing_second for run in runs)
    assert first < second <= 4.5 * first
    assert [run.openings for run in runs] == [20 * 4, 80 * 4]


def test_gossip_grows_in_proportion_to_the_destinations_that_fail() -> None:
    runs = [gossip_experiments.play(40, n, Failure.UNREACHABLE, 1, gossip=True) for n in (4, 16)]
    first, second = (run.messages_per_failing_second for run in runs)
    assert 0.6 * first <= second <= 1.6 * first


def test_without_gossip_nothing_is_told() -> None:
    run = gossip_experiments.play(40, 2, Failure.UNREACHABLE, 1, gossip=False)
    assert (run.messages, run.bytes) == (0, 0)
    assert run.calls > 0


@pytest.mark.parametrize("mode", list(Mode))
@pytest.mark.parametrize("event", ["refusing", "silent", "restart", "reunion", "change"])
def test_a_quick_list_service_brings_every_node_up_to_date(mode: Mode, event: str) -> None:
    case = ListCase(mode, QUICK)
    for nodes in (10, 40):
        recovery = {
            "refusing": lambda n: list_experiments.outage(case, n, State.REFUSING),
            "silent": lambda n: list_experiments.outage(case, n, State.SILENT),
            "reunion": lambda n: list_experiments.reunion(case, n),
            "restart": lambda n: list_experiments.restart(case, n, fleet=n),
            "change": lambda n: list_experiments.change(case, n),
        }[event](nodes)
        assert recovery.nodes_without == 0
        assert recovery.seconds is not None
        assert recovery.seconds <= 15.0
        assert recovery.calls <= 1.5 * nodes


def test_calls_of_each_node_stay_flat_while_the_service_keeps_up() -> None:
    case = ListCase(Mode.ON_REQUEST, QUICK)
    for nodes in (10, 40, 105):
        assert list_experiments.restart(case, nodes, fleet=nodes).calls == nodes


@pytest.mark.parametrize("event", ["refusing", "silent", "reunion", "restart"])
@pytest.mark.parametrize("mode", list(Mode))
def test_a_slow_service_is_caught_up_with_in_the_time_that_its_calls_take(mode: Mode, event: str) -> None:
    """105 nodes, 0.1 s a call: given up calls once piled up, for ever where lists are pushed."""
    case, nodes = ListCase(mode, SLOW), 105
    recovery = {
        "refusing": lambda: list_experiments.outage(case, nodes, State.REFUSING),
        "silent": lambda: list_experiments.outage(case, nodes, State.SILENT),
        "reunion": lambda: list_experiments.reunion(case, nodes),
        "restart": lambda: list_experiments.restart(case, nodes, fleet=nodes),
    }[event]()
    assert recovery.seconds is not None
    assert recovery.seconds <= 1.5 * nodes * SLOW
    assert recovery.given_up <= nodes


def test_bytes_after_a_restart_are_those_of_the_lines_told() -> None:
    case, nodes = ListCase(Mode.ON_REQUEST, QUICK), 20
    head = HEAD_BYTES + FRAME_BYTES
    changes = list_experiments.restart(case, nodes, fleet=nodes).bytes_sent
    whole = list_experiments.restart(case, nodes, fleet=nodes, keeps_history=False).bytes_sent
    assert changes == nodes * (head + LINE_BYTES)
    assert whole == nodes * (head + 100_000 * LINE_BYTES)


def test_bytes_of_a_watch_grow_in_proportion_to_the_changes() -> None:
    case = ListCase(Mode.ON_REQUEST, QUICK)
    slow, quick = (list_experiments.steady_bytes(case, rate) for rate in (1.0, 10.0))
    assert slow == pytest.approx(LINE_BYTES + FRAME_BYTES + 3.0)
    assert quick == pytest.approx(10.0 * (LINE_BYTES + FRAME_BYTES) + 3.0)


def _memory_of_a_fleet(nodes: int) -> float:
    """Bytes of memory for each node of a fleet that has known an outage."""
    gc.collect()
    tracemalloc.start()
    destination = Destination(1, 2.2, Outage(5.0, 15.0, Failure.UNREACHABLE), 8.0, Random(1))
    settings = [fleet_settings(nodes, number, gossip=True) for number in range(nodes)]
    fleet = Fleet(nodes, [destination], 2.0, settings.__getitem__, 1)
    fleet.run(23.0)
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used / len(fleet.nodes)


def test_memory_of_each_hollow_node_is_flat() -> None:
    _memory_of_a_fleet(2)  # what is loaded or cached once
    small, large = _memory_of_a_fleet(50), _memory_of_a_fleet(200)
    assert large <= 1.1 * small
    assert large <= 16 * 1024
