"""A ring buffer of bytes that grows on demand: one a direction on each connection."""

from __future__ import annotations

INITIAL_CAPACITY = 4096  # bytes held at the start, and again once a larger ring has been emptied


class Ring:
    """Bytes in, bytes out, in order."""

    __slots__ = ("_bytes", "_head", "_used")

    def __init__(self) -> None:
        self._bytes, self._head, self._used = bytearray(INITIAL_CAPACITY), 0, 0

    def __len__(self) -> int:
        return self._used

    @property
    def capacity(self) -> int:
        """Bytes of memory held."""
        return len(self._bytes)

    def write(self, data: bytes) -> None:
        need, size = self._used + len(data), len(self._bytes)
        if need > size:
            while size < need:
                size *= 2
            grown = bytearray(size)
            grown[: self._used] = self.peek(self._used)
            self._bytes, self._head = grown, 0
        start = (self._head + self._used) & (size - 1)
        first = min(len(data), size - start)
        if first == len(data):
            self._bytes[start : start + first] = data
        else:
            self._bytes[start:size] = data[:first]
            self._bytes[: len(data) - first] = data[first:]
        self._used = need

    def peek(self, count: int, at: int = 0) -> bytes:
        """Up to `count` bytes from offset `at`, left where they are."""
        count = max(0, min(count, self._used - at))
        start, size = (self._head + at) & (len(self._bytes) - 1), len(self._bytes)
        if start + count <= size:
            return bytes(self._bytes[start : start + count])
        return bytes(self._bytes[start:]) + bytes(self._bytes[: start + count - size])

    def skip(self, count: int) -> None:
        count = min(count, self._used)
        self._used -= count
        self._head = (self._head + count) & (len(self._bytes) - 1) if self._used else 0
        if not self._used and len(self._bytes) > INITIAL_CAPACITY:
            # Danger: one larger value on each of hundreds of connections holds its memory for good.
            self._bytes = bytearray(INITIAL_CAPACITY)

    def read(self, count: int) -> bytes:
        start, end, used = self._head, self._head + count, self._used
        if count >= used or end > len(self._bytes):
            data = self.peek(count)
            self.skip(count)
            return data
        self._head, self._used = end & (len(self._bytes) - 1), used - count
        return bytes(self._bytes[start:end])

    def find_line_end(self, at: int = 0) -> int:
        """The offset of the first line feed from offset `at` on; -1 where there is none."""
        size = len(self._bytes)
        start, end = self._head + at, self._head + self._used
        if start < size:
            found = self._bytes.find(b"\n", start, min(end, size))
            if found >= 0:
                return found - self._head
            start = size
        if end > size:
            found = self._bytes.find(b"\n", start - size, end - size)
            if found >= 0:
                return found + size - self._head
        return -1
