"""The log and the counters say how much memory a node holds, and what holds it when the limit comes near."""

from pathlib import Path

import pytest
from structlog.testing import capture_logs

from irisstack.node.config import ConfigError, load
from irisstack.node.counters import Counters
from irisstack.node.memory import LOG_INTERVAL_CHECKS, MemoryMonitor, resident_bytes
from tests.node_support import ScriptedEndpoint, eventually, node_and_platform

LIMIT_BYTES = 1024 * 1024


def test_high_memory_is_logged_with_what_holds_it_and_not_at_every_check() -> None:
    counters = Counters()
    monitor = MemoryMonitor(LIMIT_BYTES, lambda: {"clients": 3}, counters)
    with capture_logs() as logs:
        monitor.check(LIMIT_BYTES // 2)
        for _ in range(LOG_INTERVAL_CHECKS):
            monitor.check(LIMIT_BYTES)
        monitor.check(LIMIT_BYTES // 2)
        monitor.check(LIMIT_BYTES)
    assert [(entry["event"], entry["resident_kb"], entry["clients"]) for entry in logs] == [
        ("memory_high", 1024, 3)
    ] * 2
    assert counters.snapshot()["memory_resident_max_kb"] == 1024


def test_resident_memory_is_read_from_the_system() -> None:
    before = resident_bytes()
    held = bytearray(b"x" * 20_000_000)
    assert resident_bytes() - before > 15_000_000
    del held


def test_counters_tell_why_clients_connections_ended_and_how_many_there_were(tmp_path: Path) -> None:
    with node_and_platform(tmp_path, ScriptedEndpoint()) as (node, _):
        assert node.send_request(b"NONSENSE\r\n\r\n").status == 400
        assert node.submit("m1").status == 202
        counters = eventually(
            lambda: (found if (found := node.counters()).get("clients_closed_client_ended") else None)
        )
        assert counters["clients_closed_unreadable_request"] == counters["unreadable_400"] == 1
        assert counters["clients_max"] >= 1
        assert counters["memory_resident_max_kb"] > 1024
        assert '"memory_limit_kb": 187500' in node.log.read_text()


def test_memory_limit_that_is_not_positive_is_rejected(tmp_path: Path) -> None:
    example = Path("examples/config.json").read_text()
    (tmp_path / "config.json").write_text(example.replace('"memory_mb": 192', '"memory_mb": 0'))
    with pytest.raises(ConfigError, match=r"limits\.memory_mb: expected more than 0, got 0"):
        load({"RELAY_CONFIG": str(tmp_path / "config.json"), "RELAY_STATE": str(tmp_path)})
