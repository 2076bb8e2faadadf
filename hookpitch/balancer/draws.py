"""The random draws of a router, from the same counter as its arrival and timer numbers.

State: a counter that starts from the seed. Invariant: the same inputs take the same numbers in the
same order, so a run can be repeated. Each draw that is added to the code changes all later draws,
and with them every recorded history.
"""

from __future__ import annotations

from itertools import count
from zlib import crc32

# CRC is linear: without a large odd step, consecutive seeds and counters give similar draws.
COUNTER_STEP = 0x9E3779B97F4A7C15


class DrawSequence:
    """Unique numbers, and random draws derived from them."""

    __slots__ = ("next_number",)

    def __init__(self, seed: int) -> None:
        self.next_number = count((seed + 1) * COUNTER_STEP, COUNTER_STEP).__next__

    def fraction(self) -> float:
        """Return a random draw, at least 0 and below 1."""
        return crc32(b"%d" % self.next_number()) / 2**32
