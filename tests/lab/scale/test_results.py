"""Measured slopes as files."""

import json
import socket
import time
from pathlib import Path

import pytest

from irisstack.lab.scale import node_experiments
from irisstack.lab.scale.bare_receiver import BareReceiver
from irisstack.lab.scale.node_process import NodeError, NodeFile, NodeProcess
from irisstack.lab.scale.results import Point, Slope, mean, slope_name, write


def test_a_slope_is_written_with_where_and_how_it_was_measured(tmp_path: Path) -> None:
    slope = Slope("calls-up", "calls", "nodes", "calls/s", (Point(10, 1.5), Point(100, 2.0, 3)), "a note")
    path = write(tmp_path / "new", slope, "irisstack lab scale run outage")
    document = json.loads(path.read_text())
    assert path.name == "calls-up.json"
    assert list(document) == [
        "slope",
        "title",
        "variable",
        "unit",
        "command",
        "commit",
        "measured_at",
        "machine",
        "points",
        "notes",
    ]
    assert document["points"] == [
        {"size": 10, "value": 1.5, "runs": 1},
        {"size": 100, "value": 2.0, "runs": 3},
    ]


def test_names_and_means() -> None:
    assert slope_name("list", "2ms", 3) == "list-2ms-3"
    assert mean([1.0, 2.0, 2.0]) == 1.66667


def test_a_rolling_restart_takes_ten_turns_or_one_for_each_node() -> None:
    assert node_experiments.rolling_restart_s(4, 1.0, 2.0) == 12.0
    assert node_experiments.rolling_restart_s(10, 1.0, 2.0) == 30.0
    assert node_experiments.rolling_restart_s(840, 1.0, 2.0) == 30.0


def test_a_real_node_starts_and_ends_and_its_processor_time_is_seen(tmp_path: Path) -> None:
    with NodeProcess(tmp_path, node_experiments.node_file(10)) as node:
        assert node.start() > 0.0
        assert node.processor_s() > 0.0
        assert all(isinstance(count, int) for count in node.counters().values())
        assert node.stop() > 0.0


def test_a_bare_receiver_reads_what_comes() -> None:
    with BareReceiver() as receiver, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        before = receiver.processor_s()
        for _ in range(500):
            sock.sendto(b"F\x01", receiver.address)
        deadline = time.monotonic() + 10.0
        while receiver.processor_s() == before and time.monotonic() < deadline:
            time.sleep(0.01)
        assert receiver.processor_s() > before


def test_a_node_that_does_not_come_up_is_told(tmp_path: Path) -> None:
    with NodeProcess(tmp_path, NodeFile({}, {})) as node, pytest.raises(NodeError, match="no node came up"):
        node.start()
