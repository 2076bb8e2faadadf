"""The one sequence that every draw, arrival number and timer number of a router is taken from.

State: a counter that starts from the seed. Invariant: the same inputs take the same numbers in the
same order, so a run can be repeated; whoever adds a draw changes every history after it.
"""

from __future__ import annotations

from itertools import count
from zlib import crc32

# A CRC is linear: without a large odd step, seeds and counters that follow one another draw alike.
COUNTER_STEP = 0x9E3779B97F4A7C15


class DrawSequence:
    """Numbers that never repeat, and draws made from them."""

    __slots__ = ("next_number",)

    def __init__(self, seed: int) -> None:
        self.next_number = count((seed + 1) * COUNTER_STEP, COUNTER_STEP).__next__

    def fraction(self) -> float:
        """Return a draw from 0 to under 1."""
        return crc32(b"%d" % self.next_number()) / 2**32
