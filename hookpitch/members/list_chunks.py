"""Compressed endpoint lists, split into chunks of one datagram each, and requests for chunks.

Both are msgpack arrays that later versions may extend:

- a request is `[version that the requester has, digest, mask of chunks]`;
- a chunk is `[version, age in ms, digest, index, count, bytes]`.

The list itself is the JSON document of discovery, compressed with zlib. Each chunk carries the
digest of its list, so that the chunks of two lists are never mixed. No I/O.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import NamedTuple

import msgspec

from hookpitch.members.messages import Address

# A request without a partial list asks for the first four chunks.
INITIAL_CHUNK_MASK = 0xF
CHUNK_BYTES = 900
MAX_CHUNKS = 64
MAX_LIST_BYTES = 1 << 20
COMPRESSION_LEVEL = 6
DIGEST_BYTES = 8
INTEGER_LIMIT = 1 << 62  # exclusive


class ListRequest(NamedTuple):
    """A request for chunks; `digest` is that of the partial list to complete, empty if none."""

    version: int
    digest: bytes
    chunk_mask: int

    @classmethod
    def parse(cls, payload: bytes) -> ListRequest | None:
        """Return the request, or None if the payload is not a valid one."""
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
    """Chunk `index` of `count` of a compressed list; `digest` is that of the complete list."""

    version: int
    age_ms: float
    digest: bytes
    index: int
    count: int
    data: bytes

    @classmethod
    def parse(cls, payload: bytes) -> ListChunk | None:
        """Return the chunk, or None if the payload is not a valid one."""
        try:
            version, age_ms, digest, index, count, data, *_ = msgspec.msgpack.decode(payload)
        except (msgspec.MsgspecError, ValueError, TypeError):
            return None
        chunk = cls(version, age_ms, digest, index, count, data)
        return chunk if chunk.is_valid() else None

    def is_valid(self) -> bool:
        """Return whether each field has the right type and is within its limits."""
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

    `started_at` is when the first chunk was received; `age_ms` is the time from the sender's last
    contact with discovery until then. `requests_without_progress` counts the requests since the
    last new chunk.
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
        """Return a mask with a bit for each missing chunk, 0 once the list is complete."""
        return sum(1 << index for index in range(self.count) if index not in self.chunks)

    def includes(self, source: Address, chunk: ListChunk) -> bool:
        """Return whether the chunk belongs to this list and comes from the same member."""
        expected = (self.source, self.digest, self.count)
        return expected == (source, chunk.digest, chunk.count)

    def add(self, chunk: ListChunk) -> None:
        """Store the chunk if it is new."""
        if chunk.index not in self.chunks:
            self.chunks[chunk.index] = chunk.data
            self.requests_without_progress = 0

    def document(self) -> bytes | None:
        """Return the decompressed list, or None if it is corrupted or exceeds `MAX_LIST_BYTES`."""
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
    """A compressed list, as it is sent in chunks; `compressed_at` is a time in ms."""

    version: int
    compressed_at: float
    data: bytes
    digest: bytes

    @classmethod
    def compress(cls, version: int, now: float, document: bytes) -> CompressedList:
        """Compress a JSON document of discovery."""
        data = zlib.compress(document, COMPRESSION_LEVEL)
        return cls(version, now, data, list_digest(data))

    @property
    def chunk_count(self) -> int:
        """The number of chunks of the list."""
        return -(-len(self.data) // CHUNK_BYTES)

    def requested_chunks(self, request: ListRequest) -> list[int]:
        """Return the indices of the chunks to send: the first ones if the list has changed."""
        mask = request.chunk_mask
        if request.digest and request.digest != self.digest:
            mask = INITIAL_CHUNK_MASK
        return [index for index in range(self.chunk_count) if mask >> index & 1]

    def chunk(self, index: int, age_ms: float) -> ListChunk:
        """Return the chunk at `index`."""
        data = self.data[index * CHUNK_BYTES : (index + 1) * CHUNK_BYTES]
        return ListChunk(self.version, age_ms, self.digest, index, self.chunk_count, data)


def list_digest(compressed: bytes) -> bytes:
    """Return the digest that each chunk of a list carries."""
    return blake2b(compressed, digest_size=DIGEST_BYTES).digest()


def _is_unsigned_integer(value: object) -> bool:
    return type(value) is int and 0 <= value < INTEGER_LIMIT
