"""Exchange of endpoint lists between members, for a node without a list from discovery.

A starting node requests the list from some members before its first poll of discovery is due, and
repeats the request while discovery sends no list. A member that has recently been in contact with
discovery answers with its list, in chunks of one datagram each. This module decides when to send a
request and to which members, and which lists to accept; `port.py` sends and receives the datagrams
and applies the list to the node.

Invariants:

- once discovery has sent this process a list, nothing is requested and nothing is accepted, because
  discovery takes precedence over members;
- a node sends only a list that it received from discovery, and only within `MAX_LIST_AGE_MS` of its
  last contact with discovery: no member spreads the wrong list of another one. Of two lists the one
  with the higher version prevails, not the one with the lower age;
- a list is accepted only if its version is higher than that of the current list, and only once it
  is complete. The chunks of two lists are never mixed, because each carries the digest of its list,
  and a list that decompresses to more than `MAX_LIST_BYTES` is rejected;
- a node sends at most `REQUEST_FANOUT` requests per `REQUEST_INTERVAL_MS`, and at most
  `MAX_CHUNKS_PER_S` chunks per second to all requesters together.

`list_chunks.py` defines requests and chunks. Times are milliseconds given by the caller. No I/O and
no clock.
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

# Time between two request rounds of a node that no member has sent a list yet.
REQUEST_INTERVAL_MS = 300.0
# The same, once a member has sent a list or after `FAST_REQUEST_ROUNDS` rounds.
SLOW_REQUEST_INTERVAL_MS = 2000.0
FAST_REQUEST_ROUNDS = 10
# The number of members in one round; the first that answers receives the further requests.
REQUEST_FANOUT = 3
# After this number of consecutive requests without a new chunk, other members are asked.
MAX_REQUESTS_WITHOUT_PROGRESS = 3
# The longest time since the sender's last contact with discovery: the same as the greatest age of a
# snapshot.
MAX_LIST_AGE_MS = 3600000.0
MAX_CHUNKS_PER_S = 400
# A compressed list is cached for this time, or until the version changes.
COMPRESSED_LIFETIME_MS = 1000.0
NEVER = float("inf")


@dataclass(frozen=True, slots=True)
class ListStatus:
    """The state of this node's own endpoint list.

    `is_from_discovery`: discovery has sent this process a list. `is_watch_open`: in addition, the
    watch on discovery is open, so the list is up to date.
    """

    version: int
    is_from_discovery: bool
    is_watch_open: bool


@dataclass(frozen=True, slots=True)
class ReceivedList:
    """A complete list: the JSON document of discovery, and the member that sent it."""

    version: int
    age_ms: float
    source: Address
    document: bytes


class EndpointExchange:
    """The requests and answers of one node; `outbox` holds the datagrams to send."""

    def __init__(
        self, now: float, name: str, random: Callable[[], float], count: Callable[[str], None]
    ) -> None:
        """Create the exchange of the node `name`; `count` adds one to the counter of a name."""
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
        """Request the list if a request is due, and return when to call again.

        `members` are the members that may be asked.
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
        """Request the missing chunks of a partial list, or the first chunks from some members."""
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
        """Answer another node; `document` returns this node's list as a JSON document."""
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
            # Answering hundreds of nodes that start at once must not take CPU time and bandwidth
            # from RPCs.
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

    # ---- received chunks

    def handle_chunk(
        self, now: float, source: Address, message: Message, own_status: ListStatus
    ) -> ReceivedList | None:
        """Process a chunk, and return the list once it is complete."""
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
        """Return the partial list that the chunk belongs to, or None to ignore the chunk."""
        partial = self._partial
        if partial is not None and partial.includes(source, chunk):
            return partial
        # Another member's list is ignored unless its version is higher. If the chunk is of the same
        # member, that member's list has changed, and the new list replaces the partial one.
        if partial is not None and partial.source != source and chunk.version <= partial.version:
            return None
        self._partial = PartialList(
            source, chunk.version, chunk.age_ms, chunk.digest, chunk.count, now
        )
        self._request_at = now + REQUEST_INTERVAL_MS
        return self._partial
