"""Values too large to hold: replies that are streamed, and large writes under a memory budget.

A reply value over `resp.MAX_BULK_BYTES` is passed on in pieces, from the backend's connection (the
source) to the client's. Its last `TAIL_BYTES` are held back until the backend's whole reply has
been read and found valid, so that a malformed reply never looks complete to the client. Invariants:
what was passed on plus the tail is what came; a stream ends once. Sizes are in bytes.
"""

from __future__ import annotations

from typing import Protocol

TAIL_BYTES = 1024
CHUNK_BYTES = 32768  # a chunk of a large write is full from this size on
MAX_STREAMED_BYTES = 1 << 22  # the largest value that is taken at all
# What may wait unsent for a slow reader: at most, and at least with many streams.
MAX_UNSENT_BYTES = 1 << 17
MIN_UNSENT_BYTES = 1 << 14


class Source(Protocol):
    """The connection that a streamed reply comes from."""

    def pause(self) -> None:
        """Read no more for now."""

    def resume(self) -> None:
        """Read on."""


class Stream:
    """A reply value that is being passed on."""

    __slots__ = ("source", "length", "remaining", "tail", "first_byte_ms", "last_progress")

    def __init__(self, source: Source, length: int, first_byte_ms: float, now: float) -> None:
        """`first_byte_ms`: from the sending of the attempt to the first bytes."""
        self.source = source
        self.length = length
        self.remaining = length  # to come from the source
        self.tail = b""
        self.first_byte_ms = first_byte_ms
        self.last_progress = now  # when a piece came or the reader last took something

    def feed(self, data: bytes) -> bytes:
        """Take the next piece and return what of the value can be passed on now."""
        self.remaining -= len(data)
        if self.remaining > TAIL_BYTES:
            return data
        data = self.tail + data
        tail_length = max(0, TAIL_BYTES - self.remaining)
        cut = max(0, len(data) - tail_length)
        self.tail = data[cut:]
        return data[:cut]


class ChunkedValue:
    """The value of a large write, collected in chunks without copying it again."""

    __slots__ = ("chunks", "length")

    def __init__(self) -> None:
        self.chunks: list[bytearray] = []
        self.length = 0

    def __len__(self) -> int:
        return self.length

    def append(self, data: bytes) -> None:
        """Add the next piece."""
        self.length += len(data)
        # A value that comes a byte at a time must not become an object for each byte.
        if self.chunks and len(self.chunks[-1]) < CHUNK_BYTES:
            self.chunks[-1] += data
        else:
            self.chunks.append(bytearray(data))


class MemoryBudget:
    """Memory for the large writes of all clients, so that many at once cannot exhaust it."""

    __slots__ = ("used", "limit")

    def __init__(self, limit: int) -> None:
        self.used = 0
        self.limit = limit

    def reserve(self, count: int) -> bool:
        """Reserve bytes; False where the limit does not allow it."""
        if self.used + count > self.limit:
            return False
        self.used += count
        return True

    def release(self, count: int) -> None:
        """Return bytes that were reserved."""
        self.used -= count
