"""`irisstack settings` against the stand-in of a cluster, as an operator uses it."""

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
GOOD = {"allowed/attemptsCap": 3, "overShareWorth": 0.5}


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


def written(folder: Path, document: object) -> str:
    path = folder / "document.json"
    path.write_text(json.dumps(document))
    return str(path)


def published(server: EtcdServer, node_file: Path, capfd: pytest.CaptureFixture[str]) -> dict[str, Any]:
    """What `show` prints."""
    capfd.readouterr()
    assert main(["settings", "show", "--json", "--node", str(node_file)]) == 0
    shown = json.loads(capfd.readouterr().out)
    assert shown["revision"] == server.cluster.store.revision
    items: dict[str, Any] = shown["items"]
    return items


def publish(node_file: Path, document: object) -> int:
    return main(["settings", "publish", written(node_file.parent, document), "--node", str(node_file)])


def test_a_published_document_is_shown_and_replaced_in_one_revision(
    server: EtcdServer, node_file: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    assert publish(node_file, GOOD) == 0
    assert capfd.readouterr().out == "published as revision 2\n"
    assert published(server, node_file, capfd) == GOOD
    assert publish(node_file, {"allowed/attemptsCap": 4}) == 0
    assert capfd.readouterr().out == "published as revision 3\n"
    assert published(server, node_file, capfd) == {"allowed/attemptsCap": 4}


def test_what_is_published_already_makes_no_revision(
    server: EtcdServer, node_file: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    server.cluster.put(f"{PREFIX}allowed/attemptsCap".encode(), b" 3 ")
    assert publish(node_file, {"allowed/attemptsCap": 3}) == 0
    assert "nothing to change: revision 2" in capfd.readouterr().out
    assert server.cluster.store.revision == 2


@pytest.mark.parametrize(
    ("document", "text"),
    [
        ({"allowed/attemptsCap": "three"}, "attemptsCap"),
        ({"lanes/fast": {"name": "fast"}}, "lanes"),
        ({"overShareWorth": 0.5, "x": "y" * 140_000}, "at most 131072 bytes"),
    ],
)
@pytest.mark.parametrize("verb", ["check", "publish"])
def test_a_bad_document_is_refused_with_its_path_and_not_written(
    server: EtcdServer,
    node_file: Path,
    capfd: pytest.CaptureFixture[str],
    document: dict[str, Any],
    text: str,
    verb: str,
) -> None:
    file = written(node_file.parent, document)
    assert main(["settings", verb, file, "--node", str(node_file)]) == 1
    out, err = capfd.readouterr()
    assert out == ""
    assert text in err
    assert "Traceback" not in err
    assert server.cluster.store.revision == 1


def test_a_good_document_is_said_to_be_one(node_file: Path, capfd: pytest.CaptureFixture[str]) -> None:
    file = written(node_file.parent, GOOD)
    assert main(["settings", "check", file, "--node", str(node_file)]) == 0
    assert capfd.readouterr().out == f"{file}: a good document of 2 items\n"


def test_a_member_that_is_down_is_passed_over(
    server: EtcdServer, node_file: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    server.cluster.set_availability(0, Availability.DOWN)
    assert publish(node_file, GOOD) == 0
    assert published(server, node_file, capfd) == GOOD


def test_no_member_at_all_is_one_line(
    server: EtcdServer, node_file: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    for number in range(3):
        server.cluster.set_availability(number, Availability.DOWN)
    assert publish(node_file, GOOD) == 1
    assert capfd.readouterr().err.startswith("irisstack: no member answered: ")


@pytest.mark.parametrize("document", [[1], "text"])
def test_a_file_that_is_no_object_is_refused(
    node_file: Path, capfd: pytest.CaptureFixture[str], document: object
) -> None:
    assert publish(node_file, document) == 1
    assert "an object of values by path is due" in capfd.readouterr().err


def test_a_node_without_dynamic_settings_is_asked_wrongly(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    assert main(["settings", "show", "--node", str(EXAMPLE)]) == 2
    assert "dynamic_settings" in capfd.readouterr().err


def members_of(server: EtcdServer) -> list[HostPort]:
    places = [address.rpartition(":") for address in server.addresses]
    return [(host, int(port)) for host, _, port in places]


@pytest.mark.parametrize("theirs", ["put", "delete", "put of another key"])
def test_a_change_by_another_in_between_is_not_overwritten(server: EtcdServer, theirs: str) -> None:
    publisher = SettingsPublisher(members_of(server), PREFIX)
    publisher.publish(publisher.read(), {"a": 1, "b": 2})
    before = publisher.read()
    if theirs == "put":
        server.cluster.put(f"{PREFIX}a".encode(), b"7")
    elif theirs == "delete":
        server.cluster.delete(f"{PREFIX}a".encode())
    else:
        server.cluster.put(f"{PREFIX}c".encode(), b"7")
    revision = server.cluster.store.revision
    with pytest.raises(PublishError, match="the document has changed since revision 2; nothing was written"):
        publisher.publish(before, {"a": 3, "b": 2})
    assert server.cluster.store.revision == revision


def test_more_changes_than_a_transaction_holds_are_refused(server: EtcdServer) -> None:
    publisher = SettingsPublisher(members_of(server), PREFIX)
    most = settings_publisher.MAX_CHANGES
    assert publisher.publish(publisher.read(), {f"lanes/{i}": i for i in range(most)}) == 2
    with pytest.raises(PublishError, match="at most 127 changes"):
        publisher.publish(publisher.read(), {f"tenants/{i}": i for i in range(most)})
