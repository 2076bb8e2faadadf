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

    def has(self, count: int) -> bool:
        """Return whether `count` bytes can be reserved now."""
        budget: MemoryBudget | None = self
        while budget is not None:
            if budget.used + count > budget.limit:
                return False
            budget = budget._parent
        return True

    def reserve(self, count: int) -> bool:
        """Reserve `count` bytes; return False if the limit does not allow it."""
        if not self.has(count):
            return False
        self.hold(count)
        return True

    def hold(self, count: int) -> None:
        """Reserve `count` bytes, whether or not the limit allows it."""
        budget: MemoryBudget | None = self
        while budget is not None:
            budget.used += count
            budget = budget._parent

    def release(self, count: int) -> None:
        """Return `count` reserved bytes to the budget."""
        self.hold(-count)


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
