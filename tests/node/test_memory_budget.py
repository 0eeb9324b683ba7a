"""The memory of the settings is divided so that all parts together stay within it."""

import pytest

from irisstack.node.memory_budget import CLIENT_BYTES, MIN_FREE_BYTES, divide_memory

RESIDENT_BYTES = 40_000_000


@pytest.mark.parametrize("limit_mb", [48, 64, 192, 2048])
def test_the_parts_leave_a_reserve(limit_mb: int) -> None:
    limit_bytes = limit_mb * 1_000_000
    budget = divide_memory(limit_bytes, RESIDENT_BYTES)
    divided = budget.max_clients * CLIENT_BYTES + budget.input_bytes + budget.message_bytes
    assert divided <= 0.76 * (limit_bytes - RESIDENT_BYTES)


def test_more_memory_gives_each_part_more() -> None:
    small, large = divide_memory(64_000_000, RESIDENT_BYTES), divide_memory(192_000_000, RESIDENT_BYTES)
    assert small.max_clients < large.max_clients
    assert small.input_bytes < large.input_bytes
    assert small.message_bytes < large.message_bytes


@pytest.mark.parametrize("limit_mb", [1, 32, 40])
def test_a_node_over_its_limit_at_its_start_still_serves_some_clients(limit_mb: int) -> None:
    assert divide_memory(limit_mb * 1_000_000, RESIDENT_BYTES) == divide_memory(
        RESIDENT_BYTES + MIN_FREE_BYTES, RESIDENT_BYTES
    )
    assert divide_memory(limit_mb * 1_000_000, RESIDENT_BYTES).max_clients > 50


def test_a_resident_size_that_is_not_known_is_assumed() -> None:
    assert divide_memory(192_000_000, 0) == divide_memory(192_000_000, RESIDENT_BYTES)
