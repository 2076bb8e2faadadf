"""Large values: replies that are streamed, and values that are collected in chunks.

A reply value over `resp.MAX_BULK_BYTES` is forwarded in chunks, from the backend's connection (the
source) to the client's. Its last `TAIL_BYTES` are retained until the backend's complete reply has
been read and found valid, so that a malformed reply never looks complete to the client. Invariants:
the forwarded bytes followed by the tail are the bytes received; a stream ends once. Sizes are in
bytes.
"""

from __future__ import annotations

from typing import Protocol

TAIL_BYTES = 1024
CHUNK_BYTES = 32768  # from this size on a chunk of a large write is full
MAX_STREAMED_BYTES = 1 << 22  # the largest value that is accepted at all
# The bytes that may wait unsent for a slow reader: with few streams, and with many.
MAX_UNSENT_BYTES = 1 << 17
MIN_UNSENT_BYTES = 1 << 12
# Reserved for a stream before it starts: its reader may leave so much unread, plus one chunk.
MIN_STREAM_MEMORY_BYTES = 1 << 14


class Source(Protocol):
    """What a streamed reply is read from, such as the backend's connection."""

    is_complete: bool  # the node holds the whole reply, so that no backend can break it off

    def pause(self) -> None:
        """Stop reading until `resume` is called."""

    def resume(self) -> None:
        """Continue reading."""


class Stream:
    """A reply value that is being forwarded in chunks."""

    __slots__ = ("source", "length", "remaining", "tail", "first_byte_ms", "last_progress")

    def __init__(self, source: Source, length: int, first_byte_ms: float, now: float) -> None:
        """Start a stream; `first_byte_ms` is the time from the sending to the first bytes."""
        self.source = source
        self.length = length
        self.remaining = length  # bytes that the source has not delivered yet
        self.tail = b""
        self.first_byte_ms = first_byte_ms
        self.last_progress = now  # when a chunk last arrived, or the reader last accepted data

    def feed(self, data: bytes) -> bytes:
        """Accept the next chunk and return the part of the value that can be forwarded now."""
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
        """Add the next bytes."""
        self.length += len(data)
        # A value that arrives one byte at a time must not become one object per byte.
        if self.chunks and len(self.chunks[-1]) < CHUNK_BYTES:
            self.chunks[-1] += data
        else:
            self.chunks.append(bytearray(data))
