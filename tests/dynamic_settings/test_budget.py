"""The byte budget keeps its limit in every period, however it is spent."""

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
def test_spending_after_the_delay_never_exceeds_the_rate_in_any_second(
    steps: list[tuple[float, int]],
) -> None:
    now = 5.0
    budget = ByteBudget(RATE, now)
    spent: list[tuple[float, int]] = []
    for pause, size in steps:
        now += pause
        now += budget.delay(now)
        assert budget.delay(now) == 0.0, "the returned delay is sufficient"
        budget.spend(now, size)
        spent.append((now, size))
    for first, (started_at, _) in enumerate(spent):
        total = 0
        for spent_at, size in spent[first:]:
            total += size
            assert total <= max(1.0, spent_at - started_at) * RATE + 1


def test_a_debt_is_repaid_at_the_budgets_rate() -> None:
    budget = ByteBudget(RATE, 0.0)
    budget.spend(0.0, int(RATE * BURST_S))
    assert budget.delay(0.0) == 0.0
    budget.spend(0.0, 2 * round(budget.rate))
    assert budget.delay(0.0) == pytest.approx(2.0, abs=0.001)
    assert budget.delay(1.5) == pytest.approx(0.5, abs=0.001)
    assert budget.delay(2.001) == 0.0


def test_a_clock_that_stops_or_goes_back_earns_nothing() -> None:
    budget = ByteBudget(1000.0, 10.0)
    budget.spend(10.0, 5000)
    debt_delay = budget.delay(10.0)
    assert budget.delay(3.0) == debt_delay
    assert budget.delay(10.0) == debt_delay
