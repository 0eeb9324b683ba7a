"""A SIGHUP that comes while the node starts."""

import json
import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from irisstack.start import EarlyReload
from tests.node_support import Node, ScriptedEndpoint, ScriptedPlatform, eventually, running_node


@pytest.fixture
def sighup_by_default() -> Iterator[None]:
    """SIGHUP has its default action in a process that is launched, also if the tests run under `nohup`.

    An ignored signal is inherited: the node would seem to take it before its first line has run.
    """
    before = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    yield
    signal.signal(signal.SIGHUP, before)


def takes_sighup(pid: int) -> bool:
    """Whether SIGHUP no longer has its default action: the program's first lines have run."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    masks = dict(line.split(":", 1) for line in lines)
    handled = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
    return bool(handled >> (signal.SIGHUP - 1) & 1)


@pytest.mark.usefixtures("sighup_by_default")
def test_a_reload_while_the_node_starts_moves_discovery(tmp_path: Path) -> None:
    """Guards against a node that stays with the old address, so that nobody hears its notices."""
    old, new, endpoint = ScriptedPlatform(), ScriptedPlatform(), ScriptedEndpoint()
    node = Node(tmp_path, old)
    node.environment["RELAY_DISCOVERY"] = f"127.0.0.1:{old.port}"
    new.add_member(endpoint, 1, cell=1)
    with running_node(node, old, new, endpoint):
        node.kill()
        process = node.launch()
        eventually(lambda: takes_sighup(process.pid), "the first lines of the program")
        node.config_data["discovery"] = f"127.0.0.1:{new.port}"
        node.config.write_text(json.dumps(node.config_data))
        process.send_signal(signal.SIGHUP)
        old.close()
        eventually(node.is_healthy, "a healthy node")
        eventually(lambda: new.watchers, "a watch at the new address")


def test_signals_before_and_behind_the_nodes_own_handler_reload() -> None:
    """Guards against a signal that is lost between the two handlers."""
    early, reloads = EarlyReload(), []
    early.on_signal(signal.SIGHUP, None)
    early.forward_to(lambda: reloads.append("first"))
    assert reloads == ["first"]
    early.on_signal(signal.SIGHUP, None)
    assert reloads == ["first", "first"]


def test_a_start_without_a_signal_does_not_reload() -> None:
    """Guards against a start at which the file overrides the environment."""
    reloads: list[str] = []
    EarlyReload().forward_to(lambda: reloads.append("reload"))
    assert reloads == []
