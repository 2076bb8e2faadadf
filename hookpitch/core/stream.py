"""Values too large to hold: answers in pieces, and what large writes may hold.

An answer over `resp.MAX_BULK_BYTES` goes from its server's connection (the source) to its
client's in pieces.
Its last bytes stay here until the server's whole reply has been read and found right, so that a
spoilt answer
never looks whole. Invariants: what was passed on plus what is held is what came; a stream ends
once.
"""

from __future__ import annotations

from typing import Protocol

TAIL_BYTES = 1024  # bytes at the end of a value that wait for the rest of its reply
CHUNK_BYTES = 32768  # bytes from which on a piece of a write is closed
MAX_STREAMED_BYTES = 1 << 22  # bytes of a value that passes at all
# What may wait unsent for a slow reader, in bytes: at most, and at least with many streams.
MAX_UNSENT_BYTES = 1 << 17
MIN_UNSENT_BYTES = 1 << 14


class Source(Protocol):
    """The server's connection."""

    def pause(self) -> None: ...  # no more for now
    def resume(self) -> None: ...


class Stream:
    """An answer on its way through."""

    __slots__ = ("source", "length", "remaining", "tail", "first_byte_ms", "last_progress")

    def __init__(self, source: Source, length: int, first_byte_ms: float, now: float) -> None:
        """`first_byte_ms`: milliseconds from the send to the first bytes."""
        self.source, self.length, self.remaining, self.tail, self.first_byte_ms = (
            source,
            length,
            length,
            b"",
            first_byte_ms,
        )
        self.last_progress = now  # when a piece came or the reader last took something

    def feed(self, data: bytes) -> bytes:
        """What of the value can be passed on now."""
        self.remaining -= len(data)
        if self.remaining > TAIL_BYTES:
            return data
        data = self.tail + data
        keep = max(0, TAIL_BYTES - self.remaining)
        cut = max(0, len(data) - keep)
        self.tail = data[cut:]
        return data[:cut]


class ChunkedValue:
    """A large value that a client sends, held once."""

    __slots__ = ("chunks", "length")

    def __init__(self) -> None:
        self.chunks, self.length = list[bytearray](), 0

    def __len__(self) -> int:
        return self.length

    def append(self, data: bytes) -> None:
        self.length += len(data)
        if (
            self.chunks and len(self.chunks[-1]) < CHUNK_BYTES
        ):  # Danger: a value sent by the byte, an object for each
            self.chunks[-1] += data
        else:
            self.chunks.append(bytearray(data))


class MemoryBudget:
    """What large values of all clients hold, in bytes."""

    __slots__ = ("used", "limit")

    def __init__(self, limit: int) -> None:
        self.used, self.limit = 0, limit

    def reserve(self, count: int) -> bool:
        """Danger: many large writes at once; the node would be killed for memory."""
        if self.used + count > self.limit:
            return False
        self.used += count
        return True

    def release(self, count: int) -> None:
        self.used -= count
