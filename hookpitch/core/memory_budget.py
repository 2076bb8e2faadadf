"""Budgets of memory: how many bytes one use, and all uses together, may hold.

Invariants: `used` is the sum of what was reserved and not released, also of the budgets below it;
`reserve` never takes a budget, or one above it, over its limit. `hold` may: it is for what has to
be kept in any case. Sizes are in bytes.
"""

from __future__ import annotations


class MemoryBudget:
    """Limits the memory of one use; `parent` is a budget that it is a part of."""

    __slots__ = ("used", "limit", "_parent")

    def __init__(self, limit: int, parent: MemoryBudget | None = None) -> None:
        self.used = 0
        self.limit = limit
        self._parent = parent

    @property
    def available(self) -> int:
        """The bytes that can be reserved now; 0 where more than the limit is held."""
        available = max(0, self.limit - self.used)
        return available if self._parent is None else min(available, self._parent.available)

    def reserve(self, count: int) -> bool:
        """Reserve `count` bytes; return False if the limit does not allow it."""
        if count > self.available:
            return False
        self.hold(count)
        return True

    def hold(self, count: int) -> None:
        """Reserve `count` bytes, whether or not the limit allows it."""
        self.used += count
        if self._parent is not None:
            self._parent.hold(count)

    def release(self, count: int) -> None:
        """Return `count` reserved bytes to the budget."""
        self.used -= count
        if self._parent is not None:
            self._parent.release(count)


class MemoryUse:
    """The bytes that one object holds of a budget, adjusted as the object grows and shrinks."""

    __slots__ = ("_budget", "held")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self.held = 0

    def set(self, count: int) -> None:
        """Hold `count` bytes from now on, whether or not the limit allows it."""
        self._budget.hold(count - self.held)
        self.held = count

    def try_set(self, count: int) -> bool:
        """Hold `count` bytes from now on; return False, and change nothing, if there is no room."""
        growth = count - self.held
        if growth > 0 and not self._budget.reserve(growth):
            return False
        if growth < 0:
            self._budget.release(-growth)
        self.held = count
        return True
