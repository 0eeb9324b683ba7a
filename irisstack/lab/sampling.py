"""Seeded random numbers: an independent stream for each purpose.

A change to what one purpose draws leaves all other streams as they were, so that variants of a scenario can
be compared message by message under one seed.
"""

import zlib
from collections.abc import Callable, Iterator

import numpy as np

BLOCK_SIZE = 1024
"""Numbers drawn from the generator at once; drawing them one at a time costs ten times as much each."""


class RandomStreams:
    """All random streams of one seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def stream(self, *purpose: object) -> np.random.Generator:
        """The generator for a purpose. It depends only on the seed and the words of the purpose."""
        key = zlib.crc32("/".join(str(word) for word in purpose).encode())
        return np.random.Generator(np.random.PCG64(np.random.SeedSequence(self.seed, spawn_key=(key,))))

    def uniform(self, *purpose: object) -> Callable[[], float]:
        """A function that returns the purpose's next number, uniform in [0, 1)."""
        return _uniform_numbers(self.stream(*purpose)).__next__


def _uniform_numbers(generator: np.random.Generator) -> Iterator[float]:
    while True:
        yield from generator.random(BLOCK_SIZE).tolist()


def sample(value: float | list[float], generator: np.random.Generator) -> float:
    """A value of a scenario: a number as it is, or a uniform draw from a range `[low, high]`."""
    if isinstance(value, list):
        return float(generator.uniform(value[0], value[1]))
    return float(value)
