"""Values too large to hold: answers in pieces, and what large writes may hold.

An answer over `resp.VALUE_MOST` goes from its server's connection (the source) to its client's in
pieces.
Its last bytes stay here until the server's whole reply has been read and found right, so that a
spoilt answer
never looks whole. Invariants: what was passed on plus what is held is what came; a stream ends
once.
"""

from __future__ import annotations

from typing import Protocol

HELD = 1024  # bytes at the end of a value that wait for the rest of its reply
PIECE = 32768  # bytes from which on a piece of a write is closed
MOST = 1 << 22  # bytes of a value that passes at all
ROOM = (
    1 << 17,
    1 << 14,
)  # bytes that wait for a slow reader: at most, and at least with many streams


class Source(Protocol):
    """The server's connection."""

    def hold(self) -> None: ...  # no more for now
    def go(self) -> None: ...


class Stream:
    """An answer on its way through."""

    __slots__ = ("source", "length", "left", "held", "took", "moved")

    def __init__(self, source: Source, length: int, took: float, now: float) -> None:
        """`took`: milliseconds from the send to the first bytes."""
        self.source, self.length, self.left, self.held, self.took = (
            source,
            length,
            length,
            b"",
            took,
        )
        self.moved = now  # when a piece came or the reader last took something

    def piece(self, data: bytes) -> bytes:
        """What of the value can be passed on now."""
        self.left -= len(data)
        if self.left > HELD:
            return data
        data = self.held + data
        keep = max(0, HELD - self.left)
        cut = max(0, len(data) - keep)
        self.held = data[cut:]
        return data[:cut]


class ChunkedValue:
    """A large value that a client sends, held once."""

    __slots__ = ("parts", "length")

    def __init__(self) -> None:
        self.parts, self.length = list[bytearray](), 0

    def __len__(self) -> int:
        return self.length

    def add(self, data: bytes) -> None:
        self.length += len(data)
        if (
            self.parts and len(self.parts[-1]) < PIECE
        ):  # Danger: a value sent by the byte, an object for each
            self.parts[-1] += data
        else:
            self.parts.append(bytearray(data))


class MemoryBudget:
    """What large values of all clients hold, in bytes."""

    __slots__ = ("now", "most")

    def __init__(self, most: int) -> None:
        self.now, self.most = 0, most

    def take(self, count: int) -> bool:
        """Danger: many large writes at once; the node would be killed for memory."""
        if self.now + count > self.most:
            return False
        self.now += count
        return True

    def give_back(self, count: int) -> None:
        self.now -= count
