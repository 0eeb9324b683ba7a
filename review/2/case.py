"""Case 2: an endpoint goes after 13.5 s in which the calls for the list failed by waiting too long."""

import asyncio
import sys
from pathlib import Path

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

NODES = 3
CALL_WAITS_S = 1.0
"""For which a failing call waits: `timeout_ms` of `[discovery]`."""
TROUBLE_S = 13.5
"""Discovery's calls fail for so long; `discovery_stale` lasts 10 to 25 s."""
TOLD_AFTER_S = 6.0
"""A change counts as told so long after discovery had it and could be reached."""
GRACE_S, SLACK_S, MACHINE_S = 0.25, 0.05, 0.15
"""The drain's grace, the slack of the rules on sockets, and an allowance for a busy machine."""
MESSAGES_PER_S = 6.0
"""At each node."""


async def case(record: Record, place: Path, nodes: list[Node], standins: list[Listener]) -> bool:
    address, other, replacement = (Endpoint(record, name) for name in ("s-1", "s-2", "s-3"))
    for endpoint in (address, other, replacement):
        await endpoint.start()
        standins.append(endpoint)
    members = [address.member(1, "minor-host"), other.member(2, "minor-host")]
    platform = Platform(record, members)
    await platform.start()
    standins.append(platform)
    known = {"revision": platform.revision, "complete": True, "members": members}
    for i in range(NODES):
        node = Node(record, place, f"n{i}", platform.host_port, i)
        node.configure(flood_relay_settings(NODES), known)
        nodes.append(node)
        node.start()
    for node in nodes:
        await node.ready()

    client = Client(record)
    submitting = [asyncio.create_task(submit(client, node)) for node in nodes]
    await asyncio.sleep(4.0)
    if TROUBLE:
        platform.crowded = CALL_WAITS_S
        platform.end_watches()
        began = record.add("discovery_fails")
        await asyncio.sleep(TROUBLE_S)
        platform.crowded = None
        record.add("discovery_serves_again", after_s=round(now() - began, 2))
    else:
        await asyncio.sleep(TROUBLE_S)
    # From here on discovery answers each call at once. s-3 takes the place of s-1 at destination 1, and a new
    # endpoint of destination 2 gets the address of s-1. All of it counts as told when it is written to a
    # watch, and 6 s later at the latest.
    await asyncio.sleep(0.1)
    platform.change(**replacement.member(1, "minor-host"))
    changed = platform.change(id="s-1", phase="DELETED")
    address.hand_over("s-9")
    platform.change(**address.member(2, "minor-host"))
    await asyncio.sleep(16.0)
    for task in submitting:
        task.cancel()
    await asyncio.sleep(0.5)

    latest = changed + TOLD_AFTER_S + GRACE_S + SLACK_S + MACHINE_S
    late = [call for call in address.calls if call["first_byte"] > latest]
    record.add(
        "judged",
        gone_at=round(changed, 3),
        last_call_allowed_at=round(latest, 3),
        calls_for_destination_1_after_that=len(late),
        latest_s_after_the_change=round(max(c["first_byte"] for c in address.calls) - changed, 2),
        messages_given_to_destination_2=sum(len(call["ids"]) for call in late),
        taken=len(client.taken),
    )
    if len(client.taken) < 100 or not replacement.calls:
        raise RuntimeError("too few messages were taken on")
    print(f"{len(late)} calls to the endpoint after it counted as told to be gone and the grace was over")
    return not late


async def submit(client: Client, node: Node) -> None:
    count = 0
    while True:
        count += 1
        await client.submit(node.port, "warning-notice", 1, 16.0, key=f"{node.name}-{count:08x}")
        await asyncio.sleep(1.0 / MESSAGES_PER_S)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
