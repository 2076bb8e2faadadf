"""The body of a response of unknown length, which cannot be forwarded before its end.

RESP2 states a value's length first, so the node has to hold such a body completely. Invariant: the
bytes above `UNRESERVED_BYTES` that a body holds are reserved in the budget that all large values
share, and are returned to it as soon as they are taken out or discarded.
"""

from __future__ import annotations

from hookpitch.core.memory_budget import MemoryBudget
from hookpitch.core.stream import ChunkedValue

UNRESERVED_BYTES = 4096  # a body up to this size costs no more than the record of its RPC


class CollectedBody:
    """Chunks of a body, with the memory that is reserved for them."""

    __slots__ = ("_budget", "_reserved", "_value")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._reserved = 0
        self._value = ChunkedValue()

    def __len__(self) -> int:
        return len(self._value)

    def append(self, data: bytes) -> bool:
        """Add the next bytes; return False, and add nothing, where the budget does not allow it."""
        missing = max(0, len(self) + len(data) - UNRESERVED_BYTES) - self._reserved
        if missing > 0:
            if not self._budget.reserve(missing):
                return False
            self._reserved += missing
        self._value.append(data)
        return True

    def to_bytes(self) -> bytes:
        """Return a copy of the whole body."""
        return b"".join(self._value.chunks)

    def take_chunk(self) -> bytes | bytearray:
        """Remove the first chunk and return it; empty once there is none left."""
        if not self._value.chunks:
            return b""
        chunk = self._value.chunks.pop(0)
        self._value.length -= len(chunk)
        self._return_reservation(max(0, len(self) - UNRESERVED_BYTES))
        return chunk

    def discard(self) -> None:
        """Drop all bytes and return their reservation."""
        self._value = ChunkedValue()
        self._return_reservation(0)

    def _return_reservation(self, still_needed: int) -> None:
        self._budget.release(self._reserved - still_needed)
        self._reserved = still_needed
