"""Case 1: keyed messages are refused near the end of their window and take effect again after it."""

import asyncio
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

WINDOW_S, DEADLINE_S = 8.0, 16.0
"""Of the class warning-notice; the site's window is 15 s, on the days at close range it may be shorter."""
REMEMBERED_S = WINDOW_S + 0.3
"""For which the destination drops repeats: the window, the slack of 50 ms, and a standstill of 0.15 s."""
HANG_S = 9.5
"""len_s = [6.3, 21]."""
BACKOFF_S = 0.6
"""After which a refused client comes again if it was given no wait; backoff_ms = [330, 1100]."""
CLUMP = 12
"""Messages handed in together as the endpoint begins to hang."""
OTHERS_PER_S = 6.0
"""Messages for the other destinations; the one that hangs gets less than 28% of the traffic."""


def settings() -> dict[str, Any]:
    """jm-flood-relay with a shorter window for repeats."""
    changed = flood_relay_settings(2)
    changed["lanes"][0] |= {"window": WINDOW_S, "hardLimit": DEADLINE_S}
    return changed


class Keyed(Endpoint):
    """Takes effect once a key and drops its repeats for a time; while it hangs it answers nothing."""

    hangs = False

    def __init__(self, record: Record, name: str) -> None:
        super().__init__(record, name)
        self.first_effects: dict[str, float] = {}
        self.effects: list[tuple[float, str]] = []

    async def respond(self, call: dict[str, Any], batch: bool) -> bytes | None:
        for id_, key in call["keys"].items():
            if key in self.first_effects and now() < self.first_effects[key] + REMEMBERED_S:
                self.record.add("repeat_dropped", key=key, id=id_)
            else:
                self.first_effects[key] = self.record.add("effect", key=key, id=id_)
                self.effects.append((self.first_effects[key], key))
        while self.hangs:
            await asyncio.sleep(0.02)
        return await super().respond(call, batch)


async def case(record: Record, place: Path, nodes: list[Node], standins: list[Listener]) -> bool:
    hanging, second, third = (Keyed(record, name) for name in ("s-1", "s-2", "s-3"))
    members = []
    for cell, endpoint in enumerate((hanging, second, third), 1):
        await endpoint.start()
        standins.append(endpoint)
        members.append(endpoint.member(cell, "major-host"))
    platform = Platform(record, members)
    await platform.start()
    standins.append(platform)
    node = Node(record, place, "n0", platform.host_port)
    node.configure(settings(), {"revision": platform.revision, "complete": True, "members": members})
    nodes.append(node)
    node.start()
    await node.ready()

    clients = Clients(record, platform, node)
    for i in range(12):  # the node learns how long calls take
        await clients.hand_in(1 + i % 3, f"quiet-{i}")
        await asyncio.sleep(0.25)
    hanging.hangs = TROUBLE
    record.add("endpoint_hangs" if TROUBLE else "no_disruption")
    asyncio.get_running_loop().call_later(HANG_S, release, record, hanging)
    await asyncio.gather(*(clients.hand_in(1, f"warning-{i}") for i in range(CLUMP)))
    count, end = 0, now() + DEADLINE_S
    while now() < end:
        count += 1
        await clients.hand_in(2 + count % 2, f"other-{count}")
        await asyncio.sleep(1.0 / OTHERS_PER_S)
    await asyncio.sleep(1.5)

    twice: dict[str, list[float]] = {}
    for endpoint in (hanging, second, third):
        for at, key in endpoint.effects:
            twice.setdefault(key, []).append(round(at, 2))
    twice = {key: times for key, times in twice.items() if len(times) > 1}
    record.add(
        "judged",
        effects_twice=twice,
        handed_in_again=clients.again,
        taken=len(clients.client.taken),
        notices=[notice for _, notice in platform.notices],
    )
    if len(clients.client.taken) < CLUMP:
        raise RuntimeError("too few messages were taken on")
    print(f"{len(twice)} keyed messages took effect twice; {clients.again} were handed in again when refused")
    return not twice


def release(record: Record, endpoint: Keyed) -> None:
    endpoint.hangs = False
    record.add("endpoint_answers_again")


class Clients:
    """Clients that hand a message in again, once, after a refusal, and only inside its window."""

    def __init__(self, record: Record, platform: Platform, node: Node) -> None:
        self.record = record
        self.client = Client(record)
        self.again = 0
        self._node = node
        self._open: dict[str, tuple[int, str, float]] = {}  # first tries, by id
        self._tasks: set[asyncio.Task[None]] = set()
        platform.on_notice = self._on_notice

    async def hand_in(self, dest: int, key: str) -> None:
        began = now()
        id_ = await self._submit(dest, key, DEADLINE_S)
        if id_ in self.client.taken:
            self._open[id_] = dest, key, began

    async def _submit(self, dest: int, key: str, timeout: float) -> str:
        return await self.client.submit(self._node.port, "warning-notice", dest, timeout, key=key)

    def _on_notice(self, notice: dict[str, Any]) -> None:
        if notice["result"] != "bounced" or notice["ref"] not in self._open:
            return
        dest, key, began = self._open.pop(notice["ref"])
        wait = notice.get("wait_ms", 0) / 1000.0 or BACKOFF_S
        if now() + wait < began + WINDOW_S:
            task = asyncio.create_task(self._come_again(dest, key, began, wait))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _come_again(self, dest: int, key: str, began: float, wait: float) -> None:
        await asyncio.sleep(wait)
        self.again += 1
        self.record.add("handed_in_again", key=key, after_s=round(now() - began, 2))
        await self._submit(dest, key, began + DEADLINE_S - now())


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
