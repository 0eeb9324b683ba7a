"""`irisstack settings` against a simulated etcd cluster, through the command line."""

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from irisstack.__main__ import main
from irisstack.lab.standins.etcd_cluster import Availability
from irisstack.lab.standins.etcd_server import EtcdServer
from irisstack.node import settings_publisher
from irisstack.node.config import HostPort
from irisstack.node.settings_publisher import PublishError, SettingsPublisher

EXAMPLE = Path(__file__).resolve().parents[2] / "examples" / "config.json"
PREFIX = "/irisstack/settings/"
VALID_DOCUMENT = {"allowed/attemptsCap": 3, "overShareWorth": 0.5}


@pytest.fixture
def server() -> Iterator[EtcdServer]:
    with EtcdServer(3) as running:
        yield running


@pytest.fixture
def node_file(tmp_path: Path, server: EtcdServer) -> Path:
    raw = json.loads(EXAMPLE.read_text())
    raw["dynamic_settings"] = {"members": server.addresses, "prefix": PREFIX}
    path = tmp_path / "node.json"
    path.write_text(json.dumps(raw))
    return path


def write_document(folder: Path, document: object) -> str:
    path = folder / "document.json"
    path.write_text(json.dumps(document))
    return str(path)


def published_items(server: EtcdServer, node_file: Path, capfd: pytest.CaptureFixture[str]) -> dict[str, Any]:
    """The items that `irisstack settings show` prints."""
    capfd.readouterr()
    assert main(["settings", "show", "--json", "--node", str(node_file)]) == 0
    shown = json.loads(capfd.readouterr().out)
    assert shown["revision"] == server.cluster.store.revision
    items: dict[str, Any] = shown["items"]
    return items


def publish(node_file: Path, document: object) -> int:
    return main(["settings", "publish", write_document(node_file.parent, document), "--node", str(node_file)])


def test_published_document_is_shown_and_replaced_in_one_revision(
    server: EtcdServer, node_file: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    assert publish(node_file, VALID_DOCUMENT) == 0
    assert capfd.readouterr().out == "published as revision 2\n"
    assert published_items(server, node_file, capfd) == VALID_DOCUMENT
    assert publish(node_file, {"allowed/attemptsCap": 4}) == 0
    assert capfd.readouterr().out == "published as revision 3\n"
    assert published_items(server, node_file, capfd) == {"allowed/attemptsCap": 4}


def test_publishing_an_unchanged_document_creates_no_revision(
    server: EtcdServer, node_file: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    server.cluster.put(f"{PREFIX}allowed/attemptsCap".encode(), b" 3 ")
    assert publish(node_file, {"allowed/attemptsCap": 3}) == 0
    assert "no changes: revision 2" in capfd.readouterr().out
    assert server.cluster.store.revision == 2


@pytest.mark.parametrize(
    ("document", "text"),
    [
        ({"allowed/attemptsCap": "three"}, "attemptsCap"),
        ({"lanes/fast": {"name": "fast"}}, "lanes"),
        ({"overShareWorth": 0.5, "x": "y" * 140_000}, "at most 131072 bytes"),
    ],
)
@pytest.mark.parametrize("command", ["check", "publish"])
def test_invalid_document_is_rejected_with_its_path_and_not_written(
    server: EtcdServer,
    node_file: Path,
    capfd: pytest.CaptureFixture[str],
    document: dict[str, Any],
    text: str,
    command: str,
) -> None:
    file = write_document(node_file.parent, document)
    assert main(["settings", command, file, "--node", str(node_file)]) == 1
    out, err = capfd.readouterr()
    assert out == ""
    assert text in err
    assert "Traceback" not in err
    assert server.cluster.store.revision == 1


def test_valid_document_is_reported_as_valid(node_file: Path, capfd: pytest.CaptureFixture[str]) -> None:
    file = write_document(node_file.parent, VALID_DOCUMENT)
    assert main(["settings", "check", file, "--node", str(node_file)]) == 0
    assert capfd.readouterr().out == f"{file}: valid document with 2 items\n"


def test_unreachable_member_is_skipped(
    server: EtcdServer, node_file: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    server.cluster.set_availability(0, Availability.DOWN)
    assert publish(node_file, VALID_DOCUMENT) == 0
    assert published_items(server, node_file, capfd) == VALID_DOCUMENT


def test_unreachable_cluster_is_reported_in_one_line(
    server: EtcdServer, node_file: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    for number in range(3):
        server.cluster.set_availability(number, Availability.DOWN)
    assert publish(node_file, VALID_DOCUMENT) == 1
    assert capfd.readouterr().err.startswith("irisstack: no member answered: ")


@pytest.mark.parametrize("document", [[1], "text"])
def test_file_that_holds_no_object_is_rejected(
    node_file: Path, capfd: pytest.CaptureFixture[str], document: object
) -> None:
    assert publish(node_file, document) == 1
    assert "expected an object of values by path, got " in capfd.readouterr().err


def test_node_file_without_dynamic_settings_is_a_usage_error(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    assert main(["settings", "show", "--node", str(EXAMPLE)]) == 2
    assert "dynamic_settings" in capfd.readouterr().err


def member_addresses(server: EtcdServer) -> list[HostPort]:
    addresses = [address.rpartition(":") for address in server.addresses]
    return [(host, int(port)) for host, _, port in addresses]


@pytest.mark.parametrize("other_change", ["put", "delete", "put of another key"])
def test_concurrent_change_is_not_overwritten(server: EtcdServer, other_change: str) -> None:
    publisher = SettingsPublisher(member_addresses(server), PREFIX)
    publisher.publish(publisher.read(), {"a": 1, "b": 2})
    before = publisher.read()
    if other_change == "put":
        server.cluster.put(f"{PREFIX}a".encode(), b"7")
    elif other_change == "delete":
        server.cluster.delete(f"{PREFIX}a".encode())
    else:
        server.cluster.put(f"{PREFIX}c".encode(), b"7")
    revision = server.cluster.store.revision
    with pytest.raises(PublishError, match="the document has changed since revision 2; nothing was written"):
        publisher.publish(before, {"a": 3, "b": 2})
    assert server.cluster.store.revision == revision


def test_more_changes_than_a_transaction_holds_are_rejected(server: EtcdServer) -> None:
    publisher = SettingsPublisher(member_addresses(server), PREFIX)
    limit = settings_publisher.MAX_CHANGES
    assert publisher.publish(publisher.read(), {f"lanes/{i}": i for i in range(limit)}) == 2
    with pytest.raises(PublishError, match="at most 127 changes"):
        publisher.publish(publisher.read(), {f"tenants/{i}": i for i in range(limit)})
