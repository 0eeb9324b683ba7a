"""Selection of the member to call: kept while it works, avoided while it is suspect."""

from collections import Counter
from random import Random

from irisstack.dynamic_settings.members import CONTRADICTION_SUSPICION_S, FAILURE_SUSPICION_S, Members

NAMES = [f"10.0.0.{i}:2379" for i in range(7)]


def test_a_working_member_is_kept() -> None:
    members = Members(NAMES, Random(1))
    assert {members.pick(now) for now in range(50)} == {members.pick(0.0)}


def test_members_take_turns_while_all_fail() -> None:
    members = Members(NAMES, Random(1))
    picked = []
    for _ in range(14):
        picked.append(members.pick(0.0))
        members.record_failure(picked[-1], 0.0)
    assert Counter(picked) == dict.fromkeys(NAMES, 2)


def test_a_failed_member_is_avoided_for_a_while() -> None:
    members = Members(NAMES[:2], Random(1))
    first = members.pick(0.0)
    members.record_failure(first, 0.0)
    second = members.pick(0.0)
    assert second != first
    members.record_failure(second, FAILURE_SUSPICION_S - 0.1)
    assert members.pick(FAILURE_SUSPICION_S - 0.1) in NAMES[:2], "both are suspect"
    assert members.pick(FAILURE_SUSPICION_S + 0.1) == first


def test_a_failure_does_not_shorten_the_suspicion_after_a_contradiction() -> None:
    members = Members(NAMES, Random(1))
    contradicting_member = members.pick(0.0)
    members.record_failure(contradicting_member, 0.0, CONTRADICTION_SUSPICION_S)
    members.record_failure(contradicting_member, 1.0)
    assert members.is_suspect(contradicting_member, CONTRADICTION_SUSPICION_S - 1.0)
    assert not members.is_suspect(contradicting_member, CONTRADICTION_SUSPICION_S)


def test_a_success_ends_the_suspicion() -> None:
    members = Members(NAMES, Random(1))
    members.record_failure(NAMES[0], 0.0)
    members.record_success(NAMES[0])
    assert not members.is_suspect(NAMES[0], 0.0)


def test_pick_other_returns_the_excluded_member_only_if_it_is_the_only_one() -> None:
    random = Random(1)
    members = Members(NAMES[:2], random)
    assert {members.pick_other(NAMES[0], random, 0.0) for _ in range(20)} == {NAMES[1]}
    assert Members(NAMES[:1], random).pick_other(NAMES[0], random, 0.0) == NAMES[0]


def test_pick_any_avoids_suspect_members_if_possible() -> None:
    random = Random(1)
    members = Members(NAMES[:3], random)
    members.record_failure(NAMES[0], 0.0)
    members.record_failure(NAMES[1], 0.0)
    assert {members.pick_any(random, 0.0) for _ in range(20)} == {NAMES[2]}
    members.record_failure(NAMES[2], 0.0)
    assert {members.pick_any(random, 0.0) for _ in range(60)} == set(NAMES[:3])


def test_different_seeds_spread_a_fleet_over_the_members() -> None:
    shares = Counter(Members(NAMES, Random(seed)).pick(0.0) for seed in range(840))
    assert len(shares) == 7
    assert max(shares.values()) < 160
