"""A compressed endpoint list in chunks of one datagram each, and the request for them.

A request is `[version held, digest, mask of chunks]`, a chunk `[version, age in ms, digest, index,
count, bytes]`, both in msgpack; later versions may extend either. The list itself is discovery's
own JSON, deflated. Chunks of two lists never mix: each has the digest of its list. No I/O.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import NamedTuple

import msgspec

from hookpitch.members.messages import Address

# A mask: the chunks that are requested while no list is known.
INITIAL_CHUNK_MASK = 0xF
CHUNK_BYTES = 900
MAX_CHUNKS = 64
MAX_LIST_BYTES = 1 << 20
COMPRESSION_LEVEL = 6
DIGEST_BYTES = 8
INTEGER_LIMIT = 1 << 62


class ListRequest(NamedTuple):
    """Which chunks a member wants; `digest` is of the list that it has a part of, or empty."""

    version: int
    digest: bytes
    chunk_mask: int

    @classmethod
    def parse(cls, payload: bytes) -> ListRequest | None:
        """The request, None where the payload is none."""
        try:
            version, digest, chunk_mask, *_ = msgspec.msgpack.decode(payload)
        except (msgspec.MsgspecError, ValueError, TypeError):
            return None
        if not (
            _is_unsigned_integer(version)
            and type(digest) is bytes
            and _is_unsigned_integer(chunk_mask)
        ):
            return None
        return cls(version, digest, chunk_mask)


class ListChunk(NamedTuple):
    """One part of a compressed list, `index` of `count`; `digest` is of the whole."""

    version: int
    age_ms: float
    digest: bytes
    index: int
    count: int
    data: bytes

    @classmethod
    def parse(cls, payload: bytes) -> ListChunk | None:
        """The chunk, None where the payload is none."""
        try:
            version, age_ms, digest, index, count, data, *_ = msgspec.msgpack.decode(payload)
        except (msgspec.MsgspecError, ValueError, TypeError):
            return None
        chunk = cls(version, age_ms, digest, index, count, data)
        return chunk if chunk.is_valid() else None

    def is_valid(self) -> bool:
        """Whether each field has its type and is within bounds."""
        if not (_is_unsigned_integer(self.version) and type(self.digest) is bytes):
            return False
        if not (type(self.age_ms) in (int, float) and self.age_ms >= 0):
            return False
        if not (_is_unsigned_integer(self.index) and _is_unsigned_integer(self.count)):
            return False
        if not self.index < self.count <= MAX_CHUNKS:
            return False
        return type(self.data) is bytes and 0 < len(self.data) <= CHUNK_BYTES


@dataclass(slots=True)
class PartialList:
    """A list of which some chunks are missing.

    `age_ms`: since its sender last heard from discovery, at `started_at`.
    `requests_without_progress`: requests since the last new chunk.
    """

    source: Address
    version: int
    age_ms: float
    digest: bytes
    count: int
    started_at: float
    requests_without_progress: int = 0
    chunks: dict[int, bytes] = field(default_factory=dict)

    def missing_mask(self) -> int:
        """A bit for each chunk that has not come; 0 once the list is complete."""
        return sum(1 << index for index in range(self.count) if index not in self.chunks)

    def includes(self, source: Address, chunk: ListChunk) -> bool:
        """Whether the chunk is of this list."""
        expected = (self.source, self.digest, self.count)
        return expected == (source, chunk.digest, chunk.count)

    def add(self, chunk: ListChunk) -> None:
        """Keep the chunk, if it is new."""
        if chunk.index not in self.chunks:
            self.chunks[chunk.index] = chunk.data
            self.requests_without_progress = 0

    def document(self) -> bytes | None:
        """The complete list, None where the chunks are no list or one that is too long."""
        compressed = b"".join(self.chunks[index] for index in range(self.count))
        if list_digest(compressed) != self.digest:
            return None
        decompressor = zlib.decompressobj()
        try:
            document = decompressor.decompress(compressed, MAX_LIST_BYTES)
        except zlib.error:
            return None
        return document if decompressor.eof else None


class CompressedList(NamedTuple):
    """A list as it is sent."""

    version: int
    compressed_at: float
    data: bytes
    digest: bytes

    @classmethod
    def compress(cls, version: int, now: float, document: bytes) -> CompressedList:
        """Compress discovery's JSON."""
        data = zlib.compress(document, COMPRESSION_LEVEL)
        return cls(version, now, data, list_digest(data))

    @property
    def chunk_count(self) -> int:
        """How many chunks it takes."""
        return -(-len(self.data) // CHUNK_BYTES)

    def requested_chunks(self, request: ListRequest) -> list[int]:
        """Indices; the first ones where the list has changed since the last request."""
        mask = request.chunk_mask
        if request.digest and request.digest != self.digest:
            mask = INITIAL_CHUNK_MASK
        return [index for index in range(self.chunk_count) if mask >> index & 1]

    def chunk(self, index: int, age_ms: float) -> ListChunk:
        """One part of it."""
        data = self.data[index * CHUNK_BYTES : (index + 1) * CHUNK_BYTES]
        return ListChunk(self.version, age_ms, self.digest, index, self.chunk_count, data)


def list_digest(compressed: bytes) -> bytes:
    """The digest that each chunk of a list has."""
    return blake2b(compressed, digest_size=DIGEST_BYTES).digest()


def _is_unsigned_integer(value: object) -> bool:
    return type(value) is int and 0 <= value < INTEGER_LIMIT
