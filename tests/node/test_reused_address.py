"""An endpoint that comes up at the address of another one is not taken for it."""

from pathlib import Path
from typing import Any

import pytest

from tests.node_support import ScriptedEndpoint, ScriptedPlatform, eventually, node_and_platform

OLD, NEW = 1, 2
"""Numbers of the destination that an address belonged to first, and of the one that it belongs to now."""


@pytest.mark.parametrize("new_id", ["s-1", "s-9"], ids=["same id", "new id"])
@pytest.mark.parametrize("complete", [False, True], ids=["change", "whole list"])
def test_no_message_goes_to_an_address_that_serves_another_destination_now(
    tmp_path: Path, new_id: str, complete: bool
) -> None:
    moved, other = ScriptedEndpoint(), ScriptedEndpoint()
    platform = ScriptedPlatform()
    with node_and_platform(tmp_path, moved, platform=platform) as (node, _):
        member = platform.members[0]
        assert node.submit("before").status == 202
        eventually(lambda: moved.calls_with("before"))
        replaced: dict[str, Any] = {**member, "id": new_id, "cell": NEW}
        platform.members[:] = [replaced, platform.add_member(other, 3, cell=OLD)]
        platform.revision += 1
        platform.send_update(
            {"revision": platform.revision, "complete": complete, "members": platform.members}
        )
        eventually(lambda: node.submit("probe", X_Consignee=f"dest={NEW}").status in (200, 202))
        eventually(lambda: moved.calls_with("probe"))
        ids = [f"old-{number}" for number in range(12)]
        for id_ in ids:
            assert node.submit(id_, "unsafe", X_Consignee=f"dest={OLD}").status == 202
        eventually(lambda: all(moved.calls_with(id_) or other.calls_with(id_) for id_ in ids))
        assert [id_ for id_ in ids if moved.calls_with(id_)] == []
        other.close()


def test_a_destination_stays_known_when_its_only_address_goes_to_another_one(tmp_path: Path) -> None:
    moved, late = ScriptedEndpoint(), ScriptedEndpoint()
    platform = ScriptedPlatform()
    with node_and_platform(tmp_path, moved, platform=platform) as (node, _):
        eventually(lambda: platform.watchers, "a watch")
        member = platform.members[0]
        platform.update_members({**member, "phase": "DELETED"}, {**member, "id": "s-9", "cell": NEW})
        eventually(lambda: node.submit("probe", X_Consignee=f"dest={NEW}").status in (200, 202))
        assert node.submit("waits", X_Consignee=f"dest={OLD}").status == 202
        platform.update_members(platform.add_member(late, 3, cell=OLD))
        eventually(lambda: late.calls_with("waits"))
        assert not moved.calls_with("waits")
        late.close()
