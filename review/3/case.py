"""Case 3: a clump of long messages waits at a destination that hangs, and the state folder is overfilled."""

import asyncio
import os
import subprocess
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

DISK_MB = 3
BODY_BYTES = 60_000
CLUMP = 26
CLUMP_TAKES_S = 0.1
"""In which the clients write the clump, on a way that they share, so that its messages end together."""
HANG_S = 14.0
LOG_EVERY_S = 0.2


class Hanging(Endpoint):
    """Takes calls and answers none while it hangs."""

    hangs = False

    async def respond(self, call: dict[str, Any], batch: bool) -> bytes | None:
        while self.hangs:
            await asyncio.sleep(0.1)
        return await super().respond(call, batch)


async def case(record: Record, place: Path, nodes: list[Node], standins: list[Listener]) -> bool:
    hanging, healthy = Hanging(record, "s-1"), Endpoint(record, "s-2")
    for endpoint in (hanging, healthy):
        await endpoint.start()
        standins.append(endpoint)
    members = [hanging.member(1, "minor-host"), healthy.member(2, "minor-host")]
    platform = Platform(record, members)
    await platform.start()
    standins.append(platform)
    known = {"revision": platform.revision, "complete": True, "members": members}
    node = Node(record, place, "n0", platform.host_port)
    node.configure(flood_relay_settings(2), known, disk_mb=DISK_MB)
    nodes.append(node)
    node.start()
    await node.ready()
    seconds = 4.0 + HANG_S + 4.0
    watch = subprocess.Popen(
        [sys.executable, str(FOLDER.parent / "lib" / "folder_watch.py"), str(node.state), str(seconds)],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        client = Client(record)
        # The clients' connections are open and in use before.
        await asyncio.gather(*(submit(client, node, 2, i) for i in range(CLUMP)))
        await asyncio.sleep(2.0)
        hanging.hangs = TROUBLE
        began = record.add("endpoint_hangs" if TROUBLE else "no_disruption")
        together = now() + CLUMP_TAKES_S
        await asyncio.gather(*(submit(client, node, 1, 100 + i, together) for i in range(CLUMP)))
        count = 1000
        while now() < began + HANG_S:
            count += 1
            await submit(client, node, 2, count)
            await asyncio.sleep(LOG_EVERY_S)
        hanging.hangs = False
        record.add("endpoint_answers_again")
        output = await asyncio.to_thread(lambda: watch.communicate(timeout=30)[0])
    finally:
        watch.kill()
        watch.wait()
    lines = output.splitlines()
    most = max(int(line.split()[1]) for line in lines[:-1])
    limit = DISK_MB * 1024 * 1024
    for line in lines:
        record.add("folder", seen=line)
    record.add("judged", most_bytes=most, limit_bytes=limit, taken=len(client.taken))
    if len(client.taken) < CLUMP:
        raise RuntimeError("too few messages were taken on")
    print(f"the state folder held up to {most} bytes, {limit} are allowed")
    return most <= limit


async def submit(client: Client, node: Node, dest: int, number: int, last_bytes_at: float = 0.0) -> None:
    await client.submit(
        node.port,
        "warning-notice",
        dest,
        16.0,
        key=f"{number:08x}",
        body=os.urandom(BODY_BYTES),
        last_bytes_at=last_bytes_at,
    )


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
