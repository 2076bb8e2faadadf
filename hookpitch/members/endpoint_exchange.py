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

Requests and chunks: `list_chunks.py`. Times are milliseconds given by the caller. No I/O and no
clock.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec

from hookpitch.members.list_chunks import (
    INITIAL_CHUNK_MASK,
    MAX_CHUNKS,
    CompressedList,
    ListChunk,
    ListRequest,
    PartialList,
)
from hookpitch.members.messages import Address, Message, MessageKind
from hookpitch.members.rate_limit import RateLimit

# Between two requests of a node that has no list from anybody yet.
REQUEST_INTERVAL_MS = 300.0
# The same, once it has one or has requested `FAST_REQUEST_ROUNDS` times.
SLOW_REQUEST_INTERVAL_MS = 2000.0
FAST_REQUEST_ROUNDS = 10
# Members in one go; the first that answers is asked for the rest.
REQUEST_FANOUT = 3
# Requests in a row that bring no further chunk, before other members are asked.
MAX_REQUESTS_WITHOUT_PROGRESS = 3
# Since the holder last heard from discovery: as old as a snapshot may be.
MAX_LIST_AGE_MS = 3600000.0
MAX_CHUNKS_PER_S = 400
# A list that is sent is compressed anew after so long, or with a new version.
COMPRESSED_LIFETIME_MS = 1000.0
NEVER = float("inf")


@dataclass(frozen=True, slots=True)
class ListStatus:
    """What this node holds at one moment.

    `is_from_discovery`: discovery sent it to this process. `is_watch_open`: discovery's watch is
    open.
    """

    version: int
    is_from_discovery: bool
    is_watch_open: bool


@dataclass(frozen=True, slots=True)
class ReceivedList:
    """A complete list: discovery's JSON, and which member sent it."""

    version: int
    age_ms: float
    source: Address
    document: bytes


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
        self._discovery_contact_at = -NEVER
        self._partial: PartialList | None = None
        self._compressed: CompressedList | None = None
        self._rate_limit = RateLimit(MAX_CHUNKS_PER_S)

    # ---- requests

    def tick(self, now: float, own_status: ListStatus, members: Sequence[Address]) -> float:
        """Request the list if it is time to; returns when to call again.

        `members`: those that may be asked.
        """
        if own_status.is_watch_open:
            self._discovery_contact_at = now
        if own_status.is_from_discovery:
            self._partial = None
            return NEVER
        if now < self._request_at:
            return self._request_at
        self._send_requests(own_status.version, members)
        is_fast = self._request_rounds < FAST_REQUEST_ROUNDS and not self._has_accepted
        interval_ms = REQUEST_INTERVAL_MS if is_fast else SLOW_REQUEST_INTERVAL_MS
        self._request_at = now + interval_ms * (0.75 + self._random() / 2)
        return self._request_at

    def _send_requests(self, own_version: int, members: Sequence[Address]) -> None:
        """Request what is missing of a partial list, or the first chunks from some members."""
        partial = self._partial
        if (
            partial is not None
            and partial.requests_without_progress < MAX_REQUESTS_WITHOUT_PROGRESS
        ):
            partial.requests_without_progress += 1
            request = ListRequest(own_version, partial.digest, partial.missing_mask())
            self._send_request(partial.source, request)
            return
        self._partial = None
        request = ListRequest(own_version, b"", INITIAL_CHUNK_MASK)
        for address in sorted(members, key=lambda _: self._random())[:REQUEST_FANOUT]:
            self._send_request(address, request)
        self._request_rounds += 1

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
        own_status: ListStatus,
        document: Callable[[], bytes],
    ) -> None:
        """Answer another node; `document` makes discovery's JSON of the list that is held."""
        request = ListRequest.parse(message.payload)
        if request is None:
            self._count("members.lists_wrong")
            return
        if own_status.is_watch_open:
            self._discovery_contact_at = now
        age_ms = now - self._discovery_contact_at
        if (
            not own_status.is_from_discovery
            or age_ms > MAX_LIST_AGE_MS
            or own_status.version <= request.version
        ):
            return
        compressed = self._compress(now, own_status.version, document)
        if compressed.chunk_count > MAX_CHUNKS:
            self._count("members.lists_long")
            return
        for index in compressed.requested_chunks(request):
            # Hundreds of nodes that start at once must not take CPU and link from RPCs.
            if not self._rate_limit.allow(now):
                self._count("members.lists_busy")
                return
            self._send_chunk(source, compressed.chunk(index, max(0.0, age_ms)))

    def _compress(self, now: float, version: int, document: Callable[[], bytes]) -> CompressedList:
        cached = self._compressed
        if cached is not None and cached.version == version:
            if now - cached.compressed_at <= COMPRESSED_LIFETIME_MS:
                return cached
        self._compressed = CompressedList.compress(version, now, document())
        return self._compressed

    def _send_chunk(self, address: Address, chunk: ListChunk) -> None:
        self._count("members.lists_told")
        payload = msgspec.msgpack.encode(chunk)
        self.outbox.append((address, Message(MessageKind.LIST_CHUNK, self.name, payload=payload)))

    # ---- chunks that come

    def handle_chunk(
        self, now: float, source: Address, message: Message, own_status: ListStatus
    ) -> ReceivedList | None:
        """Take a chunk; returns the list once it is complete."""
        chunk = ListChunk.parse(message.payload)
        if chunk is None:
            self._count("members.lists_wrong")
            return None
        is_outdated = chunk.version <= own_status.version or chunk.age_ms > MAX_LIST_AGE_MS
        if own_status.is_from_discovery or is_outdated:
            self._count("members.lists_old")
            return None
        partial = self._partial_list_for(now, source, chunk)
        if partial is None:
            return None
        partial.add(chunk)
        if partial.missing_mask():
            return None
        self._partial = None
        document = partial.document()
        if document is None:
            self._count("members.lists_wrong")
            return None
        self._has_accepted = True
        age_ms = chunk.age_ms + now - partial.started_at
        return ReceivedList(chunk.version, age_ms, source, document)

    def _partial_list_for(
        self, now: float, source: Address, chunk: ListChunk
    ) -> PartialList | None:
        """The list that the chunk belongs to; None where another one goes on."""
        partial = self._partial
        if partial is not None and partial.includes(source, chunk):
            return partial
        # Another member's list that is no newer gives way; one of the same member has changed.
        if partial is not None and partial.source != source and chunk.version <= partial.version:
            return None
        self._partial = PartialList(
            source, chunk.version, chunk.age_ms, chunk.digest, chunk.count, now
        )
        self._request_at = now + REQUEST_INTERVAL_MS
        return self._partial
