"""The byte budget over any time, however it is spent."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from irisstack.dynamic_settings.budget import BURST_S, PIECE_BYTES, ByteBudget

RATE = 11264.0


@given(
    st.lists(
        st.tuples(st.floats(0.0, 3.0), st.integers(0, PIECE_BYTES)),
        min_size=1,
        max_size=60,
    )
)
def test_one_that_asks_first_never_spends_more_than_the_rate_the_burst_and_a_piece(
    steps: list[tuple[float, int]],
) -> None:
    now = 5.0
    budget = ByteBudget(RATE, now)
    spent: list[tuple[float, int]] = []
    for rest, size in steps:
        now += rest
        now += budget.delay(now)
        assert budget.delay(now) == 0.0, "the wait that was asked for is enough"
        budget.spend(now, size)
        spent.append((now, size))
    for first, (begun, _) in enumerate(spent):
        total = 0
        for at, size in spent[first:]:
            total += size
            assert total <= (at - begun + BURST_S) * RATE + PIECE_BYTES + 1


def test_a_debt_takes_as_long_as_its_bytes_at_the_rate() -> None:
    budget = ByteBudget(1000.0, 0.0)
    budget.spend(0.0, int(1000 * BURST_S) + 2000)
    assert budget.delay(0.0) == pytest.approx(2.0)
    assert budget.delay(1.5) == pytest.approx(0.5)
    assert budget.delay(2.0) == 0.0


def test_a_clock_that_stands_still_or_goes_back_earns_nothing() -> None:
    budget = ByteBudget(1000.0, 10.0)
    budget.spend(10.0, 5000)
    owed = budget.delay(10.0)
    assert budget.delay(3.0) == owed
    assert budget.delay(10.0) == owed
