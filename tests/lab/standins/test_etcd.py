"""The store of the etcd stand-in: revisions, ranges, transactions, compaction and watches as in etcd v3."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from irisstack.lab.standins import etcd
from irisstack.lab.standins.etcd import (
    UNBOUNDED_END,
    Compare,
    CompareResult,
    CompareTarget,
    DeleteRangeRequest,
    PutRequest,
    RangeRequest,
    SortOrder,
    SortTarget,
    Store,
    TxnRequest,
    Watch,
    WatchRequest,
)


def put(store: Store, key: bytes, value: bytes) -> int:
    store.execute(PutRequest(key, value))
    return store.revision


def read(store: Store, request: RangeRequest) -> etcd.RangeResponse:
    response = store.execute(request)
    assert isinstance(response, etcd.RangeResponse)
    return response


def read_all(store: Store, revision: int = 0) -> dict[bytes, bytes]:
    return {kv.key: kv.value for kv in read(store, RangeRequest(b"\0", UNBOUNDED_END, revision=revision)).kvs}


def populated_store() -> Store:
    store = Store()
    for key, value in ((b"a", b"3"), (b"b", b"1"), (b"c", b"2"), (b"a", b"4")):
        put(store, key, value)
    return store


def test_each_write_creates_a_revision_and_increments_the_version_of_its_key() -> None:
    store = populated_store()
    assert store.revision == 5
    (kv,) = read(store, RangeRequest(b"a")).kvs
    assert (kv.value, kv.create_revision, kv.mod_revision, kv.version) == (b"4", 2, 5, 2)


def test_a_deleted_key_restarts_at_version_1() -> None:
    store = populated_store()
    store.execute(DeleteRangeRequest(b"a"))
    assert read(store, RangeRequest(b"a")).count == 0
    put(store, b"a", b"5")
    (kv,) = read(store, RangeRequest(b"a")).kvs
    assert (kv.create_revision, kv.mod_revision, kv.version) == (7, 7, 1)


def test_a_delete_without_matches_creates_no_revision() -> None:
    store = populated_store()
    response = store.execute(DeleteRangeRequest(b"z"))
    assert response == etcd.DeleteRangeResponse(0, ())
    assert store.revision == 5


def test_a_range_is_half_open_and_may_be_limited_sorted_or_counted() -> None:
    store = populated_store()
    assert [kv.key for kv in read(store, RangeRequest(b"a", b"c")).kvs] == [b"a", b"b"]
    assert [kv.key for kv in read(store, RangeRequest(b"b", UNBOUNDED_END)).kvs] == [b"b", b"c"]
    limited = read(store, RangeRequest(b"a", b"d", limit=2))
    assert (len(limited.kvs), limited.more, limited.count) == (2, True, 3)
    sorted_by_value = RangeRequest(b"a", b"d", sort_order=SortOrder.DESCEND, sort_target=SortTarget.VALUE)
    assert [kv.value for kv in read(store, sorted_by_value).kvs] == [b"4", b"2", b"1"]
    sorted_by_mod_revision = RangeRequest(b"a", b"d", sort_order=SortOrder.ASCEND, sort_target=SortTarget.MOD)
    assert [kv.key for kv in read(store, sorted_by_mod_revision).kvs] == [b"b", b"c", b"a"]
    assert read(store, RangeRequest(b"a", b"d", count_only=True)) == etcd.RangeResponse((), False, 3)
    assert {kv.value for kv in read(store, RangeRequest(b"a", b"d", keys_only=True)).kvs} == {b""}


def test_an_old_revision_can_be_read_until_it_is_compacted() -> None:
    store = populated_store()
    assert read_all(store, 4) == {b"a": b"3", b"b": b"1", b"c": b"2"}
    store.execute(etcd.CompactionRequest(4))
    assert read_all(store, 4) == {b"a": b"3", b"b": b"1", b"c": b"2"}
    with pytest.raises(etcd.CompactedError):
        read_all(store, 3)
    with pytest.raises(etcd.FutureRevisionError):
        read_all(store, 6)
    with pytest.raises(etcd.CompactedError):
        store.execute(etcd.CompactionRequest(4))


@pytest.mark.parametrize(
    ("target", "result", "operand", "succeeds"),
    [
        (CompareTarget.MOD, CompareResult.EQUAL, 5, True),
        (CompareTarget.MOD, CompareResult.LESS, 5, False),
        (CompareTarget.CREATE, CompareResult.NOT_EQUAL, 2, False),
        (CompareTarget.VERSION, CompareResult.GREATER, 1, True),
        (CompareTarget.VALUE, CompareResult.EQUAL, b"4", True),
    ],
)
def test_a_transaction_executes_the_branch_its_comparisons_select(
    target: CompareTarget, result: CompareResult, operand: int | bytes, succeeds: bool
) -> None:
    store = populated_store()
    response = store.execute(
        TxnRequest(
            (Compare(b"a", b"", target, result, operand),),
            (PutRequest(b"x", b"1"), PutRequest(b"y", b"2")),
            (RangeRequest(b"a"),),
        )
    )
    assert isinstance(response, etcd.TxnResponse)
    assert response.succeeded is succeeds
    assert store.revision == (6 if succeeds else 5)
    if succeeds:
        assert {kv.mod_revision for kv in read(store, RangeRequest(b"x", b"z")).kvs} == {6}


def test_a_missing_key_compares_as_mod_revision_0() -> None:
    store = populated_store()
    absent = Compare(b"z", b"", CompareTarget.MOD, CompareResult.EQUAL, 0)
    response = store.execute(TxnRequest((absent,), (PutRequest(b"z", b"1"),), ()))
    assert isinstance(response, etcd.TxnResponse)
    assert response.succeeded


def test_a_rejected_transaction_changes_nothing() -> None:
    store = populated_store()
    with pytest.raises(etcd.InvalidArgumentError):
        store.execute(TxnRequest((), (PutRequest(b"x", b"1"), PutRequest(b"x", b"2")), ()))
    with pytest.raises(etcd.FutureRevisionError):
        store.execute(TxnRequest((), (PutRequest(b"x", b"1"), RangeRequest(b"a", revision=99)), ()))
    assert (store.revision, b"x" in read_all(store)) == (5, False)


def test_a_watch_delivers_whole_revisions_limited_to_its_range() -> None:
    store = populated_store()
    watch, created = Watch.create(WatchRequest(b"a", b"c", start_revision=3), store)
    assert (created.created, created.revision) == (True, 5)
    response = watch.read(store)
    assert response is not None
    assert [(event.kv.key, event.kv.mod_revision) for event in response.events] == [(b"b", 3), (b"a", 5)]
    assert watch.read(store) is None
    puts = (PutRequest(b"a", b"9"), PutRequest(b"b", b"9"), PutRequest(b"c", b"9"))
    store.execute(TxnRequest((), puts, ()))
    response = watch.read(store)
    assert response is not None
    assert [event.kv.key for event in response.events] == [b"a", b"b"]
    store.execute(DeleteRangeRequest(b"a"))
    response = watch.read(store)
    assert response is not None
    (event,) = response.events
    assert event.type is etcd.EventType.DELETE
    assert event.prev_kv is not None
    assert event.prev_kv.value == b"9"


def test_a_watch_without_a_start_revision_begins_with_the_next_change() -> None:
    store = populated_store()
    watch, _ = Watch.create(WatchRequest(b"a", b"z"), store)
    assert watch.read(store) is None
    put(store, b"a", b"5")
    response = watch.read(store)
    assert response is not None
    assert [event.kv.value for event in response.events] == [b"5"]


def test_a_watch_from_a_compacted_revision_is_cancelled() -> None:
    store = populated_store()
    store.execute(etcd.CompactionRequest(4))
    watch, _ = Watch.create(WatchRequest(b"a", b"z", start_revision=3), store)
    response = watch.read(store)
    assert response is not None
    assert (response.canceled, response.compact_revision, response.revision) == (True, 4, 0)
    assert watch.read(store) is None
    retained, _ = Watch.create(WatchRequest(b"a", b"z", start_revision=4), store)
    response = retained.read(store)
    assert response is not None
    assert [event.kv.mod_revision for event in response.events] == [4, 5]


def test_progress_is_reported_only_after_all_events_are_sent() -> None:
    store = populated_store()
    watch, _ = Watch.create(WatchRequest(b"a", b"z", start_revision=3), store)
    assert watch.progress(store) is None
    watch.read(store)
    progress = watch.progress(store)
    assert progress is not None
    assert (progress.revision, progress.events) == (5, ())


def test_a_copy_is_unaffected_by_later_writes_and_compaction() -> None:
    store = populated_store()
    backup = store.copy()
    put(store, b"a", b"5")
    store.execute(etcd.CompactionRequest(6))
    assert backup.revision == 5
    assert read_all(backup, 4)[b"a"] == b"3"


KEYS = st.sampled_from([b"a", b"b", b"c", b"d"])
WRITES = st.lists(
    st.one_of(
        st.builds(PutRequest, KEYS, st.binary(max_size=2)),
        st.builds(DeleteRangeRequest, KEYS, st.sampled_from([b"", b"d", UNBOUNDED_END])),
    ),
    max_size=30,
)


@given(WRITES, st.integers(0, 30), st.integers(0, 30))
def test_reads_and_watch_replay_agree_after_any_writes_and_compaction(
    writes: list[PutRequest | DeleteRangeRequest], compact_at: int, start_at: int
) -> None:
    """Replaying the events of a watch on the state at its start gives the latest state."""
    store = Store()
    state_by_revision = {store.revision: read_all(store)}
    for write in writes:
        store.execute(write)
        state_by_revision[store.revision] = read_all(store)
    if 0 < compact_at <= store.revision:
        store.execute(etcd.CompactionRequest(compact_at))
    for revision, state in state_by_revision.items():
        if revision >= store.compact_revision:
            assert read_all(store, revision) == state
    start = min(max(start_at, store.compact_revision, 1), store.revision)
    replayed = dict(state_by_revision[start])
    watch, _ = Watch.create(WatchRequest(b"\0", UNBOUNDED_END, start_revision=start + 1), store)
    while (response := watch.read(store)) is not None:
        for event in response.events:
            if event.type is etcd.EventType.PUT:
                replayed[event.kv.key] = event.kv.value
            else:
                del replayed[event.kv.key]
    assert replayed == state_by_revision[store.revision]
