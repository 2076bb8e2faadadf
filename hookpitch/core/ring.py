"""A ring buffer of bytes that grows on demand: one per direction on each connection.

Invariant: the capacity is 0 or a power of two, so that offsets wrap with a mask.
"""

from __future__ import annotations

# Bytes; a ring takes none before its first use, and shrinks to this size once it is empty. Most
# connections are idle most of the time, and a short command fits.
INITIAL_CAPACITY = 256


class Ring:
    """A queue of bytes."""

    __slots__ = ("_bytes", "_head", "_used")

    def __init__(self) -> None:
        self._bytes = bytearray()
        self._head = 0
        self._used = 0

    def __len__(self) -> int:
        return self._used

    @property
    def capacity(self) -> int:
        """The allocated memory in bytes."""
        return len(self._bytes)

    def write(self, data: bytes) -> None:
        """Append bytes."""
        needed = self._used + len(data)
        if needed > len(self._bytes):
            self._grow(needed)
        capacity = len(self._bytes)
        start = (self._head + self._used) & (capacity - 1)
        before_wrap = min(len(data), capacity - start)
        if before_wrap == len(data):
            self._bytes[start : start + before_wrap] = data
        else:
            self._bytes[start:capacity] = data[:before_wrap]
            self._bytes[: len(data) - before_wrap] = data[before_wrap:]
        self._used = needed

    def _grow(self, needed: int) -> None:
        capacity = max(INITIAL_CAPACITY, len(self._bytes))
        while capacity < needed:
            capacity *= 2
        grown = bytearray(capacity)
        grown[: self._used] = self.peek(self._used)
        self._bytes = grown
        self._head = 0

    def peek(self, count: int, offset: int = 0) -> bytes:
        """Return up to `count` bytes from `offset` on, without removing them."""
        count = max(0, min(count, self._used - offset))
        capacity = len(self._bytes)
        start = (self._head + offset) & (capacity - 1)
        if start + count <= capacity:
            return bytes(self._bytes[start : start + count])
        return bytes(self._bytes[start:]) + bytes(self._bytes[: start + count - capacity])

    def skip(self, count: int) -> None:
        """Discard up to `count` bytes."""
        count = min(count, self._used)
        self._used -= count
        self._head = (self._head + count) & (len(self._bytes) - 1) if self._used else 0
        if not self._used and len(self._bytes) > INITIAL_CAPACITY:
            # Otherwise hundreds of connections that each received one large value would keep its
            # memory for as long as they are open.
            self._bytes = bytearray()

    def read(self, count: int) -> bytes:
        """Remove up to `count` bytes and return them."""
        start = self._head
        end = start + count
        if count >= self._used or end > len(self._bytes):
            data = self.peek(count)
            self.skip(count)
            return data
        self._head = end & (len(self._bytes) - 1)
        self._used -= count
        return bytes(self._bytes[start:end])

    def find_line_end(self, offset: int = 0) -> int:
        """Return the offset of the first line feed from `offset` on; -1 if there is none."""
        capacity = len(self._bytes)
        start = self._head + offset
        end = self._head + self._used
        if start < capacity:
            found = self._bytes.find(b"\n", start, min(end, capacity))
            if found >= 0:
                return found - self._head
            start = capacity
        if end > capacity:
            found = self._bytes.find(b"\n", start - capacity, end - capacity)
            if found >= 0:
                return found + capacity - self._head
        return -1
