"""Measures the recent load of each method, by which capacity is reserved.

State: `load` by method name, in RPCs of typical work, which decays in each rebalancing round;
`typical_work_ms`, the mean of the work that clients state, 0 before any client states it.
"""

from __future__ import annotations

from collections.abc import Iterable

DECAY_PER_ROUND = 0.85
WORK_WEIGHT = 0.05  # of the newest RPC in the mean of the stated work


class MethodLoad:
    """The recent load by method."""

    __slots__ = ("load", "typical_work_ms")

    def __init__(self) -> None:
        self.load: dict[str, float] = {}
        self.typical_work_ms = 0.0

    def configure(self, method_names: Iterable[str]) -> None:
        """Keep the loads of the methods that remain."""
        self.load = {name: self.load.get(name, 0.0) for name in method_names}

    def record(self, method_name: str, work_ms: float) -> None:
        """Count an RPC; `work_ms` is the work that it states, or 0."""
        if method_name not in self.load:
            return
        if work_ms <= 0:
            self.load[method_name] += 1.0
            return
        weight = WORK_WEIGHT if self.typical_work_ms else 1.0
        self.typical_work_ms += (work_ms - self.typical_work_ms) * weight
        self.load[method_name] += work_ms / self.typical_work_ms

    def decay(self) -> None:
        """Reduce the weight of past load, once per round."""
        self.load = {name: DECAY_PER_ROUND * load for name, load in self.load.items()}
