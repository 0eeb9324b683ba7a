"""Case 3: a node starts again where lists are pushed, and discovery is slow to answer its first call."""

import asyncio
import signal
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from standins import (  # noqa: E402
    TROUBLE,
    Client,
    Endpoint,
    Listener,
    Node,
    Platform,
    Record,
    flood_relay_settings,
    now,
    run_case,
)

NODES = 2
ANSWER_AFTER_S = 1.0
"""Time that discovery takes for the first object of a watch."""
RESTART_AFTER_S = 0.6
"""From SIGKILL to the next start."""
GRACE_S, SLACK_S, MACHINE_S = 0.5, 0.05, 0.1
"""The drain's grace, the slack of the rules on sockets, and an allowance for a busy machine."""
MESSAGES_PER_S = 8.0


def settings() -> dict[str, Any]:
    """derby-main: the list is pushed, 500 ms of grace, one keyed class."""
    changed = flood_relay_settings(
        NODES,
        discovery="pushed",
        weights="off",
        report={"how": "off", "names": []},
        invariants={"cold": 13.0, "drainGrace": GRACE_S, "fall": 2.0},
        allowed={"attemptsCap": 12, "dialTimeout": 1.0},
        failureDomains=["hall-a", "hall-b"],
        shapes=["bulk", "standard"],
        extra={"batchByKind": [20, 1], "separateRoutes": [True, False]},
        lanes=[
            {
                "group": "zone",
                "hardLimit": 24.0,
                "importance": 1.0,
                "lateValue": 0.4,
                "name": "rota-event",
                "repeat": "idempotency_key",
                "slo": 4.0,
                "window": 15.0,
            }
        ],
        tenants=[],
    )
    del changed["invariants"]["askWithin"]
    return changed


async def case(record: Record, place: Path, nodes: list[Node], standins: list[Listener]) -> bool:
    address, other, replacement = (Endpoint(record, name) for name in ("s-1", "s-2", "s-3"))
    for endpoint in (address, other, replacement):
        await endpoint.start()
        standins.append(endpoint)
    members = [address.member(1, "standard"), other.member(2, "standard")]
    for member in members:
        member["locality"] = "hall-a"
    platform = Platform(record, members)
    await platform.start()
    standins.append(platform)
    known = {"revision": platform.revision, "complete": True, "members": [dict(m) for m in members]}
    for i in range(NODES):
        node = Node(record, place, f"n{i}", platform.host_port, i)
        node.configure(settings(), known)
        nodes.append(node)
        node.start()
    for node in nodes:
        await node.ready()

    client = Client(record)
    running = [asyncio.create_task(submit(client, node)) for node in nodes]
    await asyncio.sleep(3.0)
    restarted = nodes[0]
    running[0].cancel()
    restarted.signal(signal.SIGKILL)
    restarted.kill()
    # While the node is down, s-3 takes the place of s-1 at destination 1, and a new endpoint of destination 2
    # gets the address of s-1. Discovery has this from now on.
    platform.change(**{**replacement.member(1, "standard"), "locality": "hall-a"})
    changed = platform.change(id="s-1", phase="DELETED")
    address.hand_over("s-9")
    platform.change(**{**address.member(2, "standard"), "locality": "hall-a"})
    await asyncio.sleep(RESTART_AFTER_S)
    platform.answer_after = ANSWER_AFTER_S if TROUBLE else 0.0
    restarted.configure(settings(), known)
    restarted.start()
    started = now()
    await restarted.ready()
    running[0] = asyncio.create_task(submit(client, restarted))
    await asyncio.sleep(4.0)
    for task in running:
        task.cancel()
    await asyncio.sleep(1.0)

    latest = {
        restarted.port: started + GRACE_S + SLACK_S + MACHINE_S,
        nodes[1].port: changed + GRACE_S + SLACK_S + MACHINE_S,
    }
    late = [
        call
        for call in address.calls
        if any(call["first_byte"] > latest[client.port_of[id_]] for id_ in call["ids"])
    ]
    record.add(
        "judged",
        gone_at=round(changed, 3),
        node_started_at=round(started, 3),
        last_calls_allowed_at={str(port): round(at, 3) for port, at in latest.items()},
        calls_for_destination_1_after_that=len(late),
        seconds_from_the_start=[round(call["first_byte"] - started, 2) for call in late],
        taken=len(client.taken),
    )
    if len(client.taken) < 30 or not replacement.calls:
        raise RuntimeError("too few messages were taken on")
    print(f"{len(late)} calls to the endpoint after it counted as told to be gone and the grace was over")
    return not late


async def submit(client: Client, node: Node) -> None:
    while True:
        count = len(client.answers)
        await client.submit(node.port, "rota-event", 1, 24.0, key=f"{node.name}-{count:08x}", tenant="")
        await asyncio.sleep(1.0 / MESSAGES_PER_S)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
