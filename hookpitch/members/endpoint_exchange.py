"""A list of cache servers from another member, for a node that discovery has told none. No I/O, no
clock.

A node that starts asks some members before its call to discovery is due, and again while discovery
tells it
nothing; who has lately heard discovery itself answers with what it holds, in parts of one datagram
each. Who
asks, whom and when, and what is taken are decided here; `port.py` carries it and gives the list to
the node.

Invariants:

- nothing is asked for, and nothing taken, once discovery has told this process a list: its word
  goes first;
- a list is told on only by a node whom discovery told it, and that heard discovery in the last
  `MAX_LIST_AGE_MS`:
  one member's lie is not another's word. Of two lists the one of the higher version goes, not the
  younger;
- a list is taken only if its version is higher than that of the one held, and it is whole: parts
  of two
  lists never mix (a digest in each), and what unpacks to more than `MAX_LIST_BYTES` bytes is none;
- at most `ASKED` wishes each `AGAIN_MS`, and at most `MAX_CHUNKS_PER_S` parts told a second,
  whoever asks.

A part is `[version, age in ms, digest, index, count, bytes]`, a wish `[version held, digest, mask
of parts]`,
in msgpack; later versions may make both longer. The list itself is discovery's own JSON, deflated.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b

import msgspec

from hookpitch.members.state import Address, Message, MessageKind

AGAIN_MS = 300.0  # between two wishes of one that has no list from anybody yet
RARELY_MS = 2000.0  # the same, once it has one or has asked `SOON` times
SOON = 10
ASKED = 3  # members in one go; the first that answers is asked for what lacks
TRIES = 3  # wishes in a row that bring no further part, before others are asked
FIRST = 0xF  # the parts that one who knows of no list wishes for
MAX_LIST_AGE_MS = 3600000.0  # since its teller last heard discovery: as old as a snapshot may be
PART = 900  # bytes
PARTS_MOST = 64
MAX_LIST_BYTES = 1 << 20  # bytes of a list
MAX_CHUNKS_PER_S = 400
PACKED_MS = 1000.0  # a list that is told is packed anew after so long, or with a new version
FAR = float("inf")


@dataclass(frozen=True, slots=True)
class ListStatus:
    """What this node holds, at one look. `told`: by discovery, to this process; `fresh`: it is
    heard now."""

    version: int
    told: bool
    fresh: bool


@dataclass(slots=True)
class _Coming:
    """A list of which not all parts are here."""

    source: Address
    version: int
    age: float
    digest: bytes
    count: int
    begun: float
    tries: int = 0
    parts: dict[int, bytes] = field(default_factory=dict)

    def lacking(self) -> int:
        return sum(1 << n for n in range(self.count) if n not in self.parts)


@dataclass(frozen=True, slots=True)
class ReceivedList:
    """A whole list: discovery's JSON, and from whom."""

    version: int
    age: float  # ms
    source: Address
    text: bytes


def list_digest(packed: bytes) -> bytes:
    return blake2b(packed, digest_size=8).digest()


class EndpointExchange:
    """One node's asking and telling. `out` holds what is to be sent."""

    def __init__(
        self, now: float, name: str, chance: Callable[[], float], count: Callable[[str], None]
    ) -> None:
        self.name, self.chance, self.count = name, chance, count
        self.outbox: list[tuple[Address, Message]] = []
        self._ask_at, self._asked = now, 0
        self._heard = -FAR  # discovery, as far as this node was looked at
        self._coming: _Coming | None = None
        self._packed: tuple[int, float, bytes] | None = None  # version, when, bytes
        self._second, self._told = 0, 0
        self._has = False  # a list was taken

    def tick(self, now: float, held: ListStatus, who: Sequence[Address]) -> float:
        """Ask, where it is time; the next is due at what is returned. `who`: those who may be
        asked."""
        if held.fresh:
            self._heard = now
        if held.told:
            self._coming = None
            return FAR
        if now < self._ask_at:
            return self._ask_at
        coming = self._coming
        if coming is not None and coming.tries < TRIES:
            coming.tries += 1
            self._wish(coming.source, held.version, coming.digest, coming.lacking())
        else:
            self._coming = None
            for to in sorted(who, key=lambda _: self.chance())[:ASKED]:
                self._wish(to, held.version, b"", FIRST)
            self._asked += 1
        span = AGAIN_MS if self._asked < SOON and not self._has else RARELY_MS
        self._ask_at = now + span * (0.75 + self.chance() / 2)
        return self._ask_at

    def _wish(self, to: Address, version: int, wanted: bytes, mask: int) -> None:
        self.count("members.lists_wished")
        data = msgspec.msgpack.encode((version, wanted, mask))
        self.outbox.append((to, Message(MessageKind.LIST_REQUEST, self.name, payload=data)))

    def handle_request(
        self,
        now: float,
        source: Address,
        message: Message,
        held: ListStatus,
        text: Callable[[], bytes],
    ) -> None:
        """Another asks; `text` gives the list that is held, as discovery's JSON, and is called
        seldom."""
        try:
            version, wanted, mask, *_ = msgspec.msgpack.decode(message.payload)
            _fits(_count(version) and type(wanted) is bytes and _count(mask))
        except (msgspec.MsgspecError, ValueError, TypeError):
            self.count("members.lists_wrong")
            return
        self._heard = now if held.fresh else self._heard
        age = now - self._heard
        if not held.told or age > MAX_LIST_AGE_MS or held.version <= version:
            return
        if (
            self._packed is None
            or self._packed[0] != held.version
            or now - self._packed[1] > PACKED_MS
        ):
            self._packed = held.version, now, zlib.compress(text(), 6)
        packed = self._packed[2]
        here, count = list_digest(packed), -(-len(packed) // PART)
        if count > PARTS_MOST:
            self.count("members.lists_long")
            return
        mask = (
            FIRST if wanted and wanted != here else mask
        )  # another list by now: from its beginning
        for n in range(count):
            if not mask >> n & 1:
                continue
            # Danger: hundreds that start at once, or a flood of wishes, take the CPU and the link
            # from RPCs.
            self._told = self._told + 1 if int(now // 1000) == self._second else 1
            self._second = int(now // 1000)
            if self._told > MAX_CHUNKS_PER_S:
                self.count("members.lists_busy")
                return
            part = packed[n * PART : (n + 1) * PART]
            data = msgspec.msgpack.encode((held.version, max(0.0, age), here, n, count, part))
            self.outbox.append((source, Message(MessageKind.LIST_CHUNK, self.name, payload=data)))
            self.count("members.lists_told")

    def handle_chunk(
        self, now: float, source: Address, message: Message, held: ListStatus
    ) -> ReceivedList | None:
        """A part has come; the list, once it is whole."""
        try:
            version, age, whole, n, count, part, *_ = msgspec.msgpack.decode(message.payload)
            _fits(
                _count(version) and type(age) in (int, float) and age >= 0 and type(whole) is bytes
            )
            _fits(_count(n) and _count(count) and n < count <= PARTS_MOST)
            _fits(type(part) is bytes and 0 < len(part) <= PART)
        except (msgspec.MsgspecError, ValueError, TypeError):
            self.count("members.lists_wrong")
            return None
        if held.told or version <= held.version or age > MAX_LIST_AGE_MS:
            self.count("members.lists_old")
            return None
        coming = self._coming
        same = coming is not None and (coming.source, coming.digest, coming.count) == (
            source,
            whole,
            count,
        )
        if not same:
            # Another teller's, and no newer: the first one's goes on. The same teller's: its list
            # changed.
            if coming is not None and coming.source != source and version <= coming.version:
                return None
            coming = self._coming = _Coming(source, version, age, whole, count, now)
            self._ask_at = now + AGAIN_MS
        if n not in coming.parts:
            coming.parts[n], coming.tries = part, 0
        if coming.lacking():
            return None
        self._coming = None
        packed = b"".join(coming.parts[n] for n in range(count))
        try:
            _fits(list_digest(packed) == whole)
            plain = zlib.decompressobj()
            text = plain.decompress(packed, MAX_LIST_BYTES)
            _fits(plain.eof)  # else it is cut, or unpacks to more than any list
        except (zlib.error, ValueError):
            self.count("members.lists_wrong")
            return None
        self._has = True
        return ReceivedList(version, age + now - coming.begun, source, text)


def _count(x: object) -> bool:
    return type(x) is int and 0 <= x < 1 << 62


def _fits(holds: bool) -> None:
    if not holds:
        raise ValueError("out of bounds")
