"""Reproducible pseudo-random numbers: an independent sequence for each name under one seed."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from zlib import crc32

GOLDEN_RATIO_64 = 0x9E3779B97F4A7C15  # odd, with half of its bits set
UINT64_RANGE = 1 << 64


def seeded_random(seed: int, name: str) -> Callable[[], float]:
    """Return a function that draws floats from [0, 1), the same sequence in every run."""
    # A CRC is linear, so the small seeds of neighbouring nodes and a plain counter would give
    # correlated numbers. The multiplication spreads their differences over all bits.
    mixed_seed = (seed + 1) * GOLDEN_RATIO_64 % UINT64_RANGE
    encoded_name = name.encode()
    numbers = count(1)

    def draw() -> float:
        mixed_number = next(numbers) * GOLDEN_RATIO_64 % UINT64_RANGE
        return crc32(b"%s/%d/%d" % (encoded_name, mixed_seed, mixed_number)) / 2**32

    return draw
