"""The endpoint list from another member, for a node that discovery has sent none yet.

A node that starts requests the list from some members before its poll of discovery is due, and
again while discovery sends nothing; a member that has lately heard from discovery answers with what
it holds, in chunks of one datagram each. Who requests, from whom and when, and what is accepted is
decided here; `port.py` carries the datagrams and hands the list to the node.

Invariants:

- nothing is requested and nothing accepted once discovery has sent this process a list: its word
  comes first;
- a list is passed on only by a node that had it from discovery, and heard from discovery within
  `MAX_LIST_AGE_MS`: one member's mistake is not repeated by another. Of two lists the one of the
  higher version prevails, not the younger;
- a list is accepted only if its version is higher than that of the one held, and it is complete:
  chunks of two lists never mix (each has the digest of its list), and what decompresses to more
  than `MAX_LIST_BYTES` is refused;
- at most `REQUEST_FANOUT` requests each `REQUEST_INTERVAL_MS`, and at most `MAX_CHUNKS_PER_S`
  chunks sent a second, whoever requests them.

A request is `[version held, digest, mask of chunks]`, a chunk `[version, age in ms, digest, index,
count, bytes]`, both in msgpack; later versions may extend either. The list itself is discovery's
own JSON, deflated. Times are milliseconds given by the caller. No I/O and no clock.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import NamedTuple

import msgspec

from hookpitch.members.messages import Address, Message, MessageKind
from hookpitch.members.rate_limit import RateLimit

# Between two requests of a node that has no list from anybody yet.
REQUEST_INTERVAL_MS = 300.0
# The same, once it has one or has requested `EAGER_REQUESTS` times.
SLOW_REQUEST_INTERVAL_MS = 2000.0
EAGER_REQUESTS = 10
# Members in one go; the first that answers is asked for the rest.
REQUEST_FANOUT = 3
# Requests in a row that bring no further chunk, before other members are asked.
MAX_FRUITLESS_REQUESTS = 3
# A mask: the chunks that are requested while no list is known.
FIRST_CHUNKS = 0xF
# Since the holder last heard from discovery: as old as a snapshot may be.
MAX_LIST_AGE_MS = 3600000.0
CHUNK_BYTES = 900
MAX_CHUNKS = 64
MAX_LIST_BYTES = 1 << 20
MAX_CHUNKS_PER_S = 400
# A list that is sent is compressed anew after so long, or with a new version.
COMPRESSED_LIFETIME_MS = 1000.0
COMPRESSION_LEVEL = 6
DIGEST_BYTES = 8
MAX_COUNT = 1 << 62
NEVER = float("inf")


@dataclass(frozen=True, slots=True)
class ListStatus:
    """What this node holds at one moment.

    `from_discovery`: discovery sent it to this process. `is_live`: discovery's watch is open.
    """

    version: int
    from_discovery: bool
    is_live: bool


@dataclass(frozen=True, slots=True)
class ReceivedList:
    """A complete list: discovery's JSON, and which member sent it."""

    version: int
    age_ms: float
    source: Address
    document: bytes


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
        if not (_is_count(version) and type(digest) is bytes and _is_count(chunk_mask)):
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
        if not (_is_count(self.version) and type(self.digest) is bytes):
            return False
        if not (type(self.age_ms) in (int, float) and self.age_ms >= 0):
            return False
        if not (_is_count(self.index) and _is_count(self.count)):
            return False
        if not self.index < self.count <= MAX_CHUNKS:
            return False
        return type(self.data) is bytes and 0 < len(self.data) <= CHUNK_BYTES


@dataclass(slots=True)
class _PartialList:
    """A list of which some chunks are missing."""

    source: Address
    version: int
    age_ms: float
    digest: bytes
    count: int
    started_at: float
    fruitless_requests: int = 0
    chunks: dict[int, bytes] = field(default_factory=dict)

    def missing_mask(self) -> int:
        return sum(1 << index for index in range(self.count) if index not in self.chunks)

    def is_continued_by(self, source: Address, chunk: ListChunk) -> bool:
        mine = (self.source, self.digest, self.count)
        return mine == (source, chunk.digest, chunk.count)


class _CompressedList(NamedTuple):
    """The list that this node holds, as it is sent."""

    version: int
    compressed_at: float
    data: bytes
    digest: bytes

    @property
    def chunk_count(self) -> int:
        return -(-len(self.data) // CHUNK_BYTES)

    def requested_chunks(self, request: ListRequest) -> list[int]:
        """Indices; all from the beginning where the list has changed since the last request."""
        mask = request.chunk_mask
        if request.digest and request.digest != self.digest:
            mask = FIRST_CHUNKS
        return [index for index in range(self.chunk_count) if mask >> index & 1]

    def chunk(self, index: int, age_ms: float) -> ListChunk:
        data = self.data[index * CHUNK_BYTES : (index + 1) * CHUNK_BYTES]
        return ListChunk(self.version, age_ms, self.digest, index, self.chunk_count, data)


class EndpointExchange:
    """One node's requests and answers. `outbox` holds what is to be sent."""

    def __init__(
        self, now: float, name: str, random: Callable[[], float], count: Callable[[str], None]
    ) -> None:
        """`count` adds one to the counter of a name."""
        self.name = name
        self.outbox: list[tuple[Address, Message]] = []
        self._random = random
        self._count = count
        self._request_at = now
        self._request_rounds = 0
        self._has_accepted = False
        self._discovery_heard_at = -NEVER
        self._partial: _PartialList | None = None
        self._compressed: _CompressedList | None = None
        self._rate_limit = RateLimit(MAX_CHUNKS_PER_S)

    # ---- requests

    def tick(self, now: float, held: ListStatus, members: Sequence[Address]) -> float:
        """Request the list if it is time to; returns when to call again.

        `members`: those that may be asked.
        """
        if held.is_live:
            self._discovery_heard_at = now
        if held.from_discovery:
            self._partial = None
            return NEVER
        if now < self._request_at:
            return self._request_at
        partial = self._partial
        if partial is not None and partial.fruitless_requests < MAX_FRUITLESS_REQUESTS:
            partial.fruitless_requests += 1
            request = ListRequest(held.version, partial.digest, partial.missing_mask())
            self._send_request(partial.source, request)
        else:
            self._partial = None
            request = ListRequest(held.version, b"", FIRST_CHUNKS)
            for address in sorted(members, key=lambda _: self._random())[:REQUEST_FANOUT]:
                self._send_request(address, request)
            self._request_rounds += 1
        eager = self._request_rounds < EAGER_REQUESTS and not self._has_accepted
        interval_ms = REQUEST_INTERVAL_MS if eager else SLOW_REQUEST_INTERVAL_MS
        self._request_at = now + interval_ms * (0.75 + self._random() / 2)
        return self._request_at

    def _send_request(self, address: Address, request: ListRequest) -> None:
        self._count("members.lists_wished")
        payload = msgspec.msgpack.encode(request)
        self.outbox.append((address, Message(MessageKind.LIST_REQUEST, self.name, payload=payload)))

    # ---- answers

    def handle_request(
        self,
        now: float,
        source: Address,
        message: Message,
        held: ListStatus,
        document: Callable[[], bytes],
    ) -> None:
        """Answer another node; `document` makes discovery's JSON of the list that is held."""
        request = ListRequest.parse(message.payload)
        if request is None:
            self._count("members.lists_wrong")
            return
        if held.is_live:
            self._discovery_heard_at = now
        age_ms = now - self._discovery_heard_at
        if not held.from_discovery or age_ms > MAX_LIST_AGE_MS or held.version <= request.version:
            return
        compressed = self._compress(now, held.version, document)
        if compressed.chunk_count > MAX_CHUNKS:
            self._count("members.lists_long")
            return
        for index in compressed.requested_chunks(request):
            # Hundreds of nodes that start at once must not take CPU and link from RPCs.
            if not self._rate_limit.allow(now):
                self._count("members.lists_busy")
                return
            self._send_chunk(source, compressed.chunk(index, max(0.0, age_ms)))

    def _compress(self, now: float, version: int, document: Callable[[], bytes]) -> _CompressedList:
        kept = self._compressed
        if kept is not None and kept.version == version:
            if now - kept.compressed_at <= COMPRESSED_LIFETIME_MS:
                return kept
        data = zlib.compress(document(), COMPRESSION_LEVEL)
        self._compressed = _CompressedList(version, now, data, list_digest(data))
        return self._compressed

    def _send_chunk(self, address: Address, chunk: ListChunk) -> None:
        self._count("members.lists_told")
        payload = msgspec.msgpack.encode(chunk)
        self.outbox.append((address, Message(MessageKind.LIST_CHUNK, self.name, payload=payload)))

    # ---- chunks that come

    def handle_chunk(
        self, now: float, source: Address, message: Message, held: ListStatus
    ) -> ReceivedList | None:
        """Take a chunk; returns the list once it is complete."""
        chunk = ListChunk.parse(message.payload)
        if chunk is None:
            self._count("members.lists_wrong")
            return None
        outdated = chunk.version <= held.version or chunk.age_ms > MAX_LIST_AGE_MS
        if held.from_discovery or outdated:
            self._count("members.lists_old")
            return None
        partial = self._partial_list_for(now, source, chunk)
        if partial is None:
            return None
        if chunk.index not in partial.chunks:
            partial.chunks[chunk.index] = chunk.data
            partial.fruitless_requests = 0
        if partial.missing_mask():
            return None
        self._partial = None
        document = _decompressed(partial)
        if document is None:
            self._count("members.lists_wrong")
            return None
        self._has_accepted = True
        age_ms = chunk.age_ms + now - partial.started_at
        return ReceivedList(chunk.version, age_ms, source, document)

    def _partial_list_for(
        self, now: float, source: Address, chunk: ListChunk
    ) -> _PartialList | None:
        """The list that the chunk belongs to; None where another one goes on."""
        partial = self._partial
        if partial is not None and partial.is_continued_by(source, chunk):
            return partial
        # Another member's list that is no newer gives way; one of the same member has changed.
        if partial is not None and partial.source != source and chunk.version <= partial.version:
            return None
        self._partial = _PartialList(
            source, chunk.version, chunk.age_ms, chunk.digest, chunk.count, now
        )
        self._request_at = now + REQUEST_INTERVAL_MS
        return self._partial


def list_digest(compressed: bytes) -> bytes:
    """The digest that each chunk of a list has."""
    return blake2b(compressed, digest_size=DIGEST_BYTES).digest()


def _decompressed(complete: _PartialList) -> bytes | None:
    """The document, None where the chunks are no list or one that is too long."""
    compressed = b"".join(complete.chunks[index] for index in range(complete.count))
    if list_digest(compressed) != complete.digest:
        return None
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(compressed, MAX_LIST_BYTES)
    except zlib.error:
        return None
    return document if decompressor.eof else None


def _is_count(value: object) -> bool:
    return type(value) is int and 0 <= value < MAX_COUNT
