"""The large value of a client's command while it arrives, under the budget of such values.

Memory is reserved as bytes arrive and not for the stated length: a client that stops after the
first bytes of a large write holds those alone. A value that the budget has no room for is refused:
its bytes are dropped, those that have arrived and those that follow, and its command is rejected
once it is complete. Invariant: the bytes held are reserved until `refuse` or `discard`, unless an
RPC takes them over.
"""

from __future__ import annotations

from hookpitch.core.memory_budget import MemoryBudget
from hookpitch.core.stream import ChunkedValue


class IncomingValue:
    """The bytes of one value that have arrived."""

    __slots__ = ("_budget", "_value", "received_bytes", "is_refused")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._value = ChunkedValue()
        self.received_bytes = 0  # also those that were dropped
        self.is_refused = False

    @property
    def chunks(self) -> ChunkedValue:
        """The bytes held; whoever keeps them has to release their length to the budget."""
        return self._value

    def append(self, data: bytes) -> bool:
        """Add the next bytes, or drop them where there is no memory; return False if dropped."""
        if not self.is_refused and not self._budget.reserve(len(data)):
            return False
        self.received_bytes += len(data)
        if not self.is_refused:
            self._value.append(data)
        return True

    def refuse(self) -> None:
        """Drop all bytes, also those that follow."""
        self.discard()
        self.is_refused = True

    def discard(self) -> None:
        """Drop all bytes and release their memory."""
        self._budget.release(len(self._value))
        self._value = ChunkedValue()
