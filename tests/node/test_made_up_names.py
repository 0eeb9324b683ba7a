"""Names that clients make up leave no memory behind once their requests are answered."""

from collections.abc import Callable
from pathlib import Path

import pytest

from tests.node.hostile_clients import anonymous_memory_bytes
from tests.node_support import ClientConnection, Node, ScriptedEndpoint, message_request, node_and_platform

CLIENTS = 200
WARM_UP, REQUESTS = 2_000, 10_000
"""Requests until buffers and tables have their size, and those behind them, each under new names."""
MAX_GROWTH_BYTES = 100 * REQUESTS
"""A name that is kept takes up more than 100 bytes."""

SHORT = "0.001"
REQUEST_MAKERS: dict[str, Callable[[int], bytes]] = {
    "id": lambda number: message_request(f"m{number}", X_Timeout=SHORT),
    "class": lambda number: message_request(f"m{number}", f"class-{number}"),
    "tenant": lambda number: message_request(f"m{number}", X_Tenant_Id=f"tenant-{number}"),
    "destination": lambda number: message_request(
        f"m{number}", X_Consignee=f"dest={number}", X_Timeout=SHORT
    ),
}


def send_requests(
    clients: list[ClientConnection], make_request: Callable[[int], bytes], numbers: range
) -> None:
    """Send a request for each number, and read each answer: what was only written need not be processed."""
    for start in range(numbers.start, numbers.stop, len(clients)):
        for offset, client in enumerate(clients):
            client.send(make_request(start + offset))
        for client in clients:
            assert client.read_response().status in (400, 404, 429)


def memory_growth(node: Node, make_request: Callable[[int], bytes]) -> int:
    assert node.process is not None
    clients = [node.connect() for _ in range(CLIENTS)]
    send_requests(clients, make_request, range(1_000, 1_000 + WARM_UP))
    before = anonymous_memory_bytes(node.process.pid)
    first = 1_000 + WARM_UP
    send_requests(clients, make_request, range(first, first + REQUESTS))
    growth = anonymous_memory_bytes(node.process.pid) - before
    for client in clients:
        client.close()
    return growth


@pytest.mark.parametrize("kind", REQUEST_MAKERS)
def test_made_up_names_are_not_kept(tmp_path: Path, kind: str) -> None:
    with node_and_platform(tmp_path, ScriptedEndpoint(), sockets=1024) as (node, _):
        assert memory_growth(node, REQUEST_MAKERS[kind]) < MAX_GROWTH_BYTES


def test_made_up_destinations_are_not_kept_where_there_is_no_list(tmp_path: Path) -> None:
    with node_and_platform(tmp_path, sockets=1024) as (node, _):
        assert memory_growth(node, REQUEST_MAKERS["destination"]) < MAX_GROWTH_BYTES
