"""The byte budget over any time, however it is spent."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from irisstack.dynamic_settings.budget import BURST_S, READ_CHUNK_BYTES, ByteBudget

RATE = 11_000.0


@given(
    st.lists(
        st.tuples(st.floats(0.0, 3.0), st.integers(0, READ_CHUNK_BYTES)),
        min_size=1,
        max_size=60,
    )
)
def test_one_that_asks_first_never_spends_more_in_a_second_than_is_allowed(
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
            assert total <= max(1.0, at - begun) * RATE + 1


def test_a_debt_takes_as_long_as_its_bytes_at_the_rate() -> None:
    budget = ByteBudget(RATE, 0.0)
    budget.spend(0.0, int(RATE * BURST_S))
    assert budget.delay(0.0) == 0.0
    budget.spend(0.0, 2 * round(budget.rate))
    assert budget.delay(0.0) == pytest.approx(2.0, abs=0.001)
    assert budget.delay(1.5) == pytest.approx(0.5, abs=0.001)
    assert budget.delay(2.001) == 0.0


def test_a_clock_that_stands_still_or_goes_back_earns_nothing() -> None:
    budget = ByteBudget(1000.0, 10.0)
    budget.spend(10.0, 5000)
    owed = budget.delay(10.0)
    assert budget.delay(3.0) == owed
    assert budget.delay(10.0) == owed
