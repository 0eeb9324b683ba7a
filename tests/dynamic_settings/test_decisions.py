"""The settings follower against members that fail in different ways, in virtual time.

A change has to be in force within 18 s. All times here are virtual.
"""

from collections import Counter
from collections.abc import Mapping
from typing import Any

import pytest

from irisstack.dynamic_settings import decisions
from irisstack.dynamic_settings.decisions import FollowerState, ResumeState
from irisstack.dynamic_settings.events import LogLevel
from irisstack.dynamic_settings.limits import ITEM_OVERHEAD_BYTES, MAX_DOCUMENT_BYTES
from irisstack.dynamic_settings.pages import MAX_PAGE_KEYS
from tests.dynamic_settings.support import (
    BYTES_PER_S,
    CLUSTER,
    PREFIX,
    Change,
    Cluster,
    MemberMode,
    Node,
    VirtualLoop,
    created_frame,
    frame_with_changes,
)

IN_FORCE_LIMIT_S = 18.0
"""Seconds within which a change has to be in force at every node."""
SEEDS = range(40)
MAX_REQUEST_BYTES = 512
"""Upper bound of the size of the follower's requests."""


def new_cluster(**values: Any) -> Cluster:
    cluster = Cluster(VirtualLoop())
    if values:
        cluster.put(**values)
    return cluster


def settled_node(cluster: Cluster, **options: Any) -> Node:
    """A node whose watch is open and whose freshness has been confirmed."""
    node = Node(cluster, **options)
    cluster.loop.run_for(10.0)
    assert node.follower.state is FollowerState.WATCHING
    return node


def refuse_odd(items: Mapping[str, Any]) -> str:
    """A document check that refuses an odd `n`."""
    return f"n: expected an even number, got {items['n']}" if items.get("n", 0) % 2 else ""


# ---- documents and changes ----


def test_start_reads_the_whole_document_and_watches_from_the_next_revision() -> None:
    cluster = new_cluster(balancers=840, lanes__fast={"name": "fast"})
    node = settled_node(cluster)
    assert node.in_force[0][1:] == (2, {"balancers": 840, "lanes/fast": {"name": "fast"}})
    assert node.opened_watches[0].request.start_revision == 3
    assert node.snapshot_count == 1


def test_no_keys_make_an_empty_document() -> None:
    node = settled_node(new_cluster())
    assert node.document == {}


def test_a_change_is_in_force_within_100_ms() -> None:
    cluster = new_cluster(balancers=840)
    node = settled_node(cluster)
    changed_at = cluster.loop.now
    revision = cluster.put(balancers=900)
    cluster.loop.run_for(1.0)
    assert node.in_force[-1][1:] == (revision, {"balancers": 900})
    assert node.in_force[-1][0] - changed_at < 0.1


def test_a_deleted_key_is_removed_from_the_document() -> None:
    cluster = new_cluster(a=1, b=2)
    node = settled_node(cluster)
    cluster.write({"a": None})
    cluster.loop.run_for(1.0)
    assert node.document == {"b": 2}


def test_many_keys_are_read_in_pages_of_one_revision() -> None:
    values = {f"lanes/{i:03d}": str(i).encode() for i in range(3 * MAX_PAGE_KEYS - 5)}
    cluster = new_cluster()
    cluster.write(values)
    node = settled_node(cluster)
    assert len(node.document) == len(values)
    assert [page.revision for page in node.page_requests] == [0, 2, 2]
    assert {page.limit for page in node.page_requests} == {MAX_PAGE_KEYS}
    assert node.snapshot_count == 1


def test_a_change_during_the_snapshot_arrives_by_the_watch() -> None:
    cluster = new_cluster()
    cluster.write({f"lanes/{i:03d}": b"0" for i in range(2 * MAX_PAGE_KEYS)})
    node = Node(cluster)
    cluster.loop.run_for(0.02)
    cluster.write({"lanes/000": b"1", "lanes/127": b"1", "lanes/001": None})
    assert len(node.page_requests) == 1
    cluster.loop.run_for(10.0)
    assert [revision for _, revision, _ in node.in_force] == [2, 3]
    assert set(node.in_force[0][2].values()) == {0}
    assert (node.document["lanes/000"], node.document["lanes/127"]) == (1, 1)
    assert "lanes/001" not in node.document


# ---- refused documents ----


def test_a_refused_revision_is_logged_and_a_later_good_one_accepted() -> None:
    cluster = new_cluster(n=2)
    node = settled_node(cluster, check=refuse_odd)
    bad, good = cluster.put(n=3), cluster.put(m=1, n=4)
    cluster.loop.run_for(1.0)
    assert [(revision, items["n"]) for _, revision, items in node.in_force] == [(2, 2), (good, 4)]
    (line,) = node.logged("settings_refused")
    assert line.level is LogLevel.ERROR
    assert line.fields == {"revision": bad, "reason": "n: expected an even number, got 3", "in_force": 2}
    assert node.counters["settings_refused"] == 1


def test_a_document_is_refused_until_its_invalid_value_is_corrected() -> None:
    """A later change of another key does not correct it."""
    cluster = new_cluster(n=2)
    node = settled_node(cluster, check=refuse_odd)
    cluster.put(n=3)
    cluster.put(m=1)
    cluster.loop.run_for(1.0)
    assert node.document == {"n": 2}
    assert node.counters["settings_refused"] == 2
    cluster.put(n=4)
    cluster.loop.run_for(1.0)
    assert node.document == {"n": 4, "m": 1}


def test_several_revisions_in_one_frame_are_checked_one_by_one() -> None:
    cluster = new_cluster(n=0)
    node = settled_node(cluster, check=refuse_odd)
    cluster.set_all(MemberMode.SILENT_WATCH)
    for n in (2, 3, 4, 5):
        cluster.put(n=n)
    cluster.set_all(MemberMode.HEALTHY)
    cluster.loop.run_for(1.0)
    assert [items["n"] for _, _, items in node.in_force] == [0, 2, 4]
    assert [line.fields["revision"] for line in node.logged("settings_refused")] == [4, 6]
    assert len(node.opened_watches) == 1


def test_only_the_last_revisions_of_a_long_history_are_checked() -> None:
    cluster = new_cluster(n=0)
    node = settled_node(cluster)
    cluster.set_all(MemberMode.SILENT_WATCH)
    for n in range(1, decisions.MAX_PROPOSALS + 11):
        cluster.put(n=n)
    cluster.set_all(MemberMode.HEALTHY)
    cluster.loop.run_for(1.0)
    assert [items["n"] for _, _, items in node.in_force[1:]] == list(range(11, decisions.MAX_PROPOSALS + 11))
    assert node.logged("settings_superseded")[0].fields["count"] == 10


BAD_VALUES = {
    "not JSON": (b"{", "expected JSON"),
    "empty": (b"", "expected JSON"),
    "not UTF-8": (b'"\xff"', "expected JSON"),
    "NaN": (b"NaN", "expected JSON"),
    "a number out of range": (b"1e999", "expected JSON"),
    "nested too deeply": (b"[" * 60_000, "expected JSON"),
    "too large": (b" " * (MAX_DOCUMENT_BYTES + 1), "expected at most 131072 bytes, got 131073"),
}


@pytest.mark.parametrize(("value", "reason"), BAD_VALUES.values(), ids=BAD_VALUES)
@pytest.mark.parametrize("at_start", [True, False], ids=["in the snapshot", "in a change"])
def test_an_invalid_value_is_refused_with_its_path(value: bytes, reason: str, at_start: bool) -> None:
    cluster = new_cluster(good=1)
    node = None if at_start else settled_node(cluster)
    revision = cluster.write({"allowed/attemptsCap": value})
    node = node or Node(cluster)
    cluster.loop.run_for(30.0)
    (line,) = node.logged("settings_refused")
    assert (line.fields["revision"], line.fields["reason"]) == (revision, f"allowed/attemptsCap: {reason}")
    cluster.write({"allowed/attemptsCap": b"3"})
    cluster.loop.run_for(2.0)
    assert node.document == {"good": 1, "allowed/attemptsCap": 3}
    assert node.snapshot_count == 1


def test_a_key_that_is_not_utf_8_is_refused() -> None:
    cluster = new_cluster(good=1)
    node = settled_node(cluster)
    cluster.commit([Change(PREFIX + b"\xff\n", b"1")])
    cluster.loop.run_for(1.0)
    assert node.logged("settings_refused")[0].fields["reason"] == "\ufffd?: expected a path in UTF-8"
    assert node.document == {"good": 1}


def test_an_oversized_document_is_refused_until_it_shrinks() -> None:
    cluster = new_cluster(good=1)
    node = settled_node(cluster)
    half = b'"' + b"x" * (MAX_DOCUMENT_BYTES // 2) + b'"'
    cluster.write({"a": half})
    cluster.loop.run_for(12.0)
    assert set(node.document) == {"good", "a"}
    cluster.write({"b": half})
    cluster.loop.run_for(12.0)
    assert set(node.document) == {"good", "a"}
    assert "expected at most 131072 bytes, got " in node.logged("settings_refused")[0].fields["reason"]
    cluster.write({"a": None})
    cluster.loop.run_for(2.0)
    assert set(node.document) == {"good", "b"}
    assert node.snapshot_count == 1


def test_a_document_too_large_to_hold_is_dropped_and_read_again_once_it_shrinks() -> None:
    cluster = new_cluster(good=1)
    node = settled_node(cluster)
    value = b'"' + b"x" * (MAX_DOCUMENT_BYTES // 2) + b'"'
    for name in "abcde":
        cluster.write({name: value})
    cluster.loop.run_for(300.0)
    assert node.document.keys() <= {"good", "a"}
    refusals = [line.fields["reason"] for line in node.logged("settings_refused")]
    assert len(refusals) == len(set(refusals))
    for name in "bcde":
        cluster.write({name: None})
    cluster.loop.run_for(90.0)
    assert set(node.document) == {"good", "a"}


# ---- resuming after a restart or a broken watch ----


def test_a_restart_resumes_from_the_saved_revision() -> None:
    cluster = new_cluster(n=1)
    cluster.put(n=2)
    node = Node(cluster, resume_state=ResumeState(CLUSTER, 2, {"n": 1}))
    cluster.loop.run_for(1.0)
    assert [(revision, items["n"]) for _, revision, items in node.in_force] == [(2, 1), (3, 2)]
    assert node.snapshot_count == 0


def test_a_restart_without_a_cluster_uses_the_saved_document() -> None:
    cluster = new_cluster()
    cluster.set_all(MemberMode.DROPS_PACKETS)
    node = Node(cluster, resume_state=ResumeState(CLUSTER, 2, {"n": 1}))
    cluster.loop.run_for(1.0)
    assert node.document == {"n": 1}


def test_a_saved_document_that_is_refused_is_replaced_by_a_snapshot() -> None:
    cluster = new_cluster(n=4)
    node = Node(cluster, resume_state=ResumeState(CLUSTER, 2, {"n": 3}), check=refuse_odd)
    cluster.loop.run_for(1.0)
    assert node.logged("settings_refused")[0].fields["revision"] == 2
    assert [items for _, _, items in node.in_force] == [{"n": 4}]


def test_a_broken_watch_resumes_at_another_member_without_a_snapshot() -> None:
    cluster = new_cluster(n=1)
    node = settled_node(cluster)
    broken = node.watch_member
    cluster.set_mode(broken, MemberMode.REFUSES_CONNECTION)
    cluster.put(n=2)
    cluster.loop.run_for(decisions.RETRY_BASE_S + 0.1)
    assert node.document == {"n": 2}
    assert node.watch_member != broken
    assert node.snapshot_count == 1


def test_a_compaction_during_downtime_causes_one_snapshot() -> None:
    cluster = new_cluster(n=1)
    for n in range(2, 30):
        cluster.put(n=n)
    cluster.compact(20)
    node = Node(cluster, resume_state=ResumeState(CLUSTER, 5, {"n": 4}))
    cluster.loop.run_for(5.0)
    assert node.document == {"n": 29}
    assert node.snapshot_count == 1
    assert node.logged("settings_compacted")[0].fields["compact_revision"] == 20
    assert [watch.request.start_revision for watch in node.opened_watches] == [6, 31]


def test_a_compaction_during_the_snapshot_restarts_it() -> None:
    cluster = new_cluster()
    cluster.write({f"lanes/{i:03d}": b"0" for i in range(2 * MAX_PAGE_KEYS)})
    node = Node(cluster)

    def compact() -> None:
        cluster.compact(cluster.put(n=1))

    cluster.loop.call_later(0.008, compact)
    cluster.loop.run_for(10.0)
    assert node.snapshot_count == 2
    assert [revision for _, revision, _ in node.in_force] == [3]
    assert len(node.document) == 2 * MAX_PAGE_KEYS + 1


def test_a_compaction_does_not_affect_a_prefix_without_changes() -> None:
    """Checks have confirmed that the prefix has not changed up to a revision that is still in the history."""
    cluster = new_cluster(n=1)
    node = settled_node(cluster)
    for _ in range(50):
        cluster.commit([Change(b"/others", b"1")])
    cluster.loop.run_for(10.0)
    cluster.compact(50)
    cluster.set_mode(node.watch_member, MemberMode.REFUSES_CONNECTION)
    cluster.loop.run_for(5.0)
    assert node.snapshot_count == 1
    cluster.put(n=2)
    cluster.loop.run_for(1.0)
    assert node.document == {"n": 2}


def test_a_history_longer_than_a_document_is_replaced_by_a_snapshot() -> None:
    cluster = new_cluster(n=1)
    value = b'"' + b"x" * 20_000 + b'"'
    for _ in range(12):
        cluster.write({"a": value})
    node = Node(cluster, resume_state=ResumeState(CLUSTER, 2, {"n": 1}))
    cluster.loop.run_for(60.0)
    assert node.snapshot_count == 1
    assert set(node.document) == {"n", "a"}


# ---- contradicting members ----


def test_a_cluster_restored_to_an_older_revision_is_refused_and_logged() -> None:
    cluster = new_cluster(n=1)
    cluster.compact(2)
    node = Node(cluster, resume_state=ResumeState(CLUSTER, 500, {"n": 9}))
    cluster.loop.run_for(60.0)
    assert node.document == {"n": 9}
    logged = node.logged("settings_older_revision")
    assert logged
    assert "revision 2, this node has cluster 77 at revision 500" in logged[0].fields["reason"]
    assert len(logged) <= 7


def test_another_cluster_is_refused_and_logged() -> None:
    cluster = new_cluster(n=1)
    node = Node(cluster, resume_state=ResumeState(12, 1, {"n": 9}))
    cluster.loop.run_for(60.0)
    assert node.document == {"n": 9}
    logged = node.logged("settings_other_cluster")
    assert 1 <= len(logged) <= 7
    assert "cluster 77" in logged[0].fields["reason"]


@pytest.mark.parametrize("mode", [MemberMode.OTHER_CLUSTER, MemberMode.REPORTS_OLDER])
def test_one_contradicting_member_is_logged_once_and_avoided(mode: MemberMode) -> None:
    cluster = new_cluster(n=1)
    node = settled_node(cluster)
    faulty_member = node.watch_member
    cluster.set_mode(faulty_member, mode)
    changed_at = cluster.loop.now
    cluster.put(n=2)
    cluster.loop.run_for(IN_FORCE_LIMIT_S)
    assert node.document == {"n": 2}
    assert node.in_force[-1][0] - changed_at < IN_FORCE_LIMIT_S
    cluster.loop.run_for(300.0)
    assert node.watch_member != faulty_member
    assert len(node.logged("settings_other_cluster") + node.logged("settings_older_revision")) == 1


def test_an_older_revision_in_the_watch_is_refused() -> None:
    cluster = new_cluster(n=1)
    node = settled_node(cluster)
    call_id = next(action.call_id for action in node.opened_watches)
    node.send_frame(call_id, frame_with_changes([(2, [Change(PREFIX + b"n", b"7")])], 9))
    cluster.loop.run_for(5.0)
    assert node.document == {"n": 1}
    assert node.logged("settings_older_revision")
    cluster.put(n=2)
    cluster.loop.run_for(1.0)
    assert node.document == {"n": 2}


BAD_FRAMES = {
    "revisions out of order": frame_with_changes(
        [(9, [Change(PREFIX + b"n", b"7")]), (8, [Change(PREFIX + b"n", b"8")])], 9
    ),
    "a change newer than the frame": frame_with_changes([(9, [Change(PREFIX + b"n", b"7")])], 8),
    "a key of another prefix": frame_with_changes([(9, [Change(b"/other", b"7")])], 9),
    "not JSON": b"{",
    "another cluster": created_frame(9, cluster=5),
}


@pytest.mark.parametrize("frame", BAD_FRAMES.values(), ids=BAD_FRAMES)
def test_an_invalid_frame_is_refused_as_a_whole(frame: bytes) -> None:
    cluster = new_cluster(n=1)
    node = settled_node(cluster)
    member = node.watch_member
    node.send_frame(node.opened_watches[0].call_id, frame)
    cluster.loop.run_for(5.0)
    assert node.document == {"n": 1}
    assert node.watch_member != member
    assert node.snapshot_count == 1


# ---- failing members ----


def longest_until_in_force(failing: MemberMode, dead: int, seeds: range = SEEDS) -> float:
    """The longest time over the seeds until a change is in force; `dead` members fail, the watch's first."""
    longest = 0.0
    for seed in seeds:
        cluster = new_cluster(n=1)
        node = settled_node(cluster, seed=seed)
        cluster.loop.run_for(seed * 0.37)
        others = [name for name in cluster.names if name != node.watch_member]
        for name in [node.watch_member, *others][:dead]:
            cluster.set_mode(name, failing)
        changed_at = cluster.loop.now
        cluster.put(n=2)
        cluster.loop.run_for(60.0)
        assert node.document == {"n": 2}, f"seed {seed}"
        longest = max(longest, node.in_force[-1][0] - changed_at)
    return longest


@pytest.mark.parametrize(
    ("failing", "bound"),
    [
        (MemberMode.REFUSES_CONNECTION, 1.6),
        (MemberMode.DROPS_PACKETS, 8.1),
        (MemberMode.SILENT, 8.1),
        (MemberMode.NO_LEADER, 8.1),
        (MemberMode.SILENT_WATCH, 6.1),
        (MemberMode.REPORTS_OLDER, 8.1),
    ],
)
def test_a_change_is_in_force_in_time_although_the_watch_member_failed(
    failing: MemberMode, bound: float
) -> None:
    """The bounds are those calculated at the head of `decisions`, plus 0.1 s."""
    assert longest_until_in_force(failing, 1) < bound


@pytest.mark.parametrize(
    "failing",
    [MemberMode.REFUSES_CONNECTION, MemberMode.DROPS_PACKETS, MemberMode.SILENT, MemberMode.NO_LEADER],
)
def test_a_change_is_in_force_in_time_although_three_of_seven_members_failed(failing: MemberMode) -> None:
    assert longest_until_in_force(failing, 3) < IN_FORCE_LIMIT_S


def test_a_member_that_reports_a_change_it_does_not_deliver_is_avoided() -> None:
    cluster = new_cluster(n=1)
    node = settled_node(cluster)
    faulty_member = node.watch_member
    cluster.set_mode(faulty_member, MemberMode.REPORTS_NEWER)
    cluster.loop.run_for(10.0)
    assert node.watch_member != faulty_member
    watches_before = len(node.opened_watches)
    cluster.loop.run_for(120.0)
    assert len(node.opened_watches) - watches_before <= 8, "at most two moves a minute and one move back"
    changed_at = cluster.loop.now
    cluster.put(n=2)
    cluster.loop.run_for(IN_FORCE_LIMIT_S)
    assert node.document == {"n": 2}
    assert node.in_force[-1][0] - changed_at < IN_FORCE_LIMIT_S
    assert node.snapshot_count == 1


def test_members_with_an_oversized_value_do_not_block_the_node() -> None:
    cluster = new_cluster(n=1)
    for name in cluster.names[:3]:
        cluster.set_mode(name, MemberMode.OVERSIZED_VALUE)
    for seed in range(10):
        node = Node(cluster, seed=seed)
        cluster.loop.run_for(200.0)
        assert node.document == {"n": 1}
        assert len(node.logged("settings_refused")) <= 1
        assert_within_budget(node)


def test_repeated_false_compaction_errors_cause_no_reconnect_loop() -> None:
    cluster = new_cluster(n=1)
    cluster.etcd.store.compact_revision = 50  # beyond the newest; no correct member reports that
    node = Node(cluster, resume_state=ResumeState(CLUSTER, 2, {"n": 1}))
    cluster.loop.run_for(60.0)
    assert node.document == {"n": 1}
    assert len(cluster.connection_attempts) < 60


@pytest.mark.parametrize(
    "mode", [MemberMode.REFUSES_CONNECTION, MemberMode.DROPS_PACKETS, MemberMode.SILENT, MemberMode.NO_LEADER]
)
def test_all_members_down_for_a_minute_and_back(mode: MemberMode) -> None:
    for seed in range(10):
        cluster = new_cluster(n=1)
        node = settled_node(cluster, seed=seed)
        attempts_before = len(cluster.connection_attempts)
        cluster.set_all(mode)
        cluster.loop.run_for(60.0)
        assert len(cluster.connection_attempts) - attempts_before <= 40
        assert node.counters["settings_stale"] == 1
        assert node.document == {"n": 1}
        cluster.set_all(MemberMode.HEALTHY)
        changed_at = cluster.loop.now
        cluster.put(n=2)
        cluster.loop.run_for(IN_FORCE_LIMIT_S)
        assert node.document == {"n": 2}
        assert node.in_force[-1][0] - changed_at < IN_FORCE_LIMIT_S
        assert len(node.logged("settings_stale")) == len(node.logged("settings_fresh_again")) == 1
        assert node.snapshot_count == 1


def test_staleness_is_reported_after_18_s_and_not_before() -> None:
    cluster = new_cluster(n=1)
    node = settled_node(cluster)
    cluster.set_all(MemberMode.NO_LEADER)
    cluster.loop.run_for(IN_FORCE_LIMIT_S - decisions.CHECK_INTERVAL_MAX_S - 0.1)
    assert node.counters["settings_stale"] == 0
    cluster.loop.run_for(decisions.CHECK_INTERVAL_MAX_S + 0.1)
    assert node.counters["settings_stale"] == 1
    assert node.logged("settings_stale")[0].level is LogLevel.WARNING


def test_a_node_that_never_reaches_a_cluster_reports_staleness() -> None:
    cluster = new_cluster()
    cluster.set_all(MemberMode.DROPS_PACKETS)
    node = Node(cluster)
    cluster.loop.run_for(IN_FORCE_LIMIT_S + 0.1)
    assert node.counters["settings_stale"] == 1
    assert not node.in_force


def test_nodes_in_the_minority_of_a_partition_keep_their_watches() -> None:
    """Without a quorum at any member a new watch is useless; the old ones continue when the cluster heals."""
    cluster = new_cluster(n=1)
    nodes = [Node(cluster, seed=seed) for seed in range(100)]
    cluster.loop.run_for(10.0)
    watches_before = [len(node.opened_watches) for node in nodes]
    cluster.set_all(MemberMode.NO_LEADER)
    cluster.loop.run_for(60.0)
    cluster.set_all(MemberMode.HEALTHY)
    changed_at = cluster.loop.now
    cluster.put(n=2)
    cluster.loop.run_for(IN_FORCE_LIMIT_S)
    assert all(
        node.document == {"n": 2} and node.in_force[-1][0] - changed_at < IN_FORCE_LIMIT_S for node in nodes
    )
    moved = sum(len(node.opened_watches) for node in nodes) - sum(watches_before)
    assert moved <= len(nodes), "each node moves its watch once at most"
    assert sum(node.snapshot_count for node in nodes) == len(nodes)


# ---- a fleet ----


def max_in_window(times: list[float], window: float) -> int:
    """The largest number of times within any window of this length, in seconds."""
    times = sorted(times)
    first = 0
    largest = 0
    for last, time in enumerate(times):
        while time - times[first] > window:
            first += 1
        largest = max(largest, last - first + 1)
    return largest


def test_a_fleet_spreads_over_the_members_and_a_lost_member_causes_no_reconnect_wave() -> None:
    cluster = new_cluster(n=1)
    nodes = [Node(cluster, seed=seed) for seed in range(840)]
    cluster.loop.run_for(6.0)
    shares = Counter(node.watch_member for node in nodes)
    assert len(shares) == 7
    assert max(shares.values()) < 160
    lost_member = nodes[0].watch_member
    attempts_before = len(cluster.connection_attempts)
    cluster.set_mode(lost_member, MemberMode.REFUSES_CONNECTION)
    changed_at = cluster.loop.now
    cluster.put(n=2)
    cluster.loop.run_for(IN_FORCE_LIMIT_S)
    assert all(node.document == {"n": 2} for node in nodes)
    reopened = [
        time
        for node in nodes
        for time, action in zip(node.sent_times, node.sent_actions, strict=True)
        if action in node.opened_watches and time > changed_at
    ]
    assert len(reopened) <= 1.5 * shares[lost_member]
    assert max_in_window(reopened, 0.1) <= 25, (
        "120 nodes over 1.5 s make 8 in 0.1 s on average, more at random"
    )
    shares_after = Counter(node.watch_member for node in nodes)
    assert lost_member not in shares_after
    assert max(shares_after.values()) < 190
    checks_each = (len(cluster.connection_attempts) - attempts_before) / len(nodes)
    assert checks_each < 8, "a call every 3 to 4 s, and retries of checks at the lost member"


def test_a_fleet_without_a_cluster_does_not_synchronize_its_retries() -> None:
    cluster = new_cluster(n=1)
    nodes = [Node(cluster, seed=seed) for seed in range(200)]
    cluster.loop.run_for(6.0)
    cluster.set_all(MemberMode.REFUSES_CONNECTION)
    cluster.loop.run_for(30.0)
    attempts_before = len(cluster.connection_attempts)
    cluster.set_all(MemberMode.HEALTHY)
    cluster.loop.run_for(10.0)
    times = [time for time, _ in cluster.connection_attempts[attempts_before:]]
    assert all(node.follower.state is FollowerState.WATCHING for node in nodes)
    assert max_in_window(times, 0.1) <= 40


# ---- the budget ----


def largest_document(keys: int) -> dict[str, bytes | None]:
    """A document of the largest size with this number of items."""
    size = MAX_DOCUMENT_BYTES // keys - ITEM_OVERHEAD_BYTES
    return {f"lanes/{i:04d}": b'"' + b"x" * (size - 12) + b'"' for i in range(keys)}


def assert_within_budget(node: Node) -> None:
    """No second exceeds the budget, except by a check's request, which is sent without waiting."""
    first = 0
    total = 0
    for time, size in node.spent_bytes:
        total += size
        while time - node.spent_bytes[first][0] >= 1.0:
            total -= node.spent_bytes[first][1]
            first += 1
        assert total <= BYTES_PER_S + MAX_REQUEST_BYTES, f"{total} bytes in a second"


@pytest.mark.parametrize("keys", [1, 16, 64, 128, 512, 1000])
def test_the_largest_document_after_a_missed_compaction_arrives_within_time_and_budget(keys: int) -> None:
    cluster = new_cluster(old=1)
    cluster.compact(cluster.write({**largest_document(keys), "old": None}))
    node = Node(cluster, resume_state=ResumeState(CLUSTER, 1, {}))
    started_at = cluster.loop.now
    cluster.loop.run_for(40.0)
    assert len(node.document) == keys
    assert node.snapshot_count == 1
    assert node.in_force[-1][0] - started_at < IN_FORCE_LIMIT_S
    assert node.counters["settings_stale"] == 0
    assert_within_budget(node)


def test_a_long_frame_is_not_mistaken_for_a_lagging_watch() -> None:
    cluster = new_cluster(n=1)
    node = settled_node(cluster)
    changed_at = cluster.loop.now
    cluster.write({**largest_document(64), "n": None})
    cluster.loop.run_for(30.0)
    assert len(node.document) == 64
    assert node.in_force[-1][0] - changed_at < IN_FORCE_LIMIT_S
    assert len(node.opened_watches) == 1
    assert not node.logged("settings_watch_behind")
    assert_within_budget(node)


def test_a_settled_node_uses_few_bytes() -> None:
    cluster = new_cluster(n=1)
    node = settled_node(cluster)
    entries_before = len(node.spent_bytes)
    cluster.loop.run_for(600.0)
    spent = sum(size for _, size in node.spent_bytes[entries_before:])
    assert spent / 600.0 < 500, "bytes a second, with a check every 3 to 4 s"
