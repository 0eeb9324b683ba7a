"""A restart where lists are pushed and discovery is slow: no call may go to an endpoint that is gone."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

import signal

import rig

TO_THE_NODE_STARTED = 0.6
"""Seconds from SIGKILL to the next start, by the protocol page."""
SLOW_ANSWER = 0.9
"""Seconds that discovery takes to answer. Calls to it time out after 1 s by the site files that say so."""
GRACE = 0.5 + 0.05
"""Seconds by the settings of the site, and 50 ms more on sockets."""
MESSAGES = 40


def site_settings() -> dict[str, object]:
    settings = rig.settings(discovery="pushed", weights="off", report={"how": "off", "names": []})
    settings["invariants"] = {**settings["invariants"], "drainGrace": 0.5, "fall": 2.0}
    settings["shapes"] = ["bulk", "standard"]
    settings["extra"] = {**settings["extra"], "batchByKind": [20, 1], "separateRoutes": [True, False]}
    settings["lanes"] = [
        {**settings["lanes"][0], "name": "rota-event", "slo": 4.0, "hardLimit": 24.0, "group": "zone"}
    ]
    return settings


def case(record: rig.Record, folder: Path) -> tuple[bool, str]:
    platform = rig.Platform(record)
    old, new = rig.Endpoint(record, "s-1"), rig.Endpoint(record, "s-2")
    platform.update(old.member(1, "standard"))
    node = rig.Node(record, folder, platform.address, platform.document(), site_settings())
    node.start()
    node.wait_ready()
    client = rig.Client(record, node.port)
    for _ in range(5):
        client.submit("rota-event", 1, 24.0)
        time.sleep(0.2)
    if len(old.calls) < 5:
        raise rig.CannotRun("the node did not deliver before the restart")
    node.end(signal.SIGKILL)
    # While the node is down its endpoint is replaced: s-1 goes, s-2 serves destination 1 from now on. An
    # endpoint of destination 2 is started at the address of s-1.
    platform.update(
        old.member(1, "standard", "DELETED"),
        new.member(1, "standard"),
        {**old.member(2, "standard"), "id": "s-9"},
    )
    record.add("replaced", address=old.address, was="s-1 of destination 1", now="s-9 of destination 2")
    time.sleep(TO_THE_NODE_STARTED)
    if rig.TROUBLE:
        platform.answer_delay = SLOW_ANSWER
    node.start()
    node.wait_ready()
    ready_at = rig.now()  # later than the first moment of the process, from which the drain counts as told
    for _ in range(MESSAGES):
        client.submit("rota-event", 1, 24.0)
        time.sleep(0.05)
    time.sleep(2.0)
    if node.crashed:
        return False, "the node has crashed"
    late = [call for call in old.calls if call.first_byte_at > ready_at + GRACE]
    if not new.calls:
        raise rig.CannotRun("the node never heard of the new endpoint")
    right = {call.id for call in new.calls if call.outcome == "200"}
    astray = [call for call in late if call.outcome == "200" and call.id not in right]
    latest = max((call.first_byte_at - ready_at for call in late), default=0.0)
    return not late, (
        f"{len(late)} calls of destination 1 after the grace to what is an endpoint of destination 2, the "
        f"latest {latest:.2f} s after the node was ready; {len(astray)} of these messages ran there alone"
    )


rig.main(__file__, case)
