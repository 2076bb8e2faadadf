"""How much work each method has lately asked for, which capacity is reserved by.

State: `load` by method name, in RPCs of typical work, fading with each rebalancing round;
`typical_work_ms` is the mean of the work that clients state, 0 before any is stated.
"""

from __future__ import annotations

from collections.abc import Iterable

DECAY_PER_ROUND = 0.85
WORK_WEIGHT = 0.05  # of one RPC's stated work in the mean


class MethodLoad:
    """Work lately asked for, by method."""

    __slots__ = ("load", "typical_work_ms")

    def __init__(self) -> None:
        self.load: dict[str, float] = {}
        self.typical_work_ms = 0.0

    def configure(self, method_names: Iterable[str]) -> None:
        """Keep what is known of the methods that remain."""
        self.load = {name: self.load.get(name, 0.0) for name in method_names}

    def record(self, method_name: str, work_ms: float) -> None:
        """Count an RPC; `work_ms` is 0 where it states none."""
        if method_name not in self.load:
            return
        if work_ms <= 0:
            self.load[method_name] += 1.0
            return
        weight = WORK_WEIGHT if self.typical_work_ms else 1.0
        self.typical_work_ms += (work_ms - self.typical_work_ms) * weight
        self.load[method_name] += work_ms / self.typical_work_ms

    def decay(self) -> None:
        """Let what was asked for count for less, once a round."""
        self.load = {name: DECAY_PER_ROUND * load for name, load in self.load.items()}
