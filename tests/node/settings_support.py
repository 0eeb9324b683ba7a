"""A node with dynamic settings, and a stand-in for the cluster that publishes them."""

import contextlib
import json
import threading
from collections.abc import Callable, Iterator, Mapping
from concurrent.futures import Future
from pathlib import Path
from queue import Empty, SimpleQueue
from typing import Any

import gevent

from irisstack.lab.standins import etcd
from irisstack.lab.standins.etcd_server import EtcdServer
from tests.node_support import SETTINGS, Node, ScriptedEndpoint, ScriptedPlatform, eventually

PREFIX = "/irisstack/settings/"
POLL_INTERVAL_S = 0.005
"""Seconds between checks of the cluster's thread for an operation of a test."""

LANES: dict[str, dict[str, Any]] = {lane["name"]: lane for lane in SETTINGS["lanes"]}
"""The classes in the node's file, by name."""


def lane_items(*names: str, **others: Mapping[str, Any]) -> dict[str, Any]:
    """The items that define the named classes of the file, and others as given."""
    return {f"lanes/{name}": lane for name, lane in [*((n, LANES[n]) for n in names), *others.items()]}


class SettingsCluster:
    """A cluster of one member that runs in its own thread with its own gevent hub."""

    def __init__(self) -> None:
        self._operations: SimpleQueue[tuple[Callable[[EtcdServer], Any], Future[Any]]] = SimpleQueue()
        self._addresses: Future[list[str]] = Future()
        self._stopping = False
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()
        self.addresses = self._addresses.result()

    def _serve(self) -> None:
        with EtcdServer(1) as server:
            self._addresses.set_result(server.addresses)
            while not self._stopping:
                with contextlib.suppress(Empty):
                    operation, future = self._operations.get_nowait()
                    future.set_result(operation(server))
                gevent.sleep(POLL_INTERVAL_S)

    def _execute(self, operation: Callable[[EtcdServer], Any]) -> Any:
        future: Future[Any] = Future()
        self._operations.put((operation, future))
        return future.result()

    def publish(self, items: Mapping[str, Any], *deleted_paths: str) -> int:
        """Set items and delete others in one revision; returns that revision."""
        puts = [etcd.PutRequest(f"{PREFIX}{p}".encode(), json.dumps(v).encode()) for p, v in items.items()]
        deletes = [etcd.DeleteRangeRequest(f"{PREFIX}{path}".encode()) for path in deleted_paths]

        def write(server: EtcdServer) -> int:
            server.cluster.members[0].execute(etcd.TxnRequest((), (*puts, *deletes), ()))
            return server.cluster.store.revision

        return int(self._execute(write))

    def stop(self) -> None:
        self._stopping = True
        self._thread.join()


def logged_events(node: Node, event: str) -> list[dict[str, Any]]:
    """The log lines with this event, of all processes of the node."""
    lines = [json.loads(line) for line in node.log.read_text().splitlines() if line.startswith("{")]
    return [line for line in lines if line["event"] == event]


def wait_until_in_force(node: Node, revision: int) -> None:
    """Wait until a revision, or a later one, is in force in the node's current process."""

    def reached() -> bool:
        lines = [json.loads(line) for line in node.log.read_text().splitlines() if line.startswith("{")]
        for line in reversed(lines):
            if line["event"] == "serving":
                return False
            if line["event"] == "settings_in_force":
                return bool(line["revision"] >= revision)
        return False

    eventually(reached, f"revision {revision} in force")


@contextlib.contextmanager
def dynamic_settings_node(
    folder: Path, *endpoints: ScriptedEndpoint, start: bool = True, **config_data: Any
) -> Iterator[tuple[Node, ScriptedPlatform, SettingsCluster]]:
    """A node that follows a cluster without published settings; the endpoints belong to destination 1."""
    platform, cluster = ScriptedPlatform(), SettingsCluster()
    for number, peer in enumerate(endpoints, start=1):
        platform.add_member(peer, number, cell=1)
    node = Node(folder, platform)
    node.config_data.update(dynamic_settings={"members": cluster.addresses, "prefix": PREFIX}, **config_data)
    try:
        yield node.start() if start else node, platform, cluster
    finally:
        if node.process is not None and node.process.poll() is None:
            node.kill()
        platform.close()
        cluster.stop()
        for endpoint in endpoints:
            endpoint.close()
